package scheduler_test

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// storeRecordBytes is the largest record that the platform's store takes.
const storeRecordBytes = 262144

// addRepeatedJob adds a job of independent single tasks whose occurrences are due one every
// interval from now on.
func (r *rig) addRepeatedJob(phases, repetitions int, interval time.Duration) {
	job := r.job("j")
	for range phases {
		job.Phases = append(job.Phases, newPhase(1, cores(1)))
	}
	job.Repetitions = repetitions
	job.Interval = interval
	job.Start = r.now
	r.s.AddJob(job, nil, false, r.now)
}

// storedBytes returns the size of the stored progress of the job "j".
func (r *rig) storedBytes() int {
	value, err := json.Marshal(r.stored["j"])
	r.c.Assert(err, qt.IsNil)
	return len(value)
}

// TestProgressOfManyOccurrencesFitsOneRecord guards against a job that repeats so often that
// its progress is too large for the store, and then holds up its whole partition.
func TestProgressOfManyOccurrencesFitsOneRecord(t *testing.T) {
	const phases, repetitions = 20, 400
	r := newRig(t)
	r.addWorker("w00", cores(64))
	r.updateDirectory()
	r.addRepeatedJob(phases, repetitions, 100*time.Millisecond)
	job := r.job("j")
	for range phases {
		job.Phases = append(job.Phases, newPhase(1, cores(1)))
	}
	job.Repetitions, job.Interval, job.Start = repetitions, 100*time.Millisecond, r.now
	// One task of the third occurrence runs until the end, so that what is done has a gap.
	last := scheduler.TaskRef{
		Step: scheduler.StepRef{
			Job:        "j",
			Occurrence: 2,
			Phase:      1,
		},
	}
	w := r.workersByID["w00"]
	w.runTime = 50 * time.Second
	endAllBut := func() {
		for run := range w.activeRuns {
			if run.Task != last {
				w.end(run, scheduler.EndDone)
			}
		}
	}
	largest := 0
	for i := range repetitions + 10 {
		endAllBut()
		r.round()
		r.write()
		largest = max(largest, r.storedBytes())
		if i%150 == 149 {
			r.takeOver(job)
		}
	}
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Running)
	r.c.Assert(w.activeRuns, qt.HasLen, 1)
	for run := range w.activeRuns {
		w.end(run, scheduler.EndDone)
	}
	r.round()
	r.write()
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Completed)
	r.c.Assert(w.startCounts, qt.HasLen, phases*repetitions)
	for task, starts := range w.startCounts {
		r.c.Assert(starts, qt.Equals, 1, qt.Commentf("%v", task))
	}
	r.c.Assert(largest < storeRecordBytes, qt.IsTrue, qt.Commentf("%d bytes", largest))
}

// TestStoringAnEndCostsTheSameAfterManyOccurrences guards against a record of progress that
// grows with each occurrence and is written at each end.
func TestStoringAnEndCostsTheSameAfterManyOccurrences(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w00", cores(8))
	r.updateDirectory()
	const repetitions = 10000
	r.addRepeatedJob(1, repetitions, 100*time.Millisecond)
	sizes := make(map[int]int)
	for i := range repetitions {
		for run := range w.activeRuns {
			w.end(run, scheduler.EndDone)
		}
		r.round()
		r.write()
		if i == 100 || i == 1000 || i == repetitions-1 {
			sizes[i] = r.storedBytes()
		}
	}
	for i, size := range sizes {
		r.c.Assert(2*size <= 3*sizes[100], qt.IsTrue, qt.Commentf("%d bytes after %d occurrences, %d after 100", size, i, sizes[100]))
	}
}

// TestProgressOfOverdueOccurrencesFitsOneRecord guards against a job with so many occurrences
// that are due and partly done that its progress is too large for the store.
func TestProgressOfOverdueOccurrencesFitsOneRecord(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	r := newRig(t)
	w := r.addWorker("w00", cores(4000))
	r.updateDirectory()
	job := r.job("j", newPhase(4, cores(1)))
	job.Repetitions, job.Interval, job.Start = 8000, time.Millisecond, r.now.Add(-time.Hour)
	r.s.AddJob(job, nil, false, r.now)
	for range 30 {
		for run := range w.activeRuns {
			// Of each step, tasks remain for long.
			if run.Task.Index > 0 || random.IntN(20) == 0 {
				w.end(run, scheduler.EndDone)
			}
		}
		r.round()
		r.write()
		size := r.storedBytes()
		r.c.Assert(size < storeRecordBytes, qt.IsTrue, qt.Commentf("%d bytes", size))
	}
}

