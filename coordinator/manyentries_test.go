package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// The limits of the store in the model: what the platform states of its own.
	modelReadsPerSecond  = 6000
	modelWritesPerSecond = 1200
	modelBytesPerSecond  = 80e6
	modelLatency         = 4 * time.Millisecond
	// modelMaxQueue is how long the store queues a call before it refuses it.
	modelMaxQueue = 2 * time.Second
	// modelReadLimit and modelCallLimit are the time limits of package platform for the
	// beginning of an answer: of a read, beyond its wait, and of other calls.
	modelReadLimit = 500 * time.Millisecond
	modelCallLimit = 2500 * time.Millisecond
	// modelConfigBytes is the length of the configuration, some hundred routes.
	modelConfigBytes = 100_000
	// modelWorkerBytes is the length of a worker's entry in the directory.
	modelWorkerBytes = 320
	modelService     = "desk"
)

var (
	modelConfig    = storer.Partition{Topic: "op"}
	modelDirectory = storer.Partition{Topic: "servers"}
)

// storeModel is a store whose answers all entries share: it takes a limited number of
// calls and sends a limited number of bytes per second, in the order of the calls.
type storeModel struct {
	storer.Store

	mu sync.Mutex
	// readsFree, writesFree and bytesFree are the times at which the next read or write
	// can begin and the next answer can be sent.
	readsFree, writesFree, bytesFree time.Time
	down                             bool
	load                             modelLoad
}

// modelLoad counts what the entries ask of the store.
type modelLoad struct {
	// reads, writes and bytes hold the totals of each second.
	reads, writes map[int64]int
	bytes         map[int64]float64
	// refused counts the calls that waited too long in the queue, and late those whose
	// answer did not begin within the client's time limit.
	refused, late int
}

func newStoreModel() *storeModel {
	m := &storeModel{
		Store: storer.NewMemory(timekeeper.System()),
	}
	m.resetLoad()
	return m
}

func (m *storeModel) resetLoad() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load = modelLoad{
		reads:  make(map[int64]int),
		writes: make(map[int64]int),
		bytes:  make(map[int64]float64),
	}
}

func (m *storeModel) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// summary returns the largest totals of a second.
func (m *storeModel) summary() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	reads, writes, bytes := 0, 0, 0.
	for _, n := range m.load.reads {
		reads = max(reads, n)
	}
	for _, n := range m.load.writes {
		writes = max(writes, n)
	}
	for _, n := range m.load.bytes {
		bytes = max(bytes, n)
	}
	return fmt.Sprintf("most in a second: %d reads, %d writes, %.1f MB; refused %d, late %d", reads, writes, bytes/1e6, m.load.refused, m.load.late)
}

// entryStore is the store as one entry sees it, over a network link of its own.
type entryStore struct {
	*storeModel

	// bytesPerSecond is the rate of the entry's link.
	bytesPerSecond float64
	// silent is set if the entry gets no answer while the store is down. Other entries
	// are refused.
	silent bool

	linkMu   sync.Mutex
	linkFree time.Time
	// directoryReads counts the reads of the directory.
	directoryReads atomic.Int64
}

// begin waits until the store takes a call. The time limit is that of the client.
func (s *entryStore) begin(ctx context.Context, write bool, limit time.Duration) error {
	s.mu.Lock()
	now := time.Now()
	free, rate := &s.readsFree, modelReadsPerSecond
	if write {
		free, rate = &s.writesFree, modelWritesPerSecond
		s.load.writes[now.Unix()]++
	} else {
		s.load.reads[now.Unix()]++
	}
	down := s.down
	queued := max(0, free.Sub(now))
	refused := queued > modelMaxQueue
	switch {
	case down:
		queued = 0
		if s.silent {
			queued = limit
		}
	case refused:
		s.load.refused++
	default:
		*free = now.Add(queued + time.Second/time.Duration(rate))
	}
	s.mu.Unlock()
	if err := timekeeper.Sleep(ctx, timekeeper.System(), queued+modelLatency); err != nil || down || refused {
		return storer.ErrUnavailable
	}
	return nil
}

// send waits until an answer has arrived. The time limit is that of its beginning.
func (s *entryStore) send(ctx context.Context, length float64, limit time.Duration) error {
	s.mu.Lock()
	now := time.Now()
	s.load.bytes[now.Unix()] += length
	starts := now
	if s.bytesFree.After(now) {
		starts = s.bytesFree
	}
	s.bytesFree = starts.Add(time.Duration(length / modelBytesPerSecond * float64(time.Second)))
	late := starts.Sub(now) > limit
	if late {
		s.load.late++
	}
	s.mu.Unlock()
	if late {
		_ = timekeeper.Sleep(ctx, timekeeper.System(), limit)
		return storer.ErrUnavailable
	}
	s.linkMu.Lock()
	if s.linkFree.After(starts) {
		starts = s.linkFree
	}
	s.linkFree = starts.Add(time.Duration(length / s.bytesPerSecond * float64(time.Second)))
	arrives := s.linkFree
	s.linkMu.Unlock()
	if err := timekeeper.Sleep(ctx, timekeeper.System(), arrives.Sub(now)); err != nil {
		return storer.ErrUnavailable
	}
	return nil
}

