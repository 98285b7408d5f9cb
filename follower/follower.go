// Package follower tails one stream of the platform's log by offset. It passes on
// each record once and in order, also after outages and when the log repeats
// records. If the log no longer keeps the next record, the follower calls the
// recovery function or, without one, skips to the oldest record that is kept.
//
// The package neither interprets nor stores the records.
package follower

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	defaultWait  = 10 * time.Second
	defaultLimit = 500
	// tailReadLimit is the record limit of a read at the end of the stream.
	// smallBatchBytes is the maximum length of a full batch after which the
	// limit is doubled.
	tailReadLimit   = 8
	smallBatchBytes = 256 << 10
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 5 * time.Second
	attemptTimeout  = 5 * time.Second
)

// ErrGap is returned when the recovery failed, so that the follower cannot
// continue without a gap.
var ErrGap = errors.New("follower: records were dropped and no snapshot reaches them")

// ErrMissingRecord is returned if the log's answer does not begin with the record
// that was requested.
var ErrMissingRecord = errors.New("follower: answer of the log lacks the next record")

// Recover restores the state from a snapshot and returns the next offset to read.
// It fails if there is no snapshot that is ahead of the state.
type Recover func(ctx context.Context) (namer.Offset, error)

// Follower tails one stream.
type Follower struct {
	log     connector.Log
	stream  string
	apply   func(namer.Offset, recorder.Record)
	recover Recover
	clock   timekeeper.Clock
	logger  log.Interface
	wait    time.Duration
	limit   int
	backoff *backoff.ExponentialBackOff
	metrics *metrics
	outage  connector.Outage
	// readLimit is the record limit of the next read.
	readLimit int

	mu sync.Mutex
	// position is the next offset to read. It never decreases.
	position namer.Offset
	// lastContact is the time at which the last answered read was sent.
	lastContact time.Time
	// oldestOffset is the oldest offset that the log keeps, as of the last
	// answer.
	oldestOffset namer.Offset
	// currentAsOf is the time at which the last read was sent that reached the
	// end of the stream. Every record before that end has been applied.
	currentAsOf time.Time
	// caughtUp is closed once a read has first reached the end of the stream.
	caughtUp     chan struct{}
	caughtUpOnce sync.Once
	// started is true once a read was answered or a recovery succeeded.
	started bool
}

// Option configures a Follower.
type Option func(*Follower)

// From sets the first offset to read. The default is 1.
func From(offset namer.Offset) Option {
	return func(f *Follower) {
		f.position = max(offset, 1)
	}
}

// Recovery sets the function that restores the state at the start, and when the
// log no longer keeps the next record. If it fails at the start, the follower
// reads from its first offset on. Without a recovery, the follower continues with
// the oldest record that the log keeps, and counts those it skipped.
func Recovery(recover Recover) Option {
	return func(f *Follower) {
		f.recover = recover
	}
}

// Clock sets the clock. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(f *Follower) {
		f.clock = clock
	}
}

// Wait sets how long the log holds a read for which it has no records yet. The
// default is 10 s.
func Wait(wait time.Duration) Option {
	return func(f *Follower) {
		f.wait = wait
	}
}

// Limit sets the maximum number of records of one read. The default is 500. A
// follower that is not behind requests at most 8 records, since the parts of a
// snapshot are long.
func Limit(limit int) Option {
	return func(f *Follower) {
		f.limit = limit
	}
}

// Backoff sets the first and the longest pause after failed reads. The defaults
// are 100 ms and 5 s. Each pause is randomised by up to half its length.
func Backoff(first, longest time.Duration) Option {
	return func(f *Follower) {
		f.backoff.InitialInterval = first
		f.backoff.MaxInterval = longest
	}
}

// Logger sets the logger. By default nothing is logged.
func Logger(logger log.Interface) Option {
	return func(f *Follower) {
		f.logger = logger
	}
}

// Metrics sets where the metrics are registered. By default they are not.
func Metrics(registerer prometheus.Registerer) Option {
	return func(f *Follower) {
		f.metrics.register(registerer)
	}
}

