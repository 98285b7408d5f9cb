package scheduler

import (
	"slices"
)

// Write is a batch of changes to be stored.
type Write struct {
	// Batch is the number of the write, which rises with each.
	Batch int64
	Jobs  []JobProgress
	// Deletions lists the jobs that can be deleted from the store.
	Deletions []string
	// Workers replaces the stored list of workers in use. It is nil if no
	// worker needs to be added.
	Workers []WorkerEntry
}

// Empty reports whether there is nothing to store.
func (w Write) Empty() bool {
	return len(w.Jobs) == 0 && len(w.Deletions) == 0 && len(w.Workers) == 0
}

// JobProgress is the progress of one job.
type JobProgress struct {
	ID       string
	Progress Progress
}

// Unwritten reports whether there is something to store, and whether a start or
// a caller may be waiting for it.
func (s *Scheduler) Unwritten() (pending, urgent bool) {
	if s.hasUnrecordedWorkers() || len(s.plannedRuns) > 0 {
		return true, true
	}
	for id := range s.dirtyJobs {
		if s.jobs[id].state.Final() {
			return true, true
		}
	}
	return len(s.dirtyJobs) > 0 || len(s.droppedJobs) > 0, false
}

// NextWrite returns the changes since the last call.
func (s *Scheduler) NextWrite() Write {
	write := Write{
		Batch:     s.nextBatch,
		Deletions: s.droppedJobs,
	}
	s.nextBatch++
	s.droppedJobs = nil
	if s.hasUnrecordedWorkers() {
		write.Workers = s.workersInUse()
	}
	for id := range s.dirtyJobs {
		write.Jobs = append(write.Jobs, JobProgress{
			ID:       id,
			Progress: s.jobs[id].progress(),
		})
	}
	slices.SortFunc(write.Jobs, func(a, b JobProgress) int {
		return compareSteps(StepRef{
			Job: a.ID,
		}, StepRef{
			Job: b.ID,
		})
	})
	clear(s.dirtyJobs)
	return write
}

// Written records that a write is stored.
func (s *Scheduler) Written(write Write) {
	s.storedBatch = write.Batch
	for _, entry := range write.Workers {
		if w := s.workers[entry.Ref.ID]; w != nil {
			w.recorded = true
		}
	}
	for _, stored := range write.Jobs {
		j := s.jobs[stored.ID]
		if j == nil {
			continue
		}
		if stored.Progress.State.Final() {
			j.stateStored = true
		}
		for _, id := range stored.Progress.Workers {
			j.storedWorkers[id] = true
		}
	}
}

// PlannedRuns returns the number of runs whose start waits for a write.
func (s *Scheduler) PlannedRuns() int {
	return len(s.plannedRuns)
}

// progress returns the part of the job's state that must be stored.
func (j *job) progress() Progress {
	p := Progress{
		State: j.state,
		Ended: j.endedAt,
	}
	if j.state.Final() {
		return p
	}
	for id := range j.workers {
		p.Workers = append(p.Workers, id)
	}
	slices.Sort(p.Workers)
	for _, stored := range j.storedProgress {
		p.Steps = append(p.Steps, stored)
	}
	for ref, st := range j.steps {
		if stored, nonEmpty := st.progress(ref); nonEmpty {
			p.Steps = append(p.Steps, stored)
		}
	}
	slices.SortFunc(p.Steps, func(a, b StepProgress) int {
		return compareSteps(StepRef{
			Occurrence: a.Occurrence,
			Phase:      a.Phase,
		}, StepRef{
			Occurrence: b.Occurrence,
			Phase:      b.Phase,
		})
	})
	return p
}

// progress returns the part of the step's state that must be stored, and whether
// there is any.
func (st *step) progress(ref StepRef) (StepProgress, bool) {
	stepProgress := StepProgress{
		Occurrence: ref.Occurrence,
		Phase:      ref.Phase,
	}
	nonEmpty := false
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done {
			if stepProgress.Done == nil {
				stepProgress.Done = newBitSet(len(st.tasks))
			}
			setBit(stepProgress.Done, i)
			nonEmpty = true
		}
		if len(t.failedAttempts) > 0 && !st.phase.Gang {
			stepProgress.setFailures(i, t.failedAttempts)
			nonEmpty = true
		}
	}
	if len(st.gangFailures) > 0 {
		stepProgress.setFailures(0, st.gangFailures)
		nonEmpty = true
	}
	return stepProgress, nonEmpty
}

func (p *StepProgress) setFailures(i int, attempts []int64) {
	if p.Failures == nil {
		p.Failures = make(map[int][]int64)
	}
	p.Failures[i] = slices.Clone(attempts)
}
