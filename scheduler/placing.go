package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// ticketMargin is the time before its expiry from which a ticket is no
	// longer used, for the delivery of the start.
	ticketMargin = 150 * time.Millisecond
	// gangRetryDelay is the time that a gang waits after one of its members was
	// lost, such as by a refused start.
	gangRetryDelay = 50 * time.Millisecond
	// slownessThreshold is the slowness above which other workers are
	// preferred. The tasks of a step differ by less.
	slownessThreshold = 1.6
	// headroomShare is the share of a service's processors that long runs leave
	// to more urgent queues. It serves the beginning of a burst, which doubles the
	// load of these queues within seconds, since a run that is preempted takes
	// about one second to end.
	headroomShare = 0.15
	// unstoredPenalty is added to the score of a worker on which a run cannot be started
	// before a write that is overdue, and avoidPenalty to that of one that the task avoids.
	unstoredPenalty = 50
	avoidPenalty    = 100
	// maxReservedShare limits the share of a service's workers that are
	// reserved.
	maxReservedShare = 0.5
)

// pool holds the available workers of a service during one Tick.
type pool struct {
	workers []*worker
	// freeCapacity is the free capacity of all workers, less the capacity that is
	// reserved or about to be taken by steps that were placed earlier in the tick.
	freeCapacity sizer.Size
	// spareMilliCores is the number of thousandths of a core that are left for
	// steps that leave headroom.
	spareMilliCores int64
	// topPriority is the priority of the most urgent queue of the service.
	topPriority int
	// reservedUntil holds the workers that are reserved for a step, and the
	// time at which that step can probably start there. reservedFor holds the
	// step, with the same keys.
	reservedUntil map[*worker]time.Time
	reservedFor   map[*worker]*step
	// starvedSteps lists the steps for which no worker has capacity, in the
	// order of rank.
	starvedSteps []*step
	// preemptible holds, by priority, the total size of the runs that may be stopped for
	// a step of that priority, where it was computed.
	preemptible map[int]sizer.Size
	// trials holds the crashes for which suspects are tried, and maxTrials the limit of
	// their number. trials is nil until it is needed.
	trials    map[crashKey]bool
	maxTrials int
	// maxCapacity is the maximum of each resource that a worker of the service
	// has.
	maxCapacity sizer.Size
}

// pools groups the available workers by service.
func (s *Scheduler) pools(now time.Time) map[string]*pool {
	pools := make(map[string]*pool)
	for _, w := range s.workers {
		if !s.available(w, now) || s.storedAsSilent(w.entry.Ref.ID) {
			continue
		}
		p := pools[w.entry.Service]
		if p == nil {
			p = &pool{
				reservedUntil: make(map[*worker]time.Time),
				reservedFor:   make(map[*worker]*step),
			}
			pools[w.entry.Service] = p
		}
		p.workers = append(p.workers, w)
		p.maxCapacity = p.maxCapacity.Max(w.entry.Total)
		p.freeCapacity = p.freeCapacity.Add(w.freeCapacity().Max(sizer.Size{}))
		p.spareMilliCores -= int64(headroomShare * float64(w.entry.Total.MilliCores()))
	}
	for service, p := range pools {
		p.spareMilliCores += p.freeCapacity.MilliCores()
		p.topPriority = math.MaxInt
		for _, q := range s.queues {
			if q.service == service {
				p.topPriority = min(p.topPriority, q.priority)
			}
		}
		slices.SortFunc(p.workers, func(a, b *worker) int {
			if a.entry.Ref.ID < b.entry.Ref.ID {
				return -1
			}
			return 1
		})
	}
	return pools
}

// classifySize sets whether the step's tasks are large for the workers of the
// pool.
func (p *pool) classifySize(st *step) {
	st.large = countFitting(taskSize(st.phase), p.maxCapacity) <= maxLargeFit
}

// available reports whether new runs may be started on the worker.
func (s *Scheduler) available(w *worker, now time.Time) bool {
	return w.listed && w.reported && w.recorded && !w.entry.Leaving && w.silentSince.IsZero() &&
		s.age(w.lastReportAt, now) < maxReportAge && !now.Before(w.setAsideUntil) && !w.leaseWithheld
}

