package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// newLimitedRig returns a rig with workers of 8 cores each and the organisation "a", which
// has the given maximum and an overage of a tenth.
func newLimitedRig(t *testing.T, workers int, maximum sizer.Size) *rig {
	r := newRig(t)
	r.limitTo(maximum)
	for i := range workers {
		r.addWorker(workerName(i), cores(8))
	}
	r.updateDirectory()
	r.renewLeases()
	return r
}

// limitTo sets the maximum of organisation "a". The owner is the only one.
func (r *rig) limitTo(maximum sizer.Size) {
	r.s.SetBasePartitions(0, []int{0})
	r.s.SetOrganisations([]scheduler.Organisation{
		{
			Name:    "a",
			Weight:  1,
			Maximum: maximum,
		},
	}, 0.1)
}

// limitedJob returns a job of organisation "a".
func (r *rig) limitedJob(id string, phases ...scheduler.Phase) scheduler.Job {
	job := r.job(id, phases...)
	job.Organisation = "a"
	return job
}

// demand returns the demand of organisation "a".
func (r *rig) demand() scheduler.Demand {
	demands := r.s.Demands(r.now)
	r.c.Assert(demands, qt.HasLen, 1)
	return demands[0]
}

// gangPhase returns a phase of a gang.
func gangPhase(n int, size sizer.Size) scheduler.Phase {
	phase := newPhase(n, size)
	phase.Gang = true
	return phase
}

// TestTasksBeyondTheMaximumStart guards against an organisation that has more running than
// its maximum although the workers have room, and against one that has less.
func TestTasksBeyondTheMaximumStart(t *testing.T) {
	for _, test := range []struct {
		name    string
		maximum sizer.Size
		phase   scheduler.Phase
		want    int
	}{
		{
			name:    "cores",
			maximum: sizer.New(5500, 0, 0),
			phase:   newPhase(10, cores(1)),
			want:    5,
		},
		{
			name:    "memory",
			maximum: sizer.New(0, 3*gibibyte, 0),
			phase:   newPhase(10, cores(1)),
			want:    3,
		},
		{
			name:  "no maximum",
			phase: newPhase(10, cores(1)),
			want:  10,
		},
		{
			// The cores of best-effort tasks do not count on a worker.
			name:    "best-effort tasks",
			maximum: sizer.New(4000, 0, 0),
			phase: func() scheduler.Phase {
				phase := newPhase(10, cores(1))
				phase.Fills = true
				return phase
			}(),
			want: 4,
		},
		{
			name:    "a task larger than the maximum",
			maximum: sizer.New(2000, 0, 0),
			phase:   newPhase(3, cores(4)),
			want:    1,
		},
		{
			name:    "a gang larger than the maximum by less than a task",
			maximum: sizer.New(5000, 0, 0),
			phase:   gangPhase(3, cores(2)),
			want:    3,
		},
		{
			name:    "a gang larger than the maximum by more than a task",
			maximum: sizer.New(5000, 0, 0),
			phase:   gangPhase(4, cores(2)),
			want:    0,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newLimitedRig(t, 2, test.maximum)
			r.s.AddJob(r.limitedJob("j", test.phase), nil, false, r.now)
			r.rounds(5)
			r.c.Assert(r.activeRuns(), qt.Equals, test.want)
			r.c.Assert(r.s.UsedBy("a"), qt.Equals, test.phase.Size.Times(int64(test.want)))
		})
	}
}

// TestLoneTaskLargerThanTheMaximum guards against a task larger than the maximum that
// starts while something else of its organisation runs.
func TestLoneTaskLargerThanTheMaximum(t *testing.T) {
	r := newLimitedRig(t, 2, cores(2))
	r.s.AddJob(r.limitedJob("small", newPhase(1, cores(1))), nil, false, r.now)
	r.rounds(2)
	r.s.AddJob(r.limitedJob("large", newPhase(1, cores(4))), nil, false, r.now)
	r.rounds(5)
	r.c.Assert(r.runsOf("large"), qt.Equals, 0)
	r.c.Assert(r.demand().Wanted, qt.Equals, cores(4))
	r.endAll(0, scheduler.EndDone)
	r.rounds(2)
	r.c.Assert(r.runsOf("large"), qt.Equals, 1)
}

