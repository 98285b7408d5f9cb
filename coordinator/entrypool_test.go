package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// newTestLanes returns the lanes of the first of the named entries.
func newTestLanes(clock timekeeper.Clock, shards int, names ...string) *entryPool {
	home := &Coordinator{
		settings: newSettings([]Option{Clock(clock)}),
		shards:   newShards(defaultShardSize, 12),
	}
	home.settings.name = names[0]
	home.shards.apply([]storer.Record{
		encodeRecord(serviceKey+"any", serviceRecord{
			Shards: shards,
		}),
	}, 1)
	l := newEntryPool(home)
	peers := make(map[string]string)
	for i, name := range names[1:] {
		peers[name] = fmt.Sprintf("10.0.0.%d:1", i+1)
	}
	l.setPeers(peers)
	return l
}

// rest has the entries rest whose names begin like that.
func (p *entryPool) rest(prefix string) {
	for _, known := range p.entries {
		if prefix != "" && strings.HasPrefix(known.name, prefix) {
			known.markUnreachable(p.coordinator.settings.clock.Now())
		}
	}
}

// TestSlotsOfLanes answers the pattern of a cut that leaves few entries to ask
// the adviser: the callers at the doors, with some 25 quick calls a second of
// 20 ms and a backlog to work off, still get two calls at a time in each of
// their entries, whichever data centre is cut off.
func TestSlotsOfLanes(t *testing.T) {
	eight := []string{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2"}
	for _, test := range []struct {
		names        []string
		gone         string
		quick, other int
	}{
		{
			names: eight,
			quick: 6,
			other: 5,
		},
		{
			names: eight,
			gone:  "a",
			quick: 4,
			other: 3,
		},
		{
			names: eight,
			gone:  "b",
			quick: 4,
			other: 3,
		},
		{
			names: eight,
			gone:  "c",
			quick: 4,
			other: 4,
		},
		{
			names: []string{"a-1", "b-1"},
			quick: 4,
			other: 2,
		},
		{
			names: []string{"a-1"},
			quick: 2,
			other: 1,
		},
	} {
		t.Run(fmt.Sprintf("%d entries without %q", len(test.names), test.gone), func(t *testing.T) {
			c := qt.New(t)
			l := newTestLanes(timekeeper.NewFake(time.Unix(1_700_000_000, 0)), 2, test.names...)
			l.rest(test.gone)
			quick, other := l.adviserFor(0).Slots()
			c.Assert(quick, qt.Equals, test.quick)
			c.Assert(other, qt.Equals, test.other)
		})
	}
}

// TestOwnerOfTwoShardsHasOneShare guards against calls that nobody may make: two
// shards in one partition have one owner, which gets the calls of one.
func TestOwnerOfTwoShardsHasOneShare(t *testing.T) {
	for _, test := range []struct {
		name string
		// places holds the partitions of the services.
		places       [][]int
		owners       int
		quick, other int
	}{
		{
			name:   "no service yet",
			quick:  6,
			other:  5,
			owners: 0,
		},
		{
			name:   "one partition",
			places: [][]int{{3}, {3}},
			quick:  6,
			other:  5,
			owners: 1,
		},
		{
			name:   "one of two each in common",
			places: [][]int{{3, 4}, {4, 5}},
			quick:  4,
			other:  4,
			owners: 3,
		},
		{
			name:   "both in common",
			places: [][]int{{3, 4}, {4, 3}},
			quick:  6,
			other:  5,
			owners: 2,
		},
		{
			name:   "none in common",
			places: [][]int{{3, 4}, {5, 6}},
			quick:  3,
			other:  3,
			owners: 4,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := newTestLanes(timekeeper.NewFake(time.Unix(1_700_000_000, 0)), 0, "a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2")
			for i, partitions := range test.places {
				bad := l.coordinator.shards.apply([]storer.Record{
					encodeRecord(fmt.Sprintf("%s%d", serviceKey, i), serviceRecord{
						Shards:     len(partitions),
						Partitions: partitions,
					}),
				}, int64(i+1))
				c.Assert(bad, qt.HasLen, 0)
			}
			_, owners := l.coordinator.shards.rank(0)
			c.Assert(owners, qt.Equals, test.owners)
			quick, other := l.adviserFor(0).Slots()
			c.Assert(quick, qt.Equals, test.quick)
			c.Assert(other, qt.Equals, test.other)
		})
	}
}

// TestOwnersAgreeOnLanes has two owners see other entries rest. No entry makes
// quick calls for one of them and long ones for the other, behind which the
// quick ones would wait.
func TestOwnersAgreeOnLanes(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	names := []string{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2"}
	kinds := make(map[string]string)
	for _, gone := range []string{"", "a", "b", "c", "a-3", "c-1"} {
		l := newTestLanes(clock, 2, names...)
		l.rest(gone)
		quick, other := l.divideByKind(clock.Now())
		for kind, entries := range map[string][]*entryState{
			"quick": quick,
			"other": other,
		} {
			for _, entry := range entries {
				if known, seen := kinds[entry.name]; seen {
					c.Assert(known, qt.Equals, kind, qt.Commentf("%s without %q", entry.name, gone))
				}
				kinds[entry.name] = kind
			}
		}
	}
}

// TestSilentEntryGetsNoCallsUntilItAnswers has an entry stay silent for long.
func TestSilentEntryGetsNoCallsUntilItAnswers(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	l := newTestLanes(clock, 2, "a-1", "b-1", "c-1")
	l.rest("c")
	address := l.entries[2].address
	for range 20 {
		clock.Advance(time.Second)
		for range 10 {
			call, _ := l.adviserFor(0).beginCall(10 * time.Millisecond)
			c.Assert(call.entryState.name, qt.Not(qt.Equals), "c-1")
		}
	}
	l.recordAnswer(address, nil)
	c.Assert(l.entries[2].unreachable, qt.IsFalse)
	call, _ := l.adviserFor(0).beginCall(10 * time.Millisecond)
	c.Assert(call.entryState.name, qt.Equals, "c-1")
}

// TestQuickCallsDoNotWaitInLargerCells guards against too few entries for the quick
// calls of a larger cell: 72 a second of 31 ms, 2.3 times as many in a burst, with
// a quarter of the entries cut off, keep under 0.8 of them busy.
func TestQuickCallsDoNotWaitInLargerCells(t *testing.T) {
	c := qt.New(t)
	names := make([]string, 35)
	for i := range names {
		names[i] = fmt.Sprintf("%c-%02d", 'a'+i%4, i/4)
	}
	l := newTestLanes(timekeeper.NewFake(time.Unix(1_700_000_000, 0)), 2, names...)
	l.rest("b")
	quick, _ := l.divideByKind(l.coordinator.settings.clock.Now())
	const busy = 72 * 2.3 * 0.031
	c.Assert(busy/float64(len(quick)) < 0.8, qt.IsTrue, qt.Commentf("%d entries", len(quick)))
}
