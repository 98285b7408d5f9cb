package scheduler

import (
	"time"
)

// End says how a run ended.
type End int

// The ways in which a run ends.
const (
	// EndUnknown is one that this release does not know.
	EndUnknown End = iota
	EndDone
	// EndFailed tells of a fault of the task or of the worker.
	EndFailed
	EndStopped
	// EndLapsed tells that the lease was not renewed.
	EndLapsed
	// EndBroken tells that another member of the gang ended.
	EndBroken
	// EndAlone tells that the other members did not come in time.
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

// ActiveRun is a run that a worker reports as being there.
type ActiveRun struct {
	Run        RunRef
	Checkpoint string
	// Percent of the work that is done. A lasting task is at work at 100.
	Percent int
	// Tail is the response time of a task that has a target, else 0.
	Tail time.Duration
}

// EndedRun is a run that a worker reports as ended.
type EndedRun struct {
	// Number rises from 1 in one life of the worker.
	Number     int64
	Run        RunRef
	End        End
	Checkpoint string
}

// Report is what a worker says of itself.
type Report struct {
	// Clock is the worker's own.
	Clock  time.Duration
	Active []ActiveRun
	Ended  []EndedRun
}

// Report takes what a worker answered to a renewal that was sent at that time.
func (s *Scheduler) Report(id string, report Report, sent, now time.Time) {
	w := s.workers[id]
	if w == nil {
		return
	}
	if !w.adopted || report.Clock > w.clockAt(now) {
		w.clock = report.Clock
		w.seen = now
	}
	w.adopted = true
	w.heard = now
	w.silent = time.Time{}
	ended := make(map[RunRef]bool)
	for _, row := range report.Ended {
		ended[row.Run] = true
		if row.Number > w.ended {
			s.takeEnd(w, row, now)
		}
	}
	active := make(map[RunRef]bool, len(report.Active))
	for _, row := range report.Active {
		active[row.Run] = true
		s.takeActive(w, row, now)
	}
	if len(report.Ended) >= endsInReport {
		return
	}
	for ref, r := range w.runs {
		settled := !r.answered.IsZero() && r.answered.Before(sent)
		if settled && !active[ref] && !ended[ref] {
			s.lose(r, "not there", now)
		}
	}
}

// takeEnd takes in one end.
func (s *Scheduler) takeEnd(w *worker, row EndedRun, now time.Time) {
	w.ended = row.Number
	if r := w.runs[row.Run]; r != nil {
		s.learn(r, row.End, now)
		w.remove(r)
	}
	before := len(s.dirty)
	changed := s.applyEnd(w, row, now)
	batch := int64(0)
	if changed || len(s.dirty) > before {
		batch = s.batch
	}
	w.acks = append(w.acks, pendingAck{
		number: row.Number,
		batch:  batch,
	})
}

// applyEnd changes the task of a run that ended. It reports whether the
// progress of the job changed.
func (s *Scheduler) applyEnd(w *worker, row EndedRun, now time.Time) bool {
	st, t := s.find(row.Run.Task)
	if t == nil || st.job.state.Final() {
		return false
	}
	r := t.find(row.Run)
	own := r != nil
	if own {
		s.unassign(st, t, r, now)
	}
	if row.Checkpoint != "" && !t.done {
		st.keepCheckpoint(row.Run.Task.Index, row.Checkpoint)
	}
	id := st.job.record.ID
	switch row.End {
	case EndDone:
		if st.phase.Lasting {
			break
		}
		if st.phase.Gang {
			for i := range st.tasks {
				s.taskDone(st, &st.tasks[i], now)
			}
		} else {
			s.taskDone(st, t, now)
		}
		s.dirty[id] = true
		s.stepDone(st, now)
		return true
	case EndFailed:
		t.avoid = append(t.avoid, w.entry.Ref.ID)
		if !st.phase.Lasting {
			s.taskFailed(st, t, row.Run.Attempt, now)
			s.dirty[id] = true
		}
		if st.phase.Gang && own {
			s.breakGang(st, "a member failed", now)
		}
		return !st.phase.Lasting
	case EndStopped, EndLapsed, EndBroken, EndAlone, EndUnknown:
		if st.phase.Gang && own {
			s.breakGang(st, "a member ended "+row.End.String(), now)
		}
	}
	return false
}

func (s *Scheduler) taskDone(st *step, t *task, now time.Time) {
	if t.done {
		return
	}
	for t.run != nil {
		r := t.run
		s.unassign(st, t, r, now)
		if _, there := r.worker.runs[r.ref]; there && !st.phase.Gang {
			s.stop(r, now, "done elsewhere")
		}
	}
	t.done = true
	st.done++
	st.waiting--
}

func (s *Scheduler) taskFailed(st *step, t *task, attempt int64, now time.Time) {
	failures := &t.failures
	if st.phase.Gang {
		failures = &st.gangFailures
	}
	*failures = addAttempt(*failures, attempt)
	if len(*failures) >= max(1, st.job.record.Queue.MaxAttempts) {
		s.end(st.job, Failed, now)
	}
}

// stepDone opens what depended on a step, and ends the job with its last step.
func (s *Scheduler) stepDone(st *step, now time.Time) {
	if st.done < len(st.tasks) {
		return
	}
	st.ended = now
	delete(s.open, st.ref)
	delete(s.copied, st.ref)
	for i := range st.job.record.Phases {
		next := st.ref
		next.Phase = i
		s.release(st.job.steps[next], now)
	}
	s.finish(st.job, now)
}

// takeActive takes in one run that a worker has.
func (s *Scheduler) takeActive(w *worker, row ActiveRun, now time.Time) {
	r := w.runs[row.Run]
	if r == nil {
		r = s.adopt(w, row, now)
	}
	if r.state == runStarting {
		r.state = runWorking
	}
	if r.answered.IsZero() {
		r.answered = now
	}
	if row.Percent > r.percent {
		r.percent = row.Percent
		r.moved = now
	}
	r.gauge = int64(row.Tail)
	st, t := s.find(row.Run.Task)
	if t == nil || !t.has(r) {
		return
	}
	s.begin(st.job)
	if row.Checkpoint != "" {
		st.keepCheckpoint(row.Run.Task.Index, row.Checkpoint)
	}
	if st.phase.Lasting && row.Percent >= 100 {
		t.away = time.Time{}
	}
}

// adopt takes over a run that this owner did not start, or no longer counts
// on. One that is not wanted is told to end.
func (s *Scheduler) adopt(w *worker, row ActiveRun, now time.Time) *run {
	st, t := s.find(row.Run.Task)
	r := &run{
		ref:      row.Run,
		worker:   w,
		state:    runWorking,
		began:    now,
		answered: now,
		moved:    now,
		pace:     100,
	}
	s.describeFound(r, st)
	w.add(r)
	wanted := t != nil && !t.done && t.takes(st) && !st.job.state.Final()
	if wanted && st.phase.Gang && st.gang != 0 && st.gang != row.Run.Attempt {
		wanted = false
	}
	if !wanted {
		s.stop(r, now, "not wanted")
		return r
	}
	if st.phase.Gang {
		st.gang = row.Run.Attempt
	}
	s.assign(st, t, r)
	if j := st.job; !j.workers[w.entry.Ref.ID] {
		j.workers[w.entry.Ref.ID] = true
		s.dirty[j.record.ID] = true
	}
	return r
}

// describeFound describes a run that was found on a worker. One of a job that
// has ended holds its room until it is gone. One of a job that is not known
// may hold all of it.
func (s *Scheduler) describeFound(r *run, st *step) {
	if st != nil {
		r.describe(st)
		return
	}
	r.size = r.worker.entry.Total
	ref := r.ref.Task.Step
	if j := s.jobs[ref.Job]; j != nil && ref.Phase >= 0 && ref.Phase < len(j.record.Phases) {
		r.size = sizeOf(&j.record.Phases[ref.Phase])
	}
}

// describe copies what matters of a run's step.
func (r *run) describe(st *step) {
	r.size = sizeOf(st.phase)
	r.fills = st.phase.Fills
	r.serves = st.phase.Lasting && st.phase.TailTarget > 0
	r.estimate = st.phase.Estimate
	r.gang = st.phase.Gang
	r.lasting = st.phase.Lasting
}
