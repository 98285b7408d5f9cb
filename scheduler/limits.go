package scheduler

import (
	"math"
	"slices"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// unlimitedTasks is the number of tasks that a step may start if its organisation
	// has no maximum.
	unlimitedTasks = math.MaxInt
	// firstTaskShare is the share of the overage that a job of which nothing runs may
	// use, so that it need not wait for the runs of other jobs. The rest is a margin.
	firstTaskShare = 0.8
)

// organisationUse is what an organisation has running on the workers of this owner.
type organisationUse struct {
	// size is the total full size of the runs, and runs their number.
	size sizer.Size
	runs int
}

// addRun adds a run to its worker and to the use of its organisation.
func (s *Scheduler) addRun(r *run) {
	r.worker.addRun(r)
	if r.job == nil {
		id := r.ref.Task.Step.Job
		s.unknownRuns[id] = append(s.unknownRuns[id], r)
		return
	}
	s.countRun(r)
}

// removeRun removes a run from its worker and from the use of its organisation. It is
// called only once it is certain that the run has ended or will never start.
func (s *Scheduler) removeRun(r *run) {
	removed := r.worker.removeRun(r)
	if removed == nil {
		return
	}
	if removed.job == nil {
		id := removed.ref.Task.Step.Job
		s.unknownRuns[id] = slices.DeleteFunc(s.unknownRuns[id], func(other *run) bool { return other == removed })
		if len(s.unknownRuns[id]) == 0 {
			delete(s.unknownRuns, id)
		}
		return
	}
	name := removed.job.record.Organisation
	if name == "" {
		return
	}
	removed.job.runCount--
	use := s.uses[name]
	use.size = use.size.Sub(removed.fullSize)
	use.runs--
	if use.runs == 0 {
		delete(s.uses, name)
	}
}

// countRun adds a run to the use of its organisation, if it has one. The use is kept
// whether or not there is a maximum, as one can be set later.
func (s *Scheduler) countRun(r *run) {
	name := r.job.record.Organisation
	if name == "" {
		return
	}
	r.job.runCount++
	use := s.uses[name]
	if use == nil {
		use = &organisationUse{}
		s.uses[name] = use
	}
	use.size = use.size.Add(r.fullSize)
	use.runs++
}

// countUnknownRuns counts the runs that workers reported before the job was known.
func (s *Scheduler) countUnknownRuns(j *job) {
	runs, found := s.unknownRuns[j.record.ID]
	if !found {
		return
	}
	delete(s.unknownRuns, j.record.ID)
	for _, r := range runs {
		r.setJob(j)
		s.countRun(r)
	}
}

// usedBy returns what the organisation has or may have running on the workers of this
// owner: each run from the time at which its start may be sent until its end is certain,
// and what former owners may have running on workers that have not reported.
func (s *Scheduler) usedBy(name string) sizer.Size {
	var used sizer.Size
	if use := s.uses[name]; use != nil {
		used = use.size
	}
	if s.recoveryDone {
		return used
	}
	if s.formerUses == nil {
		s.formerUses = s.computeFormerUses()
	}
	return used.Add(s.formerUses[name])
}

// limitOf returns the organisation of the job, and whether it has a maximum.
func (s *Scheduler) limitOf(j *job) (Organisation, bool) {
	if j.record.Organisation == "" {
		return Organisation{}, false
	}
	organisation, found := s.organisations[j.record.Organisation]
	return organisation, found && !organisation.Maximum.IsZero()
}

// allowedStarts returns how many waiting tasks of the step the maximum of its
// organisation allows to start now: all or none for a gang.
func (s *Scheduler) allowedStarts(st *step) int {
	if s.awaitsOrganisations(st.job) {
		return 0
	}
	organisation, limited := s.limitOf(st.job)
	if !limited {
		return unlimitedTasks
	}
	return s.allowedBeside(organisation, st, s.usedBy(organisation.Name))
}

