package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// expire returns a rig with a job that has ended and expired.
func expire(t *testing.T) (*rig, scheduler.Job) {
	r := newRig(t, scheduler.Retention(time.Second))
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(2, cores(1)))
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.endAll(0, scheduler.EndDone)
	r.renewLeases()
	r.write()
	r.c.Assert(r.s.ExpiredJobs(1, r.now), qt.HasLen, 0)
	r.advance(time.Minute)
	r.tick()
	return r, job
}

// TestExpiredJobIsKnownUntilItsDeletionIsRead guards against an ended job that runs again: it
// is read once more, as the store still has it.
func TestExpiredJobIsKnownUntilItsDeletionIsRead(t *testing.T) {
	r, job := expire(t)
	r.c.Assert(r.s.ExpiredJobs(1, r.now), qt.DeepEquals, []string{"j"})
	r.s.AddJob(job, nil, false, r.now)
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Completed)
	r.s.DeletionRequested([]string{"j"}, r.now)
	r.c.Assert(r.s.ExpiredJobs(1, r.now), qt.HasLen, 0)
	r.advance(10 * time.Second)
	r.c.Assert(r.s.ExpiredJobs(1, r.now), qt.DeepEquals, []string{"j"})
	r.c.Assert(r.write().Deletions, qt.HasLen, 0)

	r.s.JobDeleted("j", r.now)
	r.c.Assert(r.s.ExpiredJobs(1, r.now), qt.HasLen, 0)
	_, known := r.s.State("j")
	r.c.Assert(known, qt.IsFalse)
	r.c.Assert(r.write().Deletions, qt.DeepEquals, []string{"j"})
}

// TestLateDeletionOfAFormerOwner checks that a job whose state is to be kept is not forgotten
// when a former owner, whose clock was ahead, has deleted it.
func TestLateDeletionOfAFormerOwner(t *testing.T) {
	r := newRig(t)
	r.s.AddJob(r.job("j", newPhase(2, cores(1))), &scheduler.Progress{
		State: scheduler.Completed,
		Ended: r.now,
	}, true, r.now)
	r.s.JobDeleted("j", r.now)
	r.tick()
	r.c.Assert(r.state("j"), qt.Equals, scheduler.Completed)
	r.advance(time.Hour)
	r.tick()
	r.c.Assert(r.s.ExpiredJobs(1, r.now), qt.DeepEquals, []string{"j"})
}

// TestIdentityIsUsedAgain guards against an accepted job that is forgotten, as the progress of
// a former job with its identity is deleted, or is still stored.
func TestIdentityIsUsedAgain(t *testing.T) {
	r, job := expire(t)
	r.s.JobDeleted("j", r.now)
	r.s.AddJob(job, nil, false, r.now)
	write := r.write()
	r.c.Assert(write.Deletions, qt.HasLen, 0)
	r.c.Assert(write.Jobs, qt.HasLen, 1)
	r.c.Assert(write.Jobs[0].Progress.State, qt.Equals, scheduler.Pending)
}
