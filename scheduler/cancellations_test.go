package scheduler_test

import (
	"strconv"
	"testing"
	"time"

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
	r.c.Assert(r.s.OutdatedCancellations(scheduler.MaxEarlyCancellations, r.now), qt.HasLen, scheduler.MaxEarlyCancellations/2)
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

// TestCancellationIsKeptAsLongAsAnEndedJob guards against a cancellation that is forgotten
// before its job comes, also one that is repeated, and against one that is kept for ever.
func TestCancellationIsKeptAsLongAsAnEndedJob(t *testing.T) {
	r := newRig(t, scheduler.Retention(10*time.Second))
	cancellations := []scheduler.Cancellation{
		{
			Job: "once",
		},
		{
			Job: "twice",
		},
	}
	for _, cancellation := range cancellations {
		r.s.ApplyCancellation(cancellation, r.now)
	}
	r.now = r.now.Add(15 * time.Second)
	r.s.ApplyCancellation(cancellations[1], r.now)
	r.now = r.now.Add(4 * time.Second)
	r.c.Assert(r.s.OutdatedCancellations(9, r.now), qt.HasLen, 0)
	r.now = r.now.Add(2 * time.Second)
	r.c.Assert(r.s.OutdatedCancellations(9, r.now), qt.DeepEquals, cancellations[:1])
	r.c.Assert(r.s.EarlyCancellations(), qt.Equals, 2)
	r.s.ForgetCancellations(cancellations[:1], r.now)
	r.c.Assert(r.s.EarlyCancellations(), qt.Equals, 1)
	// One that was repeated while the first record was being deleted.
	r.s.ForgetCancellations(cancellations[1:], r.now.Add(-10*time.Second))
	r.c.Assert(r.s.EarlyCancellations(), qt.Equals, 1)
	r.now = r.now.Add(20 * time.Second)
	r.c.Assert(r.s.OutdatedCancellations(9, r.now), qt.DeepEquals, cancellations[1:])
	// The job takes the cancellation with it.
	r.s.AddJob(r.job("twice", newPhase(1, cores(1))), nil, false, r.now)
	r.c.Assert(r.s.OutdatedCancellations(9, r.now), qt.HasLen, 0)
	r.c.Assert(r.s.EarlyCancellations(), qt.Equals, 0)
}
