package placer

import (
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// victimSample is the most workers that are compared for one preemption.
	victimSample = 16
	// preemptionsPerTick is the most waiting tasks for which one tick preempts
	// others.
	preemptionsPerTick = 256
)

// claim claims capacity on a worker for a waiting task.
func (p *Placer) claim(i, worker int32) {
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	p.dequeueTask(i)
	p.transition(i, eventClaim)
	row.worker = worker
	row.claim = class.need
	class.claimingTasks++
	w := &p.workers.rows[worker]
	w.claimed = w.claimed.Add(row.claim)
	w.claimingTasks = append(w.claimingTasks, i)
	p.updateAvailable(worker)
}

// dropClaim gives up the claim of a task. The caller changes the task's state.
func (p *Placer) dropClaim(i int32) {
	row := &p.tasks.rows[i]
	worker := row.worker
	w := &p.workers.rows[worker]
	w.claimed = w.claimed.Sub(row.claim)
	index := slices.Index(w.claimingTasks, i)
	w.claimingTasks = slices.Delete(w.claimingTasks, index, index+1)
	if index := slices.Index(p.starvationWorkers, worker); index >= 0 && len(w.claimingTasks) == 0 {
		p.starvationWorkers = slices.Delete(p.starvationWorkers, index, index+1)
	}
	p.classes.rows[row.class].claimingTasks--
	row.worker = none
	row.claim = sizer.Size{}
	p.updateAvailable(worker)
	p.markFreed(worker)
}

// revertClaim gives up the claim of a task and returns it to StatePending,
// without adding it to a queue.
func (p *Placer) revertClaim(i int32) {
	p.dropClaim(i)
	p.transition(i, eventUnclaim)
}

// dropWorkerClaims gives up all claims on a worker and makes their tasks wait
// again.
func (p *Placer) dropWorkerClaims(worker int32) {
	now := p.clock.Now()
	for len(p.workers.rows[worker].claimingTasks) > 0 {
		i := p.workers.rows[worker].claimingTasks[0]
		if c := p.tasks.rows[i].class; p.classes.rows[c].gangClaim {
			p.dropGangClaim(c)
			continue
		}
		p.revertClaim(i)
		p.tasks.rows[i].overflowed = false
		p.enqueueTask(i, now)
	}
}

// startClaimed starts the tasks whose claimed capacity has become free.
func (p *Placer) startClaimed(now time.Time) {
	// freed grows while claimed tasks are started.
	for index := 0; index < len(p.workers.freed); index++ {
		worker := p.workers.freed[index]
		p.startClaimedOn(worker, now)
	}
}

func (p *Placer) startClaimedOn(worker int32, now time.Time) {
	w := &p.workers.rows[worker]
	available := w.free()
	for index := 0; index < len(w.claimingTasks); {
		i := w.claimingTasks[index]
		size := p.tasks.rows[i].claim
		fits := size.Fits(available)
		available = available.Sub(size)
		if !fits || !w.acceptsTasks() {
			index++
			continue
		}
		p.dropClaim(i)
		if c := p.tasks.rows[i].class; p.classes.rows[c].gangClaim {
			p.reserveClaimed(i, worker, size, now)
			continue
		}
		p.start(i, worker, size, now)
	}
}

// preempt stops batch work in favour of urgent work that found no capacity. The
// capacity is claimed for the urgent work, so that no other task takes what the
// preempted tasks free.
func (p *Placer) preempt() {
	if !p.preemptAgain && len(p.workers.freed) == 0 && len(p.teams.freshRows) == 0 {
		return
	}
	budget := preemptionsPerTick
	for index := 0; index < len(p.teams.waiting); index++ {
		t := p.teams.waiting[index]
		for e := 0; e < len(p.teams.rows[t].queue); e++ {
			entry := p.teams.rows[t].queue[e]
			if entry.rank.priorityBand != bandUrgent || budget == 0 {
				break
			}
			if entry.blocked {
				budget -= p.preemptForClass(entry.class, budget)
			}
		}
	}
	p.preemptAgain = budget == 0
}

// preemptForClass preempts for at most budget waiting tasks of a class and
// returns for how many it did.
func (p *Placer) preemptForClass(c int32, budget int) int {
	count := 0
	for count < budget && p.classes.rows[c].pending > 0 {
		class := &p.classes.rows[c]
		team := &p.teams.rows[class.key.team]
		if team.overQuota(class.need) {
			break
		}
		if class.key.policyKind == kindGang {
			break
		}
		worker := p.victimWorker(class.need)
		if worker == none {
			break
		}
		p.scratchTasks = p.pickVictims(worker, class.need, p.scratchTasks[:0])
		p.claim(class.firstPending, worker)
		for _, v := range p.scratchTasks {
			p.stop(v, true)
		}
		count++
	}
	return count
}

// victimWorker returns the worker on which preemption costs least, none if no
// preemption frees enough capacity anywhere.
func (p *Placer) victimWorker(need sizer.Size) int32 {
	rows := p.workers.rows
	if len(rows) == 0 {
		return none
	}
	best := none
	var bestCost float64
	seen := 0
	index := p.random.IntN(len(rows))
	for range rows {
		i := int32(index)
		index++
		if index == len(rows) {
			index = 0
		}
		w := &rows[i]
		if !w.acceptsTasks() || !need.Fits(w.free().Add(w.preemptible).Add(w.stopping).Sub(w.claimed)) {
			continue
		}
		p.scratchTasks = p.pickVictims(i, need, p.scratchTasks[:0])
		cost := p.preemptionCost(p.scratchTasks)
		if best == none || cost < bestCost {
			best = i
			bestCost = cost
		}
		seen++
		if seen == victimSample {
			break
		}
	}
	return best
}

func (p *Placer) preemptionCost(victims []int32) float64 {
	cost := 0.0
	for _, v := range victims {
		row := &p.tasks.rows[v]
		cost += row.allocated.DominantShare(p.total)
	}
	return cost
}

// pickVictims appends the tasks on a worker to preempt for a task of this size:
// those started last, which lose the least work, and only those that are
// needed.
func (p *Placer) pickVictims(worker int32, need sizer.Size, victims []int32) []int32 {
	w := &p.workers.rows[worker]
	available := w.free().Add(w.stopping).Sub(w.claimed)
	for i := w.firstTask; i != none && !need.Fits(available); i = p.tasks.rows[i].next {
		row := &p.tasks.rows[i]
		if row.preemptible() && relievesShortage(row.allocated, need, available) {
			victims = append(victims, i)
			available = available.Add(row.allocated)
		}
	}
	return slices.DeleteFunc(victims, func(v int32) bool {
		without := available.Sub(p.tasks.rows[v].allocated)
		if !need.Fits(without) {
			return false
		}
		available = without
		return true
	})
}

// relievesShortage reports whether allocated includes some of a resource of
// which less is available than needed.
func relievesShortage(allocated, need, available sizer.Size) bool {
	return (need.MilliCores() > available.MilliCores() && allocated.MilliCores() > 0) ||
		(need.Bytes() > available.Bytes() && allocated.Bytes() > 0) ||
		(need.Accelerators() > available.Accelerators() && allocated.Accelerators() > 0)
}
