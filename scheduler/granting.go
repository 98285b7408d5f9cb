package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// returnPause is how long a step's tasks are not left again to an owner that has returned
	// some, and neverPause the same if its workers could never take them.
	returnPause = time.Second
	neverPause  = 10 * time.Second
	// roomInterval is the interval at which other owners are asked for their room.
	roomInterval = 250 * time.Millisecond
	// minRoomAsked and maxRoomAsked limit the owners that are asked at once, and
	// roomRounds is the number of rounds in which all are asked otherwise.
	minRoomAsked, maxRoomAsked = 2, 16
	roomRounds                 = 8
)

// returned tells when an owner last returned tasks of a step, and when it may be left some again.
type returned struct {
	at, offerableAt time.Time
}

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
		return now.Before(st.returns[partition].offerableAt) || slices.ContainsFunc(st.job.grants, func(g *grant) bool {
			// Its answer would not count the tasks that it is about to get.
			return g.Partition == partition && !g.acknowledged
		})
	})
}

// handleShortage has other owners asked if their workers can take the tasks of a step that waits
// for room. Tasks of their jobs it returns. It is called when the step has been placed, before the
// next one.
func (s *Scheduler) handleShortage(st *step, p *pool, now time.Time) {
	switch {
	case len(s.delegates) == 0 && st.job.guest == nil, !s.checkShortage(st, p, now):
	case st.job.guest != nil:
		missing := st.noRoom.after(guestRoomMissingFor, now)
		if st.job.guest.keeps(st.ref) {
			missing = st.noPlaces.after(placesMissingFor, now)
		}
		s.returnTasks(st, missing, now)
	case st.noRoom.after(roomMissingFor, now) > 0 && len(s.delegatesOf(st, now)) > 0:
		s.crowdedSteps = append(s.crowdedSteps, st)
	}
}

