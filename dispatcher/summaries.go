package dispatcher

import (
	"slices"

	"github.com/galenacove/galenacove/placer"
	"github.com/galenacove/galenacove/sizer"
)

// largestFree returns the largest free capacities on single workers, at most
// one for each dimension.
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
	for _, largest := range best {
		if !largest.IsZero() && !slices.Contains(largestFree, largest) {
			largestFree = append(largestFree, largest)
		}
	}
	return largestFree
}

// workerShapes returns the distinct capacities of the workers that are listed
// and not leaving, at most maxShapes.
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

// hasFreeCapacity reports whether a single worker of the member has free
// capacity for the size.
func (s Summary) hasFreeCapacity(size sizer.Size) bool {
	for _, free := range s.Rooms {
		if size.Fits(free) {
			return true
		}
	}
	return false
}

// hasLargeEnoughWorker reports whether a worker of the member could hold the
// size if it were empty.
func (s Summary) hasLargeEnoughWorker(size sizer.Size) bool {
	for _, shape := range s.Shapes {
		if size.Fits(shape) {
			return true
		}
	}
	return false
}

// knownSummaries returns the summaries of this epoch that are known, in the
// order of the members' names.
func (t *tables) knownSummaries() []Summary {
	all := make([]Summary, 0, len(t.members))
	for _, stream := range t.allStreams() {
		if stream.summaryKnown {
			all = append(all, stream.summary)
		}
	}
	return all
}

// allStreams returns the streams of all members in the order of their names,
// including this member's stream to itself.
func (t *tables) allStreams() []*memberStream {
	all := make([]*memberStream, 0, len(t.members))
	for _, member := range t.members {
		if member == t.self {
			all = append(all, &t.selfStream)
		} else if stream := t.streams[member]; stream != nil {
			all = append(all, stream)
		}
	}
	return all
}

// summariesKnown reports whether the summary of every member is known, or
// summaryTimeout has passed since the epoch began here.
func (t *tables) summariesKnown() bool {
	if !t.now.Before(t.epochLearnedAt.Add(summaryTimeout)) {
		return true
	}
	for _, stream := range t.allStreams() {
		if !stream.summaryKnown {
			return false
		}
	}
	return true
}

// bestMember returns the member to which a task of the size is assigned: among
// those with free capacity for it the one with the largest free share, or else
// the one with the least waiting work relative to its capacity. It is empty if
// no member has a worker that is large enough.
func (t *tables) bestMember(size sizer.Size) string {
	best := ""
	bestScore := 0.0
	for _, stream := range t.allStreams() {
		if !stream.summaryKnown || !stream.summary.hasLargeEnoughWorker(size) {
			continue
		}
		score := stream.score(size)
		if best == "" || score > bestScore {
			best = stream.member
			bestScore = score
		}
	}
	return best
}

// score is above 1 for a member with free capacity for the size, and grows with
// its free share. Otherwise it is below 0, and falls with the work that waits
// at the member.
func (stream *memberStream) score(size sizer.Size) float64 {
	s := stream.summary
	free := s.Free.Sub(stream.assignedSize)
	if s.hasFreeCapacity(size) && size.Fits(free) {
		return 2 - s.Capacity.Sub(free).DominantShare(s.Capacity)
	}
	queued := size.Times(int64(s.Pending + stream.queued + 1))
	return -queued.DominantShare(s.Capacity)
}

// noteAssigned counts a task of the size as assigned to a member, until the
// member's next summary replaces the count.
func (t *tables) noteAssigned(member string, size sizer.Size) {
	stream := &t.selfStream
	if member != t.self {
		stream = t.streams[member]
	}
	stream.assignedSize = stream.assignedSize.Add(size)
	stream.queued++
}
