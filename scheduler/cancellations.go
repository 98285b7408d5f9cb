package scheduler

import (
	"slices"
	"time"
)

const (
	// maxEarlyCancellations limits the cancellations that are kept without their job, so
	// that a caller who cancels jobs that never come cannot exhaust the owner's memory.
	// Beyond it the oldest are forgotten, and their records stay.
	maxEarlyCancellations = 10000
	// manyEarlyCancellations is the number beyond which the oldest are outdated at once, so
	// that their records can be deleted.
	manyEarlyCancellations = maxEarlyCancellations / 2
)

// Cancellation cancels a job on behalf of an organisation.
type Cancellation struct {
	// Job is the identity of the job.
	Job string
	// Organisation is the organisation of the caller, or empty if it belongs to none.
	Organisation string
}

// earlyCancellation is a cancellation that was read before its job. Records may be stored
// in another order than that in which the callers handed them in.
type earlyCancellation struct {
	Cancellation
	readAt time.Time
}

// earlyCancellations holds the cancellations whose job is not known.
type earlyCancellations struct {
	// byJob holds them by the identity of the job, one for each organisation.
	byJob map[string][]*earlyCancellation
	// queue holds them in the order of readAt, and some that are not in byJob any more.
	queue []*earlyCancellation
}

func newEarlyCancellations() earlyCancellations {
	return earlyCancellations{
		byJob: make(map[string][]*earlyCancellation),
	}
}

func (e *earlyCancellations) add(cancellation Cancellation, now time.Time) {
	e.remove(cancellation)
	early := &earlyCancellation{
		Cancellation: cancellation,
		readAt:       now,
	}
	e.byJob[cancellation.Job] = append(e.byJob[cancellation.Job], early)
	e.queue = append(e.queue, early)
	if len(e.queue) > maxEarlyCancellations {
		e.dropOldest()
	}
}

// remove removes the cancellation from byJob, if it is there.
func (e *earlyCancellations) remove(cancellation Cancellation) {
	left := slices.DeleteFunc(e.byJob[cancellation.Job], func(early *earlyCancellation) bool {
		return early.Cancellation == cancellation
	})
	if len(left) == 0 {
		delete(e.byJob, cancellation.Job)
		return
	}
	e.byJob[cancellation.Job] = left
}

// current reports whether the element of the queue is in byJob.
func (e *earlyCancellations) current(early *earlyCancellation) bool {
	return slices.Contains(e.byJob[early.Job], early)
}

func (e *earlyCancellations) dropOldest() {
	oldest := e.queue[0]
	e.queue[0] = nil
	e.queue = e.queue[1:]
	if e.current(oldest) {
		e.remove(oldest.Cancellation)
	}
}

// outdated returns the cancellations that were read before the given time, or are beyond
// manyEarlyCancellations, oldest first and no more than limit.
func (e *earlyCancellations) outdated(before time.Time, limit int) []Cancellation {
	for len(e.queue) > 0 && !e.current(e.queue[0]) {
		e.dropOldest()
	}
	var outdated []Cancellation
	for i, early := range e.queue {
		if !early.readAt.Before(before) && len(e.queue)-i <= manyEarlyCancellations || len(outdated) == limit {
			break
		}
		if e.current(early) {
			outdated = append(outdated, early.Cancellation)
		}
	}
	return outdated
}

// takeFor returns whether the job is cancelled, and drops the cancellations that name it.
func (e *earlyCancellations) takeFor(j *job) bool {
	named := e.byJob[j.record.ID]
	delete(e.byJob, j.record.ID)
	cancelled := false
	for _, early := range named {
		cancelled = cancelled || j.accessible(early.Organisation)
		j.addCancellation(early.Cancellation)
	}
	return cancelled
}

// ApplyCancellation cancels a job, unless it belongs to another organisation. If the job is
// not known, the cancellation is kept and applies to the job once it is added.
func (s *Scheduler) ApplyCancellation(cancellation Cancellation, now time.Time) {
	j := s.jobs[cancellation.Job]
	switch {
	case j == nil:
		s.earlyCancellations.add(cancellation, now)
	case j.accessible(cancellation.Organisation):
		s.Cancel(cancellation.Job, now)
	}
	if j != nil {
		j.addCancellation(cancellation)
	}
}

// addCancellation records that the store has a cancellation that names the job. One of no
// organisation is deleted with the job.
func (j *job) addCancellation(cancellation Cancellation) {
	if cancellation.Organisation != "" && !slices.Contains(j.cancellations, cancellation) {
		j.cancellations = append(j.cancellations, cancellation)
	}
}

// outliveJob keeps the cancellations of a job that is forgotten, until their records are
// deleted.
func (e *earlyCancellations) outliveJob(j *job, now time.Time) {
	for _, cancellation := range j.cancellations {
		e.add(cancellation, now)
	}
}

// applyEarlyCancellations cancels a new job that was cancelled before it was added.
func (s *Scheduler) applyEarlyCancellations(j *job, now time.Time) {
	if !s.earlyCancellations.takeFor(j) {
		return
	}
	s.addNote("job was cancelled before it was read", TaskRef{
		Step: StepRef{
			Job: j.record.ID,
		},
	}, "", now.Sub(j.record.Accepted))
	s.Cancel(j.record.ID, now)
}

// OutdatedCancellations returns the oldest cancellations whose job has not come for as long as
// an ended job is kept, or that are too many, no more than limit. They are kept until
// ForgetCancellations is called, since a next owner applies them for as long as their records
// are stored.
func (s *Scheduler) OutdatedCancellations(limit int, now time.Time) []Cancellation {
	return s.earlyCancellations.outdated(now.Add(-s.options.retention-retentionMargin), limit)
}

// ForgetCancellations forgets cancellations of which the records that were read up to the
// given time are deleted.
func (s *Scheduler) ForgetCancellations(deleted []Cancellation, readUntil time.Time) {
	for _, cancellation := range deleted {
		repeated := slices.ContainsFunc(s.earlyCancellations.byJob[cancellation.Job], func(early *earlyCancellation) bool {
			return early.Cancellation == cancellation && early.readAt.After(readUntil)
		})
		if !repeated {
			s.earlyCancellations.remove(cancellation)
		}
	}
}
