package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// recoveryMargin is added to the time after which the former owner's
	// leases have certainly expired. It covers the delivery of that owner's last
	// order.
	recoveryMargin = 200 * time.Millisecond
	// lateArrival is the longest time for which a call without an answer counts as under way.
	lateArrival = 2500 * time.Millisecond
	// stopRepeatInterval is the time after which an unanswered stop is sent
	// again. It is only a few round trips, as the run takes up capacity until
	// its stop is answered.
	stopRepeatInterval = 300 * time.Millisecond
	// setAsideAfter is the number of consecutive failures, of at least two
	// jobs, at which a worker is set aside.
	setAsideAfter = 3
	// setAsideMin and setAsideMax limit the time for which a worker is set
	// aside. The time is about the length of a short task at first, and doubles
	// up to the length of the usual fault.
	setAsideMin = time.Second
	setAsideMax = 4 * time.Second
	// unhealthyPause is the time for which nothing is started on a worker that
	// refused a start as unhealthy.
	unhealthyPause = 500 * time.Millisecond
)

// LeaseRenewal is the content of the next lease renewal for a worker.
type LeaseRenewal struct {
	Worker WorkerRef
	// WorkerStartedAt is the start of the worker's incarnation that is known, as in WorkerEntry.
	WorkerStartedAt time.Time
	// Token is the fencing token of the call.
	Token int64
	// Lease is the expiry of the lease, on the worker's clock. 0 leaves the
	// lease as it is.
	Lease time.Duration
	// Acknowledge is the number up to which the worker's ends are stored and
	// need not be reported again.
	Acknowledge int64
	// Unseen is set if the worker has reported to no owner, as far as this one knows, so that it
	// has no runs.
	Unseen bool
}

// SetWorkers sets the current content of the directory. Nothing more is started
// on workers that it no longer lists.
func (s *Scheduler) SetWorkers(entries []WorkerEntry) {
	s.formerUses = nil
	for _, w := range s.workers {
		w.listed = false
	}
	for _, entry := range entries {
		w := s.workers[entry.Ref.ID]
		if w == nil {
			w = s.newWorker(entry)
			s.workers[entry.Ref.ID] = w
		}
		if w.keepsAddress(entry) {
			entry.Ref.Address = w.entry.Ref.Address
		}
		w.entry = entry
		w.listed = true
	}
	maps.DeleteFunc(s.endedWorkers, func(id string, _ time.Time) bool {
		w := s.workers[id]
		return w == nil || !w.listed
	})
	for id, w := range s.workers {
		if !w.listed && len(w.runs) == 0 && (!s.isUnread(w) || s.recoveryDone) {
			s.dropWorker(id)
		}
	}
}

// keepsAddress reports whether the worker is still called at the address at which it was called
// so far: it answers there, or may have runs there that have not ended. At another address, the
// answer that it is not there would be taken as proof that it has ended. A later incarnation may
// have another address. An entry of an earlier one is stale, or of a clock that was set back.
func (w *worker) keepsAddress(entry WorkerEntry) bool {
	answers := w.reported && w.silentSince.IsZero()
	mayHaveRuns := len(w.runs) > 0 || w.former && !w.reported && !w.leasesOver
	// An entry of a former incarnation was written late.
	restarted := entry.StartedAt.After(w.startedAt) && !slices.ContainsFunc(w.formerStarts, entry.StartedAt.Equal)
	// A former worker has no address if only its name is known.
	return w.entry.Ref.Address != "" && (answers || mayHaveRuns && !restarted)
}

// dropWorker forgets a worker on which there are certainly no runs.
func (s *Scheduler) dropWorker(id string) {
	w := s.workers[id]
	if w.recorded || w.former {
		s.workersOutdated = true
	}
	// Its answer is not read any more.
	s.noteLostAcknowledgement(w)
	s.rememberIncarnation(w)
	delete(s.workers, id)
}

// maxOutdatedWorkers is the longest time for which the store may list workers that
// are not in use any more. Each list is as large as some hundred ends of runs, and a
// new worker rewrites it anyway.
const maxOutdatedWorkers = 2 * time.Second

