package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// rankedStep is a step with what determines its place in the order.
type rankedStep struct {
	*step
	rank     int
	priority int
	startBy  time.Time
	// above is 0 if all waiting tasks of the step fit its organisation's share, 1 if
	// some of them do, and 2 if the organisation has its share already.
	above int
}

// sortByShares sorts steps where there are organisations: by rank and priority, then
// those within their organisation's share before others, then by the time by which
// they have to start. The tasks of the steps that come first count as used for those
// that follow.
func (s *Scheduler) sortByShares(steps []*step, now time.Time) {
	s.classifyArrivals(now)
	s.updateShares(now)
	ranked := make([]rankedStep, 0, len(steps))
	for _, st := range steps {
		r := rankedStep{
			step:     st,
			rank:     st.rank(now),
			priority: st.job.record.Queue.Priority,
		}
		r.startBy = st.startBy(r.rank)
		ranked = append(ranked, r)
	}
	slices.SortFunc(ranked, func(a, b rankedStep) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.priority, b.priority), a.startBy.Compare(b.startBy), compareSteps(a.ref, b.ref))
	})
	type user struct{ service, organisation string }
	used := make(map[user]float64)
	for i := range ranked {
		st := ranked[i].step
		u := user{
			service:      st.job.record.Queue.Service,
			organisation: s.organisationOf(st.job),
		}
		service := s.shares.services[u.service]
		if u.organisation == "" || service == nil {
			continue
		}
		share, found := service.shares[u.organisation]
		before := service.used[u.organisation] + used[u]
		wanted := amountOf(taskSize(st.phase), float64(st.waiting))[service.resource]
		used[u] += wanted
		switch {
		case !found || before+wanted <= share:
		case before < share:
			ranked[i].above = 1
		default:
			ranked[i].above = 2
		}
	}
	slices.SortStableFunc(ranked, func(a, b rankedStep) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.priority, b.priority), cmp.Compare(a.above, b.above))
	})
	for i := range ranked {
		steps[i] = ranked[i].step
	}
}

// startBy returns the latest time at which the step can start and the occurrence be
// done within the bound that its rank still allows.
func (st *step) startBy(rank int) time.Time {
	if rank == rankLate || rank == rankExcessLate {
		return st.latestUsefulStart()
	}
	return st.latestStart()
}

// latestUsefulStart returns the latest time at which the step can start and the result
// be of some use.
func (st *step) latestUsefulStart() time.Time {
	return st.dueAt.Add(lateFactor*st.job.objective - st.job.criticalPathFrom(st.ref.Phase))
}
