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

// Pool makes calls to peers. It keeps one connection to each address and makes
// a new one when that breaks. It is safe for use by several goroutines.
type Pool struct {
	options options
	dialer  net.Dialer

	mu sync.Mutex
	// peers holds the open connections by address. It is nil once the pool is
	// closed.
	peers map[string]*peer
}

// maxSilences is how many calls in a row may end without an answer before the
// connection is given up: the peer may be gone without a word.
const maxSilences = 3

// peer is one open connection. It is closed by closing conn, never client:
// that way rpc.ErrShutdown only ever means that a call was not sent.
type peer struct {
	client *rpc.Client
	conn   net.Conn
	// silences counts the calls that timed out since the last answer.
	silences atomic.Int32
}

// NewPool returns a pool without connections.
func NewPool(opts ...Option) *Pool {
	return &Pool{
		options: newOptions(opts),
		peers:   make(map[string]*peer),
	}
}

// Call calls a method, such as "Member.Heartbeat", of the peer at the address
// and waits for the reply or the end of the context. After ErrUnknown the
// method may have run, or still run; reply must then not be used again.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	err := p.try(ctx, address, method, args, reply)
	if errors.Is(err, rpc.ErrShutdown) {
		// The kept connection had broken before the call was sent.
		return p.try(ctx, address, method, args, reply)
	}
	return err
}

func (p *Pool) try(ctx context.Context, address, method string, args, reply any) error {
	to, err := p.peer(ctx, address)
	if err != nil {
		return err
	}
	call := to.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		to.silences.Store(0)
		return p.callError(address, to, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && to.silences.Add(1) >= maxSilences {
			p.drop(address, to)
		}
		return errors.WithStack(fmt.Errorf("%w: %s at %s: %w", ErrUnknown, method, address, ctx.Err()))
	}
}

func (p *Pool) callError(address string, to *peer, err error) error {
	if err == nil {
		return nil
	}
	var refusal rpc.ServerError
	if errors.As(err, &refusal) {
		return errors.WithStack(fmt.Errorf("%w: call to %s: %w", ErrRefused, address, err))
	}
	p.drop(address, to)
	mark := ErrUnknown
	if errors.Is(err, rpc.ErrShutdown) {
		mark = ErrUnreachable
	}
	return errors.WithStack(fmt.Errorf("%w: call to %s: %w", mark, address, err))
}

// peer returns the open connection to the address or makes one.
func (p *Pool) peer(ctx context.Context, address string) (*peer, error) {
	p.mu.Lock()
	kept := p.peers[address]
	closed := p.peers == nil
	p.mu.Unlock()
	if closed {
		return nil, errors.Wrap(ErrUnreachable, "the pool is closed")
	}
	if kept != nil {
		return kept, nil
	}
	made, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.WithStack(fmt.Errorf("%w: connect to %s: %w", ErrUnreachable, address, err))
	}
	return p.keep(address, made)
}

// keep stores a new connection, unless another was made meanwhile.
func (p *Pool) keep(address string, made *peer) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		made.conn.Close()
		return nil, errors.Wrap(ErrUnreachable, "the pool is closed")
	}
	if kept := p.peers[address]; kept != nil {
		made.conn.Close()
		return kept, nil
	}
	p.peers[address] = made
	return made, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*peer, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.options.tls != nil {
		conn = tls.Client(conn, p.tlsFor(address))
	}
	// The handshake waits for a peer that may be paused.
	hangUp := context.AfterFunc(ctx, func() {
		conn.Close()
	})
	err = p.options.prove(conn, roleClient, roleServer)
	if !hangUp() || err != nil {
		conn.Close()
		return nil, errors.CombineErrors(err, ctx.Err())
	}
	conn = &boundedConn{
		Conn:  conn,
		clock: p.options.clock,
	}
	return &peer{
		client: rpc.NewClient(conn),
		conn:   conn,
	}, nil
}

// tlsFor returns the configuration by which the peer's certificate is checked
// against the host of its address, unless it names another.
func (p *Pool) tlsFor(address string) *tls.Config {
	config := p.options.tls.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

func (p *Pool) drop(address string, to *peer) {
	to.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[address] == to {
		delete(p.peers, address)
	}
}

// Close closes every connection. Calls that still wait end with an error.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, to := range p.peers {
		to.conn.Close()
	}
	p.peers = nil
}
