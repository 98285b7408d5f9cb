package claimer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// claim is the claim of an identity that won.
type claim struct {
	// record is the identity of the record that made it.
	record string
	// outcome is how it ended, or empty.
	outcome recorder.Outcome
}

// table is what the records of the stream mean together. It is the same at
// every entry that has read the same records.
type table struct {
	// claims are by request.
	claims map[string]claim
	// seen are the identities of the records that were read, so that one that
	// was appended twice counts once.
	seen map[string]struct{}
	// recent are the records that were read, in order, as far as they matter.
	recent []reading
	// last is the offset that was read last.
	last namer.Offset
	// hole is when records were last passed over.
	hole time.Time
	// loose lets repeats count and ends fit any claim: a fault for the tests.
	loose bool
}

// reading is one record that was read.
type reading struct {
	offset namer.Offset
	id     string
	// request is what the record is about, or empty.
	request string
	// made is when the record was made, by its writer's clock.
	made time.Time
}

func newTable() table {
	return table{
		claims: make(map[string]claim),
		seen:   make(map[string]struct{}),
	}
}

// note books the reading of a record and reports whether it is a new one.
func (t *table) note(offset namer.Offset, r recorder.Record, now time.Time) bool {
	if t.last != 0 && offset > t.last+1 {
		t.hole = now
	}
	t.last = offset
	if _, ok := t.seen[r.ID()]; ok {
		return t.loose
	}
	t.seen[r.ID()] = struct{}{}
	made := r.At()
	if made.After(now) {
		made = now
	}
	request := ""
	if body, ok := r.Body().(recorder.Claim); ok {
		request = body.Request
	}
	t.recent = append(t.recent, reading{
		offset:  offset,
		id:      r.ID(),
		request: request,
		made:    made,
	})
	return true
}

// held returns the claim that keeps the identity from being claimed.
func (t *table) held(request string) (claim, bool) {
	c, ok := t.claims[request]
	return c, ok && c.outcome != recorder.NotRun
}

func (t *table) claim(record string, body recorder.Claim) {
	t.claims[body.Request] = claim{
		record: record,
	}
}

// end books an end, if it is that of the claim that holds. The first counts.
func (t *table) end(body recorder.ClaimEnd) {
	c, ok := t.claims[body.Request]
	fits := c.record == body.Claim && c.outcome == ""
	if !ok || (!fits && !t.loose) {
		return
	}
	c.outcome = body.Outcome
	t.claims[body.Request] = c
}

// misses reports whether a claim of an identity issued at the time may have
// been passed over: since the log dropped a record that is younger than
// identities live, or the reading has a hole.
func (t *table) misses(issued time.Time, oldest namer.Offset, young time.Time) bool {
	if !t.hole.IsZero() && !issued.After(t.hole.Add(skew)) {
		return true
	}
	return len(t.recent) > 0 && t.recent[0].offset < oldest && t.recent[0].made.After(young)
}

// expire drops what was made before the time.
func (t *table) expire(before time.Time) {
	n := 0
	for n < len(t.recent) && t.recent[n].made.Before(before) {
		t.drop(t.recent[n])
		n++
	}
	t.recent = t.recent[n:]
}

func (t *table) drop(r reading) {
	delete(t.seen, r.id)
	if t.claims[r.request].record == r.id {
		delete(t.claims, r.request)
	}
}
