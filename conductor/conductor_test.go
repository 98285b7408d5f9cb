package conductor_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	service   = "desk"
	partition = 3
	gibibyte  = 1 << 30
)

// freeAdvice approves all workers.
type freeAdvice struct{}

func (freeAdvice) Advise(_ context.Context, order scheduler.AskAdvice) ([]scheduler.Approval, time.Duration, error) {
	var approved []scheduler.Approval
	for _, id := range order.Workers {
		approved = append(approved, scheduler.Approval{
			WorkerID: id,
			Ticket:   "ticket",
		})
	}
	return approved, time.Second, nil
}

func (freeAdvice) Slots() (quick, other int) { return 2, 2 }

// rig is a store, a fleet and the owners that follow each other.
type rig struct {
	c     *qt.C
	store *storer.Memory
	fleet *emulator.Fleet
	token int64
	owner *conductor.Conductor
	stop  context.CancelFunc
	group *errgroup.Group
	// superseded ends the confirmations of the last owner.
	superseded context.CancelFunc
}

func newRig(t *testing.T, workers int, opts ...emulator.FleetOption) *rig {
	r := &rig{
		c:     qt.New(t),
		store: storer.NewMemory(timekeeper.System()),
		fleet: emulator.NewFleet(timekeeper.System(), opts...),
	}
	for i := range workers {
		r.fleet.Add(string(rune('a'+i)), service, sizer.New(4000, 16*gibibyte, 0))
	}
	t.Cleanup(func() { r.halt() })
	return r
}

// own starts the next owner. The one before is not told.
func (r *rig) own() (*conductor.Conductor, *errgroup.Group) {
	r.token++
	owner := conductor.New(r.store, r.fleet, freeAdvice{}, partition, r.token,
		conductor.Scheduling(scheduler.Lease(time.Second, 1500*time.Millisecond)))
	owner.SetWorkers(r.fleet.Entries())
	ctx, stop := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error {
		return owner.Run(ctx)
	})
	// The process around an owner confirms it as long as it is one. An owner
	// that is not confirmed grants no lease after a while, and starts nothing.
	confirming, done := context.WithCancel(ctx)
	group.Go(func() error {
		err := timekeeper.Every(confirming, timekeeper.System(), 100*time.Millisecond, func(context.Context) {
			owner.Confirm(time.Now())
		})
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	})
	if r.superseded != nil {
		r.superseded()
	}
	r.superseded = done
	former, formerGroup := r.stop, r.group
	r.owner, r.group = owner, group
	r.stop = func() {
		stop()
		if former != nil {
			former()
			// The former owner's own end is for the test that waits for it.
			_ = formerGroup.Wait()
		}
	}
	return owner, group
}

func (r *rig) halt() {
	if r.stop != nil {
		r.stop()
		// The last owner ends with the error of its context.
		_ = r.group.Wait()
		r.stop = nil
	}
}

func (r *rig) submit(id string, phases ...scheduler.Phase) {
	for i := range phases {
		if i > 0 {
			phases[i].DependsOn = []int{i - 1}
		}
	}
	record, err := conductor.JobRecord(scheduler.Job{
		ID: id,
		Queue: scheduler.Queue{
			Name:        "checks",
			Service:     service,
			MaxAttempts: 3,
			SlackFactor: 2,
		},
		Phases:   phases,
		Accepted: time.Now(),
	})
	r.c.Assert(err, qt.IsNil)
	r.append(record)
}

func (r *rig) append(record storer.Record) {
	_, err := r.store.Append(context.Background(), storer.Partition{
		Topic:  conductor.JobsTopic,
		Number: partition,
	}, nil, record)
	r.c.Assert(err, qt.IsNil)
}

