package allotter_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/sizer"
)

const (
	// simTick is the interval at which a simulated owner starts tasks and asks.
	simTick = 10 * time.Millisecond
	// simWrite is the time until the ledger is stored, and simLatency that of a message.
	simWrite   = 15 * time.Millisecond
	simLatency = 5 * time.Millisecond
	// simTimeout is the time after which a call without an answer has failed.
	simTimeout = 600 * time.Millisecond
)

// simWork is a task, or a gang that starts all at once.
type simWork struct {
	size     sizer.Size
	duration time.Duration
	// latestStart is its urgency.
	latestStart time.Time
	endsAt      time.Time
}

// simOwner is the owner of one partition.
type simOwner struct {
	partition        int
	ledger           *allotter.Ledger
	asker            *allotter.Asker
	waits            *allotter.Waits
	claims           *allotter.Claims
	waiting, running []simWork
	// started counts the works that were started.
	started int
}

type simEvent struct {
	at    time.Time
	carry func()
}

// exchangeSim simulates owners that ask each other for parts of one organisation, in
// virtual time.
type exchangeSim struct {
	now     time.Time
	maximum sizer.Size
	owners  []*simOwner
	events  []simEvent
	// lost returns whether the next message is lost.
	lost func() bool
	// moved counts the parts of the cores that were given.
	moved int64
}

func newExchangeSim(owners int, maximum sizer.Size) *exchangeSim {
	sim := &exchangeSim{
		now:     time.Unix(1_700_000_000, 0),
		maximum: maximum,
		lost:    func() bool { return false },
	}
	var base []int
	for partition := range owners {
		base = append(base, partition)
	}
	for partition := range owners {
		o := &simOwner{
			partition: partition,
			ledger:    allotter.NewLedger(),
			asker:     allotter.NewAsker(),
			waits:     allotter.NewWaits(),
			claims:    allotter.NewClaims(),
		}
		o.ledger.SetBase(partition, base)
		o.asker.SetPeers(slices.DeleteFunc(slices.Clone(base), func(other int) bool { return other == partition }))
		sim.owners = append(sim.owners, o)
	}
	return sim
}

func (o *simOwner) used() sizer.Size {
	var used sizer.Size
	for _, work := range o.running {
		used = used.Add(work.size)
	}
	return used
}

func (o *simOwner) need(maximum sizer.Size) allotter.Need {
	wanted := o.used()
	for _, work := range o.waiting {
		wanted = wanted.Add(work.size)
	}
	need := allotter.Need{
		Used:    allotter.PartsOf(o.used(), maximum),
		Wanted:  allotter.PartsOf(wanted, maximum),
		Waiting: len(o.waiting) > 0,
	}
	if need.Waiting {
		need.Precedence = allotter.Precedence{
			LatestStart: o.waiting[0].latestStart,
			Partition:   o.partition,
		}
	}
	return need
}

// used returns what all owners have running.
func (sim *exchangeSim) used() sizer.Size {
	var used sizer.Size
	for _, o := range sim.owners {
		used = used.Add(o.used())
	}
	return used
}

func (sim *exchangeSim) after(d time.Duration, carry func()) {
	sim.events = append(sim.events, simEvent{
		at:    sim.now.Add(d),
		carry: carry,
	})
}

// advance lets time pass until the condition holds, and returns how long that took. It
// fails the test if that is longer than the limit, or if the maximum is exceeded.
func (sim *exchangeSim) advance(c *qt.C, limit time.Duration, condition func() bool) time.Duration {
	began := sim.now
	for !condition() {
		if sim.now.Sub(began) > limit {
			c.Fatalf("not reached in %v, used %v", limit, sim.used())
		}
		for _, o := range sim.owners {
			if sim.now.Add(time.Duration(o.partition)*time.Millisecond).UnixNano()%int64(simTick) == 0 {
				sim.tick(o)
			}
		}
		if used := sim.used(); !used.Fits(allotter.SizeOf(all(allotter.Whole), sim.maximum, used)) {
			c.Fatalf("used %v of %v", used, sim.maximum)
		}
		sim.now = sim.now.Add(time.Millisecond)
		var due []simEvent
		sim.events = slices.DeleteFunc(sim.events, func(event simEvent) bool {
			if event.at.After(sim.now) {
				return false
			}
			due = append(due, event)
			return true
		})
		for _, event := range due {
			event.carry()
		}
	}
	return sim.now.Sub(began)
}