// scheduleWorkersWrite has the stored list of workers in use written again if it has
// been outdated for maxOutdatedWorkers. A next owner would wait for the workers on it.
func (s *Scheduler) scheduleWorkersWrite(now time.Time) {
	switch {
	case !s.workersOutdated:
		s.outdatedSince = time.Time{}
	case s.outdatedSince.IsZero():
		s.outdatedSince = now
	case now.Sub(s.outdatedSince) >= maxOutdatedWorkers:
		s.rewriteWorkers = true
	}
}

// AddFormerWorkers adds the workers on which the former owner may have runs,
// whether or not the directory still lists them.
func (s *Scheduler) AddFormerWorkers(entries []WorkerEntry) {
	s.formerUses = nil
	s.hasFormerOwner = true
	for _, entry := range entries {
		if entry.Dropped {
			s.addDropped(entry)
			continue
		}
		if s.workers[entry.Ref.ID] == nil {
			w := s.newWorker(entry)
			w.recorded = true
			w.former = true
			if entry.Token >= s.token {
				w.token = entry.Token + 1
				w.recorded = false
			}
			s.workers[entry.Ref.ID] = w
		}
	}
}

// SetFormerSilence sets which workers the store lists as silent. It is called once,
// after AddFormerWorkers.
func (s *Scheduler) SetFormerSilence(silent []SilentWorker) {
	for _, former := range silent {
		s.storedSilent[former.ID] = true
		if w := s.workers[former.ID]; w != nil {
			w.formerSilence = former.For
		}
	}
}

// ReplaceFormerSilence is called instead of SetFormerSilence if the stored list of silent
// workers cannot be decoded. A next owner may rely on it, so no worker gets a lease or a run
// until another list is stored.
func (s *Scheduler) ReplaceFormerSilence() {
	s.silenceUnknown = true
	s.silenceDue = true
}

// storedAsSilent reports whether the store may list the worker as silent.
func (s *Scheduler) storedAsSilent(id string) bool {
	return s.silenceUnknown || s.storedSilent[id]
}

// silenceInterval is the interval at which the silent workers are stored during a
// recovery. A next owner waits by that much longer than it would have to.
const silenceInterval = 500 * time.Millisecond

// scheduleSilenceWrite has the silent workers stored: at intervals while there are any
// during the recovery, and at once when a stored one has reported.
func (s *Scheduler) scheduleSilenceWrite(now time.Time) {
	silent, reportedAgain := false, false
	for id, w := range s.workers {
		silent = silent || w.former && !w.reported
		reportedAgain = reportedAgain || w.reported && s.storedSilent[id]
	}
	interval := silent && s.placementsAllowed && !s.silenceComplete && now.Sub(s.silenceWrittenAt) >= silenceInterval
	if reportedAgain || interval {
		s.silenceDue = true
	}
}

// silentWorkers returns the workers of former owners that have not reported to this
// one, sorted by identity.
func (s *Scheduler) silentWorkers() []SilentWorker {
	silent := make([]SilentWorker, 0)
	for id, w := range s.workers {
		if w.former && !w.reported {
			silent = append(silent, SilentWorker{
				ID:  id,
				For: w.formerSilence + s.tickedAt.Sub(s.ownerSince),
			})
		}
	}
	slices.SortFunc(silent, func(a, b SilentWorker) int { return strings.Compare(a.ID, b.ID) })
	return silent
}

// hasUnrecordedWorkers reports whether there are workers that the store does
// not list as in use.
func (s *Scheduler) hasUnrecordedWorkers() bool {
	for _, w := range s.workers {
		if !w.recorded {
			return true
		}
	}
	return false
}

// workersInUse returns all workers on which there may be runs, and those of which only the token counts,
// sorted by identity.
func (s *Scheduler) workersInUse() []WorkerEntry {
	entries := make([]WorkerEntry, 0, len(s.workers))
	for _, w := range s.workers {
		entry := w.entry
		entry.StartedAt = w.startedAt
		entry.Token = 0
		if token := max(w.token, w.nextToken); token > s.token {
			entry.Token = token
		}
		entries = append(entries, entry)
	}
	entries = append(entries, s.droppedEntries()...)
	slices.SortFunc(entries, func(a, b WorkerEntry) int {
		return strings.Compare(a.Ref.ID, b.Ref.ID)
	})
	return entries
}

