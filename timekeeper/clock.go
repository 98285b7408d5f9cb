// Package timekeeper gives the time to everything that needs it.
//
// Every part of galenacove takes a Clock, so that a test can hold the time
// still and move it on. The package does not read calendars or zones, and it
// does not keep the hosts' clocks in step: galenacove compares durations of
// one host only.
package timekeeper

import (
	"context"
	"time"
)

// Clock tells the time and wakes those who wait for it.
type Clock interface {
	// Now returns the current time, with its monotonic reading where the
	// clock has one.
	Now() time.Time
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) Timer
}

// Timer is a single wake-up call.
type Timer interface {
	// C returns the channel on which the time is sent when the timer fires.
	C() <-chan time.Time
	// Stop prevents the timer from firing. It reports whether it did.
	Stop() bool
}

// System returns the clock of the host.
func System() Clock {
	return systemClock{}
}

// Sleep waits until d has passed on the clock or the context has ended, and
// returns the context's error in the second case.
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

// Every calls f once per interval until the context has ended. The first call
// is made at once.
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
