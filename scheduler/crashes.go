package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// A task that crashes the workers that start it is told from those that run beside it by
// the moment of the crash: a run that a worker has had for crashDelay or longer did not
// crash it by being started. The tasks of the other runs are suspects. A suspect is started
// alone: on a worker on which no other run has just started, and on which none starts until
// the worker has outlived the start. If that worker crashes too, the task did it.
//
// That holds for a run that the worker has certainly had. A start without an answer may have reached
// nobody: its task is a suspect too, but it takes more such crashes until it is given up. So it is if
// other workers end at the same moment without a start that explains it, as after a loss of power.

const (
	// crashDelay is the time after its start within which a run may crash its worker.
	crashDelay = 250 * time.Millisecond
	// maxStartCrashes is the number of workers that have crashed at a start of a task at
	// which it is given up.
	maxStartCrashes = 2
	// maxCrashes is the same for workers that crashed at any time within settledAfter, by
	// which a task is given up that crashes its workers later than crashDelay. It is as
	// high as the platform allows, as the tasks beside that one are counted too.
	maxCrashes = 5
	// settledAfter is the time after which a run is taken not to crash its worker.
	settledAfter = 10 * time.Second
)

// Crash is a worker that ended, or probably has, while it had a run of a task.
type Crash struct {
	Worker string `json:"worker"`
	// StartedAt is as in WorkerEntry, for the incarnation of the worker that ended.
	StartedAt time.Time `json:"startedAt,omitzero"`
	// AtStart is set if the run may have crashed the worker by being started.
	AtStart bool `json:"atStart,omitempty"`
	// Unanswered is the attempt of the run if nothing has shown that the worker had it, as its start
	// had no answer, otherwise 0.
	Unanswered int64 `json:"unanswered,omitempty"`
	// AmongMany is set if workers on which nothing had just started ended at the same moment.
	AmongMany bool `json:"amongMany,omitempty"`
	// Confirmed is set once the worker has certainly ended.
	Confirmed bool `json:"confirmed,omitempty"`
}

// isOf reports whether the crash ended the worker's present incarnation.
func (c Crash) isOf(w *worker) bool {
	return c.Worker == w.entry.Ref.ID && c.StartedAt.Equal(w.startedAt)
}

// suspected reports whether a worker may have crashed because the task was started there.
func (t *task) suspected() bool {
	return slices.ContainsFunc(t.crashes, func(c Crash) bool { return c.AtStart })
}

// suspected reports whether a task of the gang is a suspect.
func (st *step) suspected() bool {
	return slices.ContainsFunc(st.tasks, func(t task) bool { return !t.done && t.suspected() })
}

// givenUp reports whether the task may not be started any more. A worker that is not known
// to have ended may only have been cut off, so such workers count as one less.
func (t *task) givenUp() bool {
	atStart, confirmedAtStart, counted := 0, 0, 0
	for _, c := range t.crashes {
		if c.AtStart || c.Confirmed {
			counted++
		}
		if !c.provesStart() {
			continue
		}
		atStart++
		if c.Confirmed {
			confirmedAtStart++
		}
	}
	return confirmedAtStart >= maxStartCrashes || atStart > maxStartCrashes || counted >= maxCrashes
}

// provesStart reports whether the worker certainly had just started the run, and nothing else explains
// its end.
func (c Crash) provesStart() bool {
	return c.AtStart && c.Unanswered == 0 && !c.AmongMany
}

