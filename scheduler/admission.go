package scheduler

import (
	"math"
	"time"
)

const (
	// admittedShare is the fraction of its objective within which an excess job must be
	// expected to be done for it to be accepted. The rest covers entitled jobs that
	// arrive later and go first. With 1, three of a thousand accepted jobs were of no
	// use in the model of a flood beside a burst, and with 0.75 less than one.
	admittedShare = 0.75
	// maxWaitingJobs and maxWaitingBytes limit the jobs of one organisation that wait
	// at this owner, and the memory that they take. Jobs within the entitled rate are
	// refused only at entitledLimitFactor times these limits, before the owner runs
	// out of memory.
	maxWaitingJobs      = 1000
	maxWaitingBytes     = 4 << 20
	entitledLimitFactor = 4
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller
	// should try again. Callers give up on longer times.
	minRetryAfter = time.Second
	maxRetryAfter = 15 * time.Second
	// minRetryInterval and maxRetryInterval bound the time between the retries of two
	// callers of one organisation.
	minRetryInterval = 20 * time.Millisecond
	maxRetryInterval = time.Second
	// admissionMemory is the time for which an accepted job is known that the store
	// has not shown yet, and pendingTime that for which it counts as work. An append
	// takes less time, or fails.
	admissionMemory = 30 * time.Second
	pendingTime     = 3 * time.Second
)

// RefusalCause is the reason why a job is refused. It appears in logs and metrics.
type RefusalCause string

// The reasons why a job is refused.
const (
	// RefusedBacklog means that the job is beyond the entitled rate and could not be
	// done while its result is of use.
	RefusedBacklog RefusalCause = "backlog"
	// RefusedJobs means that too many jobs of the organisation wait.
	RefusedJobs RefusalCause = "waiting jobs"
	// RefusedBytes means that the waiting jobs of the organisation take too much
	// memory.
	RefusedBytes RefusalCause = "waiting bytes"
	// RefusedIdentity means that a job of another organisation has the identity. The
	// newest record of an identity wins in the store, so that the job would replace the
	// other one after a takeover.
	RefusedIdentity RefusalCause = "identity in use"
)

// Admission is the decision whether a job is accepted.
type Admission struct {
	// Refused is the reason of a refusal, or empty if the job is accepted.
	Refused RefusalCause
	// RetryAfter is the time after which a refused caller should try again.
	RetryAfter time.Duration
	// Known reports that the job was submitted before.
	Known bool
	// Excess reports that the job is beyond the entitled rate. ExpectedWait is then
	// the time until its first task can probably start, and AllowedWait the longest
	// with which the job is accepted.
	Excess                    bool
	ExpectedWait, AllowedWait time.Duration
	// WaitingJobs and WaitingBytes are what waits of the organisation.
	WaitingJobs, WaitingBytes int
}

// admissionTable holds the state of admission.
type admissionTable struct {
	// pending holds the accepted jobs that have not been read from the store, by
	// identity, and entitledPending counts those within the entitled rate, by
	// organisation.
	pending         map[string]pendingAdmission
	entitledPending map[string]int
	// nextRetryAt is the time for which the next refused caller of an organisation is
	// asked to come back at the earliest.
	nextRetryAt map[string]time.Time
	// backlogs holds the backlog of each service, and waiting what waits of each
	// organisation, as computed at computedAt and with the jobs accepted since.
	backlogs   map[string]*backlog
	waiting    map[string]*waitingJobs
	computedAt time.Time
}

// pendingAdmission is an accepted job that has not been read from the store.
type pendingAdmission struct {
	record     Job
	specBytes  int
	excess     bool
	acceptedAt time.Time
}

type waitingJobs struct {
	jobs, bytes int
}

func newAdmissionTable() admissionTable {
	return admissionTable{
		pending:         make(map[string]pendingAdmission),
		entitledPending: make(map[string]int),
		nextRetryAt:     make(map[string]time.Time),
	}
}

