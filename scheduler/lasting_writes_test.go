package scheduler_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// TestLastingTaskIsInTheNextWriteOfASlowStore guards against a lasting task that is not
// placed while a start of another job waits for a slow write, so that the following write
// does not name its worker and the task waits for one more.
func TestLastingTaskIsInTheNextWriteOfASlowStore(t *testing.T) {
	r := newRig(t)
	for i := range 3 {
		r.addWorker(workerName(i), cores(8)).runTime = time.Hour
	}
	r.updateDirectory()
	r.renewLeases()
	lasting := r.job("lasting", newLastingPhase(2))
	r.s.AddJob(lasting, nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.runsOf("lasting"), qt.Equals, 2)

	// A write of 400 ms begins. After 200 ms a worker with a lasting task leaves.
	r.s.AddJob(r.job("other", newPhase(1, cores(1))), nil, false, r.now)
	r.carryOut(r.s.Tick(r.now))
	r.c.Assert(r.s.PlannedRuns(), qt.Equals, 1)
	write := r.s.NextWrite()
	for i := range 4 {
		if i == 2 {
			w := r.workerOf("lasting")
			w.end(firstRun(w), scheduler.EndLapsed)
			w.entry.Leaving = true
			r.s.SetWorkers(r.storedWorkersWith(w.entry))
		}
		r.advance(100 * time.Millisecond)
		r.renewLeases()
		r.carryOut(r.s.Tick(r.now))
	}
	r.confirm(write)
	r.write()
	r.carryOut(r.s.Tick(r.now))
	r.c.Assert(r.runsOf("lasting"), qt.Equals, 2)
}

// TestFailedLastingTasksReturnOnASlowStore guards against lasting tasks that wait for the
// end of each slow write, in which starts of other jobs wait too, before they are placed.
func TestFailedLastingTasksReturnOnASlowStore(t *testing.T) {
	sim := newLastingSimulation(t, 0)
	sim.play(8*time.Second, 0)
	sim.writeTime = 500 * time.Millisecond
	since := make(map[scheduler.TaskRef]time.Time)
	var longest time.Duration
	for range 80 {
		sim.failLastingRun()
		sim.play(100*time.Millisecond, 0)
		waiting := sim.waitingLastingTasks()
		for _, task := range waiting {
			if since[task].IsZero() {
				since[task] = sim.now
			}
			longest = max(longest, sim.now.Sub(since[task]))
		}
		maps.DeleteFunc(since, func(task scheduler.TaskRef, _ time.Time) bool { return !slices.Contains(waiting, task) })
	}
	qt.Check(t, longest <= maxRestart, qt.IsTrue, qt.Commentf("%v", longest))
}

// TestLastingTaskStartsOnAStoredWorkerThatReturns guards against a lasting task whose planned
// run waits for a slow write while the worker that the store lists for the task is available
// again and needs no write.
func TestLastingTaskStartsOnAStoredWorkerThatReturns(t *testing.T) {
	r := newRig(t)
	for i := range 2 {
		r.addWorker(workerName(i), cores(8)).runTime = time.Hour
	}
	r.addWorker(workerName(2), cores(1)).runTime = time.Hour
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("lasting", newLastingPhase(1)), nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.runsOf("lasting"), qt.Equals, 1)

	// The store takes no writes, for which a start of another job waits.
	r.s.AddJob(r.job("other", newPhase(1, cores(1))), nil, false, r.now)
	r.ticksWithoutWrites(4)
	r.c.Assert(r.s.PlannedRuns(), qt.Equals, 1)

	w := r.workerOf("lasting")
	w.end(firstRun(w), scheduler.EndLapsed)
	w.entry.Leaving = true
	r.s.SetWorkers(r.storedWorkersWith(w.entry))
	r.ticksWithoutWrites(5)
	r.c.Assert(r.s.PlannedRuns(), qt.Equals, 2)

	w.entry.Leaving = false
	r.s.SetWorkers(r.storedWorkersWith(w.entry))
	r.ticksWithoutWrites(2)
	r.c.Assert(w.activeRuns, qt.HasLen, 1)
	r.c.Assert(r.runsOf("lasting"), qt.Equals, 1)
	r.c.Assert(r.s.PlannedRuns(), qt.Equals, 1)
}

// ticksWithoutWrites makes that many ticks, 100 ms apart, while the store takes no writes.
func (r *rig) ticksWithoutWrites(n int) {
	for range n {
		r.advance(100 * time.Millisecond)
		r.renewLeases()
		r.carryOut(r.s.Tick(r.now))
	}
}
