package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// maxContactAge is the age of the last contact with the home owner of a job up to which a
// delegate starts tasks of it. A job that was cancelled meanwhile has no start later than
// that, which is below the time that a cancelling may take.
const maxContactAge = 1200 * time.Millisecond

// Guest is what a delegate stores of a job of another partition.
type Guest struct {
	// Home is the partition of the home owner.
	Home   int     `json:"home"`
	Job    Job     `json:"job"`
	Grants []Grant `json:"grants"`
	// LastGrant is the highest number of a grant. Lower ones that are missing in Grants are
	// finished.
	LastGrant int64    `json:"lastGrant"`
	Begun     bool     `json:"begun,omitempty"`
	Progress  Progress `json:"progress"`
}

// guest is the part of a job's tables that only a delegate has.
type guest struct {
	home      int
	grants    []*grant
	lastGrant int64
	// begun is set once a worker has begun a task here.
	begun bool
	// contactAt is the latest time after which the home owner certainly had the job and
	// left the tasks to this owner.
	contactAt time.Time
	// addedAt is the time at which this owner learned of the job.
	addedAt time.Time
}

// addGuest adds a job of another partition. progress is nil if none was stored.
func (s *Scheduler) addGuest(stored Guest, progress *Progress, recovered bool) *job {
	j := s.newJob(stored.Job)
	j.recovered = recovered
	j.state = Running
	j.begun, j.begunStored = true, true
	j.nextOccurrence = stored.Job.occurrences()
	j.guest = &guest{
		home:      stored.Home,
		lastGrant: stored.LastGrant,
		begun:     stored.Begun,
		addedAt:   s.tickedAt,
	}
	s.jobs[stored.Job.ID] = j
	s.guests[stored.Job.ID] = true
	delete(s.droppedGuests, stored.Job.ID)
	s.countUnknownRuns(j)
	s.formerUses = nil
	if progress != nil {
		j.restoreProgress(*progress)
	}
	if j.state.Final() {
		return j
	}
	stats := s.stats(stored.Job.Queue.Name)
	stats.service = stored.Job.Queue.Service
	stats.priority = stored.Job.Queue.Priority
	return j
}

// RestoreGuest adds a job of another partition that a former owner stored.
func (s *Scheduler) RestoreGuest(stored Guest, now time.Time) {
	if s.jobs[stored.Job.ID] != nil {
		return
	}
	j := s.addGuest(stored, &stored.Progress, true)
	for _, g := range stored.Grants {
		restored := &grant{
			Grant:  g.clone(),
			stored: true,
		}
		j.guest.grants = append(j.guest.grants, restored)
		if !j.state.Final() {
			s.takeGranted(j, restored, true, now)
		}
	}
	if !j.state.Final() && stored.Job.Organisation != "" && !s.recoveryDone {
		j.formerUnfinished = j.unfinished()
	}
}

// HoldGuest records that what a former owner stored of a job of another partition cannot be
// decoded. Nothing of it runs until the job has ended.
func (s *Scheduler) HoldGuest(id string) {
	s.heldGuests[id] = true
}

// takeGranted has the tasks of a grant wait here, once it is stored. What this owner knew of their
// attempts before a new grant counts in the grant.
func (s *Scheduler) takeGranted(j *job, g *grant, restored bool, now time.Time) {
	ref := g.step(j.record.ID)
	st := j.steps[ref]
	if st == nil {
		s.createStep(j, ref.Occurrence, ref.Phase, j.record.dueAt(ref.Occurrence), now)
		st = j.steps[ref]
		for i := range st.tasks {
			if !st.tasks[i].done {
				st.leaveUngranted(i)
			}
		}
	}
	for _, i := range st.validIndexes(g.Tasks) {
		t := &st.tasks[i]
		if !t.elsewhere {
			continue
		}
		st.take(i)
		if st.phase.Gang {
			continue
		}
		if !restored {
			t.checkpoint = g.checkpoints[i]
		}
		// The attempts that failed here keep their numbers, as a worker may report them again.
		for n := len(t.failedAttempts); n < min(g.Failed[i], failureRange-1); n++ {
			t.failedAttempts = append(t.failedAttempts, -int64(n)-1)
		}
	}
	if st.phase.Gang {
		// All members are placed together.
		s.dropHeld(st, now)
	}
	s.openIfReady(st, now)
}

// leaveUngranted has a task of a new step belong to the home owner. What is stored of its
// runs is kept.
func (st *step) leaveUngranted(index int) {
	st.tasks[index].elsewhere = true
	st.tasksElsewhere++
	st.waiting--
}

