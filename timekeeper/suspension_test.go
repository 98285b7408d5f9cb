package timekeeper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/timekeeper"
)

// TestSuspensionIsMeasured guards against a suspension that is missed, or counted twice, and against
// a pause of the process that is taken for one.
func TestSuspensionIsMeasured(t *testing.T) {
	c := qt.New(t)
	clock, boot := timekeeper.NewFake(time.Unix(0, 0)), timekeeper.NewFakeBoot(time.Hour)
	meter := timekeeper.NewSuspensionMeter(clock, boot)
	for _, test := range []struct {
		counted, boot, suspended time.Duration
	}{
		{
			counted: time.Second,
			boot:    time.Second,
		},
		{
			counted:   time.Second,
			boot:      4 * time.Second,
			suspended: 3 * time.Second,
		},
		{
			boot: 9 * time.Millisecond,
		},
		{
			// As the first of several fake clocks moves.
			counted: time.Second,
		},
		{
			boot:      10 * time.Millisecond,
			suspended: 10 * time.Millisecond,
		},
	} {
		clock.Advance(test.counted)
		boot.Advance(test.boot)
		now, suspended := meter.Read()
		c.Assert(now, qt.Equals, clock.Now())
		c.Assert(suspended, qt.Equals, test.suspended)
	}
	_, suspended := timekeeper.NewSuspensionMeter(clock, nil).Read()
	c.Assert(suspended, qt.Equals, time.Duration(0))
}

// pausingBoot is a BootClock before whose readings the process pauses.
type pausingBoot struct {
	*timekeeper.FakeBoot
	clock *timekeeper.Fake
	pause time.Duration
}

// SinceBoot implements timekeeper.BootClock.
func (b *pausingBoot) SinceBoot() time.Duration {
	b.clock.Advance(b.pause)
	b.Advance(b.pause)
	return b.FakeBoot.SinceBoot()
}

// TestPauseHidesNoSuspension guards against a suspension of which less is measured, as the process had
// paused between the readings of the two clocks before it.
func TestPauseHidesNoSuspension(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(0, 0))
	boot := &pausingBoot{
		FakeBoot: timekeeper.NewFakeBoot(time.Hour),
		clock:    clock,
	}
	meter := timekeeper.NewSuspensionMeter(clock, boot)
	boot.pause = 3 * time.Second
	meter.Read()
	boot.pause = 0
	clock.Advance(time.Second)
	boot.Advance(6 * time.Second)
	_, suspended := meter.Read()
	c.Assert(suspended, qt.Equals, 5*time.Second)
}