// describe tells why the crash proves little, for the log.
func (c Crash) describe() string {
	var doubts []string
	if !c.Confirmed {
		doubts = append(doubts, "not confirmed")
	}
	if !c.AtStart {
		doubts = append(doubts, "not at the start")
	}
	if c.Unanswered != 0 {
		doubts = append(doubts, "start not answered")
	}
	if c.AmongMany {
		doubts = append(doubts, "among many")
	}
	if len(doubts) == 0 {
		return ""
	}
	return " (" + strings.Join(doubts, ", ") + ")"
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

// mayHaveCrashed reports whether the run may have crashed the present incarnation of its
// worker. A refused run has not. A start counts against one incarnation only: the first that ends
// after it, or a later one that lists the run.
func (r *run) mayHaveCrashed() bool {
	return r.state != runPlanned && !r.refused && r.formerStart.IsZero() && (!r.sentBefore || !r.presentAt.IsZero())
}

// unansweredAttempt returns the attempt of the run if nothing has shown that the incarnation of its worker
// to which it was sent has had it, otherwise 0. A repeated order may have been answered by the next one.
func (r *run) unansweredAttempt() int64 {
	if r.listed || !r.presentAt.IsZero() && !r.unanswered {
		return 0
	}
	return r.ref.Attempt
}

// clearFormerCrash drops the crash of a former incarnation of the worker that counts against the run. The
// present one has listed it or its end, so that it is the one that has started it.
func (s *Scheduler) clearFormerCrash(r *run) {
	if r.formerStart.IsZero() {
		return
	}
	s.dropCrashes(r.ref.Task, func(c Crash) bool {
		return c.Worker == r.worker.entry.Ref.ID && c.StartedAt.Equal(r.formerStart)
	})
	r.formerStart = time.Time{}
}

// suspectStarts makes suspects of the tasks that a worker may have started just before it
// ended. It makes none if that moment is not known well enough.
func (s *Scheduler) suspectStarts(w *worker, endedBy time.Time) {
	if w.entry.Leaving || endedBy.Sub(w.aliveAt) > crashDelay {
		return
	}
	ended := ending{
		at:        endedBy,
		worker:    w.entry.Ref.ID,
		startedAt: w.startedAt,
	}
	for _, r := range w.runs {
		if !r.mayHaveCrashed() || s.outlived(r, crashDelay, w.aliveAt) {
			continue
		}
		if st, t := s.findTask(r.ref.Task); t != nil && !t.done && !st.job.state.Final() {
			s.addCrash(st, t, r.ref.Task, Crash{
				Worker:     w.entry.Ref.ID,
				StartedAt:  w.startedAt,
				AtStart:    true,
				Unanswered: r.unansweredAttempt(),
			})
			ended.suspects = append(ended.suspects, r.ref.Task)
		}
	}
	s.noteEnding(ended)
}

// addCrash records a crash of a worker, or adds what is new to its record.
func (s *Scheduler) addCrash(st *step, t *task, ref TaskRef, crash Crash) {
	s.dirtyJobs[st.job.record.ID] = true
	for i := range t.crashes {
		if known := &t.crashes[i]; known.Worker == crash.Worker && known.StartedAt.Equal(crash.StartedAt) {
			known.AtStart = known.AtStart || crash.AtStart
			known.AmongMany = known.AmongMany || crash.AmongMany
			known.Confirmed = known.Confirmed || crash.Confirmed
			if crash.provesStart() {
				known.Unanswered = 0
			}
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
		if c := crashes[i]; !c.Confirmed {
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

// clearSuspects records that a worker has not crashed in its present incarnation, as it has
// reported. A crash that was stored of a former one is confirmed by that.
func (s *Scheduler) clearSuspects(w *worker, now time.Time) {
	refs := s.suspects[w.entry.Ref.ID]
	if len(refs) == 0 {
		return
	}
	delete(s.suspects, w.entry.Ref.ID)
	for _, ref := range refs {
		s.dropCrashes(ref, func(c Crash) bool { return c.isOf(w) && !c.Confirmed })
		s.confirmCrashes(ref, w, w.startedAt)
	}
	s.giveUpCrashing(refs, now)
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

// confirmCrash records that the present incarnation of a worker has ended although the
// worker had not said that it would leave. successor is the start of the incarnation that
// has followed under the identity, zero if there is none. It is called while the runs of the
// ended one are still known, and returns the tasks concerned.
func (s *Scheduler) confirmCrash(w *worker, successor, now time.Time) []TaskRef {
	if w.entry.Leaving {
		s.clearSuspects(w, now)
		return nil
	}
	if w.silentSince.IsZero() {
		s.suspectStarts(w, now)
	}
	refs := s.suspects[w.entry.Ref.ID]
	delete(s.suspects, w.entry.Ref.ID)
	for _, ref := range refs {
		s.confirmCrashes(ref, w, successor)
	}
	for _, r := range w.runs {
		st, t := s.findTask(r.ref.Task)
		counts := r.mayHaveCrashed() && !s.outlived(r, settledAfter, w.aliveAt)
		if t == nil || t.done || st.job.state.Final() || !counts {
			continue
		}
		s.addCrash(st, t, r.ref.Task, Crash{
			Worker:     w.entry.Ref.ID,
			StartedAt:  w.startedAt,
			Unanswered: r.unansweredAttempt(),
			Confirmed:  true,
		})
		refs = append(refs, r.ref.Task)
	}
	return refs
}

// confirmCrashes marks the crashes of all incarnations of a worker under the task as
// confirmed but for successor, which may be zero.
func (s *Scheduler) confirmCrashes(ref TaskRef, w *worker, successor time.Time) {
	st, t := s.findTask(ref)
	if t == nil || st.job.state.Final() {
		return
	}
	for i := range t.crashes {
		c := &t.crashes[i]
		if c.Worker == w.entry.Ref.ID && !c.Confirmed && (successor.IsZero() || !c.StartedAt.Equal(successor)) {
			c.Confirmed = true
			s.dirtyJobs[st.job.record.ID] = true
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
			workers = append(workers, c.Worker+c.describe())
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
