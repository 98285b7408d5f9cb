package coordinator

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// TestSilenceNeedsEvidence guards against refusals because of one slow or lost answer, and
// against a store that answers reads but no writes and is taken for one that serves.
func TestSilenceNeedsEvidence(t *testing.T) {
	const (
		answered = iota
		lost
		cancelled
	)
	type call struct {
		kind    string
		outcome int
		took    time.Duration
	}
	for _, test := range []struct {
		name  string
		calls []call
		want  bool
	}{
		{
			name: "one long call without an answer",
			calls: []call{
				{"append", lost, 5 * time.Second},
			},
		},
		{
			name: "two calls without an answer in a short time",
			calls: []call{
				{"append", lost, 300 * time.Millisecond},
				{"join", lost, 600 * time.Millisecond},
			},
		},
		{
			name: "calls without an answer for a second",
			calls: []call{
				{"append", lost, 900 * time.Millisecond},
				{"read", lost, 200 * time.Millisecond},
			},
			want: true,
		},
		{
			name: "an answer in between",
			calls: []call{
				{"append", lost, 900 * time.Millisecond},
				{"join", answered, 4 * time.Millisecond},
				{"append", lost, 900 * time.Millisecond},
			},
		},
		{
			name: "only reads are answered",
			calls: []call{
				{"append", lost, 900 * time.Millisecond},
				{"read", answered, 700 * time.Millisecond},
				{"join", lost, 600 * time.Millisecond},
			},
			want: true,
		},
		{
			name: "the first write after a long time",
			calls: []call{
				{"append", answered, 4 * time.Millisecond},
				{"read", answered, time.Minute},
				{"append", lost, 300 * time.Millisecond},
				{"append", lost, 300 * time.Millisecond},
			},
		},
		{
			name: "callers that hang up",
			calls: []call{
				{"append", cancelled, 900 * time.Millisecond},
				{"append", cancelled, 900 * time.Millisecond},
			},
		},
		{
			name: "an answer after the silence",
			calls: []call{
				{"append", lost, 900 * time.Millisecond},
				{"append", lost, 900 * time.Millisecond},
				{"leave", answered, 4 * time.Millisecond},
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
			store := newWatchedStore(storer.NewMemory(clock), clock)
			for _, call := range test.calls {
				ctx, cancel := context.WithCancel(context.Background())
				sentAt := clock.Now()
				clock.Advance(call.took)
				var err error
				if call.outcome != answered {
					err = storer.ErrUnknown
				}
				if call.outcome == cancelled {
					cancel()
				}
				store.recordOutcome(ctx, call.kind, sentAt, err)
				cancel()
			}
			c.Assert(store.silent(), qt.Equals, test.want)
		})
	}
}

// TestCallsWithoutTimeAreNoSilence guards against a store that counts as silent, so that records are refused, as callers
// had no time left when calls to it were to be made (issue 78).
func TestCallsWithoutTimeAreNoSilence(t *testing.T) {
	for _, test := range []struct {
		left time.Duration
		want bool
	}{
		{},
		{
			left: 300 * time.Millisecond,
			want: true,
		},
	} {
		t.Run(test.left.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				model := &entryStore{
					storeModel: newStoreModel(),
				}
				model.silent.Store(true)
				model.cutOff.Store(true)
				store := newWatchedStore(model, timekeeper.System())
				for range 2 {
					ctx, cancel := context.WithTimeout(context.Background(), test.left)
					_, err := store.Owners(ctx, groupName)
					cancel()
					c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
					time.Sleep(minSilence)
				}
				c.Check(store.silent(), qt.Equals, test.want)
			})
		})
	}
}

// submission is the outcome of a submitted job.
type submission struct {
	err  error
	took time.Duration
}

// submitTo submits a job to an entry.
func (s *site) submitTo(entry *siteEntry, id string) submission {
	began := time.Now()
	err := entry.coordinator.Submit(context.Background(), scheduler.Job{
		ID: id,
		Queue: scheduler.Queue{
			Name:    "checks",
			Service: modelService,
		},
	})
	return submission{
		err:  err,
		took: time.Since(began),
	}
}

// TestSilentStoreRefusesAtOnce guards against callers that get no known outcome for seconds
// while the store responds to no entry: after 1.5 s each job is refused at
// once as not stored, without an append. It covers the load of an outage of 6 s in which
// all calls hang, and checks that jobs are accepted again after it.
func TestSilentStoreRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(qt.New(t), 20)
		s.configure(1)
		s.start(12)
		for _, entry := range s.entries {
			entry.store.silent.Store(true)
		}
		s.awaitService("start", 1)
		s.store.setDown(true)
		began := time.Now()
		var unknown atomic.Int64
		var callers errgroup.Group
		for i := 0; time.Since(began) < 1500*time.Millisecond; i++ {
			callers.Go(func() error {
				if got := s.submitTo(s.entries[i%12], fmt.Sprintf("early-%d", i)); errors.Is(got.err, receiver.ErrUnknown) {
					unknown.Add(1)
				}
				return nil
			})
			time.Sleep(20 * time.Millisecond)
		}
		var appends int64
		for _, entry := range s.entries {
			appends += entry.store.jobAppends.Load()
		}
		for i := 0; time.Since(began) < 6*time.Second; i++ {
			got := s.submitTo(s.entries[i%12], fmt.Sprintf("late-%d", i))
			s.c.Check(got.err, qt.ErrorIs, receiver.ErrNotStored)
			s.c.Check(got.took <= 20*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %v", got.took))
			time.Sleep(20 * time.Millisecond)
		}
		s.c.Assert(callers.Wait(), qt.IsNil)
		for _, entry := range s.entries {
			appends -= entry.store.jobAppends.Load()
		}
		s.c.Check(appends, qt.Equals, int64(0), qt.Commentf("records were sent to a silent store"))
		s.store.setDown(false)
		began = time.Now()
		for i, entry := range s.entries {
			for s.submitTo(entry, fmt.Sprintf("after-%d", i)).err != nil && time.Since(began) < 10*time.Second {
				time.Sleep(20 * time.Millisecond)
			}
		}
		s.c.Logf("outcomes unknown of 75 in the first 1.5 s: %d; all entries accept jobs %v after the outage", unknown.Load(), time.Since(began))
		s.c.Check(time.Since(began) <= 2*time.Second, qt.IsTrue)
		s.stop()
	})
}

// TestServedPeerIsAskedFirst guards against refusals while another entry can store the
// job: the store answers two of twelve entries, and the others relay to these.
func TestServedPeerIsAskedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(qt.New(t), 20)
		s.configure(1)
		s.start(12)
		s.awaitService("start", 1)
		for _, entry := range s.entries[2:] {
			entry.store.silent.Store(true)
			entry.store.cutOff.Store(true)
		}
		time.Sleep(2500 * time.Millisecond)
		for i, entry := range s.entries {
			got := s.submitTo(entry, fmt.Sprintf("job-%d", i))
			s.c.Check(got.err, qt.IsNil, qt.Commentf("entry %d", i))
			s.c.Check(got.took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("stored after %v", got.took))
			time.Sleep(50 * time.Millisecond)
		}
		s.stop()
	})
}
