package authenticator

import (
	"sync"
	"time"

	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// validFraction is the fraction of the revocation bound for which evidence is valid.
	// The rest is a margin for differences in the rate of clocks.
	validFraction = 0.9
	// agingFraction is the fraction of the bound from which evidence counts as aging, so
	// that callers can be directed elsewhere before it ends.
	agingFraction = 0.6
	// maxPeerAge is the greatest age that is taken from a peer. A greater one is of no
	// use, and could overflow.
	maxPeerAge = time.Hour
)

// Evidence is what is known about the last time at which the configuration in force was
// the newest one. It is safe for concurrent use.
//
// All times are those of a boot-time clock, so that a time for which the host was
// suspended counts.
type Evidence struct {
	clock timekeeper.BootClock

	mu sync.Mutex
	// strict is whether keys are accepted only with valid evidence, and bound the time
	// within which a revoked key must stop working.
	strict bool
	bound  time.Duration
	// at is the time at which the configuration in force is known to have been the
	// newest. It is meaningless unless known is set, and never goes back while it is.
	known bool
	at    time.Duration
	// lastRead is the version of the last configuration record that was read from the
	// store, if hasLastRead is set.
	hasLastRead bool
	lastRead    int64
	// blocked is set while the last configuration record that was read cannot be
	// decoded. blockedVersion is the version that was in force when it was read.
	blocked        bool
	blockedVersion int64
}

// NewEvidence returns evidence that does not exist yet and is not required.
func NewEvidence(clock timekeeper.BootClock) *Evidence {
	return &Evidence{
		clock: clock,
	}
}

// SetBound sets whether keys are accepted only with valid evidence, and the time within
// which a revoked key must stop working.
func (e *Evidence) SetBound(strict bool, bound time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.strict = strict
	e.bound = bound
}

// Bound returns the time within which a revoked key must stop working, and whether that
// is required.
func (e *Evidence) Bound() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bound, e.strict
}

// ReadResult is the part of an answer of the store that matters as evidence.
type ReadResult struct {
	// SentAt is the boot time before the request was sent.
	SentAt time.Duration
	// ReachedEnd is whether the answer contains all records up to the end that the
	// partition had.
	ReachedEnd bool
	// HasConfig is whether the answer contains a configuration record. Undecodable is
	// whether the last one of them cannot be decoded, and Version its version
	// otherwise.
	HasConfig   bool
	Undecodable bool
	Version     int64
}

// ObserveRead takes an answer of the store into account. It must be called once the
// configuration that the answer contains is in force. inForce is the version in force.
//
// The answer is evidence if it reached the end of the partition and the last
// configuration record read is the one in force. It shows that no later record existed
// when the request was sent; it says nothing about the time at which it arrived.
func (e *Evidence) ObserveRead(result ReadResult, inForce int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case result.HasConfig && result.Undecodable:
		e.known = false
		e.hasLastRead = false
		e.blocked = true
		e.blockedVersion = inForce
		return
	case result.HasConfig:
		e.hasLastRead = true
		e.lastRead = result.Version
		e.blocked = false
	}
	if result.ReachedEnd && e.hasLastRead && e.lastRead == inForce {
		e.advanceTo(result.SentAt)
	}
}

// PeerResult is the part of a peer's answer that matters as evidence.
type PeerResult struct {
	// CalledAt is the boot time of this host before the call was made.
	CalledAt time.Duration
	// Version is the version in force at the peer, and Age the age of its evidence.
	Version int64
	Age     time.Duration
}

// ObservePeer takes the evidence of a peer into account. It must be called once the
// peer's configuration is in force, unless a later one is. inForce is the version in
// force.
//
// The whole duration of the call is added to the peer's age, as the peer may have
// determined it at any time in between. While the newest record cannot be decoded here,
// only a configuration later than the one that was in force then is accepted: its peer
// was able to decode that record.
func (e *Evidence) ObservePeer(result PeerResult, inForce int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if result.Age < 0 || result.Age > maxPeerAge || result.Version != inForce || e.blocked && result.Version <= e.blockedVersion {
		return
	}
	e.advanceTo(result.CalledAt - result.Age)
}

// advanceTo records evidence from a time, unless later evidence is known. The caller
// holds mu.
func (e *Evidence) advanceTo(at time.Duration) {
	if !e.known || at > e.at {
		e.known = true
		e.at = at
	}
}

// Age returns the age of the evidence, and false if there is none.
func (e *Evidence) Age() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.age()
}

// age is Age for a caller that holds mu.
func (e *Evidence) age() (time.Duration, bool) {
	if !e.known {
		return 0, false
	}
	return e.clock.SinceBoot() - e.at, true
}

// Valid reports whether keys may be accepted. A caller must read the configuration after
// the call: evidence is about the configuration that is in force when it is checked, or
// a later one.
func (e *Evidence) Valid() bool {
	return e.youngerThan(validFraction)
}

// Aging reports whether the evidence may soon end or has ended.
func (e *Evidence) Aging() bool {
	return !e.youngerThan(agingFraction)
}

// youngerThan reports whether the evidence is younger than a fraction of the bound, or
// not required.
func (e *Evidence) youngerThan(fraction float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.strict {
		return true
	}
	age, known := e.age()
	return known && age < time.Duration(fraction*float64(e.bound))
}
