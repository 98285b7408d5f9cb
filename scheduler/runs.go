package scheduler

import (
	"slices"
	"time"
)

// find returns the step and the task, or nil.
func (s *Scheduler) find(ref TaskRef) (*step, *task) {
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

// has tells that the run is one of the task.
func (t *task) has(r *run) bool {
	return t.run == r || t.copy == r
}

// find returns the run of the task with that name, or nil.
func (t *task) find(ref RunRef) *run {
	for _, r := range []*run{t.run, t.copy} {
		if r != nil && r.ref == ref {
			return r
		}
	}
	return nil
}

// takes tells that the task may have one more run.
func (t *task) takes(st *step) bool {
	return t.run == nil || st.phase.Copies && t.copy == nil
}

// assign gives a task a run, as a copy where it has one.
func (s *Scheduler) assign(st *step, t *task, r *run) {
	if t.run != nil {
		t.copy = r
		return
	}
	t.run = r
	st.waiting--
	if st.waiting == 0 {
		delete(s.open, st.ref)
	}
	if st.phase.Copies {
		s.copied[st.ref] = st
	}
}

// unassign takes a run away from its task, which waits again when it has no
// other.
func (s *Scheduler) unassign(st *step, t *task, r *run, now time.Time) {
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
	if t.away.IsZero() {
		t.away = now
	}
	if !st.job.state.Final() && st.isReady() {
		s.open[st.ref] = st
	}
}

// lose frees the room of a run that has certainly ended, in no known way.
func (s *Scheduler) lose(r *run, reason string, now time.Time) {
	r.worker.remove(r)
	s.note("run lost: "+reason, r.ref.Task, r.worker.entry.Ref.ID, now.Sub(r.began))
	st, t := s.find(r.ref.Task)
	if t == nil || !t.has(r) {
		return
	}
	s.unassign(st, t, r, now)
	if st.phase.Gang {
		st.retry = now.Add(refusedPause)
		s.breakGang(st, "a member was lost", now)
	}
}

func (s *Scheduler) releaseAll(w *worker, reason string, now time.Time) {
	for _, r := range sortedRuns(w) {
		s.lose(r, reason, now)
	}
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

// keepCheckpoint keeps a checkpoint for a task, or for a whole gang.
func (st *step) keepCheckpoint(index int, value string) {
	if !st.phase.Gang {
		st.tasks[index].checkpoint = value
		return
	}
	for i := range st.tasks {
		st.tasks[i].checkpoint = value
	}
}

// stop tells a run to end, or never to begin.
func (s *Scheduler) stop(r *run, now time.Time, reason string) {
	if r.state == runPlanned {
		// It was never sent.
		r.worker.remove(r)
		if st, t := s.find(r.ref.Task); t != nil && t.has(r) {
			s.unassign(st, t, r, now)
		}
		return
	}
	if r.state != runUncertain {
		r.state = runStopping
	}
	if r.stopping {
		return
	}
	r.stopping = true
	r.stopSent = now
	s.emit(StopTask{
		Run:    r.ref,
		Worker: r.worker.entry.Ref,
		Reason: reason,
	})
}

// StopAnswered tells whether a stop was answered.
func (s *Scheduler) StopAnswered(workerID string, ref RunRef, answered bool, now time.Time) {
	w := s.workers[workerID]
	if w == nil || w.runs[ref] == nil {
		return
	}
	r := w.runs[ref]
	r.stopping = false
	if answered {
		// A report that is asked for from now on lists the run or its end, or
		// there is none.
		r.answered = now
		r.state = runStopping
	}
}

// StartAnswered tells what came of a start.
func (s *Scheduler) StartAnswered(workerID string, ref RunRef, outcome StartOutcome, now time.Time) {
	w := s.workers[workerID]
	if w == nil || w.runs[ref] == nil {
		return
	}
	r := w.runs[ref]
	switch outcome {
	case StartDone:
		if r.state == runStarting {
			r.state = runWorking
			r.moved = now
		}
		r.answered = now
	case StartRefused:
		s.lose(r, "start refused", now)
	case StartUnhealthy:
		w.shunned = now.Add(unhealthyPause)
		s.lose(r, "worker unhealthy", now)
	case StartNoTicket:
		if st, _ := s.find(ref.Task); st != nil {
			delete(st.advice.tickets, workerID)
			delete(st.advice.asked, workerID)
		}
		s.lose(r, "ticket refused", now)
	case StartUnknown:
		if r.answered.IsZero() {
			r.state = runUncertain
			s.stop(r, now, "start not answered")
		}
	case StartSuperseded:
		s.lose(r, "superseded", now)
	case StartWorkerGone:
		s.WorkerGone(workerID, now)
	}
}
