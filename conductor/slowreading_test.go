package conductor_test

import (
	"context"
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
}

// Newest implements storer.Store.
func (s slowReadingStore) Newest(ctx context.Context, of storer.Partition, after string) (storer.NewestPage, error) {
	if err := timekeeper.Sleep(ctx, timekeeper.System(), s.delay); err != nil {
		return storer.NewestPage{}, storer.ErrUnavailable
	}
	return s.Store.Newest(ctx, of, after)
}

// grantWatcher records the end of the latest lease that is granted.
type grantWatcher struct {
	*emulator.Fleet
	grants chan time.Duration
}

// RenewLease implements conductor.Workers.
func (w grantWatcher) RenewLease(ctx context.Context, token int64, order scheduler.LeaseRenewal, wait time.Duration) (scheduler.Report, error) {
	w.grants <- order.Lease
	return w.Fleet.RenewLease(ctx, token, order, wait)
}

// TestSlowTakeoverGrantsNoLongerLease guards against a task that runs twice: an owner reads its
// partition for seconds and learns nothing of its successor, which waits for leases from its own
// takeover on.
func TestSlowTakeoverGrantsNoLongerLease(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				watcher := grantWatcher{
					Fleet:  emulator.NewFleet(timekeeper.System()),
					grants: make(chan time.Duration, 1000),
				}
				watcher.Add("w", service, sizer.New(4000, 16*gibibyte, 0))
				owner := conductor.New(slowReadingStore{
					Store: storer.NewMemory(timekeeper.System()),
					delay: delay,
				}, watcher, approveAll{}, partition, 1)
				owner.SetWorkers(watcher.Entries())
				// No join is answered after the one that has dealt the partition.
				ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
				defer stop()
				c.Check(owner.Run(ctx), qt.ErrorIs, context.DeadlineExceeded)
				close(watcher.grants)
				for lease := range watcher.grants {
					// A successor waits for 6 s of the slowest clock.
					c.Check(lease <= 6*time.Second, qt.IsTrue, qt.Commentf("lease until %v", lease))
				}
			})
		})
	}
}
