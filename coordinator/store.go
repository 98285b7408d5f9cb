package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

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
	// latency is the duration of the last call of Append or Join, which unlike
	// Read do not wait for new records, and latencyAt the time at which that call
	// ended, both in nanoseconds.
	latency, latencyAt atomic.Int64
	calls              *prometheus.CounterVec
}

func newWatchedStore(store storer.Store, clock timekeeper.Clock) *watchedStore {
	return &watchedStore{
		Store: store,
		clock: clock,
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

// recordOutcome updates the state of the store and the metric after a call.
func (s *watchedStore) recordOutcome(ctx context.Context, call string, err error) {
	switch {
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrUnknown):
		if ctx.Err() == nil {
			s.failures.Add(1)
		}
		s.calls.WithLabelValues(call, "failed").Inc()
	default:
		s.failures.Store(0)
		s.answeredAt.Store(s.clock.Now().UnixNano())
		s.calls.WithLabelValues(call, "answered").Inc()
	}
}

// firstTryTimeout is how long the first try of a call may take that is repeated if it
// gets no answer. It is many times the usual latency. Each further try may take twice
// as long as the one before.
const firstTryTimeout = 200 * time.Millisecond

// Append implements storer.Store. It repeats an append that gets no answer, on
// another connection, until the context ends, as a store may lose single answers. The
// repetition is harmless: the store knows a writer's append by its sequence number,
// and without a writer the records replace those with the same keys. If the store is
// slow, it only waits. After a try without an answer, a failure says nothing about
// whether the records are stored, unless there is a later owner.
func (s *watchedStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	var end int64
	var err error
	unknown := false
	s.tryRepeatedly(ctx, func(tryCtx context.Context) bool {
		began := s.clock.Now()
		end, err = s.Store.Append(tryCtx, to, writer, records...)
		s.recordLatency(began, err)
		s.recordOutcome(ctx, "append", err)
		if errors.Is(err, storer.ErrUnknown) {
			unknown = true
			return false
		}
		return true
	})
	if unknown && err != nil && !errors.IsAny(err, storer.ErrFenced, storer.ErrConflict) {
		// The error must not carry the mark of the later refusal: that means that
		// nothing was stored.
		err = errors.Wrapf(storer.ErrUnknown, "coordinator: an earlier try had no answer, and then: %v", err)
	}
	return end, err
}

// tryRepeatedly calls try until it returns true or the context ends, each time with a
// longer timeout. While the store is slow, there is only one try.
func (s *watchedStore) tryRepeatedly(ctx context.Context, try func(context.Context) bool) {
	for timeout := firstTryTimeout; ; timeout *= 2 {
		if s.slow() {
			try(ctx)
			return
		}
		tryCtx, cancel := context.WithTimeout(ctx, timeout)
		done := try(tryCtx)
		cancel()
		if done || ctx.Err() != nil {
			return
		}
	}
}

// AppendAt implements storer.Store.
func (s *watchedStore) AppendAt(ctx context.Context, to storer.Partition, at int64, records ...storer.Record) (int64, error) {
	end, err := s.Store.AppendAt(ctx, to, at, records...)
	s.recordOutcome(ctx, "append", err)
	return end, err
}

// Read implements storer.Store.
func (s *watchedStore) Read(ctx context.Context, of storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	page, err := s.Store.Read(ctx, of, from, wait)
	s.recordOutcome(ctx, "read", err)
	return page, err
}

// Newest implements storer.Store.
func (s *watchedStore) Newest(ctx context.Context, of storer.Partition, after string) (storer.NewestPage, error) {
	page, err := s.Store.Newest(ctx, of, after)
	s.recordOutcome(ctx, "newest", err)
	return page, err
}

// Join implements storer.Store.
func (s *watchedStore) Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (storer.Assignment, error) {
	began := s.clock.Now()
	assignment, err := s.Store.Join(ctx, group, member, topics, ttl, generation)
	s.recordLatency(began, err)
	s.recordOutcome(ctx, "join", err)
	return assignment, err
}

// Owners implements storer.Store.
func (s *watchedStore) Owners(ctx context.Context, group string) ([]storer.Ownership, error) {
	owners, err := s.Store.Owners(ctx, group)
	s.recordOutcome(ctx, "owners", err)
	return owners, err
}
