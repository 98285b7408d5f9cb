package server

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/galenacove/galenacove/timekeeper"
)

// Option configures a Server.
type Option func(*settings)

// settings holds the values of the options, which are described at the functions
// that set them.
type settings struct {
	clock  timekeeper.Clock
	logger log.Interface
	// callers, peers and operators are the listeners of the three ports.
	callers, peers, operators net.Listener
	// advertisedAddress is the address at which peers reach this process. If it is
	// empty, that is the address of the peers' listener.
	advertisedAddress string
	platformAddresses []string
	seeds             []string
	secret            string
	// tokens maps an operator's token to the operator's name.
	tokens            map[string]string
	serverTLS         *tls.Config
	peerTLS           *tls.Config
	leaseLength       time.Duration
	renewalInterval   time.Duration
	maxDeliveryTime   time.Duration
	heartbeatInterval time.Duration
	suspectAfter      time.Duration
	hostPollInterval  time.Duration
	stopGrace         time.Duration
	stopTimeout       time.Duration
	maxClockError     float64
}

const (
	defaultLease       = 15 * time.Second
	defaultRenewal     = 5 * time.Second
	defaultDelivery    = time.Second
	defaultHeartbeat   = 500 * time.Millisecond
	defaultSuspicion   = 2500 * time.Millisecond
	defaultHostPoll    = time.Second
	defaultStopGrace   = time.Second
	defaultStopTimeout = 30 * time.Second
	defaultClockError  = 0.01
)

func newSettings(opts []Option) settings {
	s := settings{
		clock: timekeeper.System(),
		logger: &log.Logger{
			Handler: discard.Default,
		},
		leaseLength:       defaultLease,
		renewalInterval:   defaultRenewal,
		maxDeliveryTime:   defaultDelivery,
		heartbeatInterval: defaultHeartbeat,
		suspectAfter:      defaultSuspicion,
		hostPollInterval:  defaultHostPoll,
		stopGrace:         defaultStopGrace,
		stopTimeout:       defaultStopTimeout,
		maxClockError:     defaultClockError,
	}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// Clock sets the clock. The default is the system clock.
func Clock(clock timekeeper.Clock) Option {
	return func(s *settings) {
		s.clock = clock
	}
}

// Logger sets the logger. The default discards everything.
func Logger(logger log.Interface) Option {
	return func(s *settings) {
		s.logger = logger
	}
}

// Listeners sets the listeners of the ports for callers, peers and operators.
// They have no default; the server closes them when it stops.
func Listeners(callers, peers, operators net.Listener) Option {
	return func(s *settings) {
		s.callers = callers
		s.peers = peers
		s.operators = operators
	}
}

// Advertise sets the address at which peers reach this process. The default is
// the address of the peers' listener.
func Advertise(address string) Option {
	return func(s *settings) {
		s.advertisedAddress = address
	}
}

// Platform sets the base addresses of the platform, such as
// "http://10.0.0.1:9000". It has no default.
func Platform(addresses ...string) Option {
	return func(s *settings) {
		s.platformAddresses = addresses
	}
}

// Seeds sets the addresses of peers that are asked for the configuration when
// the platform is unreachable at the start. The default is none.
func Seeds(addresses ...string) Option {
	return func(s *settings) {
		s.seeds = addresses
	}
}

// Secret sets the secret that all entries of the cell share. The default is
// empty.
func Secret(secret string) Option {
	return func(s *settings) {
		s.secret = secret
	}
}

// Operators sets the operators' tokens: a map from token to name. By default
// nobody may send statements.
func Operators(tokens map[string]string) Option {
	return func(s *settings) {
		s.tokens = tokens
	}
}

// TLS sets the TLS configuration of the callers' and operators' ports, and that
// of the connections between peers. The default is plain TCP.
func TLS(server, peers *tls.Config) Option {
	return func(s *settings) {
		s.serverTLS = server
		s.peerTLS = peers
	}
}

// Leases sets how long a task may run without a renewal of its lease, and the
// interval between renewals. The defaults are 15 s and 5 s.
func Leases(leaseLength, renewalInterval time.Duration) Option {
	return func(s *settings) {
		s.leaseLength = leaseLength
		s.renewalInterval = renewalInterval
	}
}

// Bounds sets the longest delivery time of a message, and the largest error of
// a host's clock rate as a fraction. The defaults are 1 s and 0.01.
func Bounds(maxDeliveryTime time.Duration, maxClockError float64) Option {
	return func(s *settings) {
		s.maxDeliveryTime = maxDeliveryTime
		s.maxClockError = maxClockError
	}
}

// Heartbeats sets the interval of heartbeats between members, and for how long
// they may be missing before a member is suspected to have failed. The defaults
// are 500 ms and 2.5 s.
func Heartbeats(interval, suspectAfter time.Duration) Option {
	return func(s *settings) {
		s.heartbeatInterval = interval
		s.suspectAfter = suspectAfter
	}
}

// HostPoll sets the interval at which the platform's host list is read. The
// default is 1 s.
func HostPoll(interval time.Duration) Option {
	return func(s *settings) {
		s.hostPollInterval = interval
	}
}

// Stopping sets how long a stopping process still accepts requests while its
// health check already fails, so that the balancer can remove it, and how long
// it then waits for requests in flight and for the hand-over to its peers. The
// defaults are 1 s and 30 s.
func Stopping(stopGrace, timeout time.Duration) Option {
	return func(s *settings) {
		s.stopGrace = stopGrace
		s.stopTimeout = timeout
	}
}
