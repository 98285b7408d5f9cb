package conductor

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// TestTwoOwnershipsOfOneEpochLoseNoWrite guards against ends that are acknowledged and not
// stored: two ownerships of a partition have the same epoch, and the store takes the writes of
// one for repetitions of the other's.
func TestTwoOwnershipsOfOneEpochLoseNoWrite(t *testing.T) {
	for _, between := range []int{0, 1, 4, 5, 9} {
		t.Run(fmt.Sprint(between), func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			store := storer.NewMemory(timekeeper.System())
			first, _ := loggedOwner(store)
			second, _ := loggedOwner(store)
			write := func(owner *Conductor, key string) error {
				return owner.appendProgress(ctx, []storer.Record{
					{
						Key:   key,
						Value: []byte("{}"),
					},
				})
			}
			c.Assert(first.loadPartition(ctx), qt.IsNil)
			// The second ownership begins before the first has written, or after.
			if between == 0 {
				c.Assert(second.loadPartition(ctx), qt.IsNil)
			}
			acknowledged := 0
			for i := range max(1, between) {
				c.Assert(write(first, fmt.Sprintf("first%d", i)), qt.IsNil)
				acknowledged++
			}
			if between > 0 {
				c.Assert(second.loadPartition(ctx), qt.IsNil)
			}
			for i := range 3 {
				err := write(second, fmt.Sprintf("second%d", i))
				if err == nil {
					acknowledged++
					continue
				}
				c.Assert(err, qt.ErrorIs, ErrSuperseded)
				break
			}
			page, err := store.Newest(ctx, first.progressPartition(), "")
			c.Assert(err, qt.IsNil)
			c.Assert(page.Records, qt.HasLen, acknowledged)
		})
	}
}

// strictStore also checks the sequence number of an append without records, if the epoch has
// appended before.
type strictStore struct {
	*storer.Memory
	mu   sync.Mutex
	last map[int64]int64
}

// Append implements storer.Store.
func (s *strictStore) Append(ctx context.Context, partition storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if writer != nil && len(records) == 0 {
		if last, found := s.last[writer.Epoch]; found && writer.Sequence != last+1 {
			return 0, storer.ErrConflict
		}
	}
	end, err := s.Memory.Append(ctx, partition, writer, records...)
	if err == nil && writer != nil && len(records) > 0 {
		s.last[writer.Epoch] = writer.Sequence
	}
	return end, err
}

// TestTakeoverWithTheEpochOfAnotherOwnershipEnds guards against a partition that has no owner for
// good: a store that rejects the sequence number with which the epoch is announced is asked again
// and again instead of the group for a later epoch.
func TestTakeoverWithTheEpochOfAnotherOwnershipEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &strictStore{
			Memory: storer.NewMemory(timekeeper.System()),
			last:   make(map[int64]int64),
		}
		first, _ := loggedOwner(store)
		second, _ := loggedOwner(store)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c.Assert(first.takeOver(ctx), qt.IsNil)
		c.Assert(first.appendProgress(ctx, []storer.Record{
			{
				Key:   "j",
				Value: []byte("{}"),
			},
		}), qt.IsNil)
		c.Assert(second.takeOver(ctx), qt.ErrorIs, ErrSuperseded)
	})
}

// TestCheckOfAWriterFollowsItsSequence guards against a rejected write that holds up its partition:
// a store that checks the sequence number of an append without records would seem to serve the
// owner no longer.
func TestCheckOfAWriterFollowsItsSequence(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := &strictStore{
		Memory: storer.NewMemory(timekeeper.System()),
		last:   make(map[int64]int64),
	}
	owner, _ := loggedOwner(store)
	c.Assert(owner.loadPartition(ctx), qt.IsNil)
	for _, key := range []string{"j", "k"} {
		c.Assert(owner.appendProgress(ctx, []storer.Record{
			{
				Key:   key,
				Value: []byte("{}"),
			},
		}), qt.IsNil)
		c.Assert(owner.servesWriter(ctx), qt.IsTrue)
	}
}
