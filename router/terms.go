package router

import "time"

// ServiceTerms is the configuration of a service, set by an operator.
type ServiceTerms struct {
	// queueLimit is the maximum number of requests that wait at one owner.
	queueLimit int
	// maxWait is the longest expected wait with which a request is admitted.
	maxWait time.Duration
	// defaultTimeout is the time given to requests without a deadline.
	defaultTimeout time.Duration
	// maxTimeout limits the time given to any request, whatever its deadline.
	maxTimeout time.Duration
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
		queueLimit:     512,
		maxWait:        250 * time.Millisecond,
		defaultTimeout: 5 * time.Second,
		maxTimeout:     30 * time.Second,
		attemptTimeout: 2 * time.Second,
		maxBody:        8 << 20,
	}
	for _, opt := range opts {
		opt(&t)
	}
	return t
}

// QueueLimit sets the maximum number of requests that wait at one owner. The
// default is 512.
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

// DefaultDeadline sets the time given to requests without a deadline. The default
// is 5 s.
func DefaultDeadline(d time.Duration) TermOption {
	return func(t *ServiceTerms) {
		t.defaultTimeout = d
	}
}

// MaxTimeout limits the time given to any request. The default is 30 s. If a minion
// does not report its number of older requests, a new owner waits at least that
// long for the requests of former owners.
func MaxTimeout(d time.Duration) TermOption {
	return func(t *ServiceTerms) {
		t.maxTimeout = d
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
