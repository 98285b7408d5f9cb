package dispatcher

import (
	"slices"

	"github.com/galenacove/galenacove/placer"
	"github.com/galenacove/galenacove/sizer"
)

// rooms returns the largest free rooms, one for each dimension.
func (t *tables) largestFree() []sizer.Size {
	var best [3]sizer.Size
	for worker := range t.placer.Workers {
		if worker.State() != placer.Open {
			continue
		}
		free := worker.Worker().Capacity().Sub(worker.Used()).Sub(worker.Claimed())
		if free.MilliCores() > best[0].MilliCores() {
			best[0] = free
		}
		if free.Bytes() > best[1].Bytes() {
			best[1] = free
		}
		if free.Accelerators() > best[2].Accelerators() {
			best[2] = free
		}
	}
	largestFree := make([]sizer.Size, 0, len(best))
	for _, room := range best {
		if !room.IsZero() && !slices.Contains(largestFree, room) {
			largestFree = append(largestFree, room)
		}
	}
	return largestFree
}

// shapes returns the different capacities of the workers that are here to stay.
func (t *tables) workerShapes() []sizer.Size {
	var workerShapes []sizer.Size
	for _, name := range t.links.sortedNames() {
		l := t.links.byName[name]
		if len(workerShapes) >= maxShapes {
			break
		}
		if l.listed && !l.leaving && !slices.Contains(workerShapes, l.host.Capacity) {
			workerShapes = append(workerShapes, l.host.Capacity)
		}
	}
	return workerShapes
}

// hasRoom reports whether a single worker of the member has room for the size.
func (s Summary) hasFreeCapacity(size sizer.Size) bool {
	for _, room := range s.Rooms {
		if size.Fits(room) {
			return true
		}
	}
	return false
}

// hasShape reports whether a worker of the member would hold the size if it were
// empty.
func (s Summary) hasLargeEnoughWorker(size sizer.Size) bool {
	for _, shape := range s.Shapes {
		if size.Fits(shape) {
			return true
		}
	}
	return false
}

// summaries returns those of all members that are known.
func (t *tables) knownSummaries() []Summary {
	all := make([]Summary, 0, len(t.members))
	for _, ch := range t.allChannels() {
		if ch.summaryKnown {
			all = append(all, ch.summary)
		}
	}
	return all
}

// everyChannel returns those of all members, by name, with the own.
func (t *tables) allChannels() []*channel {
	all := make([]*channel, 0, len(t.members))
	for _, member := range t.members {
		if member == t.self {
			all = append(all, &t.selfChannel)
		} else if ch := t.channels[member]; ch != nil {
			all = append(all, ch)
		}
	}
	return all
}

// summed reports whether it is known, or has been waited for long enough, how
// each member stands.
func (t *tables) summariesKnown() bool {
	if !t.now.Before(t.epochLearnedAt.Add(summaryTimeout)) {
		return true
	}
	for _, ch := range t.allChannels() {
		if !ch.summaryKnown {
			return false
		}
	}
	return true
}

// roomiest returns the member to which a task of the size goes: one that has
// room for it, with the largest part of its capacity free, or else the one with
// the least waiting for its capacity. It is empty if no member has a worker of
// the size.
func (t *tables) bestMember(size sizer.Size) string {
	best := ""
	bestScore := 0.0
	for _, ch := range t.allChannels() {
		if !ch.summaryKnown || !ch.summary.hasLargeEnoughWorker(size) {
			continue
		}
		score := ch.score(size)
		if best == "" || score > bestScore {
			best = ch.member
			bestScore = score
		}
	}
	return best
}

// score is above 1 for a member that has room, and grows with its free part. It
// falls below 0 as work waits at the member.
func (ch *channel) score(size sizer.Size) float64 {
	s := ch.summary
	free := s.Free.Sub(ch.assignedSize)
	if s.hasFreeCapacity(size) && size.Fits(free) {
		return 2 - s.Capacity.Sub(free).DominantShare(s.Capacity)
	}
	queued := size.Times(int64(s.Pending + ch.queued + 1))
	return -queued.DominantShare(s.Capacity)
}

// promise notes that a task of the size was assigned to a member.
func (t *tables) noteAssigned(member string, size sizer.Size) {
	ch := &t.selfChannel
	if member != t.self {
		ch = t.channels[member]
	}
	ch.assignedSize = ch.assignedSize.Add(size)
	ch.queued++
}
