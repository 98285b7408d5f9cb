package scheduler_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

var advisedQueue = scheduler.Queue{
	Name:        "advised",
	Service:     "desk",
	MaxAttempts: 2,
	SlackFactor: 2,
	Target:      time.Second,
	Advice: &scheduler.Advice{
		Decision:  10 * time.Millisecond,
		PerWorker: time.Millisecond,
		Validity:  2 * time.Second,
	},
}

// answerAdvice answers the calls to the adviser of the last tick, and returns
// them. It approves the workers for which approves returns true.
func (r *rig) answerAdvice(approves func(step scheduler.StepRef, worker string) bool) []scheduler.AskAdvice {
	var asked []scheduler.AskAdvice
	for _, effect := range r.effects {
		ask, is := effect.(scheduler.AskAdvice)
		if !is {
			continue
		}
		asked = append(asked, ask)
		var approved []scheduler.Approval
		for _, id := range ask.Workers {
			if approves(ask.Step, id) {
				approved = append(approved, scheduler.Approval{
					WorkerID: id,
					Ticket:   "ticket of " + id,
				})
			}
		}
		r.s.AdviceAnswered(ask.Step, ask.Workers, approved, 2*time.Second, r.now)
	}
	return asked
}

func approveAll(scheduler.StepRef, string) bool { return true }

func TestStartsCarryTheTicket(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(4))
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(2, cores(1)))
	job.Queue = advisedQueue
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 0)
	onlyW := func(_ scheduler.StepRef, worker string) bool { return worker == "w" }
	r.c.Assert(r.answerAdvice(onlyW), qt.HasLen, 1)
	r.tick()
	r.c.Assert(r.workersByID["w"].activeRuns, qt.HasLen, 2)
	for _, effect := range r.effects {
		if start, is := effect.(scheduler.StartTask); is {
			r.c.Assert(start.Ticket, qt.Equals, "ticket of w")
		}
	}
}

// TestStepThatCannotBePlacedDoesNotKeepOthersFromAdvice checks that a wide job does
// not block the jobs behind it. Only few of the wide job's tasks can be placed at
// once, and its waiting tasks must not count as taking up capacity.
func TestStepThatCannotBePlacedDoesNotKeepOthersFromAdvice(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(4))
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	phase := newPhase(50, cores(1))
	phase.PerWorker = 1
	wide := r.job("a", phase)
	wide.Queue = advisedQueue
	r.s.AddJob(wide, nil, false, r.now)
	for range 3 {
		r.tick()
		r.answerAdvice(approveAll)
	}
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	narrow := r.job("b", newPhase(1, cores(1)))
	narrow.Queue = advisedQueue
	r.s.AddJob(narrow, nil, false, r.now)
	for range 3 {
		r.tick()
		r.answerAdvice(approveAll)
	}
	r.c.Assert(r.activeRuns(), qt.Equals, 3)
}

// TestExpiredTicketsAreRenewedOnlyForRoom checks that tickets which expire while
// all workers are full are renewed only once there is free capacity. The tasks are
// small enough for several to fit the worker, so no worker is reserved for them.
func TestExpiredTicketsAreRenewedOnlyForRoom(t *testing.T) {
	r := newRig(t)
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("a", newPhase(1, cores(4))), nil, false, r.now)
	r.tick()
	job := r.job("b", newPhase(1, cores(1)))
	job.Queue = advisedQueue
	r.s.AddJob(job, nil, false, r.now)
	for range 30 {
		r.round()
		r.c.Assert(r.answerAdvice(approveAll), qt.HasLen, 0, qt.Commentf("asked while there is no free capacity"))
	}
	r.endAll(0, scheduler.EndDone)
	r.round()
	r.c.Assert(r.answerAdvice(approveAll), qt.HasLen, 1)
	r.round()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
}

// TestLargeStepIsAskedForOnce checks that for a task that waits for a whole worker
// the adviser is asked once, and again only shortly before an approved worker is
// free. The task starts as soon as that worker is free.
func TestLargeStepIsAskedForOnce(t *testing.T) {
	r := newRig(t)
	for i := range 3 {
		r.addWorker(workerName(i), cores(4)).runTime = 5 * time.Second
	}
	r.updateDirectory()
	r.renewLeases()
	phase := newPhase(3, cores(4))
	phase.Estimate = 5 * time.Second
	r.s.AddJob(r.job("a", phase), nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 3)
	job := r.job("b", newPhase(1, cores(4)))
	job.Queue = advisedQueue
	job.Queue.Advice = &scheduler.Advice{
		Decision:  400 * time.Millisecond,
		PerWorker: time.Millisecond,
		Validity:  2 * time.Second,
	}
	r.s.AddJob(job, nil, false, r.now)
	onlyOne := func(_ scheduler.StepRef, worker string) bool { return worker == workerName(1) }
	var calls []scheduler.AskAdvice
	for range 40 {
		r.round()
		calls = append(calls, r.answerAdvice(onlyOne)...)
	}
	r.c.Assert(calls, qt.HasLen, 1, qt.Commentf("asked while there is no free capacity"))
	r.c.Assert(calls[0].Workers, qt.HasLen, 3)
	for range 9 {
		r.round()
		calls = append(calls, r.answerAdvice(onlyOne)...)
	}
	r.c.Assert(calls, qt.HasLen, 2)
	r.c.Assert(calls[1].Workers, qt.DeepEquals, []string{workerName(1)})
	r.endAll(0, scheduler.EndDone)
	r.round()
	r.c.Assert(r.runsOf("b"), qt.Equals, 1)
}

