package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// placeGang starts all tasks of a gang, or none. If it cannot start now, workers
// are reserved for it and the adviser is asked.
func (s *Scheduler) placeGang(st *step, p *pool, now time.Time) {
	if st.isGangPart() {
		s.placeGangPart(st, p, now)
		return
	}
	refused := st.refusedMembers()
	if st.waiting+len(refused) < len(st.tasks) {
		s.stopIncompleteGang(st, now)
		return
	}
	st.incompleteSince = time.Time{}
	if slices.ContainsFunc(refused, func(t *task) bool { return !s.mayReplace(st, t, p, now) }) {
		return
	}
	s.startGang(st, p, s.newAttempt, now)
}

// startGang starts all members of a gang that belong to this owner, or reserves workers for
// them. attempt returns the attempt if they are started.
func (s *Scheduler) startGang(st *step, p *pool, attempt func() int64, now time.Time) {
	if s.allowedStarts(st) == 0 || st.suspected() && !s.mayTry(st, &st.tasks[0], p, now) {
		return
	}
	// Each worker on which the gang may start now is a candidate too.
	if candidates := s.chooseGangWorkers(st, p, now, s.isCandidate); candidates != nil {
		chosen := s.chooseGangWorkers(st, p, now, s.mayStartOn)
		if chosen == nil && s.hold(st, st.members()) == 0 {
			return
		}
		if chosen == nil {
			// There is free capacity, but tickets have expired.
			s.callAdviser(st, distinctWorkers(candidates), now)
			s.reserve(st, p, distinctWorkers(candidates), now.Add(st.adviceCost(len(candidates))))
			return
		}
		st.gangAttempt = attempt()
		for i := range st.tasks {
			switch t := &st.tasks[i]; {
			case t.elsewhere:
			case t.run != nil:
				s.replaceRefused(st, t, st.gangAttempt, now)
			default:
				s.startRun(st, i, chosen[0], st.gangAttempt, now)
				delete(s.endsByWorker, chosen[0])
				chosen = chosen[1:]
			}
		}
		if st.suspected() {
			p.trials[st.trialGroup(&st.tasks[0])] = true
		}
		return
	}
	if s.hold(st, st.members()) == 0 {
		return
	}
	s.reserveForGang(st, p, now)
	if st.job.record.Queue.Advice != nil {
		s.requestAdvice(st, p, now)
	}
}

// incompleteGangTimeout is the time for which a gang may be incomplete. Members
// that were told to stop do so within a second.
const incompleteGangTimeout = 1500 * time.Millisecond

// stopIncompleteGang stops the running members of a gang of which some members
// have had no run for incompleteGangTimeout. A new owner may find such a gang if
// members ended before its takeover.
func (s *Scheduler) stopIncompleteGang(st *step, now time.Time) {
	if st.incompleteSince.IsZero() {
		st.incompleteSince = now
	}
	if now.Sub(st.incompleteSince) > incompleteGangTimeout {
		st.incompleteSince = now
		s.stopGang(st, "members are missing", now)
	}
}

// chooseGangWorkers returns a worker for each task of the gang without a run that was
// refused, or nil if the eligible workers have too little free capacity. For a rack-local
// phase it prefers workers on one rack.
func (s *Scheduler) chooseGangWorkers(st *step, p *pool, now time.Time, eligible func(*step, *worker, time.Time) bool) []*worker {
	var candidates []workerCapacity
	members := st.members() - len(st.refusedMembers())
	size := taskSize(st.phase)
	trial := st.suspected()
	for _, w := range p.workers {
		if !size.Fits(w.freeCapacity()) || !eligible(st, w, now) || trial && !s.mayTryOn(w, now) {
			continue
		}
		if capacity := s.capacityFor(st, w, p, now); capacity > 0 {
			candidates = append(candidates, workerCapacity{
				worker:   w,
				capacity: capacity,
				score:    s.score(st, w),
			})
		}
	}
	slices.SortStableFunc(candidates, func(a, b workerCapacity) int {
		return cmp.Compare(a.score, b.score)
	})
	if st.phase.RackLocal {
		for _, c := range candidates {
			if chosen := pickWorkers(candidates, c.worker.entry.Rack, members); chosen != nil {
				return chosen
			}
		}
	}
	return pickWorkers(candidates, "", members)
}

// workerCapacity is a worker with the number of tasks of a gang that fit it.
type workerCapacity struct {
	worker   *worker
	capacity int
	score    float64
}

// pickWorkers returns the first candidates with capacity for n tasks together,
// each once per task, all on the given rack unless it is empty. It returns nil
// if their capacity is too small.
func pickWorkers(candidates []workerCapacity, rack string, n int) []*worker {
	var chosen []*worker
	for _, c := range candidates {
		if rack != "" && c.worker.entry.Rack != rack {
			continue
		}
		for range min(c.capacity, n-len(chosen)) {
			chosen = append(chosen, c.worker)
		}
	}
	if len(chosen) < n {
		return nil
	}
	return chosen
}

