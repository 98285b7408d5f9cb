package scheduler

import (
	"slices"
)

// Write is what is to be stored of the jobs that changed.
type Write struct {
	// Batch is passed to Written once the write is stored.
	Batch int64
	Jobs  []JobProgress
	// Drops are jobs that need no longer be kept.
	Drops []string
	// Workers replaces the list of workers in use. It is nil where that has
	// not grown.
	Workers []WorkerEntry
}

// Empty tells that there is nothing to store.
func (w Write) Empty() bool {
	return len(w.Jobs) == 0 && len(w.Drops) == 0 && len(w.Workers) == 0
}

// JobProgress is the progress of one job.
type JobProgress struct {
	ID       string
	Progress Progress
}

// Unwritten tells whether there is something to store, and whether a caller
// may be waiting for it.
func (s *Scheduler) Unwritten() (some, urgent bool) {
	if s.unrecorded() || len(s.planned) > 0 {
		return true, true
	}
	for id := range s.dirty {
		if s.jobs[id].state.Final() {
			return true, true
		}
	}
	return len(s.dirty) > 0 || len(s.drops) > 0, false
}

// NextWrite returns what changed since the last call.
func (s *Scheduler) NextWrite() Write {
	write := Write{
		Batch: s.batch,
		Drops: s.drops,
	}
	s.batch++
	s.drops = nil
	if s.unrecorded() {
		write.Workers = s.inUse()
	}
	for id := range s.dirty {
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
	clear(s.dirty)
	return write
}

// Written tells that a write is stored.
func (s *Scheduler) Written(write Write) {
	s.written = write.Batch
	for _, entry := range write.Workers {
		if w := s.workers[entry.Ref.ID]; w != nil {
			w.recorded = true
		}
	}
	for _, part := range write.Jobs {
		j := s.jobs[part.ID]
		if j == nil {
			continue
		}
		if part.Progress.State.Final() {
			j.stored = true
		}
		for _, id := range part.Progress.Workers {
			j.named[id] = true
		}
	}
}

// Planned counts the runs that wait for a write.
func (s *Scheduler) Planned() int {
	return len(s.planned)
}

// progress returns what of the job must be stored.
func (j *job) progress() Progress {
	p := Progress{
		State: j.state,
		Ended: j.ended,
	}
	if j.state.Final() {
		return p
	}
	for id := range j.workers {
		p.Workers = append(p.Workers, id)
	}
	slices.Sort(p.Workers)
	for _, part := range j.loaded {
		p.Steps = append(p.Steps, part)
	}
	for ref, st := range j.steps {
		if part, some := st.progress(ref); some {
			p.Steps = append(p.Steps, part)
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

func (st *step) progress(ref StepRef) (StepProgress, bool) {
	part := StepProgress{
		Occurrence: ref.Occurrence,
		Phase:      ref.Phase,
	}
	some := false
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done {
			if part.Done == nil {
				part.Done = newBits(len(st.tasks))
			}
			setBit(part.Done, i)
			some = true
		}
		if len(t.failures) > 0 && !st.phase.Gang {
			part.fail(i, t.failures)
			some = true
		}
	}
	if len(st.gangFailures) > 0 {
		part.fail(0, st.gangFailures)
		some = true
	}
	return part, some
}

func (p *StepProgress) fail(i int, attempts []int64) {
	if p.Failures == nil {
		p.Failures = make(map[int][]int64)
	}
	p.Failures[i] = slices.Clone(attempts)
}