// TestRunWithoutAnswerCountsUntilItsEndIsCertain guards against tasks that start beside a
// run whose start had no answer and which may therefore be at work.
func TestRunWithoutAnswerCountsUntilItsEndIsCertain(t *testing.T) {
	r := newLimitedRig(t, 2, cores(2))
	r.s.AddJob(r.limitedJob("first", newPhase(2, cores(1))), nil, false, r.now)
	for _, w := range r.workersByID {
		w.silent = true
	}
	r.tick()
	r.c.Assert(r.s.UsedBy("a"), qt.Equals, cores(2))
	uncertain := make(map[string]bool)
	for _, effect := range r.effects {
		if start, is := effect.(scheduler.StartTask); is {
			uncertain[start.Worker.ID] = true
		}
	}
	for id, w := range r.workersByID {
		w.silent = uncertain[id]
	}
	r.s.AddJob(r.limitedJob("second", newPhase(2, cores(1))), nil, false, r.now)
	// The worker with the uncertain runs stays silent, until its lease has lapsed.
	for range 45 {
		r.round()
		r.c.Assert(r.activeRuns(), qt.Equals, 0)
		r.c.Assert(r.s.UsedBy("a"), qt.Equals, cores(2))
	}
	for range 20 {
		r.s.ConfirmOwnership(r.now)
		r.round()
	}
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
}

// TestStoppingRunCounts guards against tasks that start beside runs which were told to stop
// and have not ended.
func TestStoppingRunCounts(t *testing.T) {
	r := newLimitedRig(t, 1, cores(2))
	r.s.AddJob(r.limitedJob("first", newPhase(2, cores(1))), nil, false, r.now)
	r.rounds(2)
	r.s.AddJob(r.limitedJob("second", newPhase(2, cores(1))), nil, false, r.now)
	r.s.Cancel("first", r.now)
	// The stops are on their way.
	for _, effect := range r.s.Tick(r.now) {
		_, starts := effect.(scheduler.StartTask)
		r.c.Assert(starts, qt.IsFalse)
	}
	r.c.Assert(r.s.UsedBy("a"), qt.Equals, cores(2))
	r.endAll(0, scheduler.EndStopped)
	r.rounds(2)
	r.c.Assert(r.runsOf("second"), qt.Equals, 2)
}

// TestLoweredMaximum guards against a lowered maximum that stops runs or lets more start,
// and against one that is raised or removed without effect.
func TestLoweredMaximum(t *testing.T) {
	r := newLimitedRig(t, 2, cores(6))
	r.s.AddJob(r.limitedJob("j", newPhase(16, cores(1))), nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.activeRuns(), qt.Equals, 6)
	r.limitTo(cores(2))
	for range 10 {
		r.round()
		r.c.Assert(r.effects, qt.HasLen, 0)
	}
	r.c.Assert(r.activeRuns(), qt.Equals, 6)
	r.c.Assert(r.demand().Used, qt.Equals, cores(6))
	r.c.Assert(r.demand().Wanted, qt.Equals, cores(6))
	// As runs end, none follow them until fewer than two are left.
	for ended := 1; ended <= 4; ended++ {
		r.endOne()
		r.rounds(2)
		r.c.Assert(r.activeRuns(), qt.Equals, 6-ended)
	}
	r.endOne()
	r.rounds(2)
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.limitTo(cores(3))
	r.rounds(2)
	r.c.Assert(r.activeRuns(), qt.Equals, 3)
	r.s.SetOrganisations(nil, 0.1)
	r.rounds(2)
	r.c.Assert(r.activeRuns(), qt.Equals, 11)
}

// endOne ends one run as done.
func (r *rig) endOne() {
	for _, w := range r.workersByID {
		for run := range w.activeRuns {
			w.end(run, scheduler.EndDone)
			return
		}
	}
}