// await waits until the owner shows that state of a job.
func (r *rig) await(id string, want scheduler.JobState) {
	for {
		state, found, err := r.owner.State(context.Background(), id)
		if err == nil && found && state == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func tasks(n int) scheduler.Phase {
	return scheduler.Phase{
		Tasks:    n,
		Size:     sizer.New(1000, gibibyte, 0),
		Estimate: 200 * time.Millisecond,
	}
}

func (r *rig) clean() {
	r.c.Assert(r.fleet.Broken(), qt.HasLen, 0)
}

func TestJobIsCompleted(t *testing.T) {
	r := newRig(t, 3)
	r.own()
	r.submit("j", tasks(6), tasks(3))
	r.await("j", scheduler.Completed)
	r.c.Assert(r.fleet.Done(), qt.Equals, 9)
	r.clean()
}

func TestUnknownJob(t *testing.T) {
	r := newRig(t, 1)
	owner, _ := r.own()
	for {
		_, found, err := owner.State(context.Background(), "nobody")
		if err == nil {
			r.c.Assert(found, qt.IsFalse)
			return
		}
		r.c.Assert(err, qt.ErrorIs, conductor.ErrNotReady)
		time.Sleep(time.Millisecond)
	}
}

func TestCancelledJobIsStopped(t *testing.T) {
	r := newRig(t, 2, emulator.RunLength(func(scheduler.TaskRef) time.Duration { return time.Hour }))
	r.own()
	r.submit("j", tasks(4))
	r.await("j", scheduler.Running)
	r.append(conductor.CancelRecord("j"))
	r.await("j", scheduler.Cancelled)
	r.clean()
}

// TestFormerOwnerIsShutOut has a later owner take over from one that lives on.
func TestFormerOwnerIsShutOut(t *testing.T) {
	r := newRig(t, 3)
	_, former := r.own()
	r.submit("j", tasks(12), tasks(12))
	r.await("j", scheduler.Running)
	r.own()
	r.await("j", scheduler.Completed)
	r.submit("k", tasks(1))
	r.await("k", scheduler.Completed)
	err := former.Wait()
	r.c.Assert(errors.Is(err, conductor.ErrSuperseded), qt.IsTrue, qt.Commentf("%v", err))
	r.c.Assert(r.fleet.Done(), qt.Equals, 25)
	r.clean()
}

// TestOwnersInSeries has owners end at once, one after the other, under load.
func TestOwnersInSeries(t *testing.T) {
	r := newRig(t, 4, emulator.RunLength(func(scheduler.TaskRef) time.Duration { return 50 * time.Millisecond }))
	for i := range 5 {
		r.own()
		for j := range 4 {
			r.submit(string(rune('a'+i))+string(rune('a'+j)), tasks(5), tasks(5))
		}
		time.Sleep(60 * time.Millisecond)
		r.halt()
	}
	r.own()
	for i := range 5 {
		for j := range 4 {
			r.await(string(rune('a'+i))+string(rune('a'+j)), scheduler.Completed)
		}
	}
	r.c.Assert(r.fleet.Done(), qt.Equals, 200)
	r.clean()
}

// TestLostAnswersDoNotDoubleTasks has starts take effect without an answer.
func TestLostAnswersDoNotDoubleTasks(t *testing.T) {
	r := newRig(t, 2)
	r.fleet.LoseAnswers("a", 5)
	r.fleet.LoseAnswers("b", 5)
	r.own()
	r.submit("j", tasks(8), tasks(8))
	r.await("j", scheduler.Completed)
	r.c.Assert(r.fleet.Done(), qt.Equals, 16)
	r.clean()
}

// TestStoreOutage has the store refuse all calls for a while: nothing is shown
// as completed before it is stored, and nothing is lost.
func TestStoreOutage(t *testing.T) {
	r := newRig(t, 3)
	owner, _ := r.own()
	r.submit("j", tasks(3))
	r.await("j", scheduler.Running)
	r.store.Fail(storer.ErrUnavailable)
	for r.fleet.Done() < 3 {
		owner.Confirm(time.Now())
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	state, found, err := owner.State(context.Background(), "j")
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(found, qt.IsTrue)
	r.c.Assert(state, qt.Equals, scheduler.Running)
	r.store.Fail(nil)
	r.await("j", scheduler.Completed)
	r.clean()
}

// TestSilentWorkerUnderItsOwner has a worker fall silent with runs on it.
func TestSilentWorkerUnderItsOwner(t *testing.T) {
	r := newRig(t, 2, emulator.RunLength(func(scheduler.TaskRef) time.Duration { return 600 * time.Millisecond }))
	owner, _ := r.own()
	r.submit("j", tasks(8))
	for r.fleet.Starts() < 8 {
		time.Sleep(time.Millisecond)
	}
	r.fleet.SetSilent("a", true)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return timekeeper.Every(ctx, timekeeper.System(), 100*time.Millisecond, func(context.Context) {
			owner.Confirm(time.Now())
		})
	})
	r.await("j", scheduler.Completed)
	stop()
	// The confirmations end with their context.
	_ = group.Wait()
	r.clean()
}
