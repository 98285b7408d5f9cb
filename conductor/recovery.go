package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
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
	c.mu.Lock()
	announcedAt, _ := c.suspensions.Read()
	c.mu.Unlock()
	end, err := c.store.Append(ctx, c.progressPartition(), &storer.Writer{
		Name:     writerName,
		Epoch:    c.token,
		Sequence: c.sequence,
	})
	if errors.Is(err, storer.ErrFenced) || errors.Is(err, storer.ErrConflict) {
		return fmt.Errorf("%w: %w", ErrSuperseded, err)
	}
	if err != nil {
		return err
	}
	c.progressEnd = end
	announced := c.clock.Now()
	if c.requestJoin != nil {
		c.requestJoin()
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
	if err := c.awaitAssignment(ctx, announced); err != nil {
		return err
	}
	now := c.clock.Now()
	// There may be a later owner since the epoch was announced.
	s := scheduler.New(c.token, now, append(slices.Clone(c.options), scheduler.RecordLimit(c.limits.Record()), scheduler.ConfirmedAt(announcedAt))...)
	s.AllowPlacements(c.placementsAllowed())
	s.AllowOccurrenceRanges(c.rangesAllowed())
	stored := c.decodeProgress(progress)
	c.workerRecords = stored.workerRecords
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler = s
	// Nothing has been told of suspensions since the epoch was announced.
	c.readClock()
	s.ConfirmAssignment(c.confirmedAt)
	if c.organisationsPending {
		s.AwaitOrganisations()
	} else {
		s.SetOrganisations(c.organisations, c.overage)
	}
	c.restoreAllotments(s, stored.allotments)
	s.SetDelegates(c.partition, c.delegates)
	s.AddFormerWorkers(stored.workersInUse)
	if stored.silenceUnknown {
		s.ReplaceFormerSilence()
	} else {
		s.SetFormerSilence(stored.silent)
	}
	s.SetWorkers(c.directoryWorkers)
	c.logStoredJobs(jobs, stored, now)
	c.applyRecords(jobs, stored.byJob, now)
	c.restoreGuests(s, stored, now)
	s.DropProgress(orphans(progress, jobs))
	c.next = next
	c.jobsReadAt = now
	c.ready = true
	c.logFormerWorkers(stored.workersInUse)
	return nil
}

// assignmentLineInterval is the interval of the log lines on an owner that awaits its assignment.
const assignmentLineInterval = time.Second

