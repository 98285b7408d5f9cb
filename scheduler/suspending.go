package scheduler

import (
	"slices"
	"time"
)

// maxSuspensionAge is the time after which a suspension is forgotten. Nothing that is as old is
// relied upon.
const maxSuspensionAge = time.Minute

// suspension is a time for which the host was suspended. The clock does not count it, that of a next
// owner does.
type suspension struct {
	noticedAt time.Time
	length    time.Duration
}

// AddSuspension records that the host was suspended before now, for a time that the clock did not
// count.
func (s *Scheduler) AddSuspension(length time.Duration, now time.Time) {
	s.suspensions = slices.DeleteFunc(s.suspensions, func(former suspension) bool {
		return now.Sub(former.noticedAt) > maxSuspensionAge
	})
	s.suspensions = append(s.suspensions, suspension{
		noticedAt: now,
		length:    length,
	})
}

// answeredAt returns the time that counts as that of an answer which is read now. It may be as old as
// its call if the host was suspended since that was sent.
func (s *Scheduler) answeredAt(sent, now time.Time) time.Time {
	if s.age(sent, now) > now.Sub(sent) {
		return sent
	}
	return now
}

// age returns how long ago a moment was, at most, with the time for which the host was suspended.
func (s *Scheduler) age(at, now time.Time) time.Duration {
	for _, suspension := range slices.Backward(s.suspensions) {
		if suspension.noticedAt.Before(at) {
			break
		}
		now = now.Add(suspension.length)
	}
	return now.Sub(at)
}
