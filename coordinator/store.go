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

// watchedStore counts the calls to a store, and knows whether it answers.
type watchedStore struct {
	storer.Store
	clock timekeeper.Clock
	// served is when a call last had an answer, in nanoseconds since 1970.
	served atomic.Int64
	// refused counts the calls in a row that had none.
	refused atomic.Int64
	// took is how long the last call took that does not wait for anything, and
	// measured when it ended, both in nanoseconds.
	took, measured atomic.Int64
	calls          *prometheus.CounterVec
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

// reachable tells that the store has answered lately, or has not failed since.
func (s *watchedStore) reachable(within time.Duration) bool {
	return s.refused.Load() == 0 || s.clock.Now().Sub(time.Unix(0, s.served.Load())) < within
}

const (
	// slowAnswer is what an answer takes at least for the store to count as slow:
	// several times what it takes when it is well.
	slowAnswer = 60 * time.Millisecond
	// slowFresh is how old that may be: three joins.
	slowFresh = 3 * joinInterval
)

// measure keeps how long a call took that began then. One without an answer
// tells nothing: a store that is out or cut off is not slow.
func (s *watchedStore) measure(began time.Time, err error) {
	if errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrUnknown) {
		return
	}
	now := s.clock.Now()
	s.took.Store(int64(now.Sub(began)))
	s.measured.Store(now.UnixNano())
}

// told keeps what a peer said of the store, for an entry that makes no calls by
// which it could tell.
func (s *watchedStore) told(slow bool) {
	if slow {
		s.took.Store(int64(slowAnswer + 1))
		s.measured.Store(s.clock.Now().UnixNano())
	}
}

// slow tells that the store answers, but takes many times as long as usual.
func (s *watchedStore) slow() bool {
	return time.Duration(s.took.Load()) > slowAnswer && s.clock.Now().Sub(time.Unix(0, s.measured.Load())) < slowFresh
}

// note keeps what a call tells about the store.
func (s *watchedStore) note(ctx context.Context, call string, err error) {
	switch {
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrUnknown):
		if ctx.Err() == nil {
			s.refused.Add(1)
		}
		s.calls.WithLabelValues(call, "failed").Inc()
	default:
		s.refused.Store(0)
		s.served.Store(s.clock.Now().UnixNano())
		s.calls.WithLabelValues(call, "answered").Inc()
	}
}

// Append implements storer.Store.
func (s *watchedStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	began := s.clock.Now()
	end, err := s.Store.Append(ctx, to, writer, records...)
	s.measure(began, err)
	s.note(ctx, "append", err)
	return end, err
}

// AppendAt implements storer.Store.
func (s *watchedStore) AppendAt(ctx context.Context, to storer.Partition, at int64, records ...storer.Record) (int64, error) {
	end, err := s.Store.AppendAt(ctx, to, at, records...)
	s.note(ctx, "append", err)
	return end, err
}

// Read implements storer.Store.
func (s *watchedStore) Read(ctx context.Context, of storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	page, err := s.Store.Read(ctx, of, from, wait)
	s.note(ctx, "read", err)
	return page, err
}

// Newest implements storer.Store.
func (s *watchedStore) Newest(ctx context.Context, of storer.Partition, after string) (storer.NewestPage, error) {
	page, err := s.Store.Newest(ctx, of, after)
	s.note(ctx, "newest", err)
	return page, err
}

// Join implements storer.Store.
func (s *watchedStore) Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (storer.Assignment, error) {
	began := s.clock.Now()
	held, err := s.Store.Join(ctx, group, member, topics, ttl, generation)
	s.measure(began, err)
	s.note(ctx, "join", err)
	return held, err
}

// Owners implements storer.Store.
func (s *watchedStore) Owners(ctx context.Context, group string) ([]storer.Ownership, error) {
	owners, err := s.Store.Owners(ctx, group)
	s.note(ctx, "owners", err)
	return owners, err
}
