package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// newRigAfterTakeover returns a rig in which a new owner has just taken over 15 lasting
// tasks that have lapsed, and no worker has reported to it. Of 90 workers 27 are approved,
// and 30 more have been added since the adviser was asked.
func newRigAfterTakeover(t *testing.T) *lastingRig {
	l := newLastingRig(t, 90)
	phase := newPhase(15, cores(4))
	phase.Lasting = true
	phase.PerWorker = 1
	job := l.job("watch", phase)
	job.Queue = lastingQueue
	l.s.AddJob(job, nil, false, l.now)
	l.steps(5 * time.Second)
	l.c.Assert(l.activeRuns(), qt.Equals, 15)
	l.addWorkers(30)
	l.updateDirectory()
	l.steps(time.Second)
	l.takeOver(job)
	for _, w := range l.workersByID {
		for ref := range w.activeRuns {
			w.end(ref, scheduler.EndLapsed)
		}
	}
	return l
}

// silence sets whether the workers for which match returns true are out of reach.
func (l *lastingRig) silence(silent bool, match func(id string) bool) {
	for id, w := range l.workersByID {
		if match(id) {
			w.silent = silent
		}
	}
}

// isApproved reports whether the adviser approves the worker for the job.
func (l *lastingRig) isApproved(id string) bool {
	return l.approves(scheduler.StepRef{}, id)
}

// TestTicketsAreRenewedBesideACallAboutFurtherWorkers guards against lasting tasks that wait
// for the answer to a call about further workers before the adviser is asked for new tickets
// for the approved ones, which have capacity.
func TestTicketsAreRenewedBesideACallAboutFurtherWorkers(t *testing.T) {
	l := newRigAfterTakeover(t)
	l.silence(true, l.isApproved)
	for len(l.pendingCalls) == 0 {
		l.step()
	}
	l.c.Assert(l.pendingCalls[0].ask.Purpose, qt.Equals, scheduler.AskMore)
	l.hang(3 * time.Second)
	l.silence(false, l.isApproved)
	l.steps(1300 * time.Millisecond)
	l.c.Assert(l.activeRuns(), qt.Equals, 15, qt.Commentf("%v", l.notesWith("step waits")))
}

// TestNewOwnerAsksOnceItsWorkersHaveReported guards against a new owner whose first calls for
// advice name only the few workers that have reported by then, so that its lasting tasks need
// further calls.
func TestNewOwnerAsksOnceItsWorkersHaveReported(t *testing.T) {
	l := newRigAfterTakeover(t)
	first := func(id string) bool { return id == workerName(0) || id == workerName(3) }
	for range 6 {
		l.renewLeasesOf(first)
		l.advance(20 * time.Millisecond)
		l.carryOut(l.s.Tick(l.now))
		for _, effect := range l.effects {
			ask, is := effect.(scheduler.AskAdvice)
			l.c.Assert(is, qt.IsFalse, qt.Commentf("a call about %d workers", len(ask.Workers)))
		}
	}
	l.steps(1300 * time.Millisecond)
	l.c.Assert(l.activeRuns(), qt.Equals, 15, qt.Commentf("%v", l.notesWith("step waits")))
}
