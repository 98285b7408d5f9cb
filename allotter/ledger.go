// Package allotter divides the maximum of each organisation among the partitions of the
// topic of jobs. Each resource of a maximum has a fixed number of parts. A partition
// holds some of them, and its owner may have running the fraction of the maximum that
// they represent. Parts move between partitions by a giver's decision; a ledger records
// them.
//
// The sum of what all partitions hold never exceeds the whole if each giver stores its
// ledger before it answers, and a ledger that cannot be stored because there is a later
// owner is not answered from. Totals only increase and merging takes the larger one, so
// messages may be lost, repeated and reordered.
//
// The package does no input or output and reads no clock.
package allotter

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrRecord is returned for a stored ledger that cannot be decoded.
var ErrRecord = errors.New("allotter: bad record of a ledger")

// totals holds a number of parts by partition and organisation.
type totals map[int]map[string]Parts

func (t totals) set(partition int, organisation string, parts Parts) {
	if t[partition] == nil {
		t[partition] = make(map[string]Parts)
	}
	t[partition][organisation] = parts
}

// sum returns the parts of an organisation over all partitions.
func (t totals) sum(organisation string) Parts {
	var sum Parts
	for _, byOrganisation := range t {
		sum = sum.Add(byOrganisation[organisation])
	}
	return sum
}

func (t totals) clone() totals {
	clone := make(totals, len(t))
	for partition, byOrganisation := range t {
		clone[partition] = maps.Clone(byOrganisation)
	}
	return clone
}

// Ledger records the parts that a partition has given and received.
type Ledger struct {
	// partition is the partition of the ledger, and base holds the base partitions in
	// ascending order. It is empty while they are not known.
	partition int
	base      []int
	// given and received hold the total parts ever given to, and known to be received
	// from, each other partition. They never decrease.
	given, received totals
}

// NewLedger returns the ledger of a partition that has given and received nothing.
func NewLedger() *Ledger {
	return &Ledger{
		given:    make(totals),
		received: make(totals),
	}
}

// SetBase sets the partition of the ledger and the base partitions, which hold all parts
// at first.
func (l *Ledger) SetBase(partition int, base []int) {
	l.partition = partition
	l.base = slices.Compact(slices.Sorted(slices.Values(base)))
}

// BaseKnown reports whether the base partitions are known.
func (l *Ledger) BaseKnown() bool { return len(l.base) > 0 }

// Base returns the parts of every organisation that the partition holds at first.
func (l *Ledger) Base() Parts {
	index, found := slices.BinarySearch(l.base, l.partition)
	if !found {
		return Parts{}
	}
	n := int64(len(l.base))
	share := Whole / n
	if int64(index) < Whole%n {
		share++
	}
	return Parts{share, share, share}
}

// Held returns the parts of an organisation that the partition holds. It holds none
// while the base partitions are not known.
func (l *Ledger) Held(organisation string) Parts {
	if !l.BaseKnown() {
		return Parts{}
	}
	return l.Base().Add(l.received.sum(organisation)).Sub(l.given.sum(organisation))
}

// Given returns the total parts of an organisation that were given to a partition.
func (l *Ledger) Given(partition int, organisation string) Parts {
	return l.given[partition][organisation]
}

// AllGiven returns the total parts of each organisation that were given to a partition.
func (l *Ledger) AllGiven(partition int) map[string]Parts {
	return maps.Clone(l.given[partition])
}

// Received returns the total parts of an organisation that are known to be received from
// a partition.
func (l *Ledger) Received(partition int, organisation string) Parts {
	return l.received[partition][organisation]
}

// Give records that parts are given to another partition. It gives no more than the
// partition holds, and returns what it gives.
func (l *Ledger) Give(partition int, organisation string, parts Parts) Parts {
	parts = parts.Min(l.Held(organisation)).Max(Parts{})
	if partition == l.partition || parts.IsZero() {
		return Parts{}
	}
	l.given.set(partition, organisation, l.Given(partition, organisation).Add(parts))
	return parts
}

// Receive merges the total parts that another partition says it has given to this one. It
// returns by how much the total known before has increased.
func (l *Ledger) Receive(partition int, organisation string, total Parts) Parts {
	known := l.Received(partition, organisation)
	merged := known.Max(total)
	if partition == l.partition || merged == known {
		return Parts{}
	}
	l.received.set(partition, organisation, merged)
	return merged.Sub(known)
}

// Record is the stored form of a ledger.
type Record struct {
	Given    map[int]map[string]Parts `json:"given"`
	Received map[int]map[string]Parts `json:"received"`
}

// Record returns a copy of the totals.
func (l *Ledger) Record() Record {
	return Record{
		Given:    l.given.clone(),
		Received: l.received.clone(),
	}
}

// Restore merges the totals of a stored ledger.
func (l *Ledger) Restore(record Record) {
	merge := func(into totals, stored map[int]map[string]Parts) {
		for partition, byOrganisation := range stored {
			for organisation, parts := range byOrganisation {
				into.set(partition, organisation, into[partition][organisation].Max(parts))
			}
		}
	}
	merge(l.given, record.Given)
	merge(l.received, record.Received)
}

// DecodeRecord decodes the JSON encoding of a Record.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, errors.WithStack(fmt.Errorf("%w: %w", ErrRecord, err))
	}
	if record.Given == nil || record.Received == nil {
		return Record{}, errors.Wrap(ErrRecord, "given or received is missing")
	}
	return record, nil
}
