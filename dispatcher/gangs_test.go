package dispatcher

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/recorder"
)

const (
	// slowLease makes a takeover last for several rounds of a gang: after 30 s
	// of rounds without room the next wait is 15 s to 45 s, more than the
	// bounds below.
	slowLease = 30 * time.Second
	// rigCall is the longest time of a call of the rig one way: 0.3 s until it
	// is made, 0.5 s of delivery, 0.1 s until the reader's tick.
	rigCall = 900 * time.Millisecond
	// firstWait is the longest first wait after a change: half of gangBackoff
	// and up to gangBackoff more.
	firstWait = 3 * minGangBackoff / 2
	// startsWithin is the longest time from when a home knows of the last
	// takeover until its gang runs: a round under way ends, the home looks,
	// waits and begins another, confirms it, and the starts reach the workers.
	startsWithin = rigGangTerm + homeScanInterval + firstWait + rigGangTerm + 2*rigCall
)

// TestGangsStartOnceWorkersAreTakenOver guards against the failure of README's
// first command beside a busy machine: the rounds of a gang that found no room
// while every worker was still being taken over counted as misses, and the gang
// then waited up to 6 s (30 s after more of them) beside free workers.
func TestGangsStartOnceWorkersAreTakenOver(t *testing.T) {
	for _, test := range []struct {
		name string
		// lost says that one worker more is listed and never answers, so that
		// its owner does not report for the epoch.
		lost bool
		// told is the longest time from the last takeover until the home
		// knows of it.
		told time.Duration
	}{
		{
			name: "all workers answer",
			told: rigCall,
		},
		{
			name: "a worker never answers",
			lost: true,
			told: summaryInterval + exchangeInterval + rigCall,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			bound := test.told + startsWithin
			for seed := range uint64(20) {
				waited := takeoverWait(t, seed, test.lost)
				qt.Check(t, waited <= bound, qt.IsTrue, qt.Commentf("seed %d: the gang started %v after the last takeover, bound %v", seed, waited, bound))
			}
		})
	}
}

// takeoverWait submits a gang while two entries take their workers over, and
// returns how long after the last takeover the whole gang runs.
func takeoverWait(t *testing.T, seed uint64, lost bool) time.Duration {
	c := qt.New(t)
	r := newRig(seed)
	r.terms.lease = slowLease
	r.addEntry("entry-0")
	r.addEntry("entry-1")
	const workers = 4
	for i := range workers {
		r.addWorker(fmt.Sprintf("w-%d", i), cores(8), true)
	}
	if lost {
		r.addWorker("w-lost", cores(8), true).dead = true
	}
	r.epoch("entry-0", "entry-1")
	r.append(testJob("gang", recorder.Gang, 3, cores(2), time.Hour))
	c.Assert(r.until(2*slowLease, func() bool { return r.takenOver() == workers }), qt.IsTrue)
	began := r.clock.Now()
	c.Assert(r.until(2*maxGangBackoff, func() bool { return r.running("gang") == 3 }), qt.IsTrue)
	c.Assert(r.violations, qt.HasLen, 0)
	return r.clock.Now().Sub(began)
}

// TestTakeoversKeepTheWaitAfterAFailure guards against a gang whose tasks fail
// being started again at once by each takeover.
func TestTakeoversKeepTheWaitAfterAFailure(t *testing.T) {
	c := qt.New(t)
	r := newRig(1)
	tables := r.addEntry("entry-0").tables
	tables.now = r.clock.Now()
	g := &gang{
		failedStarts: maxGangRestarts,
	}
	tables.delayGang(g, g.failedStarts)
	due := g.retryAt
	tables.takeoversSeen++
	tables.resetBackoffAfterTakeover(g)
	c.Assert(g.retryAt, qt.Equals, due)

	// A wait for room is shortened to the first one, and is never lengthened.
	g.failedRounds = 3
	tables.delayGang(g, g.failedRounds)
	tables.takeoversSeen++
	tables.resetBackoffAfterTakeover(g)
	c.Assert(g.failedRounds, qt.Equals, 0)
	c.Assert(g.retryAt.Sub(tables.now) <= firstWait, qt.IsTrue)
	g.failedRounds = 1
	g.retryAt = tables.now
	tables.takeoversSeen++
	tables.resetBackoffAfterTakeover(g)
	c.Assert(g.retryAt, qt.Equals, tables.now)
}

// takenOver returns the number of workers that are taken over.
func (r *rig) takenOver() int {
	n := 0
	for name := range r.entries {
		n += r.owned(name)
	}
	return n
}
