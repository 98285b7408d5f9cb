package coordinator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// TestEntryCutOffFromTheStoreAcceptsKeys guards against a revoked key that keeps working
// at an entry that a network partition cuts off, and against an entry that tells the
// balancer too late.
func TestEntryCutOffFromTheStoreAcceptsKeys(t *testing.T) {
	s := newEvidenceSite(t)
	s.configure(1, "k1")
	e := s.start("a")
	e.checkStatus("k1", http.StatusServiceUnavailable)
	e.read()
	e.checkStatus("k1", http.StatusOK)
	e.store.failure = storer.ErrUnavailable
	s.configure(2)
	s.pass(2999 * time.Millisecond)
	e.read()
	s.Assert(e.notReadyReason(), qt.Not(qt.Contains), "evidence")
	s.pass(time.Millisecond)
	s.Assert(e.notReadyReason(), qt.Contains, "evidence")
	e.checkStatus("k1", http.StatusOK)
	s.pass(1500 * time.Millisecond)
	e.read()
	e.checkStatus("k1", http.StatusServiceUnavailable)
	e.checkStatus("", http.StatusUnauthorized)
	s.Assert(e.status("/open/", ""), qt.Equals, http.StatusOK)
	e.store.failure = nil
	e.read()
	e.checkStatus("k1", http.StatusUnauthorized)
	s.Assert(e.notReadyReason(), qt.Not(qt.Contains), "evidence")
}

// TestLongReadIsEvidenceBeforeItReturns guards against counting a read from its answer,
// or one that has no answer at all.
func TestLongReadIsEvidenceBeforeItReturns(t *testing.T) {
	s := newEvidenceSite(t)
	s.configure(1, "k1")
	e := s.start("a")
	e.read()
	e.store.during = func() {
		// The store has answered, but the answer does not arrive.
		s.pass(4500 * time.Millisecond)
		s.configure(2)
		e.checkStatus("k1", http.StatusServiceUnavailable)
	}
	e.read()
	e.checkAge(4500 * time.Millisecond)
	e.checkStatus("k1", http.StatusServiceUnavailable)
	e.store.during = nil
	e.read()
	e.checkStatus("k1", http.StatusUnauthorized)
	// The first answer, which holds the newest records, counts in the same way.
	late := s.start("b")
	late.store.during = func() { s.pass(time.Second) }
	late.read()
	late.checkAge(time.Second)
}

// TestReadsOfOrganisationsAreTooLong guards against reads that last so long that the
// evidence is always old enough to ask peers.
func TestReadsOfOrganisationsAreTooLong(t *testing.T) {
	s := newEvidenceSite(t)
	e := s.start("a")
	e.read()
	e.read()
	s.configure(1, "k1")
	e.read()
	e.read()
	e.SetRevocation(true, time.Second)
	e.read()
	s.Assert(e.store.waits, qt.DeepEquals, []time.Duration{configWait, configWait, evidenceReadWait, 100 * time.Millisecond})
	s.Assert(2*evidenceReadWait < maxEvidenceAge, qt.IsTrue)
}

// TestDeletedHistoryLeavesNoEvidence guards against an entry that cannot continue after
// the records at its offset have been deleted, or that takes that answer for evidence.
func TestDeletedHistoryLeavesNoEvidence(t *testing.T) {
	s := newEvidenceSite(t)
	s.configure(1, "k1")
	e := s.start("a")
	e.read()
	s.configure(2, "k1")
	s.configure(3)
	s.memory.Trim(testConfigPartition, 2)
	s.pass(4500 * time.Millisecond)
	e.read()
	e.checkStatus("k1", http.StatusServiceUnavailable)
	e.read()
	e.checkAge(0)
	e.checkStatus("k1", http.StatusUnauthorized)
}

// TestPageBeforeTheEndIsEvidence guards against evidence from an answer that the store
// cut off before the newest configuration.
func TestPageBeforeTheEndIsEvidence(t *testing.T) {
	s := newEvidenceSite(t)
	s.configure(1, "k1")
	e := s.start("a")
	e.read()
	s.configure(2, "k1")
	s.configure(3)
	s.pass(4500 * time.Millisecond)
	e.store.limit = 1
	e.read()
	e.checkStatus("k1", http.StatusServiceUnavailable)
	e.read()
	e.checkStatus("k1", http.StatusUnauthorized)
}

