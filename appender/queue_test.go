package appender

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newTestEntry(p Priority, stream string, enqueuedAt time.Time) *entry {
	return &entry{
		priority:   p,
		stream:     stream,
		payloads:   [][]byte{nil},
		enqueuedAt: enqueuedAt,
		done:       make(chan struct{}),
	}
}

// TestQueueTakesTheMostUrgentOfOneStream checks that a batch holds the entries
// of one stream, the most urgent first.
func TestQueueTakesTheMostUrgentOfOneStream(t *testing.T) {
	c := qt.New(t)
	q := newQueue(100, time.Second)
	now := time.Unix(100, 0)
	for _, p := range []Priority{PriorityAudit, PriorityJob, PriorityConfig, PriorityMembership} {
		stream := "control"
		if p == PriorityAudit {
			stream = "audit"
		}
		c.Assert(q.put(newTestEntry(p, stream, now)), qt.IsTrue)
	}
	batch := q.nextBatch(now)
	c.Assert(batch, qt.HasLen, 3)
	c.Assert(batch[0].priority, qt.Equals, PriorityMembership)
	c.Assert(batch[2].priority, qt.Equals, PriorityJob)
	c.Assert(q.nextBatch(now), qt.HasLen, 1)
	c.Assert(q.nextBatch(now), qt.HasLen, 0)
}

// TestQueueStarvesNobody checks that an overdue entry is appended although more
// urgent entries keep arriving.
func TestQueueStarvesNobody(t *testing.T) {
	c := qt.New(t)
	q := newQueue(100, time.Second)
	now := time.Unix(100, 0)
	c.Assert(q.put(newTestEntry(PriorityAudit, "audit", now)), qt.IsTrue)
	now = now.Add(time.Minute)
	taken := 0
	for range overdueInterval {
		c.Assert(q.put(newTestEntry(PriorityClaim, "claims", now)), qt.IsTrue)
		if q.nextBatch(now)[0].stream == "audit" {
			taken++
		}
	}
	c.Assert(taken, qt.Equals, 1)
}

// TestQueueReservesCapacityForTheUrgent checks that a flood of entries of one
// priority leaves capacity for each more urgent priority.
func TestQueueReservesCapacityForTheUrgent(t *testing.T) {
	c := qt.New(t)
	q := newQueue(100, time.Second)
	now := time.Unix(100, 0)
	for p := PriorityAudit; p >= PriorityMembership; p-- {
		for q.put(newTestEntry(p, "control", now)) {
		}
		c.Assert(q.recordCount(), qt.Equals, 100-10*int(p))
	}
	q.close()
	c.Assert(q.recordCount(), qt.Equals, 0)
}
