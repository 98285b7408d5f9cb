package scheduler_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// newCrowdedRig returns a home owner whose workers have long runs on three of four cores, and a
// delegate whose workers are idle.
func newCrowdedRig(t *testing.T) *wideRig {
	w := newWideRig(t)
	long := newPhase(2, cores(3))
	long.Estimate = time.Minute
	w.home.s.AddJob(w.home.job("long", long), nil, false, w.home.now)
	w.rounds(3, true)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 2)
	return w
}

// withinBound is the number of rounds in 3 s, within which a task has to run if its service has
// room.
const withinBound = 30

// TestWaitingTaskReachesRoomOfAnotherShard guards against tasks that wait for the workers of their
// shard, which have long runs, while those of another one are idle.
func TestWaitingTaskReachesRoomOfAnotherShard(t *testing.T) {
	tests := map[string]func(*scheduler.Phase){
		"one task": func(*scheduler.Phase) {},
		"tasks that keep apart": func(p *scheduler.Phase) {
			p.Tasks = 2
			p.PerWorker = 1
		},
		"a gang": func(p *scheduler.Phase) {
			p.Tasks = 3
			p.Gang = true
		},
		"tasks that last": func(p *scheduler.Phase) {
			p.Tasks = 2
			p.Lasting = true
		},
		"a whole worker": func(p *scheduler.Phase) { p.Size = cores(4) },
		"more than the delegate has, of which some fit at home": func(p *scheduler.Phase) {
			p.Tasks = 10
			p.Size = cores(1)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCrowdedRig(t)
			phase := newPhase(1, cores(2))
			change(&phase)
			w.home.s.AddJob(w.home.job("waiting", phase), nil, false, w.home.now)
			for round := 0; w.home.activeRuns()+w.delegate.activeRuns() < 2+phase.Tasks; round++ {
				w.home.c.Assert(round < withinBound, qt.IsTrue, qt.Commentf("%d run", w.home.activeRuns()+w.delegate.activeRuns()-2))
				w.rounds(1, true)
			}
			if phase.Lasting {
				return
			}
			w.home.endAll(0, scheduler.EndDone)
			w.delegate.endAll(0, scheduler.EndDone)
			w.rounds(10, true)
			w.home.c.Assert(w.home.state("waiting"), qt.Equals, scheduler.Completed)
		})
	}
}

// TestGangUsesTheRoomOfTwoShards guards against a gang that never runs, as neither its own shard nor
// another one has room for all of its members.
func TestGangUsesTheRoomOfTwoShards(t *testing.T) {
	w := newWideRig(t)
	for _, r := range []*rig{w.home, w.delegate} {
		r.s.AddJob(r.job("long"+fmt.Sprint(r == w.home), newPhase(1, cores(3))), nil, false, r.now)
	}
	w.rounds(3, true)
	gang := newPhase(2, cores(4))
	gang.Gang = true
	w.home.s.AddJob(w.home.job("gang", gang), nil, false, w.home.now)
	w.rounds(withinBound, true)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 2)
}

// TestDeniedWorkersAreNoRoom guards against tasks that wait as the adviser has denied all workers
// of their shard with room, while it would approve those of another one.
func TestDeniedWorkersAreNoRoom(t *testing.T) {
	w := newWideRig(t)
	job := w.home.job("advised", newPhase(2, cores(1)))
	job.Queue = advisedQueue
	w.home.s.AddJob(job, nil, false, w.home.now)
	atDelegate := func(_ scheduler.StepRef, worker string) bool { return strings.HasPrefix(worker, "other") }
	for range withinBound {
		for _, r := range []*rig{w.home, w.delegate} {
			r.advance(100 * time.Millisecond)
			r.tick()
			r.answerAdvice(atDelegate)
			r.tick()
			r.write()
		}
		w.askRoom()
		w.call()
	}
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 2)
}

