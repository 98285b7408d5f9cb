package scheduler_test

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// TestCancellationsOfUnknownJobsAreBounded guards against a caller who exhausts the owner's
// memory by cancelling jobs that never come.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	r := newRig(t)
	for i := range scheduler.MaxEarlyCancellations + 1 {
		r.s.ApplyCancellation(scheduler.Cancellation{
			Job: strconv.Itoa(i),
		}, r.now)
	}
	r.c.Assert(r.s.EarlyCancellations(), qt.Equals, scheduler.MaxEarlyCancellations)
	for id, want := range map[string]scheduler.JobState{
		"0": scheduler.Pending,
		"1": scheduler.Cancelled,
		strconv.Itoa(scheduler.MaxEarlyCancellations): scheduler.Cancelled,
	} {
		r.s.AddJob(r.job(id, newPhase(1, cores(1))), nil, false, r.now)
		r.write()
		r.c.Assert(r.state(id), qt.Equals, want, qt.Commentf(id))
	}
}
