package scheduler

import (
	"fmt"
	"time"
)

// End is the way in which a run ended.
type End int

// The ways in which a run ends.
const (
	// EndUnknown stands for any way of ending that this release does not know.
	EndUnknown End = iota
	EndDone
	// EndFailed means a fault of the task or of the worker.
	EndFailed
	EndStopped
	// EndLapsed means that the lease was not renewed.
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the other members of the gang did not start in time.
	EndAlone
)

// String implements fmt.Stringer.
func (e End) String() string {
	names := []string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(e) < len(names) {
		return names[e]
	}
	return "invalid"
}

// ActiveRun is a run that a worker reports as active.
type ActiveRun struct {
	Run        RunRef
	Checkpoint string
	// Percent is the part of the work that is done, between 0 and 100. A
	// lasting task is in service at 100.
	Percent int
	// TailLatency is the tail response time of a task that has a target for it,
	// or 0.
	TailLatency time.Duration
}

// EndedRun is a run that a worker reports as ended.
type EndedRun struct {
	// Number counts the ends of one incarnation of the worker, from 1.
	Number     int64
	Run        RunRef
	End        End
	Checkpoint string
}

// Report is a worker's answer to a lease renewal.
type Report struct {
	// Clock is the reading of the worker's own clock.
	Clock time.Duration
	// StartedAt is as in WorkerEntry.
	StartedAt time.Time
	Active    []ActiveRun
	Ended     []EndedRun
}

// missingAfterListed is the reason for which a run counts as lost if neither it nor its end is
// reported any more.
const missingAfterListed = "missing from the worker's report, though an earlier one listed it"

// Report processes the answer of a worker to a lease renewal that was sent at
// the given time.
func (s *Scheduler) Report(id string, report Report, sent, now time.Time) {
	w := s.workers[id]
	if w == nil {
		return
	}
	if !s.beginIncarnation(w, report.StartedAt, now) {
		// A late answer of an incarnation that has ended.
		return
	}
	w.noteAnswer(sent)
	s.noteRaisedToken(w, sent, now)
	s.explainOutlived(w, report, now)
	s.explainGap(w, report, now)
	s.explainFull(w, report, now)
	if !w.reported || report.Clock > w.clockAt(now) {
		w.clockReading = report.Clock
		w.clockReadAt = now
	}
	if !w.reported {
		s.formerUses = nil
	}
	w.reported, w.gone = true, false
	w.lastReportAt = s.answeredAt(sent, now)
	w.lastReportSent, w.lastReportEnds = sent, len(report.Ended)
	w.aliveAt = now
	w.silentSince = time.Time{}
	s.clearSuspects(w, now)
	ended := make(map[RunRef]bool)
	for _, row := range report.Ended {
		ended[row.Run] = true
		switch {
		case row.Number > w.lastEndNumber:
			s.handleEnd(w, row, now)
		case w.runs[row.Run] != nil:
			s.addNote(fmt.Sprintf("end %d of a run is not processed, as ends up to %d were", row.Number, w.lastEndNumber),
				row.Run.Task, id, now.Sub(w.runs[row.Run].startedAt))
		}
	}
	// A report with the maximum number of ends may leave out further ends.
	whole := len(report.Ended) < s.options.endsPerReport
	w.endsRead = w.endsRead || whole
	active := make(map[RunRef]bool, len(report.Active))
	for _, row := range report.Active {
		active[row.Run] = true
		s.handleActive(w, row, now)
	}
	if w.watchedRuns > 0 {
		s.acquit(w, now)
	}
	if !whole {
		// A run that is missing may be listed in a later report.
		return
	}
	for ref, r := range w.runs {
		if !active[ref] && (!ended[ref] || r.refused) {
			s.handleMissing(r, report, sent, now)
		}
	}
}

// handleMissing processes a run that a worker's report does not list.
func (s *Scheduler) handleMissing(r *run, report Report, sent, now time.Time) {
	w := r.worker
	absent := !r.confirmedAt.IsZero() && r.confirmedAt.Before(sent)
	switch {
	case absent && r.stopPending() && r.outlastsStop():
		s.keepRefused(r, now)
	case absent && r.refused:
		s.markLost(r, "it was refused and its start can no longer arrive", now)
	case absent && r.listed:
		s.losses.Runs[missingAfterListed]++
		s.markLost(r, missingAfterListed+", "+w.describeRestart(now), now)
	case absent:
		s.markLost(r, "missing from the worker's report", now)
	case r.stopPending() && w.leaseWithheld && report.Clock > w.leaseEnd && w.refusesFormerCalls() && !now.Before(w.formerOrdersEnd):
		// A worker refuses a start whose lease is over.
		s.losses.Runs[stopIgnored]++
		s.markLost(r, stopIgnored, now)
		w.setAsideUntil = latest(w.setAsideUntil, now.Add(stuckPause))
	}
}

