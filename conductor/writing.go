package conductor

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// write stores progress, as long as there is some.
func (c *Conductor) write(ctx context.Context) error {
	for {
		select {
		case <-c.dirty:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mu.Lock()
		_, urgent := c.scheduler.Unwritten()
		c.mu.Unlock()
		linger := calmLinger
		if urgent {
			linger = urgentLinger
		}
		if err := timekeeper.Sleep(ctx, c.clock, linger); err != nil {
			return err
		}
		if err := c.writeNow(ctx); err != nil {
			return err
		}
	}
}

func (c *Conductor) writeNow(ctx context.Context) error {
	c.mu.Lock()
	write := c.scheduler.NextWrite()
	c.mu.Unlock()
	records := make([]storer.Record, 0, len(write.Jobs)+len(write.Drops)+1)
	for _, part := range write.Jobs {
		value, err := json.Marshal(part.Progress)
		if err != nil {
			return errors.Wrap(err, "conductor: encode progress")
		}
		records = append(records, storer.Record{
			Key:   part.ID,
			Value: value,
		})
	}
	for _, id := range write.Drops {
		records = append(records, storer.Record{
			Key: id,
		})
	}
	if len(write.Workers) > 0 {
		value, err := json.Marshal(write.Workers)
		if err != nil {
			return errors.Wrap(err, "conductor: encode the workers in use")
		}
		records = append(records, storer.Record{
			Key:   workersKey,
			Value: value,
		})
	}
	if len(records) > 0 {
		if err := c.appendProgress(ctx, records); err != nil {
			return err
		}
	}
	c.mu.Lock()
	c.scheduler.Written(write)
	c.signalMoved()
	c.mu.Unlock()
	c.poke()
	return c.dropJobs(ctx, write.Drops)
}

// appendProgress appends records as the owner, until that has succeeded.
func (c *Conductor) appendProgress(ctx context.Context, records []storer.Record) error {
	writer := &storer.Writer{
		Name:     writerName,
		Epoch:    c.token,
		Sequence: c.sequence,
	}
	for {
		// An append that is repeated with its number is made once.
		attempt, cancel := context.WithTimeout(ctx, storeWait)
		_, err := c.store.Append(attempt, c.progressPartition(), writer, records...)
		cancel()
		switch {
		case err == nil:
			c.sequence++
			return nil
		case errors.Is(err, storer.ErrFenced), errors.Is(err, storer.ErrConflict):
			return fmt.Errorf("%w: %w", ErrSuperseded, err)
		case ctx.Err() != nil:
			return ctx.Err()
		}
		c.metrics.storeErrors.Inc()
		if err := timekeeper.Sleep(ctx, c.clock, retryPause); err != nil {
			return err
		}
	}
}

// dropJobs drops jobs that need no longer be known.
func (c *Conductor) dropJobs(ctx context.Context, ids []string) error {
	if len(ids) == 0 {
		return nil
	}
	var records []storer.Record
	for _, id := range ids {
		records = append(records, storer.Record{
			Key: id,
		}, storer.Record{
			Key: id + cancelSuffix,
		})
	}
	if _, err := c.store.Append(ctx, c.jobsPartition(), nil, records...); err != nil {
		// The records stay until the next owner drops them.
		c.logger.WithError(err).Warn("conductor: ended jobs were not dropped")
	}
	return nil
}
