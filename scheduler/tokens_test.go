package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// tokenOf returns the token of the next renewal for the worker "w".
func (r *rig) tokenOf(s *scheduler.Scheduler) int64 {
	order, known := s.LeaseRenewal("w", r.now)
	r.c.Assert(known, qt.IsTrue)
	return order.Token
}

// TestTokenOfTheNextLifeIsStoredBeforeItsUse guards against a next owner whose calls a worker refuses, as
// it has seen a token there that the store does not list, and against starts that the former life's
// late calls may precede.
func TestTokenOfTheNextLifeIsStoredBeforeItsUse(t *testing.T) {
	r := newRestartRig(t, "w")
	w := r.workersByID["w"]
	r.c.Assert(r.tokenOf(r.s), qt.Equals, int64(1))
	for restarts := range int64(3) {
		w.restart()
		r.s.AddJob(r.job(workerName(int(restarts)), newPhase(1, cores(1))), nil, false, r.now)
		r.advance(100 * time.Millisecond)
		r.renewLeases()
		r.c.Assert(r.tokenOf(r.s), qt.Equals, 1+restarts)
		r.s.ConfirmOwnership(r.now)
		r.carryOut(r.s.Tick(r.now))
		r.c.Assert(w.activeRuns, qt.HasLen, 0, qt.Commentf("started before the token was stored"))
		r.write()
		r.c.Assert(r.tokenOf(r.s), qt.Equals, 2+restarts)
		r.c.Assert(r.storedWorkers[0].Token, qt.Equals, 2+restarts)
		r.tick()
		r.c.Assert(w.activeRuns, qt.Not(qt.HasLen), 0)
		for _, effect := range r.effects {
			if start, is := effect.(scheduler.StartTask); is {
				r.c.Check(start.Token, qt.Equals, 2+restarts)
			}
		}
		r.c.Check(r.s.WorkerToken("w"), qt.Equals, 2+restarts)
	}
}

// TestNextOwnersTokenIsHigherThanTheFormerOnes guards against a next owner whose calls a restarted worker
// refuses, or that does not fence off the former owner's.
func TestNextOwnersTokenIsHigherThanTheFormerOnes(t *testing.T) {
	for _, test := range []struct {
		name         string
		owner        int64
		stored, want int64
	}{
		{
			name:  "not raised",
			owner: 7,
			want:  7,
		},
		{
			name:   "raised below the owner's",
			owner:  7,
			stored: 6,
			want:   7,
		},
		{
			name:   "raised to the owner's",
			owner:  7,
			stored: 7,
			want:   8,
		},
		{
			name:   "raised beyond the owner's",
			owner:  7,
			stored: 9,
			want:   10,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRestartRig(t, "w")
			entry := r.workersByID["w"].entry
			entry.Token = test.stored
			next := scheduler.New(test.owner, r.now)
			next.AddFormerWorkers([]scheduler.WorkerEntry{entry})
			// The directory lists no token.
			next.SetWorkers([]scheduler.WorkerEntry{r.workersByID["w"].entry})
			r.c.Assert(r.tokenOf(next), qt.Equals, test.want)
			if write := next.NextWrite(); test.want > test.owner {
				r.c.Assert(write.Workers[0].Token, qt.Equals, test.want)
			}
		})
	}
}

// TestTokenOfADroppedWorkerIsKept guards against an owner that takes a worker's refusal of its own lower
// token for a later owner, as it has forgotten the worker in between, and against calls to the life before
// that a worker obeys which was gone from the directory while it started again.
func TestTokenOfADroppedWorkerIsKept(t *testing.T) {
	r := newRestartRig(t, "w")
	w := r.workersByID["w"]
	w.restart()
	r.round()
	r.write()
	r.c.Assert(r.tokenOf(r.s), qt.Equals, int64(2))
	r.s.SetWorkers(nil)
	_, known := r.s.LeaseRenewal("w", r.now)
	r.c.Assert(known, qt.IsFalse)
	r.c.Check(r.s.WorkerToken("w"), qt.Equals, int64(2))
	r.updateDirectory()
	r.c.Check(r.tokenOf(r.s), qt.Equals, int64(2))
	r.s.SetWorkers(nil)
	w.restart()
	r.updateDirectory()
	r.round()
	r.write()
	r.c.Check(r.tokenOf(r.s), qt.Equals, int64(3))
}

