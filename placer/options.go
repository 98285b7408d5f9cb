package placer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
)

// Defaults of the options.
const (
	defaultCheckpointTimeout = 2 * time.Second
	defaultBackoff           = time.Second
	defaultMaxBackoff        = 2 * time.Minute
	defaultFailureLimit      = 3
	defaultProbeInterval     = 30 * time.Second
	defaultMaxProbeInterval  = 10 * time.Minute
	defaultTaskRetries       = 3
	defaultStarvation        = 30 * time.Second
	defaultSeed              = 1
)

// Option changes how a placer works.
type Option func(*settings)

type settings struct {
	attempts func() namer.Attempt
	seed     uint64
	firstFit bool
	// randomFit makes first-fit begin at a random worker, as a second baseline.
	randomFit         bool
	checkpointTimeout time.Duration
	backoff           time.Duration
	maxBackoff        time.Duration
	failureLimit      int
	probeInterval     time.Duration
	maxProbeInterval  time.Duration
	taskRetries       int
	starvation        time.Duration
	// fault is a mistake that a test asks for, to see that it is found.
	fault fault
}

// fault names a mistake that only tests ask for.
type fault uint8

const (
	// faultOverCommit forgets one dimension when it looks for room.
	faultOverCommit fault = iota + 1
	// faultPartialGang starts a gang without those of its tasks that do not fit.
	faultPartialGang
	// faultLoseRetry forgets a failed task in place of trying it again.
	faultLoseRetry
	// faultIdleRoom does not look again at tasks that found no room.
	faultIdleCapacity
	// faultTransition lets a task that is being stopped count as running.
	faultTransition
)

func defaultSettings() settings {
	return settings{
		seed:              defaultSeed,
		checkpointTimeout: defaultCheckpointTimeout,
		backoff:           defaultBackoff,
		maxBackoff:        defaultMaxBackoff,
		failureLimit:      defaultFailureLimit,
		probeInterval:     defaultProbeInterval,
		maxProbeInterval:  defaultMaxProbeInterval,
		taskRetries:       defaultTaskRetries,
		starvation:        defaultStarvation,
	}
}

// WithAttempts makes the placer take the numbers of its starts from next. By
// default they count from 1 without epoch or owner.
func WithAttempts(next func() namer.Attempt) Option {
	return func(s *settings) { s.attempts = next }
}

// WithSeed seeds the random numbers that spread retries and break ties. The
// default is 1.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithFirstFit makes the placer try every pending task in the order of
// submission on every worker in the order of arrival, without indexes, turns of
// the teams or preemption. It is the baseline of the measurements.
func WithFirstFit() Option {
	return func(s *settings) { s.firstFit = true }
}

// WithCheckpointTimeout sets how long a task may take to save its work before
// it is stopped without. The default is 2 s.
func WithCheckpointTimeout(d time.Duration) Option {
	return func(s *settings) { s.checkpointTimeout = d }
}

// WithBackoff sets how long a failed task waits at least and at most before it
// is tried again. The wait doubles with each failure and has jitter. The
// defaults are 1 s and 2 min.
func WithBackoff(first, longest time.Duration) Option {
	return func(s *settings) {
		s.backoff = first
		s.maxBackoff = longest
	}
}

// WithFailureLimit sets after how many failures in a row a worker is set aside,
// and how long after that it is probed with one task; the wait doubles with each
// failed probe. The defaults are 3 failures, 30 s and at most 10 min.
func WithFailureLimit(failures int, interval, maxInterval time.Duration) Option {
	return func(s *settings) {
		s.failureLimit = failures
		s.probeInterval = interval
		s.maxProbeInterval = maxInterval
	}
}

// WithTaskRetries sets how often a task of a batch or gang job is started again
// after it failed. The default is 3. Services are started again for ever.
func WithTaskRetries(retries int) Option {
	return func(s *settings) { s.taskRetries = retries }
}

// WithStarvation sets how long a task may find no room before room is kept for
// it, in which only work that ends in time is started. The default is 30 s.
func WithStarvation(d time.Duration) Option {
	return func(s *settings) { s.starvation = d }
}
