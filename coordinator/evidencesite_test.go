package coordinator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

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
	state feedState
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
		state: feedState{
			next: -1,
		},
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
	e.feed = e.configFeed()
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
	err := e.feed.readOnce(context.Background(), &e.state)
	if e.store.failure == nil {
		e.site.Assert(err, qt.IsNil)
	}
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
	clear(e.entryPool.byName)
	e.entryPool.setPeers(addresses)
	e.evidenceKeeper.askedAt = time.Time{}
	e.evidenceKeeper.askPeers(context.Background())
}
