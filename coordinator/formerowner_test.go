package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// modelQueryTimeout is how long the receiver lets a caller wait for a state.
const modelQueryTimeout = 1200 * time.Millisecond

// ownedSite is a model of four entries that all know the owner of a job's partition.
type ownedSite struct {
	*site
	job receiver.JobRef
	// owner is the entry that owned the partition at first.
	owner *siteEntry
}

func newOwnedSite(c *qt.C) *ownedSite {
	s := &ownedSite{
		site: newSite(c, 5),
		job: receiver.JobRef{
			ID: "00000000000000aa",
			Queue: scheduler.Queue{
				Name:    "checks",
				Service: modelService,
			},
		},
	}
	s.configure(1)
	ctx, cancel := context.WithCancel(context.Background())
	var reports errgroup.Group
	reports.Go(func() error { return s.report(ctx) })
	for i := range 4 {
		s.addEntry(i, time.Millisecond)
	}
	c.Cleanup(func() {
		cancel()
		s.stop()
		c.Assert(reports.Wait(), qt.IsNil)
	})
	time.Sleep(5 * time.Second)
	c.Assert(s.entries[0].coordinator.Submit(ctx, scheduler.Job{
		ID:       s.job.ID,
		Queue:    s.job.Queue,
		Accepted: time.Now(),
		Phases: []scheduler.Phase{{
			Tasks:    1,
			Size:     sizer.New(1000, 1<<30, 0),
			Estimate: time.Second,
		}},
	}), qt.IsNil)
	for _, e := range s.entries {
		c.Assert(s.askState(e), qt.IsNil)
	}
	s.owner = s.ownerNow()
	c.Assert(s.owner, qt.IsNotNil)
	return s
}

// askState asks an entry for the state of the job, as the receiver does.
func (s *ownedSite) askState(e *siteEntry) error {
	ctx, cancel := context.WithTimeout(context.Background(), modelQueryTimeout)
	defer cancel()
	_, err := e.coordinator.State(ctx, s.job)
	return err
}

// ownerNow returns the entry that owns the job's partition and is not cut off, or nil.
func (s *ownedSite) ownerNow() *siteEntry {
	for _, e := range s.entries {
		partition, known := e.coordinator.shards.partitionOfJob(s.job.Queue.Service, s.job.ID)
		if known && e.coordinator.localOwner(partition) != nil && !e.store.cutOff.Load() {
			return e
		}
	}
	return nil
}

// losesOwner has the owner of the job vanish: its peers, the store and it do not reach each other any
// more, and calls to it have no answer. It returns once another entry knows the job as its owner.
func (s *ownedSite) losesOwner() {
	s.owner.store.silent.Store(true)
	s.cutOff([]*siteEntry{s.owner}, true)
	for next := s.ownerNow(); next == nil || s.askState(next) != nil; next = s.ownerNow() {
		time.Sleep(10 * time.Millisecond)
	}
}

// TestStateIsAskedOfTheNextOwner guards against an accepted job of which an entry shows no state for good, as it goes
// on asking an owner that is gone without a reset (issue 78).
func TestStateIsAskedOfTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newOwnedSite(c)
		s.losesOwner()
		for _, e := range s.entries {
			if e == s.owner {
				continue
			}
			err := s.askState(e)
			for range 2 {
				if err != nil {
					time.Sleep(time.Second)
					err = s.askState(e)
				}
			}
			c.Check(err, qt.IsNil, qt.Commentf("%s, asked three times", e.coordinator.settings.name))
		}
	})
}

// TestImpatientCallersLearnOfTheNextOwner guards against states that callers which give up after 500 ms are never shown,
// as each of them waits for the owner that is gone and its end shows nothing (issue 78).
func TestImpatientCallersLearnOfTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newOwnedSite(c)
		s.losesOwner()
		for _, e := range s.entries {
			if e == s.owner {
				continue
			}
			var err error
			for range 20 {
				ctx, cancel := context.WithCancel(context.Background())
				timer := time.AfterFunc(500*time.Millisecond, cancel)
				_, err = e.coordinator.State(ctx, s.job)
				timer.Stop()
				cancel()
				if err == nil {
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
			c.Check(err, qt.IsNil, qt.Commentf("%s, asked 20 times", e.coordinator.settings.name))
		}
	})
}

// TestSlowStoreTakesJobsBesideAGoneOwner guards against jobs whose outcome is unknown for as long as the store is slow, as
// each one is handed to an owner that is gone (issue 78).
func TestSlowStoreTakesJobsBesideAGoneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newOwnedSite(c)
		owners, err := s.store.Owners(context.Background(), groupName)
		c.Assert(err, qt.IsNil)
		// The store has not noticed.
		s.store.mu.Lock()
		s.store.staleOwners = owners
		s.store.mu.Unlock()
		s.owner.store.silent.Store(true)
		s.cutOff([]*siteEntry{s.owner}, true)
		for i, e := range s.entries {
			if e == s.owner {
				continue
			}
			for n := range 3 {
				e.coordinator.store.recordPeerReport(true)
				got := s.submitTo(e, fmt.Sprintf("job-%d-%d", i, n))
				c.Check(n > 0 && got.err != nil, qt.IsFalse, qt.Commentf("entry %d, job %d: %v after %v", i, n, got.err, got.took))
			}
		}
	})
}

