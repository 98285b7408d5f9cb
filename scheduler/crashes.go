package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// A task that crashes the workers that start it is told from those that run beside it by
// the moment of the crash: a run that a worker has had for crashDelay or longer did not
// crash it by being started. The tasks of the other runs are suspects. A suspect is started
// alone: on a worker on which no other run has just started, and on which none starts until
// the worker has outlived the start. If that worker crashes too, the task did it.

const (
	// crashDelay is the time after its start within which a run may crash its worker.
	crashDelay = 250 * time.Millisecond
	// trialMargin is added to crashDelay before other runs may start beside a suspect. It
	// covers the time until a crash is noticed.
	trialMargin = 50 * time.Millisecond
	// maxStartCrashes is the number of workers that have crashed at a start of a task at
	// which it is given up.
	maxStartCrashes = 2
	// maxCrashes is the same for workers that crashed at any time within settledAfter, by
	// which a task is given up that crashes its workers later than crashDelay. It is as
	// high as the platform allows, as the tasks beside that one are counted too.
	maxCrashes = 5
	// settledAfter is the time after which a run is taken not to crash its worker.
	settledAfter = 10 * time.Second
	// workersPerTrial and minTrials limit the suspects that are tried at once, to one for
	// so many available workers, but not to fewer than minTrials. Suspects of the same
	// crash count as one, as only one of them can have caused it. idleWorkersPerTrial is
	// used instead of workersPerTrial while less than half of the service is in use, as
	// what is lost with a worker then starts again at once.
	workersPerTrial     = 4
	idleWorkersPerTrial = 2
	minTrials           = 2
)

// Crash is a worker that ended, or probably has, while it had a run of a task.
type Crash struct {
	Worker string `json:"worker"`
	// Born is as in WorkerEntry, for the life of the worker that ended.
	Born time.Time `json:"born,omitzero"`
	// AtStart is set if the run may have crashed the worker by being started.
	AtStart bool `json:"atStart,omitempty"`
	// Confirmed is set once the worker has certainly ended.
	Confirmed bool `json:"confirmed,omitempty"`
}

// isOf reports whether the crash ended the worker's present life.
func (c Crash) isOf(w *worker) bool {
	return c.Worker == w.entry.Ref.ID && c.Born.Equal(w.born)
}

// suspected reports whether a worker may have crashed because the task was started there.
func (t *task) suspected() bool {
	return slices.ContainsFunc(t.crashes, func(c Crash) bool { return c.AtStart })
}

// suspected reports whether a task of the gang is a suspect.
func (st *step) suspected() bool {
	return slices.ContainsFunc(st.tasks, func(t task) bool { return !t.done && t.suspected() })
}

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
					worker: c.Worker,
					born:   c.Born.UnixMilli(),
				}
			}
		}
	}
	return crashKey{}
}

// crashKey identifies a crash by the life of the worker, which began at a time in
// milliseconds.
type crashKey struct {
	worker string
	born   int64
}

// givenUp reports whether the task may not be started any more. A worker that is not known
// to have ended may only have been cut off, so such workers count as one less.
func (t *task) givenUp() bool {
	atStart, confirmedAtStart, confirmed := 0, 0, 0
	for _, c := range t.crashes {
		if c.AtStart {
			atStart++
		}
		if c.Confirmed {
			confirmed++
		}
		if c.AtStart && c.Confirmed {
			confirmedAtStart++
		}
	}
	return confirmedAtStart >= maxStartCrashes || atStart > maxStartCrashes || confirmed >= maxCrashes
}

