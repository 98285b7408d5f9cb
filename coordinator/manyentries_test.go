package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// modelNetwork carries the calls between the entries of a model.
type modelNetwork struct {
	mu      sync.Mutex
	entries map[string]*rpc
	calls   int
	// cutOff holds the addresses of the entries that only reach each other.
	cutOff map[string]bool
	// callsOf holds the calls of a method that each entry made, by its address.
	callsOf map[modelMethod]modelCalls
	// slowAppends is set while appends at other entries take longer than the calls last.
	slowAppends bool
}

// modelMethod is a method that the entry with the address calls.
type modelMethod struct {
	caller, method string
}

// modelCalls counts calls. last is the address to which the last one was made.
type modelCalls struct {
	count int
	last  string
}

// callsBy returns the calls that an entry has made.
func (n *modelNetwork) callsBy(e *siteEntry, method string) modelCalls {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.callsOf[modelMethod{
		caller: e.coordinator.settings.peerAddress,
		method: rpcName + "." + method,
	}]
}

func (n *modelNetwork) setSlowAppends(slow bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowAppends = slow
}

// modelCaller makes the calls of one entry.
type modelCaller struct {
	network *modelNetwork
	address string
}

func (modelCaller) Close() {}

func (m modelCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	m.network.mu.Lock()
	m.network.calls++
	key := modelMethod{
		caller: m.address,
		method: method,
	}
	m.network.callsOf[key] = modelCalls{
		count: m.network.callsOf[key].count + 1,
		last:  address,
	}
	target := m.network.entries[address]
	cut := m.network.cutOff[m.address] != m.network.cutOff[address] || m.network.slowAppends && method == rpcName+".Append"
	m.network.mu.Unlock()
	if cut {
		<-ctx.Done()
		return messenger.ErrUnknown
	}
	if err := timekeeper.Sleep(ctx, timekeeper.System(), 2*time.Millisecond); err != nil {
		return messenger.ErrUnknown
	}
	if target == nil {
		return messenger.ErrUnreachable
	}
	var err error
	switch method {
	case rpcName + ".Alive":
		err = target.Alive(struct{}{}, reply.(*AliveReply))
	case rpcName + ".Nudge":
		err = target.Nudge(struct{}{}, nil)
	case rpcName + ".Config":
		err = target.Config(struct{}{}, reply.(*receiver.Config))
	case rpcName + ".Evidence":
		err = target.Evidence(args.(EvidenceArgs), reply.(*EvidenceReply))
	case rpcName + ".QueueHistory":
		err = target.QueueHistory(struct{}{}, reply.(*QueueHistoryReply))
	case rpcName + ".State":
		err = target.State(args.(StateArgs), reply.(*StateReply))
	case rpcName + ".Waiting":
		err = target.Waiting(args.(WaitingArgs), reply.(*WaitingReply))
	case rpcName + ".Append":
		err = target.Append(args.(AppendArgs), reply.(*AppendReply))
	case rpcName + ".Room":
		err = target.Room(args.(RoomArgs), reply.(*RoomReply))
	case rpcName + ".Delegate":
		err = target.Delegate(args.(DelegateArgs), reply.(*DelegateReply))
	default:
		panic(method)
	}
	if err != nil {
		return errors.CombineErrors(messenger.ErrRefused, err)
	}
	return nil
}

// modelWorkers are workers that run nothing.
type modelWorkers struct{}

func (modelWorkers) Start(context.Context, int64, scheduler.StartTask) (scheduler.StartOutcome, error) {
	return scheduler.StartUnknown, errors.New("not served")
}

func (modelWorkers) Stop(context.Context, int64, scheduler.StopTask) error { return nil }

func (modelWorkers) Pace(context.Context, int64, scheduler.PaceTask) error { return nil }

func (modelWorkers) RenewLease(ctx context.Context, _ int64, _ scheduler.LeaseRenewal, wait time.Duration) (scheduler.Report, error) {
	return scheduler.Report{}, timekeeper.Sleep(ctx, timekeeper.System(), wait+modelLatency)
}

// modelListener is a listener of which only the address is used.
type modelListener struct {
	net.Listener
	address string
}

