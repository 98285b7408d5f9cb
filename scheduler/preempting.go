package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// minPreemptionGain is the minimum time by which a step must start sooner
	// for runs to be stopped for it. It covers the time to stop them and some
	// work that is done again.
	minPreemptionGain = time.Second
	// preemptionSlack is the time that a step must have to spare for its runs
	// to be stopped. It covers the stop, the wait for another worker and the
	// work that is done again.
	preemptionSlack = 2 * time.Second
	// spareWorkers is the maximum number of workers, those that will have
	// capacity first, that a call which renews expiring tickets also asks about.
	spareWorkers = 8
	// maxVictims limits the runs that are stopped on one worker, so that one
	// task does not undo the work of a whole data centre.
	maxVictims = 8
)

// preemption is a worker with the runs that can be stopped there to free
// capacity.
type preemption struct {
	worker  *worker
	victims []*run
	// capacity is the number of tasks that fit once the victims have ended.
	capacity int
	// lostShare is the size of the victims, as a share of the worker, and
	// protectedShare the same for those of organisations not above their share.
	lostShare, protectedShare float64
}

// preempt stops runs of less urgent queues to free capacity for n more tasks of
// the step: for as many as possible, or for all of a gang. Only runs that can be
// resumed are stopped. It returns the workers that will have capacity, or nil.
func (s *Scheduler) preempt(st *step, n int, p *pool, now time.Time) []*worker {
	var plans []preemption
	for _, w := range p.workers {
		if _, reserved := p.reservedUntil[w]; reserved || w.failureStreak >= setAsideAfter || !s.isCandidate(st, w, now) {
			continue
		}
		if plan := s.planPreemption(st, n, w, now); plan.capacity > 0 {
			plans = append(plans, plan)
		}
	}
	slices.SortStableFunc(plans, func(a, b preemption) int {
		return cmp.Or(
			cmp.Compare(a.protectedShare/float64(a.capacity), b.protectedShare/float64(b.capacity)),
			cmp.Compare(a.lostShare/float64(a.capacity), b.lostShare/float64(b.capacity)),
		)
	})
	missing := n
	var chosen []preemption
	for _, plan := range plans {
		if missing <= 0 {
			break
		}
		missing -= plan.capacity
		chosen = append(chosen, plan)
	}
	if missing > 0 && st.phase.Gang {
		return nil
	}
	var workers []*worker
	for _, plan := range chosen {
		for _, r := range plan.victims {
			s.addNote("run preempted by "+st.ref.String(), r.ref.Task, plan.worker.entry.Ref.ID, now.Sub(r.startedAt))
			s.stopRun(r, now, "yields to a more urgent task")
		}
		workers = append(workers, plan.worker)
	}
	return workers
}

// planPreemption selects the runs on a worker that would have to end for up to n
// tasks of the step to fit. It takes those of organisations above their share first,
// and the largest first, so that few are stopped.
func (s *Scheduler) planPreemption(st *step, n int, w *worker, now time.Time) preemption {
	size := taskSize(st.phase)
	maxTasksHere := n
	if st.phase.PerWorker > 0 {
		maxTasksHere = min(maxTasksHere, st.phase.PerWorker-st.runsOn(w))
	}
	freeCapacity := w.freeCapacity()
	var victims []*run
	for _, r := range sortedRuns(w) {
		switch {
		case r.state == runStopping:
			// Its capacity will soon be free.
			freeCapacity = freeCapacity.Add(r.size)
		case s.isPreemptible(r, st, now):
			victims = append(victims, r)
		}
	}
	slices.SortStableFunc(victims, func(a, b *run) int {
		return cmp.Compare(b.size.DominantShare(w.entry.Total), a.size.DominantShare(w.entry.Total))
	})
	bySize := s.selectVictims(size, maxTasksHere, w, freeCapacity, victims)
	if !slices.ContainsFunc(victims, s.isAboveShare) {
		return bySize
	}
	slices.SortStableFunc(victims, s.compareShares)
	byShare := s.selectVictims(size, maxTasksHere, w, freeCapacity, victims)
	if byShare.capacity < bySize.capacity {
		// The number of victims is limited, and those above their share are small.
		return bySize
	}
	return byShare
}