// TestPlannedStartAfterTheMaximumWasLowered guards against a start that is sent although
// the maximum was lowered while the start waited for the store.
func TestPlannedStartAfterTheMaximumWasLowered(t *testing.T) {
	r := newLimitedRig(t, 1, cores(4))
	r.s.AddJob(r.limitedJob("j", newPhase(4, cores(1))), nil, false, r.now)
	r.carryOut(r.s.Tick(r.now))
	r.c.Assert(r.s.PlannedRuns(), qt.Equals, 4)
	r.limitTo(cores(2))
	r.write()
	r.rounds(2)
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.c.Assert(r.s.UsedBy("a"), qt.Equals, cores(2))
}

// TestBlockedStepPreemptsNothing guards against a step that waits for the maximum and yet
// stops the runs of others, reserves workers or calls the adviser.
func TestBlockedStepPreemptsNothing(t *testing.T) {
	lasting := newPhase(2, cores(8))
	lasting.Lasting = true
	for _, test := range []struct {
		name    string
		phase   scheduler.Phase
		maximum sizer.Size
		// wantPreempted is the number of runs of 2 cores that may be preempted.
		wantPreempted int
	}{
		{
			name:    "gang",
			phase:   gangPhase(2, cores(8)),
			maximum: cores(10),
		},
		{
			name:    "lasting",
			phase:   lasting,
			maximum: cores(4),
		},
		{
			name:    "small tasks",
			phase:   newPhase(8, cores(2)),
			maximum: cores(1),
		},
		{
			name:          "lasting, one task allowed",
			phase:         lasting,
			maximum:       cores(9),
			wantPreempted: 4,
		},
		{
			name:          "small tasks, two allowed",
			phase:         newPhase(8, cores(2)),
			maximum:       cores(5),
			wantPreempted: 2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newFullService(t, true, 2)
			r.limitTo(test.maximum)
			// The organisation has something running, so that no task may run alone.
			r.addWorker("small", cores(1)).runTime = time.Hour
			r.updateDirectory()
			r.s.AddJob(r.limitedJob("running", newPhase(1, sizer.New(100, 1, 0))), nil, false, r.now)
			r.rounds(2)
			r.c.Assert(r.runsOf("running"), qt.Equals, 1)
			r.s.AddJob(r.limitedJob("blocked", test.phase), nil, false, r.now)
			r.rounds(5)
			preempted := r.notesWith("run preempted")
			r.c.Assert(preempted, qt.HasLen, test.wantPreempted)
			r.c.Assert(r.runsOf("batch"), qt.Equals, 8-test.wantPreempted)
		})
	}
}

// TestBlockedStepLeavesWorkersToOthers guards against a step that waits for the maximum and
// keeps the workers, or the adviser, from steps that rank after it.
func TestBlockedStepLeavesWorkersToOthers(t *testing.T) {
	lasting := newPhase(4, cores(8))
	lasting.Lasting = true
	for _, phase := range []scheduler.Phase{gangPhase(2, cores(8)), lasting, newPhase(4, cores(4))} {
		for _, advised := range []bool{false, true} {
			t.Run(fmt.Sprintf("gang %t, lasting %t, advised %t", phase.Gang, phase.Lasting, advised), func(t *testing.T) {
				r := newLimitedRig(t, 2, cores(2))
				r.s.SetAdviceLimits(1, 1)
				r.s.AddJob(r.limitedJob("running", newPhase(1, cores(1))), nil, false, r.now)
				r.rounds(2)
				blocked := r.limitedJob("blocked", phase)
				other := r.job("other", newPhase(15, cores(1)))
				other.Queue.Priority = 5
				if advised {
					blocked.Queue = advisedQueue
					other.Queue = advisedQueue
					other.Queue.Priority = 5
				}
				r.s.AddJob(blocked, nil, false, r.now)
				r.s.AddJob(other, nil, false, r.now)
				for range 4 {
					r.round()
					for _, effect := range r.effects {
						if ask, is := effect.(scheduler.AskAdvice); is {
							r.c.Assert(ask.Step.Job, qt.Equals, "other")
						}
					}
					if advised {
						r.answerAdvice(approveAll)
					}
				}
				r.c.Assert(r.runsOf("other"), qt.Equals, 15)
				r.c.Assert(r.runsOf("blocked"), qt.Equals, 0)
			})
		}
	}
}

