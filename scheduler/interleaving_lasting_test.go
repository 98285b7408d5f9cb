package scheduler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// withLastingOccurrences adds a job of lasting tasks that repeats.
func withLastingOccurrences(m *model) {
	withLastingJob(m)
	job := &m.jobs[len(m.jobs)-1]
	job.Start = m.now
	job.Interval = 2 * time.Second
	job.Repetitions = 3
}

// forgetPlacements makes the store look as if an older release had written it.
func (m *model) forgetPlacements() {
	for id, progress := range m.progress {
		progress.Steps = slices.Clone(progress.Steps)
		for i := range progress.Steps {
			progress.Steps[i].HasPlacements = false
			progress.Steps[i].Placements = nil
			progress.Steps[i].Approved = nil
		}
		m.progress[id] = progress
	}
}

// changeDirectory lets the directory lose workers that are up and list them again, and
// workers end that are not replaced at once.
func (m *model) changeDirectory() {
	w := m.workers[m.draw(len(m.workers))]
	if m.draw(12) == 0 {
		w.unlisted = !w.unlisted
		m.current().s.SetWorkers(m.directory())
	}
	if m.draw(40) == 0 && len(m.workers) < 8 && w.up {
		w.up = false
		m.addWorker()
	}
}

// playModelWithDirectory is like playModelWithLasting, with a job that is added by
// addJob and a directory that loses workers. Some owners find what an older release
// has stored.
func playModelWithDirectory(draw func(int) int, addJob func(*model)) string {
	m := newModel(noFault, draw, addJob)
	for range 4 {
		for range 140 {
			m.doRandomAction()
			m.changeDirectory()
		}
		if m.draw(2) == 0 {
			m.forgetPlacements()
		}
		m.takeOver()
	}
	m.recoverAndFinish()
	return m.violation
}

// playModelWithLastingOutages is like playModelWithOutages, with a job of lasting tasks
// that repeats.
func playModelWithLastingOutages(draw func(int) int) string {
	m := newModel(noFault, draw, withLastingOccurrences)
	for range 4 {
		for range 140 {
			m.doRandomAction()
		}
		m.playOutage()
	}
	m.recoverAndFinish()
	return m.violation
}

// playModelWithUnreadDirectory is like playModelWithDirectory, with some owners that begin
// without the directory.
func playModelWithUnreadDirectory(draw func(int) int, addJob func(*model)) string {
	m := newModel(noFault, draw, addJob)
	for range 4 {
		for range 140 {
			m.doRandomAction()
			m.changeDirectory()
		}
		m.directoryUnread = m.draw(3) > 0
		m.takeOver()
	}
	m.recoverAndFinish()
	return m.violation
}

// TestUnreadDirectoryKeepsInvariants runs interleavings in which owners start tasks on the
// workers of the former owner before they have read the directory.
func TestUnreadDirectoryKeepsInvariants(t *testing.T) {
	for name, addJob := range map[string]func(*model){
		"once":     withLastingJob,
		"repeated": withLastingOccurrences,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(1000) {
				random := rand.New(rand.NewPCG(seed, 11))
				qt.Assert(t, playModelWithUnreadDirectory(random.IntN, addJob), qt.Equals, "", qt.Commentf("seed %d", seed))
			}
		})
	}
}

// TestPlacementsOfAllReleasesKeepInvariants runs interleavings in which the directory
// loses workers, and owners begin to store placements that an older release did not.
func TestPlacementsOfAllReleasesKeepInvariants(t *testing.T) {
	for name, addJob := range map[string]func(*model){
		"once":     withLastingJob,
		"repeated": withLastingOccurrences,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2000) {
				random := rand.New(rand.NewPCG(seed, 11))
				qt.Assert(t, playModelWithDirectory(random.IntN, addJob), qt.Equals, "", qt.Commentf("seed %d", seed))
			}
		})
	}
}

// TestOutagesKeepInvariantsOfLastingTasks runs interleavings with outages of the store
// and owners that do not reach all workers on which a lasting task may run.
func TestOutagesKeepInvariantsOfLastingTasks(t *testing.T) {
	for seed := range uint64(4000) {
		random := rand.New(rand.NewPCG(seed, 11))
		qt.Assert(t, playModelWithLastingOutages(random.IntN), qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}