// TestJobThatFindsRoomAsksNobody guards against calls for jobs that find room at once, and for
// those that wait for less than roomMissingFor.
func TestJobThatFindsRoomAsksNobody(t *testing.T) {
	w := newWideRig(t)
	for i := range 50 {
		w.home.s.AddJob(w.home.job(fmt.Sprintf("quick%d", i), newPhase(2, cores(2))), nil, false, w.home.now)
		w.rounds(1, false)
		w.home.c.Assert(w.home.s.RoomRequests(w.home.now), qt.HasLen, 0)
		w.home.c.Assert(w.home.s.Delegates(), qt.IsFalse)
		w.home.endAll(0, scheduler.EndDone)
	}
}

// TestRoomThatIsGoneIsNotOfferedAgainAtOnce guards against tasks that wait at a delegate whose room was
// taken meanwhile, and against tasks that go back and forth.
func TestRoomThatIsGoneIsNotOfferedAgainAtOnce(t *testing.T) {
	w := newCrowdedRig(t)
	w.home.s.AddJob(w.home.job("waiting", newPhase(1, cores(2))), nil, false, w.home.now)
	for !w.home.s.Delegates() {
		w.rounds(1, false)
	}
	w.askRoom()
	w.delegate.s.AddJob(w.delegate.job("taken", newPhase(2, cores(4))), nil, false, w.delegate.now)
	arrivals := 0
	for range withinBound {
		before := w.delegate.s.GuestTasks()
		w.rounds(1, true)
		if w.delegate.s.GuestTasks() > before {
			arrivals++
		}
	}
	w.home.c.Assert(arrivals, qt.Equals, 1)
	w.home.c.Assert(w.delegate.s.GuestTasks(), qt.Equals, 0)
	w.home.endAll(0, scheduler.EndDone)
	w.rounds(10, true)
	w.home.c.Assert(totalStarts(w.home, "waiting"), qt.Equals, 1)
}

// TestFailuresCountOverAllOwners guards against more failed attempts of a task than are allowed, as
// some were made by its owner and some by a delegate, before and after it was returned.
func TestFailuresCountOverAllOwners(t *testing.T) {
	w := newWideRig(t)
	job := w.home.job("failing", newPhase(1, cores(2)))
	job.Queue.MaxAttempts = 4
	w.home.s.AddJob(job, nil, false, w.home.now)
	fail := func(r *rig) {
		for _, worker := range r.workersByID {
			for run := range worker.activeRuns {
				if run.Task.Step.Job == "failing" {
					worker.end(run, scheduler.EndFailed)
				}
			}
		}
	}
	w.rounds(3, true)
	w.home.c.Assert(totalStarts(w.home, "failing"), qt.Equals, 1)
	for _, worker := range w.home.workersByID {
		worker.entry.Leaving = true
	}
	fail(w.home)
	w.home.updateDirectory()
	w.rounds(2, true)
	for round := 0; totalStarts(w.delegate, "failing") < 1; round++ {
		w.home.c.Assert(round < withinBound, qt.IsTrue)
		w.rounds(1, true)
	}
	// It fails there too, and waits, as the delegate's workers leave. At home there is room again.
	for _, worker := range w.delegate.workersByID {
		worker.entry.Leaving = true
	}
	fail(w.delegate)
	w.delegate.updateDirectory()
	for _, worker := range w.home.workersByID {
		worker.entry.Leaving = false
	}
	w.home.updateDirectory()
	for round := 0; totalStarts(w.home, "failing") < 2; round++ {
		w.home.c.Assert(round < withinBound, qt.IsTrue)
		w.rounds(1, true)
	}
	fail(w.home)
	for round := 0; w.home.activeRuns() == 0; round++ {
		w.home.c.Assert(round < withinBound, qt.IsTrue)
		w.rounds(1, true)
	}
	w.home.c.Assert(w.home.state("failing"), qt.Equals, scheduler.Running)
	fail(w.home)
	w.rounds(5, true)
	w.home.c.Assert(w.home.state("failing"), qt.Equals, scheduler.Failed)
	w.home.c.Assert(totalStarts(w.home, "failing")+totalStarts(w.delegate, "failing"), qt.Equals, 4)
}

