package watcher

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// newConvergedCluster returns a cluster whose members are the processes at the
// addresses.
func newConvergedCluster(c *qt.C, addresses ...string) *cluster {
	testCluster := newCluster(noFault)
	for _, address := range addresses {
		testCluster.start(address)
	}
	testCluster.advance(10 * time.Second)
	c.Assert(testCluster.converged(), qt.IsTrue)
	return testCluster
}

// TestHeartbeatsCarryLoadAndOffset checks that the load and the applied offset
// of a member reach its peers with its heartbeats.
func TestHeartbeatsCarryLoadAndOffset(t *testing.T) {
	c := qt.New(t)
	cluster := newConvergedCluster(c, "a", "b")
	a, b := cluster.processAt("a").watcher, cluster.processAt("b").watcher
	b.appliedOffset = func() namer.Offset { return 17 }
	c.Assert(b.SetLoad(map[string]int{
		"free": 3,
	}), qt.IsNil)
	c.Assert(b.SetLoad(make([]byte, maxLoadBytes)), qt.ErrorIs, ErrLoad)
	c.Assert(b.SetLoad(func() {}), qt.ErrorIs, ErrLoad)
	cluster.advance(time.Second)

	load, ok := a.Load(b.self.Name)
	c.Assert(ok, qt.IsTrue)
	c.Assert(string(load), qt.Equals, `{"free":3}`)
	appliedOffset, ok := a.Offset(b.self.Name)
	c.Assert(ok, qt.IsTrue)
	c.Assert(appliedOffset, qt.Equals, namer.Offset(17))
	_, ok = a.Load("nobody")
	c.Assert(ok, qt.IsFalse)
}

func TestAliveFollowsTheHeartbeats(t *testing.T) {
	c := qt.New(t)
	cluster := newConvergedCluster(c, "a", "b", "c")
	a, b := cluster.processAt("a").watcher, cluster.processAt("b")
	c.Assert(a.Alive(a.self.Name), qt.IsTrue)
	c.Assert(a.Alive(b.watcher.self.Name), qt.IsTrue)
	c.Assert(a.Alive("nobody"), qt.IsFalse)
	b.dead = true
	cluster.advance(4 * time.Second)
	c.Assert(a.Alive(b.watcher.self.Name), qt.IsFalse)
}

// TestPeersOfOtherDataCentresAreRefused checks that calls which name another
// data centre are refused.
func TestPeersOfOtherDataCentresAreRefused(t *testing.T) {
	c := qt.New(t)
	r := newConvergedCluster(c, "a").processAt("a").watcher.Receiver().(*receiver)
	var reply Heartbeat
	c.Assert(r.Heartbeat(Heartbeat{
		DataCentre: "elsewhere",
	}, &reply), qt.ErrorIs, ErrDataCentre)
	var testimony Testimony
	c.Assert(r.Testify(Doubt{
		DataCentre: "elsewhere",
	}, &testimony), qt.ErrorIs, ErrDataCentre)
}

func TestLeave(t *testing.T) {
	c := qt.New(t)
	cluster := newConvergedCluster(c, "a", "b")
	leavingWatcher := cluster.processAt("a").watcher
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// Leave fails, since no process has run a round in which it could propose a
	// membership without the leaving one.
	c.Assert(leavingWatcher.Leave(ctx), qt.ErrorIs, ErrLeave)
	cluster.advance(2 * time.Second)
	var group errgroup.Group
	group.Go(func() error {
		return leavingWatcher.Leave(context.Background())
	})
	c.Assert(group.Wait(), qt.IsNil)
	m, _, _ := cluster.state.Membership("here")
	c.Assert(m.Members, qt.DeepEquals, []recorder.Member{cluster.processAt("b").watcher.self})
}

// TestFlappingIsDamped checks that a member that is paused again and again
// causes few epochs, since its rejoin backoff grows.
func TestFlappingIsDamped(t *testing.T) {
	c := qt.New(t)
	cluster := newConvergedCluster(c, "a", "b", "c")
	before, _, _ := cluster.state.Membership("here")
	const flaps = 60
	for range flaps {
		cluster.processAt("c").pausedUntil = cluster.clock.Now().Add(5 * time.Second)
		cluster.advance(10 * time.Second)
	}
	after, _, _ := cluster.state.Membership("here")
	t.Logf("%d epochs for %d pauses of 5 s in 10 minutes", after.Epoch-before.Epoch, flaps)
	c.Assert(after.Epoch-before.Epoch < flaps, qt.IsTrue)
}