// New returns a Follower of the stream that passes each record to apply.
func New(platform connector.Log, stream string, apply func(namer.Offset, recorder.Record), opts ...Option) *Follower {
	f := &Follower{
		log:    platform,
		stream: stream,
		apply:  apply,
		clock:  timekeeper.System(),
		logger: &log.Logger{
			Handler: discard.Default,
		},
		wait:     defaultWait,
		limit:    defaultLimit,
		backoff:  backoff.NewExponentialBackOff(),
		metrics:  newMetrics(stream),
		position: 1,
		caughtUp: make(chan struct{}),
	}
	f.backoff.InitialInterval = minBackoff
	f.backoff.MaxInterval = maxBackoff
	for _, opt := range opts {
		opt(f)
	}
	f.readLimit = min(tailReadLimit, f.limit)
	return f
}

// Position returns the next offset to read.
func (f *Follower) Position() namer.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// OldestOffset returns the oldest offset that the log keeps, as of the last
// answered read, or 0 if no read was answered.
func (f *Follower) OldestOffset() namer.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.oldestOffset
}

// LastContact returns the time at which the last answered read was sent, or the
// zero time if none was answered.
func (f *Follower) LastContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastContact
}

// SkipTo advances the position to the offset. It never moves the position back.
// It is meant for a state that was restored by other means, and must be called
// before Run.
func (f *Follower) SkipTo(next namer.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position = max(f.position, next)
}

// CurrentAsOf returns the time at which the last read was sent that reached the
// end of the stream, or the zero time if none has. Every record that was in the
// stream at that time has been applied.
func (f *Follower) CurrentAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentAsOf
}

// recordEnd records that a read sent at the given time reached the end of the
// stream.
func (f *Follower) recordEnd(sent time.Time) {
	f.caughtUpOnce.Do(func() { close(f.caughtUp) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentAsOf = sent
}

// CaughtUp returns a channel that is closed when the follower first reaches the
// end of the stream.
func (f *Follower) CaughtUp() <-chan struct{} {
	return f.caughtUp
}

// Run follows the stream until the context ends, and returns the context's error.
func (f *Follower) Run(ctx context.Context) error {
	for {
		err := f.Step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.logOutage(err)
		if err == nil {
			continue
		}
		if err := timekeeper.Sleep(ctx, f.clock, f.backoff.NextBackOff()); err != nil {
			return err
		}
	}
}

// logOutage logs the beginning and the end of an outage, and resets the backoff
// after a success.
func (f *Follower) logOutage(err error) {
	now := f.clock.Now()
	if err == nil {
		f.backoff.Reset()
		if length, ended := f.outage.RecordSuccess(now); ended {
			f.logger.Infof("follower: reads of stream %s succeed again after an outage of %v", f.stream, length)
		}
		return
	}
	f.metrics.failed.Inc()
	if f.outage.RecordFailure(now) {
		f.logger.WithError(err).Warnf("follower: reads of stream %s fail", f.stream)
		return
	}
	f.logger.WithError(err).Debugf("follower: reads of stream %s still fail", f.stream)
}

// recoverAtStart runs the recovery unless a recovery or a read has succeeded.
func (f *Follower) recoverAtStart(ctx context.Context) {
	if f.recover == nil || f.hasStarted() {
		return
	}
	if err := f.runRecovery(ctx); err != nil {
		f.logger.WithError(err).Debug("follower: no snapshot to start from")
	}
}

func (f *Follower) hasStarted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started
}

// Step reads once and applies the records of the answer. Run calls it repeatedly;
// Step and Run must not be used at the same time.
func (f *Follower) Step(ctx context.Context) error {
	f.recoverAtStart(ctx)
	sent := f.clock.Now()
	batch, err := f.read(ctx, f.Position(), f.readLimit, f.wait)
	switch {
	case errors.Is(err, connector.ErrTrimmed):
		return f.resumeAfterDrop(ctx)
	case err != nil:
		return err
	}
	f.recordContact(sent, batch)
	f.adjustReadLimit(batch)
	return f.applyBatch(ctx, sent, batch)
}

// adjustReadLimit doubles the limit of the next read after a full batch of at most
// smallBatchBytes, and resets it otherwise. This bounds the memory of a batch.
func (f *Follower) adjustReadLimit(batch connector.Batch) {
	size := 0
	for _, entry := range batch.Entries {
		size += len(entry.Payload)
	}
	if len(batch.Entries) < f.readLimit || size > smallBatchBytes {
		f.readLimit = min(tailReadLimit, f.limit)
		return
	}
	f.readLimit = min(2*f.readLimit, f.limit)
}

// read makes one read. Its timeout is the requested wait plus attemptTimeout.
func (f *Follower) read(ctx context.Context, from namer.Offset, limit int, wait time.Duration) (connector.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+attemptTimeout)
	defer cancel()
	return f.log.Read(ctx, f.stream, from, limit, wait)
}