// TestDoneOccurrencesAreNotRunAgain guards against tasks that run again after a takeover, as
// the next owner does not understand how the occurrences that are done were stored.
func TestDoneOccurrencesAreNotRunAgain(t *testing.T) {
	const repetitions = 60
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		r := newRig(t)
		w := r.addWorker("w00", cores(64))
		w.runTime = 50 * time.Second
		r.updateDirectory()
		job := r.job("j", newPhase(2, cores(1)), newPhase(1, cores(1)), newPhase(2, cores(1)))
		job.Repetitions, job.Interval, job.Start = repetitions, 100*time.Millisecond, r.now
		r.s.AddJob(job, nil, false, r.now)
		allowed := true
		for range 4 * repetitions {
			for run := range w.activeRuns {
				if random.IntN(3) == 0 {
					w.end(run, scheduler.EndDone)
				}
			}
			r.round()
			r.write()
			if !allowed {
				r.c.Assert(r.stored["j"].DoneOccurrences, qt.HasLen, 0)
			}
			if random.IntN(10) == 0 {
				r.takeOver(job)
				r.s.AllowOccurrenceRanges(allowed)
			}
			if random.IntN(10) == 0 {
				allowed = !allowed
				r.s.AllowOccurrenceRanges(allowed)
			}
		}
		r.c.Assert(r.state("j"), qt.Equals, scheduler.Completed)
		r.c.Assert(w.startCounts, qt.HasLen, (2+1+2)*repetitions)
		for task, starts := range w.startCounts {
			r.c.Assert(starts, qt.Equals, 1, qt.Commentf("seed %d, %v", seed, task))
		}
	}
}

// TestCallForADoneOccurrenceIsCounted guards against calls for advice that count as in flight
// for ever, as their step was done before the answer, so that no other step gets any.
func TestCallForADoneOccurrenceIsCounted(t *testing.T) {
	for _, answered := range []bool{true, false} {
		r := newRig(t)
		w := r.addWorker("w00", cores(8))
		r.updateDirectory()
		r.renewLeases()
		job := r.job("j", newPhase(1, cores(1)))
		job.Queue.Advice = &scheduler.Advice{
			Decision: 10 * time.Millisecond,
			Validity: time.Second,
		}
		job.Repetitions, job.Interval, job.Start = 2, time.Hour, r.now
		r.s.AddJob(job, nil, false, r.now)
		r.tick()
		r.c.Assert(r.effects, qt.HasLen, 1)
		call := r.effects[0].(scheduler.AskAdvice)
		r.c.Assert(r.s.AdviceLoad(r.now).InFlight[true], qt.Equals, 1)
		// The run was started by a former owner.
		w.end(scheduler.RunRef{
			Task: scheduler.TaskRef{
				Step: call.Step,
			},
			Attempt: 1,
		}, scheduler.EndDone)
		r.round()
		if answered {
			r.s.AdviceAnswered(call.Step, call.Workers, nil, time.Second, r.now)
		} else {
			r.s.AdviceFailed(call.Step, call.Workers, r.now)
		}
		r.c.Assert(r.s.AdviceLoad(r.now).InFlight[true], qt.Equals, 0)
	}
}

// TestWorkersThatAreGoneAreNotStored guards against a job that repeats for long, of which the
// stored progress lists every worker that it ever used and becomes too large for the store.
func TestWorkersThatAreGoneAreNotStored(t *testing.T) {
	const lives = 200
	r := newRig(t)
	r.addRepeatedJob(1, 2*lives, 300*time.Millisecond)
	for i := range lives {
		w := r.addWorker(workerName(i), cores(8))
		r.updateDirectory()
		r.renewLeases()
		for range 3 {
			r.round()
		}
		for run := range w.activeRuns {
			w.end(run, scheduler.EndDone)
		}
		r.renewLeases()
		r.write()
		r.renewLeases()
		delete(r.workersByID, workerName(i))
	}
	r.c.Assert(len(r.stored["j"].Workers) <= 3, qt.IsTrue, qt.Commentf("%d workers", len(r.stored["j"].Workers)))
}
