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
// it when it fails. It is safe for concurrent use.
type Pool struct {
	options options
	dialer  net.Dialer

	mu sync.Mutex
	// peers holds the open connections by address. It is nil after Close.
	peers map[string]*peer
}

// maxConsecutiveTimeouts is how many calls in a row may time out before the
// connection is closed, since the peer may have disappeared without closing it.
const maxConsecutiveTimeouts = 3

// peer is an open connection. To close it, close conn and never client: then
// rpc.ErrShutdown always means that a call was not sent.
type peer struct {
	client *rpc.Client
	conn   net.Conn
	// consecutiveTimeouts counts the calls that timed out since the last reply.
	consecutiveTimeouts atomic.Int32
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	return &Pool{
		options: newOptions(opts),
		peers:   make(map[string]*peer),
	}
}

// Call calls a method, such as "Member.Heartbeat", of the peer at the address
// and waits for the reply or the end of the context. After ErrUnknown the method
// may have run or may still run, and reply may still be written to, so the caller
// must not use it.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	err := p.callOnce(ctx, address, method, args, reply)
	if errors.Is(err, rpc.ErrShutdown) {
		// The pooled connection had failed before the call was sent.
		return p.callOnce(ctx, address, method, args, reply)
	}
	return err
}

func (p *Pool) callOnce(ctx context.Context, address, method string, args, reply any) error {
	target, err := p.peer(ctx, address)
	if err != nil {
		return err
	}
	call := target.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		target.consecutiveTimeouts.Store(0)
		return p.callError(address, target, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && target.consecutiveTimeouts.Add(1) >= maxConsecutiveTimeouts {
			p.dropPeer(address, target)
		}
		return errors.WithStack(fmt.Errorf("%w: %s at %s: %w", ErrUnknown, method, address, ctx.Err()))
	}
}

func (p *Pool) callError(address string, target *peer, err error) error {
	if err == nil {
		return nil
	}
	var refusal rpc.ServerError
	if errors.As(err, &refusal) {
		return errors.WithStack(fmt.Errorf("%w: call to %s: %w", ErrRefused, address, err))
	}
	p.dropPeer(address, target)
	mark := ErrUnknown
	if errors.Is(err, rpc.ErrShutdown) {
		mark = ErrUnreachable
	}
	return errors.WithStack(fmt.Errorf("%w: call to %s: %w", mark, address, err))
}

// peer returns the open connection to the address, or opens one.
func (p *Pool) peer(ctx context.Context, address string) (*peer, error) {
	p.mu.Lock()
	existing := p.peers[address]
	closed := p.peers == nil
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
	return p.addPeer(address, created)
}

// addPeer adds a new connection to the pool. If another one to the address was
// added in the meantime, it closes the new one and returns the other.
func (p *Pool) addPeer(address string, created *peer) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		created.conn.Close()
		return nil, errors.Wrap(ErrUnreachable, "the pool is closed")
	}
	if existing := p.peers[address]; existing != nil {
		created.conn.Close()
		return existing, nil
	}
	p.peers[address] = created
	return created, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*peer, error) {
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
	return &peer{
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

func (p *Pool) dropPeer(address string, target *peer) {
	target.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[address] == target {
		delete(p.peers, address)
	}
}

// Close closes every connection. Pending and later calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range p.peers {
		target.conn.Close()
	}
	p.peers = nil
}
