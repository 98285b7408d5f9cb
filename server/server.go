// Package server runs one entry process: it assembles the components that
// follow the log, monitor the peers, place tasks and route requests, and serves
// the ports for callers, peers and operators.
//
// It makes no decisions of its own: shared state is agreed on through the log,
// package dispatcher places tasks, and package router answers requests.
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
	// ErrSettings is returned by New if the name, the data centre or a required
	// option is missing.
	ErrSettings = errors.New("server: bad settings")
	// ErrServe is returned when a port cannot be served, or an RPC receiver cannot
	// be registered.
	ErrServe = errors.New("server: cannot serve")
)

// logReadWait is how long a read of the log waits for a new record. It also
// bounds how late this process can be certain that a lease has expired, since
// that takes a read that is sent after the expiry and reaches the end of the log.
const logReadWait = time.Second

// incarnationLength is how many characters of an identity distinguish the
// incarnations of one entry.
const incarnationLength = 8

// Server is one entry process.
type Server struct {
	settings settings
	self     recorder.Member
	// dataCentre is the data centre of the process and of all hosts that it uses.
	dataCentre string

	registry   *prometheus.Registry
	platform   *connector.Platform
	state      *replayer.State
	follower   *follower.Follower
	appender   *appender.Appender
	compactor  *compactor.Compactor
	claimer    *claimer.Claimer
	pool       *messenger.Pool
	peerServer *messenger.Server
	watcher    *watcher.Watcher
	dispatcher *dispatcher.Dispatcher
	router     *router.Router
	auditTrail *auditTrail

	// hosts is the current host list, nil until the first one has been read.
	hosts atomic.Pointer[[]connector.Host]
	// drained has a key kind/name for each drained host. Only the goroutine of
	// feedState uses it.
	drained map[string]bool
	// stopping is set once the shutdown has begun.
	stopping atomic.Bool
}

// New returns a server for the entry of that name in the data centre. The
// options Listeners and Platform are required; without them it fails with
// ErrSettings.
func New(name, dataCentre string, opts ...Option) (*Server, error) {
	s := &Server{
		settings:   newSettings(opts),
		dataCentre: dataCentre,
		registry:   prometheus.NewRegistry(),
		state:      replayer.New(),
	}
	if err := s.validate(name); err != nil {
		return nil, err
	}
	s.self = recorder.Member{
		Name:  name + "#" + newIncarnation(),
		Peers: s.advertisedAddress(),
	}
	s.createClients()
	s.createComponents()
	return s, s.registerReceivers()
}

// newIncarnation returns a short identity for this incarnation of the process.
func newIncarnation() string {
	id := strings.ReplaceAll(namer.NewIdentity(), "-", "")
	return id[len(id)-incarnationLength:]
}

func (s *Server) validate(name string) error {
	switch {
	case name == "" || s.dataCentre == "":
		return errors.Wrap(ErrSettings, "an entry needs a name and a data centre")
	case s.settings.callers == nil || s.settings.peers == nil || s.settings.operators == nil:
		return errors.Wrap(ErrSettings, "a listener is missing")
	case len(s.settings.platformAddresses) == 0:
		return errors.Wrap(ErrSettings, "the platform has no address")
	default:
		return nil
	}
}

func (s *Server) advertisedAddress() string {
	if s.settings.advertisedAddress != "" {
		return s.settings.advertisedAddress
	}
	return s.settings.peers.Addr().String()
}

// Name returns the name of this incarnation of the process, as listed in the
// membership.
func (s *Server) Name() string { return s.self.Name }

// createClients creates the clients of the platform and the peers, the RPC server
// for peers, and the dispatcher, which calls workers with the same HTTP client as
// the platform.
func (s *Server) createClients() {
	const idleConns = 4
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     time.Minute,
		},
	}
	s.platform = connector.NewPlatform(client, s.settings.platformAddresses...)
	options := []messenger.Option{
		messenger.Secret(s.settings.secret),
		messenger.Clock(s.settings.clock),
	}
	if s.settings.peerTLS != nil {
		options = append(options, messenger.TLS(s.settings.peerTLS))
	}
	s.pool = messenger.NewPool(options...)
	s.peerServer = messenger.NewServer(options...)
	s.dispatcher = s.newDispatcher(client)
}

// createComponents creates the other components. It is called after
// createClients.
func (s *Server) createComponents() {
	logger, clock, metrics := s.settings.logger, s.settings.clock, s.registry
	metrics.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	s.follower = follower.New(s.platform, recorder.StreamControl, s.state.Apply,
		follower.Clock(clock),
		follower.Wait(logReadWait),
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
		router.LeaseTiming(s.settings.leaseLength, s.settings.maxDeliveryTime),
		router.Logger(logger),
		router.Metrics(metrics),
	)
	s.auditTrail = newAuditTrail(s)
}

