package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// returnPause is how long a step's tasks are not left again to an owner that has returned
// some.
const returnPause = 10 * time.Second

// SetDelegates sets the partition of this owner, and the partitions whose owners may run tasks of a service's jobs for this
// owner. Without any, or as long as they are not set, this owner keeps all tasks.
func (s *Scheduler) SetDelegates(partition int, partitionsByService map[string][]int) {
	s.partition = partition
	s.delegates = partitionsByService
}

// AllowGrants sets whether tasks may be left to other owners. An owner of an older release
// would drop the grants from the progress of a job, and run the tasks itself, so none may be
// made while such an owner can follow. The default is true.
func (s *Scheduler) AllowGrants(allowed bool) {
	s.grantsAllowed = allowed
}

// delegatesOf returns the partitions whose owners can be asked to run tasks of the step.
func (s *Scheduler) delegatesOf(st *step, now time.Time) []int {
	if !s.grantsAllowed || st.job.guest != nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(s.delegates[st.job.record.Queue.Service]), func(partition int) bool {
		return now.Before(st.returnedBy[partition].Add(returnPause)) || slices.ContainsFunc(st.job.grants, func(g *grant) bool {
			// Its answer would not count the tasks that it is about to get.
			return g.Partition == partition && !g.acknowledged
		})
	})
}

// findWideSteps finds the steps for which this owner's workers lack places.
func (s *Scheduler) findWideSteps(pools map[string]*pool, now time.Time) {
	s.wideSteps = s.wideSteps[:0]
	if len(s.delegates) == 0 && len(s.guests) == 0 {
		return
	}
	for _, st := range s.openSteps {
		p := pools[st.job.record.Queue.Service]
		if p == nil || st.job.guest == nil && len(s.delegates[st.job.record.Queue.Service]) == 0 {
			continue
		}
		missing := s.checkPlaces(st, p, now)
		switch {
		case missing == 0:
		case st.job.guest != nil:
			s.returnTasks(st, missing, now)
		case len(s.delegatesOf(st, now)) > 0:
			s.wideSteps = append(s.wideSteps, st)
		}
	}
	slices.SortFunc(s.wideSteps, func(a, b *step) int { return compareSteps(a.ref, b.ref) })
}

// Delegates reports whether there may be something to tell the owners of other partitions.
func (s *Scheduler) Delegates() bool {
	return len(s.grantingJobs) > 0 || len(s.wideSteps) > 0
}

// DelegationRequests returns what is to be told to the owners of other partitions, by
// partition, and the partitions for which that is urgent. The caller sets the marks.
func (s *Scheduler) DelegationRequests(now time.Time) (map[int]DelegationRequest, map[int]bool) {
	requests := make(map[int]DelegationRequest)
	urgent := make(map[int]bool)
	for _, id := range slices.Sorted(maps.Keys(s.grantingJobs)) {
		j := s.jobs[id]
		if j == nil {
			delete(s.grantingJobs, id)
			continue
		}
		for partition, delegated := range s.delegated(j) {
			request := requests[partition]
			request.Jobs = append(request.Jobs, delegated.DelegatedJob)
			requests[partition] = request
			urgent[partition] = urgent[partition] || delegated.urgent
		}
	}
	for _, st := range s.wideSteps {
		for _, partition := range s.delegatesOf(st, now) {
			request := requests[partition]
			request.Queries = append(request.Queries, PlacesQuery{
				Step:  st.ref,
				Queue: st.job.record.Queue,
				Phase: *st.phase,
			})
			requests[partition] = request
		}
	}
	for partition, request := range requests {
		request.Home = s.partition
		request.Token = s.token
		requests[partition] = request
	}
	return requests, urgent
}

// delegation is what a home owner has to tell a delegate about a job.
type delegation struct {
	DelegatedJob
	// urgent is set if the delegate has not stored all of it.
	urgent bool
}

