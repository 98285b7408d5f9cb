package coordinator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// adviceTimeout bounds a call for advice: the longest decision about 100
	// workers, queued behind another one.
	adviceTimeout = 4 * time.Second
	// adviceMargin is added to the expected time of a call, for its delivery and
	// for a call of another owner that is ahead of it in the queue, which takes
	// 1.75 s for 100 workers.
	adviceMargin = 2 * time.Second
	// adviceTries is the number of entries that are tried for one call.
	adviceTries = 3
	// quickShareFew and quickShareMany are the fractions of the entries that make
	// nothing but quick calls: quickShareFew of up to fewEntries entries, and
	// quickShareMany of more. The fraction is larger for few entries, because a
	// network partition or a burst weighs more on them. On a larger installation,
	// the entries for quick calls must carry a burst of 5.1 s of quick advice per
	// second while a quarter of all entries cannot be reached.
	quickShareFew, quickShareMany = 3. / 8, 2. / 7
	// fewEntries is the number of entries up to which quickShareFew applies.
	fewEntries = 8
	// maxProbePause bounds the pause between two probes of an unreachable entry: a
	// network partition lasts some seconds.
	maxProbePause = 2 * time.Second
	// minSuspension and maxSuspension bound how long an entry gets no calls for
	// advice after the adviser did not answer one: up to the length of a few calls.
	minSuspension = 100 * time.Millisecond
	maxSuspension = 2 * time.Second
	// probeInterval is the interval at which entries are probed, and probeTimeout
	// bounds one probe: several round trips between data centres.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	// maxActiveProbes, maxDueProbes, maxRelayProbes and maxSampleProbes bound the probes
	// of one interval, whatever the number of entries: of entries with calls under way,
	// of unreachable entries, of entries that can store jobs for this one, and of others
	// while the store does not answer this entry. If there are more entries of one kind,
	// they take turns. All of up to 32 entries with calls and, as an unreachable entry is
	// due every 2 s, all of 40 unreachable ones are probed as often as they are due.
	maxActiveProbes = 32
	maxDueProbes    = 8
	maxRelayProbes  = 4
	maxSampleProbes = 12
	// relayMaxAge is how long an answer to a probe shows that the store serves the entry:
	// two intervals. A record that is relayed to an entry that the store has stopped
	// answering has an unknown outcome.
	relayMaxAge = 2 * probeInterval
)

// entryPool holds the known entries, this one included, and their state. It spreads
// the calls for advice over them, as the adviser serves one call at a time for each
// entry.
type entryPool struct {
	coordinator *Coordinator

	mu sync.Mutex
	// entries is sorted by name, so that all entry processes divide the entries by
	// kind alike. byName holds the same entries.
	entries []*entryState
	byName  map[string]*entryState
	// probeCursors holds, for each kind of probe, the index in entries at which the next
	// round begins.
	probeCursors [probeKinds]int
}

type entryState struct {
	name    string
	address string
	// ownIdleAt is the time at which the entry should have answered the calls that
	// this process sent to it, and othersIdleAt the same for calls of other
	// owners, as far as the entry reported them. activeCalls counts the calls for
	// advice from this process that the entry has not answered yet.
	ownIdleAt, othersIdleAt time.Time
	activeCalls             int
	// unreachable is set when the entry did not answer a call. The entry gets no
	// calls until it has answered a probe. The next probe is due at probeAt.
	unreachable bool
	probeAt     time.Time
	// failures counts the calls and probes in a row that were not answered.
	failures int
	// suspendedUntil is the time until which the entry gets no calls for advice.
	// adviceFailures counts the calls in a row that the adviser did not answer
	// through the entry.
	suspendedUntil time.Time
	adviceFailures int
	// storeReachable is whether the store answers the entry, as of its last probe,
	// which was answered at storeReachableAt.
	storeReachable   bool
	storeReachableAt time.Time
	// disconnected is closed and replaced when the entry becomes unreachable, which
	// cancels the calls for advice under way there.
	disconnected chan struct{}
}

func newEntryState(name, address string) *entryState {
	return &entryState{
		name:         name,
		address:      address,
		disconnected: make(chan struct{}),
	}
}

// idleAt returns the time at which the entry should have answered all calls.
func (e *entryState) idleAt() time.Time {
	if e.othersIdleAt.After(e.ownIdleAt) {
		return e.othersIdleAt
	}
	return e.ownIdleAt
}

// markUnreachable stops calls to the entry until it has answered a probe. The pause
// before the next probe doubles with each failure, up to maxProbePause.
func (e *entryState) markUnreachable(now time.Time) {
	e.unreachable = true
	e.probeAt = now.Add(min(maxProbePause, probeInterval<<min(e.failures, 6)))
	e.failures++
	e.storeReachable = false
	close(e.disconnected)
	e.disconnected = make(chan struct{})
}