// TestFailuresBeforeAGrantCount guards against a task that a delegate runs as often as is allowed in all,
// although it failed at home before.
func TestFailuresBeforeAGrantCount(t *testing.T) {
	w := newWideRig(t)
	job := w.home.job("failing", newPhase(1, cores(2)))
	job.Queue.MaxAttempts = 2
	w.home.s.AddJob(job, nil, false, w.home.now)
	w.rounds(3, true)
	w.home.endAll(0, scheduler.EndFailed)
	for _, worker := range w.home.workersByID {
		worker.entry.Leaving = true
	}
	w.home.updateDirectory()
	for round := 0; w.delegate.activeRuns() == 0; round++ {
		w.home.c.Assert(round < withinBound, qt.IsTrue)
		w.rounds(1, true)
	}
	w.delegate.endAll(0, scheduler.EndFailed)
	w.rounds(withinBound, true)
	w.home.c.Assert(w.home.state("failing"), qt.Equals, scheduler.Failed)
	w.home.c.Assert(totalStarts(w.home, "failing")+totalStarts(w.delegate, "failing"), qt.Equals, 2)
}

// TestGrantedTaskKeepsItsAge guards against a task that is overtaken by all later ones of the
// delegate, as it counts as new there.
func TestGrantedTaskKeepsItsAge(t *testing.T) {
	w := newWideRig(t)
	for _, worker := range w.delegate.workersByID {
		worker.entry.Labels = []string{labelled}
	}
	w.delegate.updateDirectory()
	w.delegate.s.AddJob(w.delegate.job("long", newPhase(2, cores(4))), nil, false, w.delegate.now)
	w.rounds(3, true)
	phase := newPhase(1, cores(4))
	phase.Requires = labelled
	old := w.home.job("old", phase)
	old.Queue.Target = time.Minute
	w.home.s.AddJob(old, nil, false, w.home.now)
	later := w.delegate.job("new", newPhase(1, cores(4)))
	later.Queue.Target = time.Minute
	later.Accepted = w.delegate.now.Add(100 * time.Millisecond)
	w.delegate.s.AddJob(later, nil, false, w.delegate.now)
	for w.delegate.s.GuestTasks() == 0 {
		w.rounds(1, true)
	}
	w.rounds(10, true)
	for _, worker := range w.delegate.workersByID {
		for run := range worker.activeRuns {
			worker.end(run, scheduler.EndDone)
		}
		break
	}
	w.rounds(2, true)
	w.home.c.Assert(totalStarts(w.delegate, "old"), qt.Equals, 1)
	w.home.c.Assert(totalStarts(w.delegate, "new"), qt.Equals, 0)
}

// TestOddRoomIsIgnored guards against tasks that are left to an owner as its summary cannot be, and
// against a panic.
func TestOddRoomIsIgnored(t *testing.T) {
	groups := func(n int) []scheduler.RoomGroup {
		all := make([]scheduler.RoomGroup, n)
		for i := range all {
			all[i] = scheduler.RoomGroup{
				Workers: 1,
				Free:    cores(4),
				Ever:    cores(4),
			}
		}
		return all
	}
	spare := cores(1000)
	tests := map[string]scheduler.Room{
		"negative workers": {
			Spare: spare,
			Groups: []scheduler.RoomGroup{
				{
					Workers: -1,
					Free:    cores(4),
				},
			},
		},
		"too many workers": {
			Spare: spare,
			Groups: []scheduler.RoomGroup{
				{
					Workers: math.MaxInt,
					Free:    cores(4),
				},
			},
		},
		"negative capacity": {
			Spare: spare,
			Groups: []scheduler.RoomGroup{
				{
					Workers: 1,
					Free:    sizer.New(-4000, 1<<40, 1),
				},
			},
		},
		"negative spare capacity": {
			Spare:  sizer.New(-1, 0, 0),
			Groups: groups(1),
		},
		"too many groups": {
			Spare:  spare,
			Groups: groups(1000),
		},
	}
	for name, room := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCrowdedRig(t)
			w.home.s.AddJob(w.home.job("waiting", newPhase(1, cores(2))), nil, false, w.home.now)
			notes := 0
			for range withinBound {
				w.rounds(1, false)
				if queries := w.home.s.RoomRequests(w.home.now)[1]; len(queries) > 0 {
					w.home.s.RoomAnswered(1, queries, []scheduler.Room{room, room}, w.home.now, w.home.now)
					w.home.s.RoomAnswered(7, queries, []scheduler.Room{room}, w.home.now, w.home.now)
				}
				for _, note := range w.home.s.Notes() {
					if strings.Contains(note.Text, "cannot be") {
						notes++
					}
				}
			}
			w.home.c.Assert(w.home.stored["waiting"].Grants, qt.HasLen, 0)
			w.home.c.Assert(notes, qt.Equals, 1)
		})
	}
}

