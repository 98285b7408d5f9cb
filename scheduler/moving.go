package scheduler

import (
	"time"
)

const (
	// moveMargin is added to the time that a stop may take before a worker
	// leaves: its delivery, and what the worker's own figure may be off by.
	moveMargin = 500 * time.Millisecond
	// hopelessFactor is how many times the time that is left a run must still
	// take to be given up early: what it is thought to take is rough.
	hopelessFactor = 2
)

// move takes runs away from workers that are about to leave, as late as lets
// them save their work. Tasks on which callers depend all the time go as soon as
// there is a place for them, and only as many at once as their job allows.
func (s *Scheduler) move(pools map[string]*pool, now time.Time) {
	for _, w := range s.workers {
		if !w.entry.Leaving || !w.silent.IsZero() {
			continue
		}
		left := w.entry.Remaining - now.Sub(w.entry.Read)
		for _, r := range sortedRuns(w) {
			st, t := s.find(r.ref.Task)
			if t == nil || !t.has(r) || r.state != runWorking {
				continue
			}
			if st.phase.Lasting {
				s.moveLasting(st, t, r, pools[w.entry.Service], now)
			} else if s.cutShort(st, r, left, now) {
				s.note("run moves off a leaving worker", r.ref.Task, w.entry.Ref.ID, left)
				s.stop(r, now, "worker leaves")
			}
		}
	}
}

// cutShort tells that a run is to be stopped before its worker leaves: it will
// not end in time, and is saved, or lost anyhow.
func (s *Scheduler) cutShort(st *step, r *run, left time.Duration, now time.Time) bool {
	remaining := s.remaining(r, now)
	if remaining <= left {
		return false
	}
	if st.phase.Checkpoints {
		return left < s.options.stopTimeout+moveMargin
	}
	return !st.phase.Gang && r.percent >= copyPercent && remaining > hopelessFactor*left
}

// moveLasting stops a task that lasts once there is a place for it elsewhere,
// and asks the adviser for one.
func (s *Scheduler) moveLasting(st *step, t *task, r *run, p *pool, now time.Time) {
	if p == nil || st.waiting > 0 || !st.mayTakeAway(t) {
		return
	}
	if w := s.choose(st, t, p, now); w != nil {
		s.note("run moves off a leaving worker", r.ref.Task, r.worker.entry.Ref.ID, now.Sub(r.began))
		s.stop(r, now, "worker leaves")
		// The place is kept, also from the next task.
		s.reserve(p, []*worker{w}, now.Add(s.options.stopTimeout))
		return
	}
	if st.job.record.Queue.Advice != nil {
		if workers, _ := s.worthAsking(st, p, 1, now); len(workers) > 0 {
			s.renew(st, workers, now)
		}
	}
}

// mayTakeAway tells that so few other tasks of a lasting step are away that this
// one may be, too. A job that sets no limit allows all.
func (st *step) mayTakeAway(t *task) bool {
	limit := st.phase.MaxAway
	if limit == 0 {
		return true
	}
	for i := range st.tasks {
		other := &st.tasks[i]
		if other != t && (other.run == nil || other.run.state != runWorking || !other.away.IsZero()) {
			limit--
		}
	}
	return limit > 0
}
