package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// maxIdleWithRoom is the longest time that a job may have nothing running while there is
// room for its tasks on workers that the adviser approves.
const maxIdleWithRoom = 3 * time.Second

// profileQueue has the advice of a queue of long runs that end by themselves on the users'
// larger sites.
var profileQueue = newAdvisedQueue("profiles", 2, 4, 3*time.Second, 208, 2.99)

// endingSteps are the kinds of steps whose tasks end by themselves, each of 8 tasks.
var endingSteps = []struct {
	name string
	size sizer.Size
	gang bool
}{
	{
		name: "gang",
		size: cores(16),
		gang: true,
	},
	{
		name: "whole workers",
		size: cores(16),
	},
	{
		name: "small tasks",
		size: cores(4),
	},
}

// newBusyRig returns a rig in which every worker is full with a long run.
func newBusyRig(t *testing.T, workers int) *lastingRig {
	l := newLastingRig(t, workers)
	phase := newPhase(workers, cores(16))
	phase.Estimate = time.Hour
	l.s.AddJob(l.job("busy", phase), nil, false, l.now)
	l.step()
	l.c.Assert(l.activeRuns(), qt.Equals, workers)
	return l
}

// addEndingJob adds a job of a step whose tasks end by themselves.
func (l *lastingRig) addEndingJob(queue scheduler.Queue, tasks int, size sizer.Size, gang bool) {
	phase := newPhase(tasks, size)
	phase.Estimate = time.Hour
	phase.Gang = gang
	job := l.job("waiting", phase)
	job.Queue = queue
	l.s.AddJob(job, nil, false, l.now)
}

// awaitCall steps until a call to the adviser is in flight.
func (l *lastingRig) awaitCall() {
	for range 100 {
		if len(l.pendingCalls) > 0 {
			return
		}
		l.step()
	}
	l.c.Fatal("the adviser is not called")
}

// TestTasksThatEndStartWhileACallForAdviceHangs guards against LOST: a call for advice without an
// answer keeps tasks that end by themselves waiting for 12 s, although the adviser answers others.
func TestTasksThatEndStartWhileACallForAdviceHangs(t *testing.T) {
	for _, kind := range endingSteps {
		t.Run("first call, "+kind.name, func(t *testing.T) {
			l := newLastingRig(t, 90)
			l.addEndingJob(profileQueue, 8, kind.size, kind.gang)
			l.awaitCall()
			l.hang(12 * time.Second)
			l.steps(maxIdleWithRoom)
			l.c.Assert(l.runsOf("waiting"), qt.Equals, 8)
		})
		t.Run("renewal, "+kind.name, func(t *testing.T) {
			l := newBusyRig(t, 90)
			l.addEndingJob(profileQueue, 8, kind.size, kind.gang)
			l.steps(5 * time.Second)
			l.endAll(0, scheduler.EndDone)
			l.awaitCall()
			l.hang(12 * time.Second)
			l.steps(maxIdleWithRoom)
			l.c.Assert(l.runsOf("waiting"), qt.Equals, 8)
		})
	}
}

// TestOverdueCallsOfTasksThatEndLeaveCallsToOthers guards against a flood of calls for steps whose
// tasks end by themselves while the adviser answers none.
func TestOverdueCallsOfTasksThatEndLeaveCallsToOthers(t *testing.T) {
	for _, kind := range endingSteps {
		for _, limit := range []int{1, 3, 4, 10} {
			l := newLastingRig(t, 90)
			l.s.SetAdviceLimits(limit, limit)
			l.addEndingJob(profileQueue, 8, kind.size, kind.gang)
			for range 8 * time.Second / (20 * time.Millisecond) {
				l.hang(12 * time.Second)
				l.steps(20 * time.Millisecond)
			}
			// At most half of the calls, and three for each step.
			l.c.Assert(l.pendingCalls, qt.HasLen, max(1, min(limit/2, 3)))
			l.c.Assert(l.callsInFlight(), qt.Equals, len(l.pendingCalls))
		}
	}
}

// TestTicketsOfGangsAreRenewedBesideACallAboutFurtherWorkers guards against LOST: a gang or tasks
// that need whole workers wait for a long call about workers that have joined, while approved
// workers with room lack only a new ticket.
func TestTicketsOfGangsAreRenewedBesideACallAboutFurtherWorkers(t *testing.T) {
	for _, kind := range endingSteps[:2] {
		t.Run(kind.name, func(t *testing.T) {
			l := newBusyRig(t, 100)
			l.addEndingJob(lastingQueue, 26, kind.size, kind.gang)
			l.steps(5 * time.Second)
			l.c.Assert(l.pendingCalls, qt.HasLen, 0)
			l.addWorkers(94)
			l.updateDirectory()
			l.awaitCall()
			l.c.Assert(l.pendingCalls[0].ask.Purpose, qt.Equals, scheduler.AskMore)
			// The call waits behind another one of the same length.
			l.hang(2 * l.pendingCalls[0].ask.Cost)
			l.endAll(0, scheduler.EndDone)
			l.steps(maxIdleWithRoom)
			l.c.Assert(l.runsOf("waiting"), qt.Equals, 26)
		})
	}
}

// TestGangOfMoreWorkersThanOneCallNamesStarts guards against LOST: the tickets for the first 100
// workers of a gang are renewed again and again, and those for the others never.
func TestGangOfMoreWorkersThanOneCallNamesStarts(t *testing.T) {
	l := newBusyRig(t, 194)
	l.approves = approveAll
	l.addEndingJob(profileQueue, 120, cores(16), true)
	l.steps(6 * time.Second)
	l.c.Assert(l.pendingCalls, qt.HasLen, 0)
	l.endAll(0, scheduler.EndDone)
	l.steps(maxIdleWithRoom)
	l.c.Assert(l.runsOf("waiting"), qt.Equals, 120, qt.Commentf("%d calls", l.callCounts["waiting"]))
}
