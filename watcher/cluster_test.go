package watcher

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/timekeeper"
)

// TestMain fixes the seed of the property tests, so that every run draws the
// same cases. The flag -rapid.seed still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		os.Stderr.WriteString(err.Error())
		code = 1
	}
	os.Exit(code)
}

// seededFault is a deliberate fault that the property test must detect.
type seededFault int

const (
	noFault seededFault = iota
	// skipsWitnesses makes a watcher suspect members by its own clock alone,
	// without asking witnesses and without noticing its own pauses.
	skipsWitnesses
	// neverFreezes makes a watcher propose without contact with the log.
	neverFreezes
)

var errUnreachable = errors.New("cut off")

// process is one incarnation of an entry process.
type process struct {
	watcher *Watcher
	address string
	dead    bool
	// pausedUntil is when the current or last pause ends.
	pausedUntil time.Time
	// lastFault is when recordFaults last found a fault of the process, or when
	// the process started if there was none.
	lastFault time.Time
}

// cluster is one data centre. Its processes run one after the other on a fake
// clock.
type cluster struct {
	fault seededFault
	clock *timekeeper.Fake
	// processes holds every incarnation; those at the same address follow each
	// other.
	processes []*process
	// cutLinks holds the directions that are cut, from address to address.
	cutLinks map[[2]string]bool
	// logDown is set while the log is unreachable; lastLogContact is the last
	// time at which it was not.
	logDown        bool
	lastLogContact time.Time
	state          *replayer.State
	nextOffset     namer.Offset
	violation      error
}

// testTiming shortens the rejoin backoff, so that a history converges sooner.
func testTiming() Timing {
	timing := DefaultTiming()
	timing.MaxRejoinBackoff = 30 * time.Second
	return timing
}

func newCluster(fault seededFault) *cluster {
	start := time.Unix(1000, 0)
	return &cluster{
		fault:          fault,
		clock:          timekeeper.NewFake(start),
		cutLinks:       make(map[[2]string]bool),
		lastLogContact: start,
		state:          replayer.New(),
		nextOffset:     1,
	}
}

// start starts a new incarnation at the address.
func (c *cluster) start(address string) *process {
	p := &process{
		address:   address,
		lastFault: c.clock.Now(),
	}
	member := recorder.Member{
		Name:  fmt.Sprintf("%s-%d", address, len(c.processes)),
		Peers: address,
	}
	p.watcher = New(member, "here",
		Clock(c.clock),
		WithTiming(testTiming()),
		Seed(1),
		WithCaller(caller{
			cluster: c,
			from:    address,
		}),
		Memberships(func() (recorder.Membership, bool) {
			m, _, ok := c.state.Membership("here")
			return m, ok
		}),
		LogContact(func() time.Time {
			if c.fault == neverFreezes {
				return c.clock.Now()
			}
			return c.lastLogContact
		}),
		Propose(func(_ context.Context, m recorder.Membership) error {
			return c.propose(p, m)
		}),
	)
	c.processes = append(c.processes, p)
	return p
}

// caller delivers the calls of one address to the process at another.
type caller struct {
	cluster *cluster
	from    string
}

func (l caller) Call(_ context.Context, address, method string, args, reply any) error {
	c := l.cluster
	p := c.processAt(address)
	if p == nil || c.paused(p) || c.cutLinks[[2]string{l.from, address}] {
		return errUnreachable
	}
	r := p.watcher.Receiver().(*receiver)
	var err error
	switch method {
	case "Member.Heartbeat":
		err = r.Heartbeat(args.(Heartbeat), reply.(*Heartbeat))
	case "Member.Testify":
		if c.fault == skipsWitnesses {
			return errUnreachable
		}
		err = r.Testify(args.(Doubt), reply.(*Testimony))
	}
	if c.cutLinks[[2]string{address, l.from}] {
		return errUnreachable
	}
	return err
}

// processAt returns the running process at the address, or nil.
func (c *cluster) processAt(address string) *process {
	for _, p := range slices.Backward(c.processes) {
		if p.address == address && !p.dead {
			return p
		}
	}
	return nil
}

// propose stands in for the log: it accepts what the replayer accepts. It
// records a violation if a stable process is removed or if a proposal comes
// while the membership is frozen.
func (c *cluster) propose(by *process, m recorder.Membership) error {
	if c.logDown {
		if c.clock.Now().Sub(c.lastLogContact) > testTiming().FreezeAfter {
			c.violation = errors.New("proposed while frozen")
		}
		return errUnreachable
	}
	before, _, _ := c.state.Membership("here")
	id := fmt.Sprint(c.nextOffset)
	c.state.Apply(c.nextOffset, recorder.New(id, "", c.clock.Now(), m))
	c.nextOffset++
	verdict, _ := c.state.Verdict(id)
	if !verdict.Accepted() {
		return errors.New(verdict.Reason())
	}
	for _, member := range before.Members {
		p := c.processAt(member.Peers)
		if p != nil && p.watcher.self == member && !containsMember(m.Members, member.Name) && c.stable(p) {
			c.violation = fmt.Errorf("%s was taken out by %s: %s", member.Name, by.watcher.self.Name, m.Cause)
		}
	}
	return nil
}

// stable reports whether the process has had no fault for recoveryTime.
func (c *cluster) stable(p *process) bool {
	const recoveryTime = 15 * time.Second
	return c.clock.Now().Sub(p.lastFault) > recoveryTime
}

