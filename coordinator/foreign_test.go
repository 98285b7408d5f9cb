package coordinator

import (
	"context"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// oneCallAdviser allows one call of each kind, and expects none.
type oneCallAdviser struct {
	conductor.Adviser
}

// AdviceLimits implements conductor.Adviser.
func (oneCallAdviser) AdviceLimits() (quick, long int) { return 1, 1 }

// lateReader is an owner that reads new jobs right after it has not found one.
type lateReader struct {
	*conductor.Conductor
	read func()
}

// Foreign implements jobOwner.
func (r lateReader) Foreign(id, organisation string) bool {
	r.read()
	return r.Conductor.Foreign(id, organisation)
}

// TestJobReadDuringACancelIsNotForeign guards against a cancellation that is acknowledged and not
// stored (UNASKED): the owner reads the caller's job just after it has not found it, and takes it
// for a job of another organisation.
func TestJobReadDuringACancelIsNotForeign(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	store := storer.NewMemory(timekeeper.System())
	own := conductor.New(store, nil, oneCallAdviser{}, 0, 1)
	var group errgroup.Group
	group.Go(func() error { return own.Run(ctx) })
	defer func() {
		cancel()
		c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
	}()
	state := func(id, organisation string) bool {
		for {
			_, found, err := own.State(ctx, id, organisation)
			if err == nil {
				return found
			}
			runtime.Gosched()
		}
	}
	c.Assert(state("j", "farm"), qt.IsFalse)
	for _, test := range []struct {
		id           string
		organisation string
		foreign      bool
	}{
		{
			id:           "own",
			organisation: "farm",
		},
		{
			id: "public",
		},
		{
			id:           "others",
			organisation: "mill",
			foreign:      true,
		},
	} {
		record, err := conductor.JobRecord(scheduler.Job{
			ID:           test.id,
			Organisation: test.organisation,
			Queue: scheduler.Queue{
				Name:    "checks",
				Service: "desk",
			},
			Phases: []scheduler.Phase{
				{
					Tasks: 1,
					Size:  sizer.New(1000, 1<<20, 0),
				},
			},
		})
		c.Assert(err, qt.IsNil)
		reply, err := stateAt(ctx, lateReader{
			Conductor: own,
			read: func() {
				_, err := store.Append(ctx, storer.Partition{
					Topic: conductor.JobsTopic,
				}, nil, record)
				c.Assert(err, qt.IsNil)
				c.Assert(state(test.id, test.organisation), qt.IsTrue)
			},
		}, StateArgs{
			ID:           test.id,
			Organisation: "farm",
		})
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Found, qt.IsFalse)
		c.Check(reply.Foreign, qt.Equals, test.foreign, qt.Commentf("job %s", test.id))
	}
}
