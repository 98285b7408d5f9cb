package scheduler

import (
	"time"
)

// defaultEndsPerReport is the default of EndsPerReport.
const defaultEndsPerReport = 500

// options holds the settings of a Scheduler.
type options struct {
	leaseDuration time.Duration
	maxLease      time.Duration
	// acceptedLease is the longest lease that a worker accepts, 0 if that is maxLease.
	acceptedLease time.Duration
	stopTimeout   time.Duration
	retention     time.Duration
	remoteFactor  float64
	recordLimit   int
	endsPerReport int
	// confirmedAt is zero if the ownership is confirmed when it begins.
	confirmedAt time.Time
}

// Option changes a setting of a Scheduler.
type Option func(*options)

// Lease sets the duration of each lease, and the longest time after the last
// confirmation of the ownership at which a lease may end. The defaults are 5 s and 6 s.
func Lease(leaseDuration, limit time.Duration) Option {
	return func(o *options) {
		o.leaseDuration = leaseDuration
		o.maxLease = limit
	}
}

// AcceptedLease sets the longest lease that a worker accepts. A call that names a time on the
// clock of a former incarnation of the worker may give it a lease of that length, whatever owners
// grant. The default is the limit set with Lease.
func AcceptedLease(d time.Duration) Option {
	return func(o *options) {
		o.acceptedLease = d
	}
}

// longestLease returns the longest time for which a worker may hold a lease after the last call that
// it has carried out.
func (o *options) longestLease() time.Duration {
	return time.Duration(float64(max(o.maxLease, o.acceptedLease)) / minClockRate)
}

// StopTimeout sets the time that a worker may take to stop a run. The default
// is 900 ms.
func StopTimeout(d time.Duration) Option {
	return func(o *options) {
		o.stopTimeout = d
	}
}

// Retention sets for how long after its end the state of a job can be queried.
// The default is 120 s.
func Retention(d time.Duration) Option {
	return func(o *options) {
		o.retention = d
	}
}

// RemoteFactor sets the run time of a task on another rack than that of its
// data, as a multiple of the time on that rack. The default is 1.5.
func RemoteFactor(f float64) Option {
	return func(o *options) {
		o.remoteFactor = f
	}
}

// RecordLimit sets the size of the largest record that the store takes, in bytes. The
// default is 256 KiB.
func RecordLimit(n int) Option {
	return func(o *options) {
		o.recordLimit = n
	}
}

// EndsPerReport sets the number of ends of runs that a worker lists in one report if there are more. The
// default is 500.
func EndsPerReport(n int) Option {
	return func(o *options) {
		o.endsPerReport = n
	}
}

// ConfirmedAt sets the last time at which the ownership was known to hold when it begins. The
// default is the time at which it begins.
func ConfirmedAt(at time.Time) Option {
	return func(o *options) {
		o.confirmedAt = at
	}
}
