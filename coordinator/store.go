package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// watchedStore counts the calls to a store, and tracks whether it answers and how
// fast.
type watchedStore struct {
	storer.Store
	clock timekeeper.Clock
	// answeredAt is the time of the last answer, in nanoseconds since 1970.
	answeredAt atomic.Int64
	// failures counts the calls since then that got no answer.
	failures atomic.Int64
	// answered is closed by answerOnce at the first answer.
	answered   chan struct{}
	answerOnce sync.Once
	// silence tracks the calls without an answer, writeSilence those that write: a store
	// may answer reads and no writes.
	silence, writeSilence silence
	// latency is the duration of the last call of Append or Join, which unlike
	// Read do not wait for new records, and latencyAt the time at which that call
	// ended, both in nanoseconds.
	latency, latencyAt atomic.Int64
	calls              *prometheus.CounterVec
}

func newWatchedStore(store storer.Store, clock timekeeper.Clock) *watchedStore {
	return &watchedStore{
		Store:    store,
		clock:    clock,
		answered: make(chan struct{}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_store_calls_total",
			Help: "Calls to the store, by kind and outcome.",
		}, []string{"call", "outcome"}),
	}
}

func (s *watchedStore) collectors() []prometheus.Collector {
	return []prometheus.Collector{s.calls}
}

// reachable reports whether no call has failed since the last answer, or the last
// answer is younger than maxAge.
func (s *watchedStore) reachable(maxAge time.Duration) bool {
	return s.failures.Load() == 0 || s.clock.Now().Sub(time.Unix(0, s.answeredAt.Load())) < maxAge
}

// firstAnswer returns a channel that is closed once the store has answered a call of this
// entry.
func (s *watchedStore) firstAnswer() <-chan struct{} {
	return s.answered
}

const (
	// slowLatency is the latency above which the store counts as slow: several
	// times its latency in normal operation.
	slowLatency = 60 * time.Millisecond
	// slowMaxAge is the maximum age of a latency that makes the store count as
	// slow: three join intervals.
	slowMaxAge = 3 * joinInterval
)

// recordLatency records the latency of a call that began at that time. A call
// without an answer is ignored: a store that is down or cut off is not slow.
func (s *watchedStore) recordLatency(began time.Time, err error) {
	if errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrUnknown) {
		return
	}
	now := s.clock.Now()
	s.latency.Store(int64(now.Sub(began)))
	s.latencyAt.Store(now.UnixNano())
}

// recordPeerReport marks the store as slow if a peer finds it slow. An entry that
// makes no appends and joins itself learns only in this way that the store is
// slow.
func (s *watchedStore) recordPeerReport(slow bool) {
	if slow {
		s.latency.Store(int64(slowLatency + 1))
		s.latencyAt.Store(s.clock.Now().UnixNano())
	}
}

// slow reports whether the store answers, but takes several times as long as
// usual.
func (s *watchedStore) slow() bool {
	return time.Duration(s.latency.Load()) > slowLatency && s.clock.Now().Sub(time.Unix(0, s.latencyAt.Load())) < slowMaxAge
}

const (
	// minSilence is how long the calls of an entry must have gone without an answer
	// before the store counts as silent, and minUnanswered how many of them there must
	// be. One slow or lost answer is no silence.
	minSilence    = time.Second
	minUnanswered = 2
)

// silence tracks the calls to a store since its last answer.
type silence struct {
	mu sync.Mutex
	// since is the time at which the first call without an answer was sent, counted
	// from the last answer, and unanswered the number of such calls.
	since      time.Time
	unanswered int
	// recordedAt is the time at which the last call ended.
	recordedAt time.Time
}

// record records the outcome of a call.
func (s *silence) record(sentAt, now time.Time, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordedAt = now
	if answered {
		s.unanswered = 0
		return
	}
	if s.unanswered == 0 || sentAt.Before(s.since) {
		s.since = sentAt
	}
	s.unanswered++
}

// lasts reports whether the calls are evidence that the store does not respond.
func (s *silence) lasts(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unanswered >= minUnanswered && now.Sub(s.since) >= minSilence
}

// idle reports whether no call has ended for d.
func (s *silence) idle(now time.Time, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.recordedAt) >= d
}

