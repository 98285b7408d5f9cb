package scheduler_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// TestStepThatIsWiderThanItsShard guards against lasting tasks that never run, as they keep apart
// and the shard of their job has too few workers.
func TestStepThatIsWiderThanItsShard(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.rounds(40, true)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.s.GuestTasks(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.s.WaitingJobs("checks"), qt.Equals, 0)

	w.home.s.Cancel("wide", w.home.now)
	w.rounds(10, true)
	w.home.c.Assert(w.home.activeRuns()+w.delegate.activeRuns(), qt.Equals, 0)
	w.home.c.Assert(w.home.state("wide"), qt.Equals, scheduler.Cancelled)
}

// TestLateMessageStartsNothing guards against tasks that a delegate starts on a message of the
// home owner that was sent before the job was cancelled and arrives after that.
func TestLateMessageStartsNothing(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	var late scheduler.DelegationRequest
	for len(late.Jobs) == 0 {
		w.rounds(1, true)
		late, _ = w.request()
	}
	w.home.s.Cancel("wide", w.home.now)
	late.Mark = w.mark
	w.rounds(30, false)
	w.delegate.s.ServeHome(late, w.delegate.now)
	w.rounds(30, false)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 0)
}

// TestNothingStartsWithoutContact guards against tasks that a delegate starts again although the
// job may have been cancelled, since the home owner has not been heard of.
func TestNothingStartsWithoutContact(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.rounds(40, true)
	w.rounds(15, false)
	w.delegate.endAll(0, scheduler.EndFailed)
	w.rounds(10, false)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 0)
	w.rounds(5, true)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 2)
}

// TestTasksAreReturned guards against tasks that wait for good at a delegate that has lost its
// workers.
func TestTasksAreReturned(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.rounds(40, true)
	gone := w.delegate.workersByID["other0"]
	delete(w.delegate.workersByID, "other0")
	w.delegate.updateDirectory()
	for run := range gone.activeRuns {
		delete(gone.activeRuns, run)
	}
	w.delegate.s.EndWorker("other0", w.delegate.now)
	w.rounds(30, true)
	w.home.c.Assert(w.delegate.s.GuestTasks(), qt.Equals, 1)
	w.home.addWorker("home2", cores(4))
	w.home.updateDirectory()
	w.rounds(10, true)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 3)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 1)
}

// TestNoGrantsBesideOlderReleases guards against tasks that an owner of an older release runs
// too, as it does not know that they were left to another owner.
func TestNoGrantsBesideOlderReleases(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AllowGrants(false)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.rounds(60, true)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 0)
}

// TestNarrowJobsCostNoCalls guards against calls between owners, or larger records, for jobs that
// one shard can run.
func TestNarrowJobsCostNoCalls(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("narrow", 2), nil, false, w.home.now)
	// The step waits for room, which comes as other runs end.
	w.home.s.AddJob(w.home.job("waiting", newPhase(30, cores(2))), nil, false, w.home.now)
	for range 60 {
		w.rounds(1, false)
		_, found := w.request()
		w.home.c.Assert(found, qt.IsFalse)
	}
	w.home.c.Assert(w.home.stored["narrow"].Grants, qt.HasLen, 0)
}

// TestGuestIsForgotten guards against what is stored of other partitions' jobs staying for good, or
// going before the home owner's record of the job, which would have them run again.
func TestGuestIsForgotten(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.rounds(40, true)
	w.home.s.Cancel("wide", w.home.now)
	w.rounds(5, false)
	w.home.advance(10 * time.Minute)
	w.home.tick()
	w.home.c.Assert(w.home.s.ExpiredJobs(10, w.home.now), qt.HasLen, 0)
	w.delegate.advance(10 * time.Minute)
	w.rounds(3, true)
	w.home.c.Assert(w.home.s.ExpiredJobs(10, w.home.now), qt.DeepEquals, []string{"wide"})
	w.delegate.advance(10 * time.Minute)
	w.delegate.tick()
	w.delegate.write()
	w.home.c.Assert(w.delegate.storedGuests, qt.HasLen, 0)
}

