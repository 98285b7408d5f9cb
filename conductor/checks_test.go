package conductor_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
)

// countingStore counts the appends of an owner. Each takes a while.
type countingStore struct {
	storer.Store
	appends atomic.Int64
}

// Append implements storer.Store.
func (s *countingStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	if writer != nil {
		s.appends.Add(1)
	}
	time.Sleep(5 * time.Millisecond)
	return s.Store.Append(ctx, to, writer, records...)
}

// phasedFleet is a fleet whose answers can be cut off as a whole. The leases of its workers are renewed at
// unlike times.
type phasedFleet struct {
	*emulator.Fleet
	cut     atomic.Bool
	renewed sync.Map
}

// RenewLease implements conductor.Workers.
func (f *phasedFleet) RenewLease(ctx context.Context, token int64, order scheduler.LeaseRenewal, wait time.Duration) (scheduler.Report, error) {
	if _, renewed := f.renewed.LoadOrStore(order.Worker.ID, true); !renewed {
		time.Sleep(time.Duration([]rune(order.Worker.ID)[0]-'a') * 23 * time.Millisecond)
	}
	report, err := f.Fleet.RenewLease(ctx, token, order, wait)
	if f.cut.Load() {
		return scheduler.Report{}, errCut
	}
	return report, err
}

// TestLostWorkersCostFewWrites guards against an owner that writes to the store once for each worker
// that it loses, while those of a data centre lapse one after the other.
func TestLostWorkersCostFewWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 40
		f := newFixture(t, workers, emulator.RunTime(func(scheduler.TaskRef) time.Duration { return time.Minute }))
		store := &countingStore{
			Store: f.store,
		}
		fleet := &phasedFleet{
			Fleet: f.fleet,
		}
		owner := conductor.New(store, fleet, approveAll{}, partition, 1,
			conductor.Scheduling(scheduler.Lease(3500*time.Millisecond, 6*time.Second)))
		owner.SetWorkers(f.fleet.Entries())
		ctx, stop := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() {
			// The owner ends with the context.
			_ = owner.Run(ctx)
		})
		defer func() {
			stop()
			group.Wait()
		}()
		phase := tasks(workers)
		phase.PerWorker = 1
		f.submit("j", phase)
		confirmFor := func(d time.Duration) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
				owner.ConfirmOwnership(time.Now())
			}
		}
		confirmFor(4 * time.Second)
		f.c.Assert(f.fleet.Starts(), qt.Equals, workers)
		before := store.appends.Load()
		setCut := func(cut bool) {
			fleet.cut.Store(cut)
			for _, entry := range f.fleet.Entries() {
				f.fleet.SetSilent(entry.Ref.ID, cut)
			}
		}
		setCut(true)
		confirmFor(6 * time.Second)
		appends := store.appends.Load() - before
		// The leases end within a second, and an owner checks no more than ten times in a second.
		f.c.Check(appends > 0, qt.IsTrue)
		f.c.Check(appends <= 11, qt.IsTrue, qt.Commentf("%d appends", appends))
		// No lost run has been left without a check.
		setCut(false)
		confirmFor(2 * time.Second)
		f.c.Check(f.fleet.Starts(), qt.Equals, 2*workers)
		f.checkNoViolations()
	})
}
