package coordinator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/scheduler"
)

const (
	// adviceTimeout bounds a call for advice: the longest decision about 100
	// workers, behind another one.
	adviceTimeout = 4 * time.Second
	// adviceMargin is added to the expected time of a call.
	adviceMargin = 1200 * time.Millisecond
	// quickCall is the longest call that goes to the lanes for quick ones, so
	// that a caller at a door never waits behind a long decision.
	quickCall = 60 * time.Millisecond
	// quickShare is the part of the entries that make quick calls only.
	quickShare = 0.375
	// restPause is for how long an entry that did not answer gets no calls.
	restPause = 700 * time.Millisecond
)

// lanes spreads the calls for advice over the entries, as the adviser serves
// one call at a time for each of them.
type lanes struct {
	coordinator *Coordinator

	mu sync.Mutex
	// all is sorted by the entry's name, so that all entries divide them alike.
	all []*lane
}

type lane struct {
	name    string
	address string
	// free is when the calls that were sent should have been answered.
	free  time.Time
	calls int
	// resting is until when the entry gets no calls.
	resting time.Time
}

var _ conductor.Adviser = (*lanes)(nil)

func newLanes(c *Coordinator) *lanes {
	return &lanes{
		coordinator: c,
		all: []*lane{
			{
				name:    c.settings.name,
				address: c.settings.peerAddress,
			},
		},
	}
}

// setPeers takes the entries that are known, by name.
func (l *lanes) setPeers(peers map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, address := range peers {
		i := slices.IndexFunc(l.all, func(known *lane) bool { return known.name == name })
		if i < 0 {
			l.all = append(l.all, &lane{
				name:    name,
				address: address,
			})
			continue
		}
		if l.all[i].address != address {
			l.all[i].address = address
			l.all[i].resting = time.Time{}
		}
	}
	slices.SortFunc(l.all, func(a, b *lane) int { return strings.Compare(a.name, b.name) })
}

// reachable returns up to n other entries that are not resting, in the order
// of how busy they are.
func (l *lanes) reachable(n int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.coordinator.settings.clock.Now()
	var ready []*lane
	for _, known := range l.all {
		if known.name != l.coordinator.settings.name && !now.Before(known.resting) {
			ready = append(ready, known)
		}
	}
	slices.SortStableFunc(ready, func(a, b *lane) int { return a.free.Compare(b.free) })
	var addresses []string
	for _, known := range ready[:min(n, len(ready))] {
		addresses = append(addresses, known.address)
	}
	return addresses
}

// anyReachable tells that some other entry is not resting.
func (l *lanes) anyReachable() bool {
	return len(l.reachable(1)) > 0
}

// heard keeps whether an entry answers.
func (l *lanes) heard(address string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.all {
		if known.address != address {
			continue
		}
		if errors.Is(err, messenger.ErrUnreachable) || errors.Is(err, messenger.ErrUnknown) {
			known.resting = l.coordinator.settings.clock.Now().Add(restPause)
		}
	}
}

// pick returns the lane that will be free first, of those for such a call.
func (l *lanes) pick(cost time.Duration) *lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.coordinator.settings.clock.Now()
	var ready []*lane
	for _, known := range l.all {
		if !now.Before(known.resting) {
			ready = append(ready, known)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	quick := int(quickShare * float64(len(ready)))
	if len(ready) > 1 {
		quick = max(1, quick)
	}
	if cost <= quickCall {
		ready = ready[:max(1, quick)]
	} else if quick < len(ready) {
		ready = ready[quick:]
	}
	best := ready[0]
	for _, known := range ready[1:] {
		if known.free.Before(best.free) {
			best = known
		}
	}
	if best.free.Before(now) {
		best.free = now
	}
	best.free = best.free.Add(cost)
	best.calls++
	return best
}

// done tells that a call of a lane has ended.
func (l *lanes) done(used *lane, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.coordinator.settings.clock.Now()
	used.calls--
	if used.calls == 0 {
		used.free = now
	}
	if err != nil {
		used.resting = now.Add(restPause)
	}
}

// Advise implements conductor.Adviser.
func (l *lanes) Advise(ctx context.Context, order scheduler.AskAdvice) ([]scheduler.Approval, time.Duration, error) {
	used := l.pick(order.Cost)
	if used == nil {
		return nil, 0, errors.New("coordinator: no entry can ask the adviser")
	}
	now := l.coordinator.settings.clock.Now()
	l.mu.Lock()
	queue := used.free.Sub(now)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, min(adviceTimeout, queue+adviceMargin))
	defer cancel()
	var reply AdviseReply
	var err error
	if used.name == l.coordinator.settings.name {
		reply.Approved, reply.Validity, err = l.coordinator.settings.advise(ctx, order.Step, order.Workers)
	} else {
		err = l.coordinator.pool.Call(ctx, used.address, rpcName+".Advise", AdviseArgs{
			Step:    order.Step,
			Workers: order.Workers,
		}, &reply)
	}
	if ctx.Err() != nil && err == nil {
		err = ctx.Err()
	}
	l.done(used, err)
	return reply.Approved, reply.Validity, err
}