func (s *Server) newCompactor() *compactor.Compactor {
	return compactor.New(s.self.Name, s.platform, s.state,
		compactor.Clock(s.settings.clock),
		compactor.Members(s.memberNames),
		compactor.OldestOffset(func() namer.Offset { return s.follower.OldestOffset() }),
		compactor.Peers(s.peerAddresses, s.pool),
		compactor.Append(func(ctx context.Context, records ...recorder.Record) error {
			return s.appender.AppendAll(ctx, appender.PriorityConfig, recorder.StreamControl, records...)
		}),
		compactor.Logger(s.settings.logger),
		compactor.Metrics(s.registry),
	)
}

func (s *Server) newWatcher() *watcher.Watcher {
	terms := watcher.DefaultTiming()
	terms.Interval = s.settings.heartbeatInterval
	terms.Suspicion = s.settings.suspectAfter
	return watcher.New(s.self, s.dataCentre,
		watcher.Clock(s.settings.clock),
		watcher.WithCaller(s.pool),
		watcher.WithTiming(terms),
		watcher.Memberships(s.membership),
		watcher.Propose(s.propose),
		watcher.LogContact(func() time.Time { return s.follower.LastContact() }),
		watcher.AppliedOffset(s.state.Offset),
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
		dispatcher.Timings(s.settings.leaseLength, s.settings.renewalInterval, s.settings.maxClockError, s.settings.maxDeliveryTime),
		dispatcher.Audit(func(a recorder.Audit) { s.auditTrail.add(a) }),
		dispatcher.Logger(s.settings.logger),
		dispatcher.Metrics(s.registry),
	)
}

// registerReceivers registers the RPC receivers of the components, each under
// its own name.
func (s *Server) registerReceivers() error {
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
		if err := s.peerServer.Register(name, receiver); err != nil {
			return errors.WithStack(fmt.Errorf("%w: %w", ErrServe, err))
		}
	}
	return nil
}

// Run serves until the context ends, then shuts down gracefully. It returns nil
// after such a shutdown.
func (s *Server) Run(ctx context.Context) error {
	s.settings.logger.WithField("member", s.self.Name).Info("server: starting")
	// The components outlive ctx, since the hand-over needs them.
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	s.startComponents(runCtx, group)
	httpServers := s.servePorts(runCtx, group)
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			s.shutDown(runCtx, httpServers)
		case <-runCtx.Done():
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

// startComponents starts the loops of all components.
func (s *Server) startComponents(ctx context.Context, group *errgroup.Group) {
	loops := []func(context.Context) error{
		s.appender.Run,
		s.followLog,
		s.compactor.Run,
		s.claimer.Run,
		s.dispatcher.Run,
		s.router.Run,
		s.auditTrail.run,
		s.feedState,
		s.feedHosts,
		s.joinMembership,
	}
	for _, loop := range loops {
		group.Go(func() error {
			return loop(ctx)
		})
	}
	group.Go(func() error {
		return s.peerServer.Serve(ctx, s.settings.peers)
	})
}

// followLog follows the control stream. If the log is unreachable at the start,
// the state is first recovered from a peer.
func (s *Server) followLog(ctx context.Context) error {
	if !s.logReadable(ctx) {
		s.settings.logger.Warn("server: the log is unreachable, recovering the state from peers")
		if next, err := s.compactor.Recover(ctx); err == nil {
			s.follower.SkipTo(next)
		}
	}
	return s.follower.Run(ctx)
}

// logReadable reports whether the log can be read now.
func (s *Server) logReadable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, logReadWait)
	defer cancel()
	_, err := s.platform.Read(ctx, recorder.StreamControl, 1, 1, 0)
	return err == nil || errors.Is(err, connector.ErrTrimmed)
}

// memberNames returns the names of the members of all data centres.
func (s *Server) memberNames() []string {
	var names []string
	for _, dataCentre := range s.state.DataCentres() {
		m, _, _ := s.state.Membership(dataCentre)
		for _, member := range m.Members {
			names = append(names, member.Name)
		}
	}
	return names
}

// peerAddresses returns the addresses of the seeds and of the other members of
// this data centre.
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

// joinMembership runs the watcher once the log has been read to its end, so that
// the configuration is known.
func (s *Server) joinMembership(ctx context.Context) error {
	select {
	case <-s.follower.CaughtUp():
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.watcher.Run(ctx)
}
