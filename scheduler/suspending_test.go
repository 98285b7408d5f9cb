package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// TestSuspendedOwnerAcknowledgesUnseenEnds guards against an owner whose host was suspended, and that
// acknowledges ends of an incarnation of a worker which has begun meanwhile: nobody had stored them,
// and the tasks ran again.
func TestSuspendedOwnerAcknowledgesUnseenEnds(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w", cores(1))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	r.tick()
	w.end(firstRun(w), scheduler.EndDone)
	r.renewLeases()
	r.write()
	acknowledged := func() int64 {
		order, known := r.s.LeaseRenewal("w", r.now)
		r.c.Assert(known, qt.IsTrue)
		return order.Acknowledge
	}
	r.c.Assert(acknowledged(), qt.Equals, w.lastEndNumber)
	r.now = r.now.Add(time.Millisecond)
	r.s.AddSuspension(3*time.Second, r.now)
	r.c.Assert(acknowledged(), qt.Equals, int64(0))
	sent := r.now.Add(-time.Millisecond)
	r.now = r.now.Add(time.Millisecond)
	r.s.Report("w", scheduler.Report{
		Clock:     w.clock,
		StartedAt: w.entry.StartedAt,
		Ended:     w.ended,
	}, sent, r.now)
	r.c.Assert(acknowledged(), qt.Equals, int64(0), qt.Commentf("the answer may be from before the suspension"))
	r.renewLeases()
	r.c.Assert(acknowledged(), qt.Equals, w.lastEndNumber)
}

// TestSuspendedOwnerStartsWithoutLeases guards against an owner whose host was suspended twice, and
// that starts tasks although its leases are over, and against one that never starts any again.
func TestSuspendedOwnerStartsWithoutLeases(t *testing.T) {
	r := newRig(t, scheduler.Lease(entryLease, entryMaxLease))
	w := r.addWorker("w", cores(1))
	r.updateDirectory()
	r.s.ConfirmOwnership(r.now)
	for range 2 {
		r.advance(time.Millisecond)
		r.s.AddSuspension(entryMaxLease/2, r.now)
	}
	r.advance(time.Millisecond)
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	for range 2 {
		// The owner places the tasks, stores where, and starts them.
		r.carryOut(r.s.Tick(r.now))
		r.write()
	}
	r.c.Assert(w.startCounts, qt.HasLen, 0)
	r.tick()
	r.c.Assert(w.activeRuns, qt.HasLen, 1)
}

// TestSuspendedOwnerAwaitsReports guards against an owner whose host was suspended, and that starts tasks
// on workers of which it has not heard since. The leases that it granted were over by their clocks: each
// start was refused as late and sent again at once.
func TestSuspendedOwnerAwaitsReports(t *testing.T) {
	r := newRig(t, scheduler.Lease(entryLease, entryMaxLease))
	w := r.addWorker("w", cores(1))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	r.tick()
	w.end(firstRun(w), scheduler.EndDone)
	r.renewLeases()
	r.write()
	r.s.ConfirmOwnership(r.now)
	const suspended = 4 * time.Second
	w.clock += suspended
	r.advance(time.Millisecond)
	r.s.AddSuspension(suspended, r.now)
	r.s.AddJob(r.job("k", newPhase(1, cores(1))), nil, false, r.now)
	late := 0
	for range 50 {
		r.advance(10 * time.Millisecond)
		for _, effect := range r.s.Tick(r.now) {
			start, isStart := effect.(scheduler.StartTask)
			if !isStart {
				continue
			}
			r.c.Assert(start.Lease < w.clock, qt.IsTrue)
			late++
			r.s.StartAnswered("w", start.Run, scheduler.StartRefused, r.now)
		}
		r.write()
	}
	r.c.Assert(late, qt.Equals, 0)
	r.renewLeases()
	r.tick()
	r.c.Assert(w.activeRuns, qt.HasLen, 1)
}
