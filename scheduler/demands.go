package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// fitMemory is how long a step counts as one that could start after there was last
	// free capacity for it. On full workers, capacity is free only for moments.
	fitMemory = 500 * time.Millisecond
	// maxFitChecks limits the steps of one organisation for which a tick looks for free
	// capacity only to tell its demand. Each look takes a time proportional to the number
	// of workers.
	maxFitChecks = 32
)

// Urgency is the importance of a step relative to others, as they are ranked.
type Urgency struct {
	// Rank is lowest for the steps whose results are of most use.
	Rank int
	// Priority is that of the queue, lowest for the most urgent one.
	Priority int
	// LatestStart is the latest time at which the step can start and be in time.
	LatestStart time.Time
}

// Compare returns a negative number if u is more urgent than other, and a positive one
// if it is less urgent.
func (u Urgency) Compare(other Urgency) int {
	return cmp.Or(
		cmp.Compare(u.Rank, other.Rank),
		cmp.Compare(u.Priority, other.Priority),
		u.LatestStart.Compare(other.LatestStart),
	)
}

// urgency returns the urgency of the step.
func (st *step) urgency(now time.Time) Urgency {
	return Urgency{
		Rank:        st.rank(now),
		Priority:    st.job.record.Queue.Priority,
		LatestStart: st.latestStart(),
	}
}

// Demand is what an organisation with a maximum uses and needs at this owner.
type Demand struct {
	Organisation string
	// Used is what it has running, or a former owner may have.
	Used sizer.Size
	// Wanted is Used and what waits and could start if the maximum allowed it. It is at
	// least Used, and at most the maximum otherwise, except for a single task or gang
	// that is larger than the maximum.
	Wanted sizer.Size
	// Urgency is that of the most urgent step that waits, if Waiting is set.
	Urgency Urgency
	// Waiting is set if Wanted includes steps that wait, for the maximum or for another
	// reason.
	Waiting bool
}

// organisationWait is what waited in the last tick of one organisation with a maximum.
type organisationWait struct {
	// size is the full size of the tasks that could start if the maximum allowed it,
	// and oversize the largest size of a task or gang of them that is larger than the
	// maximum.
	size, oversize sizer.Size
	urgency        Urgency
	waiting        bool
	// blocked counts the tasks that the allotment does not cover.
	blocked int
	// held is the size of the tasks for which the tick has reserved workers, preempted
	// runs or kept free capacity. It limits those of later steps.
	held sizer.Size
	// lastHolder is the step of the last of these tasks, and lastHeld their size.
	lastHolder *step
	lastHeld   sizer.Size
	// blockedSteps counts the steps in the blockedSteps of the scheduler, and ahead is the
	// size of those for which approvals are or were asked ahead.
	blockedSteps int
	ahead        sizer.Size
	// fitChecks counts the searches for free capacity.
	fitChecks int
}

// waitOf returns what waits of the organisation in this tick.
func (s *Scheduler) waitOf(name string) *organisationWait {
	wait := s.waits[name]
	if wait == nil {
		wait = &organisationWait{}
		s.waits[name] = wait
	}
	return wait
}

// Demands returns the demand of each organisation that has a maximum, by name, as of the
// last tick.
func (s *Scheduler) Demands(_ time.Time) []Demand {
	demands := make([]Demand, 0, len(s.organisations))
	for name, organisation := range s.organisations {
		if organisation.Maximum.IsZero() {
			continue
		}
		used := s.usedBy(name)
		demand := Demand{
			Organisation: name,
			Used:         used,
			Wanted:       used,
		}
		if wait := s.waits[name]; wait != nil && wait.waiting {
			demand.Waiting = true
			demand.Urgency = wait.urgency
			demand.Wanted = wanted(used, wait, organisation.Maximum)
		}
		demands = append(demands, demand)
	}
	slices.SortFunc(demands, func(a, b Demand) int { return strings.Compare(a.Organisation, b.Organisation) })
	return demands
}

// wanted returns what is used and waits, within the maximum.
func wanted(used sizer.Size, wait *organisationWait, maximum sizer.Size) sizer.Size {
	capped := func(used, waiting, oversize, maximum int64) int64 {
		if maximum == 0 {
			return used + waiting
		}
		return max(used, min(used+waiting, maximum), oversize)
	}
	waiting, oversize := wait.size, wait.oversize
	if !oversize.IsZero() {
		// Such a task or gang starts only where all parts of the maximum are held.
		waiting, oversize = waiting.Max(maximum), oversize.Max(maximum)
	}
	return sizer.New(
		capped(used.MilliCores(), waiting.MilliCores(), oversize.MilliCores(), maximum.MilliCores()),
		capped(used.Bytes(), waiting.Bytes(), oversize.Bytes(), maximum.Bytes()),
		capped(used.Accelerators(), waiting.Accelerators(), oversize.Accelerators(), maximum.Accelerators()),
	)
}

