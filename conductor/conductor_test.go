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

// approveAll is an adviser that approves all workers.
type approveAll struct{}

func (approveAll) Advise(_ context.Context, order scheduler.AskAdvice) ([]scheduler.Approval, time.Duration, error) {
	var approved []scheduler.Approval
	for _, id := range order.Workers {
		approved = append(approved, scheduler.Approval{
			WorkerID: id,
			Ticket:   "ticket",
		})
	}
	return approved, time.Second, nil
}

func (approveAll) AdviceLimits() (quick, long int) { return 2, 2 }

// fixture is a store, a fleet of workers and a series of owners. owner is the last
// one, group runs it, and stop stops it and all former ones.
type fixture struct {
	c     *qt.C
	store *storer.Memory
	// ownerStore is the store as the owners see it.
	ownerStore storer.Store
	// ownerOptions are given to owners besides those that all have.
	ownerOptions []conductor.Option
	fleet        *emulator.Fleet
	token        int64
	owner        *conductor.Conductor
	stop         context.CancelFunc
	group        *errgroup.Group
	// stopConfirming ends the confirmations of the last owner.
	stopConfirming context.CancelFunc
}

func newFixture(t *testing.T, workers int, opts ...emulator.FleetOption) *fixture {
	f := &fixture{
		c:     qt.New(t),
		store: storer.NewMemory(timekeeper.System()),
		fleet: emulator.NewFleet(timekeeper.System(), opts...),
	}
	f.ownerStore = f.store
	for i := range workers {
		f.fleet.Add(string(rune('a'+i)), service, sizer.New(4000, 16*gibibyte, 0))
	}
	t.Cleanup(func() { f.stopOwners() })
	return f
}

// startOwner starts the next owner. The former owner is not notified.
func (f *fixture) startOwner() (*conductor.Conductor, *errgroup.Group) {
	f.token++
	owner := conductor.New(f.ownerStore, f.fleet, approveAll{}, partition, f.token,
		append([]conductor.Option{
			conductor.Scheduling(scheduler.Lease(time.Second, 1500*time.Millisecond)),
		}, f.ownerOptions...)...)
	owner.SetWorkers(f.fleet.Entries())
	ctx, stop := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error {
		return owner.Run(ctx)
	})
	// The coordinator confirms an owner as long as it is one. An owner without
	// confirmations soon grants no more leases, and starts nothing.
	confirmCtx, cancelConfirm := context.WithCancel(ctx)
	group.Go(func() error {
		err := timekeeper.Every(confirmCtx, timekeeper.System(), 100*time.Millisecond, func(context.Context) {
			owner.ConfirmOwnership(time.Now())
		})
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	})
	if f.stopConfirming != nil {
		f.stopConfirming()
	}
	f.stopConfirming = cancelConfirm
	stopFormer, formerGroup := f.stop, f.group
	f.owner, f.group = owner, group
	f.stop = func() {
		stop()
		if stopFormer != nil {
			stopFormer()
			// The error of the former owner is checked by the test that waits for
			// it.
			_ = formerGroup.Wait()
		}
	}
	return owner, group
}

func (f *fixture) stopOwners() {
	if f.stop != nil {
		f.stop()
		// The last owner returns the error of its context.
		_ = f.group.Wait()
		f.stop = nil
	}
}

func (f *fixture) submit(id string, phases ...scheduler.Phase) {
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
	f.c.Assert(err, qt.IsNil)
	f.append(record)
}

func (f *fixture) append(record storer.Record) {
	_, err := f.store.Append(context.Background(), storer.Partition{
		Topic:  conductor.JobsTopic,
		Number: partition,
	}, nil, record)
	f.c.Assert(err, qt.IsNil)
}

