package scheduler

import (
	"slices"
	"time"
)

const (
	// copyGain is how many times as long as a fresh run one must still take for
	// a copy to be started: estimates of both are rough.
	copyGain = 3
	// copyStill is for how long a run may show no progress before it is copied.
	// Copies cost little, so that is less than what stops a run.
	copyStill = 500 * time.Millisecond
	// copyAfter and copyPercent are how long a run must have worked, and how far
	// it must be, for its speed to be known: percents are whole and rough.
	copyAfter   = 250 * time.Millisecond
	copyPercent = 10
	// copyStart is what the start of a copy takes: its order and its answer.
	copyStart = 50 * time.Millisecond
)

// copySlow starts a second run of tasks whose first one is slow, stands still
// or is on a worker that does not answer, where the job allows that and room is
// left. What ends first counts.
func (s *Scheduler) copySlow(pools map[string]*pool, now time.Time) {
	if len(s.copied) == 0 {
		return
	}
	steps := make([]*step, 0, len(s.copied))
	for _, st := range s.copied {
		steps = append(steps, st)
	}
	slices.SortFunc(steps, func(a, b *step) int { return compareSteps(a.ref, b.ref) })
	for _, st := range steps {
		p := pools[st.job.record.Queue.Service]
		if p == nil || len(p.wanted) > 0 || st.use(now) > rankLate {
			continue
		}
		s.copyStep(st, p, now)
	}
}

// copyStep starts copies of the slow runs of a step.
func (s *Scheduler) copyStep(st *step, p *pool, now time.Time) {
	missing := 0
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || t.run == nil || t.copy != nil || !s.isSlow(st, t.run, now) {
			continue
		}
		if !sizeOf(st.phase).Fits(p.free) {
			return
		}
		elsewhere := *t
		elsewhere.avoid = append(slices.Clone(t.avoid), t.run.worker.entry.Ref.ID)
		w := s.choose(st, &elsewhere, p, now)
		if w == nil || w == t.run.worker {
			missing++
			continue
		}
		s.note("copy of a slow run", t.run.ref.Task, w.entry.Ref.ID, now.Sub(t.run.began))
		p.free = p.free.Sub(sizeOf(st.phase))
		s.start(st, i, w, s.attempt(), now)
	}
	if missing == 0 || st.waiting > 0 || st.job.record.Queue.Advice == nil {
		return
	}
	if workers, _ := s.worthAsking(st, p, missing, now); len(workers) > 0 {
		s.renew(st, workers, now)
	}
}

// isSlow tells that a fresh run elsewhere would probably end first.
func (s *Scheduler) isSlow(st *step, r *run, now time.Time) bool {
	switch {
	case r.state == runPlanned || r.state == runStarting:
		return false
	case r.state == runUncertain || !r.worker.silent.IsZero():
		return true
	}
	still := r.worker.heard.Sub(r.moved)
	if r.percent < 100 && still > max(copyStill, time.Duration(stuckShare*float64(r.estimate))) {
		return true
	}
	if now.Sub(r.began) < copyAfter || r.percent < copyPercent {
		return false
	}
	fresh := time.Duration(float64(st.phase.Estimate) * s.stats(st.job.record.Queue.Name).stretch)
	if st.runs > 0 {
		fresh = st.ran / time.Duration(st.runs)
	}
	return s.remaining(r, now) > copyStart+time.Duration(copyGain*float64(fresh))
}
