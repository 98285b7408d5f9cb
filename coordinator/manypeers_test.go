package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

func entryNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%03d", i)
	}
	return names
}

// TestProbesDoNotGrowWithTheEntries guards against entries that are busy with each other's
// probes while the store answers none of them: the probes of one interval are bounded, all
// entries get their turn, and those that can store jobs are probed each time.
func TestProbesDoNotGrowWithTheEntries(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	pool := newTestEntryPool(clock, 1, entryNames(300)...)
	c.Assert(pool.probeTargets(false), qt.HasLen, 0)
	relays := []string{pool.entries[17].address, pool.entries[170].address}
	for _, address := range relays {
		pool.setStoreReachable(address, true)
	}
	probed := make(map[string]bool)
	for range 299/maxSampleProbes + 1 {
		targets := pool.probeTargets(true)
		c.Assert(len(targets) <= maxRelayProbes+maxSampleProbes, qt.IsTrue)
		for _, address := range targets {
			probed[address] = true
		}
		for _, address := range relays {
			c.Assert(targets, qt.Contains, address)
		}
	}
	c.Assert(probed, qt.HasLen, 299)
	c.Assert(pool.relayPeers(5), qt.HasLen, 2)

	// Unreachable entries and those with calls get their turns too.
	pool.disconnect("entry-1")
	for _, entry := range pool.entries[200:260] {
		entry.activeCalls = 1
	}
	clock.Advance(maxProbePause)
	clear(probed)
	for range 100/maxDueProbes + 1 {
		targets := pool.probeTargets(false)
		c.Assert(len(targets) <= maxActiveProbes+maxDueProbes, qt.IsTrue)
		for _, address := range targets {
			probed[address] = true
		}
	}
	c.Assert(probed, qt.HasLen, 160)
}

// TestFewEntriesAreAllProbed guards against a cut-off entry that finds a peer that the
// store serves later than before where there are few entries.
func TestFewEntriesAreAllProbed(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	pool := newTestEntryPool(clock, 1, entryNames(maxSampleProbes)...)
	pool.disconnect("entry-00")
	for range 3 {
		c.Assert(pool.probeTargets(true), qt.HasLen, maxSampleProbes-1)
	}
}

// TestFewOfManyEntriesAreMembers guards against joins that take up the store's writes: of
// 300 entries 24 are to be members, the largest ones. Where there are few entries, all of
// them are.
func TestFewOfManyEntriesAreMembers(t *testing.T) {
	c := qt.New(t)
	peers := make(map[string]peer)
	for i, name := range entryNames(300) {
		peers[name] = peer{
			Address: name,
			Cores:   0.4,
		}
		if i%50 == 0 {
			peers[name] = peer{
				Address: name,
				Cores:   0.7,
			}
		}
		if len(peers) < manyEntries {
			c.Assert(preferredMembers(peers), qt.HasLen, 0)
		}
	}
	preferred := preferredMembers(peers)
	c.Assert(preferred, qt.HasLen, maxMembers)
	for _, name := range []string{"entry-000", "entry-050", "entry-100", "entry-150", "entry-200", "entry-250"} {
		c.Assert(preferred[:6], qt.Contains, name)
	}
	// Names that sort together are usually in one data centre.
	ranges := make(map[string]bool)
	for _, name := range preferred[6:] {
		ranges[name[:len("entry-0")]] = true
	}
	c.Assert(ranges, qt.HasLen, 3)
}

// TestLargerEntriesAreAskedInTurns guards against an entry that asks hundreds of larger
// ones at once while none is a member, and against one that joins before it has asked all.
func TestLargerEntriesAreAskedInTurns(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	var mu sync.Mutex
	asked, round := make(map[string]bool), 0
	finder := largerFinder{
		clock: clock,
		ask: func(_ context.Context, address string) AliveReply {
			mu.Lock()
			defer mu.Unlock()
			asked[address] = true
			round++
			return AliveReply{}
		},
	}
	larger := entryNames(250)
	for {
		round = 0
		found := finder.found(context.Background(), larger)
		c.Assert(round <= maxLargerAsked+maxAskedAtOnce, qt.IsTrue, qt.Commentf("%d asked", round))
		if !found {
			break
		}
		clock.Advance(joinInterval)
	}
	c.Assert(asked, qt.HasLen, 250)
	// While the next round is under way the entry must not leave the group again.
	for range 10 {
		c.Assert(finder.found(context.Background(), larger), qt.IsFalse)
		clock.Advance(joinInterval)
	}
}

// TestOwnerGetsNoPartOfItsWorkers guards against an owner that takes over with some of its
// workers missing, because the records of the workers' shards have not been read yet.
func TestOwnerGetsNoPartOfItsWorkers(t *testing.T) {
	c := qt.New(t)
	s := newShards(defaultShardSize, 12)
	service := encodeRecord(serviceKey+"desk", serviceRecord{
		Shards: 2,
	})
	c.Assert(s.applyServices([]storer.Record{service}), qt.IsTrue)
	c.Assert(s.applyServices([]storer.Record{service}), qt.IsFalse)
	c.Assert(s.decided("desk"), qt.IsTrue)
	c.Assert(s.complete(), qt.IsFalse)
	c.Assert(s.usedPartitions(), qt.HasLen, 2)
	s.apply([]storer.Record{
		service,
		encodeRecord(workerKey+"w", workerRecord{
			Shard: 1,
		}),
	}, 2)
	c.Assert(s.complete(), qt.IsTrue)
	s.forgetWorkers()
	c.Assert(s.complete(), qt.IsFalse)
	c.Assert(s.decided("desk"), qt.IsTrue)
}
