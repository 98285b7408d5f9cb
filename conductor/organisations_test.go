package conductor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
)

// TestCancellationByAnotherOrganisation guards against a stored cancellation that ends a
// job of another organisation, and against showing such a job.
func TestCancellationByAnotherOrganisation(t *testing.T) {
	f := newFixture(t, 2, emulator.RunTime(func(scheduler.TaskRef) time.Duration { return time.Hour }))
	f.startOwner()
	for id, organisation := range map[string]string{
		"farms": "farm",
		"free":  "",
	} {
		record, err := conductor.JobRecord(scheduler.Job{
			ID:           id,
			Organisation: organisation,
			Queue: scheduler.Queue{
				Service: service,
			},
			Phases:   []scheduler.Phase{tasks(1)},
			Accepted: time.Now(),
		})
		f.c.Assert(err, qt.IsNil)
		f.append(record)
	}
	cancel := func(id, organisation string) {
		record, err := conductor.CancelRecord(id, organisation)
		f.c.Assert(err, qt.IsNil)
		f.append(record)
	}
	cancel("farms", "mill")
	cancel("farms", "")
	// The records are read in order: once this job is cancelled, the others are read.
	cancel("free", "mill")
	await := func(id, organisation string, want scheduler.JobState) {
		for {
			state, found, err := f.owner.State(context.Background(), id, organisation)
			if err == nil && found && state == want {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	await("free", "", scheduler.Cancelled)
	await("farms", "farm", scheduler.Running)
	for _, stranger := range []string{"mill", ""} {
		_, found, err := f.owner.State(context.Background(), "farms", stranger)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(found, qt.IsFalse)
		f.c.Assert(f.owner.Foreign("farms", stranger), qt.IsTrue)
	}
	f.c.Assert(f.owner.Foreign("farms", "farm"), qt.IsFalse)
	f.c.Assert(f.owner.Foreign("nobodys", "mill"), qt.IsFalse)
	// A later owner reads the same records.
	f.startOwner()
	await("farms", "farm", scheduler.Running)
	cancel("farms", "farm")
	await("farms", "farm", scheduler.Cancelled)
}

// TestIdentityOfAnotherOrganisationsJob guards against a job that is replaced, at the owner
// that has it, by one of another organisation with the same identity.
func TestIdentityOfAnotherOrganisationsJob(t *testing.T) {
	f := newFixture(t, 2, emulator.RunTime(func(scheduler.TaskRef) time.Duration { return time.Hour }))
	f.startOwner()
	// A takeover reads the newest record of each identity only. Once this job is known, it
	// is over.
	f.submit("first", tasks(1))
	f.await("first", scheduler.Running)
	for _, job := range []scheduler.Job{
		{
			ID:           "same",
			Organisation: "farm",
		},
		{
			ID:           "same",
			Organisation: "mill",
		},
		{
			ID: "last",
		},
	} {
		job.Queue.Service = service
		job.Phases = []scheduler.Phase{tasks(1)}
		job.Accepted = time.Now()
		record, err := conductor.JobRecord(job)
		f.c.Assert(err, qt.IsNil)
		f.append(record)
	}
	// Once the last job is known, the others have been read.
	f.await("last", scheduler.Running)
	_, found, err := f.owner.State(context.Background(), "same", "farm")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(found, qt.IsTrue)
	_, found, err = f.owner.State(context.Background(), "same", "mill")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(found, qt.IsFalse)
}

// TestInvalidStoredJobEndsNoOwner guards against a stored job that no caller could have
// handed in, such as one that another release wrote, and that takes each owner down.
func TestInvalidStoredJobEndsNoOwner(t *testing.T) {
	f := newFixture(t, 2, emulator.RunTime(func(scheduler.TaskRef) time.Duration { return time.Hour }))
	f.startOwner()
	for i, phase := range []scheduler.Phase{
		{
			Tasks:     1,
			DependsOn: []int{9},
		},
		{
			Tasks: -1,
		},
	} {
		record, err := conductor.JobRecord(scheduler.Job{
			ID:       "bad" + string(rune('0'+i)),
			Phases:   []scheduler.Phase{phase},
			Accepted: time.Now(),
		})
		f.c.Assert(err, qt.IsNil)
		f.append(record)
	}
	f.submit("good", tasks(1))
	f.await("good", scheduler.Running)
}
