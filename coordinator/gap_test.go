package coordinator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/scheduler"
)

// grantedLease is a lease that an owner has granted to a worker.
type grantedLease struct {
	token int64
	// until is the end of the lease on the workers' clock, which began with the model.
	until time.Duration
}

// leaseRecorder is a fleet of idle workers that records the leases granted to it.
type leaseRecorder struct {
	modelWorkers
	began time.Time

	mu     sync.Mutex
	leases []grantedLease
}

// RenewLease implements conductor.Workers.
func (w *leaseRecorder) RenewLease(ctx context.Context, token int64, order scheduler.LeaseRenewal, wait time.Duration) (scheduler.Report, error) {
	w.mu.Lock()
	w.leases = append(w.leases, grantedLease{
		token: token,
		until: order.Lease,
	})
	w.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return scheduler.Report{}, conductor.ErrUnreachable
	}
	return scheduler.Report{
		Clock: time.Since(w.began),
	}, nil
}

// latest returns the highest token and the latest end of a lease with a token of at most
// maxToken.
func (w *leaseRecorder) latest(maxToken int64) (token int64, until time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, lease := range w.leases {
		if lease.token <= maxToken {
			token, until = max(token, lease.token), max(until, lease.until)
		}
	}
	return token, until
}

// anyToken is higher than all tokens.
const anyToken = 1 << 40

// gapSite returns a model of two entries of which the first one owns all partitions. The
// second one has been started and is cut off.
func gapSite(t *testing.T) (*site, []*leaseRecorder, func()) {
	s := newSite(qt.New(t), 5)
	s.configure(1)
	ctx, cancel := context.WithCancel(context.Background())
	var reports errgroup.Group
	reports.Go(func() error { return s.report(ctx) })
	var recorders []*leaseRecorder
	began := time.Now()
	for i := range 2 {
		s.addEntry(i, time.Millisecond)
		recorder := &leaseRecorder{
			began: began,
		}
		s.entries[i].coordinator.settings.workers = recorder
		recorders = append(recorders, recorder)
	}
	s.cutOff(s.entries[1:], true)
	time.Sleep(5 * time.Second)
	return s, recorders, func() {
		cancel()
		s.stop()
		s.c.Assert(reports.Wait(), qt.IsNil)
	}
}

// longestLease is the time after the last confirmation of an ownership at which the leases
// of its owner have ended.
const longestLease = 6 * time.Second

// TestOwnerWithAnUnseenSuccessorGrantsNoLease guards against tasks that run twice: an owner that
// is cut off from the store for longer than its membership lasts has a successor, which ends, and
// the partition is dealt to the former owner again before its next join is answered. It goes on
// with its old token, and with what it knew before.
func TestOwnerWithAnUnseenSuccessorGrantsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, recorders, stop := gapSite(t)
		defer stop()
		first, second := s.entries[:1], s.entries[1:]
		formerToken, _ := recorders[0].latest(anyToken)
		s.c.Assert(formerToken > 0, qt.IsTrue)

		s.cutOff(first, true)
		cutAt := time.Since(recorders[0].began)
		s.cutOff(second, false)
		time.Sleep(8 * time.Second)
		successorToken, _ := recorders[1].latest(anyToken)
		s.c.Assert(successorToken > formerToken, qt.IsTrue)
		s.cutOff(second, true)
		time.Sleep(10 * time.Second)
		s.cutOff(first, false)
		time.Sleep(5 * time.Second)

		_, until := recorders[0].latest(successorToken)
		s.c.Check(until <= cutAt+longestLease, qt.IsTrue, qt.Commentf("lease until %v, cut off at %v", until, cutAt))
		token, until := recorders[0].latest(anyToken)
		s.c.Check(token > successorToken, qt.IsTrue, qt.Commentf("token %d after %d", token, successorToken))
		s.c.Check(until > time.Since(recorders[0].began), qt.IsTrue)
	})
}

// TestOwnerWithoutSuccessorGoesOnAfterAGap guards against takeovers that nothing requires: an
// owner is cut off for longer than its membership lasts, and nobody succeeds it.
func TestOwnerWithoutSuccessorGoesOnAfterAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, recorders, stop := gapSite(t)
		defer stop()
		former, _ := recorders[0].latest(anyToken)
		s.cutOff(s.entries[:1], true)
		time.Sleep(10 * time.Second)
		s.cutOff(s.entries[:1], false)
		time.Sleep(2 * time.Second)
		token, until := recorders[0].latest(anyToken)
		s.c.Check(token, qt.Equals, former)
		s.c.Check(until > time.Since(recorders[0].began), qt.IsTrue)
	})
}

// TestPartitionIsNotOwnedTwiceInOneGeneration guards against two ownerships with one token, whose
// writes the store cannot tell apart: an owner fails, and takes the same partition again.
func TestPartitionIsNotOwnedTwiceInOneGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, stop := gapSite(t)
		defer stop()
		c := s.entries[0].coordinator
		c.mu.Lock()
		failed := make(map[int]*ownership)
		for partition, own := range c.owned {
			failed[partition] = own
		}
		c.mu.Unlock()
		s.c.Assert(len(failed) > 0, qt.IsTrue)
		for partition, own := range failed {
			own.cancel()
			c.endFailedOwnership(partition, own, errors.New("the progress cannot be encoded"))
		}
		time.Sleep(3 * time.Second)
		c.mu.Lock()
		defer c.mu.Unlock()
		for partition, former := range failed {
			own := c.owned[partition]
			s.c.Assert(own, qt.IsNotNil)
			s.c.Check(own.conductor.Token() > former.conductor.Token(), qt.IsTrue)
		}
	})
}
