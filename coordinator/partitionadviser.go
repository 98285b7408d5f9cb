package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/scheduler"
)

// partitionAdviser makes the calls for advice of the owner of one partition,
// through the entries of the pool. Each owner prefers the entries of its own
// segment, so that owners that are all busy do not wait for each other.
type partitionAdviser struct {
	entryPool *entryPool
	partition int
	// window bounds the long calls beyond the owner's share. It is guarded by
	// entryPool.mu.
	window window
	// lines limits the log lines on calls. It is guarded by entryPool.mu.
	lines map[adviceLineKind]*adviceLines
}

var _ conductor.Adviser = (*partitionAdviser)(nil)

// adviserFor returns the adviser for the owner of a partition.
func (p *entryPool) adviserFor(partition int) *partitionAdviser {
	return &partitionAdviser{
		entryPool: p,
		partition: partition,
		lines:     make(map[adviceLineKind]*adviceLines),
	}
}

// errBusy is returned if the last entry that was tried refused the call because it
// has too many calls under way.
var errBusy = errors.New("coordinator: the entry has too many calls for advice under way")

// errWithdrawn marks the error of a call that this process ended before its timeout, as the owner has
// lost its partition or the entry has become unreachable.
var errWithdrawn = errors.New("coordinator: the call for advice was withdrawn")

// adviceCall is a call for advice that was assigned to an entry.
type adviceCall struct {
	entryState *entryState
	cost       time.Duration
	sentAt     time.Time
	// expected is how long the answer should take if no calls of other owners are
	// ahead of it.
	expected time.Duration
	// foreign reports whether the entry lies outside the segment of the calling
	// owner, and thus in that of another owner.
	foreign bool
}

// AdviceLimits implements conductor.Adviser. An owner may make as many long calls at once
// as its share of the entries for long calls, and up to one for each of these
// entries while the calls beyond its share do not wait behind calls of other
// owners.
func (a *partitionAdviser) AdviceLimits() (quick, long int) {
	_, owners := a.rank()
	a.entryPool.mu.Lock()
	defer a.entryPool.mu.Unlock()
	quickEntries, longEntries := a.entryPool.divideByKind(a.entryPool.coordinator.settings.clock.Now())
	share, initial := longCallShare(len(longEntries), owners)
	return ceilShare(quickCallsPerEntry*len(quickEntries), owners), min(len(longEntries), share+a.window.size(initial))
}

// quickCallsPerEntry is the number of quick calls per entry that are divided among
// the owners. Quick calls are short, and about half of the owners have none to
// make, so that about two are under way in each entry.
const quickCallsPerEntry = 4

// longCallShare returns an owner's share of n entries, and how many calls beyond
// that share the owner may make at first. With this initial number, a call waits
// behind one other call on average if all owners start at once.
func longCallShare(n, owners int) (share, initial int) {
	share = ceilShare(n, owners)
	return share, ceilShare(2*n, owners) - share
}

// rank returns the rank of this owner among the owners, and the number of
// owners.
func (a *partitionAdviser) rank() (rank, owners int) {
	rank, owners = a.entryPool.coordinator.shards.rank(a.partition)
	return rank, max(minOwners, owners)
}

// ceilShare returns one owner's share of the calls, rounded up.
func ceilShare(calls, owners int) int {
	return (calls + owners - 1) / owners
}

// minOwners is the smallest number of owners among which the entries are divided:
// an owner that starts may not know of another one yet.
const minOwners = 2

// segment returns the index of the first of n entries in the segment of the owner
// with that rank, and the index of the first entry after the segment.
func segment(rank, owners, n int) (first, next int) {
	return rank * n / owners, (rank + 1) * n / owners
}

