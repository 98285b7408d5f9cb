package coordinator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/timekeeper"
)

// TestSlotsOfLanes answers the pattern of a cut that leaves few entries to ask
// the adviser: the callers at the doors, with some 25 quick calls a second of
// 20 ms and a backlog to work off, still get two calls at a time in each of at
// least a third of the entries.
func TestSlotsOfLanes(t *testing.T) {
	for _, test := range []struct {
		ready, shards int
		quick, other  int
	}{
		{
			ready:  8,
			shards: 2,
			quick:  6,
			other:  5,
		},
		{
			ready:  5,
			shards: 2,
			quick:  4,
			other:  3,
		},
		{
			ready:  2,
			shards: 2,
			quick:  2,
			other:  1,
		},
		{
			ready:  1,
			shards: 2,
			quick:  2,
			other:  1,
		},
		{
			ready:  35,
			shards: 6,
			quick:  10,
			other:  7,
		},
	} {
		t.Run(fmt.Sprintf("%d entries, %d shards", test.ready, test.shards), func(t *testing.T) {
			c := qt.New(t)
			clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
			home := &Coordinator{
				settings: newSettings([]Option{Clock(clock)}),
				shards:   newShards(defaultShardSize, 12),
			}
			home.settings.name = "e00"
			home.shards.counts["any"] = test.shards
			l := newLanes(home)
			peers := make(map[string]string)
			for i := 1; i < test.ready+3; i++ {
				peers[fmt.Sprintf("e%02d", i)] = fmt.Sprintf("10.0.0.%d:1", i)
			}
			l.setPeers(peers)
			for _, known := range l.all[test.ready:] {
				known.failed(clock.Now())
			}
			quick, other := l.Slots()
			c.Assert(quick, qt.Equals, test.quick)
			c.Assert(other, qt.Equals, test.other)
		})
	}
}