// TestNextOwnerKnowsTheTokenOfADroppedWorker guards against a next owner that gives its partition up, as a worker
// refuses its token that had started again twice under the former owner and was gone from the directory since.
func TestNextOwnerKnowsTheTokenOfADroppedWorker(t *testing.T) {
	r := newRestartRig(t, "w", "other")
	w := r.workersByID["w"]
	for range 2 {
		w.restart()
		r.round()
		r.write()
	}
	r.c.Assert(r.tokenOf(r.s), qt.Equals, int64(3))
	listed := w.entry
	delete(r.workersByID, "w")
	r.updateDirectory()
	for range 30 {
		r.round()
		r.write()
	}
	_, known := r.s.LeaseRenewal("w", r.now)
	r.c.Assert(known, qt.IsFalse)
	for owner := range int64(3) {
		r.s = scheduler.New(2+owner, r.now)
		r.s.AddFormerWorkers(r.storedWorkers)
		_, known := r.s.LeaseRenewal("w", r.now)
		r.c.Assert(known, qt.IsFalse, qt.Commentf("waits for a worker without runs"))
		r.s.SetWorkers([]scheduler.WorkerEntry{listed})
		// A call may precede the next write.
		r.c.Assert(r.tokenOf(r.s), qt.Equals, int64(4))
		r.c.Assert(r.s.WorkerToken("w"), qt.Equals, int64(4))
	}
	// The worker is stored as in use before anything starts there.
	r.workersByID["w"] = w
	before := r.s.NextWrite()
	r.c.Assert(before.Workers, qt.HasLen, 2)
	r.confirm(before)
	for _, entry := range r.storedWorkers {
		r.c.Check(entry.Dropped, qt.IsFalse)
	}
}

// TestDroppedWorkerLeavesTheStore guards against a stored list of workers that grows with each one that has gone for
// good: each owner raised the tokens of those, though it never called them, so that no later one's was higher.
func TestDroppedWorkerLeavesTheStore(t *testing.T) {
	r := newRestartRig(t, "w", "other")
	for range 2 {
		r.workersByID["w"].restart()
		r.round()
		r.write()
	}
	delete(r.workersByID, "w")
	r.updateDirectory()
	for range 30 {
		r.round()
		r.write()
	}
	r.c.Assert(r.storedWorkers, qt.HasLen, 2)
	raised := r.storedWorkers[1].Token
	r.c.Assert(r.storedWorkers[1].Dropped, qt.IsTrue)
	for owner := int64(2); owner <= raised+1; owner++ {
		r.s = scheduler.New(owner, r.now)
		r.s.AddFormerWorkers(r.storedWorkers)
		// A worker that is new has the list written.
		r.addWorker(workerName(int(owner)), cores(8)).entry.StartedAt = r.now
		r.updateDirectory()
		for range 30 {
			r.round()
			r.write()
		}
	}
	for _, entry := range r.storedWorkers {
		r.c.Check(entry.Ref.ID, qt.Not(qt.Equals), "w", qt.Commentf("token %d", entry.Token))
	}
}

// TestDroppedWorkerIsNotTakenForStored guards against a next owner that does not wait for a worker with runs: a
// write that lists it as dropped ended when it was in use again.
func TestDroppedWorkerIsNotTakenForStored(t *testing.T) {
	r := newRestartRig(t, "w", "other")
	w := r.workersByID["w"]
	for range 2 {
		w.restart()
		r.round()
		r.write()
	}
	listed := w.entry
	delete(r.workersByID, "w")
	r.updateDirectory()
	var write scheduler.Write
	for len(write.Workers) == 0 {
		r.round()
		write = r.s.NextWrite()
	}
	r.workersByID["w"] = w
	r.s.SetWorkers([]scheduler.WorkerEntry{listed, r.workersByID["other"].entry})
	r.confirm(write)
	r.s.AddJob(r.job("j", newPhase(16, cores(1))), nil, false, r.now)
	for range 3 {
		r.round()
		r.write()
	}
	r.c.Assert(w.activeRuns, qt.Not(qt.HasLen), 0)
	for _, entry := range r.storedWorkers {
		r.c.Check(entry.Dropped, qt.IsFalse)
	}
}

// TestTokenOfASecondRestartIsProvedByItself guards against an owner that takes the answer to a call with the
// token that a worker's former life has seen, itself raised after an earlier restart, for the proof that no
// call to that life is carried out any more.
func TestTokenOfASecondRestartIsProvedByItself(t *testing.T) {
	r := newRestartRig(t, "w")
	w := r.workersByID["w"]
	for range 2 {
		w.restart()
		r.round()
	}
	// The second token is not stored. The worker answers calls with the first one.
	for range 10 {
		r.round()
	}
	r.c.Assert(r.tokenOf(r.s), qt.Equals, int64(1))
	r.write()
	r.round()
	w.restart()
	r.round()
	r.c.Assert(r.tokenOf(r.s), qt.Equals, int64(2))
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	heardFormer := r.now
	for range 30 {
		r.advance(100 * time.Millisecond)
		r.renewLeases()
		heardFormer = r.now
	}
	r.write()
	r.tick()
	r.c.Assert(w.activeRuns, qt.HasLen, 1)
	w.silent = true
	spare := r.addWorker("spare", cores(8))
	spare.entry.StartedAt = r.now
	r.updateDirectory()
	for len(spare.activeRuns) == 0 {
		r.c.Assert(r.now.Sub(heardFormer) < 20*time.Second, qt.IsTrue, qt.Commentf("not started again"))
		r.round()
	}
	// A late call may have given the longest lease until then.
	r.c.Assert(r.now.Sub(heardFormer) >= 6*time.Second, qt.IsTrue, qt.Commentf("started again after %v", r.now.Sub(heardFormer)))
}

