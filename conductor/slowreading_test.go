package conductor_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// slowReadingStore answers a read of the newest records after a delay.
type slowReadingStore struct {
	storer.Store
	delay time.Duration
	// takesWrites is set if the store takes more than the announcement of the epoch.
	takesWrites bool
	// began is the time since the start at which the last append began that the store took.
	began *atomic.Int64
	start time.Time
}

// Append implements storer.Store.
func (s slowReadingStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	if len(records) > 0 && !s.takesWrites {
		return 0, storer.ErrUnavailable
	}
	began := time.Since(s.start)
	end, err := s.Store.Append(ctx, to, writer, records...)
	if err == nil {
		s.began.Store(int64(began))
	}
	return end, err
}

// Newest implements storer.Store.
func (s slowReadingStore) Newest(ctx context.Context, of storer.Partition, after string) (storer.NewestPage, error) {
	if err := timekeeper.Sleep(ctx, timekeeper.System(), s.delay); err != nil {
		return storer.NewestPage{}, storer.ErrUnavailable
	}
	return s.Store.Newest(ctx, of, after)
}

// grantWatcher records for how long the leases that are granted outlast the last write that the
// store took.
type grantWatcher struct {
	*emulator.Fleet
	grants chan time.Duration
	began  *atomic.Int64
}

// RenewLease implements conductor.Workers.
func (w grantWatcher) RenewLease(ctx context.Context, token int64, order scheduler.LeaseRenewal, wait time.Duration) (scheduler.Report, error) {
	w.grants <- order.Lease - time.Duration(w.began.Load())
	return w.Fleet.RenewLease(ctx, token, order, wait)
}

// TestSlowTakeoverGrantsNoLongerLease guards against a task that runs twice: an owner reads its
// partition for seconds and learns nothing of its successor, which waits for leases from its own
// takeover on.
func TestSlowTakeoverGrantsNoLongerLease(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		for _, takesWrites := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, takes writes: %v", delay, takesWrites), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					began := new(atomic.Int64)
					watcher := grantWatcher{
						Fleet:  emulator.NewFleet(timekeeper.System()),
						grants: make(chan time.Duration, 1000),
						began:  began,
					}
					watcher.Add("w", service, sizer.New(4000, 16*gibibyte, 0))
					owner := conductor.New(slowReadingStore{
						Store:       storer.NewMemory(timekeeper.System()),
						delay:       delay,
						takesWrites: takesWrites,
						began:       began,
						start:       time.Now(),
					}, watcher, approveAll{}, partition, 1)
					owner.SetWorkers(watcher.Entries())
					// No join is answered after the one that has dealt the partition.
					ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
					defer stop()
					c.Check(owner.Run(ctx), qt.ErrorIs, context.DeadlineExceeded)
					close(watcher.grants)
					for lease := range watcher.grants {
						// A successor that announces its epoch after the write waits for 6 s of the
						// slowest clock.
						c.Check(lease <= 6*time.Second, qt.IsTrue, qt.Commentf("lease for %v after the last write", lease))
					}
				})
			})
		}
	}
}
