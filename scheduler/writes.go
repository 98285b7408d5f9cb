package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/galenacove/galenacove/allotter"
)

// Write is a batch of changes to be stored.
type Write struct {
	// Batch is the number of the write, which rises with each.
	Batch int64
	Jobs  []JobProgress
	// Deletions lists the jobs whose progress can be deleted from the store.
	Deletions []string
	// GuestDeletions lists the jobs of other partitions of which all that is stored here can
	// be deleted.
	GuestDeletions []string
	// Workers replaces the stored list of workers in use. It is nil if the list
	// need not change.
	Workers []WorkerEntry
	// Silent replaces the stored list of silent workers. It is nil if the list need
	// not change, and empty but not nil if no worker is silent.
	Silent []SilentWorker
	// Allotments replaces the stored ledger of allotments. It is nil if the ledger has
	// not changed.
	Allotments *allotter.Record
}

// Empty reports whether there is nothing to store.
func (w Write) Empty() bool {
	return len(w.Jobs) == 0 && len(w.Deletions) == 0 && len(w.GuestDeletions) == 0 && len(w.Workers) == 0 && w.Silent == nil && w.Allotments == nil
}

// JobProgress is the progress of one job.
type JobProgress struct {
	ID       string
	Progress Progress
	// Guest is what is to be stored instead of Progress, which it contains, if the job is
	// one of another partition, else nil.
	Guest *Guest
}

// Unwritten reports whether there is something to store, and whether a start or
// a caller may be waiting for it.
func (s *Scheduler) Unwritten() (pending, urgent bool) {
	if s.hasUnrecordedWorkers() || len(s.plannedRuns) > 0 || s.silenceDue || s.allotments.unwrittenGift {
		return true, true
	}
	for id := range s.dirtyJobs {
		if s.jobs[id].state.Final() {
			return true, true
		}
	}
	return len(s.dirtyJobs) > 0 || len(s.droppedJobs) > 0 || len(s.droppedGuests) > 0 || s.rewriteWorkers || s.allotments.unwritten, false
}

// NextWrite returns the changes since the last call.
func (s *Scheduler) NextWrite() Write {
	write := Write{
		Batch:          s.nextBatch,
		Deletions:      slices.Sorted(maps.Keys(s.droppedJobs)),
		GuestDeletions: slices.Sorted(maps.Keys(s.droppedGuests)),
		Allotments:     s.allotments.nextLedger(),
	}
	s.nextBatch++
	clear(s.droppedJobs)
	clear(s.droppedGuests)
	if s.hasUnrecordedWorkers() || s.rewriteWorkers {
		write.Workers = s.workersInUse()
		s.workersOutdated, s.rewriteWorkers = false, false
	}
	if s.silenceDue {
		s.silenceDue = false
		s.silenceWrittenAt = s.tickedAt
		s.silenceComplete = s.recoveryDone
		write.Silent = s.silentWorkers()
		for _, silent := range write.Silent {
			// The write may take effect at any time from now on.
			s.storedSilent[silent.ID] = true
		}
	}
	for id := range s.dirtyJobs {
		s.jobs[id].lastBatch = write.Batch
		s.forgetDroppedWorkers(s.jobs[id])
		progress := s.progress(s.jobs[id])
		for _, stepProgress := range progress.Steps {
			// The write may drop workers from the store at any time from now on.
			s.jobs[id].updateStoredPlacements(stepProgress, retainStored)
		}
		write.Jobs = append(write.Jobs, JobProgress{
			ID:       id,
			Progress: progress,
			Guest:    s.jobs[id].guestRecord(progress),
		})
	}
	slices.SortFunc(write.Jobs, func(a, b JobProgress) int {
		return compareSteps(StepRef{
			Job: a.ID,
		}, StepRef{
			Job: b.ID,
		})
	})
	clear(s.dirtyJobs)
	return write
}

// forgetDroppedWorkers removes the workers that this owner has dropped from those that are
// stored for the job. A next owner does not wait for them, as there are certainly no runs on
// them. If one comes back, it is stored again before anything starts there.
func (s *Scheduler) forgetDroppedWorkers(j *job) {
	for id := range j.workers {
		if s.workers[id] == nil {
			delete(j.workers, id)
			delete(j.storedWorkers, id)
		}
	}
}

// Written records that a write is stored.
func (s *Scheduler) Written(write Write) {
	s.storedBatch = write.Batch
	s.allotments.ledgerWritten(write.Batch)
	s.PartWritten(write)
}

// PartWritten records that a part of a write is stored. The ends of runs that the write
// contains are acknowledged only after Written.
func (s *Scheduler) PartWritten(write Write) {
	for _, entry := range write.Workers {
		if w := s.workers[entry.Ref.ID]; w != nil && w.startedAt.Equal(entry.StartedAt) && !entry.Dropped {
			w.recorded = true
			w.raiseToken(entry.Token)
		}
	}
	if write.Silent != nil {
		s.silenceUnknown = false
		clear(s.storedSilent)
		for _, silent := range write.Silent {
			s.storedSilent[silent.ID] = true
		}
	}
	for _, stored := range write.Jobs {
		j := s.jobs[stored.ID]
		if j == nil {
			continue
		}
		if stored.Progress.State.Final() {
			j.stateStored = true
		}
		j.begunStored = j.begunStored || stored.Progress.State != Pending
		for _, id := range stored.Progress.Workers {
			j.storedWorkers[id] = true
		}
		s.grantsWritten(j, stored.Progress.Grants)
		if j.guest != nil && stored.Guest != nil {
			s.guestWritten(j, stored.Guest)
		}
		for _, stepProgress := range stored.Progress.Steps {
			j.updateStoredPlacements(stepProgress, func(_, written []string) []string { return written })
		}
	}
}

