package scheduler

import (
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// trialMargin is added to crashDelay before other runs may start beside a suspect. It
	// covers the time until a crash is noticed.
	trialMargin = 50 * time.Millisecond
	// workersPerTrial and minTrials limit the suspects that are tried at once, to one for
	// so many available workers, but not to fewer than minTrials. Suspects of the same
	// crash count as one, as only one of them can have caused it. idleWorkersPerTrial is
	// used instead of workersPerTrial while less than half of the service is in use, as
	// what is lost with a worker then starts again at once.
	workersPerTrial     = 4
	idleWorkersPerTrial = 2
	minTrials           = 2
)

// isTrial reports whether a start of the task is a trial.
func (st *step) isTrial(t *task) bool {
	return t.suspected() || st.phase.Gang && st.suspected()
}

// trialGroup returns the crash for which the task, or its gang, is tried, zero if there is
// none.
func (st *step) trialGroup(t *task) crashKey {
	tasks := []task{*t}
	if st.phase.Gang {
		tasks = st.tasks
	}
	for i := range tasks {
		for _, c := range tasks[i].crashes {
			if c.AtStart {
				return crashKey{
					worker:    c.Worker,
					startedAt: c.StartedAt.UnixMilli(),
				}
			}
		}
	}
	return crashKey{}
}

// crashKey identifies a crash by the incarnation of the worker, which began at a time in
// milliseconds.
type crashKey struct {
	worker    string
	startedAt int64
}

// trials returns the crashes for which suspects are tried on workers of the service. A trial
// lasts until the worker has outlived the start, or until it is known what became of it.
func (s *Scheduler) trials(service string, now time.Time) map[crashKey]bool {
	trials := make(map[crashKey]bool)
	for _, w := range s.workers {
		if w.trials == 0 || w.entry.Service != service {
			continue
		}
		for _, r := range w.runs {
			if r.trialGroup != (crashKey{}) && !r.refused && (!w.silentSince.IsZero() || s.isTried(r, now)) {
				trials[r.trialGroup] = true
			}
		}
	}
	return trials
}

// isTried reports whether the run may still crash its worker by being started.
func (s *Scheduler) isTried(r *run, now time.Time) bool {
	return !r.refused && !s.outlived(r, crashDelay+trialMargin, now)
}

// hasTrial reports whether a suspect is being tried on the worker.
func (s *Scheduler) hasTrial(w *worker, now time.Time) bool {
	if w.trials == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.trialGroup != (crashKey{}) && s.isTried(r, now) {
			return true
		}
	}
	return false
}

// mayTry reports whether the task, or its gang, may be tried now. Lasting tasks, on which
// callers depend all the time, do not wait for others.
func (s *Scheduler) mayTry(st *step, t *task, p *pool, now time.Time) bool {
	if p.trials == nil {
		p.trials = s.trials(st.job.record.Queue.Service, now)
		p.maxTrials = maxTrials(p.workers)
	}
	return st.phase.Lasting || p.trials[st.trialGroup(t)] || len(p.trials) < p.maxTrials
}

// awaitsTrial reports whether all waiting tasks of the step are suspects that may not be
// tried now. Such a step needs neither advice nor workers yet.
func (s *Scheduler) awaitsTrial(st *step, p *pool, now time.Time) bool {
	if st.waiting == 0 || st.waitingSuspects() < st.waiting {
		return false
	}
	for i := range st.tasks {
		if t := &st.tasks[i]; t.waits() && s.mayTry(st, t, p, now) {
			return false
		}
	}
	return true
}

// maxTrials returns how many suspects may be tried at once on the available workers of a
// service.
func maxTrials(workers []*worker) int {
	var used, total sizer.Size
	for _, w := range workers {
		used = used.Add(w.used)
		total = total.Add(w.entry.Total)
	}
	perTrial := workersPerTrial
	if used.DominantShare(total) < 0.5 {
		perTrial = idleWorkersPerTrial
	}
	return max(minTrials, len(workers)/perTrial)
}

// mayTryOn reports whether a suspect may be started on the worker: whether its crash could
// have no other cause.
func (s *Scheduler) mayTryOn(w *worker, now time.Time) bool {
	for _, r := range w.runs {
		if !r.refused && !s.outlived(r, crashDelay, now) {
			return false
		}
	}
	return true
}

// mayCopy reports whether a copy of the task's run may be started. One of a task that
// crashes its workers would crash a second worker before anything is known of the first.
func (t *task) mayCopy() bool {
	return !t.suspected() && len(t.crashes) < maxStartCrashes
}

// stakeWeight is the weight of what runs on a worker when one is chosen for a suspect. It
// outweighs everything else, as all of it is lost if the worker crashes.
const stakeWeight = 50

// stake rates what is lost if the worker crashes.
func (w *worker) stake() float64 {
	return stakeWeight * w.used.DominantShare(w.entry.Total)
}

// waitingSuspects counts the waiting tasks of the step that are suspects.
func (st *step) waitingSuspects() int {
	n := 0
	for i := range st.tasks {
		if t := &st.tasks[i]; t.waits() && t.suspected() {
			n++
		}
	}
	return n
}
