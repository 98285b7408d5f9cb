package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/timekeeper"
)

func TestPeerRecords(t *testing.T) {
	c := qt.New(t)
	known := peer{
		Address: "10.0.0.1:7",
		Cores:   0.192,
	}
	data, err := encodePeer(known)
	c.Assert(err, qt.IsNil)
	c.Assert(decodePeer(data), qt.Equals, known)
	// The record of an older release is the plain address.
	c.Assert(decodePeer([]byte("10.0.0.1:7")), qt.Equals, peer{
		Address: "10.0.0.1:7",
	})
}

func TestLargerPeers(t *testing.T) {
	for _, test := range []struct {
		name        string
		own, others float64
		want        int
	}{
		{
			name:   "alike",
			own:    0.4,
			others: 0.4,
		},
		{
			name:   "a little larger",
			own:    0.4,
			others: 0.6,
		},
		{
			// An entry of 0.48 cores and its link take as long as a lease to take a
			// partition over, one of 0.8 a tenth of that.
			name:   "two thirds larger",
			own:    0.48,
			others: 0.8,
			want:   2,
		},
		{
			name:   "much larger",
			own:    0.192,
			others: 0.8,
			want:   2,
		},
		{
			name:   "smaller",
			own:    0.8,
			others: 0.192,
		},
		{
			name:   "own size unknown",
			others: 0.8,
		},
		{
			name: "their size unknown",
			own:  0.8,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := newSettings([]Option{Cores(test.own)})
			settings.name = "own"
			coordinator := &Coordinator{
				settings: settings,
				peers: map[string]peer{
					"own": {
						Address: "10.0.0.1:7",
						Cores:   test.own,
					},
					"a": {
						Address: "10.0.0.2:7",
						Cores:   test.others,
					},
					"b": {
						Address: "10.0.0.3:7",
						Cores:   test.others,
					},
				},
			}
			qt.Assert(t, coordinator.largerPeers(), qt.HasLen, test.want)
		})
	}
}

// TestSmallEntriesStayOutWhileOneLargerEntryIsMember checks that no small entry joins
// the group while the store turns most of the larger entries away for 30 s, and that
// all of them do after the last one is no member any more. Each entry that joins or
// leaves moves partitions between the members.
func TestSmallEntriesStayOutWhileOneLargerEntryIsMember(t *testing.T) {
	const smallEntries, largerEntries = 36, 6
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	var larger []string
	for i := range largerEntries {
		larger = append(larger, fmt.Sprint(i))
	}
	members := map[string]bool{
		larger[0]: true,
	}
	finders := make([]largerFinder, smallEntries)
	for i := range finders {
		finders[i] = largerFinder{
			clock: clock,
			ask: func(_ context.Context, address string) AliveReply {
				return AliveReply{
					Member: members[address],
				}
			},
		}
	}
	joining := func() int {
		n := 0
		for i := range finders {
			if !finders[i].found(context.Background(), larger) {
				n++
			}
		}
		return n
	}
	for range 30 * time.Second / joinInterval {
		c.Assert(joining(), qt.Equals, 0)
		clock.Advance(joinInterval)
	}
	clear(members)
	clock.Advance(largerMemberExpiry)
	c.Assert(joining(), qt.Equals, smallEntries)
}

// TestPlacementsAreStoredOnlyIfAllEntriesKeepThem guards against a task that runs twice
// after an owner of an older release, which does not keep stored placements up to date.
func TestPlacementsAreStoredOnlyIfAllEntriesKeepThem(t *testing.T) {
	c := qt.New(t)
	current := peer{
		Address:    "10.0.0.1:7",
		Placements: true,
	}
	peers := map[string]peer{
		"a": current,
		"b": current,
	}
	c.Assert(allKeepPlacements(peers), qt.IsTrue)
	peers["b"] = decodePeer([]byte(`{"address":"10.0.0.2:7","cores":0.8}`))
	c.Assert(allKeepPlacements(peers), qt.IsFalse)
	peers["b"] = decodePeer([]byte("10.0.0.2:7"))
	c.Assert(allKeepPlacements(peers), qt.IsFalse)
}

// TestCancelKeysOfOrganisationsOnlyIfAllEntriesReadThem guards against a job that runs although
// its cancelling was acknowledged, as its owner is of an older release.
func TestCancelKeysOfOrganisationsOnlyIfAllEntriesReadThem(t *testing.T) {
	c := qt.New(t)
	peers := map[string]peer{
		"a": {
			Address:       "10.0.0.1:7",
			OwnCancelKeys: true,
		},
	}
	c.Assert(allReadOwnCancelKeys(peers), qt.IsTrue)
	peers["b"] = decodePeer([]byte(`{"address":"10.0.0.2:7","placements":true}`))
	c.Assert(peers["b"].Address, qt.Equals, "10.0.0.2:7")
	c.Assert(allReadOwnCancelKeys(peers), qt.IsFalse)
}

// TestRangesAreStoredOnlyIfAllEntriesReadThem guards against occurrences that run again under
// an owner of an older release, which does not read ranges.
func TestRangesAreStoredOnlyIfAllEntriesReadThem(t *testing.T) {
	c := qt.New(t)
	current := peer{
		Address: "10.0.0.1:7",
		Ranges:  true,
	}
	peers := map[string]peer{
		"a": current,
		"b": current,
	}
	c.Assert(allReadRanges(peers), qt.IsTrue)
	peers["b"] = decodePeer([]byte(`{"address":"10.0.0.2:7","cores":0.8,"placements":true}`))
	c.Assert(peers["b"].Address, qt.Equals, "10.0.0.2:7")
	c.Assert(allReadRanges(peers), qt.IsFalse)
	peers["b"] = decodePeer([]byte("10.0.0.2:7"))
	c.Assert(peers["b"].Address, qt.Equals, "10.0.0.2:7")
	c.Assert(allReadRanges(peers), qt.IsFalse)
}

// TestTasksAreGrantedOnlyIfAllEntriesShareRoom guards against tasks that run twice under an owner
// of an older release, which drops the grants of a job, or run more often than allowed, as it drops
// how often they have failed.
func TestTasksAreGrantedOnlyIfAllEntriesShareRoom(t *testing.T) {
	c := qt.New(t)
	current := peer{
		Address: "10.0.0.1:7",
		Grants:  true,
		Room:    true,
	}
	peers := map[string]peer{
		"a": current,
		"b": current,
	}
	c.Assert(allShareRoom(peers), qt.IsTrue)
	peers["b"] = decodePeer([]byte(`{"address":"10.0.0.2:7","cores":0.8,"placements":true,"ranges":true}`))
	c.Assert(allShareRoom(peers), qt.IsFalse)
	peers["b"] = decodePeer([]byte(`{"address":"10.0.0.2:7","cores":0.8,"placements":true,"ranges":true,"grants":true}`))
	c.Assert(allShareRoom(peers), qt.IsFalse)
}
