package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// hang delays the answers to the calls for advice under way.
func (l *lastingRig) hang(d time.Duration) {
	for i := range l.pendingCalls {
		l.pendingCalls[i].answerAt = l.now.Add(d)
	}
}

// newRigWithHangingCall returns a rig in which a new owner has called the adviser for
// lasting tasks that have just lapsed, and the call hangs for 12 s, which are three tries
// of 4 s each.
func newRigWithHangingCall(t *testing.T) *lastingRig {
	l := newLastingRig(t, 90)
	phase := newPhase(15, cores(4))
	phase.Lasting = true
	phase.PerWorker = 1
	job := l.job("watch", phase)
	job.Queue = lastingQueue
	l.s.AddJob(job, nil, false, l.now)
	l.steps(5 * time.Second)
	l.c.Assert(l.activeRuns(), qt.Equals, 15)

	l.takeOver(job)
	for range 5 {
		for _, w := range l.workersByID {
			if len(w.activeRuns) > 0 {
				w.end(firstRun(w), scheduler.EndLapsed)
				break
			}
		}
	}
	for len(l.pendingCalls) == 0 {
		l.step()
	}
	l.c.Assert(l.activeRuns(), qt.Equals, 10)
	l.hang(12 * time.Second)
	return l
}

// TestLastingTasksReturnWhileACallForAdviceHangs guards against LOST of the incident
// tendero-cluster-grown-lasting: a call for advice without an answer keeps the tasks of
// its step without a run for 12 s, although the adviser answers other calls.
func TestLastingTasksReturnWhileACallForAdviceHangs(t *testing.T) {
	l := newRigWithHangingCall(t)
	l.steps(maxRestart)
	l.c.Assert(l.activeRuns(), qt.Equals, 15, qt.Commentf("%v", l.notesWith("step waits")))
}

// callsInFlight returns the number of calls to the adviser that the scheduler counts.
func (l *lastingRig) callsInFlight() int {
	load := l.s.AdviceLoad(l.now)
	return load.InFlight[true] + load.InFlight[false]
}

// TestLateAdviceCounts guards against an answer that is dropped, or calls that are counted
// for ever, as another call of the step was made while the answer was overdue.
func TestLateAdviceCounts(t *testing.T) {
	const late = 2500 * time.Millisecond
	l := newRigWithHangingCall(t)
	l.hang(late)
	for range (late + 200*time.Millisecond) / (20 * time.Millisecond) {
		// Only the first call is answered.
		for i := 1; i < len(l.pendingCalls); i++ {
			l.pendingCalls[i].answerAt = l.now.Add(12 * time.Second)
		}
		l.steps(20 * time.Millisecond)
		l.c.Assert(l.callsInFlight(), qt.Equals, len(l.pendingCalls))
	}
	l.c.Assert(l.activeRuns(), qt.Equals, 15)
	l.c.Assert(l.pendingCalls, qt.Not(qt.HasLen), 0)
	for _, call := range l.pendingCalls {
		l.s.AdviceFailed(call.ask.Step, call.ask.Workers, l.now)
	}
	l.c.Assert(l.callsInFlight(), qt.Equals, 0)
}

// TestOverdueCallsKeepTheLimits guards against a flood of calls while the adviser answers
// none.
func TestOverdueCallsKeepTheLimits(t *testing.T) {
	for _, limit := range []int{2, 10} {
		l := newRigWithHangingCall(t)
		l.s.SetAdviceLimits(limit, limit)
		for range 8 * time.Second / (20 * time.Millisecond) {
			l.hang(12 * time.Second)
			l.steps(20 * time.Millisecond)
		}
		l.c.Assert(l.callsInFlight(), qt.Equals, min(limit, 3))
		l.c.Assert(l.pendingCalls, qt.HasLen, min(limit, 3))
	}
}
