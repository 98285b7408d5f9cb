package placer

import (
	"math"

	"github.com/galenacove/galenacove/sizer"
)

// needSummary summarises the needs of the waiting classes of a team, so that a
// team with nothing that fits is skipped without examining its classes. It may
// report a fit where there is none, but never the reverse.
type needSummary struct {
	// withoutAccelerators has, for each level of cores, the least memory in bytes
	// needed by any class of that level or below that needs no accelerators;
	// withAccelerators is the same for classes that need some.
	withoutAccelerators [coreLevels]int64
	withAccelerators    [coreLevels]int64
}

func (l *needSummary) clear() {
	for at := range coreLevels {
		l.withoutAccelerators[at] = math.MaxInt64
		l.withAccelerators[at] = math.MaxInt64
	}
}

func (l *needSummary) add(need sizer.Size) {
	memory := &l.withoutAccelerators
	if need.Accelerators() > 0 {
		memory = &l.withAccelerators
	}
	for at := level(need.MilliCores(), coreUnit, coreLevels); at < coreLevels; at++ {
		memory[at] = min(memory[at], need.Bytes())
	}
}

// mayFit reports whether some class may fit in the available capacity.
func (l *needSummary) mayFit(available sizer.Size) bool {
	at := level(max(0, available.MilliCores()), coreUnit, coreLevels)
	return l.withoutAccelerators[at] <= available.Bytes() || (available.Accelerators() > 0 && l.withAccelerators[at] <= available.Bytes())
}

// mayPlace reports whether the team may have work in the bands up to last that
// finds capacity now: because it has something new to try, or because enough
// was freed for some of its work.
func (t *teamRow) mayPlace(last priorityBand, freed sizer.Size) bool {
	if len(t.queue) == 0 || t.queue[0].rank.priorityBand > last {
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
