package placer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// gangRetryInterval is the time after which a gang that found no capacity is
// retried.
const gangRetryInterval = time.Second

// reservedGang holds the reservations that Reserve made for a gang.
type reservedGang struct {
	reservations []Reservation
	expiry       time.Time
	timer        uint64
}

// gangPlan assigns a worker to each task of a gang.
type gangPlan struct {
	workers []int32
	sizes   []sizer.Size
}

// planGang finds workers for tasks of these sizes together, and allocates
// nothing.
func (p *Placer) planGang(sizes []sizer.Size) (gangPlan, bool) {
	plan := gangPlan{
		sizes: sizes,
	}
	total := sizer.Size{}
	for _, size := range sizes {
		total = total.Add(size)
	}
	if !total.Fits(p.totalAvailable) {
		return plan, false
	}
	for _, size := range sizes {
		worker := p.bestFit(size)
		if worker == none {
			break
		}
		plan.workers = append(plan.workers, worker)
		p.adjustUsed(worker, size)
	}
	for index, worker := range plan.workers {
		p.adjustUsed(worker, sizer.Size{}.Sub(sizes[index]))
	}
	complete := len(plan.workers) == len(sizes)
	if p.settings.fault == faultPartialGang && len(plan.workers) > 0 {
		complete = true
	}
	return plan, complete
}

// adjustUsed adds size to the used capacity of a worker while a plan is made,
// without allocating it to a task.
func (p *Placer) adjustUsed(worker int32, size sizer.Size) {
	w := &p.workers.rows[worker]
	w.used = w.used.Add(size)
	p.updateAvailable(worker)
}

// gangMustWait reports whether a class is a gang that cannot be tried now,
// because it waits for its other tasks, for quota, or for its next try.
func (p *Placer) gangMustWait(entry *queueEntry, now time.Time) bool {
	class := &p.classes.rows[entry.class]
	if class.key.policyKind != kindGang {
		return false
	}
	if class.pending < class.live || now.Before(class.retryAt) {
		return true
	}
	return p.teams.rows[class.key.team].overQuota(class.placementSize())
}

// placeGang starts all the tasks of a gang, or none.
func (p *Placer) placeGang(entry *queueEntry, now time.Time) bool {
	c := entry.class
	class := &p.classes.rows[c]
	sizes := make([]sizer.Size, class.pending)
	for index := range sizes {
		sizes[index] = class.need
	}
	plan, ok := p.planGang(sizes)
	if !ok {
		class.retryAt = now.Add(gangRetryInterval)
		p.addTimer(timer{
			at:   class.retryAt,
			kind: timerTeam,
			row:  class.key.team,
		})
		p.markBlocked(entry, now)
		return false
	}
	for index, worker := range plan.workers {
		i := class.firstPending
		p.dequeueTask(i)
		p.start(i, worker, plan.sizes[index], now)
	}
	return true
}

// stopRestOfGang stops the other tasks of a gang when one has ended without
// finishing, so that the gang starts together again.
func (p *Placer) stopRestOfGang(i int32, outcome Outcome) {
	if outcome == Finished {
		return
	}
	class := &p.classes.rows[p.tasks.rows[i].class]
	for _, member := range class.members {
		if member == i {
			continue
		}
		switch p.tasks.rows[member].state {
		case StateStarting, StateRunning, StateUnknown:
			p.stop(member, true)
		default:
		}
	}
}

// giveUpRestOfGang gives up the remaining tasks of a gang after one was given
// up.
func (p *Placer) giveUpRestOfGang(c int32, reason string) {
	members := append([]int32(nil), p.classes.rows[c].members...)
	for _, member := range members {
		p.decisions = append(p.decisions, GiveUp{
			task:   p.tasks.rows[member].Task,
			reason: reason,
		})
		p.cancel(member)
	}
}