// takeOverDelegate replaces the owner of the delegate's partition.
func (w *wideRig) takeOverDelegate(token int64) {
	d := w.delegate
	d.s = scheduler.New(token, d.now)
	var entries []scheduler.WorkerEntry
	for _, worker := range d.workersByID {
		entries = append(entries, worker.entry)
	}
	d.s.AddFormerWorkers(d.storedWorkers)
	for _, guest := range d.storedGuests {
		d.s.RestoreGuest(guest, d.now)
	}
	d.s.SetWorkers(entries)
}

// leave has all workers of an owner leave, or stay.
func leave(r *rig, leaving bool) {
	for _, worker := range r.workersByID {
		worker.entry.Leaving = leaving
	}
	r.updateDirectory()
}

// awaitRounds plays rounds until the condition holds, at most a minute.
func (w *wideRig) awaitRounds(condition func() bool) {
	for round := 0; !condition(); round++ {
		w.home.c.Assert(round < 600, qt.IsTrue)
		w.rounds(1, true)
	}
}

// TestFailuresBeforeAGrantOutliveATakeover guards against more failed attempts than are allowed,
// as the delegate was replaced before the granted task started.
func TestFailuresBeforeAGrantOutliveATakeover(t *testing.T) {
	w := newWideRig(t)
	job := w.home.job("failing", newPhase(1, cores(2)))
	job.Queue.MaxAttempts = 2
	w.home.s.AddJob(job, nil, false, w.home.now)
	w.rounds(3, true)
	w.home.endAll(0, scheduler.EndFailed)
	leave(w.home, true)
	w.awaitRounds(func() bool { return len(w.delegate.storedGuests) > 0 })
	w.takeOverDelegate(2)
	w.awaitRounds(func() bool { return w.delegate.activeRuns() > 0 })
	w.delegate.endAll(0, scheduler.EndFailed)
	w.rounds(withinBound, true)
	w.home.c.Assert(w.home.state("failing"), qt.Equals, scheduler.Failed)
	w.home.c.Assert(totalStarts(w.home, "failing")+totalStarts(w.delegate, "failing"), qt.Equals, 2)
}

// TestFailuresAreCountedOnceAfterATakeover guards against a job that is given up early, as a delegate
// reports a failure for two grants.
func TestFailuresAreCountedOnceAfterATakeover(t *testing.T) {
	w := newWideRig(t)
	job := w.home.job("failing", newPhase(1, cores(2)))
	job.Queue.MaxAttempts = 3
	leave(w.home, true)
	w.home.s.AddJob(job, nil, false, w.home.now)
	w.awaitRounds(func() bool { return w.delegate.activeRuns() > 0 })
	leave(w.delegate, true)
	w.delegate.endAll(0, scheduler.EndFailed)
	w.awaitRounds(func() bool { return w.home.s.GrantedTasks() == 0 })
	leave(w.delegate, false)
	w.awaitRounds(func() bool { return w.delegate.storedGuests["failing"].LastGrant >= 2 })
	w.takeOverDelegate(2)
	leave(w.delegate, true)
	w.awaitRounds(func() bool { return w.home.s.GrantedTasks() == 0 })
	leave(w.home, false)
	w.awaitRounds(func() bool { return w.home.activeRuns() > 0 })
	w.home.endAll(0, scheduler.EndFailed)
	w.rounds(3, true)
	w.home.c.Assert(w.home.state("failing"), qt.Equals, scheduler.Running)
}

