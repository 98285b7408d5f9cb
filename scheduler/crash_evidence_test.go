package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// nextStart lets time pass until a start is ordered, which is not carried out.
func (r *rig) nextStart() scheduler.StartTask {
	for range 200 {
		r.advance(50 * time.Millisecond)
		r.renewLeases()
		r.s.ConfirmOwnership(r.now)
		effects := r.s.Tick(r.now)
		r.write()
		for _, effect := range append(effects, r.s.Tick(r.now)...) {
			switch effect := effect.(type) {
			case scheduler.StartTask:
				return effect
			case scheduler.StopTask:
				r.s.StopAnswered(effect, !r.workersByID[effect.Worker.ID].silent, r.now)
			case scheduler.AskAdvice, scheduler.PaceTask:
			}
		}
	}
	r.c.Fatal("no start")
	return scheduler.StartTask{}
}

// breakDown ends the connections of a worker, which is silent from then on.
func (r *rig) breakDown(id string) {
	r.workersByID[id].silent = true
	r.s.RenewalBroken(id, r.now)
}

// comeBack lets a silent worker start again under its identity and report.
func (r *rig) comeBack(id string) {
	w := r.workersByID[id]
	w.silent = false
	w.restart()
	r.renewLeasesOf(func(other string) bool { return other == id })
}

// storedCrashes returns what is stored of the crashes under the first task of the job.
func (r *rig) storedCrashes(id string) []scheduler.Crash {
	r.write()
	steps := r.stored[id].Steps
	if len(steps) == 0 {
		return nil
	}
	return steps[0].Crashes[0]
}

// TestStartsThatReachedNobodyGiveUpNoTask guards against a job that is shown as failed although no run of
// it ever was on a worker that crashed.
func TestStartsThatReachedNobodyGiveUpNoTask(t *testing.T) {
	for _, test := range []struct {
		name   string
		rounds int
		// end ends the worker before the start is answered.
		end func(*rig, scheduler.StartTask)
	}{
		{
			name:   "no answer before the worker crashed",
			rounds: 4,
			end: func(r *rig, order scheduler.StartTask) {
				r.breakDown(order.Worker.ID)
				r.s.StartAnswered(order.Worker.ID, order.Run, scheduler.StartUnknown, r.now)
				r.advance(100 * time.Millisecond)
				r.comeBack(order.Worker.ID)
			},
		},
		{
			name:   "only a repeated order answered, which may have reached the next incarnation",
			rounds: 4,
			end: func(r *rig, order scheduler.StartTask) {
				id := order.Worker.ID
				r.s.StartAnswered(id, order.Run, scheduler.StartDone, r.now)
				r.s.StartUnanswered(id, order.Run)
				r.advance(10 * time.Millisecond)
				r.breakDown(id)
				r.advance(10 * time.Millisecond)
				r.comeBack(id)
			},
		},
		{
			name:   "not sent, as is known after the worker has started again",
			rounds: 10,
			end: func(r *rig, order scheduler.StartTask) {
				r.breakDown(order.Worker.ID)
				r.advance(10 * time.Millisecond)
				r.comeBack(order.Worker.ID)
				r.s.StartAnswered(order.Worker.ID, order.Run, scheduler.StartRefused, r.now)
			},
		},
		{
			name:   "not sent, as is known after the worker has ended",
			rounds: 10,
			end: func(r *rig, order scheduler.StartTask) {
				id := order.Worker.ID
				r.breakDown(id)
				r.advance(10 * time.Millisecond)
				r.s.WorkerGone(id, order.WorkerStartedAt, r.now)
				r.s.StartAnswered(id, order.Run, scheduler.StartRefused, r.now)
				delete(r.workersByID, id)
				r.addWorker(id+"x", cores(8)).entry.StartedAt = r.now
				r.updateDirectory()
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRestartRig(t, "w0", "w1", "w2")
			r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
			for range test.rounds {
				order := r.nextStart()
				r.advance(60 * time.Millisecond)
				test.end(r, order)
				r.c.Assert(r.notesWith("task is given up"), qt.HasLen, 0)
			}
			for range 100 {
				r.s.ConfirmOwnership(r.now)
				r.round()
				r.write()
			}
			r.c.Assert(r.activeRuns(), qt.Equals, 1)
		})
	}
}

