package conductor

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// failingStore answers each append after delay, and the first failures ones with an error.
// All other calls fail.
type failingStore struct {
	storer.Store
	delay    time.Duration
	failures int
	end      int64
}

// Append implements storer.Store.
func (s *failingStore) Append(_ context.Context, _ storer.Partition, _ *storer.Writer, records ...storer.Record) (int64, error) {
	time.Sleep(s.delay)
	if s.failures > 0 {
		s.failures--
		return 0, errors.New("no quorum")
	}
	s.end += int64(len(records))
	return s.end, nil
}

// TestSlowWriteIsLogged guards against runs that wait for a write of which the log says
// nothing, and against a line for each write while the store is slow.
func TestSlowWriteIsLogged(t *testing.T) {
	for _, test := range []struct {
		name     string
		delay    time.Duration
		failures int
		writes   int
		want     []log.Fields
	}{
		{
			name:   "prompt",
			delay:  20 * time.Millisecond,
			writes: 100,
		},
		{
			name:   "slow",
			delay:  200 * time.Millisecond,
			writes: 10,
			want: []log.Fields{
				{
					"tookMs":  int64(200),
					"tries":   1,
					"omitted": 0,
				},
				{
					"tookMs":  int64(200),
					"tries":   1,
					"omitted": 4,
				},
			},
		},
		{
			name:     "repeated",
			failures: 1,
			writes:   1,
			want: []log.Fields{
				{
					"tookMs":  int64(100),
					"tries":   2,
					"omitted": 0,
					"error":   "no quorum",
				},
			},
		},
		{
			name:     "failing for long",
			failures: 25,
			writes:   1,
			want: []log.Fields{
				{
					"tookMs":  int64(1000),
					"tries":   11,
					"omitted": 0,
					"error":   "no quorum",
				},
				{
					"tookMs":  int64(2000),
					"tries":   21,
					"omitted": 9,
					"error":   "no quorum",
				},
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				logs := memory.New()
				owner := New(&failingStore{
					delay:    test.delay,
					failures: test.failures,
				}, nil, nil, 0, 1, Logger(&log.Logger{
					Handler: logs,
					Level:   log.InfoLevel,
				}))
				owner.scheduler = scheduler.New(1, time.Now())
				for range test.writes {
					c.Assert(owner.appendProgress(context.Background(), []storer.Record{
						{
							Key:   "job",
							Value: []byte("progress"),
						},
					}), qt.IsNil)
				}
				c.Assert(logs.Entries, qt.HasLen, len(test.want))
				for i, want := range test.want {
					fields := logs.Entries[i].Fields
					c.Assert(fields["records"], qt.Equals, 1)
					c.Assert(fields["bytes"], qt.Equals, len("jobprogress"))
					for key, value := range want {
						c.Assert(fields[key], qt.Equals, value, qt.Commentf("line %d, %s", i, key))
					}
				}
			})
		})
	}
}

// TestWorkersInUseAreDividedAmongRecords guards against a next owner that does not know all
// workers on which there may be runs, as their list needs several records or fewer than before.
func TestWorkersInUseAreDividedAmongRecords(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.System())
	limits := storer.NewLimits(2000, 0)
	token := int64(0)
	for _, n := range []int{1, 3, 100, 200, 40, 1} {
		var workers []scheduler.WorkerEntry
		for i := range n {
			workers = append(workers, scheduler.WorkerEntry{
				Ref: scheduler.WorkerRef{
					ID:      fmt.Sprintf("i-%08x", i),
					Address: "10.0.0.1:7000",
				},
				Service: "desk",
			})
		}
		token++
		owner := New(store, nil, nil, 0, token, StoreLimits(limits))
		c.Assert(owner.loadPartition(t.Context()), qt.IsNil)
		parts, err := owner.encodeWorkers(workers)
		c.Assert(err, qt.IsNil)
		for _, part := range parts {
			c.Assert(limits.Fits(part.record), qt.IsTrue)
			c.Assert(owner.appendProgress(t.Context(), []storer.Record{part.record}), qt.IsNil)
		}
		records, _, err := storer.AllNewest(t.Context(), store, owner.progressPartition())
		c.Assert(err, qt.IsNil)
		read := owner.decodeProgress(records)
		c.Assert(read.undecodable, qt.Equals, 0)
		c.Assert(read.workersInUse, qt.HasLen, n)
		slices.SortFunc(read.workersInUse, func(a, b scheduler.WorkerEntry) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
		for i, entry := range read.workersInUse {
			c.Assert(entry.Ref.ID, qt.Equals, workers[i].Ref.ID)
		}
	}
}