func (l modelListener) Addr() net.Addr { return l }

func (l modelListener) Network() string { return "tcp" }

func (l modelListener) String() string { return l.address }

// site is a model of a site with many entries.
type site struct {
	c       *qt.C
	store   *storeModel
	network *modelNetwork
	entries []*siteEntry
	workers int
	// fleet is what the entries call.
	fleet conductor.Workers
}

type siteEntry struct {
	coordinator *Coordinator
	store       *entryStore
	stop        context.CancelFunc
	group       errgroup.Group
}

func newSite(c *qt.C, workers int) *site {
	return &site{
		c:     c,
		store: newStoreModel(),
		network: &modelNetwork{
			entries: make(map[string]*rpc),
			cutOff:  make(map[string]bool),
			callsOf: make(map[modelMethod]modelCalls),
		},
		workers: workers,
		fleet:   modelWorkers{},
	}
}

// configure stores a configuration. The value is its version, padded.
func (s *site) configure(version int64) {
	_, err := s.store.Append(context.Background(), modelConfig, nil, storer.Record{
		Key:   "config",
		Value: fmt.Appendf(nil, "%-*d", modelConfigBytes, version),
	})
	s.c.Assert(err, qt.IsNil)
}

// report writes the entries of all workers to the directory, every 1.5 s, until the
// context ends. The workers report spread over this time.
func (s *site) report(ctx context.Context) error {
	const batches = 15
	value := []byte(modelService + strings.Repeat(" ", modelWorkerBytes-len(modelService)))
	for batch := 0; ctx.Err() == nil; batch = (batch + 1) % batches {
		var records []storer.Record
		for i := batch; i < s.workers; i += batches {
			records = append(records, storer.Record{
				Key:   fmt.Sprintf("worker-%05d", i),
				Value: value,
			})
		}
		end, err := s.store.Append(ctx, modelDirectory, nil, records...)
		if err != nil {
			return err
		}
		// The store keeps the records of 15 s. Older ones would only take up memory.
		s.store.Store.(*storer.Memory).Trim(modelDirectory, end-int64(10*s.workers))
		_ = timekeeper.Sleep(ctx, timekeeper.System(), 1500*time.Millisecond/batches)
	}
	return nil
}

// start starts all entries within 0.3 s. Their links have 10 to 200 Mbit/s.
func (s *site) start(entries int) {
	s.entries = nil
	for i := range entries {
		s.addEntry(i, rand.N(300*time.Millisecond))
	}
}

// addEntry adds an entry that starts after the delay.
func (s *site) addEntry(i int, delay time.Duration, options ...Option) {
	address := fmt.Sprintf("10.0.%d.%d:7", i/250, i%250)
	store := &entryStore{
		storeModel:     s.store,
		bytesPerSecond: []float64{10e6, 20e6, 50e6, 200e6}[i%4] / 8,
	}
	store.silent.Store(i%2 > 0)
	listener := modelListener{
		address: address,
	}
	c := New(store, s.fleet, nil, nil, append(options,
		Name(fmt.Sprintf("entry-%03d", i), "here"),
		Listeners(listener, listener, listener),
		Config(modelConfig, func(record storer.Record) (receiver.Config, bool, error) {
			version, err := strconv.ParseInt(strings.TrimSpace(string(record.Value)), 10, 64)
			return receiver.Config{
				Version: version,
				Routes: []receiver.Route{
					{
						Queue: scheduler.Queue{
							Name:    "checks",
							Service: modelService,
						},
					},
				},
			}, true, err
		}),
		Directory(modelDirectory, func(record storer.Record, now time.Time) (scheduler.WorkerEntry, error) {
			return scheduler.WorkerEntry{
				Ref: scheduler.WorkerRef{
					ID: record.Key,
				},
				Service: modelService,
				Total:   sizer.New(8000, 1<<34, 0),
				Read:    now,
			}, nil
		}))...)
	c.pool = modelCaller{
		network: s.network,
		address: address,
	}
	ctx, stop := context.WithCancel(context.Background())
	entry := &siteEntry{
		coordinator: c,
		store:       store,
		stop:        stop,
	}
	s.network.mu.Lock()
	s.network.entries[address] = &rpc{
		coordinator: c,
	}
	s.network.mu.Unlock()
	s.entries = append(s.entries, entry)
	entry.group.Go(func() error {
		if timekeeper.Sleep(ctx, timekeeper.System(), delay) == nil {
			c.startFollowing(ctx, &entry.group)
		}
		return nil
	})
}

