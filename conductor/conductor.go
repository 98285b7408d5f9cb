// Package conductor carries out what a scheduler decides for the jobs of one
// partition, as its only owner: it reads jobs from the store, sends orders to
// workers, asks for advice, and stores the progress.
//
// Two mechanisms fence off former owners. The token of an owner serves as the
// epoch of its writes, by which the store rejects writes of former owners, and as
// the fencing token of its orders, by which each worker that can be reached
// rejects orders of former owners.
package conductor

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// Errors that a Conductor and its Workers return.
var (
	// ErrSuperseded is returned if the partition has a later owner.
	ErrSuperseded = errors.New("conductor: there is a later owner")
	// ErrWorkerGone is returned if an incarnation of a worker has ended.
	ErrWorkerGone = errors.New("conductor: the worker has ended")
	// ErrUnreachable is returned if a worker gave no usable answer.
	ErrUnreachable = errors.New("conductor: the worker did not answer")
	// ErrDisconnected is returned, besides ErrUnreachable, if the connection ended before
	// the answer, so that the worker's host was up until then.
	ErrDisconnected = errors.New("conductor: the worker closed the connection")
	// ErrNotListening is returned, besides ErrUnreachable, if the worker's host refused
	// the connection.
	ErrNotListening = errors.New("conductor: the worker's host refused the connection")
	// ErrNotReady is returned while the jobs are being read from the store.
	ErrNotReady = errors.New("conductor: the jobs are being read")
)

const (
	// JobsTopic holds the jobs that callers submitted and the records that cancel
	// them.
	JobsTopic = "jobs"
	// ProgressTopic holds the progress of jobs, as their owners store it.
	ProgressTopic = "progress"

	// cancelSuffix follows the job's identity in the key of a record that cancels
	// the job. A slash and the organisation, if there is one, follow it.
	cancelSuffix = "/cancel"
	// workersKey is the key under which an owner stores the workers that it uses.
	workersKey = "/workers"
	// silentKey is the key under which an owner stores the workers that have not
	// reported to it.
	silentKey = "/silent"
	// allotmentsKey is the key under which an owner stores the ledger of the parts
	// of maxima that it has given and received.
	allotmentsKey = "/allotments"
	// checkKey is the key of a deletion that an owner appends to find out whether there was
	// a later one. It has never a value.
	checkKey = "/check"
	// writerName names the writer of progress. It is the same for all owners, so
	// that the store rejects the writes of all owners but the one with the latest
	// epoch.
	writerName = "owner"

	// readWait is how long a read waits for new jobs. If the connection fails
	// silently, the read is repeated only after that.
	readWait = 400 * time.Millisecond
	// retryPause is the pause before a failed call to the store is repeated.
	retryPause = 100 * time.Millisecond
	// urgentWriteDelay is the delay of a write for which a caller may be waiting.
	// It combines the ends of runs that are reported within a round trip of each
	// other into one write.
	urgentWriteDelay = 5 * time.Millisecond
	// normalWriteDelay is the delay of a write of other progress. Workers report
	// the end of a run again until it is acknowledged, which may take up to a few
	// seconds.
	normalWriteDelay = 25 * time.Millisecond
	// minCheckInterval is the shortest time between two checks for which lost runs wait. The
	// workers of a data centre that is cut off are lost one after the other within a second.
	minCheckInterval = 100 * time.Millisecond
	// minTickInterval is the shortest time between two ticks of the scheduler.
	minTickInterval = 3 * time.Millisecond
	// busyTickInterval and idleTickInterval are the longest time between two ticks,
	// with and without jobs.
	busyTickInterval = 50 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
	// metricsInterval is the interval at which the metrics are set that require a
	// pass over all open steps: a few times between two scrapes.
	metricsInterval = time.Second
	// serviceLineInterval is the interval of the log lines on what the workers of the shard
	// have. With those of the other owners, they show whether a service had room.
	serviceLineInterval = 5 * time.Second
	// renewalWait is how long a worker waits for the end of a run before it
	// answers a renewal of its lease.
	renewalWait = time.Second
	// renewalRetryPause is the pause before a failed renewal of a lease is
	// repeated. It also bounds the wait for a write between two renewals.
	renewalRetryPause = 200 * time.Millisecond
	// maxFirstSequence bounds the sequence number of the first write of an ownership.
	maxFirstSequence = 1 << 31
	// startTries is how many times a start without an answer is sent.
	startTries = 2
	// storeTimeout bounds one try to store progress.
	storeTimeout = 3 * time.Second
	// catchUpTimeout bounds how long a caller waits until all stored jobs are read.
	catchUpTimeout = 400 * time.Millisecond
)