// markReachable lets the entry get calls again after markUnreachable.
func (e *entryState) markReachable() {
	e.unreachable = false
	e.failures = 0
}

func newEntryPool(c *Coordinator) *entryPool {
	own := newEntryState(c.settings.name, c.settings.peerAddress)
	return &entryPool{
		coordinator: c,
		entries: []*entryState{
			own,
		},
		byName: map[string]*entryState{
			own.name: own,
		},
	}
}

// setPeers adds the entries that are new and updates the addresses of the others.
// The addresses are given by name.
func (p *entryPool) setPeers(peers map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	added := false
	for name, address := range peers {
		entry := p.byName[name]
		switch {
		case entry == nil:
			entry = newEntryState(name, address)
			p.byName[name] = entry
			p.entries = append(p.entries, entry)
			added = true
		case entry.address != address:
			entry.address = address
			entry.markReachable()
		}
	}
	if added {
		slices.SortFunc(p.entries, func(a, b *entryState) int { return strings.Compare(a.name, b.name) })
	}
}

// relayPeers returns the addresses of up to n other entries that are reachable and
// that the store answers.
func (p *entryPool) relayPeers(n int) []string {
	now := p.coordinator.settings.clock.Now()
	return p.selectPeers(n, func(entry *entryState) bool {
		return entry.storeReachable && now.Sub(entry.storeReachableAt) < relayMaxAge
	})
}

// reachablePeers returns the addresses of up to n other entries that are reachable.
func (p *entryPool) reachablePeers(n int) []string {
	return p.selectPeers(n, func(*entryState) bool { return true })
}

// selectPeers returns the addresses of up to n other entries that are reachable and
// accepted, the least busy first.
func (p *entryPool) selectPeers(n int, accept func(*entryState) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ready []*entryState
	for _, entry := range p.entries {
		if entry.name != p.coordinator.settings.name && !entry.unreachable && accept(entry) {
			ready = append(ready, entry)
		}
	}
	slices.SortStableFunc(ready, func(a, b *entryState) int { return a.ownIdleAt.Compare(b.ownIdleAt) })
	var addresses []string
	for _, entry := range ready[:min(n, len(ready))] {
		addresses = append(addresses, entry.address)
	}
	return addresses
}

// recordAnswer updates the state of an entry after a call to it that ended with
// err.
func (p *entryPool) recordAnswer(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.entries {
		if entry.address != address {
			continue
		}
		if errors.Is(err, messenger.ErrUnreachable) || errors.Is(err, messenger.ErrUnknown) {
			entry.markUnreachable(p.coordinator.settings.clock.Now())
		} else {
			entry.markReachable()
		}
	}
}

// probeEntries probes other entries at each interval. A call to an entry that is gone
// thus ends before its timeout. While the store does not answer this entry, the probes
// find out which others can store jobs for it.
func (p *entryPool) probeEntries(ctx context.Context) error {
	return timekeeper.Every(ctx, p.coordinator.settings.clock, probeInterval, func(ctx context.Context) {
		addresses := p.probeTargets(!p.coordinator.store.serves())
		var group errgroup.Group
		for _, address := range addresses {
			group.Go(func() error {
				probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				var reply AliveReply
				err := p.coordinator.pool.Call(probeCtx, address, rpcName+".Alive", struct{}{}, &reply)
				p.recordAnswer(address, err)
				// A late answer may still be written to the reply of a failed call.
				p.setStoreReachable(address, err == nil && reply.Stores)
				return nil
			})
		}
		// The functions return no errors.
		_ = group.Wait()
	})
}

// probeTargets returns the addresses of the entries to probe in this interval: those
// with calls under way and the unreachable ones that are due. If cutOff is set, the store
// does not answer this entry: those that can store jobs for it are probed too, and a
// sample of all others. The number of each kind is bounded.
func (p *entryPool) probeTargets(cutOff bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.coordinator.settings.clock.Now()
	chosen := map[string]bool{
		p.coordinator.settings.name: true,
	}
	var addresses []string
	for kind, limit := range [probeKinds]int{maxActiveProbes, maxDueProbes, maxRelayProbes, maxSampleProbes} {
		if !cutOff && kind >= relayProbes {
			break
		}
		cursor := p.probeCursors[kind]
		for i := range p.entries {
			index := (cursor + i) % len(p.entries)
			entry := p.entries[index]
			if limit == 0 {
				break
			}
			if chosen[entry.name] || !entry.needsProbe(kind, now) {
				continue
			}
			limit--
			chosen[entry.name] = true
			addresses = append(addresses, entry.address)
			p.probeCursors[kind] = index + 1
		}
	}
	return addresses
}

