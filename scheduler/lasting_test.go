package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// lastingQueue has the advice of a queue of lasting tasks on the users' larger sites.
var lastingQueue = scheduler.Queue{
	Name:        "watch",
	Service:     "desk",
	Priority:    1,
	MaxAttempts: 3,
	SlackFactor: 2,
	Target:      2500 * time.Millisecond,
	Advice: &scheduler.Advice{
		Decision:  728 * time.Millisecond,
		PerWorker: 10400 * time.Microsecond,
		Validity:  2 * time.Second,
	},
}

// lastingRig is an advisedRig whose workers end their runs once the lease expires, and
// whose adviser approves three in ten workers for each step.
type lastingRig struct {
	*advisedRig
	workers int
}

func newLastingRig(t *testing.T, workers int) *lastingRig {
	l := &lastingRig{
		advisedRig: newAdvisedRig(t),
	}
	l.validity = lastingQueue.Advice.Validity
	l.approves = func(_ scheduler.StepRef, worker string) bool {
		var n int
		_, err := fmt.Sscanf(worker, "w%d", &n)
		l.c.Assert(err, qt.IsNil)
		return n%10 < 3
	}
	l.addWorkers(workers)
	l.updateDirectory()
	l.renewLeases()
	l.s.SetAdviceLimits(10, 10)
	return l
}

// addWorkers adds workers that are not listed before the next updateDirectory.
func (l *lastingRig) addWorkers(n int) {
	for range n {
		l.addWorker(workerName(l.workers), cores(16)).runTime = time.Hour
		l.workers++
	}
}

// removeWorker removes a worker for good, with all that it ran.
func (l *lastingRig) removeWorker(id string) {
	delete(l.workersByID, id)
}

func (l *lastingRig) steps(d time.Duration) {
	for range d / (20 * time.Millisecond) {
		for _, w := range l.workersByID {
			for ref := range w.activeRuns {
				if w.clock > w.leaseEnd {
					w.end(ref, scheduler.EndLapsed)
				}
			}
		}
		l.step()
	}
}

// idleApproved returns an approved worker without a run.
func (l *lastingRig) idleApproved() string {
	for i := range l.workers {
		id := workerName(i)
		if w := l.workersByID[id]; w != nil && len(w.activeRuns) == 0 && l.approves(scheduler.StepRef{}, id) {
			return id
		}
	}
	l.c.Fatal("every approved worker has a run")
	return ""
}

// takeOver lets a new owner take over, which has no calls under way.
func (l *lastingRig) takeOver(jobs ...scheduler.Job) {
	l.pendingCalls = nil
	l.rig.takeOver(jobs...)
	l.s.SetAdviceLimits(10, 10)
}

// cutOff sets whether the owner reaches a third of the workers.
func (l *lastingRig) cutOff(silent bool) {
	for i := range l.workers {
		if w := l.workersByID[workerName(i)]; w != nil && i%3 == 0 {
			w.silent = silent
		}
	}
}

// maxRestart is the longest time that a lasting task may be without a run while there
// is capacity for it and no fault goes on.
const maxRestart = 3 * time.Second

// TestLastingTaskIsRestartedSoonAfterTakeovers guards against LOST of the incident
// omuti-visits-grown-lasting: tasks whose leases lapse in a cut are not restarted for
// 14 s. Workers have been replaced before, the partition is taken over in the cut, and
// again when it has ended.
func TestLastingTaskIsRestartedSoonAfterTakeovers(t *testing.T) {
	c := qt.New(t)
	l := newLastingRig(t, 90)
	phase := newPhase(15, cores(4))
	phase.Lasting = true
	phase.PerWorker = 1
	job := l.job("watch", phase)
	job.Queue = lastingQueue
	l.s.AddJob(job, nil, false, l.now)
	l.steps(5 * time.Second)
	c.Assert(l.activeRuns(), qt.Equals, 15)

	// Some workers of the step are replaced, one of them by a fault.
	for _, id := range []string{"w00", "w10", "w20"} {
		l.removeWorker(id)
	}
	l.addWorkers(10)
	l.updateDirectory()
	l.steps(10 * time.Second)
	c.Assert(l.activeRuns(), qt.Equals, 15)

	// Workers without a run of the step fail, which the directory does not show yet.
	// The owner is cut off, and a new one cannot reach a third of the workers. The
	// other workers end their runs when the leases lapse.
	l.removeWorker(l.idleApproved())
	l.cutOff(true)
	l.takeOver(job)
	l.steps(3 * time.Second)
	l.removeWorker(l.idleApproved())
	l.takeOver(job)
	l.steps(2 * time.Second)
	for _, w := range l.workersByID {
		for ref := range w.activeRuns {
			w.end(ref, scheduler.EndLapsed)
		}
	}

	l.cutOff(false)
	l.takeOver(job)
	l.steps(maxRestart)
	c.Assert(l.activeRuns(), qt.Equals, 15, qt.Commentf("%v", l.notesWith("step waits")))
}
