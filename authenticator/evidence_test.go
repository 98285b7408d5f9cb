package authenticator_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/timekeeper"
)

const bound = 5 * time.Second

// fixture is the evidence of one entry and its clock.
type fixture struct {
	*qt.C

	clock    *timekeeper.FakeBoot
	evidence *authenticator.Evidence
}

func newFixture(t *testing.T) fixture {
	clock := timekeeper.NewFakeBoot(time.Hour)
	evidence := authenticator.NewEvidence(clock)
	evidence.SetBound(true, bound)
	return fixture{
		C:        qt.New(t),
		clock:    clock,
		evidence: evidence,
	}
}

// readConfig observes an answer that contains a version and reached the end.
func (f fixture) readConfig(sentAt time.Duration, version int64) {
	f.evidence.ObserveRead(authenticator.ReadResult{
		SentAt:     sentAt,
		ReachedEnd: true,
		HasConfig:  true,
		Version:    version,
	}, version)
}

// readNothing observes an answer without records.
func (f fixture) readNothing(sentAt time.Duration, inForce int64) {
	f.evidence.ObserveRead(authenticator.ReadResult{
		SentAt:     sentAt,
		ReachedEnd: true,
	}, inForce)
}

// readUndecodable observes an answer whose last configuration cannot be decoded.
func (f fixture) readUndecodable(inForce int64) {
	f.evidence.ObserveRead(authenticator.ReadResult{
		SentAt:      f.clock.SinceBoot(),
		ReachedEnd:  true,
		HasConfig:   true,
		Undecodable: true,
	}, inForce)
}

func (f fixture) checkAge(want time.Duration) {
	age, known := f.evidence.Age()
	f.Assert(known, qt.IsTrue)
	f.Assert(age, qt.Equals, want)
}

// TestEvidenceOutlivesItsBound guards against accepting keys for longer than 0.9 of the
// bound while the store does not answer, and against a late report that the entry is not
// ready.
func TestEvidenceOutlivesItsBound(t *testing.T) {
	f := newFixture(t)
	f.readConfig(f.clock.SinceBoot(), 1)
	f.clock.Advance(3*time.Second - 1)
	f.Assert(f.evidence.Aging(), qt.IsFalse)
	f.clock.Advance(1)
	f.Assert(f.evidence.Aging(), qt.IsTrue)
	f.clock.Advance(1500*time.Millisecond - 1)
	f.Assert(f.evidence.Valid(), qt.IsTrue)
	f.clock.Advance(1)
	f.Assert(f.evidence.Valid(), qt.IsFalse)
	f.readNothing(f.clock.SinceBoot(), 1)
	f.Assert(f.evidence.Valid(), qt.IsTrue)
	f.Assert(f.evidence.Aging(), qt.IsFalse)
}

// TestRestartedEntryHasEvidence guards against accepting keys before the store or a peer
// has answered.
func TestRestartedEntryHasEvidence(t *testing.T) {
	f := newFixture(t)
	f.Assert(f.evidence.Valid(), qt.IsFalse)
	f.Assert(f.evidence.Aging(), qt.IsTrue)
	// An answer without records is about the configuration that an earlier answer or a
	// peer supplied, of which this entry has read nothing yet.
	f.readNothing(f.clock.SinceBoot(), 7)
	f.Assert(f.evidence.Valid(), qt.IsFalse)
}

// TestKeysNeedEvidenceWithoutStrictRevocation guards against refusing keys where the
// settings do not ask for it.
func TestKeysNeedEvidenceWithoutStrictRevocation(t *testing.T) {
	f := newFixture(t)
	f.evidence.SetBound(false, bound)
	f.Assert(f.evidence.Valid(), qt.IsTrue)
	f.Assert(f.evidence.Aging(), qt.IsFalse)
}

// TestLateAnswerCountsFromItsArrival guards against taking the time at which an answer
// arrived for the time at which the configuration was the newest.
func TestLateAnswerCountsFromItsArrival(t *testing.T) {
	f := newFixture(t)
	sentAt := f.clock.SinceBoot()
	f.clock.Advance(10 * time.Second)
	f.readConfig(sentAt, 1)
	f.checkAge(10 * time.Second)
	f.Assert(f.evidence.Valid(), qt.IsFalse)
}

// TestEvidenceGoesBack guards against a late answer that replaces more recent evidence.
func TestEvidenceGoesBack(t *testing.T) {
	f := newFixture(t)
	sentAt := f.clock.SinceBoot()
	f.clock.Advance(2 * time.Second)
	f.readConfig(f.clock.SinceBoot(), 1)
	f.readNothing(sentAt, 1)
	f.checkAge(0)
}

// TestPartOfThePartitionIsEvidence guards against evidence from an answer that the store
// cut off before the end: the newest record may be in the rest.
func TestPartOfThePartitionIsEvidence(t *testing.T) {
	f := newFixture(t)
	f.evidence.ObserveRead(authenticator.ReadResult{
		SentAt:    f.clock.SinceBoot(),
		HasConfig: true,
		Version:   1,
	}, 1)
	f.Assert(f.evidence.Valid(), qt.IsFalse)
	f.readNothing(f.clock.SinceBoot(), 1)
	f.Assert(f.evidence.Valid(), qt.IsTrue)
}