// The kinds of probes, in the order in which they are chosen.
const (
	activeProbes = iota
	dueProbes
	relayProbes
	sampleProbes
	probeKinds
)

// needsProbe reports whether the entry is to be probed for that reason.
func (e *entryState) needsProbe(kind int, now time.Time) bool {
	switch kind {
	case activeProbes:
		return e.activeCalls > 0
	case dueProbes:
		return e.unreachable && !now.Before(e.probeAt)
	case relayProbes:
		return e.storeReachable
	default:
		return true
	}
}

// setStoreReachable records whether the store answers an entry.
func (p *entryPool) setStoreReachable(address string, storeReachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.entries {
		if entry.address == address {
			entry.storeReachable = storeReachable
			entry.storeReachableAt = p.coordinator.settings.clock.Now()
		}
	}
}

// quickEntryCount returns how many of n entries make nothing but quick calls. For
// more than fewEntries entries, it is at least the count for fewEntries.
func quickEntryCount(n int) int {
	return max(int(quickShareFew*float64(min(n, fewEntries))), int(quickShareMany*float64(n)))
}

// divideByKind returns the available entries that make quick calls, and those that
// make long ones. Which kind an entry makes follows from its position among all
// known entries, so that owners that find different entries unreachable still
// agree, and each data centre has both kinds. If one kind has no entry left, the
// entries of the other make both. The caller holds mu.
func (p *entryPool) divideByKind(now time.Time) (quick, long []*entryState) {
	quickCount := quickEntryCount(len(p.entries))
	for i, entry := range p.entries {
		if entry.unreachable || now.Before(entry.suspendedUntil) {
			continue
		}
		if quickCount*(i+1)/len(p.entries) > quickCount*i/len(p.entries) {
			quick = append(quick, entry)
		} else {
			long = append(long, entry)
		}
	}
	if len(quick) == 0 {
		return long, long
	}
	if len(long) == 0 {
		return quick, quick
	}
	return quick, long
}

// callEnded updates the state of an entry after a call for advice that ended with
// err. busy is how long, according to the reply, the entry will be busy with calls
// of other owners. The caller holds mu.
func (p *entryPool) callEnded(entry *entryState, busy time.Duration, now time.Time, err error) {
	entry.activeCalls--
	if entry.activeCalls == 0 {
		entry.ownIdleAt = now
		entry.othersIdleAt = now.Add(busy)
	}
	switch {
	case errors.Is(err, errWithdrawn):
		// It shows nothing of the entry.
	case err == nil:
		entry.markReachable()
		entry.adviceFailures = 0
	case errors.Is(err, messenger.ErrUnreachable) && entry.name != p.coordinator.settings.name:
		entry.markUnreachable(now)
	default:
		// The adviser did not answer through this entry. Without the suspension,
		// the entry would look idle and be chosen for every next call.
		entry.suspendedUntil = now.Add(min(maxSuspension, minSuspension<<min(entry.adviceFailures, 5)))
		entry.adviceFailures++
	}
}

// resume is called when the store answers this entry again. What kept the store from it may
// have kept the adviser and other entries from it too, so those that are suspended get calls
// again, and those that are unreachable are due to be probed. The next failure costs as long
// a pause as before.
func (p *entryPool) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.coordinator.settings.clock.Now()
	for _, entry := range p.entries {
		entry.suspendedUntil = time.Time{}
		if entry.unreachable {
			entry.probeAt = now
		}
	}
}

// callTimeout returns the timeout of a call with the given expected duration.
func callTimeout(expected time.Duration) time.Duration {
	return min(adviceTimeout, expected+adviceMargin)
}

// adviseThrough makes a call for advice through the entry to which the call is
// assigned. The call ends early when that entry becomes unreachable, with an error
// marked with errWithdrawn.
func (p *entryPool) adviseThrough(ctx context.Context, call adviceCall, order scheduler.AskAdvice) (AdviseReply, error) {
	entry := call.entryState
	p.mu.Lock()
	disconnected := entry.disconnected
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout(call.expected))
	defer cancel()
	var watch errgroup.Group
	defer func() {
		cancel()
		// The watcher returns no error.
		_ = watch.Wait()
	}()
	watch.Go(func() error {
		select {
		case <-disconnected:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	var reply AdviseReply
	var err error
	if entry.name == p.coordinator.settings.name {
		reply, err = p.coordinator.adviceLimiter.call(ctx, AdviseArgs{
			Step:    order.Step,
			Workers: order.Workers,
			Cost:    order.Cost,
		})
	} else {
		err = p.coordinator.pool.Call(ctx, entry.address, rpcName+".Advise", AdviseArgs{
			Step:    order.Step,
			Workers: order.Workers,
			Cost:    order.Cost,
		}, &reply)
	}
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		err = fmt.Errorf("%w: %w", errWithdrawn, err)
	}
	return reply, err
}