// handleEnd processes the end of one run, and queues its acknowledgement until
// the changes that it causes are stored.
func (s *Scheduler) handleEnd(w *worker, row EndedRun, now time.Time) {
	w.lastEndNumber = row.Number
	if r := w.runs[row.Run]; r != nil {
		// Ends are listed in order, and all that ended before this owner knew of the run come first.
		w.endsRead = true
		s.clearFormerCrash(r)
		s.updateWorkerHealth(r, row.End, now)
		if r.outlastsStop() {
			s.keepEnded(r, row.End, now)
		} else {
			s.removeRun(r)
		}
	}
	s.applyEnd(w, row, now)
	w.pendingAcks = append(w.pendingAcks, pendingAck{
		endNumber: row.Number,
		batch:     s.lastChangeOf(row.Run.Task.Step.Job),
	})
}

// lastChangeOf returns the number of the write with which all changes of the job so
// far are stored. An end that changes nothing may still be the only trace that a task
// is done, if the change was made for an earlier report and is not stored yet: another
// member of the gang ended before, or the worker was dropped and is back.
func (s *Scheduler) lastChangeOf(id string) int64 {
	j := s.jobs[id]
	switch {
	case s.dirtyJobs[id]:
		return s.nextBatch
	case j == nil:
		// A write under way may delete what is stored of the job.
		return s.nextBatch - 1
	default:
		return j.lastBatch
	}
}

// applyEnd updates the task of a run that ended.
func (s *Scheduler) applyEnd(w *worker, row EndedRun, now time.Time) {
	st, t := s.findReportedTask(row.Run.Task, now)
	if t == nil || st.job.state.Final() {
		return
	}
	s.markJobBegun(row.Run.Task.Step.Job)
	s.keepBegun(st.job)
	r := t.findRun(row.Run)
	current := r != nil
	if current {
		s.releaseEnded(st, t, r, row.End, now)
	}
	if row.Checkpoint != "" && !t.done {
		st.setCheckpoint(row.Run.Task.Index, row.Checkpoint)
	}
	id := st.job.record.ID
	switch row.End {
	case EndDone:
		if st.phase.Lasting {
			break
		}
		if st.phase.Gang {
			for i := range st.tasks {
				s.markTaskDone(st, &st.tasks[i], now)
			}
		} else {
			s.markTaskDone(st, t, now)
		}
		s.dirtyJobs[id] = true
		s.finishStepIfDone(st, now)
	case EndFailed:
		// The worker has outlived the run.
		s.dropCrashes(row.Run.Task, func(c Crash) bool { return c.AtStart })
		t.avoidWorkers = append(t.avoidWorkers, w.entry.Ref.ID)
		if !st.phase.Lasting {
			s.addTaskFailure(st, t, row.Run.Attempt, now)
			s.dirtyJobs[id] = true
		}
		if st.phase.Gang && current {
			s.stopGang(st, "a member failed", now)
		}
	case EndStopped, EndLapsed, EndBroken, EndAlone, EndUnknown:
		if st.phase.Gang && current {
			s.stopGang(st, "a member ended "+row.End.String(), now)
		}
	}
}

// releaseEnded takes a run that has ended away from its task, unless the task waits until the run's start can no
// longer arrive.
func (s *Scheduler) releaseEnded(st *step, t *task, r *run, how End, now time.Time) {
	if !r.refused || how == EndDone {
		s.unassignRun(st, t, r, now)
	}
	if st.phase.Lasting {
		s.addNote("lasting run ended: "+how.String(), r.ref.Task, r.worker.entry.Ref.ID, now.Sub(r.startedAt))
	}
}

func (s *Scheduler) markTaskDone(st *step, t *task, now time.Time) {
	if t.done {
		return
	}
	if t.elsewhere {
		t.elsewhere = false
		st.tasksElsewhere--
		st.waiting++
	}
	for t.run != nil {
		r := t.run
		s.unassignRun(st, t, r, now)
		if _, there := r.worker.runs[r.ref]; there && !st.phase.Gang {
			s.stopRun(r, now, "done elsewhere")
		}
	}
	t.done = true
	st.done++
	st.waiting--
}

func (s *Scheduler) addTaskFailure(st *step, t *task, attempt int64, now time.Time) {
	failedAttempts := &t.failedAttempts
	if st.phase.Gang {
		failedAttempts = &st.gangFailures
	}
	*failedAttempts = addAttempt(*failedAttempts, attempt)
	if len(*failedAttempts) >= max(1, st.job.record.Queue.MaxAttempts) {
		s.endJob(st.job, Failed, now)
	}
}

