package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Delegates reports whether there may be something to tell the owners of other partitions.
func (s *Scheduler) Delegates() bool {
	return len(s.grantingJobs) > 0 || len(s.crowdedSteps) > 0
}

// DelegationRequests returns what is to be told to the owners of other partitions, by
// partition, and the partitions for which that is urgent. The caller sets the marks.
func (s *Scheduler) DelegationRequests(now time.Time) (map[int]DelegationRequest, map[int]bool) {
	requests := make(map[int]DelegationRequest)
	urgent := make(map[int]bool)
	for _, id := range slices.Sorted(maps.Keys(s.grantingJobs)) {
		j := s.jobs[id]
		if j == nil || j.state.Final() && j.stateStored && !j.awaitsDelegates() {
			delete(s.grantingJobs, id)
			continue
		}
		for partition, delegated := range s.delegated(j, now) {
			request := requests[partition]
			request.Jobs = append(request.Jobs, delegated.DelegatedJob)
			requests[partition] = request
			urgent[partition] = urgent[partition] || delegated.urgent
		}
	}
	for partition, request := range requests {
		request.Home = s.partition
		request.Token = s.token
		requests[partition] = request
	}
	return requests, urgent
}

// endingWindow is how long after the estimate the ends of a grant's tasks are expected.
const endingWindow = 2 * time.Second

// isEnding reports whether tasks of the grant probably end about now, so that callers and later
// steps wait for the delegate's answer.
func (g *grant) isEnding(st *step, now time.Time) bool {
	if st == nil || st.phase.Lasting || len(g.Tasks) == 0 {
		return false
	}
	if g.due.IsZero() {
		// A former owner made the grant.
		g.due = now
	}
	return !now.Before(g.due) && now.Sub(g.due) < endingWindow
}

// delegation is what a home owner has to tell a delegate about a job.
type delegation struct {
	DelegatedJob
	// urgent is set if the delegate has not stored all of it.
	urgent bool
}

// delegated returns what is to be told about the job, by the partition of the delegate.
func (s *Scheduler) delegated(j *job, now time.Time) map[int]delegation {
	told := make(map[int]delegation)
	// A cancelling is stored with the jobs. Any other end may yet be lost, but nothing
	// starts meanwhile.
	ended := j.state == Cancelled || j.state.Final() && j.stateStored
	if j.state.Final() && !ended {
		return nil
	}
	for partition, endStored := range j.delegates {
		if ended && !endStored {
			told[partition] = delegation{
				DelegatedJob: DelegatedJob{
					ID:    j.record.ID,
					Ended: true,
				},
				urgent: true,
			}
		}
	}
	if ended {
		return told
	}
	stored := s.lastChangeOf(j.record.ID) <= s.storedBatch
	for _, g := range j.grants {
		if !g.stored {
			continue
		}
		d := told[g.Partition]
		d.ID = j.record.ID
		st := j.steps[g.step(j.record.ID)]
		d.urgent = d.urgent || !g.acknowledged || g.isEnding(st, now)
		if !g.acknowledged {
			d.Job = &j.record
		}
		of := GrantMessage{
			Grant: Grant{
				Number:     g.Number,
				Occurrence: g.Occurrence,
				Phase:      g.Phase,
				Partition:  g.Partition,
				Tasks:      append(slices.Clone(g.Tasks), g.returning...),
				Returnable: !s.isKept(g, st, now),
				Failed:     g.Failed,
			},
		}
		if st != nil && !g.acknowledged {
			of.Checkpoints = st.checkpoints(g.Tasks)
		}
		if stored {
			of.Grant.Tasks = slices.DeleteFunc(of.Grant.Tasks, func(i int) bool { return j.isDone(g.task(j.record.ID, i)) })
		}
		if st != nil && st.phase.Gang {
			of.Gang = st.orderFor(g)
			d.urgent = d.urgent || of.Gang.Stage != g.gang.Order.Stage || of.Gang.Stage == GangPrepare
		}
		d.Grants = append(d.Grants, of)
		told[g.Partition] = d
	}
	return told
}

// isKept reports whether the delegate of a grant is to keep its tasks although it lacks room: if no
// owner had any when they were granted, unless this owner's workers have places for some of them by now.
func (s *Scheduler) isKept(g *grant, st *step, now time.Time) bool {
	if g.Returnable || st == nil || !s.recoveryDone || now.Sub(s.ownerSince) < settlingTime {
		return !g.Returnable
	}
	if now.Sub(g.placesCheckedAt) < shortageCheckInterval {
		return !g.hasPlaces
	}
	g.placesCheckedAt = now
	needed := 1
	switch {
	case st.phase.Gang:
		needed += st.members()
	case st.phase.Lasting:
		needed += st.waiting
	}
	for _, w := range s.workers {
		if needed > 0 && w.entry.Service == st.job.record.Queue.Service && s.available(w, now) && s.mayEverRun(st, w) {
			needed -= st.placesOn(w)
		}
	}
	g.hasPlaces = needed <= 0
	return !g.hasPlaces
}

// DelegationAnswered records the reply of another partition's owner to a request. That of a former
// one, as far as this owner knows, is ignored: it may know nothing of what a later one runs.
func (s *Scheduler) DelegationAnswered(partition int, request DelegationRequest, reply DelegationReply, now time.Time) {
	if reply.Mark.Token < s.delegateTokens[partition] {
		return
	}
	s.delegateTokens[partition] = reply.Mark.Token
	for i, state := range reply.Jobs {
		if j := s.jobs[state.ID]; j != nil && j.guest == nil && i < len(request.Jobs) {
			s.applyGuestState(j, partition, state, now)
			s.dropFinished(j, partition, request.Jobs[i], state)
		}
	}
}

