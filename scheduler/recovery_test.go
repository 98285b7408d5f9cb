package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// takeOver replaces the scheduler by that of a new owner with the same workers,
// which knows only what is stored.
func (r *rig) takeOver(jobs ...scheduler.Job) {
	r.s = scheduler.New(r.s.Token()+1, r.now)
	r.s.AddFormerWorkers(r.storedWorkers)
	r.s.SetFormerSilence(r.storedSilent)
	for _, job := range jobs {
		r.restoreJob(job)
	}
	r.updateDirectory()
}

// restoreJob adds a job to the scheduler with its stored progress.
func (r *rig) restoreJob(job scheduler.Job) {
	var progress *scheduler.Progress
	if stored, found := r.stored[job.ID]; found {
		progress = &stored
	}
	r.s.AddJob(job, progress, true, r.now)
}

// TestRunOfAnEndedJobKeepsItsRoom checks that a run of a cancelled job, found by a new
// owner, takes up capacity until it has ended.
func TestRunOfAnEndedJobKeepsItsRoom(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	old := r.job("old", newPhase(1, cores(3)))
	r.s.AddJob(old, nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)

	r.stored["old"] = scheduler.Progress{
		State: scheduler.Cancelled,
		Ended: r.now,
	}
	r.takeOver(old)
	r.renewLeases()
	r.s.AddJob(r.job("new", newPhase(1, cores(3))), nil, false, r.now)
	effects := r.s.Tick(r.now)
	for _, effect := range effects {
		_, starts := effect.(scheduler.StartTask)
		r.c.Assert(starts, qt.IsFalse, qt.Commentf("started beside a run that is being stopped"))
	}
	r.c.Assert(w.activeRuns, qt.HasLen, 1)
}

func TestNewOwnerAdoptsWhatRuns(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(2, cores(1)))
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.takeOver(job)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.round()
	r.round()
	r.c.Assert(w.startCounts, qt.HasLen, 2)
	for task, n := range w.startCounts {
		r.c.Assert(n, qt.Equals, 1, qt.Commentf("%v ran twice", task))
	}
}

// TestTasksOnSilentWorkerWaitForFormerLeases checks that tasks which may run on a
// worker that a new owner cannot reach are started elsewhere only once the former
// owner's leases have certainly expired.
func TestTasksOnSilentWorkerWaitForFormerLeases(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(4))
	w := r.addWorker("w", cores(1))
	r.updateDirectory()
	r.renewLeases()
	old := r.job("old", newPhase(5, cores(1)))
	r.s.AddJob(old, nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 5)
	w.silent = true

	r.takeOver(old)
	r.renewLeases()
	r.advance(1500 * time.Millisecond)
	r.s.AddJob(r.job("new", newPhase(1, cores(1))), nil, false, r.now)
	r.workersByID["v"].end(firstRun(r.workersByID["v"]), scheduler.EndDone)
	startedAt := r.now
	for r.now.Sub(startedAt) < 4*time.Second {
		r.round()
		r.c.Assert(r.workersByID["v"].startCounts[scheduler.TaskRef{
			Step: scheduler.StepRef{
				Job: "new",
			},
		}], qt.Equals, 1, qt.Commentf("a new job waits for the recovery"))
		r.c.Assert(totalStarts(r, "old"), qt.Equals, 5)
	}
	r.endAll(0, scheduler.EndDone)
	for r.now.Sub(startedAt) < 8*time.Second {
		r.round()
	}
	r.c.Assert(totalStarts(r, "old"), qt.Equals, 6)
}

func firstRun(w *fakeWorker) scheduler.RunRef {
	var first scheduler.RunRef
	for run := range w.activeRuns {
		if first.Task.Step.Job == "" || run.Task.Index < first.Task.Index {
			first = run
		}
	}
	return first
}

func totalStarts(r *rig, job string) int {
	total := 0
	for _, w := range r.workersByID {
		for task, count := range w.startCounts {
			if task.Step.Job == job {
				total += count
			}
		}
	}
	return total
}

func TestDoneTasksAreNotRunAgainByTheNextOwner(t *testing.T) {
	r := newRig(t)
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(3, cores(1)), newPhase(1, cores(1)))
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.workersByID["w"].end(firstRun(r.workersByID["w"]), scheduler.EndDone)
	r.round()
	write := r.write()
	r.c.Assert(write.Jobs, qt.HasLen, 1)
	r.endAll(0, scheduler.EndDone)
	r.workersByID["w"].ended = r.workersByID["w"].ended[1:]

	r.takeOver(job)
	r.renewLeases()
	r.tick()
	r.round()
	r.c.Assert(totalStarts(r, "j"), qt.Equals, 4)
	r.endAll(1, scheduler.EndDone)
	r.round()
	r.write()
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Completed)
}

