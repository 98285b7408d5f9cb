package timekeeper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/timekeeper"
)

// TestBootClockGoesBack guards against a boot-time clock that cannot be read on this
// system or that goes back.
func TestBootClockGoesBack(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.SystemBoot()
	last := clock.SinceBoot()
	c.Assert(last > 0, qt.IsTrue)
	for range 1000 {
		now := clock.SinceBoot()
		c.Assert(now >= last, qt.IsTrue)
		last = now
	}
}

// TestFakeBootMovesByItself guards against a fake clock that follows real time.
func TestFakeBootMovesByItself(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFakeBoot(time.Minute)
	c.Assert(clock.SinceBoot(), qt.Equals, time.Minute)
	clock.Advance(time.Second)
	c.Assert(clock.SinceBoot(), qt.Equals, time.Minute+time.Second)
}
