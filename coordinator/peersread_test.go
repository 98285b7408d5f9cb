package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/storer"
)

// fullStore takes no records of entries, as a store that is full.
type fullStore struct {
	storer.Store
}

func (s fullStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	if to.Topic == peersTopic {
		return 0, storer.ErrFull
	}
	return s.Store.Append(ctx, to, writer, records...)
}

// TestEntryKnowsItsPeersBesideAFullStore guards against an entry that starts while the store takes no records: it never
// reads those of the other entries, so it joins the group though they own the partitions, and asks for advice through
// none of them (issue 78).
func TestEntryKnowsItsPeersBesideAFullStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(c, 5)
		s.configure(1)
		for i := range 3 {
			s.addEntry(i, time.Millisecond, Cores(0.8))
		}
		time.Sleep(5 * time.Second)
		s.addEntry(3, time.Second, Cores(0.192))
		started := s.entries[3].coordinator
		started.store.Store = fullStore{
			Store: started.store.Store,
		}
		time.Sleep(10 * time.Second)
		c.Check(started.entryPool.reachablePeers(4), qt.HasLen, 3)
		c.Check(started.isMember(), qt.IsFalse)
		s.stop()
	})
}
