package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// leave has a worker leave in that time.
func (r *rig) leave(n *node, in time.Duration) {
	n.entry.Leaving = true
	n.entry.Remaining = in
	n.entry.Read = r.now
	r.list()
}

// roundAt is a round in which tasks that last report that they are at work.
func (r *rig) roundAt(percent int) {
	r.pass(100 * time.Millisecond)
	for _, ref := range r.s.Workers() {
		n := r.nodes[ref.ID]
		order, _ := r.s.HoldOrder(ref.ID, r.now)
		for len(n.ended) > 0 && n.ended[0].Number <= order.Acknowledge {
			n.ended = n.ended[1:]
		}
		n.lease = max(n.lease, order.Lease)
		report := scheduler.Report{
			Clock: n.clock,
			Ended: append([]scheduler.EndedRun(nil), n.ended...),
		}
		for _, run := range n.active {
			run.Percent = percent
			report.Active = append(report.Active, run)
		}
		r.s.Report(ref.ID, report, r.now, r.now)
	}
	r.tick()
}

// TestLastingTasksMoveWithinTheirLimit has a worker leave on which all tasks of
// a step are at work. They are on other workers before it goes, and never more
// of them away at once than the job allows.
func TestLastingTasksMoveWithinTheirLimit(t *testing.T) {
	for _, limit := range []int{1, 2, 0} {
		r := newRig(t)
		leaving := r.worker("w0", cores(4))
		r.list()
		r.hold()
		phase := tasks(4, cores(1))
		phase.Lasting = true
		phase.MaxAway = limit
		r.s.AddJob(r.job("j", phase), nil, false, r.now)
		r.roundAt(100)
		r.roundAt(100)
		r.c.Assert(leaving.active, qt.HasLen, 4)
		r.worker("w1", cores(4))
		r.worker("w2", cores(4))
		r.list()
		r.roundAt(100)
		r.leave(leaving, 4*time.Second)
		for range 35 {
			before := r.active()
			r.roundAt(100)
			if limit > 0 {
				r.c.Assert(before-r.active() <= limit, qt.IsTrue, qt.Commentf("%d of 4 left, limit %d", r.active(), limit))
				r.c.Assert(r.active() >= 4-limit, qt.IsTrue, qt.Commentf("%d of 4 at work, limit %d", r.active(), limit))
			}
		}
		r.c.Assert(leaving.active, qt.HasLen, 0)
		r.c.Assert(r.active(), qt.Equals, 4)
	}
}

// TestRunsAreSavedBeforeTheirWorkerLeaves has runs on a worker that leaves in
// three seconds: what ends in time goes on, what can be resumed is stopped as
// late as lets it be saved, and what cannot be done in time begins elsewhere.
func TestRunsAreSavedBeforeTheirWorkerLeaves(t *testing.T) {
	for _, test := range []struct {
		name        string
		checkpoints bool
		length      time.Duration
		// early and late tell whether it is still there after 1.5 s and 2.5 s.
		early, late bool
	}{
		{
			name:        "ends in time",
			checkpoints: true,
			length:      4 * time.Second,
			early:       true,
			late:        true,
		},
		{
			name:        "can be resumed",
			checkpoints: true,
			length:      20 * time.Second,
			early:       true,
		},
		{
			name:   "cannot be done",
			length: 20 * time.Second,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			leaving := r.worker("w0", cores(4))
			leaving.length = test.length
			r.list()
			r.hold()
			phase := tasks(1, cores(1))
			phase.Checkpoints = test.checkpoints
			phase.Estimate = test.length
			r.s.AddJob(r.job("j", phase), nil, false, r.now)
			r.rounds(21)
			r.c.Assert(leaving.active, qt.HasLen, 1)
			r.worker("w1", cores(4)).length = test.length
			r.list()
			r.rounds(1)
			r.leave(leaving, 3*time.Second)
			r.rounds(15)
			r.c.Assert(len(leaving.active) == 1, qt.Equals, test.early)
			r.rounds(10)
			r.c.Assert(len(leaving.active) == 1, qt.Equals, test.late)
			r.c.Assert(r.active(), qt.Equals, 1)
		})
	}
}
