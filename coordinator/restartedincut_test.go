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
