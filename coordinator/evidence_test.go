package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

var testConfigPartition = storer.Partition{
	Topic: "config",
}

// configStore is the store as one entry sees it when it reads the configuration.
type configStore struct {
	storer.Store
	// failure is returned by all reads if it is not nil, and during is called while a
	// read is under way.
	failure error
	during  func()
	// limit is the maximum number of records in an answer, 0 for all.
	limit int
	waits []time.Duration
}

func (s *configStore) Read(ctx context.Context, of storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	s.waits = append(s.waits, wait)
	if s.failure != nil {
		return storer.Page{}, s.failure
	}
	page, err := s.Store.Read(ctx, of, from, 0)
	if s.during != nil {
		s.during()
	}
	if s.limit > 0 && len(page.Records) > s.limit {
		page.Records = page.Records[:s.limit]
		page.Next = from + int64(s.limit)
	}
	return page, err
}

func (s *configStore) Newest(ctx context.Context, of storer.Partition, after string) (storer.NewestPage, error) {
	if s.failure != nil {
		return storer.NewestPage{}, s.failure
	}
	page, err := s.Store.Newest(ctx, of, after)
	if s.during != nil {
		s.during()
	}
	return page, err
}

// evidenceSite is a store and the entries that read the configuration from it. Reads are
// made one by one, and all boot-time clocks are advanced by the test.
type evidenceSite struct {
	*qt.C

	t       *testing.T
	memory  *storer.Memory
	entries []*evidenceEntry
}

type evidenceEntry struct {
	*Coordinator

	site  *evidenceSite
	store *configStore
	boot  *timekeeper.FakeBoot
	feed  feed
	next  int64
	// asked counts the calls for evidence by other entries.
	asked atomic.Int64
}

// countingRPC counts the calls for evidence at an entry.
type countingRPC struct {
	*rpc

	asked *atomic.Int64
}

func (r *countingRPC) Evidence(args EvidenceArgs, reply *EvidenceReply) error {
	r.asked.Add(1)
	return r.rpc.Evidence(args, reply)
}

// noJobs answers that no jobs wait, without asking their owner.
type noJobs struct {
	receiver.Jobs
}

func (noJobs) WaitingJobs(context.Context, scheduler.Queue) (int, error) {
	return 0, nil
}

const testRevocationBound = 5 * time.Second

func newEvidenceSite(t *testing.T) *evidenceSite {
	return &evidenceSite{
		C:      qt.New(t),
		t:      t,
		memory: storer.NewMemory(timekeeper.System()),
	}
}

func (s *evidenceSite) start(name string) *evidenceEntry {
	e := &evidenceEntry{
		site: s,
		store: &configStore{
			Store: s.memory,
		},
		// Hosts have been up for different times.
		boot: timekeeper.NewFakeBoot(time.Duration(len(s.entries)+1) * time.Hour),
		next: -1,
	}
	var listeners [3]net.Listener
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		s.Assert(err, qt.IsNil)
		s.t.Cleanup(func() { listener.Close() })
		listeners[i] = listener
	}
	e.Coordinator = New(e.store, nil, nil, receiver.JSON{},
		Name(name, "here"),
		Listeners(listeners[0], listeners[1], listeners[2]),
		Revocation(true, testRevocationBound),
		BootClock(e.boot),
		Config(testConfigPartition, decodeTestConfig))
	e.receiver = receiver.New(noJobs{}, receiver.JSON{}, receiver.Evidence(e.evidenceKeeper.evidence))
	s.t.Cleanup(e.pool.Close)
	server := messenger.NewServer()
	s.Assert(server.Register(rpcName, &countingRPC{
		rpc:   &rpc{coordinator: e.Coordinator},
		asked: &e.asked,
	}), qt.IsNil)
	s.serve(server, listeners[2])
	store, apply := e.evidenceKeeper.observe(e.Coordinator.store)
	e.feed = feed{
		store:     store,
		partition: testConfigPartition,
		wait:      configWait,
		apply:     func(records []storer.Record, _ int64, _ bool) { apply(records) },
	}
	s.entries = append(s.entries, e)
	return e
}

func (s *evidenceSite) serve(server *messenger.Server, listener net.Listener) {
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	s.t.Cleanup(func() {
		stop()
		// The server ends with its context.
		_ = group.Wait()
	})
}

func decodeTestConfig(record storer.Record) (receiver.Config, bool, error) {
	if record.Key != "config" {
		return receiver.Config{}, false, nil
	}
	var config receiver.Config
	err := json.Unmarshal(record.Value, &config)
	return config, err == nil, err
}

func (s *evidenceSite) append(key string, value []byte) {
	_, err := s.memory.Append(context.Background(), testConfigPartition, nil, storer.Record{
		Key:   key,
		Value: value,
	})
	s.Assert(err, qt.IsNil)
}

// configure writes a configuration with one organisation that has the keys.
func (s *evidenceSite) configure(version int64, keys ...string) {
	organisation := receiver.Organisation{
		Organisation: scheduler.Organisation{
			Name: "farm",
		},
	}
	for _, key := range keys {
		organisation.Keys = append(organisation.Keys, authenticator.DigestOf(key))
	}
	data, err := json.Marshal(receiver.Config{
		Version: version,
		Routes: []receiver.Route{
			{
				Host:   "desk.example",
				Prefix: "/checks/",
			},
			{
				Host:   "desk.example",
				Prefix: "/open/",
				Public: true,
			},
		},
		Organisations: []receiver.Organisation{organisation},
	})
	s.Assert(err, qt.IsNil)
	s.append("config", data)
}

func (s *evidenceSite) pass(d time.Duration) {
	for _, e := range s.entries {
		e.boot.Advance(d)
	}
}

// read makes the next read of the configuration.
func (e *evidenceEntry) read() {
	next, err := e.feed.readOnce(context.Background(), e.next)
	if e.store.failure == nil {
		e.site.Assert(err, qt.IsNil)
	}
	e.next = next
}

// status returns how a call with a key is answered that asks for the number of waiting
// jobs.
func (e *evidenceEntry) status(path, key string) int {
	request := httptest.NewRequest(http.MethodGet, "http://desk.example"+path, nil)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	recorder := httptest.NewRecorder()
	e.receiver.ServeHTTP(recorder, request)
	return recorder.Code
}

func (e *evidenceEntry) checkStatus(key string, want int) {
	e.site.t.Helper()
	e.site.Assert(e.status("/checks/", key), qt.Equals, want)
}

func (e *evidenceEntry) checkAge(want time.Duration) {
	e.site.t.Helper()
	age, known := e.evidenceKeeper.evidence.Age()
	e.site.Assert(known, qt.IsTrue)
	e.site.Assert(age, qt.Equals, want)
}

// ask asks the given entries for evidence, as the only ones that are known.
func (e *evidenceEntry) ask(others ...*evidenceEntry) {
	addresses := make(map[string]string)
	for _, other := range others {
		addresses[other.settings.name] = other.settings.peerAddress
	}
	e.entryPool.entries = nil
	e.entryPool.setPeers(addresses)
	e.evidenceKeeper.askedAt = time.Time{}
	e.evidenceKeeper.askPeers(context.Background())
}

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
