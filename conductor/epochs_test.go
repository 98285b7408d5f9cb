package conductor

import (
	"context"
	"fmt"
	"testing"

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
