package dispatcher

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/sizer"
)

const (
	// longLease makes a takeover last for several rounds of a gang: after 30 s
	// of rounds without capacity the next wait is 15 s to 45 s, longer than the
	// bounds below.
	longLease = 30 * time.Second
	// maxRigCall is the longest time of a call of the rig one way: 0.3 s in the
	// queue, 0.5 s of delivery, 0.1 s until the receiver's tick.
	maxRigCall = 900 * time.Millisecond
	// maxFirstWait is the longest first wait after a change: half of
	// minGangBackoff plus up to minGangBackoff.
	maxFirstWait = 3 * minGangBackoff / 2
	// maxStartDelay is the longest time from when a home knows of the last
	// takeover until its gang runs: the round under way ends, the home scans
	// its jobs, waits, begins another round and confirms it, and the start
	// orders reach the workers.
	maxStartDelay = rigGangTerm + homeScanInterval + maxFirstWait + rigGangTerm + 2*maxRigCall
)

// TestGangsStartOnceWorkersAreTakenOver checks that a gang starts soon after the
// workers are taken over. It guards against a regression: rounds that found no
// capacity because every worker was still being taken over counted as failed. The
// backoff then delayed the gang by up to 6 s, or 30 s after more rounds, although
// workers were free.
func TestGangsStartOnceWorkersAreTakenOver(t *testing.T) {
	for _, test := range []struct {
		name string
		// silentWorker adds a listed worker that never answers, so that its
		// owner does not report for the epoch.
		silentWorker bool
		// noticeDelay is the longest time from the last takeover until the home
		// knows of it.
		noticeDelay time.Duration
	}{
		{
			name:        "all workers answer",
			noticeDelay: maxRigCall,
		},
		{
			name:         "a worker never answers",
			silentWorker: true,
			noticeDelay:  summaryInterval + exchangeInterval + maxRigCall,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			bound := test.noticeDelay + maxStartDelay
			for seed := range uint64(20) {
				waited := takeoverWait(t, seed, test.silentWorker)
				qt.Check(t, waited <= bound, qt.IsTrue, qt.Commentf("seed %d: the gang started %v after the last takeover, bound %v", seed, waited, bound))
			}
		})
	}
}

// takeoverWait submits a gang while two entries take over their workers, and
// returns the time from the last takeover until the whole gang runs.
func takeoverWait(t *testing.T, seed uint64, silentWorker bool) time.Duration {
	c := qt.New(t)
	r := newRig(seed)
	r.timings.lease = longLease
	r.addEntry("entry-0")
	r.addEntry("entry-1")
	const workers = 4
	for i := range workers {
		r.addWorker(fmt.Sprintf("w-%d", i), cores(8), true)
	}
	if silentWorker {
		r.addWorker("w-lost", cores(8), true).dead = true
	}
	r.epoch("entry-0", "entry-1")
	r.append(testJob("gang", recorder.Gang, 3, cores(2), time.Hour))
	c.Assert(r.runUntil(2*longLease, func() bool { return r.takenOver() == workers }), qt.IsTrue)
	takenOverAt := r.clock.Now()
	c.Assert(r.runUntil(2*maxGangBackoff, func() bool { return r.running("gang") == 3 }), qt.IsTrue)
	c.Assert(r.violations, qt.HasLen, 0)
	return r.clock.Now().Sub(takenOverAt)
}

// TestTakeoversKeepTheWaitAfterAFailure checks that a takeover does not shorten
// the backoff of a gang whose tasks failed.
func TestTakeoversKeepTheWaitAfterAFailure(t *testing.T) {
	c := qt.New(t)
	r := newRig(1)
	tables := r.addEntry("entry-0").tables
	tables.now = r.clock.Now()
	g := &gang{
		failedRuns: maxGangRestarts,
	}
	tables.delayGang(g, g.failedRuns)
	planned := g.retryAt
	tables.takeoversSeen++
	tables.resetBackoffAfterTakeover(g)
	c.Assert(g.retryAt, qt.Equals, planned)

	// A wait for capacity is shortened to the first one, and never lengthened.
	g.failedRounds = 3
	tables.delayGang(g, g.failedRounds)
	tables.takeoversSeen++
	tables.resetBackoffAfterTakeover(g)
	c.Assert(g.failedRounds, qt.Equals, 0)
	c.Assert(g.retryAt.Sub(tables.now) <= maxFirstWait, qt.IsTrue)
	g.failedRounds = 1
	g.retryAt = tables.now
	tables.takeoversSeen++
	tables.resetBackoffAfterTakeover(g)
	c.Assert(g.retryAt, qt.Equals, tables.now)
}

