package conductor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

// countingWorkers counts the starts that are sent. All other calls fail.
type countingWorkers struct {
	Workers
	starts int
}

// Start implements Workers.
func (w *countingWorkers) Start(context.Context, int64, scheduler.StartTask) (scheduler.StartOutcome, error) {
	w.starts++
	return scheduler.StartUnknown, nil
}

// TestOutdatedStartIsNotSent guards against a process that was paused and sends a start for
// which the time has run out.
func TestOutdatedStartIsNotSent(t *testing.T) {
	for _, test := range []struct {
		name   string
		paused time.Duration
		want   int
	}{
		{
			name: "in time",
			want: startTries,
		},
		{
			name:   "after a pause",
			paused: 2 * time.Second,
			want:   0,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
			workers := new(countingWorkers)
			owner := New(nil, workers, nil, 0, 1, Clock(clock))
			owner.scheduler = scheduler.New(1, clock.Now())
			order := scheduler.StartTask{
				NotAfter: clock.Now().Add(time.Second),
			}
			clock.Advance(test.paused)
			c.Assert(owner.start(context.Background(), order), qt.IsNil)
			c.Assert(workers.starts, qt.Equals, test.want)
		})
	}
}
