package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

// adviceModel models owners in several entries that ask the adviser through the
// same entries, each of which makes one call at a time.
type adviceModel struct {
	clock    *timekeeper.Fake
	advisers []*partitionAdviser
	// busyUntil is the time until which each entry makes calls, by the entry's
	// name, and adviceLimiter the limiter of each entry.
	busyUntil     map[string]time.Time
	adviceLimiter map[string]*adviceLimiter
	// pendingCalls holds the costs of the calls that each owner has yet to make.
	pendingCalls [][]time.Duration
	activeCalls  []activeCall
	steps        int
	// late counts the calls that were not answered within their timeout.
	late int
	// answeredCost is the total cost of the answered calls of each owner.
	answeredCost []time.Duration
}

// activeCall is a call under way.
type activeCall struct {
	owner  int
	call   adviceCall
	endsAt time.Time
}

// newAdviceModel returns a model with entries in four data centres.
func newAdviceModel(entries, shards int) *adviceModel {
	m := &adviceModel{
		clock:         timekeeper.NewFake(time.Unix(1_700_000_000, 0)),
		busyUntil:     make(map[string]time.Time),
		adviceLimiter: make(map[string]*adviceLimiter),
		pendingCalls:  make([][]time.Duration, shards),
		answeredCost:  make([]time.Duration, shards),
	}
	names := make([]string, entries)
	for i := range names {
		names[i] = fmt.Sprintf("%c-%02d", 'a'+i%4, i/4)
	}
	for i := range shards {
		// Each owner is in a different entry.
		ordered := append([]string{names[i]}, names[:i]...)
		pool := newTestEntryPool(m.clock, shards, append(ordered, names[i+1:]...)...)
		m.advisers = append(m.advisers, pool.adviserFor(pool.coordinator.shards.partitionsOfService("any")[i]))
	}
	return m
}

// advance advances the clock by d, in ticks.
func (m *adviceModel) advance(d time.Duration) {
	const step = 10 * time.Millisecond
	for range d / step {
		m.clock.Advance(step)
		m.endDueCalls()
		m.steps++
		for i := range m.advisers {
			// The owners take turns at coming first.
			m.startCalls((m.steps + i) % len(m.advisers))
		}
	}
}

// endDueCalls ends the calls that are answered by now.
func (m *adviceModel) endDueCalls() {
	now := m.clock.Now()
	var remaining []activeCall
	for _, active := range m.activeCalls {
		if active.endsAt.After(now) {
			remaining = append(remaining, active)
			continue
		}
		m.advisers[active.owner].endCall(active.call, AdviseReply{
			Busy: m.limiterOf(active.call.entryState.name).end(),
		}, nil)
		m.answeredCost[active.owner] += active.call.cost
		if now.Sub(active.call.sentAt) > callTimeout(active.call.expected) {
			m.late++
		}
	}
	m.activeCalls = remaining
}

// limiterOf returns the limiter of an entry.
func (m *adviceModel) limiterOf(name string) *adviceLimiter {
	if m.adviceLimiter[name] == nil {
		m.adviceLimiter[name] = &adviceLimiter{
			clock: m.clock,
		}
	}
	return m.adviceLimiter[name]
}

// startCalls makes as many of the owner's pending calls as it is allowed.
func (m *adviceModel) startCalls(owner int) {
	now := m.clock.Now()
	_, allowed := m.advisers[owner].AdviceLimits()
	for _, active := range m.activeCalls {
		if active.owner == owner {
			allowed--
		}
	}
	for ; allowed > 0 && len(m.pendingCalls[owner]) > 0; allowed-- {
		cost := m.pendingCalls[owner][0]
		call, _ := m.advisers[owner].beginCall(cost)
		if busy, begun := m.limiterOf(call.entryState.name).begin(cost); !begun {
			m.advisers[owner].endCall(call, AdviseReply{
				Refused: true,
				Busy:    busy,
			}, nil)
			continue
		}
		m.pendingCalls[owner] = m.pendingCalls[owner][1:]
		startsAt := now
		if busy := m.busyUntil[call.entryState.name]; busy.After(now) {
			startsAt = busy
		}
		m.busyUntil[call.entryState.name] = startsAt.Add(cost)
		m.activeCalls = append(m.activeCalls, activeCall{
			owner:  owner,
			call:   call,
			endsAt: startsAt.Add(cost),
		})
	}
}