// finishStepIfDone finishes a step whose tasks are all done. It opens the steps
// that have become ready, and completes the job if this was its last step.
func (s *Scheduler) finishStepIfDone(st *step, now time.Time) {
	if st.done < len(st.tasks) {
		return
	}
	st.endedAt = now
	delete(s.openSteps, st.ref)
	delete(s.copyableSteps, st.ref)
	for i := range st.job.record.Phases {
		next := st.ref
		next.Phase = i
		s.openIfReady(st.job.steps[next], now)
	}
	s.completeIfDone(st.job, now)
	s.dropOccurrenceIfDone(st.job, st.ref.Occurrence)
}

// maxUnknownRuns is the number of runs on a worker from which on no further run of an unknown task
// is stopped before others have ended. Each stop is a call of its own.
const maxUnknownRuns = 1000

// handleActive processes one active run of a worker.
func (s *Scheduler) handleActive(w *worker, row ActiveRun, now time.Time) {
	r := w.runs[row.Run]
	if r == nil {
		// The steps of the run may have to be created first.
		_, t := s.findReportedTask(row.Run.Task, now)
		if t == nil && len(w.runs) >= maxUnknownRuns {
			return
		}
		r = s.adoptRun(w, row, now)
	}
	s.endRefusal(r)
	if r.state == runStarting {
		r.state = runWorking
	}
	r.confirm(now)
	r.listed = true
	r.unheardAt = time.Time{}
	s.clearFormerCrash(r)
	if r.presentAt.IsZero() {
		r.presentAt = now
	}
	if row.Percent > r.percent {
		r.percent = row.Percent
		r.progressAt = now
	}
	r.tailLatency = int64(row.TailLatency)
	s.markJobBegun(row.Run.Task.Step.Job)
	st, t := s.findTask(row.Run.Task)
	if t == nil || !t.hasRun(r) {
		return
	}
	if row.Checkpoint != "" {
		st.setCheckpoint(row.Run.Task.Index, row.Checkpoint)
	}
	if st.phase.Lasting && row.Percent >= 100 && !t.notRunningSince.IsZero() {
		if outage := now.Sub(t.notRunningSince); outage >= minOutageNote {
			s.addNote("lasting task in service", row.Run.Task, w.entry.Ref.ID, outage)
		}
		t.notRunningSince = time.Time{}
	}
}

// adoptRun takes over a run that this owner did not start or has given up as
// lost. It stops the run if its task does not need it.
func (s *Scheduler) adoptRun(w *worker, row ActiveRun, now time.Time) *run {
	st, t := s.findTask(row.Run.Task)
	r := &run{
		ref:         row.Run,
		worker:      w,
		state:       runWorking,
		startedAt:   now,
		confirmedAt: now,
		progressAt:  now,
		pace:        100,
	}
	s.describeAdopted(r, st)
	if row.Percent > 0 {
		// The run has worked under the former owner, so it did not start just now.
		r.presentAt = now.Add(-crashDelay)
	}
	r.watched = t != nil && len(t.crashes) > 0
	s.addRun(r)
	wanted := t != nil && !t.done && !t.elsewhere && t.acceptsRun(st) && !st.job.state.Final()
	if wanted && st.phase.Gang && st.gangAttempt != 0 && st.gangAttempt != row.Run.Attempt {
		wanted = false
	}
	if !wanted {
		s.stopRun(r, now, "not wanted")
		return r
	}
	if st.phase.Gang {
		st.gangAttempt = row.Run.Attempt
	}
	s.assignRun(st, t, r)
	if j := st.job; !j.workers[w.entry.Ref.ID] {
		j.workers[w.entry.Ref.ID] = true
		s.dirtyJobs[j.record.ID] = true
	}
	return r
}

// describeAdopted sets the attributes of an adopted run. A run of an ended job
// takes up its size until it has ended. A run of an unknown job is taken to use
// the whole worker.
func (s *Scheduler) describeAdopted(r *run, st *step) {
	if st != nil {
		r.copyPhase(st)
		return
	}
	r.size = r.worker.entry.Total
	if phase := r.setJob(s.jobs[r.ref.Task.Step.Job]); phase != nil {
		r.size = taskSize(phase)
	}
}

// setJob sets the job of the run and, unless the job has no such phase, the full size.
// It returns the phase, or nil.
func (r *run) setJob(j *job) *Phase {
	r.job = j
	index := r.ref.Task.Step.Phase
	if j == nil || index < 0 || index >= len(j.record.Phases) {
		return nil
	}
	phase := &j.record.Phases[index]
	r.fullSize = phase.Size
	return phase
}

// copyPhase copies the attributes of the step's phase that matter to the run.
func (r *run) copyPhase(st *step) {
	r.size = taskSize(st.phase)
	r.fullSize = st.phase.Size
	r.job = st.job
	r.fills = st.phase.Fills
	r.copies = st.phase.Copies
	r.serves = st.phase.Lasting && st.phase.TailTarget > 0
	r.estimate = st.phase.Estimate
	r.gang = st.phase.Gang
	r.lasting = st.phase.Lasting
}
