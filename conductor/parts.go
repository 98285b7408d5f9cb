package conductor

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// maxRejections is how often the store may reject the progress of a job, sent alone, before the
// job fails.
const maxRejections = 2

// writePart is the smallest part of a write that can be stored without the others.
type writePart struct {
	record storer.Record
	// job is the identity of the job whose progress this is, empty for other records.
	job string
	// joined is set if the part replaces a record together with the part before, so that both
	// are stored with one call if one call can hold them.
	joined bool
	// stored is what the scheduler is told once the record is stored.
	stored scheduler.Write
}

// workerList is the value of the second and further records of the workers in use. Older
// releases, which take it for the progress of an unknown job, need an object.
type workerList struct {
	Workers []scheduler.WorkerEntry `json:"workers"`
}

// encodeWrite divides a write into parts. The progress of the jobs goes before the workers in
// use, so that the store lists a worker for as long as it lists one for a job.
func (c *Conductor) encodeWrite(write scheduler.Write) ([]writePart, error) {
	parts := make([]writePart, 0, len(write.Jobs)+len(write.Deletions)+3)
	for i, job := range write.Jobs {
		record, err := encodeJobProgress(job)
		if err != nil {
			return nil, err
		}
		parts = append(parts, writePart{
			record: record,
			job:    job.ID,
			stored: scheduler.Write{
				Jobs: write.Jobs[i : i+1],
			},
		})
	}
	for _, id := range write.Deletions {
		parts = append(parts, writePart{
			record: storer.Record{
				Key: id,
			},
		})
	}
	for _, id := range write.GuestDeletions {
		parts = append(parts, writePart{
			record: storer.Record{
				Key: guestKey(id),
			},
		})
	}
	workerParts, err := c.encodeWorkers(write.Workers)
	if err != nil {
		return nil, err
	}
	parts = append(parts, workerParts...)
	if write.Silent != nil {
		record, err := encodeRecord(silentKey, write.Silent)
		if err != nil {
			return nil, err
		}
		parts = append(parts, writePart{
			record: record,
			stored: scheduler.Write{
				Silent: write.Silent,
			},
		})
	}
	if write.Allotments != nil {
		record, err := encodeRecord(allotmentsKey, write.Allotments)
		if err != nil {
			return nil, err
		}
		parts = append(parts, writePart{
			record: record,
			stored: scheduler.Write{
				Allotments: write.Allotments,
			},
		})
	}
	return parts, nil
}

func encodeJobProgress(job scheduler.JobProgress) (storer.Record, error) {
	if job.Guest != nil {
		return encodeRecord(guestKey(job.ID), job.Guest)
	}
	return encodeRecord(job.ID, job.Progress)
}

func encodeRecord(key string, value any) (storer.Record, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return storer.Record{}, errors.Wrapf(err, "conductor: encode the record %q", key)
	}
	return storer.Record{
		Key:   key,
		Value: data,
	}, nil
}

// encodeWorkers divides the list of the workers in use among as many records as it needs. It
// returns none if the list need not change.
func (c *Conductor) encodeWorkers(workers []scheduler.WorkerEntry) ([]writePart, error) {
	if len(workers) == 0 {
		return nil, nil
	}
	var parts []writePart
	for rest := workers; len(rest) > 0; {
		n := len(rest)
		record, err := encodeWorkerRecord(len(parts), rest[:n])
		for err == nil && n > 1 && !c.limits.Fits(record) {
			n /= 2
			record, err = encodeWorkerRecord(len(parts), rest[:n])
		}
		if err != nil {
			return nil, err
		}
		parts = append(parts, writePart{
			record: record,
			joined: len(parts) > 0,
			stored: scheduler.Write{
				Workers: rest[:n],
			},
		})
		rest = rest[n:]
	}
	used := len(parts)
	for i := used; i < c.workerRecords; i++ {
		parts = append(parts, writePart{
			record: storer.Record{
				Key: workersKeyOf(i),
			},
			joined: true,
		})
	}
	c.workerRecords = used
	return parts, nil
}

func encodeWorkerRecord(index int, workers []scheduler.WorkerEntry) (storer.Record, error) {
	if index == 0 {
		return encodeRecord(workersKey, workers)
	}
	return encodeRecord(workersKeyOf(index), workerList{
		Workers: workers,
	})
}

// workersKeyOf returns the key of a record of the workers in use, counted from 0.
func workersKeyOf(index int) string {
	if index == 0 {
		return workersKey
	}
	return workersKey + "/" + strconv.Itoa(index)
}

