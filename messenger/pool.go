package messenger

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Pool makes calls to peers. It keeps one connection to each address and replaces
// a connection that fails. A Pool is safe for concurrent use.
type Pool struct {
	options options
	dialer  net.Dialer

	mu sync.Mutex
	// peerConns holds the open connections by address. It is nil after Close.
	peerConns map[string]*peerConn
}

// maxConsecutiveTimeouts is the number of consecutive timeouts of calls at which
// the connection is closed, since the peer may have disappeared without closing it.
const maxConsecutiveTimeouts = 3

// peerConn is an open connection to a peer. It is closed through conn, never
// through client, so that rpc.ErrShutdown always means that a call was not sent.
type peerConn struct {
	client *rpc.Client
	conn   net.Conn
	// consecutiveTimeouts counts the calls that timed out since the last reply.
	consecutiveTimeouts atomic.Int32
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	return &Pool{
		options:   newOptions(opts),
		peerConns: make(map[string]*peerConn),
	}
}

// Call calls a method, such as "Member.Heartbeat", of the peer at the address
// and waits for the reply or the end of the context. After ErrUnknown the method
// may have run or may still run. The caller must not use reply then, since it may
// still be written to.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	err := p.callOnce(ctx, address, method, args, reply)
	if errors.Is(err, rpc.ErrShutdown) {
		// The pooled connection had failed before the call was sent.
		return p.callOnce(ctx, address, method, args, reply)
	}
	return err
}

func (p *Pool) callOnce(ctx context.Context, address, method string, args, reply any) error {
	target, err := p.peerConn(ctx, address)
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return errors.WithStack(fmt.Errorf("%w: %s at %s: %w", ErrUnreachable, method, address, err))
	}
	call := target.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		target.consecutiveTimeouts.Store(0)
		return p.callError(address, target, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && target.consecutiveTimeouts.Add(1) >= maxConsecutiveTimeouts {
			p.dropPeerConn(address, target)
		}
		return errors.WithStack(fmt.Errorf("%w: %s at %s: %w", ErrUnknown, method, address, ctx.Err()))
	}
}

// callError returns the error of a call that has ended, marked with one of the
// errors of the package. It drops the connection, unless the call succeeded or the
// peer's method returned the error.
func (p *Pool) callError(address string, target *peerConn, err error) error {
	if err == nil {
		return nil
	}
	var refusal rpc.ServerError
	if errors.As(err, &refusal) {
		return errors.WithStack(fmt.Errorf("%w: call to %s: %w", ErrRefused, address, err))
	}
	p.dropPeerConn(address, target)
	mark := ErrUnknown
	if errors.Is(err, rpc.ErrShutdown) {
		mark = ErrUnreachable
	}
	return errors.WithStack(fmt.Errorf("%w: call to %s: %w", mark, address, err))
}

// peerConn returns the open connection to the address, or opens one.
func (p *Pool) peerConn(ctx context.Context, address string) (*peerConn, error) {
	p.mu.Lock()
	existing := p.peerConns[address]
	closed := p.peerConns == nil
	p.mu.Unlock()
	if closed {
		return nil, errors.Wrap(ErrUnreachable, "the pool is closed")
	}
	if existing != nil {
		return existing, nil
	}
	created, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.WithStack(fmt.Errorf("%w: connect to %s: %w", ErrUnreachable, address, err))
	}
	return p.addPeerConn(address, created)
}

// addPeerConn adds a new connection to the pool and returns it. If another call has
// added a connection to the address in the meantime, addPeerConn returns that
// connection and closes the new one.
func (p *Pool) addPeerConn(address string, created *peerConn) (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peerConns == nil {
		created.conn.Close()
		return nil, errors.Wrap(ErrUnreachable, "the pool is closed")
	}
	if existing := p.peerConns[address]; existing != nil {
		created.conn.Close()
		return existing, nil
	}
	p.peerConns[address] = created
	return created, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*peerConn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.options.tls != nil {
		conn = tls.Client(conn, p.tlsFor(address))
	}
	// The peer may never answer the handshake, so the end of the context closes
	// the connection.
	cancelClose := context.AfterFunc(ctx, func() {
		conn.Close()
	})
	err = p.options.authenticate(conn, roleClient, roleServer)
	if !cancelClose() || err != nil {
		conn.Close()
		return nil, errors.CombineErrors(err, ctx.Err())
	}
	conn = &writeTimeoutConn{
		Conn:  conn,
		clock: p.options.clock,
	}
	return &peerConn{
		client: rpc.NewClient(conn),
		conn:   conn,
	}, nil
}

// tlsFor returns the TLS configuration for a connection to the address. The
// peer's certificate is verified against the host of the address, unless the
// configuration sets another server name.
func (p *Pool) tlsFor(address string) *tls.Config {
	config := p.options.tls.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

func (p *Pool) dropPeerConn(address string, target *peerConn) {
	target.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peerConns[address] == target {
		delete(p.peerConns, address)
	}
}

// Close closes every connection. Pending and later calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range p.peerConns {
		target.conn.Close()
	}
	p.peerConns = nil
}
