package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// TestLoadShowsWhetherAServiceHasRoom guards against a step that waits without a trace of whether
// the workers of its shard had room.
func TestLoadShowsWhetherAServiceHasRoom(t *testing.T) {
	r := newRig(t)
	r.addWorker("a", cores(4))
	r.addWorker("b", cores(4))
	r.updateDirectory()
	r.renewLeases()
	r.tick()
	r.s.AddJob(r.job("long", newPhase(2, cores(3))), nil, false, r.now)
	for range 3 {
		r.round()
		r.write()
	}
	r.s.AddJob(r.job("waiting", newPhase(1, cores(2))), nil, false, r.now)
	for range 20 {
		r.round()
		r.write()
	}
	loads := r.s.ServiceLoads(r.now)
	r.c.Assert(loads, qt.HasLen, 1)
	r.c.Assert(loads[0].LongestWait >= time.Second, qt.IsTrue)
	loads[0].LongestWait = 0
	r.c.Assert(loads[0], qt.Equals, scheduler.ServiceLoad{
		Service:      "desk",
		Workers:      2,
		Available:    2,
		Total:        cores(8),
		Free:         cores(2),
		WaitingSteps: 1,
	})
}
