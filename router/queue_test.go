package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/timekeeper"
)

var (
	errUnfair     = errors.New("a team got less than its share")
	errOutOfOrder = errors.New("a later deadline went first")
)

// simulateSharing grants slots to teams that always have waiters. It checks that no
// team gets ahead of another by more than one request of each, relative to their
// weights, and that the earliest deadline of a team goes first. If charge is not
// set, granted work costs nothing.
func simulateSharing(t *rapid.T, charge bool) error {
	q := newQueue()
	weights := make(map[string]float64)
	for i := range rapid.IntRange(2, 6).Draw(t, "teams") {
		weights[fmt.Sprint("team-", i)] = float64(rapid.IntRange(1, 8).Draw(t, "weight"))
	}
	q.setWeights(weights)
	served := make(map[string]float64)
	m := newMinion(connector.Host{})
	for range rapid.IntRange(1, 200).Draw(t, "slots") {
		for team := range weights {
			for waiting := q.teams[team]; waiting == nil || len(waiting.waiterHeap) < 3; waiting = q.teams[team] {
				q.push(&waiter{
					team:     team,
					deadline: testStart.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "deadline")) * time.Millisecond),
				})
			}
		}
		w := q.popFor(m)
		for _, other := range q.teams[w.team].waiterHeap {
			if other.deadline.Before(w.deadline) {
				return errOutOfOrder
			}
		}
		served[w.team]++
		if charge {
			q.charge(w.team, 1)
		}
		for a := range weights {
			for b := range weights {
				if served[a]/weights[a]-served[b]/weights[b] > 1/weights[a]+1/weights[b]+1e-9 {
					return errUnfair
				}
			}
		}
	}
	return nil
}

func TestTeamsGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulateSharing(t, true); err != nil {
			t.Fatal(err)
		}
	})
	violations := rapid.Custom(func(t *rapid.T) error { return simulateSharing(t, false) })
	for seed := range 100 {
		if errors.Is(violations.Example(seed), errUnfair) {
			return
		}
	}
	t.Fatal("the simulation does not detect that granted work is not charged")
}

// TestFloodIsRefusedAtOnce checks that a flood of requests from one team does not take
// away another team's slots, and that each refused request gets a later retry time
// than the one before, whatever is drawn at random.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(testStart)
	p := newPool(newSettings([]Option{Clock(clock)}), testService, NewServiceConfig(MaxWait(500*time.Millisecond)))
	p.setWeights(map[string]float64{"omuti": 1, "flood": 1})
	p.setHosts([]connector.Host{{
		Name: "minion",
	}}, 1, nil)
	m := p.minions["minion"]
	m.recordAccepted(1, int64(time.Hour), testStart, 0, 0)
	p.latency = 0.1
	enqueue := func(team string) *RefusedError {
		return p.enqueue(&waiter{
			team:     team,
			deadline: testStart.Add(5 * time.Second),
			granted:  make(chan grant, 1),
		})
	}
	last, refusals, rising := time.Duration(0), 0, 0
	for range 200 {
		if e := enqueue("flood"); e != nil {
			c.Assert(e.Reason, qt.Equals, ReasonOverload)
			refusals++
			if e.RetryAfter > last {
				rising++
			}
			last = e.RetryAfter
		}
	}
	// 8 slots at 100 ms each: 40 requests can wait for 500 ms.
	c.Check(refusals, qt.Equals, 200-defaultSlots-40)
	c.Check(rising, qt.Equals, refusals)
	c.Check(last > time.Second && last <= maxRetryAfter, qt.IsTrue)
	c.Check(enqueue("omuti") == nil, qt.IsTrue)
	// The free slot goes to the request of the other team.
	for r := range m.reservations {
		p.settle(r, answered{})
		break
	}
	c.Check(len(p.queue.teams["omuti"].waiterHeap), qt.Equals, 0)
}
