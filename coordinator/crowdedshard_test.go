package coordinator_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/coordinator"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

// longRunTime is the run time of the job that crowds a shard. It is longer than anything else
// takes, so that room never comes by its end.
const longRunTime = time.Minute

// newCrowdedCluster returns a cluster of three shards of two workers with two entries. Both
// workers of one shard have a long run that leaves three of eight cores.
func newCrowdedCluster(t *testing.T) *cluster {
	cl := newCluster(t, 0)
	cl.fleet = emulator.NewFleet(timekeeper.System(), emulator.RunTime(func(ref scheduler.TaskRef) time.Duration {
		if strings.HasPrefix(ref.Step.Job, "l") {
			return longRunTime
		}
		return 200 * time.Millisecond
	}))
	for i := range 6 {
		cl.fleet.Add(fmt.Sprintf("w%d", i), service, sizer.New(8000, 64*gibibyte, 0))
	}
	for _, name := range []string{"entry-0", "entry-1"} {
		cl.start(name, coordinator.ShardSize(2))
	}
	cl.awaitShared()
	cl.submitPhase(cl.entries[0], "long", scheduler.Phase{
		Tasks:     2,
		Size:      sizer.New(5000, gibibyte, 0),
		Estimate:  longRunTime,
		PerWorker: 1,
	})
	cl.awaitRunning(2)
	return cl
}

// awaitWhileCrowded waits until the condition holds, which has to be before the long runs end.
func (cl *cluster) awaitWhileCrowded(began time.Time, condition func() bool) {
	for !condition() {
		cl.c.Assert(time.Since(began) < longRunTime, qt.IsTrue, qt.Commentf("jobs wait for the end of the long runs"))
		time.Sleep(10 * time.Millisecond)
	}
}

// submitPhase submits a job of one phase until it is accepted.
func (cl *cluster) submitPhase(e *entry, id string, phase scheduler.Phase) {
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

// TestJobsReachTheRoomOfOtherShards guards against jobs that never start, as the workers of
// their shard are taken by long runs, while those of the service's other shards are idle.
func TestJobsReachTheRoomOfOtherShards(t *testing.T) {
	tests := map[string]scheduler.Phase{
		"tasks": {
			Tasks: 2,
		},
		"tasks that keep apart": {
			Tasks:     2,
			PerWorker: 1,
		},
		"a gang that fits one shard": {
			Tasks: 3,
			Gang:  true,
		},
		"a gang that fits two shards": {
			Tasks:     4,
			Gang:      true,
			PerWorker: 1,
		},
	}
	for name, phase := range tests {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			cl := newCrowdedCluster(t)
			phase.Size = sizer.New(4000, gibibyte, 0)
			phase.Estimate = 200 * time.Millisecond
			const jobs = 8
			for i := range jobs {
				cl.submitPhase(cl.entries[i%2], fmt.Sprintf("%s%d", strings.ReplaceAll(name, " ", ""), i), phase)
			}
			for i := range jobs {
				url := cl.entries[i%2].callers + "/checks/" + fmt.Sprintf("%s%d", strings.ReplaceAll(name, " ", ""), i)
				cl.awaitWhileCrowded(began, func() bool {
					_, state := cl.call(http.MethodGet, url, nil)
					return strings.Contains(state, string(scheduler.Completed))
				})
			}
			cl.c.Assert(cl.fleet.Violations(), qt.HasLen, 0)
		})
	}
}

// TestLastingTasksReachTheRoomOfOtherShards guards against lasting tasks that never run, as the
// workers of their shard are taken by long runs, while those of other shards are idle. An end
// of each owner in turn changes nothing.
func TestLastingTasksReachTheRoomOfOtherShards(t *testing.T) {
	began := time.Now()
	cl := newCrowdedCluster(t)
	const jobs = 6
	for i := range jobs {
		cl.submitPhase(cl.entries[i%2], fmt.Sprintf("lasting%d", i), scheduler.Phase{
			Tasks:    1,
			Size:     sizer.New(4000, gibibyte, 0),
			Estimate: time.Minute,
			Lasting:  true,
		})
	}
	cl.awaitWhileCrowded(began, func() bool { return cl.fleet.Running() == 2+jobs })
	for _, name := range []string{"entry-2", "entry-3"} {
		cl.start(name, coordinator.ShardSize(2))
		cl.c.Assert(cl.entries[0].end(), qt.IsNil)
		cl.entries = cl.entries[1:]
	}
	cl.awaitWhileCrowded(began, func() bool { return cl.fleet.Running() == 2+jobs })
	cl.c.Assert(cl.fleet.Violations(), qt.HasLen, 0)
}
