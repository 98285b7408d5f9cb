package scheduler

import (
	"time"
)

// learn keeps what an end says of the worker.
func (s *Scheduler) learn(r *run, end End, now time.Time) {
	w := r.worker
	switch end {
	case EndDone:
		w.fails = 0
		w.shuns = 0
		w.shunned = time.Time{}
		clear(w.streak)
	case EndFailed:
		w.fails++
		w.streak[r.ref.Task.Step.Job] = true
		if w.fails >= shunAfter && len(w.streak) > 1 {
			w.shuns++
			w.shunned = now.Add(min(shunMost, shunFirst<<min(w.shuns-1, 4)))
			s.note("worker set aside after failures", r.ref.Task, w.entry.Ref.ID, 0)
		}
	case EndUnknown, EndStopped, EndLapsed, EndBroken, EndAlone:
	}
	if end == EndDone && !r.gang && !r.lasting && r.estimate > 0 && r.pace == 100 {
		s.learnSpeed(r, now)
	}
}

const (
	// speedWeight is what one run changes of a learnt speed.
	speedWeight = 0.3
	// queueWeight is the same for a whole queue, which has many more runs.
	queueWeight = 0.02
)

// learnSpeed compares the time that a run took with that of the others of its
// step, which are alike. Estimates are too far off to compare with.
func (s *Scheduler) learnSpeed(r *run, now time.Time) {
	st, _ := s.find(r.ref.Task)
	if st == nil {
		return
	}
	took := now.Sub(r.began)
	if st.runs > 0 {
		relative := float64(took) * float64(st.runs) / float64(st.ran)
		r.worker.slowness += speedWeight * (relative - r.worker.slowness)
	}
	st.runs++
	st.ran += took
	q := s.stats(st.job.record.Queue.Name)
	q.stretch += queueWeight * (float64(took)/float64(r.estimate) - q.stretch)
}
