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
	// ErrNotMember is returned to a peer that is not a member of the epoch.
	ErrNotMember = errors.New("dispatcher: not a member")
	// ErrNotConfigured is the error of a call whose option, Peers or Commit, is
	// not set.
	ErrNotConfigured = errors.New("dispatcher: the option for this call is not set")
)

// Caller makes net/rpc calls to peers. messenger.Pool implements it.
type Caller interface {
	// Call calls a method of the peer at the address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// CommitFunc appends a record with the given body to the log, and returns nil
// once the record was read back as accepted.
type CommitFunc func(ctx context.Context, body recorder.Body) error

// Option configures a Dispatcher.
type Option func(*settings)

type settings struct {
	clock       timekeeper.Clock
	newWorker   func(address string) connector.Worker
	caller      Caller
	commit      CommitFunc
	audit       func(recorder.Audit)
	timings     timings
	gangTerm    time.Duration
	unfitAfter  time.Duration
	parallelism int
	seed        uint64
	logger      log.Interface
	registerer  prometheus.Registerer
	placer      []placer.Option
	// fault is the mistake that a test has switched on, to verify that the
	// tests detect it.
	fault fault
}

// fault is a deliberate mistake that only tests switch on.
type fault uint8

const (
	_ fault = iota
	// faultEarlyTakeover takes a worker over without waiting until no start order
	// of a former owner can arrive any more.
	faultEarlyTakeover
	// faultEarlyLapse considers a lease lapsed one lease term early.
	faultEarlyLapse
	// faultEarlyAcknowledge lets a worker forget a finished task before the log
	// has recorded it.
	faultEarlyAcknowledge
	// faultLateStart sends start orders however long ago the worker accepted a
	// renewal.
	faultLateStart
	// faultNoCensus places uncertain tasks before every member has reported.
	faultNoCensus
	// faultPartialGang starts the part of a gang for which capacity is
	// reserved, without waiting for the rest.
	faultPartialGang
	// faultForgetUnknown frees the capacity of a run whose start order was not
	// answered.
	faultForgetUnknown
)

// timings are the durations on which the safety of takeovers depends.
type timings struct {
	// lease is how long a task runs without a renewal. It is also how long an
	// owner may start tasks on a worker after sending a renewal that the worker
	// accepted.
	lease time.Duration
	// renewal is the interval between two renewals sent to a worker.
	renewal time.Duration
	// clockError is the largest relative difference between the clock rates of
	// two hosts.
	clockError float64
	// delivery is the longest time between the writing of a message and its
	// reading.
	delivery time.Duration
}

// expiryDelay returns how long after the writing of a message everything that
// it allowed has certainly ended at its reader.
func (t timings) expiryDelay() time.Duration {
	return t.lease + time.Duration(float64(t.lease)*t.clockError) + t.delivery
}

func defaultSettings() settings {
	return settings{
		clock: timekeeper.System(),
		timings: timings{
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

// Workers sets the function that makes the client of the worker at an address.
// Without it no worker is contacted.
func Workers(client func(address string) connector.Worker) Option {
	return func(s *settings) { s.newWorker = client }
}

// Peers sets the client for calls to peers. Without it no peer is called.
func Peers(caller Caller) Option {
	return func(s *settings) { s.caller = caller }
}

// Commit sets the function that records the progress and the end of jobs in the
// log. Without it nothing is recorded, and no worker forgets a finished task.
func Commit(commit CommitFunc) Option {
	return func(s *settings) { s.commit = commit }
}

// Audit sets the function that receives an audit record for each act of the
// dispatcher itself: takeovers, workers set aside or put back, jobs ended. It
// must not block. Without it these records are dropped.
func Audit(audit func(recorder.Audit)) Option {
	return func(s *settings) { s.audit = audit }
}

// Timings sets the lease of a task, the interval between two renewals, the
// largest relative difference between clock rates, and the longest delivery
// time of a message. The defaults are 10 s, 3 s, 0.01 and 1 s. They must be the
// same at every entry of the data centre.
func Timings(lease, renewal time.Duration, clockError float64, delivery time.Duration) Option {
	return func(s *settings) {
		s.timings = timings{
			lease:      lease,
			renewal:    renewal,
			clockError: clockError,
			delivery:   delivery,
		}
	}
}

// GangTerm sets how long a home keeps trying to reserve capacity for all tasks
// of a gang before it releases what it has and waits. The default is 5 s.
func GangTerm(d time.Duration) Option {
	return func(s *settings) { s.gangTerm = d }
}

// UnfitAfter sets how long a job waits before it ends as failed while no worker
// is large enough for one of its tasks, or all workers together are too small
// for a gang. The default is 10 s.
func UnfitAfter(d time.Duration) Option {
	return func(s *settings) { s.unfitAfter = d }
}

// Parallelism sets the largest number of concurrent calls. The default is 256.
func Parallelism(n int) Option {
	return func(s *settings) { s.parallelism = n }
}

// Seed sets the seed of the random delays between retries. The default is 1.
func Seed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// Logger sets the logger. By default nothing is logged.
func Logger(logger log.Interface) Option {
	return func(s *settings) { s.logger = logger }
}

// Metrics registers the metrics of the package. By default they are not
// registered.
func Metrics(registerer prometheus.Registerer) Option {
	return func(s *settings) { s.registerer = registerer }
}

// Placing passes options to the placer.
func Placing(opts ...placer.Option) Option {
	return func(s *settings) { s.placer = append(s.placer, opts...) }
}