func (s *Scheduler) newWorker(entry WorkerEntry) *worker {
	w := &worker{
		entry:      entry,
		startedAt:  entry.StartedAt,
		token:      s.token,
		runs:       make(map[RunRef]*run),
		failedJobs: make(map[string]bool),
		slowness:   1,
	}
	s.recallIncarnation(w)
	return w
}

// Workers returns the workers whose leases are to be renewed, in no order.
func (s *Scheduler) Workers() []WorkerRef {
	refs := make([]WorkerRef, 0, len(s.workers))
	for _, w := range s.workers {
		refs = append(refs, w.entry.Ref)
	}
	return refs
}

// LeaseRenewal returns the lease renewal to send to a worker now, and whether
// the worker is known.
func (s *Scheduler) LeaseRenewal(id string, now time.Time) (LeaseRenewal, bool) {
	w := s.workers[id]
	if w == nil {
		return LeaseRenewal{}, false
	}
	if w.token > s.token && w.nextToken == 0 && w.raisedAt.IsZero() {
		w.raisedAt = now
	}
	order := LeaseRenewal{
		Worker:          w.entry.Ref,
		WorkerStartedAt: w.startedAt,
		Token:           w.token,
		Acknowledge:     s.nextAcknowledgement(w, now),
		Unseen:          !w.reported && !w.former,
	}
	if w.reported && w.silentSince.IsZero() && !s.storedAsSilent(id) && !w.leaseWithheld {
		order.Lease = s.extendLease(w, now)
	}
	return order, true
}

// extendLease returns the expiry, on the worker's clock, of a lease that may be
// granted now, and records it as leaseEnd. The next owner waits after its
// takeover until the longest possible lease has expired. So a lease must expire
// within that time after assignmentConfirmedAt.
func (s *Scheduler) extendLease(w *worker, now time.Time) time.Duration {
	w.leaseEnd = max(w.leaseEnd, w.clockAt(now)+min(s.options.leaseDuration, s.longestSafeLease(now)))
	w.leaseSentAt = latest(w.leaseSentAt, now)
	return w.leaseEnd
}

// longestSafeLease returns the duration of the longest lease that may be granted now. None may
// be if it is not positive.
func (s *Scheduler) longestSafeLease(now time.Time) time.Duration {
	return time.Duration(float64(s.options.maxLease)*minClockRate) - recoveryMargin - s.age(s.assignmentConfirmedAt, now)
}

// RenewalFailed records that a lease renewal had no answer.
func (s *Scheduler) RenewalFailed(id string, now time.Time) {
	w := s.workers[id]
	if w == nil {
		return
	}
	s.noteLostAcknowledgement(w)
	if w.silentSince.IsZero() {
		w.silentSince = now
	}
}

// RenewalBroken records that the connection to a worker ended while a lease renewal
// waited for its answer. The worker was up until then.
func (s *Scheduler) RenewalBroken(id string, now time.Time) {
	if w := s.workers[id]; w != nil && w.silentSince.IsZero() {
		w.aliveAt = now
	}
	s.RenewalRefused(id, now)
}

// RenewalRefused records that a worker's host refused the connection for a lease renewal,
// so that the worker has probably ended.
func (s *Scheduler) RenewalRefused(id string, now time.Time) {
	if w := s.workers[id]; w != nil && w.silentSince.IsZero() {
		s.suspectStarts(w, now)
	}
	s.RenewalFailed(id, now)
}

// WorkerGone records that another instance has answered a call for the incarnation of a worker that began at
// startedAt, so that this one has certainly ended. It tells nothing of another incarnation, which may have
// another address.
func (s *Scheduler) WorkerGone(id string, startedAt, now time.Time) {
	w := s.workers[id]
	if w == nil || !w.startedAt.Equal(startedAt) {
		return
	}
	crashed := s.confirmCrash(w, time.Time{}, now)
	s.markAllLost(w, "worker ended", now)
	s.giveUpCrashing(crashed, now)
	if known, found := s.endedWorkers[id]; (!w.reported || !w.endsRead) && (!found || !known.Equal(w.startedAt)) {
		s.doubtJobsOn(w, now)
	}
	s.endedWorkers[id] = w.startedAt
	w.reported, w.endsRead, w.gone = true, true, true
	s.formerUses = nil
	if !w.listed {
		s.dropWorker(id)
		return
	}
	// The directory lists the worker although it has ended, so it lags behind.
	w.listed = false
	w.silentSince = now
}