// RoomRequests returns what other owners are to be asked about their room, by partition. Those
// that are asked take turns.
func (s *Scheduler) RoomRequests(now time.Time) map[int][]RoomQuery {
	if len(s.crowdedSteps) == 0 || now.Sub(s.roomAskedAt) < roomInterval {
		return nil
	}
	s.roomAskedAt = now
	s.roomRound++
	requests := make(map[int][]RoomQuery)
	queries := make(map[string]*RoomQuery)
	for _, st := range s.crowdedSteps {
		service := st.job.record.Queue.Service
		size := taskSize(st.phase)
		query := queries[service]
		if query == nil {
			query = &RoomQuery{
				Service: service,
				AtLeast: size,
			}
			queries[service] = query
		}
		query.AtLeast = sizer.New(min(query.AtLeast.MilliCores(), size.MilliCores()), min(query.AtLeast.Bytes(), size.Bytes()), min(query.AtLeast.Accelerators(), size.Accelerators()))
		query.Ever = query.Ever || st.noPlaces.tasks > 0
		if label := st.phase.Requires; label != "" && !slices.Contains(query.Labels, label) && len(query.Labels) < maxRoomLabels {
			query.Labels = append(query.Labels, label)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(queries)) {
		others := s.delegates[service]
		asked := min(len(others), maxRoomAsked, max(minRoomAsked, len(others)/roomRounds))
		for i := range asked {
			// Owners begin at unlike ones.
			partition := others[(s.partition+s.roomRound*asked+i)%len(others)]
			requests[partition] = append(requests[partition], *queries[service])
		}
	}
	return requests
}

// RoomAnswered records what another owner has said of its room, which it was asked at the given
// time. The next tick leaves tasks to it.
func (s *Scheduler) RoomAnswered(partition int, queries []RoomQuery, rooms []Room, asked, now time.Time) {
	for i, room := range rooms {
		if i >= len(queries) {
			break
		}
		service := queries[i].Service
		if !slices.Contains(s.delegates[service], partition) {
			continue
		}
		if !room.valid() {
			if now.Sub(s.oddRoomAt) >= explainInterval {
				s.oddRoomAt = now
				s.addNote(fmt.Sprintf("what the owner of partition %d says of its room for %s cannot be, and is ignored", partition, service), TaskRef{}, "", 0)
			}
			continue
		}
		if s.rooms[service] == nil {
			s.rooms[service] = make(map[int]*knownRoom)
		}
		if before := s.rooms[service][partition]; before != nil && before.at.After(asked) {
			continue
		}
		known := &knownRoom{
			room: room,
			at:   asked,
		}
		known.takeGranted(s, service, partition)
		s.rooms[service][partition] = known
		s.roomsChanged = true
	}
}

// takeGranted takes off the room what was granted to the owner and may not be counted in its answer.
func (k *knownRoom) takeGranted(s *Scheduler, service string, partition int) {
	for id := range s.grantingJobs {
		j := s.jobs[id]
		if j == nil || j.state.Final() || j.record.Queue.Service != service {
			continue
		}
		for _, g := range j.grants {
			if st := j.steps[g.step(id)]; st != nil && g.Partition == partition && !g.acknowledged {
				k.take(st, len(g.Tasks))
			}
		}
	}
}

// maxGrantTries limits the steps for which one tick looks for room at other owners.
const maxGrantTries = 200

// grantCrowded leaves tasks of the steps that lack room to owners that have it, in the order in
// which the steps were placed.
func (s *Scheduler) grantCrowded(now time.Time) {
	if !s.roomsChanged {
		return
	}
	s.roomsChanged = false
	largest := make(map[string]sizer.Size)
	for service, rooms := range s.rooms {
		for _, known := range rooms {
			if now.Sub(known.at) <= maxRoomAge {
				largest[service] = largest[service].Max(known.largest())
			}
		}
	}
	tries := 0
	for _, st := range s.crowdedSteps {
		if s.openSteps[st.ref] != st || st.job.state.Final() || !taskSize(st.phase).Fits(largest[st.job.record.Queue.Service]) {
			continue
		}
		if tries++; tries > maxGrantTries {
			return
		}
		missing := min(st.noRoom.tasks, st.waiting)
		if organisation, limited := s.limitOf(st.job); limited && s.holdsAll(organisation.Name) {
			// Otherwise the delegate may hold, or get, parts of the maximum that this owner lacks.
			missing = min(missing, s.allowedStarts(st))
		}
		switch {
		case missing <= 0 || s.awaitsOrganisations(st.job):
		case st.phase.Gang:
			s.grantGang(st, now)
		default:
			s.spread(st, missing, now)
		}
	}
}

// spread leaves up to n tasks of a step to the owners with the most room for them.
func (s *Scheduler) spread(st *step, n int, now time.Time) {
	for n > 0 {
		partition, room, free := s.mostRoom(st, now)
		granted := s.grantTasks(st, partition, min(room, n), free, now)
		if granted == 0 {
			return
		}
		n -= granted
	}
}

// mostRoom returns the partition whose owner has room for the most tasks of the step, for how
// many, and whether that is free now. Without any, n is 0.
func (s *Scheduler) mostRoom(st *step, now time.Time) (partition, n int, free bool) {
	ever := st.noPlaces.after(busyPlacesAfter, now) > 0
	for _, busy := range []bool{false, true} {
		for _, other := range s.delegatesOf(st, now) {
			if room := s.roomAt(other, st, busy, now); room > n {
				partition, n = other, room
			}
		}
		if n > 0 || !ever {
			return partition, n, !busy
		}
	}
	return partition, n, false
}

// roomAt returns for how many tasks of the step another owner has room, by what it last said, and as
// far as the adviser will probably approve its workers.
func (s *Scheduler) roomAt(partition int, st *step, ever bool, now time.Time) int {
	known := s.rooms[st.job.record.Queue.Service][partition]
	if known == nil || now.Sub(known.at) > maxRoomAge {
		return 0
	}
	n := known.tasksFor(st, ever)
	if st.phase.PerWorker > 0 {
		// It does not say which workers run the step already.
		n = max(0, n-st.grantedTo(partition))
	}
	if n == 0 || st.job.record.Queue.Advice == nil {
		return n
	}
	return max(1, int(float64(n)*s.stats(st.job.record.Queue.Name).approvalRate))
}

// grantedTo counts the tasks of the step that belong to the owner of a partition.
func (st *step) grantedTo(partition int) int {
	n := 0
	for _, g := range st.job.grants {
		if g.Partition == partition && g.step(st.job.record.ID) == st.ref {
			n += len(g.Tasks)
		}
	}
	return n
}

// grantGang leaves members of a gang to other owners: all to one that has room for them, else
// those for which this owner has none to several. If its workers lack places, it leaves those
// that can never run here to any.
func (s *Scheduler) grantGang(st *step, now time.Time) {
	members := st.waiting
	if partition, n, free := s.mostRoom(st, now); n >= members {
		s.grantTasks(st, partition, members, free, now)
		return
	}
	missing := min(st.noRoom.tasks, members)
	others := 0
	for _, other := range s.delegatesOf(st, now) {
		others += s.roomAt(other, st, false, now)
	}
	if others < missing {
		missing = min(st.noPlaces.after(placesMissingFor, now), members)
	}
	s.spread(st, missing, now)
}

// grantTasks leaves n tasks of a step to the owner of a partition, or as many as there are that can
// be. free is set if the owner has room for them now. It returns their number.
func (s *Scheduler) grantTasks(st *step, partition, n int, free bool, now time.Time) int {
	indexes := s.waitingIndexes(st, n)
	if len(indexes) == 0 {
		return 0
	}
	j := st.job
	j.lastGrant++
	j.delegates[partition] = false
	g := &grant{
		Grant: Grant{
			Number:     j.lastGrant,
			Occurrence: st.ref.Occurrence,
			Phase:      st.ref.Phase,
			Partition:  partition,
			Tasks:      indexes,
			Returnable: free,
		},
		due: now.Add(st.phase.Estimate),
	}
	if !st.phase.Gang {
		g.Failed = st.failureCounts(indexes)
	}
	j.grants = append(j.grants, g)
	known := s.rooms[j.record.Queue.Service][partition]
	s.addNote(fmt.Sprintf("%d of %d tasks are left to the owner of partition %d, which has room for %d as of %v ago, as the workers of this one have lacked it for %v",
		len(indexes), len(st.tasks), partition, known.tasksFor(st, false), now.Sub(known.at).Round(time.Millisecond), now.Sub(st.noRoom.since).Round(time.Millisecond)), TaskRef{
		Step: st.ref,
	}, "", now.Sub(st.dueAt))
	known.take(st, len(indexes))
	for _, index := range indexes {
		st.leave(index)
	}
	st.noRoom.cover(len(indexes))
	st.noPlaces.cover(len(indexes))
	if st.waiting == 0 {
		delete(s.openSteps, st.ref)
	}
	s.grantingJobs[j.record.ID] = true
	s.dirtyJobs[j.record.ID] = true
	return len(indexes)
}
