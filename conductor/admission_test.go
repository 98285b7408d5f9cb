package conductor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
)

func (f *fixture) jobOfOrganisation(id string) scheduler.Job {
	phase := tasks(8)
	phase.Estimate = 10 * time.Second
	return scheduler.Job{
		ID: id,
		Queue: scheduler.Queue{
			Name:        "checks",
			Service:     service,
			SlackFactor: 2,
		},
		Organisation: "a",
		Phases:       []scheduler.Phase{phase},
		Accepted:     time.Now(),
	}
}

// floodUntilRefused has jobs accepted until one is refused, and returns that.
func (f *fixture) floodUntilRefused() scheduler.Job {
	for i := range 1000 {
		job := f.jobOfOrganisation(fmt.Sprintf("flood%d", i))
		if f.owner.Admit(context.Background(), job, 0).Refused != "" {
			return job
		}
	}
	f.c.Fatal("no job was refused")
	return scheduler.Job{}
}

// TestStoredJobIsNotRefusedInAFlood guards against a refusal of a job that was stored but
// that the owner has not read: the refusal says that the job will not run.
func TestStoredJobIsNotRefusedInAFlood(t *testing.T) {
	f := newFixture(t, 1, emulator.RunTime(func(scheduler.TaskRef) time.Duration { return time.Hour }))
	owner, _ := f.startOwner()
	owner.SetOrganisations([]scheduler.Organisation{{
		Name:   "a",
		Weight: 1,
	}}, 0.1)
	f.submit("first", tasks(1))
	f.await("first", scheduler.Running)
	refused := f.floodUntilRefused()
	f.c.Assert(owner.Admit(context.Background(), refused, 0).Refused, qt.Equals, scheduler.RefusedBacklog)
	record, err := conductor.JobRecord(refused)
	f.c.Assert(err, qt.IsNil)
	f.append(record)
	admission := owner.Admit(context.Background(), refused, 0)
	f.c.Assert(admission.Refused, qt.Equals, scheduler.RefusalCause(""))
	f.c.Assert(admission.Known, qt.IsTrue)
}

// TestOwnerThatHasNotReadItsJobsRefusesNone guards against refusals by a new owner that
// does not know which jobs are stored.
func TestOwnerThatHasNotReadItsJobsRefusesNone(t *testing.T) {
	f := newFixture(t, 1)
	owner := conductor.New(f.store, f.fleet, approveAll{}, partition, 1)
	owner.SetOrganisations([]scheduler.Organisation{{
		Name: "a",
	}}, 0.1)
	for i := range 5000 {
		f.c.Assert(owner.Admit(context.Background(), f.jobOfOrganisation(fmt.Sprint(i)), 0), qt.Equals, scheduler.Admission{})
	}
}