// tick ends and starts the work of an owner, and makes the calls that are due.
func (sim *exchangeSim) tick(o *simOwner) {
	o.running = slices.DeleteFunc(o.running, func(work simWork) bool { return !work.endsAt.After(sim.now) })
	for len(o.waiting) > 0 {
		work := o.waiting[0]
		held := o.ledger.Held(organisation).Sub(o.claims.Withheld(organisation, o.need(sim.maximum), sim.now))
		wanted := o.used().Add(work.size)
		if !wanted.Fits(allotter.SizeOf(held, sim.maximum, wanted)) {
			break
		}
		work.endsAt = sim.now.Add(work.duration)
		o.running = append(o.running, work)
		o.waiting = o.waiting[1:]
		o.started++
	}
	need := o.need(sim.maximum)
	missing := need.Wanted.Sub(o.ledger.Held(organisation)).Max(allotter.Parts{})
	var names []string
	var wants []allotter.Want
	if need.Waiting && !missing.IsZero() {
		names = append(names, organisation)
		wants = append(wants, allotter.Want{
			Organisation: organisation,
			Missing:      missing,
			Precedence:   need.Precedence,
		})
	}
	sim.claimFirst(o, wants)
	for _, call := range o.asker.Due(names, sim.now) {
		for i := range wants {
			wants[i].Received = o.ledger.Received(call.Partition, organisation)
		}
		sim.call(o, call, slices.Clone(wants))
	}
}

// claimFirst sets what the most urgent step of an owner needs, if it is starved.
func (sim *exchangeSim) claimFirst(o *simOwner, wants []allotter.Want) {
	steps := make(map[string]allotter.Step)
	for range wants {
		steps[organisation] = allotter.Step{
			ID:      o.waiting[0].latestStart.String(),
			Waiting: len(o.waiting),
		}
	}
	starved := o.waits.Starved(steps, sim.now)
	for i := range wants {
		if starved[organisation] {
			next := allotter.PartsOf(o.used().Add(o.waiting[0].size), sim.maximum)
			wants[i].First = next.Sub(o.ledger.Held(organisation)).Max(allotter.Parts{})
		}
	}
}

// call asks another owner for parts, or only for the total if there are no wants.
func (sim *exchangeSim) call(taker *simOwner, call allotter.Call, wants []allotter.Want) {
	giver := sim.owners[call.Partition]
	answered := false
	failed := false
	sim.after(simTimeout, func() {
		if !answered {
			failed = true
			taker.asker.Failed(call.Partition, sim.now)
		}
	})
	if sim.lost() {
		return
	}
	sim.after(simLatency, func() {
		for _, want := range wants {
			given := giver.ledger.Given(taker.partition, organisation)
			parts := giver.ledger.Give(taker.partition, organisation,
				allotter.Decide(giver.ledger.Held(organisation), given, giver.need(sim.maximum), want))
			giver.claims.Update(taker.partition, want, parts, sim.now)
			sim.moved += parts[allotter.Cores]
		}
		total := giver.ledger.Given(taker.partition, organisation)
		if sim.lost() {
			return
		}
		sim.after(simWrite+simLatency, func() {
			if failed {
				return
			}
			answered = true
			received := taker.ledger.Receive(call.Partition, organisation, total)
			taker.asker.Answered(call.Partition, map[string]bool{
				organisation: !received.IsZero(),
			}, sim.now)
		})
	})
}

// tasks returns n tasks of a size.
func tasks(n int, size sizer.Size, duration time.Duration) []simWork {
	return slices.Repeat([]simWork{{
		size:     size,
		duration: duration,
	}}, n)
}

// usesMost reports whether the owners together use 0.95 of the maximum in a resource.
func (sim *exchangeSim) usesMost(owners ...*simOwner) bool {
	var used sizer.Size
	for _, o := range owners {
		used = used.Add(o.used())
	}
	return used.DominantShare(sim.maximum) >= 0.95
}

// TestMaximumStaysIdleWhileOneOwnerHasAllTheWork guards against permitted capacity that
// nobody uses: of six owners one has all the work, then another one.
func TestMaximumStaysIdleWhileOneOwnerHasAllTheWork(t *testing.T) {
	tests := map[string]struct {
		maximum, task sizer.Size
	}{
		"cores":        {sizer.New(100_000, 0, 0), sizer.New(1000, 5, 0)},
		"accelerators": {sizer.New(0, 0, 10), sizer.New(1000, 5, 1)},
		"all":          {sizer.New(96_000, 96<<30, 48), sizer.New(2000, 2<<30, 1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := newExchangeSim(6, test.maximum)
			for _, partition := range []int{2, 5, 0} {
				for _, o := range sim.owners {
					o.waiting = nil
				}
				sim.owners[partition].waiting = tasks(2000, test.task, time.Second)
				took := sim.advance(c, 1500*time.Millisecond, func() bool { return sim.usesMost(sim.owners[partition]) })
				t.Logf("owner %d uses 0.95 after %v", partition, took)
			}
		})
	}
}

