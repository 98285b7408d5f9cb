package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// stuckAfter is the minimum time without progress after which a run counts
	// as stuck. Progress is reported in whole percent, and one percent of the
	// longest usual task takes a seventh of this time.
	stuckAfter = 1500 * time.Millisecond
	// stuckFraction is the fraction of the estimate that a run may spend
	// without progress, if that is longer than stuckAfter.
	stuckFraction = 0.1
	// stuckPause is the time for which nothing is started on a worker after a
	// run got stuck there.
	stuckPause = 3 * time.Second
	// firstReportTime is the time within which a worker that can be reached reports to a new
	// owner: several round trips between data centres.
	firstReportTime = 250 * time.Millisecond
	// maxReportAge is the maximum age of a worker's last report for something
	// to be started there. It is longer than two intervals between renewals, so
	// that one missing report does not exclude the worker.
	maxReportAge = 2500 * time.Millisecond
)

// Tick applies all scheduling rules once and returns the effects to carry out.
func (s *Scheduler) Tick(now time.Time) []Effect {
	s.tickedAt = now
	s.formerUses = nil
	s.createAllDueSteps(now)
	s.reapRuns(now)
	s.finishRecovery(now)
	s.stopStuckRuns(now)
	s.driveGangs(now)
	s.sendPlannedStarts(now)
	s.demandsByName(now)
	s.placeSteps(now)
	s.allotments.demands = nil
	s.explainRecovery(now)
	s.explainDoubt(now)
	s.scheduleWorkersWrite(now)
	s.scheduleSilenceWrite(now)
	s.expireEndedJobs(now)
	effects := s.effects
	s.effects = nil
	return effects
}

// createAllDueSteps creates the steps of all occurrences that have become due.
func (s *Scheduler) createAllDueSteps(now time.Time) {
	for _, j := range s.jobsWithUncreatedSteps {
		s.createDueSteps(j, now)
	}
}

// reapRuns removes the runs of silent workers whose leases, also those of former owners,
// have expired, and repeats stops that have had no effect.
func (s *Scheduler) reapRuns(now time.Time) {
	for id, w := range s.workers {
		formerLease := s.mayHoldFormerLease(w, now) || now.Before(s.formerCallsEnd(w))
		if !w.silentSince.IsZero() && w.reported && w.leaseExpired(now) && !formerLease {
			if !w.endsRead {
				// Ends count no more once the lease has lapsed.
				w.endsRead = true
				s.doubtJobsOn(w, now)
			}
			lapsed := s.lapsedRuns(w, now)
			s.rememberLapses(w, lapsed, now)
			s.markRunsLost(lapsed, "lease lapsed", now)
			if len(w.runs) == 0 {
				if !w.listed {
					s.dropWorker(id)
				}
				continue
			}
		}
		s.withholdLease(w, now)
		for _, r := range w.runs {
			if !r.stopPending() || r.refused {
				continue
			}
			s.explainStop(r, now)
			if !r.stopInFlight && now.Sub(r.stopSentAt) > max(stopRepeatInterval, s.answeredStopWait(r)) {
				s.stopRun(r, now, "stop repeated")
			}
		}
	}
}

// mayHoldFormerLease reports whether a call of a former owner may have given the worker a lease that is not
// over. That owner may have dropped it from the list of workers in use just before, and if it has started
// again since, the call has given it the longest lease.
func (s *Scheduler) mayHoldFormerLease(w *worker, now time.Time) bool {
	return (w.former || s.hasFormerOwner && !w.startedAt.IsZero()) && !now.After(s.leasesEnd(w))
}

// lapsedRuns returns the runs of a silent worker that have ended with its leases, sorted by task. A
// worker that started again unseen takes a start without an answer with the longest lease, and each
// later call extends that for all runs there.
func (s *Scheduler) lapsedRuns(w *worker, now time.Time) []*run {
	if w.startedAt.IsZero() || !now.Before(w.leaseSentAt.Add(lateArrival+s.options.longestLease())) {
		return sortedRuns(w)
	}
	return slices.DeleteFunc(sortedRuns(w), (*run).mayReachNextIncarnation)
}

// mayReachNextIncarnation reports whether an order to start the run may arrive, or have arrived, after the
// incarnation of the worker that was last heard of has ended.
func (r *run) mayReachNextIncarnation() bool {
	return !r.unheardAt.IsZero() || r.startMayArrive()
}

// answeredStopWait returns the time that a stop which the worker has answered
// may take until the run's end is reported. It is 0 if there was no answer.
func (s *Scheduler) answeredStopWait(r *run) time.Duration {
	if r.stopAnsweredAt.After(r.stopSentAt) {
		return s.options.stopTimeout + stopRepeatInterval
	}
	return 0
}

