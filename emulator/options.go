package emulator

import (
	"time"

	"github.com/galenacove/galenacove/timekeeper"
)

// Default values of the options.
const (
	// DefaultRetainedRecords is the number of records that a stream retains.
	DefaultRetainedRecords = 100_000
	// DefaultRetentionAge is how long a stream retains a record.
	DefaultRetentionAge = time.Hour
	// DefaultAppendRate is the number of appends that the log accepts per
	// second.
	DefaultAppendRate = 400
	// DefaultHostLag is the delay after which a change shows in the host list.
	DefaultHostLag = time.Second
	// DefaultHostExpiry is how long a host stays on the list without a
	// heartbeat.
	DefaultHostExpiry = 5 * time.Second
	// DefaultHeartbeat is the interval between a host's heartbeats to the
	// platform.
	DefaultHeartbeat = 500 * time.Millisecond
	// DefaultUsageLag is how long after a task's start a worker begins to report
	// the task's usage.
	DefaultUsageLag = 2 * time.Second
	// DefaultSlots is the number of requests that a minion runs concurrently.
	DefaultSlots = 8
	// DefaultConnections is the number of connections that a minion accepts.
	DefaultConnections = 64
)

// Option configures a stand-in. An option that does not apply to a stand-in has
// no effect.
type Option func(*options)

type options struct {
	clock timekeeper.Clock
	// maxRecords and maxAge limit what each stream retains; 0 means no limit.
	maxRecords int
	maxAge     time.Duration
	// appendRate is in appends per second over all streams; 0 means no limit.
	appendRate float64
	hostLag    time.Duration
	hostExpiry time.Duration
	heartbeat  time.Duration
	// usageFactor and runTimeFactor must be greater than 0.
	usageFactor   float64
	runTimeFactor float64
	usageLag      time.Duration
	serviceTime   time.Duration
	onlyEcho      bool
}

func newOptions(opts []Option) options {
	o := options{
		clock:         timekeeper.System(),
		maxRecords:    DefaultRetainedRecords,
		maxAge:        DefaultRetentionAge,
		appendRate:    DefaultAppendRate,
		hostLag:       DefaultHostLag,
		hostExpiry:    DefaultHostExpiry,
		heartbeat:     DefaultHeartbeat,
		usageFactor:   1,
		runTimeFactor: 1,
		usageLag:      DefaultUsageLag,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Clock sets the clock. The default is the system clock.
func Clock(clock timekeeper.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// Retention limits what each stream of a platform retains: the given number of
// newest records, and none older than age. 0 means no limit. The defaults are
// DefaultRetainedRecords and DefaultRetentionAge.
func Retention(records int, age time.Duration) Option {
	return func(o *options) {
		o.maxRecords = records
		o.maxAge = age
	}
}

// AppendRate limits the appends that a platform accepts per second, over all
// streams; 0 means no limit. The default is DefaultAppendRate.
func AppendRate(perSecond float64) Option {
	return func(o *options) { o.appendRate = perSecond }
}

// HostLag sets the delay after which a change shows in a platform's host list.
// The default is DefaultHostLag.
func HostLag(lag time.Duration) Option {
	return func(o *options) { o.hostLag = lag }
}

// HostExpiry sets how long a host stays on a platform's list without a
// heartbeat. The default is DefaultHostExpiry.
func HostExpiry(after time.Duration) Option {
	return func(o *options) { o.hostExpiry = after }
}

// Heartbeat sets the interval between the heartbeats that a worker or a minion
// sends to the platform. The default is DefaultHeartbeat.
func Heartbeat(interval time.Duration) Option {
	return func(o *options) { o.heartbeat = interval }
}

// UsageFactor sets the ratio of a task's actual CPU and memory usage to its
// declared size. The default is 1.
func UsageFactor(factor float64) Option {
	return func(o *options) { o.usageFactor = factor }
}

// RunTimeFactor sets the ratio of a task's actual run time to its declared run
// time. The default is 1.
func RunTimeFactor(factor float64) Option {
	return func(o *options) { o.runTimeFactor = factor }
}

// UsageLag sets how long after a task's start a worker begins to report the
// task's usage; until then it reports zero. The default is DefaultUsageLag.
func UsageLag(lag time.Duration) Option {
	return func(o *options) { o.usageLag = lag }
}

// OnlyEcho turns off the checks of a worker or a minion: it accepts lower
// epochs, and a worker accepts tasks beyond its capacity and a second start of
// a running task. A minion omits HeaderOlder. Both still report the highest
// epoch seen, and a worker still ends a task whose lease has lapsed.
func OnlyEcho() Option {
	return func(o *options) { o.onlyEcho = true }
}

// ServiceTime sets how long a minion takes to process a request. The default is
// 0.
func ServiceTime(d time.Duration) Option {
	return func(o *options) { o.serviceTime = d }
}
