package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// MaxQuickCallDuration is the maximum duration of a call to the adviser that counts as
// quick. Quick and long calls have separate limits, so that quick calls, on
// which callers wait, are never queued behind long ones.
const MaxQuickCallDuration = 60 * time.Millisecond

const (
	// maxAskedWorkers limits the workers that one call asks about. The adviser
	// accepts 100.
	maxAskedWorkers = 100
	// maxAskedWorkersIndependent limits the workers that one call asks about for
	// a step whose tasks run independently.
	maxAskedWorkersIndependent = 24
	// adviceRetryDelay is the time that a step waits after a call that failed.
	adviceRetryDelay = 50 * time.Millisecond
	// approvalWeight is the weight of one call in the moving average of a
	// queue's approval rate.
	approvalWeight = 0.1
	// overaskFactor is the capacity that a call asks about, as a multiple of
	// what is needed, because other steps take some of that capacity in the
	// meantime.
	overaskFactor = 1.5
	// adviceOverdueAfter is the time after which an expected answer counts as overdue. It
	// allows for a short wait behind the calls of other owners.
	adviceOverdueAfter = 500 * time.Millisecond
	// maxCallsPerStep limits the calls in flight of one step.
	maxCallsPerStep = 3
	// adviceDelivery is the time to deliver a call and its answer. It is added to
	// the cost of a call.
	adviceDelivery = 20 * time.Millisecond
)

// Approval is the adviser's permission to run a step on a worker.
type Approval struct {
	WorkerID string
	Ticket   string
}

// adviceCost returns the time that a call about n workers takes, including its
// delivery.
func (st *step) adviceCost(n int) time.Duration {
	if st.job.record.Queue.Advice == nil {
		return 0
	}
	return st.job.record.Queue.Advice.Cost(n) + adviceDelivery
}

// requestAdvice calls the adviser about workers that could run the step's
// waiting tasks, unless a call that bars it is in flight or one has just failed.
func (s *Scheduler) requestAdvice(st *step, p *pool, now time.Time) {
	if !s.mayCall(st, false, now) {
		return
	}
	tasks := min(st.waiting, s.allowedToAsk(st))
	if tasks == 0 && st.waiting > 0 {
		// The maximum of the organisation allows no start. Tasks may start once others
		// have ended, but no other step may wait for this call.
		if !s.hasSpareCalls(true) || !s.hasSpareCalls(false) {
			return
		}
		tasks = min(st.waiting, s.blockedTasksAhead(st))
	}
	if st.phase.Gang || st.reservesWorkers() {
		// These steps need many workers or whole ones. Workers are reserved for
		// them while still busy, so the advice is needed before they are free.
		if unaskedWorkers := s.unaskedWorkers(st, p); len(unaskedWorkers) > 0 && !s.hasEnoughApproved(st, p, now) {
			s.callAdviser(st, unaskedWorkers, now)
		}
		return
	}
	if !taskSize(st.phase).Fits(p.freeCapacity) {
		return
	}
	workers, expectedTasks := s.selectWorkersToAsk(st, p, tasks, now)
	if len(workers) == 0 {
		return
	}
	if len(st.adviceState.askedWorkers) == 0 && st.adviceCost(1) > MaxQuickCallDuration {
		// A call has a high fixed cost, so one call covers all workers.
		workers = s.unaskedWorkers(st, p)
	}
	s.callAdviser(st, workers, now)
	st.adviceState.expectedTasks = expectedTasks
}

// approvedFactor is the capacity on approved workers, as a multiple of what a lasting
// step needs, above which the adviser is not asked about further workers. A call about
// them would delay the one for tickets.
const approvedFactor = 2

// hasEnoughApproved reports whether approved workers can probably take the waiting
// tasks of a lasting step.
func (s *Scheduler) hasEnoughApproved(st *step, p *pool, now time.Time) bool {
	if !st.phase.Lasting || st.phase.Gang {
		return false
	}
	capacity := 0
	for _, v := range s.predictVacancies(st, p, now) {
		capacity += v.capacity
	}
	return capacity >= approvedFactor*min(st.waiting, max(1, s.allowedStarts(st)))
}