// Workers makes calls to workers. Each call carries a fencing token, that of the owner or, for a worker
// that has started again under its identity, a higher one.
// Errors are marked with ErrSuperseded, ErrWorkerGone or ErrUnreachable.
type Workers interface {
	// Start orders a run. An answer that the worker has it is passed through StartTask.DoneAt. The error
	// gives the reason for any other outcome.
	Start(ctx context.Context, token int64, order scheduler.StartTask) (scheduler.StartOutcome, error)
	Stop(ctx context.Context, token int64, order scheduler.StopTask) error
	Pace(ctx context.Context, token int64, order scheduler.PaceTask) error
	// RenewLease renews the lease of a worker and returns its report, once a
	// run has ended or after the given wait.
	RenewLease(ctx context.Context, token int64, order scheduler.LeaseRenewal, wait time.Duration) (scheduler.Report, error)
}

// Adviser asks which workers may run a step.
type Adviser interface {
	// Advise returns the approved workers and how long their tickets are valid.
	Advise(ctx context.Context, order scheduler.AskAdvice) ([]scheduler.Approval, time.Duration, error)
	// AdviceLimits returns how many quick calls and how many long calls may be under way
	// at once.
	AdviceLimits() (quick, long int)
}

// Conductor is the owner of one partition.
type Conductor struct {
	store     storer.Store
	workers   Workers
	adviser   Adviser
	clock     timekeeper.Clock
	bootClock timekeeper.BootClock
	logger    log.Interface
	partition int
	token     int64
	options   []scheduler.Option
	metrics   *Metrics
	limits    storer.Limits
	// placementsAllowed reports whether the placements of lasting tasks may be stored.
	placementsAllowed func() bool
	// rangesAllowed reports whether occurrences that are done may be stored as ranges.
	rangesAllowed func() bool
	// askAllotment calls the owner of another partition. It is nil if the allotments
	// are not exchanged.
	askAllotment AskAllotment
	// delegate calls the owner of another partition about jobs of this one, nil if no tasks
	// are left to others, and grantsAllowed reports whether they may be.
	delegate      Delegate
	askRoom       AskRoom
	grantsAllowed func() bool
	// jobPart returns an upper bound of the fraction of an organisation's jobs that the
	// partition gets.
	jobPart func() float64
	// requestJoin has the group asked for the assignment, nil if an owner acts without that.
	requestJoin func()
	// knowledge returns how recent the sources of the workers are.
	knowledge func() Knowledge

	// tickRequests triggers a tick of the scheduler, and writeRequests a write of
	// the progress.
	tickRequests  chan struct{}
	writeRequests chan struct{}
	// checkRequests triggers a check whether there is a later owner.
	checkRequests chan struct{}
	// delegationRequests triggers a check whether other owners are to be called about tasks
	// that they run.
	delegationRequests chan struct{}
	// exchangeRequests triggers a check whether parts are to be asked for.
	exchangeRequests chan struct{}

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	// suspensions measures those that the scheduler is told of.
	suspensions *timekeeper.SuspensionMeter
	// listedAt is the time at which the last join was sent whose answer lists the partition for this
	// owner. listed is closed and replaced with each.
	listedAt time.Time
	listed   chan struct{}
	// ready is set once all stored jobs were read.
	ready bool
	// next is the offset of the next job to read.
	next int64
	// jobsReadAt is the time of the last answered read of the jobs partition.
	jobsReadAt time.Time
	// progressed is closed and replaced after each read of jobs and each write of
	// progress.
	progressed chan struct{}
	// directoryWorkers holds the workers that the directory last listed.
	directoryWorkers []scheduler.WorkerEntry
	// leaseKeepers holds the worker leases that are being renewed, by worker.
	leaseKeepers map[string]*leaseKeeper
	// renewalLines limits the log lines on failed renewals, by worker.
	renewalLines map[string]*limitedLines
	// recordLines limits the log lines on records of the jobs that cannot be used.
	recordLines limitedLines
	// sequence is the sequence number of the next write. It begins at random, so that the
	// store rejects the writes of another ownership with the same epoch.
	sequence int64
	// writeLines limits the log lines on writes of progress. It is used by writeLoop only.
	writeLines limitedLines
	// progressEnd is the end of the progress partition after the last write. Like sequence
	// it is used by takeOver and then by writeLoop only.
	progressEnd int64
	// workerRecords is the number of records among which the store may have divided the list
	// of the workers in use. It is used like progressEnd.
	workerRecords int
	// confirmedAt is the last time at which the ownership is known to have held, beside that
	// at which its epoch was announced. It is zero until then.
	confirmedAt time.Time
	// doubtedAt is the last time at which there may have been a later owner, zero if there
	// has certainly been none.
	doubtedAt time.Time
	// assignedAt is the time at which the ownership began. startedRun is set once
	// a worker has carried out a start since then.
	assignedAt time.Time
	startedRun atomic.Bool
	// organisations and overage are passed on to the scheduler, unless
	// organisationsPending is set as they are not known.
	organisations []scheduler.Organisation
	overage       float64

	organisationsPending bool
	// delegates holds, by service, the partitions whose owners may run tasks of this one,
	// and delegateCalls the calls to them, by partition.
	delegates     map[string][]int
	delegateCalls map[int]*delegateCalls
	// exchange is the state of the exchange of allotments.
	exchange exchange
	// admissionLines limits the log lines on refused jobs, and unknownCancelLines those on
	// cancellations of unknown jobs.
	admissionLines     lineLimiter
	unknownCancelLines limitedLines
}

