package placer

import (
	"math"

	"github.com/galenacove/galenacove/sizer"
)

// leastNeeds sums up what the waiting classes of a team need, so that a team
// with nothing that fits is passed over without a look at its classes. It may
// say that something fits where nothing does, and never the other way round.
type minNeeds struct {
	// plain has, for each level of processors, the least memory in bytes that a
	// class of this level or a lower one needs, if it needs no accelerators;
	// special is the same of those that do.
	withoutAccelerators [coreLevels]int64
	withAccelerators    [coreLevels]int64
}

func (l *minNeeds) clear() {
	for at := range coreLevels {
		l.withoutAccelerators[at] = math.MaxInt64
		l.withAccelerators[at] = math.MaxInt64
	}
}

func (l *minNeeds) add(need sizer.Size) {
	memory := &l.withoutAccelerators
	if need.Accelerators() > 0 {
		memory = &l.withAccelerators
	}
	for at := level(need.MilliCores(), coreUnit, coreLevels); at < coreLevels; at++ {
		memory[at] = min(memory[at], need.Bytes())
	}
}

// mayFit reports whether some class may fit in the room.
func (l *minNeeds) mayFit(available sizer.Size) bool {
	at := level(max(0, available.MilliCores()), coreUnit, coreLevels)
	return l.withoutAccelerators[at] <= available.Bytes() || (available.Accelerators() > 0 && l.withAccelerators[at] <= available.Bytes())
}

// mayPlace reports whether the team may have work up to a band that finds room
// now: something new, or room freed that is enough for some of it.
func (t *teamRow) mayPlace(last priorityBand, freed sizer.Size) bool {
	if len(t.queue) == 0 || t.queue[0].rank.band > last {
		return false
	}
	if t.fresh {
		return true
	}
	if t.minNeedsStale {
		t.recomputeMinNeeds()
	}
	return t.minNeeds.mayFit(freed)
}

func (t *teamRow) recomputeMinNeeds() {
	t.minNeedsStale = false
	t.minNeeds.clear()
	for at := range t.queue {
		t.minNeeds.add(t.queue[at].need)
	}
}
