package scheduler

import "github.com/galenacove/galenacove/sizer"

// formerUse is what former owners may have running of one organisation on a worker. The
// cores of best-effort tasks are not bounded by the capacity of the worker.
type formerUse struct {
	size, filling sizer.Size
}

// computeFormerUses returns, by organisation, what former owners may have running on
// workers that have not reported.
func (s *Scheduler) computeFormerUses() map[string]sizer.Size {
	type place struct {
		worker       *worker
		organisation string
	}
	places := make(map[place]formerUse)
	for _, j := range s.jobs {
		name := j.record.Organisation
		if name == "" || !j.recovered {
			continue
		}
		add := func(id string, more formerUse) {
			key := place{
				worker:       s.workers[id],
				organisation: name,
			}
			use := places[key]
			use.size = use.size.Add(more.size)
			use.filling = use.filling.Add(more.filling)
			places[key] = use
		}
		for id, size := range j.formerEnding {
			if s.isUnreported(id) {
				add(id, formerUse{
					size: size,
				})
			}
		}
		if j.formerUnfinished == (formerUse{}) {
			continue
		}
		for id := range j.workers {
			if s.isUnreported(id) {
				add(id, j.formerUnfinished)
			}
		}
	}
	uses := make(map[string]sizer.Size)
	for key, use := range places {
		uses[key.organisation] = uses[key.organisation].Add(use.within(key.worker.entry.Total))
	}
	return uses
}

// total returns the whole use.
func (u formerUse) total() sizer.Size {
	return u.size.Add(u.filling)
}

// within returns the part of the use that a worker of the given capacity can have.
func (u formerUse) within(total sizer.Size) sizer.Size {
	return sizer.New(
		min(u.size.MilliCores(), total.MilliCores())+u.filling.MilliCores(),
		min(u.size.Bytes()+u.filling.Bytes(), total.Bytes()),
		min(u.size.Accelerators()+u.filling.Accelerators(), total.Accelerators()),
	)
}

// unfinished returns the full size of the tasks of the job that are not done, in all
// occurrences.
func (j *job) unfinished() formerUse {
	var use formerUse
	add := func(phase *Phase, tasks int) {
		size := phase.Size.Times(int64(tasks))
		if phase.Fills {
			use.filling = use.filling.Add(size)
		} else {
			use.size = use.size.Add(size)
		}
	}
	created := make(map[int]bool)
	for ref, st := range j.steps {
		created[ref.Occurrence] = true
		add(st.phase, len(st.tasks)-st.done-st.tasksElsewhere)
	}
	if j.guest != nil {
		return use
	}
	for i := range j.record.Phases {
		phase := &j.record.Phases[i]
		add(phase, phase.Tasks*(j.record.occurrences()-len(created)-j.doneOccurrences.size()))
	}
	return use
}

// ending returns, by worker, the full size of the runs that a next owner must count
// although their task is done or the job has ended, or nil if there are none.
func (s *Scheduler) ending(j *job) map[string]sizer.Size {
	if j.record.Organisation == "" {
		return nil
	}
	ending := make(map[string]sizer.Size)
	if !s.recoveryDone {
		s.addFormerEnding(j, ending)
	}
	if j.runCount > 0 && (j.state.Final() || j.runCount > j.assignedRuns()) {
		for id, w := range s.workers {
			for ref, r := range w.runs {
				if r.job == j && (j.state.Final() || j.isDone(ref.Task)) {
					ending[id] = ending[id].Add(r.fullSize)
				}
			}
		}
	}
	if len(ending) == 0 {
		return nil
	}
	return ending
}

// addFormerEnding adds what may run on workers that have not reported: what the former
// owner stored, and tasks that were unfinished at the takeover and have ended since.
func (s *Scheduler) addFormerEnding(j *job, ending map[string]sizer.Size) {
	for id, size := range j.formerEnding {
		if s.isUnreported(id) {
			ending[id] = ending[id].Add(size)
		}
	}
	ended := j.formerUnfinished.total()
	if !j.state.Final() {
		// The next owner counts what is still unfinished.
		ended = ended.Sub(j.unfinished().total())
	}
	if ended.IsZero() {
		return
	}
	for id := range j.workers {
		if s.isUnreported(id) {
			ending[id] = ending[id].Add(ended)
		}
	}
}

// assignedRuns counts the runs of the job that belong to a task.
func (j *job) assignedRuns() int {
	n := 0
	for _, st := range j.steps {
		for i := range st.tasks {
			for _, r := range []*run{st.tasks[i].run, st.tasks[i].copy} {
				if r != nil {
					n++
				}
			}
		}
	}
	return n
}

// isDone reports whether the task is done.
func (j *job) isDone(ref TaskRef) bool {
	if j.doneOccurrences.contains(ref.Step.Occurrence) {
		return true
	}
	st := j.steps[ref.Step]
	return st != nil && ref.Index >= 0 && ref.Index < len(st.tasks) && st.tasks[ref.Index].done
}
