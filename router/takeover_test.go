package router

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// TestOwnersChangeUnderLoad checks that no minion gets more requests than it has slots,
// and that each caller gets the answer to its own request or learns that the request
// did not run. Meanwhile owners change, the entries learn of each epoch at different
// times, and more requests come than the minions can run.
func TestOwnersChangeUnderLoad(t *testing.T) {
	c := qt.New(t)
	const callers, epochs = 60, 8
	l := newTestCluster(t, 3, 3, 5*time.Millisecond)
	all := l.routers[0].membership.Members
	var group errgroup.Group
	var stop atomic.Bool
	var done, refused atomic.Int64
	for i := range callers {
		group.Go(func() error {
			for n := 0; !stop.Load(); n++ {
				body := fmt.Sprint("meter ", i, " ", n)
				got, err := l.post(i%3, body, HeaderDeadline, "5")
				switch {
				case err != nil:
					return err
				case got.status == http.StatusOK:
					c.Check(got.body, qt.Equals, string(emulator.Answer([]byte(body))))
					done.Add(1)
				default:
					c.Check(got.problem.Ran, qt.Equals, RanNo, qt.Commentf("%s", got.body))
					refused.Add(1)
				}
			}
			return nil
		})
	}
	for epoch := range epochs {
		m := recorder.Membership{
			Epoch: namer.Epoch(epoch + 2),
		}
		// In each epoch another one of the entries is not a member.
		for i, member := range all {
			if i != epoch%3 {
				m.Members = append(m.Members, member)
			}
		}
		before := done.Load()
		for i := range l.routers {
			l.routers[(i+epoch)%3].SetMembership(m)
			for done.Load() < before+int64(20*(i+1)) {
				time.Sleep(time.Millisecond)
			}
		}
	}
	stop.Store(true)
	c.Assert(group.Wait(), qt.IsNil)
	t.Logf("%d done, %d refused", done.Load(), refused.Load())
	for _, m := range l.minions {
		counts := m.Counts()
		c.Check(counts.MostRequests <= emulator.DefaultSlots, qt.IsTrue, qt.Commentf("%d at once", counts.MostRequests))
		c.Check(counts.MostConnections <= emulator.DefaultConnections, qt.IsTrue)
		t.Logf("at most %d requests and %d connections", counts.MostRequests, counts.MostConnections)
		for request, n := range counts.Requests {
			c.Check(n, qt.Equals, 1, qt.Commentf(request))
		}
	}
}
