package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// takeOverBlindly is like takeOver for an owner that has not read the directory yet.
func (r *rig) takeOverBlindly(jobs ...scheduler.Job) {
	r.s = scheduler.New(r.s.Token()+1, r.now)
	r.s.AddFormerWorkers(r.storedWorkers)
	r.s.SetFormerSilence(r.storedSilent)
	for _, job := range jobs {
		r.restoreJob(job)
	}
}

// TestLastingTaskReturnsBeforeTheDirectoryIsRead guards against LOST of the incident
// tendero-cluster-grown-lasting: a new owner that cannot read the directory yet starts
// nothing, although the workers of the former owner have reported to it.
func TestLastingTaskReturnsBeforeTheDirectoryIsRead(t *testing.T) {
	r := newRig(t)
	for i := range 3 {
		r.addWorker(workerName(i), cores(4)).runTime = time.Hour
	}
	r.updateDirectory()
	r.renewLeases()
	lasting := r.job("lasting", newLastingPhase(2))
	r.s.AddJob(lasting, nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.activeRuns(), qt.Equals, 2)

	r.takeOverBlindly(lasting)
	w := r.workerOf("lasting")
	w.end(firstRun(w), scheduler.EndLapsed)
	r.rounds(3)
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
}

// TestNothingStartsOnAFormerlyUnlistedWorker guards against starts on a worker that the
// directory had dropped or given to another owner before the takeover.
func TestNothingStartsOnAFormerlyUnlistedWorker(t *testing.T) {
	r := newRig(t)
	for i := range 2 {
		r.addWorker(workerName(i), cores(4)).runTime = time.Hour
	}
	r.updateDirectory()
	r.renewLeases()
	lasting := r.job("lasting", newLastingPhase(2))
	r.s.AddJob(lasting, nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.activeRuns(), qt.Equals, 2)

	unlisted := r.workersByID[workerName(0)]
	r.s.SetWorkers([]scheduler.WorkerEntry{
		r.workersByID[workerName(1)].entry,
	})
	for range 30 {
		r.round()
		r.writeUnwritten()
	}
	r.c.Assert(unlisted.activeRuns, qt.HasLen, 1)
	r.takeOverBlindly(lasting)
	unlisted.end(firstRun(unlisted), scheduler.EndFailed)
	r.rounds(10)
	r.c.Assert(unlisted.activeRuns, qt.HasLen, 0)
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
}

// TestLastingTasksReturnAfterACutWithoutADirectory guards against lasting tasks that wait
// for the directory after a cut: the partition is taken over in the cut and again when it
// has ended, and the second owner reads the directory 3.4 s later.
func TestLastingTasksReturnAfterACutWithoutADirectory(t *testing.T) {
	const directoryDelay = 3400 * time.Millisecond
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newLastingSimulation(t, seed)
			sim.writeTime = 100 * time.Millisecond
			takeOver := func() {
				sim.pendingCalls, sim.pendingWrites = nil, nil
				sim.takeOverBlindly(sim.jobRecords...)
				sim.s.SetAdviceLimits(6, 10)
			}
			sim.play(8*time.Second, 0)
			for i, w := range sim.workers {
				w.silent = i%3 == 0
			}
			sim.play(1500*time.Millisecond, 0)
			takeOver()
			sim.updateDirectory()
			sim.play(4200*time.Millisecond, 0)
			for _, w := range sim.workers {
				w.silent = false
			}
			endedAt := sim.now
			sim.play(150*time.Millisecond, 0)
			takeOver()
			for len(sim.waitingLastingTasks()) > 0 && sim.now.Sub(endedAt) < directoryDelay {
				sim.play(100*time.Millisecond, 0)
			}
			qt.Check(t, sim.now.Sub(endedAt) <= maxRestart, qt.IsTrue, qt.Commentf("%v", sim.now.Sub(endedAt)))
		})
	}
}
