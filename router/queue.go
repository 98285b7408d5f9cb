package router

import (
	"container/heap"
	"time"
)

// searchDepth is how many waiters of a team are searched for one that accepts a
// minion.
const searchDepth = 8

// waiter is a request that waits for a slot.
type waiter struct {
	team       string
	deadline   time.Time
	enqueuedAt time.Time
	// avoid names the minions at which the request was already attempted.
	avoid []string
	// granted receives exactly one grant, unless cancelWait removes the waiter
	// from the queue first.
	granted chan grant
	// heapIndex is the waiter's index in its team's heap, or -1.
	heapIndex int
}

// grant ends a wait. Either reservation or refusal is set.
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

// teamQueue holds the waiters of one team, earliest deadline first.
type teamQueue struct {
	team   string
	weight float64
	// virtualFinish is the virtual time at which the work granted to the team so
	// far ends. The team with the lowest one goes next.
	virtualFinish float64
	waiterHeap    waiterHeap
}

// queue holds the waiters of one service. Teams share the slots by weight, by
// start-time fair queueing. Within a team the earliest deadline goes first.
type queue struct {
	teams   map[string]*teamQueue
	weights map[string]float64
	// virtualTime is the virtual start time of the work granted last.
	virtualTime float64
	size        int
}

func newQueue() *queue {
	return &queue{
		teams:   make(map[string]*teamQueue),
		weights: make(map[string]float64),
	}
}

// setWeights replaces the teams' weights. A team without one has weight 1.
func (q *queue) setWeights(weights map[string]float64) {
	q.weights = weights
	for _, t := range q.teams {
		t.weight = q.weight(t.team)
	}
}

func (q *queue) weight(team string) float64 {
	if w := q.weights[team]; w > 0 {
		return w
	}
	return 1
}

// teamQueue returns the team's queue, creating it if needed.
func (q *queue) teamQueue(team string) *teamQueue {
	t := q.teams[team]
	if t == nil {
		t = &teamQueue{
			team:          team,
			weight:        q.weight(team),
			virtualFinish: q.virtualTime,
		}
		q.teams[team] = t
	}
	return t
}

func (q *queue) push(w *waiter) {
	heap.Push(&q.teamQueue(w.team).waiterHeap, w)
	q.size++
}

// remove removes the waiter and reports whether it was still queued.
func (q *queue) remove(w *waiter) bool {
	if w.heapIndex < 0 {
		return false
	}
	heap.Remove(&q.teams[w.team].waiterHeap, w.heapIndex)
	q.size--
	return true
}

// popFor removes and returns the waiter that is next for the minion, or nil.
func (q *queue) popFor(m *minion) *waiter {
	var best *teamQueue
	var found *waiter
	for _, t := range q.teams {
		if best != nil && !t.goesBefore(best, q.virtualTime) {
			continue
		}
		if w := t.firstAccepting(m); w != nil {
			best = t
			found = w
		}
	}
	if found != nil {
		q.remove(found)
	}
	return found
}

// charge adds the cost of granted work, in slot seconds, to the team's account.
func (q *queue) charge(team string, cost float64) {
	t := q.teamQueue(team)
	start := max(t.virtualFinish, q.virtualTime)
	t.virtualFinish = start + cost/t.weight
	q.virtualTime = start
	q.dropIdleTeams()
}

// dropIdleTeams drops the teams that have no waiters and whose granted work has
// ended in virtual time.
func (q *queue) dropIdleTeams() {
	for team, t := range q.teams {
		if len(t.waiterHeap) == 0 && t.virtualFinish <= q.virtualTime {
			delete(q.teams, team)
		}
	}
}

// expectedAhead returns how many waiters are expected to be served before a new
// waiter of the given team and deadline.
func (q *queue) expectedAhead(team string, deadline time.Time) float64 {
	own := 0
	weight := q.weight(team)
	total := weight
	for _, t := range q.teams {
		if t.team == team {
			own = t.countDueBy(deadline)
			continue
		}
		if len(t.waiterHeap) > 0 {
			total += t.weight
		}
	}
	return min(float64(own)*total/weight, float64(q.size))
}

// displacementVictim returns the waiter to remove from a full queue for a new waiter
// of the given team. It finds the team that has the most waiters for its weight,
// where the new waiter counts for the given team, and returns that team's waiter
// with the latest deadline. It returns nil if the given team has the most.
func (q *queue) displacementVictim(team string) *waiter {
	t := q.teamQueue(team)
	load := float64(len(t.waiterHeap)+1) / t.weight
	var most *teamQueue
	for _, other := range q.teams {
		if other.team == team {
			continue
		}
		if x := float64(len(other.waiterHeap)) / other.weight; x > load {
			load = x
			most = other
		}
	}
	if most == nil {
		return nil
	}
	return most.latest()
}

// removeOverdue removes and returns the waiters that would miss their deadline even
// if they were served now, in serviceTime.
func (q *queue) removeOverdue(now time.Time, serviceTime time.Duration) []*waiter {
	var out []*waiter
	for _, t := range q.teams {
		for len(t.waiterHeap) > 0 && t.waiterHeap[0].deadline.Sub(now) < serviceTime {
			w := t.waiterHeap[0]
			q.remove(w)
			out = append(out, w)
		}
	}
	return out
}

// removeAll removes and returns all waiters.
func (q *queue) removeAll() []*waiter {
	var out []*waiter
	for _, t := range q.teams {
		for _, w := range t.waiterHeap {
			w.heapIndex = -1
			out = append(out, w)
		}
		t.waiterHeap = nil
	}
	q.size = 0
	return out
}

// goesBefore reports whether t is served before other.
func (t *teamQueue) goesBefore(other *teamQueue, virtualTime float64) bool {
	a, b := max(t.virtualFinish, virtualTime), max(other.virtualFinish, virtualTime)
	if a != b {
		return a < b
	}
	if t.virtualFinish != other.virtualFinish {
		return t.virtualFinish < other.virtualFinish
	}
	return t.team < other.team
}

// firstAccepting returns the first waiter that accepts the minion, or nil. It
// searches the first searchDepth waiters in heap order, which is only roughly
// the order of deadlines.
func (t *teamQueue) firstAccepting(m *minion) *waiter {
	for _, w := range t.waiterHeap[:min(len(t.waiterHeap), searchDepth)] {
		if w.accepts(m) {
			return w
		}
	}
	return nil
}

// countDueBy counts the waiters whose deadline is not after the given one.
func (t *teamQueue) countDueBy(deadline time.Time) int {
	n := 0
	for _, w := range t.waiterHeap {
		if !w.deadline.After(deadline) {
			n++
		}
	}
	return n
}

func (t *teamQueue) latest() *waiter {
	var latest *waiter
	for _, w := range t.waiterHeap {
		if latest == nil || w.deadline.After(latest.deadline) {
			latest = w
		}
	}
	return latest
}

// waiterHeap is a heap ordered by deadline, then by the time of queueing.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if !h[i].deadline.Equal(h[j].deadline) {
		return h[i].deadline.Before(h[j].deadline)
	}
	return h[i].enqueuedAt.Before(h[j].enqueuedAt)
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.heapIndex = -1
	return w
}
