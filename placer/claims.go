package placer

import (
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// victimSample is how many workers are compared for a preemption.
	victimSample = 16
	// preemptionsPerTick bounds what one tick preempts.
	preemptionsPerTick = 256
)

// claim keeps room on a worker for a waiting task.
func (p *Placer) claim(i, worker int32) {
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	p.dequeue(i)
	p.move(i, eventClaim)
	row.worker = worker
	row.claim = class.need
	class.claims++
	w := &p.workers.rows[worker]
	w.claimed = w.claimed.Add(row.claim)
	w.claims = append(w.claims, i)
	p.refresh(worker)
}

// dropClaim gives up the room that is kept for a task, whose state is left to
// the caller.
func (p *Placer) dropClaim(i int32) {
	row := &p.tasks.rows[i]
	worker := row.worker
	w := &p.workers.rows[worker]
	w.claimed = w.claimed.Sub(row.claim)
	at := slices.Index(w.claims, i)
	w.claims = slices.Delete(w.claims, at, at+1)
	if at := slices.Index(p.kept, worker); at >= 0 && len(w.claims) == 0 {
		p.kept = slices.Delete(p.kept, at, at+1)
	}
	p.classes.rows[row.class].claims--
	row.worker = none
	row.claim = sizer.Size{}
	p.refresh(worker)
	p.freed(worker)
}

// unclaim brings a task that room is kept for back to StatePending, in no list.
func (p *Placer) unclaim(i int32) {
	p.dropClaim(i)
	p.move(i, eventUnclaim)
}

// dropClaims lets the tasks that room is kept for on a worker wait anew.
func (p *Placer) dropClaims(worker int32) {
	now := p.clock.Now()
	for len(p.workers.rows[worker].claims) > 0 {
		i := p.workers.rows[worker].claims[0]
		if c := p.tasks.rows[i].class; p.classes.rows[c].kept {
			p.giveBack(c)
			continue
		}
		p.unclaim(i)
		p.tasks.rows[i].overflowed = false
		p.enqueue(i, now)
	}
}

// settleClaims starts the tasks whose room has become free.
func (p *Placer) settleClaims(now time.Time) {
	// The list grows while claims are settled.
	for at := 0; at < len(p.workers.dirty); at++ {
		worker := p.workers.dirty[at]
		p.settleClaimsOn(worker, now)
	}
}

func (p *Placer) settleClaimsOn(worker int32, now time.Time) {
	w := &p.workers.rows[worker]
	left := w.free()
	for at := 0; at < len(w.claims); {
		i := w.claims[at]
		size := p.tasks.rows[i].claim
		fits := size.Fits(left)
		left = left.Sub(size)
		if !fits || !w.takes() {
			at++
			continue
		}
		p.dropClaim(i)
		if c := p.tasks.rows[i].class; p.classes.rows[c].kept {
			p.reserveKept(i, worker, size, now)
			continue
		}
		p.start(i, worker, size, now)
	}
}

// preempt makes room for urgent work that found none. The room is kept for it,
// so that no other work takes what the preempted tasks leave.
func (p *Placer) preempt() {
	if !p.pressing && len(p.workers.dirty) == 0 && len(p.teams.fresh) == 0 {
		return
	}
	budget := preemptionsPerTick
	for at := 0; at < len(p.teams.waiting); at++ {
		t := p.teams.waiting[at]
		for e := 0; e < len(p.teams.rows[t].queue); e++ {
			entry := p.teams.rows[t].queue[e]
			if entry.rank.band != bandUrgent || budget == 0 {
				break
			}
			if entry.blocked {
				budget -= p.preemptFor(entry.class, budget)
			}
		}
	}
	p.pressing = budget == 0
}

// preemptFor makes room for at most budget waiting tasks of a class.
func (p *Placer) preemptFor(c int32, budget int) int {
	count := 0
	for count < budget && p.classes.rows[c].pending > 0 {
		class := &p.classes.rows[c]
		team := &p.teams.rows[class.key.team]
		if team.overQuota(class.need) {
			break
		}
		if class.key.kind == kindGang {
			break
		}
		worker := p.victimWorker(class.need)
		if worker == none {
			break
		}
		p.victims = p.pickVictims(worker, class.need, p.victims[:0])
		p.claim(class.first, worker)
		for _, v := range p.victims {
			p.stop(v, true)
		}
		count++
	}
	return count
}

// victimWorker returns the worker on which the least work gives way, none if no
// preemption makes enough room anywhere.
func (p *Placer) victimWorker(need sizer.Size) int32 {
	rows := p.workers.rows
	if len(rows) == 0 {
		return none
	}
	best := none
	var bestCost float64
	seen := 0
	at := p.random.IntN(len(rows))
	for range rows {
		i := int32(at)
		at++
		if at == len(rows) {
			at = 0
		}
		w := &rows[i]
		if !w.takes() || !need.Fits(w.free().Add(w.preemptible).Add(w.leaving).Sub(w.claimed)) {
			continue
		}
		p.victims = p.pickVictims(i, need, p.victims[:0])
		cost := p.costOf(p.victims)
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

func (p *Placer) costOf(victims []int32) float64 {
	cost := 0.0
	for _, v := range victims {
		row := &p.tasks.rows[v]
		cost += row.hold.DominantShare(p.total)
	}
	return cost
}

// pickVictims appends the tasks on a worker that give way for a task of this
// size: those started last, which lose the least, and none that is not needed.
func (p *Placer) pickVictims(worker int32, need sizer.Size, victims []int32) []int32 {
	w := &p.workers.rows[worker]
	room := w.free().Add(w.leaving).Sub(w.claimed)
	for i := w.first; i != none && !need.Fits(room); i = p.tasks.rows[i].next {
		row := &p.tasks.rows[i]
		if row.preemptible() && helps(row.hold, need, room) {
			victims = append(victims, i)
			room = room.Add(row.hold)
		}
	}
	return slices.DeleteFunc(victims, func(v int32) bool {
		without := room.Sub(p.tasks.rows[v].hold)
		if !need.Fits(without) {
			return false
		}
		room = without
		return true
	})
}

// helps reports whether hold has some of what room lacks for need.
func helps(hold, need, room sizer.Size) bool {
	return (need.MilliCores() > room.MilliCores() && hold.MilliCores() > 0) ||
		(need.Bytes() > room.Bytes() && hold.Bytes() > 0) ||
		(need.Accelerators() > room.Accelerators() && hold.Accelerators() > 0)
}