// ServeHome answers the home owner of some jobs. A former one, as far as this owner knows, gets an
// empty reply.
func (s *Scheduler) ServeHome(request DelegationRequest, now time.Time) DelegationReply {
	if request.Token < s.homeTokens[request.Home] {
		return DelegationReply{}
	}
	s.homeTokens[request.Home] = request.Token
	reply := DelegationReply{
		Mark: Mark{
			Token:   s.token,
			Reading: now.UnixNano(),
		},
	}
	var contactAt time.Time
	if request.Mark.Token == s.token {
		contactAt = earlier(time.Unix(0, request.Mark.Reading), now)
	}
	for _, told := range request.Jobs {
		reply.Jobs = append(reply.Jobs, s.serveJob(request.Home, told, contactAt, now))
	}
	return reply
}

func (s *Scheduler) serveJob(home int, told DelegatedJob, contactAt, now time.Time) GuestState {
	j := s.jobs[told.ID]
	state := GuestState{
		ID: told.ID,
	}
	switch {
	case s.heldGuests[told.ID] && !told.Ended:
		return state
	case j == nil && told.Ended:
		if s.heldGuests[told.ID] {
			delete(s.heldGuests, told.ID)
			s.droppedGuests[told.ID] = true
		}
		state.Ended = true
		return state
	case j == nil && told.Job == nil:
		state.Unknown = true
		return state
	case j == nil && (told.Job.ID != told.ID || told.Job.Validate() != nil):
		state.Ended = true
		return state
	case j == nil:
		j = s.addGuest(Guest{
			Home: home,
			Job:  *told.Job,
		}, nil, false)
	case j.guest == nil || j.guest.home != home:
		// The identity is that of another job.
		state.Ended = true
		return state
	}
	if told.Ended && !j.state.Final() {
		s.endJob(j, Cancelled, now)
	}
	if !j.state.Final() {
		if contactAt.After(j.guest.contactAt) {
			j.guest.contactAt = contactAt
		}
		s.addGrants(j, told.Grants, now)
	}
	return s.guestState(j, state)
}

// addGrants adds those of the grants that are new, subject to a write, and applies what the home
// owner has decided for gangs.
func (s *Scheduler) addGrants(j *job, grants []GrantMessage, now time.Time) {
	for _, message := range grants {
		told := message.Grant
		if st := j.steps[told.step(j.record.ID)]; st != nil && st.phase.Gang {
			s.applyOrder(st, message.Gang, now)
		}
		s.dropTold(j, told)
		if told.Phase < 0 || told.Phase >= len(j.record.Phases) || told.Occurrence < 0 || told.Occurrence >= j.record.occurrences() ||
			told.Number <= j.guest.lastGrant {
			continue
		}
		j.guest.lastGrant = told.Number
		if len(told.Tasks) == 0 {
			continue
		}
		g := &grant{
			Grant:       told.clone(),
			checkpoints: message.Checkpoints,
		}
		g.Returned = nil
		j.guest.grants = append(j.guest.grants, g)
		s.dirtyJobs[j.record.ID] = true
		s.addNote(fmt.Sprintf("%d tasks are run for the owner of partition %d", len(g.Tasks), j.guest.home), TaskRef{
			Step: g.step(j.record.ID),
		}, "", 0)
	}
}

// dropTold drops the tasks of a known grant that the home owner does not list any more: it has
// stored that they were returned or are done. It also takes over whether they are kept.
func (s *Scheduler) dropTold(j *job, told Grant) {
	i := slices.IndexFunc(j.guest.grants, func(g *grant) bool { return g.Number == told.Number })
	if i < 0 || !j.guest.grants[i].stored {
		return
	}
	g := j.guest.grants[i]
	g.Returnable = told.Returnable
	settled := func(task int) bool { return !slices.Contains(told.Tasks, task) && !slices.Contains(g.returning, task) }
	g.Returned = slices.DeleteFunc(g.Returned, settled)
	g.Tasks = slices.DeleteFunc(g.Tasks, func(task int) bool { return settled(task) && j.isDone(g.task(j.record.ID, task)) })
	if len(g.Tasks)+len(g.Returned) == 0 && len(told.Tasks) == 0 {
		j.guest.grants = slices.Delete(j.guest.grants, i, i+1)
	}
}

// guestState completes the state of a job that is told to its home owner.
func (s *Scheduler) guestState(j *job, state GuestState) GuestState {
	state.Begun = j.guest.begun
	state.Ended = j.state.Final() && j.stateStored
	state.Failed = j.state == Failed && j.stateStored
	stored := s.lastChangeOf(j.record.ID) <= s.storedBatch
	for _, g := range j.guest.grants {
		if !g.stored {
			continue
		}
		of := GrantState{
			Number:   g.Number,
			Returned: slices.DeleteFunc(slices.Clone(g.Returned), func(i int) bool { return slices.Contains(g.returning, i) }),
		}
		st := j.steps[g.step(j.record.ID)]
		if st != nil && st.phase.Gang {
			of.Gang = s.gangState(st, stored)
		}
		if st != nil && stored {
			for _, i := range st.validIndexes(g.Tasks) {
				if st.tasks[i].done {
					of.Done = append(of.Done, i)
				}
			}
		}
		if st != nil {
			of.Failed = st.ownFailureCounts(g, of.Returned)
			of.Checkpoints = st.checkpoints(of.Returned)
			of.Never = st.neverHere
		}
		state.Grants = append(state.Grants, of)
	}
	return state
}

