package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// keepInterval is the time between two looks for starving work.
	starvationCheckInterval = time.Second
	// keptShare is the part of all room that may be kept for starving gangs before
	// no more is, and the same for other starving work.
	maxStarvationShare = 1.0 / 64
	// gangHaste is by how much less a gang waits than other work before room is
	// kept for it.
	gangStarvationDivisor = 10
	// readySample is how many workers are compared to keep room on one.
	claimSample = 32
	// gangKeepLimit is how long room is kept for a gang before all of it is given
	// back.
	gangClaimTimeout = 2 * time.Minute
)

// keepRoom keeps room for work that has found none for long, the largest first,
// so that smaller work does not overtake it for ever. On such a worker only work
// that ends in time is started.
func (p *Placer) claimForStarving(now time.Time) {
	if now.Before(p.starvationCheckAt) {
		return
	}
	p.starvationCheckAt = now.Add(starvationCheckInterval)
	for _, c := range p.starvingClasses(now) {
		if p.starvationShare(p.classes.rows[c].key.kind == kindGang) < maxStarvationShare {
			p.claimForClass(c, now)
		}
	}
}

// keptShare returns the part of all room that is kept for starving gangs, or for
// other starving work.
func (p *Placer) starvationShare(gangs bool) float64 {
	claimed := sizer.Size{}
	for _, worker := range p.starvationWorkers {
		for _, i := range p.workers.rows[worker].claims {
			row := &p.tasks.rows[i]
			if (kindOf(row.policy) == kindGang) == gangs {
				claimed = claimed.Add(row.claimed)
			}
		}
	}
	return claimed.DominantShare(p.total)
}

// patience returns how long a class may find no room before room is kept for it.
// A gang gets none of the room that others find meanwhile, and waits less.
func (p *Placer) starvationAfter(class *classRow) time.Duration {
	if class.key.kind == kindGang {
		return p.settings.starvation / gangStarvationDivisor
	}
	return p.settings.starvation
}

func (p *Placer) starvingClasses(now time.Time) []int32 {
	var starving []int32
	for _, t := range p.teams.waiting {
		team := &p.teams.rows[t]
		for _, entry := range team.queue {
			class := &p.classes.rows[entry.class]
			gang := class.key.kind == kindGang
			if class.blockedSince.IsZero() || now.Sub(class.blockedSince) < p.starvationAfter(class) {
				continue
			}
			if class.claimedTasks > 0 || (!entry.blocked && !gang) || (gang && class.pending < class.live) {
				continue
			}
			if team.overQuota(class.placementSize()) {
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

func (p *Placer) claimForClass(c int32, now time.Time) {
	if p.classes.rows[c].key.kind == kindGang {
		p.claimForGang(c, now)
		return
	}
	p.claimForNextTask(c, now)
}

// keepOne keeps room for the next task of a class.
func (p *Placer) claimForNextTask(c int32, now time.Time) bool {
	class := &p.classes.rows[c]
	worker, ready := p.earliestReadyWorker(c, now)
	if worker == none {
		return false
	}
	p.claim(class.firstPending, worker)
	p.workers.rows[worker].claimReadyAt = ready
	if !slices.Contains(p.starvationWorkers, worker) {
		p.starvationWorkers = append(p.starvationWorkers, worker)
	}
	return true
}

// readiest returns the worker that is likely to have room for the next task of
// a class first, and when. Room is kept on a worker for one class only, so that
// two gangs never wait for each other.
func (p *Placer) earliestReadyWorker(c int32, now time.Time) (int32, time.Time) {
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
		if !w.acceptsTasks() || !need.Fits(w.capacity) {
			continue
		}
		ready, ok := p.readyAt(i, need, now)
		if ok && (best == none || ready.Before(bestReady)) {
			best = i
			bestReady = ready
		}
		seen++
		if seen == claimSample {
			break
		}
	}
	return best, bestReady
}

// readyAt returns when a worker is likely to have room for a task of this size,
// and false if it never is.
func (p *Placer) readyAt(worker int32, need sizer.Size, now time.Time) (time.Time, bool) {
	w := &p.workers.rows[worker]
	p.scratchTasks = p.scratchTasks[:0]
	for i := w.firstTask; i != none; i = p.tasks.rows[i].next {
		if p.tasks.rows[i].state != StateReserved && p.expectedRemaining(i, now) > 0 {
			p.scratchTasks = append(p.scratchTasks, i)
		}
	}
	slices.SortFunc(p.scratchTasks, func(a, b int32) int {
		return cmp.Or(cmp.Compare(p.expectedRemaining(a, now), p.expectedRemaining(b, now)), cmp.Compare(a, b))
	})
	available := w.free()
	ready := now
	for _, i := range p.scratchTasks {
		if need.Fits(available) {
			break
		}
		available = available.Add(p.tasks.rows[i].allocated)
		ready = now.Add(p.expectedRemaining(i, now))
	}
	return ready, need.Fits(available)
}

// expectedLeft returns how long a task is likely to run on, 0 if it has no end.
// A task that is over its time is taken to run as long again.
func (p *Placer) expectedRemaining(i int32, now time.Time) time.Duration {
	row := &p.tasks.rows[i]
	run := p.classes.rows[row.class].expectedRunTime()
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
func (p *Placer) claimForGang(c int32, now time.Time) {
	class := &p.classes.rows[c]
	class.gangClaim = true
	class.blockedBeforeClaim = class.blockedSince
	for class.pending > 0 {
		if !p.claimForNextTask(c, now) {
			p.dropGangClaim(c)
			return
		}
	}
	p.addTimer(timer{
		at:   now.Add(gangClaimTimeout),
		kind: timerGangClaim,
		row:  c,
	})
	class.gangClaimExpiry = now.Add(gangClaimTimeout)
}

// reserveKept takes the room that was kept for a task of a gang, and starts the
// gang if it was the last.
func (p *Placer) reserveClaimed(i, worker int32, size sizer.Size, now time.Time) {
	row := &p.tasks.rows[i]
	row.attempt = p.nextAttempt()
	p.allocate(i, worker, size, eventReserve)
	class := &p.classes.rows[row.class]
	for _, member := range class.members {
		row := &p.tasks.rows[member]
		if row.state != StateReserved || !p.workers.rows[row.worker].acceptsTasks() {
			return
		}
	}
	class.gangClaim = false
	class.blockedSince = time.Time{}
	for _, member := range class.members {
		row := &p.tasks.rows[member]
		row.since = now
		p.transition(member, eventPlace)
		p.emitPlace(member)
	}
}

// giveBack gives up all the room that is kept for a gang, which waits on.
func (p *Placer) dropGangClaim(c int32) {
	class := &p.classes.rows[c]
	class.gangClaim = false
	now := p.clock.Now()
	for _, i := range class.members {
		switch p.tasks.rows[i].state {
		case StateClaimed:
			p.revertClaim(i)
		case StateReserved:
			p.release(i)
			p.transition(i, eventRetry)
		default:
			continue
		}
		p.enqueueTask(i, now)
	}
	if class.queued {
		class.blockedSince = class.blockedBeforeClaim
	}
}

// expireKept gives back what was kept for a gang for too long.
func (p *Placer) expireGangClaim(t timer) {
	class := &p.classes.rows[t.row]
	if class.gangClaim && !p.clock.Now().Before(class.gangClaimExpiry) {
		p.dropGangClaim(t.row)
	}
}
