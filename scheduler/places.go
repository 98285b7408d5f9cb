package scheduler

import (
	"fmt"
	"slices"
	"strings"
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
	if known := s.jobs[query.Step.Job]; known != nil && known.guest != nil {
		for _, g := range known.guest.grants {
			if !g.stored && g.step(query.Step.Job) == query.Step {
				st.waiting += len(g.Tasks)
			}
		}
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

// describePlaces describes for a note which of the step's tasks belong to other owners, what it
// lacks, and for whom a gang of several owners waits. It is empty for other steps.
func (st *step) describePlaces(now time.Time) string {
	var text strings.Builder
	if st.job.guest != nil {
		fmt.Fprintf(&text, "; runs for the owner of partition %d, last heard of %v ago", st.job.guest.home, now.Sub(st.job.guest.contactAt).Round(time.Millisecond))
	}
	if !st.placesMissingSince.IsZero() {
		fmt.Fprintf(&text, "; the workers have lacked places for %d tasks for %v", st.missingPlaces, now.Sub(st.placesMissingSince).Round(time.Millisecond))
	}
	for _, g := range st.job.grants {
		if g.step(st.job.record.ID) == st.ref && len(g.Tasks) > 0 {
			fmt.Fprintf(&text, "; %d tasks belong to the owner of partition %d, stored %t, acknowledged %t", len(g.Tasks), g.Partition, g.stored, g.acknowledged)
		}
	}
	for partition, at := range st.returnedBy {
		fmt.Fprintf(&text, "; the owner of partition %d returned some %v ago", partition, now.Sub(at).Round(time.Millisecond))
	}
	if st.isGangPart() {
		fmt.Fprintf(&text, "; attempt %d is in stage %v", st.order.Attempt, st.order.Stage)
		if st.order.Stage == GangPrepare && st.notReady > 0 {
			fmt.Fprintf(&text, " and waits for the owner of partition %d", st.notReady-1)
		}
	}
	return text.String()
}
