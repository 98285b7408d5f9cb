package scheduler

import (
	"slices"
	"time"
)

const (
	// minCopyGain is the minimum ratio of a run's remaining time to the time of
	// a fresh run for a copy to be started. Estimates of both are rough.
	minCopyGain = 3
	// copyStuckAfter is the minimum time without progress after which a run is
	// copied. It is shorter than stuckAfter, after which a run is stopped,
	// because copies cost little.
	copyStuckAfter = 500 * time.Millisecond
	// speedMinRunTime and speedMinPercent are the run time and the progress
	// that a run must have reached for its speed to be judged, because
	// percentages are whole numbers and rough.
	speedMinRunTime = 250 * time.Millisecond
	speedMinPercent = 10
	// copyStartDelay is the time that the start of a copy takes, from the order to
	// the answer.
	copyStartDelay = 50 * time.Millisecond
)

// copySlowRuns starts a second run of tasks whose run is slow, makes no progress
// or is on a worker that does not answer, if the phase allows copies and
// capacity is left. The run that is done first counts.
func (s *Scheduler) copySlowRuns(pools map[string]*pool, now time.Time) {
	if len(s.copyableSteps) == 0 || s.longestSafeLease(now) <= 0 {
		return
	}
	steps := make([]*step, 0, len(s.copyableSteps))
	for _, st := range s.copyableSteps {
		steps = append(steps, st)
	}
	slices.SortFunc(steps, func(a, b *step) int { return compareSteps(a.ref, b.ref) })
	for _, st := range steps {
		p := pools[st.job.record.Queue.Service]
		if p == nil || len(p.starvedSteps) > 0 || st.rank(now) > rankLate || !st.job.mayStartGuest(now) {
			continue
		}
		s.copyStep(st, p, now)
	}
}

// copyStep starts copies of the slow runs of a step. If there is no worker for
// some of the copies, it may ask the adviser about more workers.
func (s *Scheduler) copyStep(st *step, p *pool, now time.Time) {
	unplaced := 0
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || t.run == nil || t.copy != nil || !t.mayCopy() || !s.isSlow(st, t.run, now) {
			continue
		}
		if !taskSize(st.phase).Fits(p.freeCapacity) || !s.copyAllowed(st) {
			return
		}
		elsewhere := *t
		elsewhere.avoidWorkers = append(slices.Clone(t.avoidWorkers), t.run.worker.entry.Ref.ID)
		w := s.chooseWorker(st, &elsewhere, p, now)
		if w == nil || w == t.run.worker {
			unplaced++
			continue
		}
		s.addNote("starts a copy of a slow run", t.run.ref.Task, w.entry.Ref.ID, now.Sub(t.run.startedAt))
		p.freeCapacity = p.freeCapacity.Sub(taskSize(st.phase))
		s.startRun(st, i, w, s.newAttempt(), now)
	}
	if unplaced == 0 || st.waiting > 0 || st.job.record.Queue.Advice == nil {
		return
	}
	if workers, _ := s.selectWorkersToAsk(st, p, unplaced, now); len(workers) > 0 {
		s.callAdviser(st, workers, now)
	}
}

// isSlow reports whether a fresh run on another worker would probably end
// before this one.
func (s *Scheduler) isSlow(st *step, r *run, now time.Time) bool {
	switch {
	case r.state == runPlanned || r.state == runStarting:
		return false
	case r.state == runUncertain || !r.worker.silentSince.IsZero():
		return true
	}
	stuckFor := r.worker.lastReportAt.Sub(r.progressAt)
	if r.percent < 100 && stuckFor > max(copyStuckAfter, time.Duration(stuckFraction*float64(r.estimate))) {
		return true
	}
	if now.Sub(r.startedAt) < speedMinRunTime || r.percent < speedMinPercent {
		return false
	}
	freshRunTime := time.Duration(float64(st.phase.Estimate) * s.stats(st.job.record.Queue.Name).runTimeFactor)
	if st.completedRuns > 0 {
		freshRunTime = st.totalRunTime / time.Duration(st.completedRuns)
	}
	return s.remainingTime(r, now) > copyStartDelay+time.Duration(minCopyGain*float64(freshRunTime))
}
