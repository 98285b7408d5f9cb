// Package server runs one entry process: it puts together the parts that
// follow the log, watch the peers, place tasks and route requests, and opens
// the ports for callers, peers and operators.
//
// It decides nothing by itself. What is agreed is in the log, what is placed is
// up to dispatcher, and what is answered is up to router.
package server

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/appender"
	"github.com/galenacove/galenacove/claimer"
	"github.com/galenacove/galenacove/compactor"
	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/dispatcher"
	"github.com/galenacove/galenacove/follower"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/router"
	"github.com/galenacove/galenacove/watcher"
)

// The errors of the package.
var (
	// ErrSettings is returned for options that cannot work together.
	ErrSettings = errors.New("server: bad settings")
	// ErrServe is returned when a port cannot be served.
	ErrServe = errors.New("server: cannot serve")
)

// logWait is how long a read of the log waits for a new record. It bounds how
// late the end of a lease is taken for certain.
const logWait = time.Second

// lifeLength is how many characters of an identity tell the lives of one entry
// apart.
const lifeLength = 8

// Server is one entry process.
type Server struct {
	settings settings
	self     recorder.Member
	// dataCentre is where the process and everything that it places on is.
	dataCentre string

	registry   *prometheus.Registry
	platform   *connector.Platform
	state      *replayer.State
	follower   *follower.Follower
	appender   *appender.Appender
	compactor  *compactor.Compactor
	claimer    *claimer.Claimer
	pool       *messenger.Pool
	peers      *messenger.Server
	watcher    *watcher.Watcher
	dispatcher *dispatcher.Dispatcher
	router     *router.Router
	trail      *trail

	// hosts is the host list in force, nil before the first.
	hosts atomic.Pointer[[]connector.Host]
	// drained are the hosts that get nothing new, as kind/name. Only feedState
	// uses it.
	drained map[string]bool
	// leaving is set once the process has begun to stop.
	leaving atomic.Bool
}

// New returns a server for the entry of that name in the data centre. The
// listeners and the platform's addresses are needed options; without them it
// fails with ErrSettings.
func New(name, dataCentre string, opts ...Option) (*Server, error) {
	s := &Server{
		settings:   newSettings(opts),
		dataCentre: dataCentre,
		registry:   prometheus.NewRegistry(),
		state:      replayer.New(),
	}
	if err := s.check(name); err != nil {
		return nil, err
	}
	s.self = recorder.Member{
		Name:  name + "#" + newLife(),
		Peers: s.advertised(),
	}
	s.connect()
	s.assemble()
	return s, s.register()
}

// newLife returns a short identity for this life of the process.
func newLife() string {
	id := strings.ReplaceAll(namer.NewIdentity(), "-", "")
	return id[len(id)-lifeLength:]
}

func (s *Server) check(name string) error {
	switch {
	case name == "" || s.dataCentre == "":
		return errors.Wrap(ErrSettings, "an entry needs a name and a data centre")
	case s.settings.callers == nil || s.settings.peers == nil || s.settings.operators == nil:
		return errors.Wrap(ErrSettings, "a listener is missing")
	case len(s.settings.platform) == 0:
		return errors.Wrap(ErrSettings, "the platform has no address")
	default:
		return nil
	}
}

func (s *Server) advertised() string {
	if s.settings.advertised != "" {
		return s.settings.advertised
	}
	return s.settings.peers.Addr().String()
}

// Name returns the name of this life of the process, as in the membership.
func (s *Server) Name() string { return s.self.Name }

// connect makes the clients of everything outside the process.
func (s *Server) connect() {
	const idleConns = 4
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     time.Minute,
		},
	}
	s.platform = connector.NewPlatform(client, s.settings.platform...)
	options := []messenger.Option{
		messenger.Secret(s.settings.secret),
		messenger.Clock(s.settings.clock),
	}
	if s.settings.peerTLS != nil {
		options = append(options, messenger.TLS(s.settings.peerTLS))
	}
	s.pool = messenger.NewPool(options...)
	s.peers = messenger.NewServer(options...)
	s.dispatcher = s.newDispatcher(client)
}

// assemble makes the parts that need only the clients.
func (s *Server) assemble() {
	logger, clock, metrics := s.settings.logger, s.settings.clock, s.registry
	metrics.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	s.follower = follower.New(s.platform, recorder.StreamControl, s.state.Apply,
		follower.Clock(clock),
		follower.Wait(logWait),
		follower.Recovery(func(ctx context.Context) (namer.Offset, error) {
			return s.compactor.Recover(ctx)
		}),
		follower.Logger(logger),
		follower.Metrics(metrics),
	)
	s.appender = appender.New(s.platform,
		appender.Clock(clock),
		appender.Logger(logger),
		appender.Metrics(metrics),
	)
	s.compactor = s.newCompactor()
	s.watcher = s.newWatcher()
	s.claimer = claimer.New(s.self.Name, s.platform, s.appender,
		claimer.Clock(clock),
		claimer.Logger(logger),
	)
	s.router = router.New(s.self.Name,
		router.Clock(clock),
		router.Peers(s.pool),
		router.Claims(s.claimer),
		router.DataCentre(s.dataCentre),
		router.Terms(s.settings.lease, s.settings.delivery),
		router.Logger(logger),
		router.Metrics(metrics),
	)
	s.trail = newTrail(s)
}

