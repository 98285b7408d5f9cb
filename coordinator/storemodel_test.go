package coordinator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/conductor"
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
	// partDown reports whether the store refuses calls that name the partition. It may be
	// nil.
	partDown func(partition storer.Partition) bool
	load     modelLoad
	// staleOwners are listed as the owners, if there are any, although they have left.
	staleOwners []storer.Ownership
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

// setPartDown has the store refuse the calls that name a partition for which refuses returns
// true.
func (m *storeModel) setPartDown(refuses func(partition storer.Partition) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partDown = refuses
}

func (m *storeModel) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// checkLoad checks that the entries stay within the limits of the store, and that no call
// was refused or late. It returns a summary.
func (m *storeModel) checkLoad(c *qt.C, phase string) string {
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
	summary := fmt.Sprintf("most in a second: %d reads, %d writes, %.1f MB; refused %d, late %d", reads, writes, bytes/1e6, m.load.refused, m.load.late)
	c.Check(reads <= modelReadsPerSecond && writes <= modelWritesPerSecond && bytes <= modelBytesPerSecond && m.load.refused+m.load.late == 0, qt.IsTrue, qt.Commentf("%s: %s", phase, summary))
	return summary
}

// entryStore is the store as one entry sees it, over a network link of its own.
type entryStore struct {
	*storeModel

	// bytesPerSecond is the rate of the entry's link.
	bytesPerSecond float64
	// silent is set if the entry gets no answer while the store is down. Other entries
	// are refused.
	silent atomic.Bool

	linkMu   sync.Mutex
	linkFree time.Time
	// directoryReads counts the reads of the directory, and jobAppends the appends to
	// the topic of jobs.
	directoryReads, jobAppends atomic.Int64
	// cutOff is set while the store does not answer this entry.
	cutOff atomic.Bool
	// full is set while the store takes no records about entries from this one.
	full atomic.Bool
}

// beginAt is begin for a call that names a partition.
func (s *entryStore) beginAt(ctx context.Context, partition storer.Partition, write bool, limit time.Duration) error {
	s.mu.Lock()
	refused := s.partDown != nil && s.partDown(partition)
	s.mu.Unlock()
	if refused {
		// The caller fails in any case.
		_ = timekeeper.Sleep(ctx, timekeeper.System(), modelLatency)
		return storer.ErrUnavailable
	}
	return s.begin(ctx, write, limit)
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
	down := s.down || s.cutOff.Load()
	queued := max(0, free.Sub(now))
	refused := queued > modelMaxQueue
	switch {
	case down:
		queued = 0
		if s.silent.Load() {
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
	if to.Topic == conductor.JobsTopic && len(records) > 0 {
		s.jobAppends.Add(1)
	}
	if to.Topic == peersTopic && s.full.Load() {
		return 0, storer.ErrFull
	}
	if err := s.beginAt(ctx, to, true, modelCallLimit); err != nil {
		// The record may have been stored.
		return 0, storer.ErrUnknown
	}
	return s.Store.Append(ctx, to, writer, records...)
}

func (s *entryStore) AppendAt(ctx context.Context, to storer.Partition, at int64, records ...storer.Record) (int64, error) {
	if err := s.beginAt(ctx, to, true, modelCallLimit); err != nil {
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
	s.mu.Lock()
	stale := s.staleOwners
	s.mu.Unlock()
	if len(stale) > 0 {
		return stale, nil
	}
	return s.Store.Owners(ctx, group)
}

func (s *entryStore) Read(ctx context.Context, of storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	s.countRead(of)
	if err := s.beginAt(ctx, of, false, wait+modelReadLimit); err != nil {
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
	if err := s.beginAt(ctx, of, false, modelCallLimit); err != nil {
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
