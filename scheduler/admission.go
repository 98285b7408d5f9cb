package scheduler

import (
	"math"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// admittedShare is the fraction of its objective within which an excess job must be
	// expected to be done for it to be accepted. The rest covers entitled jobs that
	// arrive later and go first. With 1, three of a thousand accepted jobs were of no
	// use in the model of a flood beside a burst, and with 0.75 less than one.
	admittedShare = 0.75
	// usableCapacity is the fraction of the workers' capacity that work can be
	// expected to fill. The rest is lost to packing and to waits for advice.
	usableCapacity = 0.9
	// minSpareCapacity is the least fraction of the capacity that is taken to be left
	// by entitled jobs, so that expected waits stay finite.
	minSpareCapacity = 0.1
	// maxWaitingJobs and maxWaitingBytes limit the jobs of one organisation that wait
	// at this owner, and the memory that they take. Jobs within the entitled rate are
	// refused only at entitledLimitFactor times these limits, before the owner runs
	// out of memory.
	maxWaitingJobs      = 1000
	maxWaitingBytes     = 4 << 20
	entitledLimitFactor = 4
	// bytesPerTask is about the memory that the owner needs for a task, and
	// bytesPerJob that for a job besides its tasks and its description.
	bytesPerTask = 200
	bytesPerJob  = 2000
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
	// backlogMaxAge is the age at which the backlog is computed again.
	backlogMaxAge = 100 * time.Millisecond
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

// backlog is the work of one service that is still to be done and of use.
type backlog struct {
	work map[workClass]waitingWork
	// free is what the workers have free.
	free amount
	// capacity is that of the workers, without the part that lasting runs take.
	capacity amount
}

// waitingWork is the size of waiting tasks, and the work of them in sizes times
// seconds.
type waitingWork struct {
	size, work amount
}

func (w waitingWork) add(v waitingWork) waitingWork {
	return waitingWork{
		size: w.size.add(v.size),
		work: w.work.add(v.work),
	}
}

func (w waitingWork) times(factor float64) waitingWork {
	return waitingWork{
		size: w.size.times(factor),
		work: w.work.times(factor),
	}
}

// workClass tells which work goes before other work.
type workClass struct {
	priority int
	// yields is set for work that leaves capacity to more urgent queues.
	yields bool
	// excess is set for jobs beyond the entitled rate of the organisation, which is
	// named only for these.
	excess       bool
	organisation string
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
	if _, pending := table.pending[record.ID]; pending || s.jobs[record.ID] != nil {
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

// updateBacklogs computes the backlog of each service and what waits of each
// organisation, unless they were computed lately.
func (s *Scheduler) updateBacklogs(now time.Time) {
	table := &s.shares.admissions
	if table.backlogs != nil && now.Sub(table.computedAt) < backlogMaxAge {
		return
	}
	table.computedAt = now
	table.backlogs = make(map[string]*backlog)
	table.waiting = make(map[string]*waitingJobs)
	s.expirePending(now)
	for _, j := range s.jobs {
		if !j.state.Final() {
			s.addBacklog(j, now)
		}
	}
	for _, w := range s.workers {
		if !w.listed || w.entry.Leaving {
			continue
		}
		b := s.backlogOf(w.entry.Service)
		b.capacity = b.capacity.add(amountOf(w.entry.Total, 1))
		b.free = b.free.add(amountOf(w.freeCapacity().Max(sizer.Size{}), 1))
		for _, r := range w.runs {
			if r.lasting {
				b.capacity = b.capacity.add(amountOf(r.size, -1))
			}
		}
	}
	for _, accepted := range table.pending {
		if now.Sub(accepted.acceptedAt) <= pendingTime {
			s.countPending(accepted)
		}
	}
}

func (s *Scheduler) backlogOf(service string) *backlog {
	b := s.shares.admissions.backlogs[service]
	if b == nil {
		b = &backlog{
			work: make(map[workClass]waitingWork),
		}
		s.shares.admissions.backlogs[service] = b
	}
	return b
}

func (s *Scheduler) waitingOf(organisation string) *waitingJobs {
	w := s.shares.admissions.waiting[organisation]
	if w == nil {
		w = &waitingJobs{}
		s.shares.admissions.waiting[organisation] = w
	}
	return w
}

// countPending adds an accepted job to the backlog.
func (s *Scheduler) countPending(accepted pendingAdmission) {
	waiting := s.waitingOf(accepted.record.Organisation)
	waiting.jobs++
	waiting.bytes += memoryOf(accepted.record, accepted.specBytes)
	b := s.backlogOf(accepted.record.Queue.Service)
	for i := range accepted.record.Phases {
		phase := &accepted.record.Phases[i]
		waits := waitingWork{
			work: s.workOfPhase(accepted.record.Queue, phase),
		}
		if len(phase.DependsOn) == 0 {
			waits.size = amountOf(taskSize(phase), float64(phase.Tasks))
		}
		b.add(s.classOf(&accepted.record, phase, accepted.excess), waits)
	}
}

// addBacklog adds the tasks of a job that could start if there were capacity to the
// backlog. Steps that are too late to be of use do not delay others, so they are left
// out.
func (s *Scheduler) addBacklog(j *job, now time.Time) {
	if name := s.organisationOf(j); name != "" && !j.started {
		waiting := s.waitingOf(name)
		waiting.jobs++
		waiting.bytes += memoryOf(j.record, len(j.record.Spec))
	}
	for ref, st := range j.steps {
		if s.openSteps[ref] == nil || st.phase.Lasting || st.usefulness(now) == rankTooLate {
			continue
		}
		factor := s.stats(j.record.Queue.Name).runTimeFactor
		class := s.classOf(&j.record, st.phase, j.excess)
		class.yields = class.yields && !st.reservesWorkers() && st.latestStart().Sub(now) > preemptionSlack
		size := amountOf(taskSize(st.phase), float64(st.waiting))
		s.backlogOf(j.record.Queue.Service).add(class, waitingWork{
			size: size,
			work: size.times(st.phase.Estimate.Seconds() * factor),
		})
	}
}

func (b *backlog) add(class workClass, waits waitingWork) {
	b.work[class] = b.work[class].add(waits)
}

// aheadOf returns the work that goes before an excess job of the organisation: all
// entitled work that does not yield to it, and of the excess work of each organisation
// as much as goes before it when the organisations take turns by weight.
func (s *Scheduler) aheadOf(b *backlog, record Job) waitingWork {
	excess := make(map[string]waitingWork)
	var ahead waitingWork
	for class, work := range b.work {
		switch {
		case class.priority > record.Queue.Priority && (class.yields || class.excess):
		case class.excess:
			excess[class.organisation] = excess[class.organisation].add(work)
		default:
			ahead = ahead.add(work)
		}
	}
	weight := func(name string) float64 { return max(minWeight, s.organisations[name].Weight) }
	own := excess[record.Organisation].work.add(s.workOf(record)).fractionOf(b.capacity) / weight(record.Organisation)
	for name, work := range excess {
		if name == record.Organisation {
			ahead = ahead.add(work)
			continue
		}
		turns := work.work.fractionOf(b.capacity) / weight(name)
		if turns > 0 {
			ahead = ahead.add(work.times(min(1, own/turns)))
		}
	}
	return ahead
}

// classOf returns the class of a job's work. The class of a phase that leaves headroom
// to more urgent queues yields to them.
func (s *Scheduler) classOf(record *Job, phase *Phase, excess bool) workClass {
	class := workClass{
		priority: record.Queue.Priority,
		excess:   excess,
		yields:   phase.Checkpoints && !phase.Gang,
	}
	if excess {
		class.organisation = record.Organisation
	}
	return class
}

// workOf returns the work of one occurrence of a job, by its estimates.
func (s *Scheduler) workOf(record Job) amount {
	var work amount
	for i := range record.Phases {
		work = work.add(s.workOfPhase(record.Queue, &record.Phases[i]))
	}
	return work
}

func (s *Scheduler) workOfPhase(queue Queue, phase *Phase) amount {
	if phase.Lasting {
		return amount{}
	}
	return amountOf(taskSize(phase), float64(phase.Tasks)*phase.Estimate.Seconds()*s.stats(queue.Name).runTimeFactor)
}

// memoryOf returns about how much memory a waiting job takes.
func memoryOf(record Job, specBytes int) int {
	bytes := bytesPerJob + specBytes
	for _, phase := range record.Phases {
		bytes += phase.Tasks * bytesPerTask
	}
	return bytes
}

// spareCapacity returns what entitled jobs leave of the capacity of a service, in each
// resource, as far as work can be expected to fill it.
func (s *Scheduler) spareCapacity(service string, now time.Time) amount {
	capacity := s.backlogOf(service).capacity
	load := s.entitledLoad(service, now)
	var spare amount
	for i := range spare {
		spare[i] = max(minSpareCapacity*capacity[i], usableCapacity*capacity[i]-load[i])
	}
	return spare
}

// expectedWait returns the time until the first task of an excess job can probably
// start: until the work that goes before it, other than what can start at once, is done
// with the capacity that entitled jobs which arrive in the meantime leave.
func (s *Scheduler) expectedWait(record Job, now time.Time) time.Duration {
	b := s.backlogOf(record.Queue.Service)
	ahead := s.aheadOf(b, record)
	var blocked amount
	for i, size := range ahead.size {
		if size > b.free[i] {
			blocked[i] = ahead.work[i] * (1 - b.free[i]/size)
		}
	}
	seconds := blocked.fractionOf(s.spareCapacity(record.Queue.Service, now))
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
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
