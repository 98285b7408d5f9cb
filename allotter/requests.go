package allotter

import (
	"cmp"
	"time"
)

// Precedence says how urgent the waiting work of one partition is. Those of different
// partitions are never equal, so two partitions that both wait never pass the same parts
// back and forth.
type Precedence struct {
	// Rank, Priority and LatestStart are compared in this order; the lowest value is
	// the most urgent. They are those by which the scheduler orders steps.
	Rank, Priority int
	LatestStart    time.Time
	Partition      int
}

// Compare returns a negative number if p is more urgent than q.
func (p Precedence) Compare(q Precedence) int {
	return cmp.Or(
		cmp.Compare(p.Rank, q.Rank),
		cmp.Compare(p.Priority, q.Priority),
		p.LatestStart.Compare(q.LatestStart),
		cmp.Compare(p.Partition, q.Partition),
	)
}

// Request asks another partition's owner for parts.
type Request struct {
	// Partition is the caller's partition, and Token its fencing token.
	Partition int
	Token     int64
	// Wants holds the organisations of which parts are asked for.
	Wants []Want
	// All is set if the reply is to hold the totals of all organisations instead of
	// those in Wants.
	All bool
}

// Want asks for parts of one organisation.
type Want struct {
	Organisation string
	// Missing is the number of parts that the caller needs beyond those it holds.
	Missing Parts
	// Received is the total that the caller knows it has received from the giver. It
	// keeps a request that repeats one whose answer was lost from being given twice.
	Received Parts
	// Precedence is that of the caller's most urgent waiting step of the organisation.
	Precedence Precedence
	// First is the part of Missing that this step needs for its next start, which is
	// that of all tasks of a gang. It is zero unless the step has waited for so long that
	// less urgent steps of others are to leave it what they release.
	First Parts
}

// Reply answers a Request.
type Reply struct {
	Given []Total
}

// Total is the total number of parts of an organisation that were ever given to the
// caller's partition, as the giver has stored it.
type Total struct {
	Organisation string
	Parts        Parts
}

// Need is what the giver itself needs of an organisation.
type Need struct {
	// Used is what its runs use. It is never given away.
	Used Parts
	// Wanted is Used and what its waiting steps need.
	Wanted Parts
	// Waiting is set if it has waiting steps of the organisation, and Precedence is
	// that of the most urgent one.
	Waiting    bool
	Precedence Precedence
}

// Decide returns the parts to give for a request, given what the giver holds and needs,
// and the total that it has given to the caller before. The giver keeps what its runs
// use, and also what its waiting steps need unless the caller's are more urgent.
func Decide(held, givenBefore Parts, own Need, want Want) Parts {
	keep := own.Used
	if own.Waiting && own.Precedence.Compare(want.Precedence) < 0 {
		keep = keep.Max(own.Wanted)
	}
	unknownToCaller := givenBefore.Sub(want.Received).Max(Parts{})
	missing := want.Missing.Sub(unknownToCaller)
	return missing.Min(held.Sub(keep)).Max(Parts{})
}
