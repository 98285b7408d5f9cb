package placer

import (
	"math"

	"github.com/galenacove/galenacove/sizer"
)

// needSummary summarises the needs of the waiting classes of a team, so that a
// team with nothing that fits is skipped without examining its classes. mayFit
// may return true although no class fits, but never false although one does.
type needSummary struct {
	// withoutAccelerators has, for each level of cores, the least memory in bytes
	// needed by any class of that level or below that needs no accelerators;
	// withAccelerators is the same for classes that need some.
	withoutAccelerators [coreLevels]int64
	withAccelerators    [coreLevels]int64
}

func (n *needSummary) clear() {
	for coreLevel := range coreLevels {
		n.withoutAccelerators[coreLevel] = math.MaxInt64
		n.withAccelerators[coreLevel] = math.MaxInt64
	}
}

func (n *needSummary) add(need sizer.Size) {
	memory := &n.withoutAccelerators
	if need.Accelerators() > 0 {
		memory = &n.withAccelerators
	}
	for coreLevel := level(need.MilliCores(), coreUnit, coreLevels); coreLevel < coreLevels; coreLevel++ {
		memory[coreLevel] = min(memory[coreLevel], need.Bytes())
	}
}

// mayFit reports whether some class may fit in the available capacity.
func (n *needSummary) mayFit(available sizer.Size) bool {
	coreLevel := level(max(0, available.MilliCores()), coreUnit, coreLevels)
	return n.withoutAccelerators[coreLevel] <= available.Bytes() || (available.Accelerators() > 0 && n.withAccelerators[coreLevel] <= available.Bytes())
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
	for index := range t.queue {
		t.minNeeds.add(t.queue[index].need)
	}
}
