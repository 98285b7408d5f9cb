package conductor

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// endingStore fences its writer off after a number of further appends with records.
type endingStore struct {
	*storer.Memory
	left int
}

// Append implements storer.Store.
func (s *endingStore) Append(ctx context.Context, partition storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	if writer != nil && len(records) > 0 {
		if s.left == 0 {
			return 0, storer.ErrFenced
		}
		s.left--
	}
	return s.Memory.Append(ctx, partition, writer, records...)
}

// TestDividedWorkerListIsNeverPartlyStored guards against a task that runs twice: an owner ends
// between two calls that store the list of the workers in use, and the next owner does not know
// some workers on which runs are active.
func TestDividedWorkerListIsNeverPartlyStored(t *testing.T) {
	workers := func(names string, n int) []scheduler.WorkerEntry {
		var entries []scheduler.WorkerEntry
		for _, name := range strings.Split(names, "") {
			for i := range n {
				entries = append(entries, scheduler.WorkerEntry{
					Ref: scheduler.WorkerRef{
						ID:      fmt.Sprintf("%s%02d", name, i),
						Address: "10.0.0.1:80",
					},
					Service: "desk",
				})
			}
		}
		return entries
	}
	for name, lists := range map[string][2]string{
		"grows":   {"m", "am"},
		"shrinks": {"amz", "m"},
		"shifts":  {"amz", "mpz"},
	} {
		for i := range 48 {
			left, jobCount := i%4, 1+i/4
			t.Run(fmt.Sprintf("%s, %d calls, %d jobs", name, left, jobCount), func(t *testing.T) {
				c := qt.New(t)
				ctx := context.Background()
				store := &endingStore{
					Memory: storer.NewMemory(timekeeper.System()),
					left:   100,
				}
				owner, _ := loggedOwner(store)
				// All workers fit one call, though not beside the progress of jobs.
				owner.limits = storer.NewLimits(2000, 9000)
				c.Assert(owner.loadPartition(ctx), qt.IsNil)
				var jobs []scheduler.JobProgress
				for i := range jobCount {
					jobs = append(jobs, scheduler.JobProgress{
						ID: fmt.Sprintf("j%d", i),
						Progress: scheduler.Progress{
							State:   scheduler.Running,
							Workers: []string{strings.Repeat("w", 700)},
						},
					})
				}
				for round, names := range lists {
					if round == 1 {
						store.left = left
					}
					parts, err := owner.encodeWrite(scheduler.Write{
						Jobs:    jobs,
						Workers: workers(names, 10),
					})
					c.Assert(err, qt.IsNil)
					_, err = owner.storeParts(ctx, parts)
					if round == 0 {
						c.Assert(err, qt.IsNil)
					}
				}
				next := New(store.Memory, nil, nil, 0, 2)
				progress, _, err := storer.AllNewest(ctx, store, owner.progressPartition())
				c.Assert(err, qt.IsNil)
				known := make(map[string]bool)
				for _, entry := range next.decodeProgress(progress).workersInUse {
					known[entry.Ref.ID] = true
				}
				for _, names := range strings.Split(lists[0], "") {
					if !strings.Contains(lists[1], names) {
						continue
					}
					for _, entry := range workers(names, 10) {
						c.Check(known[entry.Ref.ID], qt.IsTrue, qt.Commentf("worker %s", entry.Ref.ID))
					}
				}
			})
		}
	}
}
