package router

import (
	"container/heap"
	"time"
)

// searchDepth is how many waiters of a lane are looked at for one that accepts
// a minion.
const searchDepth = 8

// waiter is a request that waits for a slot.
type waiter struct {
	team     string
	deadline time.Time
	entered  time.Time
	// avoid names minions that the request was tried at.
	avoid []string
	// granted receives exactly one grant once the waiter has left the queue,
	// unless it left of its own accord.
	granted chan grant
	// index is the place in its lane's heap, or -1.
	index int
}

// grant ends the waiting. Either reservation or refusal is set.
type grant struct {
	reservation *reservation
	refusal     *RefusedError
}

func (w *waiter) accepts(m *minion) bool {
	for _, name := range w.avoid {
		if name == m.host.Name {
			return false
		}
	}
	return true
}

// lane holds the waiters of one team, earliest deadline first.
type lane struct {
	team   string
	weight float64
	// finish is the virtual time at which the work that the team was given so
	// far ends. The lane with the lowest goes next.
	finish  float64
	waiters waiters
}

// queue holds the waiters of one service. Teams share the slots by weight, by
// start-time fair queueing; within a team the earliest deadline goes first.
type queue struct {
	lanes   map[string]*lane
	weights map[string]float64
	// virtual is the start of the work that was given out last.
	virtual float64
	size    int
}

func newQueue() *queue {
	return &queue{
		lanes:   make(map[string]*lane),
		weights: make(map[string]float64),
	}
}

// setWeights replaces the teams' weights. A team without one has weight 1.
func (q *queue) setWeights(weights map[string]float64) {
	q.weights = weights
	for _, l := range q.lanes {
		l.weight = q.weight(l.team)
	}
}

func (q *queue) weight(team string) float64 {
	if w := q.weights[team]; w > 0 {
		return w
	}
	return 1
}

// lane returns the team's lane, made if need be.
func (q *queue) lane(team string) *lane {
	l := q.lanes[team]
	if l == nil {
		l = &lane{
			team:   team,
			weight: q.weight(team),
			finish: q.virtual,
		}
		q.lanes[team] = l
	}
	return l
}

func (q *queue) push(w *waiter) {
	heap.Push(&q.lane(w.team).waiters, w)
	q.size++
}

// remove takes the waiter out and reports whether it was still there.
func (q *queue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.lanes[w.team].waiters, w.index)
	q.size--
	return true
}

// next takes out the waiter that goes next to the minion, or returns nil.
func (q *queue) next(m *minion) *waiter {
	var best *lane
	var found *waiter
	for _, l := range q.lanes {
		if best != nil && !l.before(best, q.virtual) {
			continue
		}
		if w := l.first(m); w != nil {
			best = l
			found = w
		}
	}
	if found != nil {
		q.remove(found)
	}
	return found
}

// charge books the cost of work that the team is given, in seconds of a slot.
func (q *queue) charge(team string, cost float64) {
	l := q.lane(team)
	start := max(l.finish, q.virtual)
	l.finish = start + cost/l.weight
	q.virtual = start
	q.forget()
}

// forget drops lanes that hold nothing and are not behind anyone.
func (q *queue) forget() {
	for team, l := range q.lanes {
		if len(l.waiters) == 0 && l.finish <= q.virtual {
			delete(q.lanes, team)
		}
	}
}

// ahead returns how many waiters are expected to go before a new one of the
// team with the deadline.
func (q *queue) ahead(team string, deadline time.Time) float64 {
	own := 0
	weight := q.weight(team)
	total := weight
	for _, l := range q.lanes {
		if l.team == team {
			own = l.earlier(deadline)
			continue
		}
		if len(l.waiters) > 0 {
			total += l.weight
		}
	}
	return min(float64(own)*total/weight, float64(q.size))
}

// heaviest returns the waiter with the latest deadline of the lane that waits
// most for its weight, or nil if the team's own lane does.
func (q *queue) heaviest(team string) *waiter {
	l := q.lane(team)
	load := float64(len(l.waiters)+1) / l.weight
	var most *lane
	for _, other := range q.lanes {
		if other.team == team {
			continue
		}
		if x := float64(len(other.waiters)) / other.weight; x > load {
			load = x
			most = other
		}
	}
	if most == nil {
		return nil
	}
	return most.last()
}

// overdue takes out the waiters that can no longer be served by their
// deadline if each takes the given time.
func (q *queue) overdue(now time.Time, service time.Duration) []*waiter {
	var out []*waiter
	for _, l := range q.lanes {
		for len(l.waiters) > 0 && l.waiters[0].deadline.Sub(now) < service {
			w := l.waiters[0]
			q.remove(w)
			out = append(out, w)
		}
	}
	return out
}

// drain takes out everything.
func (q *queue) drain() []*waiter {
	var out []*waiter
	for _, l := range q.lanes {
		for _, w := range l.waiters {
			w.index = -1
			out = append(out, w)
		}
		l.waiters = nil
	}
	q.size = 0
	return out
}

// before reports whether l goes before other.
func (l *lane) before(other *lane, virtual float64) bool {
	a, b := max(l.finish, virtual), max(other.finish, virtual)
	if a != b {
		return a < b
	}
	if l.finish != other.finish {
		return l.finish < other.finish
	}
	return l.team < other.team
}

// first returns the earliest waiter that accepts the minion, among the first
// few.
func (l *lane) first(m *minion) *waiter {
	for _, w := range l.waiters[:min(len(l.waiters), searchDepth)] {
		if w.accepts(m) {
			return w
		}
	}
	return nil
}

// earlier counts the waiters that are due no later than the deadline.
func (l *lane) earlier(deadline time.Time) int {
	n := 0
	for _, w := range l.waiters {
		if !w.deadline.After(deadline) {
			n++
		}
	}
	return n
}

func (l *lane) last() *waiter {
	var last *waiter
	for _, w := range l.waiters {
		if last == nil || w.deadline.After(last.deadline) {
			last = w
		}
	}
	return last
}

// waiters is a heap by deadline, then by time of entry.
type waiters []*waiter

func (h waiters) Len() int { return len(h) }

func (h waiters) Less(i, j int) bool {
	if !h[i].deadline.Equal(h[j].deadline) {
		return h[i].deadline.Before(h[j].deadline)
	}
	return h[i].entered.Before(h[j].entered)
}

func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
