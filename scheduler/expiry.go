package scheduler

import (
	"slices"
	"time"
)

// deletionRepeatInterval is the time after which the deletion of a job's records is stored
// again if it has not been read: several reads of the jobs.
const deletionRepeatInterval = 5 * time.Second

// expireEndedJobs finds the ended jobs whose state need not be kept any longer. They stay
// known until JobDeleted, as the store still has them.
func (s *Scheduler) expireEndedJobs(now time.Time) {
	for id, j := range s.jobs {
		if j.isAbandoned(now.Add(-s.options.retention - retentionMargin)) {
			s.endJob(j, Cancelled, now)
		}
		if j.expired || !j.state.Final() || !j.stateStored || j.awaitsDelegates() || now.Sub(j.endedAt) <= s.options.retention+retentionMargin {
			continue
		}
		j.expired = true
		if j.guest != nil {
			s.forgetGuest(id)
		} else {
			s.expiredJobs = append(s.expiredJobs, id)
		}
	}
}

// ExpiredJobs returns at most limit jobs whose records are to be deleted from the store now.
func (s *Scheduler) ExpiredJobs(limit int, now time.Time) []string {
	s.expiredJobs = slices.DeleteFunc(s.expiredJobs, func(id string) bool {
		j := s.jobs[id]
		return j == nil || !j.expired
	})
	var ids []string
	for _, id := range s.expiredJobs {
		if len(ids) == limit {
			break
		}
		if !s.jobs[id].deletionDueAt.After(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// DeletionRequested records that the store has taken the deletion of jobs.
func (s *Scheduler) DeletionRequested(ids []string, now time.Time) {
	for _, id := range ids {
		if j := s.jobs[id]; j != nil {
			j.deletionDueAt = now.Add(deletionRepeatInterval)
		}
	}
}

// JobDeleted records that the deletion of a job was read from the store. The job is forgotten
// if it has expired, and its progress can be deleted. Other jobs are kept: the deletion is a
// late one of a former owner.
func (s *Scheduler) JobDeleted(id string, now time.Time) {
	j := s.jobs[id]
	if j == nil || !j.expired {
		return
	}
	delete(s.jobs, id)
	delete(s.dirtyJobs, id)
	s.earlyCancellations.outliveJob(j, now)
	s.forgetSuspects(id)
	s.droppedJobs[id] = true
}

// DropProgress has the stored progress of jobs deleted that the store no longer holds.
func (s *Scheduler) DropProgress(ids []string) {
	for _, id := range ids {
		if s.jobs[id] == nil {
			s.droppedJobs[id] = true
		}
	}
}
