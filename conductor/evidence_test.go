package conductor

import (
	"context"
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

// loggedOwner returns an owner that is not running, and its log.
func loggedOwner(store storer.Store) (*Conductor, *memory.Handler) {
	logs := memory.New()
	return New(store, nil, nil, 0, 1, Logger(&log.Logger{
		Handler: logs,
		Level:   log.InfoLevel,
	})), logs
}

// lines returns the fields of the log lines with a message.
func lines(logs *memory.Handler, message string) []log.Fields {
	var found []log.Fields
	for _, logEntry := range logs.Entries {
		if logEntry.Message == message {
			found = append(found, logEntry.Fields)
		}
	}
	return found
}

func appendRecords(c *qt.C, store storer.Store, topic string, records ...storer.Record) {
	_, err := store.Append(context.Background(), storer.Partition{
		Topic: topic,
	}, nil, records...)
	c.Assert(err, qt.IsNil)
}

// TestTakeoverCountsJobsWithoutProgress guards against a takeover that takes ended jobs for new
// ones and leaves no trace of it.
func TestTakeoverCountsJobsWithoutProgress(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.System())
	for id, age := range map[string]time.Duration{
		"new":     time.Second,
		"old":     time.Hour,
		"running": 2 * time.Hour,
	} {
		record, err := JobRecord(scheduler.Job{
			ID: id,
			Phases: []scheduler.Phase{
				{
					Tasks: 1,
				},
			},
			Accepted: time.Now().Add(-age),
		})
		c.Assert(err, qt.IsNil)
		appendRecords(c, store, JobsTopic, record)
	}
	cancel, err := CancelRecord("new", "")
	c.Assert(err, qt.IsNil)
	appendRecords(c, store, JobsTopic, cancel)
	appendRecords(c, store, ProgressTopic, storer.Record{
		Key:   "running",
		Value: []byte(`{"state":"running"}`),
	}, storer.Record{
		Key:   "odd",
		Value: []byte("["),
	})
	owner, logs := loggedOwner(store)
	c.Assert(owner.loadPartition(context.Background()), qt.IsNil)
	found := lines(logs, "conductor: the jobs of the partition were read")
	c.Assert(found, qt.HasLen, 1)
	c.Assert(found[0]["jobs"], qt.Equals, 3)
	c.Assert(found[0]["cancellations"], qt.Equals, 1)
	c.Assert(found[0]["withoutProgress"], qt.Equals, 2)
	c.Assert(found[0]["undecodable"], qt.Equals, 1)
	c.Assert(found[0]["id"], qt.Equals, "old")
	c.Assert(found[0]["oldestOfTheseMs"].(int64) >= time.Hour.Milliseconds(), qt.IsTrue)
}

// TestWriteTakenForRepetitionEndsTheOwnership guards against records that the store acknowledges
// and does not keep, as an earlier owner with the same epoch wrote with the same sequence number.
func TestWriteTakenForRepetitionEndsTheOwnership(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.System())
	for attempt, want := range []int{0, 1} {
		owner, logs := loggedOwner(store)
		owner.sequence = 0
		c.Assert(owner.loadPartition(context.Background()), qt.IsNil)
		err := owner.appendProgress(context.Background(), []storer.Record{
			{
				Key:   "job",
				Value: []byte{byte('0' + attempt)},
			},
		})
		c.Assert(errors.Is(err, ErrSuperseded), qt.Equals, want > 0)
		c.Assert(lines(logs, "conductor: the store took a write of progress for a repetition"), qt.HasLen, want)
	}
}

// unreadableStore fails all reads until a time.
type unreadableStore struct {
	storer.Store
	until time.Time
}

// Read implements storer.Store.
func (s *unreadableStore) Read(ctx context.Context, partition storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	if time.Now().Before(s.until) {
		return storer.Page{}, storer.ErrUnavailable
	}
	return s.Store.Read(ctx, partition, from, wait)
}

// TestOwnerSaysThatItCannotReadJobs guards against an owner that does not read cancellations and
// says nothing of it.
func TestOwnerSaysThatItCannotReadJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		owner, logs := loggedOwner(&unreadableStore{
			Store: storer.NewMemory(timekeeper.System()),
			until: time.Now().Add(5 * time.Second),
		})
		c.Assert(owner.loadPartition(context.Background()), qt.IsNil)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c.Assert(owner.followJobs(ctx), qt.ErrorIs, context.DeadlineExceeded)
		lost := lines(logs, "conductor: the jobs partition cannot be read")
		c.Assert(lost, qt.HasLen, 1)
		c.Assert(lost[0]["ageMs"], qt.Equals, int64(2000))
		back := lines(logs, "conductor: the jobs partition is read again")
		c.Assert(back, qt.HasLen, 1)
		c.Assert(back[0]["ageMs"], qt.Equals, int64(5400))
	})
}

// TestCancellationSaysWhatItFound guards against a cancellation of an unknown job that looks like
// one of another organisation's.
func TestCancellationSaysWhatItFound(t *testing.T) {
	c := qt.New(t)
	owner, logs := loggedOwner(storer.NewMemory(timekeeper.System()))
	c.Assert(owner.loadPartition(context.Background()), qt.IsNil)
	job, err := JobRecord(scheduler.Job{
		ID:           "farms",
		Organisation: "farm",
		Phases: []scheduler.Phase{
			{
				Tasks: 1,
			},
		},
	})
	c.Assert(err, qt.IsNil)
	records := []storer.Record{job}
	for _, named := range []struct{ id, organisation string }{
		{"farms", "mill"},
		{"nobodys", "farm"},
		{"farms", "farm"},
	} {
		record, err := CancelRecord(named.id, named.organisation)
		c.Assert(err, qt.IsNil)
		records = append(records, record)
	}
	owner.applyPage(0, storer.Page{
		Records: records,
	})
	var found []any
	for _, logEntry := range logs.Entries {
		if what, has := logEntry.Fields["found"]; has {
			found = append(found, what)
		}
	}
	c.Assert(found, qt.DeepEquals, []any{"other organisation", "unknown", "pending"})
}