// unaskedWorkers returns the workers that meet the step's requirements and about
// which the adviser was not asked.
func (s *Scheduler) unaskedWorkers(st *step, p *pool) []*worker {
	var workers []*worker
	for _, w := range p.workers {
		if meetsRequirements(st, w) && !st.adviceState.askedWorkers[w.entry.Ref.ID] {
			workers = append(workers, w)
		}
	}
	return workers
}

// selectWorkersToAsk returns enough workers with free capacity for the given
// number of the step's tasks, first those that were approved before. It also
// returns the number of tasks for which they will probably have capacity, by
// the approval rate of the queue.
func (s *Scheduler) selectWorkersToAsk(st *step, p *pool, tasks int, now time.Time) (workers []*worker, expectedTasks int) {
	type candidate struct {
		worker   *worker
		approved bool
		capacity int
		score    float64
	}
	var candidates []candidate
	for _, w := range p.workers {
		_, approved := st.adviceState.tickets[w.entry.Ref.ID]
		if !meetsRequirements(st, w) || st.adviceState.askedWorkers[w.entry.Ref.ID] && !approved || s.mayStartOn(st, w, now) {
			continue
		}
		if capacity := s.capacityFor(st, w, p, now); capacity > 0 {
			candidates = append(candidates, candidate{
				worker:   w,
				approved: approved,
				capacity: min(capacity, tasks),
				score:    s.score(st, w),
			})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if a.approved != b.approved {
			if a.approved {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.score, b.score)
	})
	share := s.stats(st.job.record.Queue.Name).approvalRate
	needed := overaskFactor * float64(tasks)
	expected := 0.0
	for _, c := range candidates {
		if expected >= needed || len(workers) >= maxAskedWorkersIndependent {
			break
		}
		if c.approved {
			expected += float64(c.capacity)
		} else {
			expected += share * float64(c.capacity)
		}
		workers = append(workers, c.worker)
	}
	return workers, int(math.Ceil(expected))
}

// barringCall returns a call in flight that must be answered before another one is made for
// the step, or nil if there is none.
func (s *Scheduler) barringCall(st *step, renewal bool, now time.Time) *adviceCall {
	for i := range st.adviceState.calls {
		call := &st.adviceState.calls[i]
		if !s.mayPass(st, call, renewal, now) {
			return call
		}
	}
	return nil
}

// mayPass reports whether another call may be made for the step before this one is answered.
// Callers depend on lasting tasks all the time, and there are few of them. Other steps only
// use calls that are spare, as they are many and the adviser may be overloaded.
func (s *Scheduler) mayPass(st *step, call *adviceCall, renewal bool, now time.Time) bool {
	// The entry that makes an overdue call may have lost touch with the adviser, and the
	// next call is made through another one. A call about further workers may take
	// several times as long as the renewal of the tickets for approved ones.
	passable := now.Sub(call.answerDueAt) > adviceOverdueAfter || renewal && !call.renewal
	return passable && (st.phase.Lasting || s.hasSpareCalls(call.quick))
}

// mayCall reports whether a call to the adviser may be made for the step: none that bars it
// is in flight, and none has just failed.
func (s *Scheduler) mayCall(st *step, renewal bool, now time.Time) bool {
	return s.barringCall(st, renewal, now) == nil && len(st.adviceState.calls) < maxCallsPerStep && !now.Before(st.adviceState.retryAt)
}

// callAdviser calls the adviser about these workers, unless a call that bars it is in flight
// or one has just failed. At the limit of calls it records that the call is denied. Steps
// that reserve workers wait until the workers of a former owner have had the time to report.
func (s *Scheduler) callAdviser(st *step, workers []*worker, now time.Time) {
	if st.job.record.Queue.Advice == nil || len(workers) == 0 {
		return
	}
	purpose := st.callPurpose(workers)
	if !s.mayCall(st, purpose == AskRenewal, now) || s.reportsAwaited && (st.phase.Gang || st.reservesWorkers()) {
		return
	}
	if len(workers) > maxAskedWorkers {
		workers = st.sortByTicket(workers)[:maxAskedWorkers]
	}
	cost := st.job.record.Queue.Advice.Cost(len(workers))
	if s.adviceInFlight[cost <= MaxQuickCallDuration] >= s.adviceLimits[cost <= MaxQuickCallDuration] {
		// The call is made once another one has ended, about the workers that
		// have free capacity by then.
		if st.adviceState.deniedDuration(now) == 0 {
			st.adviceState.deniedSince = now
		}
		st.adviceState.deniedSeenAt = now
		return
	}
	st.adviceState.deniedSeenAt = time.Time{}
	st.adviceState.callCount++
	st.adviceState.expectedTasks = 0
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.entry.Ref.ID
	}
	call := adviceCall{
		workers:     ids,
		renewal:     purpose == AskRenewal,
		quick:       cost <= MaxQuickCallDuration,
		calledAt:    now,
		answerDueAt: now.Add(cost + adviceDelivery),
	}
	st.adviceState.calls = append(st.adviceState.calls, call)
	s.adviceInFlight[call.quick]++
	s.emit(AskAdvice{
		Step:    st.ref,
		Workers: ids,
		Cost:    cost,
		Purpose: purpose,
	})
}

