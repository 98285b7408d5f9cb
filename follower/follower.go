// Package follower tails one stream of the platform's log by offset and hands
// each record on once, in order, through outages, repeated answers and records
// that retention drops.
//
// The package does not know what the records mean, and keeps none.
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
	// fewRecords is the limit of a read at the end of the stream, and
	// smallBatch how many bytes a batch may have for the next to be longer.
	fewRecords     = 8
	smallBatch     = 256 << 10
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	attemptTimeout = 5 * time.Second
)

// ErrGap is returned by a recovery that found nothing to go on from.
var ErrGap = errors.New("follower: records were dropped and no snapshot reaches them")

// ErrAnswer is returned for an answer of the log that does not begin with the
// record that was asked for.
var ErrAnswer = errors.New("follower: answer of the log without the next record")

// Recover brings the state up to a snapshot and returns the next offset to
// read. It fails if there is none.
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
	// window is the limit of the next read.
	window int

	mu sync.Mutex
	// position is the next offset to read. It never falls.
	position namer.Offset
	// contact is when the last answered read was sent.
	contact time.Time
	// oldest is the oldest offset that the log was last known to keep.
	oldest namer.Offset
	// ended is when the last read was sent that reached the end of the stream.
	// Everything before that end was applied.
	ended time.Time
	// caught is closed once the end of the stream was reached.
	caught     chan struct{}
	caughtOnce sync.Once
	// met is true once a read was answered or a recovery succeeded.
	met bool
}

// Option changes how a Follower works.
type Option func(*Follower)

// From sets the first offset to read. The default is 1.
func From(offset namer.Offset) Option {
	return func(f *Follower) {
		f.position = max(offset, 1)
	}
}

// Recovery sets what is done at the start, and where the records that come next
// are no longer kept. At the start its failure is no fault: the follower then
// reads from its first offset on. By default the follower goes on with the
// oldest record that is kept, and counts those it skipped.
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

// Wait sets how long the log holds a read that has nothing to return yet. The
// default is 10 s.
func Wait(wait time.Duration) Option {
	return func(f *Follower) {
		f.wait = wait
	}
}

// Limit sets the most records of one read. The default is 500. A follower that
// is not behind asks for 8, since a snapshot's parts are long.
func Limit(limit int) Option {
	return func(f *Follower) {
		f.limit = limit
	}
}

// Backoff sets the first and the longest pause between reads that fail. The
// default is 100 ms and 5 s; both are randomised by half.
func Backoff(first, longest time.Duration) Option {
	return func(f *Follower) {
		f.backoff.InitialInterval = first
		f.backoff.MaxInterval = longest
	}
}

// Logger sets where the follower logs. By default it does not.
func Logger(logger log.Interface) Option {
	return func(f *Follower) {
		f.logger = logger
	}
}

// Metrics sets where the follower registers its metrics. By default it does
// not.
func Metrics(registerer prometheus.Registerer) Option {
	return func(f *Follower) {
		f.metrics.register(registerer)
	}
}

// New returns a follower of the stream that hands its records to apply.
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
		caught:   make(chan struct{}),
	}
	f.backoff.InitialInterval = minBackoff
	f.backoff.MaxInterval = maxBackoff
	for _, opt := range opts {
		opt(f)
	}
	f.window = min(fewRecords, f.limit)
	return f
}

// Position returns the next offset to read.
func (f *Follower) Position() namer.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Oldest returns the oldest offset that the log was last known to keep, 0 if no
// read was answered.
func (f *Follower) Oldest() namer.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.oldest
}

// LastContact returns when the last answered read was sent, zero if none was.
func (f *Follower) LastContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// Skip moves the position on to the offset, never back. It is for a state that
// came from elsewhere, and must be called before Run.
func (f *Follower) Skip(next namer.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position = max(f.position, next)
}

// LastEnd returns when the last read was sent that reached the end of the
// stream, zero if none has. Everything that was in the stream at that time has
// been applied.
func (f *Follower) LastEnd() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

