package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/timekeeper"
)

// stallTimeout is the attempt timeout in tests with a stallClock. No other timer of
// a router has this duration there.
const stallTimeout = 100 * time.Millisecond

// stalledDeadline is the time given to a request: more than maxAttempts stalled
// attempts take.
const stalledDeadline = 4 * stallTimeout

// stallTestLimit is how long a request may take on the host's clock. It only ends a
// test in which the clock stands still for ever.
const stallTestLimit = 30 * time.Second

var errNoProgress = errors.New("the request makes no progress")

// stallClock is a fake clock that counts the attempts whose timeout has begun.
type stallClock struct {
	*timekeeper.Fake
	attempts atomic.Int64
}

// NewTimer implements timekeeper.Clock.
func (s *stallClock) NewTimer(d time.Duration) timekeeper.Timer {
	timer := s.Fake.NewTimer(d)
	if d == stallTimeout {
		s.attempts.Add(1)
	}
	return timer
}

// runUntil lets the clock run, no faster than real time, until done is true.
func (s *stallClock) runUntil(done func() bool) {
	for !done() {
		time.Sleep(tickInterval)
		s.Advance(tickInterval)
	}
}

// stallTest is a cluster some of whose minions stall, with a clock that moves only
// when a request can make no progress without it.
type stallTest struct {
	*testCluster
	clock   *stallClock
	healthy int
}

func newStallTest(t *testing.T, entries, minions, healthy int) *stallTest {
	s := &stallTest{
		clock: &stallClock{
			Fake: timekeeper.NewFake(testStart),
		},
		healthy: healthy,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		s.clock.runUntil(func() bool { return ctx.Err() != nil })
		return nil
	})
	s.testCluster = newTestClusterOn(t, s.clock, entries, minions, 0)
	cancel()
	qt.Assert(t, group.Wait(), qt.IsNil)
	for _, r := range s.routers {
		r.SetService(testService, NewServiceConfig(AttemptTimeout(stallTimeout)))
	}
	s.setFaults(emulator.MinionFaults{
		Stall: true,
	}, healthy)
	return s
}

// settled reports whether every healthy minion can be used and every entry has heard
// from its peers, and whether both will hold for as long as a request may take.
func (s *stallTest) settled() bool {
	now := s.clock.Now()
	open := 0
	for _, r := range s.routers {
		if r.anySilent(now.Add(stalledDeadline)) {
			return false
		}
		for _, p := range r.allPools() {
			p.mu.Lock()
			for _, m := range p.owned {
				if s.isHealthy(m.host.Name) && m.isOpen(now, p.settings.sinceStart(now.Add(stalledDeadline))) {
					open++
				}
			}
			p.mu.Unlock()
		}
	}
	return open == s.healthy
}

// anySilent reports whether a peer is silent, or will be at the given time if it does
// not answer before.
func (r *Router) anySilent(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.mu.Lock()
		silent := p.isSilent() || at.Sub(p.answeredAt) > peerSilenceTimeout
		p.mu.Unlock()
		if silent {
			return true
		}
	}
	return false
}

func (s *stallTest) isHealthy(name string) bool {
	for _, m := range s.minions[:s.healthy] {
		if m.Host().Name == name {
			return true
		}
	}
	return false
}

func (s *stallTest) stalledRuns() int {
	n := 0
	for _, m := range s.minions[s.healthy:] {
		n += m.Counts().Ran
	}
	return n
}

// post sends a request to an entry. It moves the clock by the attempt timeout once
// for each attempt that stalls: when the minion runs it and its timeout has begun.
func (s *stallTest) post(entry int, body string, headers ...string) (reply, error) {
	s.clock.runUntil(s.settled)
	runs, stalled, attempts := s.totalRuns(), s.stalledRuns(), s.clock.attempts.Load()
	var got reply
	var group errgroup.Group
	var answered atomic.Bool
	group.Go(func() (err error) {
		defer answered.Store(true)
		got, err = s.testCluster.post(entry, body, headers...)
		return err
	})
	for giveUpAt := time.Now().Add(stallTestLimit); !answered.Load(); {
		if time.Now().After(giveUpAt) {
			return reply{}, errNoProgress
		}
		time.Sleep(time.Millisecond)
		timed := s.clock.attempts.Load() - attempts
		if s.stalledRuns() > stalled && timed == int64(s.totalRuns()-runs) {
			stalled++
			s.clock.Advance(stallTimeout)
		}
	}
	return got, group.Wait()
}

// TestFaultsOfMinionsThatStall checks that an idempotent request whose minion
// stalls is done by another one within its deadline.
func TestFaultsOfMinionsThatStall(t *testing.T) {
	c := qt.New(t)
	s := newStallTest(t, 2, 4, 2)
	for i := range 4 {
		before := s.totalRuns()
		got, err := s.post(i%2, "meter 4711", HeaderIdempotent, "true", HeaderDeadline, formatSeconds(stalledDeadline))
		c.Assert(err, qt.IsNil)
		c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
		c.Check(got.problem.Ran, qt.Equals, Ran(""))
		c.Check(got.body, qt.Equals, string(emulator.Answer([]byte("meter 4711"))))
		c.Check(s.totalRuns()-before <= maxAttempts, qt.IsTrue, qt.Commentf("ran %d times", s.totalRuns()-before))
	}
	c.Check(s.stalledRuns() > 0, qt.IsTrue)
}