// delegated returns what is to be told about the job, by the partition of the delegate.
func (s *Scheduler) delegated(j *job) map[int]delegation {
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
		d.urgent = d.urgent || !g.acknowledged
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
			},
		}
		if stored {
			of.Grant.Tasks = slices.DeleteFunc(of.Grant.Tasks, func(i int) bool { return j.isDone(g.task(j.record.ID, i)) })
		}
		if st := j.steps[g.step(j.record.ID)]; st != nil && st.phase.Gang {
			of.Gang = st.orderFor(g)
			d.urgent = d.urgent || of.Gang.Stage != g.gang.Order.Stage || of.Gang.Stage == GangPrepare
		}
		d.Grants = append(d.Grants, of)
		told[g.Partition] = d
	}
	return told
}

// DelegationAnswered records the reply of another partition's owner to a request.
func (s *Scheduler) DelegationAnswered(partition int, request DelegationRequest, reply DelegationReply, now time.Time) {
	for i, state := range reply.Jobs {
		if j := s.jobs[state.ID]; j != nil && j.guest == nil && i < len(request.Jobs) {
			s.applyGuestState(j, partition, state, now)
			s.dropFinished(j, partition, request.Jobs[i], state)
		}
	}
	for i, places := range reply.Places {
		if i < len(request.Queries) {
			s.grantTo(partition, request.Queries[i].Step, places, now)
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
			s.takeBack(j, g, slices.Clone(g.Tasks), now)
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
	s.takeBack(j, g, state.Returned, now)
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
}

// takeBack has tasks that a delegate does not run belong to this owner again, once that is
// stored.
func (s *Scheduler) takeBack(j *job, g *grant, tasks []int, now time.Time) {
	before := len(g.Tasks)
	g.returnTasks(tasks)
	if len(g.Tasks) == before {
		return
	}
	s.dirtyJobs[j.record.ID] = true
	ref := g.step(j.record.ID)
	if st := j.steps[ref]; st != nil {
		if st.returnedBy == nil {
			st.returnedBy = make(map[int]time.Time)
		}
		st.returnedBy[g.Partition] = now
	}
	s.addNote(fmt.Sprintf("%d tasks were returned by the owner of partition %d", before-len(g.Tasks), g.Partition), TaskRef{
		Step: ref,
	}, "", 0)
}

// grantTo leaves tasks of a step to the owner of a partition with that many places.
func (s *Scheduler) grantTo(partition int, ref StepRef, places Places, now time.Time) {
	i := slices.IndexFunc(s.wideSteps, func(st *step) bool { return st.ref == ref })
	if i < 0 || s.openSteps[ref] != s.wideSteps[i] || !slices.Contains(s.delegatesOf(s.wideSteps[i], now), partition) {
		return
	}
	st := s.wideSteps[i]
	n := places.Free
	if n == 0 && now.Sub(st.placesMissingSince) >= busyPlacesAfter {
		n = places.Possible
	}
	indexes := s.waitingIndexes(st, min(n, st.missingPlaces, st.waiting))
	if len(indexes) == 0 {
		return
	}
	j := st.job
	j.lastGrant++
	j.delegates[partition] = false
	j.grants = append(j.grants, &grant{
		Grant: Grant{
			Number:     j.lastGrant,
			Occurrence: ref.Occurrence,
			Phase:      ref.Phase,
			Partition:  partition,
			Tasks:      indexes,
		},
	})
	for _, index := range indexes {
		st.leave(index)
	}
	st.missingPlaces -= len(indexes)
	if st.waiting == 0 {
		delete(s.openSteps, ref)
	}
	s.grantingJobs[j.record.ID] = true
	s.dirtyJobs[j.record.ID] = true
	s.addNote(fmt.Sprintf("%d of %d tasks are left to the owner of partition %d, which has %d free places, as the workers of this one lacked places for %v",
		len(indexes), len(st.tasks), partition, places.Free, now.Sub(st.placesMissingSince).Round(time.Millisecond)), TaskRef{
		Step: ref,
	}, "", now.Sub(st.dueAt))
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
