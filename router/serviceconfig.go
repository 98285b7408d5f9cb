package router

import "time"

// ServiceConfig is the configuration of a service, set by an operator.
type ServiceConfig struct {
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

// ServiceOption sets one field of a ServiceConfig.
type ServiceOption func(*ServiceConfig)

// NewServiceConfig returns a configuration with defaults for requests that take
// some hundred milliseconds.
func NewServiceConfig(opts ...ServiceOption) ServiceConfig {
	c := ServiceConfig{
		queueLimit:     512,
		maxWait:        250 * time.Millisecond,
		defaultTimeout: 5 * time.Second,
		maxTimeout:     30 * time.Second,
		attemptTimeout: 2 * time.Second,
		maxBody:        8 << 20,
	}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// QueueLimit sets the maximum number of requests that wait at one owner. The
// default is 512.
func QueueLimit(n int) ServiceOption {
	return func(c *ServiceConfig) {
		c.queueLimit = n
	}
}

// MaxWait sets the longest expected wait with which a request is admitted. The
// default is 250 ms.
func MaxWait(d time.Duration) ServiceOption {
	return func(c *ServiceConfig) {
		c.maxWait = d
	}
}

// DefaultTimeout sets the time given to requests without a deadline. The default
// is 5 s.
func DefaultTimeout(d time.Duration) ServiceOption {
	return func(c *ServiceConfig) {
		c.defaultTimeout = d
	}
}

// MaxTimeout limits the time given to any request. The default is 30 s. If a minion
// does not report its number of older requests, a new owner waits at least that
// long for the requests of former owners.
func MaxTimeout(d time.Duration) ServiceOption {
	return func(c *ServiceConfig) {
		c.maxTimeout = d
	}
}

// AttemptTimeout sets how long an attempt may take before an idempotent request is
// retried elsewhere. The default is 2 s.
func AttemptTimeout(d time.Duration) ServiceOption {
	return func(c *ServiceConfig) {
		c.attemptTimeout = d
	}
}

// MaxBody sets the largest body of a request or an answer, in bytes. The default
// is 8 MiB.
func MaxBody(bytes int64) ServiceOption {
	return func(c *ServiceConfig) {
		c.maxBody = bytes
	}
}