// outlived reports whether the worker certainly had the run for that long by the given
// time. The members of a gang begin to work once all of them are there.
func (s *Scheduler) outlived(r *run, d time.Duration, at time.Time) bool {
	since := r.presentAt
	if since.IsZero() {
		return false
	}
	if st, _ := s.findTask(r.ref.Task); st != nil && st.phase.Gang {
		for i := range st.tasks {
			other := st.tasks[i].run
			if other == nil || other.ref.Attempt != r.ref.Attempt {
				continue
			}
			if other.presentAt.IsZero() {
				return false
			}
			since = latest(since, other.presentAt)
		}
	}
	return at.Sub(since) >= d
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// suspectStarts makes suspects of the tasks that a worker may have started just before it
// ended. It makes none if that moment is not known well enough.
func (s *Scheduler) suspectStarts(w *worker, endedBy time.Time) {
	if w.entry.Leaving || endedBy.Sub(w.aliveAt) > crashDelay {
		return
	}
	for _, r := range w.runs {
		if r.state == runPlanned || s.outlived(r, crashDelay, w.aliveAt) {
			continue
		}
		if st, t := s.findTask(r.ref.Task); t != nil && !t.done && !st.job.state.Final() {
			s.addCrash(st, t, r.ref.Task, Crash{
				Worker:  w.entry.Ref.ID,
				Born:    w.born,
				AtStart: true,
			})
		}
	}
}

// addCrash records a crash of a worker, or adds what is new to its record.
func (s *Scheduler) addCrash(st *step, t *task, ref TaskRef, crash Crash) {
	s.dirtyJobs[st.job.record.ID] = true
	for i := range t.crashes {
		if known := &t.crashes[i]; known.Worker == crash.Worker && known.Born.Equal(crash.Born) {
			known.AtStart = known.AtStart || crash.AtStart
			known.Confirmed = known.Confirmed || crash.Confirmed
			return
		}
	}
	t.crashes = append(t.crashes, crash)
	if !crash.Confirmed {
		s.suspects[crash.Worker] = append(s.suspects[crash.Worker], ref)
	}
}

// restoreCrashes sets the crashes of a task that a former owner stored.
func (s *Scheduler) restoreCrashes(st *step, index int, stored []Crash) {
	crashes := slices.Clone(stored)
	st.tasks[index].crashes = crashes
	for i := range crashes {
		c := &crashes[i]
		if w := s.workers[c.Worker]; w != nil && c.Born.Before(w.born) {
			c.Confirmed = true
		}
		if !c.Confirmed {
			s.suspects[c.Worker] = append(s.suspects[c.Worker], TaskRef{
				Step:  st.ref,
				Index: index,
			})
		}
	}
}

// dropCrashes removes those crashes of a task for which drop returns true.
func (s *Scheduler) dropCrashes(ref TaskRef, drop func(Crash) bool) {
	st, t := s.findTask(ref)
	if t == nil || !slices.ContainsFunc(t.crashes, drop) {
		return
	}
	t.crashes = slices.DeleteFunc(t.crashes, drop)
	if !st.job.state.Final() {
		s.dirtyJobs[st.job.record.ID] = true
	}
}

// clearSuspects records that a worker which was silent has not crashed.
func (s *Scheduler) clearSuspects(w *worker) {
	for _, ref := range s.suspects[w.entry.Ref.ID] {
		s.dropCrashes(ref, func(c Crash) bool { return c.isOf(w) && !c.Confirmed })
	}
	delete(s.suspects, w.entry.Ref.ID)
}

// forgetSuspects removes the tasks of a job from the suspects.
func (s *Scheduler) forgetSuspects(id string) {
	for worker, refs := range s.suspects {
		refs = slices.DeleteFunc(refs, func(ref TaskRef) bool { return ref.Step.Job == id })
		s.suspects[worker] = refs
		if len(refs) == 0 {
			delete(s.suspects, worker)
		}
	}
}

// confirmCrash records that the present life of a worker has ended although the worker had
// not said that it would leave, and so have the lives that began before born, or all lives
// if born is zero. It is called while the runs of that life are still known, and returns the
// tasks concerned.
func (s *Scheduler) confirmCrash(w *worker, born, now time.Time) []TaskRef {
	if w.entry.Leaving {
		s.clearSuspects(w)
		return nil
	}
	if w.silentSince.IsZero() {
		s.suspectStarts(w, now)
	}
	refs := s.suspects[w.entry.Ref.ID]
	delete(s.suspects, w.entry.Ref.ID)
	for _, ref := range refs {
		if st, t := s.findTask(ref); t != nil && !st.job.state.Final() {
			t.confirmCrashes(w.entry.Ref.ID, born)
			s.dirtyJobs[ref.Step.Job] = true
		}
	}
	for _, r := range w.runs {
		st, t := s.findTask(r.ref.Task)
		counts := r.state != runPlanned && !s.outlived(r, settledAfter, w.aliveAt)
		if t == nil || t.done || st.job.state.Final() || !counts {
			continue
		}
		s.addCrash(st, t, r.ref.Task, Crash{
			Worker:    w.entry.Ref.ID,
			Born:      w.born,
			Confirmed: true,
		})
		refs = append(refs, r.ref.Task)
	}
	return refs
}

// confirmCrashes marks the crashes of those lives of a worker as confirmed that began before
// born, or of all its lives if born is zero.
func (t *task) confirmCrashes(workerID string, born time.Time) {
	for i := range t.crashes {
		if c := &t.crashes[i]; c.Worker == workerID && (born.IsZero() || c.Born.Before(born)) {
			c.Confirmed = true
		}
	}
}

// giveUpCrashing ends the jobs of those tasks that crash their workers.
func (s *Scheduler) giveUpCrashing(refs []TaskRef, now time.Time) {
	for _, ref := range refs {
		st, t := s.findTask(ref)
		if t == nil || t.done || st.job.state.Final() || !t.givenUp() {
			continue
		}
		workers := make([]string, 0, len(t.crashes))
		for _, c := range t.crashes {
			workers = append(workers, c.Worker)
		}
		s.losses.GivenUp++
		s.addNote(fmt.Sprintf("task is given up: %d workers crashed under it, %s", len(workers), strings.Join(workers, " ")),
			ref, "", now.Sub(st.job.record.Accepted))
		s.endJob(st.job, Failed, now)
	}
}

// acquit clears the tasks of runs that their worker has outlived.
func (s *Scheduler) acquit(w *worker, now time.Time) {
	for _, r := range w.runs {
		if !r.watched || !s.outlived(r, crashDelay, now) {
			continue
		}
		settled := s.outlived(r, settledAfter, now)
		s.dropCrashes(r.ref.Task, func(c Crash) bool { return c.AtStart || settled })
	}
}

// trials returns the crashes for which suspects are tried on workers of the service. A trial lasts until the worker has outlived the start,
// or until it is known what became of the worker.
func (s *Scheduler) trials(service string, now time.Time) map[crashKey]bool {
	trials := make(map[crashKey]bool)
	for _, w := range s.workers {
		if w.trials == 0 || w.entry.Service != service {
			continue
		}
		for _, r := range w.runs {
			if r.trialGroup != (crashKey{}) && (!w.silentSince.IsZero() || s.isTried(r, now)) {
				trials[r.trialGroup] = true
			}
		}
	}
	return trials
}

// isTried reports whether the run may still crash its worker by being started.
func (s *Scheduler) isTried(r *run, now time.Time) bool {
	return !s.outlived(r, crashDelay+trialMargin, now)
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
		if t := &st.tasks[i]; !t.done && t.run == nil && s.mayTry(st, t, p, now) {
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
		if !s.outlived(r, crashDelay, now) {
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
		if t := &st.tasks[i]; !t.done && t.run == nil && t.suspected() {
			n++
		}
	}
	return n
}
