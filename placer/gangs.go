package placer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// gangRetryInterval is how long a gang that found no room waits before it is
// tried again.
const gangRetryInterval = time.Second

// reservedGang is the room that Reserve took for a gang.
type reservedGang struct {
	reservations []Reservation
	until        time.Time
	timer        uint64
}

// seatPlan is a worker for each task of a gang.
type seatPlan struct {
	workers []int32
	sizes   []sizer.Size
}

// plan finds room for tasks of these sizes together, and takes none.
func (p *Placer) plan(sizes []sizer.Size) (seatPlan, bool) {
	plan := seatPlan{
		sizes: sizes,
	}
	whole := sizer.Size{}
	for _, size := range sizes {
		whole = whole.Add(size)
	}
	if !whole.Fits(p.free) {
		return plan, false
	}
	for _, size := range sizes {
		worker := p.tightest(size)
		if worker == none {
			break
		}
		plan.workers = append(plan.workers, worker)
		p.setAsideRoom(worker, size)
	}
	for at, worker := range plan.workers {
		p.setAsideRoom(worker, sizer.Size{}.Sub(sizes[at]))
	}
	complete := len(plan.workers) == len(sizes)
	if p.settings.fault == faultPartialGang && len(plan.workers) > 0 {
		complete = true
	}
	return plan, complete
}

// setAsideRoom takes room on a worker for no task, while a plan is made.
func (p *Placer) setAsideRoom(worker int32, size sizer.Size) {
	w := &p.workers.rows[worker]
	w.used = w.used.Add(size)
	p.refresh(worker)
}

// gangWaits reports whether a class is a gang that cannot be tried now: one that
// waits for its other tasks, for the quota, or for its next try.
func (p *Placer) gangWaits(entry *queueEntry, now time.Time) bool {
	class := &p.classes.rows[entry.class]
	if class.key.kind != kindGang {
		return false
	}
	if class.pending < class.live || now.Before(class.retryAt) {
		return true
	}
	return p.teams.rows[class.key.team].overQuota(class.whole())
}

// placeGang starts all the tasks of a gang, or none.
func (p *Placer) placeGang(entry *queueEntry, now time.Time) bool {
	c := entry.class
	class := &p.classes.rows[c]
	sizes := make([]sizer.Size, class.pending)
	for at := range sizes {
		sizes[at] = class.need
	}
	plan, ok := p.plan(sizes)
	if !ok {
		class.retryAt = now.Add(gangRetryInterval)
		p.addTimer(timer{
			at:   class.retryAt,
			kind: timerTeam,
			row:  class.key.team,
		})
		p.block(entry, now)
		return false
	}
	for at, worker := range plan.workers {
		i := class.first
		p.dequeue(i)
		p.start(i, worker, plan.sizes[at], now)
	}
	return true
}

// breakGang makes the rest of a gang stop when one of its tasks has ended
// otherwise than by finishing, so that the gang starts together again.
func (p *Placer) breakGang(i int32, outcome Outcome) {
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

// giveUpGang gives up the rest of a gang of which one task is given up.
func (p *Placer) giveUpGang(c int32, reason string) {
	members := append([]int32(nil), p.classes.rows[c].members...)
	for _, member := range members {
		p.decisions = append(p.decisions, GiveUp{
			task:   p.tasks.rows[member].Task,
			reason: reason,
		})
		p.cancel(member)
	}
}

// Reserve takes room for all the given tasks of a gang, or for none and returns
// false. The room is kept until Confirm, Release or the given time, whichever
// comes first, and is then given back whole. A gang that is reserved already
// keeps its room, until the new time. The tasks must not be known here
// otherwise. Whoever calls counts the gang: a task of it that ends is forgotten.
func (p *Placer) Reserve(gang string, tasks []Task, until time.Time) ([]Reservation, bool) {
	if held, ok := p.gangs[gang]; ok {
		held.until = until
		p.timeGang(gang, held)
		return held.reservations, true
	}
	sizes := make([]sizer.Size, len(tasks))
	whole := make(map[string]sizer.Size)
	for at, task := range tasks {
		if _, known := p.tasks.byID[task.id]; known {
			return nil, false
		}
		sizes[at] = task.size
		whole[task.team] = whole[task.team].Add(task.size)
	}
	for team, size := range whole {
		if p.teams.rows[p.teams.number(team)].overQuota(size) {
			return nil, false
		}
	}
	plan, ok := p.plan(sizes)
	if !ok {
		return nil, false
	}
	held := &reservedGang{
		until: until,
	}
	for at, worker := range plan.workers {
		held.reservations = append(held.reservations, p.reserve(tasks[at], worker))
	}
	p.gangs[gang] = held
	p.timeGang(gang, held)
	return held.reservations, true
}

func (p *Placer) reserve(task Task, worker int32) Reservation {
	i := p.tasks.add(task)
	p.tasks.byID[task.id] = i
	row := &p.tasks.rows[i]
	row.external = true
	row.attempt = p.nextAttempt()
	row.since = p.clock.Now()
	p.classify(i)
	p.take(i, worker, task.size, eventReserve)
	return Reservation{
		ref:    row.ref(),
		worker: p.workers.rows[worker].name,
		task:   task,
		size:   task.size,
	}
}

func (p *Placer) timeGang(name string, held *reservedGang) {
	held.timer = p.addTimer(timer{
		at:   held.until,
		kind: timerGang,
		gang: name,
	})
}

func (p *Placer) expireGang(t timer) {
	if held, ok := p.gangs[t.gang]; ok && held.timer == t.serial {
		p.Release(t.gang)
	}
}

// Confirm starts the tasks of a reserved gang. It returns nothing, and gives the
// room back, if the time has passed or one of the workers takes no tasks any
// more.
func (p *Placer) Confirm(gang string) []Decision {
	held, ok := p.gangs[gang]
	if !ok {
		return nil
	}
	now := p.clock.Now()
	if now.After(held.until) || !p.stands(held) {
		p.Release(gang)
		return nil
	}
	delete(p.gangs, gang)
	decisions := make([]Decision, 0, len(held.reservations))
	for _, r := range held.reservations {
		i, _ := p.tasks.find(r.ref)
		p.move(i, eventPlace)
		p.tasks.rows[i].since = now
		decisions = append(decisions, Place(r))
	}
	return decisions
}

// stands reports whether all the room of a gang is still there.
func (p *Placer) stands(held *reservedGang) bool {
	for _, r := range held.reservations {
		i, ok := p.reservedTask(r.ref)
		if !ok || !p.workers.rows[p.tasks.rows[i].worker].takes() {
			return false
		}
	}
	return true
}

func (p *Placer) reservedTask(ref namer.TaskRef) (int32, bool) {
	i, ok := p.tasks.find(ref)
	return i, ok && p.tasks.rows[i].state == StateReserved
}

// Release gives all the room of a reserved gang back.
func (p *Placer) Release(gang string) {
	held, ok := p.gangs[gang]
	if !ok {
		return
	}
	delete(p.gangs, gang)
	for _, r := range held.reservations {
		if i, ok := p.reservedTask(r.ref); ok {
			p.release(i)
			p.forget(i)
		}
	}
}
