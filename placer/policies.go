package placer

import (
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// rackSample is the most racks of a data centre that one search for a service
// worker examines.
const rackSample = 48

// findWorker returns a worker for the next task of a class according to its
// policy, none if it fits on none.
func (p *Placer) findWorker(class *classRow, blocked bool, now time.Time) int32 {
	switch class.policy.(type) {
	case ServicePolicy:
		if blocked && len(p.workers.freed) <= maxFreedScan {
			return p.bestFitFreed(class.need)
		}
		return p.findServiceWorker(class)
	default:
		return p.findBatchWorker(class, blocked, now)
	}
}

// findBatchWorker returns the worker that a task of the class fills best. If
// there is none, it tries to backfill.
func (p *Placer) findBatchWorker(class *classRow, blocked bool, now time.Time) int32 {
	need := class.need
	var found int32
	if blocked && len(p.workers.freed) <= maxFreedScan {
		found = p.bestFitFreed(need)
	} else {
		found = p.bestFit(need)
	}
	if found == none {
		found = p.backfill(class, now)
	}
	return found
}

func (p *Placer) bestFit(need sizer.Size) int32 {
	if p.settings.fault == faultOverCommit {
		need = sizer.New(need.MilliCores(), 0, need.Accelerators())
	}
	return p.workers.byCapacity.bestFit(p.workers.rows, need)
}

// bestFitFreed is like bestFit, but considers only the workers on which
// capacity was freed.
func (p *Placer) bestFitFreed(need sizer.Size) int32 {
	best := none
	var bestAccelerators int64
	var bestScore float64
	for _, i := range p.workers.freed {
		w := &p.workers.rows[i]
		if w.bucket == none || !need.Fits(w.available) {
			continue
		}
		accelerators := w.available.Accelerators()
		score := leftoverScore(w, need)
		if best == none || accelerators < bestAccelerators || (accelerators == bestAccelerators && score < bestScore) {
			best = i
			bestAccelerators = accelerators
			bestScore = score
		}
	}
	return best
}

// backfill returns a worker with capacity claimed for starving work, if a task
// of the class fits there and is expected to end before the claim is ready.
func (p *Placer) backfill(class *classRow, now time.Time) int32 {
	run := class.expectedRunTime()
	if run <= 0 {
		return none
	}
	end := now.Add(run)
	for _, i := range p.starvationWorkers {
		w := &p.workers.rows[i]
		if w.acceptsTasks() && !end.After(w.claimReadyAt) && class.need.Fits(w.free()) {
			return i
		}
	}
	return none
}

// expectedRunTime returns how long a task of the class is expected to run: the
// average of its finished tasks, or else the declared time. It is 0 if the task
// runs without end.
func (c *classRow) expectedRunTime() time.Duration {
	if c.averageRunTime > 0 {
		return c.averageRunTime
	}
	return c.key.runTime
}

// colocation counts the other tasks under the same spread key in the same data
// centre, rack and worker, and has the load of the worker. Lower is better.
type colocation struct {
	dataCentre int
	rack       int
	worker     int
	load       float64
}

func (c colocation) less(other colocation) bool {
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

// findServiceWorker returns the worker that is farthest from the other tasks
// under the spread key: a different data centre is preferred to a different
// rack, and that to a different worker; among equals the worker with the least
// load is chosen. Workers with available accelerators are left to tasks that
// need them, if the task fits on a worker without any.
func (p *Placer) findServiceWorker(class *classRow) int32 {
	racks := &p.workers.racks
	best := none
	var bestColocation colocation
	for c := range racks.byDataCentre {
		inDataCentre := class.spread.dataCentres[int32(c)]
		if best != none && inDataCentre > bestColocation.dataCentre {
			continue
		}
		found, foundColocation := p.findServiceWorkerIn(class, int32(c), inDataCentre)
		if found != none && (best == none || foundColocation.less(bestColocation)) {
			best = found
			bestColocation = foundColocation
		}
	}
	if best != none {
		return best
	}
	return p.bestFit(class.need)
}

func (p *Placer) findServiceWorkerIn(class *classRow, dataCentreIndex int32, inDataCentre int) (int32, colocation) {
	racks := p.workers.racks.byDataCentre[dataCentreIndex]
	best := none
	var bestColocation colocation
	examined := min(len(racks), rackSample)
	index := 0
	if len(racks) > rackSample {
		index = p.random.IntN(len(racks))
	}
	for range examined {
		rack := racks[index]
		index++
		if index == len(racks) {
			index = 0
		}
		inRack := class.spread.racks[rack]
		if best != none && inRack > bestColocation.rack {
			continue
		}
		for _, i := range p.workers.racks.rows[rack].workers {
			w := &p.workers.rows[i]
			if !p.suitsService(class, w) {
				continue
			}
			found := colocation{
				dataCentre: inDataCentre,
				rack:       inRack,
				worker:     class.spread.workers[i],
				load:       w.observed.DominantShare(w.capacity),
			}
			if best == none || found.less(bestColocation) {
				best = i
				bestColocation = found
			}
		}
	}
	return best, bestColocation
}

// suitsService reports whether a task of the class fits on a worker without
// stranding accelerators.
func (p *Placer) suitsService(class *classRow, w *workerRow) bool {
	if w.bucket == none || !class.need.Fits(w.available) {
		return false
	}
	return class.need.Accelerators() > 0 || w.available.Accelerators() == 0
}
