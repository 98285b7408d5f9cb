package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// ownersCaller answers for the owners of partitions: one of them has the job, and calls to another have no answer.
type ownersCaller struct {
	holder, gone int
}

func (ownersCaller) Close() {}

func (o ownersCaller) Call(ctx context.Context, _, _ string, args, reply any) error {
	switch args.(StateArgs).Partition {
	case o.gone:
		<-ctx.Done()
		return messenger.ErrUnknown
	case o.holder:
		*reply.(*StateReply) = StateReply{
			State: scheduler.Running,
			Found: true,
			Queue: "former",
		}
	}
	return nil
}

// TestJobOfAMovedQueueIsShownBesideAGoneOwner guards against the state of a job of a moved queue that is shown late, as the
// owner of a service that has nothing to do with it is gone (issue 75).
func TestJobOfAMovedQueueIsShownBesideAGoneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(c, 0)
		s.addEntry(0, time.Hour)
		coordinator := s.entries[0].coordinator
		coordinator.pool = ownersCaller{
			holder: 2,
			gone:   3,
		}
		coordinator.shards.servicePartitions = map[string][]int{
			"desk": {1},
			"lab":  {2},
			"hall": {3},
		}
		coordinator.owners.addresses = map[int]string{
			1: "10.1.0.1:7",
			2: "10.1.0.2:7",
			3: "10.1.0.3:7",
		}
		began := time.Now()
		state, err := coordinator.State(context.Background(), receiver.JobRef{
			ID: "00000000000000aa",
			Queue: scheduler.Queue{
				Name:    "alpha",
				Service: "desk",
			},
		})
		c.Check(err, qt.IsNil)
		c.Check(state, qt.Equals, scheduler.Running)
		c.Check(time.Since(began) < peerTimeout, qt.IsTrue, qt.Commentf("shown after %v", time.Since(began)))
		_, reliable := coordinator.owners.known(3)
		c.Check(reliable, qt.IsTrue)
		s.stop()
	})
}

// TestJobIsKnownBeforeItsQueueHasShards guards against an accepted job that is not shown, or refused when it is submitted
// again, as long as the present service of its queue has no shards (issue 75).
func TestJobIsKnownBeforeItsQueueHasShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(c, 0)
		s.addEntry(0, time.Hour)
		coordinator := s.entries[0].coordinator
		coordinator.pool = ownersCaller{
			gone: -1,
		}
		coordinator.shards.servicePartitions = map[string][]int{
			"desk": {0},
			"lab":  {2},
		}
		coordinator.owners.addresses = map[int]string{
			0: "10.1.0.1:7",
			2: "10.1.0.2:7",
		}
		coordinator.queueHistory.observe(routed(1, "/a/", "former", "desk"), time.Now())
		coordinator.queueHistory.observe(routed(2, "/a/", "alpha", "new"), time.Now())
		job := receiver.JobRef{
			ID: "00000000000000aa",
			Queue: scheduler.Queue{
				Name:    "alpha",
				Service: "new",
			},
		}
		state, err := coordinator.State(context.Background(), job)
		c.Check(err, qt.IsNil)
		c.Check(state, qt.Equals, scheduler.Running)
		again := scheduler.Job{
			ID:       job.ID,
			Queue:    job.Queue,
			Accepted: time.Now(),
			Phases: []scheduler.Phase{{
				Tasks: 1,
				Size:  sizer.New(1000, 1<<30, 0),
			}},
		}
		c.Check(coordinator.Submit(context.Background(), again), qt.IsNil)
		// No owner knows it: it may be stored once there are shards.
		coordinator.pool = ownersCaller{
			holder: -1,
			gone:   -1,
		}
		_, err = coordinator.State(context.Background(), job)
		c.Check(err, qt.ErrorIs, receiver.ErrOwnerUnreachable)
		c.Check(coordinator.Cancel(context.Background(), job), qt.ErrorIs, receiver.ErrNotStored)
		c.Check(coordinator.Submit(context.Background(), again), qt.ErrorIs, receiver.ErrNotStored)
		s.stop()
	})
}
