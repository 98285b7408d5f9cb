package placer

import (
	"container/heap"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// shortList is the number of workers with freed room up to which a search looks
// at these alone, in place of the index.
const shortList = 16

// Tick returns the decisions that follow from what changed since the last call.
// They are in the order in which they are to be carried out. The cost follows
// what changed: work that found no room is tried again only where room was
// freed.
func (p *Placer) Tick() []Decision {
	now := p.clock.Now()
	p.runTimers(now)
	if p.settings.firstFit {
		p.tickFirstFit(now)
	} else {
		p.settleClaims(now)
		p.fill(now)
		p.preempt()
		p.keepRoom(now)
	}
	p.sayOverflows()
	p.clearDirty()
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

func (p *Placer) clearDirty() {
	for _, i := range p.workers.dirty {
		p.workers.rows[i].dirty = false
	}
	p.workers.dirty = p.workers.dirty[:0]
	for _, i := range p.teams.fresh {
		p.teams.rows[i].listed = false
	}
	p.teams.fresh = p.teams.fresh[:0]
}

// fill places waiting work, urgent work first, by turns of the teams.
func (p *Placer) fill(now time.Time) {
	p.setFreedRoom(p.mostFreed(now))
	for _, t := range p.tried() {
		p.teams.rows[t].cursor = 0
	}
	p.fillBand(now, bandUrgent)
	p.fillBand(now, bandBatch)
}

// tried returns the teams whose work may find room now.
func (p *Placer) tried() []int32 {
	if len(p.workers.dirty) > 0 {
		return p.teams.waiting
	}
	return p.teams.fresh
}

func (p *Placer) setFreedRoom(room sizer.Size) {
	p.freedRoom = room
	p.freedLevel = sizeLevel(room)
}

// mostFreed returns the most room, in each resource, of the workers on which
// room was freed.
func (p *Placer) mostFreed(now time.Time) sizer.Size {
	most := sizer.Size{}
	for _, i := range p.workers.dirty {
		w := &p.workers.rows[i]
		switch {
		case !w.takes():
		case len(w.claims) == 0 || w.claimUntil.After(now):
			most = most.Max(w.free())
		default:
			most = most.Max(w.room)
		}
	}
	return most
}

// fillBand places the work of the bands up to last. The team with the least
// weighted dominant share is always next.
func (p *Placer) fillBand(now time.Time, last band) {
	turn := &p.teams.turn
	turn.numbers = turn.numbers[:0]
	for _, t := range p.tried() {
		team := &p.teams.rows[t]
		if !team.mayPlace(last, p.freedRoom) {
			continue
		}
		team.share = p.shareOf(t)
		turn.numbers = append(turn.numbers, t)
	}
	heap.Init(turn)
	for len(turn.numbers) > 0 {
		t := turn.numbers[0]
		entry := p.nextEntry(t, last, now)
		if entry == nil {
			p.endTurn()
			continue
		}
		if !p.placeNext(entry, now) {
			continue
		}
		p.teams.rows[t].share = p.shareOf(t)
		heap.Fix(turn, 0)
		if len(p.workers.dirty) <= shortList {
			p.narrow(last, now)
		}
	}
}

// narrow takes the teams out of the heap whose work does not fit in the room
// that is left on the workers on which room was freed.
func (p *Placer) narrow(last band, now time.Time) {
	room := p.mostFreed(now)
	if room == p.freedRoom {
		return
	}
	p.setFreedRoom(room)
	turn := &p.teams.turn
	turn.numbers = slices.DeleteFunc(turn.numbers, func(t int32) bool {
		return !p.teams.rows[t].mayPlace(last, room)
	})
	heap.Init(turn)
}

// endTurn takes the first team out of the heap.
func (p *Placer) endTurn() {
	turn := &p.teams.turn
	n := len(turn.numbers) - 1
	turn.numbers[0] = turn.numbers[n]
	turn.numbers = turn.numbers[:n]
	if n > 1 {
		heap.Fix(turn, 0)
	}
}

func (p *Placer) shareOf(team int32) float64 {
	row := &p.teams.rows[team]
	return row.used.DominantShare(p.total) / row.weight
}

// nextEntry returns the first class of the team that may find room, nil if there
// is none.
func (p *Placer) nextEntry(t int32, last band, now time.Time) *queueEntry {
	team := &p.teams.rows[t]
	for ; team.cursor < len(team.queue); team.cursor++ {
		entry := &team.queue[team.cursor]
		if entry.rank.band > last {
			return nil
		}
		if entry.blocked && !entry.need.Fits(p.freedRoom) {
			if entry.rank.level > p.freedLevel && !team.listed {
				team.cursor = team.firstAt(entry.rank, p.freedLevel) - 1
			}
			continue
		}
		if team.overQuota(entry.need) || p.gangWaits(entry, now) {
			// The room may still be there when the wait is over.
			entry.blocked = false
			continue
		}
		return entry
	}
	return nil
}

// placeNext places the next task of a class, or all of a gang. If there is no
// room it marks the class and moves the team on to its next one.
func (p *Placer) placeNext(entry *queueEntry, now time.Time) bool {
	class := &p.classes.rows[entry.class]
	if class.key.kind == kindGang {
		return p.placeGang(entry, now)
	}
	worker := p.search(class, entry.blocked, now)
	if worker == none {
		p.block(entry, now)
		return false
	}
	if !class.blockedSince.IsZero() {
		class.blockedSince = now
	}
	i := class.first
	p.dequeue(i)
	p.start(i, worker, class.need, now)
	return true
}

// block marks a class that found no room.
func (p *Placer) block(entry *queueEntry, now time.Time) {
	class := &p.classes.rows[entry.class]
	entry.blocked = true
	if class.blockedSince.IsZero() {
		class.blockedSince = now
		p.noteOverflow(entry.class)
	}
	p.teams.rows[class.key.team].cursor++
}

// start places a task that waits on a worker.
func (p *Placer) start(i, worker int32, size sizer.Size, now time.Time) {
	row := &p.tasks.rows[i]
	row.attempt = p.nextAttempt()
	row.since = now
	p.take(i, worker, size, eventPlace)
	p.say(i)
	p.watchProbe(i, worker, now)
}

// say adds the decision that a task starts.
func (p *Placer) say(i int32) {
	row := &p.tasks.rows[i]
	p.decisions = append(p.decisions, Place{
		ref:    row.ref(),
		worker: p.workers.rows[row.worker].name,
		task:   row.Task,
		size:   row.hold,
	})
}
