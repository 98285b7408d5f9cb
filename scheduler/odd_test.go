package scheduler_test

import (
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// TestWorkerAtAnotherAddressIsTakenForEnded guards against runs that are taken for ended, and
// started again, when a former or odd entry names another worker's address for a moment, and
// that worker answers that it is another one (TWICE).
func TestWorkerAtAnotherAddressIsTakenForEnded(t *testing.T) {
	for _, test := range []struct {
		name string
		odd  func(*scheduler.WorkerEntry, time.Time)
	}{
		{
			name: "another address",
			odd:  func(*scheduler.WorkerEntry, time.Time) {},
		},
		{
			name: "and another start",
			odd: func(entry *scheduler.WorkerEntry, now time.Time) {
				entry.StartedAt = now.Add(-time.Hour)
			},
		},
		{
			name: "and no start",
			odd: func(entry *scheduler.WorkerEntry, _ time.Time) {
				entry.StartedAt = time.Time{}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRestartRig(t, "v", "w")
			r.s.AddJob(r.job("j", newPhase(16, cores(1))), nil, false, r.now)
			r.round()
			r.c.Assert(r.activeRuns(), qt.Equals, 16)
			r.addWorker("x", cores(16)).entry.StartedAt = r.now
			w := r.workersByID["w"]
			valid := w.entry
			w.entry.Ref.Address = "v:1"
			test.odd(&w.entry, r.now)
			r.updateDirectory()
			order, known := r.s.LeaseRenewal("w", r.now)
			r.c.Assert(known, qt.IsTrue)
			if order.Worker.Address != valid.Ref.Address {
				r.s.EndWorker("w", r.now)
			}
			r.renewLeasesOf(func(id string) bool { return id != "w" })
			r.tick()
			w.entry = valid
			r.updateDirectory()
			for range 5 {
				r.round()
			}
			r.c.Assert(r.workersByID["x"].startCounts, qt.HasLen, 0)
			r.c.Assert(r.activeRuns(), qt.Equals, 16)
		})
	}
}

// TestFormerWorkerAtAnotherAddressIsTakenForEnded guards against the same after a takeover: the
// tasks that may run on a worker of the former owner would start elsewhere at once.
func TestFormerWorkerAtAnotherAddressIsTakenForEnded(t *testing.T) {
	r := newRestartRig(t, "w")
	valid := r.workersByID["w"].entry
	odd := valid
	odd.Ref.Address = "v:1"
	r.s = scheduler.New(2, r.now)
	r.s.AddFormerWorkers([]scheduler.WorkerEntry{valid})
	r.s.SetWorkers([]scheduler.WorkerEntry{odd})
	order, known := r.s.LeaseRenewal("w", r.now)
	r.c.Assert(known, qt.IsTrue)
	r.c.Assert(order.Worker.Address, qt.Equals, valid.Ref.Address)
	// Once no lease can be left, the directory decides.
	r.s.Tick(r.now)
	r.now = r.now.Add(10 * time.Second)
	r.s.ConfirmOwnership(r.now)
	r.s.Tick(r.now)
	r.s.SetWorkers([]scheduler.WorkerEntry{odd})
	order, known = r.s.LeaseRenewal("w", r.now)
	r.c.Assert(known, qt.IsTrue)
	r.c.Assert(order.Worker.Address, qt.Equals, "v:1")
}

// TestFormerWorkerIsNotCalledWhereAnOlderIncarnationWas guards against a task that runs twice: a next owner
// whose directory lags behind the stored list called a worker where its former incarnation had been. The
// worker that is there now answers that it is another one, which counted as the end of the runs.
func TestFormerWorkerIsNotCalledWhereAnOlderIncarnationWas(t *testing.T) {
	r := newRestartRig(t, "w")
	stale := r.workersByID["w"].entry
	stored := stale
	stored.StartedAt = stale.StartedAt.Add(time.Minute)
	stored.Ref.Address = "w:2"
	r.s = scheduler.New(2, r.now)
	r.s.AddFormerWorkers([]scheduler.WorkerEntry{stored})
	for _, test := range []struct {
		listed scheduler.WorkerEntry
		want   string
	}{
		{
			listed: stale,
			want:   "w:2",
		},
		{
			listed: stored,
			want:   "w:2",
		},
	} {
		r.s.SetWorkers([]scheduler.WorkerEntry{test.listed})
		order, known := r.s.LeaseRenewal("w", r.now)
		r.c.Assert(known, qt.IsTrue)
		r.c.Check(order.Worker.Address, qt.Equals, test.want)
	}
	next := stored
	next.StartedAt = stored.StartedAt.Add(time.Minute)
	next.Ref.Address = "w:3"
	r.s.SetWorkers([]scheduler.WorkerEntry{next})
	order, known := r.s.LeaseRenewal("w", r.now)
	r.c.Assert(known, qt.IsTrue)
	r.c.Check(order.Worker.Address, qt.Equals, "w:3")
}

// TestWorkerThatHasMovedIsReached guards against a worker that keeps the address of its former
// incarnation, at which nobody answers.
func TestWorkerThatHasMovedIsReached(t *testing.T) {
	r := newRestartRig(t, "w")
	r.s.AddJob(r.job("j", newPhase(4, cores(1))), nil, false, r.now)
	r.round()
	w := r.workersByID["w"]
	w.silent = true
	r.round()
	w.silent = false
	w.restart()
	w.entry.Ref.Address = "w:2"
	r.updateDirectory()
	order, known := r.s.LeaseRenewal("w", r.now)
	r.c.Assert(known, qt.IsTrue)
	r.c.Assert(order.Worker.Address, qt.Equals, "w:2")
}

// TestJobOfMoreTasksThanMemory guards against a job of one request that ends the owner of its
// partition, and each next owner, as its tasks do not fit into memory.
func TestJobOfMoreTasksThanMemory(t *testing.T) {
	for _, test := range []struct {
		name                       string
		phases, tasks, repetitions int
		valid                      bool
	}{
		{
			name:   "many phases",
			phases: 26,
			tasks:  10_000,
		},
		{
			name:        "many occurrences",
			phases:      1,
			tasks:       100,
			repetitions: 10_000,
		},
		{
			name:        "all that is allowed",
			phases:      25,
			tasks:       1,
			repetitions: 10_000,
			valid:       true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			job := scheduler.Job{
				ID:          "j",
				Phases:      slices.Repeat([]scheduler.Phase{newPhase(test.tasks, cores(1))}, test.phases),
				Repetitions: test.repetitions,
				Interval:    time.Second,
			}
			err := job.Validate()
			if test.valid {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorIs, scheduler.ErrBadJob)
			qt.Assert(t, err, qt.ErrorMatches, `.*tasks.*`)
		})
	}
}

