package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
)

const (
	// defaultSlots and defaultConnections are what a minion takes at once if
	// the host list does not say.
	defaultSlots       = 8
	defaultConnections = 64
	// ejectAfter is how many failures in a row eject a minion.
	ejectAfter = 3
	// firstEjection and longestEjection bound how long a minion stays ejected
	// before it is probed. The time doubles with each ejection in a row.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// refusalHold is how long a minion that said it is leaving gets nothing.
	refusalHold = 10 * time.Second
	// fullHold is how long a minion that said it is full gets nothing.
	fullHold = 50 * time.Millisecond
	// takeoverPatience is how long requests wait for the first answer of a
	// minion that was taken over.
	takeoverPatience = 500 * time.Millisecond
	// smoothing and poolSmoothing are the weights of the newest time of service
	// in the averages of a minion and of a service.
	smoothing     = 0.1
	poolSmoothing = 0.02
)

// minion is a minion as its owner sees it. The pool's lock guards it, save
// lease, which the connections read.
type minion struct {
	host connector.Host
	// slots is the most requests at the minion at once, over all entries.
	slots int
	// epoch is the sender's epoch, 0 if the minion is not owned now.
	epoch namer.Epoch
	// reservations are the requests of this owner that may run at the minion.
	// Together with foreign they never outnumber slots.
	reservations map[*reservation]struct{}
	// foreign is how many requests of former owners may still run. It only
	// falls while the minion is owned.
	foreign int
	// foreignUntil is when the last of them has certainly ended, zero while
	// the minion has not accepted the epoch.
	foreignUntil time.Time
	// taken is when the minion was taken over.
	taken time.Time
	// counts is set once the minion said how many of them run.
	counts bool
	// lease is when the right to send lapses, in nanoseconds since the router's
	// start: one term after the sending of the last accepted contact.
	lease atomic.Int64
	// probed is when the last probe was sent, probing whether it is under way.
	probed  time.Time
	probing bool

	// drained is set by an operator, leaving by the host list. Until hold the
	// minion gets nothing since it said so itself.
	drained bool
	leaving bool
	hold    time.Time

	// failures counts failures in a row.
	failures int
	// ejections counts ejections in a row. While ejected is set the minion
	// gets nothing; after that, while trial is set, one request at a time.
	ejections int
	ejected   bool
	ejectedTo time.Time
	trial     bool
	// latency is the average time of service in seconds, 0 if unknown.
	latency float64
}

// reservation holds one slot of a minion for one attempt. It is released on a
// known end, or when the attempt has certainly ended.
type reservation struct {
	minion *minion
	// name, address and connections are the minion's when the slot was
	// reserved.
	name        string
	address     string
	connections int
	epoch       namer.Epoch
	// made is when the slot was reserved, lapse when the attempt has certainly
	// ended at the minion whatever became of its answer.
	made  time.Time
	lapse time.Time
	// released is set once the slot is free again.
	released bool
	// abandoned is set once nobody waits for the attempt any more. Its answer
	// then says nothing about the minion.
	abandoned bool
	// lost is set once the answer was lost.
	lost bool
	// cancel ends the exchange.
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

// connections returns the most connections that this owner opens: a quarter
// of what the minion takes, so that those which former owners left behind and
// the minion has not yet closed fit beside them.
func (m *minion) connections() int {
	n := m.host.Connections
	if n <= 0 {
		n = defaultConnections
	}
	return max(1, n/4)
}

// take makes the process the owner of the minion in an epoch. If it owned the
// minion in the epoch before, it goes on with what it knows.
func (m *minion) take(epoch namer.Epoch, now time.Time) {
	held := m.epoch != 0 && m.epoch+1 == epoch
	m.epoch = epoch
	if held {
		return
	}
	m.foreign = m.slots
	m.foreignUntil = time.Time{}
	m.taken = now
	m.counts = false
	m.lease.Store(0)
	m.probed = time.Time{}
}

// cede ends the ownership. What is in flight ends as it would have.
func (m *minion) cede() {
	m.epoch = 0
	m.lease.Store(0)
}

// open reports whether the minion may get something new, if it has a slot.
func (m *minion) open(now time.Time, since int64) bool {
	return m.usable(now) && since < m.lease.Load()
}

// usable reports whether the minion may get something new, as far as it is not
// a matter of its lease and its slots.
func (m *minion) usable(now time.Time) bool {
	return m.epoch != 0 && !m.drained && !m.leaving && !m.ejected && !now.Before(m.hold)
}

// prospect returns how many slots the minion can be expected to give, now or
// soon: those that its own requests hold, and after a takeover those that it
// will tell of at once.
func (m *minion) prospect(now time.Time, since int64) int {
	fresh := m.lease.Load() == 0 && now.Sub(m.taken) < takeoverPatience
	switch {
	case !m.usable(now), !fresh && since >= m.lease.Load():
		return 0
	case fresh:
		return m.slots
	case m.counts:
		return m.slots - m.stuck()
	default:
		return max(0, m.slots-m.foreign-m.stuck())
	}
}

// stuck counts the slots of attempts whose answers are lost or not waited for.
func (m *minion) stuck() int {
	n := 0
	for r := range m.reservations {
		if r.lost || r.abandoned {
			n++
		}
	}
	return n
}

// free returns how many slots may be reserved now.
func (m *minion) free(now time.Time, since int64) int {
	if !m.open(now, since) {
		return 0
	}
	if m.trial && len(m.reservations) > 0 {
		return 0
	}
	return max(0, m.slots-len(m.reservations)-m.foreign)
}

// accepted notes that the minion accepted the epoch in an exchange that was
// sent at a time.
func (m *minion) accepted(epoch namer.Epoch, lease int64, now time.Time, older int, rest time.Duration) {
	if epoch != m.epoch {
		return
	}
	if lease > m.lease.Load() {
		m.lease.Store(lease)
	}
	if m.foreignUntil.IsZero() {
		m.foreignUntil = now.Add(rest)
	}
	if older >= 0 {
		m.counts = true
		m.foreign = min(m.foreign, older)
	}
}

// decline notes that the minion refused a request.
func (m *minion) decline(e declined, now time.Time) {
	switch e.why {
	case declinedLeaving:
		m.hold = now.Add(refusalHold)
	default:
		m.hold = now.Add(fullHold)
	}
}

// succeeded notes an answer of the minion.
func (m *minion) succeeded(service time.Duration) {
	m.failures = 0
	m.trial = false
	m.ejections = 0
	m.latency = average(m.latency, service.Seconds(), smoothing)
}

// failed notes a failure and reports whether the minion has failed often
// enough to be ejected.
func (m *minion) failed() bool {
	m.failures++
	return m.trial || m.failures >= ejectAfter
}

// eject keeps the minion from getting anything until a probe succeeds.
func (m *minion) eject(now time.Time) {
	m.ejected = true
	m.trial = false
	m.ejectedTo = now.Add(min(longestEjection, firstEjection<<min(m.ejections, 8)))
	m.ejections++
}

// readmit lets the minion be tried after a probe has succeeded.
func (m *minion) readmit() {
	m.ejected = false
	m.trial = true
	m.failures = 0
}

func average(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}
