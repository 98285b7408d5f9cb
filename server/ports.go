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
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes a caller's connection that carries nothing.
	idleTimeout = 2 * time.Minute
)

// openPorts serves callers and operators. The ports outlive the context: leave
// closes them.
func (s *Server) openPorts(ctx context.Context, group *errgroup.Group) []*http.Server {
	callers := newPort(router.NewHandler(s.router))
	operators := newPort(s.operatorsMux())
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

func newPort(handler http.Handler) *http.Server {
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

func serve(group *errgroup.Group, port *http.Server, listener net.Listener) {
	group.Go(func() error {
		err := port.Serve(listener)
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
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /debug/pprof/", s.authorized(profileIndex))
	mux.HandleFunc("GET /debug/pprof/profile", s.authorized(profileProcessor))
	mux.HandleFunc("POST "+commander.Path, s.authorized(s.do))
	return mux
}

// profileIndex and profileProcessor show operators where the process spends
// memory and time.
func profileIndex(w http.ResponseWriter, req *http.Request, _ asker) {
	pprof.Index(w, req)
}

func profileProcessor(w http.ResponseWriter, req *http.Request, _ asker) {
	pprof.Profile(w, req)
}

// health answers the balancer: 200 where new requests are welcome.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !s.ready():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ok")
	}
}

// ready reports whether the process knows its data centre's membership and the
// hosts. It can then serve: what others own it forwards.
func (s *Server) ready() bool {
	_, found := s.membership()
	return found && s.hosts.Load() != nil
}

// handOver gives what this process owns to its peers: the watcher proposes a
// membership without it, and the dispatcher keeps its tasks alive until then.
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

// leave stops in order: the balancer is told, requests in flight end, the peers
// take over, and only then do the ports close.
func (s *Server) leave(ctx context.Context, ports []*http.Server) {
	logger := s.settings.logger
	logger.Info("server: leaving")
	s.leaving.Store(true)
	if err := timekeeper.Sleep(ctx, s.settings.clock, s.settings.grace); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.stop)
	defer cancel()
	// The callers' port is first: what it has accepted still needs the rest.
	// Peers may forward to this process until they know that it owns nothing.
	steps := []func(context.Context) error{
		ports[0].Shutdown,
		s.handOver,
		s.router.Leave,
		ports[1].Shutdown,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			logger.WithError(err).Warn("server: a step of leaving failed")
		}
	}
	logger.Info("server: left")
}
