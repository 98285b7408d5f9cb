package conductor

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/timekeeper"
)

// TestTakeoverSaysHowOldItsWorkersAre guards against a takeover with an old or partial list of
// workers that looks like one with a fresh list.
func TestTakeoverSaysHowOldItsWorkersAre(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	logs := memory.New()
	owner := New(nil, nil, nil, 0, 1, Clock(clock), Logger(&log.Logger{
		Handler: logs,
		Level:   log.InfoLevel,
	}), WithKnowledge(func() Knowledge {
		return Knowledge{
			Directory: ReadState{
				AnsweredAt: clock.Now().Add(-5 * time.Second),
				Complete:   true,
			},
		}
	}))
	owner.logFormerWorkers(nil)
	c.Assert(logs.Entries, qt.HasLen, 1)
	fields := logs.Entries[0].Fields
	c.Assert(fields["directoryAgeMs"], qt.Equals, int64(5000))
	c.Assert(fields["directoryComplete"], qt.Equals, true)
	c.Assert(fields["shardsAgeMs"], qt.IsNil)
	c.Assert(fields["shardsComplete"], qt.Equals, false)
}