// TestRoomIsUsedAlthoughTasksWereReturned guards against tasks that wait beside an idle shard, as it
// had to return them several times before.
func TestRoomIsUsedAlthoughTasksWereReturned(t *testing.T) {
	for times := 1; times <= 5; times++ {
		w := newCrowdedRig(t)
		for _, worker := range w.home.workersByID {
			worker.runTime = 100 * time.Second
		}
		w.home.s.AddJob(w.home.job("waiting", newPhase(1, cores(2))), nil, false, w.home.now)
		for n := range times {
			w.awaitRounds(func() bool { return w.home.s.GrantedTasks() > 0 })
			w.delegate.s.AddJob(w.delegate.job(fmt.Sprint("taken", n), newPhase(2, cores(4))), nil, false, w.delegate.now)
			w.delegate.tick()
			w.awaitRounds(func() bool { return w.home.s.GrantedTasks() == 0 })
			w.delegate.endAll(0, scheduler.EndDone)
		}
		w.rounds(withinBound, true)
		w.home.c.Assert(totalStarts(w.home, "waiting")+totalStarts(w.delegate, "waiting"), qt.Equals, 1, qt.Commentf("returned %d times", times))
	}
}

// TestRoomIsOfferedOnceWhileGrantsAreUnstored guards against many tasks that are left to an owner with
// room for two, as its answers do not count those under way.
func TestRoomIsOfferedOnceWhileGrantsAreUnstored(t *testing.T) {
	w := newCrowdedRig(t)
	for i := range 40 {
		w.home.s.AddJob(w.home.job(fmt.Sprintf("waiting%02d", i), newPhase(1, cores(4))), nil, false, w.home.now)
	}
	for range withinBound {
		w.home.advance(100 * time.Millisecond)
		w.home.renewLeases()
		w.home.carryOut(w.home.s.Tick(w.home.now))
		w.delegate.round()
		w.delegate.write()
		w.askRoom()
	}
	w.home.c.Assert(w.home.s.GrantedTasks(), qt.Equals, 2)
}

// TestHeadroomOfAShardIsNoRoom guards against tasks that wait until the last moment for their shard, as
// they leave its last cores to more urgent queues, while another shard is idle.
func TestHeadroomOfAShardIsNoRoom(t *testing.T) {
	w := newCrowdedRig(t)
	phase := newPhase(1, cores(1))
	phase.Checkpoints = true
	job := w.home.job("waiting", phase)
	job.Queue = scheduler.Queue{
		Name:        "background",
		Service:     "desk",
		Priority:    1,
		MaxAttempts: 2,
		SlackFactor: 2,
		Target:      20 * time.Second,
	}
	w.home.s.AddJob(job, nil, false, w.home.now)
	w.rounds(withinBound, true)
	w.home.c.Assert(totalStarts(w.home, "waiting")+totalStarts(w.delegate, "waiting"), qt.Equals, 1)
}

// TestCrowdedOwnerWithoutPartsGrants guards against tasks that wait for parts of their organisation's
// maximum that their owner does not ask for, as its workers have no room for them.
func TestCrowdedOwnerWithoutPartsGrants(t *testing.T) {
	w := newWideRig(t)
	full := newPhase(2, cores(4))
	full.Estimate = time.Minute
	w.home.s.AddJob(w.home.job("full", full), nil, false, w.home.now)
	w.rounds(3, true)
	w.home.limitTo(cores(8))
	w.home.s.SetHeldParts("a", 0)
	job := w.home.job("waiting", newPhase(1, sizer.New(200, gibibyte, 0)))
	job.Organisation = "a"
	w.home.s.AddJob(job, nil, false, w.home.now)
	w.rounds(withinBound, true)
	w.home.c.Assert(w.home.s.GrantedTasks(), qt.Equals, 1)
}

