package coordinator

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// newTestEntryPool returns the pool of the first of the named entries. The service
// "any" has that number of shards.
func newTestEntryPool(clock timekeeper.Clock, shards int, names ...string) *entryPool {
	coordinator := &Coordinator{
		settings: newSettings([]Option{Clock(clock)}),
		shards:   newShards(defaultShardSize, 12),
	}
	coordinator.settings.name = names[0]
	coordinator.shards.apply([]storer.Record{
		encodeRecord(serviceKey+"any", serviceRecord{
			Shards: shards,
		}),
	}, 1)
	pool := newEntryPool(coordinator)
	peers := make(map[string]string)
	for i, name := range names[1:] {
		peers[name] = fmt.Sprintf("10.0.0.%d:1", i+1)
	}
	pool.setPeers(peers)
	return pool
}

// disconnect marks the entries whose names begin with prefix as unreachable. It
// marks none if prefix is empty.
func (p *entryPool) disconnect(prefix string) {
	for _, entry := range p.entries {
		if prefix != "" && strings.HasPrefix(entry.name, prefix) {
			entry.markUnreachable(p.coordinator.settings.clock.Now())
		}
	}
}

// TestAdviceSlotsWithUnreachableEntries guards against too few calls for advice
// while a data centre is cut off. With some 25 quick calls per second of 20 ms
// each, and a backlog, the owners must still get two calls at a time in each of the
// remaining entries.
func TestAdviceSlotsWithUnreachableEntries(t *testing.T) {
	eight := []string{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2"}
	for _, test := range []struct {
		names       []string
		unreachable string
		quick, long int
	}{
		{
			names: eight,
			quick: 6,
			long:  5,
		},
		{
			names:       eight,
			unreachable: "a",
			quick:       4,
			long:        3,
		},
		{
			names:       eight,
			unreachable: "b",
			quick:       4,
			long:        3,
		},
		{
			names:       eight,
			unreachable: "c",
			quick:       4,
			long:        4,
		},
		{
			names: []string{"a-1", "b-1"},
			quick: 4,
			long:  2,
		},
		{
			names: []string{"a-1"},
			quick: 2,
			long:  1,
		},
	} {
		t.Run(fmt.Sprintf("%d entries without %q", len(test.names), test.unreachable), func(t *testing.T) {
			c := qt.New(t)
			pool := newTestEntryPool(timekeeper.NewFake(time.Unix(1_700_000_000, 0)), 2, test.names...)
			pool.disconnect(test.unreachable)
			quick, long := pool.adviserFor(0).AdviceLimits()
			c.Assert(quick, qt.Equals, test.quick)
			c.Assert(long, qt.Equals, test.long)
		})
	}
}

// TestOwnerOfTwoShardsHasOneShare guards against calls that nobody may make: two
// shards in one partition have one owner, which gets the calls of one owner.
func TestOwnerOfTwoShardsHasOneShare(t *testing.T) {
	for _, test := range []struct {
		name string
		// servicePartitions holds the partitions of each service.
		servicePartitions [][]int
		owners            int
		quick, long       int
	}{
		{
			name:   "no service yet",
			quick:  6,
			long:   5,
			owners: 0,
		},
		{
			name:              "one partition",
			servicePartitions: [][]int{{3}, {3}},
			quick:             6,
			long:              5,
			owners:            1,
		},
		{
			name:              "one of two each in common",
			servicePartitions: [][]int{{3, 4}, {4, 5}},
			quick:             4,
			long:              4,
			owners:            3,
		},
		{
			name:              "both in common",
			servicePartitions: [][]int{{3, 4}, {4, 3}},
			quick:             6,
			long:              5,
			owners:            2,
		},
		{
			name:              "none in common",
			servicePartitions: [][]int{{3, 4}, {5, 6}},
			quick:             3,
			long:              3,
			owners:            4,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			pool := newTestEntryPool(timekeeper.NewFake(time.Unix(1_700_000_000, 0)), 0, "a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2")
			for i, partitions := range test.servicePartitions {
				bad := pool.coordinator.shards.apply([]storer.Record{
					encodeRecord(fmt.Sprintf("%s%d", serviceKey, i), serviceRecord{
						Shards:     len(partitions),
						Partitions: partitions,
					}),
				}, int64(i+1))
				c.Assert(bad, qt.HasLen, 0)
			}
			_, owners := pool.coordinator.shards.rank(0)
			c.Assert(owners, qt.Equals, test.owners)
			quick, long := pool.adviserFor(0).AdviceLimits()
			c.Assert(quick, qt.Equals, test.quick)
			c.Assert(long, qt.Equals, test.long)
		})
	}
}

