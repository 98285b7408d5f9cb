package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMemberBesideSilentLargerEntriesJoinsInTime guards against members that lose their partitions as one join gets no
// answer: they wait for larger entries that are gone without a reset before each join, so that the time to live of their
// membership leaves none for another one (issue 78).
func TestMemberBesideSilentLargerEntriesJoinsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(c, 5)
		s.configure(1)
		for i := range 3 {
			s.addEntry(i, time.Millisecond, Cores(0.8))
		}
		s.addEntry(3, time.Millisecond, Cores(0.192))
		time.Sleep(5 * time.Second)
		small := s.entries[3].coordinator
		c.Assert(small.isMember(), qt.IsFalse)
		for _, larger := range s.entries[:3] {
			larger.store.silent.Store(true)
		}
		s.cutOff(s.entries[:3], true)
		s.await("the small entry is a member", func(c *Coordinator) bool { return c != small || c.isMember() })
		time.Sleep(5 * time.Second)
		joinedAt := func() time.Time {
			small.mu.Lock()
			defer small.mu.Unlock()
			return small.joinedAt
		}
		last := joinedAt()
		longest := time.Duration(0)
		for range 10 * time.Second / (5 * time.Millisecond) {
			time.Sleep(5 * time.Millisecond)
			now := joinedAt()
			longest = max(longest, now.Sub(last))
			last = now
		}
		c.Check(3*longest <= defaultTTL, qt.IsTrue, qt.Commentf("a join each %v, three of them are to be made in %v", longest, defaultTTL))
		s.stop()
	})
}