// Option changes how a Conductor works.
type Option func(*Conductor)

// Clock sets the clock. The default is the host's clock.
func Clock(clock timekeeper.Clock) Option {
	return func(c *Conductor) {
		c.clock = clock
	}
}

// BootClock sets the clock that shows for how long the host was suspended. By default it is taken to
// have never been.
func BootClock(clock timekeeper.BootClock) Option {
	return func(c *Conductor) {
		c.bootClock = clock
	}
}

// AwaitAssignment has an owner act only once a join that was sent after the announcement of its epoch
// has found that the partition is still assigned to it, and sets how a join is requested. By default
// it acts at once.
func AwaitAssignment(requestJoin func()) Option {
	return func(c *Conductor) {
		c.requestJoin = requestJoin
	}
}

// Logger sets where decisions are logged. By default they are not logged.
func Logger(logger log.Interface) Option {
	return func(c *Conductor) {
		c.logger = logger
	}
}

// Scheduling sets the options of the scheduler.
func Scheduling(options ...scheduler.Option) Option {
	return func(c *Conductor) {
		c.options = options
	}
}

// WithMetrics sets the metrics to update. By default they are updated but not
// exposed.
func WithMetrics(metrics *Metrics) Option {
	return func(c *Conductor) {
		c.metrics = metrics
	}
}

// PlacementsAllowed sets the function that reports whether the placements of lasting
// tasks may be stored, which is so unless an owner of an older release can follow. By
// default they always may.
func PlacementsAllowed(allowed func() bool) Option {
	return func(c *Conductor) {
		c.placementsAllowed = allowed
	}
}

