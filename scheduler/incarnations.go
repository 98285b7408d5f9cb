package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// A worker may start again under its identity. Its next incarnation knows nothing of the
// runs, the ends and the orders of the one before, and its numbers of ends and its clock
// start anew, so that nothing that was learned from one incarnation may be applied to
// another. A worker that does not say when its incarnation began has a new identity in each
// incarnation.

// maxFormerStarts limits the starts of former incarnations that are kept of a worker.
const maxFormerStarts = 8

// beginIncarnation records that a worker reported when its incarnation began, and returns
// false if it is one that has ended. Any other start than the known one begins a new
// incarnation, also an earlier one, as the clocks of workers may be set back.
func (s *Scheduler) beginIncarnation(w *worker, startedAt, now time.Time) bool {
	if startedAt.IsZero() || startedAt.Equal(w.startedAt) {
		return true
	}
	if slices.ContainsFunc(w.formerStarts, startedAt.Equal) {
		return false
	}
	if !w.startedAt.IsZero() {
		s.endIncarnation(w, startedAt, now)
		w.formerStarts = append(w.formerStarts, w.startedAt)
		w.formerStarts = w.formerStarts[max(0, len(w.formerStarts)-maxFormerStarts):]
	}
	w.startedAt = startedAt
	return true
}

// endIncarnation ends the runs of a worker that has started again at the given time, and
// forgets what is known of its former incarnation.
func (s *Scheduler) endIncarnation(w *worker, startedAt, now time.Time) {
	s.addNote(fmt.Sprintf("worker has started again under its identity: ends up to %d were processed, %d are acknowledged, its clock was above %v, %s",
		w.lastEndNumber, w.ackedNumber, w.clockReading, w.describeUnheard(now)), TaskRef{}, w.entry.Ref.ID, startedAt.Sub(w.startedAt))
	w.unfencedSince = w.aliveAt
	if !w.reported || !w.endsRead {
		s.doubtJobsOn(w, now)
	}
	crashed := s.confirmCrash(w, startedAt, now)
	if len(w.runs) > 0 {
		s.losses.Workers["worker started again"]++
	}
	for _, r := range sortedRuns(w) {
		s.doubtJobOf(r, now)
		refused := r.refused
		s.endRefusal(r)
		if r.state != runPlanned && !refused && !r.listed && r.formerStart.IsZero() {
			r.formerStart = w.startedAt
		}
		switch {
		case r.state == runPlanned:
		case r.state == runUncertain || r.presentAt.IsZero() || r.mayArrive:
			// The order to start may reach the new incarnation, which has forgotten any stop. It
			// refuses the order once it has been told to stop the run.
			if _, t := s.findTask(r.ref.Task); t != nil && t.hasRun(r) && !r.presentAt.IsZero() {
				t.withoutRunSince = now
			}
			r.state = runUncertain
			r.sentBefore = true
			r.stopInFlight, r.listed = false, false
			// Only the stops that the new incarnation is told show that it ignores them.
			r.stopPendingSince, r.nextStopNote = now, 0
			r.confirmedAt, r.presentAt, r.stopAnsweredAt = time.Time{}, time.Time{}, time.Time{}
			s.stopRun(r, now, "worker started again")
		case !r.listed:
			// Either incarnation may have answered the start. A report that was requested later tells.
		default:
			s.losses.Runs["worker started again"]++
			s.markLost(r, "worker started again"+s.describeLoss(r, now), now)
		}
	}
	s.giveUpCrashing(crashed, now)
	w.lastEndNumber, w.ackedNumber, w.pendingAcks = 0, 0, nil
	w.forgottenEnds, w.sentAck = 0, sentAcknowledgement{}
	// A clock that starts anew is above zero.
	w.clockReading, w.clockReadAt = 0, now
	w.leaseEnd = 0
	// A call that arrives yet names a time of the former clock, so that it gives the longest lease.
	w.formerOrdersEnd = now.Add(lateArrival + s.options.longestLease())
	w.lastReportAt = time.Time{}
	w.restartKnownSince = now
	w.nextToken, w.raisedAt, w.raised = w.token+1, time.Time{}, false
	w.lapses = nil
	// The new incarnation has seen no fencing token. Only the owner that the store knows can
	// have it stored, and start anything there.
	w.recorded = false
	clear(w.failedJobs)
	w.failureStreak, w.setAsideCount, w.setAsideUntil = 0, 0, time.Time{}
	w.slowness = 1
}
