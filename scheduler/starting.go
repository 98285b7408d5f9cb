package scheduler

import (
	"slices"
	"time"
)

// newAttempt returns an attempt number that is higher than all before.
func (s *Scheduler) newAttempt() int64 {
	s.lastAttempt++
	return s.lastAttempt
}

// startRun creates a run of a task and sends its start to the worker. If the
// store does not list the worker for the job yet, the run is planned and its
// start sent after the next write.
func (s *Scheduler) startRun(st *step, index int, w *worker, attempt int64, now time.Time) {
	t := &st.tasks[index]
	r := &run{
		ref: RunRef{
			Task: TaskRef{
				Step:  st.ref,
				Index: index,
			},
			Attempt: attempt,
		},
		worker:     w,
		startedAt:  now,
		progressAt: now,
		pace:       100,
	}
	r.copyPhase(st)
	r.watched = len(t.crashes) > 0
	if st.isTrial(t) {
		r.watched = true
		r.trialGroup = st.trialGroup(t)
	}
	s.addRun(r)
	s.assignRun(st, t, r)
	if st.isStored(r, t) && !st.holds(r) {
		s.sendOrHold(r, st, now)
		return
	}
	st.job.workers[w.entry.Ref.ID] = true
	if !st.tracksPlacements {
		// The same write stores all workers with tickets, so that later starts
		// on these need no write of their own.
		for id := range st.adviceState.tickets {
			st.job.workers[id] = true
		}
	}
	s.dirtyJobs[st.job.record.ID] = true
	s.plannedRuns = append(s.plannedRuns, r)
}

// StoreStallTimeout is the time that a write may take. After that, a job's tasks
// are started only on workers that the store already lists for the job, unless the
// placements of their step are stored one by one. It is several times the duration of a
// write to a healthy store.
const StoreStallTimeout = 150 * time.Millisecond

// writesOverdue reports whether the oldest planned run has waited for a write
// for longer than StoreStallTimeout.
func (s *Scheduler) writesOverdue(now time.Time) bool {
	return len(s.plannedRuns) > 0 && now.Sub(s.plannedRuns[0].startedAt) > StoreStallTimeout
}

// startValidity is the time for which the order to start a run may be sent. It allows for a
// slow host, and is shorter than a worker takes to start again.
const startValidity = 700 * time.Millisecond

// MaySend reports whether the order to start a run may still be sent. The time for which the host was
// suspended counts: the worker may have started again meanwhile.
func (s *Scheduler) MaySend(order StartTask, now time.Time) bool {
	return s.age(order.NotAfter.Add(-startValidity), now) <= startValidity && !s.isForFormerIncarnation(order)
}

// isForFormerIncarnation reports whether the worker is known to have started again since the order
// was made.
func (s *Scheduler) isForFormerIncarnation(order StartTask) bool {
	w := s.workers[order.Worker.ID]
	return w != nil && !order.WorkerStartedAt.IsZero() && !order.WorkerStartedAt.Equal(w.startedAt)
}

// sendOrHold sends the start of a run unless an acknowledgement goes before it.
func (s *Scheduler) sendOrHold(r *run, st *step, now time.Time) {
	if s.awaitsAcknowledgement(r.worker) {
		s.heldRuns = append(s.heldRuns, r)
		return
	}
	s.sendStart(r, st, now)
}

// sendStart emits the start of a run.
func (s *Scheduler) sendStart(r *run, st *step, now time.Time) {
	if st.startedAt.IsZero() {
		st.startedAt = now
	}
	r.state = runStarting
	r.mayArrive = true
	r.startedAt = now
	r.progressAt = now
	w := r.worker
	var withoutRunSince time.Time
	if st.phase.Lasting {
		withoutRunSince = latest(st.tasks[r.ref.Task.Index].withoutRunSince, st.readyAt)
	}
	r.ticketed = st.job.record.Queue.Advice != nil
	checkpoint := st.tasks[r.ref.Task.Index].checkpoint
	if st.isGangPart() {
		checkpoint = st.order.Checkpoint
	}
	s.emit(StartTask{
		Run:             r.ref,
		Worker:          w.entry.Ref,
		WorkerStartedAt: w.startedAt,
		Token:           w.token,
		Spec:            st.job.record.Spec,
		Checkpoint:      checkpoint,
		Ticket:          st.adviceState.tickets[w.entry.Ref.ID].value,
		Lease:           s.extendLease(w, now),
		MinClock:        w.clockAt(now),
		NotAfter:        now.Add(startValidity),
		WithoutRunSince: withoutRunSince,
	})
}

