package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

// owners is a model of owners in several entries that ask the adviser through
// the same entries, each of which makes one call at a time.
type owners struct {
	clock  *timekeeper.Fake
	askers []*partitionAdviser
	// busy is until when each entry makes calls, and turns holds what it knows of
	// them.
	busy  map[string]time.Time
	turns map[string]*adviceLimiter
	// waiting holds the lengths of the calls that each owner has yet to make.
	waiting [][]time.Duration
	flights []flight
	steps   int
	// late counts the calls that were not answered within their time limit.
	late int
	// asked is the length of all calls of an owner that were answered.
	asked []time.Duration
}

// flight is a call under way.
type flight struct {
	owner int
	call  adviceCall
	done  time.Time
}

// newOwners returns a model with entries in four data centres.
func newOwners(entries, shards int) *owners {
	o := &owners{
		clock:   timekeeper.NewFake(time.Unix(1_700_000_000, 0)),
		busy:    make(map[string]time.Time),
		turns:   make(map[string]*adviceLimiter),
		waiting: make([][]time.Duration, shards),
		asked:   make([]time.Duration, shards),
	}
	names := make([]string, entries)
	for i := range names {
		names[i] = fmt.Sprintf("%c-%02d", 'a'+i%4, i/4)
	}
	for i := range shards {
		// Each owner is in an entry of its own.
		own := append([]string{names[i]}, names[:i]...)
		l := newTestLanes(o.clock, shards, append(own, names[i+1:]...)...)
		o.askers = append(o.askers, l.adviserFor(l.coordinator.shards.partitionsOfService("any")[i]))
	}
	return o
}

// pass lets time pass, in steps of a tick.
func (o *owners) pass(d time.Duration) {
	const step = 10 * time.Millisecond
	for range d / step {
		o.clock.Advance(step)
		o.answer()
		o.steps++
		for i := range o.askers {
			// None always comes first.
			o.ask((o.steps + i) % len(o.askers))
		}
	}
}

// answer ends the calls that are done.
func (o *owners) answer() {
	now := o.clock.Now()
	var rest []flight
	for _, f := range o.flights {
		if f.done.After(now) {
			rest = append(rest, f)
			continue
		}
		o.askers[f.owner].endCall(f.call, AdviseReply{
			Busy: o.turn(f.call.entryState.name).end(),
		}, nil)
		o.asked[f.owner] += f.call.cost
		if now.Sub(f.call.sentAt) > callTimeout(f.call.expected) {
			o.late++
		}
	}
	o.flights = rest
}

// turn returns the turns of an entry.
func (o *owners) turn(name string) *adviceLimiter {
	if o.turns[name] == nil {
		o.turns[name] = &adviceLimiter{
			clock: o.clock,
		}
	}
	return o.turns[name]
}

// ask makes the calls of an owner that may be made.
func (o *owners) ask(owner int) {
	now := o.clock.Now()
	_, allowed := o.askers[owner].Slots()
	for _, f := range o.flights {
		if f.owner == owner {
			allowed--
		}
	}
	for ; allowed > 0 && len(o.waiting[owner]) > 0; allowed-- {
		cost := o.waiting[owner][0]
		call, _ := o.askers[owner].beginCall(cost)
		if busy, begun := o.turn(call.entryState.name).begin(cost); !begun {
			o.askers[owner].endCall(call, AdviseReply{
				Refused: true,
				Busy:    busy,
			}, nil)
			continue
		}
		o.waiting[owner] = o.waiting[owner][1:]
		begins := now
		if busy := o.busy[call.entryState.name]; busy.After(now) {
			begins = busy
		}
		o.busy[call.entryState.name] = begins.Add(cost)
		o.flights = append(o.flights, flight{
			owner: owner,
			call:  call,
			done:  begins.Add(cost),
		})
	}
}

// The calls for advice of a larger site: 98 workers, gangs that come 4.5 times a
// second and single cards that come five times. Each step is asked about all
// workers first, and about some once more.
const (
	gangCall  = 1720 * time.Millisecond
	gangAgain = 770 * time.Millisecond
	cardCall  = 460 * time.Millisecond
	cardAgain = 250 * time.Millisecond
)

// come adds the calls of one second of load, for an owner of gangs and so many
// cards, and for owners that need little.
func (o *owners) come(second, cards int) {
	for range 4 + second%2 {
		o.waiting[0] = append(o.waiting[0], gangCall, gangAgain)
	}
	for range cards {
		o.waiting[0] = append(o.waiting[0], cardCall, cardAgain)
	}
	for owner := 1; owner < len(o.waiting); owner++ {
		o.waiting[owner] = append(o.waiting[owner], cardCall, cardCall, cardAgain)
	}
}

