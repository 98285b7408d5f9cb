package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// starvationCheckInterval is the time between two searches for starving work.
	starvationCheckInterval = time.Second
	// maxStarvationShare bounds the capacity claimed for starving gangs, as a
	// fraction of the total: once this much is claimed, no more is claimed for
	// gangs. The same bound applies separately to other starving work.
	maxStarvationShare = 1.0 / 64
	// gangStarvationDivisor shortens the time for which a gang waits before
	// capacity is claimed for it, compared with other work.
	gangStarvationDivisor = 10
	// claimSample is the most workers that are compared for one claim.
	claimSample = 32
	// gangClaimTimeout is how long capacity is claimed for a gang before all of it
	// is given back.
	gangClaimTimeout = 2 * time.Minute
)

// claimForStarving claims capacity for work that has found none for long, the
// largest first, so that smaller work does not overtake it for ever. A worker
// with such a claim is given only work that is expected to end before the claim
// is ready.
func (p *Placer) claimForStarving(now time.Time) {
	if now.Before(p.starvationCheckAt) {
		return
	}
	p.starvationCheckAt = now.Add(starvationCheckInterval)
	for _, c := range p.starvingClasses(now) {
		if p.starvationShare(p.classes.rows[c].key.policyKind == kindGang) < maxStarvationShare {
			p.claimForClass(c, now)
		}
	}
}

// starvationShare returns the dominant share of the capacity that is claimed
// for starving gangs if gangs is set, or else for other starving work.
func (p *Placer) starvationShare(gangs bool) float64 {
	claimed := sizer.Size{}
	for _, worker := range p.starvationWorkers {
		for _, i := range p.workers.rows[worker].claimingTasks {
			row := &p.tasks.rows[i]
			if (kindOf(row.policy) == kindGang) == gangs {
				claimed = claimed.Add(row.claim)
			}
		}
	}
	return claimed.DominantShare(p.total)
}

// starvationAfter returns how long a class may fail to find capacity before
// some is claimed for it. It is shorter for a gang, because a gang gets none of
// the capacity that other tasks find meanwhile.
func (p *Placer) starvationAfter(class *classRow) time.Duration {
	if class.key.policyKind == kindGang {
		return p.settings.starvation / gangStarvationDivisor
	}
	return p.settings.starvation
}

func (p *Placer) starvingClasses(now time.Time) []int32 {
	var starvingClasses []int32
	for _, t := range p.teams.waiting {
		team := &p.teams.rows[t]
		for _, entry := range team.queue {
			class := &p.classes.rows[entry.class]
			gang := class.key.policyKind == kindGang
			if class.blockedSince.IsZero() || now.Sub(class.blockedSince) < p.starvationAfter(class) {
				continue
			}
			if class.claimingTasks > 0 || (!entry.blocked && !gang) || (gang && class.pending < class.live) {
				continue
			}
			if team.overQuota(class.placementSize()) {
				continue
			}
			starvingClasses = append(starvingClasses, entry.class)
		}
	}
	slices.SortFunc(starvingClasses, func(a, b int32) int {
		return cmp.Or(
			cmp.Compare(p.classes.rows[b].need.DominantShare(p.total), p.classes.rows[a].need.DominantShare(p.total)),
			p.classes.rows[a].blockedSince.Compare(p.classes.rows[b].blockedSince),
			p.classes.rows[a].position.compare(p.classes.rows[b].position),
		)
	})
	return starvingClasses
}

func (p *Placer) claimForClass(c int32, now time.Time) {
	if p.classes.rows[c].key.policyKind == kindGang {
		p.claimForGang(c, now)
		return
	}
	p.claimForNextTask(c, now)
}

// claimForNextTask claims capacity for the next task of a class, and reports
// whether it found a worker.
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

// earliestReadyWorker returns the worker, of at most claimSample, that is
// expected to have capacity for the next task of a class first, and the expected
// time. Capacity on a worker is claimed for one class only, so that two gangs
// never wait for each other.
func (p *Placer) earliestReadyWorker(c int32, now time.Time) (int32, time.Time) {
	rows := p.workers.rows
	best := none
	var bestReady time.Time
	if len(rows) == 0 {
		return best, bestReady
	}
	seen := 0
	index := p.random.IntN(len(rows))
	for range rows {
		i := int32(index)
		index++
		if index == len(rows) {
			index = 0
		}
		w := &rows[i]
		if len(w.claimingTasks) > 0 && p.tasks.rows[w.claimingTasks[0]].class != c {
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

// readyAt returns the time at which a worker is expected to have capacity for a
// task of this size, and false if it never will.
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

// expectedRemaining returns how long a task is expected to keep running, 0 if
// it runs without end. A task that has exceeded its expected run time is
// assumed to run for as long again as it has run so far.
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

// claimForGang claims capacity for each task of a gang, or for none. The gang
// starts when all of the claimed capacity is free.
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

// reserveClaimed allocates claimed capacity to a task of a gang, and starts the
// gang if it was the last task.
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

// dropGangClaim gives back all the capacity claimed or reserved for a gang,
// which continues to wait.
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

// expireGangClaim gives back what is claimed for a gang after gangClaimTimeout.
func (p *Placer) expireGangClaim(t timer) {
	class := &p.classes.rows[t.row]
	if class.gangClaim && !p.clock.Now().Before(class.gangClaimExpiry) {
		p.dropGangClaim(t.row)
	}
}
