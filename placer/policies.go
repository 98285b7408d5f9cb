package placer

import (
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// rackSample is the most racks of a data centre that a search for a service
// looks at.
const rackSample = 48

// search returns a worker for the next task of a class by its policy, none if
// it fits on none.
func (p *Placer) search(class *classRow, blocked bool, now time.Time) int32 {
	switch class.policy.(type) {
	case ServicePolicy:
		if blocked && len(p.workers.dirty) <= shortList {
			return p.tightestFreed(class.need)
		}
		return p.searchService(class)
	default:
		return p.searchBatch(class, blocked, now)
	}
}

// searchBatch returns the worker that a task fills best.
func (p *Placer) searchBatch(class *classRow, blocked bool, now time.Time) int32 {
	need := class.need
	var found int32
	if blocked && len(p.workers.dirty) <= shortList {
		found = p.tightestFreed(need)
	} else {
		found = p.tightest(need)
	}
	if found == none {
		found = p.backfill(class, now)
	}
	return found
}

func (p *Placer) tightest(need sizer.Size) int32 {
	if p.settings.fault == faultOverCommit {
		need = sizer.New(need.MilliCores(), 0, need.Accelerators())
	}
	return p.workers.index.tightest(p.workers.rows, need)
}

// tightestFreed searches the workers on which room was freed.
func (p *Placer) tightestFreed(need sizer.Size) int32 {
	best := none
	var bestAccelerators int64
	var bestSpare float64
	for _, i := range p.workers.dirty {
		w := &p.workers.rows[i]
		if w.bucket == none || !need.Fits(w.room) {
			continue
		}
		accelerators := w.room.Accelerators()
		spare := spareOf(w, need)
		if best == none || accelerators < bestAccelerators || (accelerators == bestAccelerators && spare < bestSpare) {
			best = i
			bestAccelerators = accelerators
			bestSpare = spare
		}
	}
	return best
}

// backfill returns a worker whose room is kept for a task that waits for others
// to end, if a task of the class ends before that.
func (p *Placer) backfill(class *classRow, now time.Time) int32 {
	run := class.expectedRun()
	if run <= 0 {
		return none
	}
	end := now.Add(run)
	for _, i := range p.kept {
		w := &p.workers.rows[i]
		if w.takes() && !end.After(w.claimUntil) && class.need.Fits(w.free()) {
			return i
		}
	}
	return none
}

// expectedRun returns how long a task of the class is likely to run: what its
// finished tasks took, or what is declared. It is 0 if there is no end.
func (c *classRow) expectedRun() time.Duration {
	if c.usual > 0 {
		return c.usual
	}
	return c.key.runTime
}

// crowd says how near a place is to other tasks under the same spread key. The
// lesser is better.
type crowd struct {
	dataCentre int
	rack       int
	worker     int
	load       float64
}

func (c crowd) less(other crowd) bool {
	if c.dataCentre != other.dataCentre {
		return c.dataCentre < other.dataCentre
	}
	if c.rack != other.rack {
		return c.rack < other.rack
	}
	if c.worker != other.worker {
		return c.worker < other.worker
	}
	return c.load < other.load
}

// searchService returns the worker that is farthest from the other tasks under
// the spread key: another data centre before another rack before another worker,
// and of those the one with the least load. Workers with accelerators to spare
// are left to those who need them, if there are others.
func (p *Placer) searchService(class *classRow) int32 {
	racks := &p.workers.racks
	best := none
	var bestCrowd crowd
	for c := range racks.ofCentre {
		count := class.spread.dataCentres[int32(c)]
		if best != none && count > bestCrowd.dataCentre {
			continue
		}
		found, foundCrowd := p.searchCentre(class, int32(c), count)
		if found != none && (best == none || foundCrowd.less(bestCrowd)) {
			best = found
			bestCrowd = foundCrowd
		}
	}
	if best != none {
		return best
	}
	return p.tightest(class.need)
}

func (p *Placer) searchCentre(class *classRow, centre int32, count int) (int32, crowd) {
	racks := p.workers.racks.ofCentre[centre]
	best := none
	var bestCrowd crowd
	looks := min(len(racks), rackSample)
	at := 0
	if len(racks) > rackSample {
		at = p.random.IntN(len(racks))
	}
	for range looks {
		rack := racks[at]
		at++
		if at == len(racks) {
			at = 0
		}
		here := class.spread.racks[rack]
		if best != none && here > bestCrowd.rack {
			continue
		}
		for _, i := range p.workers.racks.rows[rack].workers {
			w := &p.workers.rows[i]
			if !p.suitsService(class, w) {
				continue
			}
			found := crowd{
				dataCentre: count,
				rack:       here,
				worker:     class.spread.workers[i],
				load:       w.observed.DominantShare(w.capacity),
			}
			if best == none || found.less(bestCrowd) {
				best = i
				bestCrowd = found
			}
		}
	}
	return best, bestCrowd
}

// suitsService reports whether a worker has room for a task of the class without
// stranding accelerators.
func (p *Placer) suitsService(class *classRow, w *workerRow) bool {
	if w.bucket == none || !class.need.Fits(w.room) {
		return false
	}
	return class.need.Accelerators() > 0 || w.room.Accelerators() == 0
}