// TestGangWiderThanWhatIsLeft guards against a gang that starts in part or holds workers
// while the rest of the maximum does not cover it, and against one that never starts.
func TestGangWiderThanWhatIsLeft(t *testing.T) {
	r := newLimitedRig(t, 2, cores(6))
	r.s.AddJob(r.limitedJob("small", newPhase(3, cores(1))), nil, false, r.now)
	r.rounds(2)
	r.s.AddJob(r.limitedJob("gang", gangPhase(4, cores(1))), nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.runsOf("gang"), qt.Equals, 0)
	r.c.Assert(r.s.UsedBy("a"), qt.Equals, cores(3))
	r.c.Assert(r.demand().Wanted, qt.Equals, cores(6))
	r.c.Assert(r.demand().Waiting, qt.IsTrue)
	// All workers are left to others.
	r.s.AddJob(r.job("other", newPhase(13, cores(1))), nil, false, r.now)
	r.rounds(2)
	r.c.Assert(r.runsOf("other"), qt.Equals, 13)
	r.endAll(0, scheduler.EndDone)
	r.rounds(2)
	r.c.Assert(r.runsOf("gang"), qt.Equals, 4)
}

// TestJobWithNothingRunningUsesTheOverage guards against a job that waits for the maximum
// while nothing of it runs and the overage has room, and against one that uses more than
// 0.8 of the overage.
func TestJobWithNothingRunningUsesTheOverage(t *testing.T) {
	r := newLimitedRig(t, 4, sizer.New(10_000, 0, 0))
	r.s.AddJob(r.limitedJob("many", newPhase(20, sizer.New(500, 1, 0))), nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.runsOf("many"), qt.Equals, 20)
	for i := range 3 {
		r.s.AddJob(r.limitedJob(fmt.Sprintf("late%d", i), newPhase(5, sizer.New(400, 1, 0))), nil, false, r.now)
	}
	r.rounds(3)
	// 10.8 cores allow one task each of two jobs.
	r.c.Assert(r.activeRuns(), qt.Equals, 22)
	r.c.Assert(r.s.UsedBy("a").MilliCores(), qt.Equals, int64(10_800))
}

// TestJobStartsWhileUnderHalfOfTheMaximumRuns guards against a job that waits for the
// maximum although its organisation has under half of it running.
func TestJobStartsWhileUnderHalfOfTheMaximumRuns(t *testing.T) {
	for _, phase := range []scheduler.Phase{newPhase(3, cores(2)), gangPhase(3, cores(2))} {
		r := newLimitedRig(t, 2, cores(10))
		r.s.AddJob(r.limitedJob("running", newPhase(4, cores(1))), nil, false, r.now)
		r.rounds(2)
		r.s.AddJob(r.limitedJob("next", phase), nil, false, r.now)
		r.rounds(1)
		r.c.Assert(r.runsOf("next"), qt.Equals, 3)
	}
}

// TestCopiesKeepTheMaximum guards against copies of slow runs beyond the maximum.
func TestCopiesKeepTheMaximum(t *testing.T) {
	for _, test := range []struct {
		maximum int64
		want    int
	}{
		{
			maximum: 3,
			want:    3,
		},
		{
			maximum: 4,
			want:    4,
		},
		{
			maximum: 9,
			want:    6,
		},
	} {
		r := newLimitedRig(t, 4, cores(test.maximum))
		for _, w := range r.workersByID {
			w.runTime = time.Hour
		}
		phase := newPhase(3, cores(1))
		phase.Copies = true
		r.s.AddJob(r.limitedJob("j", phase), nil, false, r.now)
		r.rounds(9)
		r.c.Assert(r.activeRuns(), qt.Equals, test.want, qt.Commentf("maximum of %d cores", test.maximum))
	}
}