// finishRecovery ends the recovery once every worker has reported its runs and their ends, or
// the former owner's leases have certainly expired.
func (s *Scheduler) finishRecovery(now time.Time) {
	s.reportsAwaited = false
	if s.recoveryDone {
		return
	}
	pending, endsLeftOut := false, false
	for _, w := range s.workers {
		w.leasesOver = s.passed(s.leasesEnd(w), now)
		pending = pending || s.isUnread(w)
		endsLeftOut = endsLeftOut || w.reported && !w.endsRead
		s.reportsAwaited = s.reportsAwaited || w.former && !w.reported && w.silentSince.IsZero()
	}
	s.reportsAwaited = s.reportsAwaited && now.Sub(s.ownerSince) < firstReportTime
	s.recoveryDone = len(s.workers) > 0 && !pending || s.passed(s.recoveryEnd(), now) && !endsLeftOut
	if s.recoveryDone && s.placementsAllowed {
		s.trackAllPlacements()
	}
}

// recoveryEnd returns the time by which the former owner's leases have certainly
// expired. Each worker may have started again without having reported it.
func (s *Scheduler) recoveryEnd() time.Time {
	return s.ownerSince.Add(s.options.longestLease() + recoveryMargin)
}

// leasesEnd returns the time by which the leases that former owners granted to a
// worker have certainly expired, if the worker has not reported to this owner.
func (s *Scheduler) leasesEnd(w *worker) time.Time {
	return s.recoveryEnd().Add(-w.formerSilence)
}

// trackAllPlacements begins to store the placements of the lasting tasks for which an
// older release has stored none. All runs of these tasks are known by now.
func (s *Scheduler) trackAllPlacements() {
	for id, j := range s.jobs {
		if j.state.Final() {
			continue
		}
		for _, st := range j.steps {
			if st.tasksRunAlone() && !st.tracksPlacements {
				st.tracksPlacements = true
				s.dirtyJobs[id] = true
			}
		}
	}
}

// tasksRunAlone reports whether the step consists of lasting tasks that are placed
// one by one.
func (st *step) tasksRunAlone() bool {
	return st.phase.Lasting && !st.phase.Gang
}

// RecoveryDone reports whether the recovery is over.
func (s *Scheduler) RecoveryDone() bool {
	return s.recoveryDone
}

// stopStuckRuns stops runs that make no progress.
func (s *Scheduler) stopStuckRuns(now time.Time) {
	for _, w := range s.workers {
		if !w.silentSince.IsZero() {
			continue
		}
		for _, r := range w.runs {
			if r.state != runWorking || r.lasting || r.gang || r.pace < 100 || r.fills {
				continue
			}
			stuckTimeout := max(stuckAfter, time.Duration(stuckFraction*float64(r.estimate)))
			if w.lastReportAt.Sub(r.progressAt) > stuckTimeout {
				w.setAsideUntil = now.Add(stuckPause)
				if _, t := s.findTask(r.ref.Task); t != nil && t.hasRun(r) {
					t.avoidWorkers = append(t.avoidWorkers, w.entry.Ref.ID)
				}
				s.addNote("run makes no progress", r.ref.Task, w.entry.Ref.ID, w.lastReportAt.Sub(r.progressAt))
				s.stopRun(r, now, "no progress")
			}
		}
	}
}

// awaitsRecovery reports whether no waiting task of the step may start, as a former
// owner may have runs on workers that have not reported theirs yet.
func (s *Scheduler) awaitsRecovery(st *step) bool {
	if s.recoveryDone || !st.job.recovered {
		return false
	}
	if !st.tracksPlacements {
		for id := range st.job.workers {
			if s.mayHaveRunOf(st, id) {
				return true
			}
		}
		return false
	}
	for i := range st.tasks {
		if t := &st.tasks[i]; t.waits() && !s.taskAwaitsRecovery(t) {
			return false
		}
	}
	return true
}

// taskAwaitsRecovery reports whether a former owner may have a run of the task on a
// worker that has not reported its runs yet.
func (s *Scheduler) taskAwaitsRecovery(t *task) bool {
	return !s.recoveryDone && slices.ContainsFunc(t.formerWorkers, s.isUnreported)
}

// startableTasks counts the waiting tasks of the step that may start within the given
// time as far as the recovery is concerned.
func (s *Scheduler) startableTasks(st *step, within time.Duration, now time.Time) int {
	if s.recoveryDone {
		return st.waiting
	}
	awaits := func(id string) bool {
		return s.isUnreported(id) && s.leasesEnd(s.workers[id]).After(now.Add(within))
	}
	n := 0
	for i := range st.tasks {
		if t := &st.tasks[i]; t.waits() && !slices.ContainsFunc(t.formerWorkers, awaits) {
			n++
		}
	}
	return n
}

