package placer

import (
	"container/heap"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// maxFreedScan is the largest number of workers with freed capacity for which a
// search scans just these workers instead of the index.
const maxFreedScan = 16

// Tick returns the decisions that follow from what changed since the last call,
// in the order in which they are to be carried out. The cost depends on what
// changed: work that found no capacity is tried again only where capacity was
// freed.
func (p *Placer) Tick() []Decision {
	now := p.clock.Now()
	p.runTimers(now)
	if p.settings.firstFit {
		p.tickFirstFit(now)
	} else {
		p.startClaimed(now)
		p.placeWaiting(now)
		p.preempt()
		p.claimForStarving(now)
	}
	p.emitOverflows()
	p.clearMarks()
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

func (p *Placer) clearMarks() {
	for _, i := range p.workers.freed {
		p.workers.rows[i].freed = false
	}
	p.workers.freed = p.workers.freed[:0]
	for _, i := range p.teams.freshRows {
		p.teams.rows[i].fresh = false
	}
	p.teams.freshRows = p.teams.freshRows[:0]
}

// placeWaiting places waiting work, urgent work first, by fair sharing between
// the teams.
func (p *Placer) placeWaiting(now time.Time) {
	p.setMaxFreed(p.computeMaxFreed(now))
	for _, t := range p.teamsToTry() {
		p.teams.rows[t].cursor = 0
	}
	p.placeBands(now, bandUrgent)
	p.placeBands(now, bandBatch)
}

// teamsToTry returns the teams whose work may find capacity now.
func (p *Placer) teamsToTry() []int32 {
	if len(p.workers.freed) > 0 {
		return p.teams.waiting
	}
	return p.teams.freshRows
}

func (p *Placer) setMaxFreed(freed sizer.Size) {
	p.maxFreed = freed
	p.maxFreedLevel = sizeLevel(freed)
}

// computeMaxFreed returns, for each resource, the most free capacity on any
// worker on which capacity was freed.
func (p *Placer) computeMaxFreed(now time.Time) sizer.Size {
	most := sizer.Size{}
	for _, i := range p.workers.freed {
		w := &p.workers.rows[i]
		switch {
		case !w.acceptsTasks():
		case len(w.claimingTasks) == 0 || w.claimReadyAt.After(now):
			most = most.Max(w.free())
		default:
			most = most.Max(w.available)
		}
	}
	return most
}

// placeBands places the work of the bands up to last. The team with the least
// weighted dominant share is always next.
func (p *Placer) placeBands(now time.Time, last priorityBand) {
	byShare := &p.teams.byShare
	byShare.numbers = byShare.numbers[:0]
	for _, t := range p.teamsToTry() {
		team := &p.teams.rows[t]
		if !team.mayPlace(last, p.maxFreed) {
			continue
		}
		team.share = p.weightedShare(t)
		byShare.numbers = append(byShare.numbers, t)
	}
	heap.Init(byShare)
	for len(byShare.numbers) > 0 {
		t := byShare.numbers[0]
		entry := p.nextEntry(t, last, now)
		if entry == nil {
			p.popTeam()
			continue
		}
		if !p.placeNext(entry, now) {
			continue
		}
		p.teams.rows[t].share = p.weightedShare(t)
		heap.Fix(byShare, 0)
		if len(p.workers.freed) <= maxFreedScan {
			p.dropTeamsWithoutFit(last, now)
		}
	}
}

// dropTeamsWithoutFit removes the teams from the heap whose work does not fit
// in the capacity left on the workers on which some was freed.
func (p *Placer) dropTeamsWithoutFit(last priorityBand, now time.Time) {
	freed := p.computeMaxFreed(now)
	if freed == p.maxFreed {
		return
	}
	p.setMaxFreed(freed)
	byShare := &p.teams.byShare
	byShare.numbers = slices.DeleteFunc(byShare.numbers, func(t int32) bool {
		return !p.teams.rows[t].mayPlace(last, freed)
	})
	heap.Init(byShare)
}

// popTeam removes the first team from the heap.
func (p *Placer) popTeam() {
	byShare := &p.teams.byShare
	n := len(byShare.numbers) - 1
	byShare.numbers[0] = byShare.numbers[n]
	byShare.numbers = byShare.numbers[:n]
	if n > 1 {
		heap.Fix(byShare, 0)
	}
}

func (p *Placer) weightedShare(team int32) float64 {
	row := &p.teams.rows[team]
	return row.used.DominantShare(p.total) / row.weight
}

// nextEntry returns the first class of the team that may find capacity, nil if
// there is none.
func (p *Placer) nextEntry(t int32, last priorityBand, now time.Time) *queueEntry {
	team := &p.teams.rows[t]
	for ; team.cursor < len(team.queue); team.cursor++ {
		entry := &team.queue[team.cursor]
		if entry.rank.priorityBand > last {
			return nil
		}
		if entry.blocked && !entry.need.Fits(p.maxFreed) {
			if entry.rank.level > p.maxFreedLevel && !team.fresh {
				team.cursor = team.firstAtLevel(entry.rank, p.maxFreedLevel) - 1
			}
			continue
		}
		if team.overQuota(entry.need) || p.gangMustWait(entry, now) {
			// The class is not marked as blocked, because it did not lack capacity:
			// the capacity may still be there when its wait is over.
			entry.blocked = false
			continue
		}
		return entry
	}
	return nil
}

// placeNext places the next task of a class, or all of a gang. If there is not
// enough capacity, it marks the class as blocked and moves the team's cursor to
// its next class.
func (p *Placer) placeNext(entry *queueEntry, now time.Time) bool {
	class := &p.classes.rows[entry.class]
	if class.key.policyKind == kindGang {
		return p.placeGang(entry, now)
	}
	worker := p.findWorker(class, entry.blocked, now)
	if worker == none {
		p.markBlocked(entry, now)
		return false
	}
	if !class.blockedSince.IsZero() {
		class.blockedSince = now
	}
	i := class.firstPending
	p.dequeueTask(i)
	p.start(i, worker, class.need, now)
	return true
}

// markBlocked marks a class that found no capacity and moves the team's cursor
// past it.
func (p *Placer) markBlocked(entry *queueEntry, now time.Time) {
	class := &p.classes.rows[entry.class]
	entry.blocked = true
	if class.blockedSince.IsZero() {
		class.blockedSince = now
		p.listForOverflow(entry.class)
	}
	p.teams.rows[class.key.team].cursor++
}

// start places a waiting task on a worker.
func (p *Placer) start(i, worker int32, size sizer.Size, now time.Time) {
	row := &p.tasks.rows[i]
	row.attempt = p.nextAttempt()
	row.since = now
	p.allocate(i, worker, size, eventPlace)
	p.emitPlace(i)
	p.startProbe(i, worker, now)
}

// emitPlace adds the decision that starts a task.
func (p *Placer) emitPlace(i int32) {
	row := &p.tasks.rows[i]
	p.decisions = append(p.decisions, Place{
		ref:    row.ref(),
		worker: p.workers.rows[row.worker].name,
		task:   row.Task,
		size:   row.allocated,
	})
}