// TestFormerOwnerDoesNotAnswerForTheNext guards against states and numbers of waiting jobs that an entry takes, for good,
// from a former owner that the store does not answer any more (issue 78).
func TestFormerOwnerDoesNotAnswerForTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newOwnedSite(c)
		s.owner.store.silent.Store(true)
		s.owner.store.cutOff.Store(true)
		for next := s.ownerNow(); next == nil || s.askState(next) != nil; next = s.ownerNow() {
			time.Sleep(10 * time.Millisecond)
		}
		// Only the next owner reads of the cancellation.
		c.Assert(s.ownerNow().coordinator.Cancel(context.Background(), s.job), qt.IsNil)
		time.Sleep(time.Second)
		for _, e := range s.entries {
			if e == s.owner {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), modelQueryTimeout)
			state, err := e.coordinator.State(ctx, s.job)
			c.Check(err, qt.IsNil)
			c.Check(state, qt.Equals, scheduler.Cancelled, qt.Commentf(e.coordinator.settings.name))
			waiting, err := e.coordinator.WaitingJobs(ctx, s.job.Queue)
			c.Check(err, qt.IsNil)
			c.Check(waiting, qt.Equals, 0, qt.Commentf(e.coordinator.settings.name))
			cancel()
		}
	})
}

// TestRoomIsAskedOfTheNextOwner guards against an owner that asks a former one for room, for good, as the store does not
// answer that one any more (issue 78).
func TestRoomIsAskedOfTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newOwnedSite(c)
		partition, _ := s.owner.coordinator.shards.partitionOfJob(s.job.Queue.Service, s.job.ID)
		s.owner.store.silent.Store(true)
		s.owner.store.cutOff.Store(true)
		for s.ownerNow() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		next := s.ownerNow()
		for _, e := range s.entries {
			if e == s.owner || e == next {
				continue
			}
			for range 10 {
				_, err := e.coordinator.askRoom(context.Background(), partition, nil)
				c.Check(err, qt.IsNil)
				time.Sleep(time.Second)
			}
			c.Check(s.network.callsBy(e, "Room").last, qt.Equals, next.coordinator.settings.peerAddress, qt.Commentf("%s, asked 10 times", e.coordinator.settings.name))
		}
	})
}

// TestFormerOwnerAnswersWithoutAStore guards against states that are not shown, or shown late, while the store answers
// nobody, as all owners may have a successor (issue 78).
func TestFormerOwnerAnswersWithoutAStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newOwnedSite(c)
		for _, e := range s.entries {
			e.store.silent.Store(true)
		}
		s.store.setDown(true)
		time.Sleep(3 * time.Second)
		for _, e := range s.entries {
			began := time.Now()
			c.Check(s.askState(e), qt.IsNil, qt.Commentf(e.coordinator.settings.name))
			c.Check(time.Since(began) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("shown after %v", time.Since(began)))
		}
	})
}

// contactTime is how long a machine is undisturbed before the platform expects it to answer.
const contactTime = 4 * time.Second

// TestStatesAreShownAfterAnyLosses guards against an entry that shows no state of an accepted job although it and the
// store have been undisturbed for contactTime, whatever was lost before: owners in series, for good or for a time, with
// or without their links to peers, and the store (issue 78). Callers ask for states only.
func TestStatesAreShownAfterAnyLosses(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				rng := rand.New(rand.NewPCG(seed, 78))
				s := newOwnedSite(c)
				gone := make(map[*siteEntry]bool)
				for range 1 + rng.IntN(4) {
					s.disturb(rng, gone)
				}
				time.Sleep(contactTime)
				for _, e := range s.entries {
					if !gone[e] {
						c.Check(s.askState(e), qt.IsNil, qt.Commentf(e.coordinator.settings.name))
					}
				}
			})
		})
	}
}

// disturb has the present owner or the store fail for some time, while random entries are asked for the state.
// Up to two owners are gone for good.
func (s *ownedSite) disturb(rng *rand.Rand, gone map[*siteEntry]bool) {
	owner := s.ownerNow()
	lasts := time.Duration(rng.IntN(5000)) * time.Millisecond
	for _, e := range s.entries {
		e.store.silent.Store(rng.IntN(2) == 0)
	}
	var end func()
	switch kind := rng.IntN(4); {
	case owner == nil || kind == 0:
		s.store.setDown(true)
		end = func() { s.store.setDown(false) }
	case kind == 1:
		owner.store.cutOff.Store(true)
		end = func() { owner.store.cutOff.Store(false) }
	case kind == 2 && len(gone) < 2:
		gone[owner] = true
		s.cutOff([]*siteEntry{owner}, true)
		end = func() {}
	default:
		s.cutOff([]*siteEntry{owner}, true)
		end = func() { s.cutOff([]*siteEntry{owner}, false) }
	}
	for until := time.Now().Add(lasts); time.Now().Before(until); time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond) {
		// Refusals are allowed meanwhile.
		_ = s.askState(s.entries[rng.IntN(len(s.entries))])
	}
	end()
	time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
}
