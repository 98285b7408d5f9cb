package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// Leases as the command that runs an entry sets them.
const (
	entryLease    = 3500 * time.Millisecond
	entryMaxLease = 6 * time.Second
)

// unconfirmedRig is a rig with a job of two tasks, one of which runs on the worker "far". The store
// lists the job's other worker, "near", which has room for both.
type unconfirmedRig struct {
	*rig
	near, far *fakeWorker
	job       scheduler.Job
	// farTask is the task that runs on far.
	farTask scheduler.TaskRef
}

func newUnconfirmedRig(t *testing.T, gang bool) *unconfirmedRig {
	u := &unconfirmedRig{
		rig: newRig(t, scheduler.Lease(entryLease, entryMaxLease)),
	}
	u.near, u.far = u.addWorker("near", cores(2)), u.addWorker("far", cores(1))
	for _, w := range u.workersByID {
		w.entry.StartedAt = u.now
	}
	u.updateDirectory()
	u.renewLeases()
	phase := newPhase(3, cores(1))
	phase.Gang = gang
	u.job = u.rig.job("j", phase)
	if gang {
		// Another task makes the second member of the gang go to far.
		u.job.Phases[0].Tasks = 2
		u.far.silent = true
		u.s.AddJob(u.rig.job("other", newPhase(1, cores(1))), nil, false, u.now)
		u.renewLeases()
		u.tick()
		u.far.silent = false
		u.renewLeases()
	}
	u.s.AddJob(u.job, nil, false, u.now)
	u.tick()
	u.c.Assert(u.near.activeRuns, qt.HasLen, 2)
	u.c.Assert(u.far.activeRuns, qt.HasLen, 1)
	u.farTask = firstRun(u.far).Task
	for run := range u.near.activeRuns {
		if !gang || run.Task.Step.Job == "other" {
			u.near.end(run, scheduler.EndDone)
		}
	}
	u.renewLeases()
	u.write()
	u.s.ConfirmOwnership(u.now)
	u.advance(100 * time.Millisecond)
	u.renewLeases()
	return u
}

// rounds plays rounds for that long. The owner does not reach the store.
func (u *unconfirmedRig) rounds(d time.Duration) {
	for until := u.now.Add(d); u.now.Before(until); {
		u.advance(100 * time.Millisecond)
		u.renewLeases()
		u.carryOut(u.s.Tick(u.now))
	}
}

// takeOverAgain replaces the owner by one that finds far silent for a while already.
func (u *unconfirmedRig) takeOverAgain() {
	u.far.silent = true
	u.s = scheduler.New(u.s.Token()+1, u.now, scheduler.Lease(entryLease, entryMaxLease))
	u.s.AddFormerWorkers(u.storedWorkers)
	u.s.SetFormerSilence([]scheduler.SilentWorker{
		{
			ID:  "far",
			For: 3 * time.Second,
		},
	})
	u.restoreJob(u.job)
	u.s.SetWorkers([]scheduler.WorkerEntry{u.near.entry, u.far.entry})
}

// TestUnconfirmedOwnerStartsNoTaskAgain guards against an owner that is cut off from the store, and
// that starts a task again whose run it has lost without the word of its worker. The next owner, of
// which it does not know, had renewed the lease of the run or taken note of its end, and the task ran
// twice.
func TestUnconfirmedOwnerStartsNoTaskAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		gang bool
		lose func(*unconfirmedRig)
	}{
		{
			name: "lease that the owner granted has expired",
			lose: func(u *unconfirmedRig) { u.far.silent = true },
		},
		{
			name: "lease of a member of a gang has expired",
			gang: true,
			lose: func(u *unconfirmedRig) { u.far.silent = true },
		},
		{
			name: "another worker answers at the address",
			lose: func(u *unconfirmedRig) {
				u.far.silent = true
				u.s.EndWorker("far", u.now)
			},
		},
		{
			name: "worker has started again under its identity",
			lose: func(u *unconfirmedRig) { u.far.restart() },
		},
		{
			name: "leases of former owners have expired",
			lose: (*unconfirmedRig).takeOverAgain,
		},
		{
			name: "another worker answers at the address of one that has not reported",
			lose: func(u *unconfirmedRig) {
				u.takeOverAgain()
				u.rounds(100 * time.Millisecond)
				u.s.EndWorker("far", u.now)
			},
		},
		{
			name: "worker that has not reported has started again under its identity",
			lose: func(u *unconfirmedRig) {
				u.takeOverAgain()
				u.rounds(100 * time.Millisecond)
				u.far.restart()
				u.far.silent = false
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			u := newUnconfirmedRig(t, test.gang)
			starts := func() int { return u.near.startCounts[u.farTask] + u.far.startCounts[u.farTask] }
			test.lose(u)
			u.rounds(5 * time.Second)
			u.c.Assert(starts(), qt.Equals, 1, qt.Commentf("the owner may have a successor"))

			u.s.ConfirmOwnership(u.now)
			u.rounds(2 * time.Second)
			u.c.Assert(starts(), qt.Equals, 2, qt.Commentf("the owner has no successor"))
		})
	}
}

