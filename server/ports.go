package server

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/commander"
	"github.com/galenacove/galenacove/router"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// headerTimeout bounds how long the header of a request takes to arrive.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
)

// servePorts starts the HTTP servers of the callers' and the operators' port, and
// returns them in this order, for shutDown to close them gracefully. When the
// context ends, both are closed at once.
func (s *Server) servePorts(ctx context.Context, group *errgroup.Group) []*http.Server {
	callers := newHTTPServer(router.NewHandler(s.router))
	operators := newHTTPServer(s.operatorsMux())
	serve(group, callers, s.encrypt(s.settings.callers))
	serve(group, operators, s.encrypt(s.settings.operators))
	group.Go(func() error {
		<-ctx.Done()
		callers.Close()
		operators.Close()
		return nil
	})
	return []*http.Server{callers, operators}
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func (s *Server) encrypt(listener net.Listener) net.Listener {
	if s.settings.serverTLS == nil {
		return listener
	}
	return tls.NewListener(listener, s.settings.serverTLS)
}

func serve(group *errgroup.Group, server *http.Server, listener net.Listener) {
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.WithStack(fmt.Errorf("%w: %w", ErrServe, err))
	})
}

// operatorsMux returns the handler of the operators' port.
func (s *Server) operatorsMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", s.handleHealth)
	mux.HandleFunc("GET /debug/pprof/", s.requireOperator(profileIndex))
	mux.HandleFunc("GET /debug/pprof/profile", s.requireOperator(profileCPU))
	mux.HandleFunc("POST "+commander.Path, s.requireOperator(s.handleStatement))
	return mux
}

// profileIndex and profileCPU let operators profile the memory and the CPU time
// of the process.
func profileIndex(w http.ResponseWriter, req *http.Request, _ requestOrigin) {
	pprof.Index(w, req)
}

func profileCPU(w http.ResponseWriter, req *http.Request, _ requestOrigin) {
	pprof.Profile(w, req)
}

// handleHealth serves the health check of the balancer: 200 if this process
// accepts new requests, 503 otherwise.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.stopping.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !s.ready():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ok")
	}
}

// ready reports whether the process knows its data centre's membership and the
// hosts. That is enough to serve, as requests for hosts that other members own
// are forwarded.
func (s *Server) ready() bool {
	_, found := s.membership()
	return found && s.hosts.Load() != nil
}

// handOver transfers what this process owns to its peers: the watcher proposes a
// membership without it, and the dispatcher keeps renewing the leases of its
// tasks until they are taken over.
func (s *Server) handOver(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return s.watcher.Leave(ctx)
	})
	group.Go(func() error {
		return s.dispatcher.Leave(ctx)
	})
	return group.Wait()
}

// shutDown stops the server gracefully: it fails the health check so that the
// balancer removes this process, closes the callers' port and waits for its
// requests in flight, hands over to the peers, stops the router, and only then
// closes the operators' port. If a step fails, the next ones still run.
func (s *Server) shutDown(ctx context.Context, httpServers []*http.Server) {
	logger := s.settings.logger
	logger.Info("server: shutting down")
	s.stopping.Store(true)
	if err := timekeeper.Sleep(ctx, s.settings.clock, s.settings.stopGrace); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.stopTimeout)
	defer cancel()
	// The callers' port is first, since accepted requests still need all
	// components. Peers may forward to this process until they know that it owns
	// nothing, so the router stops after the hand-over.
	steps := []func(context.Context) error{
		httpServers[0].Shutdown,
		s.handOver,
		s.router.Leave,
		httpServers[1].Shutdown,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			logger.WithError(err).Warn("server: shutdown step failed")
		}
	}
	logger.Info("server: shutdown complete")
}
