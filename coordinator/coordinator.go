// Package coordinator runs one entry process on a platform whose durable state is
// kept in a store. The process joins the group of entries, owns the partitions that
// the store assigns to it, follows the configuration and the directory of workers,
// and forwards calls that concern partitions of other entries.
package coordinator

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// ErrServe marks the errors of Run if a listener or the RPC service cannot be
// served.
var ErrServe = errors.New("coordinator: cannot serve")

const (
	// groupName is the name of the group that all entries join in the store.
	groupName = "entries"
	// joinInterval is the interval at which the membership is renewed. It bounds
	// how long an owner goes without learning that it was superseded.
	joinInterval = 300 * time.Millisecond
	// defaultTTL is how long a member may go without a join before the store
	// removes it: three join intervals and a margin.
	defaultTTL = 1050 * time.Millisecond
	// joinTimeout bounds one join or leave, and thereby the time after which a
	// store that has stopped answering is noticed.
	joinTimeout = 600 * time.Millisecond
	// directoryInterval is the interval at which an owner reads the directory. A
	// worker that is leaving must get no new runs after 2 s.
	directoryInterval = 400 * time.Millisecond
	// directoryIdleInterval is the same for an entry to which the group assigns only
	// partitions that are not used. It reads the directory for services with workers
	// that have no shards yet.
	directoryIdleInterval = 5 * time.Second
	// assignmentLinger is how long an entry without a partition keeps reading what
	// only owners need. The store at times removes all members, which then join again.
	assignmentLinger = 2 * time.Second
	// configWait is how long a read waits for a new configuration. The connection
	// may fail silently during the read, and a new configuration must be in force
	// within 2 s.
	configWait = 700 * time.Millisecond
	// retryPause is the pause before a failed call is repeated.
	retryPause = 150 * time.Millisecond
	// readyStoreAge is the maximum age of the store's last answer, once a call has
	// failed, at which the entry reports itself ready for new callers even if no
	// other entry can store jobs for it. The balancer takes another 2 s to notice.
	readyStoreAge = 900 * time.Millisecond
	// shardsStartupWait bounds how long a starting entry stays unready while a
	// configured service has no shards.
	shardsStartupWait = 5 * time.Second
	// drainDelay is how long a stopping entry keeps serving before it asks callers
	// to reconnect: two of the balancer's probes and a margin.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is kept back for ending
	// the process.
	shutdownMargin = 700 * time.Millisecond
	// headerTimeout bounds reading a caller's request header, and idleTimeout how
	// long an idle caller connection stays open.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
)

// Advise asks the platform's adviser once which of the workers may run a step. It
// returns the approved workers and how long their tickets are valid.
type Advise func(ctx context.Context, step scheduler.StepRef, workers []string) ([]scheduler.Approval, time.Duration, error)

// peerCaller makes calls to other entries. It is a messenger.Pool, except in tests.
type peerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	Close()
}