// StoreLimits sets the sizes that the store accepts. The default is that of
// storer.NewLimits.
func StoreLimits(limits storer.Limits) Option {
	return func(c *Conductor) {
		c.limits = limits
	}
}

// OccurrenceRangesAllowed sets the function that reports whether the occurrences of a job
// that are done may be stored as ranges, which is so unless an owner of an older release can
// follow. By default they always may.
func OccurrenceRangesAllowed(allowed func() bool) Option {
	return func(c *Conductor) {
		c.rangesAllowed = allowed
	}
}

// New returns the owner of a partition with the given fencing token, which must be
// higher than that of any former owner.
func New(store storer.Store, workers Workers, adviser Adviser, partition int, token int64, opts ...Option) *Conductor {
	c := &Conductor{
		store:   store,
		workers: workers,
		adviser: adviser,
		clock:   timekeeper.System(),
		logger: &log.Logger{
			Handler: log.HandlerFunc(func(*log.Entry) error { return nil }),
			Level:   log.FatalLevel,
		},
		partition:         partition,
		token:             token,
		sequence:          rand.Int64N(maxFirstSequence),
		metrics:           NewMetrics(),
		limits:            storer.NewLimits(0, 0),
		placementsAllowed: func() bool { return true },
		rangesAllowed:     func() bool { return true },
		grantsAllowed:     func() bool { return true },
		jobPart:           func() float64 { return 1 },
		knowledge:         func() Knowledge { return Knowledge{} },
		admissionLines:    make(lineLimiter),
		tickRequests:      make(chan struct{}, 1),
		writeRequests:     make(chan struct{}, 1),
		checkRequests:     make(chan struct{}, 1),
		exchangeRequests:  make(chan struct{}, 1),

		delegationRequests: make(chan struct{}, 1),
		exchange:           newExchange(),
		progressed:         make(chan struct{}),
		delegateCalls:      make(map[int]*delegateCalls),
		listed:             make(chan struct{}),
		leaseKeepers:       make(map[string]*leaseKeeper),
		renewalLines:       make(map[string]*limitedLines),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.suspensions = timekeeper.NewSuspensionMeter(c.clock, c.bootClock)
	c.assignedAt = c.clock.Now()
	return c
}

// Run owns the partition until the context ends or there is a later owner. In the
// latter case, the error is marked with ErrSuperseded.
func (c *Conductor) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := c.takeOver(ctx); err != nil {
			return err
		}
		c.logger.WithFields(log.Fields{
			"partition":    c.partition,
			"token":        c.token,
			"sinceDealtMs": c.clock.Now().Sub(c.assignedAt).Milliseconds(),
		}).Info("conductor: took over the partition")
		group.Go(func() error { return c.followJobs(ctx) })
		group.Go(func() error { return c.writeLoop(ctx) })
		group.Go(func() error { return c.deleteCancellations(ctx) })
		group.Go(func() error { return c.deleteJobs(ctx) })
		group.Go(func() error { return c.exchangeAllotments(ctx, group) })
		group.Go(func() error { return c.callDelegates(ctx, group) })
		return c.runScheduler(ctx, group)
	})
	return group.Wait()
}

// Token returns the fencing token.
func (c *Conductor) Token() int64 {
	return c.token
}

// ConfirmOwnership records that the ownership held at the given time, unless there may have been
// a later owner since then.
func (c *Conductor) ConfirmOwnership(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedAt = at
	close(c.listed)
	c.listed = make(chan struct{})
	if c.doubtedAt.IsZero() {
		c.confirm(at)
	}
}

// DoubtOwnership records that the partition may have had a later owner although it is assigned
// to this one again. The ownership is not confirmed until the store has shown that no later
// epoch was announced.
func (c *Conductor) DoubtOwnership() {
	c.mu.Lock()
	c.doubtedAt = c.clock.Now()
	c.mu.Unlock()
	c.requestCheck()
}

// requestCheck triggers a check whether there is a later owner.
func (c *Conductor) requestCheck() {
	select {
	case c.checkRequests <- struct{}{}:
	default:
	}
}

