package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// newFullService returns a rig with two workers that are full of long tasks of a
// queue with the given priority.
func newFullService(t *testing.T, checkpoints bool, priority int) *rig {
	r := newRig(t)
	r.addWorker("w0", cores(8))
	r.addWorker("w1", cores(8))
	r.updateDirectory()
	r.renewLeases()
	phase := newPhase(8, cores(2))
	phase.Estimate = 10 * time.Second
	phase.Checkpoints = checkpoints
	job := r.job("batch", phase)
	job.Queue.Name = "batches"
	job.Queue.Priority = priority
	r.s.AddJob(job, nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.activeRuns(), qt.Equals, 8)
	return r
}

func (r *rig) rounds(n int) {
	for range n {
		r.round()
	}
}

// runsOf returns the number of active runs of a job.
func (r *rig) runsOf(id string) int {
	total := 0
	for _, w := range r.workersByID {
		for ref := range w.activeRuns {
			if ref.Task.Step.Job == id {
				total++
			}
		}
	}
	return total
}

// TestUrgentStepTakesRoomOfRunsThatCanResume checks that a gang or a lasting task
// which arrives while long runs fill its service starts within two seconds if these
// can be resumed. It waits for them if they cannot be resumed or are as urgent.
func TestUrgentStepTakesRoomOfRunsThatCanResume(t *testing.T) {
	gang := newPhase(2, cores(8))
	gang.Gang = true
	lasting := newPhase(2, cores(8))
	lasting.Lasting = true
	for _, test := range []struct {
		name        string
		phase       scheduler.Phase
		checkpoints bool
		priority    int
		want        int
	}{
		{
			name:        "gang",
			phase:       gang,
			checkpoints: true,
			priority:    2,
			want:        2,
		},
		{
			name:     "gang, runs cannot resume",
			phase:    gang,
			priority: 2,
		},
		{
			name:        "gang, runs as urgent",
			phase:       gang,
			checkpoints: true,
			priority:    1,
		},
		{
			name:        "lasting",
			phase:       lasting,
			checkpoints: true,
			priority:    2,
			want:        2,
		},
		{
			name:     "lasting, runs cannot resume",
			phase:    lasting,
			priority: 2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newFullService(t, test.checkpoints, test.priority)
			job := r.job("urgent", test.phase)
			job.Queue.Priority = 1
			job.Queue.Target = 10 * time.Second
			r.s.AddJob(job, nil, false, r.now)
			r.rounds(20)
			r.c.Assert(r.runsOf("urgent"), qt.Equals, test.want)
			if test.want == 0 {
				r.c.Assert(r.runsOf("batch"), qt.Equals, 8)
			}
		})
	}
}

// TestNoMoreRunsAreStoppedThanNeeded checks that preemption stops only the runs whose
// capacity is needed.
func TestNoMoreRunsAreStoppedThanNeeded(t *testing.T) {
	r := newFullService(t, true, 2)
	phase := newPhase(1, cores(3))
	phase.Lasting = true
	job := r.job("urgent", phase)
	job.Queue.Priority = 1
	r.s.AddJob(job, nil, false, r.now)
	r.rounds(20)
	r.c.Assert(r.runsOf("urgent"), qt.Equals, 1)
	r.c.Assert(r.runsOf("batch"), qt.Equals, 6)
}

// TestShortChecksBesideLongBatches checks that short checks, on which callers wait,
// and long batches that fill the service both reach the goal. There is a burst of
// checks, and in one case a third of the workers is cut off for a while. The checks
// would be late if batches, which can be resumed and have time to spare, were not
// preempted.
func TestShortChecksBesideLongBatches(t *testing.T) {
	for _, cut := range []bool{false, true} {
		results := playAll(t, 2, 30*time.Second, func(seed uint64) *simulation {
			sim := newProcessorSimulation(t, seed, 1)
			if cut {
				sim.cutFrom, sim.cutTo = 18*time.Second, 23500*time.Millisecond
			}
			return sim
		})
		checks, batches := results[0], results[1]
		// goal is the target for the share of the possible value that is earned.
		const goal = 0.95
		comment := qt.Commentf("cut %t, checks %.3f, batches %.3f", cut, checks.share(), batches.share())
		qt.Assert(t, checks.share() >= goal, qt.IsTrue, comment)
		qt.Assert(t, batches.share() >= goal, qt.IsTrue, comment)
	}
}

// TestBatchesLeaveRoomForChecks checks that at 1.3 times the usual load, also with a
// third of the workers cut off for a while, long batches lower the share of the checks
// by at most 0.02, and meet their own goal. Checks would wait for the preemption of
// batches if these left no headroom.
func TestBatchesLeaveRoomForChecks(t *testing.T) {
	for _, cut := range []bool{false, true} {
		play := func(checksOnly bool) []result {
			return playAll(t, 4, 30*time.Second, func(seed uint64) *simulation {
				sim := newProcessorSimulation(t, seed, 1.3)
				if checksOnly {
					sim.workloads[1].perSecond = 0
				}
				if cut {
					sim.cutFrom, sim.cutTo = 18*time.Second, 23500*time.Millisecond
				}
				return sim
			})
		}
		checksAlone, together := play(true), play(false)
		comment := qt.Commentf("cut %t, checks %.3f, alone %.3f, batches %.3f", cut, together[0].share(), checksAlone[0].share(), together[1].share())
		qt.Assert(t, together[0].share() >= checksAlone[0].share()-0.02, qt.IsTrue, comment)
		const goal = 0.95
		qt.Assert(t, together[1].share() >= goal, qt.IsTrue, comment)
	}
}

// TestKeptWorkerTakesOneMoreTask checks that a lasting task is started again if it
// fails after its tickets have expired. The other task of its step still runs on the
// worker that would be reserved first, and the two must not share a worker.
func TestKeptWorkerTakesOneMoreTask(t *testing.T) {
	r := newRig(t)
	for i := range 2 {
		r.addWorker(workerName(i), cores(4))
	}
	r.updateDirectory()
	r.renewLeases()
	phase := newPhase(2, cores(1))
	phase.Lasting = true
	phase.PerWorker = 1
	job := r.job("j", phase)
	job.Queue = advisedQueue
	r.s.AddJob(job, nil, false, r.now)
	for range 5 {
		r.round()
		r.answerAdvice(approveAll)
	}
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	for range 30 {
		r.round()
		r.c.Assert(r.answerAdvice(approveAll), qt.HasLen, 0)
	}
	second := r.workersByID[workerName(1)]
	for run := range second.activeRuns {
		second.end(run, scheduler.EndFailed)
	}
	for range 10 {
		r.round()
		r.answerAdvice(approveAll)
	}
	r.c.Assert(second.activeRuns, qt.HasLen, 1)
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
}