// TestMovesKeepTheMaximum guards against a lasting task that is stopped to be moved off a
// leaving worker and then may not start elsewhere, as the maximum was lowered, and against
// one that is not moved although it may.
func TestMovesKeepTheMaximum(t *testing.T) {
	for _, test := range []struct {
		maximum int64
		want    int
	}{
		{
			maximum: 1,
			want:    2,
		},
		{
			maximum: 2,
			want:    0,
		},
	} {
		r := newLimitedRig(t, 1, cores(2))
		leaving := r.workersByID[workerName(0)]
		phase := newPhase(2, cores(1))
		phase.Lasting = true
		r.s.AddJob(r.limitedJob("j", phase), nil, false, r.now)
		r.roundAtPercent(100)
		r.roundAtPercent(100)
		r.c.Assert(leaving.activeRuns, qt.HasLen, 2)
		r.addWorker("next", cores(8))
		r.updateDirectory()
		r.limitTo(cores(test.maximum))
		r.startLeaving(leaving, 4*time.Second)
		for range 20 {
			r.roundAtPercent(100)
			r.c.Assert(r.activeRuns() <= 2, qt.IsTrue)
		}
		r.c.Assert(leaving.activeRuns, qt.HasLen, test.want, qt.Commentf("maximum of %d cores", test.maximum))
		r.c.Assert(r.activeRuns(), qt.Equals, 2)
	}
}

// TestSilentWorkerCountsAfterATakeover guards against a new owner that starts tasks beside
// those which a former owner may have running on a worker that does not report.
func TestSilentWorkerCountsAfterATakeover(t *testing.T) {
	r := newLimitedRig(t, 3, cores(10))
	old := r.limitedJob("old", newPhase(10, cores(1)))
	r.s.AddJob(old, nil, false, r.now)
	r.tick()
	r.write()
	r.c.Assert(r.activeRuns(), qt.Equals, 10)
	var silent *fakeWorker
	running := 0
	for _, w := range r.workersByID {
		if n := len(w.activeRuns); n > 0 && (silent == nil || n < running) {
			silent, running = w, n
		}
	}
	silent.silent = true
	r.takeOver(old)
	r.limitTo(cores(10))
	next := r.limitedJob("next", newPhase(10, cores(1)))
	r.s.AddJob(next, nil, false, r.now)
	// Before any report, each worker may be full.
	r.c.Assert(r.s.UsedBy("a").MilliCores() >= 10_000, qt.IsTrue)
	for range 55 {
		r.s.ConfirmOwnership(r.now)
		r.round()
		r.c.Assert(r.activeRuns() <= 10, qt.IsTrue, qt.Commentf("%d runs", r.activeRuns()))
		r.c.Assert(r.demand().Used, qt.Equals, r.s.UsedBy("a"))
	}
	// The leases end on the silent worker.
	for run := range silent.activeRuns {
		silent.end(run, scheduler.EndLapsed)
	}
	for range 20 {
		r.s.ConfirmOwnership(r.now)
		r.round()
	}
	r.c.Assert(r.activeRuns(), qt.Equals, 10)
	r.c.Assert(r.s.UsedBy("a"), qt.Equals, cores(10))
}

// TestRunReportedBeforeItsJobIsKnown guards against a run that is never counted, as its
// worker reports it before the new owner has read the job, and which then has to be stopped.
func TestRunReportedBeforeItsJobIsKnown(t *testing.T) {
	r := newLimitedRig(t, 1, cores(4))
	old := r.limitedJob("old", newPhase(3, cores(1)))
	r.s.AddJob(old, nil, false, r.now)
	r.tick()
	r.write()
	r.takeOver()
	r.limitTo(cores(4))
	r.renewLeases()
	r.c.Assert(r.s.UsedBy("a"), qt.Equals, sizer.Size{})
	r.restoreJob(old)
	r.c.Assert(r.s.UsedBy("a"), qt.Equals, cores(3))
	r.endAll(0, scheduler.EndStopped)
	r.renewLeases()
	r.c.Assert(r.s.UsedBy("a"), qt.Equals, sizer.Size{})
}

