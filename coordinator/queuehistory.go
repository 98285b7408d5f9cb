package coordinator

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

// A job stays in the partition of the service that its route named when the job was accepted. The configuration may
// remove the route and add one of the same host and prefix to another service. An entry remembers the former
// services of such a queue, and learns from its peers of those that it has not seen itself.

const (
	// repeatedSubmitTime is the time after a change of a queue's service within which a job may be submitted
	// again that was accepted before. Callers try again for some seconds.
	repeatedSubmitTime = 2 * time.Minute
	// maxRemovedRoutes limits the routes without a queue that are remembered.
	maxRemovedRoutes = 1000
	// maxFormerQueues limits the former queues of a route that are remembered.
	maxFormerQueues = 8
	// historyPeers is the number of peers whose history a starting entry takes, and historyTries how often it
	// asks, after pauses of historyPause.
	historyPeers = 3
	historyTries = 10
	historyPause = time.Second
)

// FormerQueue is a queue that a route of a host and prefix led to.
type FormerQueue struct {
	Host, Prefix  string
	Name, Service string
	// Age is the time since another queue took its place, as far as the entry knows. It is negative if none has.
	Age time.Duration
}

type routeKey struct {
	host, prefix string
}

// formerQueue is a queue whose route leads to another one since a time.
type formerQueue struct {
	name, service string
	until         time.Time
}

// queueHistory holds the queues that the routes of an entry's configurations led to.
type queueHistory struct {
	mu      sync.Mutex
	version int64
	// last holds the last queue of each route, and routes, by the name of a queue, the routes in the configuration
	// that lead to it.
	last   map[routeKey]formerQueue
	routes map[string][]routeKey
	// removed holds the routes of last that are not in the configuration, oldest first.
	removed []routeKey
	// former holds the queues that others took the place of, each once.
	former map[routeKey][]formerQueue
}

func newQueueHistory() *queueHistory {
	return &queueHistory{
		last:   make(map[routeKey]formerQueue),
		routes: make(map[string][]routeKey),
		former: make(map[routeKey][]formerQueue),
	}
}

// observe records a configuration before it is in force. Older ones than the last are ignored.
func (h *queueHistory) observe(config receiver.Config, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if config.Version <= h.version {
		return
	}
	h.version = config.Version
	wasThere := h.routes
	h.routes = make(map[string][]routeKey)
	there := make(map[routeKey]bool)
	for _, route := range config.Routes {
		key := routeKey{
			host:   route.Host,
			prefix: route.Prefix,
		}
		there[key] = true
		h.routes[route.Queue.Name] = append(h.routes[route.Queue.Name], key)
		h.replace(key, formerQueue{
			name:    route.Queue.Name,
			service: route.Queue.Service,
		}, now)
	}
	h.removed = slices.DeleteFunc(h.removed, func(key routeKey) bool { return there[key] })
	for _, keys := range wasThere {
		for _, key := range keys {
			if !there[key] {
				h.removed = append(h.removed, key)
			}
		}
	}
	h.limit()
}

// replace records that a route leads to a queue now. The caller holds mu.
func (h *queueHistory) replace(key routeKey, queue formerQueue, now time.Time) {
	last, found := h.last[key]
	h.last[key] = queue
	h.former[key] = slices.DeleteFunc(h.former[key], queue.is)
	if found && !last.is(queue) {
		last.until = now
		h.former[key] = append(h.former[key], last)
		h.former[key] = h.former[key][max(0, len(h.former[key])-maxFormerQueues):]
	}
	if len(h.former[key]) == 0 {
		delete(h.former, key)
	}
}

// limit forgets the routes beyond maxRemovedRoutes that were removed first. The caller holds mu.
func (h *queueHistory) limit() {
	for len(h.removed) > maxRemovedRoutes {
		delete(h.last, h.removed[0])
		delete(h.former, h.removed[0])
		h.removed = h.removed[1:]
	}
}

// is reports whether both are the same queue.
func (q formerQueue) is(other formerQueue) bool {
	return q.name == other.name && q.service == other.service
}

// formerOf returns the queues whose place the queue has taken since the given time, on any of its routes.
func (h *queueHistory) formerOf(queue scheduler.Queue, since time.Time) []formerQueue {
	h.mu.Lock()
	defer h.mu.Unlock()
	var former []formerQueue
	for _, key := range h.routes[queue.Name] {
		for _, q := range h.former[key] {
			if !q.until.Before(since) && !slices.ContainsFunc(former, q.is) {
				former = append(former, q)
			}
		}
	}
	return former
}