// reserveForGang reserves the workers on which the gang can start first. If that
// would take too long and the gang can still be done in time, it preempts runs.
func (s *Scheduler) reserveForGang(st *step, p *pool, now time.Time) {
	inTime := st.rank(now) == rankInTime
	if !inTime && p.reservationsLeft() <= 0 {
		return
	}
	expected := s.predictVacancies(st, p, now)
	var reserved []*worker
	var completeAt time.Time
	missing := st.members()
	for _, v := range expected {
		if missing <= 0 {
			break
		}
		missing -= v.capacity
		reserved = append(reserved, v.worker)
		completeAt = v.freeAt
	}
	if inTime && (missing > 0 || completeAt.Sub(now) > minPreemptionGain) {
		if preempted := s.preempt(st, st.members(), p, now); preempted != nil {
			s.reserve(st, p, preempted, now.Add(s.options.stopTimeout))
			if !s.allHaveTickets(st, preempted, now.Add(s.options.stopTimeout)) {
				s.callAdviser(st, preempted, now)
			}
			return
		}
	}
	if missing > 0 || len(reserved) > p.reservationsLeft() {
		return
	}
	s.reserve(st, p, reserved, completeAt)
	if st.job.record.Queue.Advice != nil && completeAt.Sub(now) < st.adviceCost(len(reserved)) && !s.allHaveTickets(st, reserved, completeAt) {
		s.callAdviser(st, reserved, now)
	}
}

// reservationsLeft returns how many more workers may be reserved for a gang.
func (p *pool) reservationsLeft() int {
	return int(maxReservedShare*float64(len(p.workers))+1) - len(p.reservedUntil)
}

// allHaveTickets reports whether the step's tickets for all workers are valid at
// the given time.
func (s *Scheduler) allHaveTickets(st *step, workers []*worker, at time.Time) bool {
	return !slices.ContainsFunc(workers, func(w *worker) bool { return !s.hasValidTicket(st, w, at) })
}

// predictCapacity returns the time at which the worker will probably have
// capacity for tasks of the step, and for how many.
func (s *Scheduler) predictCapacity(st *step, w *worker, now time.Time) (time.Time, int) {
	size := taskSize(st.phase)
	maxTasksHere := countFitting(size, w.entry.Total)
	if st.phase.PerWorker > 0 {
		maxTasksHere = min(maxTasksHere, st.phase.PerWorker-st.runsOn(w))
	}
	wanted := min(maxTasksHere, st.members())
	if wanted <= 0 {
		return now, 0
	}
	freeCapacity := w.freeCapacity()
	if countFitting(size, freeCapacity) >= wanted {
		return now, wanted
	}
	freeAt := now
	for _, e := range s.expectedEnds(w, now) {
		if countFitting(size, freeCapacity) >= wanted || e.run.lasting {
			break
		}
		freeCapacity = freeCapacity.Add(e.run.size)
		freeAt = now.Add(e.remaining)
	}
	return freeAt, min(wanted, countFitting(size, freeCapacity))
}

// expectedEnd is a run with the time that it will probably still take.
type expectedEnd struct {
	run       *run
	remaining time.Duration
}

// expectedEnds returns the runs on a worker in the order in which they will probably
// end.
func (s *Scheduler) expectedEnds(w *worker, now time.Time) []expectedEnd {
	if ends, found := s.endsByWorker[w]; found {
		return ends
	}
	ends := make([]expectedEnd, 0, len(w.runs))
	for _, r := range w.runs {
		ends = append(ends, expectedEnd{
			run:       r,
			remaining: s.remainingTime(r, now),
		})
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int {
		if c := cmp.Compare(a.remaining, b.remaining); c != 0 {
			return c
		}
		return compareTasks(a.run.ref.Task, b.run.ref.Task)
	})
	s.endsByWorker[w] = ends
	return ends
}

// reserve reserves the workers for the step until the given time. Their free capacity no
// longer counts as free in the pool for steps that are placed later in the tick.
func (s *Scheduler) reserve(st *step, p *pool, workers []*worker, until time.Time) {
	for _, w := range workers {
		p.reservedUntil[w] = until
		p.reservedFor[w] = st
		p.freeCapacity = p.freeCapacity.Sub(w.freeCapacity().Max(sizer.Size{}))
	}
}

// stopGang stops the members of a gang of which one has ended. The gang is
// placed again once all have ended. Stops that have had no effect are repeated elsewhere.
func (s *Scheduler) stopGang(st *step, reason string, now time.Time) {
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && !r.stopPending() {
			s.stopRun(r, now, "gang broken: "+reason)
		}
	}
}

func distinctWorkers(workers []*worker) []*worker {
	var distinct []*worker
	for _, w := range workers {
		if !slices.Contains(distinct, w) {
			distinct = append(distinct, w)
		}
	}
	return distinct
}
