package claimer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// claim is the claim that won the identity of a request.
type claim struct {
	// recordID is the identity of the claim's record.
	recordID string
	// outcome is the outcome with which the claim was ended, empty before its
	// end.
	outcome recorder.Outcome
}

// table is the state that results from the records of the stream. Entries that
// have read the same records have the same claims.
type table struct {
	// claims holds the claims by request.
	claims map[string]claim
	// readIDs holds the identities of readRecords, so that a record that was
	// appended twice counts once.
	readIDs map[string]struct{}
	// readRecords holds the records that were read and have not expired, in
	// order.
	readRecords []readRecord
	// lastOffset is the offset of the last record that was read.
	lastOffset namer.Offset
	// lastGap is the last time at which a record was read whose offset did not
	// follow lastOffset, zero if never. The records between were not read.
	lastGap time.Time
	// seededFault is a deliberate fault, set by tests only: records that were
	// appended twice count twice, and an end matches any claim.
	seededFault bool
}

// readRecord describes a record that was read.
type readRecord struct {
	offset namer.Offset
	id     string
	// request is the request of a claim, empty for other records.
	request string
	// madeAt is when the record was made according to its writer's clock, or
	// when it was read if that is earlier.
	madeAt time.Time
}

func newTable() table {
	return table{
		claims:  make(map[string]claim),
		readIDs: make(map[string]struct{}),
	}
}

// markRead records that a record was read, and reports whether it is new.
func (t *table) markRead(offset namer.Offset, r recorder.Record, now time.Time) bool {
	if t.lastOffset != 0 && offset > t.lastOffset+1 {
		t.lastGap = now
	}
	t.lastOffset = offset
	if _, ok := t.readIDs[r.ID()]; ok {
		return t.seededFault
	}
	t.readIDs[r.ID()] = struct{}{}
	madeAt := r.CreatedAt()
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

// endClaim sets the outcome of the claim that the record ends. Only the first
// end of a claim counts.
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
// may have gone unread. That is so if the identity was issued before the last
// gap, or if the log, whose oldest record is at oldest, has dropped a record
// that was made after the cutoff.
func (t *table) mayHaveMissed(issued time.Time, oldest namer.Offset, cutoff time.Time) bool {
	if !t.lastGap.IsZero() && !issued.After(t.lastGap.Add(maxClockSkew)) {
		return true
	}
	return len(t.readRecords) > 0 && t.readRecords[0].offset < oldest && t.readRecords[0].madeAt.After(cutoff)
}

// expire drops the records that were made before the cutoff, and their claims.
func (t *table) expire(cutoff time.Time) {
	n := 0
	for n < len(t.readRecords) && t.readRecords[n].madeAt.Before(cutoff) {
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
