package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/scheduler"
)

// TestTasksBeyondTheAllotmentStart guards against an owner that starts more than its
// allotment allows, or does not ask for what its waiting tasks need of the maximum.
func TestTasksBeyondTheAllotmentStart(t *testing.T) {
	for _, test := range []struct {
		name  string
		phase scheduler.Phase
		// want is the number of tasks that start, and wanted the demand in cores.
		want   int
		wanted int64
	}{
		{
			name:   "tasks",
			phase:  newPhase(20, cores(1)),
			want:   4,
			wanted: 10,
		},
		{
			name:   "a gang that fits the maximum",
			phase:  gangPhase(7, cores(1)),
			wanted: 7,
		},
		{
			name:   "a gang larger than the maximum",
			phase:  gangPhase(3, cores(4)),
			wanted: 12,
		},
		{
			name:   "a task larger than the maximum",
			phase:  newPhase(2, cores(16)),
			wanted: 16,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newLimitedRig(t, 2, cores(10))
			for _, w := range r.workersByID {
				w.entry.Total = cores(16)
			}
			r.updateDirectory()
			r.s.SetHeldParts("a", 0.4*allotter.Whole)
			r.s.AddJob(r.limitedJob("j", test.phase), nil, false, r.now)
			r.rounds(3)
			r.c.Assert(r.activeRuns(), qt.Equals, test.want)
			r.c.Assert(r.demand().Wanted, qt.Equals, cores(test.wanted))
			r.c.Assert(r.demand().Waiting, qt.IsTrue)
			r.rounds(60)
			r.c.Assert(len(r.notesWith("step waits for the allotment of organisation a")) > 0, qt.IsTrue)
		})
	}
}

// TestGangIsStartedOnceAllPartsAreHeld guards against a gang larger than the maximum that
// starts while another owner may start tasks, or that never starts.
func TestGangIsStartedOnceAllPartsAreHeld(t *testing.T) {
	r := newLimitedRig(t, 2, cores(10))
	r.s.SetHeldParts("a", allotter.Whole-1)
	r.s.AddJob(r.limitedJob("j", gangPhase(3, cores(4))), nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.activeRuns(), qt.Equals, 0)
	r.s.SetHeldParts("a", allotter.Whole)
	r.rounds(2)
	r.c.Assert(r.activeRuns(), qt.Equals, 3)
}
