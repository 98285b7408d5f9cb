package timekeeper_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/timekeeper"
)

func TestFakeFiresWhenDue(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(0, 0))
	timer := clock.NewTimer(2 * time.Second)
	clock.Advance(time.Second)
	c.Assert(timer.C(), qt.HasLen, 0)
	c.Assert(clock.PendingTimers(), qt.Equals, 1)
	clock.Advance(time.Second)
	c.Assert(<-timer.C(), qt.Equals, time.Unix(2, 0))
	c.Assert(timer.Stop(), qt.IsFalse)
}

func TestFakeStop(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(0, 0))
	timer := clock.NewTimer(time.Second)
	c.Assert(timer.Stop(), qt.IsTrue)
	clock.Advance(time.Minute)
	c.Assert(timer.C(), qt.HasLen, 0)
}

func TestSleepEndsWithTheContext(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := timekeeper.Sleep(ctx, timekeeper.NewFake(time.Unix(0, 0)), time.Hour)
	c.Assert(err, qt.ErrorIs, context.Canceled)
}

func TestEveryCallsOncePerInterval(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(0, 0))
	calls := make(chan time.Time)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return timekeeper.Every(ctx, clock, time.Second, func(context.Context) {
			calls <- clock.Now()
		})
	})
	c.Assert(<-calls, qt.Equals, time.Unix(0, 0))
	for clock.PendingTimers() == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(time.Second)
	c.Assert(<-calls, qt.Equals, time.Unix(1, 0))
	cancel()
	c.Assert(group.Wait(), qt.ErrorIs, context.Canceled)
}
