package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// refusingOwners is a store that refuses to name the owners at once.
type refusingOwners struct {
	storer.Store
	reads int
}

func (s *refusingOwners) Owners(context.Context, string) ([]storer.Ownership, error) {
	s.reads++
	return nil, storer.ErrUnavailable
}

// TestRefusedReadsOfOwnersAreLimited guards against a store that refuses calls over its limit and gets a read of the
// owners with each call to an owner that is gone (issue 78).
func TestRefusedReadsOfOwnersAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &refusingOwners{}
		table := newOwnerTable(store, timekeeper.System())
		table.addresses = map[int]string{
			3: "10.0.0.1:7",
		}
		table.doubt("10.0.0.1:7")
		const lasts = 3 * time.Second
		for began := time.Now(); time.Since(began) < lasts; time.Sleep(time.Millisecond) {
			address, found := table.find(context.Background(), 3)
			c.Assert(found, qt.IsTrue)
			c.Assert(address, qt.Equals, "10.0.0.1:7")
		}
		c.Check(store.reads <= int(lasts/minOwnersAge)+1, qt.IsTrue, qt.Commentf("%d reads in %v", store.reads, lasts))
	})
}
