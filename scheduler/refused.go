package scheduler

import (
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// A worker on which a run was stopped or has ended refuses a start of that run which arrives later. Its next
// incarnation knows of neither and carries the start out. So the task of such a run starts on no other worker
// until the start can no longer arrive. On the same worker it may start again at once: a restart ends that
// run before the next incarnation begins.

// outlastsStop reports whether the worker's next incarnation may carry out the start of a run that the present
// one refuses. It accepts no ticket of the present one. A task with copies may have two runs.
func (r *run) outlastsStop() bool {
	return !r.worker.startedAt.IsZero() && r.startMayArrive() && !r.ticketed && !r.copies
}

// keepRefused keeps a run whose stop was answered and that its worker does not list.
func (s *Scheduler) keepRefused(r *run, now time.Time) {
	if r.refused {
		return
	}
	s.refuse(r)
	s.addNote("the next incarnation of the worker may carry out a start that was stopped, the task starts on no other worker before that is ruled out",
		r.ref.Task, r.worker.entry.Ref.ID, now.Sub(r.startedAt))
	if st, t := s.findTask(r.ref.Task); t != nil && t.hasRun(r) && st.phase.Gang {
		s.stopGang(st, "the start of a member was not answered", now)
	}
}

// refuse marks a run that its worker does not have and whose start it refuses.
func (s *Scheduler) refuse(r *run) {
	r.refused = true
	s.refusedRuns = append(s.refusedRuns, r)
}

// keepEnded keeps a run that has ended although an order to start it may arrive, which its worker refuses for
// the end. If no order had an answer, the run was stopped for that, and its task starts again on the worker.
// Otherwise the room is free, as others may be waiting for it.
func (s *Scheduler) keepEnded(r *run, how End, now time.Time) {
	s.refuse(r)
	r.confirm(now)
	r.state = runStopping
	if how != EndStopped || r.unanswered {
		s.leaveRoom(r)
	}
}

// leaveRoom leaves the room of a refused run to others.
func (s *Scheduler) leaveRoom(r *run) {
	r.leftRoom, r.leftSize, r.leftFullSize = true, r.size, r.fullSize
	s.resize(r, sizer.Size{}, sizer.Size{})
}

// endRefusal records that the worker may have a run that was refused.
func (s *Scheduler) endRefusal(r *run) {
	if !r.refused {
		return
	}
	r.refused = false
	if r.leftRoom {
		r.leftRoom = false
		s.resize(r, r.leftSize, r.leftFullSize)
	}
}

// resize changes the sizes of a run.
func (s *Scheduler) resize(r *run, size, fullSize sizer.Size) {
	s.removeRun(r)
	r.size, r.fullSize = size, fullSize
	s.addRun(r)
}

// restartRefused starts the tasks of refused runs again on the same workers. The members of a gang start
// together, with the others.
func (s *Scheduler) restartRefused(pools map[string]*pool, now time.Time) {
	s.refusedRuns = slices.DeleteFunc(s.refusedRuns, func(r *run) bool {
		return !r.refused || r.worker.runs[r.ref] != r
	})
	slices.SortFunc(s.refusedRuns, func(a, b *run) int { return compareTasks(a.ref.Task, b.ref.Task) })
	for _, r := range s.refusedRuns {
		p := pools[r.worker.entry.Service]
		st, t := s.findTask(r.ref.Task)
		if t == nil || t.run != r || p == nil || st.phase.Gang || !s.mayReplace(st, t, p, now) {
			continue
		}
		s.replaceRefused(st, t, s.newAttempt(), now)
		if t.suspected() {
			p.trials[st.trialGroup(t)] = true
		}
	}
}

// mayReplace reports whether another run of the task may take the place of one that its worker refuses. If the
// worker has not answered the start of that one either, it probably loses all starts.
func (s *Scheduler) mayReplace(st *step, t *task, p *pool, now time.Time) bool {
	r, w := t.run, t.run.worker
	switch {
	case t.copy != nil || r.replaces || r.leftRoom || t.done || st.job.state.Final():
		return false
	case s.longestSafeLease(now) <= 0 || s.isDoubted(st) || !st.job.mayStartGuest(now):
		return false
	case !slices.Contains(p.workers, w) || !s.mayStartOn(st, w, now) || s.hasTrial(w, now) || w.freeCapacity().IsNegative():
		return false
	default:
		return !t.suspected() || s.mayTry(st, t, p, now) && s.mayTryOn(w, now)
	}
}

// replaceRefused starts another run of a task on the worker that refuses its run.
func (s *Scheduler) replaceRefused(st *step, t *task, attempt int64, now time.Time) {
	r := t.run
	s.leaveRoom(r)
	s.startRun(st, r.ref.Task.Index, r.worker, attempt, now)
	t.run, t.copy = t.copy, t.run
	t.run.replaces = true
}

// refusedMembers returns the tasks of a gang whose runs were refused.
func (st *step) refusedMembers() []*task {
	var refused []*task
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && r.refused {
			refused = append(refused, &st.tasks[i])
		}
	}
	return refused
}
