package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// shortageCheckInterval is the interval at which it is checked what a waiting step lacks.
	shortageCheckInterval = 200 * time.Millisecond
	// shortageExpiry is the age from which on an earlier check says nothing about now.
	shortageExpiry = 5 * shortageCheckInterval
	// roomMissingFor is how long a step must have lacked room before other owners are asked.
	// Most steps that wait find room by then, as runs end all the time.
	roomMissingFor = 250 * time.Millisecond
	// guestRoomMissingFor is the same for tasks of other owners' jobs before they are returned.
	guestRoomMissingFor = 400 * time.Millisecond
	// settlingTime is the time after a takeover in which workers are being recorded and have not
	// all reported, so that a lack of room means nothing.
	settlingTime = time.Second
	// placesMissingFor is how long places must have been missing before that counts: longer
	// than a worker misses one renewal.
	placesMissingFor = time.Second
	// busyPlacesAfter is how long places must have been missing before tasks are left to
	// owners that have capacity only once other runs have ended.
	busyPlacesAfter = 3 * time.Second
)

// shortage is a number of a step's waiting tasks that the workers cannot take.
type shortage struct {
	tasks int
	// since is the time since which tasks has not been 0, zero if it is.
	since time.Time
}

func (h *shortage) update(tasks int, now time.Time) {
	h.tasks = tasks
	switch {
	case tasks == 0:
		h.since = time.Time{}
	case h.since.IsZero():
		h.since = now
	}
}

// cover records that other owners take some of the tasks.
func (h *shortage) cover(tasks int) {
	h.tasks = max(0, h.tasks-tasks)
}

// after returns the number of tasks once it has not been 0 for that time, until then 0.
func (h shortage) after(d time.Duration, now time.Time) int {
	if h.since.IsZero() || now.Sub(h.since) < d {
		return 0
	}
	return h.tasks
}

// checkShortage updates what the step lacks. It reports whether anything is to be done about it.
func (s *Scheduler) checkShortage(st *step, p *pool, now time.Time) bool {
	if !s.recoveryDone || st.waiting == 0 || now.Sub(s.ownerSince) < settlingTime {
		return false
	}
	if st.phase.Gang && (st.waiting < st.members() || st.order.Stage == GangGo) {
		return false
	}
	if now.Sub(st.shortageCheckedAt) >= shortageCheckInterval {
		if now.Sub(st.shortageCheckedAt) > shortageExpiry {
			// It did not wait meanwhile.
			st.noRoom, st.noPlaces = shortage{}, shortage{}
		}
		st.shortageCheckedAt = now
		st.yields = st.leavesHeadroom(p, now)
		room, places := s.roomAndPlaces(st, p, now)
		st.noRoom.update(st.waiting-room, now)
		st.noPlaces.update(st.waiting-places, now)
	}
	return st.noRoom.tasks > 0 || st.noPlaces.tasks > 0
}

// roomAndPlaces returns how many of the step's waiting tasks the workers of the pool can take now,
// once there are tickets, and how many they can take now or later. Of tasks that end by themselves
// all find a place if one does. It is called when the step has been placed, before the next one.
func (s *Scheduler) roomAndPlaces(st *step, p *pool, now time.Time) (room, places int) {
	size := taskSize(st.phase)
	// Steps that were placed before are about to take what is free beyond this.
	spare := countFitting(size, p.freeCapacity)
	if st.yields && size.MilliCores() > 0 {
		spare = min(spare, int(max(0, p.spareMilliCores)/size.MilliCores()))
	}
	if len(st.adviceState.calls) > 0 {
		spare += st.adviceState.expectedTasks
	}
	reserved, others := 0, 0
	// Most workers of a crowded shard have too little free capacity, which is known at once.
	for _, w := range p.workers {
		fits := size.Fits(w.freeCapacity())
		if !fits && places >= st.waiting || !s.mayEverRun(st, w) {
			continue
		}
		switch {
		case !fits:
		case p.reservedFor[w] == st:
			reserved += st.fittingOn(w)
		default:
			others += s.capacityFor(st, w, p, now)
		}
		room = reserved + min(others, spare)
		if room >= st.waiting {
			return st.waiting, st.waiting
		}
		if places < st.waiting {
			places += st.placesOn(w)
		}
		if places > 0 && !st.phase.Lasting && !st.phase.Gang {
			places = st.waiting
		}
	}
	return room, min(places, st.waiting)
}

// fittingOn returns the number of the step's tasks for which the worker has free capacity.
func (st *step) fittingOn(w *worker) int {
	n := countFitting(taskSize(st.phase), w.freeCapacity())
	if st.phase.PerWorker > 0 {
		n = min(n, st.phase.PerWorker-st.runsOn(w))
	}
	return max(0, n)
}