// beginCall assigns a call to one of the entries that make calls of its kind: to
// the one with the fewest active calls and, among several such entries, to the one
// that should be idle first. It returns false if there is no entry.
func (a *partitionAdviser) beginCall(cost time.Duration) (adviceCall, bool) {
	rank, owners := a.rank()
	a.entryPool.mu.Lock()
	defer a.entryPool.mu.Unlock()
	now := a.entryPool.coordinator.settings.clock.Now()
	quick, long := a.entryPool.divideByKind(now)
	candidates := preferredOrder(long, rank, owners)
	if cost <= scheduler.MaxQuickCallDuration {
		// Any entry for quick calls will do: a quick call waits behind another one
		// for a short time only.
		candidates = quick
		rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	}
	if len(candidates) == 0 {
		return adviceCall{}, false
	}
	best := 0
	for i, candidate := range candidates {
		// The number of active calls is compared first. An entry whose call is
		// overdue has an idle time in the past but is not idle: the call waits
		// behind those of other owners.
		current := candidates[best]
		if candidate.activeCalls < current.activeCalls || candidate.activeCalls == current.activeCalls && candidate.idleAt().Before(current.idleAt()) && current.idleAt().After(now) {
			best = i
		}
	}
	first, next := segment(rank, owners, len(long))
	call := candidates[best].begin(cost, now)
	call.foreign = best >= next-first
	return call, true
}

// preferredOrder sorts the entries for the owner with that rank: the owner's
// segment first, then the others, beginning with those that their owners use last.
func preferredOrder(entries []*entryState, rank, owners int) []*entryState {
	first, next := segment(rank, owners, len(entries))
	sorted := slices.Clone(entries[first:next])
	rest := slices.Concat(entries[next:], entries[:first])
	slices.Reverse(rest)
	return append(sorted, rest...)
}

// begin counts a call to the entry and adds its cost to the time at which the entry
// should be idle.
func (e *entryState) begin(cost time.Duration, now time.Time) adviceCall {
	if e.ownIdleAt.Before(now) {
		e.ownIdleAt = now
	}
	e.ownIdleAt = e.ownIdleAt.Add(cost)
	e.activeCalls++
	return adviceCall{
		entryState: e,
		cost:       cost,
		sentAt:     now,
		expected:   e.ownIdleAt.Sub(now),
	}
}

// endCall records the outcome of a call: it adjusts the window and the state of the
// entry that made the call.
func (a *partitionAdviser) endCall(call adviceCall, reply AdviseReply, err error) {
	_, owners := a.rank()
	a.entryPool.mu.Lock()
	defer a.entryPool.mu.Unlock()
	now := a.entryPool.coordinator.settings.clock.Now()
	// A failure to reach the entry does not show whether calls wait behind those
	// of other owners.
	informative := err == nil || errors.Is(err, context.DeadlineExceeded)
	if call.cost > scheduler.MaxQuickCallDuration && informative {
		waited := now.Sub(call.sentAt) - call.expected
		prompt := err == nil && !reply.Refused && waited <= time.Duration(maxPromptWait*float64(call.cost))
		_, long := a.entryPool.divideByKind(now)
		_, initial := longCallShare(len(long), owners)
		a.window.callEnded(prompt, call.foreign, initial, len(long))
	}
	a.entryPool.callEnded(call.entryState, reply.Busy, now, err)
}

// Advise implements conductor.Adviser. A call without an answer is repeated through
// another entry, up to adviceTries times, as it changes nothing at the adviser.
func (a *partitionAdviser) Advise(ctx context.Context, order scheduler.AskAdvice) ([]scheduler.Approval, time.Duration, error) {
	clock := a.entryPool.coordinator.settings.clock
	began := clock.Now()
	var tries []adviceTry
	defer func() { a.logTries(order, began, tries) }()
	err := errors.New("coordinator: no entry can ask the adviser")
	for range adviceTries {
		call, found := a.beginCall(order.Cost)
		if !found {
			break
		}
		var reply AdviseReply
		reply, err = a.entryPool.adviseThrough(ctx, call, order)
		a.endCall(call, reply, err)
		if err == nil && reply.Refused {
			err = errBusy
		}
		tries = append(tries, adviceTry{
			entry: call.entryState.name,
			took:  clock.Now().Sub(call.sentAt),
			err:   err,
		})
		if err == nil {
			return reply.Approved, reply.Validity, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, 0, err
}