// silent reports whether there is evidence that the store does not respond to this
// entry: for minSilence it has answered no call, or no call that writes.
func (s *watchedStore) silent() bool {
	now := s.clock.Now()
	return s.silence.lasts(now) || s.writeSilence.lasts(now)
}

// serves reports whether the store takes the records of this entry, as far as it
// knows.
func (s *watchedStore) serves() bool {
	return s.reachable(appendMaxAnswerAge) && !s.silent()
}

// recordSilence records whether a call was answered that was sent at that time. A call
// that was cancelled shows nothing, nor does one whose deadline had passed before. One that
// reached its deadline had no answer.
func (s *watchedStore) recordSilence(ctx context.Context, sentAt time.Time, writes bool, err error) {
	unanswered := errors.IsAny(err, storer.ErrUnavailable, storer.ErrUnknown)
	deadline, limited := ctx.Deadline()
	if unanswered && (errors.Is(ctx.Err(), context.Canceled) || limited && !sentAt.Before(deadline)) {
		return
	}
	s.silence.record(sentAt, s.clock.Now(), !unanswered)
	if writes {
		s.writeSilence.record(sentAt, s.clock.Now(), !unanswered)
	}
}

// recordOutcome updates the state of the store and the metric after a call.
func (s *watchedStore) recordOutcome(ctx context.Context, call string, sentAt time.Time, err error) {
	s.recordSilence(ctx, sentAt, call == "append" || call == "join" || call == "leave", err)
	switch {
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrUnknown):
		if ctx.Err() == nil {
			s.failures.Add(1)
		}
		s.calls.WithLabelValues(call, "failed").Inc()
	default:
		s.failures.Store(0)
		s.answeredAt.Store(s.clock.Now().UnixNano())
		s.answerOnce.Do(func() { close(s.answered) })
		s.calls.WithLabelValues(call, "answered").Inc()
	}
}

// firstRepeatAfter is how long an append may go without an answer before it is
// repeated: many times the usual latency. Each further repetition comes after twice the
// time of the one before.
const firstRepeatAfter = 200 * time.Millisecond

// maxAppendTries bounds the tries of one append.
const maxAppendTries = 4

// appendAnswer is the outcome of one try of an append.
type appendAnswer struct {
	end int64
	err error
}

// Append implements storer.Store. An append that goes without an answer is repeated on
// another connection, as a store may lose single answers. Earlier tries go on meanwhile:
// a store that has just become slow still answers the first one. A store that is known
// to be slow gets one try, and one that has become silent gets no further one. The
// repetition is harmless: the store knows a writer's append
// by its sequence number, and without a writer the records replace those with the same
// keys. After a try without an answer, a refusal says nothing about whether the records
// are stored, unless there is a later owner.
func (s *watchedStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	tryCtx, cancel := context.WithCancel(ctx)
	var tries errgroup.Group
	defer func() {
		cancel()
		// The functions return no errors.
		_ = tries.Wait()
	}()
	answers := make(chan appendAnswer, maxAppendTries)
	begin := func() {
		tries.Go(func() error {
			began := s.clock.Now()
			end, err := s.Store.Append(tryCtx, to, writer, records...)
			s.recordLatency(began, err)
			s.recordOutcome(tryCtx, "append", began, err)
			answers <- appendAnswer{
				end: end,
				err: err,
			}
			return nil
		})
	}
	begin()
	begun, answered := 1, 0
	var refusal error
	unknown := false
	repeatAfter := firstRepeatAfter
	timer := s.clock.NewTimer(repeatAfter)
	defer func() { timer.Stop() }()
	ended := ctx.Done()
	for {
		select {
		case answer := <-answers:
			answered++
			switch {
			case answer.err == nil, errors.IsAny(answer.err, storer.ErrFenced, storer.ErrConflict):
				return answer.end, answer.err
			case errors.Is(answer.err, storer.ErrUnknown):
				unknown = true
			default:
				refusal = answer.err
			}
		case <-timer.C():
			repeatAfter *= 2
			timer = s.clock.NewTimer(repeatAfter)
			if refusal == nil && begun < maxAppendTries && !s.silent() && (answered == begun || !s.slow()) {
				begun++
				begin()
			}
		case <-ended:
			// The tries under way end with the context.
			ended = nil
		}
		if answered == begun && (refusal != nil || ctx.Err() != nil || begun == maxAppendTries || s.silent()) {
			return 0, appendError(refusal, unknown)
		}
	}
}

