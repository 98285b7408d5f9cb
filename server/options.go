package server

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/galenacove/galenacove/timekeeper"
)

// Option changes how a Server works.
type Option func(*settings)

// settings are what the options set.
type settings struct {
	clock  timekeeper.Clock
	logger log.Interface
	// callers, peers and operators are the listeners of the three ports.
	callers, peers, operators net.Listener
	// advertised is the address that peers are given, empty for that of the
	// peers' listener.
	advertised string
	platform   []string
	seeds      []string
	secret     string
	// tokens maps an operator's token to the operator's name.
	tokens     map[string]string
	serverTLS  *tls.Config
	peerTLS    *tls.Config
	lease      time.Duration
	renewal    time.Duration
	delivery   time.Duration
	heartbeat  time.Duration
	suspicion  time.Duration
	hostPoll   time.Duration
	grace      time.Duration
	stop       time.Duration
	clockError float64
}

const (
	defaultLease      = 15 * time.Second
	defaultRenewal    = 5 * time.Second
	defaultDelivery   = time.Second
	defaultHeartbeat  = 500 * time.Millisecond
	defaultSuspicion  = 2500 * time.Millisecond
	defaultHostPoll   = time.Second
	defaultGrace      = time.Second
	defaultStop       = 30 * time.Second
	defaultClockError = 0.01
)

func newSettings(opts []Option) settings {
	s := settings{
		clock: timekeeper.System(),
		logger: &log.Logger{
			Handler: discard.Default,
		},
		lease:      defaultLease,
		renewal:    defaultRenewal,
		delivery:   defaultDelivery,
		heartbeat:  defaultHeartbeat,
		suspicion:  defaultSuspicion,
		hostPoll:   defaultHostPoll,
		grace:      defaultGrace,
		stop:       defaultStop,
		clockError: defaultClockError,
	}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// Clock sets the clock. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(s *settings) {
		s.clock = clock
	}
}

// Logger sets where the process logs. The default discards everything.
func Logger(logger log.Interface) Option {
	return func(s *settings) {
		s.logger = logger
	}
}

// Listeners sets the ports for callers, peers and operators. They have no
// default; the server closes them when it stops.
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
		s.advertised = address
	}
}

// Platform sets the base addresses of the platform, such as
// "http://10.0.0.1:9000". It has no default.
func Platform(addresses ...string) Option {
	return func(s *settings) {
		s.platform = addresses
	}
}

// Seeds sets the peers' addresses that are asked for the configuration when
// the platform is out of reach at the start. The default is none.
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
// nobody may give commands.
func Operators(tokens map[string]string) Option {
	return func(s *settings) {
		s.tokens = tokens
	}
}

// TLS encrypts the callers' and operators' ports with the first configuration,
// and the connections between peers with the second. The default is plain
// TCP.
func TLS(server, peers *tls.Config) Option {
	return func(s *settings) {
		s.serverTLS = server
		s.peerTLS = peers
	}
}

// Leases sets how long a task may run without a renewal, and how often leases
// are renewed. The default is 15 s and 5 s.
func Leases(lease, renewal time.Duration) Option {
	return func(s *settings) {
		s.lease = lease
		s.renewal = renewal
	}
}

// Bounds sets the longest time that a message travels, and the largest error of
// a host's clock rate as a fraction. The default is 1 s and 0.01.
func Bounds(delivery time.Duration, clockError float64) Option {
	return func(s *settings) {
		s.delivery = delivery
		s.clockError = clockError
	}
}

// Heartbeats sets how often members call each other, and after how long a
// silence a member is suspected. The default is 500 ms and 2.5 s.
func Heartbeats(interval, suspicion time.Duration) Option {
	return func(s *settings) {
		s.heartbeat = interval
		s.suspicion = suspicion
	}
}

// HostPoll sets how often the platform's host list is read. The default is
// 1 s.
func HostPoll(interval time.Duration) Option {
	return func(s *settings) {
		s.hostPoll = interval
	}
}

// Stopping sets how long a stopping process goes on taking requests while the
// balancer sees that it leaves, and how long it then waits for what is in
// flight. The default is 1 s and 30 s.
func Stopping(grace, longest time.Duration) Option {
	return func(s *settings) {
		s.grace = grace
		s.stop = longest
	}
}