// sortByTicket returns the workers in the order in which the step's tickets for them expire,
// first those without one. Calls that cannot name all of them thus take turns.
func (st *step) sortByTicket(workers []*worker) []*worker {
	return slices.SortedStableFunc(slices.Values(workers), func(a, b *worker) int {
		return st.adviceState.tickets[a.entry.Ref.ID].expiresAt.Compare(st.adviceState.tickets[b.entry.Ref.ID].expiresAt)
	})
}

// callPurpose returns the purpose of a call about these workers.
func (st *step) callPurpose(workers []*worker) AskPurpose {
	if len(st.adviceState.askedWorkers) == 0 {
		return AskFirst
	}
	if slices.ContainsFunc(workers, func(w *worker) bool { return !st.adviceState.askedWorkers[w.entry.Ref.ID] }) {
		return AskMore
	}
	return AskRenewal
}

// AdviceLoad is the load that an owner puts on the adviser.
type AdviceLoad struct {
	// InFlight is the number of calls in flight, and Limits its limit. The key
	// is true for quick calls, and false for long calls.
	InFlight, Limits map[bool]int
	// Denied is the number of steps whose call waits because the limit is
	// reached, and LongestWait the longest time that such a call has waited.
	Denied      int
	LongestWait time.Duration
}

// AdviceLoad returns the current load on the adviser.
func (s *Scheduler) AdviceLoad(now time.Time) AdviceLoad {
	load := AdviceLoad{
		InFlight: maps.Clone(s.adviceInFlight),
		Limits:   maps.Clone(s.adviceLimits),
	}
	for _, st := range s.openSteps {
		if waits := st.adviceState.deniedDuration(now); waits > 0 && st.waiting > 0 {
			load.Denied++
			load.LongestWait = max(load.LongestWait, waits)
		}
	}
	return load
}

// deniedExpiry is how long a denied call counts as waiting after its last denial.
// A step that still needs the call tries it again in every tick, and deniedExpiry
// is several ticks.
const deniedExpiry = 500 * time.Millisecond

// deniedDuration returns how long the step's call has waited because the limit
// is reached, or 0 if no call waits.
func (a *adviceState) deniedDuration(now time.Time) time.Duration {
	if now.Sub(a.deniedSeenAt) > deniedExpiry {
		return 0
	}
	return now.Sub(a.deniedSince)
}

// AdviceAnswered records on which of the asked workers a step may run. The
// tickets are valid for the given time from the answer.
func (s *Scheduler) AdviceAnswered(ref StepRef, askedWorkers []string, approved []Approval, validity time.Duration, now time.Time) {
	st := s.findStep(ref)
	if st == nil {
		return
	}
	s.endAdviceCall(st, askedWorkers)
	st.adviceState.answeredAt = now
	for _, id := range askedWorkers {
		st.adviceState.askedWorkers[id] = true
	}
	for _, a := range approved {
		granted := ticket{
			value:     a.Ticket,
			expiresAt: now.Add(validity - ticketMargin),
		}
		if w := s.workers[a.WorkerID]; w != nil {
			granted.startedAt = w.startedAt
		}
		st.adviceState.tickets[a.WorkerID] = granted
	}
	if len(askedWorkers) > 0 {
		q := s.stats(st.job.record.Queue.Name)
		q.approvalRate += approvalWeight * (float64(len(approved))/float64(len(askedWorkers)) - q.approvalRate)
		q.approvalRate = max(q.approvalRate, 0.1)
	}
}

