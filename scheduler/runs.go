package scheduler

import (
	"slices"
	"time"
)

// findTask returns the step and the task, or nil for both if either is unknown.
func (s *Scheduler) findTask(ref TaskRef) (*step, *task) {
	j := s.jobs[ref.Step.Job]
	if j == nil {
		return nil, nil
	}
	st := j.steps[ref.Step]
	if st == nil || ref.Index < 0 || ref.Index >= len(st.tasks) {
		return nil, nil
	}
	return st, &st.tasks[ref.Index]
}

// findReportedTask is like findTask for a task of which a worker reports a run. If the
// task belongs to an occurrence that is not due yet, the clock of the former owner was
// ahead of this one. Its steps are then created early, so that what ran counts.
func (s *Scheduler) findReportedTask(ref TaskRef, now time.Time) (*step, *task) {
	j := s.jobs[ref.Step.Job]
	occurrence := ref.Step.Occurrence
	if j != nil && !j.state.Final() && !j.held && occurrence >= j.nextOccurrence && occurrence < j.record.occurrences() &&
		!j.doneOccurrences.contains(occurrence) {
		s.createSteps(j, occurrence, now)
	}
	return s.findTask(ref)
}

// hasRun reports whether the run is the task's run or its copy.
func (t *task) hasRun(r *run) bool {
	return t.run == r || t.copy == r
}

// findRun returns the task's run with that reference, or nil.
func (t *task) findRun(ref RunRef) *run {
	for _, r := range []*run{t.run, t.copy} {
		if r != nil && r.ref == ref {
			return r
		}
	}
	return nil
}

// acceptsRun reports whether the task may have one more run.
func (t *task) acceptsRun(st *step) bool {
	return t.run == nil || st.phase.Copies && t.copy == nil
}

// assignRun gives a task a run, as a copy if the task already has one.
func (s *Scheduler) assignRun(st *step, t *task, r *run) {
	if t.run != nil {
		t.copy = r
		return
	}
	t.run = r
	st.waiting--
	if st.waiting == 0 {
		delete(s.openSteps, st.ref)
	}
	if st.phase.Copies {
		s.copyableSteps[st.ref] = st
	}
}

// unassignRun takes a run away from its task. The task waits again if it has no
// other run and is not done.
func (s *Scheduler) unassignRun(st *step, t *task, r *run, now time.Time) {
	if t.copy == r {
		t.copy = nil
		return
	}
	t.run, t.copy = t.copy, nil
	if t.run != nil {
		return
	}
	if t.done {
		return
	}
	st.waiting++
	if st.tracksPlacements && !st.job.state.Final() {
		// A next owner need not ask the worker about the task any more.
		s.dirtyJobs[st.job.record.ID] = true
	}
	if t.notRunningSince.IsZero() {
		t.notRunningSince = now
	}
	if !r.presentAt.IsZero() {
		t.withoutRunSince = now
	}
	if !st.job.state.Final() && st.dependenciesDone() {
		s.openSteps[st.ref] = st
	}
}

// markLost removes a run of which it is certain that it has ended or never
// started, but whose end was not reported. That frees its capacity, and its task
// waits again. The rest of a gang is stopped.
func (s *Scheduler) markLost(r *run, reason string, now time.Time) {
	s.removeRun(r)
	if r.lasting && r.state == runPlanned {
		reason += ", its start was not sent"
	}
	s.addNote("run lost: "+reason, r.ref.Task, r.worker.entry.Ref.ID, now.Sub(r.startedAt))
	st, t := s.findTask(r.ref.Task)
	if t == nil || !t.hasRun(r) {
		return
	}
	s.unassignRun(st, t, r, now)
	s.keepBegun(st.job)
	if st.phase.Gang && t.run == nil {
		st.retryAt = now.Add(gangRetryDelay)
		s.stopGang(st, "a member was lost", now)
	}
}

// markAllLost removes all runs of a worker that has ended or whose leases have expired. Their
// tasks wait until the ownership is confirmed.
func (s *Scheduler) markAllLost(w *worker, reason string, now time.Time) {
	s.markRunsLost(sortedRuns(w), reason, now)
}

// markRunsLost does the same with some of the runs.
func (s *Scheduler) markRunsLost(runs []*run, reason string, now time.Time) {
	if len(runs) > 0 {
		s.losses.Workers[reason]++
	}
	refs := make([]TaskRef, 0, len(runs))
	for _, r := range runs {
		s.losses.Runs[reason]++
		s.doubtJobOf(r, now)
		s.markLost(r, reason+s.describeLoss(r, now), now)
		refs = append(refs, r.ref.Task)
	}
	s.giveUpCrashing(refs, now)
}

func sortedRuns(w *worker) []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return compareTasks(a.ref.Task, b.ref.Task)
	})
	return runs
}

func compareTasks(a, b TaskRef) int {
	if c := compareSteps(a.Step, b.Step); c != 0 {
		return c
	}
	return a.Index - b.Index
}

// setCheckpoint sets the checkpoint of a task, or of all members of a gang.
func (st *step) setCheckpoint(index int, value string) {
	if !st.phase.Gang {
		st.tasks[index].checkpoint = value
		return
	}
	for i := range st.tasks {
		st.tasks[i].checkpoint = value
	}
}