// TestKeptTasksReturnOnceTheirOwnerHasPlaces guards against tasks that wait for the long runs of a delegate
// while the workers of their own shard are idle, as these lacked places when the tasks were granted.
func TestKeptTasksReturnOnceTheirOwnerHasPlaces(t *testing.T) {
	tests := map[string]func(*scheduler.Phase){
		"tasks that end":  func(*scheduler.Phase) {},
		"tasks that last": func(p *scheduler.Phase) { p.Lasting = true },
		"a gang":          func(p *scheduler.Phase) { p.Gang = true },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWideRig(t)
			long := newPhase(2, cores(3))
			long.Estimate = time.Hour
			w.delegate.s.AddJob(w.delegate.job("long", long), nil, false, w.delegate.now)
			for _, worker := range w.home.workersByID {
				worker.entry.Leaving = true
			}
			w.home.updateDirectory()
			phase := newPhase(2, cores(2))
			change(&phase)
			w.home.s.AddJob(w.home.job("waiting", phase), nil, false, w.home.now)
			for round := 0; w.delegate.s.GuestTasks() == 0; round++ {
				w.home.c.Assert(round < 2*withinBound, qt.IsTrue)
				w.rounds(1, true)
			}
			for _, worker := range w.home.workersByID {
				worker.entry.Leaving = false
			}
			w.home.updateDirectory()
			w.rounds(withinBound, true)
			w.home.c.Assert(totalStarts(w.home, "waiting"), qt.Equals, 2)
			w.home.c.Assert(w.delegate.s.GuestTasks(), qt.Equals, 0)
		})
	}
}

// TestWorkerOnWhichRunsFailedIsRoom guards against tasks that wait beside an idle shard, as runs failed on
// its workers long ago: none of them would ever run something that shows that they work.
func TestWorkerOnWhichRunsFailedIsRoom(t *testing.T) {
	w := newCrowdedRig(t)
	for i := range 6 {
		job := w.delegate.job(fmt.Sprintf("failing%d", i), newPhase(2, cores(3)))
		job.Queue.MaxAttempts = 1
		w.delegate.s.AddJob(job, nil, false, w.delegate.now)
		for w.delegate.activeRuns() < 2 {
			w.rounds(1, true)
		}
		w.delegate.endAll(0, scheduler.EndFailed)
		w.rounds(2, true)
	}
	w.rounds(50, true)
	w.home.s.AddJob(w.home.job("waiting", newPhase(4, cores(2))), nil, false, w.home.now)
	for round := 0; w.delegate.activeRuns() == 0; round++ {
		w.home.c.Assert(round < withinBound, qt.IsTrue)
		w.rounds(1, true)
	}
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 2, qt.Commentf("one on each worker"))
	w.home.c.Assert(w.delegate.s.GuestTasks(), qt.Equals, 2, qt.Commentf("no more than can run"))
	for range 10 {
		w.delegate.endAll(0, scheduler.EndDone)
		w.rounds(5, true)
	}
	w.home.c.Assert(w.home.state("waiting"), qt.Equals, scheduler.Completed)
}

