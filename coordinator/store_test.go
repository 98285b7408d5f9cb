package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// TestSlowStoreIsNoticed checks that an entry finds the store slow by its own
// calls, and by the report of a peer.
func TestSlowStoreIsNoticed(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	store := newWatchedStore(storer.NewMemory(clock), clock)
	c.Assert(store.slow(), qt.IsFalse)
	began := clock.Now()
	clock.Advance(10 * time.Millisecond)
	store.recordLatency(began, nil)
	c.Assert(store.slow(), qt.IsFalse)
	// A store that does not answer is not slow: its calls are not waited for twice.
	for _, err := range []error{storer.ErrUnavailable, storer.ErrUnknown} {
		began = clock.Now()
		clock.Advance(600 * time.Millisecond)
		store.recordLatency(began, err)
		c.Assert(store.slow(), qt.IsFalse)
	}
	began = clock.Now()
	clock.Advance(200 * time.Millisecond)
	store.recordLatency(began, nil)
	c.Assert(store.slow(), qt.IsTrue)
	clock.Advance(slowMaxAge)
	c.Assert(store.slow(), qt.IsFalse)
	store.recordPeerReport(false)
	c.Assert(store.slow(), qt.IsFalse)
	store.recordPeerReport(true)
	c.Assert(store.slow(), qt.IsTrue)
}

// forgetfulStore loses the answers to the first appends: the records are stored, but
// the call gets no answer. It answers other appends after a delay.
type forgetfulStore struct {
	storer.Store
	lost  int64
	delay time.Duration
	calls atomic.Int64
	// then is the error of the calls after the lost ones, if it is set.
	then error
}

func (s *forgetfulStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	call := s.calls.Add(1)
	if call > s.lost && s.then != nil {
		return 0, s.then
	}
	end, err := s.Store.Append(ctx, to, writer, records...)
	if call <= s.lost {
		<-ctx.Done()
		return 0, storer.ErrUnknown
	}
	select {
	case <-time.After(s.delay):
		return end, err
	case <-ctx.Done():
		return 0, storer.ErrUnknown
	}
}

// TestAppendWaitsForASlowStore checks that an append is not given up while a slow
// store may still answer it, and that a store known to be slow gets each append once.
func TestAppendWaitsForASlowStore(t *testing.T) {
	c := qt.New(t)
	slow := &forgetfulStore{
		Store: storer.NewMemory(timekeeper.System()),
		delay: 600 * time.Millisecond,
	}
	store := newWatchedStore(slow, timekeeper.System())
	partition := storer.Partition{
		Topic: "jobs",
	}
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
		defer cancel()
		began := slow.calls.Load()
		wasSlow := store.slow()
		_, err := store.Append(ctx, partition, nil, storer.Record{
			Key:   "job",
			Value: []byte("{}"),
		})
		c.Assert(err, qt.IsNil)
		c.Assert(store.slow(), qt.IsTrue)
		if wasSlow {
			c.Assert(slow.calls.Load()-began, qt.Equals, int64(1))
		}
		// The first answer is that to the first try.
		c.Assert(slow.calls.Load()-began <= 3, qt.IsTrue)
	}
}

// TestAppendOutlivesLostAnswers checks that an append is repeated while the store loses
// answers, that a writer's records are stored once, and that the outcome is unknown if
// the store turns the repetition away. A caller who is told that a job is not stored
// must be able to rely on it.
func TestAppendOutlivesLostAnswers(t *testing.T) {
	partition := storer.Partition{
		Topic: "jobs",
	}
	record := storer.Record{
		Key:   "job",
		Value: []byte("{}"),
	}
	for _, test := range []struct {
		name      string
		lost      int64
		then      error
		want      error
		wantCalls int64
	}{
		{
			name:      "no answer lost",
			wantCalls: 1,
		},
		{
			name:      "two answers lost",
			lost:      2,
			wantCalls: 3,
		},
		{
			name:      "turned away",
			then:      storer.ErrUnavailable,
			want:      storer.ErrUnavailable,
			wantCalls: 1,
		},
		{
			name:      "turned away after a lost answer",
			lost:      1,
			then:      storer.ErrUnavailable,
			want:      storer.ErrUnknown,
			wantCalls: 2,
		},
		{
			name:      "no answer at all",
			lost:      maxAppendTries,
			want:      storer.ErrUnknown,
			wantCalls: 3,
		},
		{
			name:      "a later owner after a lost answer",
			lost:      1,
			then:      storer.ErrFenced,
			want:      storer.ErrFenced,
			wantCalls: 2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			memory := storer.NewMemory(timekeeper.System())
			forgetful := &forgetfulStore{
				Store: memory,
				lost:  test.lost,
				then:  test.then,
			}
			store := newWatchedStore(forgetful, timekeeper.System())
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := store.Append(ctx, partition, &storer.Writer{
				Name:  "owner",
				Epoch: 1,
			}, record)
			c.Assert(forgetful.calls.Load(), qt.Equals, test.wantCalls)
			if test.want != nil {
				c.Assert(err, qt.ErrorIs, test.want)
				notStored := errors.Is(err, storer.ErrUnavailable)
				c.Assert(notStored, qt.Equals, errors.Is(test.want, storer.ErrUnavailable))
				return
			}
			c.Assert(err, qt.IsNil)
			page, err := memory.Read(context.Background(), partition, 0, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(page.Records, qt.HasLen, 1)
		})
	}
}
