// Package messenger makes calls between entry processes with net/rpc over TCP.
// Before the first call on a connection, both ends prove to each other that they
// know the cell's shared secret. With a TLS configuration the connection is also
// encrypted.
//
// The package does not repeat calls that may have been made, does not choose
// peers and does not interpret the calls.
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
	// ErrUnreachable is returned if the call was not made.
	ErrUnreachable = errors.New("messenger: peer not reached")
	// ErrUnknown is returned if the call may have been made.
	ErrUnknown = errors.New("messenger: outcome of the call unknown")
	// ErrRefused is returned if the peer's method returned an error.
	ErrRefused = errors.New("messenger: refused by the peer")
	// ErrSecret is returned if the peer does not know the secret.
	ErrSecret = errors.New("messenger: the secrets differ")
)

const (
	// nonceBytes is the length of a nonce.
	nonceBytes = 32
	// handshakeTimeout limits the duration of the handshake.
	handshakeTimeout = 2 * time.Second
	// writeTimeout limits the duration of each write to a connection.
	writeTimeout = 5 * time.Second
)

// options are the options of a Server or a Pool.
type options struct {
	secret []byte
	tls    *tls.Config
	clock  timekeeper.Clock
}

// Option configures a Server or a Pool.
type Option func(*options)

// Secret sets the secret that both ends must share. The default is the empty
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

// Clock sets the clock from which the deadlines of the handshake and of writes
// are computed. It must agree with the host's clock, by which connections apply
// their deadlines. The default is the host's clock.
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

// authenticate runs the handshake on a connection. Each end sends a nonce, signs
// the peer's nonce together with its own role, and verifies the signature that it
// receives. Signing the role prevents reflection attacks, in which a peer sends
// back the signature that it received.
func (o options) authenticate(conn net.Conn, role, peerRole string) error {
	if err := conn.SetDeadline(o.clock.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "messenger: set the handshake's deadline")
	}
	ownNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(ownNonce); err != nil {
		return errors.Wrap(err, "messenger: make a nonce")
	}
	peerNonce, err := exchange(conn, ownNonce)
	if err != nil {
		return err
	}
	proof, err := exchange(conn, sign(o.secret, role, peerNonce))
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, sign(o.secret, peerRole, ownNonce)) {
		return ErrSecret
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "messenger: clear the handshake's deadline")
}

// exchange sends a message and reads the peer's message of the same length.
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

// writeTimeoutConn limits the time that a write may take, so that a peer that does
// not read cannot block its callers for ever.
type writeTimeoutConn struct {
	net.Conn
	clock timekeeper.Clock
}

// Write implements net.Conn.
func (c *writeTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(c.clock.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
