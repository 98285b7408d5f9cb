package scheduler

import (
	"fmt"
	"time"
)

// An owner whose writes the store has not taken for a while may have a successor. That one may reach
// a worker which this one does not reach, and renew the leases of its runs or acknowledge their ends.
// So the time at which a lease ends shows nothing by itself: a run has ended with its lease only if
// no later epoch had been announced until then. That the group still assigns the partition to this
// owner does not show it, as a former assignee may announce its epoch late.

// ConfirmAssignment records that the partition was assigned to this owner at the given time. Leases
// are limited relative to the latest such time, so that none outlives the wait of the next owner after
// its takeover. A former assignee may still announce its epoch, if that is higher than this owner's.
func (s *Scheduler) ConfirmAssignment(at time.Time) {
	s.assignmentConfirmedAt = latest(s.assignmentConfirmedAt, at)
}

// ConfirmOwnership records that no later epoch than this owner's had been announced to the store by
// the given time, so that nobody can have acted as its successor.
func (s *Scheduler) ConfirmOwnership(at time.Time) {
	s.ownershipConfirmedAt = latest(s.ownershipConfirmedAt, at)
	s.ConfirmAssignment(at)
}

// ConfirmedAt returns the latest time at which the partition is known to have been assigned to this
// owner.
func (s *Scheduler) ConfirmedAt() time.Time {
	return s.assignmentConfirmedAt
}

// ConfirmationDue returns the latest time for which tasks wait for the ownership to be
// confirmed, and whether any wait.
func (s *Scheduler) ConfirmationDue() (time.Time, bool) {
	return s.confirmationDue, s.confirmationDue.After(s.ownershipConfirmedAt)
}

// passed reports whether the time has passed, and this owner had no successor until then.
func (s *Scheduler) passed(at, now time.Time) bool {
	if !now.After(at) {
		return false
	}
	s.confirmationDue = latest(s.confirmationDue, at.Add(1))
	return s.ownershipConfirmedAt.After(at)
}

// doubtJobOf has the tasks of a run's job wait until the ownership is confirmed, as the run is lost
// without a report of its end.
func (s *Scheduler) doubtJobOf(r *run, now time.Time) {
	if j := s.jobs[r.ref.Task.Step.Job]; j != nil && r.state != runPlanned {
		s.doubt(j, now)
	}
}

// doubtJobsOn does the same for all jobs that a former owner may have run on a worker, as the
// worker's incarnation has ended without a report to this owner.
func (s *Scheduler) doubtJobsOn(w *worker, now time.Time) {
	for _, j := range s.jobs {
		_, ending := j.formerEnding[w.entry.Ref.ID]
		if j.recovered && (ending || j.workers[w.entry.Ref.ID]) {
			s.doubt(j, now)
		}
	}
}

func (s *Scheduler) doubt(j *job, now time.Time) {
	if name := j.record.Organisation; name != "" {
		// Runs of ended jobs count too.
		s.doubtedUses[name] = latest(s.doubtedUses[name], now)
		s.confirmationDue = latest(s.confirmationDue, now)
	}
	if !j.state.Final() {
		j.doubtedAt = latest(j.doubtedAt, now)
		s.confirmationDue = latest(s.confirmationDue, now)
	}
}

// isDoubted reports whether a successor of this owner may run tasks of the step, or know that they
// are done.
func (s *Scheduler) isDoubted(st *step) bool {
	return st.job.doubtedAt.After(s.ownershipConfirmedAt)
}

// explainDoubt adds a note on each step that waits for the ownership to be confirmed, once per
// interval.
func (s *Scheduler) explainDoubt(now time.Time) {
	if _, due := s.ConfirmationDue(); !due {
		return
	}
	for _, st := range s.rankSteps(now, s.isDoubted) {
		if !st.explainDue(now) {
			continue
		}
		s.addNote(fmt.Sprintf("step waits until the ownership is confirmed, as a later owner may have its runs: %d of %d tasks, %s, lost %v ago, confirmed %v ago",
			st.waiting, len(st.tasks), rankName(st.rank(now)), now.Sub(st.job.doubtedAt).Round(time.Millisecond), now.Sub(s.ownershipConfirmedAt).Round(time.Millisecond)),
			TaskRef{
				Step: st.ref,
			}, "", now.Sub(st.readyAt))
	}
}
