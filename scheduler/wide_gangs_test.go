package scheduler_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// TestGangThatIsWiderThanItsShard guards against a gang that never runs, as the shard of its job has
// too few workers, and against members that start long before others.
func TestGangThatIsWiderThanItsShard(t *testing.T) {
	w := newWideRig(t)
	gang := newPhase(4, cores(3))
	gang.Gang = true
	w.home.s.AddJob(w.home.job("gang", gang), nil, false, w.home.now)
	rounds := 0
	for w.home.activeRuns()+w.delegate.activeRuns() == 0 {
		w.rounds(1, true)
		rounds++
		w.home.c.Assert(rounds < 25, qt.IsTrue, qt.Commentf("the gang does not start"))
	}
	w.rounds(2, true)
	attempts := make(map[int64]int)
	for _, r := range []*rig{w.home, w.delegate} {
		for _, worker := range r.workersByID {
			for run := range worker.activeRuns {
				attempts[run.Attempt]++
			}
		}
	}
	w.home.c.Assert(attempts, qt.HasLen, 1)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 2)

	w.home.endAll(0, scheduler.EndDone)
	w.delegate.endAll(0, scheduler.EndDone)
	w.rounds(5, true)
	w.home.c.Assert(w.home.state("gang"), qt.Equals, scheduler.Completed)
}

// TestWideGangFailsOnce guards against a failure of a gang that counts once for each owner of
// members, or members that run on without the others.
func TestWideGangFailsOnce(t *testing.T) {
	w := newWideRig(t)
	gang := newPhase(4, cores(3))
	gang.Gang = true
	w.home.s.AddJob(w.home.job("gang", gang), nil, false, w.home.now)
	for failures := range deskQueue.MaxAttempts {
		for w.home.activeRuns()+w.delegate.activeRuns() < 4 {
			w.rounds(1, true)
		}
		for _, worker := range w.delegate.workersByID {
			for run := range worker.activeRuns {
				worker.end(run, scheduler.EndFailed)
			}
		}
		w.rounds(3, true)
		w.home.c.Assert(w.home.state("gang") == scheduler.Failed, qt.Equals, failures+1 == deskQueue.MaxAttempts)
		w.home.c.Assert(w.home.activeRuns(), qt.Equals, 0)
	}
}

// TestWideGangsDoNotWaitForEachOther guards against two gangs of different shards, each of which
// holds some of the workers that both need.
func TestWideGangsDoNotWaitForEachOther(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		w := newWideModel(noFault, 2, random.IntN, func(gang *scheduler.Phase) {
			gang.Size = cores(2)
			gang.Tasks = 6
		})
		w.finish()
		qt.Assert(t, w.violation(), qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}
