package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// keepInterval is the time between two looks for starving work.
	keepInterval = time.Second
	// keptShare is the part of all room that may be kept for starving gangs before
	// no more is, and the same for other starving work.
	keptShare = 1.0 / 64
	// gangHaste is by how much less a gang waits than other work before room is
	// kept for it.
	gangHaste = 10
	// readySample is how many workers are compared to keep room on one.
	readySample = 32
	// gangKeepLimit is how long room is kept for a gang before all of it is given
	// back.
	gangKeepLimit = 2 * time.Minute
)

// keepRoom keeps room for work that has found none for long, the largest first,
// so that smaller work does not overtake it for ever. On such a worker only work
// that ends in time is started.
func (p *Placer) keepRoom(now time.Time) {
	if now.Before(p.keepAt) {
		return
	}
	p.keepAt = now.Add(keepInterval)
	for _, c := range p.starving(now) {
		if p.keptShare(p.classes.rows[c].key.kind == kindGang) < keptShare {
			p.keepRoomFor(c, now)
		}
	}
}

// keptShare returns the part of all room that is kept for starving gangs, or for
// other starving work.
func (p *Placer) keptShare(gangs bool) float64 {
	kept := sizer.Size{}
	for _, worker := range p.kept {
		for _, i := range p.workers.rows[worker].claims {
			row := &p.tasks.rows[i]
			if (kindOf(row.policy) == kindGang) == gangs {
				kept = kept.Add(row.claim)
			}
		}
	}
	return kept.DominantShare(p.total)
}

// patience returns how long a class may find no room before room is kept for it.
// A gang gets none of the room that others find meanwhile, and waits less.
func (p *Placer) patience(class *classRow) time.Duration {
	if class.key.kind == kindGang {
		return p.settings.starvation / gangHaste
	}
	return p.settings.starvation
}

func (p *Placer) starving(now time.Time) []int32 {
	var starving []int32
	for _, t := range p.teams.waiting {
		team := &p.teams.rows[t]
		for _, entry := range team.queue {
			class := &p.classes.rows[entry.class]
			gang := class.key.kind == kindGang
			if class.blockedSince.IsZero() || now.Sub(class.blockedSince) < p.patience(class) {
				continue
			}
			if class.claims > 0 || (!entry.blocked && !gang) || (gang && class.pending < class.live) {
				continue
			}
			if team.overQuota(class.whole()) {
				continue
			}
			starving = append(starving, entry.class)
		}
	}
	slices.SortFunc(starving, func(a, b int32) int {
		return cmp.Or(
			cmp.Compare(p.classes.rows[b].need.DominantShare(p.total), p.classes.rows[a].need.DominantShare(p.total)),
			p.classes.rows[a].blockedSince.Compare(p.classes.rows[b].blockedSince),
			p.classes.rows[a].position.compare(p.classes.rows[b].position),
		)
	})
	return starving
}

func (p *Placer) keepRoomFor(c int32, now time.Time) {
	if p.classes.rows[c].key.kind == kindGang {
		p.keepRoomForGang(c, now)
		return
	}
	p.keepOne(c, now)
}

// keepOne keeps room for the next task of a class.
func (p *Placer) keepOne(c int32, now time.Time) bool {
	class := &p.classes.rows[c]
	worker, ready := p.readiest(c, now)
	if worker == none {
		return false
	}
	p.claim(class.first, worker)
	p.workers.rows[worker].claimUntil = ready
	if !slices.Contains(p.kept, worker) {
		p.kept = append(p.kept, worker)
	}
	return true
}

// readiest returns the worker that is likely to have room for the next task of
// a class first, and when. Room is kept on a worker for one class only, so that
// two gangs never wait for each other.
func (p *Placer) readiest(c int32, now time.Time) (int32, time.Time) {
	rows := p.workers.rows
	best := none
	var bestReady time.Time
	if len(rows) == 0 {
		return best, bestReady
	}
	seen := 0
	at := p.random.IntN(len(rows))
	for range rows {
		i := int32(at)
		at++
		if at == len(rows) {
			at = 0
		}
		w := &rows[i]
		if len(w.claims) > 0 && p.tasks.rows[w.claims[0]].class != c {
			continue
		}
		need := p.classes.rows[c].need.Add(w.claimed)
		if !w.takes() || !need.Fits(w.capacity) {
			continue
		}
		ready, ok := p.readyAt(i, need, now)
		if ok && (best == none || ready.Before(bestReady)) {
			best = i
			bestReady = ready
		}
		seen++
		if seen == readySample {
			break
		}
	}
	return best, bestReady
}