// RejectProgress ends a job whose progress can never be stored, since a next owner would
// run its tasks again. It reports whether there is such a job that had not ended.
func (s *Scheduler) RejectProgress(id string, now time.Time) bool {
	j := s.jobs[id]
	if j == nil || j.state.Final() {
		return false
	}
	s.endJob(j, Failed, now)
	return true
}

// retainStored returns the workers that are both stored and about to be written.
func retainStored(stored, written []string) []string {
	return slices.DeleteFunc(slices.Clone(stored), func(id string) bool { return !slices.Contains(written, id) })
}

// updateStoredPlacements sets the workers that the store lists for each task of a
// step, given those that it listed before and those of a write.
func (j *job) updateStoredPlacements(stored StepProgress, merge func(stored, written []string) []string) {
	if !stored.HasPlacements {
		return
	}
	st := j.steps[StepRef{
		Job:        j.record.ID,
		Occurrence: stored.Occurrence,
		Phase:      stored.Phase,
	}]
	if st == nil {
		return
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		t.storedWorkers = merge(t.storedWorkers, stored.Placements[i])
	}
}

// PlannedRuns returns the number of runs whose start waits for a write.
func (s *Scheduler) PlannedRuns() int {
	return len(s.plannedRuns)
}

// OldestPlanned returns for how long the oldest planned run has waited for a write, 0 if
// there is none.
func (s *Scheduler) OldestPlanned(now time.Time) time.Duration {
	var oldest time.Duration
	for _, r := range s.plannedRuns {
		oldest = max(oldest, now.Sub(r.startedAt))
	}
	return oldest
}

// progress returns the part of the job's state that must be stored.
func (s *Scheduler) progress(j *job) Progress {
	p := Progress{
		State:  j.state,
		Ended:  j.endedAt,
		Ending: s.ending(j),
	}
	if len(j.delegates) > 0 {
		p.Grants = cloneGrants(j.grants)
		p.Delegates = slices.Sorted(maps.Keys(j.delegates))
		p.LastGrant = j.lastGrant
	}
	if j.state.Final() {
		return p
	}
	for id := range j.workers {
		p.Workers = append(p.Workers, id)
	}
	slices.Sort(p.Workers)
	if s.storesRanges(j) {
		p.DoneOccurrences = slices.Clone(j.doneOccurrences)
	} else {
		p.Steps = j.doneSteps()
	}
	for _, stored := range j.storedProgress {
		p.Steps = append(p.Steps, stored)
	}
	for _, st := range j.steps {
		if stored, nonEmpty := s.stepProgress(st); nonEmpty {
			p.Steps = append(p.Steps, stored)
		}
	}
	slices.SortFunc(p.Steps, func(a, b StepProgress) int {
		return compareSteps(StepRef{
			Occurrence: a.Occurrence,
			Phase:      a.Phase,
		}, StepRef{
			Occurrence: b.Occurrence,
			Phase:      b.Phase,
		})
	})
	return p
}

// stepProgress returns the part of the step's state that must be stored, and whether
// there is any.
func (s *Scheduler) stepProgress(st *step) (StepProgress, bool) {
	stepProgress := StepProgress{
		Occurrence: st.ref.Occurrence,
		Phase:      st.ref.Phase,
	}
	nonEmpty := false
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done {
			if stepProgress.Done == nil {
				stepProgress.Done = newBitSet(len(st.tasks))
			}
			setBit(stepProgress.Done, i)
			nonEmpty = true
		}
		if len(t.failedAttempts) > 0 && !st.phase.Gang {
			stepProgress.setFailures(i, t.failedAttempts)
			nonEmpty = true
		}
		if len(t.crashes) > 0 && !t.done {
			if stepProgress.Crashes == nil {
				stepProgress.Crashes = make(map[int][]Crash)
			}
			stepProgress.Crashes[i] = slices.Clone(t.crashes)
			nonEmpty = true
		}
	}
	if len(st.gangFailures) > 0 {
		stepProgress.setFailures(0, st.gangFailures)
		nonEmpty = true
	}
	if st.tracksPlacements {
		stepProgress.HasPlacements = true
		stepProgress.Placements = s.placements(st)
		stepProgress.Approved = s.approvedWorkers(st)
		nonEmpty = true
	}
	return stepProgress, nonEmpty
}

// placements returns, by task index, the workers on which a run of the task may be
// active: those on which this owner knows one, and those of the former owner that
// have not reported.
func (s *Scheduler) placements(st *step) map[int][]string {
	placements := make(map[int][]string)
	for id := range st.job.workers {
		w := s.workers[id]
		if w == nil {
			continue
		}
		for ref := range w.runs {
			if i := ref.Task.Index; ref.Task.Step == st.ref && !slices.Contains(placements[i], id) {
				placements[i] = append(placements[i], id)
			}
		}
	}
	for i := range st.tasks {
		for _, id := range st.tasks[i].formerWorkers {
			if !s.recoveryDone && s.isUnreported(id) && !slices.Contains(placements[i], id) {
				placements[i] = append(placements[i], id)
			}
		}
		slices.Sort(placements[i])
	}
	maps.DeleteFunc(placements, func(_ int, ids []string) bool { return len(ids) == 0 })
	return placements
}

// approvedWorkers returns the workers in use on which the adviser has allowed the
// step, sorted by identity.
func (s *Scheduler) approvedWorkers(st *step) []string {
	var ids []string
	for id := range st.adviceState.tickets {
		if s.workers[id] != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (p *StepProgress) setFailures(i int, attempts []int64) {
	if p.Failures == nil {
		p.Failures = make(map[int][]int64)
	}
	p.Failures[i] = slices.Clone(attempts)
}