// TestFormerWorkerWithARaisedTokenLeavesTheStore guards against next owners that wait for a worker which is
// gone, as the store went on listing it.
func TestFormerWorkerWithARaisedTokenLeavesTheStore(t *testing.T) {
	r := newRestartRig(t, "w", "gone")
	gone := r.workersByID["gone"].entry
	gone.Token = 9
	delete(r.workersByID, "gone")
	r.s = scheduler.New(7, r.now)
	r.s.AddFormerWorkers([]scheduler.WorkerEntry{gone, r.workersByID["w"].entry})
	r.storedWorkers = []scheduler.WorkerEntry{gone}
	r.s.SetWorkers([]scheduler.WorkerEntry{r.workersByID["w"].entry})
	r.s.EndWorker("gone", r.now)
	for range 30 {
		r.round()
		r.write()
	}
	r.c.Assert(r.storedWorkers, qt.HasLen, 1)
	r.c.Assert(r.storedWorkers[0].Ref.ID, qt.Equals, "w")
}

// TestLateCallsToADroppedWorkerAreWaitedFor guards against a task that runs twice: a worker had started again
// and was gone from the directory for a moment, after which it counted as one that refuses calls to its former
// incarnation. A late one had given it the longest lease.
func TestLateCallsToADroppedWorkerAreWaitedFor(t *testing.T) {
	const limit = 10 * time.Second
	r := newRig(t, scheduler.Lease(3500*time.Millisecond, 6*time.Second), scheduler.AcceptedLease(limit))
	w := r.addWorker("w", cores(8))
	w.entry.StartedAt = r.now
	r.updateDirectory()
	r.round()
	w.restart()
	r.round()
	r.s.SetWorkers(nil)
	r.s.SetWorkers([]scheduler.WorkerEntry{w.entry})
	r.c.Assert(r.tokenOf(r.s), qt.Equals, int64(1))
	r.advance(100 * time.Millisecond)
	r.renewLeases()
	// A late call with the former token arrives now.
	lateCallAt := r.now
	r.write()
	r.c.Assert(r.tokenOf(r.s), qt.Equals, int64(2))
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	r.round()
	r.c.Assert(w.activeRuns, qt.HasLen, 1)
	w.silent = true
	spare := r.addWorker("spare", cores(8))
	spare.entry.StartedAt = r.now
	r.updateDirectory()
	for len(spare.activeRuns) == 0 {
		r.c.Assert(r.now.Sub(lateCallAt) < 20*time.Second, qt.IsTrue, qt.Commentf("not started again"))
		r.round()
	}
	r.c.Assert(r.now.Sub(lateCallAt) >= limit, qt.IsTrue, qt.Commentf("started again after %v", r.now.Sub(lateCallAt)))
}

// longHoldLimit is the longest lease that workers accept on some sites.
const longHoldLimit = 10 * time.Second

// TestNextOwnerWaitsForTheLeaseOfALateCall guards against a task that runs twice: a next owner used a worker
// that was not listed as in use, though a call of the former owner to an earlier incarnation may have given
// it the longest lease.
func TestNextOwnerWaitsForTheLeaseOfALateCall(t *testing.T) {
	r := newRig(t, scheduler.Lease(entryLease, entryMaxLease), scheduler.AcceptedLease(longHoldLimit))
	w := r.addWorker("w", cores(8))
	w.entry.StartedAt = r.now
	r.updateDirectory()
	r.renewLeases()
	job := r.job("job", newPhase(1, cores(1)))
	r.advance(time.Second)
	r.s = scheduler.New(2, r.now, scheduler.Lease(entryLease, entryMaxLease), scheduler.AcceptedLease(longHoldLimit))
	r.s.AddFormerWorkers(nil)
	r.s.AddJob(job, nil, true, r.now)
	// The worker was dropped just before, and has started again.
	w.restart()
	r.updateDirectory()
	lateCall := r.now
	for len(w.activeRuns) == 0 {
		r.c.Assert(r.now.Sub(lateCall) < 2*time.Second, qt.IsTrue)
		r.round()
		r.write()
	}
	w.silent = true
	spare := r.addWorker("spare", cores(8))
	r.updateDirectory()
	for len(spare.activeRuns) == 0 {
		r.c.Assert(r.now.Sub(lateCall) < 20*time.Second, qt.IsTrue)
		r.round()
		r.write()
	}
	r.c.Check(r.now.Sub(lateCall) >= longHoldLimit, qt.IsTrue, qt.Commentf("started again after %v", r.now.Sub(lateCall)))
}