// Admit decides whether a job is accepted. The job may come without its Spec, of which
// specBytes is the length. A job that was submitted before is always accepted, and so
// is one without a configured organisation. A job that is accepted counts as waiting
// from now on.
func (s *Scheduler) Admit(record Job, specBytes int, now time.Time) Admission {
	organisation, configured := s.organisations[record.Organisation]
	if !configured {
		return Admission{}
	}
	s.classifyArrivals(now)
	table := &s.shares.admissions
	pending, isPending := table.pending[record.ID]
	switch {
	case isPending && pending.record.Organisation != record.Organisation,
		s.jobs[record.ID] != nil && !s.Accessible(record.ID, record.Organisation):
		return Admission{
			Refused:    RefusedIdentity,
			RetryAfter: maxRetryAfter,
		}
	case isPending, s.jobs[record.ID] != nil:
		return Admission{
			Known: true,
		}
	}
	s.updateBacklogs(now)
	waiting := s.waitingOf(organisation.Name)
	admission := Admission{
		Excess:       !s.isEntitled(organisation.Name, now),
		WaitingJobs:  waiting.jobs,
		WaitingBytes: waiting.bytes,
	}
	limitFactor := entitledLimitFactor
	if admission.Excess {
		limitFactor = 1
		admission.ExpectedWait = s.expectedWait(record, now)
		admission.AllowedWait = s.allowedWait(record)
	}
	bytes := memoryOf(record, specBytes)
	switch {
	case admission.ExpectedWait > admission.AllowedWait:
		admission.Refused = RefusedBacklog
	case waiting.jobs >= limitFactor*maxWaitingJobs:
		admission.Refused = RefusedJobs
	case waiting.bytes+bytes > limitFactor*maxWaitingBytes:
		admission.Refused = RefusedBytes
	}
	if admission.Refused != "" {
		admission.RetryAfter = s.retryAfter(record, admission, now)
		return admission
	}
	record.Spec = ""
	table.pending[record.ID] = pendingAdmission{
		record:     record,
		specBytes:  specBytes,
		excess:     admission.Excess,
		acceptedAt: now,
	}
	if !admission.Excess {
		table.entitledPending[organisation.Name]++
	}
	s.countPending(table.pending[record.ID])
	return admission
}

// isEntitled reports whether one more job of the organisation is within its entitled
// rate.
func (s *Scheduler) isEntitled(organisation string, now time.Time) bool {
	rate := s.entitledRate(organisation)
	rate.fill(s.jobsPerSecond(organisation), now)
	return rate.tokens-float64(s.shares.admissions.entitledPending[organisation]) >= 1
}

// forgetPending removes an accepted job that has been read from the store.
func (s *Scheduler) forgetPending(id string) {
	table := &s.shares.admissions
	accepted, found := table.pending[id]
	if !found {
		return
	}
	delete(table.pending, id)
	if !accepted.excess {
		table.entitledPending[accepted.record.Organisation]--
	}
}

// expirePending removes accepted jobs that have not been read from the store in time,
// since storing them has failed.
func (s *Scheduler) expirePending(now time.Time) {
	table := &s.shares.admissions
	for id, accepted := range table.pending {
		age := now.Sub(accepted.acceptedAt)
		if age > pendingTime && !accepted.excess {
			table.entitledPending[accepted.record.Organisation]--
			accepted.excess = true
			table.pending[id] = accepted
		}
		if age > admissionMemory {
			delete(table.pending, id)
		}
	}
}

// allowedWait returns how long an excess job may be expected to wait for it to be
// accepted, so that it can still be done well within its objective.
func (s *Scheduler) allowedWait(record Job) time.Duration {
	factor := s.stats(record.Queue.Name).runTimeFactor
	within := admittedShare * float64(record.objective())
	return max(0, time.Duration(within-factor*float64(record.criticalPath())))
}

// retryAfter returns the time after which a refused caller should try again: when the
// backlog will be short enough, and after the callers of the same organisation that
// were refused before, as far apart as the spare capacity takes to do their jobs.
func (s *Scheduler) retryAfter(record Job, admission Admission, now time.Time) time.Duration {
	table := &s.shares.admissions
	wait := min(max(minRetryAfter, admission.ExpectedWait-admission.AllowedWait), maxRetryAfter/2)
	earliest := now.Add(wait)
	at := table.nextRetryAt[record.Organisation]
	if at.Before(earliest) || at.After(now.Add(maxRetryAfter)) {
		at = earliest
	}
	seconds := s.workOf(record).fractionOf(s.spareCapacity(record.Queue.Service, now))
	interval := time.Duration(math.Min(seconds, maxRetryInterval.Seconds()) * float64(time.Second))
	table.nextRetryAt[record.Organisation] = at.Add(max(minRetryInterval, interval))
	return at.Sub(now)
}