// TestUndecodableNewestConfigurationIsIgnored guards against keys that keep working by an
// older configuration while the newest one cannot be decoded, and against other records
// that do the same harm.
func TestUndecodableNewestConfigurationIsIgnored(t *testing.T) {
	s := newEvidenceSite(t)
	s.configure(1, "k1")
	e := s.start("a")
	e.read()
	s.append("other", []byte("{"))
	e.read()
	e.checkStatus("k1", http.StatusOK)
	s.append("config", []byte("{"))
	for range 3 {
		e.read()
		e.checkStatus("k1", http.StatusServiceUnavailable)
	}
	// An entry that starts now has no configuration at all.
	started := s.start("b")
	started.read()
	started.checkStatus("k1", http.StatusServiceUnavailable)
	started.ask(e)
	started.checkStatus("k1", http.StatusServiceUnavailable)
	s.configure(2, "k2")
	e.read()
	e.checkStatus("k1", http.StatusUnauthorized)
	e.checkStatus("k2", http.StatusOK)
}

// TestEntryRestartedDuringARevocationAcceptsTheKey guards against an entry that starts
// without the store, takes its configuration from a peer that has not read the newest one
// either, and accepts a revoked key for another whole bound.
func TestEntryRestartedDuringARevocationAcceptsTheKey(t *testing.T) {
	s := newEvidenceSite(t)
	s.configure(1, "k1")
	peer := s.start("peer")
	peer.read()
	s.configure(2)
	peer.store.failure = storer.ErrUnavailable
	s.pass(4 * time.Second)
	restarted := s.start("restarted")
	restarted.store.failure = storer.ErrUnavailable
	restarted.read()
	restarted.checkStatus("k1", http.StatusServiceUnavailable)
	restarted.ask(peer)
	restarted.checkAge(4 * time.Second)
	restarted.checkStatus("k1", http.StatusOK)
	s.pass(500 * time.Millisecond)
	restarted.ask(peer)
	restarted.checkStatus("k1", http.StatusServiceUnavailable)
	// A peer that the store serves has the newest one.
	peer.store.failure = nil
	peer.read()
	restarted.ask(peer)
	restarted.checkStatus("k1", http.StatusUnauthorized)
}

// TestEvidenceIsNotRelayed guards against an entry that the store refuses and that refuses
// its callers though others are served, and against evidence that gets younger, or keys
// that get lost, when two peers relay it.
func TestEvidenceIsNotRelayed(t *testing.T) {
	s := newEvidenceSite(t)
	s.configure(1, "k1", "k2")
	reader, relay, last := s.start("reader"), s.start("relay"), s.start("last")
	reader.read()
	s.pass(time.Second)
	relay.ask(reader)
	relay.checkAge(time.Second)
	s.pass(time.Second)
	last.ask(relay)
	last.checkAge(2 * time.Second)
	last.checkStatus("k1", http.StatusOK)
	last.checkStatus("k3", http.StatusUnauthorized)
	s.configure(2, "k3")
	reader.read()
	relay.ask(reader)
	last.ask(relay)
	last.checkAge(0)
	for _, revoked := range []string{"k1", "k2"} {
		last.checkStatus(revoked, http.StatusUnauthorized)
	}
	last.checkStatus("k3", http.StatusOK)
	s.pass(4500 * time.Millisecond)
	last.ask(relay)
	last.checkStatus("k3", http.StatusServiceUnavailable)
}

// slowBoot is the boot-time clock of a peer whose answers take a second of another entry's
// time.
type slowBoot struct {
	timekeeper.BootClock
	other *timekeeper.FakeBoot
}

func (b slowBoot) SinceBoot() time.Duration {
	b.other.Advance(time.Second)
	return b.BootClock.SinceBoot()
}

// TestCallToAPeerTakesNoTime guards against evidence from a peer to which the duration of
// the call is not added.
func TestCallToAPeerTakesNoTime(t *testing.T) {
	s := newEvidenceSite(t)
	s.configure(1, "k1")
	peer, e := s.start("peer"), s.start("e")
	peer.evidenceKeeper.evidence = authenticator.NewEvidence(slowBoot{
		BootClock: peer.boot,
		other:     e.boot,
	})
	peer.read()
	e.ask(peer)
	e.checkAge(time.Second)
}

// oldRPC is what an entry of a release before organisations serves.
type oldRPC struct{}

func (*oldRPC) Config(_ struct{}, reply *receiver.Config) error {
	reply.Version = 1
	return nil
}

