package scheduler

import (
	"time"
)

// attempt returns a number that is higher than that of any run before.
func (s *Scheduler) attempt() int64 {
	s.nextAttempt++
	return s.nextAttempt
}

// start orders a run.
func (s *Scheduler) start(st *step, index int, w *worker, attempt int64, now time.Time) {
	t := &st.tasks[index]
	r := &run{
		ref: RunRef{
			Task: TaskRef{
				Step:  st.ref,
				Index: index,
			},
			Attempt: attempt,
		},
		worker: w,
		began:  now,
		moved:  now,
		pace:   100,
	}
	r.describe(st)
	w.add(r)
	s.assign(st, t, r)
	if st.job.named[w.entry.Ref.ID] {
		s.send(r, st, now)
		return
	}
	st.job.workers[w.entry.Ref.ID] = true
	for id := range st.advice.tickets {
		// What follows on these needs no write of its own.
		st.job.workers[id] = true
	}
	s.dirty[st.job.record.ID] = true
	s.planned = append(s.planned, r)
}

// stalledAfter is how long a write may take before only workers that the store
// names already are used: several times what it takes when the store is well.
const stalledAfter = 150 * time.Millisecond

// stalled tells that the store does not take what is to be written.
func (s *Scheduler) stalled(now time.Time) bool {
	return len(s.planned) > 0 && now.Sub(s.planned[0].began) > stalledAfter
}

// send orders a planned run.
func (s *Scheduler) send(r *run, st *step, now time.Time) {
	s.begin(st.job)
	if st.began.IsZero() {
		st.began = now
	}
	r.state = runStarting
	r.began = now
	r.moved = now
	w := r.worker
	s.emit(StartTask{
		Run:        r.ref,
		Worker:     w.entry.Ref,
		Spec:       st.job.record.Spec,
		Checkpoint: st.tasks[r.ref.Task.Index].checkpoint,
		Ticket:     st.advice.tickets[w.entry.Ref.ID].value,
		Lease:      s.extendLease(w, now),
	})
}

// sendPlanned orders the runs whose worker the store names by now, and drops
// those that can no longer start there. Of a gang all members are ordered at
// once.
func (s *Scheduler) sendPlanned(now time.Time) {
	s.stall = s.stalled(now)
	planned := s.planned
	s.planned = nil
	var keep []*run
	for _, r := range planned {
		st, t := s.find(r.ref.Task)
		if t == nil || !t.has(r) || r.state != runPlanned {
			continue
		}
		switch {
		case !r.worker.available(now) || !s.ticketed(st, r.worker, now):
			s.lose(r, "worker no longer fit before the start", now)
		case !st.allNamed() && s.stall && len(st.job.named) > 0:
			s.lose(r, "the store takes no writes, other workers may do", now)
		case !st.allNamed():
			keep = append(keep, r)
		default:
			s.send(r, st, now)
		}
	}
	s.planned = append(s.planned, keep...)
}

// allNamed tells that the store names the workers of all planned runs of the
// step that must begin together.
func (st *step) allNamed() bool {
	for i := range st.tasks {
		r := st.tasks[i].run
		if r != nil && r.state == runPlanned && !st.job.named[r.worker.entry.Ref.ID] {
			return false
		}
	}
	return true
}
