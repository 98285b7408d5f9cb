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