// Coordinator is one entry process.
type Coordinator struct {
	settings      settings
	store         *watchedStore
	submitBatcher *submitBatcher
	receiver      *receiver.Receiver
	pool          peerCaller
	entryPool     *entryPool
	adviceLimiter *adviceLimiter
	// evidenceKeeper knows how recently the configuration is known to have been the
	// newest.
	evidenceKeeper *evidenceKeeper
	owners         *ownerTable
	shards         *shards
	queueHistory   *queueHistory
	registry       *prometheus.Registry
	metrics        *conductor.Metrics

	// directoryRequests triggers an immediate read of the directory, workerShardRequests
	// one of all records of the shards, and serviceRequests one of those of services.
	directoryRequests   chan struct{}
	workerShardRequests chan struct{}
	serviceRequests     chan struct{}
	// configRead is closed once the store has answered a read of the configuration, and
	// peersRead once it has answered one of the records of the entries.
	configRead, peersRead         chan struct{}
	configAnswered, peersAnswered sync.Once
	feedMetrics                   *feedMetrics
	ownerMetrics                  *ownerMetrics
	// restoration ends the pauses of the feeds when the store answers again.
	restoration restoration
	// storeSilent is whether the last probe found the store silent. It is used by
	// probeStore only. refusedSubmits counts the records that were refused since
	// storeSilent changed.
	storeSilent    bool
	refusedSubmits atomic.Int64
	// leavingSince is the time since which the store has listed entries as owners to which
	// this one leaves the partitions and which it cannot reach. It, largerFinder and deferral
	// are used by keepMembership only.
	leavingSince time.Time
	largerFinder largerFinder
	// deferral gets what largerFinder finds. It is nil unless largerFinder is in use, or has
	// been since deferral was last received from.
	deferral chan bool
	// joinRequests triggers an immediate join, to learn which partitions are
	// assigned to this entry.
	joinRequests chan struct{}
	// oddLines limits the log lines on records that cannot be used.
	oddLines lineLimiter
	// unreachedLines limits the log lines on owners that were not reached.
	unreachedLines lineLimiter
	// startedAt is the time at which the Coordinator was created.
	startedAt time.Time
	// stopping is set once the process has begun to stop.
	stopping atomic.Bool
	// directory holds the workers that the directory listed when it was last read.
	directory atomic.Pointer[[]scheduler.WorkerEntry]
	// directoryRead and shardsRead describe the last answered reads of the directory and
	// of the records of the shards. They are nil unless these are followed.
	directoryRead, shardsRead atomic.Pointer[conductor.ReadState]

	mu sync.Mutex
	// member is the name of this incarnation of the process in the group.
	member     string
	generation int64
	// joinedAt is the time at which the last successful join was sent, zero while
	// the entry is not a member.
	joinedAt time.Time
	// owned holds the partitions that this process owns, by their number. They are
	// those of assigned that are used.
	owned map[int]*ownership
	// assigned holds the partitions that the last successful join assigned to this
	// process. It is never modified, only replaced. assignedUntil is the last time at
	// which there was one.
	assigned      map[int]bool
	assignedUntil time.Time
	// peers holds what the entries, including this one, have published about
	// themselves, by name.
	peers map[string]peer
	// preferred holds the names of the entries that are to be members of the group. It
	// is empty if all entries are.
	preferred []string
	// placementsAllowed is set once the records of the entries have been read, while
	// every entry keeps the stored placements of lasting tasks up to date.
	placementsAllowed atomic.Bool
	// ownCancelKeys is set likewise, while every entry reads the cancellations of which the
	// key contains the organisation.
	ownCancelKeys atomic.Bool
	// rangesAllowed is set once the records of the entries have been read, while every
	// entry reads occurrences that are stored as ranges.
	rangesAllowed atomic.Bool
	// grantsAllowed is set once the records of the entries have been read, while every
	// entry keeps grants of tasks to owners of other partitions.
	grantsAllowed atomic.Bool
}

// ownership is the state of a partition that this process owns.
type ownership struct {
	conductor *conductor.Conductor
	cancel    context.CancelFunc
	done      chan struct{}
}

