package coordinator

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// TestFloodIsAcceptedWithoutAnAnswerOfTheOwner guards against refusals of jobs, or
// callers that get no answer, while the owner of a partition is gone or silent.
func TestFloodIsAcceptedWithoutAnAnswerOfTheOwner(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, silent.Close(), qt.IsNil) }()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, gone.Close(), qt.IsNil)
	c := &Coordinator{
		settings:     newSettings([]Option{Clock(timekeeper.System())}),
		pool:         messenger.NewPool(),
		store:        newWatchedStore(storer.NewMemory(timekeeper.System()), timekeeper.System()),
		ownerMetrics: newOwnerMetrics(),
	}
	c.owners = newOwnerTable(c.store, c.settings.clock)
	c.owners.addresses = map[int]string{
		0: silent.Addr().String(),
		1: gone.Addr().String(),
	}
	// The owners are not read again.
	c.owners.triedAt = time.Now().Add(time.Hour)
	defer c.pool.Close()
	for partition := range 2 {
		qt.Check(t, c.admit(context.Background(), partition, scheduler.Job{
			ID:           "a",
			Organisation: "flooder",
		}), qt.IsNil)
	}
}

// TestFloodCountsAgainstThePartOfThePartition guards against owners that together entitle
// an organisation to less than its rate.
func TestFloodCountsAgainstThePartOfThePartition(t *testing.T) {
	s := newShards(defaultShardSize, 12)
	s.servicePartitions["desk"] = []int{0, 1, 2, 3}
	s.servicePartitions["cards"] = []int{3, 4}
	for partition, want := range map[int]float64{
		0:  0.25,
		3:  0.5,
		4:  0.5,
		11: 1,
	} {
		qt.Check(t, s.jobPart(partition), qt.Equals, want)
	}
}
