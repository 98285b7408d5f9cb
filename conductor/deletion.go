package conductor

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// deletionInterval is the interval at which the records of ended jobs are deleted, and
	// maxDeletionPause the longest pause after deletions that failed.
	deletionInterval = time.Second
	maxDeletionPause = 8 * time.Second
	// maxDeletedJobs bounds the jobs that are deleted with one append.
	maxDeletedJobs = 500
)

// deleteJobs deletes the records of ended jobs whose state need not be kept any longer. A job
// is forgotten, and its progress deleted, only once its deletion has been read from the jobs
// partition: without the progress, the next owner would take the job for a new one.
func (c *Conductor) deleteJobs(ctx context.Context) error {
	pause := deletionInterval
	for {
		if err := timekeeper.Sleep(ctx, c.clock, pause); err != nil {
			return err
		}
		c.mu.Lock()
		ids := c.scheduler.ExpiredJobs(maxDeletedJobs, c.clock.Now())
		c.mu.Unlock()
		if len(ids) == 0 {
			pause = deletionInterval
			continue
		}
		if err := c.deleteRecords(ctx, ids); err != nil {
			pause = min(2*pause, maxDeletionPause)
			c.metrics.deletionsFailed.Add(float64(len(ids)))
			c.logger.WithError(err).WithFields(log.Fields{
				"partition": c.partition,
				"token":     c.token,
				"jobs":      len(ids),
				"first":     ids[0],
			}).Warn("conductor: deleting the records of ended jobs failed, trying again")
			continue
		}
		pause = deletionInterval
		c.mu.Lock()
		c.scheduler.DeletionRequested(ids, c.clock.Now())
		c.mu.Unlock()
	}
}

// deleteRecords appends deletions of the records of jobs. The append is not fenced, and may be
// carried out late: that is harmless under a later owner too, as the jobs have ended for good.
func (c *Conductor) deleteRecords(ctx context.Context, ids []string) error {
	records := make([]storer.Record, 0, 2*len(ids))
	for _, id := range ids {
		records = append(records, storer.Record{
			Key: id,
		}, storer.Record{
			Key: id + cancelSuffix,
		})
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := c.store.Append(ctx, c.jobsPartition(), nil, records...)
	return err
}

// orphans returns the identities of the jobs of which there is progress and no record: a former
// owner has deleted the record and not the progress.
func orphans(progress, jobs []storer.Record) []string {
	stored := make(map[string]bool, len(jobs))
	for _, record := range jobs {
		stored[record.Key] = true
	}
	var ids []string
	for _, record := range progress {
		// The keys of other records of owners, also of later releases, contain a slash.
		if !stored[record.Key] && !strings.Contains(record.Key, "/") {
			ids = append(ids, record.Key)
		}
	}
	return ids
}
