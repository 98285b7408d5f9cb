package router

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// clockRateError is the largest difference between the rates of two hosts'
	// clocks, as a fraction.
	clockRateError = 0.01
	// minCost is the cost charged to a team for a request, in seconds, while the
	// service's average service time is unknown.
	minCost = 0.001
)

// Caller calls a method of a peer. *messenger.Pool implements it. Its errors wrap
// those of messenger, such as messenger.ErrUnreachable.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Claimer records the claims of non-idempotent requests.
type Claimer interface {
	// Claim claims the right to run the request with the given identity. It
	// returns ErrIdentity or ErrExpired for an identity that cannot be claimed,
	// and ErrNotClaimed if the claim was certainly not won.
	Claim(ctx context.Context, identity string) (Verdict, error)
	// End records the outcome of a claimed request. It does not block.
	End(identity string, outcome recorder.Outcome)
}

// Verdict is the result of Claim.
type Verdict struct {
	// Won reports whether the caller of Claim, and nobody else, may run the
	// request.
	Won bool
	// Outcome is the outcome of the request that claimed the identity before, or
	// empty if it is not known.
	Outcome recorder.Outcome
}

// settings holds the values set by options. It does not change after New.
type settings struct {
	clock      timekeeper.Clock
	startedAt  time.Time
	dataCentre string
	caller     Caller
	claimer    Claimer
	strategy   Strategy
	logger     log.Interface
	registry   prometheus.Registerer
	// leaseTerm is how long an owner may send to a minion, counted from the
	// sending of the last request or probe that the minion accepted.
	leaseTerm time.Duration
	// maxDeliveryTime is the longest time between the sending of a byte and its
	// arrival.
	maxDeliveryTime time.Duration
	// retryShare is the fraction of a retry that each successful request adds to
	// the retry budget.
	retryShare float64
	// faults are set by tests to show that the property tests detect them.
	faults faults
}

// faults are deliberate faults for tests. The zero value has none.
type faults struct {
	// freeLostSlots frees the slot of an attempt whose answer was lost.
	freeLostSlots bool
	// skipTakeoverWait lets a new owner use all slots of a minion at once.
	skipTakeoverWait bool
	// ignoreLease sends after the lease or the write deadline has passed.
	ignoreLease bool
	// ignoreAttemptID accepts an answer to another attempt.
	ignoreAttemptID bool
	// retryAll retries every request, without a budget.
	retryAll bool
	// reportSentAsUnsent reports a lost attempt as unsent, though it may have run.
	reportSentAsUnsent bool
	// waitPastDeadline lets calls to peers last longer than the deadline.
	waitPastDeadline bool
}

// Option configures a Router.
type Option func(*settings)

// Clock sets the clock. The default is the system clock.
func Clock(clock timekeeper.Clock) Option {
	return func(s *settings) {
		s.clock = clock
	}
}

// DataCentre sets the data centre whose minions are used. The default is the empty
// name, which means the minions of all data centres.
func DataCentre(name string) Option {
	return func(s *settings) {
		s.dataCentre = name
	}
}

// Peers sets how other entries are called. Without it every request is served by
// the router's own minions.
func Peers(caller Caller) Option {
	return func(s *settings) {
		s.caller = caller
	}
}

// Claims sets the Claimer. Without it, non-idempotent requests that carry an
// identity are refused.
func Claims(claimer Claimer) Option {
	return func(s *settings) {
		s.claimer = claimer
	}
}

// Choice sets the strategy for choosing a minion. The default is ExpectedTime.
func Choice(strategy Strategy) Option {
	return func(s *settings) {
		s.strategy = strategy
	}
}

// LeaseTiming sets the lease term and the longest delivery time of a byte. An owner may
// send to a minion for one lease term, counted from the sending of the last request
// or probe that the minion accepted. The defaults are 5 s and 1 s.
func LeaseTiming(leaseTerm, maxDeliveryTime time.Duration) Option {
	return func(s *settings) {
		s.leaseTerm = leaseTerm
		s.maxDeliveryTime = maxDeliveryTime
	}
}

// RetryShare sets the fraction of a retry that each successful request adds to the
// retry budget. The default is 0.1.
func RetryShare(share float64) Option {
	return func(s *settings) {
		s.retryShare = share
	}
}

// Logger sets the logger. The default discards everything.
func Logger(logger log.Interface) Option {
	return func(s *settings) {
		s.logger = logger
	}
}

// Metrics registers the router's metrics. By default they are not registered.
func Metrics(registry prometheus.Registerer) Option {
	return func(s *settings) {
		s.registry = registry
	}
}

func newSettings(opts []Option) *settings {
	s := &settings{
		clock:    timekeeper.System(),
		strategy: ExpectedTime{},
		logger: &log.Logger{
			Handler: discard.New(),
		},
		leaseTerm:       5 * time.Second,
		maxDeliveryTime: time.Second,
		retryShare:      0.1,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.startedAt = s.clock.Now()
	return s
}

// sinceStart returns the nanoseconds from the router's start to now.
func (s *settings) sinceStart(now time.Time) int64 {
	return now.Sub(s.startedAt).Nanoseconds()
}

// maxAttemptTime returns the longest time from the reservation of a slot to the end
// of the attempt at the minion. left is the time that the minion is given.
func (s *settings) maxAttemptTime(left time.Duration) time.Duration {
	return dialTimeout + addClockRateError(left) + s.maxDeliveryTime
}

// takeoverWait returns how long requests of former owners may still run at a minion
// after it has accepted the new owner's epoch.
func (s *settings) takeoverWait(config ServiceConfig) time.Duration {
	return addClockRateError(s.leaseTerm) + s.maxAttemptTime(config.maxTimeout)
}

// addClockRateError lengthens d by the largest clock rate error.
func addClockRateError(d time.Duration) time.Duration {
	return d + time.Duration(clockRateError*float64(d))
}
