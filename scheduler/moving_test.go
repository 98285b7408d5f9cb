package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// startLeaving announces in the directory that a worker leaves after the given
// time.
func (r *rig) startLeaving(w *fakeWorker, remaining time.Duration) {
	w.entry.Leaving = true
	w.entry.Remaining = remaining
	w.entry.Read = r.now
	r.updateDirectory()
}

// roundAtPercent is like round, but all runs report the given progress. Lasting
// tasks are in service at 100.
func (r *rig) roundAtPercent(percent int) {
	r.advance(100 * time.Millisecond)
	for _, ref := range r.s.Workers() {
		w := r.workersByID[ref.ID]
		order, _ := r.s.LeaseRenewal(ref.ID, r.now)
		for len(w.ended) > 0 && w.ended[0].Number <= order.Acknowledge {
			w.ended = w.ended[1:]
		}
		w.leaseEnd = max(w.leaseEnd, order.Lease)
		report := scheduler.Report{
			Clock: w.clock,
			Ended: append([]scheduler.EndedRun(nil), w.ended...),
		}
		for _, run := range w.activeRuns {
			run.Percent = percent
			report.Active = append(report.Active, run)
		}
		r.s.Report(ref.ID, report, r.now, r.now)
	}
	r.tick()
}

// TestLastingTasksMoveWithinTheirLimit checks that lasting tasks on a leaving worker
// are moved to other workers before it is gone, and that no more of them than MaxAway
// are out of service at once.
func TestLastingTasksMoveWithinTheirLimit(t *testing.T) {
	for _, limit := range []int{1, 2, 0} {
		r := newRig(t)
		leaving := r.addWorker("w0", cores(4))
		r.updateDirectory()
		r.renewLeases()
		phase := newPhase(4, cores(1))
		phase.Lasting = true
		phase.MaxAway = limit
		r.s.AddJob(r.job("j", phase), nil, false, r.now)
		r.roundAtPercent(100)
		r.roundAtPercent(100)
		r.c.Assert(leaving.activeRuns, qt.HasLen, 4)
		r.addWorker("w1", cores(4))
		r.addWorker("w2", cores(4))
		r.updateDirectory()
		r.roundAtPercent(100)
		r.startLeaving(leaving, 4*time.Second)
		for range 35 {
			before := r.activeRuns()
			r.roundAtPercent(100)
			if limit > 0 {
				r.c.Assert(before-r.activeRuns() <= limit, qt.IsTrue, qt.Commentf("%d of 4 left, limit %d", r.activeRuns(), limit))
				r.c.Assert(r.activeRuns() >= 4-limit, qt.IsTrue, qt.Commentf("%d of 4 at work, limit %d", r.activeRuns(), limit))
			}
		}
		r.c.Assert(leaving.activeRuns, qt.HasLen, 0)
		r.c.Assert(r.activeRuns(), qt.Equals, 4)
	}
}

// TestRunsAreSavedBeforeTheirWorkerLeaves checks what happens to a run whose worker
// leaves in three seconds. A run that ends in time goes on. A run that can be resumed
// is stopped as late as still lets it save its work. The task of a run that can
// neither end in time nor be resumed is started elsewhere at once.
func TestRunsAreSavedBeforeTheirWorkerLeaves(t *testing.T) {
	for _, test := range []struct {
		name        string
		checkpoints bool
		runTime     time.Duration
		// runsAfter1500ms and runsAfter2500ms report whether the run is still on
		// the worker 1.5 s and 2.5 s after the worker began to leave.
		runsAfter1500ms, runsAfter2500ms bool
	}{
		{
			name:            "ends in time",
			checkpoints:     true,
			runTime:         4 * time.Second,
			runsAfter1500ms: true,
			runsAfter2500ms: true,
		},
		{
			name:            "can be resumed",
			checkpoints:     true,
			runTime:         20 * time.Second,
			runsAfter1500ms: true,
		},
		{
			name:    "cannot be done",
			runTime: 20 * time.Second,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			leaving := r.addWorker("w0", cores(4))
			leaving.runTime = test.runTime
			r.updateDirectory()
			r.renewLeases()
			phase := newPhase(1, cores(1))
			phase.Checkpoints = test.checkpoints
			phase.Estimate = test.runTime
			r.s.AddJob(r.job("j", phase), nil, false, r.now)
			r.rounds(21)
			r.c.Assert(leaving.activeRuns, qt.HasLen, 1)
			r.addWorker("w1", cores(4)).runTime = test.runTime
			r.updateDirectory()
			r.rounds(1)
			r.startLeaving(leaving, 3*time.Second)
			r.rounds(15)
			r.c.Assert(len(leaving.activeRuns) == 1, qt.Equals, test.runsAfter1500ms)
			r.rounds(10)
			r.c.Assert(len(leaving.activeRuns) == 1, qt.Equals, test.runsAfter2500ms)
			r.c.Assert(r.activeRuns(), qt.Equals, 1)
		})
	}
}
