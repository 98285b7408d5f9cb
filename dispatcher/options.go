package dispatcher

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/placer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/timekeeper"
)

// Defaults of the options.
const (
	defaultLease       = 10 * time.Second
	defaultRenewal     = 3 * time.Second
	defaultClockError  = 0.01
	defaultDelivery    = time.Second
	defaultGangTerm    = 5 * time.Second
	defaultUnfitAfter  = 10 * time.Second
	defaultParallelism = 256
	defaultSeed        = 1
)

// The errors of the package.
var (
	// ErrStranger is returned to a peer that is no member.
	ErrNotMember = errors.New("dispatcher: not a member")
	// ErrOff is returned where no option gave the means for a call.
	ErrNotConfigured = errors.New("dispatcher: no means for the call")
)

// Caller calls the peers, as messenger.Pool does.
type Caller interface {
	// Call calls a method of the peer at the address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// CommitFunc appends a record of the given body to the log and returns nil
// once it was read back as accepted.
type CommitFunc func(ctx context.Context, body recorder.Body) error

// Option changes how a Dispatcher works.
type Option func(*settings)

type settings struct {
	clock       timekeeper.Clock
	newWorker   func(address string) connector.Worker
	caller      Caller
	commit      CommitFunc
	audit       func(recorder.Audit)
	terms       terms
	gangTerm    time.Duration
	unfitAfter  time.Duration
	parallelism int
	seed        uint64
	logger      log.Interface
	registerer  prometheus.Registerer
	placer      []placer.Option
	// fault is a mistake that a test asks for, to see that it is found.
	fault fault
}

// fault names a mistake that only tests ask for.
type fault uint8

const (
	_ fault = iota
	// faultEarlyTakeover takes a worker over without waiting for the former
	// owner's last contact to lapse.
	faultEarlyTakeover
	// faultEarlyLapse calls a lease lapsed one lease term early.
	faultEarlyLapse
	// faultEarlyAcknowledge lets a worker forget a finished task before the
	// log has it.
	faultEarlyAcknowledge
	// faultLateStart starts without looking at the age of the last contact.
	faultLateStart
	// faultNoCensus places uncertain tasks before every member has reported.
	faultNoCensus
	// faultPartialGang starts the reserved part of a gang at once.
	faultPartialGang
	// faultForgetUnknown drops the reservation of a start whose outcome is
	// not known.
	faultForgetUnknown
)

// terms are the durations on which the safety of takeovers rests.
type terms struct {
	// lease is how long a task runs without a renewal, and how long after the
	// sending of a contact its sender may start tasks.
	lease time.Duration
	// renewal is the interval between two contacts with a worker.
	renewal time.Duration
	// clockError is the largest relative difference of the rates of two
	// hosts' clocks.
	clockError float64
	// delivery is the longest time between the writing of a message and its
	// reading.
	delivery time.Duration
}

// lapse returns how long after the writing of a message everything that it
// allowed has certainly ended at its reader.
func (t terms) expiryDelay() time.Duration {
	return t.lease + time.Duration(float64(t.lease)*t.clockError) + t.delivery
}

func defaultSettings() settings {
	return settings{
		clock: timekeeper.System(),
		terms: terms{
			lease:      defaultLease,
			renewal:    defaultRenewal,
			clockError: defaultClockError,
			delivery:   defaultDelivery,
		},
		gangTerm:    defaultGangTerm,
		unfitAfter:  defaultUnfitAfter,
		parallelism: defaultParallelism,
		seed:        defaultSeed,
		logger: &log.Logger{
			Handler: discard.New(),
			Level:   log.FatalLevel,
		},
	}
}

// Clock sets the clock. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(s *settings) { s.clock = clock }
}

// Workers sets how the client of the worker at an address is made. Without it
// no worker is reached.
func Workers(client func(address string) connector.Worker) Option {
	return func(s *settings) { s.newWorker = client }
}

// Peers sets what calls the peers. Without it no peer is reached.
func Peers(caller Caller) Option {
	return func(s *settings) { s.caller = caller }
}

// Commit sets what records the progress and the end of jobs. Without it nothing
// is recorded, and no worker forgets a finished task.
func Commit(commit CommitFunc) Option {
	return func(s *settings) { s.commit = commit }
}

// Audit sets what is told of the acts of the dispatcher itself: takeovers,
// workers set aside, jobs ended. It must not block. The default drops them.
func Audit(audit func(recorder.Audit)) Option {
	return func(s *settings) { s.audit = audit }
}

// Terms sets the lease of a task, the interval between two renewals, the
// largest relative error between the clocks' rates, and the longest delivery
// of a message. The defaults are 10 s, 3 s, 0.01 and 1 s. They must be the same
// at every entry of the data centre.
func Terms(lease, renewal time.Duration, clockError float64, delivery time.Duration) Option {
	return func(s *settings) {
		s.terms = terms{
			lease:      lease,
			renewal:    renewal,
			clockError: clockError,
			delivery:   delivery,
		}
	}
}

// GangTerm sets how long the room of a gang is kept at most while the rest of
// it is looked for. The default is 5 s.
func GangTerm(d time.Duration) Option {
	return func(s *settings) { s.gangTerm = d }
}

// UnfitAfter sets how long no worker must be large enough for a job before the job
// is ended as one that can never run. The default is 10 s.
func UnfitAfter(d time.Duration) Option {
	return func(s *settings) { s.unfitAfter = d }
}

// Parallelism sets how many calls run at once. The default is 256.
func Parallelism(n int) Option {
	return func(s *settings) { s.parallelism = n }
}

// Seed seeds the random numbers that spread retries. The default is 1.
func Seed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// Logger sets the log. The default drops everything.
func Logger(logger log.Interface) Option {
	return func(s *settings) { s.logger = logger }
}

// Metrics registers the metrics of the package. The default does not.
func Metrics(registerer prometheus.Registerer) Option {
	return func(s *settings) { s.registerer = registerer }
}

// Placing passes options on to the placer.
func Placing(opts ...placer.Option) Option {
	return func(s *settings) { s.placer = append(s.placer, opts...) }
}
