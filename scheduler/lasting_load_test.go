package scheduler_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// lastingWorkloads returns the load of a shard of the larger Omuti site: checks on
// which callers wait, long runs that fill the service and can be resumed, and lasting
// tasks, of which six in ten steps keep their tasks apart.
func lastingWorkloads() []workload {
	return []workload{
		{
			queue:      newAdvisedQueue("checks", 0, 1.5, 300*time.Millisecond, 18.2, 0.247),
			perSecond:  24,
			meanWidth:  9.5,
			maxWidth:   57,
			meanPhases: 1.5,
			size: func(*rand.Rand) sizer.Size {
				return sizer.New(2700, 9*gibibyte, 0)
			},
			meanWork:      0.56,
			workSpread:    0.5,
			estimateError: 0.2,
			approvedShare: 0.7,
			meanValue:     0.541,
		},
		{
			queue:      newAdvisedQueue("profiles", 2, 4, 3*time.Second, 208, 2.99),
			perSecond:  1.17,
			meanWidth:  18,
			maxWidth:   90,
			meanPhases: 2,
			size: func(*rand.Rand) sizer.Size {
				return sizer.New(4500, 10*gibibyte, 0)
			},
			meanWork:      5.6,
			workSpread:    0.5,
			estimateError: 0.5,
			checkpoints:   true,
			approvedShare: 0.45,
			meanValue:     3.97,
		},
	}
}

// addLastingJob adds a job of lasting tasks to the simulation.
func (sim *simulation) addLastingJob(id string, tasks int, apart bool) {
	phase := newPhase(tasks, sizer.New(4500, 13*gibibyte, 0))
	phase.Lasting = true
	if apart {
		phase.PerWorker = 1
	}
	job := sim.job(id, phase)
	job.Queue = lastingQueue
	ref := scheduler.StepRef{
		Job: id,
	}
	sim.phases[ref] = phase
	sim.runTimes[ref] = slices.Repeat([]time.Duration{24 * time.Hour}, tasks)
	sim.submitted[id] = submittedJob{
		workload:   len(sim.workloads) - 1,
		acceptedAt: sim.now,
	}
	sim.jobRecords = append(sim.jobRecords, job)
	sim.s.AddJob(job, nil, false, sim.now)
}

// lastingJobs is the number of jobs of lasting tasks in newLastingSimulation.
const lastingJobs = 6

// lastingTasks returns the number of tasks of a lasting job.
func lastingTasks(job int) int {
	return 8 + 4*job
}

// newLastingSimulation returns a simulation of a shard of the larger Omuti site that is
// full, with six jobs of lasting tasks.
func newLastingSimulation(t *testing.T, seed uint64) *simulation {
	loads := append(lastingWorkloads(), workload{
		queue:         lastingQueue,
		approvedShare: 0.3,
	})
	sim := newSimulation(t, seed, 126, sizer.New(16000, 64*gibibyte, 0), loads...)
	sim.resumeTime = 100 * time.Millisecond
	sim.adviserFreeAt[0] = make([]time.Time, 6)
	sim.adviserFreeAt[1] = make([]time.Time, 10)
	sim.s.SetAdviceLimits(6, 10)
	for job := range lastingJobs {
		sim.addLastingJob(fmt.Sprintf("lasting%d", job), lastingTasks(job), job%2 == 0)
	}
	return sim
}

// TestFailedLastingTasksReturnOnAFullService guards against LOST of the incident
// omuti-visits-grown-lasting: a lasting task that has ended is not started again within
// the time that users allow, on a service that is full.
func TestFailedLastingTasksReturnOnAFullService(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newLastingSimulation(t, seed)
			sim.play(8*time.Second, 0)
			since := make(map[scheduler.TaskRef]time.Time)
			var longest time.Duration
			for range 100 {
				sim.failLastingRun()
				sim.play(100*time.Millisecond, 0)
				waiting := sim.waitingLastingTasks()
				for _, task := range waiting {
					if since[task].IsZero() {
						since[task] = sim.now
					}
					longest = max(longest, sim.now.Sub(since[task]))
				}
				maps.DeleteFunc(since, func(task scheduler.TaskRef, _ time.Time) bool { return !slices.Contains(waiting, task) })
			}
			qt.Check(t, longest <= maxRestart, qt.IsTrue, qt.Commentf("%v", longest))
		})
	}
}