// checkDue reports whether a check whether there is a later owner is still due.
func (c *Conductor) checkDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, awaited := c.scheduler.ConfirmationDue()
	return awaited || !c.doubtedAt.IsZero()
}

// confirmWriter records that the store has taken a write of this owner that began at the given
// time, so that no later epoch had been announced by then.
func (c *Conductor) confirmWriter(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, awaited := c.scheduler.ConfirmationDue()
	c.scheduler.ConfirmOwnership(began)
	if awaited {
		c.requestTick()
	}
}

// checkOwnership ends the doubt of the ownership. It returns ErrSuperseded if there was a later
// owner.
func (c *Conductor) checkOwnership(ctx context.Context) error {
	began := c.clock.Now()
	// The store rejects the append if there was a later owner.
	if err := c.appendProgress(ctx, []storer.Record{
		{
			Key: checkKey,
		},
	}); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.doubtedAt.After(began) {
		c.doubtedAt = time.Time{}
		c.confirm(began)
	}
	return nil
}

// readClock returns the time, and has the scheduler know of a suspension of the host before it. The
// caller holds mu.
func (c *Conductor) readClock() time.Time {
	now, suspended := c.suspensions.Read()
	if suspended > 0 {
		c.scheduler.AddSuspension(suspended, now)
		c.logger.WithFields(log.Fields{
			"partition":   c.partition,
			"token":       c.token,
			"suspendedMs": suspended.Milliseconds(),
		}).Warn("conductor: the host was suspended")
	}
	return now
}

// confirm records that the ownership held at the given time. The caller holds mu.
func (c *Conductor) confirm(at time.Time) {
	c.confirmedAt = at
	if c.scheduler != nil {
		c.scheduler.ConfirmAssignment(at)
	}
}

// SetWorkers sets the workers that the directory lists.
func (c *Conductor) SetWorkers(directoryWorkers []scheduler.WorkerEntry) {
	c.mu.Lock()
	c.directoryWorkers = directoryWorkers
	if c.scheduler != nil {
		c.scheduler.SetWorkers(directoryWorkers)
	}
	c.mu.Unlock()
	c.requestTick()
	c.requestWrite()
}

func (c *Conductor) jobsPartition() storer.Partition {
	return storer.Partition{
		Topic:  JobsTopic,
		Number: c.partition,
	}
}

func (c *Conductor) progressPartition() storer.Partition {
	return storer.Partition{
		Topic:  ProgressTopic,
		Number: c.partition,
	}
}

// JobRecord returns the record that stores a job.
func JobRecord(job scheduler.Job) (storer.Record, error) {
	value, err := json.Marshal(job)
	if err != nil {
		return storer.Record{}, errors.Wrap(err, "conductor: encode a job")
	}
	return storer.Record{
		Key:   job.ID,
		Value: value,
	}, nil
}

// signalProgress wakes the goroutines that wait on progressed. The caller holds
// mu.
func (c *Conductor) signalProgress() {
	close(c.progressed)
	c.progressed = make(chan struct{})
}

// requestTick triggers a tick of the scheduler.
func (c *Conductor) requestTick() {
	select {
	case c.tickRequests <- struct{}{}:
	default:
	}
}

// requestWrite triggers a write of the progress.
func (c *Conductor) requestWrite() {
	select {
	case c.writeRequests <- struct{}{}:
	default:
	}
}

