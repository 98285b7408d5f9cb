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
	// clockRateError is the most by which two hosts' clocks run at different
	// rates, as a share.
	clockRateError = 0.01
	// minCost is what a request is charged to its team while no time of
	// service is known, in seconds.
	minCost = 0.001
)

// Caller calls a method of a peer; *messenger.Pool is one. Its errors are
// marked as those of messenger.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Claimer keeps the claims of non-idempotent requests.
type Claimer interface {
	// Claim claims the single attempt of a request. It fails with ErrIdentity
	// or ErrExpired for an identity that may not be claimed, and with
	// ErrNotClaimed where the claim is certainly not won.
	Claim(ctx context.Context, request string) (Verdict, error)
	// End says what became of a claimed request. It does not wait.
	End(request string, outcome recorder.Outcome)
}

// Verdict is the answer to a claim.
type Verdict struct {
	// Won says that the caller of Claim, and nobody else, may run the request.
	Won bool
	// Outcome is what became of an earlier claim's request, or empty if that
	// is not known.
	Outcome recorder.Outcome
}

// settings are what the options set. They do not change.
type settings struct {
	clock      timekeeper.Clock
	start      time.Time
	dataCentre string
	caller     Caller
	claimer    Claimer
	strategy   Strategy
	logger     log.Interface
	registry   prometheus.Registerer
	// term is how long after the sending of an accepted contact an owner may
	// send to a minion.
	term time.Duration
	// delivery is the longest that a sent byte may be under way.
	delivery time.Duration
	// retries is the share of successes that may be attempted again.
	retries float64
	// faults are seeded by tests, to show that the properties find them.
	faults faults
}

// faults are what a test breaks. The zero value breaks nothing.
type faults struct {
	// freeLost frees the slot of an attempt whose answer was lost.
	freeLost bool
	// skipRest gives a new owner every slot at once.
	skipRest bool
	// ignoreLease sends without the right to.
	ignoreLease bool
	// ignoreAttempt takes any answer as the attempt's own.
	ignoreAttempt bool
	// retryAll tries every request again, without a budget.
	retryAll bool
	// denySent says of a request that was sent that it did not run.
	denySent bool
	// waitLonger lets peers answer after the deadline.
	waitLonger bool
}

// Option changes how a Router works.
type Option func(*settings)

// Clock sets the clock. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(s *settings) {
		s.clock = clock
	}
}

// DataCentre names the data centre whose minions are used. The default is the
// empty name, for those of all.
func DataCentre(name string) Option {
	return func(s *settings) {
		s.dataCentre = name
	}
}

// Peers sets how other entries are called. Without it every request is served
// by the router's own minions.
func Peers(caller Caller) Option {
	return func(s *settings) {
		s.caller = caller
	}
}

// Claims sets who keeps the claims. Without it a non-idempotent request with
// an identity is refused.
func Claims(claimer Claimer) Option {
	return func(s *settings) {
		s.claimer = claimer
	}
}

// Choice sets how a minion is chosen. The default is ExpectedTime.
func Choice(strategy Strategy) Option {
	return func(s *settings) {
		s.strategy = strategy
	}
}

// Terms sets for how long after a contact with a minion its owner may send to
// it, and the longest that a sent byte may be under way. The defaults are 5 s
// and 1 s.
func Terms(term, delivery time.Duration) Option {
	return func(s *settings) {
		s.term = term
		s.delivery = delivery
	}
}

// RetryShare sets the share of successes that may be attempted again. The
// default is 0.1.
func RetryShare(share float64) Option {
	return func(s *settings) {
		s.retries = share
	}
}

// Logger sets where logs go. The default is nowhere.
func Logger(logger log.Interface) Option {
	return func(s *settings) {
		s.logger = logger
	}
}

// Metrics registers the router's metrics. The default is not to.
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
		term:     5 * time.Second,
		delivery: time.Second,
		retries:  0.1,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.start = s.clock.Now()
	return s
}

// since returns nanoseconds since the router's start.
func (s *settings) since(now time.Time) int64 {
	return now.Sub(s.start).Nanoseconds()
}

// lapse returns how long after its reservation an attempt has certainly ended,
// if the minion was given so much time.
func (s *settings) lapse(left time.Duration) time.Duration {
	return dialTimeout + stretch(left) + s.delivery
}

// rest returns how long after a minion accepted an epoch the requests of
// former owners have certainly ended.
func (s *settings) rest(terms ServiceTerms) time.Duration {
	return stretch(s.term) + s.lapse(terms.longest)
}

// stretch adds the clocks' rate error.
func stretch(d time.Duration) time.Duration {
	return d + time.Duration(clockRateError*float64(d))
}
