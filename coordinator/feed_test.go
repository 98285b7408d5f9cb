package coordinator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// countedStore counts the reads of a store, and lets them fail.
type countedStore struct {
	storer.Store

	mu sync.Mutex
	// calls holds the reads: "read", or the key after which a page was requested.
	calls []string
	// fails reports whether the read with that index fails. It may be nil.
	fails func(call int) bool
}

func (s *countedStore) count(call string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	if s.fails != nil && s.fails(len(s.calls)-1) {
		return storer.ErrUnavailable
	}
	return nil
}

func (s *countedStore) made() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

func (s *countedStore) Read(ctx context.Context, of storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	if err := s.count("read"); err != nil {
		return storer.Page{}, err
	}
	return s.Store.Read(ctx, of, from, wait)
}

func (s *countedStore) Newest(ctx context.Context, of storer.Partition, after string) (storer.NewestPage, error) {
	if err := s.count("after " + after); err != nil {
		return storer.NewestPage{}, err
	}
	return s.Store.Newest(ctx, of, after)
}

var feedPartition = storer.Partition{Topic: "fed"}

// feedTest is a feed that runs on a store in memory.
type feedTest struct {
	feed   feed
	store  *countedStore
	logs   *memory.Handler
	values map[string]string
	reads  []feedRead
	group  errgroup.Group
	stop   context.CancelFunc
}

func newFeedTest(c *qt.C, records int) *feedTest {
	f := &feedTest{
		store: &countedStore{
			Store: storer.NewMemory(timekeeper.System()),
		},
		logs:   memory.New(),
		values: make(map[string]string),
	}
	for i := range records {
		f.append(c, fmt.Sprintf("key-%05d", i), "first")
	}
	f.feed = feed{
		name:  "test",
		store: f.store,
		clock: timekeeper.System(),
		logger: &log.Logger{
			Handler: f.logs,
			Level:   log.InfoLevel,
		},
		metrics:    newFeedMetrics(),
		partition:  feedPartition,
		maxBackoff: func() time.Duration { return maxFeedBackoff },
		apply: func(records []storer.Record, _ int64, whole bool) {
			if whole {
				clear(f.values)
			}
			for _, record := range records {
				f.values[record.Key] = string(record.Value)
			}
		},
		observe: func(read feedRead) { f.reads = append(f.reads, read) },
	}
	return f
}

func (f *feedTest) append(c *qt.C, key, value string) {
	_, err := f.store.Append(context.Background(), feedPartition, nil, storer.Record{
		Key:   key,
		Value: []byte(value),
	})
	c.Assert(err, qt.IsNil)
}

// start runs the feed until end is called.
func (f *feedTest) start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.group.Go(func() error { return ignoreCanceled(f.feed.run(ctx)) })
}

func (f *feedTest) end(c *qt.C) {
	f.stop()
	c.Assert(f.group.Wait(), qt.IsNil)
}

func (f *feedTest) messages() []string {
	var messages []string
	for _, entry := range f.logs.Entries {
		messages = append(messages, entry.Message)
	}
	return messages
}

// TestFailedPageKeepsTheOthers guards against a feed that starts the newest records anew
// after each failure, and never completes them on a link that loses one page in three. A
// record that is written meanwhile must not be missed.
func TestFailedPageKeepsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFeedTest(c, 1700)
		f.feed.wait = time.Second
		f.store.fails = func(call int) bool { return call%3 == 1 }
		f.start()
		time.Sleep(10 * time.Millisecond)
		f.append(c, "key-00001", "second")
		time.Sleep(5 * time.Second)
		f.end(c)
		calls := f.store.made()
		c.Assert(calls[:6], qt.DeepEquals, []string{"after ", "after key-00499", "after key-00499", "after key-00999", "after key-01499", "after key-01499"}[:6])
		c.Assert(f.values, qt.HasLen, 1700)
		c.Assert(f.values["key-00001"], qt.Equals, "second")
		c.Assert(f.reads[0].whole, qt.IsTrue)
		c.Assert(f.reads[0].next, qt.Equals, int64(1700))
	})
}