// TestLargeTasksFindWholeWorkers checks that tasks which each take most of a worker
// earn more than 0.8 of their value beside a stream of small tasks, at the usual load
// and also when a third of the workers is cut off for a while. Large tasks would
// starve if small tasks took any capacity that becomes free.
func TestLargeTasksFindWholeWorkers(t *testing.T) {
	for _, cut := range []bool{false, true} {
		large := playAll(t, seeds, 40*time.Second, func(seed uint64) *simulation {
			sim := newAcceleratorSimulation(t, seed, 1).withoutGangs()
			if cut {
				sim.cutFrom, sim.cutTo = 18*time.Second, 23500*time.Millisecond
			}
			return sim
		})[0]
		// 0.8 is the target for the worst kind of request on a day on which
		// workers are cut off.
		qt.Assert(t, large.share() > 0.8, qt.IsTrue, qt.Commentf("share %.2f, cut %t", large.share(), cut))
	}
}

// TestNextPhaseIsAskedAhead checks that the adviser is asked about a phase before the
// phase that it depends on has ended, so that the later phase starts at once.
func TestNextPhaseIsAskedAhead(t *testing.T) {
	r := newRig(t)
	r.addWorker("w", cores(4)).runTime = time.Second
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(1, cores(1)), newPhase(1, cores(1)))
	job.Queue = advisedQueue
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.answerAdvice(approveAll)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
	asked := 0
	for range 10 {
		r.advance(100 * time.Millisecond)
		r.renewLeases()
		r.tick()
		asked += len(r.answerAdvice(approveAll))
	}
	r.c.Assert(asked, qt.Equals, 1)
	r.endAll(0, scheduler.EndDone)
	r.renewLeases()
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 1, qt.Commentf("the second phase does not start at once"))
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(4))
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("single", newPhase(1, cores(1))), nil, false, r.now)
	r.tick()
	phase := newPhase(2, cores(4))
	phase.Gang = true
	gang := r.job("gang", phase)
	r.s.AddJob(gang, nil, false, r.now)
	for range 3 {
		r.round()
		r.c.Assert(totalStarts(r, "gang"), qt.Equals, 0)
	}
	r.workersByID[holderOf(r, "single")].end(runOf(r, "single"), scheduler.EndDone)
	r.round()
	r.c.Assert(totalStarts(r, "gang"), qt.Equals, 2)
	var attempts []int64
	for _, w := range r.workersByID {
		for run := range w.activeRuns {
			attempts = append(attempts, run.Attempt)
		}
	}
	r.c.Assert(attempts[0], qt.Equals, attempts[1])
}

// TestGangTriesAgainOnceAllHaveEnded checks that after the failure of one member of
// a gang, all other members are stopped and the gang starts again as a whole.
func TestGangTriesAgainOnceAllHaveEnded(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(4))
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	phase := newPhase(2, cores(4))
	phase.Gang = true
	r.s.AddJob(r.job("gang", phase), nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.workersByID["v"].end(runOn(r, "v"), scheduler.EndFailed)
	r.renewLeases()
	r.advance(time.Second)
	r.round()
	r.round()
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.c.Assert(totalStarts(r, "gang"), qt.Equals, 4)
	// The end of one member counts for all.
	r.workersByID["v"].end(runOn(r, "v"), scheduler.EndDone)
	r.round()
	r.write()
	r.c.Assert(r.state("gang"), qt.Equals, scheduler.Completed)
}

func runOn(r *rig, id string) scheduler.RunRef {
	return firstRun(r.workersByID[id])
}

func holderOf(r *rig, job string) string {
	for id, w := range r.workersByID {
		for run := range w.activeRuns {
			if run.Task.Step.Job == job {
				return id
			}
		}
	}
	return ""
}

func runOf(r *rig, job string) scheduler.RunRef {
	for _, w := range r.workersByID {
		for run := range w.activeRuns {
			if run.Task.Step.Job == job {
				return run
			}
		}
	}
	return scheduler.RunRef{}
}

