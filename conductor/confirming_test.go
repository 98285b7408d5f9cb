package conductor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
)

// TestLostRunStartsAgainOnceTheStoreAnswers guards against a task whose run was lost and that starts
// again while the store takes no writes of the owner, or does not start again soon after.
func TestLostRunStartsAgainOnceTheStoreAnswers(t *testing.T) {
	f := newFixture(t, 2)
	f.startOwner()
	phase := tasks(2)
	phase.PerWorker = 1
	f.submit("j", phase)
	for f.fleet.Starts() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.store.SetFailure(storer.ErrUnavailable)
	f.fleet.SetSilent("a", true)
	// The leases are of a second.
	time.Sleep(2 * time.Second)
	f.c.Assert(f.fleet.Starts(), qt.Equals, 2)
	f.store.SetFailure(nil)
	f.await("j", scheduler.Completed)
	f.c.Assert(f.fleet.Starts(), qt.Equals, 3)
	f.checkNoViolations()
}

// cutFleet is a fleet of which one owner does not reach one worker.
type cutFleet struct {
	*emulator.Fleet
	worker string
	cut    atomic.Bool
}

var errCut = errors.New("the worker is cut off")

func (f *cutFleet) reaches(worker scheduler.WorkerRef) bool {
	return !f.cut.Load() || worker.ID != f.worker
}

// Start implements conductor.Workers.
func (f *cutFleet) Start(ctx context.Context, token int64, order scheduler.StartTask) (scheduler.StartOutcome, error) {
	if !f.reaches(order.Worker) {
		return scheduler.StartUnknown, errCut
	}
	return f.Fleet.Start(ctx, token, order)
}

// Stop implements conductor.Workers.
func (f *cutFleet) Stop(ctx context.Context, token int64, order scheduler.StopTask) error {
	if !f.reaches(order.Worker) {
		return errCut
	}
	return f.Fleet.Stop(ctx, token, order)
}

// RenewLease implements conductor.Workers.
func (f *cutFleet) RenewLease(ctx context.Context, token int64, order scheduler.LeaseRenewal, wait time.Duration) (scheduler.Report, error) {
	if !f.reaches(order.Worker) {
		return scheduler.Report{}, errCut
	}
	report, err := f.Fleet.RenewLease(ctx, token, order, wait)
	if !f.reaches(order.Worker) {
		return scheduler.Report{}, errCut
	}
	return report, err
}

// TestLateAnnouncementRunsNothingTwice guards against an owner that takes the answers of the group for
// a proof that it has no successor. An entry to which the partition was assigned for a moment announced
// its epoch only after the partition had been assigned back, and both owners ran the same tasks.
func TestLateAnnouncementRunsNothingTwice(t *testing.T) {
	f := newFixture(t, 2, emulator.RunTime(func(task scheduler.TaskRef) time.Duration {
		if task.Index == 0 {
			// Its end has it stored that the job has begun, so that the loss of runs needs no write.
			return 20 * time.Millisecond
		}
		return 20 * time.Second
	}))
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	defer func() {
		stop()
		// The owners end with the context, or as they have a successor.
		_ = group.Wait()
	}()
	start := func(token int64, unreached string) (*conductor.Conductor, *cutFleet) {
		fleet := &cutFleet{
			Fleet:  f.fleet,
			worker: unreached,
		}
		owner := conductor.New(f.store, fleet, approveAll{}, partition, token,
			conductor.Scheduling(scheduler.Lease(3500*time.Millisecond, 6*time.Second)))
		owner.SetWorkers(f.fleet.Entries())
		group.Go(func() error { return owner.Run(ctx) })
		return owner, fleet
	}
	former, formerFleet := start(1, "a")
	group.Go(func() error {
		for ctx.Err() == nil {
			former.ConfirmOwnership(time.Now())
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	})
	f.submit("j", tasks(5))
	for f.fleet.Starts() < 5 {
		time.Sleep(time.Millisecond)
	}
	for f.fleet.Done() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	former.DoubtOwnership()
	time.Sleep(200 * time.Millisecond)
	formerFleet.cut.Store(true)
	_, nextFleet := start(2, "b")
	nextFleet.cut.Store(true)
	// The leases that the former owner has granted are over by then.
	time.Sleep(4500 * time.Millisecond)
	f.checkNoViolations()
	f.c.Assert(f.fleet.Starts(), qt.Equals, 5)
}