// Reserve reserves capacity for all the given tasks of a gang; if it can't, it
// reserves nothing and returns false. Confirm starts the tasks on the reserved
// capacity. If Release or the expiry comes before Confirm, all of the capacity is
// given back. For a gang that is reserved already, Reserve returns the existing
// reservation and sets the new expiry. No task may already be known to the
// placer. The caller tracks the gang: a task of it that ends is forgotten.
func (p *Placer) Reserve(gang string, tasks []Task, expiry time.Time) ([]Reservation, bool) {
	if reserved, ok := p.gangs[gang]; ok {
		reserved.expiry = expiry
		p.setReservationTimer(gang, reserved)
		return reserved.reservations, true
	}
	sizes := make([]sizer.Size, len(tasks))
	teamTotals := make(map[string]sizer.Size)
	for index, task := range tasks {
		if _, known := p.tasks.byID[task.id]; known {
			return nil, false
		}
		sizes[index] = task.size
		teamTotals[task.team] = teamTotals[task.team].Add(task.size)
	}
	for team, size := range teamTotals {
		if p.teams.rows[p.teams.findOrAdd(team)].overQuota(size) {
			return nil, false
		}
	}
	plan, ok := p.planGang(sizes)
	if !ok {
		return nil, false
	}
	reserved := &reservedGang{
		expiry: expiry,
	}
	for index, worker := range plan.workers {
		reserved.reservations = append(reserved.reservations, p.reserve(tasks[index], worker))
	}
	p.gangs[gang] = reserved
	p.setReservationTimer(gang, reserved)
	return reserved.reservations, true
}

func (p *Placer) reserve(task Task, worker int32) Reservation {
	i := p.tasks.add(task)
	p.tasks.byID[task.id] = i
	row := &p.tasks.rows[i]
	row.externalGang = true
	row.attempt = p.nextAttempt()
	row.since = p.clock.Now()
	p.addToClass(i)
	p.allocate(i, worker, task.size, eventReserve)
	return Reservation{
		ref:    row.ref(),
		worker: p.workers.rows[worker].name,
		task:   task,
		size:   task.size,
	}
}

func (p *Placer) setReservationTimer(name string, reserved *reservedGang) {
	reserved.timer = p.addTimer(timer{
		at:   reserved.expiry,
		kind: timerReservation,
		gang: name,
	})
}

func (p *Placer) expireReservation(t timer) {
	if reserved, ok := p.gangs[t.gang]; ok && reserved.timer == t.timerSerial {
		p.Release(t.gang)
	}
}

// Confirm starts the tasks of a reserved gang. It returns nothing, and releases
// the reservation, if the reservation has expired or one of the workers no
// longer accepts tasks.
func (p *Placer) Confirm(gang string) []Decision {
	reserved, ok := p.gangs[gang]
	if !ok {
		return nil
	}
	now := p.clock.Now()
	if now.After(reserved.expiry) || !p.isIntact(reserved) {
		p.Release(gang)
		return nil
	}
	delete(p.gangs, gang)
	decisions := make([]Decision, 0, len(reserved.reservations))
	for _, r := range reserved.reservations {
		i, _ := p.tasks.find(r.ref)
		p.transition(i, eventPlace)
		p.tasks.rows[i].since = now
		decisions = append(decisions, Place(r))
	}
	return decisions
}

// isIntact reports whether all reservations of a gang still stand on workers
// that accept tasks.
func (p *Placer) isIntact(reserved *reservedGang) bool {
	for _, r := range reserved.reservations {
		i, ok := p.reservedTask(r.ref)
		if !ok || !p.workers.rows[p.tasks.rows[i].worker].acceptsTasks() {
			return false
		}
	}
	return true
}

func (p *Placer) reservedTask(ref namer.TaskRef) (int32, bool) {
	i, ok := p.tasks.find(ref)
	return i, ok && p.tasks.rows[i].state == StateReserved
}

// Release gives back all the capacity of a reserved gang.
func (p *Placer) Release(gang string) {
	reserved, ok := p.gangs[gang]
	if !ok {
		return
	}
	delete(p.gangs, gang)
	for _, r := range reserved.reservations {
		if i, ok := p.reservedTask(r.ref); ok {
			p.release(i)
			p.forget(i)
		}
	}
}
