package placer

import (
	"math"

	"github.com/galenacove/galenacove/sizer"
)

// leastNeeds sums up what the waiting classes of a team need, so that a team
// with nothing that fits is passed over without a look at its classes. It may
// say that something fits where nothing does, and never the other way round.
type leastNeeds struct {
	// plain has, for each level of processors, the least memory in bytes that a
	// class of this level or a lower one needs, if it needs no accelerators;
	// special is the same of those that do.
	plain   [coreLevels]int64
	special [coreLevels]int64
}

func (l *leastNeeds) clear() {
	for at := range coreLevels {
		l.plain[at] = math.MaxInt64
		l.special[at] = math.MaxInt64
	}
}

func (l *leastNeeds) add(need sizer.Size) {
	memory := &l.plain
	if need.Accelerators() > 0 {
		memory = &l.special
	}
	for at := level(need.MilliCores(), coreUnit, coreLevels); at < coreLevels; at++ {
		memory[at] = min(memory[at], need.Bytes())
	}
}

// mayFit reports whether some class may fit in the room.
func (l *leastNeeds) mayFit(room sizer.Size) bool {
	at := level(max(0, room.MilliCores()), coreUnit, coreLevels)
	return l.plain[at] <= room.Bytes() || (room.Accelerators() > 0 && l.special[at] <= room.Bytes())
}

// mayPlace reports whether the team may have work up to a band that finds room
// now: something new, or room freed that is enough for some of it.
func (t *teamRow) mayPlace(last band, freed sizer.Size) bool {
	if len(t.queue) == 0 || t.queue[0].rank.band > last {
		return false
	}
	if t.listed {
		return true
	}
	if t.loose {
		t.tighten()
	}
	return t.needs.mayFit(freed)
}

func (t *teamRow) tighten() {
	t.loose = false
	t.needs.clear()
	for at := range t.queue {
		t.needs.add(t.queue[at].need)
	}
}
