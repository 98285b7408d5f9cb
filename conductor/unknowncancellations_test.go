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
