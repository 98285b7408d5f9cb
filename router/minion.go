package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
)

const (
	// defaultSlots and defaultConnections are the limits of a minion for which
	// the host list gives none.
	defaultSlots       = 8
	defaultConnections = 64
	// ejectAfter is the number of consecutive failures that ejects a minion.
	ejectAfter = 3
	// minEjection and maxEjection bound how long a minion stays ejected before it
	// is probed. The time doubles with each consecutive ejection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// leavingHold is how long a minion that refused because it is leaving gets no
	// new requests.
	leavingHold = 10 * time.Second
	// fullHold is how long a minion that refused for another reason, such as being
	// full, gets no new requests.
	fullHold = 50 * time.Millisecond
	// takeoverAnswerWait is how long after a takeover all slots of a minion that
	// has not answered yet count as expected.
	takeoverAnswerWait = 500 * time.Millisecond
	// minionSmoothing and poolSmoothing are the weights of the newest service time
	// in the moving averages of a minion and of a service.
	minionSmoothing = 0.1
	poolSmoothing   = 0.02
)

// minion is the state of one minion at its owner. The pool's mutex guards all fields
// except leaseExpiry, which the connections read without it.
type minion struct {
	host connector.Host
	// slots is the maximum number of requests at the minion at once, from all
	// entries.
	slots int
	// epoch is the epoch in which the minion is owned, 0 if it is not owned now.
	epoch namer.Epoch
	// reservations are the requests of this owner that may run at the minion. The
	// sum of their number and olderRequests never exceeds slots.
	reservations map[*reservation]struct{}
	// olderRequests is the maximum number of requests of former owners that may
	// still run at the minion. It never rises while the minion is owned.
	olderRequests int
	// olderExpiry is the time by which the older requests have certainly ended. It
	// is zero until the minion has accepted the epoch.
	olderExpiry time.Time
	// takenOverAt is when this process became the owner.
	takenOverAt time.Time
	// reportsOlder is set once the minion has reported its number of older
	// requests.
	reportsOlder bool
	// leaseExpiry is when the right to send expires, in nanoseconds since the
	// router's start: one lease term after the sending of the last request or
	// probe that the minion accepted. It is 0 if there was none since the takeover.
	leaseExpiry atomic.Int64
	// lastProbeAt is when the last probe was sent.
	lastProbeAt   time.Time
	probeInFlight bool

	// drained is set by an operator, leaving by the host list. After a refusal by
	// the minion itself, the minion gets no new requests until holdUntil.
	drained   bool
	leaving   bool
	holdUntil time.Time

	// failures is the number of consecutive failures.
	failures int
	// ejections is the number of consecutive ejections. While ejected is set the
	// minion gets no requests; afterwards, while onTrial is set, it gets one
	// request at a time.
	ejections    int
	ejected      bool
	ejectedUntil time.Time
	onTrial      bool
	// latency is the average service time in seconds, 0 if unknown.
	latency float64
}

// reservation holds one slot of a minion for one attempt. It is released when the
// attempt is known to have ended, or at its expiry.
type reservation struct {
	minion *minion
	// name, address and maxConnections are those of the minion at the time of the
	// reservation.
	name           string
	address        string
	maxConnections int
	epoch          namer.Epoch
	// reservedAt is when the slot was reserved. expiry is when the attempt has
	// certainly ended at the minion, even if its answer was lost.
	reservedAt time.Time
	expiry     time.Time
	// released is set once the slot is free again.
	released bool
	// abandoned is set once nobody waits for the attempt any more. Its answer then
	// does not count for the minion's latency and failures.
	abandoned bool
	// lost is set once the answer was lost.
	lost bool
	// cancel ends the exchange with the minion.
	cancel context.CancelFunc
}

func newMinion(host connector.Host) *minion {
	m := &minion{
		host:         host,
		reservations: make(map[*reservation]struct{}),
	}
	m.setHost(host)
	return m
}

func (m *minion) setHost(host connector.Host) {
	m.host = host
	m.leaving = host.State == connector.HostLeaving
	m.slots = host.Slots
	if m.slots <= 0 {
		m.slots = defaultSlots
	}
}

// maxConnections returns the most connections that this owner opens: a quarter of
// what the minion accepts. The connections of former owners, which the minion may
// not have closed yet, need the rest.
func (m *minion) maxConnections() int {
	n := m.host.Connections
	if n <= 0 {
		n = defaultConnections
	}
	return max(1, n/4)
}

