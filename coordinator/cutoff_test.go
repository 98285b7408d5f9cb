package coordinator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// workersKnownWithin bounds the time from the assignment of a partition to the moment at
// which its owner has all workers: half of the 2 s that a takeover may take until the
// first start.
const workersKnownWithin = time.Second

// cutOffTest is a site of two entries, one of which the store does not answer for a
// while, so that all partitions are assigned to the other one.
type cutOffTest struct {
	*site
	// entry is the one that is cut off, and restoredAt the end of that.
	entry      *siteEntry
	restoredAt time.Time
}

// TestOwnerAfterCutOffHasItsWorkers guards against an entry that is assigned partitions
// right after the store answers it again, and that starts nothing for seconds as its feeds
// still pause after the reads that failed meanwhile, or wait for the answer to one of them.
func TestOwnerAfterCutOffHasItsWorkers(t *testing.T) {
	for _, test := range []struct {
		name  string
		entry int
	}{
		{
			name:  "refused calls",
			entry: 0,
		},
		{
			name:  "calls without an answer",
			entry: 1,
		},
	} {
		for _, lasts := range []time.Duration{3700, 4300, 4900, 5300, 5700, 6100, 6700, 7300} {
			lasts *= time.Millisecond
			t.Run(fmt.Sprintf("%s, %v", test.name, lasts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &cutOffTest{
						site: newSite(qt.New(t), 350),
					}
					s.configure(1)
					ctx, cancel := context.WithCancel(context.Background())
					var reports errgroup.Group
					reports.Go(func() error { return s.report(ctx) })
					time.Sleep(3 * time.Second)
					s.start(2)
					s.entry = s.entries[test.entry]
					s.awaitWorkers()
					s.cutOff(lasts)
					assignedAt := s.awaitAssignment()
					known := s.awaitWorkers().Sub(assignedAt)
					s.c.Logf("workers known %v after the assignment, %v after the end of the cut", known, time.Since(s.restoredAt))
					s.c.Check(known <= workersKnownWithin, qt.IsTrue)
					cancel()
					s.stop()
					s.c.Assert(reports.Wait(), qt.IsNil)
				})
			})
		}
	}
}

// cutOff cuts the entry off for some time.
func (s *cutOffTest) cutOff(lasts time.Duration) {
	time.Sleep(2 * time.Second)
	s.entry.store.cutOff.Store(true)
	time.Sleep(lasts)
	s.entry.store.cutOff.Store(false)
	s.restoredAt = time.Now()
}

// awaitAssignment waits until the group assigns partitions to the entry after the end of
// the cut, and returns the time of that.
func (s *cutOffTest) awaitAssignment() time.Time {
	c := s.entry.coordinator
	for {
		c.mu.Lock()
		assigned := len(c.owned) > 0 && c.joinedAt.After(s.restoredAt)
		c.mu.Unlock()
		if assigned {
			return time.Now()
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitWorkers waits until the entry has the shards of all workers and a directory that
// was read after the end of the cut, and returns the time of that.
func (s *cutOffTest) awaitWorkers() time.Time {
	c := s.entry.coordinator
	for {
		directory := c.directory.Load()
		if directory != nil && len(*directory) == s.workers && (*directory)[0].Read.After(s.restoredAt) && knowsShards(c.shards, *directory) {
			return time.Now()
		}
		time.Sleep(time.Millisecond)
	}
}

// knowsShards reports whether the shards of all of the workers are known.
func knowsShards(shards *shards, workers []scheduler.WorkerEntry) bool {
	if !shards.complete() {
		return false
	}
	for _, worker := range workers {
		if _, known := shards.partitionOfWorker(worker); !known {
			return false
		}
	}
	return true
}

// TestRestoredStoreEndsOnePause guards against a store that answers joins and no reads, and
// that gets a read of each feed with each join.
func TestRestoredStoreEndsOnePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFeedTest(c, 1)
		var r restoration
		f.feed.restored = r.subscribe()
		f.store.fails = func(int) bool { return true }
		f.start()
		r.recordJoin(storer.ErrUnknown)
		time.Sleep(20 * time.Second)
		began := len(f.store.made())
		for range 100 {
			r.recordJoin(nil)
			time.Sleep(joinInterval)
		}
		synctest.Wait()
		// Each pause is at least half of the limit.
		reads := len(f.store.made()) - began
		c.Check(reads <= int(100*joinInterval/(maxFeedBackoff/2))+1, qt.IsTrue, qt.Commentf("%d reads", reads))
		r.recordJoin(storer.ErrUnavailable)
		began = len(f.store.made())
		r.recordJoin(nil)
		synctest.Wait()
		c.Check(f.store.made(), qt.HasLen, began+1)
		f.end(c)
	})
}

// TestSlowReadIsAbandonedOnce guards against a feed that never reads anything from a slow
// store, because the store answers every second join, and each answer ends the read that is
// under way.
func TestSlowReadIsAbandonedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFeedTest(c, 1)
		var r restoration
		f.feed.restored = r.subscribe()
		f.feed.store = slowNewest{
			Store: f.store,
		}
		f.feed.wait = time.Second
		f.store.fails = func(call int) bool { return call == 0 }
		f.start()
		for range 16 {
			r.recordJoin(storer.ErrUnknown)
			time.Sleep(joinInterval)
			r.recordJoin(nil)
		}
		synctest.Wait()
		c.Check(f.values, qt.HasLen, 1)
		f.end(c)
	})
}

// slowNewest is a store that takes as long for the newest records as it queues a call.
type slowNewest struct {
	storer.Store
}

func (s slowNewest) Newest(ctx context.Context, of storer.Partition, after string) (storer.NewestPage, error) {
	if err := timekeeper.Sleep(ctx, timekeeper.System(), modelMaxQueue); err != nil {
		return storer.NewestPage{}, storer.ErrUnavailable
	}
	return s.Store.Newest(ctx, of, after)
}

// TestSuspensionsEndWithTheCut guards against a new owner that gets no advice for up to 2 s
// after a cut, as the calls that failed meanwhile have suspended its own entry, and made
// the others unreachable until their next probe.
func TestSuspensionsEndWithTheCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(qt.New(t), 0)
		s.start(0)
		s.addEntry(0, time.Hour)
		entry := s.entries[0]
		pool := entry.coordinator.entryPool
		pool.setPeers(map[string]string{
			"other-1": "10.1.0.1:7",
			"other-2": "10.1.0.2:7",
		})
		owner := pool.adviserFor(0)
		// ask makes a call for advice that fails, and reports whether an entry made it.
		ask := func() bool {
			call, found := owner.beginCall(time.Second)
			if found {
				owner.endCall(call, AdviseReply{}, storer.ErrUnavailable)
			}
			return found
		}
		join := func() { entry.coordinator.join(context.Background(), &entry.group) }
		entry.store.cutOff.Store(true)
		for range 10 {
			time.Sleep(maxSuspension)
			pool.disconnect("other-")
			s.c.Assert(ask(), qt.IsTrue)
		}
		join()
		s.c.Assert(ask(), qt.IsFalse)
		s.c.Assert(pool.probeTargets(false), qt.HasLen, 0)
		entry.store.cutOff.Store(false)
		join()
		s.c.Check(pool.probeTargets(false), qt.HasLen, 2)
		s.c.Check(ask(), qt.IsTrue)
		// If the adviser is still out of reach, the entry is suspended for as long as before,
		// and further joins do not change that.
		join()
		time.Sleep(maxSuspension - 100*time.Millisecond)
		s.c.Check(ask(), qt.IsFalse)
		s.stop()
	})
}