// TestConfigurationNotInForceIsEvidence guards against evidence for a configuration other
// than the one in force, such as an older one that was written later.
func TestConfigurationNotInForceIsEvidence(t *testing.T) {
	f := newFixture(t)
	f.evidence.ObserveRead(authenticator.ReadResult{
		SentAt:     f.clock.SinceBoot(),
		ReachedEnd: true,
		HasConfig:  true,
		Version:    4,
	}, 5)
	f.Assert(f.evidence.Valid(), qt.IsFalse)
	f.readNothing(f.clock.SinceBoot(), 5)
	f.Assert(f.evidence.Valid(), qt.IsFalse)
}

// TestUndecodableConfigurationLeavesEvidence guards against accepting keys by an older
// configuration while the newest one cannot be decoded.
func TestUndecodableConfigurationLeavesEvidence(t *testing.T) {
	f := newFixture(t)
	f.readConfig(f.clock.SinceBoot(), 1)
	f.readUndecodable(1)
	f.Assert(f.evidence.Valid(), qt.IsFalse)
	// Neither the following empty reads nor peers with the old configuration change that.
	f.readNothing(f.clock.SinceBoot(), 1)
	f.evidence.ObservePeer(authenticator.PeerResult{
		CalledAt: f.clock.SinceBoot(),
		Version:  1,
	}, 1)
	f.Assert(f.evidence.Valid(), qt.IsFalse)
	// A peer of another release that decoded it does.
	f.evidence.ObservePeer(authenticator.PeerResult{
		CalledAt: f.clock.SinceBoot(),
		Version:  2,
	}, 2)
	f.Assert(f.evidence.Valid(), qt.IsTrue)
	f.readUndecodable(2)
	f.Assert(f.evidence.Valid(), qt.IsFalse)
	f.readConfig(f.clock.SinceBoot(), 3)
	f.Assert(f.evidence.Valid(), qt.IsTrue)
}

// TestEvidenceGetsYoungerOnItsWay guards against evidence that is relayed through two
// peers and loses the duration of a call, or the time spent at a peer.
func TestEvidenceGetsYoungerOnItsWay(t *testing.T) {
	// The clocks of the hosts show different times.
	reader, relay, last := newFixture(t), newFixture(t), newFixture(t)
	relay.clock.Advance(time.Minute)
	last.clock.Advance(time.Hour)
	pass := func(d time.Duration) {
		for _, f := range []fixture{reader, relay, last} {
			f.clock.Advance(d)
		}
	}
	ask := func(from, to fixture) {
		calledAt := from.clock.SinceBoot()
		pass(200 * time.Millisecond)
		age, known := to.evidence.Age()
		from.Assert(known, qt.IsTrue)
		pass(300 * time.Millisecond)
		from.evidence.ObservePeer(authenticator.PeerResult{
			CalledAt: calledAt,
			Version:  1,
			Age:      age,
		}, 1)
	}
	reader.readConfig(reader.clock.SinceBoot(), 1)
	pass(time.Second)
	ask(relay, reader)
	// 1.5 s have passed, and 0.2 s of the call that the peer's age includes too.
	relay.checkAge(1700 * time.Millisecond)
	pass(time.Second)
	ask(last, relay)
	last.checkAge(3400 * time.Millisecond)
	last.Assert(last.evidence.Valid(), qt.IsTrue)
	pass(1100 * time.Millisecond)
	last.Assert(last.evidence.Valid(), qt.IsFalse)
	reader.Assert(reader.evidence.Valid(), qt.IsTrue)
}

// TestPeerVouchesForAnotherConfiguration guards against evidence from a peer whose
// configuration is not the one in force here, or whose age makes no sense.
func TestPeerVouchesForAnotherConfiguration(t *testing.T) {
	f := newFixture(t)
	f.evidence.ObservePeer(authenticator.PeerResult{
		CalledAt: f.clock.SinceBoot(),
		Version:  2,
	}, 1)
	f.evidence.ObservePeer(authenticator.PeerResult{
		CalledAt: f.clock.SinceBoot(),
		Version:  1,
		Age:      -time.Hour,
	}, 1)
	f.Assert(f.evidence.Valid(), qt.IsFalse)
}

// TestAbsurdAgeIsEvidence guards against a peer's answer whose age overflows and then
// counts as recent.
func TestAbsurdAgeIsEvidence(t *testing.T) {
	f := newFixture(t)
	for _, age := range []time.Duration{math.MaxInt64, math.MaxInt64 - 1, -1} {
		f.evidence.ObservePeer(authenticator.PeerResult{
			CalledAt: f.clock.SinceBoot(),
			Version:  1,
			Age:      age,
		}, 1)
		f.Assert(f.evidence.Valid(), qt.IsFalse)
	}
}
