package conductor

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// cancellationsInterval is the interval at which the records of outdated cancellations
	// are deleted. They are few, and nothing waits for it.
	cancellationsInterval = 10 * time.Second
	// maxDeletedCancellations limits the cancellations of one such append, and so its size to
	// some 100 KB.
	maxDeletedCancellations = 1000
	// maxUnknownCancelLines limits the log lines on cancellations of unknown jobs in each
	// unknownCancelLineInterval: any caller can cancel jobs that nobody submitted.
	maxUnknownCancelLines     = 20
	unknownCancelLineInterval = time.Second
)

// cancellation is the value of a record that cancels a job.
type cancellation struct {
	// Organisation is the organisation that cancels the job, or empty if the caller
	// belongs to none.
	Organisation string `json:"organisation,omitempty"`
}

// CancelRecord returns the record that cancels a job on behalf of an organisation, which
// may be empty. It has no effect on a job of another organisation. Each organisation has a
// key of its own, since the store keeps the newest record of a key only.
func CancelRecord(id, organisation string) (storer.Record, error) {
	record, err := SharedCancelRecord(id, organisation)
	record.Key = cancelKey(id, organisation)
	return record, err
}

// SharedCancelRecord is like CancelRecord with the key that owners of older releases read, which
// is the same for all organisations.
func SharedCancelRecord(id, organisation string) (storer.Record, error) {
	value, err := json.Marshal(cancellation{
		Organisation: organisation,
	})
	if err != nil {
		return storer.Record{}, errors.Wrap(err, "conductor: encode a cancellation")
	}
	return storer.Record{
		Key:   cancelKey(id, ""),
		Value: value,
	}, nil
}

func cancelKey(id, organisation string) string {
	if organisation == "" {
		return id + cancelSuffix
	}
	return id + cancelSuffix + "/" + organisation
}

// cancelledJob returns the identity of the job that a record with the given key cancels. found
// is false if the record is not a cancellation.
func cancelledJob(key string) (id string, found bool) {
	id, organisation, found := strings.Cut(key, cancelSuffix)
	if !found || organisation != "" && organisation[0] != '/' {
		return "", false
	}
	return id, true
}

// storedCancellation is a cancellation together with the offset of its record.
type storedCancellation struct {
	scheduler.Cancellation
	offset int64
}

// logCancellation logs a cancellation that is about to be applied, and counts it. A takeover
// reads all cancellations of jobs that are kept, so it logs only those without effect.
func (c *Conductor) logCancellation(cancel storedCancellation, takeover bool) {
	state, known := c.scheduler.State(cancel.Job)
	found := string(state)
	foreign := known && !c.scheduler.Accessible(cancel.Job, cancel.Organisation)
	switch {
	case !known:
		found = "unknown"
	case foreign:
		found = "other organisation"
	}
	c.metrics.cancellations.WithLabelValues(found).Inc()
	logEntry := c.logger.WithFields(log.Fields{
		"id":           cancel.Job,
		"organisation": cancel.Organisation,
		"partition":    c.partition,
		"token":        c.token,
		"offset":       cancel.offset,
		"found":        found,
	})
	switch {
	case foreign:
		logEntry.Warn("conductor: a cancellation names a job of another organisation")
	case !known:
		if omitted, allowed := c.unknownCancelLines.allow(maxUnknownCancelLines, unknownCancelLineInterval, c.clock.Now()); allowed {
			logEntry.WithField("omittedLines", omitted).Info("conductor: a cancellation names an unknown job and is kept for it")
		}
	case !takeover:
		logEntry.Info("conductor: a cancellation was read")
	}
}

// deleteCancellations deletes the records of cancellations whose job has not come.
func (c *Conductor) deleteCancellations(ctx context.Context) error {
	return timekeeper.Every(ctx, c.clock, cancellationsInterval, func(ctx context.Context) {
		for more := true; more; {
			more = c.deleteOutdatedCancellations(ctx)
		}
	})
}

// deleteOutdatedCancellations deletes some records of outdated cancellations, and reports
// whether there may be more. They are deleted only if the partition still ends where this owner
// has read to, so that neither a repeated cancellation nor the job can have come in between,
// however late the store carries it out.
func (c *Conductor) deleteOutdatedCancellations(ctx context.Context) (more bool) {
	c.mu.Lock()
	now := c.clock.Now()
	outdated := c.scheduler.OutdatedCancellations(maxDeletedCancellations, now)
	next := c.next
	c.mu.Unlock()
	if len(outdated) == 0 {
		return false
	}
	records := make([]storer.Record, 0, 2*len(outdated))
	for _, cancellation := range outdated {
		records = append(records, storer.Record{
			Key: cancelKey(cancellation.Job, ""),
		})
		if cancellation.Organisation != "" {
			records = append(records, storer.Record{
				Key: cancelKey(cancellation.Job, cancellation.Organisation),
			})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := c.store.AppendAt(ctx, c.jobsPartition(), next, records...)
	logEntry := c.logger.WithFields(log.Fields{
		"partition":     c.partition,
		"token":         c.token,
		"cancellations": len(outdated),
		"first":         outdated[0].Job,
	})
	switch {
	case err == nil:
		logEntry.Info("conductor: cancellations whose jobs have not come were deleted")
	case errors.Is(err, storer.ErrConflict):
		logEntry.Debug("conductor: cancellations were not deleted as the partition has new records")
		return false
	default:
		logEntry.WithError(err).Info("conductor: deleting cancellations failed, trying again")
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.ForgetCancellations(outdated, now)
	return len(outdated) == maxDeletedCancellations
}