// stopRun stops a run, or prevents its start if that has not taken effect yet.
// It does nothing while an earlier stop is not answered, or if the worker refuses the start.
func (s *Scheduler) stopRun(r *run, now time.Time, reason string) {
	if r.state == runPlanned {
		// The start was not sent, so there is nothing to stop.
		s.removeRun(r)
		if r.lasting {
			s.addNote("planned run dropped: "+reason, r.ref.Task, r.worker.entry.Ref.ID, now.Sub(r.startedAt))
		}
		if st, t := s.findTask(r.ref.Task); t != nil && t.hasRun(r) {
			s.unassignRun(st, t, r, now)
		}
		return
	}
	if r.state != runUncertain {
		r.state = runStopping
	}
	if r.stopInFlight || r.refused {
		return
	}
	r.stopInFlight = true
	r.stopSentAt = now
	if r.stopsSent == 0 {
		r.stopPendingSince = now
	}
	r.stopsSent++
	s.emit(StopTask{
		Run:             r.ref,
		Worker:          r.worker.entry.Ref,
		WorkerStartedAt: r.worker.startedAt,
		Token:           r.worker.token,
		Reason:          reason,
		Number:          r.stopsSent,
	})
}

// StopAnswered records that a stop is no longer in flight, and whether the
// worker answered it.
func (s *Scheduler) StopAnswered(order StopTask, answered bool, now time.Time) {
	w := s.workers[order.Worker.ID]
	if w == nil || w.runs[order.Run] == nil {
		return
	}
	r := w.runs[order.Run]
	if order.Number != r.stopsSent {
		// The stop was sent to a former incarnation of the worker.
		return
	}
	r.stopInFlight = false
	if answered {
		r.stopsAnswered++
		r.stopAnsweredAt = now
		r.confirm(now)
		r.state = runStopping
	}
}

// confirm records that reports requested from now on list the run or its end, unless that is
// so for earlier ones already.
func (r *run) confirm(now time.Time) {
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
}

// StartUnanswered records that an order to start a run had no answer, although a repeated one had:
// it may be carried out yet.
func (s *Scheduler) StartUnanswered(workerID string, ref RunRef) {
	if w := s.workers[workerID]; w != nil && w.runs[ref] != nil {
		w.runs[ref].mayArrive = true
		w.runs[ref].unanswered = true
	}
}

// noteStarted records that a worker has answered that it has the run, or had it.
func (s *Scheduler) noteStarted(r *run, outcome StartOutcome, now time.Time) {
	w := r.worker
	r.mayArrive = false
	if outcome == StartDone {
		w.aliveAt = latest(w.aliveAt, now)
	}
	if r.sentBefore {
		// The former incarnation may have answered. The stop that this one is told decides.
		return
	}
	if outcome == StartDoneByAnother {
		r.unheardAt = now
		s.addNote("start was answered by an incarnation of the worker that has not reported yet", r.ref.Task, w.entry.Ref.ID, now.Sub(r.startedAt))
	}
	if r.state == runStarting {
		r.state = runWorking
		r.progressAt = now
	}
	// A stop that was answered before may have met a former incarnation of the worker.
	r.confirmedAt = now
	if r.presentAt.IsZero() {
		r.presentAt = now
	}
}

// StartAnswered records the outcome of a start.
func (s *Scheduler) StartAnswered(workerID string, ref RunRef, outcome StartOutcome, now time.Time) {
	if outcome.Done() {
		s.markJobBegun(ref.Task.Step.Job)
	}
	if outcome.Refused() {
		s.dropCrashes(ref.Task, func(c Crash) bool { return c.Worker == workerID && c.Unanswered == ref.Attempt })
	}
	w := s.workers[workerID]
	if w == nil || w.runs[ref] == nil {
		return
	}
	r := w.runs[ref]
	// The order may have been repeated meanwhile.
	w.leaseSentAt = latest(w.leaseSentAt, earlier(now, r.startedAt.Add(startValidity)))
	if outcome == StartWorkerGone && r.sentBefore {
		// The call was made for a former incarnation. The stop that this one is told decides.
		outcome = StartUnknown
	}
	switch outcome {
	case StartDone, StartDoneByAnother:
		s.noteStarted(r, outcome, now)
	case StartRefused:
		s.markLost(r, "start refused", now)
	case StartUnhealthy:
		w.setAsideUntil = now.Add(unhealthyPause)
		s.markLost(r, "worker unhealthy", now)
	case StartNoTicket:
		if st, _ := s.findTask(ref.Task); st != nil {
			delete(st.adviceState.tickets, workerID)
			delete(st.adviceState.askedWorkers, workerID)
		}
		s.markLost(r, "ticket refused", now)
	case StartUnknown:
		if r.confirmedAt.IsZero() {
			r.state = runUncertain
			if _, t := s.findTask(ref.Task); t != nil && t.hasRun(r) && !slices.Contains(t.avoidWorkers, workerID) {
				t.avoidWorkers = append(t.avoidWorkers, workerID)
			}
			s.stopRun(r, now, "start not answered")
		}
	case StartSuperseded:
		s.markLost(r, "the worker obeys a later owner", now)
	case StartWorkerGone:
		s.WorkerGone(workerID, w.startedAt, now)
	}
}
