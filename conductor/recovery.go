package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// recover shuts out the former owner and reads what it stored.
func (c *Conductor) recover(ctx context.Context) error {
	for {
		err := c.load(ctx)
		if err == nil || errors.Is(err, ErrSuperseded) || ctx.Err() != nil {
			return err
		}
		c.logger.WithError(err).WithField("partition", c.partition).Warn("conductor: cannot read the partition yet")
		if err := timekeeper.Sleep(ctx, c.clock, retryPause); err != nil {
			return err
		}
	}
}

func (c *Conductor) load(ctx context.Context) error {
	_, err := c.store.Append(ctx, c.progressPartition(), &storer.Writer{
		Name:  writerName,
		Epoch: c.token,
	})
	if errors.Is(err, storer.ErrFenced) {
		return fmt.Errorf("%w: %w", ErrSuperseded, err)
	}
	if err != nil {
		return err
	}
	var jobs, progress []storer.Record
	var next int64
	var group errgroup.Group
	group.Go(func() error {
		var err error
		progress, _, err = storer.AllNewest(ctx, c.store, c.progressPartition())
		return err
	})
	group.Go(func() error {
		var err error
		jobs, next, err = storer.AllNewest(ctx, c.store, c.jobsPartition())
		return err
	})
	if err := group.Wait(); err != nil {
		return err
	}
	now := c.clock.Now()
	s := scheduler.New(c.token, now, c.options...)
	known, used := c.decodeProgress(progress)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Confirm(c.confirmed)
	s.Expect(used)
	s.SetWorkers(c.entries)
	c.scheduler = s
	c.takeRecords(jobs, known, now)
	c.next = next
	c.ready = true
	return nil
}

// decodeProgress returns the progress of each job, and the workers in use.
func (c *Conductor) decodeProgress(records []storer.Record) (map[string]*scheduler.Progress, []scheduler.WorkerEntry) {
	known := make(map[string]*scheduler.Progress, len(records))
	var used []scheduler.WorkerEntry
	for _, record := range records {
		var err error
		if record.Key == workersKey {
			err = json.Unmarshal(record.Value, &used)
		} else {
			progress := new(scheduler.Progress)
			if err = json.Unmarshal(record.Value, progress); err == nil {
				known[record.Key] = progress
			}
		}
		if err != nil {
			c.logger.WithError(err).WithField("id", record.Key).Error("conductor: stored progress cannot be read")
		}
	}
	return known, used
}

// takeRecords takes in records of the jobs' topic. The progress is nil for
// records that came after the takeover.
func (c *Conductor) takeRecords(records []storer.Record, known map[string]*scheduler.Progress, now time.Time) {
	var cancels []string
	for _, record := range records {
		if record.Value == nil || record.Key == "" {
			continue
		}
		if id, found := strings.CutSuffix(record.Key, cancelSuffix); found {
			cancels = append(cancels, id)
			continue
		}
		var job scheduler.Job
		if err := json.Unmarshal(record.Value, &job); err != nil {
			c.logger.WithError(err).WithField("id", record.Key).Error("conductor: stored job cannot be read")
			continue
		}
		c.scheduler.AddJob(job, known[job.ID], known != nil, now)
	}
	for _, id := range cancels {
		if !c.scheduler.Cancel(id, now) {
			c.logger.WithField("id", id).Warn("conductor: an unknown job is cancelled")
		}
	}
}

// follow reads new jobs.
func (c *Conductor) follow(ctx context.Context) error {
	for {
		c.mu.Lock()
		next := c.next
		c.mu.Unlock()
		page, err := c.store.Read(ctx, c.jobsPartition(), next, readWait)
		if errors.Is(err, storer.ErrTrimmed) {
			page.Records, page.Next, err = storer.AllNewest(ctx, c.store, c.jobsPartition())
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			if err := timekeeper.Sleep(ctx, c.clock, retryPause); err != nil {
				return err
			}
			continue
		}
		c.takePage(next, page)
	}
}

// takePage takes in what was read from an offset, unless that was done before.
func (c *Conductor) takePage(from int64, page storer.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != from {
		return
	}
	c.takeRecords(page.Records, nil, c.clock.Now())
	c.next = page.Next
	c.signalMoved()
	if len(page.Records) > 0 {
		c.poke()
	}
}
