package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

func TestPhasesFollowEachOther(t *testing.T) {
	r := newRig(t)
	r.addWorker("w", cores(8))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(3, cores(1)), newPhase(2, cores(1))), nil, false, r.now)
	r.c.Assert(r.s.WaitingJobs("checks"), qt.Equals, 1)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 3)
	r.c.Assert(r.s.WaitingJobs("checks"), qt.Equals, 0)
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Running)
	r.endAll(0, scheduler.EndDone)
	r.round()
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.endAll(1, scheduler.EndDone)
	r.round()
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Running, qt.Commentf("completed is shown before it is stored"))
	r.write()
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Completed)
}

func TestRoomIsNeverOvercommitted(t *testing.T) {
	r := newRig(t)
	for i := range 3 {
		r.addWorker(workerName(i), cores(4))
	}
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("wide", newPhase(20, cores(3))), nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 3)
}

func TestEndIsAcknowledgedOnceStored(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	r.tick()
	r.endAll(0, scheduler.EndDone)
	r.round()
	r.round()
	r.c.Assert(w.ended, qt.HasLen, 1, qt.Commentf("acknowledged before it was stored"))
	r.write()
	r.round()
	r.c.Assert(w.ended, qt.HasLen, 0)
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(4))
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	r.tick()
	r.endAll(0, scheduler.EndFailed)
	r.round()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
	r.endAll(0, scheduler.EndFailed)
	r.round()
	r.write()
	r.c.Assert(r.activeRuns(), qt.Equals, 0)
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Failed)
}

func TestCancelStopsWhatRuns(t *testing.T) {
	r := newRig(t)
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(2, cores(1)), newPhase(2, cores(1))), nil, false, r.now)
	r.tick()
	r.c.Assert(r.s.Cancel("j", r.now), qt.IsTrue)
	r.round()
	r.c.Assert(r.activeRuns(), qt.Equals, 0)
	r.write()
	r.round()
	r.c.Assert(r.activeRuns(), qt.Equals, 0)
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Cancelled)
}

func TestTimedOccurrencesStartWhenDue(t *testing.T) {
	r := newRig(t)
	r.addWorker("w", cores(8))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(1, cores(1)))
	job.Start = r.now.Add(time.Second)
	job.Interval = 2 * time.Second
	job.Repetitions = 2
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 0)
	r.advance(time.Second)
	r.round()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
	r.advance(2 * time.Second)
	r.round()
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.endAll(0, scheduler.EndDone)
	r.round()
	r.write()
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Completed)
}

func TestLastingTasksAreStartedAgain(t *testing.T) {
	ends := []scheduler.End{
		scheduler.EndDone, scheduler.EndFailed, scheduler.EndStopped,
		scheduler.EndLapsed, scheduler.EndUnknown,
	}
	for _, end := range ends {
		t.Run(end.String(), func(t *testing.T) {
			r := newRig(t)
			r.addWorker("v", cores(4))
			r.addWorker("w", cores(4))
			r.updateDirectory()
			r.renewLeases()
			phase := newPhase(1, cores(1))
			phase.Lasting = true
			r.s.AddJob(r.job("j", phase), nil, false, r.now)
			r.tick()
			for range 4 {
				r.endAll(0, end)
				r.round()
				r.c.Assert(r.activeRuns(), qt.Equals, 1)
			}
			r.c.Assert(r.state("j"), qt.Equals, scheduler.Running)
		})
	}
}

func TestValidate(t *testing.T) {
	good := scheduler.Job{
		ID: "j",
		Phases: []scheduler.Phase{
			newPhase(1, cores(1)),
		},
	}
	tests := map[string]struct {
		change func(*scheduler.Job)
		want   string
	}{
		"no identity":      {func(j *scheduler.Job) { j.ID = "" }, `.*no identity.*`},
		"no phases":        {func(j *scheduler.Job) { j.Phases = nil }, `.*no phases.*`},
		"no tasks":         {func(j *scheduler.Job) { j.Phases[0].Tasks = 0 }, `.*phase 0 has 0 tasks.*`},
		"too many tasks":   {func(j *scheduler.Job) { j.Phases[0].Tasks = 1 << 20 }, `.*phase 0 has 1048576 tasks.*`},
		"depends on self":  {func(j *scheduler.Job) { j.Phases[0].DependsOn = []int{0} }, `.*depends on phase 0.*`},
		"negative size":    {func(j *scheduler.Job) { j.Phases[0].Size = cores(-1) }, `.*negative size.*`},
		"negative repeats": {func(j *scheduler.Job) { j.Repetitions = -1 }, `.*-1 repetitions.*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(good.Validate(), qt.IsNil)
			job := good
			job.Phases = append([]scheduler.Phase(nil), good.Phases...)
			test.change(&job)
			err := job.Validate()
			c.Assert(err, qt.ErrorIs, scheduler.ErrBadJob)
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

// TestWorkerWithASlowClockGetsWork checks that tasks start on a worker whose clock
// runs as slowly as allowed, so that no later report raises the lower bound of its
// clock.
func TestWorkerWithASlowClockGetsWork(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	startedAt, startClock := r.now, w.clock
	for range 40 {
		r.round()
		w.clock = startClock + time.Duration(0.98*float64(r.now.Sub(startedAt))) - time.Millisecond
	}
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
}

// TestJobWaitsUntilAStartIsSent checks that a job counts as waiting while the
// write before its first start is not stored, also for the next owner.
func TestJobWaitsUntilAStartIsSent(t *testing.T) {
	r := newRig(t)
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(1, cores(1)))
	r.s.AddJob(job, nil, false, r.now)
	r.carryOut(r.s.Tick(r.now))
	r.c.Assert(r.s.PlannedRuns(), qt.Equals, 1)
	r.c.Assert(r.s.WaitingJobs("checks"), qt.Equals, 1)
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Pending)
	r.write()
	r.takeOver(job)
	r.c.Assert(r.s.WaitingJobs("checks"), qt.Equals, 1)
	r.renewLeases()
	r.tick()
	r.tick()
	r.c.Assert(r.s.WaitingJobs("checks"), qt.Equals, 0)
}
