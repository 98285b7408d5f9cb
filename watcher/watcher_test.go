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

// newCalmCell returns a cell whose processes at the addresses are its members.
func newCalmCell(c *qt.C, addresses ...string) *cell {
	calm := newCell(noFault)
	for _, address := range addresses {
		calm.start(address)
	}
	calm.pass(10 * time.Second)
	c.Assert(calm.settled(), qt.IsTrue)
	return calm
}

// What a member says of itself goes with its heartbeats.
func TestHeartbeatsCarryLoadAndOffset(t *testing.T) {
	c := qt.New(t)
	cell := newCalmCell(c, "a", "b")
	a, b := cell.at("a").watcher, cell.at("b").watcher
	b.offset = func() namer.Offset { return 17 }
	c.Assert(b.SetLoad(map[string]int{
		"free": 3,
	}), qt.IsNil)
	c.Assert(b.SetLoad(make([]byte, maxLoad)), qt.ErrorIs, ErrLoad)
	c.Assert(b.SetLoad(func() {}), qt.ErrorIs, ErrLoad)
	cell.pass(time.Second)

	load, ok := a.Load(b.self.Name)
	c.Assert(ok, qt.IsTrue)
	c.Assert(string(load), qt.Equals, `{"free":3}`)
	offset, ok := a.Offset(b.self.Name)
	c.Assert(ok, qt.IsTrue)
	c.Assert(offset, qt.Equals, namer.Offset(17))
	_, ok = a.Load("nobody")
	c.Assert(ok, qt.IsFalse)
}

func TestAliveFollowsTheHeartbeats(t *testing.T) {
	c := qt.New(t)
	cell := newCalmCell(c, "a", "b", "c")
	a, b := cell.at("a").watcher, cell.at("b")
	c.Assert(a.Alive(a.self.Name), qt.IsTrue)
	c.Assert(a.Alive(b.watcher.self.Name), qt.IsTrue)
	c.Assert(a.Alive("nobody"), qt.IsFalse)
	b.dead = true
	cell.pass(4 * time.Second)
	c.Assert(a.Alive(b.watcher.self.Name), qt.IsFalse)
}

// A peer of another data centre is no peer, whatever address it was given.
func TestPeersOfOtherDataCentresAreRefused(t *testing.T) {
	c := qt.New(t)
	r := newCalmCell(c, "a").at("a").watcher.Receiver().(*receiver)
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
	cell := newCalmCell(c, "a", "b")
	leaving := cell.at("a").watcher
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// Leave asks once before it waits, and nobody has acted yet.
	c.Assert(leaving.Leave(ctx), qt.ErrorIs, ErrLeave)
	cell.pass(2 * time.Second)
	var group errgroup.Group
	group.Go(func() error {
		return leaving.Leave(context.Background())
	})
	c.Assert(group.Wait(), qt.IsNil)
	m, _, _ := cell.state.Membership("here")
	c.Assert(m.Members, qt.DeepEquals, []recorder.Member{cell.at("b").watcher.self})
}

// A member that comes and goes costs few epochs, since each time it waits for
// longer before it comes back.
func TestFlappingIsDamped(t *testing.T) {
	c := qt.New(t)
	cell := newCalmCell(c, "a", "b", "c")
	before, _, _ := cell.state.Membership("here")
	const flaps = 60
	for range flaps {
		cell.at("c").resumes = cell.clock.Now().Add(5 * time.Second)
		cell.pass(10 * time.Second)
	}
	after, _, _ := cell.state.Membership("here")
	t.Logf("%d epochs for %d pauses of 5 s in 10 minutes", after.Epoch-before.Epoch, flaps)
	c.Assert(after.Epoch-before.Epoch < flaps, qt.IsTrue)
}