// TestFailureIsCountedOnce checks that a failure which is reported to two owners
// counts once.
func TestFailureIsCountedOnce(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(4))
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(1, cores(1)))
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.endAll(0, scheduler.EndFailed)
	r.renewLeases()
	r.write()

	r.takeOver(job)
	r.round()
	r.round()
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Running)
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
}

// TestLeaseLapsesBeforeARestart checks that the task of a worker that becomes silent,
// without a takeover, is started elsewhere only after the lease has expired.
func TestLeaseLapsesBeforeARestart(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(4))
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	r.tick()
	var holder *fakeWorker
	for _, w := range r.workersByID {
		if len(w.activeRuns) > 0 {
			holder = w
		}
	}
	holder.silent = true
	silentSince := r.now
	for r.now.Sub(silentSince) < 4800*time.Millisecond {
		r.s.ConfirmOwnership(r.now)
		r.round()
		r.c.Assert(totalStarts(r, "j"), qt.Equals, 1, qt.Commentf("after %v", r.now.Sub(silentSince)))
	}
	for r.now.Sub(silentSince) < 6*time.Second {
		r.s.ConfirmOwnership(r.now)
		r.round()
	}
	r.c.Assert(totalStarts(r, "j"), qt.Equals, 2)
}

// TestLeaseEndsBeforeTheNextOwnersWait checks that no lease granted by an owner that
// can no longer confirm its ownership outlives the time that a next owner waits.
func TestLeaseEndsBeforeTheNextOwnersWait(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	r.s.ConfirmOwnership(r.now)
	confirmed := w.clock
	for range 100 {
		r.advance(100 * time.Millisecond)
		r.renewLeases()
		r.carryOut(r.s.Tick(r.now))
		order, _ := r.s.LeaseRenewal("w", r.now)
		r.c.Assert(order.Lease <= confirmed+6*time.Second, qt.IsTrue,
			qt.Commentf("lease until %v after the last confirmation", order.Lease-confirmed))
	}
}

// TestUnansweredStartHoldsItsRoom checks that a run whose start had no answer is
// stopped, and takes up capacity until the stop is answered.
func TestUnansweredStartHoldsItsRoom(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w", cores(1))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	w.silent = true
	r.tick()
	r.tick()
	w.silent = false
	r.s.AddJob(r.job("k", newPhase(1, cores(1))), nil, false, r.now)
	r.renewLeases()
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 0)
	r.advance(time.Second)
	r.renewLeases()
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 0, qt.Commentf("the stop was answered only now"))
	r.round()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
}

// TestWorkersInUseOutliveOwnersThatDoNotSeeThem checks that a task on a worker that
// the directory no longer lists is not started again after two takeovers.
func TestWorkersInUseOutliveOwnersThatDoNotSeeThem(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(1, cores(1)))
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
	v := r.addWorker("v", cores(4))
	used := []scheduler.WorkerEntry{w.entry}
	for token := int64(2); token <= 3; token++ {
		r.s = scheduler.New(token, r.now)
		r.restoreJob(job)
		r.s.AddFormerWorkers(used)
		r.s.SetWorkers([]scheduler.WorkerEntry{v.entry})
		w.silent = token == 2
		r.round()
		if write := r.write(); len(write.Workers) > 0 {
			used = write.Workers
		}
		r.round()
		r.round()
		r.c.Assert(totalStarts(r, "j"), qt.Equals, 1, qt.Commentf("under token %d", token))
	}
}

// TestNothingStartsOnAWorkerThatIsNotRecorded checks that a worker that appears is
// used only once the store lists it as in use.
func TestNothingStartsOnAWorkerThatIsNotRecorded(t *testing.T) {
	r := newRig(t)
	r.addWorker("w", cores(4))
	r.s.SetWorkers([]scheduler.WorkerEntry{r.workersByID["w"].entry})
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 0)
	r.c.Assert(r.write().Workers, qt.HasLen, 1)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
}

