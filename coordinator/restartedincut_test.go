package coordinator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// TestSmallEntryRestartedInACutStaysOutOfTheGroup guards against a small entry that is
// restarted while the store does not answer it, and that joins the group as soon as the
// store does, before it knows of the larger entries to which it leaves the partitions. It
// takes partitions from owners that work, and gives them up again a second later.
func TestSmallEntryRestartedInACutStaysOutOfTheGroup(t *testing.T) {
	for _, lasts := range []time.Duration{300, 700, 1100, 1500, 1900, 2300, 2900, 3500, 4700, 5900} {
		lasts *= time.Millisecond
		for i, name := range []string{"calls without an answer", "refused calls"} {
			t.Run(fmt.Sprintf("%s, %v", name, lasts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(qt.New(t), 50)
					s.configure(1)
					ctx, cancel := context.WithCancel(context.Background())
					var reports errgroup.Group
					reports.Go(func() error { return s.report(ctx) })
					s.addEntry(0, 0, Cores(0.8))
					large := s.entries[0].coordinator
					s.await("the large entry is a member", func(*Coordinator) bool { return large.isMember() })
					s.addEntry(1+i, time.Millisecond, Cores(0.192))
					small := s.entries[1]
					small.store.cutOff.Store(true)
					time.Sleep(lasts)
					small.store.cutOff.Store(false)
					restoredAt := time.Now()
					for time.Since(restoredAt) < 10*time.Second && !small.coordinator.isMember() {
						time.Sleep(time.Millisecond)
					}
					s.c.Check(small.coordinator.isMember(), qt.IsFalse, qt.Commentf("member %v after the end of the cut", time.Since(restoredAt)))
					cancel()
					s.stop()
					s.c.Assert(reports.Wait(), qt.IsNil)
				})
			})
		}
	}
}

// TestSmallEntriesOfACutStayOutOfTheGroup guards against small entries that are cut off
// together with large ones, find none of these to be a member, and join the group as soon as
// the store answers them. Each of them moves partitions of owners that were not cut off.
func TestSmallEntriesOfACutStayOutOfTheGroup(t *testing.T) {
	for _, lasts := range []time.Duration{2500, 3700, 4900, 5300, 5700, 6100, 7300} {
		lasts *= time.Millisecond
		t.Run(lasts.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(qt.New(t), 50)
				s.configure(1)
				for i := range 8 {
					cores := 0.192
					if i < 2 {
						cores = 0.8
					}
					s.addEntry(i, time.Duration(i)*100*time.Millisecond, Cores(cores))
				}
				time.Sleep(5 * time.Second)
				isolated := s.entries[1:6]
				s.cutOff(isolated, true)
				time.Sleep(lasts)
				s.cutOff(isolated, false)
				restoredAt := time.Now()
				joined := make(map[int]time.Duration)
				for time.Since(restoredAt) < 5*time.Second {
					for i, entry := range s.entries[2:] {
						if _, found := joined[i]; !found && entry.coordinator.isMember() {
							joined[i] = time.Since(restoredAt)
						}
					}
					time.Sleep(time.Millisecond)
				}
				s.c.Check(joined, qt.HasLen, 0)
				s.c.Check(s.entries[1].coordinator.isMember(), qt.IsTrue)
				s.stop()
			})
		})
	}
}

// cutOff sets whether the store and the other entries are out of reach of these entries.
func (s *site) cutOff(entries []*siteEntry, cut bool) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	for _, entry := range entries {
		entry.store.cutOff.Store(cut)
		s.network.cutOff[entry.coordinator.settings.peerAddress] = cut
	}
}

// TestSmallEntriesOwnAfterACutWithoutLargeOnes guards against small entries that stay out of
// the group for good, as they wait for larger ones that are gone.
func TestSmallEntriesOwnAfterACutWithoutLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(qt.New(t), 50)
		s.configure(1)
		s.addEntry(0, 0, Cores(0.8))
		for i := range 3 {
			s.addEntry(1+i, time.Millisecond, Cores(0.192))
		}
		time.Sleep(5 * time.Second)
		s.entries[0].stop()
		s.c.Assert(s.entries[0].group.Wait(), qt.IsNil)
		s.entries = s.entries[1:]
		s.cutOff(s.entries, true)
		time.Sleep(3 * time.Second)
		s.cutOff(s.entries, false)
		joinedAfter := s.await("the entries are members", func(c *Coordinator) bool { return c.isMember() })
		s.c.Assert(joinedAfter <= 3*time.Second, qt.IsTrue, qt.Commentf("joined %v after the end of the cut", joinedAfter))
		s.stop()
	})
}

// TestSmallEntriesOwnThoughTheStoreListsOwnersThatAreGone guards against small entries that
// stay out of the group for good, as the store goes on listing larger entries as owners that
// are gone, and nobody else joins to whom it could assign their partitions.
func TestSmallEntriesOwnThoughTheStoreListsOwnersThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(qt.New(t), 50)
		s.configure(1)
		s.addEntry(0, 0, Cores(0.8))
		for i := range 3 {
			s.addEntry(1+i, time.Millisecond, Cores(0.192))
		}
		time.Sleep(5 * time.Second)
		owners, err := s.store.Owners(context.Background(), groupName)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(owners, qt.Not(qt.HasLen), 0)
		s.store.staleOwners = owners
		s.entries[0].stop()
		s.c.Assert(s.entries[0].group.Wait(), qt.IsNil)
		s.entries = s.entries[1:]
		joinedAfter := s.await("the entries are members", func(c *Coordinator) bool { return c.isMember() })
		s.c.Assert(joinedAfter <= 5*time.Second, qt.IsTrue, qt.Commentf("joined after %v", joinedAfter))
		s.stop()
	})
}

// TestSmallEntryJoinsAloneAfterACut guards against a small entry that never joins the group,
// as it waits for the records of larger entries that are not there.
func TestSmallEntryJoinsAloneAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(qt.New(t), 50)
		s.configure(1)
		s.addEntry(0, time.Millisecond, Cores(0.192))
		small := s.entries[0]
		small.store.cutOff.Store(true)
		time.Sleep(3 * time.Second)
		small.store.cutOff.Store(false)
		joinedAfter := s.await("the entry is a member", func(c *Coordinator) bool { return c.isMember() })
		s.c.Assert(joinedAfter <= 5*time.Second, qt.IsTrue, qt.Commentf("joined %v after the end of the cut", joinedAfter))
		s.stop()
	})
}
