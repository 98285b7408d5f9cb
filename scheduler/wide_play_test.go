package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// settle ends all trouble.
func (w *wideModel) settle() {
	w.lateCalls = nil
	for _, m := range w.shards {
		m.calm = true
		for _, worker := range m.workers {
			worker.unreachableBy = 0
			worker.unlisted = false
		}
		for countUp(m) < 3 {
			m.addWorker()
		}
		o := m.current()
		o.superseded = false
		o.s.SetWorkers(m.directory())
	}
}

func countUp(m *model) int {
	n := 0
	for _, worker := range m.workers {
		if worker.up {
			n++
		}
	}
	return n
}

// nameWorker gives a new worker of a shard a name that is unique among all shards.
func (w *wideModel) nameWorker(m *model, index int) {
	shard := slices.Index(w.shards, m)
	entry := &m.workers[index].entry
	entry.Ref.ID = fmt.Sprintf("s%dw%d", shard, index)
	if shard == w.count-1 {
		entry.Labels = []string{labelled}
	}
}

// replaceOwner replaces the owner of a shard by one that does not reach the worker with the most
// runs for a while.
func (w *wideModel) replaceOwner() {
	m := w.shards[w.draw(len(w.shards))]
	hidden := slices.MaxFunc(m.workers, func(a, b *modelWorker) int { return len(a.active) - len(b.active) })
	m.takeOver()
	hidden.unreachableBy = m.epoch
	for range 30 {
		w.round()
	}
	hidden.unreachableBy = 0
}

// finish checks that all lasting tasks of jobs that were not cancelled run, that all other jobs
// end, and that nothing of a cancelled job is left.
func (w *wideModel) finish() {
	w.finishWithin(250)
}

// finishWithin is finish with that number of rounds until all has to run or be done.
func (w *wideModel) finishWithin(rounds int) {
	w.settle()
	for range rounds {
		w.round()
	}
	for i, m := range w.shards {
		id := fmt.Sprintf("s%dlasting", i)
		running := w.running(id)
		if _, cancelled := w.cancelledAt[id]; !cancelled && running != 5 {
			m.violate("%d of 5 tasks of %s run", running, id)
		}
		for _, job := range m.jobs {
			state, known := m.current().s.State(job.ID)
			if job.ID != id && (!known || state != scheduler.Completed) {
				m.violate("%s is %s", job.ID, state)
			}
		}
		w.cancel(id)
	}
	for range 60 {
		w.round()
	}
	for i, m := range w.shards {
		if running := w.running(fmt.Sprintf("s%dlasting", i)); running > 0 {
			m.violate("%d tasks of a cancelled job run", running)
		}
	}
	w.advance(10 * time.Minute)
	for range 20 {
		w.round()
	}
	for _, m := range w.shards {
		if n := m.current().s.GuestTasks(); n > 0 {
			m.violate("%d tasks of ended jobs belong to a delegate", n)
		}
	}
}

// running counts the tasks of a job that run.
func (w *wideModel) running(id string) int {
	n := 0
	for _, m := range w.shards {
		for _, worker := range m.workers {
			for run := range worker.active {
				if worker.up && run.Task.Step.Job == id {
					n++
				}
			}
		}
	}
	return n
}

func (w *wideModel) violation() string {
	for _, m := range w.shards {
		if m.violation != "" {
			return m.violation
		}
	}
	return ""
}

// playWideModel plays random actions on several shards, and returns the first violated
// invariant, or an empty string.
func playWideModel(seeded fault, shards int, draw func(int) int) string {
	w := newWideModel(seeded, shards, draw)
	for range 20 {
		w.round()
	}
	for range 3 {
		for range 130 {
			w.doRandomAction()
		}
		w.replaceOwner()
	}
	w.finish()
	return w.violation()
}

// TestWideStepsKeepInvariants runs interleavings of the owners of several shards, any of which
// may be replaced at any time, and of calls between them that are lost, late or answered by a
// former owner. It guards against tasks that run in two shards at once, again after their
// end, after their job was cancelled, or never.
func TestWideStepsKeepInvariants(t *testing.T) {
	for shards := 2; shards <= 3; shards++ {
		t.Run(fmt.Sprintf("%d shards", shards), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(60) {
				random := rand.New(rand.NewPCG(seed, 7))
				qt.Assert(t, playWideModel(noFault, shards, random.IntN), qt.Equals, "", qt.Commentf("seed %d", seed))
			}
		})
	}
}

// TestWideModelFindsSeededFaults checks that each fault violates an invariant for some seed.
func TestWideModelFindsSeededFaults(t *testing.T) {
	for _, seeded := range []fault{grantsUnnamed, guestsUnnamed} {
		t.Run(string(seeded), func(t *testing.T) {
			for seed := range uint64(1000) {
				random := rand.New(rand.NewPCG(seed, 7))
				if violation := playWideModel(seeded, 2, random.IntN); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			qt.Check(t, "no seed", qt.Equals, "a violated invariant")
		})
	}
}