// sendPlannedStarts sends the starts of the planned runs whose workers are
// stored by now, and drops the runs that can no longer start on their worker.
// The members of a gang are sent all at once.
func (s *Scheduler) sendPlannedStarts(now time.Time) {
	s.storeStalled = s.writesOverdue(now)
	plannedRuns := slices.Concat(s.plannedRuns, s.heldRuns)
	s.plannedRuns, s.heldRuns = nil, nil
	var stillPlanned []*run
	for _, r := range plannedRuns {
		if r.state != runPlanned || r.worker.runs[r.ref] != r {
			continue
		}
		st, t := s.findTask(r.ref.Task)
		if t == nil || !t.hasRun(r) {
			// The end of an earlier run has made the members of the gang done.
			s.removeRun(r)
			continue
		}
		switch {
		case !s.available(r.worker, now) || !s.hasValidTicket(st, r.worker, now):
			s.markLost(r, "worker unavailable or ticket expired before the start", now)
		case r.worker.freeCapacity().IsNegative():
			s.markLost(r, "the worker's capacity has shrunk before the start", now)
		case !hasRequiredLabel(st, r.worker):
			s.markLost(r, "the worker is of another kind before the start", now)
		case !st.job.mayStartGuest(now):
			s.markLost(r, "no contact with the home owner before the start", now)
		case !s.startAllowed(st, r):
			s.markLost(r, "the maximum of the organisation was lowered before the start", now)
		case !st.mayBeSent(r, t) && s.storeStalled && len(st.job.storedWorkers) > 0 && !st.tracksPlacements:
			s.losses.Unstored++
			s.markLost(r, "worker cannot be stored as the store takes no writes", now)
		case !st.mayBeSent(r, t):
			stillPlanned = append(stillPlanned, r)
		case st.holds(r):
			s.heldRuns = append(s.heldRuns, r)
		default:
			s.sendOrHold(r, st, now)
		}
	}
	s.plannedRuns = append(s.plannedRuns, stillPlanned...)
	s.explainPlanned(now)
}

// moveToStoredWorkers replaces planned runs that wait for a slow write by ones on workers
// that the store lists for their tasks already, so that these start at once.
func (s *Scheduler) moveToStoredWorkers(pools map[string]*pool, now time.Time) {
	if !s.storeStalled {
		return
	}
	for _, r := range slices.Clone(s.plannedRuns) {
		st, t := s.findTask(r.ref.Task)
		if t == nil || t.run != r || !st.tracksPlacements || t.suspected() {
			continue
		}
		p := pools[st.job.record.Queue.Service]
		if p == nil {
			continue
		}
		w := s.chooseWorker(st, t, p, now)
		if w == nil || !slices.Contains(t.storedWorkers, w.entry.Ref.ID) {
			continue
		}
		s.stopRun(r, now, "a worker that is stored for the task is available")
		s.startRun(st, r.ref.Task.Index, w, s.newAttempt(), now)
	}
}

// isStored reports whether the store lists the worker of a run of the task, so that
// a next owner asks that worker before it starts the task again.
func (st *step) isStored(r *run, t *task) bool {
	if st.tracksPlacements {
		return slices.Contains(t.storedWorkers, r.worker.entry.Ref.ID)
	}
	return st.job.storedWorkers[r.worker.entry.Ref.ID]
}

// mayBeSent reports whether the start of a planned run may be sent. Unless the
// placements of the step's tasks are stored one by one, that is so once the workers
// of all of its planned runs are stored.
func (st *step) mayBeSent(planned *run, t *task) bool {
	if st.tracksPlacements {
		return st.isStored(planned, t)
	}
	for i := range st.tasks {
		r := st.tasks[i].run
		if r != nil && r.state == runPlanned && !st.isStored(r, &st.tasks[i]) {
			return false
		}
	}
	return true
}