func (f *Follower) reachEnd(sent time.Time) {
	f.caughtOnce.Do(func() { close(f.caught) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = sent
}

// Caught returns a channel that is closed once the end of the stream was first
// reached.
func (f *Follower) Caught() <-chan struct{} {
	return f.caught
}

// Run follows the stream until the context has ended, and returns the
// context's error.
func (f *Follower) Run(ctx context.Context) error {
	for {
		err := f.Step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.note(err)
		if err == nil {
			continue
		}
		if err := timekeeper.Sleep(ctx, f.clock, f.backoff.NextBackOff()); err != nil {
			return err
		}
	}
}

// note logs the beginning and the end of an outage.
func (f *Follower) note(err error) {
	now := f.clock.Now()
	if err == nil {
		f.backoff.Reset()
		if length, ended := f.outage.Work(now); ended {
			f.logger.Infof("follower: %s is in reach again after %v", f.stream, length)
		}
		return
	}
	f.metrics.failed.Inc()
	if f.outage.Fail(now) {
		f.logger.WithError(err).Warnf("follower: %s is out of reach", f.stream)
		return
	}
	f.logger.WithError(err).Debugf("follower: %s is still out of reach", f.stream)
}

// start recovers until a recovery or a read has succeeded once.
func (f *Follower) start(ctx context.Context) {
	if f.recover == nil || f.hasMet() {
		return
	}
	if err := f.recoverNow(ctx); err != nil {
		f.logger.WithError(err).Debug("follower: no snapshot to start from")
	}
}

func (f *Follower) hasMet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.met
}

// Step reads once and applies what came. Run calls it over and over; whoever
// calls it instead does not call Run too.
func (f *Follower) Step(ctx context.Context) error {
	f.start(ctx)
	sent := f.clock.Now()
	batch, err := f.read(ctx, f.Position(), f.window, f.wait)
	switch {
	case errors.Is(err, connector.ErrAged):
		return f.overtaken(ctx)
	case err != nil:
		return err
	}
	f.touch(sent, batch)
	f.resize(batch)
	return f.take(ctx, sent, batch)
}

// resize asks for more while full batches are small, and for less otherwise,
// so that a batch stays within memory.
func (f *Follower) resize(batch connector.Batch) {
	size := 0
	for _, entry := range batch.Entries {
		size += len(entry.Payload)
	}
	if len(batch.Entries) < f.window || size > smallBatch {
		f.window = min(fewRecords, f.limit)
		return
	}
	f.window = min(2*f.window, f.limit)
}

// read bounds one read by the wait that was asked for and a little more.
func (f *Follower) read(ctx context.Context, from namer.Offset, limit int, wait time.Duration) (connector.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+attemptTimeout)
	defer cancel()
	return f.log.Read(ctx, f.stream, from, limit, wait)
}

func (f *Follower) touch(sent time.Time, batch connector.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.oldest = max(f.oldest, batch.First)
	f.contact = sent
	f.met = true
	f.metrics.contact.Set(float64(sent.UnixMilli()) / 1000)
}

// take applies the entries of a batch that come next. Entries that were
// applied before are passed over; what follows a gap is left for another read.
func (f *Follower) take(ctx context.Context, sent time.Time, batch connector.Batch) error {
	if batch.First > f.Position() {
		return f.overtaken(ctx)
	}
	before := f.Position()
	for _, entry := range batch.Entries {
		if !f.takeEntry(entry) {
			break
		}
	}
	position := f.Position()
	if len(batch.Entries) > 0 && position == before {
		return errors.Wrapf(ErrAnswer, "no record at %d", position)
	}
	switch {
	case position == batch.Next:
		f.reachEnd(sent)
	case position > batch.Next:
		f.metrics.backwards.Inc()
		f.logger.Errorf("follower: log ends at %d, before offset %d", batch.Next, position)
	}
	f.metrics.observe(position, batch)
	return nil
}

// takeEntry reports whether the entries after it may be taken.
func (f *Follower) takeEntry(entry connector.Entry) bool {
	position := f.Position()
	if entry.Offset < position {
		f.metrics.repeated.Inc()
		return true
	}
	if entry.Offset > position {
		f.metrics.gaps.Inc()
		return false
	}
	f.hand(entry)
	f.advance(entry.Offset + 1)
	return true
}

func (f *Follower) hand(entry connector.Entry) {
	record, err := recorder.Decode(entry.Payload)
	if err != nil {
		f.metrics.unreadable.Inc()
		f.logger.WithError(err).Errorf("follower: cannot read the record at %d", entry.Offset)
		record = recorder.Unreadable(fmt.Sprintf("unreadable@%d", entry.Offset), entry.Payload)
	}
	if unknown, ok := record.Body().(recorder.Unknown); ok {
		f.metrics.unknown.Inc()
		f.logger.Warnf("follower: record at %d is of the unknown kind %q", entry.Offset, unknown.Name)
	}
	f.apply(entry.Offset, record)
}

func (f *Follower) advance(position namer.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position = max(f.position, position)
}

// overtaken goes on where retention dropped the records that come next.
func (f *Follower) overtaken(ctx context.Context) error {
	if f.recover != nil {
		return f.recoverNow(ctx)
	}
	batch, err := f.read(ctx, 0, 0, 0)
	if err != nil {
		return err
	}
	position := f.Position()
	if batch.First > position {
		f.metrics.skipped.Add(float64(batch.First - position))
		f.logger.Warnf("follower: records from %d to %d are no longer kept", position, batch.First-1)
		f.advance(batch.First)
	}
	return nil
}

func (f *Follower) recoverNow(ctx context.Context) error {
	next, err := f.recover(ctx)
	if err != nil {
		return errors.WithStack(fmt.Errorf("%w: recover: %w", ErrGap, err))
	}
	f.metrics.recovered.Inc()
	f.logger.Infof("follower: recovered to offset %d", next)
	f.advance(next)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.met = true
	return nil
}