// placeSteps starts the waiting tasks that can start, in the order of their
// steps' rank. It then preempts, moves and copies runs, and asks for advice ahead.
func (s *Scheduler) placeSteps(now time.Time) {
	pools := s.pools(now)
	s.moveToStoredWorkers(pools, now)
	s.restartRefused(pools, now)
	clear(s.endsByWorker)
	clear(s.waits)
	s.blockedSteps = s.blockedSteps[:0]
	s.crowdedSteps = s.crowdedSteps[:0]
	for _, st := range s.startableSteps(now) {
		p := pools[st.job.record.Queue.Service]
		if p == nil {
			// No worker of this owner is available.
			s.explain(st, &pool{}, now)
			s.handleShortage(st, &pool{}, now)
			continue
		}
		effects := len(s.effects)
		p.classifySize(st)
		if st.phase.Gang {
			s.placeGang(st, p, now)
		} else {
			s.placeTasks(st, p, now)
		}
		if len(s.effects) > effects {
			// Runs may have been stopped.
			clear(s.endsByWorker)
		}
		if st.waiting > 0 {
			s.recordWait(st, p, now)
			s.explain(st, p, now)
			s.handleShortage(st, p, now)
		}
	}
	s.recordSpare(pools)
	s.grantCrowded(now)
	for _, p := range pools {
		s.preemptForStarved(p, now)
	}
	s.moveOffLeavingWorkers(pools, now)
	s.copySlowRuns(pools, now)
	// Runs may have been started and stopped.
	clear(s.endsByWorker)
	s.askForBlocked(pools, now)
	s.askAhead(pools, now)
}

// recordSpare records what is left for other owners once all steps have been placed.
func (s *Scheduler) recordSpare(pools map[string]*pool) {
	clear(s.reserved)
	clear(s.spare)
	clear(s.spareLong)
	for service, p := range pools {
		if p.lends() {
			s.spare[service] = p.freeCapacity
		}
		s.spareLong[service] = p.spareMilliCores
		for w := range p.reservedUntil {
			s.reserved[w] = true
		}
	}
}

// minLentShare is the share of a shard's processors that must be free before it takes tasks of others.
// A shard that is fuller needs them for its own next arrivals, and a service that is under half in use
// has one that is not.
const minLentShare = 0.25

// lends reports whether the workers of the pool take tasks of other owners' jobs.
func (p *pool) lends() bool {
	var total int64
	for _, w := range p.workers {
		total += w.entry.Total.MilliCores()
	}
	return float64(p.freeCapacity.MilliCores()) >= minLentShare*float64(total)
}

// placeTasks starts the waiting tasks of a step, independently of each other.
func (s *Scheduler) placeTasks(st *step, p *pool, now time.Time) {
	allowed := s.allowedStarts(st)
	for i := range st.tasks {
		if allowed <= 0 {
			break
		}
		t := &st.tasks[i]
		if !t.waits() || s.taskAwaitsRecovery(t) {
			continue
		}
		if st.leavesHeadroom(p, now) && p.spareMilliCores < taskSize(st.phase).MilliCores() {
			// The step waits for more capacity, or until it can wait no longer.
			return
		}
		w := s.chooseWorker(st, t, p, now)
		if w == nil {
			// The tasks of a step are similar, so there is no worker for its next
			// tasks either, unless this task avoids workers or is a suspect.
			if len(t.avoidWorkers) == 0 && !t.suspected() {
				break
			}
			continue
		}
		s.startRun(st, i, w, s.newAttempt(), now)
		if t.suspected() {
			p.trials[st.trialGroup(t)] = true
		}
		delete(s.endsByWorker, w)
		p.spareMilliCores -= taskSize(st.phase).MilliCores()
		allowed--
	}
	// Otherwise the maximum of the organisation allows no more, or all waiting tasks are
	// suspects.
	if allowed > 0 && !s.awaitsTrial(st, p, now) {
		s.prepareTasks(st, p, now)
	}
}

