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

// Option configures a placer.
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
	// fault is an error that a test injects to show that the checks detect it.
	fault fault
}

// fault is an error in the algorithm that only tests inject.
type fault uint8

const (
	// faultOverCommit ignores memory when searching for a worker.
	faultOverCommit fault = iota + 1
	// faultPartialGang starts a gang without those of its tasks that do not fit.
	faultPartialGang
	// faultLoseRetry drops a failed task instead of retrying it.
	faultLoseRetry
	// faultIdleCapacity does not retry waiting tasks when capacity is freed.
	faultIdleCapacity
	// faultTransition lets a task that is being stopped return to running.
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

// WithAttempts makes the placer take the attempts of its runs from next. By
// default their sequence numbers count from 1, without epoch or owner.
func WithAttempts(next func() namer.Attempt) Option {
	return func(s *settings) { s.attempts = next }
}

// WithSeed seeds the random numbers that add jitter to retries and choose where
// searches begin. The default is 1.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithFirstFit makes the placer try every pending task in order of submission
// on every worker in order of arrival, without indexes, fair sharing or
// preemption. It is the baseline of the benchmarks.
func WithFirstFit() Option {
	return func(s *settings) { s.firstFit = true }
}

// WithCheckpointTimeout sets how long a preempted task may take to save its
// work before it is stopped without a checkpoint. The default is 2 s.
func WithCheckpointTimeout(d time.Duration) Option {
	return func(s *settings) { s.checkpointTimeout = d }
}

// WithBackoff sets the first and the longest wait before a failed task is
// retried. The wait doubles with each failure and is then jittered by a factor
// between 0.5 and 1.5. The defaults are 1 s and 2 min.
func WithBackoff(first, longest time.Duration) Option {
	return func(s *settings) {
		s.backoff = first
		s.maxBackoff = longest
	}
}

// WithFailureLimit sets the number of consecutive failures after which a worker
// is set aside, and the interval after which it is probed with one task; the
// interval doubles with each failed probe, up to maxInterval. The defaults are
// 3 failures, 30 s and 10 min.
func WithFailureLimit(failures int, interval, maxInterval time.Duration) Option {
	return func(s *settings) {
		s.failureLimit = failures
		s.probeInterval = interval
		s.maxProbeInterval = maxInterval
	}
}

// WithTaskRetries sets how often a task of a batch or gang job is restarted
// after a failure. The default is 3. Services are restarted without limit.
func WithTaskRetries(retries int) Option {
	return func(s *settings) { s.taskRetries = retries }
}

// WithStarvation sets how long a task may fail to find capacity before some is
// claimed for it. While capacity is claimed on a worker, only work that is
// expected to end in time is started there. The default is 30 s.
func WithStarvation(d time.Duration) Option {
	return func(s *settings) { s.starvation = d }
}
