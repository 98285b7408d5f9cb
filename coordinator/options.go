package coordinator

import (
	"net"
	"time"

	"github.com/apex/log"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// DecodeConfig decodes a record of the configuration's partition. It returns false
// for a record that holds no configuration.
type DecodeConfig func(record storer.Record) (receiver.Config, bool, error)

// DecodeWorker decodes a record of the directory of workers.
type DecodeWorker func(record storer.Record, now time.Time) (scheduler.WorkerEntry, error)

type settings struct {
	name, dataCentre, secret string
	peerAddress              string
	callers, readiness       net.Listener
	peerListener, metrics    net.Listener
	partitions               int
	shardSize                int
	cores                    float64
	ttl                      time.Duration
	storeLimits              storer.Limits
	overage                  float64
	strictRevocation         bool
	revocationBound          time.Duration
	bootClock                timekeeper.BootClock
	grace                    time.Duration
	clock                    timekeeper.Clock
	logger                   log.Interface
	scheduling               []scheduler.Option
	config, directory        storer.Partition
	decodeConfig             DecodeConfig
	decodeWorker             DecodeWorker
	workers                  conductor.Workers
}

// Option changes how a Coordinator works.
type Option func(*settings)

func newSettings(opts []Option) settings {
	s := settings{
		partitions:  12,
		ttl:         defaultTTL,
		storeLimits: storer.NewLimits(0, 0),
		grace:       6 * time.Second,
		clock:       timekeeper.System(),
		bootClock:   timekeeper.SystemBoot(),
		logger: &log.Logger{
			Handler: log.HandlerFunc(func(*log.Entry) error { return nil }),
			Level:   log.FatalLevel,
		},
	}
	for _, opt := range opts {
		opt(&s)
	}
	if s.shardSize == 0 {
		s.shardSize = shardSizeFor(s.cores)
	}
	return s
}

// Name sets the entry's name and its data centre.
func Name(name, dataCentre string) Option {
	return func(s *settings) {
		s.name = name
		s.dataCentre = dataCentre
	}
}

// Secret sets the secret that all entries share. The default is the empty string.
func Secret(secret string) Option {
	return func(s *settings) {
		s.secret = secret
	}
}

// Listeners sets the listeners on which callers, the balancer's probes and peers
// are served.
func Listeners(callers, readiness, peers net.Listener) Option {
	return func(s *settings) {
		s.callers = callers
		s.readiness = readiness
		s.peerListener = peers
		s.peerAddress = peers.Addr().String()
	}
}

// Metrics sets the listener on which metrics are served. By default they are not
// served.
func Metrics(listener net.Listener) Option {
	return func(s *settings) {
		s.metrics = listener
	}
}

// Partitions sets the number of partitions of each topic of the store. The default
// is 12.
func Partitions(n int) Option {
	return func(s *settings) {
		s.partitions = n
	}
}

// StoreLimits sets the sizes that the store accepts. The default is that of
// storer.NewLimits.
func StoreLimits(limits storer.Limits) Option {
	return func(s *settings) {
		s.storeLimits = limits
	}
}

// Cores sets the number of processor cores that the process may use. An entry
// leaves the partitions to entries with at least twice as many cores. The default
// is 0, which means unknown.
func Cores(cores float64) Option {
	return func(s *settings) {
		s.cores = cores
	}
}

// ShardSize sets the approximate number of workers that one owner serves. The
// default is 160 for entries of 0.8 cores or more, 126 for other entries of 0.4 cores
// or more, and 63 for the rest. It applies only when the number of shards of a service
// is first decided.
func ShardSize(workers int) Option {
	return func(s *settings) {
		s.shardSize = workers
	}
}

// Overage sets the fraction of its maximum by which an organisation may exceed it. The
// default is 0.
func Overage(fraction float64) Option {
	return func(s *settings) {
		s.overage = fraction
	}
}

// Revocation sets whether keys are accepted only with evidence that the configuration is
// the newest, and the time within which a revoked key must stop working. By default they
// are always accepted.
func Revocation(strict bool, bound time.Duration) Option {
	return func(s *settings) {
		s.strictRevocation = strict
		s.revocationBound = bound
	}
}

// BootClock sets the clock on which the age of evidence is measured, and that shows for how long the
// host was suspended. The default is the host's boot-time clock.
func BootClock(clock timekeeper.BootClock) Option {
	return func(s *settings) {
		s.bootClock = clock
	}
}

// MembershipTTL sets how long an entry may go without a join before its partitions
// are assigned to other entries. The default is 1.05 s.
func MembershipTTL(ttl time.Duration) Option {
	return func(s *settings) {
		s.ttl = ttl
	}
}

// Grace sets how long the process may take to stop. The default is 6 s.
func Grace(d time.Duration) Option {
	return func(s *settings) {
		s.grace = d
	}
}

// Clock sets the clock. The default is the host's clock.
func Clock(clock timekeeper.Clock) Option {
	return func(s *settings) {
		s.clock = clock
	}
}

// Logger sets where decisions are logged. By default they are not logged.
func Logger(logger log.Interface) Option {
	return func(s *settings) {
		s.logger = logger
	}
}

// Scheduling sets the options of the schedulers.
func Scheduling(options ...scheduler.Option) Option {
	return func(s *settings) {
		s.scheduling = options
	}
}

// Config sets the partition of the store that holds the configuration, and how its
// records are decoded.
func Config(partition storer.Partition, decode DecodeConfig) Option {
	return func(s *settings) {
		s.config = partition
		s.decodeConfig = decode
	}
}

// Directory sets the partition of the store in which workers register, and how its
// records are decoded.
func Directory(partition storer.Partition, decode DecodeWorker) Option {
	return func(s *settings) {
		s.directory = partition
		s.decodeWorker = decode
	}
}