// maxReturn is the longest time that lasting tasks may be without a run after the last
// of several faults.
const maxReturn = 7 * time.Second

// TestLastingTasksReturnAfterCutAndTakeovers guards against LOST of the incident
// omuti-visits-grown-lasting: after a cut and changes of the owner, lasting tasks are
// not started again within the time that users allow, on a service that is full.
func TestLastingTasksReturnAfterCutAndTakeovers(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newLastingSimulation(t, seed)
			sim.play(8*time.Second, 0)
			takeOver := func() {
				sim.pendingCalls = nil
				sim.takeOver(sim.jobRecords...)
				sim.s.SetAdviceLimits(6, 10)
			}
			setSilent := func(silent bool) {
				for i, w := range sim.workers {
					w.silent = i%3 == 0 && silent
				}
			}
			setSilent(true)
			takeOver()
			sim.play(3*time.Second, 0)
			takeOver()
			// Workers fail in the cut, and the directory does not know.
			failed := []int{1, 4, 7, 10, 13}
			for _, i := range failed {
				sim.workers[i].silent = true
				clear(sim.workers[i].activeRuns)
			}
			sim.play(2600*time.Millisecond, 0)
			setSilent(false)
			for _, i := range failed {
				sim.workers[i].silent = true
			}
			takeOver()
			endedAt := sim.now
			for len(sim.waitingLastingTasks()) > 0 && sim.now.Sub(endedAt) < 30*time.Second {
				sim.play(100*time.Millisecond, 0)
			}
			qt.Check(t, sim.now.Sub(endedAt) <= maxReturn, qt.IsTrue, qt.Commentf("%v", sim.now.Sub(endedAt)))
		})
	}
}

// waitingLastingTasks returns the lasting tasks that have no run on any worker.
func (sim *simulation) waitingLastingTasks() []scheduler.TaskRef {
	running := sim.lastingRuns()
	var waiting []scheduler.TaskRef
	for job := range lastingJobs {
		for index := range lastingTasks(job) {
			task := scheduler.TaskRef{
				Step: scheduler.StepRef{
					Job: fmt.Sprintf("lasting%d", job),
				},
				Index: index,
			}
			if !running[task] {
				waiting = append(waiting, task)
			}
		}
	}
	return waiting
}

// lastingRuns returns the lasting tasks that have a run.
func (sim *simulation) lastingRuns() map[scheduler.TaskRef]bool {
	running := make(map[scheduler.TaskRef]bool)
	for _, w := range sim.workers {
		for ref := range w.activeRuns {
			if sim.submitted[ref.Task.Step.Job].workload == len(sim.workloads)-1 {
				running[ref.Task] = true
			}
		}
	}
	return running
}

// failLastingRun ends a random run of a lasting task.
func (sim *simulation) failLastingRun() {
	type candidate struct {
		worker *fakeWorker
		run    scheduler.RunRef
	}
	var candidates []candidate
	for _, w := range sim.workers {
		for ref := range w.activeRuns {
			if sim.submitted[ref.Task.Step.Job].workload == len(sim.workloads)-1 {
				candidates = append(candidates, candidate{
					worker: w,
					run:    ref,
				})
			}
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmpTasks(a.run.Task, b.run.Task)
	})
	chosen := candidates[sim.random.IntN(len(candidates))]
	chosen.worker.end(chosen.run, scheduler.EndFailed)
}

func cmpTasks(a, b scheduler.TaskRef) int {
	if a.Step.Job != b.Step.Job {
		if a.Step.Job < b.Step.Job {
			return -1
		}
		return 1
	}
	return a.Index - b.Index
}
