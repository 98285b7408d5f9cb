package scheduler_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// notesWith returns the texts of the notes since the last call that contain the
// given text.
func (r *rig) notesWith(text string) []string {
	var texts []string
	for _, note := range r.s.Notes() {
		if strings.Contains(note.Text, text) {
			texts = append(texts, note.Text)
		}
	}
	return texts
}

// TestLastingStepSaysWhatBarsApprovedWorkers checks that the log tells for each
// approved worker what keeps a lasting task from it, and for how long the task has
// had no run. The workers v and w run one task of the step each, x is full of another
// lasting job, and y is not approved.
func TestLastingStepSaysWhatBarsApprovedWorkers(t *testing.T) {
	r := newRig(t)
	for _, id := range []string{"v", "w", "x", "y"} {
		r.addWorker(id, cores(4))
	}
	r.workersByID["x"].entry.Labels = []string{"x"}
	r.updateDirectory()
	r.renewLeases()
	lasting := newPhase(1, cores(4))
	lasting.Lasting = true
	lasting.Requires = "x"
	r.s.AddJob(r.job("other", lasting), nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 1)

	apart := newPhase(3, cores(1))
	apart.Lasting = true
	apart.PerWorker = 1
	job := r.job("apart", apart)
	job.Queue = advisedQueue
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.answerAdvice(func(_ scheduler.StepRef, worker string) bool { return worker != "y" })
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 3)
	r.s.Notes()
	for range 20 {
		r.round()
	}
	notes := r.notesWith("step waits: 1 of 3 tasks, lasting")
	r.c.Assert(notes, qt.HasLen, 2)
	r.c.Assert(notes[1], qt.Contains, "no run for up to 2s; of the approved 0 can start, 2 run the step already, 0 are reserved for others, 1 are full of lasting runs, 0 are busy, 0 need a new ticket")
	r.c.Assert(r.s.LastingLoad(r.now), qt.DeepEquals, scheduler.LastingLoad{
		Waiting:     1,
		LongestWait: 2 * time.Second,
	})
}

// TestStepSaysWhichWorkersItsRecoveryAwaits checks that the log names the workers for
// which a step of a recovered job waits after a takeover.
func TestStepSaysWhichWorkersItsRecoveryAwaits(t *testing.T) {
	r := newRig(t)
	r.addWorker("v", cores(4))
	r.addWorker("w", cores(4))
	r.updateDirectory()
	r.renewLeases()
	phase := newPhase(2, cores(4))
	phase.Lasting = true
	job := r.job("j", phase)
	r.s.AddJob(job, nil, false, r.now)
	r.tick()
	r.c.Assert(r.activeRuns(), qt.Equals, 2)
	r.workersByID["w"].silent = true
	r.takeOver(job)
	for range 25 {
		r.round()
	}
	notes := r.notesWith("step waits for workers that may have runs of the former owner")
	r.c.Assert(notes, qt.HasLen, 2)
	r.c.Assert(notes[0], qt.Contains, "1 of 2 tasks, lasting, 1 workers have not reported, such as w")
}

// TestTimeWithoutARunCanBeAddedUp guards against an outage of a lasting task that leaves no
// trace: while its placement cannot be stored, the log says which run waits, and the start
// says since when the task had no run, also if an earlier run was planned but never sent.
func TestTimeWithoutARunCanBeAddedUp(t *testing.T) {
	r := newRig(t)
	for i := range 3 {
		r.addWorker(workerName(i), cores(4)).runTime = time.Hour
	}
	r.updateDirectory()
	r.renewLeases()
	begun := r.now
	r.s.AddJob(r.job("lasting", newLastingPhase(1)), nil, false, r.now)
	r.tick()
	r.c.Assert(r.startOrders(), qt.HasLen, 1)
	r.c.Assert(r.startOrders()[0].WithoutRunSince, qt.Equals, begun)
	r.rounds(20)
	r.s.Notes()

	w := r.workerOf("lasting")
	w.end(firstRun(w), scheduler.EndLapsed)
	w.entry.Leaving = true
	r.s.SetWorkers(r.storedWorkersWith(w.entry))
	r.advance(100 * time.Millisecond)
	r.renewLeases()
	ended := r.now
	for range 25 {
		r.carryOut(r.s.Tick(r.now))
		r.c.Assert(r.startOrders(), qt.HasLen, 0)
		r.advance(100 * time.Millisecond)
		r.renewLeases()
	}
	r.c.Assert(r.s.PlannedRuns(), qt.Equals, 1)
	r.c.Assert(r.notesWith("planned run waits for its placement to be stored: attempt"), qt.HasLen, 3)

	// The worker of the planned run leaves as well.
	planned := r.plannedWorker()
	planned.entry.Leaving = true
	r.s.SetWorkers(r.storedWorkersWith(planned.entry))
	r.carryOut(r.s.Tick(r.now))
	r.c.Assert(r.notesWith("its start was not sent"), qt.HasLen, 1)
	r.tick()
	r.c.Assert(r.startOrders(), qt.HasLen, 1)
	r.c.Assert(r.startOrders()[0].WithoutRunSince, qt.Equals, ended)
}

// startOrders returns the starts among the effects of the last tick.
func (r *rig) startOrders() []scheduler.StartTask {
	var orders []scheduler.StartTask
	for _, effect := range r.effects {
		if order, ok := effect.(scheduler.StartTask); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// plannedWorker returns the worker of the placement that the next write would store first.
func (r *rig) plannedWorker() *fakeWorker {
	for _, progress := range r.s.NextWrite().Jobs {
		for _, step := range progress.Progress.Steps {
			for _, ids := range step.Placements {
				return r.workersByID[ids[0]]
			}
		}
	}
	return nil
}