// hold returns for how many of n waiting tasks of the step the tick may reserve workers,
// preempt runs or keep capacity free: those that the maximum allows beside the tasks of
// earlier steps for which it has done so. It records them.
func (s *Scheduler) hold(st *step, n int) int {
	if s.awaitsOrganisations(st.job) {
		return 0
	}
	organisation, limited := s.limitOf(st.job)
	if !limited {
		return n
	}
	wait := s.waitOf(organisation.Name)
	n = min(n, s.allowedBeside(organisation, st, s.usedBy(organisation.Name).Add(wait.held)))
	size := st.phase.Size.Times(int64(n))
	wait.held = wait.held.Add(size)
	if wait.lastHolder != st {
		wait.lastHolder, wait.lastHeld = st, sizer.Size{}
	}
	wait.lastHeld = wait.lastHeld.Add(size)
	return n
}

// allowedToAsk returns for how many waiting tasks of the step the adviser may be called:
// those that the maximum allows beside what the tick holds for earlier steps.
func (s *Scheduler) allowedToAsk(st *step) int {
	if s.awaitsOrganisations(st.job) {
		return 0
	}
	organisation, limited := s.limitOf(st.job)
	if !limited {
		return unlimitedTasks
	}
	wait := s.waitOf(organisation.Name)
	used := s.usedBy(organisation.Name).Add(wait.held)
	if wait.lastHolder == st {
		used = used.Sub(wait.lastHeld)
	}
	return s.allowedBeside(organisation, st, used)
}

// allowedBeside returns how many waiting tasks of the step may start beside what is used:
// all or none for a gang.
func (s *Scheduler) allowedBeside(organisation Organisation, st *step, used sizer.Size) int {
	switch {
	case !st.phase.Gang:
		return s.allowedTasks(organisation, st, used)
	case s.gangAllowed(organisation, st, used):
		return st.members()
	default:
		return 0
	}
}

// allowedTasks returns how many tasks of the step may start one by one.
func (s *Scheduler) allowedTasks(organisation Organisation, st *step, used sizer.Size) int {
	size := st.phase.Size
	allotment := s.allotment(organisation.Name)
	if n := countWithin(size, used, allotment, organisation.Maximum); n > 0 {
		return n
	}
	if s.nothingRuns(st.job) && countWithin(size, used, s.firstTaskLimit(allotment), organisation.Maximum) > 0 {
		return 1
	}
	if exceeds(size, organisation.Maximum) && s.mayRunAlone(organisation.Name, used) {
		return 1
	}
	return 0
}

// gangAllowed reports whether the whole gang may start.
func (s *Scheduler) gangAllowed(organisation Organisation, st *step, used sizer.Size) bool {
	total := st.phase.Size.Times(int64(st.members()))
	limit := s.allotment(organisation.Name)
	if s.nothingRuns(st.job) {
		limit = s.firstTaskLimit(limit)
	}
	if countWithin(total, used, limit, organisation.Maximum) > 0 {
		return true
	}
	return exceeds(total, organisation.Maximum) && s.mayRunAlone(organisation.Name, used) && s.gangWithinOverage(organisation, st)
}

// gangWithinOverage reports whether all tasks of the gang but one fit the maximum with
// its overage. A larger gang never starts.
func (s *Scheduler) gangWithinOverage(organisation Organisation, st *step) bool {
	allButOne := st.phase.Size.Times(int64(len(st.tasks) - 1))
	return countWithin(allButOne, sizer.Size{}, scale(organisation.Maximum, 1+s.overage), organisation.Maximum) > 0
}

// copyAllowed reports whether the maximum allows a second run of a task of the step.
func (s *Scheduler) copyAllowed(st *step) bool {
	if s.awaitsOrganisations(st.job) {
		return false
	}
	organisation, limited := s.limitOf(st.job)
	return !limited || s.allowedTasks(organisation, st, s.usedBy(organisation.Name)) > 0
}