// selectVictims selects of the victims on a worker, in their order, those that would
// have to end for up to maxTasks tasks of the size to fit.
func (s *Scheduler) selectVictims(size sizer.Size, maxTasks int, w *worker, freeCapacity sizer.Size, victims []*run) preemption {
	plan := preemption{
		worker:   w,
		capacity: min(maxTasks, countFitting(size, freeCapacity)),
	}
	for _, r := range victims {
		if plan.capacity >= maxTasks || len(plan.victims) >= maxVictims {
			break
		}
		freeCapacity = freeCapacity.Add(r.size)
		plan.victims = append(plan.victims, r)
		plan.lostShare += r.size.DominantShare(w.entry.Total)
		if !s.isAboveShare(r) {
			plan.protectedShare += r.size.DominantShare(w.entry.Total)
		}
		plan.capacity = min(maxTasks, countFitting(size, freeCapacity))
	}
	return plan
}

// preemptForStarved stops runs of less urgent queues for the starved steps of
// the pool. Their tasks are small and fit many workers, so capacity is freed for
// their total size rather than on particular workers.
func (s *Scheduler) preemptForStarved(p *pool, now time.Time) {
	if len(p.starvedSteps) == 0 {
		return
	}
	var shortfall sizer.Size
	for _, st := range p.starvedSteps {
		shortfall = shortfall.Add(taskSize(st.phase).Times(int64(st.starvedTasks)))
	}
	var victims []*run
	for _, w := range p.workers {
		for _, r := range sortedRuns(w) {
			if r.state == runStopping {
				shortfall = shortfall.Sub(r.size)
			} else if s.isPreemptible(r, p.starvedSteps[0], now) {
				victims = append(victims, r)
			}
		}
	}
	slices.SortStableFunc(victims, func(a, b *run) int {
		return cmp.Or(s.compareShares(a, b), cmp.Compare(s.remainingTime(b, now), s.remainingTime(a, now)))
	})
	for _, r := range victims {
		if shortfall.MilliCores() <= 0 && shortfall.Bytes() <= 0 && shortfall.Accelerators() <= 0 {
			return
		}
		shortfall = shortfall.Sub(r.size)
		s.addNote("run preempted by "+p.starvedSteps[0].ref.String()+" and others", r.ref.Task, r.worker.entry.Ref.ID, now.Sub(r.startedAt))
		s.stopRun(r, now, "yields to more urgent tasks")
	}
}

// isPreemptible reports whether a run may be stopped for an urgent step: the run
// can be resumed, its queue is less urgent, and it will not end soon. Its step
// must also have preemptionSlack to spare, or be too late anyway.
func (s *Scheduler) isPreemptible(r *run, urgent *step, now time.Time) bool {
	if r.state != runWorking || r.lasting || r.gang {
		return false
	}
	st, t := s.findTask(r.ref.Task)
	if t == nil || !t.hasRun(r) || !st.phase.Checkpoints {
		return false
	}
	return st.job.record.Queue.Priority > urgent.job.record.Queue.Priority && s.remainingTime(r, now) > minPreemptionGain && (st.usefulness(now.Add(preemptionSlack)) == rankInTime || st.usefulness(now) == rankTooLate)
}

// maxLargeFit limits the size of tasks that count as large: at most maxLargeFit of
// them fit an empty worker. Other runs rarely leave capacity for a task of that size.
const maxLargeFit = 2

// reservesWorkers reports whether workers are reserved for the step's tasks.
// That is so for lasting tasks, on which callers depend all the time, and for
// large ones, which would otherwise hardly find a worker with enough capacity.
func (st *step) reservesWorkers() bool {
	return st.phase.Lasting || st.large
}

// vacancy is a worker that will have capacity for tasks of a step, with the
// time from which it has and the number of tasks.
type vacancy struct {
	worker   *worker
	freeAt   time.Time
	capacity int
}

// predictVacancies returns the workers that will have capacity for tasks of the
// step, sorted by the time from which they have. It leaves out workers that the
// adviser has not approved, that are reserved already, or on which the last
// setAsideAfter runs or more have failed.
func (s *Scheduler) predictVacancies(st *step, p *pool, now time.Time) []vacancy {
	var vacancies []vacancy
	for _, w := range p.workers {
		if _, reserved := p.reservedUntil[w]; reserved || w.failureStreak >= setAsideAfter || !s.isCandidate(st, w, now) {
			continue
		}
		if freeAt, capacity := s.predictCapacity(st, w, now); capacity > 0 {
			vacancies = append(vacancies, vacancy{
				worker:   w,
				freeAt:   freeAt,
				capacity: capacity,
			})
		}
	}
	slices.SortStableFunc(vacancies, func(a, b vacancy) int {
		return a.freeAt.Compare(b.freeAt)
	})
	return vacancies
}

