package scheduler_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// newLastingPhase returns a phase of n lasting tasks that run on different workers.
func newLastingPhase(n int) scheduler.Phase {
	phase := newPhase(n, cores(4))
	phase.Lasting = true
	phase.PerWorker = 1
	return phase
}

// maxAttemptsPerToken is the size of the range of attempts of one owner.
const maxAttemptsPerToken = 1 << 20

// writeUnwritten stores what the scheduler has to store.
func (r *rig) writeUnwritten() {
	if pending, _ := r.s.Unwritten(); pending {
		r.write()
	}
}

// workerOf returns the worker with an active run of the job.
func (r *rig) workerOf(id string) *fakeWorker {
	for _, w := range r.workersByID {
		for ref := range w.activeRuns {
			if ref.Task.Step.Job == id {
				return w
			}
		}
	}
	return nil
}

// storedWorkersWith returns the stored workers in use with one entry replaced.
func (r *rig) storedWorkersWith(changed scheduler.WorkerEntry) []scheduler.WorkerEntry {
	entries := slices.Clone(r.storedWorkers)
	for i := range entries {
		if entries[i].Ref == changed.Ref {
			entries[i] = changed
		}
	}
	return entries
}

// TestNextOwnerDoesNotAwaitARunThatIsKnownToBeLost guards against a lasting task without
// a run for 16 s: the former owner knew that the lease of a worker that had ended was
// over, but had no capacity for the task, and stored nothing.
func TestNextOwnerDoesNotAwaitARunThatIsKnownToBeLost(t *testing.T) {
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

	// A worker ends. Its lease lapses, and there is no room for its task.
	delete(r.workersByID, workerName(0))
	for range 70 {
		r.s.ConfirmOwnership(r.now)
		r.round()
		r.writeUnwritten()
	}
	r.c.Assert(r.notesWith("lease lapsed"), qt.HasLen, 1)

	r.addWorker(workerName(2), cores(4)).runTime = time.Hour
	r.takeOver(lasting)
	for range maxRestart / (100 * time.Millisecond) {
		r.round()
		r.writeUnwritten()
	}
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
}

// TestLastingTaskIsRestartedWhileTheStoreIsStalled guards against a lasting task that
// waits for the store although workers with valid tickets have been stored for its job.
func TestLastingTaskIsRestartedWhileTheStoreIsStalled(t *testing.T) {
	r := newRig(t)
	for i := range 6 {
		r.addWorker(workerName(i), cores(8)).runTime = time.Hour
	}
	r.updateDirectory()
	r.renewLeases()
	lasting := r.job("lasting", newLastingPhase(2))
	lasting.Queue = advisedQueue
	r.s.AddJob(lasting, nil, false, r.now)
	for range 10 {
		r.round()
		r.answerAdvice(approveAll)
	}
	r.c.Assert(r.runsOf("lasting"), qt.Equals, 2)

	// The store takes no writes, for which a start of another job waits.
	r.s.AddJob(r.job("other", newPhase(1, cores(1))), nil, false, r.now)
	w := r.workerOf("lasting")
	w.end(firstRun(w), scheduler.EndLapsed)
	w.entry.Leaving = true
	r.s.SetWorkers(r.storedWorkersWith(w.entry))
	for range maxRestart / (100 * time.Millisecond) {
		r.advance(100 * time.Millisecond)
		r.renewLeases()
		r.carryOut(r.s.Tick(r.now))
		r.answerAdvice(approveAll)
	}
	r.c.Assert(r.runsOf("lasting"), qt.Equals, 2)
}