// recordWait adds the waiting tasks of a step to what waits of its organisation. It is
// called once the step was placed.
func (s *Scheduler) recordWait(st *step, p *pool, now time.Time) {
	organisation, limited := s.limitOf(st.job)
	if !limited {
		return
	}
	wait := s.waitOf(organisation.Name)
	allowed := s.allowedStarts(st)
	wait.blocked += max(0, st.waiting-allowed)
	if allowed <= 0 && st.job.record.Queue.Advice != nil && wait.blockedSteps < maxBlockedAhead {
		wait.blockedSteps++
		s.blockedSteps = append(s.blockedSteps, st)
	}
	urgency := st.urgency(now)
	unneeded := wait.waiting && wait.urgency.Compare(urgency) <= 0 && wait.covers(st.phase.Size, organisation.Maximum)
	if unneeded {
		// More does not change the demand.
		return
	}
	n := s.couldStart(organisation, st, p, now)
	if n == 0 {
		return
	}
	if !wait.waiting || urgency.Compare(wait.urgency) < 0 {
		wait.urgency = urgency
	}
	wait.waiting = true
	wait.size = wait.size.Add(st.phase.Size.Times(int64(n)))
	together := st.phase.Size
	if st.phase.Gang {
		together = together.Times(int64(n))
	}
	if exceeds(together, organisation.Maximum) {
		wait.oversize = wait.oversize.Max(together)
	}
}

// covers reports whether what waits is at least the maximum in each resource that the
// size needs.
func (w *organisationWait) covers(size, maximum sizer.Size) bool {
	covers := func(size, waiting, maximum int64) bool { return size == 0 || maximum > 0 && waiting >= maximum }
	return !exceeds(size, maximum) &&
		covers(size.MilliCores(), w.size.MilliCores(), maximum.MilliCores()) &&
		covers(size.Bytes(), w.size.Bytes(), maximum.Bytes()) &&
		covers(size.Accelerators(), w.size.Accelerators(), maximum.Accelerators())
}

// couldStart returns how many waiting tasks of the step could probably start soon if the
// maximum allowed it.
func (s *Scheduler) couldStart(organisation Organisation, st *step, p *pool, now time.Time) int {
	switch {
	case st.phase.Gang && (st.waiting < st.members() || !s.gangWithinOverage(organisation, st)):
		return 0
	case st.phase.Gang || st.reservesWorkers():
		// Workers would be reserved for these tasks.
		if slices.ContainsFunc(p.workers, func(w *worker) bool { return meetsRequirements(st, w) }) {
			return st.waiting
		}
		return 0
	}
	wait := s.waitOf(organisation.Name)
	if wait.fitChecks < maxFitChecks {
		wait.fitChecks++
		if s.fitsSomewhere(st, p, now) {
			st.fitSeenAt = now
			st.fitCount = countFitting(taskSize(st.phase), p.freeCapacity)
		}
	}
	if !st.fitSeenAt.IsZero() && now.Sub(st.fitSeenAt) <= fitMemory {
		return min(st.waiting, st.fitCount)
	}
	if st.rank(now) == rankInTime {
		return min(st.waiting, countFitting(taskSize(st.phase), s.preemptibleFor(st, p, now)))
	}
	return 0
}

// preemptibleFor returns the total size of the runs that may be stopped for an urgent
// step, computed once for each priority and tick.
func (s *Scheduler) preemptibleFor(st *step, p *pool, now time.Time) sizer.Size {
	priority := st.job.record.Queue.Priority
	if size, found := p.preemptible[priority]; found {
		return size
	}
	var size sizer.Size
	for _, w := range p.workers {
		for _, r := range w.runs {
			if s.isPreemptible(r, st, now) {
				size = size.Add(r.size)
			}
		}
	}
	if p.preemptible == nil {
		p.preemptible = make(map[int]sizer.Size)
	}
	p.preemptible[priority] = size
	return size
}

// OrganisationLoad is what an organisation uses and waits for at this owner.
type OrganisationLoad struct {
	Organisation Organisation
	Used         sizer.Size
	// Allotment is what this owner may have running.
	Allotment sizer.Size
	// Blocked counts the tasks that wait as the allotment does not cover them.
	Blocked int
}

// OrganisationLoads returns the load of each known organisation, by name, as of the last
// tick.
func (s *Scheduler) OrganisationLoads() []OrganisationLoad {
	loads := make([]OrganisationLoad, 0, len(s.organisations))
	for name, organisation := range s.organisations {
		load := OrganisationLoad{
			Organisation: organisation,
			Used:         s.usedBy(name),
		}
		if !organisation.Maximum.IsZero() {
			load.Allotment = s.shownAllotment(organisation)
		}
		if wait := s.waits[name]; wait != nil {
			load.Blocked = wait.blocked
		}
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b OrganisationLoad) int {
		return strings.Compare(a.Organisation.Name, b.Organisation.Name)
	})
	return loads
}
