package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// entitledBurst is the time for which an organisation may save up its entitled
	// rate, and minEntitledBurst the least number of jobs that it may save up. Where
	// many owners share the rate, each of them gets less than a job per second, and
	// random arrivals would exceed that all the time.
	entitledBurst    = 2 * time.Second
	minEntitledBurst = 3
	// entitledLoadTime is the time over which the work of entitled jobs is averaged.
	// With 10 s, too many excess jobs are accepted at the beginning of a burst.
	entitledLoadTime = 5 * time.Second
	// excessNoteInterval is the interval at which the log tells how many jobs of one
	// organisation were beyond its entitled rate.
	excessNoteInterval = time.Second
)

// entitledRate is the token bucket of one organisation.
type entitledRate struct {
	tokens   float64
	filledAt time.Time
	// excessJobs counts the jobs that were beyond the rate. notedJobs is its value
	// when the log last told it, at notedAt.
	excessJobs, notedJobs int64
	notedAt               time.Time
}

// averageLoad is an exponential moving average of work per second.
type averageLoad struct {
	perSecond amount
	at        time.Time
}

// SetJobPart sets an upper bound of the fraction of an organisation's jobs that this
// owner gets. The default is 1. The owner counts jobs against that fraction of the
// entitled rate.
func (s *Scheduler) SetJobPart(part float64) {
	if part > 0 && part <= 1 {
		s.shares.jobPart = part
	}
}

// recordArrival queues a new job for the comparison with the entitled rate of its
// organisation.
func (s *Scheduler) recordArrival(j *job) {
	if s.organisationOf(j) != "" {
		s.shares.arrivals = append(s.shares.arrivals, j)
		s.forgetPending(j.record.ID)
	}
}

// classifyArrivals marks the new jobs that are beyond the entitled rate of their
// organisation. It takes them in the order in which they were accepted, whatever the
// order in which they were read, so that each owner of the partition comes to about
// the same marks.
func (s *Scheduler) classifyArrivals(now time.Time) {
	if len(s.shares.arrivals) == 0 {
		return
	}
	slices.SortFunc(s.shares.arrivals, func(a, b *job) int {
		return cmp.Or(a.record.Accepted.Compare(b.record.Accepted), cmp.Compare(a.record.ID, b.record.ID))
	})
	for _, j := range s.shares.arrivals {
		name := s.organisationOf(j)
		if name == "" {
			continue
		}
		rate := s.entitledRate(name)
		at := earlier(j.record.Accepted, now)
		rate.fill(s.jobsPerSecond(name), at)
		if rate.tokens < 1 {
			j.excess = true
			rate.excessJobs++
			continue
		}
		rate.tokens--
		s.recordEntitledWork(j, at)
	}
	s.shares.arrivals = s.shares.arrivals[:0]
	s.noteExcessJobs(now)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// jobsPerSecond returns the rate of jobs of the organisation to which this owner
// entitles it.
func (s *Scheduler) jobsPerSecond(organisation string) float64 {
	return max(0, s.organisations[organisation].Weight) * s.shares.jobPart
}

func (s *Scheduler) entitledRate(organisation string) *entitledRate {
	rate := s.shares.rates[organisation]
	if rate == nil {
		rate = &entitledRate{
			tokens: math.Inf(1),
		}
		s.shares.rates[organisation] = rate
	}
	return rate
}

// fill adds the tokens of the time that has passed. A time before the last one adds
// none.
func (r *entitledRate) fill(perSecond float64, at time.Time) {
	if at.After(r.filledAt) {
		if !r.filledAt.IsZero() {
			r.tokens += perSecond * at.Sub(r.filledAt).Seconds()
		}
		r.filledAt = at
	}
	limit := 0.0
	if perSecond > 0 {
		limit = max(minEntitledBurst, perSecond*entitledBurst.Seconds())
	}
	r.tokens = min(r.tokens, limit)
}

// noteExcessJobs adds a note for each organisation with new jobs beyond its entitled
// rate, at most once per interval.
func (s *Scheduler) noteExcessJobs(now time.Time) {
	for name, rate := range s.shares.rates {
		if rate.excessJobs == rate.notedJobs || now.Sub(rate.notedAt) < excessNoteInterval {
			continue
		}
		s.addNote(fmt.Sprintf("jobs beyond the entitled rate: organisation %s, %d more, %d in all, entitled to %.2f jobs per second here",
			name, rate.excessJobs-rate.notedJobs, rate.excessJobs, s.jobsPerSecond(name)), TaskRef{}, "", now.Sub(s.ownerSince))
		rate.notedJobs = rate.excessJobs
		rate.notedAt = now
	}
}

// recordEntitledWork adds the work of a job to the average load of its service.
func (s *Scheduler) recordEntitledWork(j *job, at time.Time) {
	service := j.record.Queue.Service
	average := s.shares.entitledLoads[service]
	if average == nil {
		average = &averageLoad{
			at: at,
		}
		s.shares.entitledLoads[service] = average
	}
	average.decay(at)
	average.perSecond = average.perSecond.add(s.workOf(j.record).times(1 / entitledLoadTime.Seconds()))
}

// entitledLoad returns the work per second of the entitled jobs of a service. Runs of
// less urgent queues are not preempted for excess jobs, so all of it counts.
func (s *Scheduler) entitledLoad(service string, now time.Time) amount {
	average := s.shares.entitledLoads[service]
	if average == nil {
		return amount{}
	}
	average.decay(now)
	return average.perSecond
}

func (l *averageLoad) decay(at time.Time) {
	if passed := at.Sub(l.at); passed > 0 {
		l.perSecond = l.perSecond.times(math.Exp(-passed.Seconds() / entitledLoadTime.Seconds()))
		l.at = at
	}
}
