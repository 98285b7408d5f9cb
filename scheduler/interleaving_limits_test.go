package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// withOrganisations replaces the jobs by those of two organisations with a maximum. Those
// of "many" consist of small tasks, with copies and gangs, as the check allows one task
// beyond the maximum. Those of "wide" include a gang that is larger than the maximum.
func withOrganisations(m *model) {
	m.overage = 0.1
	m.jobs = nil
	add := func(organisation string, phases ...scheduler.Phase) {
		for i := range phases {
			if i > 0 {
				phases[i].DependsOn = []int{i - 1}
			}
		}
		m.jobs = append(m.jobs, scheduler.Job{
			ID:           fmt.Sprintf("%s%d", organisation, len(m.jobs)),
			Queue:        deskQueue,
			Organisation: organisation,
			Phases:       phases,
			Accepted:     m.now,
		})
	}
	m.organisations = []scheduler.Organisation{
		{
			Name:    "many",
			Maximum: cores(1),
		},
		{
			Name:    "wide",
			Maximum: cores(3),
		},
	}
	quarter := sizer.New(250, gibibyte/4, 0)
	for i := range 10 {
		small, gang := newPhase(8, quarter), newPhase(4, quarter)
		small.Copies = i%2 == 0
		gang.Gang = i%3 == 0
		add("many", small, gang)
	}
	wide := newPhase(2, cores(2))
	wide.Gang = true
	add("wide", wide)
	add("wide", newPhase(2, cores(1)), newPhase(1, cores(2)))
}

// cancelRandomJob cancels a job, at the current owner and those after it.
func (m *model) cancelRandomJob() {
	id := m.jobs[m.draw(len(m.jobs))].ID
	if !slices.Contains(m.cancelled, id) {
		m.cancelled = append(m.cancelled, id)
	}
	m.current().s.Cancel(id, m.timeOf(m.current()))
}

// checkMaximum checks what the organisation of a task that has just started has running.
func (m *model) checkMaximum(started scheduler.TaskRef) {
	organisationOf := func(task scheduler.TaskRef) string {
		i := slices.IndexFunc(m.jobs, func(job scheduler.Job) bool { return job.ID == task.Step.Job })
		return m.jobs[i].Organisation
	}
	for _, organisation := range m.organisations {
		if organisation.Name != organisationOf(started) {
			continue
		}
		var used, largest sizer.Size
		for _, w := range m.workers {
			for run, size := range w.active {
				if w.up && organisationOf(run.Task) == organisation.Name {
					used = used.Add(size)
					largest = largest.Max(size)
				}
			}
		}
		limit := int64(float64(organisation.Maximum.MilliCores())*(1+m.overage)) + largest.MilliCores()
		if used.MilliCores() > limit {
			m.violate("%s has %v running after the start of %v", organisation.Name, used, started)
		}
	}
}

// playModelWithOrganisations is like playModel, with jobs of organisations that have a
// maximum, many changes of the owner, and a quick store, so that many runs start.
func playModelWithOrganisations(seeded fault, draw func(int) int) string {
	m := newModel(seeded, draw, withOrganisations)
	for range 4 {
		m.settle()
		for range 120 {
			m.doRandomAction()
			m.write(m.current())
		}
		m.takeOver()
	}
	m.recoverAndFinish()
	return m.violation
}

// playModelWithCancellations is like playModelWithOrganisations, but before each change of
// the owner some jobs are cancelled, which is stored, while a worker that may have runs of
// them is cut off.
func playModelWithCancellations(seeded fault, draw func(int) int) string {
	m := newModel(seeded, draw, withOrganisations)
	for range 4 {
		m.settle()
		for range 60 {
			m.doRandomAction()
			m.write(m.current())
		}
		m.workers[m.draw(len(m.workers))].unreachableBy = everyOwner
		for range 3 {
			m.cancelRandomJob()
		}
		for range 6 {
			m.write(m.current())
		}
		m.takeOver()
		for range 60 {
			m.doRandomAction()
			m.write(m.current())
		}
	}
	m.recoverAndFinish()
	return m.violation
}

// TestMaximumIsNeverExceeded guards against an organisation that has more running than
// its maximum with the overage and one task, in whatever order owners, workers and the
// store act: jobs are cancelled, starts and stops have no answer or come late, and former
// owners go on starting tasks.
func TestMaximumIsNeverExceeded(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 7))
		qt.Assert(t, playModelWithOrganisations(noFault, random.IntN), qt.Equals, "", qt.Commentf("seed %d", seed))
	}
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 7))
		qt.Assert(t, playModelWithCancellations(noFault, random.IntN), qt.Equals, "", qt.Commentf("cancellations, seed %d", seed))
	}
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(0, 1<<16)
		violation := playModelWithOrganisations(noFault, func(n int) int { return number.Draw(t, "n") % n })
		if violation != "" {
			t.Fatal(violation)
		}
	})
}