// prepareTasks reserves workers and asks for advice for the tasks of a step that could not
// start, or has runs preempted for them.
func (s *Scheduler) prepareTasks(st *step, p *pool, now time.Time) {
	if st.waiting > 0 && st.reservesWorkers() {
		s.reserveForTasks(st, p, now)
	}
	if st.waiting > 0 && st.job.record.Queue.Advice != nil {
		s.requestAdvice(st, p, now)
	}
	if st.waiting > 0 && len(st.adviceState.calls) == 0 && !st.reservesWorkers() && st.rank(now) == rankInTime && !s.fitsSomewhere(st, p, now) && s.holdStarved(st) {
		p.starvedSteps = append(p.starvedSteps, st)
	}
	if len(st.adviceState.calls) > 0 {
		// The step will soon take this capacity. For a step that waits for
		// particular workers, expectedTasks is 0, so nothing is subtracted and
		// lower-ranked steps can use the capacity.
		p.freeCapacity = p.freeCapacity.Sub(taskSize(st.phase).Times(int64(s.hold(st, min(st.waiting, st.adviceState.expectedTasks)))))
	}
}

// holdStarved sets the number of tasks for which runs may be preempted for a starved
// step, and reports whether there are any.
func (s *Scheduler) holdStarved(st *step) bool {
	st.starvedTasks = s.hold(st, st.waiting)
	return st.starvedTasks > 0
}

// leavesHeadroom reports whether the step's tasks would be preempted by a more
// urgent queue, and have time to wait instead.
func (st *step) leavesHeadroom(p *pool, now time.Time) bool {
	return st.phase.Checkpoints && !st.reservesWorkers() && st.job.record.Queue.Priority > p.topPriority &&
		st.latestStart().Sub(now) > preemptionSlack
}

// fitsSomewhere reports whether a worker may have capacity for a task of the
// step, besides that which the steps placed before are about to take.
func (s *Scheduler) fitsSomewhere(st *step, p *pool, now time.Time) bool {
	return taskSize(st.phase).Fits(p.freeCapacity) && slices.ContainsFunc(p.workers, func(w *worker) bool {
		return meetsRequirements(st, w) && s.fitsOn(st, w, p, now)
	})
}