// TestWorkerWithALastingRunIsTriedAgain guards against workers that take nothing until the end of a run that
// lasts, as runs beside it failed.
func TestWorkerWithALastingRunIsTriedAgain(t *testing.T) {
	r := newRig(t)
	worker := r.addWorker("w", cores(4))
	r.updateDirectory()
	lasting := newPhase(1, cores(1))
	lasting.Lasting = true
	r.s.AddJob(r.job("lasting", lasting), nil, false, r.now)
	for i := range 5 {
		job := r.job(fmt.Sprintf("failing%d", i), newPhase(1, cores(1)))
		job.Queue.MaxAttempts = 1
		r.s.AddJob(job, nil, false, r.now)
	}
	for range 200 {
		r.round()
		r.write()
		for run := range worker.activeRuns {
			if run.Task.Step.Job != "lasting" {
				worker.end(run, scheduler.EndFailed)
			}
		}
	}
	r.s.AddJob(r.job("waiting", newPhase(2, cores(1))), nil, false, r.now)
	for range 60 {
		r.round()
		r.write()
	}
	r.c.Assert(totalStarts(r, "lasting"), qt.Equals, 1)
	r.c.Assert(totalStarts(r, "waiting"), qt.Equals, 1, qt.Commentf("one at a time until it succeeds"))
	for run := range worker.activeRuns {
		if run.Task.Step.Job == "waiting" {
			worker.end(run, scheduler.EndDone)
		}
	}
	r.round()
	r.write()
	r.round()
	r.c.Assert(totalStarts(r, "waiting"), qt.Equals, 2)
}

// TestNextDelegateKnowsFailuresBeforeAGrant guards against a task that runs more often than is allowed, as a
// delegate was replaced just after it had stored the grant.
func TestNextDelegateKnowsFailuresBeforeAGrant(t *testing.T) {
	w := newWideRig(t)
	job := w.home.job("failing", newPhase(1, cores(2)))
	w.home.s.AddJob(job, nil, false, w.home.now)
	w.rounds(3, true)
	w.home.endAll(0, scheduler.EndFailed)
	for _, worker := range w.home.workersByID {
		worker.entry.Leaving = true
	}
	w.home.updateDirectory()
	for round := 0; len(w.delegate.storedGuests["failing"].Grants) == 0; round++ {
		w.home.c.Assert(round < withinBound, qt.IsTrue)
		w.rounds(1, true)
	}
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 0)
	w.delegate.takeOver()
	w.delegate.s.RestoreGuest(w.delegate.storedGuests["failing"], w.delegate.now)
	for range 2 * withinBound {
		w.rounds(1, true)
		w.delegate.endAll(0, scheduler.EndFailed)
	}
	w.home.c.Assert(w.home.state("failing"), qt.Equals, scheduler.Failed)
	w.home.c.Assert(totalStarts(w.home, "failing")+totalStarts(w.delegate, "failing"), qt.Equals, deskQueue.MaxAttempts)
}

// TestUnacknowledgedFailureCountsOnce guards against a task that fails for good one attempt early: a delegate has
// counted a failure and returned the task, and its successor hears of that failure again.
func TestUnacknowledgedFailureCountsOnce(t *testing.T) {
	w := newWideRig(t)
	job := w.home.job("failing", newPhase(1, cores(2)))
	job.Queue.MaxAttempts = 3
	w.home.s.AddJob(job, nil, false, w.home.now)
	for _, worker := range w.home.workersByID {
		worker.entry.Leaving = true
	}
	w.home.updateDirectory()
	for round := 0; w.delegate.activeRuns() == 0; round++ {
		w.home.c.Assert(round < 2*withinBound, qt.IsTrue)
		w.rounds(1, true)
	}
	// Its worker reports the failure, and is cut off before that is acknowledged.
	var failed *fakeWorker
	for _, worker := range w.delegate.workersByID {
		if len(worker.activeRuns) > 0 {
			failed = worker
		} else {
			worker.entry.Leaving = true
		}
	}
	w.delegate.updateDirectory()
	w.delegate.endAll(0, scheduler.EndFailed)
	w.delegate.renewLeases()
	failed.silent = true
	for _, worker := range w.home.workersByID {
		worker.entry.Leaving = false
		worker.refuses = true
	}
	w.home.updateDirectory()
	for round := 0; w.home.stored["failing"].Grants == nil || len(w.home.stored["failing"].Grants[0].Tasks) > 0; round++ {
		w.home.c.Assert(round < 2*withinBound, qt.IsTrue, qt.Commentf("%+v", w.home.stored["failing"]))
		w.rounds(1, true)
	}
	for _, worker := range w.home.workersByID {
		worker.entry.Leaving = true
	}
	w.home.updateDirectory()
	for _, worker := range w.delegate.workersByID {
		worker.entry.Leaving = false
	}
	w.delegate.updateDirectory()
	last := w.delegate.storedGuests["failing"].LastGrant
	for round := 0; w.delegate.storedGuests["failing"].LastGrant == last; round++ {
		w.home.c.Assert(round < 4*withinBound, qt.IsTrue)
		w.rounds(1, true)
	}
	w.delegate.takeOver()
	w.delegate.s.RestoreGuest(w.delegate.storedGuests["failing"], w.delegate.now)
	failed.silent = false
	for range 3 * withinBound {
		w.rounds(1, true)
		w.delegate.endAll(0, scheduler.EndFailed)
	}
	w.home.c.Assert(w.home.state("failing"), qt.Equals, scheduler.Failed)
	w.home.c.Assert(totalStarts(w.home, "failing")+totalStarts(w.delegate, "failing"), qt.Equals, 3)
}