// TestOneStartCountsForOneIncarnation guards against a task that is given up after one start: its answer
// came before a report that was requested earlier, and both incarnations of the worker counted as crashed
// by it.
func TestOneStartCountsForOneIncarnation(t *testing.T) {
	r := newRestartRig(t, "w0")
	w := r.workersByID["w0"]
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	order := r.nextStart()
	requestedAt := r.now
	r.advance(20 * time.Millisecond)
	r.s.StartAnswered("w0", order.Run, scheduler.StartDone, r.now)
	r.advance(20 * time.Millisecond)
	r.breakDown("w0")
	r.advance(10 * time.Millisecond)
	w.restart()
	r.s.Report("w0", scheduler.Report{
		Clock:     w.clock,
		StartedAt: w.entry.StartedAt,
	}, requestedAt, r.now)
	r.advance(20 * time.Millisecond)
	r.breakDown("w0")
	r.advance(100 * time.Millisecond)
	r.comeBack("w0")
	r.c.Assert(r.notesWith("task is given up"), qt.HasLen, 0)
	r.c.Assert(r.storedCrashes("j"), qt.HasLen, 1)
}

// TestStartOnTheNextIncarnationIsNoCrashOfTheFormer guards against a task that is given up for crashes of
// workers that had no run of it: a start without an answer reached the worker's next incarnation, which
// had the run and lived on.
func TestStartOnTheNextIncarnationIsNoCrashOfTheFormer(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		t.Run(fmt.Sprintf("stopped %t", stopped), func(t *testing.T) {
			r := newRestartRig(t, "w0")
			w := r.workersByID["w0"]
			r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
			order := r.nextStart()
			r.advance(20 * time.Millisecond)
			r.breakDown("w0")
			r.s.StartAnswered("w0", order.Run, scheduler.StartUnknown, r.now)
			r.c.Assert(r.storedCrashes("j"), qt.HasLen, 1)
			r.advance(100 * time.Millisecond)
			r.comeBack("w0")
			r.c.Assert(r.storedCrashes("j"), qt.HasLen, 1)
			w.activeRuns[order.Run] = scheduler.ActiveRun{
				Run: order.Run,
			}
			if stopped {
				w.end(order.Run, scheduler.EndStopped)
			}
			r.renewLeases()
			r.c.Assert(r.storedCrashes("j"), qt.HasLen, 0)
		})
	}
}

// TestCrashesOfManyWorkersAtOnceGiveUpNoTask guards against a job that is shown as failed as its task had
// twice just started on a worker that ended with many others, as after a loss of power.
func TestCrashesOfManyWorkersAtOnceGiveUpNoTask(t *testing.T) {
	var workers []string
	for i := range 12 {
		workers = append(workers, workerName(i))
	}
	r := newRestartRig(t, workers...)
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	for range 4 {
		order := r.nextStart()
		r.s.StartAnswered(order.Worker.ID, order.Run, scheduler.StartDone, r.now)
		r.advance(20 * time.Millisecond)
		ended := []string{order.Worker.ID}
		for _, id := range workers {
			if len(ended) < 6 && id != order.Worker.ID {
				ended = append(ended, id)
			}
		}
		for _, id := range ended {
			r.breakDown(id)
			r.advance(time.Millisecond)
		}
		r.advance(100 * time.Millisecond)
		for _, id := range ended {
			r.comeBack(id)
		}
		r.c.Assert(r.notesWith("task is given up"), qt.HasLen, 0)
	}
}

// TestTaskThatCrashesWorkersAmongManyIsGivenUp guards against a task that crashes its workers without end, as
// others end at the same moments each time.
func TestTaskThatCrashesWorkersAmongManyIsGivenUp(t *testing.T) {
	r := newCrashRig(t, 16, firstTaskOf("deadly"))
	r.addJob(r.job("deadly", newPhase(1, cores(1))))
	known := 0
	for range 3000 {
		r.play(20 * time.Millisecond)
		crashes := 0
		for _, n := range r.crashes {
			crashes += n
		}
		if crashes == known {
			continue
		}
		known = crashes
		for _, id := range slices.Sorted(maps.Keys(r.workersByID)) {
			if len(r.downSince) < 8 && r.downSince[id].IsZero() {
				r.takeDown(id)
			}
		}
	}
	r.c.Assert(r.state("deadly"), qt.Equals, scheduler.Failed)
	r.c.Assert(known <= maxCrashesAllowed, qt.IsTrue, qt.Commentf("%d workers crashed", known))
	r.c.Assert(known > 2, qt.IsTrue, qt.Commentf("the other workers explain none of %d crashes", known))
}
