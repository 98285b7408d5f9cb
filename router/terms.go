package router

import "time"

// ServiceTerms are what an operator sets for a service.
type ServiceTerms struct {
	// queueLimit is the most requests that wait at one owner.
	queueLimit int
	// maxWait is the longest expected wait with which a request is admitted.
	maxWait time.Duration
	// deadline is given to requests that carry none.
	deadline time.Duration
	// longest is the most time that any request gets, whatever it asks for.
	longest time.Duration
	// attempt is how long an attempt may take before the minion is counted as
	// stalled, and an idempotent request is tried elsewhere.
	attempt time.Duration
	// maxBody is in bytes, for requests and for answers.
	maxBody int64
}

// TermOption sets one of the terms of a service.
type TermOption func(*ServiceTerms)

// NewServiceTerms returns terms with defaults that suit requests of some
// hundred milliseconds.
func NewServiceTerms(opts ...TermOption) ServiceTerms {
	t := ServiceTerms{
		queueLimit: 512,
		maxWait:    250 * time.Millisecond,
		deadline:   5 * time.Second,
		longest:    30 * time.Second,
		attempt:    2 * time.Second,
		maxBody:    8 << 20,
	}
	for _, opt := range opts {
		opt(&t)
	}
	return t
}

// QueueLimit sets the most requests that wait at one owner. The default is
// 512.
func QueueLimit(n int) TermOption {
	return func(t *ServiceTerms) {
		t.queueLimit = n
	}
}

// MaxWait sets the longest expected wait with which a request is admitted. The
// default is 250 ms.
func MaxWait(d time.Duration) TermOption {
	return func(t *ServiceTerms) {
		t.maxWait = d
	}
}

// DefaultDeadline sets the time for requests that carry no deadline. The
// default is 5 s.
func DefaultDeadline(d time.Duration) TermOption {
	return func(t *ServiceTerms) {
		t.deadline = d
	}
}

// LongestDeadline sets the most time that any request gets. The default is
// 30 s. A new owner waits as long for the requests of a former one if the
// minion does not count them.
func LongestDeadline(d time.Duration) TermOption {
	return func(t *ServiceTerms) {
		t.longest = d
	}
}

// AttemptTimeout sets how long an attempt may take before an idempotent
// request is tried elsewhere. The default is 2 s.
func AttemptTimeout(d time.Duration) TermOption {
	return func(t *ServiceTerms) {
		t.attempt = d
	}
}

// MaxBody sets the largest body of a request or an answer, in bytes. The
// default is 8 MiB.
func MaxBody(bytes int64) TermOption {
	return func(t *ServiceTerms) {
		t.maxBody = bytes
	}
}
