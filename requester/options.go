package requester

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/timekeeper"
)

// The defaults of the options. DefaultRate is in requests per second,
// DefaultInFlight in requests and DefaultBody in bytes.
const (
	DefaultRate     = 100
	DefaultDuration = 10 * time.Second
	DefaultInFlight = 512
	DefaultBody     = 256
	DefaultDeadline = 2 * time.Second
)

// Option configures the load.
type Option func(*settings)

type settings struct {
	clock timekeeper.Clock
	// identity identifies the load and is part of every request body.
	identity string
	// rate is in requests per second.
	rate        float64
	duration    time.Duration
	maxInFlight int
	// bodySize is in bytes.
	bodySize   int
	deadline   time.Duration
	team       string
	idempotent bool
}

func newSettings(opts []Option) settings {
	s := settings{
		clock:       timekeeper.System(),
		identity:    namer.NewIdentity(),
		rate:        DefaultRate,
		duration:    DefaultDuration,
		maxInFlight: DefaultInFlight,
		bodySize:    DefaultBody,
		deadline:    DefaultDeadline,
		idempotent:  true,
	}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

func (s settings) check() error {
	switch {
	case s.rate <= 0 || s.rate > MaxRate:
		return errors.Wrapf(ErrRange, "a rate of %g a second, at most %d", s.rate, MaxRate)
	case s.duration <= 0 || s.duration > MaxDuration:
		return errors.Wrapf(ErrRange, "a load of %s, at most %s", s.duration, MaxDuration)
	case s.maxInFlight < 1 || s.maxInFlight > MaxInFlight:
		return errors.Wrapf(ErrRange, "%d in flight, at most %d", s.maxInFlight, MaxInFlight)
	case s.bodySize < 0 || s.bodySize > MaxBody:
		return errors.Wrapf(ErrRange, "a body of %d bytes, at most %d", s.bodySize, MaxBody)
	case s.deadline <= 0 || s.deadline > MaxDuration:
		return errors.Wrapf(ErrRange, "a deadline of %s, at most %s", s.deadline, MaxDuration)
	default:
		return nil
	}
}

// requestCount returns the number of requests in the load.
func (s settings) requestCount() int {
	return int(s.rate * s.duration.Seconds())
}

// dueOffset returns the time from the start of the load at which request i is
// due.
func (s settings) dueOffset(i int) time.Duration {
	return time.Duration(float64(i) / s.rate * float64(time.Second))
}

// Clock sets the clock. The default is the system clock.
func Clock(clock timekeeper.Clock) Option {
	return func(s *settings) { s.clock = clock }
}

// Rate sets how many requests are sent per second, at most MaxRate. The default
// is DefaultRate.
func Rate(perSecond float64) Option {
	return func(s *settings) { s.rate = perSecond }
}

// Duration sets for how long requests are sent, at most MaxDuration. The
// default is DefaultDuration.
func Duration(d time.Duration) Option {
	return func(s *settings) { s.duration = d }
}

// InFlight sets the greatest number of requests in flight, at most MaxInFlight.
// A request that is due while that many are in flight is counted as NotSent.
// The default is DefaultInFlight.
func InFlight(limit int) Option {
	return func(s *settings) { s.maxInFlight = limit }
}

// BodySize sets the minimum length of a request body in bytes, at most MaxBody.
// The default is DefaultBody.
func BodySize(bytes int) Option {
	return func(s *settings) { s.bodySize = bytes }
}

// Deadline sets how long an entry may take for a request, at most MaxDuration.
// Each request carries it, and the requester itself waits twice as long. The
// default is DefaultDeadline.
func Deadline(d time.Duration) Option {
	return func(s *settings) { s.deadline = d }
}

// Team sets the team that the requests are for. The default is none.
func Team(name string) Option {
	return func(s *settings) { s.team = name }
}

// NonIdempotent marks the requests as non-idempotent and gives each one an
// idempotency key. By default they are idempotent and have no key.
func NonIdempotent() Option {
	return func(s *settings) { s.idempotent = false }
}
