package conductor

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// noAdvice is an adviser that is never asked.
type noAdvice struct {
	Adviser
}

// AdviceLimits implements Adviser.
func (noAdvice) AdviceLimits() (quick, long int) { return 1, 1 }

// runOwner runs an owner for a time.
func runOwner(c *qt.C, store storer.Store, token int64, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	err := New(store, nil, noAdvice{}, 0, token, Scheduling(scheduler.Retention(20*time.Second))).Run(ctx)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
}

// storedKeys returns the keys of the jobs partition, sorted.
func storedKeys(c *qt.C, store storer.Store) []string {
	records, _, err := storer.AllNewest(context.Background(), store, storer.Partition{
		Topic: JobsTopic,
	})
	c.Assert(err, qt.IsNil)
	keys := []string{}
	for _, record := range records {
		keys = append(keys, record.Key)
	}
	slices.Sort(keys)
	return keys
}

// TestCancellationOfAnUnknownJobIsDeleted guards against cancellations of jobs that nobody
// submitted, which stay in the store for good.
func TestCancellationOfAnUnknownJobIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := storer.NewMemory(timekeeper.System())
		appendRecords(c, store, JobsTopic, cancelRecord(c, "early", ""), jobRecord(c, "waits", ""))
		appendRecords(c, store, JobsTopic, cancelRecord(c, "nobodys", ""))
		runOwner(c, store, 1, 25*time.Second)
		c.Assert(storedKeys(c, store), qt.DeepEquals, []string{"early/cancel", "nobodys/cancel", "waits"})
		// The next owner starts anew.
		runOwner(c, store, 2, 25*time.Second)
		c.Assert(storedKeys(c, store), qt.DeepEquals, []string{"early/cancel", "nobodys/cancel", "waits"})
		runOwner(c, store, 3, 45*time.Second)
		c.Assert(storedKeys(c, store), qt.DeepEquals, []string{"waits"})
	})
}

// repeatingStore appends records just before a conditional append.
type repeatingStore struct {
	*storer.Memory
	records []storer.Record
}

// AppendAt implements storer.Store.
func (s *repeatingStore) AppendAt(ctx context.Context, partition storer.Partition, expectedEnd int64, records ...storer.Record) (int64, error) {
	first := s.records
	s.records = nil
	if len(first) > 0 {
		if _, err := s.Append(ctx, partition, nil, first...); err != nil {
			return 0, err
		}
	}
	return s.Memory.AppendAt(ctx, partition, expectedEnd, records...)
}

// TestRepeatedCancellationIsNotDeleted guards against a cancellation that is acknowledged again
// while its first record is being deleted, and then gone.
func TestRepeatedCancellationIsNotDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &repeatingStore{
			Memory:  storer.NewMemory(timekeeper.System()),
			records: []storer.Record{cancelRecord(c, "j", "")},
		}
		appendRecords(c, store, JobsTopic, cancelRecord(c, "j", ""))
		runOwner(c, store, 1, 59*time.Second)
		c.Assert(storedKeys(c, store), qt.DeepEquals, []string{"j/cancel"})
		c.Assert(store.records, qt.HasLen, 0)
		appendRecords(c, store, JobsTopic, jobRecord(c, "j", ""))
		check := newSteppedOwner(c, store, 2)
		check.work()
		c.Assert(check.state("j"), qt.Equals, scheduler.Cancelled)
	})
}

// TestCancellationsOfOrganisationsAreDeleted guards against cancellations that stay in the store
// after the job that they name.
func TestCancellationsOfOrganisationsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := storer.NewMemory(timekeeper.System())
		shared, err := SharedCancelRecord("j", "barn")
		c.Assert(err, qt.IsNil)
		appendRecords(c, store, JobsTopic, cancelRecord(c, "j", "mill"), jobRecord(c, "j", "farm"), cancelRecord(c, "j", "farm"), shared)
		runOwner(c, store, 1, 25*time.Second)
		c.Assert(storedKeys(c, store), qt.DeepEquals, []string{"j", "j/cancel", "j/cancel/farm", "j/cancel/mill"})
		runOwner(c, store, 2, 75*time.Second)
		c.Assert(storedKeys(c, store), qt.DeepEquals, []string{})
	})
}