// applyGuestState records what a delegate says of a job.
func (s *Scheduler) applyGuestState(j *job, partition int, state GuestState, now time.Time) {
	if state.Begun {
		s.markJobBegun(j.record.ID)
		s.keepBegun(j)
	}
	if state.Ended && j.state.Final() {
		j.delegates[partition] = true
	}
	for _, g := range j.grants {
		if g.Partition != partition {
			continue
		}
		if state.Unknown {
			g.acknowledged = false
		}
		if !j.state.Final() && state.Ended && !state.Failed {
			s.takeBack(j, g, slices.Clone(g.Tasks), neverPause, now)
		}
	}
	if j.state.Final() {
		return
	}
	for _, of := range state.Grants {
		i := slices.IndexFunc(j.grants, func(g *grant) bool { return g.Number == of.Number && g.Partition == partition })
		if i < 0 {
			continue
		}
		j.grants[i].acknowledged = true
		s.applyGrantState(j, j.grants[i], of, now)
	}
	if state.Failed && !j.state.Final() {
		s.endJob(j, Failed, now)
	}
}

// dropFinished drops the grants without tasks that a delegate has forgotten.
func (s *Scheduler) dropFinished(j *job, partition int, told DelegatedJob, state GuestState) {
	if told.ID != state.ID || state.Unknown || j.state.Final() {
		return
	}
	j.grants = slices.DeleteFunc(j.grants, func(g *grant) bool {
		empty := func(of GrantMessage) bool { return of.Grant.Number == g.Number && len(of.Grant.Tasks) == 0 }
		listed := func(of GrantState) bool { return of.Number == g.Number }
		return g.Partition == partition && slices.ContainsFunc(told.Grants, empty) && !slices.ContainsFunc(state.Grants, listed)
	})
}

func (s *Scheduler) applyGrantState(j *job, g *grant, state GrantState, now time.Time) {
	st := j.steps[g.step(j.record.ID)]
	if st == nil {
		return
	}
	for _, i := range state.Done {
		if slices.Contains(g.Tasks, i) && !st.tasks[i].done && !j.state.Final() {
			s.markTaskDone(st, &st.tasks[i], now)
			s.dirtyJobs[j.record.ID] = true
		}
	}
	st.addReturned(g, state)
	pause := returnPause
	if state.Never {
		pause = neverPause
	}
	s.takeBack(j, g, state.Returned, pause, now)
	if st.phase.Gang {
		if len(state.Done) > 0 {
			// One such end stands for all members.
			for i := range st.tasks {
				s.markTaskDone(st, &st.tasks[i], now)
			}
		}
		s.applyGangState(st, g, state.Gang, now)
	}
	if !j.state.Final() {
		s.finishStepIfDone(st, now)
	}
	if !j.state.Final() && !st.phase.Lasting && slices.ContainsFunc(state.Returned, func(i int) bool { return st.isExhausted(i) }) {
		s.endJob(j, Failed, now)
	}
}

// takeBack has tasks that a delegate does not run belong to this owner again, once that is
// stored. They are not left to it again before the pause is over.
func (s *Scheduler) takeBack(j *job, g *grant, tasks []int, pause time.Duration, now time.Time) {
	before := len(g.Tasks)
	g.returnTasks(tasks)
	if len(g.Tasks) == before {
		return
	}
	s.dirtyJobs[j.record.ID] = true
	ref := g.step(j.record.ID)
	if st := j.steps[ref]; st != nil {
		if st.returns == nil {
			st.returns = make(map[int]returned)
		}
		st.returns[g.Partition] = returned{
			at:          now,
			offerableAt: now.Add(pause),
		}
	}
	s.addNote(fmt.Sprintf("%d tasks were returned by the owner of partition %d", before-len(g.Tasks), g.Partition), TaskRef{
		Step: ref,
	}, "", 0)
}

// restoreGrants restores the grants that a former owner stored.
func (s *Scheduler) restoreGrants(j *job, stored Progress) {
	j.lastGrant = stored.LastGrant
	for _, partition := range stored.Delegates {
		j.delegates[partition] = false
	}
	for _, g := range stored.Grants {
		j.grants = append(j.grants, &grant{
			Grant:  g.clone(),
			stored: true,
		})
	}
	if len(j.delegates) > 0 {
		s.grantingJobs[j.record.ID] = true
	}
}

// leaveGranted leaves the tasks of a new step to the delegates that have them.
func (j *job) leaveGranted(st *step) {
	for _, g := range j.grants {
		if g.step(j.record.ID) != st.ref {
			continue
		}
		for _, i := range st.validIndexes(g.Tasks) {
			if t := &st.tasks[i]; !t.done && !t.elsewhere {
				st.leave(i)
			}
		}
	}
}

// grantsWritten records that the store has the grants of a job as they stood in a write.
func (s *Scheduler) grantsWritten(j *job, stored []Grant) {
	for _, written := range stored {
		i := slices.IndexFunc(j.grants, func(g *grant) bool { return g.Number == written.Number })
		if i < 0 {
			continue
		}
		st := j.steps[j.grants[i].step(j.record.ID)]
		for _, index := range j.grants[i].written(written) {
			if st == nil || j.state.Final() || !st.tasks[index].elsewhere {
				continue
			}
			st.take(index)
			s.openIfReady(st, s.tickedAt)
			if st.phase.Gang {
				s.dropHeld(st, s.tickedAt)
			}
		}
		if st != nil && !st.isGangPart() {
			st.order = GangOrder{}
		}
	}
}

// awaitsDelegates reports whether a delegate may not have stored that the job has ended.
func (j *job) awaitsDelegates() bool {
	for _, endStored := range j.delegates {
		if !endStored {
			return true
		}
	}
	return false
}