// AdviceFailed records that a call to the adviser about these workers had no answer.
func (s *Scheduler) AdviceFailed(ref StepRef, askedWorkers []string, now time.Time) {
	st := s.findStep(ref)
	if st == nil {
		return
	}
	s.endAdviceCall(st, askedWorkers)
	st.adviceState.retryAt = now.Add(adviceRetryDelay)
}

// endAdviceCall removes the oldest of the step's calls about these workers, if any, from
// the calls in flight.
func (s *Scheduler) endAdviceCall(st *step, askedWorkers []string) {
	calls := st.adviceState.calls
	i := slices.IndexFunc(calls, func(call adviceCall) bool { return slices.Equal(call.workers, askedWorkers) })
	if i < 0 {
		return
	}
	s.adviceInFlight[calls[i].quick]--
	st.adviceState.calls = slices.Delete(calls, i, i+1)
	s.dropOccurrenceIfDone(st.job, st.ref.Occurrence)
}

// SetAdviceLimits sets the limits of concurrent calls to the adviser, for quick and
// long calls. The adviser serves calls in order, and a call that is queued
// there uses up validity of the tickets.
func (s *Scheduler) SetAdviceLimits(quick, long int) {
	s.adviceLimits[true] = quick
	s.adviceLimits[false] = long
}

func (s *Scheduler) findStep(ref StepRef) *step {
	j := s.jobs[ref.Job]
	if j == nil {
		return nil
	}
	return j.steps[ref]
}

// askAhead calls the adviser for steps that will soon be ready, and for those
// that wait for the leases of the former owner. The adviser's approvals do not
// change in the meantime.
func (s *Scheduler) askAhead(pools map[string]*pool, now time.Time) {
	s.askDuringRecovery(pools, now)
	for _, j := range s.jobs {
		if j.state != Running || j.record.Queue.Advice == nil || len(j.record.Phases) < 2 {
			continue
		}
		p := pools[j.record.Queue.Service]
		if p == nil {
			continue
		}
		for _, st := range j.steps {
			if len(st.phase.DependsOn) == 0 || st.done > 0 || len(st.adviceState.calls) > 0 || len(st.adviceState.askedWorkers) > 0 {
				continue
			}
			if s.openSteps[st.ref] == nil && s.readyWithin(st, st.adviceCost(maxAskedWorkersIndependent), now) {
				s.requestAdvice(st, p, now)
			}
		}
	}
}

// askDuringRecovery calls the adviser for steps that wait for the leases of the former
// owner, and reserves workers for lasting tasks whose wait is about to end.
func (s *Scheduler) askDuringRecovery(pools map[string]*pool, now time.Time) {
	for _, st := range s.rankSteps(now, s.awaitsRecovery) {
		p := pools[st.job.record.Queue.Service]
		if p == nil || st.job.record.Queue.Advice == nil {
			continue
		}
		p.classifySize(st)
		if st.tracksPlacements {
			s.reserveForTasks(st, p, now)
		}
		if wide := st.phase.Gang || st.reservesWorkers(); wide || len(st.adviceState.askedWorkers) == 0 {
			s.requestAdvice(st, p, now)
		}
	}
}

// readyWithin reports whether the step's dependencies will probably be done
// within that time.
func (s *Scheduler) readyWithin(st *step, within time.Duration, now time.Time) bool {
	for _, index := range st.phase.DependsOn {
		dependency := st.ref
		dependency.Phase = index
		other := st.job.steps[dependency]
		if other == nil || other.waiting > 0 {
			return false
		}
		for i := range other.tasks {
			if r := other.tasks[i].run; r != nil && s.remainingTime(r, now) > within {
				return false
			}
		}
	}
	return true
}