// isUnreported reports whether the worker may have runs that it has not reported.
func (s *Scheduler) isUnreported(id string) bool {
	w := s.workers[id]
	return w != nil && !w.reported && !w.leasesOver
}

// isUnread reports whether the worker may have runs of former owners, or ends of such runs, that it has not
// reported.
func (s *Scheduler) isUnread(w *worker) bool {
	if w.reported {
		return !w.endsRead
	}
	return !w.leasesOver
}

// mayHaveRunOf reports whether the worker may have runs of the step, or ends of such runs, that it has not
// reported. Lasting tasks are restarted however they end, so their ends need not be known.
func (s *Scheduler) mayHaveRunOf(st *step, id string) bool {
	if st.phase.Lasting {
		return s.isUnreported(id)
	}
	w := s.workers[id]
	return w != nil && s.isUnread(w)
}

// unreportedWorkers returns the workers for which the step's waiting tasks await
// the recovery, sorted by identity.
func (s *Scheduler) unreportedWorkers(st *step) []string {
	var ids []string
	if !st.tracksPlacements {
		for id := range st.job.workers {
			ids = append(ids, id)
		}
	}
	for i := range st.tasks {
		if t := &st.tasks[i]; t.waits() {
			ids = append(ids, t.formerWorkers...)
		}
	}
	ids = slices.DeleteFunc(ids, func(id string) bool { return !s.mayHaveRunOf(st, id) })
	slices.Sort(ids)
	return slices.Compact(ids)
}

// startableSteps returns the steps that may start tasks now, most important
// first.
func (s *Scheduler) startableSteps(now time.Time) []*step {
	if s.longestSafeLease(now) <= 0 {
		// Workers would refuse the starts.
		return nil
	}
	return s.rankSteps(now, func(st *step) bool {
		return !s.isDoubted(st) && !s.awaitsRecovery(st) && st.job.mayStartGuest(now)
	})
}

// rankSteps returns the open steps for which include returns true,
// most important first. It leaves out steps whose retryAt is still to come.
func (s *Scheduler) rankSteps(now time.Time, include func(*step) bool) []*step {
	steps := make([]*step, 0, len(s.openSteps))
	for _, st := range s.openSteps {
		if st.waiting > 0 && !now.Before(st.retryAt) && include(st) {
			steps = append(steps, st)
		}
	}
	if len(s.organisations) > 0 {
		s.sortByShares(steps, now)
		return steps
	}
	slices.SortFunc(steps, func(a, b *step) int {
		return cmp.Or(
			cmp.Compare(a.rank(now), b.rank(now)),
			cmp.Compare(a.job.record.Queue.Priority, b.job.record.Queue.Priority),
			a.latestStart().Compare(b.latestStart()),
			compareSteps(a.ref, b.ref),
		)
	})
	return steps
}

// The ranks of steps, by how useful their results still are to callers.
const (
	// rankLasting is for lasting tasks, on which callers depend all the time.
	rankLasting = iota
	// rankInTime is for steps that can still be done within the objective.
	rankInTime
	// rankLate is for steps that can be done within three times the objective.
	rankLate
	// rankExcessInTime and rankExcessLate are like rankInTime and rankLate, for jobs
	// beyond the entitled rate of their organisation.
	rankExcessInTime
	rankExcessLate
	// rankTooLate is for steps whose results are of no more use. They get the
	// capacity that the steps of all other ranks leave.
	rankTooLate
)

// lateFactor is the multiple of the objective up to which a late result is of
// some use.
const lateFactor = 3

// rank returns the rank of the step.
func (st *step) rank(now time.Time) int {
	usefulness := st.usefulness(now)
	switch {
	case st.job.excess && usefulness == rankInTime:
		return rankExcessInTime
	case st.job.excess && usefulness == rankLate:
		return rankExcessLate
	default:
		return usefulness
	}
}

// usefulness returns the rank that the step has if its job is within the entitled
// rate.
func (st *step) usefulness(now time.Time) int {
	remaining := st.job.criticalPathFrom(st.ref.Phase)
	switch {
	case st.phase.Lasting:
		return rankLasting
	case !now.Add(remaining).After(st.objectiveAt):
		return rankInTime
	case !now.Add(remaining).After(st.dueAt.Add(lateFactor * st.job.objective)):
		return rankLate
	default:
		return rankTooLate
	}
}

// latestStart returns the latest time at which the step can start and the
// occurrence be done within its objective.
func (st *step) latestStart() time.Time {
	return st.objectiveAt.Add(-st.job.criticalPathFrom(st.ref.Phase))
}

// criticalPathFrom returns the longest time from the start of a phase to the
// end of everything that depends on it, by the estimates.
func (j *job) criticalPathFrom(phase int) time.Duration {
	return j.criticalPaths[phase]
}
