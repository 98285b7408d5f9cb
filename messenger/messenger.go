// Package messenger carries calls between the entry processes, by net/rpc over
// TCP. Both ends prove that they know the cell's shared secret before the
// first call; with a TLS configuration the connection is encrypted too.
//
// The package does not retry, does not choose peers and does not know what the
// calls mean.
package messenger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/timekeeper"
)

// The errors of the package. Every error of a call is marked with one of them.
var (
	// ErrUnreachable is returned where the call was certainly not made.
	ErrUnreachable = errors.New("messenger: peer not reached")
	// ErrUnknown is returned where the call may have been made.
	ErrUnknown = errors.New("messenger: outcome of the call unknown")
	// ErrRefused is returned where the peer's method returned an error.
	ErrRefused = errors.New("messenger: refused by the peer")
	// ErrSecret is returned where the other end does not know the secret.
	ErrSecret = errors.New("messenger: the secrets differ")
)

const (
	// nonceLength is in bytes.
	nonceLength = 32
	// handshakeTimeout bounds the proof of the secret.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds each write of a call or a reply.
	writeTimeout = 5 * time.Second
)

// Options of both ends.
type options struct {
	secret []byte
	tls    *tls.Config
	clock  timekeeper.Clock
}

// Option changes how a Server or a Pool works.
type Option func(*options)

// Secret sets the secret that both ends must know. The default is the empty
// secret.
func Secret(secret string) Option {
	return func(o *options) {
		o.secret = []byte(secret)
	}
}

// TLS encrypts the connections. The default is plain TCP.
func TLS(config *tls.Config) Option {
	return func(o *options) {
		o.tls = config
	}
}

// Clock sets the clock that bounds the handshake and the writes. It must agree
// with the host's, by which the network reckons. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(o *options) {
		o.clock = clock
	}
}

func newOptions(opts []Option) options {
	o := options{
		clock: timekeeper.System(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// prove runs the handshake on a connection: each end sends a nonce, then the
// other's nonce signed under its own role, and checks what it gets. The roles
// keep a proof from being reflected to its maker.
func (o options) prove(conn net.Conn, role, otherRole string) error {
	if err := conn.SetDeadline(o.clock.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "messenger: set the handshake's deadline")
	}
	own := make([]byte, nonceLength)
	if _, err := rand.Read(own); err != nil {
		return errors.Wrap(err, "messenger: make a nonce")
	}
	other, err := exchange(conn, own)
	if err != nil {
		return err
	}
	proof, err := exchange(conn, sign(o.secret, role, other))
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, sign(o.secret, otherRole, own)) {
		return ErrSecret
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "messenger: clear the handshake's deadline")
}

// exchange sends a message and reads one of the same length.
func exchange(conn net.Conn, message []byte) ([]byte, error) {
	if _, err := conn.Write(message); err != nil {
		return nil, errors.Wrap(err, "messenger: handshake")
	}
	answer := make([]byte, len(message))
	if _, err := io.ReadFull(conn, answer); err != nil {
		return nil, errors.Wrap(err, "messenger: handshake")
	}
	return answer, nil
}

func sign(secret []byte, role string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(nonce)
	return mac.Sum(nil)
}

// boundedConn bounds the time that a write may take, so that a peer that does
// not read cannot hold up its callers for ever.
type boundedConn struct {
	net.Conn
	clock timekeeper.Clock
}

// Write implements net.Conn.
func (c *boundedConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(c.clock.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
