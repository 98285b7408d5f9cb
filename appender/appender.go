// Package appender writes records to the platform's log: many in one append,
// within a budget of appends a second, the most urgent first.
//
// A record's identity is chosen before the first append, so the package
// appends again after a lost answer, and readers recognise the repeat. It does
// not decide whether a record takes effect: Commit asks replayer.
package appender

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/timekeeper"
)

// The errors of the package. Every error of Append and Commit is marked with
// one of them.
var (
	// ErrBacklog is returned where too many records wait already. The record
	// was certainly not appended.
	ErrBacklog = errors.New("appender: too many records wait for the log")
	// ErrUnavailable is returned where the log did not take the record in
	// time. It was certainly not appended.
	ErrUnavailable = errors.New("appender: log out of reach")
	// ErrUnknown is returned where the record may have been appended, or may
	// still be found in the log later.
	ErrUnknown = errors.New("appender: outcome unknown")
	// ErrRecord is returned for a record that cannot be encoded or is too
	// long.
	ErrRecord = errors.New("appender: bad record")
)

// UnknownError says which record's outcome is unknown. It is marked with
// ErrUnknown.
type UnknownError struct {
	// ID is the identity of the record, by which the outcome can be asked for
	// and the same record appended again.
	ID string
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("appender: outcome of record %s unknown", e.ID)
}

// Is reports whether the target is ErrUnknown.
func (e *UnknownError) Is(target error) bool {
	return target == ErrUnknown
}

// Priority orders the records that wait. The lowest goes first.
type Priority int

// The priorities.
const (
	PriorityMembership Priority = iota
	PriorityClaim
	PriorityConfig
	PriorityJob
	PriorityAudit
)

const (
	defaultBudget   = 10.0
	defaultBacklog  = 4096
	defaultPatience = 5 * time.Second
	// maxRecords and maxBytes bound one append.
	maxRecords = 512
	maxBytes   = 1 << 20
	// maxRecord is the most bytes of one record.
	maxRecord     = 512 << 10
	appendTimeout = 5 * time.Second
	minBackoff    = 100 * time.Millisecond
	maxBackoff    = 5 * time.Second
)

// Awaiter tells what became of a record. replayer.State is one.
type Awaiter interface {
	// Await waits until the record has been applied.
	Await(ctx context.Context, id string) (replayer.Verdict, error)
}

// Appender appends records. It is safe for use by several goroutines.
type Appender struct {
	log      connector.Log
	queue    *queue
	limiter  *rate.Limiter
	clock    timekeeper.Clock
	logger   log.Interface
	backoff  *backoff.ExponentialBackOff
	metrics  *metrics
	outage   connector.Outage
	backlog  int
	patience time.Duration
}

// Option changes how an Appender works.
type Option func(*Appender)

// Budget sets the most appends a second, and how many may come at once after a
// quiet time. The default is 10 and as many.
func Budget(perSecond float64) Option {
	return func(a *Appender) {
		a.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
}

// SetBudget changes the budget while the appender runs, as when the platform's
// rate has to be shared among more processes.
func (a *Appender) SetBudget(perSecond float64) {
	now := a.clock.Now()
	a.limiter.SetLimitAt(now, rate.Limit(perSecond))
	a.limiter.SetBurstAt(now, max(1, int(perSecond)))
}

// Backlog sets the most records that wait. The default is 4,096.
func Backlog(records int) Option {
	return func(a *Appender) {
		a.backlog = records
	}
}

// Patience sets how long a record waits before it may, in every fourth append,
// go ahead of more urgent ones. The default is 5 s.
func Patience(patience time.Duration) Option {
	return func(a *Appender) {
		a.patience = patience
	}
}

// Backoff sets the first and the longest pause between appends that fail. The
// default is 100 ms and 5 s; both are randomised by half.
func Backoff(first, longest time.Duration) Option {
	return func(a *Appender) {
		a.backoff.InitialInterval = first
		a.backoff.MaxInterval = longest
	}
}

// Clock sets the clock. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(a *Appender) {
		a.clock = clock
	}
}

// Logger sets where the appender logs. By default it does not.
func Logger(logger log.Interface) Option {
	return func(a *Appender) {
		a.logger = logger
	}
}

// Metrics sets where the appender registers its metrics. By default it does
// not.
func Metrics(registerer prometheus.Registerer) Option {
	return func(a *Appender) {
		a.metrics.register(registerer)
	}
}

// New returns an appender. Nothing is appended before Run.
func New(platform connector.Log, opts ...Option) *Appender {
	a := &Appender{
		log:   platform,
		clock: timekeeper.System(),
		logger: &log.Logger{
			Handler: discard.Default,
		},
		backoff:  backoff.NewExponentialBackOff(),
		metrics:  newMetrics(),
		backlog:  defaultBacklog,
		patience: defaultPatience,
	}
	a.backoff.InitialInterval = minBackoff
	a.backoff.MaxInterval = maxBackoff
	Budget(defaultBudget)(a)
	for _, opt := range opts {
		opt(a)
	}
	a.queue = newQueue(a.backlog, a.patience)
	return a
}

// Append waits until the record is in the log. Until the context ends it is
// appended again after each failure.
func (a *Appender) Append(ctx context.Context, p Priority, stream string, r recorder.Record) error {
	return a.AppendAll(ctx, p, stream, r)
}