// New returns a coordinator for one entry process. The options Listeners, Config
// and Directory are required.
func New(store storer.Store, workers conductor.Workers, advise Advise, bodies receiver.Bodies, opts ...Option) *Coordinator {
	c := &Coordinator{
		settings:     newSettings(opts),
		registry:     prometheus.NewRegistry(),
		metrics:      conductor.NewMetrics(),
		owned:        make(map[int]*ownership),
		peers:        make(map[string]peer),
		joinRequests: make(chan struct{}, 1),

		directoryRequests:   make(chan struct{}, 1),
		workerShardRequests: make(chan struct{}, 1),
		serviceRequests:     make(chan struct{}, 1),
		configRead:          make(chan struct{}),
		peersRead:           make(chan struct{}),
		feedMetrics:         newFeedMetrics(),
		ownerMetrics:        newOwnerMetrics(),
	}
	c.startedAt = c.settings.clock.Now()
	c.settings.workers = workers
	c.store = newWatchedStore(store, c.settings.clock)
	c.owners = newOwnerTable(c.store, c.settings.clock)
	c.shards = newShards(c.settings.shardSize, c.settings.partitions)
	c.queueHistory = newQueueHistory()
	c.submitBatcher = newSubmitBatcher(c.store)
	c.submitBatcher.limits = c.settings.storeLimits
	c.submitBatcher.serves = c.store.serves
	c.evidenceKeeper = newEvidenceKeeper(c)
	c.receiver = receiver.New(c, bodies, receiver.Logger(c.settings.logger), receiver.Clock(c.settings.clock),
		receiver.Evidence(c.evidenceKeeper.evidence))
	c.pool = messenger.NewPool(messenger.Secret(c.settings.secret), messenger.Clock(c.settings.clock))
	c.entryPool = newEntryPool(c)
	c.largerFinder = largerFinder{
		clock: c.settings.clock,
		ask:   c.askAlive,
	}
	c.adviceLimiter = &adviceLimiter{
		clock:  c.settings.clock,
		advise: advise,
	}
	c.renewMember()
	c.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	c.registry.MustRegister(c.receiver.Collectors()...)
	c.registry.MustRegister(c.metrics.Collectors()...)
	c.registry.MustRegister(c.store.collectors()...)
	c.registry.MustRegister(c.evidenceKeeper.collectors()...)
	c.registry.MustRegister(c.feedMetrics.collectors()...)
	c.registry.MustRegister(c.ownerMetrics.collectors()...)
	return c
}

// SetScheduling sets the scheduler options of the partitions that are owned from
// now on.
func (c *Coordinator) SetScheduling(options ...scheduler.Option) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings.scheduling = options
}

// renewMember gives this process a new member name, so that it joins the group as a
// new member.
func (c *Coordinator) renewMember() {
	incarnation := make([]byte, 0, 8)
	for range 8 {
		incarnation = append(incarnation, byte(rand.Uint32()))
	}
	c.member = c.settings.peerAddress + "/" + c.settings.name + "/" + hex.EncodeToString(incarnation)
	c.generation = 0
}

// Run serves until the context ends, then hands over the partitions and finishes
// the calls in flight.
func (c *Coordinator) Run(ctx context.Context) error {
	server := messenger.NewServer(messenger.Secret(c.settings.secret), messenger.Clock(c.settings.clock))
	if err := server.Register(rpcName, &rpc{coordinator: c}); err != nil {
		return fmt.Errorf("%w: %w", ErrServe, err)
	}
	c.settings.logger.WithFields(log.Fields{
		"entry":      c.settings.name,
		"dataCentre": c.settings.dataCentre,
		"member":     c.member,
	}).Info("coordinator: started")
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return ignoreCanceled(server.Serve(runCtx, c.settings.peerListener)) })
	c.startFollowing(runCtx, group)
	callers := c.callersServer()
	group.Go(func() error { return serve(callers, c.settings.callers) })
	probes := c.probesServer()
	group.Go(func() error { return serve(probes, c.settings.readiness) })
	var metrics *http.Server
	if c.settings.metrics != nil {
		metrics = c.metricsServer()
		group.Go(func() error { return serve(metrics, c.settings.metrics) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
		}
		c.shutdown(runCtx, group, callers)
		cancel()
		for _, s := range []*http.Server{probes, metrics, callers} {
			if s != nil {
				// The grace period is over: close what is still open.
				if err := s.Close(); err != nil {
					c.settings.logger.WithError(err).Warn("coordinator: closing an HTTP server failed")
				}
			}
		}
		return nil
	})
	err := group.Wait()
	c.pool.Close()
	c.settings.logger.WithField("entry", c.settings.name).Info("coordinator: stopped")
	return err
}

