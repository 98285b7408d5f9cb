package conductor_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
)

// pickyStore rejects appends to the progress that it takes for invalid.
type pickyStore struct {
	storer.Store
	rejects func(records []storer.Record) bool
}

// Append implements storer.Store.
func (s *pickyStore) Append(ctx context.Context, partition storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	if partition.Topic == conductor.ProgressTopic && s.rejects(records) {
		return 0, errors.Wrap(storer.ErrRejected, "status 413")
	}
	return s.Store.Append(ctx, partition, writer, records...)
}

// totalBytes returns the size of the keys and values.
func totalBytes(records []storer.Record) int {
	total := 0
	for _, record := range records {
		total += len(record.Key) + len(record.Value)
	}
	return total
}

// awaitWithin waits until the owner returns the given state of a job, and fails the test
// after the given time.
func (f *fixture) awaitWithin(limit time.Duration, id string, want scheduler.JobState) {
	for until := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		state, found, err := f.owner.State(context.Background(), id, "")
		if err == nil && found && state == want {
			return
		}
		f.c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("job %s is %q after %v, want %q", id, state, limit, want))
	}
}

// TestRejectedProgressHoldsUpOnlyItsJob guards against a partition in which no job makes
// progress any more, as the progress of one job can never be stored.
func TestRejectedProgressHoldsUpOnlyItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		f.ownerStore = &pickyStore{
			Store: f.store,
			rejects: func(records []storer.Record) bool {
				for _, record := range records {
					if record.Key == "big" && len(record.Value) > 100 {
						return true
					}
				}
				return false
			},
		}
		f.startOwner()
		f.submit("before", tasks(1))
		f.awaitWithin(3*time.Second, "before", scheduler.Completed)
		// Each phase adds to the stored progress.
		var phases []scheduler.Phase
		for range 5 {
			phases = append(phases, tasks(2))
		}
		f.submit("big", phases...)
		for i := range 10 {
			f.submit(fmt.Sprintf("job%d", i), tasks(2), tasks(1))
			f.awaitWithin(3*time.Second, fmt.Sprintf("job%d", i), scheduler.Completed)
		}
		f.awaitWithin(3*time.Second, "big", scheduler.Failed)
		f.startOwner()
		f.awaitWithin(3*time.Second, "big", scheduler.Failed)
		f.checkNoViolations()
		f.stopOwners()
	})
}

// TestProgressAboveTheRecordLimitIsNotSent guards against a write that can only be rejected,
// and against a job that fails so without a log line that names it and the size.
func TestProgressAboveTheRecordLimitIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 1200
		logs := memory.New()
		f := newFixture(t, 3)
		f.ownerStore = &pickyStore{
			Store: f.store,
			rejects: func(records []storer.Record) bool {
				for i := range records {
					f.c.Check(totalBytes(records[i:i+1]) <= limit, qt.IsTrue)
				}
				return false
			},
		}
		f.ownerOptions = []conductor.Option{
			conductor.StoreLimits(storer.NewLimits(limit, 0)),
			conductor.Logger(&log.Logger{
				Handler: logs,
				Level:   log.ErrorLevel,
			}),
		}
		f.startOwner()
		var phases []scheduler.Phase
		for range 60 {
			phases = append(phases, tasks(1))
		}
		f.submit("big", phases...)
		f.submit("small", tasks(1))
		f.awaitWithin(3*time.Second, "small", scheduler.Completed)
		f.awaitWithin(20*time.Second, "big", scheduler.Failed)
		f.c.Assert(logs.Entries, qt.HasLen, 1)
		fields := logs.Entries[0].Fields
		f.c.Assert(fields["id"], qt.Equals, "big")
		f.c.Assert(fields["limit"], qt.Equals, limit)
		f.c.Assert(fields["bytes"].(int) > limit, qt.IsTrue)
		f.checkNoViolations()
		f.stopOwners()
	})
}

// TestLargeWriteIsDivided guards against a partition in which nothing is stored any more, as
// what is to be stored at once is too large for one call.
func TestLargeWriteIsDivided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		f.ownerStore = &pickyStore{
			Store:   f.store,
			rejects: func(records []storer.Record) bool { return totalBytes(records) > 3000 },
		}
		for i := range 100 {
			id := fmt.Sprintf("job%02d", i)
			f.submit(id, tasks(1))
			record, err := conductor.CancelRecord(id, "")
			f.c.Assert(err, qt.IsNil)
			f.append(record)
		}
		f.submit("last", tasks(1))
		f.startOwner()
		f.awaitWithin(5*time.Second, "last", scheduler.Completed)
		for i := range 100 {
			f.awaitWithin(5*time.Second, fmt.Sprintf("job%02d", i), scheduler.Cancelled)
		}
		f.checkNoViolations()
		f.stopOwners()
	})
}

// TestListOfManyWorkersIsStored guards against an owner that starts nothing, as the list of
// its workers is larger than a record may be.
func TestListOfManyWorkersIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const recordBytes = 262144
		f := newFixture(t, 200)
		f.ownerStore = &pickyStore{
			Store: f.store,
			rejects: func(records []storer.Record) bool {
				for i := range records {
					if totalBytes(records[i:i+1]) >= recordBytes {
						return true
					}
				}
				return false
			},
		}
		entries := f.fleet.Entries()
		for i := range entries {
			entries[i].Labels = []string{strings.Repeat("x", 2000)}
		}
		owner, _ := f.startOwner()
		owner.SetWorkers(entries)
		f.submit("j", tasks(200), tasks(100))
		f.awaitWithin(10*time.Second, "j", scheduler.Completed)
		// The next owner, which the directory tells of no worker, asks all of them.
		f.submit("k", tasks(10))
		f.awaitWithin(10*time.Second, "k", scheduler.Completed)
		f.checkNoViolations()
		f.stopOwners()
	})
}