func (s *site) stop() {
	for _, entry := range s.entries {
		entry.stop()
	}
	for _, entry := range s.entries {
		s.c.Check(entry.group.Wait(), qt.IsNil)
	}
}

// await waits until the condition holds at all entries, and returns how long that took.
// It gives up after 20 s.
func (s *site) await(what string, condition func(*Coordinator) bool) time.Duration {
	began := time.Now()
	for {
		missing := 0
		for _, entry := range s.entries {
			if !condition(entry.coordinator) {
				missing++
			}
		}
		took := time.Since(began)
		if missing == 0 || took >= 20*time.Second {
			s.c.Logf("%s at all but %d entries after %v", what, missing, took)
			return took
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitService waits until all entries have the configuration in force and can accept a
// job, and checks how long that took.
func (s *site) awaitService(phase string, version int64) {
	s.network.mu.Lock()
	calls := s.network.calls
	s.network.mu.Unlock()
	configured := s.await(phase+": configuration in force", func(c *Coordinator) bool {
		config, _ := c.receiver.Config()
		return config.Version == version
	})
	s.c.Check(configured <= 3*time.Second, qt.IsTrue, qt.Commentf("%s: configuration in force after %v", phase, configured))
	accepting := configured + s.await(phase+": ready", func(c *Coordinator) bool {
		return c.notReadyReason() == "" && c.shards.decided(modelService)
	})
	s.c.Check(accepting <= 5*time.Second, qt.IsTrue, qt.Commentf("%s: ready after %v", phase, accepting))
	accepted := accepting
	began := time.Now()
	for i, entry := range s.entries[:5] {
		for entry.coordinator.Submit(context.Background(), scheduler.Job{
			ID: fmt.Sprintf("%s-%d", strings.ReplaceAll(phase, " ", "-"), i),
			Queue: scheduler.Queue{
				Name:    "checks",
				Service: modelService,
			},
		}) != nil && time.Since(began) < 20*time.Second {
			time.Sleep(100 * time.Millisecond)
		}
	}
	accepted += time.Since(began)
	s.c.Check(accepted <= 5*time.Second, qt.IsTrue, qt.Commentf("%s: jobs accepted after %v", phase, accepted))
	time.Sleep(3 * time.Second)
	s.network.mu.Lock()
	s.c.Logf("%s: jobs accepted after %v; %s; %d calls between entries", phase, accepted, s.store.checkLoad(s.c, phase), s.network.calls-calls)
	s.network.mu.Unlock()
	s.store.resetLoad()
}

// checkDirectoryReads checks that only entries with partitions have read the directory.
func (s *site) checkDirectoryReads() {
	readers := 0
	for _, entry := range s.entries {
		entry.coordinator.mu.Lock()
		assigned := !entry.coordinator.assignedUntil.IsZero()
		entry.coordinator.mu.Unlock()
		reads := entry.store.directoryReads.Load()
		if reads > 0 {
			readers++
		}
		s.c.Check(assigned || reads == 0, qt.IsTrue, qt.Commentf("%s reads the directory without a partition", entry.coordinator.settings.name))
	}
	s.c.Check(readers > 0, qt.IsTrue)
	s.c.Check(readers < len(s.entries)/2, qt.IsTrue, qt.Commentf("%d entries read the directory", readers))
	s.c.Logf("%d of %d entries read the directory", readers, len(s.entries))
}

// TestManyEntriesStart guards against a store that never recovers from the reads of many
// entries that start at the same time. It covers the load of 100 and 300 entries with
// 1,000 and 3,000 workers: all entries started at once, all restarted at once, and a
// store that was unavailable for 6 s.
func TestManyEntriesStart(t *testing.T) {
	for _, size := range []struct {
		entries, workers int
	}{
		{
			entries: 100,
			workers: 1000,
		},
		{
			entries: 298,
			workers: 3000,
		},
	} {
		t.Run(fmt.Sprintf("%d entries", size.entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(qt.New(t), size.workers)
				s.configure(1)
				ctx, cancel := context.WithCancel(context.Background())
				var reports errgroup.Group
				reports.Go(func() error { return s.report(ctx) })
				time.Sleep(3 * time.Second)
				s.start(size.entries)
				s.awaitService("start", 1)
				s.stop()
				s.configure(2)
				s.start(size.entries)
				s.awaitService("restart", 2)
				s.checkDirectoryReads()
				s.store.setDown(true)
				time.Sleep(5 * time.Second)
				s.configure(3)
				time.Sleep(time.Second)
				s.store.setDown(false)
				s.awaitService("outage of 6 s", 3)
				s.stop()
				cancel()
				s.c.Assert(reports.Wait(), qt.IsNil)
			})
		})
	}
}

// TestTakeoverReadsTheDirectoryOnce guards against a takeover that waits for more than one
// full read of the directory, which starts with the assignment of the partition. An entry
// without partitions reads nothing before that, so the new owner begins without workers.
func TestTakeoverReadsTheDirectoryOnce(t *testing.T) {
	for _, test := range []struct {
		workers int
		reads   int64
	}{
		{
			workers: 60,
			reads:   1,
		},
		{
			workers: 350,
			reads:   1,
		},
		{
			workers: 3000,
			reads:   6,
		},
	} {
		t.Run(fmt.Sprintf("%d workers", test.workers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(qt.New(t), test.workers)
				ctx, cancel := context.WithCancel(context.Background())
				var reports errgroup.Group
				reports.Go(func() error { return s.report(ctx) })
				time.Sleep(3 * time.Second)
				s.start(0)
				s.addEntry(0, time.Hour)
				entry := s.entries[0]
				c := entry.coordinator
				close(c.configRead)
				entry.group.Go(func() error { return ignoreCanceled(c.followDirectory(ctx)) })
				entry.group.Go(func() error { return ignoreCanceled(c.followShards(ctx)) })
				time.Sleep(10 * time.Second)
				s.c.Check(entry.store.directoryReads.Load(), qt.Equals, int64(0))
				began := time.Now()
				c.mu.Lock()
				c.setAssigned(map[int]bool{
					3: true,
				})
				c.mu.Unlock()
				for c.directory.Load() == nil || !c.shards.complete() {
					time.Sleep(time.Millisecond)
				}
				s.c.Logf("workers known %v after the assignment, on a link of 10 Mbit/s", time.Since(began))
				s.c.Check(*c.directory.Load(), qt.HasLen, test.workers)
				// One more read returns what was written during the others.
				reads := entry.store.directoryReads.Load()
				s.c.Check(reads == test.reads || reads == test.reads+1, qt.IsTrue, qt.Commentf("%d reads", reads))
				cancel()
				s.stop()
				s.c.Assert(reports.Wait(), qt.IsNil)
			})
		})
	}
}

// TestEntryOnTheAddressOfAFormerLargerOneStaysAMember guards against an entry that takes itself
// for a larger one, as the record of one that is gone names its address: it leaves the group
// whenever it finds itself to be a member.
func TestEntryOnTheAddressOfAFormerLargerOneStaysAMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(qt.New(t), 50)
		s.configure(1)
		s.addEntry(0, time.Millisecond, Cores(0.192))
		c := s.entries[0].coordinator
		s.await("the entry is a member", func(*Coordinator) bool { return c.isMember() })
		c.mu.Lock()
		c.peers["gone"] = peer{
			Address: c.settings.peerAddress,
			Cores:   0.8,
		}
		c.mu.Unlock()
		member := true
		for range 10 * time.Second / (5 * time.Millisecond) {
			time.Sleep(5 * time.Millisecond)
			member = member && c.isMember()
		}
		s.c.Check(member, qt.IsTrue)
		s.stop()
	})
}