// TestBacklogIsAskedForWhileOthersNeedLittle guards against accepted jobs that
// are never started since their owner is allowed too few calls for advice while
// entries stand idle (incident inc1, LOST). After a takeover nothing is known of
// 60 steps that wait, and the load goes on: all have been asked for within the 14
// seconds after which jobs are asked for, less three for which a job may stand
// idle.
func TestBacklogIsAskedForWhileOthersNeedLittle(t *testing.T) {
	askBacklog(t, 5)
}

// TestBacklogIsAskedForInABurst guards against the same in a burst of single cards,
// 1.8 times as many, while entries that make quick calls only stand idle.
func TestBacklogIsAskedForInABurst(t *testing.T) {
	askBacklog(t, 9)
}

// askBacklog plays a calm time and a takeover, after which so many cards come in a
// second.
func askBacklog(t *testing.T, cards int) {
	c := qt.New(t)
	o := newOwners(37, 3)
	second := 0
	for ; second < 20; second++ {
		o.come(second, 5)
		o.pass(time.Second)
	}
	c.Assert(len(o.waiting[0]) < 20, qt.IsTrue, qt.Commentf("%d calls wait in calm", len(o.waiting[0])))
	for range 30 {
		o.waiting[0] = append(o.waiting[0], gangCall, cardCall)
	}
	const bound = 11
	for left := bound; left > 0; left-- {
		o.come(second, cards)
		o.pass(time.Second)
		second++
	}
	c.Assert(len(o.waiting[0]) < 20, qt.IsTrue, qt.Commentf("%d calls wait %d s after the takeover", len(o.waiting[0]), bound))
}

// TestLostEntriesLeaveTheWindowOpen guards against an owner that is held to its
// share by entries which are stopped and started in turn, though the others are
// free.
func TestLostEntriesLeaveTheWindowOpen(t *testing.T) {
	c := qt.New(t)
	o := newOwners(37, 3)
	_, before := o.askers[0].Slots()
	for range 20 {
		call, _ := o.askers[0].beginCall(gangCall)
		o.askers[0].endCall(call, AdviseReply{}, messenger.ErrUnknown)
		call.entryState.suspendedUntil = time.Time{}
	}
	_, after := o.askers[0].Slots()
	c.Assert(after, qt.Equals, before)
	// A time limit that is reached tells of calls that wait.
	for range 20 {
		call, _ := o.askers[0].beginCall(gangCall)
		call.foreign = true
		o.askers[0].endCall(call, AdviseReply{}, fmt.Errorf("%w: %w", messenger.ErrUnknown, context.DeadlineExceeded))
		call.entryState.suspendedUntil = time.Time{}
	}
	_, after = o.askers[0].Slots()
	// All that is left is the share of one in three of 27 entries.
	c.Assert(after, qt.Equals, 9)
}

// TestOwnersThatAllNeedMuchShareTheEntries guards against calls that wait behind
// those of other owners until their time limit, with nothing learnt, while all
// owners need much: none does, and each owner has its share of the entries.
func TestOwnersThatAllNeedMuchShareTheEntries(t *testing.T) {
	for _, shards := range []int{2, 3, 6} {
		t.Run(fmt.Sprint(shards), func(t *testing.T) {
			c := qt.New(t)
			o := newOwners(37, shards)
			random := rand.New(rand.NewPCG(uint64(shards), 1))
			for range 1000 {
				for owner := range o.waiting {
					o.waiting[owner] = append(o.waiting[owner], gangAgain+time.Duration(random.Int64N(int64(gangCall-gangAgain))))
				}
			}
			o.pass(10 * time.Second)
			o.late = 0
			before := make([]time.Duration, shards)
			copy(before, o.asked)
			o.pass(20 * time.Second)
			c.Assert(o.late, qt.Equals, 0)
			fair := 20 * 20 * time.Second / time.Duration(shards)
			for owner, asked := range o.asked {
				c.Assert(asked-before[owner] >= fair*8/10, qt.IsTrue, qt.Commentf("owner %d had %v of %v", owner, asked-before[owner], fair))
			}
		})
	}
}

// TestRefusedCallIsNoAnswer guards against a refused call that is taken for the
// answer that no worker is approved, after which a step is never asked for again.
func TestRefusedCallIsNoAnswer(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	l := newTestLanes(clock, 2, "a-1")
	l.coordinator.adviceLimiter = &adviceLimiter{
		clock: clock,
	}
	for range maxAdviceCalls {
		_, begun := l.coordinator.adviceLimiter.begin(gangCall)
		c.Assert(begun, qt.IsTrue)
	}
	_, _, err := l.adviserFor(0).Advise(context.Background(), scheduler.AskAdvice{
		Workers: []string{"w"},
		Cost:    gangCall,
	})
	c.Assert(err, qt.ErrorIs, errBusy)
	c.Assert(l.entries[0].activeCalls, qt.Equals, 0)
}