// runScheduler ticks the scheduler whenever something has changed, and at
// intervals, and carries out its effects.
func (c *Conductor) runScheduler(ctx context.Context, group *errgroup.Group) error {
	defer c.metrics.deleteLoad(c.partition)
	var metricsSetAt, servicesLoggedAt, requestedFor, checkRequestedAt time.Time
	for {
		quick, long := c.adviser.AdviceLimits()
		placementsAllowed, rangesAllowed, grantsAllowed := c.placementsAllowed(), c.rangesAllowed(), c.grantsAllowed()
		jobPart := c.jobPart()
		c.mu.Lock()
		c.scheduler.AllowPlacements(placementsAllowed)
		c.scheduler.AllowOccurrenceRanges(rangesAllowed)
		c.scheduler.AllowGrants(grantsAllowed)
		c.scheduler.SetAdviceLimits(quick, long)
		c.scheduler.SetJobPart(jobPart)
		c.updateLeaseKeepers(ctx, group)
		effects := c.scheduler.Tick(c.readClock())
		notes := c.scheduler.Notes()
		var services []scheduler.ServiceLoad
		c.metrics.addLosses(c.scheduler.Losses())
		if now := c.clock.Now(); now.Sub(metricsSetAt) >= metricsInterval {
			metricsSetAt = now
			services = c.scheduler.ServiceLoads(now)
			c.metrics.setServices(c.partition, services)
			c.metrics.setAdvice(c.partition, c.scheduler.AdviceLoad(now))
			c.metrics.setLasting(c.partition, c.scheduler.LastingLoad(now))
			c.metrics.setPlanned(c.partition, c.scheduler.OldestPlanned(now))
			c.metrics.setPendingStops(c.partition, c.scheduler.StopLoad(now))
			c.metrics.setJobsRead(c.partition, c.jobsReadAt)
			c.metrics.setConfirmed(c.partition, c.scheduler.ConfirmedAt())
			c.metrics.setDelegations(c.partition, c.scheduler.GrantedTasks(), c.scheduler.GuestTasks())
			c.metrics.organisations.set(c.partition, c.scheduler.OrganisationLoads(), c.scheduler.ShareLoads())
		}
		unwritten, _ := c.scheduler.Unwritten()
		exchanges := len(c.exchange.base) > 0
		delegates := c.scheduler.Delegates()
		confirmationDue, awaited := c.scheduler.ConfirmationDue()
		wait := idleTickInterval
		if c.scheduler.Jobs() > 0 {
			wait = busyTickInterval
		}
		c.mu.Unlock()
		if unwritten {
			c.requestWrite()
		}
		if exchanges {
			c.requestExchange()
		}
		if now := c.clock.Now(); awaited && confirmationDue.After(requestedFor) && now.Sub(checkRequestedAt) >= minCheckInterval {
			requestedFor, checkRequestedAt = confirmationDue, now
			c.requestCheck()
		}
		if delegates {
			c.requestDelegations()
		}
		c.logNotes(notes)
		if len(services) > 0 && metricsSetAt.Sub(servicesLoggedAt) >= serviceLineInterval {
			servicesLoggedAt = metricsSetAt
			c.logServices(services)
		}
		for _, effect := range effects {
			group.Go(func() error { return c.carryOut(ctx, effect) })
		}
		if err := timekeeper.Sleep(ctx, c.clock, minTickInterval); err != nil {
			return err
		}
		timer := c.clock.NewTimer(wait)
		select {
		case <-c.tickRequests:
		case <-timer.C():
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// logServices logs what the workers of the shard have for each service.
func (c *Conductor) logServices(loads []scheduler.ServiceLoad) {
	for _, load := range loads {
		c.logger.WithFields(log.Fields{
			"partition":      c.partition,
			"token":          c.token,
			"service":        load.Service,
			"workers":        load.Workers,
			"available":      load.Available,
			"milliCores":     load.Total.MilliCores(),
			"freeMilliCores": load.Free.MilliCores(),
			"waitingSteps":   load.WaitingSteps,
			"longestWaitMs":  load.LongestWait.Milliseconds(),
		}).Info("conductor: room of the shard")
	}
}

func (c *Conductor) logNotes(notes []scheduler.Note) {
	for _, note := range notes {
		c.logger.WithFields(log.Fields{
			"id":        note.Task.Step.Job,
			"task":      note.Task.String(),
			"worker":    note.Worker,
			"ageMs":     note.Age.Milliseconds(),
			"partition": c.partition,
			"token":     c.token,
		}).Info("conductor: " + note.Text)
	}
}
