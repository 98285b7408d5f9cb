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
)

// placeFleet is a cutFleet that records the worker on which the task with index 1 was started.
type placeFleet struct {
	*cutFleet
	place atomic.Value
}

// Start implements conductor.Workers.
func (f *placeFleet) Start(ctx context.Context, token int64, order scheduler.StartTask) (scheduler.StartOutcome, error) {
	if order.Run.Task.Index == 1 {
		f.place.Store(order.Worker.ID)
	}
	return f.cutFleet.Start(ctx, token, order)
}

// TestLateAnnouncementIsNotOutlivedByLeases guards against an entry that announces its epoch after the
// partition was assigned back to the former owner, and acts as the owner. The former one's leases, granted
// on the word of the group, outlived its wait, and both ran the same tasks.
func TestLateAnnouncementIsNotOutlivedByLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, emulator.RunTime(func(task scheduler.TaskRef) time.Duration {
			if task.Index == 0 {
				// Its end has it stored that the job has begun, so that nothing is left to write.
				return 20 * time.Millisecond
			}
			return 30 * time.Second
		}))
		ctx, stop := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer func() {
			stop()
			group.Wait()
		}()
		start := func(token int64, options ...conductor.Option) (*conductor.Conductor, *placeFleet) {
			fleet := &placeFleet{
				cutFleet: &cutFleet{
					Fleet: f.fleet,
				},
			}
			owner := conductor.New(f.store, fleet, approveAll{}, partition, token, append(options,
				conductor.Scheduling(scheduler.Lease(3500*time.Millisecond, 6*time.Second)))...)
			owner.SetWorkers(f.fleet.Entries())
			group.Go(func() {
				// The owner ends with the context, or as it has a successor.
				_ = owner.Run(ctx)
			})
			return owner, fleet
		}
		former, formerFleet := start(1)
		confirm := func(owner *conductor.Conductor) (end func()) {
			confirmCtx, end := context.WithCancel(ctx)
			group.Go(func() {
				for confirmCtx.Err() == nil {
					owner.ConfirmOwnership(time.Now())
					time.Sleep(50 * time.Millisecond)
				}
			})
			return end
		}
		endAssignment := confirm(former)
		group.Go(func() {
			for ctx.Err() == nil {
				// The fleet ends the runs whose lease is over when their worker is called. It refuses
				// the call itself.
				for _, entry := range f.fleet.Entries() {
					_ = f.fleet.Stop(ctx, 0, scheduler.StopTask{
						Worker: entry.Ref,
					})
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
		f.submit("j", tasks(2))
		time.Sleep(2 * time.Second)
		f.c.Assert(f.fleet.Starts(), qt.Equals, 2)
		f.c.Assert(f.fleet.Done(), qt.Equals, 1)
		// The partition was assigned to another entry for a moment. No later epoch is announced yet.
		former.DoubtOwnership()
		time.Sleep(200 * time.Millisecond)
		near, far := formerFleet.place.Load().(string), "a"
		if near == far {
			far = "b"
		}
		formerFleet.worker = far
		formerFleet.cut.Store(true)
		var joins atomic.Int64
		next, nextFleet := start(2, conductor.AwaitAssignment(func() { joins.Add(1) }))
		nextFleet.worker = near
		nextFleet.cut.Store(true)
		time.Sleep(10 * time.Second)
		f.checkNoViolations()
		f.c.Check(f.fleet.Starts(), qt.Equals, 2)
		f.c.Check(f.fleet.Running(), qt.Equals, 1, qt.Commentf("the group lists the partition for the former owner"))
		f.c.Check(joins.Load() > 0, qt.IsTrue)
		// From now on the group lists it for the next owner.
		endAssignment()
		confirm(next)
		time.Sleep(5 * time.Second)
		f.c.Check(f.fleet.Starts(), qt.Equals, 2, qt.Commentf("the former owner's leases may last"))
		time.Sleep(5 * time.Second)
		f.checkNoViolations()
		f.c.Check(f.fleet.Starts(), qt.Equals, 3)
	})
}
