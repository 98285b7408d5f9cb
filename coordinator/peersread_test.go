package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

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
		s.entries[3].store.full.Store(true)
		time.Sleep(10 * time.Second)
		c.Check(started.entryPool.reachablePeers(4), qt.HasLen, 3)
		c.Check(started.isMember(), qt.IsFalse)
		s.stop()
	})
}
