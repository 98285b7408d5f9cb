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

// crashRig is a rig in which some tasks crash each worker that starts them. A crashed
// worker breaks its connections, refuses others, and is followed after some seconds by a
// new worker at its address.
type crashRig struct {
	*rig
	// deadly reports whether a task crashes its worker.
	deadly func(scheduler.TaskRef) bool
	// crashes counts the workers that crashed under each deadly task, and lost the runs
	// of other tasks that were lost with them.
	crashes map[scheduler.TaskRef]int
	lost    int
	// downSince holds the time at which each crashed worker crashed, and downFor how long
	// it takes until the next worker is up at its address.
	downSince map[string]time.Time
	downFor   time.Duration
	// movesAway lets the next worker have another address, so that nobody learns that the
	// crashed one has ended.
	movesAway bool
	// restarts lets crashed workers start again under their identity.
	restarts     bool
	replacements int
	jobs         []scheduler.Job
}

func newCrashRig(t *testing.T, workers int, deadly func(scheduler.TaskRef) bool) *crashRig {
	r := &crashRig{
		rig:       newRig(t),
		deadly:    deadly,
		crashes:   make(map[scheduler.TaskRef]int),
		downSince: make(map[string]time.Time),
		downFor:   3 * time.Second,
	}
	for i := range workers {
		r.addWorker(workerName(i), cores(8)).runTime = time.Second
	}
	r.updateDirectory()
	r.renewLeases()
	return r
}

// play runs the rig for the given time.
func (r *crashRig) play(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.advance(20 * time.Millisecond)
		r.s.ConfirmOwnership(r.now)
		r.crash()
		r.replaceCrashed()
		r.finishRuns()
		r.renewLeases()
		r.tick()
		r.write()
	}
}

// crash crashes the workers that have a run of a deadly task.
func (r *crashRig) crash() {
	for id, w := range r.workersByID {
		if w.silent {
			continue
		}
		crashed := false
		for run := range w.activeRuns {
			if r.deadly(run.Task) {
				crashed = true
				r.crashes[run.Task]++
			}
		}
		if !crashed {
			continue
		}
		for run := range w.activeRuns {
			if !r.deadly(run.Task) {
				r.lost++
			}
		}
		r.takeDown(id)
	}
}

// takeDown ends a worker with all its runs.
func (r *crashRig) takeDown(id string) {
	w := r.workersByID[id]
	w.silent = true
	clear(w.activeRuns)
	w.ended = nil
	r.downSince[id] = r.now
	r.s.RenewalBroken(id, r.now)
}

// replaceCrashed starts a new worker at the address of each worker that has been down for
// long enough.
func (r *crashRig) replaceCrashed() {
	for _, id := range slices.Sorted(maps.Keys(r.downSince)) {
		if r.now.Sub(r.downSince[id]) < r.downFor {
			continue
		}
		delete(r.downSince, id)
		r.replacements++
		if r.restarts {
			r.workersByID[id].silent = false
			r.workersByID[id].restart()
			continue
		}
		next := r.addWorker(fmt.Sprintf("%s-%d", workerName(0), r.replacements), cores(8))
		next.runTime = time.Second
		next.entry.Ref.Address = r.workersByID[id].entry.Ref.Address
		if r.movesAway {
			next.entry.Ref.Address += "0"
		}
		delete(r.workersByID, id)
		if !r.movesAway {
			r.s.EndWorker(id, r.now)
		}
		r.updateDirectory()
	}
}

// finishRuns ends the runs that have worked for their run time as done.
func (r *crashRig) finishRuns() {
	for _, w := range r.workersByID {
		for run := range w.activeRuns {
			ends := !r.findPhase(run.Task).Lasting && !r.deadly(run.Task) && w.clock-w.startedAt[run] >= w.runTime
			if ends && !w.silent && r.isComplete(run) {
				w.end(run, scheduler.EndDone)
			}
		}
	}
}

// isComplete reports whether all tasks of the run's step have a run, if it is a gang.
func (r *crashRig) isComplete(run scheduler.RunRef) bool {
	if !r.findPhase(run.Task).Gang {
		return true
	}
	members := 0
	for _, w := range r.workersByID {
		for other := range w.activeRuns {
			if other.Task.Step == run.Task.Step && other.Attempt == run.Attempt {
				members++
			}
		}
	}
	return members == r.findPhase(run.Task).Tasks
}

func (r *crashRig) findPhase(ref scheduler.TaskRef) scheduler.Phase {
	i := slices.IndexFunc(r.jobs, func(job scheduler.Job) bool { return job.ID == ref.Step.Job })
	return r.jobs[i].Phases[ref.Step.Phase]
}