// TestLostMessagesLeaveTheMaximumIdle guards against parts that nobody uses because the
// answer that gave them was lost and the taker's work is done by another owner.
func TestLostMessagesLeaveTheMaximumIdle(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 0))
		sim := newExchangeSim(6, sizer.New(100_000, 0, 0))
		sim.lost = func() bool { return random.IntN(3) == 0 }
		for range 5 {
			for _, o := range sim.owners {
				o.waiting = nil
			}
			partition := random.IntN(6)
			sim.owners[partition].waiting = tasks(2000, sizer.New(1000, 0, 0), 200*time.Millisecond)
			for range random.IntN(300) {
				ticks := 0
				sim.advance(c, time.Second, func() bool { ticks++; return ticks > 2 })
			}
		}
		sim.lost = func() bool { return false }
		for _, o := range sim.owners {
			o.waiting = nil
		}
		sim.owners[1].waiting = tasks(2000, sizer.New(1000, 0, 0), time.Second)
		sim.advance(c, 3*time.Second, func() bool { return sim.usesMost(sim.owners[1]) })
	}
}

// TestTwoGangsHoldHalfEach guards against two gangs that each wait for the parts that the
// other one holds, and against parts that are passed back and forth between them.
func TestTwoGangsHoldHalfEach(t *testing.T) {
	maximum := sizer.New(100_000, 0, 16)
	gang := simWork{
		size:     sizer.New(60_000, 0, 10),
		duration: 2 * time.Second,
	}
	for _, lossy := range []bool{false, true} {
		for seed := range uint64(10) {
			c := qt.New(t)
			sim := newExchangeSim(3, maximum)
			random := rand.New(rand.NewPCG(seed, 0))
			if lossy {
				sim.lost = func() bool { return random.IntN(5) == 0 }
			}
			first, second := sim.owners[random.IntN(2)], sim.owners[2]
			for _, o := range []*simOwner{first, second} {
				work := gang
				// In half of the cases both are equally urgent.
				work.latestStart = sim.now.Add(time.Duration(random.IntN(2)) * time.Second)
				o.waiting = []simWork{work}
			}
			started := func(n int) func() bool {
				return func() bool { return first.started+second.started == n }
			}
			sim.advance(c, 3*time.Second, started(1))
			sim.advance(c, 5*time.Second, started(2))
			if !lossy {
				c.Assert(sim.moved <= 3*allotter.Whole, qt.IsTrue, qt.Commentf("%d parts moved", sim.moved))
			}
		}
	}
}

// TestGangIsStarvedBySmallTasks guards against a gang that needs more than half and never
// starts, as other owners go on taking parts for tasks that are less urgent.
func TestGangIsStarvedBySmallTasks(t *testing.T) {
	c := qt.New(t)
	sim := newExchangeSim(4, sizer.New(100_000, 0, 0))
	for _, o := range sim.owners[1:] {
		o.waiting = tasks(2000, sizer.New(1000, 0, 0), 300*time.Millisecond)
		for i := range o.waiting {
			o.waiting[i].latestStart = sim.now.Add(time.Hour)
		}
	}
	sim.advance(c, time.Second, func() bool { return sim.usesMost(sim.owners...) })
	sim.owners[0].waiting = []simWork{{
		size:        sizer.New(80_000, 0, 0),
		duration:    time.Second,
		latestStart: sim.now,
	}}
	sim.advance(c, 2*time.Second, func() bool { return sim.owners[0].started == 1 })
}

// TestCompetingOwnersLeaveTheMaximumIdle guards against permitted capacity that is idle
// because parts are on their way between owners that all have work, or are withheld.
func TestCompetingOwnersLeaveTheMaximumIdle(t *testing.T) {
	for seed := range uint64(3) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		sim := newExchangeSim(6, sizer.New(100_000, 0, 0))
		for _, o := range sim.owners {
			for latestStart := sim.now; len(o.waiting) < 2000; {
				latestStart = latestStart.Add(time.Duration(random.IntN(500)) * time.Millisecond)
				step := tasks(1+random.IntN(60), sizer.New(1000, 0, 0), time.Duration(200+random.IntN(1500))*time.Millisecond)
				for i := range step {
					step[i].latestStart = latestStart
				}
				o.waiting = append(o.waiting, step...)
			}
		}
		var share float64
		samples := 0
		sim.advance(c, 12*time.Second, func() bool {
			if samples++; samples > 1000 {
				share += sim.used().DominantShare(sim.maximum)
			}
			return samples > 9000
		})
		share /= 8001
		t.Logf("seed %d: %.3f of the maximum is used, %d parts moved", seed, share, sim.moved)
		c.Assert(share >= 0.95, qt.IsTrue, qt.Commentf("%.3f of the maximum is used", share))
	}
}
