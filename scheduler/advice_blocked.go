package scheduler

import (
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// blockedAheadShare is the share of an allotment for which steps that the maximum
	// blocks are approved ahead. Otherwise capacity of the maximum that becomes free would
	// be idle for the time of a call, which is similar to the time of a short task.
	blockedAheadShare = 0.25
	// maxBlockedAhead limits the blocked steps of one organisation that a tick considers.
	maxBlockedAhead = 8
)

// askForBlocked calls the adviser for the most important of the steps that the maximum of
// their organisation blocks, so that they can start when other tasks end.
func (s *Scheduler) askForBlocked(pools map[string]*pool, now time.Time) {
	for _, st := range s.blockedSteps {
		organisation, _ := s.limitOf(st.job)
		wait := s.waitOf(organisation.Name)
		if wait.ahead.DominantShare(s.allotment(organisation.Name)) >= blockedAheadShare {
			continue
		}
		wait.ahead = wait.ahead.Add(st.phase.Size.Times(int64(st.waiting)))
		p := pools[st.job.record.Queue.Service]
		if s.canStartSomewhere(st, p, now) {
			continue
		}
		s.requestAdvice(st, p, now)
	}
}

// canStartSomewhere reports whether a waiting task of the step could start now but for the
// maximum.
func (s *Scheduler) canStartSomewhere(st *step, p *pool, now time.Time) bool {
	if st.phase.Gang || st.reservesWorkers() {
		// The tickets for many or whole workers are renewed once these can be reserved.
		return len(st.adviceState.askedWorkers) > 0
	}
	for i := range st.tasks {
		if t := &st.tasks[i]; t.waits() {
			return s.chooseWorker(st, t, p, now) != nil
		}
	}
	return false
}

// hasSpareCalls reports whether at most half of the quick or of the long calls to the adviser
// would be in flight with one more.
func (s *Scheduler) hasSpareCalls(quick bool) bool {
	return 2*(s.adviceInFlight[quick]+1) <= s.adviceLimits[quick]
}

// blockedTasksAhead returns for how many tasks of a blocked step to ask: the share
// blockedAheadShare of the allotment, but at least one.
func (s *Scheduler) blockedTasksAhead(st *step) int {
	organisation, _ := s.limitOf(st.job)
	return max(1, countWithin(st.phase.Size, sizer.Size{}, scale(s.allotment(organisation.Name), blockedAheadShare), organisation.Maximum))
}
