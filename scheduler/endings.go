package scheduler

import (
	"slices"
	"time"
)

const (
	// endingsInterval is the time within which workers end at one moment, as far as their owner can tell.
	endingsInterval = 50 * time.Millisecond
	// minUnexplained and workersPerUnexplained set the number of workers that have to end at one moment
	// without a start of this owner that explains it: one of so many workers, but not fewer than
	// minUnexplained. Tasks of other owners may crash a few at a time.
	minUnexplained        = 3
	workersPerUnexplained = 8
)

// ending is the moment at which an incarnation of a worker ended, or probably did.
type ending struct {
	at        time.Time
	worker    string
	startedAt time.Time
	// suspects lists the tasks that may have crashed it by being started.
	suspects []TaskRef
}

// noteEnding records the end of a worker. If many end at one moment without a start that explains it, the
// starts on the others are no proof of what has ended these.
func (s *Scheduler) noteEnding(ended ending) {
	s.endings = slices.DeleteFunc(s.endings, func(e ending) bool {
		return ended.at.Sub(e.at) > endingsInterval || e.worker == ended.worker
	})
	s.endings = append(s.endings, ended)
	unexplained := 0
	for _, e := range s.endings {
		if len(e.suspects) == 0 {
			unexplained++
		}
	}
	if unexplained < max(minUnexplained, len(s.workers)/workersPerUnexplained) {
		return
	}
	for _, e := range s.endings {
		for _, ref := range e.suspects {
			s.excuseCrash(ref, e)
		}
	}
}

// excuseCrash marks the crash of a worker under a task as one among many.
func (s *Scheduler) excuseCrash(ref TaskRef, ended ending) {
	st, t := s.findTask(ref)
	if t == nil || st.job.state.Final() {
		return
	}
	for i := range t.crashes {
		c := &t.crashes[i]
		if c.Worker == ended.worker && c.StartedAt.Equal(ended.startedAt) && !c.AmongMany {
			c.AmongMany = true
			s.dirtyJobs[st.job.record.ID] = true
		}
	}
}
