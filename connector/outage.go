package connector

import "time"

// Outage says when calls to an outside system begin to fail and when they work
// again, so that either is logged once. The zero value is no outage. It is not
// safe for use by several goroutines.
type Outage struct {
	// since is when the first call failed, zero if the last one worked.
	since time.Time
}

// Fail notes a call that failed and reports whether it is the first.
func (o *Outage) Fail(now time.Time) bool {
	if !o.since.IsZero() {
		return false
	}
	o.since = now
	return true
}

// Work notes a call that worked. It returns how long the outage took that this
// ends, and false if there was none.
func (o *Outage) Work(now time.Time) (time.Duration, bool) {
	if o.since.IsZero() {
		return 0, false
	}
	length := now.Sub(o.since)
	o.since = time.Time{}
	return length, true
}