// TestOldPeerSuppliesItsConfiguration guards against the configuration of an entry of an
// older release, which lacks the organisations and would make every call acceptable.
func TestOldPeerSuppliesItsConfiguration(t *testing.T) {
	s := newEvidenceSite(t)
	s.configure(1, "k1")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.Assert(err, qt.IsNil)
	server := messenger.NewServer()
	s.Assert(server.Register(rpcName, &oldRPC{}), qt.IsNil)
	s.serve(server, listener)
	e := s.start("e")
	e.entryPool.setPeers(map[string]string{
		"old": listener.Addr().String(),
	})
	e.evidenceKeeper.askPeers(context.Background())
	_, known := e.receiver.Config()
	s.Assert(known, qt.IsFalse)
	s.Assert(e.entryPool.reachablePeers(1), qt.HasLen, 1)
	// It can still ask this entry.
	e.read()
	var config receiver.Config
	pool := messenger.NewPool()
	defer pool.Close()
	s.Assert(pool.Call(context.Background(), e.settings.peerAddress, rpcName+".Config", struct{}{}, &config), qt.IsNil)
	s.Assert(config.Version, qt.Equals, int64(1))
}

// TestPeersAreAskedTooOften guards against calls to peers that grow with the number of
// entries, that come in quick succession, or that all go to the same peers.
func TestPeersAreAskedTooOften(t *testing.T) {
	s := newEvidenceSite(t)
	e := s.start("e")
	others := make(map[string]string)
	for i := range 40 {
		others[fmt.Sprintf("other-%d", i)] = fmt.Sprintf("127.0.0.1:%d", i+1)
	}
	e.entryPool.setPeers(others)
	seen := make(map[string]bool)
	for range 100 {
		sources := e.entryPool.evidenceSources(evidencePeers, "127.0.0.1:7")
		s.Assert(sources, qt.HasLen, evidencePeers)
		s.Assert(sources[0], qt.Equals, "127.0.0.1:7")
		for _, source := range sources {
			seen[source] = true
		}
	}
	s.Assert(len(seen) > 20, qt.IsTrue)
	e.entryPool.setStoreReachable("127.0.0.1:9", true)
	s.Assert(e.entryPool.evidenceSources(2, "127.0.0.1:7"), qt.DeepEquals, []string{"127.0.0.1:7", "127.0.0.1:9"})

	peer, asker := s.start("peer"), s.start("asker")
	asker.ask(peer)
	asker.evidenceKeeper.askPeers(context.Background())
	s.Assert(peer.asked.Load(), qt.Equals, int64(1))
}

// TestOlderConfigurationIsWrittenLater guards against evidence for the configuration in
// force when the operator has written an older one after it, and against refusing keys
// for that reason without a line that says so.
func TestOlderConfigurationIsWrittenLater(t *testing.T) {
	s := newEvidenceSite(t)
	s.configure(2, "k1")
	e := s.start("e")
	logs := memory.New()
	e.settings.logger = &log.Logger{
		Handler: logs,
		Level:   log.WarnLevel,
	}
	e.read()
	s.Assert(logs.Entries, qt.HasLen, 0)
	s.configure(1)
	e.read()
	s.Assert(logs.Entries, qt.HasLen, 1)
	s.Assert(logs.Entries[0].Message, qt.Contains, "earlier version")
	s.pass(4500 * time.Millisecond)
	e.read()
	e.checkStatus("k1", http.StatusServiceUnavailable)
	s.configure(3, "k1")
	e.read()
	e.checkStatus("k1", http.StatusOK)
}

// TestStateOfTheEvidenceIsNotLogged guards against an entry that refuses keys without a
// line that says why, and against a line for each check.
func TestStateOfTheEvidenceIsNotLogged(t *testing.T) {
	s := newEvidenceSite(t)
	s.configure(1, "k1")
	e := s.start("e")
	logs := memory.New()
	e.settings.logger = &log.Logger{
		Handler: logs,
		Level:   log.InfoLevel,
	}
	lines := func() []string {
		for range 3 {
			e.evidenceKeeper.logState(1)
		}
		var lines []string
		for _, entry := range logs.Entries {
			lines = append(lines, entry.Message)
		}
		logs.Entries = nil
		return lines
	}
	const unknown = "coordinator: the configuration is not known to be the newest, "
	s.Assert(lines(), qt.DeepEquals, []string{unknown + "keys are refused"})
	// Keys that need no evidence are not refused.
	e.SetRevocation(false, testRevocationBound)
	s.Assert(lines(), qt.HasLen, 0)
	e.SetRevocation(true, testRevocationBound)
	e.read()
	logs.Entries = nil
	recent := []string{"coordinator: the configuration is known to be the newest, keys are accepted"}
	s.Assert(lines(), qt.DeepEquals, recent)
	s.pass(3 * time.Second)
	s.Assert(lines(), qt.DeepEquals, []string{unknown + "the entry reports itself not ready"})
	s.pass(1500 * time.Millisecond)
	s.Assert(lines(), qt.DeepEquals, []string{unknown + "keys are refused"})
	e.read()
	s.Assert(lines(), qt.DeepEquals, recent)
}