// TestGrantedJobHasNotBegunBeforeAWorkerHas guards against a job that is shown as running although
// no worker of the delegate has begun a task.
func TestGrantedJobHasNotBegunBeforeAWorkerHas(t *testing.T) {
	w := newWideRig(t)
	for _, worker := range w.delegate.workersByID {
		worker.entry.Labels = []string{labelled}
	}
	w.delegate.updateDirectory()
	phase := newPhase(1, cores(1))
	phase.Requires = labelled
	w.home.s.AddJob(w.home.job("elsewhere", phase), nil, false, w.home.now)
	for _, worker := range w.delegate.workersByID {
		worker.refuses = true
	}
	w.rounds(30, true)
	w.home.c.Assert(w.delegate.s.GuestTasks(), qt.Equals, 1)
	w.home.c.Assert(w.home.state("elsewhere"), qt.Equals, scheduler.Pending)
	w.home.c.Assert(w.home.s.WaitingJobs("checks"), qt.Equals, 1)
	for _, worker := range w.delegate.workersByID {
		worker.refuses = false
	}
	w.rounds(3, true)
	w.home.c.Assert(w.home.state("elsewhere"), qt.Equals, scheduler.Running)
	w.home.c.Assert(w.home.s.WaitingJobs("checks"), qt.Equals, 0)
}

// TestUndecodableGuestDoesNotRun guards against tasks that run twice, as a delegate takes a job of
// which it cannot decode what it has stored for a new one.
func TestUndecodableGuestDoesNotRun(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.delegate.s.HoldGuest("wide")
	w.rounds(60, true)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 0)
	w.home.s.Cancel("wide", w.home.now)
	w.rounds(5, true)
	w.home.advance(10 * time.Minute)
	w.home.tick()
	w.home.c.Assert(w.home.s.ExpiredJobs(10, w.home.now), qt.DeepEquals, []string{"wide"})
}

// TestNoteNamesWhoHasTheTasks guards against a step that waits without a note that tells for
// what and for whom.
func TestNoteNamesWhoHasTheTasks(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 6), nil, false, w.home.now)
	var notes []string
	for range 120 {
		w.rounds(1, true)
		for _, note := range w.home.s.Notes() {
			notes = append(notes, note.Text)
		}
	}
	all := strings.Join(notes, "\n")
	for _, text := range []string{"2 of 6 tasks are left to the owner of partition 1", "lacked places for 2 tasks", "2 tasks belong to the owner of partition 1, stored true, acknowledged true"} {
		w.home.c.Check(all, qt.Contains, text)
	}
}

// TestGuestThatHasBegunIsNotAbandoned guards against tasks that run again, as a delegate that was
// cut off from the home owner for long has forgotten that they are done.
func TestGuestThatHasBegunIsNotAbandoned(t *testing.T) {
	w := newWideRig(t)
	for _, worker := range w.delegate.workersByID {
		worker.entry.Labels = []string{labelled}
	}
	w.delegate.updateDirectory()
	first, second := newPhase(2, cores(1)), newPhase(1, cores(1))
	first.Requires = labelled
	second.Requires = "nowhere"
	w.home.s.AddJob(w.home.job("elsewhere", first, second), nil, false, w.home.now)
	for w.delegate.activeRuns() < 2 {
		w.rounds(1, true)
	}
	w.delegate.endAll(0, scheduler.EndDone)
	w.rounds(5, false)
	for range 10 {
		w.delegate.advance(time.Minute)
		w.rounds(5, false)
	}
	w.rounds(20, true)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 0)
	w.home.c.Assert(totalStarts(w.delegate, "elsewhere"), qt.Equals, 2)
	w.home.c.Assert(w.home.state("elsewhere"), qt.Equals, scheduler.Running)
}

// TestFormerDelegateEndsNothing guards against a home owner that tells the delegate no more of a cancelled
// job, as a former owner of the delegate's partition has answered that it knows of no such job: the tasks
// of the later one went on.
func TestFormerDelegateEndsNothing(t *testing.T) {
	w := newWideRig(t)
	former := newRig(t)
	w.delegate.takeOver()
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.rounds(100, true)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 2)
	w.home.s.Cancel("wide", w.home.now)
	request, found := w.request()
	w.home.c.Assert(found, qt.IsTrue)
	w.home.s.DelegationAnswered(1, request, former.s.ServeHome(request, former.now), w.home.now)
	w.rounds(20, true)
	w.home.c.Assert(w.home.activeRuns()+w.delegate.activeRuns(), qt.Equals, 0)
}
