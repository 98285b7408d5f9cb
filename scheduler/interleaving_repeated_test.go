package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// withRepetitions lets all jobs repeat. They have a single phase, so that occurrences get done
// between two takeovers.
func withRepetitions(m *model) {
	for i := range m.jobs {
		job := &m.jobs[i]
		job.Phases = job.Phases[:1]
		job.Phases[0].Tasks = 1 + i%2
		job.Phases[0].Gang = i%2 > 0
		job.Start = m.now
		job.Interval = 600 * time.Millisecond
		job.Repetitions = 4
	}
}

// playModelWithRepetitions is like playModel, with jobs that repeat and a directory that loses
// workers. Some owners store the occurrences that are done as an older release does.
func playModelWithRepetitions(seeded fault, draw func(int) int) string {
	m := newModel(seeded, draw, withRepetitions)
	for range 4 {
		for range 140 {
			m.doRandomAction()
			m.changeDirectory()
			if seeded == noFault && m.draw(60) == 0 {
				m.current().s.AllowOccurrenceRanges(m.draw(2) == 0)
			}
		}
		m.takeOver()
	}
	m.recoverAndFinish()
	return m.violation
}

// TestRepeatedJobsKeepInvariants runs interleavings of jobs that repeat, of which the steps are
// dropped once an occurrence is done.
func TestRepeatedJobsKeepInvariants(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 7))
		qt.Assert(t, playModelWithRepetitions(noFault, random.IntN), qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}
