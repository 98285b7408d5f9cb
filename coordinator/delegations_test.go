package coordinator_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/coordinator"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

// submitApart submits a job of one phase whose tasks run on workers of their own.
func (cl *cluster) submitApart(e *entry, id string, phase scheduler.Phase) {
	phase.Size = sizer.New(1000, gibibyte, 0)
	phase.PerWorker = 1
	data, err := json.Marshal(scheduler.Job{
		Phases: []scheduler.Phase{phase},
	})
	cl.c.Assert(err, qt.IsNil)
	for {
		if status, _ := cl.call(http.MethodPost, e.callers+"/checks/"+id, data); status == http.StatusOK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitRunning waits until n tasks run.
func (cl *cluster) awaitRunning(n int) {
	for cl.fleet.Running() < n {
		time.Sleep(10 * time.Millisecond)
	}
}

// TestStepWiderThanAShardRuns guards against lasting tasks that never run, as they keep apart and
// the shard of their job has too few of the service's workers. Some of them belong to another
// entry's owner, whose end, and that of the job's own, they outlive.
func TestStepWiderThanAShardRuns(t *testing.T) {
	cl := newCluster(t, 0)
	cl.fleet = emulator.NewFleet(timekeeper.System(), emulator.RunTime(func(scheduler.TaskRef) time.Duration { return time.Minute }))
	for i := range 6 {
		cl.fleet.Add(fmt.Sprintf("w%d", i), service, sizer.New(8000, 64*gibibyte, 0))
	}
	for _, name := range []string{"entry-0", "entry-1"} {
		cl.start(name, coordinator.ShardSize(2))
	}
	cl.awaitShared()
	cl.submitApart(cl.entries[0], "wide", scheduler.Phase{
		Tasks:    6,
		Estimate: time.Minute,
		Lasting:  true,
	})
	cl.awaitRunning(6)
	for _, name := range []string{"entry-2", "entry-3"} {
		cl.start(name, coordinator.ShardSize(2))
		cl.c.Assert(cl.entries[0].end(), qt.IsNil)
		cl.entries = cl.entries[1:]
	}
	cl.await(cl.entries[0], "wide", scheduler.Running)
	cl.awaitRunning(6)
	status, _ := cl.call(http.MethodDelete, cl.entries[0].callers+"/checks/wide", nil)
	cl.c.Assert(status, qt.Equals, http.StatusOK)
	cl.await(cl.entries[1], "wide", scheduler.Cancelled)
	cl.c.Assert(cl.fleet.Violations(), qt.HasLen, 0)
}

// TestGangWiderThanAShardRuns guards against a gang that never runs, as the shard of its job has
// too few of the service's workers.
func TestGangWiderThanAShardRuns(t *testing.T) {
	cl := newCluster(t, 0)
	for _, name := range []string{"entry-0", "entry-1"} {
		cl.start(name, coordinator.ShardSize(2))
	}
	cl.awaitShared()
	for _, id := range []string{"gang-0", "gang-1", "gang-2"} {
		cl.submitApart(cl.entries[0], id, scheduler.Phase{
			Tasks:    6,
			Estimate: 200 * time.Millisecond,
			Gang:     true,
		})
	}
	for _, id := range []string{"gang-0", "gang-1", "gang-2"} {
		cl.await(cl.entries[1], id, scheduler.Completed)
	}
	cl.c.Assert(cl.fleet.Violations(), qt.HasLen, 0)
}
