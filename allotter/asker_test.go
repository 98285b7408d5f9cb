package allotter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/allotter"
)

// askerRig drives an Asker with one other partition.
type askerRig struct {
	c     *qt.C
	asker *allotter.Asker
	now   time.Time
}

func newAskerRig(t *testing.T) *askerRig {
	r := &askerRig{
		c:     qt.New(t),
		asker: allotter.NewAsker(),
		now:   time.Unix(1_700_000_000, 0),
	}
	r.asker.SetPeers([]int{1})
	return r
}

// untilDue returns how long it takes until a call is due, in steps of 10 ms, and the call.
func (r *askerRig) untilDue(organisations ...string) (time.Duration, allotter.Call) {
	began := r.now
	for {
		if due := r.asker.Due(organisations, r.now); len(due) > 0 {
			r.c.Assert(r.asker.Due(organisations, r.now), qt.HasLen, 0, qt.Commentf("two calls at a time"))
			return r.now.Sub(began), due[0]
		}
		r.now = r.now.Add(10 * time.Millisecond)
		r.c.Assert(r.now.Sub(began) < time.Minute, qt.IsTrue)
	}
}

func (r *askerRig) expect(want time.Duration, all bool, organisations ...string) {
	took, call := r.untilDue(organisations...)
	r.c.Assert(took, qt.Equals, want)
	r.c.Assert(call, qt.Equals, allotter.Call{
		Partition: 1,
		All:       all,
	})
}

// TestNewOwnerAsksNobody guards against an owner that does not learn what the former one
// was given, although it misses nothing itself.
func TestNewOwnerAsksNobody(t *testing.T) {
	r := newAskerRig(t)
	r.expect(0, true)
	r.asker.Answered(1, nil, r.now)
	r.expect(5*time.Second, true)
}

// TestAskedTooSeldomOrTooOften guards against a missing part that is asked for late, and
// against a partition that is asked again and again although it gives nothing.
func TestAskedTooSeldomOrTooOften(t *testing.T) {
	r := newAskerRig(t)
	r.expect(0, true)
	r.asker.Answered(1, nil, r.now)
	r.expect(0, false, organisation)
	r.now = r.now.Add(30 * time.Millisecond)
	r.asker.Answered(1, map[string]bool{organisation: true}, r.now)
	// 100 ms after the call began.
	r.expect(70*time.Millisecond, false, organisation)
	r.now = r.now.Add(30 * time.Millisecond)
	r.asker.Answered(1, nil, r.now)
	// A further organisation does not wait for the first one.
	r.expect(0, false, organisation, "other")
	r.asker.Answered(1, nil, r.now)
	r.expect(250*time.Millisecond, false, organisation, "other")
}

// TestFailedCallIsNotMadeUpFor guards against parts that were given by a call without an
// answer and stay unknown, and against frequent calls to a partition without an owner.
func TestFailedCallIsNotMadeUpFor(t *testing.T) {
	r := newAskerRig(t)
	r.expect(0, true)
	r.asker.Answered(1, nil, r.now)
	r.expect(0, false, organisation)
	r.asker.Failed(1, r.now)
	for _, want := range []time.Duration{250, 500, 1000, 1000} {
		r.expect(want*time.Millisecond, true, organisation)
		r.asker.Failed(1, r.now)
	}
	// Nothing is missing any more.
	r.expect(time.Second, true)
	r.asker.Answered(1, nil, r.now)
	r.expect(0, false, organisation)
	r.asker.Answered(1, nil, r.now)
	r.expect(250*time.Millisecond, false, organisation)
	r.asker.Failed(1, r.now)
	r.expect(250*time.Millisecond, true, organisation)
}

// TestTimedOutCallIsRepeatedLate guards against a wait after a call that has taken its
// whole timeout, which is a wait already.
func TestTimedOutCallIsRepeatedLate(t *testing.T) {
	r := newAskerRig(t)
	r.expect(0, true)
	for range 5 {
		r.now = r.now.Add(600 * time.Millisecond)
		r.asker.Failed(1, r.now)
		r.expect(0, true, organisation)
	}
}