func (s *Server) newCompactor() *compactor.Compactor {
	return compactor.New(s.self.Name, s.platform, s.state,
		compactor.Clock(s.settings.clock),
		compactor.Members(s.allMembers),
		compactor.Oldest(func() namer.Offset { return s.follower.Oldest() }),
		compactor.Peers(s.peerAddresses, s.pool),
		compactor.Append(func(ctx context.Context, records ...recorder.Record) error {
			return s.appender.AppendAll(ctx, appender.PriorityConfig, recorder.StreamControl, records...)
		}),
		compactor.Logger(s.settings.logger),
		compactor.Metrics(s.registry),
	)
}

func (s *Server) newWatcher() *watcher.Watcher {
	terms := watcher.DefaultTerms()
	terms.Interval = s.settings.heartbeat
	terms.Suspicion = s.settings.suspicion
	return watcher.New(s.self, s.dataCentre,
		watcher.Clock(s.settings.clock),
		watcher.WithCaller(s.pool),
		watcher.WithTerms(terms),
		watcher.Memberships(s.membership),
		watcher.Propose(s.propose),
		watcher.LogContact(func() time.Time { return s.follower.LastContact() }),
		watcher.Applied(s.state.Offset),
		watcher.Logger(s.settings.logger),
		watcher.Metrics(s.registry),
	)
}

func (s *Server) newDispatcher(client *http.Client) *dispatcher.Dispatcher {
	return dispatcher.New(s.self.Name, s.dataCentre,
		dispatcher.Clock(s.settings.clock),
		dispatcher.Workers(func(address string) connector.Worker {
			return connector.NewWorker(client, address)
		}),
		dispatcher.Peers(s.pool),
		dispatcher.Commit(s.commitJob),
		dispatcher.Terms(s.settings.lease, s.settings.renewal, s.settings.clockError, s.settings.delivery),
		dispatcher.Audit(func(a recorder.Audit) { s.trail.add(a) }),
		dispatcher.Logger(s.settings.logger),
		dispatcher.Metrics(s.registry),
	)
}

// register offers the parts to the peers, each under its own name.
func (s *Server) register() error {
	receivers := map[string]any{
		"Member":  s.watcher.Receiver(),
		"Placing": s.dispatcher.Receiver(),
		"Routing": s.router.Receiver(),
		"Log":     s.compactor.Receiver(),
		"Query": &receiver{
			server: s,
		},
	}
	for name, receiver := range receivers {
		if err := s.peers.Register(name, receiver); err != nil {
			return errors.WithStack(fmt.Errorf("%w: %w", ErrServe, err))
		}
	}
	return nil
}

// Run serves until the context has ended, then stops without cutting off what
// is in flight. It returns nil after a stop that was asked for.
func (s *Server) Run(ctx context.Context) error {
	s.settings.logger.WithField("member", s.self.Name).Info("server: starting")
	// The parts outlive ctx: they are needed to hand over.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, parts := errgroup.WithContext(parts)
	s.runParts(parts, group)
	ports := s.openPorts(parts, group)
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			s.leave(parts, ports)
		case <-parts.Done():
		}
		return nil
	})
	err := group.Wait()
	s.pool.Close()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// runParts starts the loops of all parts.
func (s *Server) runParts(ctx context.Context, group *errgroup.Group) {
	loops := []func(context.Context) error{
		s.appender.Run,
		s.follow,
		s.compactor.Run,
		s.claimer.Run,
		s.dispatcher.Run,
		s.router.Run,
		s.trail.run,
		s.feedState,
		s.feedHosts,
		s.join,
	}
	for _, loop := range loops {
		group.Go(func() error {
			return loop(ctx)
		})
	}
	group.Go(func() error {
		return s.peers.Serve(ctx, s.settings.peers)
	})
}

// follow tails the control stream. If the log is out of reach at the start, a
// peer is asked for what is in force.
func (s *Server) follow(ctx context.Context) error {
	if !s.logAnswers(ctx) {
		s.settings.logger.Warn("server: the log is out of reach, peers are asked")
		if next, err := s.compactor.Recover(ctx); err == nil {
			s.follower.Skip(next)
		}
	}
	return s.follower.Run(ctx)
}

// logAnswers reports whether the log can be read now.
func (s *Server) logAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, logWait)
	defer cancel()
	_, err := s.platform.Read(ctx, recorder.StreamControl, 1, 1, 0)
	return err == nil || errors.Is(err, connector.ErrAged)
}

// allMembers returns the names of the cell's members.
func (s *Server) allMembers() []string {
	var names []string
	for _, dataCentre := range s.state.DataCentres() {
		m, _, _ := s.state.Membership(dataCentre)
		for _, member := range m.Members {
			names = append(names, member.Name)
		}
	}
	return names
}

// peerAddresses returns the seeds and the other members of this data centre.
func (s *Server) peerAddresses() []string {
	addresses := slices.Clone(s.settings.seeds)
	m, _ := s.membership()
	for _, member := range m.Members {
		if member.Name != s.self.Name {
			addresses = append(addresses, member.Peers)
		}
	}
	return addresses
}

// join takes part in the membership once the configuration is known.
func (s *Server) join(ctx context.Context) error {
	select {
	case <-s.follower.Caught():
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.watcher.Run(ctx)
}