// chooseWorker returns the best worker for a task, or nil if none is possible.
func (s *Scheduler) chooseWorker(st *step, t *task, p *pool, now time.Time) *worker {
	var best *worker
	var bestScore float64
	size := taskSize(st.phase)
	trial := t.suspected()
	if trial && !s.mayTry(st, t, p, now) {
		return nil
	}
	for _, w := range p.workers {
		if trial && !s.mayTryOn(w, now) {
			continue
		}
		if !size.Fits(w.freeCapacity()) || !s.mayStartOn(st, w, now) || !s.fitsOn(st, w, p, now) {
			continue
		}
		score := s.score(st, w)
		if s.storeStalled && st.tracksPlacements && !slices.Contains(t.storedWorkers, w.entry.Ref.ID) {
			// The start waits for a write. The next one can store it, so the task need not
			// wait until the store is no longer stalled.
			score += unstoredPenalty
		}
		if slices.Contains(t.avoidWorkers, w.entry.Ref.ID) {
			score += avoidPenalty
		}
		if trial {
			score += w.stake()
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// mayStartOn reports whether the step may start tasks on the worker now: the
// worker meets its requirements, and there is a valid ticket if one is needed.
// While the store is stalled, only workers that are stored for the job qualify, unless
// the placements of the step's tasks are stored one by one.
func (s *Scheduler) mayStartOn(st *step, w *worker, now time.Time) bool {
	if !meetsRequirements(st, w) || s.storeStalled && !st.tracksPlacements && !st.job.storedWorkers[w.entry.Ref.ID] {
		return false
	}
	return s.hasValidTicket(st, w, now)
}

// hasValidTicket reports whether the step needs no ticket for the worker or has
// one that is valid at the given time.
func (s *Scheduler) hasValidTicket(st *step, w *worker, now time.Time) bool {
	if st.job.record.Queue.Advice == nil {
		return true
	}
	granted, found := st.adviceState.tickets[w.entry.Ref.ID]
	return found && now.Before(granted.expiresAt) && granted.startedAt.Equal(w.startedAt)
}

// meetsRequirements reports whether the worker could run tasks of the step if it
// were empty.
func meetsRequirements(st *step, w *worker) bool {
	if !hasRequiredLabel(st, w) {
		return false
	}
	if !taskSize(st.phase).Fits(w.entry.Total) {
		return false
	}
	// Best-effort tasks disturb tasks with a response time target, by amounts
	// that are not known beforehand, so the two never share a worker.
	if st.phase.Fills && w.servingRuns > 0 {
		return false
	}
	return !st.servesRequests() || w.fillingRuns == 0
}

// hasRequiredLabel reports whether the worker has the label that the step's tasks require, if any.
func hasRequiredLabel(st *step, w *worker) bool {
	return st.phase.Requires == "" || slices.Contains(w.entry.Labels, st.phase.Requires)
}

func (st *step) servesRequests() bool {
	return st.phase.Lasting && st.phase.TailTarget > 0
}

// fitsOn reports whether a task of the step fits the worker now.
func (s *Scheduler) fitsOn(st *step, w *worker, p *pool, now time.Time) bool {
	return s.capacityFor(st, w, p, now) > 0
}

// capacityFor returns the number of the step's tasks that fit the worker now. On
// a worker that is reserved, they must end before the reservation does.
func (s *Scheduler) capacityFor(st *step, w *worker, p *pool, now time.Time) int {
	if until, reserved := p.reservedUntil[w]; reserved {
		runTime := time.Duration(float64(st.phase.Estimate) * s.stats(st.job.record.Queue.Name).runTimeFactor * w.slowness)
		if st.phase.Lasting || now.Add(runTime).After(until) {
			return 0
		}
	}
	if s.hasTrial(w, now) {
		return 0
	}
	n := countFitting(taskSize(st.phase), w.freeCapacity())
	if st.phase.PerWorker > 0 {
		n = min(n, st.phase.PerWorker-st.runsOn(w))
	}
	if w.failureStreak >= setAsideAfter && s.hasTriedRun(w, now) {
		// A worker on which all recent runs failed is tried with one run at a time.
		return 0
	}
	if w.failureStreak >= setAsideAfter {
		n = min(n, 1)
	}
	return n
}

// hasTriedRun reports whether the worker has a run by whose end it is seen whether it works. One that
// lasts has no such end, so it counts only until the worker has had it for settledAfter.
func (s *Scheduler) hasTriedRun(w *worker, now time.Time) bool {
	for _, r := range w.runs {
		if !r.refused && (!r.lasting || !s.outlived(r, settledAfter, now)) {
			return true
		}
	}
	return false
}

// runsOn returns the number of runs of the step on the worker.
func (st *step) runsOn(w *worker) int {
	n := 0
	for ref := range w.runs {
		if ref.Task.Step == st.ref {
			n++
		}
	}
	return n
}

// countFitting returns how many times the size fits the capacity, at most
// maxTasksPerPhase, which is as many as a step can use.
func countFitting(size, capacity sizer.Size) int {
	n := int64(maxTasksPerPhase)
	if size.MilliCores() > 0 {
		n = min(n, capacity.MilliCores()/size.MilliCores())
	}
	if size.Bytes() > 0 {
		n = min(n, capacity.Bytes()/size.Bytes())
	}
	if size.Accelerators() > 0 {
		n = min(n, capacity.Accelerators()/size.Accelerators())
	}
	if capacity.IsNegative() {
		return 0
	}
	return int(max(0, n))
}

// score rates a worker for a step, lowest being best: by the time that a task
// takes there, then by how little capacity is left over, so that whole workers
// stay free for large tasks.
func (s *Scheduler) score(st *step, w *worker) float64 {
	factor := 1.0
	if w.slowness > slownessThreshold {
		factor = w.slowness
	}
	if st.phase.DataRack != "" && st.phase.DataRack != w.entry.Rack {
		factor *= s.options.remoteFactor
	}
	leftover := w.freeCapacity().Sub(taskSize(st.phase)).DominantShare(w.entry.Total)
	if w.entry.Total.Accelerators() > 0 && st.phase.Size.Accelerators() > 0 {
		leftover = float64(w.freeCapacity().Accelerators()-st.phase.Size.Accelerators()) / float64(w.entry.Total.Accelerators())
	}
	return 4*factor + leftover
}

// remainingTime estimates how much longer a run will take. A lasting run does not
// end by itself, so a long time is returned for it: the retention of final states.
func (s *Scheduler) remainingTime(r *run, now time.Time) time.Duration {
	if r.lasting {
		return s.options.retention
	}
	if r.state == runStopping {
		return max(0, s.options.stopTimeout-now.Sub(r.stopSentAt))
	}
	elapsed := now.Sub(r.startedAt)
	const minPercent = 5
	if r.percent >= minPercent {
		total := time.Duration(float64(r.progressAt.Sub(r.startedAt)) * 100 / float64(r.percent))
		return max(0, total-elapsed)
	}
	return max(0, r.estimate-elapsed)
}