// ownFailureCounts is failureCounts without the attempts that failed before the tasks were granted.
func (st *step) ownFailureCounts(g *grant, indexes []int) map[int]int {
	counts := st.failureCounts(st.validIndexes(indexes))
	for i := range counts {
		counts[i] -= g.Failed[i]
		if counts[i] <= 0 {
			delete(counts, i)
		}
	}
	return counts
}

// keeps reports whether tasks of the step are to be kept although there is no room for them.
func (g *guest) keeps(ref StepRef) bool {
	return slices.ContainsFunc(g.grants, func(of *grant) bool {
		return !of.Returnable && len(of.Tasks) > 0 && of.step(ref.Job) == ref
	})
}

// mayStartGuest reports whether tasks of the job may be started: it is no guest, or there was
// contact with its home owner.
func (j *job) mayStartGuest(now time.Time) bool {
	return j.guest == nil || now.Sub(j.guest.contactAt) <= maxContactAge
}

// returnTasks returns n tasks of a step to the home owner, for which this owner's workers lack
// room.
func (s *Scheduler) returnTasks(st *step, n int, now time.Time) {
	if !st.job.mayStartGuest(now) {
		return
	}
	indexes := s.waitingIndexes(st, n)
	for _, g := range st.job.guest.grants {
		if g.stored && g.step(st.job.record.ID) == st.ref {
			g.returnTasks(indexes)
		}
	}
	for _, i := range indexes {
		st.leave(i)
	}
	if len(indexes) == 0 {
		return
	}
	st.neverHere = st.noPlaces.tasks > 0
	st.noRoom, st.noPlaces = shortage{}, shortage{}
	if st.waiting == 0 {
		delete(s.openSteps, st.ref)
	}
	s.dirtyJobs[st.job.record.ID] = true
	s.addNote(fmt.Sprintf("%d tasks are returned to the owner of partition %d, as the workers of this one lack room", len(indexes), st.job.guest.home), TaskRef{
		Step: st.ref,
	}, "", 0)
}

// isAbandoned reports whether the job is a guest of which nothing has begun and that the home
// owner has not spoken of since the given time. A late message can create one after the job has
// ended. If the job has not, the home owner learns that nothing of it runs here and takes the
// tasks back.
func (j *job) isAbandoned(since time.Time) bool {
	if j.guest == nil || j.guest.begun || j.state.Final() || latest(j.guest.contactAt, j.guest.addedAt).After(since) {
		return false
	}
	for _, st := range j.steps {
		if st.hasRuns() {
			return false
		}
	}
	return true
}

// guestRecord returns what is stored of a guest, or nil if the job is none.
func (j *job) guestRecord(progress Progress) *Guest {
	if j.guest == nil {
		return nil
	}
	return &Guest{
		Home:      j.guest.home,
		Job:       j.record,
		Grants:    cloneGrants(j.guest.grants),
		LastGrant: j.guest.lastGrant,
		Begun:     j.guest.begun,
		Progress:  progress,
	}
}

// guestWritten records that the store has a guest as it stood in a write.
func (s *Scheduler) guestWritten(j *job, stored *Guest) {
	for _, written := range stored.Grants {
		for _, g := range j.guest.grants {
			if g.Number != written.Number {
				continue
			}
			first := !g.stored
			g.written(written)
			if first && !j.state.Final() {
				s.takeGranted(j, g, false, s.tickedAt)
			}
		}
	}
}

// forgetGuest forgets an ended guest, and has what is stored of it deleted.
func (s *Scheduler) forgetGuest(id string) {
	delete(s.jobs, id)
	delete(s.guests, id)
	delete(s.dirtyJobs, id)
	s.forgetSuspects(id)
	s.droppedGuests[id] = true
}

// IsGuest reports whether the job is one of another partition.
func (s *Scheduler) IsGuest(id string) bool {
	j := s.jobs[id]
	return j != nil && j.guest != nil
}

// GuestTasks counts the tasks of other owners' jobs that this owner has and that are not done.
func (s *Scheduler) GuestTasks() int {
	n := 0
	for id := range s.guests {
		j := s.jobs[id]
		if j.state.Final() {
			continue
		}
		for _, st := range j.steps {
			n += len(st.tasks) - st.done - st.tasksElsewhere
		}
	}
	return n
}

// GrantedTasks counts the tasks that other owners run for this one.
func (s *Scheduler) GrantedTasks() int {
	n := 0
	for id := range s.grantingJobs {
		if j := s.jobs[id]; j != nil && !j.state.Final() {
			for _, st := range j.steps {
				n += st.tasksElsewhere
			}
		}
	}
	return n
}