// addJob hands a job in.
func (r *crashRig) addJob(job scheduler.Job) {
	r.jobs = append(r.jobs, job)
	r.s.AddJob(job, nil, false, r.now)
}

// takeOver lets a new owner follow.
func (r *crashRig) takeOver() {
	token := r.s.Token() + 1
	r.s = scheduler.New(token, r.now)
	r.s.AddFormerWorkers(r.storedWorkers)
	r.s.SetFormerSilence(r.storedSilent)
	r.updateDirectory()
	for _, job := range r.jobs {
		var progress *scheduler.Progress
		if stored, found := r.stored[job.ID]; found {
			progress = &stored
		}
		r.s.AddJob(job, progress, true, r.now)
	}
}

// firstTaskOf returns a function that reports whether a task is the first one of one of
// the jobs.
func firstTaskOf(jobs ...string) func(scheduler.TaskRef) bool {
	return func(ref scheduler.TaskRef) bool {
		return ref.Index == 0 && slices.Contains(jobs, ref.Step.Job)
	}
}

// maxCrashesAllowed is the number of workers that may crash under one task: it may be
// started twice more after the third.
const maxCrashesAllowed = 5

// TestTaskThatCrashesItsWorkersIsGivenUp guards against a task that crashes one worker after
// the other, and against jobs that are given up or lost because they ran beside it.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		name  string
		phase scheduler.Phase
		// arrange changes the rig before the jobs arrive, and meanwhile acts 1 s after that.
		arrange, meanwhile func(*crashRig)
	}{
		{
			name:  "alone",
			phase: newPhase(1, cores(1)),
		},
		{
			name:  "beside others of its step",
			phase: newPhase(6, cores(1)),
		},
		{
			name: "with copies",
			phase: scheduler.Phase{
				Tasks:    3,
				Size:     cores(1),
				Estimate: time.Second,
				Copies:   true,
			},
		},
		{
			name: "a gang",
			phase: scheduler.Phase{
				Tasks:    2,
				Size:     cores(6),
				Estimate: time.Second,
				Gang:     true,
			},
		},
		{
			name: "lasting",
			phase: scheduler.Phase{
				Tasks:     2,
				Size:      cores(1),
				PerWorker: 1,
				Lasting:   true,
			},
		},
		{
			name:      "a new owner after the first crash",
			phase:     newPhase(1, cores(1)),
			meanwhile: (*crashRig).takeOver,
		},
		{
			name:    "the workers come back elsewhere",
			phase:   newPhase(1, cores(1)),
			arrange: func(r *crashRig) { r.movesAway = true },
		},
	} {
		for _, answered := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, starts answered %t", test.name, answered), func(t *testing.T) {
				r := newCrashRig(t, 8, firstTaskOf("deadly"))
				if !answered {
					r.losesAnswer = r.deadly
				}
				if test.arrange != nil {
					test.arrange(r)
				}
				for i := range 4 {
					r.addJob(r.job(fmt.Sprintf("before%d", i), newPhase(4, cores(1))))
				}
				r.play(100 * time.Millisecond)
				r.addJob(r.job("deadly", test.phase))
				for i := range 4 {
					r.addJob(r.job(fmt.Sprintf("beside%d", i), newPhase(4, cores(1))))
				}
				r.play(time.Second)
				if test.meanwhile != nil {
					test.meanwhile(r)
				}
				r.play(60 * time.Second)
				r.c.Assert(r.state("deadly"), qt.Equals, scheduler.Failed)
				for task, n := range r.crashes {
					r.c.Check(n <= maxCrashesAllowed, qt.IsTrue, qt.Commentf("%d workers crashed under %s", n, task))
				}
				for _, job := range r.jobs {
					if job.ID != "deadly" {
						r.c.Check(r.state(job.ID), qt.Equals, scheduler.Completed, qt.Commentf("%s", job.ID))
					}
				}
			})
		}
	}
}

// TestTasksThatCrashWorkersCostTheOthersLittle guards against tasks that are started again
// beside others time and again and take their runs along. Each deadly task may crash two
// workers: the first beside other runs, the second with as few runs as possible.
func TestTasksThatCrashWorkersCostTheOthersLittle(t *testing.T) {
	var names []string
	for i := range 6 {
		names = append(names, fmt.Sprintf("deadly%d", i))
	}
	r := newCrashRig(t, 16, firstTaskOf(names...))
	for i := range 60 {
		r.addJob(r.job(fmt.Sprintf("good%02d", i), newPhase(4, cores(1))))
		if i%10 == 5 {
			r.addJob(r.job(names[i/10], newPhase(3, cores(1))))
		}
		r.play(100 * time.Millisecond)
	}
	r.play(40 * time.Second)
	total := 0
	for _, job := range r.jobs {
		want := scheduler.Completed
		if slices.Contains(names, job.ID) {
			want = scheduler.Failed
		}
		r.c.Check(r.state(job.ID), qt.Equals, want, qt.Commentf("%s", job.ID))
	}
	for _, n := range r.crashes {
		total += n
	}
	r.c.Check(total <= 2*len(names), qt.IsTrue, qt.Commentf("%d crashes", total))
	// A worker holds at most eight runs. The second crash may cost one run of others.
	r.c.Check(r.lost <= len(names)*(7+1), qt.IsTrue, qt.Commentf("%d runs of others lost", r.lost))
}