// linked reports whether the two processes can reach each other.
func (c *cluster) linked(p, q *process) bool {
	return !c.cutLinks[[2]string{p.address, q.address}] && !c.cutLinks[[2]string{q.address, p.address}]
}

func (c *cluster) alive() []*process {
	return slices.DeleteFunc(slices.Clone(c.processes), func(p *process) bool {
		return p.dead
	})
}

func (c *cluster) paused(p *process) bool {
	return !p.pausedUntil.IsZero() && !p.pausedUntil.Before(c.clock.Now())
}

// recordFaults sets lastFault of each process that is not connected, or that is
// linked to no hub other than itself. A process is connected if it is not
// paused and is linked to another such process; a hub is linked to every
// connected process. If the connected processes are at most half as many as the
// members, all processes count as faulty.
func (c *cluster) recordFaults() {
	running := slices.DeleteFunc(c.alive(), c.paused)
	connected := slices.DeleteFunc(slices.Clone(running), func(p *process) bool {
		return !slices.ContainsFunc(running, func(q *process) bool { return p != q && c.linked(p, q) })
	})
	var hubs []*process
	for _, p := range connected {
		if !slices.ContainsFunc(connected, func(q *process) bool { return !c.linked(p, q) }) {
			hubs = append(hubs, p)
		}
	}
	m, _, _ := c.state.Membership("here")
	for _, p := range c.alive() {
		hearsHub := slices.ContainsFunc(hubs, func(hub *process) bool { return hub != p && c.linked(p, hub) })
		if !slices.Contains(connected, p) || !hearsHub || 2*len(connected) <= len(m.Members) {
			p.lastFault = c.clock.Now()
		}
	}
}

// advance advances the clock in steps of one heartbeat interval. After each
// step it runs the rounds of every process that is not paused.
func (c *cluster) advance(d time.Duration) {
	interval := testTiming().Interval
	for range int(d / interval) {
		c.clock.Advance(interval)
		if !c.logDown {
			c.lastLogContact = c.clock.Now()
		}
		c.recordFaults()
		for _, p := range c.alive() {
			if !c.paused(p) {
				c.runRounds(p)
			}
		}
	}
}

func (c *cluster) runRounds(p *process) {
	ctx := context.Background()
	if c.fault == skipsWitnesses {
		p.watcher.table.lastRound = c.clock.Now()
		for _, other := range p.watcher.table.peers {
			other.failedHeartbeats = minFailedHeartbeats
		}
	} else {
		p.watcher.heartbeatRound(ctx)
	}
	p.watcher.reviewMembership(ctx)
	p.watcher.heartbeatRound(ctx)
}

// converged reports whether the members are exactly the processes that are
// alive, or no process is alive.
func (c *cluster) converged() bool {
	m, _, _ := c.state.Membership("here")
	alive := c.alive()
	for _, p := range alive {
		if !containsMember(m.Members, p.watcher.self.Name) {
			return false
		}
	}
	return len(m.Members) == len(alive) || len(alive) == 0
}

// runHistory runs a random history of faults and returns the first violation.
func runHistory(t *rapid.T, fault seededFault) error {
	c := newCluster(fault)
	addresses := []string{"a", "b", "c", "d", "e"}[:rapid.IntRange(2, 5).Draw(t, "hosts")]
	for _, address := range addresses {
		c.start(address)
	}
	c.advance(20 * time.Second)
	drawAddress := func(t *rapid.T) string { return rapid.SampledFrom(addresses).Draw(t, "address") }
	t.Repeat(map[string]func(*rapid.T){
		"kill": func(t *rapid.T) {
			if p := c.processAt(drawAddress(t)); p != nil {
				p.dead = true
			}
		},
		"start": func(t *rapid.T) {
			if address := drawAddress(t); c.processAt(address) == nil {
				c.start(address)
			}
		},
		"pause": func(t *rapid.T) {
			if p := c.processAt(drawAddress(t)); p != nil {
				p.pausedUntil = c.clock.Now().Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			}
		},
		"cut": func(t *rapid.T) {
			direction := [2]string{drawAddress(t), drawAddress(t)}
			c.cutLinks[direction] = direction[0] != direction[1]
		},
		"heal":       func(*rapid.T) { clear(c.cutLinks) },
		"toggle log": func(*rapid.T) { c.logDown = !c.logDown },
		"pass": func(t *rapid.T) {
			c.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
		},
	})
	clear(c.cutLinks)
	c.logDown = false
	c.advance(100 * time.Second)
	if c.violation == nil && !c.converged() {
		m, _, _ := c.state.Membership("here")
		c.violation = fmt.Errorf("epoch %d has %v with %d alive", m.Epoch, m.Members, len(c.alive()))
	}
	return c.violation
}

// TestMembersFollowTheLiving checks that no stable member is removed, whichever
// other members are dead, paused or cut off; that nothing is proposed while the
// membership is frozen; and that after the faults have ended the members are
// the processes that are alive.
func TestMembersFollowTheLiving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(t, noFault); err != nil {
			t.Fatal(err)
		}
	})
}

func TestMembersFollowTheLivingFindsSeededFaults(t *testing.T) {
	for name, fault := range map[string]seededFault{
		"a watcher skips witnesses": skipsWitnesses,
		"a watcher never freezes":   neverFreezes,
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			rapid.Check(t, func(t *rapid.T) {
				if runHistory(t, fault) != nil {
					found++
				}
			})
			qt.Assert(t, found > 0, qt.IsTrue)
		})
	}
}