// takeOver makes this process the owner of the minion in an epoch. If it was the
// owner in the epoch before, it keeps its state. Otherwise it assumes that every
// slot may still be in use by requests of former owners.
func (m *minion) takeOver(epoch namer.Epoch, now time.Time) {
	ownedBefore := m.epoch != 0 && m.epoch+1 == epoch
	m.epoch = epoch
	if ownedBefore {
		return
	}
	m.olderRequests = m.slots
	m.olderExpiry = time.Time{}
	m.takenOverAt = now
	m.reportsOlder = false
	m.leaseExpiry.Store(0)
	m.lastProbeAt = time.Time{}
}

// cede ends the ownership. Requests in flight are not cancelled.
func (m *minion) cede() {
	m.epoch = 0
	m.leaseExpiry.Store(0)
}

// isOpen reports whether the minion is usable and its lease is valid.
func (m *minion) isOpen(now time.Time, sinceStart int64) bool {
	return m.isUsable(now) && sinceStart < m.leaseExpiry.Load()
}

// isUsable reports whether the minion may get new requests, leaving aside its lease
// and its free slots.
func (m *minion) isUsable(now time.Time) bool {
	return m.epoch != 0 && !m.drained && !m.leaving && !m.ejected && !now.Before(m.holdUntil)
}

// expectedSlots returns the number of slots that are or will soon be free. Slots
// reserved by this owner count, except stuck ones. Slots that requests of former
// owners may hold count in two cases: just after a takeover, because the minion is
// expected to report the number of such requests at once, and after that report.
func (m *minion) expectedSlots(now time.Time, sinceStart int64) int {
	justTakenOver := m.leaseExpiry.Load() == 0 && now.Sub(m.takenOverAt) < takeoverAnswerWait
	switch {
	case !m.isUsable(now), !justTakenOver && sinceStart >= m.leaseExpiry.Load():
		return 0
	case justTakenOver:
		return m.slots
	case m.reportsOlder:
		return max(0, m.slots-m.stuckSlots())
	default:
		return max(0, m.slots-m.olderRequests-m.stuckSlots())
	}
}

// stuckSlots counts the slots of attempts whose answer is lost or not awaited.
func (m *minion) stuckSlots() int {
	n := 0
	for r := range m.reservations {
		if r.lost || r.abandoned {
			n++
		}
	}
	return n
}

// freeSlots returns how many slots may be reserved now.
func (m *minion) freeSlots(now time.Time, sinceStart int64) int {
	if !m.isOpen(now, sinceStart) {
		return 0
	}
	if m.onTrial && len(m.reservations) > 0 {
		return 0
	}
	return max(0, m.slots-len(m.reservations)-m.olderRequests)
}

// recordAccepted records that the minion accepted the epoch in an exchange that
// extends the lease to leaseExpiry. older is the number of older requests that the
// minion reported, or -1.
func (m *minion) recordAccepted(epoch namer.Epoch, leaseExpiry int64, now time.Time, older int, takeoverWait time.Duration) {
	if epoch != m.epoch {
		return
	}
	if leaseExpiry > m.leaseExpiry.Load() {
		m.leaseExpiry.Store(leaseExpiry)
	}
	if m.olderExpiry.IsZero() {
		m.olderExpiry = now.Add(takeoverWait)
	}
	if older >= 0 {
		m.reportsOlder = true
		m.olderRequests = min(m.olderRequests, older)
	}
}

// recordRefusal holds back new requests after the minion refused one.
func (m *minion) recordRefusal(e declined, now time.Time) {
	switch e.reason {
	case declinedLeaving:
		m.holdUntil = now.Add(leavingHold)
	default:
		m.holdUntil = now.Add(fullHold)
	}
}

// recordSuccess records an answer of the minion.
func (m *minion) recordSuccess(serviceTime time.Duration) {
	m.failures = 0
	m.onTrial = false
	m.ejections = 0
	m.latency = movingAverage(m.latency, serviceTime.Seconds(), minionSmoothing)
}

// recordFailure records a failure and reports whether there were enough of them to
// eject the minion.
func (m *minion) recordFailure() bool {
	m.failures++
	return m.onTrial || m.failures >= ejectAfter
}

// eject stops new requests to the minion until a probe succeeds.
func (m *minion) eject(now time.Time) {
	m.ejected = true
	m.onTrial = false
	m.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(m.ejections, 8)))
	m.ejections++
}

// readmit puts the minion on trial after a probe has succeeded.
func (m *minion) readmit() {
	m.ejected = false
	m.onTrial = true
	m.failures = 0
}

func movingAverage(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}