// TestDemands guards against an owner that does not ask for what its steps could use, or
// asks for more than that.
func TestDemands(t *testing.T) {
	r := newLimitedRig(t, 1, cores(6))
	r.c.Assert(r.demand(), qt.Equals, scheduler.Demand{
		Organisation: "a",
	})
	// Nothing can use a worker of another kind.
	elsewhere := newPhase(2, cores(1))
	elsewhere.Requires = "nowhere"
	r.s.AddJob(r.limitedJob("elsewhere", elsewhere), nil, false, r.now)
	r.rounds(1)
	r.c.Assert(r.demand().Waiting, qt.IsFalse)
	r.s.AddJob(r.limitedJob("j", newPhase(7, cores(1))), nil, false, r.now)
	late := r.limitedJob("late", newPhase(7, cores(1)))
	late.Queue.Priority = 3
	r.s.AddJob(late, nil, false, r.now)
	r.rounds(1)
	demand := r.demand()
	r.c.Assert(demand.Used, qt.Equals, cores(6))
	r.c.Assert(demand.Wanted, qt.Equals, cores(6))
	r.c.Assert(demand.Waiting, qt.IsTrue)
	r.c.Assert(demand.Urgency.Priority, qt.Equals, 0)
	// A higher maximum shows that one task has room and the worker is then full.
	r.limitTo(cores(20))
	r.rounds(1)
	r.c.Assert(r.demand().Used, qt.Equals, cores(8))
	r.rounds(10)
	r.c.Assert(r.demand().Wanted, qt.Equals, cores(8))
}

// TestNotesOnTheMaximum guards against a log that does not say that a step waits for the
// maximum, and against one that a flood of such steps fills.
func TestNotesOnTheMaximum(t *testing.T) {
	r := newLimitedRig(t, 1, cores(2))
	for i := range 30 {
		r.s.AddJob(r.limitedJob(fmt.Sprintf("j%02d", i), newPhase(2, cores(1))), nil, false, r.now)
	}
	r.rounds(55)
	notes := r.notesWith("step waits for the maximum of organisation a")
	r.c.Assert(notes, qt.HasLen, 5)
	r.c.Assert(notes[0], qt.Contains, "used 2 cores")
	r.c.Assert(notes[0], qt.Contains, "maximum 2 cores")
	r.c.Assert(r.s.OrganisationLoads()[0].Blocked, qt.Equals, 58)
}

// TestUrgencyOrder guards against an exchange that ranks steps otherwise than the
// scheduler does.
func TestUrgencyOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	ordered := []scheduler.Urgency{
		{
			Rank:        1,
			Priority:    2,
			LatestStart: now,
		},
		{
			Rank:        1,
			Priority:    2,
			LatestStart: now.Add(1),
		},
		{
			Rank:        1,
			Priority:    3,
			LatestStart: now,
		},
		{
			Rank:        2,
			LatestStart: now,
		},
	}
	for i, a := range ordered {
		for j, b := range ordered {
			c.Check(a.Compare(b) < 0, qt.Equals, i < j)
			c.Check(a.Compare(b) == 0, qt.Equals, i == j)
		}
	}
}

// TestBlockedStepIsApprovedAhead guards against capacity of the maximum that is idle during
// a call to the adviser each time a task ends, and against blocked steps that take up all
// calls.
func TestBlockedStepIsApprovedAhead(t *testing.T) {
	r := newLimitedRig(t, 2, cores(4))
	r.s.SetAdviceLimits(4, 4)
	r.s.AddJob(r.limitedJob("running", newPhase(4, cores(1))), nil, false, r.now)
	r.rounds(2)
	r.c.Assert(r.activeRuns(), qt.Equals, 4)
	for i := range 10 {
		job := r.limitedJob(fmt.Sprintf("j%d", i), newPhase(2, cores(1)))
		job.Queue = advisedQueue
		r.s.AddJob(job, nil, false, r.now)
	}
	asked := make(map[string]bool)
	for range 5 {
		r.round()
		calls := 0
		for _, effect := range r.effects {
			if ask, is := effect.(scheduler.AskAdvice); is {
				asked[ask.Step.Job] = true
				calls++
			}
		}
		r.c.Assert(calls <= 2, qt.IsTrue)
		r.answerAdvice(approveAll)
	}
	r.endOne()
	r.renewLeases()
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 4, qt.Commentf("the next task waits for advice"))
	r.c.Assert(len(asked) <= 2, qt.IsTrue, qt.Commentf("asked for %v", asked))
}

