// Package storer says what galenacove needs of the store that outlives its
// processes: topics of keyed records, appended in order, with epochs that shut
// out a superseded writer, and groups that deal the partitions of a topic to
// the members that are alive.
//
// Memory is an implementation in one process, for tests and for a cell that is
// tried out. Package platform has the client of the users' store.
package storer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// The errors of the package. Every error of a Store is marked with one of them.
var (
	// ErrUnavailable is returned where the call certainly did nothing.
	ErrUnavailable = errors.New("storer: the store does not serve the call")
	// ErrUnknown is returned where the call may have taken effect, or still may.
	ErrUnknown = errors.New("storer: outcome of the call unknown")
	// ErrFenced is returned to a writer whose epoch is lower than one seen.
	ErrFenced = errors.New("storer: a later epoch has written")
	// ErrConflict is returned where the condition of an append does not hold.
	ErrConflict = errors.New("storer: the condition does not hold")
	// ErrTrimmed is returned where the records asked for are no longer kept.
	ErrTrimmed = errors.New("storer: the records are no longer kept")
	// ErrFull is returned where the store takes no more bytes.
	ErrFull = errors.New("storer: the store is full")
	// ErrRejected is returned for a call that the store holds for wrong.
	ErrRejected = errors.New("storer: the store rejects the call")
)

// Partition names one ordered sequence of records.
type Partition struct {
	Topic string
	// Number counts from 0.
	Number int
}

// Record is one entry of a keyed topic.
type Record struct {
	// Key is at most 255 bytes.
	Key string
	// Value is nil in a record that drops its key.
	Value []byte
	// Offset is set by the store and counts from 0 without gaps.
	Offset int64
}

// Writer identifies the one process that may write a partition.
type Writer struct {
	// Name is the same for all processes that may follow each other.
	Name string
	// Epoch rises from one process to the next.
	Epoch int64
	// Sequence numbers the appends of one epoch from 0. An append that is
	// repeated with the number of one of the last five is not made again.
	Sequence int64
}

// Page is what a read returned.
type Page struct {
	Records []Record
	// Next is the offset to read from next.
	Next int64
	// End is the offset that the next append gets.
	End int64
}

// NewestPage holds the newest record of some keys, in the order of the keys.
type NewestPage struct {
	Records []Record
	// More tells that there are keys after the last one of this page.
	More bool
	// End is the offset of the partition's end when the page was made.
	End int64
}

// Assignment is what a member of a group holds.
type Assignment struct {
	// Generation rises with each change of the group.
	Generation int64
	Partitions []Partition
}

// Ownership says which member of a group holds a partition.
type Ownership struct {
	Partition Partition
	Member    string
}

// Store is the store as one process sees it. Its methods may be called from
// several goroutines.
type Store interface {
	// Append appends the records, all or none, and returns the offset after
	// the last one. With a writer, no record may be given: the call then only
	// makes the epoch known.
	Append(ctx context.Context, to Partition, writer *Writer, records ...Record) (int64, error)
	// AppendAt appends the records if the partition ends at that offset, and
	// returns ErrConflict if it does not.
	AppendAt(ctx context.Context, to Partition, at int64, records ...Record) (int64, error)
	// Read returns the records from an offset on. Where there are none it
	// waits for the first one, as long as told.
	Read(ctx context.Context, of Partition, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest records of the keys after the one given.
	Newest(ctx context.Context, of Partition, after string) (NewestPage, error)
	// Join makes the member one of the group, or keeps it in it for ttl more.
	// The generation is the last one that the member received, at first 0.
	Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (Assignment, error)
	// Leave gives up all that the member holds.
	Leave(ctx context.Context, group, member string) error
	// Owners lists who holds what.
	Owners(ctx context.Context, group string) ([]Ownership, error)
}

// AllNewest reads all pages of Newest, and returns the records together with
// an offset from which Read misses nothing that came after them.
func AllNewest(ctx context.Context, store Store, of Partition) ([]Record, int64, error) {
	var records []Record
	after, end := "", int64(-1)
	for {
		page, err := store.Newest(ctx, of, after)
		if err != nil {
			return nil, 0, err
		}
		// The pages are not one snapshot, so the first end is the one from
		// which nothing is missed.
		if end < 0 {
			end = page.End
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return records, end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