// TestGangStartsWithAllMembers guards against members of a gang that start without the others, as a delegate
// returned some of its own after the gang had begun to be prepared.
func TestGangStartsWithAllMembers(t *testing.T) {
	for _, taken := range []int{1, 2} {
		w := newWideRig(t)
		gang := newPhase(4, cores(3))
		gang.Gang = true
		w.home.s.AddJob(w.home.job("gang", gang), nil, false, w.home.now)
		w.awaitRounds(func() bool { return w.home.s.GrantedTasks() > 0 })
		w.delegate.s.AddJob(w.delegate.job("taken", newPhase(taken, cores(4))), nil, false, w.delegate.now)
		w.delegate.tick()
		w.delegate.write()
		partial := 0
		running := func() int {
			n := 0
			for _, r := range []*rig{w.home, w.delegate} {
				for _, worker := range r.workersByID {
					for run := range worker.activeRuns {
						if run.Task.Step.Job == "gang" {
							n++
						}
					}
				}
			}
			return n
		}
		for range 100 {
			w.rounds(1, true)
			if n := running(); n == 0 || n == 4 {
				partial = 0
			} else {
				partial++
			}
			w.home.c.Assert(partial < 3, qt.IsTrue, qt.Commentf("%d members run, %d workers taken", running(), taken))
		}
		w.home.c.Assert(running(), qt.Equals, 0)
		w.delegate.endAll(0, scheduler.EndDone)
		w.awaitRounds(func() bool { return running() == 4 })
	}
}

// TestGangAsksOthersWhileADelegateHolds guards against a gang that waits for room at home while another owner
// has it, as a delegate holds workers for its members.
func TestGangAsksOthersWhileADelegateHolds(t *testing.T) {
	w := newWideRig(t)
	// The delegate of the lower partition holds its workers first.
	w.home.s.SetDelegates(2, map[string][]int{
		"desk": {1},
	})
	gang := newPhase(3, cores(3))
	gang.Gang = true
	w.home.s.AddJob(w.home.job("gang", gang), nil, false, w.home.now)
	w.awaitRounds(func() bool { return w.home.s.GrantedTasks() > 0 })
	long := newPhase(2, cores(4))
	long.Estimate = time.Hour
	w.home.s.AddJob(w.home.job("long", long), nil, false, w.home.now)
	w.home.tick()
	w.home.write()
	askedAt := w.home.now
	for range 2 * withinBound {
		w.rounds(1, false)
		w.call()
		if queries := w.home.s.RoomRequests(w.home.now)[1]; len(queries) > 0 {
			askedAt = w.home.now
		}
		w.home.c.Assert(w.home.now.Sub(askedAt) <= time.Second, qt.IsTrue)
	}
}
