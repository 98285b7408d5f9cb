package emulator

import (
	"time"

	"github.com/galenacove/galenacove/timekeeper"
)

// The defaults of the options.
const (
	// DefaultKept is the number of records that a stream keeps.
	DefaultKept = 100_000
	// DefaultKeptFor is how long a stream keeps a record.
	DefaultKeptFor = time.Hour
	// DefaultAppendRate is the number of appends that the log takes a second.
	DefaultAppendRate = 400
	// DefaultHostLag is how far the host list is behind.
	DefaultHostLag = time.Second
	// DefaultHostExpiry is how long a silent host stays on the list.
	DefaultHostExpiry = 5 * time.Second
	// DefaultHeartbeat is how often a host tells the platform that it lives.
	DefaultHeartbeat = 500 * time.Millisecond
	// DefaultUsageLag is how far a worker's usage reports are behind.
	DefaultUsageLag = 2 * time.Second
	// DefaultSlots is the number of requests that a minion runs at once.
	DefaultSlots = 8
	// DefaultConnections is the number of connections that a minion takes.
	DefaultConnections = 64
)

// Option changes how a stand-in behaves. An option that a stand-in has no use
// for does nothing.
type Option func(*terms)

type terms struct {
	clock timekeeper.Clock
	// kept and keptFor limit each stream; 0 is no limit.
	kept    int
	keptFor time.Duration
	// appendRate is in appends a second over all streams, 0 is no limit.
	appendRate float64
	hostLag    time.Duration
	hostExpiry time.Duration
	heartbeat  time.Duration
	// usageFactor and runTimeFactor are above 0.
	usageFactor   float64
	runTimeFactor float64
	usageLag      time.Duration
	serviceTime   time.Duration
	onlyEcho      bool
}

func newTerms(opts []Option) terms {
	t := terms{
		clock:         timekeeper.System(),
		kept:          DefaultKept,
		keptFor:       DefaultKeptFor,
		appendRate:    DefaultAppendRate,
		hostLag:       DefaultHostLag,
		hostExpiry:    DefaultHostExpiry,
		heartbeat:     DefaultHeartbeat,
		usageFactor:   1,
		runTimeFactor: 1,
		usageLag:      DefaultUsageLag,
	}
	for _, opt := range opts {
		opt(&t)
	}
	return t
}

// Clock sets the clock. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(t *terms) { t.clock = clock }
}

// Retention limits what each stream of a platform keeps: the newest records,
// and none older than age. A limit of 0 is none. The defaults are DefaultKept
// and DefaultKeptFor.
func Retention(records int, age time.Duration) Option {
	return func(t *terms) {
		t.kept = records
		t.keptFor = age
	}
}

// AppendRate limits the appends that a platform takes a second, over all
// streams; 0 is no limit. The default is DefaultAppendRate.
func AppendRate(perSecond float64) Option {
	return func(t *terms) { t.appendRate = perSecond }
}

// HostLag sets how far a platform's host list is behind. The default is
// DefaultHostLag.
func HostLag(lag time.Duration) Option {
	return func(t *terms) { t.hostLag = lag }
}

// HostExpiry sets how long a silent host stays on a platform's list. The
// default is DefaultHostExpiry.
func HostExpiry(after time.Duration) Option {
	return func(t *terms) { t.hostExpiry = after }
}

// Heartbeat sets how often a worker or a minion tells the platform that it
// lives. The default is DefaultHeartbeat.
func Heartbeat(interval time.Duration) Option {
	return func(t *terms) { t.heartbeat = interval }
}

// UsageFactor sets how much of its declared size a worker's task uses. The
// default is 1.
func UsageFactor(factor float64) Option {
	return func(t *terms) { t.usageFactor = factor }
}

// RunTimeFactor sets how much of its declared run time a worker's task takes.
// The default is 1.
func RunTimeFactor(factor float64) Option {
	return func(t *terms) { t.runTimeFactor = factor }
}

// UsageLag sets how far a worker's usage reports are behind. The default is
// DefaultUsageLag.
func UsageLag(lag time.Duration) Option {
	return func(t *terms) { t.usageLag = lag }
}

// OnlyEcho makes a worker or a minion take whatever it is told: it refuses no
// lower epoch, and a worker refuses no task for want of room. It still reports
// the highest epoch that it saw, and it still ends a task whose lease has
// lapsed.
func OnlyEcho() Option {
	return func(t *terms) { t.onlyEcho = true }
}

// ServiceTime sets how long a minion works on a request. The default is 0.
func ServiceTime(d time.Duration) Option {
	return func(t *terms) { t.serviceTime = d }
}
