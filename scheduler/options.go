package scheduler

import (
	"time"
)

// Options of a Scheduler.
type options struct {
	lease       time.Duration
	holdLimit   time.Duration
	stopTimeout time.Duration
	keep        time.Duration
	remote      float64
}

// Option changes how a Scheduler works.
type Option func(*options)

// Lease sets how long a lease is, and the longest one that a worker grants.
// The defaults are 5 s and 6 s.
func Lease(lease, limit time.Duration) Option {
	return func(o *options) {
		o.lease = lease
		o.holdLimit = limit
	}
}

// StopTimeout sets how long a worker may take to stop a run. The default is
// 900 ms.
func StopTimeout(d time.Duration) Option {
	return func(o *options) {
		o.stopTimeout = d
	}
}

// Keep sets how long the state of a job is known after its end. The default
// is 120 s.
func Keep(d time.Duration) Option {
	return func(o *options) {
		o.keep = d
	}
}

// RemoteFactor sets how many times as long a task takes away from its data.
// The default is 1.5.
func RemoteFactor(f float64) Option {
	return func(o *options) {
		o.remote = f
	}
}