// mayHaveBeen reports whether a queue of the given name may be one whose place the queue has taken, as far as the
// history tells.
func (h *queueHistory) mayHaveBeen(queue scheduler.Queue, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if name == queue.Name {
		return true
	}
	named := func(q formerQueue) bool { return q.name == name }
	for _, key := range h.routes[queue.Name] {
		if slices.ContainsFunc(h.former[key], named) {
			// Also if another route leads to that queue now.
			return true
		}
	}
	if len(h.routes[name]) > 0 {
		return false
	}
	for key, last := range h.last {
		if named(last) || slices.ContainsFunc(h.former[key], named) {
			return false
		}
	}
	return true
}

// export returns the history for another entry.
func (h *queueHistory) export(now time.Time) []FormerQueue {
	h.mu.Lock()
	defer h.mu.Unlock()
	var rows []FormerQueue
	add := func(key routeKey, queue formerQueue, age time.Duration) {
		rows = append(rows, FormerQueue{
			Host:    key.host,
			Prefix:  key.prefix,
			Name:    queue.name,
			Service: queue.service,
			Age:     age,
		})
	}
	for _, key := range h.removed {
		add(key, h.last[key], -1)
	}
	// For an entry with a later configuration, the present queues are former ones too.
	for _, keys := range h.routes {
		for _, key := range keys {
			add(key, h.last[key], -1)
		}
	}
	for key, former := range h.former {
		for _, queue := range former {
			add(key, queue, max(0, now.Sub(queue.until)))
		}
	}
	return rows
}

// merge adds the history of another entry.
func (h *queueHistory) merge(rows []FormerQueue, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, row := range rows {
		key := routeKey{
			host:   row.Host,
			prefix: row.Prefix,
		}
		queue := formerQueue{
			name:    row.Name,
			service: row.Service,
			until:   now.Add(-max(0, row.Age)),
		}
		last, found := h.last[key]
		switch {
		case !found:
			h.last[key] = queue
			h.removed = append(h.removed, key)
		case !last.is(queue) && len(h.former[key]) < maxFormerQueues && !slices.ContainsFunc(h.former[key], queue.is):
			h.former[key] = append(h.former[key], queue)
		}
	}
	h.limit()
}

// QueueHistoryReply answers a request for the queues whose place others have taken.
type QueueHistoryReply struct {
	Queues []FormerQueue
}

// QueueHistory returns the queues whose place others have taken.
func (r *rpc) QueueHistory(_ struct{}, reply *QueueHistoryReply) error {
	reply.Queues = r.coordinator.queueHistory.export(r.coordinator.settings.clock.Now())
	return nil
}

// inheritQueueHistory takes over what peers know of configurations from before the start of this process. Peers of
// older releases know nothing.
func (c *Coordinator) inheritQueueHistory(ctx context.Context) error {
	for _, read := range []chan struct{}{c.configRead, c.peersRead} {
		select {
		case <-read:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	asked := make(map[string]bool)
	tries := make(map[string]int)
	for range historyTries {
		for _, address := range c.historySources(historyPeers-len(asked), asked, tries) {
			tries[address]++
			var reply QueueHistoryReply
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			err := c.pool.Call(callCtx, address, rpcName+".QueueHistory", struct{}{}, &reply)
			cancel()
			if err != nil {
				c.settings.logger.WithError(err).WithField("peer", address).Debug("coordinator: a peer's history of queues was not read")
				continue
			}
			asked[address] = true
			c.queueHistory.merge(reply.Queues, c.settings.clock.Now())
		}
		if len(asked) >= historyPeers {
			break
		}
		if err := timekeeper.Sleep(ctx, c.settings.clock, historyPause); err != nil {
			return err
		}
	}
	return nil
}

// historySources returns the addresses of up to n peers that have not answered yet, those with the fewest tries first.
// Among others they are in random order: more of them may be gone than are tried.
func (c *Coordinator) historySources(n int, answered map[string]bool, tries map[string]int) []string {
	addresses := slices.DeleteFunc(c.entryPool.reachablePeers(math.MaxInt), func(address string) bool { return answered[address] })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(tries[a], tries[b]) })
	return addresses[:min(n, len(addresses))]
}
