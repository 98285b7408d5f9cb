package claimer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// claim is the claim that won an identity.
type claim struct {
	// recordID is the identity of the claim's record.
	recordID string
	// outcome is the outcome that its end gave, empty while it has none.
	outcome recorder.Outcome
}

// table is the state that results from the records of the stream. Entries that
// have read the same records have the same claims.
type table struct {
	// claims has the claims by request.
	claims map[string]claim
	// readIDs has the identities of the records that were read, so that a
	// record that was appended twice counts once.
	readIDs map[string]struct{}
	// readRecords has the records that were read and have not expired, in
	// order.
	readRecords []readRecord
	// lastOffset is the offset of the last record that was read.
	lastOffset namer.Offset
	// lastGap is the time at which the reading last skipped records.
	lastGap time.Time
	// seededFault makes repeated records count and lets an end match any claim.
	// Only tests set it.
	seededFault bool
}

// readRecord is a record that was read.
type readRecord struct {
	offset namer.Offset
	id     string
	// request is the request of a claim, empty for other records.
	request string
	// madeAt is when the record was made by its writer's clock, or when it was
	// read if that is earlier.
	madeAt time.Time
}

func newTable() table {
	return table{
		claims:  make(map[string]claim),
		readIDs: make(map[string]struct{}),
	}
}

// recordRead records that a record was read, and reports whether it is new.
func (t *table) recordRead(offset namer.Offset, r recorder.Record, now time.Time) bool {
	if t.lastOffset != 0 && offset > t.lastOffset+1 {
		t.lastGap = now
	}
	t.lastOffset = offset
	if _, ok := t.readIDs[r.ID()]; ok {
		return t.seededFault
	}
	t.readIDs[r.ID()] = struct{}{}
	madeAt := r.At()
	if madeAt.After(now) {
		madeAt = now
	}
	request := ""
	if body, ok := r.Body().(recorder.Claim); ok {
		request = body.Request
	}
	t.readRecords = append(t.readRecords, readRecord{
		offset:  offset,
		id:      r.ID(),
		request: request,
		madeAt:  madeAt,
	})
	return true
}

// activeClaim returns the claim of the identity, and reports whether it keeps
// the identity from being claimed again.
func (t *table) activeClaim(request string) (claim, bool) {
	c, ok := t.claims[request]
	return c, ok && c.outcome != recorder.NotRun
}

func (t *table) addClaim(recordID string, body recorder.Claim) {
	t.claims[body.Request] = claim{
		recordID: recordID,
	}
}

// endClaim sets the outcome of the claim that the end belongs to. The first end
// of a claim counts.
func (t *table) endClaim(body recorder.ClaimEnd) {
	c, ok := t.claims[body.Request]
	matches := c.recordID == body.Claim && c.outcome == ""
	if !ok || (!matches && !t.seededFault) {
		return
	}
	c.outcome = body.Outcome
	t.claims[body.Request] = c
}

// mayHaveMissed reports whether a claim of an identity issued at the given time
// may not have been read: either the log has dropped a record that is younger
// than the cutoff, or the reading has a gap.
func (t *table) mayHaveMissed(issued time.Time, oldest namer.Offset, cutoff time.Time) bool {
	if !t.lastGap.IsZero() && !issued.After(t.lastGap.Add(maxClockSkew)) {
		return true
	}
	return len(t.readRecords) > 0 && t.readRecords[0].offset < oldest && t.readRecords[0].madeAt.After(cutoff)
}

// expire drops the records that were made before the given time, and their
// claims.
func (t *table) expire(before time.Time) {
	n := 0
	for n < len(t.readRecords) && t.readRecords[n].madeAt.Before(before) {
		t.drop(t.readRecords[n])
		n++
	}
	t.readRecords = t.readRecords[n:]
}

func (t *table) drop(r readRecord) {
	delete(t.readIDs, r.id)
	if t.claims[r.request].recordID == r.id {
		delete(t.claims, r.request)
	}
}
