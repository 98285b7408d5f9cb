package coordinator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/messenger"
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

// TestSlowStoreGetsAppendsOfAnUnconfirmedOwner guards against a slow store that gets the appends of all entries, one by
// one, as its owner cannot confirm in time that it is the owner, or refuses another call (issue 78).
func TestSlowStoreGetsAppendsOfAnUnconfirmedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newOwnedSite(c)
		address := s.owner.coordinator.settings.peerAddress
		for _, e := range s.entries {
			if e == s.owner {
				continue
			}
			for i, doubt := range []func(){
				func() { e.coordinator.owners.doubt(address) },
				func() {
					e.coordinator.owners.recordCall(context.Background(), address, time.Now(), messenger.ErrRefused)
				},
			} {
				doubt()
				e.coordinator.store.recordPeerReport(true)
				c.Check(s.submitTo(e, fmt.Sprintf("%s-%d", e.coordinator.settings.name, i)).err, qt.IsNil)
				c.Check(s.network.callsBy(e, "Append").count, qt.Equals, i+1, qt.Commentf(e.coordinator.settings.name))
			}
		}
	})
}

// TestSlowOwnerGetsAppendsAgain guards against a slow store that gets the appends of all entries, one by one, for as long
// as callers only hand in jobs, since an append at the owner once took too long (issue 78).
func TestSlowOwnerGetsAppendsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newOwnedSite(c)
		for _, e := range s.entries {
			if e == s.owner {
				continue
			}
			s.network.setSlowAppends(true)
			e.coordinator.store.recordPeerReport(true)
			got := s.submitTo(e, "first-"+e.coordinator.settings.name)
			c.Check(got.err, qt.IsNotNil)
			s.network.setSlowAppends(false)
			before := s.network.callsBy(e, "Append").count
			c.Check(before, qt.Equals, 1)
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				e.coordinator.store.recordPeerReport(true)
				c.Check(s.submitTo(e, "later-"+e.coordinator.settings.name+time.Now().Format("150405.000")).err, qt.IsNil)
			}
			c.Check(s.network.callsBy(e, "Append").count > before, qt.IsTrue, qt.Commentf("%s: none of 20 jobs in 10 s handed to the owner", e.coordinator.settings.name))
		}
	})
}

// TestRelayWithoutTimeShowsNothingOfItsPeers guards against sound entries that get no calls until their next probe, as the
// time of a caller was over before its job was relayed to them (issue 78).
func TestRelayWithoutTimeShowsNothingOfItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newOwnedSite(c)
		e := s.entries[0].coordinator
		peers := e.entryPool.reachablePeers(len(s.entries))
		c.Assert(peers, qt.HasLen, len(s.entries)-1)
		ctx, cancel := context.WithTimeout(context.Background(), 0)
		defer cancel()
		err := e.callAny(ctx, peers, "Append", AppendArgs{}, &AppendReply{})
		c.Check(err, qt.ErrorIs, messenger.ErrUnreachable)
		c.Check(e.entryPool.reachablePeers(len(s.entries)), qt.HasLen, len(peers))
	})
}
