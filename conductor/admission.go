package conductor

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/galenacove/galenacove/scheduler"
)

// JobPart sets the function that returns an upper bound of the fraction of an
// organisation's jobs that the partition gets. By default it is 1.
func JobPart(part func() float64) Option {
	return func(c *Conductor) {
		c.jobPart = part
	}
}

// Admit decides whether a new job is accepted. The job may come without its Spec, of
// which specBytes is the length. Before it refuses a job, it reads the jobs partition
// up to its end, since a job that is stored must not be refused. If it cannot do that,
// the job is accepted.
func (c *Conductor) Admit(ctx context.Context, job scheduler.Job, specBytes int) scheduler.Admission {
	admission, ready := c.decideAdmission(job, specBytes)
	if !ready || admission.Refused == "" {
		return admission
	}
	if err := c.catchUp(ctx); err != nil {
		if omitted, allowed := c.allowLine(job.Organisation); allowed {
			c.logger.WithError(err).WithFields(log.Fields{
				"id":           job.ID,
				"organisation": job.Organisation,
				"omittedLines": omitted,
			}).Warn("conductor: job accepted as it may be stored already")
		}
		return scheduler.Admission{}
	}
	if _, found, _ := c.jobState(job.ID, job.Organisation); found {
		return scheduler.Admission{
			Known: true,
		}
	}
	c.recordRefusal(job, admission)
	return admission
}

// decideAdmission asks the scheduler. ready is false if the stored jobs have not been
// read yet.
func (c *Conductor) decideAdmission(job scheduler.Job, specBytes int) (admission scheduler.Admission, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return scheduler.Admission{}, false
	}
	return c.scheduler.Admit(job, specBytes, c.clock.Now()), true
}

// recordRefusal counts and logs a refusal.
func (c *Conductor) recordRefusal(job scheduler.Job, admission scheduler.Admission) {
	c.metrics.organisations.refuse(job.Organisation, admission.Refused)
	omitted, allowed := c.allowLine(job.Organisation)
	if !allowed {
		return
	}
	c.logger.WithFields(log.Fields{
		"id":             job.ID,
		"organisation":   job.Organisation,
		"cause":          string(admission.Refused),
		"excess":         admission.Excess,
		"expectedWaitMs": admission.ExpectedWait.Milliseconds(),
		"allowedWaitMs":  admission.AllowedWait.Milliseconds(),
		"waitingJobs":    admission.WaitingJobs,
		"waitingBytes":   admission.WaitingBytes,
		"retryAfterMs":   admission.RetryAfter.Milliseconds(),
		"omittedLines":   omitted,
		"token":          c.token,
	}).Warn("conductor: job refused")
}

// allowLine reports whether a line on an admission may be logged, and how many were
// omitted before it.
func (c *Conductor) allowLine(organisation string) (omitted int, allowed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.admissionLines.allow(organisation, c.clock.Now())
}

const (
	// maxAdmissionLines limits the log lines on refused jobs of one organisation
	// in each admissionLineInterval, so that a flood does not fill the log.
	maxAdmissionLines     = 5
	admissionLineInterval = time.Second
)

// lineLimiter limits log lines by organisation. Organisations are configured by the
// operator, so their number is bounded.
type lineLimiter map[string]*limitedLines

type limitedLines struct {
	since          time.Time
	lines, omitted int
}

// allow reports whether a line may be logged, and how many were omitted since the last
// one.
func (l lineLimiter) allow(organisation string, now time.Time) (omitted int, allowed bool) {
	limited := l[organisation]
	if limited == nil {
		limited = &limitedLines{}
		l[organisation] = limited
	}
	return limited.allow(maxAdmissionLines, admissionLineInterval, now)
}

// allow is like lineLimiter.allow, for that number of lines in each interval. The first
// interval begins with the first line.
func (l *limitedLines) allow(limit int, interval time.Duration, now time.Time) (omitted int, allowed bool) {
	if now.Sub(l.since) >= interval {
		l.since = now
		l.lines = 0
	}
	if l.lines >= limit {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// Use returns what organisations use of this owner's workers.
func (c *Conductor) Use() ([]scheduler.ServiceUse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return nil, ErrNotReady
	}
	return c.scheduler.Use(), nil
}

// SetForeignUse records what organisations use of the workers of another partition, as
// known at the given time.
func (c *Conductor) SetForeignUse(partition int, services []scheduler.ServiceUse, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ready {
		c.scheduler.SetForeignUse(partition, services, at)
	}
}