// TestTasksOnLostWorkersAreNotGivenUp guards against jobs that are given up although none of
// their tasks crashes a worker.
func TestTasksOnLostWorkersAreNotGivenUp(t *testing.T) {
	never := func(scheduler.TaskRef) bool { return false }
	for _, test := range []struct {
		name string
		// disturb is called every second, just after new runs have started.
		disturb func(*crashRig)
	}{
		{
			name: "connections are reset",
			disturb: func(r *crashRig) {
				for id := range r.workersByID {
					r.s.RenewalBroken(id, r.now)
				}
			},
		},
		{
			name: "half of the workers crash at once",
			disturb: func(r *crashRig) {
				if r.replacements > 0 || len(r.downSince) > 0 {
					return
				}
				ids := slices.Sorted(maps.Keys(r.workersByID))
				for _, id := range ids[:len(ids)/2] {
					r.takeDown(id)
				}
			},
		},
		{
			name: "half of the workers are silent at times",
			disturb: func(r *crashRig) {
				ids := slices.Sorted(maps.Keys(r.workersByID))
				for _, id := range ids[:len(ids)/2] {
					r.workersByID[id].silent = !r.workersByID[id].silent
				}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newCrashRig(t, 8, never)
			lasting := newPhase(3, cores(1))
			lasting.Lasting = true
			r.addJob(r.job(lastingJob, lasting))
			for i := range 5 {
				r.addJob(r.job(fmt.Sprintf("good%d", i), newPhase(6, cores(1))))
				r.play(40 * time.Millisecond)
				test.disturb(r)
				r.play(time.Second)
			}
			for _, w := range r.workersByID {
				w.silent = w.silent && !r.downSince[w.entry.Ref.ID].IsZero()
			}
			r.play(30 * time.Second)
			for _, job := range r.jobs {
				want := scheduler.Completed
				if job.ID == lastingJob {
					want = scheduler.Running
				}
				r.c.Check(r.state(job.ID), qt.Equals, want, qt.Commentf("%s", job.ID))
			}
		})
	}
}

// TestSuspectsAreNotHeldUpOnAnEmptyService guards against jobs that wait for seconds, with
// most of the service free, as other suspects are tried before them.
func TestSuspectsAreNotHeldUpOnAnEmptyService(t *testing.T) {
	var deadly, good []string
	for i := range 8 {
		deadly = append(deadly, fmt.Sprintf("j%d-deadly", i))
		good = append(good, fmt.Sprintf("j%d-good", i))
	}
	r := newCrashRig(t, 16, firstTaskOf(deadly...))
	for i := range deadly {
		// The two tasks fill a worker.
		r.addJob(r.job(deadly[i], newPhase(1, cores(4))))
		r.addJob(r.job(good[i], newPhase(1, cores(4))))
	}
	// A job may have no run for 3 s once it is known that its worker has ended.
	r.play(r.downFor + 3*time.Second + time.Second)
	for _, id := range good {
		r.c.Check(r.state(id), qt.Equals, scheduler.Completed, qt.Commentf("%s", id))
	}
}

// TestCrashIsConfirmedAfterItsJobEnded guards against a crash of the owner: it learned of the
// end of a worker just as it forgot a job with a run there.
func TestCrashIsConfirmedAfterItsJobEnded(t *testing.T) {
	r := newCrashRig(t, 2, firstTaskOf("deadly"))
	r.downFor = time.Hour
	r.addJob(r.job("deadly", newPhase(1, cores(1))))
	r.play(time.Second)
	r.c.Assert(r.downSince, qt.HasLen, 1)
	r.s.Cancel("deadly", r.now)
	r.play(time.Second)
	for id := range r.downSince {
		r.advance(131 * time.Second)
		r.s.EndWorker(id, r.now)
	}
	r.s.Tick(r.now)
	r.c.Assert(r.s.ExpiredJobs(1, r.now), qt.DeepEquals, []string{"deadly"})
	r.s.JobDeleted("deadly", r.now)
	r.write()
	_, known := r.s.State("deadly")
	r.c.Assert(known, qt.IsFalse)
}