// TestBacklogDoesNotFloodTheAdviser checks that the number of calls in flight stays
// within its limit when many jobs wait, as after an outage, and that the calls for
// the highest ranked steps are made first.
func TestBacklogDoesNotFloodTheAdviser(t *testing.T) {
	r := newRig(t)
	for i := range 20 {
		r.addWorker(workerName(i), cores(4))
	}
	r.updateDirectory()
	r.renewLeases()
	r.s.SetAdviceLimits(2, 2)
	for i := range 40 {
		job := r.job(workerName(i), newPhase(1, cores(1)))
		job.Queue = advisedQueue
		job.Accepted = r.now.Add(time.Duration(i) * time.Millisecond)
		r.s.AddJob(job, nil, false, r.now)
	}
	var calls []scheduler.AskAdvice
	var order []string
	for range 5 {
		r.carryOut(r.s.Tick(r.now))
		for _, effect := range r.effects {
			if ask, is := effect.(scheduler.AskAdvice); is {
				calls = append(calls, ask)
				order = append(order, ask.Step.Job)
			}
		}
	}
	r.c.Assert(calls, qt.HasLen, 2)
	r.c.Assert(order, qt.DeepEquals, []string{workerName(0), workerName(1)})
	// A call that failed no longer counts towards the limit.
	r.s.AdviceFailed(calls[0].Step, calls[0].Workers, r.now)
	r.carryOut(r.s.Tick(r.now))
	r.c.Assert(r.effects, qt.HasLen, 1)
}

// TestWideStepKeepsOnlyCapacityItCanUse checks that the adviser is asked for a small
// job while the call for a wide job ahead of it is in flight. Meanwhile the wide job
// takes up only the capacity that it can use, not that of all its tasks.
func TestWideStepKeepsOnlyCapacityItCanUse(t *testing.T) {
	r := newRig(t)
	for i := range 4 {
		r.addWorker(workerName(i), cores(16))
	}
	r.updateDirectory()
	r.renewLeases()
	r.s.SetAdviceLimits(2, 2)
	phase := newPhase(100, cores(4))
	phase.PerWorker = 1
	wide := r.job("a", phase)
	wide.Queue = advisedQueue
	r.s.AddJob(wide, nil, false, r.now)
	small := r.job("b", newPhase(1, cores(1)))
	small.Queue = advisedQueue
	r.s.AddJob(small, nil, false, r.now)
	r.carryOut(r.s.Tick(r.now))
	r.c.Assert(r.effects, qt.HasLen, 2)
}

// TestNewOwnerStopsIncompleteGang checks that a gang starts again as a whole if one
// of its two members ends before a takeover and the new owner finds only the other.
func TestNewOwnerStopsIncompleteGang(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(4))
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	phase := newPhase(2, cores(4))
	phase.Gang = true
	gang := r.job("gang", phase)
	r.s.AddJob(gang, nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.workersByID["v"].end(runOn(r, "v"), scheduler.EndLapsed)
	r.takeOver(gang)
	for range 40 {
		r.round()
	}
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.c.Assert(totalStarts(r, "gang"), qt.Equals, 4)
}

// TestDeniedCallsAreReported checks that steps which wait for a call to the adviser
// show in the notes and in AdviceLoad, from which the log and the metrics are made.
func TestDeniedCallsAreReported(t *testing.T) {
	r := newRig(t)
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	r.s.SetAdviceLimits(1, 1)
	for _, id := range []string{"a", "b", "c"} {
		job := r.job(id, newPhase(1, cores(1)))
		job.Queue = advisedQueue
		r.s.AddJob(job, nil, false, r.now)
	}
	r.tick()
	for range 50 {
		r.round()
	}
	load := r.s.AdviceLoad(r.now)
	r.c.Assert(load.InFlight[true], qt.Equals, 1)
	r.c.Assert(load.Limits[true], qt.Equals, 1)
	r.c.Assert(load.Denied, qt.Equals, 2)
	r.c.Assert(load.LongestWait, qt.Equals, 5*time.Second)
	noted := 0
	for _, note := range r.s.Notes() {
		if strings.Contains(note.Text, "0 calls made") {
			r.c.Assert(note.Text, qt.Contains, "tasks, late, 1 workers")
			r.c.Assert(note.Text, qt.Contains, "no free call for 5s")
			noted++
		}
	}
	r.c.Assert(noted, qt.Equals, 2)

	// No call is made about a full worker, so none is denied.
	r.addWorker("w", cores(4)).activeRuns[scheduler.RunRef{}] = scheduler.ActiveRun{}
	r.advance(time.Second)
	r.renewLeases()
	r.tick()
	r.c.Assert(r.s.AdviceLoad(r.now).Denied, qt.Equals, 0)
}

// TestCallsTellTheirPurpose checks that first calls, calls about more workers and
// renewals are told apart. Renewals must not be counted as first calls.
func TestCallsTellTheirPurpose(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(1))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(3, cores(1)))
	job.Queue = advisedQueue
	r.s.AddJob(job, nil, false, r.now)
	var purposes []scheduler.AskPurpose
	ask := func() {
		r.tick()
		for _, call := range r.answerAdvice(approveAll) {
			purposes = append(purposes, call.Purpose)
		}
	}
	ask()
	r.addWorker("w", cores(2))
	r.updateDirectory()
	r.renewLeases()
	ask()
	r.advance(2 * time.Second)
	r.endAll(0, scheduler.EndDone)
	r.renewLeases()
	ask()
	r.c.Assert(purposes, qt.DeepEquals, []scheduler.AskPurpose{scheduler.AskFirst, scheduler.AskMore, scheduler.AskRenewal})
}
