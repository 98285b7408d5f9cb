package scheduler

import "time"

// An owner that the store has not confirmed for a while may have a successor. That one may reach a
// worker which this one does not reach, and renew the leases of its runs or acknowledge their ends.
// So the time at which a lease ends shows nothing by itself: a run has ended with its lease only if
// this owner had no successor until then.

// ConfirmOwnership records that the ownership held at the given time. Leases are
// limited relative to the latest such time, so that none outlives the wait of
// the next owner after its takeover.
func (s *Scheduler) ConfirmOwnership(at time.Time) {
	if at.After(s.ownershipConfirmedAt) {
		s.ownershipConfirmedAt = at
	}
}

// OwnershipConfirmedAt returns the latest time at which the ownership is known to have held.
func (s *Scheduler) OwnershipConfirmedAt() time.Time {
	return s.ownershipConfirmedAt
}

// ConfirmationDue returns the latest time for which tasks wait for the ownership to be
// confirmed, and whether any wait.
func (s *Scheduler) ConfirmationDue() (time.Time, bool) {
	return s.confirmationDue, s.confirmationDue.After(s.ownershipConfirmedAt)
}

// passed reports whether the time has passed, and this owner had no successor until then.
func (s *Scheduler) passed(at, now time.Time) bool {
	if !now.After(at) {
		return false
	}
	s.confirmationDue = latest(s.confirmationDue, at.Add(1))
	return s.ownershipConfirmedAt.After(at)
}
