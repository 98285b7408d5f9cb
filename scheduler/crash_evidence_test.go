package scheduler_test

import (
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