// TestFailedReadsBackOff guards against entries that repeat failed reads every 150 ms, at
// the same times: the pauses must grow, differ, and stay within the limit, and a wake must
// not shorten them.
func TestFailedReadsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFeedTest(c, 1)
		wake := make(chan struct{}, 1)
		f.feed.wake = wake
		f.store.fails = func(call int) bool { return call < 12 }
		f.feed.pause = func() time.Duration { return 400 * time.Millisecond }
		began := time.Now()
		var at []time.Duration
		f.feed.beforeRead = func() {
			at = append(at, time.Since(began))
			if len(at) < 12 {
				request(wake)
			}
		}
		f.start()
		time.Sleep(time.Minute)
		f.end(c)
		different := make(map[time.Duration]bool)
		for i := 1; i < 12; i++ {
			pause := at[i] - at[i-1]
			different[pause] = true
			c.Check(pause >= 400*time.Millisecond && pause <= maxFeedBackoff, qt.IsTrue, qt.Commentf("pause %d: %v", i, pause))
			if i >= 6 {
				c.Check(pause >= maxFeedBackoff/2, qt.IsTrue, qt.Commentf("pause %d: %v", i, pause))
			}
		}
		c.Check(len(different) > 6, qt.IsTrue, qt.Commentf("%v", at))
		for failures := range 100 {
			pause := backoff(failures, maxUrgentBackoff)
			c.Check(pause >= retryPause && pause <= maxUrgentBackoff, qt.IsTrue, qt.Commentf("%v", pause))
		}
	})
}

// TestLossAndRecoveryAreLoggedOnce guards against failed reads that nobody sees, and
// against a log line for each of them.
func TestLossAndRecoveryAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFeedTest(c, 1)
		f.feed.wait = time.Second
		// The feed is lost for ten reads. One failed read between two others is no loss.
		f.store.fails = func(call int) bool { return call >= 2 && call < 12 || call == 14 }
		f.start()
		time.Sleep(2 * time.Minute)
		f.end(c)
		c.Assert(f.messages(), qt.DeepEquals, []string{"coordinator: feed lost", "coordinator: feed recovered"})
		lost, recovered := f.logs.Entries[0], f.logs.Entries[1]
		c.Assert(lost.Fields.Get("feed"), qt.Equals, "test")
		c.Assert(lost.Fields.Get("error"), qt.Equals, storer.ErrUnavailable.Error())
		c.Assert(lost.Fields.Get("failures"), qt.Equals, lossFailures)
		c.Assert(recovered.Fields.Get("failures"), qt.Equals, 10)
		age, err := time.ParseDuration(recovered.Fields.Get("age").(string))
		c.Assert(err, qt.IsNil)
		c.Assert(age > 8*time.Second, qt.IsTrue, qt.Commentf("%v", age))
	})
}

// TestFeedThatIsNotNeededMakesNoReads guards against reads that grow with the number of
// entries, and against a needed feed that waits for its next interval.
func TestFeedThatIsNotNeededMakesNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFeedTest(c, 10)
		dropped := 0
		var needed atomic.Bool
		wake := make(chan struct{}, 1)
		f.feed.wake = wake
		f.feed.pause = func() time.Duration { return 400 * time.Millisecond }
		f.feed.active = needed.Load
		f.feed.deactivated = func() {
			clear(f.values)
			dropped++
		}
		f.start()
		time.Sleep(time.Minute)
		synctest.Wait()
		c.Assert(f.store.made(), qt.HasLen, 0)
		needed.Store(true)
		request(wake)
		synctest.Wait()
		c.Assert(f.store.made(), qt.DeepEquals, []string{"after "})
		c.Assert(f.values, qt.HasLen, 10)
		needed.Store(false)
		time.Sleep(time.Second)
		reads := len(f.store.made())
		time.Sleep(time.Minute)
		synctest.Wait()
		c.Assert(f.store.made(), qt.HasLen, reads)
		c.Assert(f.values, qt.HasLen, 0)
		c.Assert(dropped, qt.Equals, 1)
		f.append(c, "key-00003", "second")
		needed.Store(true)
		request(wake)
		synctest.Wait()
		c.Assert(f.store.made()[reads:], qt.DeepEquals, []string{"after "})
		c.Assert(f.values["key-00003"], qt.Equals, "second")
		f.end(c)
	})
}