// AppendAll waits until the records are in the log, next to each other in one
// append. They may be more than one append usually takes.
func (a *Appender) AppendAll(ctx context.Context, p Priority, stream string, records ...recorder.Record) error {
	e, err := a.newEntry(p, stream, records)
	if err != nil {
		return err
	}
	if !a.queue.put(e) {
		a.metrics.refused.Inc()
		return errors.Wrapf(ErrBacklog, "%d records", a.backlog)
	}
	a.metrics.waiting.Set(float64(a.queue.length()))
	select {
	case <-e.done:
		return e.err
	case <-ctx.Done():
		return a.abandon(e, ctx.Err())
	}
}

func (a *Appender) newEntry(p Priority, stream string, records []recorder.Record) (*entry, error) {
	if len(records) == 0 {
		return nil, errors.Wrap(ErrRecord, "no records")
	}
	e := &entry{
		priority: p,
		stream:   stream,
		id:       records[0].ID(),
		since:    a.clock.Now(),
		done:     make(chan struct{}),
	}
	for _, r := range records {
		data, err := recorder.Encode(r)
		if err != nil {
			return nil, errors.WithStack(fmt.Errorf("%w: encode: %w", ErrRecord, err))
		}
		if len(data) > maxRecord {
			return nil, errors.Wrapf(ErrRecord, "record %s has %d bytes", r.ID(), len(data))
		}
		e.payloads = append(e.payloads, data)
		e.bytes += len(data)
	}
	return e, nil
}

// abandon gives up the wait for an entry.
func (a *Appender) abandon(e *entry, cause error) error {
	settled, touched := a.queue.abandon(e)
	switch {
	case settled:
		return e.err
	case touched:
		return errors.WithStack(&UnknownError{
			ID: e.id,
		})
	default:
		return errors.WithStack(fmt.Errorf("%w: log out of reach: %w", ErrUnavailable, cause))
	}
}

// Commit appends the record to the control stream, waits until it is read back
// and returns what became of it. It fails with ErrUnknown and the record's
// identity if that is not known when the context ends. An error that says that
// the record was not appended speaks of this call only.
func (a *Appender) Commit(ctx context.Context, p Priority, r recorder.Record, state Awaiter) (replayer.Verdict, error) {
	awaitCtx, stopAwait := context.WithCancel(ctx)
	defer stopAwait()
	appendCtx, stopAppend := context.WithCancel(ctx)
	defer stopAppend()
	var verdict replayer.Verdict
	var awaitErr error
	var group errgroup.Group
	group.Go(func() error {
		// The record may be read back although no append was answered.
		defer stopAppend()
		verdict, awaitErr = state.Await(awaitCtx, r.ID())
		return nil
	})
	err := a.Append(appendCtx, p, recorder.StreamControl, r)
	absent := err != nil && !errors.Is(err, ErrUnknown)
	if absent {
		stopAwait()
	}
	// The group's function returns no error.
	_ = group.Wait()
	switch {
	case awaitErr == nil:
		return verdict, nil
	case absent:
		return replayer.Verdict{}, err
	default:
		return replayer.Verdict{}, errors.WithStack(&UnknownError{
			ID: r.ID(),
		})
	}
}

// Run appends what waits until the context has ended, and returns the
// context's error. Whatever waits then is given up.
func (a *Appender) Run(ctx context.Context) error {
	defer a.queue.close()
	for {
		if err := a.queue.wait(ctx); err != nil {
			return err
		}
		if err := a.pace(ctx); err != nil {
			return err
		}
		err := a.appendNext(ctx)
		a.note(err)
		if err == nil {
			continue
		}
		if err := timekeeper.Sleep(ctx, a.clock, a.backoff.NextBackOff()); err != nil {
			return err
		}
	}
}

// note logs the beginning and the end of an outage.
func (a *Appender) note(err error) {
	now := a.clock.Now()
	if err == nil {
		a.backoff.Reset()
		if length, ended := a.outage.Work(now); ended {
			a.logger.Infof("appender: log takes appends again after %v", length)
		}
		return
	}
	a.metrics.failed.Inc()
	if a.outage.Fail(now) {
		a.logger.WithError(err).Warn("appender: log takes no appends")
		return
	}
	a.logger.WithError(err).Debug("appender: log still takes no appends")
}

// pace waits for the budget. What comes meanwhile joins the append.
func (a *Appender) pace(ctx context.Context) error {
	now := a.clock.Now()
	delay := a.limiter.ReserveN(now, 1).DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	return timekeeper.Sleep(ctx, a.clock, delay)
}

// appendNext makes one append. It returns an error if that should not be
// followed by another at once.
func (a *Appender) appendNext(ctx context.Context) error {
	batch := a.queue.next(a.clock.Now())
	if len(batch) == 0 {
		return nil
	}
	var payloads [][]byte
	for _, e := range batch {
		payloads = append(payloads, e.payloads...)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := a.log.Append(ctx, batch[0].stream, payloads)
	a.metrics.appends.Inc()
	a.finish(batch, err)
	a.metrics.waiting.Set(float64(a.queue.length()))
	return err
}

// finish tells the writers of the batch, or puts it back to be appended again.
func (a *Appender) finish(batch []*entry, err error) {
	switch {
	case err == nil:
		for _, e := range batch {
			a.metrics.records.Add(float64(len(e.payloads)))
			a.metrics.latency.Observe(a.clock.Now().Sub(e.since).Seconds())
		}
		a.queue.settle(batch, nil)
	case errors.Is(err, connector.ErrRefused):
		a.queue.settle(batch, errors.WithStack(fmt.Errorf("%w: refused by the log: %w", ErrUnavailable, err)))
	case errors.Is(err, connector.ErrUnreachable), errors.Is(err, connector.ErrBusy):
		a.queue.putBack(batch, false)
	default:
		a.metrics.unknown.Inc()
		a.queue.putBack(batch, true)
	}
}