// isWorkersKey reports whether the key is that of the second or a further record of the
// workers in use, and returns its index.
func isWorkersKey(key string) (index int, found bool) {
	digits, found := strings.CutPrefix(key, workersKey+"/")
	if !found {
		return 0, false
	}
	index, err := strconv.Atoi(digits)
	return index, err == nil && index > 0
}

// storeParts stores the parts in order, as many in each call as the store takes, and tells
// the scheduler after each call. It returns the number of jobs whose progress is not stored
// and never will be; these have failed.
func (c *Conductor) storeParts(ctx context.Context, parts []writePart) (int, error) {
	unstorable := 0
	for len(parts) > 0 {
		n := c.partsOfCall(parts)
		failed, err := c.storeCall(ctx, parts[:n])
		if err != nil {
			return unstorable, err
		}
		unstorable += failed
		if parts = parts[n:]; len(parts) > 0 {
			c.requestTick()
		}
	}
	return unstorable, nil
}

// partsOfCall returns how many of the parts, at least one, the next call stores.
func (c *Conductor) partsOfCall(parts []writePart) int {
	size, whole := 0, 0
	for n, part := range parts {
		if n > 0 && !part.joined {
			whole = n
		}
		size += storer.Size(part.record)
		if n > 0 && !c.limits.FitsRequest(size) {
			return cmp.Or(whole, n)
		}
	}
	return len(parts)
}

// storeCall stores parts with one call. If the store rejects it, each half is stored on its
// own. The progress of a job that the store rejects alone makes the job fail, and anything
// else is tried again.
func (c *Conductor) storeCall(ctx context.Context, parts []writePart) (int, error) {
	records := make([]storer.Record, len(parts))
	for i, part := range parts {
		records[i] = part.record
	}
	for rejections := 1; ; rejections++ {
		err := errTooLarge
		if len(parts) > 1 || c.limits.Fits(records[0]) || parts[0].job == "" {
			err = c.appendProgress(ctx, records)
		}
		switch {
		case err == nil:
			c.partsStored(parts)
			return 0, nil
		case !errors.Is(err, storer.ErrRejected):
			return 0, err
		case len(parts) > 1:
			first, err := c.storeCall(ctx, parts[:len(parts)/2])
			if err != nil {
				return first, err
			}
			second, err := c.storeCall(ctx, parts[len(parts)/2:])
			return first + second, err
		case parts[0].job != "" && (rejections >= maxRejections || errors.Is(err, errTooLarge)):
			if c.rejectProgress(parts[0], err) {
				return 1, nil
			}
		}
		if err := timekeeper.Sleep(ctx, c.clock, retryPause); err != nil {
			return 0, err
		}
	}
}

// errTooLarge is returned for a record that is not sent to the store, as it takes none of
// that size.
var errTooLarge = fmt.Errorf("%w: %w", storer.ErrRejected, errors.New("conductor: the record is larger than the store takes"))

// partsStored tells the scheduler that parts of a write are stored.
func (c *Conductor) partsStored(parts []writePart) {
	var stored scheduler.Write
	for _, part := range parts {
		stored.Jobs = append(stored.Jobs, part.stored.Jobs...)
		stored.Workers = append(stored.Workers, part.stored.Workers...)
		if part.stored.Silent != nil {
			stored.Silent = part.stored.Silent
		}
	}
	c.mu.Lock()
	c.scheduler.PartWritten(stored)
	c.mu.Unlock()
}

// rejectProgress ends the job whose progress the store never takes. It reports whether the job
// had not ended before.
func (c *Conductor) rejectProgress(part writePart, err error) bool {
	now := c.clock.Now()
	c.mu.Lock()
	failed := c.scheduler.RejectProgress(part.job, now)
	c.mu.Unlock()
	if _, allowed := c.writeLines.allow(1, writeLineInterval, now); failed || allowed {
		c.logger.WithError(err).WithFields(log.Fields{
			"id":        part.job,
			"bytes":     storer.Size(part.record),
			"limit":     c.limits.Record(),
			"partition": c.partition,
			"token":     c.token,
			"failed":    failed,
		}).Error("conductor: the store does not take the progress of a job")
	}
	return failed
}

// servesWriter reports whether the store takes a write of this owner that has no records.
func (c *Conductor) servesWriter(ctx context.Context) bool {
	attemptCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := c.store.Append(attemptCtx, c.progressPartition(), &storer.Writer{
		Name:     writerName,
		Epoch:    c.token,
		Sequence: c.sequence,
	})
	return err == nil
}
