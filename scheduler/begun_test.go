package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// checkWaiting checks whether the only job, "j", is shown as waiting.
func (r *rig) checkWaiting(waits bool) {
	r.c.Helper()
	want, jobs := scheduler.Running, 0
	if waits {
		want, jobs = scheduler.Pending, 1
	}
	r.c.Assert(r.state("j"), qt.Equals, want)
	r.c.Assert(r.s.WaitingJobs("checks"), qt.Equals, jobs)
}

// sendStart has the scheduler send the start of the only task of a new job "j", which is not
// answered.
func (r *rig) sendStart() (scheduler.Job, scheduler.StartTask) {
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(1, cores(1)))
	r.s.AddJob(job, nil, false, r.now)
	r.s.Tick(r.now)
	r.write()
	effects := r.s.Tick(r.now)
	r.c.Assert(effects, qt.HasLen, 1)
	return job, effects[0].(scheduler.StartTask)
}

// TestJobWhoseStartIsRefusedHasNotBegun guards against pending_jobs that leaves out jobs of which
// no task has begun, and against a state that says that one has.
func TestJobWhoseStartIsRefusedHasNotBegun(t *testing.T) {
	for outcome, waits := range map[scheduler.StartOutcome]bool{
		scheduler.StartDone:       false,
		scheduler.StartRefused:    true,
		scheduler.StartUnhealthy:  true,
		scheduler.StartNoTicket:   true,
		scheduler.StartUnknown:    true,
		scheduler.StartWorkerGone: true,
	} {
		t.Run(outcome.String(), func(t *testing.T) {
			r := newRig(t)
			r.addWorker("w", cores(4))
			job, start := r.sendStart()
			r.checkWaiting(true)
			r.s.StartAnswered("w", start.Run, outcome, r.now)
			r.checkWaiting(waits)
			r.write()
			if waits {
				r.takeOver(job)
				r.checkWaiting(true)
			}
		})
	}
}

// TestReportSaysThatAJobHasBegun guards against a job that is shown as waiting for good, as the
// answer to its start was lost.
func TestReportSaysThatAJobHasBegun(t *testing.T) {
	for _, how := range []scheduler.End{scheduler.EndUnknown, scheduler.EndDone, scheduler.EndFailed, scheduler.EndStopped} {
		r := newRig(t)
		w := r.addWorker("w", cores(4))
		_, start := r.sendStart()
		r.s.StartAnswered("w", start.Run, scheduler.StartUnknown, r.now)
		r.checkWaiting(true)
		w.activeRuns[start.Run] = scheduler.ActiveRun{
			Run: start.Run,
		}
		if how != scheduler.EndUnknown {
			w.end(start.Run, how)
		}
		r.renewLeases()
		r.checkWaiting(false)
	}
}

// TestCancelledJobThatHasNotBegun guards against a job that is shown as running between its
// cancelling and the write of it, and is counted as waiting after that.
func TestCancelledJobThatHasNotBegun(t *testing.T) {
	r := newRig(t)
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	r.s.Cancel("j", r.now)
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Pending)
	r.c.Assert(r.s.WaitingJobs("checks"), qt.Equals, 0)
	r.write()
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Cancelled)
	r.c.Assert(r.s.WaitingJobs("checks"), qt.Equals, 0)
}

// TestJobHasBegunOverATakeover guards against a job that is shown as waiting after a takeover
// although a worker had begun a task, of which no worker has a trace any more.
func TestJobHasBegunOverATakeover(t *testing.T) {
	for name, end := range map[string]func(*rig, *fakeWorker, scheduler.RunRef){
		"worker gone": func(r *rig, _ *fakeWorker, _ scheduler.RunRef) {
			r.s.EndWorker("w", r.now)
			delete(r.workersByID, "w")
		},
		"stopped": func(r *rig, w *fakeWorker, run scheduler.RunRef) {
			w.end(run, scheduler.EndStopped)
			r.renewLeases()
		},
		"missing": func(r *rig, w *fakeWorker, run scheduler.RunRef) {
			delete(w.activeRuns, run)
			r.now = r.now.Add(time.Second)
			r.renewLeases()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			w := r.addWorker("w", cores(4))
			job, start := r.sendStart()
			w.activeRuns[start.Run] = scheduler.ActiveRun{
				Run: start.Run,
			}
			r.s.StartAnswered("w", start.Run, scheduler.StartDone, r.now)
			end(r, w, start.Run)
			r.checkWaiting(false)
			r.write()
			r.takeOver(job)
			r.checkWaiting(false)
		})
	}
}
