package scheduler

import (
	"slices"
	"time"
)

const (
	// placesCheckInterval is the interval at which a waiting step is checked for missing
	// places.
	placesCheckInterval = 250 * time.Millisecond
	// placesMissingFor is how long places must have been missing before other owners are
	// asked: longer than a worker misses one renewal.
	placesMissingFor = time.Second
	// busyPlacesAfter is how long places must have been missing before tasks are left to
	// owners that have capacity only once other runs have ended.
	busyPlacesAfter = 3 * time.Second
)

// missingPlaces returns how many of the step's waiting tasks the workers of the pool cannot
// take, now or later. Of tasks that end by themselves all find a place if one does.
func (s *Scheduler) missingPlaces(st *step, p *pool) int {
	places := 0
	for _, w := range p.workers {
		if s.mayEverRun(st, w) {
			places += st.placesOn(w)
		}
		if places >= st.waiting || places > 0 && !st.phase.Lasting && !st.phase.Gang {
			return 0
		}
	}
	return st.waiting - places
}

// mayEverRun reports whether the worker meets the requirements of the step and the adviser
// has not denied it.
func (s *Scheduler) mayEverRun(st *step, w *worker) bool {
	if !meetsRequirements(st, w) {
		return false
	}
	return st.job.record.Queue.Advice == nil || !st.adviceState.askedWorkers[w.entry.Ref.ID] || s.isApproved(st, w)
}

// placesOn returns how many further tasks of the step the worker could run if all runs had
// ended that end by themselves.
func (st *step) placesOn(w *worker) int {
	capacity := w.entry.Total
	running := 0
	for ref, r := range w.runs {
		if !r.lasting {
			continue
		}
		capacity = capacity.Sub(r.size)
		if ref.Task.Step == st.ref {
			running++
		}
	}
	n := countFitting(taskSize(st.phase), capacity)
	if st.phase.PerWorker > 0 {
		n = min(n, st.phase.PerWorker-running)
	}
	return max(0, n)
}

// checkPlaces updates since when the step lacks places, and returns how many, 0 until they
// have been missing for placesMissingFor.
func (s *Scheduler) checkPlaces(st *step, p *pool, now time.Time) int {
	if !s.recoveryDone || st.waiting == 0 {
		return 0
	}
	if st.phase.Gang && (st.waiting < st.members() || st.order.Stage == GangGo || st.job.guest == nil && !st.heldSince.IsZero() && st.order.Stage == GangPrepare) {
		return 0
	}
	if now.Sub(st.placesCheckedAt) >= placesCheckInterval {
		st.placesCheckedAt = now
		st.missingPlaces = s.missingPlaces(st, p)
		if st.missingPlaces == 0 {
			st.placesMissingSince = time.Time{}
		} else if st.placesMissingSince.IsZero() {
			st.placesMissingSince = now
		}
	}
	if st.placesMissingSince.IsZero() || now.Sub(st.placesMissingSince) < placesMissingFor {
		return 0
	}
	return min(st.missingPlaces, st.waiting)
}

// waitingIndexes returns the last n of the step's waiting tasks that no former owner can have
// running.
func (s *Scheduler) waitingIndexes(st *step, n int) []int {
	var indexes []int
	for i := len(st.tasks) - 1; i >= 0 && len(indexes) < n; i-- {
		if t := &st.tasks[i]; t.waits() && !t.suspected() && !s.taskAwaitsRecovery(t) && !s.hasRunAnywhere(TaskRef{
			Step:  st.ref,
			Index: i,
		}) {
			indexes = append(indexes, i)
		}
	}
	slices.Sort(indexes)
	return indexes
}

// hasRunAnywhere reports whether a worker may still have a run of the task, such as one whose
// start had no answer.
func (s *Scheduler) hasRunAnywhere(ref TaskRef) bool {
	for _, w := range s.workers {
		for r := range w.runs {
			if r.Task == ref {
				return true
			}
		}
	}
	return false
}

// Places answers a query of another owner.
func (s *Scheduler) Places(query PlacesQuery, now time.Time) Places {
	if !s.recoveryDone {
		return Places{}
	}
	st := &step{
		ref:   query.Step,
		phase: &query.Phase,
		job: &job{
			record: Job{
				Queue: query.Queue,
			},
		},
	}
	if known := s.jobs[query.Step.Job]; known != nil && known.steps[query.Step] != nil {
		st.adviceState = known.steps[query.Step].adviceState
		st.waiting = known.steps[query.Step].waiting
	}
	var places Places
	for _, w := range s.workers {
		if w.entry.Service != query.Queue.Service || !w.available(now) || !s.mayEverRun(st, w) {
			continue
		}
		possible := st.placesOn(w)
		places.Possible += possible
		places.Free += min(possible, countFitting(taskSize(st.phase), w.freeCapacity()))
	}
	return Places{
		Free:     s.expectedPlaces(query.Queue, places.Free, st.waiting),
		Possible: s.expectedPlaces(query.Queue, places.Possible, st.waiting),
	}
}

// expectedPlaces returns how many of the places the adviser will probably approve, less those
// that waiting tasks are about to take, but at least one if there is any.
func (s *Scheduler) expectedPlaces(queue Queue, places, waiting int) int {
	if places <= waiting {
		return 0
	}
	if queue.Advice == nil {
		return places - waiting
	}
	return max(1, int(float64(places)*s.stats(queue.Name).approvalRate)-waiting)
}
