package scheduler

import (
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// usableCapacity is the fraction of the workers' capacity that work can be
	// expected to fill. The rest is lost to packing and to waits for advice.
	usableCapacity = 0.9
	// minSpareCapacity is the least fraction of the capacity that is taken to be left
	// by entitled jobs, so that expected waits stay finite.
	minSpareCapacity = 0.1
	// bytesPerTask is about the memory that the owner needs for a task, and
	// bytesPerJob that for a job besides its tasks and its description.
	bytesPerTask = 200
	bytesPerJob  = 2000
	// backlogMaxAge is the age at which the backlog is computed again.
	backlogMaxAge = 100 * time.Millisecond
)

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
	yields       bool
	organisation string
	// excess is set for jobs beyond the entitled rate of the organisation.
	excess bool
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
	used := make(map[string]amount)
	for _, w := range s.workers {
		for ref, r := range w.runs {
			name := s.organisationOf(s.jobs[ref.Task.Step.Job])
			used[name] = used[name].add(amountOf(r.size, 1))
		}
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
	for name, organisation := range s.organisations {
		s.limitBacklog(name, amountOf(organisation.Maximum, 1+s.overage), used[name])
	}
	for _, accepted := range table.pending {
		if now.Sub(accepted.acceptedAt) <= pendingTime {
			s.countPending(accepted)
		}
	}
}

// limitBacklog leaves out the waiting work of an organisation that its maximum keeps
// from starting, since that delays no others. A resource of which the maximum is 0 is
// not limited.
func (s *Scheduler) limitBacklog(organisation string, maximum, used amount) {
	var size amount
	for _, b := range s.shares.admissions.backlogs {
		for class, waits := range b.work {
			if class.organisation == organisation {
				size = size.add(waits.size)
			}
		}
	}
	factor := 1.0
	for i := range size {
		if maximum[i] > 0 && size[i] > 0 {
			factor = min(factor, max(0, maximum[i]-used[i])/size[i])
		}
	}
	if factor == 1 {
		return
	}
	for _, b := range s.shares.admissions.backlogs {
		for class, waits := range b.work {
			if class.organisation == organisation {
				b.work[class] = waits.times(factor)
			}
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
	if name := s.organisationOf(j); name != "" && !j.begun {
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
	return workClass{
		priority:     record.Queue.Priority,
		yields:       phase.Checkpoints && !phase.Gang,
		organisation: record.Organisation,
		excess:       excess,
	}
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