// TestPlannedRunOutlivesTheEndOfTheRecovery guards against a planned run that is never
// sent and stalls all starts: its write was made before the recovery ended and does not
// name the placements that count from then on.
func TestPlannedRunOutlivesTheEndOfTheRecovery(t *testing.T) {
	r := newRig(t)
	for i := range 3 {
		r.addWorker(workerName(i), cores(4)).runTime = time.Hour
	}
	r.updateDirectory()
	r.renewLeases()
	lasting := r.job("lasting", newLastingPhase(1))
	// An older release has stored the progress.
	r.stored["lasting"] = scheduler.Progress{
		State:   scheduler.Running,
		Workers: []string{workerName(0)},
	}
	r.takeOver(lasting)
	r.workersByID[workerName(1)].silent = true
	r.workersByID[workerName(0)].entry.Leaving = true
	r.updateDirectory()
	r.renewLeases()
	r.carryOut(r.s.Tick(r.now))
	r.c.Assert(r.s.PlannedRuns(), qt.Equals, 1)

	write := r.s.NextWrite()
	r.workersByID[workerName(1)].silent = false
	r.renewLeases()
	r.carryOut(r.s.Tick(r.now))
	r.c.Assert(r.s.RecoveryDone(), qt.IsTrue)
	r.s.Written(write)
	r.s.AddJob(r.job("other", newPhase(1, cores(1))), nil, false, r.now)
	r.rounds(10)
	r.c.Check(r.runsOf("lasting"), qt.Equals, 1)
	r.c.Check(r.runsOf("other"), qt.Equals, 1)
}

// TestRunOfAnOlderReleaseIsNotStartedTwice guards against placements that are outdated as
// an owner of an older release, which stores none, has started tasks since. None may be
// stored while there are entries of that release.
func TestRunOfAnOlderReleaseIsNotStartedTwice(t *testing.T) {
	r := newRig(t)
	r.s.AllowPlacements(false)
	r.addWorker(workerName(0), cores(4)).runTime = time.Hour
	r.updateDirectory()
	r.renewLeases()
	lasting := r.job("lasting", newLastingPhase(1))
	r.s.AddJob(lasting, nil, false, r.now)
	r.rounds(3)
	first := r.workersByID[workerName(0)]
	ref := firstRun(first)
	first.end(ref, scheduler.EndFailed)
	r.addWorker(workerName(1), cores(4)).runTime = time.Hour
	r.updateDirectory()
	r.rounds(3)
	second := r.workersByID[workerName(1)]
	r.c.Assert(second.activeRuns, qt.HasLen, 1)
	r.c.Assert(r.stored["lasting"].Workers, qt.DeepEquals, []string{workerName(0), workerName(1)})
	for _, step := range r.stored["lasting"].Steps {
		r.c.Assert(step.HasPlacements, qt.IsFalse)
	}

	// An owner of an older release starts the task on a worker that is stored for the
	// job, so it writes nothing.
	second.end(firstRun(second), scheduler.EndFailed)
	ref.Attempt = 2*maxAttemptsPerToken + 1
	first.activeRuns[ref] = scheduler.ActiveRun{
		Run: ref,
	}
	first.leaseEnd = first.clock + 5*time.Second

	r.takeOver(lasting)
	r.s.AllowPlacements(true)
	first.silent = true
	for first.clock < first.leaseEnd {
		r.round()
		r.c.Assert(r.activeRuns(), qt.Equals, 1, qt.Commentf("the task runs twice"))
	}
}

// TestNothingIsPreemptedForTasksThatAwaitTheRecovery guards against runs that are stopped
// for lasting tasks which probably run and may not start yet.
func TestNothingIsPreemptedForTasksThatAwaitTheRecovery(t *testing.T) {
	r := newRig(t)
	for i := range 2 {
		r.addWorker(workerName(i), cores(4)).runTime = time.Hour
	}
	r.updateDirectory()
	r.renewLeases()
	lasting := r.job("lasting", newLastingPhase(2))
	r.s.AddJob(lasting, nil, false, r.now)
	r.rounds(3)
	for i := range 2 {
		r.addWorker(workerName(2+i), cores(4))
	}
	r.updateDirectory()
	phase := newPhase(2, cores(4))
	phase.Checkpoints = true
	phase.Estimate = 20 * time.Second
	batch := r.job("batch", phase)
	batch.Queue.Name = "batches"
	batch.Queue.Priority = 2
	r.s.AddJob(batch, nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.activeRuns(), qt.Equals, 4)

	// One task lapses on a worker that answers, the other one runs on behind a cut.
	r.workersByID[workerName(0)].silent = true
	free := r.workersByID[workerName(1)]
	r.takeOver(lasting, batch)
	free.end(firstRun(free), scheduler.EndLapsed)
	r.rounds(5)
	r.c.Check(r.notesWith("run preempted"), qt.HasLen, 0)
	r.c.Check(r.runsOf("batch"), qt.Equals, 2)
}