// The costs of calls for advice on a larger installation with 98 workers. 4.5
// gangs (steps whose tasks start together) and five single cards (steps of tasks
// that need one accelerator) arrive per second. For each step, the adviser is
// asked about all workers first, and about some of them once more.
const (
	gangCall  = 1720 * time.Millisecond
	gangAgain = 770 * time.Millisecond
	cardCall  = 460 * time.Millisecond
	cardAgain = 250 * time.Millisecond
)

// addLoad adds the calls of one second of load: gangs and the given number of cards
// for the first owner, and a few calls for the others.
func (m *adviceModel) addLoad(second, cards int) {
	for range 4 + second%2 {
		m.pendingCalls[0] = append(m.pendingCalls[0], gangCall, gangAgain)
	}
	for range cards {
		m.pendingCalls[0] = append(m.pendingCalls[0], cardCall, cardAgain)
	}
	for owner := 1; owner < len(m.pendingCalls); owner++ {
		m.pendingCalls[owner] = append(m.pendingCalls[owner], cardCall, cardCall, cardAgain)
	}
}

// TestAdviceBacklogIsClearedWhileOtherOwnersNeedLittle checks that a backlog of 60
// steps that wait for advice after a takeover is cleared within 11 seconds while the
// load goes on: callers query their jobs after 14 seconds, and a job may be idle for
// three of these. It guards against a regression: accepted jobs were never started,
// because their owner was allowed too few calls for advice while entries were idle.
func TestAdviceBacklogIsClearedWhileOtherOwnersNeedLittle(t *testing.T) {
	testBacklog(t, 5)
}

// TestAdviceBacklogIsClearedInABurst checks the same in a burst of single cards, 1.8
// times as many, while the entries that make nothing but quick calls are idle.
func TestAdviceBacklogIsClearedInABurst(t *testing.T) {
	testBacklog(t, 9)
}

// testBacklog adds normal load for 20 s and then the backlog of a takeover, after
// which the given number of cards arrives each second.
func testBacklog(t *testing.T, cards int) {
	c := qt.New(t)
	m := newAdviceModel(37, 3)
	second := 0
	for ; second < 20; second++ {
		m.addLoad(second, 5)
		m.advance(time.Second)
	}
	c.Assert(len(m.pendingCalls[0]) < 20, qt.IsTrue, qt.Commentf("%d calls wait before the takeover", len(m.pendingCalls[0])))
	for range 30 {
		m.pendingCalls[0] = append(m.pendingCalls[0], gangCall, cardCall)
	}
	const bound = 11
	for left := bound; left > 0; left-- {
		m.addLoad(second, cards)
		m.advance(time.Second)
		second++
	}
	c.Assert(len(m.pendingCalls[0]) < 20, qt.IsTrue, qt.Commentf("%d calls wait %d s after the takeover", len(m.pendingCalls[0]), bound))
}

// TestLostEntriesLeaveTheWindowOpen guards against an owner that is limited to its
// share because entries are restarted one after the other, although the remaining
// entries are idle.
func TestLostEntriesLeaveTheWindowOpen(t *testing.T) {
	c := qt.New(t)
	m := newAdviceModel(37, 3)
	_, before := m.advisers[0].AdviceLimits()
	for range 20 {
		call, _ := m.advisers[0].beginCall(gangCall)
		m.advisers[0].endCall(call, AdviseReply{}, messenger.ErrUnknown)
		call.entryState.suspendedUntil = time.Time{}
	}
	_, after := m.advisers[0].AdviceLimits()
	c.Assert(after, qt.Equals, before)
	// A timeout, in contrast, shows that calls wait, and shrinks the window.
	for range 20 {
		call, _ := m.advisers[0].beginCall(gangCall)
		call.foreign = true
		m.advisers[0].endCall(call, AdviseReply{}, fmt.Errorf("%w: %w", messenger.ErrUnknown, context.DeadlineExceeded))
		call.entryState.suspendedUntil = time.Time{}
	}
	_, after = m.advisers[0].AdviceLimits()
	// Only the owner's share remains: a third of the 27 entries for long calls.
	c.Assert(after, qt.Equals, 9)
}

