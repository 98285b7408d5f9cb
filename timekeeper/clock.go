// Package timekeeper provides the clock of galenacove and a fake clock for tests.
//
// Every part of galenacove takes a Clock, so that a test can stop and advance the
// time. The package does not handle calendars or time zones, and it does not
// synchronise the clocks of hosts: galenacove compares only durations that were
// measured on the same host.
package timekeeper

import (
	"context"
	"time"
)

// Clock provides the current time and timers.
type Clock interface {
	// Now returns the current time, with its monotonic reading where the
	// clock has one.
	Now() time.Time
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) Timer
}

// Timer fires once at a given time.
type Timer interface {
	// C returns the channel on which the time is sent when the timer fires.
	C() <-chan time.Time
	// Stop prevents the timer from firing. It returns false if the timer has
	// already fired or been stopped.
	Stop() bool
}

// System returns the clock of the host.
func System() Clock {
	return systemClock{}
}

// Sleep waits until d has passed on the clock, and returns nil, or until the
// context ends, and returns its error.
func Sleep(ctx context.Context, clock Clock, d time.Duration) error {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls f immediately, and again each time the interval has passed since f
// returned, until the context ends. Every returns the context's error.
func Every(ctx context.Context, clock Clock, interval time.Duration, f func(context.Context)) error {
	for {
		f(ctx)
		if err := Sleep(ctx, clock, interval); err != nil {
			return err
		}
	}
}

type systemClock struct{}

func (systemClock) Now() time.Time {
	return time.Now()
}

func (systemClock) NewTimer(d time.Duration) Timer {
	return systemTimer{
		timer: time.NewTimer(d),
	}
}

type systemTimer struct {
	timer *time.Timer
}

func (t systemTimer) C() <-chan time.Time {
	return t.timer.C
}

func (t systemTimer) Stop() bool {
	return t.timer.Stop()
}
