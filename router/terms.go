package router

import "time"

// ServiceTerms is the configuration of a service, set by an operator.
type ServiceTerms struct {
	// queueLimit is the most requests that wait at one owner.
	queueLimit int
	// maxWait is the longest expected wait with which a request is admitted.
	maxWait time.Duration
	// defaultDeadline is the time given to requests without a deadline.
	defaultDeadline time.Duration
	// maxDeadline is the most time that any request gets, whatever it asks for.
	maxDeadline time.Duration
	// attemptTimeout is how long an attempt may take before the minion counts as
	// stalled and an idempotent request is retried elsewhere.
	attemptTimeout time.Duration
	// maxBody limits the bodies of requests and of answers, in bytes.
	maxBody int64
}

// TermOption sets one of the terms of a service.
type TermOption func(*ServiceTerms)

// NewServiceTerms returns terms with defaults for requests that take some hundred
// milliseconds.
func NewServiceTerms(opts ...TermOption) ServiceTerms {
	t := ServiceTerms{
		queueLimit:      512,
		maxWait:         250 * time.Millisecond,
		defaultDeadline: 5 * time.Second,
		maxDeadline:     30 * time.Second,
		attemptTimeout:  2 * time.Second,
		maxBody:         8 << 20,
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

// DefaultDeadline sets the time for requests without a deadline. The default is
// 5 s.
func DefaultDeadline(d time.Duration) TermOption {
	return func(t *ServiceTerms) {
		t.defaultDeadline = d
	}
}

// LongestDeadline sets the most time that any request gets. The default is 30 s.
// If a minion does not report its number of older requests, its new owner waits
// at least that long for the requests of a former owner.
func LongestDeadline(d time.Duration) TermOption {
	return func(t *ServiceTerms) {
		t.maxDeadline = d
	}
}

// AttemptTimeout sets how long an attempt may take before an idempotent request is
// retried elsewhere. The default is 2 s.
func AttemptTimeout(d time.Duration) TermOption {
	return func(t *ServiceTerms) {
		t.attemptTimeout = d
	}
}

// MaxBody sets the largest body of a request or an answer, in bytes. The default
// is 8 MiB.
func MaxBody(bytes int64) TermOption {
	return func(t *ServiceTerms) {
		t.maxBody = bytes
	}
}