// TestRecoveredJobDoesNotWaitForUnrelatedSilentWorker checks that after a takeover, a
// job does not wait for an unreachable worker on which none of the job's tasks was
// started.
func TestRecoveredJobDoesNotWaitForUnrelatedSilentWorker(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(2))
	r.updateDirectory()
	r.renewLeases()
	running := r.job("running", newPhase(3, cores(1)))
	r.s.AddJob(running, nil, false, r.now)
	queued := r.job("queued", newPhase(1, cores(1)))
	r.s.AddJob(queued, nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	w := r.addWorker("w", cores(2))
	w.silent = true
	r.takeOver(running, queued)
	r.renewLeases()
	r.endAll(0, scheduler.EndDone)
	r.round()
	r.c.Assert(totalStarts(r, "running"), qt.Equals, 3)
	r.c.Assert(totalStarts(r, "queued"), qt.Equals, 1)
}

// TestNothingStartsBeforeItsWorkerIsStored checks that no start is sent while the
// store takes no writes, as a next owner would not know of it.
func TestNothingStartsBeforeItsWorkerIsStored(t *testing.T) {
	r := newRig(t)
	r.addWorker("w", cores(2))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(1, cores(1)), newPhase(1, cores(1))), nil, false, r.now)
	for range 5 {
		r.advance(100 * time.Millisecond)
		r.renewLeases()
		r.carryOut(r.s.Tick(r.now))
		r.c.Assert(r.activeRuns(), qt.Equals, 0)
	}
	r.write()
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
	// The next task on the same worker needs no further write.
	r.endAll(0, scheduler.EndDone)
	r.renewLeases()
	r.carryOut(r.s.Tick(r.now))
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
}

// TestAdviserIsAskedDuringRecovery checks that a new owner which cannot reach the
// worker of a lasting task asks the adviser before the former owner's leases have
// expired. If the adviser were asked only then, the task would be out of service for
// longer.
func TestAdviserIsAskedDuringRecovery(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(8))
	w := r.addWorker("w", cores(1))
	r.updateDirectory()
	r.renewLeases()
	old := r.job("old", newPhase(1, cores(1)))
	old.Phases[0].Lasting = true
	old.Queue = advisedQueue
	r.s.AddJob(old, nil, false, r.now)
	r.tick()
	r.answerAdvice(func(_ scheduler.StepRef, worker string) bool { return worker == "w" })
	r.tick()
	r.c.Assert(w.activeRuns, qt.HasLen, 1)
	w.silent = true

	r.takeOver(old)
	r.renewLeases()
	r.tick()
	asked := r.answerAdvice(approveAll)
	r.c.Assert(asked, qt.HasLen, 1)
	r.c.Assert(r.workersByID["v"].activeRuns, qt.HasLen, 0)
	for range 70 {
		r.round()
		// The tickets are renewed only when they can be used.
		asked = append(asked, r.answerAdvice(approveAll)...)
	}
	r.c.Assert(r.workersByID["v"].activeRuns, qt.HasLen, 1)
	r.c.Assert(asked, qt.HasLen, 2)
}

// TestEarlyOccurrenceIsNotRunAgain checks that a new owner whose clock is behind that
// of the former one counts what ran of a timed job, although the occurrence is not due
// yet by its own clock. Otherwise the tasks would run twice.
func TestEarlyOccurrenceIsNotRunAgain(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("timed", newPhase(3, cores(1)))
	job.Repetitions = 2
	job.Start = r.now
	job.Interval = time.Hour
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 3)
	for ref := range w.activeRuns {
		if ref.Task.Index == 0 {
			w.end(ref, scheduler.EndDone)
		}
	}
	r.now = r.now.Add(-2 * time.Second)
	r.takeOver(job)
	r.round()
	r.round()
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.endAll(0, scheduler.EndDone)
	for range 40 {
		r.round()
	}
	for ref, n := range w.startCounts {
		r.c.Assert(n, qt.Equals, 1, qt.Commentf("%v", ref))
	}
	r.c.Assert(r.activeRuns(), qt.Equals, 0)
}

