package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// TestSlowStoreIsNoticed checks that an entry finds the store slow by its own
// calls, and by the report of a peer.
func TestSlowStoreIsNoticed(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1_700_000_000, 0))
	store := newWatchedStore(storer.NewMemory(clock), clock)
	c.Assert(store.slow(), qt.IsFalse)
	began := clock.Now()
	clock.Advance(10 * time.Millisecond)
	store.recordLatency(began, nil)
	c.Assert(store.slow(), qt.IsFalse)
	// A store that does not answer is not slow: its calls are not waited for twice.
	for _, err := range []error{storer.ErrUnavailable, storer.ErrUnknown} {
		began = clock.Now()
		clock.Advance(600 * time.Millisecond)
		store.recordLatency(began, err)
		c.Assert(store.slow(), qt.IsFalse)
	}
	began = clock.Now()
	clock.Advance(200 * time.Millisecond)
	store.recordLatency(began, nil)
	c.Assert(store.slow(), qt.IsTrue)
	clock.Advance(slowMaxAge)
	c.Assert(store.slow(), qt.IsFalse)
	store.recordPeerReport(false)
	c.Assert(store.slow(), qt.IsFalse)
	store.recordPeerReport(true)
	c.Assert(store.slow(), qt.IsTrue)
}
