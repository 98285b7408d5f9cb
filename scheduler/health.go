package scheduler

import (
	"time"
)

// updateWorkerHealth updates the worker's failures and slowness by the end of a
// run. It sets the worker aside after several failures in a row.
func (s *Scheduler) updateWorkerHealth(r *run, end End, now time.Time) {
	w := r.worker
	switch end {
	case EndDone:
		w.failureStreak = 0
		w.setAsideCount = 0
		w.setAsideUntil = time.Time{}
		clear(w.failedJobs)
	case EndFailed:
		w.failureStreak++
		w.failedJobs[r.ref.Task.Step.Job] = true
		if w.failureStreak >= setAsideAfter && len(w.failedJobs) > 1 {
			w.setAsideCount++
			w.setAsideUntil = now.Add(min(setAsideMax, setAsideMin<<min(w.setAsideCount-1, 4)))
			s.addNote("worker set aside after failures", r.ref.Task, w.entry.Ref.ID, 0)
		}
	case EndUnknown, EndStopped, EndLapsed, EndBroken, EndAlone:
	}
	if end == EndDone && !r.gang && !r.lasting && r.estimate > 0 && r.pace == 100 {
		s.updateSlowness(r, now)
	}
}

const (
	// slownessWeight is the weight of one run in the moving average of a
	// worker's slowness.
	slownessWeight = 0.3
	// runTimeFactorWeight is the same for the run time factor of a queue, which
	// has many more runs.
	runTimeFactorWeight = 0.02
)

// updateSlowness compares the run time with that of the other runs of the step,
// whose tasks are similar. Estimates are too inaccurate for that.
func (s *Scheduler) updateSlowness(r *run, now time.Time) {
	st, _ := s.findTask(r.ref.Task)
	if st == nil {
		return
	}
	took := now.Sub(r.startedAt)
	if st.completedRuns > 0 {
		relative := float64(took) * float64(st.completedRuns) / float64(st.totalRunTime)
		r.worker.slowness += slownessWeight * (relative - r.worker.slowness)
	}
	st.completedRuns++
	st.totalRunTime += took
	q := s.stats(st.job.record.Queue.Name)
	q.runTimeFactor += runTimeFactorWeight * (float64(took)/float64(r.estimate) - q.runTimeFactor)
}
