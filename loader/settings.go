// Package loader reads the settings of one entry process from TOML and validates
// them. It reports all faults at once, each with its file, line and key.
//
// The settings of a process are its own addresses and data centre, the addresses
// of the platform and its peers, and its timings ([terms]). The configuration of
// the whole cell, such as teams and services, is kept in the log instead.
package loader

import (
	"time"
)

// The defaults of the sections [terms] and [log].
const (
	DefaultLease          = 15 * time.Second
	DefaultRenewal        = 5 * time.Second
	DefaultHeartbeat      = 500 * time.Millisecond
	DefaultSuspect        = 2 * time.Second
	DefaultDelivery       = 2 * time.Second
	DefaultClockRateError = 150 * time.Millisecond
	DefaultGrace          = time.Second
	DefaultStop           = 30 * time.Second
	DefaultLevel          = "info"
	DefaultFormat         = FormatJSON
)

// Settings are the validated settings of one entry process.
type Settings struct {
	entry     Entry
	platform  Platform
	peers     Peers
	terms     Terms
	log       Log
	operators []Operator
	tls       TLS
}

// Entry returns the section [entry].
func (s Settings) Entry() Entry { return s.entry }

// Platform returns the section [platform].
func (s Settings) Platform() Platform { return s.platform }

// Peers returns the section [peers].
func (s Settings) Peers() Peers { return s.peers }

// Terms returns the section [terms].
func (s Settings) Terms() Terms { return s.terms }

// Log returns the section [log].
func (s Settings) Log() Log { return s.log }

// Operators returns the sections [[operator]], in their order.
func (s Settings) Operators() []Operator { return s.operators }

// TLS returns the section [tls], and whether it is present.
func (s Settings) TLS() (TLS, bool) { return s.tls, s.tls != TLS{} }

// Entry has the name of the process, its data centre and the addresses that it
// listens on.
type Entry struct {
	// name and dataCentre consist of lower-case letters, digits and inner
	// hyphens.
	name       string
	dataCentre string
	// callers, peers and operators are IP addresses with a port. The process can
	// listen on all of them at the same time.
	callers   string
	peers     string
	operators string
}

// Name returns the name of the process, unique within the cell.
func (e Entry) Name() string { return e.name }

// DataCentre returns the name of the data centre that the process is in.
func (e Entry) DataCentre() string { return e.dataCentre }

// Callers returns the address to listen on for callers.
func (e Entry) Callers() string { return e.callers }

// Peers returns the address to listen on for other entry processes, which is
// also the one at which they reach this process.
func (e Entry) Peers() string { return e.peers }

// Operators returns the address to listen on for operators.
func (e Entry) Operators() string { return e.operators }

// Platform has the addresses of the platform.
type Platform struct {
	// addresses are unique base URLs, at least one.
	addresses []string
}

// Addresses returns the base URLs of the platform, such as
// "http://10.0.0.1:9000". Records are appended through the first.
func (p Platform) Addresses() []string { return p.addresses }

// Peers has what entry processes need to find and authenticate each other.
type Peers struct {
	// secret has at least MinSecretLength bytes.
	secret string
	// seeds are IP addresses with a port.
	seeds []string
}

// Secret returns the secret that all entry processes of the cell share, with
// which they authenticate each other.
func (p Peers) Secret() string { return p.secret }

// Seeds returns the addresses of peers that a process asks for the configuration
// when the platform is unreachable. The default is none.
func (p Peers) Seeds() []string { return p.seeds }

// Terms are the timings that all processes of a cell share.
type Terms struct {
	// lease is at least twice renewal, and at least clockRateError.
	lease   time.Duration
	renewal time.Duration
	// suspect is at least twice heartbeat.
	heartbeat      time.Duration
	suspect        time.Duration
	delivery       time.Duration
	clockRateError time.Duration
	grace          time.Duration
	stop           time.Duration
}

// Lease returns how long a task may run without a renewal of its lease. The
// default is DefaultLease.
func (t Terms) Lease() time.Duration { return t.lease }

// Renewal returns the interval between renewals of a lease. The default is
// DefaultRenewal.
func (t Terms) Renewal() time.Duration { return t.renewal }

// Heartbeat returns the interval at which an entry process sends heartbeats to
// its peers. The default is DefaultHeartbeat.
func (t Terms) Heartbeat() time.Duration { return t.heartbeat }

// Suspect returns for how long the heartbeats of a peer may be missing before it
// is suspected to have failed. The default is DefaultSuspect.
func (t Terms) Suspect() time.Duration { return t.suspect }

// Delivery returns the longest delivery time of a message. The default is
// DefaultDelivery.
func (t Terms) Delivery() time.Duration { return t.delivery }

// ClockRateError returns by how much two clocks may drift apart over one lease.
// The default is DefaultClockRateError.
func (t Terms) ClockRateError() time.Duration { return t.clockRateError }

// Grace returns how long a stopping process still accepts requests while its
// health check already fails, so that the balancer can remove it. The default is
// DefaultGrace.
func (t Terms) Grace() time.Duration { return t.grace }

// Stop returns how long a stopping process waits, after Grace has passed, for
// requests in flight and for the hand-over to its peers. The default is
// DefaultStop.
func (t Terms) Stop() time.Duration { return t.stop }

// Format is the format of log lines.
type Format string

// The formats of log lines.
const (
	FormatJSON Format = "json"
	FormatText Format = "text"
)

// Log has the level and the format of the log.
type Log struct {
	level  string
	format Format
}

// Level returns the lowest level that is logged: debug, info, warn or error.
// The default is DefaultLevel.
func (l Log) Level() string { return l.level }

// Format returns the format of log lines. The default is DefaultFormat.
func (l Log) Format() Format { return l.format }

// Operator is a person or program that may send statements.
type Operator struct {
	// name and token are unique among the operators.
	name  string
	token string
}

// Name returns the operator's name, for the audit trail.
func (o Operator) Name() string { return o.name }

// Token returns the bearer token that authenticates the operator.
func (o Operator) Token() string { return o.token }

// TLS has the paths of the TLS certificates and the key.
type TLS struct {
	// Either all are set or none.
	certificate string
	key         string
	authority   string
}

// Certificate returns the path of the process's certificate in PEM.
func (t TLS) Certificate() string { return t.certificate }

// Key returns the path of the certificate's key in PEM.
func (t TLS) Key() string { return t.key }

// Authority returns the path of the CA certificates in PEM that peers'
// certificates are verified against.
func (t TLS) Authority() string { return t.authority }

func defaults() Settings {
	return Settings{
		terms: Terms{
			lease:          DefaultLease,
			renewal:        DefaultRenewal,
			heartbeat:      DefaultHeartbeat,
			suspect:        DefaultSuspect,
			delivery:       DefaultDelivery,
			clockRateError: DefaultClockRateError,
			grace:          DefaultGrace,
			stop:           DefaultStop,
		},
		log: Log{
			level:  DefaultLevel,
			format: DefaultFormat,
		},
	}
}