// readyAt returns when a worker is likely to have room for a task of this size,
// and false if it never is.
func (p *Placer) readyAt(worker int32, need sizer.Size, now time.Time) (time.Time, bool) {
	w := &p.workers.rows[worker]
	p.victims = p.victims[:0]
	for i := w.first; i != none; i = p.tasks.rows[i].next {
		if p.tasks.rows[i].state != StateReserved && p.expectedLeft(i, now) > 0 {
			p.victims = append(p.victims, i)
		}
	}
	slices.SortFunc(p.victims, func(a, b int32) int {
		return cmp.Or(cmp.Compare(p.expectedLeft(a, now), p.expectedLeft(b, now)), cmp.Compare(a, b))
	})
	room := w.free()
	ready := now
	for _, i := range p.victims {
		if need.Fits(room) {
			break
		}
		room = room.Add(p.tasks.rows[i].hold)
		ready = now.Add(p.expectedLeft(i, now))
	}
	return ready, need.Fits(room)
}

// expectedLeft returns how long a task is likely to run on, 0 if it has no end.
// A task that is over its time is taken to run as long again.
func (p *Placer) expectedLeft(i int32, now time.Time) time.Duration {
	row := &p.tasks.rows[i]
	run := p.classes.rows[row.class].expectedRun()
	if run <= 0 {
		return 0
	}
	ran := now.Sub(row.since)
	if ran < run {
		return run - ran
	}
	return max(ran, time.Millisecond)
}

// keepRoomForGang keeps room for each task of a gang, or for none. The gang
// starts when all of it is free.
func (p *Placer) keepRoomForGang(c int32, now time.Time) {
	class := &p.classes.rows[c]
	class.kept = true
	class.keptSince = class.blockedSince
	for class.pending > 0 {
		if !p.keepOne(c, now) {
			p.giveBack(c)
			return
		}
	}
	p.addTimer(timer{
		at:   now.Add(gangKeepLimit),
		kind: timerKept,
		row:  c,
	})
	class.keptUntil = now.Add(gangKeepLimit)
}

// reserveKept takes the room that was kept for a task of a gang, and starts the
// gang if it was the last.
func (p *Placer) reserveKept(i, worker int32, size sizer.Size, now time.Time) {
	row := &p.tasks.rows[i]
	row.attempt = p.nextAttempt()
	p.take(i, worker, size, eventReserve)
	class := &p.classes.rows[row.class]
	for _, member := range class.members {
		row := &p.tasks.rows[member]
		if row.state != StateReserved || !p.workers.rows[row.worker].takes() {
			return
		}
	}
	class.kept = false
	class.blockedSince = time.Time{}
	for _, member := range class.members {
		row := &p.tasks.rows[member]
		row.since = now
		p.move(member, eventPlace)
		p.say(member)
	}
}

// giveBack gives up all the room that is kept for a gang, which waits on.
func (p *Placer) giveBack(c int32) {
	class := &p.classes.rows[c]
	class.kept = false
	now := p.clock.Now()
	for _, i := range class.members {
		switch p.tasks.rows[i].state {
		case StateClaimed:
			p.unclaim(i)
		case StateReserved:
			p.release(i)
			p.move(i, eventRetry)
		default:
			continue
		}
		p.enqueue(i, now)
	}
	if class.queued {
		class.blockedSince = class.keptSince
	}
}

// expireKept gives back what was kept for a gang for too long.
func (p *Placer) expireKept(t timer) {
	class := &p.classes.rows[t.row]
	if class.kept && !p.clock.Now().Before(class.keptUntil) {
		p.giveBack(t.row)
	}
}