// TestTimesOfAJobOverflow guards against times of a job that wrap around when they are added, so
// that it counts as too late or as due at once.
func TestTimesOfAJobOverflow(t *testing.T) {
	const century = 100 * 365 * 24 * time.Hour
	phase := newPhase(1, cores(1))
	for name, change := range map[string]func(*scheduler.Job){
		"a long estimate":       func(j *scheduler.Job) { j.Phases[0].Estimate = century },
		"a negative estimate":   func(j *scheduler.Job) { j.Phases[0].Estimate = -1 },
		"a long interval":       func(j *scheduler.Job) { j.Repetitions, j.Interval = 1000, century },
		"a negative interval":   func(j *scheduler.Job) { j.Repetitions, j.Interval = 2, -1 },
		"a negative per worker": func(j *scheduler.Job) { j.Phases[0].PerWorker = -1 },
		"a negative away":       func(j *scheduler.Job) { j.Phases[0].MaxAway = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			job := scheduler.Job{
				ID:     "j",
				Phases: []scheduler.Phase{phase},
			}
			qt.Assert(t, job.Validate(), qt.IsNil)
			change(&job)
			qt.Assert(t, job.Validate(), qt.ErrorIs, scheduler.ErrBadJob)
		})
	}
	// A queue with such times must not harm its jobs either.
	r := newRig(t)
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", slices.Repeat([]scheduler.Phase{phase}, 3)...)
	job.Queue.SlackFactor = math.MaxFloat64
	job.Queue.Target = century
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
	advice := scheduler.Advice{
		Decision:  century,
		PerWorker: century,
	}
	const year = 365 * 24 * time.Hour
	r.c.Assert(advice.Cost(100) > year && advice.Cost(100) <= century, qt.IsTrue, qt.Commentf("%v", advice.Cost(100)))
	r.c.Assert(advice.Cost(0) > year, qt.IsTrue)
}