func (s *entryStore) countRead(of storer.Partition) {
	if of == modelDirectory {
		s.directoryReads.Add(1)
	}
}

func (s *entryStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	if err := s.begin(ctx, true, modelCallLimit); err != nil {
		return 0, err
	}
	return s.Store.Append(ctx, to, writer, records...)
}

func (s *entryStore) AppendAt(ctx context.Context, to storer.Partition, at int64, records ...storer.Record) (int64, error) {
	if err := s.begin(ctx, true, modelCallLimit); err != nil {
		return 0, err
	}
	return s.Store.AppendAt(ctx, to, at, records...)
}

func (s *entryStore) Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (storer.Assignment, error) {
	if err := s.begin(ctx, true, modelCallLimit); err != nil {
		return storer.Assignment{}, err
	}
	return s.Store.Join(ctx, group, member, topics, ttl, generation)
}

func (s *entryStore) Leave(ctx context.Context, group, member string) error {
	if err := s.begin(ctx, true, modelCallLimit); err != nil {
		return err
	}
	return s.Store.Leave(ctx, group, member)
}

func (s *entryStore) Owners(ctx context.Context, group string) ([]storer.Ownership, error) {
	if err := s.begin(ctx, false, modelCallLimit); err != nil {
		return nil, err
	}
	return s.Store.Owners(ctx, group)
}

func (s *entryStore) Read(ctx context.Context, of storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	s.countRead(of)
	if err := s.begin(ctx, false, wait+modelReadLimit); err != nil {
		return storer.Page{}, err
	}
	page, err := s.Store.Read(ctx, of, from, wait)
	if err != nil {
		return storer.Page{}, err
	}
	// A page of the store holds at most 1 MB.
	length, n := 16., 0
	for n < len(page.Records) && length < 1e6 {
		length += float64(5 + len(page.Records[n].Key) + len(page.Records[n].Value))
		n++
	}
	page.Next -= int64(len(page.Records) - n)
	page.Records = page.Records[:n]
	return page, s.send(ctx, length, modelReadLimit)
}

func (s *entryStore) Newest(ctx context.Context, of storer.Partition, after string) (storer.NewestPage, error) {
	s.countRead(of)
	if err := s.begin(ctx, false, modelCallLimit); err != nil {
		return storer.NewestPage{}, err
	}
	page, err := s.Store.Newest(ctx, of, after)
	length := 60.
	for _, record := range page.Records {
		// JSON, with the value in base64.
		length += 40 + float64(len(record.Key)) + 4./3*float64(len(record.Value))
	}
	if err != nil {
		return page, err
	}
	return page, s.send(ctx, length, modelCallLimit)
}

// modelNetwork carries the calls between the entries of a model.
type modelNetwork struct {
	mu      sync.Mutex
	entries map[string]*rpc
	calls   int
}

// modelCaller makes the calls of one entry.
type modelCaller struct {
	network *modelNetwork
}

func (modelCaller) Close() {}

func (m modelCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	m.network.mu.Lock()
	m.network.calls++
	target := m.network.entries[address]
	m.network.mu.Unlock()
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
	case rpcName + ".Append":
		err = target.Append(args.(AppendArgs), reply.(*AppendReply))
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
	return scheduler.Report{}, timekeeper.Sleep(ctx, timekeeper.System(), wait)
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
		},
		workers: workers,
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
		if _, err := s.store.Append(ctx, modelDirectory, nil, records...); err != nil {
			return err
		}
		_ = timekeeper.Sleep(ctx, timekeeper.System(), 1500*time.Millisecond/batches)
	}
	return nil
}

// start starts all entries within 0.3 s. Their links have 10 to 200 Mbit/s.
func (s *site) start(entries int) {
	s.entries = nil
	for i := range entries {
		address := fmt.Sprintf("10.0.%d.%d:7", i/250, i%250)
		store := &entryStore{
			storeModel:     s.store,
			bytesPerSecond: []float64{10e6, 20e6, 50e6, 200e6}[i%4] / 8,
			silent:         i%2 > 0,
		}
		listener := modelListener{
			address: address,
		}
		c := New(store, modelWorkers{}, nil, nil,
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
			}))
		c.pool = modelCaller{
			network: s.network,
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
		delay := rand.N(300 * time.Millisecond)
		entry.group.Go(func() error {
			if timekeeper.Sleep(ctx, timekeeper.System(), delay) == nil {
				c.startFollowing(ctx, &entry.group)
			}
			return nil
		})
	}
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
	time.Sleep(5 * time.Second)
	s.network.mu.Lock()
	s.c.Logf("%s: jobs accepted after %v; %s; %d calls between entries", phase, accepted, s.store.summary(), s.network.calls-calls)
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