// reserveForTasks reserves workers for the waiting tasks of a step, and preempts
// runs for the tasks for which no worker will be free soon. It renews tickets
// that would expire before they can be used.
func (s *Scheduler) reserveForTasks(st *step, p *pool, now time.Time) {
	missing := s.hold(st, s.startableTasks(st, st.adviceCost(st.waiting), now))
	if missing == 0 {
		return
	}
	vacancies := s.predictVacancies(st, p, now)
	soonCount := slices.IndexFunc(vacancies, func(v vacancy) bool { return v.freeAt.Sub(now) > minPreemptionGain })
	if soonCount < 0 {
		soonCount = len(vacancies)
	}
	// Of the workers that are free soon, those come first that can be used first, so
	// that a worker stays reserved while its ticket is being renewed.
	slices.SortStableFunc(vacancies[:soonCount], func(a, b vacancy) int {
		return s.usableAt(st, a, now).Compare(s.usableAt(st, b, now))
	})
	reserved := s.reserveVacancies(st, p, vacancies[:soonCount], &missing)
	if missing > 0 && (st.phase.Lasting || st.rank(now) == rankInTime) {
		stoppedAt := now.Add(s.options.stopTimeout)
		for _, w := range s.preempt(st, missing, p, now) {
			preempted := vacancy{
				worker:   w,
				freeAt:   stoppedAt,
				capacity: 1,
			}
			reserved = append(reserved, s.reserveVacancies(st, p, []vacancy{preempted}, &missing)...)
		}
	}
	reserved = append(reserved, s.reserveVacancies(st, p, vacancies[soonCount:], &missing)...)
	if st.job.record.Queue.Advice == nil {
		return
	}
	// Workers that have capacity now but were not reserved, because the limit of
	// reservations is reached, can still be used.
	for _, v := range vacancies[:soonCount] {
		_, taken := p.reservedUntil[v.worker]
		if missing <= 0 || v.freeAt.After(now) {
			break
		}
		if !taken {
			reserved = append(reserved, v)
			missing -= v.capacity
		}
	}
	var expiring []*worker
	for _, v := range reserved {
		if v.freeAt.Sub(now) < st.adviceCost(len(reserved)) && !s.hasValidTicket(st, v.worker, v.freeAt) {
			expiring = append(expiring, v.worker)
		}
	}
	if len(expiring) == 0 {
		return
	}
	for _, v := range vacancies[:min(soonCount, spareWorkers)] {
		// A reserved worker may be lost in the meantime, and the fixed cost of a
		// call is much higher than that of one more worker.
		if !slices.Contains(expiring, v.worker) {
			expiring = append(expiring, v.worker)
		}
	}
	s.callAdviser(st, expiring, now)
}

// usableAt returns the time at which a vacancy is free and the step probably has a
// ticket for its worker.
func (s *Scheduler) usableAt(st *step, v vacancy, now time.Time) time.Time {
	ticketAt := now
	named := slices.IndexFunc(st.adviceState.calls, func(call adviceCall) bool {
		return slices.Contains(call.workers, v.worker.entry.Ref.ID)
	})
	switch barring := s.barringCall(st, true, now); {
	case s.hasValidTicket(st, v.worker, v.freeAt):
	case named >= 0:
		ticketAt = st.adviceState.calls[named].answerDueAt
	case barring == nil:
		ticketAt = now.Add(st.adviceCost(1))
	default:
		ticketAt = barring.answerDueAt.Add(st.adviceCost(1))
	}
	if ticketAt.Before(v.freeAt) {
		return v.freeAt
	}
	return ticketAt
}

// reserveVacancies reserves workers for the step until there is capacity for all
// missing tasks or the limit of reservations is reached. It returns the vacancies that
// it reserved, and lowers missing by their capacity.
func (s *Scheduler) reserveVacancies(st *step, p *pool, vacancies []vacancy, missing *int) []vacancy {
	var reserved []vacancy
	for _, v := range vacancies {
		if *missing <= 0 || float64(len(p.reservedUntil)) > maxReservedShare*float64(len(p.workers)) {
			break
		}
		if _, taken := p.reservedUntil[v.worker]; taken {
			continue
		}
		s.reserve(st, p, []*worker{v.worker}, v.freeAt)
		reserved = append(reserved, v)
		*missing -= v.capacity
	}
	return reserved
}

// isCandidate reports whether the step could start on the worker if its ticket
// were valid.
func (s *Scheduler) isCandidate(st *step, w *worker, _ time.Time) bool {
	return meetsRequirements(st, w) && s.isApproved(st, w)
}

// isApproved reports whether the step needs no advice or the adviser has approved
// the worker, whether or not the ticket is still valid.
func (s *Scheduler) isApproved(st *step, w *worker) bool {
	_, found := st.adviceState.tickets[w.entry.Ref.ID]
	return found || st.job.record.Queue.Advice == nil
}