// TestBlockedStepsLeaveCallsToOthers guards against steps that wait for the maximum and take
// up the calls to the adviser that other steps need.
func TestBlockedStepsLeaveCallsToOthers(t *testing.T) {
	for _, test := range []struct {
		name  string
		cores int64
		want  int
	}{
		{
			// The overage has room for three jobs of which nothing runs.
			name:  "three allowed",
			cores: 1,
			want:  3,
		},
		{
			name:  "none allowed, half of the calls are spare",
			cores: 4,
			want:  2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newLimitedRig(t, 10, cores(40))
			r.s.SetAdviceLimits(4, 4)
			r.s.AddJob(r.limitedJob("running", newPhase(40, cores(1))), nil, false, r.now)
			r.rounds(2)
			r.c.Assert(r.activeRuns(), qt.Equals, 40)
			for i := range 10 {
				job := r.limitedJob(fmt.Sprintf("j%d", i), newPhase(1, cores(test.cores)))
				job.Queue = advisedQueue
				r.s.AddJob(job, nil, false, r.now)
			}
			// The calls are not answered.
			r.rounds(3)
			load := r.s.AdviceLoad(r.now)
			r.c.Assert(load.InFlight[true]+load.InFlight[false], qt.Equals, test.want)
			r.c.Assert(load.Denied, qt.Equals, 0)
		})
	}
}

// TestRunsOfACancelledJobCountAfterATakeover guards against a new owner that does not know
// of runs which were told to stop, on a worker that does not report: their job has ended, or
// is cancelled again by the new owner.
func TestRunsOfACancelledJobCountAfterATakeover(t *testing.T) {
	for _, stored := range []bool{true, false} {
		r := newLimitedRig(t, 2, cores(4))
		old := r.limitedJob("old", newPhase(4, cores(1)))
		r.s.AddJob(old, nil, false, r.now)
		r.tick()
		r.write()
		r.c.Assert(r.activeRuns(), qt.Equals, 4)
		for _, w := range r.workersByID {
			w.silent = len(w.activeRuns) > 0
		}
		if stored {
			r.s.Cancel("old", r.now)
			r.tick()
			r.write()
			r.c.Assert(r.stored["old"].State, qt.Equals, scheduler.Cancelled)
		}
		for range 2 {
			r.takeOver(old)
			r.limitTo(cores(4))
			r.s.Cancel("old", r.now)
			r.s.AddJob(r.limitedJob("next", newPhase(4, cores(1))), nil, false, r.now)
			r.rounds(3)
			r.write()
			r.c.Assert(r.s.UsedBy("a"), qt.Equals, cores(4), qt.Commentf("stored by the former owner %t", stored))
			r.c.Assert(r.runsOf("next"), qt.Equals, 0)
		}
	}
}

// TestJobsAwaitTheOrganisations guards against a new owner that starts tasks of
// organisations without any limit, as it has not read the configuration yet.
func TestJobsAwaitTheOrganisations(t *testing.T) {
	r := newRig(t)
	r.addWorker(workerName(0), cores(8))
	r.updateDirectory()
	r.renewLeases()
	r.s.AwaitOrganisations()
	r.s.AddJob(r.limitedJob("limited", newPhase(2, cores(1))), nil, false, r.now)
	r.s.AddJob(r.job("free", newPhase(2, cores(1))), nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.runsOf("limited"), qt.Equals, 0)
	r.c.Assert(r.runsOf("free"), qt.Equals, 2)
	r.limitTo(cores(1))
	r.rounds(3)
	r.c.Assert(r.runsOf("limited"), qt.Equals, 1)
}