// restartAllowed reports whether the maximum allows to start the task of the run again
// once the run has ended.
func (s *Scheduler) restartAllowed(st *step, r *run) bool {
	if s.awaitsOrganisations(st.job) {
		return false
	}
	organisation, limited := s.limitOf(st.job)
	if !limited {
		return true
	}
	used := s.usedBy(organisation.Name).Sub(r.fullSize)
	limit := s.allotment(organisation.Name)
	if st.job.runCount == 1 {
		limit = s.firstTaskLimit(limit)
	}
	return countWithin(r.fullSize, used, limit, organisation.Maximum) > 0 ||
		exceeds(r.fullSize, organisation.Maximum) && used.IsZero() && s.holdsAll(organisation.Name)
}

// startAllowed reports whether the start of a planned run may still be sent. The run
// counts as used already, so that only a lowered maximum or allotment prevents it.
func (s *Scheduler) startAllowed(st *step, r *run) bool {
	if s.organisationsPending && st.job.record.Organisation != "" {
		return false
	}
	organisation, limited := s.limitOf(st.job)
	if !limited {
		return true
	}
	before := s.usedBy(organisation.Name).Sub(r.fullSize)
	// What is withheld for others concerns new placements only: a planned run counts as
	// used, so that its parts are not given away.
	if countWithin(r.fullSize, before, s.firstTaskLimit(s.heldAllotment(organisation.Name)), organisation.Maximum) > 0 {
		return true
	}
	runs := 1
	total := r.fullSize
	if st.phase.Gang {
		runs, total = st.members(), total.Times(int64(st.members()))
		if !s.gangWithinOverage(organisation, st) {
			return false
		}
	}
	return exceeds(total, organisation.Maximum) && s.holdsAll(organisation.Name) &&
		s.uses[organisation.Name].runs == runs && before.Add(r.fullSize) == total
}

// nothingRuns reports whether nothing of the job runs, as far as is certain.
func (s *Scheduler) nothingRuns(j *job) bool {
	if j.runCount > 0 {
		return false
	}
	if s.recoveryDone || !j.recovered {
		return true
	}
	for id := range j.workers {
		if s.isUnreported(id) {
			return false
		}
	}
	return true
}

// mayRunAlone reports whether a task or a gang that is larger than the maximum may start
// as far as other owners and the other runs of the organisation are concerned.
func (s *Scheduler) mayRunAlone(name string, used sizer.Size) bool {
	return used.IsZero() && s.uses[name] == nil && s.holdsAll(name)
}

// firstTaskLimit returns the limit for a job of which nothing runs.
func (s *Scheduler) firstTaskLimit(allotment sizer.Size) sizer.Size {
	return scale(allotment, 1+firstTaskShare*s.overage)
}

// exceeds reports whether the size is larger than the maximum in a resource that is
// limited.
func exceeds(size, maximum sizer.Size) bool {
	return countWithin(size, sizer.Size{}, maximum, maximum) == 0
}

// countWithin returns how many times the size fits the limit beside what is used, at
// most maxTasksPerPhase. Only those resources count that the size needs and the maximum
// limits.
func countWithin(size, used, limit, maximum sizer.Size) int {
	n := int64(maxTasksPerPhase)
	count := func(size, used, limit, maximum int64) {
		if size > 0 && maximum > 0 {
			n = min(n, max(0, limit-used)/size)
		}
	}
	count(size.MilliCores(), used.MilliCores(), limit.MilliCores(), maximum.MilliCores())
	count(size.Bytes(), used.Bytes(), limit.Bytes(), maximum.Bytes())
	count(size.Accelerators(), used.Accelerators(), limit.Accelerators(), maximum.Accelerators())
	return int(n)
}

// scale returns the size multiplied by a factor, rounded down.
func scale(size sizer.Size, factor float64) sizer.Size {
	scaled := func(amount int64) int64 { return int64(float64(amount) * factor) }
	return sizer.New(scaled(size.MilliCores()), scaled(size.Bytes()), scaled(size.Accelerators()))
}