// TestOwnersAgreeOnKindsOfEntries checks that owners that find different entries
// unreachable agree on the kind of calls that each entry makes. Otherwise quick
// calls of one owner would wait behind long calls of another.
func TestOwnersAgreeOnKindsOfEntries(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	names := []string{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2"}
	kinds := make(map[string]string)
	for _, unreachable := range []string{"", "a", "b", "c", "a-3", "c-1"} {
		pool := newTestEntryPool(clock, 2, names...)
		pool.disconnect(unreachable)
		quick, long := pool.divideByKind(clock.Now())
		for kind, entries := range map[string][]*entryState{
			"quick": quick,
			"other": long,
		} {
			for _, entry := range entries {
				if known, seen := kinds[entry.name]; seen {
					c.Assert(known, qt.Equals, kind, qt.Commentf("%s without %q", entry.name, unreachable))
				}
				kinds[entry.name] = kind
			}
		}
	}
}

// TestSilentEntryGetsNoCallsUntilItAnswers checks that an entry that has not
// answered for a long time gets no calls for advice, and that it gets calls again
// once it answers.
func TestSilentEntryGetsNoCallsUntilItAnswers(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	pool := newTestEntryPool(clock, 2, "a-1", "b-1", "c-1")
	pool.disconnect("c")
	address := pool.entries[2].address
	for range 20 {
		clock.Advance(time.Second)
		for range 10 {
			call, _ := pool.adviserFor(0).beginCall(10 * time.Millisecond)
			c.Assert(call.entryState.name, qt.Not(qt.Equals), "c-1")
		}
	}
	pool.recordAnswer(address, nil)
	c.Assert(pool.entries[2].unreachable, qt.IsFalse)
	call, _ := pool.adviserFor(0).beginCall(10 * time.Millisecond)
	c.Assert(call.entryState.name, qt.Equals, "c-1")
}

// TestQuickCallsDoNotWaitOnALargerInstallation guards against too few entries for
// the quick calls of a larger installation. Its 72 calls per second of 31 ms, 2.3
// times as many in a burst, must keep less than 0.8 of these entries busy while a
// quarter of all entries is cut off.
func TestQuickCallsDoNotWaitOnALargerInstallation(t *testing.T) {
	c := qt.New(t)
	names := make([]string, 35)
	for i := range names {
		names[i] = fmt.Sprintf("%c-%02d", 'a'+i%4, i/4)
	}
	pool := newTestEntryPool(timekeeper.NewFake(time.Unix(1_700_000_000, 0)), 2, names...)
	pool.disconnect("b")
	quick, _ := pool.divideByKind(pool.coordinator.settings.clock.Now())
	const busy = 72 * 2.3 * 0.031
	c.Assert(busy/float64(len(quick)) < 0.8, qt.IsTrue, qt.Commentf("%d entries", len(quick)))
}

// silentCaller calls peers that do not answer. Its errors are marked with err, or with messenger.ErrUnknown if that is
// nil.
type silentCaller struct {
	err error
}

func (silentCaller) Close() {}

func (s silentCaller) Call(ctx context.Context, _, _ string, _, _ any) error {
	if ctx.Err() != nil {
		return messenger.ErrUnreachable
	}
	<-ctx.Done()
	return fmt.Errorf("%w: %w", cmp.Or(s.err, messenger.ErrUnknown), ctx.Err())
}

// TestRelayWithoutTimeShowsNothingOfThePeer guards against peers that could store jobs and get none, and whose calls for
// advice are cancelled, as a caller had no time left when its job was to be relayed (issue 78).
func TestRelayWithoutTimeShowsNothingOfThePeer(t *testing.T) {
	for _, test := range []struct {
		name        string
		left        time.Duration
		unreachable bool
	}{
		{
			name: "none left",
		},
		{
			name: "little left",
			left: 10 * time.Millisecond,
		},
		{
			name:        "enough for a call",
			left:        time.Second,
			unreachable: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				pool := newTestEntryPool(timekeeper.System(), 2, "a-1", "b-1", "c-1")
				coordinator := pool.coordinator
				coordinator.entryPool, coordinator.pool = pool, silentCaller{}
				peers := pool.reachablePeers(2)
				for _, address := range peers {
					pool.setStoreReachable(address, true)
				}
				ctx, cancel := context.WithTimeout(context.Background(), test.left)
				defer cancel()
				err := coordinator.callAny(ctx, peers, "Append", AppendArgs{}, &AppendReply{})
				c.Assert(err, qt.IsNotNil)
				c.Check(pool.byName["b-1"].unreachable, qt.Equals, test.unreachable)
				c.Check(pool.byName["c-1"].unreachable, qt.IsFalse)
			})
		})
	}
}

