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
