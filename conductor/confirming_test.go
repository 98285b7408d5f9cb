package conductor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/scheduler"
)

// TestLostRunStartsAgainOnceConfirmed guards against a task whose run was lost and that starts again
// before the ownership is confirmed, or waits for the next regular confirmation.
func TestLostRunStartsAgainOnceConfirmed(t *testing.T) {
	f := newFixture(t, 2)
	requested := make(chan struct{}, 1)
	f.ownerOptions = []conductor.Option{
		conductor.ConfirmSoon(func() {
			select {
			case requested <- struct{}{}:
			default:
			}
		}),
	}
	owner, _ := f.startOwner()
	phase := tasks(2)
	phase.PerWorker = 1
	f.submit("j", phase)
	for f.fleet.Starts() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.stopConfirming()
	f.fleet.SetSilent("a", true)
	<-requested
	// The other run is done long before the lease has expired.
	time.Sleep(50 * time.Millisecond)
	f.c.Assert(f.fleet.Starts(), qt.Equals, 2, qt.Commentf("started again without a confirmation"))
	owner.ConfirmOwnership(time.Now())
	f.await("j", scheduler.Completed)
	f.c.Assert(f.fleet.Starts(), qt.Equals, 3)
	f.checkNoViolations()
}