// TestApprovalOfAWorkerThatWasNotAsked guards against approvals that fill the progress of a job,
// until its record is larger than the store takes.
func TestApprovalOfAWorkerThatWasNotAsked(t *testing.T) {
	r := newRig(t)
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	phase := newPhase(1, cores(1))
	phase.Lasting = true
	job := r.job("j", phase)
	job.Queue.Advice = &scheduler.Advice{
		Decision: 10 * time.Millisecond,
		Validity: time.Hour,
	}
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	var asked scheduler.AskAdvice
	for _, effect := range r.effects {
		if call, found := effect.(scheduler.AskAdvice); found {
			asked = call
		}
	}
	r.c.Assert(asked.Workers, qt.DeepEquals, []string{"w"})
	approved := []scheduler.Approval{
		{
			WorkerID: "w",
			Ticket:   "t",
		},
	}
	for range 1000 {
		approved = append(approved, scheduler.Approval{
			WorkerID: "x" + string(rune('a'+len(approved)%26)) + time.Duration(len(approved)).String(),
			Ticket:   "t",
		})
	}
	r.s.AdviceAnswered(asked.Step, asked.Workers, approved, time.Hour, r.now)
	for range 3 {
		r.round()
		r.write()
	}
	r.c.Assert(r.activeRuns(), qt.Equals, 1)
	r.c.Assert(r.stored["j"].Steps[0].Approved, qt.DeepEquals, []string{"w"})
}

// TestSizesOfOddWorkersOverflow guards against capacities of odd workers that add up to less than
// nothing.
func TestSizesOfOddWorkersOverflow(t *testing.T) {
	largest := sizer.New(1e9, 1e8<<20, 1e6)
	total := largest.Times(10_000)
	qt.Assert(t, total.IsNegative(), qt.IsFalse)
}

// TestReportOfManyUnknownRunsStopsAllAtOnce guards against a worker that reports any number of runs
// of unknown tasks: each was stopped at once by a call of its own, which uses up the connections and
// the memory of its owner.
func TestReportOfManyUnknownRunsStopsAllAtOnce(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(4))
	w := r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	const runs = 3000
	for i := range runs {
		ref := scheduler.RunRef{
			Task: scheduler.TaskRef{
				Step: scheduler.StepRef{
					Job: []string{"odd", "j"}[i%2],
				},
				Index: 1 + i,
			},
			Attempt: 1,
		}
		w.activeRuns[ref] = scheduler.ActiveRun{
			Run: ref,
		}
	}
	const mostAtOnce = 1000
	for range 3 * runs / mostAtOnce {
		r.round()
		stops := 0
		for _, effect := range r.effects {
			if _, isStop := effect.(scheduler.StopTask); isStop {
				stops++
			}
		}
		r.c.Assert(stops <= mostAtOnce, qt.IsTrue, qt.Commentf("%d stops at once", stops))
	}
	r.c.Assert(r.activeRuns(), qt.Equals, 1, qt.Commentf("the task of the job"))
}

// TestFormerWorkerWithoutAnAddressIsNotReached guards against runs that lapse, as an owner that
// knows of a former worker only its name does not call it where the directory lists it.
func TestFormerWorkerWithoutAnAddressIsNotReached(t *testing.T) {
	r := newRestartRig(t, "w")
	listed := r.workersByID["w"].entry
	for _, startedAt := range []time.Time{{}, listed.StartedAt} {
		listed.StartedAt = startedAt
		s := scheduler.New(2, r.now)
		s.AddFormerWorkers([]scheduler.WorkerEntry{
			{
				Ref: scheduler.WorkerRef{
					ID: "w",
				},
			},
		})
		s.SetWorkers([]scheduler.WorkerEntry{listed})
		order, known := s.LeaseRenewal("w", r.now)
		r.c.Assert(known, qt.IsTrue)
		r.c.Assert(order.Worker.Address, qt.Equals, listed.Ref.Address, qt.Commentf("started at %v", startedAt))
	}
}
