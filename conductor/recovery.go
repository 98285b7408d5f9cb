package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// takeOver fences off the former owner and reads what it stored. It repeats this
// until it succeeds or there is a later owner.
func (c *Conductor) takeOver(ctx context.Context) error {
	for {
		err := c.loadPartition(ctx)
		if err == nil || errors.Is(err, ErrSuperseded) || ctx.Err() != nil {
			return err
		}
		c.logger.WithError(err).WithField("partition", c.partition).Warn("conductor: taking over the partition failed, trying again")
		if err := timekeeper.Sleep(ctx, c.clock, retryPause); err != nil {
			return err
		}
	}
}

func (c *Conductor) loadPartition(ctx context.Context) error {
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
	s.AllowPlacements(c.placementsAllowed())
	stored := c.decodeProgress(progress)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.ConfirmOwnership(c.confirmedAt)
	if c.organisationsPending {
		s.AwaitOrganisations()
	} else {
		s.SetOrganisations(c.organisations, c.overage)
	}
	c.restoreAllotments(s, stored.allotments)
	s.AddFormerWorkers(stored.workersInUse)
	s.SetFormerSilence(stored.silent)
	if c.directoryRead {
		s.SetWorkers(c.directoryWorkers)
	}
	c.scheduler = s
	c.applyRecords(jobs, stored.byJob, now)
	c.next = next
	c.ready = true
	c.logFormerWorkers(stored.workersInUse)
	return nil
}

// logFormerWorkers logs how many workers the former owner used, and how many of
// them the directory no longer lists. The caller holds mu.
func (c *Conductor) logFormerWorkers(former []scheduler.WorkerEntry) {
	unlisted := 0
	for _, entry := range former {
		if !slices.ContainsFunc(c.directoryWorkers, func(w scheduler.WorkerEntry) bool { return w.Ref == entry.Ref }) {
			unlisted++
		}
	}
	c.logger.WithFields(log.Fields{
		"partition": c.partition,
		"token":     c.token,
		"listed":    len(c.directoryWorkers),
		"former":    len(former),
		"unlisted":  unlisted,
	}).Info("conductor: the workers of the former owner were read")
}

// formerProgress is what the former owner stored.
type formerProgress struct {
	byJob        map[string]*scheduler.Progress
	workersInUse []scheduler.WorkerEntry
	silent       []scheduler.SilentWorker
	// allotments is the encoded ledger, nil if none is stored.
	allotments []byte
}

// decodeProgress decodes what the former owner stored. An older release decodes any key
// that it does not know as the progress of a job, which it never finds, so the value of a
// new key must be a JSON object.
func (c *Conductor) decodeProgress(records []storer.Record) formerProgress {
	stored := formerProgress{
		byJob: make(map[string]*scheduler.Progress, len(records)),
	}
	for _, record := range records {
		var err error
		switch record.Key {
		case workersKey:
			err = json.Unmarshal(record.Value, &stored.workersInUse)
		case silentKey:
			err = json.Unmarshal(record.Value, &stored.silent)
		case allotmentsKey:
			stored.allotments = record.Value
		default:
			progress := new(scheduler.Progress)
			if err = json.Unmarshal(record.Value, progress); err == nil {
				stored.byJob[record.Key] = progress
			}
		}
		if err != nil {
			c.logger.WithError(err).WithField("id", record.Key).Error("conductor: stored progress cannot be decoded")
		}
	}
	return stored
}

// applyRecords adds and cancels jobs according to records of the jobs topic.
// progressByJob is nil for records that are read after the takeover.
func (c *Conductor) applyRecords(records []storer.Record, progressByJob map[string]*scheduler.Progress, now time.Time) {
	var cancels []jobCancellation
	for _, record := range records {
		if record.Value == nil || record.Key == "" {
			continue
		}
		if id, found := strings.CutSuffix(record.Key, cancelSuffix); found {
			var cancel cancellation
			if err := json.Unmarshal(record.Value, &cancel); err != nil {
				c.logger.WithError(err).WithField("id", id).Error("conductor: a stored cancellation cannot be decoded")
				continue
			}
			cancels = append(cancels, jobCancellation{
				id:           id,
				organisation: cancel.Organisation,
			})
			continue
		}
		var job scheduler.Job
		if err := json.Unmarshal(record.Value, &job); err != nil {
			c.logger.WithError(err).WithField("id", record.Key).Error("conductor: a stored job cannot be decoded")
			continue
		}
		if err := job.Validate(); err != nil || job.ID != record.Key {
			c.logger.WithError(err).WithField("id", record.Key).Error("conductor: a stored job is invalid and does not run")
			continue
		}
		if _, known := c.scheduler.State(job.ID); known && !c.scheduler.Accessible(job.ID, job.Organisation) {
			c.logger.WithFields(log.Fields{
				"id":           job.ID,
				"organisation": job.Organisation,
			}).Warn("conductor: a job has the identity of another organisation's job and does not run")
		}
		c.scheduler.AddJob(job, progressByJob[job.ID], progressByJob != nil, now)
	}
	for _, cancel := range cancels {
		if !c.scheduler.Accessible(cancel.id, cancel.organisation) {
			c.logger.WithFields(log.Fields{
				"id":           cancel.id,
				"organisation": cancel.organisation,
			}).Warn("conductor: a cancellation names an unknown job or one of another organisation")
			continue
		}
		c.scheduler.Cancel(cancel.id, now)
	}
}

// jobCancellation is a stored cancellation together with the job that it names.
type jobCancellation struct {
	id           string
	organisation string
}

// followJobs reads new jobs.
func (c *Conductor) followJobs(ctx context.Context) error {
	for {
		c.mu.Lock()
		next := c.next
		c.mu.Unlock()
		page, err := c.readJobs(ctx, next, readWait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			if err := timekeeper.Sleep(ctx, c.clock, retryPause); err != nil {
				return err
			}
			continue
		}
		c.applyPage(next, page)
	}
}

// readJobs reads the records of the jobs partition from an offset on. If there are
// none yet, it waits for the first one. If the store no longer has records at the
// offset, it reads all jobs again.
func (c *Conductor) readJobs(ctx context.Context, from int64, wait time.Duration) (storer.Page, error) {
	page, err := c.store.Read(ctx, c.jobsPartition(), from, wait)
	if !errors.Is(err, storer.ErrTrimmed) {
		return page, err
	}
	records, next, err := storer.AllNewest(ctx, c.store, c.jobsPartition())
	return storer.Page{
		Records: records,
		Next:    next,
		End:     next,
	}, err
}

// applyPage applies the page that was read at offset from, unless a page read at
// that offset has been applied already.
func (c *Conductor) applyPage(from int64, page storer.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != from {
		return
	}
	c.applyRecords(page.Records, nil, c.clock.Now())
	c.next = page.Next
	c.signalProgress()
	if len(page.Records) > 0 {
		c.requestTick()
	}
}
