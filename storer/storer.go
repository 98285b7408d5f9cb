// Package storer defines the interface of galenacove's persistent store: topics
// of keyed records that are appended in order, writer epochs that fence off a
// superseded writer, and groups that assign the partitions of a topic to their
// live members.
//
// Memory implements the interface in memory, for tests and for trial cells.
// Package platform has the client of the users' store.
package storer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// The errors of the package. Every error of a Store is marked with one of them.
var (
	// ErrUnavailable is returned if the store did not serve the call, so that
	// it had no effect.
	ErrUnavailable = errors.New("storer: the store is unavailable")
	// ErrUnknown is returned if the call may have taken effect or may still do
	// so.
	ErrUnknown = errors.New("storer: outcome of the call unknown")
	// ErrFenced is returned to a writer if the partition has seen a higher
	// epoch.
	ErrFenced = errors.New("storer: the partition has seen a later epoch")
	// ErrConflict is returned if the sequence number or the offset of an append
	// is not the expected one.
	ErrConflict = errors.New("storer: the condition of the append does not hold")
	// ErrTrimmed is returned for a read from an offset whose record has been
	// deleted.
	ErrTrimmed = errors.New("storer: the records are no longer kept")
	// ErrFull is returned if the store has no free space.
	ErrFull = errors.New("storer: the store is full")
	// ErrRejected is returned for a call that the store considers invalid.
	ErrRejected = errors.New("storer: the store rejected the call as invalid")
)

// Partition identifies a partition of a topic, an ordered sequence of records.
type Partition struct {
	Topic string
	// Number counts from 0.
	Number int
}

// MaxKeyBytes is the maximum length of the key of a record.
const MaxKeyBytes = 255

// Record is a record of a keyed topic.
type Record struct {
	// Key is at most MaxKeyBytes long.
	Key string
	// Value is nil in a record that deletes its key.
	Value []byte
	// Offset is set by the store. Offsets start at 0 and have no gaps.
	Offset int64
}

// Writer identifies the only process that may append to a partition, and one of
// its appends.
type Writer struct {
	// Name is the same for all processes that succeed each other as the
	// writer.
	Name string
	// Epoch increases from each of these processes to the next.
	Epoch int64
	// Sequence counts the appends of one epoch from 0. An append with the
	// sequence number of one of the last five appends is a repeat and has no
	// effect.
	Sequence int64
}

// Page is the result of Read.
type Page struct {
	Records []Record
	// Next is the offset at which the next read begins.
	Next int64
	// End is the offset of the next record to be appended.
	End int64
}

// NewestPage is the result of Newest: the newest records of some keys, sorted by
// key.
type NewestPage struct {
	Records []Record
	// More is true if there are keys after the last one of this page.
	More bool
	// End is the end offset of the partition when the page was read.
	End int64
}

// Assignment holds the partitions that a member of a group owns.
type Assignment struct {
	// Generation increases with each change of the group.
	Generation int64
	Partitions []Partition
}

// Ownership names the member of a group that owns a partition.
type Ownership struct {
	Partition Partition
	Member    string
}

// Store is a client of the store. Its methods are safe for concurrent use, and
// their errors are marked with the errors of this package.
type Store interface {
	// Append appends all the records or none, and returns the offset after the
	// last one. If writer is nil, no epoch is checked. A call with a writer and
	// no records only announces the writer's epoch.
	Append(ctx context.Context, partition Partition, writer *Writer, records ...Record) (int64, error)
	// AppendAt appends the records if the partition's end offset equals
	// expectedEnd, and returns ErrConflict otherwise.
	AppendAt(ctx context.Context, partition Partition, expectedEnd int64, records ...Record) (int64, error)
	// Read returns the records from an offset on. If there are none yet, Read
	// waits for the first one for up to wait.
	Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest records of the keys that sort after the given
	// one. It does not return deleted keys.
	Newest(ctx context.Context, partition Partition, after string) (NewestPage, error)
	// Join adds the member to the group, or extends its membership, for the
	// duration ttl from now. The generation is the last one that the member
	// received, at first 0.
	Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (Assignment, error)
	// Leave removes the member from the group and releases its partitions.
	Leave(ctx context.Context, group, member string) error
	// Owners returns the owners of the group's partitions.
	Owners(ctx context.Context, group string) ([]Ownership, error)
}

// AllNewest reads all pages of Newest. It returns their records, and the offset
// from which to call Read so as not to miss a record that was appended later.
func AllNewest(ctx context.Context, store Store, partition Partition) ([]Record, int64, error) {
	var records []Record
	after, end := "", int64(-1)
	for {
		page, err := store.Newest(ctx, partition, after)
		if err != nil {
			return nil, 0, err
		}
		// The pages are read at different times, so only reading from the end
		// of the first page misses no record.
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