// TestOwnerWithoutLeasesStartsNothing guards against starts by an owner that may grant no lease any
// more: each was refused as late and sent again at once, hundreds in a second.
func TestOwnerWithoutLeasesStartsNothing(t *testing.T) {
	u := newUnconfirmedRig(t, false)
	u.s.AddJob(u.rig.job("k", newPhase(1, cores(1))), nil, false, u.now)
	u.tick()
	u.c.Assert(u.near.activeRuns, qt.HasLen, 1)
	lapsing := firstRun(u.near)
	u.rounds(entryMaxLease)
	u.near.end(lapsing, scheduler.EndLapsed)
	u.rounds(time.Second)
	u.c.Assert(u.near.startCounts[lapsing.Task], qt.Equals, 1)

	u.s.ConfirmOwnership(u.now)
	u.rounds(100 * time.Millisecond)
	u.c.Assert(u.near.startCounts[lapsing.Task], qt.Equals, 2)
}

// TestUnconfirmedOwnerFreesNoMaximum guards against an owner that may have a successor and starts
// tasks in the part of an organisation's maximum that lost runs had: the successor's runs go on there.
func TestUnconfirmedOwnerFreesNoMaximum(t *testing.T) {
	for _, test := range []struct {
		name string
		lose func(r *rig, far *fakeWorker)
	}{
		{
			name: "lease has expired",
			lose: func(_ *rig, far *fakeWorker) { far.silent = true },
		},
		{
			name: "worker has ended",
			lose: func(r *rig, far *fakeWorker) {
				far.silent = true
				r.s.EndWorker("far", r.now)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, scheduler.Lease(entryLease, entryMaxLease))
			near, far := r.addWorker("near", cores(4)), r.addWorker("far", cores(2))
			near.entry.StartedAt, far.entry.StartedAt = r.now, r.now
			r.limitTo(cores(3))
			r.updateDirectory()
			near.silent = true
			r.renewLeases()
			r.s.AddJob(r.limitedJob("j", newPhase(2, cores(1))), nil, false, r.now)
			r.tick()
			r.c.Assert(far.activeRuns, qt.HasLen, 2)
			near.silent = false
			r.renewLeases()
			r.s.AddJob(r.limitedJob("k", newPhase(4, cores(1))), nil, false, r.now)
			r.tick()
			r.c.Assert(near.activeRuns, qt.HasLen, 1)
			r.write()
			r.s.ConfirmOwnership(r.now)
			r.advance(100 * time.Millisecond)
			r.renewLeases()
			test.lose(r, far)
			rounds := func(n int) {
				for range n {
					r.advance(100 * time.Millisecond)
					r.renewLeases()
					r.carryOut(r.s.Tick(r.now))
				}
			}
			rounds(50)
			r.c.Assert(near.activeRuns, qt.HasLen, 1)
			r.s.ConfirmOwnership(r.now)
			rounds(10)
			r.c.Assert(near.activeRuns, qt.HasLen, 3)
		})
	}
}

// TestUnconfirmedOwnerMovesNoLastingRun guards against an owner that takes a lasting task out of service
// on a worker that will leave, while the task would have to wait until the ownership is confirmed: a run
// of another step of the job was lost, or no lease may be granted.
func TestUnconfirmedOwnerMovesNoLastingRun(t *testing.T) {
	for _, test := range []struct {
		name string
		// assigned is set if the group lists the partition for the owner.
		assigned bool
		lose     bool
	}{
		{
			name:     "lost run",
			assigned: true,
			lose:     true,
		},
		{
			name: "no leases",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, scheduler.Lease(entryLease, entryMaxLease))
			first, second, spare := r.addWorker("first", cores(1)), r.addWorker("second", cores(1)), r.addWorker("spare", cores(3))
			spare.silent = true
			r.updateDirectory()
			phase := newPhase(1, cores(1))
			phase.Lasting = true
			job := r.job("j", phase, phase)
			job.Phases[1].DependsOn = nil
			r.s.AddJob(job, nil, false, r.now)
			rounds := func(n int, confirmed bool) {
				for range n {
					r.advance(100 * time.Millisecond)
					r.renewLeases()
					if confirmed {
						r.tick()
						r.write()
						continue
					}
					if test.assigned {
						r.s.ConfirmAssignment(r.now)
					}
					r.carryOut(r.s.Tick(r.now))
				}
			}
			rounds(5, true)
			r.c.Assert(first.activeRuns, qt.HasLen, 1)
			r.c.Assert(second.activeRuns, qt.HasLen, 1)
			spare.silent = false
			rounds(5, true)
			first.silent = test.lose
			rounds(58, false)
			r.startLeaving(second, time.Minute)
			rounds(5, false)
			r.c.Assert(second.activeRuns, qt.HasLen, 1)
			first.silent = false
			rounds(10, true)
			r.c.Assert(second.activeRuns, qt.HasLen, 0)
			r.c.Assert(r.activeRuns(), qt.Equals, 2)
		})
	}
}
