package conductor

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// writeLoop stores the progress on each write request, and checks the ownership when that is
// requested.
func (c *Conductor) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-c.writeRequests:
		case <-c.checkRequests:
			if !c.checkDue() {
				continue
			}
			if err := c.checkOwnership(ctx); err != nil {
				return err
			}
			continue
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mu.Lock()
		_, urgent := c.scheduler.Unwritten()
		c.mu.Unlock()
		delay := normalWriteDelay
		if urgent {
			delay = urgentWriteDelay
		}
		if err := timekeeper.Sleep(ctx, c.clock, delay); err != nil {
			return err
		}
		if err := c.writeProgress(ctx); err != nil {
			return err
		}
	}
}

func (c *Conductor) writeProgress(ctx context.Context) error {
	c.mu.Lock()
	write := c.scheduler.NextWrite()
	c.mu.Unlock()
	parts, err := c.encodeWrite(write)
	if err != nil {
		return err
	}
	unstorable, err := c.storeParts(ctx, parts)
	if err != nil {
		return err
	}
	if unstorable > 0 {
		// The ends in this write are acknowledged once the next one has stored that these
		// jobs have failed.
		c.requestWrite()
	} else {
		c.mu.Lock()
		c.scheduler.Written(scheduler.Write{
			Batch: write.Batch,
		})
		c.signalProgress()
		c.mu.Unlock()
	}
	c.requestTick()
	return nil
}

// appendProgress appends records as the owner. It tries again until the append succeeds, there
// is a later owner, or the store rejects the records although it takes writes of this owner.
func (c *Conductor) appendProgress(ctx context.Context, records []storer.Record) error {
	writer := &storer.Writer{
		Name:     writerName,
		Epoch:    c.token,
		Sequence: c.sequence,
	}
	c.setAppending(true)
	defer c.setAppending(false)
	w := progressWrite{
		records: records,
		began:   c.clock.Now(),
	}
	err := c.tryAppend(ctx, writer, &w)
	if err == nil {
		c.confirmWriter(w.began)
	}
	c.logWrite(w, err == nil)
	c.metrics.writeSeconds.Observe(c.clock.Now().Sub(w.began).Seconds())
	c.metrics.writeRecords.Observe(float64(len(records)))
	return err
}

// tryAppend makes the tries of appendProgress.
func (c *Conductor) tryAppend(ctx context.Context, writer *storer.Writer, w *progressWrite) error {
	for {
		// The store applies an append with the same sequence number only once.
		attemptCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		end, err := c.store.Append(attemptCtx, c.progressPartition(), writer, w.records...)
		cancel()
		w.tries++
		switch {
		case err == nil:
			c.sequence++
			return c.checkProgressEnd(end, len(w.records))
		case errors.Is(err, storer.ErrFenced), errors.Is(err, storer.ErrConflict):
			w.lastErr = err
			return fmt.Errorf("%w: %w", ErrSuperseded, err)
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, storer.ErrRejected) && c.servesWriter(ctx):
			w.lastErr = err
			c.metrics.storeErrors.Inc()
			return err
		}
		w.lastErr = err
		c.metrics.storeErrors.Inc()
		if c.clock.Now().Sub(w.began) >= writeLineInterval {
			c.logWrite(*w, false)
		}
		if err := timekeeper.Sleep(ctx, c.clock, retryPause); err != nil {
			return err
		}
	}
}

// checkProgressEnd records the end of the progress partition after a write of n records. It
// returns ErrSuperseded if the partition has not grown by as many since the write before: the
// store has taken the write for a repetition of another ownership's with the same epoch, and its
// records are not stored.
func (c *Conductor) checkProgressEnd(end int64, n int) error {
	if end >= c.progressEnd+int64(n) {
		c.progressEnd = end
		return nil
	}
	c.metrics.repeatedWrites.Inc()
	c.logger.WithFields(log.Fields{
		"partition": c.partition,
		"token":     c.token,
		"sequence":  c.sequence,
		"records":   n,
		"end":       end,
		"formerEnd": c.progressEnd,
	}).Error("conductor: the store took a write of progress for a repetition")
	return errors.Wrap(ErrSuperseded, "conductor: another ownership has the same epoch")
}

// writeLineInterval is the shortest time between two log lines on writes of progress.
const writeLineInterval = time.Second

// progressWrite is a write of progress.
type progressWrite struct {
	records []storer.Record
	began   time.Time
	// tries counts the tries that have ended, and lastErr is the error of the last one that
	// failed.
	tries   int
	lastErr error
}

// logWrite logs a write that has taken longer than scheduler.StoreStallTimeout or had a
// failed try, at most once per writeLineInterval.
func (c *Conductor) logWrite(w progressWrite, stored bool) {
	now := c.clock.Now()
	took := now.Sub(w.began)
	if took <= scheduler.StoreStallTimeout && w.lastErr == nil {
		return
	}
	omitted, allowed := c.writeLines.allow(1, writeLineInterval, now)
	if !allowed {
		return
	}
	size := 0
	for _, record := range w.records {
		size += len(record.Key) + len(record.Value)
	}
	logEntry := c.logger.WithFields(log.Fields{
		"partition": c.partition,
		"token":     c.token,
		"records":   len(w.records),
		"bytes":     size,
		"tries":     w.tries,
		"tookMs":    took.Milliseconds(),
		"omitted":   omitted,
	})
	if w.lastErr != nil {
		logEntry = logEntry.WithError(w.lastErr)
	}
	if stored {
		logEntry.Info("conductor: a write of progress took long or was repeated")
	} else {
		logEntry.Warn("conductor: a write of progress has not succeeded")
	}
}
