package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowStoreTakesJobsOfTheNextOwner guards against a job of which the next owner does not know the outcome, as it hands
// it to the former owner, which is gone, while the store is slow (issue 78).
func TestSlowStoreTakesJobsOfTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newOwnedSite(c)
		s.owner.store.silent.Store(true)
		s.cutOff([]*siteEntry{s.owner}, true)
		for s.ownerNow() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		next := s.ownerNow()
		next.coordinator.store.recordPeerReport(true)
		got := s.submitTo(next, "job")
		c.Check(got.err, qt.IsNil, qt.Commentf("after %v", got.took))
	})
}

// TestOwnJobsDoNotWaitForTheOwners guards against jobs of partitions of this entry that wait for a read of the owners while the
// store is slow, for good, as the entry once asked itself for a partition that it had lost (issue 78).
func TestOwnJobsDoNotWaitForTheOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newOwnedSite(c)
		own := s.owner.coordinator
		table := own.owners
		// As after a call to itself for a partition that it had lost.
		table.doubt(own.settings.peerAddress)
		reads := 0
		for range 5 {
			time.Sleep(time.Second)
			table.mu.Lock()
			before := table.readAt
			table.mu.Unlock()
			own.store.recordPeerReport(true)
			got := s.submitTo(s.owner, "later-"+time.Now().Format("150405"))
			c.Check(got.err, qt.IsNil)
			table.mu.Lock()
			if table.readAt != before {
				reads++
			}
			table.mu.Unlock()
		}
		c.Check(reads <= 1, qt.IsTrue, qt.Commentf("%d reads of the owners for 5 jobs", reads))
	})
}