// TestLongGapIsNotReadRecordByRecord guards against a feed that must read every record
// written during an outage, which on a slow link takes longer than writing them.
func TestLongGapIsNotReadRecordByRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFeedTest(c, 10)
		f.feed.maxGap = directoryMaxGap
		f.feed.pause = func() time.Duration { return 400 * time.Millisecond }
		var down atomic.Bool
		f.store.fails = func(int) bool { return down.Load() }
		f.start()
		time.Sleep(time.Second)
		c.Assert(slices.Contains(f.store.made()[1:], "after "), qt.IsFalse)
		down.Store(true)
		time.Sleep(10 * time.Second)
		down.Store(false)
		before := len(f.store.made())
		time.Sleep(5 * time.Second)
		f.end(c)
		after := f.store.made()[before:]
		c.Assert(after[0], qt.Equals, "after ")
		c.Assert(slices.Contains(after[1:], "after "), qt.IsFalse)
	})
}

// TestPagesEndAtTheLimit guards against an entry that reads the records of all workers to
// find those of the services, which sort before them.
func TestPagesEndAtTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFeedTest(c, 0)
		f.append(c, "allotments", "")
		for i := range 700 {
			f.append(c, fmt.Sprintf("%s%03d", serviceKey, i), "")
		}
		for i := range 3000 {
			f.append(c, fmt.Sprintf("%s%04d", workerKey, i), "")
		}
		f.feed.until = workerKey
		f.feed.wait = time.Second
		f.start()
		synctest.Wait()
		c.Assert(f.store.made(), qt.DeepEquals, []string{"after ", "after " + serviceKey + "498", "read"})
		c.Assert(f.values, qt.HasLen, 701)
		for key := range f.values {
			c.Assert(strings.HasPrefix(key, workerKey), qt.IsFalse)
		}
		f.end(c)
	})
}

// TestConfigurationIsReadFirst guards against a starting entry whose other reads delay its
// configuration on a slow link, and against one that waits for it without end.
func TestConfigurationIsReadFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFeedTest(c, 1)
		f.feed.wait = time.Minute
		f.feed.start = make(chan struct{})
		f.start()
		time.Sleep(configPriorityWait - time.Millisecond)
		c.Assert(f.store.made(), qt.HasLen, 0)
		time.Sleep(2 * time.Millisecond)
		c.Assert(f.store.made(), qt.HasLen, 2)
		f.end(c)
	})
}

// TestKnowledgeAgesWhileReadsFail guards against a takeover with an old list of workers that
// the log does not show: while reads fail, the last answer stays, with its time.
func TestKnowledgeAgesWhileReadsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFeedTest(c, 1)
		coordinator := &Coordinator{
			settings: newSettings(nil),
		}
		f.feed.wait = 100 * time.Millisecond
		f.feed.observe = coordinator.recordRead(&coordinator.directoryRead)
		c.Assert(coordinator.knowledge(), qt.Equals, conductor.Knowledge{})
		// The first read returns the newest records, and the 20 after it wait in vain.
		f.store.fails = func(call int) bool { return call > 20 }
		began := time.Now()
		f.start()
		time.Sleep(10 * time.Second)
		f.end(c)
		knowledge := coordinator.knowledge()
		c.Assert(knowledge.Directory.Complete, qt.IsTrue)
		c.Assert(knowledge.Directory.AnsweredAt.Sub(began), qt.Equals, 2*time.Second)
		c.Assert(knowledge.Shards, qt.Equals, conductor.ReadState{})
	})
}

// TestNewOwnerReadsSoonAfterAFailure guards against a new owner without workers: an entry
// without partitions whose read of the directory has failed waits for its long interval, also
// after it has got a partition.
func TestNewOwnerReadsSoonAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFeedTest(c, 1)
		wake := make(chan struct{}, 1)
		f.feed.wake = wake
		var owns atomic.Bool
		f.feed.pause = func() time.Duration {
			if owns.Load() {
				return directoryInterval
			}
			return directoryIdleInterval
		}
		f.store.fails = func(call int) bool { return call == 1 }
		var at []time.Time
		f.feed.beforeRead = func() { at = append(at, time.Now()) }
		f.start()
		time.Sleep(directoryIdleInterval + time.Second)
		synctest.Wait()
		c.Assert(at, qt.HasLen, 2)
		owns.Store(true)
		request(wake)
		ownsSince := time.Now()
		time.Sleep(directoryIdleInterval)
		f.end(c)
		took := at[2].Sub(ownsSince)
		c.Assert(took <= directoryInterval, qt.IsTrue, qt.Commentf("%v", took))
	})
}
