package placer

import (
	"container/heap"
	"time"
)

// timer is a time at which something is due for a task, worker, gang, team or
// claim. Timers are not removed from the heap: when one fires, its handler checks
// that it is still current.
type timer struct {
	at          time.Time
	kind        timerKind
	row         int32
	gang        string
	timerSerial uint64
}

type timerKind uint8

const (
	// timerTask ends the backoff of a task, the time that it has to save its work,
	// or its time as the probe of a worker.
	timerTask timerKind = iota
	// timerWorker begins the probe of a worker that was set aside.
	timerWorker
	// timerReservation expires the reservation of a gang.
	timerReservation
	// timerTeam makes the next tick try the queue of a team again.
	timerTeam
	// timerGangClaim gives back the capacity claimed for a gang.
	timerGangClaim
)

type timerHeap []timer

// Len returns the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less compares two timers by time, then by the order in which they were added.
func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].timerSerial < h[j].timerSerial
	}
	return h[i].at.Before(h[j].at)
}

// Swap exchanges two timers.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes the last timer.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (p *Placer) addTimer(t timer) uint64 {
	p.timerSerial++
	t.timerSerial = p.timerSerial
	heap.Push(&p.timers, t)
	return t.timerSerial
}

// wakeAt schedules a task to be woken at a time, instead of any time set
// before.
func (p *Placer) wakeAt(i int32, at time.Time) {
	p.tasks.rows[i].wakeTime = at
	p.tasks.rows[i].timer = p.addTimer(timer{
		at:   at,
		kind: timerTask,
		row:  i,
	})
}

// runTimers handles all timers that are due.
func (p *Placer) runTimers(now time.Time) {
	for len(p.timers) > 0 && !p.timers[0].at.After(now) {
		t := heap.Pop(&p.timers).(timer)
		switch t.kind {
		case timerTask:
			p.wakeTask(t, now)
		case timerWorker:
			p.startProbing(t)
		case timerReservation:
			p.expireReservation(t)
		case timerGangClaim:
			p.expireGangClaim(t)
		case timerTeam:
			p.teams.markFresh(t.row)
		}
	}
}

func (p *Placer) wakeTask(t timer, now time.Time) {
	row := &p.tasks.rows[t.row]
	if row.timer != t.timerSerial {
		return
	}
	switch row.state {
	case StateBackoff:
		p.transition(t.row, eventWake)
		p.enqueueTask(t.row, now)
	case StateStopping:
		p.stop(t.row, false)
	case StateStarting, StateRunning:
		p.endLongProbe(t.row, now)
	default:
	}
}