// await waits until the owner returns the given state of a job.
func (f *fixture) await(id string, want scheduler.JobState) {
	for {
		state, found, err := f.owner.State(context.Background(), id, "")
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

func (f *fixture) checkNoViolations() {
	f.c.Assert(f.fleet.Violations(), qt.HasLen, 0)
}

func TestJobIsCompleted(t *testing.T) {
	f := newFixture(t, 3)
	f.startOwner()
	f.submit("j", tasks(6), tasks(3))
	f.await("j", scheduler.Completed)
	f.c.Assert(f.fleet.Done(), qt.Equals, 9)
	f.checkNoViolations()
}

func TestUnknownJob(t *testing.T) {
	f := newFixture(t, 1)
	owner, _ := f.startOwner()
	for {
		_, found, err := owner.State(context.Background(), "nobody", "")
		if err == nil {
			f.c.Assert(found, qt.IsFalse)
			return
		}
		f.c.Assert(err, qt.ErrorIs, conductor.ErrNotReady)
		time.Sleep(time.Millisecond)
	}
}

func TestCancelledJobIsStopped(t *testing.T) {
	f := newFixture(t, 2, emulator.RunTime(func(scheduler.TaskRef) time.Duration { return time.Hour }))
	f.startOwner()
	f.submit("j", tasks(4))
	f.await("j", scheduler.Running)
	record, err := conductor.CancelRecord("j", "")
	f.c.Assert(err, qt.IsNil)
	f.append(record)
	f.await("j", scheduler.Cancelled)
	f.checkNoViolations()
}

// TestFormerOwnerIsShutOut checks that a former owner that still runs ends once a
// later one takes over, and that no task runs twice.
func TestFormerOwnerIsShutOut(t *testing.T) {
	f := newFixture(t, 3)
	_, former := f.startOwner()
	f.submit("j", tasks(12), tasks(12))
	f.await("j", scheduler.Running)
	f.startOwner()
	f.await("j", scheduler.Completed)
	f.submit("k", tasks(1))
	f.await("k", scheduler.Completed)
	err := former.Wait()
	f.c.Assert(errors.Is(err, conductor.ErrSuperseded), qt.IsTrue, qt.Commentf("%v", err))
	f.c.Assert(f.fleet.Done(), qt.Equals, 25)
	f.checkNoViolations()
}

// TestOwnersInSeries checks that all jobs are completed, and no task runs twice,
// when owners are stopped one after the other under load, without a handover.
func TestOwnersInSeries(t *testing.T) {
	f := newFixture(t, 4, emulator.RunTime(func(scheduler.TaskRef) time.Duration { return 50 * time.Millisecond }))
	for i := range 5 {
		f.startOwner()
		for j := range 4 {
			f.submit(string(rune('a'+i))+string(rune('a'+j)), tasks(5), tasks(5))
		}
		time.Sleep(60 * time.Millisecond)
		f.stopOwners()
	}
	f.startOwner()
	for i := range 5 {
		for j := range 4 {
			f.await(string(rune('a'+i))+string(rune('a'+j)), scheduler.Completed)
		}
	}
	f.c.Assert(f.fleet.Done(), qt.Equals, 200)
	f.checkNoViolations()
}

// TestLostAnswersDoNotDoubleTasks checks that no task runs twice if starts take
// effect but their answers are lost.
func TestLostAnswersDoNotDoubleTasks(t *testing.T) {
	f := newFixture(t, 2)
	f.fleet.LoseAnswers("a", 5)
	f.fleet.LoseAnswers("b", 5)
	f.startOwner()
	f.submit("j", tasks(8), tasks(8))
	f.await("j", scheduler.Completed)
	f.c.Assert(f.fleet.Done(), qt.Equals, 16)
	f.checkNoViolations()
}

// TestStoreOutage checks that, while the store refuses all calls, no job is
// reported as completed before that is stored, and that no job is lost.
func TestStoreOutage(t *testing.T) {
	f := newFixture(t, 3)
	owner, _ := f.startOwner()
	f.submit("j", tasks(3))
	f.await("j", scheduler.Running)
	f.store.SetFailure(storer.ErrUnavailable)
	for f.fleet.Done() < 3 {
		owner.ConfirmOwnership(time.Now())
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	state, found, err := owner.State(context.Background(), "j", "")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(found, qt.IsTrue)
	f.c.Assert(state, qt.Equals, scheduler.Running)
	f.store.SetFailure(nil)
	f.await("j", scheduler.Completed)
	f.checkNoViolations()
}

// TestSilentWorkerUnderItsOwner checks that a job is completed although a worker
// stops answering while it has runs of that job.
func TestSilentWorkerUnderItsOwner(t *testing.T) {
	f := newFixture(t, 2, emulator.RunTime(func(scheduler.TaskRef) time.Duration { return 600 * time.Millisecond }))
	owner, _ := f.startOwner()
	f.submit("j", tasks(8))
	for f.fleet.Starts() < 8 {
		time.Sleep(time.Millisecond)
	}
	f.fleet.SetSilent("a", true)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return timekeeper.Every(ctx, timekeeper.System(), 100*time.Millisecond, func(context.Context) {
			owner.ConfirmOwnership(time.Now())
		})
	})
	f.await("j", scheduler.Completed)
	stop()
	// The confirmations return the error of their context.
	_ = group.Wait()
	f.checkNoViolations()
}

// deafStore is a store whose waiting reads never return a record.
type deafStore struct {
	*storer.Memory
}

func (s deafStore) Read(ctx context.Context, of storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	if wait > 0 {
		<-ctx.Done()
		return storer.Page{}, storer.ErrUnavailable
	}
	return s.Memory.Read(ctx, of, from, wait)
}

// TestJobIsFoundAfterTheHistoryIsGone checks that the state of a stored job is known
// to an owner that has not read the job yet, although the store has deleted the
// history up to its end. To answer that there is no such job would be wrong.
func TestJobIsFoundAfterTheHistoryIsGone(t *testing.T) {
	f := newFixture(t, 1)
	owner := conductor.New(deafStore{
		Memory: f.store,
	}, f.fleet, approveAll{}, partition, 1)
	ctx, stop := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error { return owner.Run(ctx) })
	defer func() {
		stop()
		f.c.Check(errors.Is(group.Wait(), context.Canceled), qt.IsTrue)
	}()
	for {
		if _, _, err := owner.State(ctx, "none", ""); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	f.submit("job", tasks(1))
	f.store.Trim(storer.Partition{
		Topic:  conductor.JobsTopic,
		Number: partition,
	}, 1)
	_, found, err := owner.State(ctx, "job", "")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(found, qt.IsTrue)
}
