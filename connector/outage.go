package connector

import "time"

// Outage records the time from the first failed call to an external system until
// calls succeed again, so that the beginning and the end of an outage are each
// logged once. The zero value is ready to use and has no outage. An Outage is not
// safe for concurrent use.
type Outage struct {
	// failingSince is the time of the first failed call, zero if the last call
	// succeeded.
	failingSince time.Time
}

// RecordFailure records that a call failed, and reports whether an outage
// begins with it.
func (o *Outage) RecordFailure(now time.Time) bool {
	if !o.failingSince.IsZero() {
		return false
	}
	o.failingSince = now
	return true
}

// RecordSuccess records that a call succeeded. It returns the duration of the
// outage that this ends, and false if there was none.
func (o *Outage) RecordSuccess(now time.Time) (time.Duration, bool) {
	if o.failingSince.IsZero() {
		return 0, false
	}
	duration := now.Sub(o.failingSince)
	o.failingSince = time.Time{}
	return duration, true
}