// recordContact records that a read sent at the given time was answered.
func (f *Follower) recordContact(sent time.Time, batch connector.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.oldestOffset = max(f.oldestOffset, batch.First)
	f.lastContact = sent
	f.started = true
	f.metrics.lastContact.Set(float64(sent.UnixMilli()) / 1000)
}

// applyBatch applies the entries of a batch. It ignores entries that were applied
// before, and entries after a gap, which the next read requests again.
func (f *Follower) applyBatch(ctx context.Context, sent time.Time, batch connector.Batch) error {
	if batch.First > f.Position() {
		return f.resumeAfterDrop(ctx)
	}
	before := f.Position()
	for _, entry := range batch.Entries {
		if !f.applyEntry(entry) {
			break
		}
	}
	position := f.Position()
	if len(batch.Entries) > 0 && position == before {
		return errors.Wrapf(ErrMissingRecord, "no record at offset %d", position)
	}
	switch {
	case position == batch.Next:
		f.recordEnd(sent)
	case position > batch.Next:
		f.metrics.backwards.Inc()
		f.logger.Errorf("follower: log ends at offset %d, before the next offset to read, %d", batch.Next, position)
	}
	f.metrics.observe(position, batch)
	return nil
}

// applyEntry applies the entry if it is the next one. It returns false if there is
// a gap before the entry.
func (f *Follower) applyEntry(entry connector.Entry) bool {
	position := f.Position()
	if entry.Offset < position {
		f.metrics.repeated.Inc()
		return true
	}
	if entry.Offset > position {
		f.metrics.gaps.Inc()
		return false
	}
	f.decodeAndApply(entry)
	f.advance(entry.Offset + 1)
	return true
}

// decodeAndApply passes the entry's record to apply. A record that cannot be
// decoded is passed on as unreadable.
func (f *Follower) decodeAndApply(entry connector.Entry) {
	record, err := recorder.Decode(entry.Payload)
	if err != nil {
		f.metrics.unreadable.Inc()
		f.logger.WithError(err).Errorf("follower: cannot decode the record at offset %d", entry.Offset)
		record = recorder.Unreadable(fmt.Sprintf("unreadable@%d", entry.Offset), entry.Payload)
	}
	if unknown, ok := record.Body().(recorder.Unknown); ok {
		f.metrics.unknown.Inc()
		f.logger.Warnf("follower: record at offset %d is of the unknown kind %q", entry.Offset, unknown.Name)
	}
	f.apply(entry.Offset, record)
}

func (f *Follower) advance(position namer.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position = max(f.position, position)
}

// resumeAfterDrop continues after the log's retention dropped the next record: by
// the recovery or, without one, at the oldest record that the log keeps.
func (f *Follower) resumeAfterDrop(ctx context.Context) error {
	if f.recover != nil {
		return f.runRecovery(ctx)
	}
	batch, err := f.read(ctx, 0, 0, 0)
	if err != nil {
		return err
	}
	position := f.Position()
	if batch.First > position {
		f.metrics.skipped.Add(float64(batch.First - position))
		f.logger.Warnf("follower: skipped the records from offset %d to %d, which the log no longer keeps", position, batch.First-1)
		f.advance(batch.First)
	}
	return nil
}

func (f *Follower) runRecovery(ctx context.Context) error {
	next, err := f.recover(ctx)
	if err != nil {
		return errors.WithStack(fmt.Errorf("%w: recover: %w", ErrGap, err))
	}
	f.metrics.recovered.Inc()
	f.logger.Infof("follower: recovered to offset %d", next)
	f.advance(next)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = true
	return nil
}