// TestOwnersThatAllNeedMuchShareTheEntries guards against calls that wait behind
// those of other owners until they time out, without a result, while all owners
// need much advice. No call may time out, and each owner must get its share of the
// entries.
func TestOwnersThatAllNeedMuchShareTheEntries(t *testing.T) {
	for _, shards := range []int{2, 3, 6} {
		t.Run(fmt.Sprint(shards), func(t *testing.T) {
			c := qt.New(t)
			m := newAdviceModel(37, shards)
			random := rand.New(rand.NewPCG(uint64(shards), 1))
			for range 1000 {
				for owner := range m.pendingCalls {
					m.pendingCalls[owner] = append(m.pendingCalls[owner], gangAgain+time.Duration(random.Int64N(int64(gangCall-gangAgain))))
				}
			}
			m.advance(10 * time.Second)
			m.late = 0
			before := make([]time.Duration, shards)
			copy(before, m.answeredCost)
			m.advance(20 * time.Second)
			c.Assert(m.late, qt.Equals, 0)
			fair := 20 * 20 * time.Second / time.Duration(shards)
			for owner, answeredCost := range m.answeredCost {
				c.Assert(answeredCost-before[owner] >= fair*8/10, qt.IsTrue, qt.Commentf("owner %d had %v of %v", owner, answeredCost-before[owner], fair))
			}
		})
	}
}

// TestRefusedCallIsNoAnswer guards against a refused call that is taken for the
// answer that no worker is approved, after which the step would never be asked for
// again.
func TestRefusedCallIsNoAnswer(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	pool := newTestEntryPool(clock, 2, "a-1")
	pool.coordinator.adviceLimiter = &adviceLimiter{
		clock: clock,
	}
	for range maxAdviceCalls {
		_, begun := pool.coordinator.adviceLimiter.begin(gangCall)
		c.Assert(begun, qt.IsTrue)
	}
	_, _, err := pool.adviserFor(0).Advise(context.Background(), scheduler.AskAdvice{
		Workers: []string{"w"},
		Cost:    gangCall,
	})
	c.Assert(err, qt.ErrorIs, errBusy)
	c.Assert(pool.entries[0].activeCalls, qt.Equals, 0)
}

// TestCallForAdviceNamesItsTries guards against a call that loses many seconds at entries of
// which the log names none, and against a line for each call while many are slow.
func TestCallForAdviceNamesItsTries(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	logs := memory.New()
	pool := newTestEntryPool(clock, 2, "a-1", "b-1")
	pool.coordinator.settings.logger = &log.Logger{
		Handler: logs,
		Level:   log.InfoLevel,
	}
	pool.coordinator.pool = promptPeers{
		clock: clock,
	}
	silent := true
	took := 4 * time.Second
	pool.coordinator.adviceLimiter = &adviceLimiter{
		clock: clock,
		advise: func(context.Context, scheduler.StepRef, []string) ([]scheduler.Approval, time.Duration, error) {
			clock.Advance(took)
			if silent {
				return nil, 0, context.DeadlineExceeded
			}
			return nil, time.Second, nil
		},
	}
	adviser := pool.adviserFor(0)
	advise := func(cost time.Duration) {
		_, _, err := adviser.Advise(context.Background(), scheduler.AskAdvice{
			Workers: []string{"w"},
			Cost:    cost,
		})
		c.Assert(err, qt.IsNil)
	}
	advise(time.Second)
	c.Assert(logs.Entries, qt.HasLen, 1)
	c.Assert(logs.Entries[0].Fields["tries"], qt.Equals, 2)
	c.Assert(logs.Entries[0].Fields["tookMs"], qt.Equals, int64(4100))
	c.Assert(logs.Entries[0].Fields["tried"], qt.Equals, "a-1 4s context deadline exceeded; b-1 100ms answered")

	// The entry answers again, slowly at first.
	silent = false
	pool.disconnect("b-1")
	clock.Advance(maxSuspension)
	for _, test := range []struct {
		took  time.Duration
		lines int
	}{
		{
			took:  2 * time.Second,
			lines: 1,
		},
		{
			took:  2100 * time.Millisecond,
			lines: 2,
		},
		{
			took:  300 * time.Millisecond,
			lines: 2,
		},
	} {
		took = test.took
		advise(time.Second)
		c.Assert(logs.Entries, qt.HasLen, test.lines, qt.Commentf("%v", test.took))
	}
	c.Assert(logs.Entries[1].Fields["tried"], qt.Equals, "a-1 2.1s answered")
	for range 4 {
		advise(100 * time.Millisecond)
	}
	c.Assert(logs.Entries, qt.HasLen, 3)
	c.Assert(logs.Entries[2].Fields["omitted"], qt.Equals, 2)
}

// promptPeers is a pool of peers that all answer after 100 ms.
type promptPeers struct {
	peerCaller
	clock *timekeeper.Fake
}

// Call implements peerCaller.
func (p promptPeers) Call(context.Context, string, string, any, any) error {
	p.clock.Advance(100 * time.Millisecond)
	return nil
}