// mayEverRun reports whether the worker meets the requirements of the step and the adviser
// has not denied it.
func (s *Scheduler) mayEverRun(st *step, w *worker) bool {
	if !meetsRequirements(st, w) {
		return false
	}
	return st.job.record.Queue.Advice == nil || !st.adviceState.askedWorkers[w.entry.Ref.ID] || s.isApproved(st, w)
}

// placesOn returns how many further tasks of the step the worker could run if all runs had
// ended that end by themselves.
func (st *step) placesOn(w *worker) int {
	n := countFitting(taskSize(st.phase), w.capacityWithoutLasting())
	if st.phase.PerWorker > 0 {
		running := 0
		for ref, r := range w.runs {
			if r.lasting && ref.Task.Step == st.ref {
				running++
			}
		}
		n = min(n, st.phase.PerWorker-running)
	}
	return max(0, n)
}

// waitingIndexes returns the last n of the step's waiting tasks that no former owner can have
// running, and that are no suspects.
func (s *Scheduler) waitingIndexes(st *step, n int) []int {
	if n <= 0 {
		return nil
	}
	runs := make(map[int]bool)
	for _, w := range s.workers {
		for ref := range w.runs {
			if ref.Task.Step == st.ref {
				// It may be one whose start had no answer.
				runs[ref.Task.Index] = true
			}
		}
	}
	var indexes []int
	for i := len(st.tasks) - 1; i >= 0 && len(indexes) < n; i-- {
		if t := &st.tasks[i]; t.waits() && !t.suspected() && !s.taskAwaitsRecovery(t) && !runs[i] {
			indexes = append(indexes, i)
		}
	}
	slices.Sort(indexes)
	return indexes
}

// describeShortage describes for a note what the step lacks, which owners have room for it as
// far as is known, which of its tasks belong to other owners, and for whom a gang of several owners
// waits. It is empty for other steps.
func (s *Scheduler) describeShortage(st *step, now time.Time) string {
	var text strings.Builder
	if st.job.guest != nil {
		fmt.Fprintf(&text, "; runs for the owner of partition %d, last heard of %v ago", st.job.guest.home, now.Sub(st.job.guest.contactAt).Round(time.Millisecond))
	}
	if st.noPlaces.tasks > 0 {
		fmt.Fprintf(&text, "; the workers have lacked places for %d tasks for %v", st.noPlaces.tasks, now.Sub(st.noPlaces.since).Round(time.Millisecond))
	}
	if st.noRoom.tasks > 0 {
		fmt.Fprintf(&text, "; the workers have lacked room for %d tasks for %v", st.noRoom.tasks, now.Sub(st.noRoom.since).Round(time.Millisecond))
		text.WriteString(s.describeRooms(st, now))
	}
	for _, g := range st.job.grants {
		if g.step(st.job.record.ID) == st.ref && len(g.Tasks) > 0 {
			fmt.Fprintf(&text, "; %d tasks belong to the owner of partition %d, stored %t, acknowledged %t", len(g.Tasks), g.Partition, g.stored, g.acknowledged)
		}
	}
	for _, partition := range slices.Sorted(maps.Keys(st.returns)) {
		fmt.Fprintf(&text, "; the owner of partition %d returned some %v ago", partition, now.Sub(st.returns[partition].at).Round(time.Millisecond))
	}
	if st.isGangPart() {
		fmt.Fprintf(&text, "; attempt %d is in stage %v", st.order.Attempt, st.order.Stage)
		if st.order.Stage == GangPrepare && st.notReady > 0 {
			fmt.Fprintf(&text, " and waits for the owner of partition %d", st.notReady-1)
		}
	}
	return text.String()
}

// maxNamedRooms limits the owners that one note names.
const maxNamedRooms = 6

// describeRooms describes for a note what the other owners of the service said of their room.
func (s *Scheduler) describeRooms(st *step, now time.Time) string {
	if st.job.guest != nil {
		return ""
	}
	var text strings.Builder
	service := st.job.record.Queue.Service
	named := 0
	for _, partition := range s.delegates[service] {
		known := s.rooms[service][partition]
		if known == nil {
			continue
		}
		if named++; named > maxNamedRooms {
			continue
		}
		fmt.Fprintf(&text, ", the owner of partition %d has room for %d as of %v ago", partition, known.tasksFor(st, false), now.Sub(known.at).Round(time.Millisecond))
	}
	fmt.Fprintf(&text, ", %d of %d other owners have answered", named, len(s.delegates[service]))
	return text.String()
}