// startFollowing starts the goroutines that follow the store and the other entries.
func (c *Coordinator) startFollowing(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return ignoreCanceled(c.followConfig(ctx)) })
	group.Go(func() error { return ignoreCanceled(c.evidenceKeeper.followPeers(ctx)) })
	group.Go(func() error { return ignoreCanceled(c.followDirectory(ctx)) })
	group.Go(func() error { return ignoreCanceled(c.followPeers(ctx)) })
	group.Go(func() error { return ignoreCanceled(c.followServices(ctx)) })
	group.Go(func() error { return ignoreCanceled(c.followShards(ctx)) })
	group.Go(func() error { return ignoreCanceled(c.followUse(ctx)) })
	group.Go(func() error { return ignoreCanceled(c.inheritQueueHistory(ctx)) })
	group.Go(func() error { return ignoreCanceled(c.entryPool.probeEntries(ctx)) })
	group.Go(func() error { return ignoreCanceled(c.probeStore(ctx)) })
	group.Go(func() error { return ignoreCanceled(c.keepMembership(ctx, group)) })
}

// ignoreCanceled returns err, or nil if it is the error of a cancelled context.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrServe, err)
}

func (c *Coordinator) callersServer() *http.Server {
	return &http.Server{
		Handler:           c.receiver,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func (c *Coordinator) probesServer() *http.Server {
	return &http.Server{
		ReadHeaderTimeout: headerTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if reason := c.notReadyReason(); reason != "" {
				http.Error(w, reason, http.StatusServiceUnavailable)
				return
			}
			w.WriteHeader(http.StatusOK)
		}),
	}
}

func (c *Coordinator) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{}))
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
	}
}

// notReadyReason returns why the entry should get no new callers, or "" if it
// should get them. Without an answer of the store, it should get them while
// another reachable entry can store jobs for it.
func (c *Coordinator) notReadyReason() string {
	if c.stopping.Load() {
		return "stopping"
	}
	config, known := c.receiver.Config()
	if !known {
		return "no configuration yet"
	}
	if len(config.Organisations) > 0 && c.evidenceKeeper.evidence.Aging() {
		return "no recent evidence that the configuration is the newest"
	}
	for _, route := range config.Routes {
		if !c.shards.decided(route.Queue.Service) && c.settings.clock.Now().Sub(c.startedAt) < shardsStartupWait {
			return "a service has no shards yet"
		}
	}
	if (!c.store.reachable(readyStoreAge) || c.store.silent()) && len(c.entryPool.relayPeers(1)) == 0 {
		return "cut off from the store, and from every entry that it serves"
	}
	return ""
}

// shutdown hands the partitions over and lets callers finish, within the grace
// period.
func (c *Coordinator) shutdown(ctx context.Context, group *errgroup.Group, callers *http.Server) {
	c.stopping.Store(true)
	c.settings.logger.WithField("entry", c.settings.name).Info("coordinator: stopping")
	began := c.settings.clock.Now()
	c.handOver(ctx, "stopping")
	c.notifyPeers(ctx, group)
	if err := timekeeper.Sleep(ctx, c.settings.clock, min(drainDelay, c.settings.grace/2)); err != nil {
		return
	}
	callers.SetKeepAlivesEnabled(false)
	remaining := c.settings.grace - shutdownMargin - c.settings.clock.Now().Sub(began)
	ctx, cancel := context.WithTimeout(ctx, max(0, remaining))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		c.settings.logger.WithError(err).Warn("coordinator: the grace period ended before all callers were answered")
	}
}

// handOver gives up all partitions and leaves the group.
func (c *Coordinator) handOver(ctx context.Context, reason string) {
	c.mu.Lock()
	member := c.member
	for partition, own := range c.owned {
		c.dropOwnership(partition, own, reason)
	}
	c.assigned = nil
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := c.store.Leave(ctx, groupName, member); err != nil {
		c.settings.logger.WithError(err).Warn("coordinator: leaving the group failed, its partitions stay assigned until the membership expires")
	}
}
