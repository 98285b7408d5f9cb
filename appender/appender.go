// Package appender writes records to the platform's log. It batches many records
// into one append, stays within a budget of appends a second, and writes the
// most urgent records first.
//
// A record's identity is chosen before the first append. The package can thus
// append a record again after a lost answer, and readers recognise the
// repetition. It does not decide whether a record is accepted: Commit takes the
// verdict from replayer.
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

// The errors of the package. Every error that Append, AppendAll and Commit return
// wraps one of them.
var (
	// ErrBacklog is returned when the backlog is full. The record was certainly
	// not appended.
	ErrBacklog = errors.New("appender: too many records wait for the log")
	// ErrUnavailable is returned when the log did not accept the record in time.
	// The record was certainly not appended.
	ErrUnavailable = errors.New("appender: log out of reach")
	// ErrUnknown is returned when the record may have been appended, or may
	// still be appended later.
	ErrUnknown = errors.New("appender: outcome unknown")
	// ErrRecord is returned for a record that cannot be encoded or is too long.
	ErrRecord = errors.New("appender: bad record")
)

// UnknownError identifies the record whose outcome is unknown. It matches
// ErrUnknown.
type UnknownError struct {
	// ID is the identity of the record. The caller can use it to look up the
	// outcome and to append the same record again.
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

// Priority orders the waiting records. Records of the lowest value are appended
// first.
type Priority int

// The priorities, the most urgent first.
const (
	PriorityMembership Priority = iota
	PriorityClaim
	PriorityConfig
	PriorityJob
	PriorityAudit
)

const (
	defaultBudget       = 10.0
	defaultBacklog      = 4096
	defaultOverdueAfter = 5 * time.Second
	// maxBatchRecords and maxBatchBytes limit the batch of one append. A single
	// call of AppendAll may exceed them.
	maxBatchRecords = 512
	maxBatchBytes   = 1 << 20
	// maxRecordBytes is the maximum length of one encoded record.
	maxRecordBytes = 512 << 10
	appendTimeout  = 5 * time.Second
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Awaiter waits for the verdict on a record. replayer.State implements it.
type Awaiter interface {
	// Await waits until the record has been applied and returns the verdict.
	Await(ctx context.Context, id string) (replayer.Verdict, error)
}

// Appender appends records. It is safe for concurrent use.
type Appender struct {
	log          connector.Log
	queue        *queue
	limiter      *rate.Limiter
	clock        timekeeper.Clock
	logger       log.Interface
	backoff      *backoff.ExponentialBackOff
	metrics      *metrics
	outage       connector.Outage
	backlog      int
	overdueAfter time.Duration
}

// Option configures an Appender.
type Option func(*Appender)

// Budget sets the maximum number of appends a second, which is also the maximum
// burst. The default is 10.
func Budget(perSecond float64) Option {
	return func(a *Appender) {
		a.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
}

// SetBudget changes the budget while the appender runs, as when the platform's
// rate limit has to be shared among more processes.
func (a *Appender) SetBudget(perSecond float64) {
	now := a.clock.Now()
	a.limiter.SetLimitAt(now, rate.Limit(perSecond))
	a.limiter.SetBurstAt(now, max(1, int(perSecond)))
}

// Backlog sets the maximum number of waiting records, including those of an
// append in progress. The default is 4,096.
func Backlog(records int) Option {
	return func(a *Appender) {
		a.backlog = records
	}
}

// OverdueAfter sets how long a record waits before it is overdue. Every fourth
// append begins with the oldest overdue record instead of the most urgent one.
// The default is 5 s.
func OverdueAfter(overdueAfter time.Duration) Option {
	return func(a *Appender) {
		a.overdueAfter = overdueAfter
	}
}

// Backoff sets the first and the longest pause after failed appends. The defaults
// are 100 ms and 5 s. Each pause is randomised by up to half its length.
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

// Logger sets the logger. By default nothing is logged.
func Logger(logger log.Interface) Option {
	return func(a *Appender) {
		a.logger = logger
	}
}

// Metrics sets where the metrics are registered. By default they are not.
func Metrics(registerer prometheus.Registerer) Option {
	return func(a *Appender) {
		a.metrics.register(registerer)
	}
}

// New returns an Appender. It appends nothing until Run is called.
func New(platform connector.Log, opts ...Option) *Appender {
	a := &Appender{
		log:   platform,
		clock: timekeeper.System(),
		logger: &log.Logger{
			Handler: discard.Default,
		},
		backoff:      backoff.NewExponentialBackOff(),
		metrics:      newMetrics(),
		backlog:      defaultBacklog,
		overdueAfter: defaultOverdueAfter,
	}
	a.backoff.InitialInterval = minBackoff
	a.backoff.MaxInterval = maxBackoff
	Budget(defaultBudget)(a)
	for _, opt := range opts {
		opt(a)
	}
	a.queue = newQueue(a.backlog, a.overdueAfter)
	return a
}

// Append waits until the record is in the log. A failed append is retried until
// the context ends.
func (a *Appender) Append(ctx context.Context, p Priority, stream string, r recorder.Record) error {
	return a.AppendAll(ctx, p, stream, r)
}

// AppendAll waits until the records are in the log, adjacent to each other in one
// append. They may exceed the usual limits of one append.
func (a *Appender) AppendAll(ctx context.Context, p Priority, stream string, records ...recorder.Record) error {
	e, err := a.newEntry(p, stream, records)
	if err != nil {
		return err
	}
	if !a.queue.put(e) {
		a.metrics.refused.Inc()
		return errors.Wrapf(ErrBacklog, "%d records", a.backlog)
	}
	a.metrics.waiting.Set(float64(a.queue.recordCount()))
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
		priority:   p,
		stream:     stream,
		id:         records[0].ID(),
		enqueuedAt: a.clock.Now(),
		done:       make(chan struct{}),
	}
	for _, r := range records {
		data, err := recorder.Encode(r)
		if err != nil {
			return nil, errors.WithStack(fmt.Errorf("%w: encode: %w", ErrRecord, err))
		}
		if len(data) > maxRecordBytes {
			return nil, errors.Wrapf(ErrRecord, "record %s has %d bytes", r.ID(), len(data))
		}
		e.payloads = append(e.payloads, data)
		e.bytes += len(data)
	}
	return e, nil
}

// abandon stops waiting for an entry and returns the outcome known so far.
func (a *Appender) abandon(e *entry, cause error) error {
	settled, maybeAppended := a.queue.abandon(e)
	switch {
	case settled:
		return e.err
	case maybeAppended:
		return errors.WithStack(&UnknownError{
			ID: e.id,
		})
	default:
		return errors.WithStack(fmt.Errorf("%w: log out of reach: %w", ErrUnavailable, cause))
	}
}

// Commit appends the record to the control stream, waits until it is read back
// and returns the verdict. If the outcome is not known when the context ends, it
// returns an UnknownError with the record's identity. An error which says that
// the record was not appended refers to this call only, not to earlier calls with
// the same record.
func (a *Appender) Commit(ctx context.Context, p Priority, r recorder.Record, state Awaiter) (replayer.Verdict, error) {
	awaitCtx, stopAwait := context.WithCancel(ctx)
	defer stopAwait()
	appendCtx, stopAppend := context.WithCancel(ctx)
	defer stopAppend()
	var verdict replayer.Verdict
	var awaitErr error
	var group errgroup.Group
	group.Go(func() error {
		// The record may be read back although the answer to its append was
		// lost.
		defer stopAppend()
		verdict, awaitErr = state.Await(awaitCtx, r.ID())
		return nil
	})
	err := a.Append(appendCtx, p, recorder.StreamControl, r)
	notAppended := err != nil && !errors.Is(err, ErrUnknown)
	if notAppended {
		stopAwait()
	}
	// The group's only function returns no error.
	_ = group.Wait()
	switch {
	case awaitErr == nil:
		return verdict, nil
	case notAppended:
		return replayer.Verdict{}, err
	default:
		return replayer.Verdict{}, errors.WithStack(&UnknownError{
			ID: r.ID(),
		})
	}
}

// Run appends the waiting records until the context ends, and returns the
// context's error. The calls that still wait then fail.
func (a *Appender) Run(ctx context.Context) error {
	defer a.queue.close()
	for {
		if err := a.queue.wait(ctx); err != nil {
			return err
		}
		if err := a.waitForBudget(ctx); err != nil {
			return err
		}
		err := a.appendNext(ctx)
		a.logOutage(err)
		if err == nil {
			continue
		}
		if err := timekeeper.Sleep(ctx, a.clock, a.backoff.NextBackOff()); err != nil {
			return err
		}
	}
}

// logOutage logs the beginning and the end of an outage, and resets the backoff
// after a success.
func (a *Appender) logOutage(err error) {
	now := a.clock.Now()
	if err == nil {
		a.backoff.Reset()
		if length, ended := a.outage.RecordSuccess(now); ended {
			a.logger.Infof("appender: appends to the log succeed again after an outage of %v", length)
		}
		return
	}
	a.metrics.failed.Inc()
	if a.outage.RecordFailure(now) {
		a.logger.WithError(err).Warn("appender: appends to the log fail")
		return
	}
	a.logger.WithError(err).Debug("appender: appends to the log still fail")
}

// waitForBudget waits until the budget allows another append. Records that
// arrive meanwhile are appended with it.
func (a *Appender) waitForBudget(ctx context.Context) error {
	now := a.clock.Now()
	delay := a.limiter.ReserveN(now, 1).DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	return timekeeper.Sleep(ctx, a.clock, delay)
}

// appendNext makes one append, if any records wait. After an error the caller
// should pause before the next append.
func (a *Appender) appendNext(ctx context.Context) error {
	batch := a.queue.nextBatch(a.clock.Now())
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
	a.handleResult(batch, err)
	a.metrics.waiting.Set(float64(a.queue.recordCount()))
	return err
}

// handleResult completes the entries of the batch, or requeues them if the append
// is to be retried.
func (a *Appender) handleResult(batch []*entry, err error) {
	switch {
	case err == nil:
		for _, e := range batch {
			a.metrics.records.Add(float64(len(e.payloads)))
			a.metrics.latency.Observe(a.clock.Now().Sub(e.enqueuedAt).Seconds())
		}
		a.queue.settle(batch, nil)
	case errors.Is(err, connector.ErrRefused):
		a.queue.settle(batch, errors.WithStack(fmt.Errorf("%w: refused by the log: %w", ErrUnavailable, err)))
	case errors.Is(err, connector.ErrUnreachable), errors.Is(err, connector.ErrRateLimited):
		a.queue.requeue(batch, false)
	default:
		a.metrics.unknown.Inc()
		a.queue.requeue(batch, true)
	}
}