// appendError returns the error of an append of which no try succeeded. If the outcome
// of a try is unknown, the error must not carry the mark of a refusal: that means that
// nothing was stored.
func appendError(refusal error, unknown bool) error {
	switch {
	case refusal == nil:
		return errors.Wrap(storer.ErrUnknown, "coordinator: the store did not answer an append")
	case unknown:
		return errors.Wrapf(storer.ErrUnknown, "coordinator: one try of an append had no answer, another one failed: %v", refusal)
	default:
		return refusal
	}
}

// AppendAt implements storer.Store.
func (s *watchedStore) AppendAt(ctx context.Context, to storer.Partition, at int64, records ...storer.Record) (int64, error) {
	sentAt := s.clock.Now()
	end, err := s.Store.AppendAt(ctx, to, at, records...)
	s.recordOutcome(ctx, "append", sentAt, err)
	return end, err
}

// Read implements storer.Store.
func (s *watchedStore) Read(ctx context.Context, of storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	sentAt := s.clock.Now()
	page, err := s.Store.Read(ctx, of, from, wait)
	s.recordOutcome(ctx, "read", sentAt, err)
	return page, err
}

// Newest implements storer.Store.
func (s *watchedStore) Newest(ctx context.Context, of storer.Partition, after string) (storer.NewestPage, error) {
	sentAt := s.clock.Now()
	page, err := s.Store.Newest(ctx, of, after)
	s.recordOutcome(ctx, "newest", sentAt, err)
	return page, err
}

// Join implements storer.Store.
func (s *watchedStore) Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (storer.Assignment, error) {
	began := s.clock.Now()
	assignment, err := s.Store.Join(ctx, group, member, topics, ttl, generation)
	s.recordLatency(began, err)
	s.recordOutcome(ctx, "join", began, err)
	return assignment, err
}

// Owners implements storer.Store.
func (s *watchedStore) Owners(ctx context.Context, group string) ([]storer.Ownership, error) {
	sentAt := s.clock.Now()
	owners, err := s.Store.Owners(ctx, group)
	s.recordOutcome(ctx, "owners", sentAt, err)
	return owners, err
}

// Leave implements storer.Store.
func (s *watchedStore) Leave(ctx context.Context, group, member string) error {
	sentAt := s.clock.Now()
	err := s.Store.Leave(ctx, group, member)
	s.recordOutcome(ctx, "leave", sentAt, err)
	return err
}

const (
	// probeStoreInterval is the mean interval at which a silent store is probed, and
	// probeStoreTimeout bounds one probe.
	probeStoreInterval = 500 * time.Millisecond
	probeStoreTimeout  = joinTimeout
)

// probeStore makes one call at a time to a silent store, to find out when it takes
// records again, as no callers' records are sent to it. The call writes nothing: it
// leaves the group for a member that never joined.
func (c *Coordinator) probeStore(ctx context.Context) error {
	for {
		pause := probeStoreInterval/2 + rand.N(probeStoreInterval)
		if err := timekeeper.Sleep(ctx, c.settings.clock, pause); err != nil {
			return err
		}
		// The joins of a member are probes already.
		if c.store.silent() && c.store.writeSilence.idle(c.settings.clock.Now(), joinInterval+joinTimeout) {
			c.probeStoreOnce(ctx)
		}
		c.recordStoreSilence(c.store.silent())
	}
}

func (c *Coordinator) probeStoreOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeStoreTimeout)
	defer cancel()
	if err := c.store.Leave(ctx, groupName, c.settings.peerAddress+"/"+c.settings.name+"/probe"); err != nil {
		c.settings.logger.WithError(err).Debug("coordinator: the store did not answer a probe")
	}
}

// recordStoreSilence logs the beginning and the end of the store's silence. It is used by
// one goroutine.
func (c *Coordinator) recordStoreSilence(silent bool) {
	if silent == c.storeSilent {
		return
	}
	c.storeSilent = silent
	refused := c.refusedSubmits.Swap(0)
	if silent {
		c.settings.logger.Warn("coordinator: the store is silent, records are stored through other entries or refused")
		return
	}
	c.settings.logger.WithField("refused", refused).Info("coordinator: the store responds again")
}
