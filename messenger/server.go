package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/timekeeper"
)

// acceptRetryPause is the pause after a connection could not be accepted for want of
// descriptors or memory.
const acceptRetryPause = 50 * time.Millisecond

const (
	roleServer = "server"
	roleClient = "client"
)

// Server serves the calls of peers.
type Server struct {
	options options
	rpc     *rpc.Server

	mu sync.Mutex
	// conns holds the open connections. It is nil after Serve has stopped.
	conns map[net.Conn]struct{}
}

// NewServer returns a server without registered methods.
func NewServer(opts ...Option) *Server {
	return &Server{
		options: newOptions(opts),
		rpc:     rpc.NewServer(),
		conns:   make(map[net.Conn]struct{}),
	}
}

// Register publishes the methods of receiver under the given name, as
// rpc.Server.RegisterName does.
func (s *Server) Register(name string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "messenger: register %s", name)
}

// Serve serves calls on the listener until the context ends, then closes the
// listener and every connection.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		s.close(listener)
		return nil
	})
	group.Go(func() error {
		return s.accept(ctx, group, listener)
	})
	return group.Wait()
}

func (s *Server) accept(ctx context.Context, group *errgroup.Group, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM) {
			// These pass, unlike the errors of a closed listener.
			if err := timekeeper.Sleep(ctx, s.options.clock, acceptRetryPause); err != nil {
				return acceptError(ctx, err)
			}
			continue
		}
		if err != nil {
			return acceptError(ctx, err)
		}
		group.Go(func() error {
			s.serveConn(conn)
			return nil
		})
	}
}

// acceptError returns the error with which Accept failed, or nil if the listener
// was closed because the context ended.
func acceptError(ctx context.Context, err error) error {
	select {
	case <-ctx.Done():
		return nil
	default:
		return errors.Wrap(err, "messenger: accept")
	}
}

// serveConn serves one connection. If the handshake fails, the connection is closed
// without a log line, since the peer's call reports the error.
func (s *Server) serveConn(conn net.Conn) {
	if s.options.tls != nil {
		conn = tls.Server(conn, s.options.tls)
	}
	defer conn.Close()
	if !s.addConn(conn) {
		return
	}
	defer s.removeConn(conn)
	if err := s.options.authenticate(conn, roleServer, roleClient); err != nil {
		return
	}
	s.rpc.ServeConn(&writeTimeoutConn{
		Conn:  conn,
		clock: s.options.clock,
	})
}

// addConn records an open connection. It returns false if Serve has stopped.
func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) removeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) close(listener net.Listener) {
	listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
	s.conns = nil
}