// TestWithdrawnAdviceShowsNothingOfTheEntry guards against entries that get no calls for advice, as an owner that lost its
// partition, or a peer that missed a probe, ended the calls that were under way (issue 78).
func TestWithdrawnAdviceShowsNothingOfTheEntry(t *testing.T) {
	for _, test := range []struct {
		name string
		// withdraw ends the calls under way.
		withdraw func(pool *entryPool, loseOwnership context.CancelFunc)
		// failures is how many calls the entries have not answered then.
		failures int
	}{
		{
			name:     "lost ownership",
			withdraw: func(_ *entryPool, loseOwnership context.CancelFunc) { loseOwnership() },
		},
		{
			name: "missed probes",
			withdraw: func(pool *entryPool, _ context.CancelFunc) {
				for _, address := range pool.reachablePeers(2) {
					pool.recordAnswer(address, messenger.ErrUnknown)
				}
			},
			failures: 1,
		},
	} {
		for _, callErr := range []error{messenger.ErrUnknown, messenger.ErrUnreachable} {
			t.Run(fmt.Sprintf("%s, %v", test.name, callErr), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					pool := newTestEntryPool(timekeeper.System(), 2, "a-1", "b-1", "c-1")
					pool.coordinator.pool = silentCaller{
						err: callErr,
					}
					// This entry itself makes no calls.
					pool.byName["a-1"].suspendedUntil = time.Now().Add(time.Minute)
					ctx, loseOwnership := context.WithCancel(context.Background())
					defer loseOwnership()
					var calls errgroup.Group
					for range 4 {
						calls.Go(func() error {
							_, _, err := pool.adviserFor(0).Advise(ctx, scheduler.AskAdvice{
								Cost: 10 * time.Millisecond,
							})
							return err
						})
					}
					synctest.Wait()
					test.withdraw(pool, loseOwnership)
					c.Assert(calls.Wait(), qt.IsNotNil)
					for _, name := range []string{"b-1", "c-1"} {
						entry := pool.byName[name]
						c.Check(entry.failures, qt.Equals, test.failures, qt.Commentf("%s", name))
						c.Check(entry.suspendedUntil, qt.Equals, time.Time{}, qt.Commentf("%s", name))
					}
				})
			})
		}
	}
}
