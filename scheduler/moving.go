package scheduler

import (
	"time"
)

const (
	// moveMargin is added to the stop timeout when a run is stopped before its
	// worker leaves. It covers the delivery of the stop, and the inaccuracy of
	// the time that the worker says it stays.
	moveMargin = 500 * time.Millisecond
	// hopelessFactor is the ratio of a run's remaining time to the time until its
	// worker leaves above which the run is stopped early, although its work is
	// lost. The remaining time is a rough estimate.
	hopelessFactor = 2
)

// moveOffLeavingWorkers stops runs on workers that are about to leave, as late
// as still lets the runs save their work. Lasting tasks, on which callers depend all
// the time, move as soon as there is capacity for them elsewhere, and only as
// many at once as their phase allows.
func (s *Scheduler) moveOffLeavingWorkers(pools map[string]*pool, now time.Time) {
	for _, w := range s.workers {
		if !w.entry.Leaving || !w.silentSince.IsZero() {
			continue
		}
		timeLeft := w.entry.Remaining - now.Sub(w.entry.Read)
		for _, r := range sortedRuns(w) {
			st, t := s.findTask(r.ref.Task)
			if t == nil || !t.hasRun(r) || r.state != runWorking {
				continue
			}
			if st.phase.Lasting {
				s.moveLasting(st, t, r, pools[w.entry.Service], now)
			} else if s.mustStopEarly(st, r, timeLeft, now) {
				s.addNote("stops a run on a leaving worker", r.ref.Task, w.entry.Ref.ID, timeLeft)
				s.stopRun(r, now, "worker leaves")
			}
		}
	}
}

// mustStopEarly reports whether to stop a run now, before its worker leaves.
// That is so if the run will not end in time, and either must save a checkpoint
// now or would be lost anyway.
func (s *Scheduler) mustStopEarly(st *step, r *run, timeLeft time.Duration, now time.Time) bool {
	remainingTime := s.remainingTime(r, now)
	if remainingTime <= timeLeft {
		return false
	}
	if st.phase.Checkpoints {
		return timeLeft < s.options.stopTimeout+moveMargin
	}
	return !st.phase.Gang && r.percent >= speedMinPercent && remainingTime > hopelessFactor*timeLeft
}

// moveLasting stops a lasting task once another worker has capacity for it, and
// reserves that worker. If there is none, it asks the adviser for more workers. It does
// nothing if the maximum of the organisation would not let the task start again, or if it has to
// wait until the ownership is confirmed.
func (s *Scheduler) moveLasting(st *step, t *task, r *run, p *pool, now time.Time) {
	if p == nil || st.waiting > 0 || !st.mayInterrupt(t) || !s.restartAllowed(st, r) || s.isDoubted(st) || s.longestSafeLease(now) <= 0 {
		return
	}
	if w := s.chooseWorker(st, t, p, now); w != nil {
		s.addNote("stops a run on a leaving worker", r.ref.Task, r.worker.entry.Ref.ID, now.Sub(r.startedAt))
		s.stopRun(r, now, "worker leaves")
		// The worker is reserved, also against the next task to be moved.
		s.reserve(st, p, []*worker{w}, now.Add(s.options.stopTimeout))
		return
	}
	if st.job.record.Queue.Advice != nil {
		if workers, _ := s.selectWorkersToAsk(st, p, 1, now); len(workers) > 0 {
			s.callAdviser(st, workers, now)
		}
	}
}

// mayInterrupt reports whether a task of a lasting step may be taken out of
// service without exceeding the phase's MaxAway. Without a limit it always may.
func (st *step) mayInterrupt(t *task) bool {
	limit := st.phase.MaxAway
	if limit == 0 {
		return true
	}
	for i := range st.tasks {
		other := &st.tasks[i]
		if other != t && (other.run == nil || other.run.state != runWorking || !other.notRunningSince.IsZero()) {
			limit--
		}
	}
	return limit > 0
}
