package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// startCopyableJob starts a job with one task on one of two workers, and returns
// that worker.
func startCopyableJob(t *testing.T, copies bool) (r *rig, first *fakeWorker) {
	r = newRig(t)
	for _, name := range []string{"v", "w"} {
		r.addWorker(name, cores(4)).runTime = time.Second
	}
	r.updateDirectory()
	r.renewLeases()
	phase := newPhase(1, cores(1))
	phase.Copies = copies
	r.s.AddJob(r.job("j", phase), nil, false, r.now)
	r.round()
	for _, w := range r.workersByID {
		if len(w.activeRuns) > 0 {
			first = w
		}
	}
	r.c.Assert(first, qt.IsNotNil)
	return r, first
}

// TestSlowRunIsCopied checks that a task is copied, if its phase allows copies, when
// its worker is cut off or slow or its run makes no progress.
func TestSlowRunIsCopied(t *testing.T) {
	for _, test := range []struct {
		name    string
		copies  bool
		degrade func(*fakeWorker)
		rounds  int
		want    int
	}{
		{
			name:    "well",
			copies:  true,
			degrade: func(*fakeWorker) {},
			rounds:  8,
			want:    1,
		},
		{
			name:    "silent",
			copies:  true,
			degrade: func(w *fakeWorker) { w.silent = true },
			rounds:  3,
			want:    2,
		},
		{
			name:    "silent, no copies",
			degrade: func(w *fakeWorker) { w.silent = true },
			rounds:  8,
			want:    1,
		},
		{
			name:    "slow",
			copies:  true,
			degrade: func(w *fakeWorker) { w.runTime = 6 * time.Second },
			rounds:  9,
			want:    2,
		},
		{
			name:    "slow, no copies",
			degrade: func(w *fakeWorker) { w.runTime = 6 * time.Second },
			rounds:  8,
			want:    1,
		},
		{
			name:    "stands still",
			copies:  true,
			degrade: func(w *fakeWorker) { w.runTime = time.Hour },
			rounds:  8,
			want:    2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, first := startCopyableJob(t, test.copies)
			test.degrade(first)
			r.rounds(test.rounds)
			r.c.Assert(r.activeRuns(), qt.Equals, test.want)
		})
	}
}

// TestFirstEndOfCopiesCounts checks that if the copy is done first, the other run is
// stopped and its end, of whatever kind, changes nothing.
func TestFirstEndOfCopiesCounts(t *testing.T) {
	for _, how := range []scheduler.End{scheduler.EndStopped, scheduler.EndDone, scheduler.EndFailed, scheduler.EndLapsed} {
		t.Run(how.String(), func(t *testing.T) {
			r, first := startCopyableJob(t, true)
			first.silent = true
			r.rounds(3)
			r.c.Assert(r.activeRuns(), qt.Equals, 2)
			for _, w := range r.workersByID {
				for run := range w.activeRuns {
					if w != first {
						w.end(run, scheduler.EndDone)
					}
				}
			}
			r.round()
			r.write()
			r.c.Assert(r.state("j"), qt.Equals, scheduler.Completed)
			for run := range first.activeRuns {
				first.end(run, how)
			}
			first.silent = false
			r.rounds(3)
			r.write()
			r.c.Assert(r.activeRuns(), qt.Equals, 0)
			r.c.Assert(r.state("j"), qt.Equals, scheduler.Completed)
		})
	}
}

// TestCopyThatFailsLeavesTheOther checks that the first run goes on and completes the
// job if its copy fails.
func TestCopyThatFailsLeavesTheOther(t *testing.T) {
	r, first := startCopyableJob(t, true)
	first.runTime = 5 * time.Second
	r.rounds(9)
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	first.runTime = time.Second
	for _, w := range r.workersByID {
		for run := range w.activeRuns {
			if w != first {
				w.end(run, scheduler.EndFailed)
			}
		}
	}
	r.round()
	r.c.Assert(first.activeRuns, qt.HasLen, 1)
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Running)
	r.endAll(0, scheduler.EndDone)
	r.round()
	r.write()
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Completed)
}

// TestNewOwnerFindsCopies checks that both runs of a task go on after a takeover if
// the phase allows copies.
func TestNewOwnerFindsCopies(t *testing.T) {
	r, first := startCopyableJob(t, true)
	first.runTime = 6 * time.Second
	r.rounds(9)
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	job := r.job("j", func() scheduler.Phase {
		phase := newPhase(1, cores(1))
		phase.Copies = true
		return phase
	}())
	r.takeOver(job)
	r.rounds(3)
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.endAll(0, scheduler.EndDone)
	r.round()
	r.write()
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Completed)
	r.c.Assert(r.activeRuns(), qt.Equals, 0)
}
