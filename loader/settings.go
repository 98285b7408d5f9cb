// Package loader reads the settings of one entry process from TOML and checks
// them. All faults are found in one run, each with its file, line and key.
//
// The settings of a process are its own addresses and place, where it finds
// the platform and its peers, and its terms. What holds for the whole cell,
// such as teams and services, comes through the log and not from here.
package loader

import (
	"time"
)

// The defaults of the terms and of the log.
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

// Settings are the settings of one entry process. All of them were checked.
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

// TLS returns the section [tls], and whether there is one.
func (s Settings) TLS() (TLS, bool) { return s.tls, s.tls != TLS{} }

// Entry says who the process is and where it listens.
type Entry struct {
	// name and dataCentre are lower-case letters, digits and hyphens.
	name       string
	dataCentre string
	// callers, peers and operators are IP numbers with a port. No two of them
	// clash.
	callers   string
	peers     string
	operators string
}

// Name returns the name of the process, unique within the cell.
func (e Entry) Name() string { return e.name }

// DataCentre returns the name of the data centre that the process is in.
func (e Entry) DataCentre() string { return e.dataCentre }

// Callers returns the address on which callers are served.
func (e Entry) Callers() string { return e.callers }

// Peers returns the address on which other entry processes are served, and at
// which they reach this one.
func (e Entry) Peers() string { return e.peers }

// Operators returns the address on which operators are served.
func (e Entry) Operators() string { return e.operators }

// Platform says where the platform is.
type Platform struct {
	// addresses are base URLs. There is at least one, and none twice.
	addresses []string
}

// Addresses returns the base URLs of the platform, such as
// "http://10.0.0.1:9000". Appends go to the first.
func (p Platform) Addresses() []string { return p.addresses }

// Peers says how the entry processes find and know each other.
type Peers struct {
	// secret has at least MinSecret bytes.
	secret string
	// seeds are IP numbers with a port.
	seeds []string
}

// Secret returns what each entry process of the cell has to know.
func (p Peers) Secret() string { return p.secret }

// Seeds returns the addresses of peers that a process asks when the platform
// is out of reach. The default is none.
func (p Peers) Seeds() []string { return p.seeds }

// Terms are the times that the processes of a cell agree on.
type Terms struct {
	// lease is at least twice renewal, and above clockRateError.
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

// Lease returns how long a task runs without a renewal. The default is
// DefaultLease.
func (t Terms) Lease() time.Duration { return t.lease }

// Renewal returns how often leases are renewed. The default is
// DefaultRenewal.
func (t Terms) Renewal() time.Duration { return t.renewal }

// Heartbeat returns how often an entry process tells its peers that it lives.
// The default is DefaultHeartbeat.
func (t Terms) Heartbeat() time.Duration { return t.heartbeat }

// Suspect returns after which silence a peer is held to be gone. The default
// is DefaultSuspect.
func (t Terms) Suspect() time.Duration { return t.suspect }

// Delivery returns the longest that a message is on its way. The default is
// DefaultDelivery.
func (t Terms) Delivery() time.Duration { return t.delivery }

// ClockRateError returns by how much two clocks may differ over one lease.
// The default is DefaultClockRateError.
func (t Terms) ClockRateError() time.Duration { return t.clockRateError }

// Grace returns how long a stopping process goes on taking requests, while the
// balancer sees that it leaves. The default is DefaultGrace.
func (t Terms) Grace() time.Duration { return t.grace }

// Stop returns how long a stopping process then waits for what is in flight.
// The default is DefaultStop.
func (t Terms) Stop() time.Duration { return t.stop }

// Format is the format of log lines.
type Format string

// The formats of log lines.
const (
	FormatJSON Format = "json"
	FormatText Format = "text"
)

// Log says what is logged, and how.
type Log struct {
	level  string
	format Format
}

// Level returns the lowest level that is logged: debug, info, warn or error.
// The default is DefaultLevel.
func (l Log) Level() string { return l.level }

// Format returns the format of log lines. The default is DefaultFormat.
func (l Log) Format() Format { return l.format }

// Operator is someone who may give commands.
type Operator struct {
	// name and token are unique among the operators.
	name  string
	token string
}

// Name returns the operator's name, for the audit trail.
func (o Operator) Name() string { return o.name }

// Token returns the secret that proves who the operator is.
func (o Operator) Token() string { return o.token }

// TLS names the files with which the processes prove who they are.
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

// Authority returns the path of the certificates in PEM that peers are
// checked against.
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