// TestStoppingGangIsNotStarted guards against a regression: a gang that was being
// stopped counted as started once the rest of its tasks were reported or finished,
// was then stopped a second time and waited again.
func TestStoppingGangIsNotStarted(t *testing.T) {
	finished := func(t *tables, j *homeJob) {
		t.finishTask(j, "entry-0", namer.TaskRef{
			Task: namer.TaskID{
				Job:   "gang",
				Index: 1,
			},
		})
		t.applyHeld("entry-0", Held{
			Job:     "gang",
			Indexes: []int{0},
		})
	}
	reported := func(t *tables, _ *homeJob) {
		t.applyHeld("entry-0", Held{
			Job:     "gang",
			Indexes: []int{1},
		})
	}
	for _, test := range []struct {
		name string
		rest func(t *tables, j *homeJob)
	}{
		{
			name: "the rest is finished",
			rest: finished,
		},
		{
			name: "the rest is reported",
			rest: reported,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			tables, j := newUnassignedGang(newRig(1), 2, cores(2), Summary{})
			j.setState(0, taskHeld)
			j.tasks[0].holder = "entry-0"
			tables.stopGang(j, "test")
			test.rest(tables, j)
			c.Assert(j.gang.state, qt.Equals, gangStopping)
			planned := j.gang.retryAt
			tables.applyReturned("entry-0", Returned{
				Job:     "gang",
				Indexes: []int{0, 1},
			})
			tables.advanceGang(j)
			c.Assert(j.gang.state, qt.Equals, gangWaiting)
			c.Assert(j.gang.retryAt, qt.Equals, planned)
		})
	}
}

// TestGangFitsAllWorkersTogether guards against a regression: a gang was compared
// with the capacity of the members up to the first one that has a worker large
// enough, so that the order of their names decided whether it failed.
func TestGangFitsAllWorkersTogether(t *testing.T) {
	large := Summary{
		Capacity: cores(32),
		Shapes:   []sizer.Size{cores(8)},
	}
	small := Summary{
		Capacity: cores(100),
		Shapes:   []sizer.Size{cores(4)},
	}
	for _, test := range []struct {
		name  string
		tasks int
		fits  bool
	}{
		{
			name:  "all of the workers' capacity",
			tasks: 16,
			fits:  true,
		},
		{
			name:  "more",
			tasks: 17,
		},
	} {
		for _, summaries := range [][]Summary{{large, small}, {small, large}} {
			t.Run(test.name, func(t *testing.T) {
				c := qt.New(t)
				tables, j := newUnassignedGang(newRig(1), test.tasks, cores(8), summaries...)
				c.Assert(tables.checkFit(j, test.tasks), qt.Equals, test.fits)
				c.Assert(j.unfitSince.IsZero(), qt.Equals, test.fits)
			})
		}
	}
}

// TestWhyOfAGangThatIsTooLarge guards against a regression: for a gang that is too
// large for all workers together, Why said that no worker is large enough.
func TestWhyOfAGangThatIsTooLarge(t *testing.T) {
	for _, test := range []struct {
		name string
		size sizer.Size
		want string
	}{
		{
			name: "too large together",
			size: cores(8),
			want: "5 tasks of 8 cores.* at once are more than all workers have: 32 cores.*",
		},
		{
			name: "each too large",
			size: cores(9),
			want: "no worker has 9 cores.*; the nearest has 8 cores.*",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			tables, j := newUnassignedGang(newRig(1), 5, test.size, Summary{
				Capacity: cores(32),
				Shapes:   []sizer.Size{cores(8)},
			})
			c.Assert(tables.checkFit(j, 5), qt.IsFalse)
			reason, known := tables.why(namer.TaskID{
				Job:   "gang",
				Index: 0,
			})
			c.Assert(known, qt.IsTrue)
			c.Assert(reason, qt.Matches, test.want)
		})
	}
}

// newUnassignedGang returns the tables of an entry that is the home of a gang
// without holders. The first summary is the entry's own, the others are those of
// its peers, whose names come after its own.
func newUnassignedGang(r *rig, tasks int, size sizer.Size, summaries ...Summary) (*tables, *homeJob) {
	tables := r.addEntry("entry-0").tables
	tables.now = r.clock.Now()
	tables.epochLearnedAt = tables.now
	tables.censusComplete = true
	tables.streams = make(map[string]*memberStream)
	for i, summary := range summaries {
		name := fmt.Sprintf("entry-%d", i)
		tables.members = append(tables.members, name)
		stream := &tables.selfStream
		if name != tables.self {
			stream = &memberStream{
				member: name,
			}
			tables.streams[name] = stream
		}
		stream.summaryKnown = true
		stream.summary = summary
	}
	r.append(testJob("gang", recorder.Gang, tasks, size, time.Hour))
	state, _ := r.logState.Job("gang")
	return tables, tables.addHome(state, false)
}

// takenOver returns the number of workers that have been taken over.
func (r *rig) takenOver() int {
	n := 0
	for name := range r.entries {
		n += r.owned(name)
	}
	return n
}