// awaitAssignment waits until a join that was sent after the announcement of the epoch has found that
// the partition is still assigned to this owner. Otherwise a former owner, to which it may be assigned
// again, would go on granting leases that this one does not wait for: it learns of the epoch only when
// it writes.
func (c *Conductor) awaitAssignment(ctx context.Context, announced time.Time) error {
	if c.requestJoin == nil {
		return nil
	}
	for {
		c.mu.Lock()
		found, listed := c.listedAt.After(announced), c.listed
		c.mu.Unlock()
		if found {
			return nil
		}
		c.requestJoin()
		timer := c.clock.NewTimer(assignmentLineInterval)
		select {
		case <-listed:
		case <-timer.C():
			c.logger.WithFields(log.Fields{
				"partition": c.partition,
				"token":     c.token,
				"waitMs":    c.clock.Now().Sub(announced).Milliseconds(),
			}).Warn("conductor: no join has confirmed the assignment since the epoch was announced")
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// logStoredJobs logs what the takeover has read. A job without stored progress is new, or its
// progress is gone: the older the oldest of them, the less likely is it new.
func (c *Conductor) logStoredJobs(records []storer.Record, stored formerProgress, now time.Time) {
	jobs, cancellations, withoutProgress := 0, 0, 0
	var oldest time.Duration
	oldestID := ""
	for _, record := range records {
		if _, found := cancelledJob(record.Key); found {
			cancellations++
			continue
		}
		jobs++
		if _, found := stored.byJob[record.Key]; found {
			continue
		}
		withoutProgress++
		var job struct {
			Accepted time.Time `json:"accepted"`
		}
		// A record that cannot be decoded is logged when it is applied.
		if err := json.Unmarshal(record.Value, &job); err == nil && now.Sub(job.Accepted) > oldest {
			oldest, oldestID = now.Sub(job.Accepted), record.Key
		}
	}
	c.metrics.withoutProgress.Add(float64(withoutProgress))
	c.logger.WithFields(log.Fields{
		"partition":       c.partition,
		"token":           c.token,
		"jobs":            jobs,
		"cancellations":   cancellations,
		"progress":        len(stored.byJob),
		"undecodable":     stored.undecodable,
		"withoutProgress": withoutProgress,
		"oldestOfTheseMs": oldest.Milliseconds(),
		"id":              oldestID,
	}).Info("conductor: the jobs of the partition were read")
}

// logFormerWorkers logs how many workers the former owner used, how many of them the
// directory no longer lists, and how old that knowledge is. The caller holds mu.
func (c *Conductor) logFormerWorkers(former []scheduler.WorkerEntry) {
	unlisted := 0
	former = slices.DeleteFunc(slices.Clone(former), func(w scheduler.WorkerEntry) bool { return w.Dropped })
	for _, entry := range former {
		if !slices.ContainsFunc(c.directoryWorkers, func(w scheduler.WorkerEntry) bool { return w.Ref == entry.Ref }) {
			unlisted++
		}
	}
	now := c.clock.Now()
	knowledge := c.knowledge()
	c.logger.WithFields(log.Fields{
		"partition": c.partition,
		"token":     c.token,
		"listed":    len(c.directoryWorkers),
		"former":    len(former),
		"unlisted":  unlisted,
	}).WithFields(knowledge.Directory.fields("directory", now)).WithFields(knowledge.Shards.fields("shards", now)).Info("conductor: the workers of the former owner were read")
}

// formerProgress is what the former owner stored.
type formerProgress struct {
	// byJob holds the progress of jobs, nil where it cannot be decoded.
	byJob        map[string]*scheduler.Progress
	workersInUse []scheduler.WorkerEntry
	// workersUnknown is set if a list of workers in use cannot be decoded.
	workersUnknown bool
	// workerRecords is one more than the highest index of a record of workersInUse.
	workerRecords int
	silent        []scheduler.SilentWorker
	// silenceUnknown is set if the list of silent workers cannot be decoded.
	silenceUnknown bool
	// guests holds the jobs of other partitions, nil where what is stored of one cannot be
	// decoded.
	guests map[string]*scheduler.Guest
	// allotments is the encoded ledger, nil if none is stored.
	allotments []byte
	// undecodable counts the records that could not be decoded.
	undecodable int
}

// decodeProgress decodes what the former owner stored. An older release decodes any key
// that it does not know as the progress of a job, which it never finds, so the value of a
// new key must be a JSON object.
func (c *Conductor) decodeProgress(records []storer.Record) formerProgress {
	stored := formerProgress{
		byJob:  make(map[string]*scheduler.Progress, len(records)),
		guests: make(map[string]*scheduler.Guest),
	}
	for _, record := range records {
		var err error
		listIndex, listed := isWorkersKey(record.Key)
		guestID, isGuest := guestOfKey(record.Key)
		switch {
		case record.Key == workersKey:
			var workers []scheduler.WorkerEntry
			if err = json.Unmarshal(record.Value, &workers); err != nil {
				workers, stored.workersUnknown = nil, true
			}
			stored.workersInUse = append(stored.workersInUse, workers...)
		case listed:
			var list workerList
			if err = json.Unmarshal(record.Value, &list); err != nil {
				list.Workers, stored.workersUnknown = nil, true
			}
			stored.workersInUse = append(stored.workersInUse, list.Workers...)
			stored.workerRecords = max(stored.workerRecords, listIndex+1)
		case record.Key == silentKey:
			if err = json.Unmarshal(record.Value, &stored.silent); err != nil {
				stored.silent, stored.silenceUnknown = nil, true
			}
		case record.Key == allotmentsKey:
			stored.allotments = record.Value
		case isGuest:
			guest := new(scheduler.Guest)
			if err = json.Unmarshal(record.Value, guest); err != nil {
				guest = nil
			}
			stored.guests[guestID] = guest
		default:
			stored.byJob[record.Key], err = decodeJobProgress(record.Value)
		}
		if err != nil {
			stored.undecodable++
			c.logger.WithError(err).WithField("id", record.Key).Error("conductor: stored progress cannot be decoded")
		}
	}
	if stored.workersUnknown {
		stored.workersInUse = stored.namedWorkers()
	}
	return stored
}

// namedWorkers returns the workers that the progress of jobs names, without their addresses.
// They are all on which runs may be active, though not all of them need be.
func (p formerProgress) namedWorkers() []scheduler.WorkerEntry {
	named := make(map[string]bool)
	for _, progress := range p.byJob {
		if progress != nil {
			for _, id := range progress.Workers {
				named[id] = true
			}
		}
	}
	for _, guest := range p.guests {
		if guest != nil {
			for _, id := range guest.Progress.Workers {
				named[id] = true
			}
		}
	}
	var entries []scheduler.WorkerEntry
	for _, id := range slices.Sorted(maps.Keys(named)) {
		entries = append(entries, scheduler.WorkerEntry{
			Ref: scheduler.WorkerRef{
				ID: id,
			},
		})
	}
	return entries
}

// decodeJobProgress decodes the progress of a job. A state that this release does not know may
// be a final one.
func decodeJobProgress(value []byte) (*scheduler.Progress, error) {
	progress := new(scheduler.Progress)
	if err := json.Unmarshal(value, progress); err != nil {
		return nil, err
	}
	if !progress.State.Known() {
		return nil, errors.Newf("conductor: unknown state %q of a job", progress.State)
	}
	return progress, nil
}

// applyRecords adds and cancels jobs according to records of the jobs topic.
// progressByJob is nil for records that are read after the takeover.
func (c *Conductor) applyRecords(records []storer.Record, progressByJob map[string]*scheduler.Progress, now time.Time) {
	var cancels []storedCancellation
	for _, record := range records {
		if record.Key == "" {
			continue
		}
		if record.Value == nil {
			c.scheduler.JobDeleted(record.Key, now)
			continue
		}
		if id, found := cancelledJob(record.Key); found {
			var cancel cancellation
			if err := json.Unmarshal(record.Value, &cancel); err != nil {
				c.logOddRecord(err, id, "conductor: a stored cancellation cannot be decoded", now)
				continue
			}
			cancels = append(cancels, storedCancellation{
				Cancellation: scheduler.Cancellation{
					Job:          id,
					Organisation: cancel.Organisation,
				},
				offset: record.Offset,
			})
			continue
		}
		c.applyJob(record, progressByJob, now)
	}
	for _, cancel := range cancels {
		c.logCancellation(cancel, progressByJob != nil)
		c.scheduler.ApplyCancellation(cancel.Cancellation, now)
	}
}

const (
	// maxRecordLines limits the log lines on records of the jobs that cannot be used, in each
	// recordLineInterval.
	maxRecordLines     = 20
	recordLineInterval = 10 * time.Second
	// maxReasonBytes limits the reason, which may quote the record.
	maxReasonBytes = 200
)

// logOddRecord logs that a record of the jobs cannot be used, which another writer may have left
// there. The caller holds mu.
func (c *Conductor) logOddRecord(err error, id, message string, now time.Time) {
	omitted, allowed := c.recordLines.allow(maxRecordLines, recordLineInterval, now)
	if !allowed {
		return
	}
	reason := "the key names another job"
	if err != nil {
		reason = err.Error()
	}
	c.logger.WithFields(log.Fields{
		"error":   reason[:min(len(reason), maxReasonBytes)],
		"id":      id,
		"omitted": omitted,
	}).Error(message)
}

// applyJob adds the job of a record, as applyRecords does.
func (c *Conductor) applyJob(record storer.Record, progressByJob map[string]*scheduler.Progress, now time.Time) {
	var job scheduler.Job
	if err := json.Unmarshal(record.Value, &job); err != nil {
		c.logOddRecord(err, record.Key, "conductor: a stored job cannot be decoded", now)
		return
	}
	if err := job.Validate(); err != nil || job.ID != record.Key {
		c.logOddRecord(err, record.Key, "conductor: a stored job is invalid and does not run", now)
		return
	}
	if _, known := c.scheduler.State(job.ID); known && !c.scheduler.Accessible(job.ID, job.Organisation) {
		c.logger.WithFields(log.Fields{
			"id":           job.ID,
			"organisation": job.Organisation,
		}).Warn("conductor: a job has the identity of another organisation's job and does not run")
	}
	progress, stored := progressByJob[job.ID]
	if stored && progress == nil {
		c.logger.WithField("id", job.ID).Error("conductor: a job does not run, as its progress cannot be decoded")
		c.scheduler.HoldJob(job, now)
		return
	}
	c.scheduler.AddJob(job, progress, progressByJob != nil, now)
}

// maxJobsAge is the age of the last answered read of the jobs partition from which on the owner
// says that it is behind: several reads.
const maxJobsAge = 2 * time.Second

// followJobs reads new jobs.
func (c *Conductor) followJobs(ctx context.Context) error {
	behind := false
	for {
		c.mu.Lock()
		next := c.next
		c.mu.Unlock()
		page, err := c.readJobs(ctx, next, readWait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.mu.Lock()
		age := c.clock.Now().Sub(c.jobsReadAt)
		c.mu.Unlock()
		logEntry := c.logger.WithFields(log.Fields{
			"partition": c.partition,
			"token":     c.token,
			"next":      next,
			"ageMs":     age.Milliseconds(),
		})
		if err != nil {
			if !behind && age >= maxJobsAge {
				behind = true
				logEntry.WithError(err).Warn("conductor: the jobs partition cannot be read")
			}
			if err := timekeeper.Sleep(ctx, c.clock, retryPause); err != nil {
				return err
			}
			continue
		}
		if behind || age >= maxJobsAge {
			behind = false
			logEntry.WithField("end", page.End).Info("conductor: the jobs partition is read again")
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
	now := c.clock.Now()
	c.applyRecords(page.Records, nil, now)
	c.next = page.Next
	c.jobsReadAt = now
	c.signalProgress()
	if len(page.Records) > 0 {
		c.requestTick()
	}
}