// TestEndIsAcknowledgedOnlyOnceItsTaskIsStoredAsDone checks that no worker forgets an
// end as done before the store has it, whatever an earlier report has changed already.
// Otherwise the next owner would run the task again.
func TestEndIsAcknowledgedOnlyOnceItsTaskIsStoredAsDone(t *testing.T) {
	gang := newPhase(2, cores(3))
	gang.Gang = true
	for _, test := range []struct {
		name  string
		phase scheduler.Phase
		// between happens after the ends were reported first.
		between func(*rig)
	}{
		{
			name:    "two members of a gang",
			phase:   gang,
			between: func(*rig) {},
		},
		{
			name:  "the directory loses the workers, and they are back",
			phase: newPhase(2, cores(3)),
			between: func(r *rig) {
				r.s.SetWorkers(nil)
				var entries []scheduler.WorkerEntry
				for _, w := range r.workersByID {
					entries = append(entries, w.entry)
				}
				r.s.SetWorkers(entries)
			},
		},
	} {
		for _, writing := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, written %t", test.name, writing), func(t *testing.T) {
				r := newRig(t)
				r.addWorker("a", cores(4))
				r.addWorker("b", cores(4))
				r.updateDirectory()
				r.renewLeases()
				r.s.AddJob(r.job("job", test.phase), nil, false, r.now)
				r.tick()
				r.c.Assert(r.activeRuns(), qt.Equals, 2)
				r.write()
				r.endAll(0, scheduler.EndDone)
				r.renewLeases()
				var write scheduler.Write
				if writing {
					write = r.s.NextWrite()
				}
				test.between(r)
				r.renewLeases()
				for id := range r.workersByID {
					order, _ := r.s.LeaseRenewal(id, r.now)
					r.c.Assert(order.Acknowledge, qt.Equals, int64(0), qt.Commentf("worker %s", id))
				}
				if writing {
					r.s.Written(write)
				}
				r.write()
				for id := range r.workersByID {
					order, _ := r.s.LeaseRenewal(id, r.now)
					r.c.Assert(order.Acknowledge, qt.Equals, int64(1), qt.Commentf("worker %s", id))
				}
				r.renewLeases()
				for id, w := range r.workersByID {
					r.c.Assert(w.ended, qt.HasLen, 0, qt.Commentf("worker %s", id))
				}
			})
		}
	}
}

// TestAdoptedRunIsNotLostBeforeTheFormerLease guards against a task that runs twice after
// a takeover: its worker is stored as silent, reports the run to the new owner and goes
// silent again before that owner has granted a lease, while the lease of the former owner
// still holds.
func TestAdoptedRunIsNotLostBeforeTheFormerLease(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(1, cores(1)))
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.write()
	r.c.Assert(w.activeRuns, qt.HasLen, 1)

	r.addWorker("other", cores(4))
	r.takeOver(job)
	w.silent = true
	for range 7 {
		r.round()
		r.write()
	}
	r.c.Assert(r.storedSilent, qt.HasLen, 1)
	w.silent = false
	r.renewLeases()
	w.silent = true
	leaseEnd := w.leaseEnd
	for w.clock < leaseEnd {
		r.round()
		r.c.Assert(r.activeRuns(), qt.Equals, 1, qt.Commentf("%v before the end of the lease", leaseEnd-w.clock))
	}
	r.rounds(20)
	r.c.Assert(r.activeRuns(), qt.Equals, 2, qt.Commentf("not started again after the lease"))
}

// TestPlannedGangThatIsDoneLeavesItsWorkers guards against capacity that is lost for good:
// while a gang is planned anew, an earlier run of it is reported as done.
func TestPlannedGangThatIsDoneLeavesItsWorkers(t *testing.T) {
	r := newRig(t)
	first := r.addWorker("first", cores(4))
	r.updateDirectory()
	r.renewLeases()
	gang := newPhase(2, cores(2))
	gang.Gang = true
	r.s.AddJob(r.job("gang", gang), nil, false, r.now)
	r.round()
	r.c.Assert(first.activeRuns, qt.HasLen, 2)

	r.addWorker("second", cores(4))
	r.updateDirectory()
	first.silent = true
	for r.s.PlannedRuns() == 0 {
		r.advance(100 * time.Millisecond)
		r.s.ConfirmOwnership(r.now)
		r.renewLeases()
		r.carryOut(r.s.Tick(r.now))
	}
	first.silent = false
	r.endAll(0, scheduler.EndDone)
	r.renewLeases()
	r.c.Assert(r.s.PlannedRuns(), qt.Equals, 2)
	r.rounds(2)
	r.s.AddJob(r.job("next", newPhase(2, cores(4))), nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.runsOf("next"), qt.Equals, 2)
}

// TestRunOfAHeldJobIsStopped guards against a run of a job whose progress cannot be decoded
// that goes on, or has its task started again.
func TestRunOfAHeldJobIsStopped(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(2, cores(1)))
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.c.Assert(w.activeRuns, qt.HasLen, 2)
	w.end(firstRun(w), scheduler.EndDone)
	r.s = scheduler.New(2, r.now)
	r.s.HoldJob(job, r.now)
	r.updateDirectory()
	r.rounds(30)
	r.c.Assert(w.activeRuns, qt.HasLen, 0)
	r.c.Assert(totalStarts(r, "j"), qt.Equals, 2)
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Running)
}
