package scheduler_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

const (
	acme = "acme"
	// ownPartition is the partition of the rig's owner, and otherPartition that of
	// another owner.
	ownPartition   = 2
	otherPartition = 5
)

// eightOfAll is a maximum that limits all resources.
var eightOfAll = sizer.New(8000, 8*gibibyte, 8)

// parts returns the same number of parts of each resource.
func parts(n int64) allotter.Parts {
	return allotter.Parts{n, n, n}
}

// newAllotmentRig returns a rig whose owner holds half of the parts.
func newAllotmentRig(t *testing.T, maximum sizer.Size) *rig {
	r := newRig(t)
	r.setMaximum(maximum)
	r.s.SetBasePartitions(ownPartition, []int{ownPartition, otherPartition})
	return r
}

func (r *rig) setMaximum(maximum sizer.Size) {
	r.s.SetOrganisations([]scheduler.Organisation{{
		Name:    acme,
		Weight:  1,
		Maximum: maximum,
	}}, 0.1)
}

// request returns a request of another owner.
func request(token int64, wants ...allotter.Want) allotter.Request {
	return allotter.Request{
		Partition: otherPartition,
		Token:     token,
		Wants:     wants,
	}
}

// urgentWant asks for parts for a step that is more urgent than any other.
func urgentWant(missing allotter.Parts) allotter.Want {
	return allotter.Want{
		Organisation: acme,
		Missing:      missing,
		Precedence: allotter.Precedence{
			Rank: math.MinInt,
		},
	}
}

func (r *rig) allot(want allotter.Want) scheduler.Gift {
	gift, err := r.s.Allot(request(1, want), r.now)
	r.c.Assert(err, qt.IsNil)
	return gift
}

// TestTasksStartBeforeTheBaseIsKnown guards against starts of an organisation with a
// maximum while it is not known what part of it this owner may use.
func TestTasksStartBeforeTheBaseIsKnown(t *testing.T) {
	r := newRig(t)
	r.setMaximum(sizer.New(8000, 0, 0))
	held := r.s.HeldAllotment(acme)
	c := r.c
	c.Assert(sizer.Size{}.Fits(held.Allotment), qt.IsFalse)
	c.Assert(held.All, qt.IsFalse)
	_, err := r.s.Allot(request(1, urgentWant(parts(1))), r.now)
	c.Assert(err, qt.ErrorIs, scheduler.ErrNoAllotments)
	// Nothing limits an organisation without a maximum.
	held = r.s.HeldAllotment("other")
	c.Assert(sizer.New(1<<50, 1<<50, 1<<50).Fits(held.Allotment), qt.IsTrue)
	c.Assert(held.All, qt.IsTrue)
}

// TestUnlimitedResourceIsLimitedByTheAllotment guards against a limit in a resource for
// which the maximum has none.
func TestUnlimitedResourceIsLimitedByTheAllotment(t *testing.T) {
	r := newAllotmentRig(t, sizer.New(8000, 0, 3))
	held := r.s.HeldAllotment(acme)
	r.c.Assert(held.Allotment.MilliCores(), qt.Equals, int64(4000))
	r.c.Assert(held.Allotment.Accelerators(), qt.Equals, int64(1))
	r.c.Assert(held.Allotment.Bytes() > 1<<60, qt.IsTrue)
	r.c.Assert(held.Parts, qt.Equals, parts(500_000))
}

// TestGiftIsHeldUntilItIsStored guards against parts that are used here after they were
// given, and against an answer before the ledger is stored.
func TestGiftIsHeldUntilItIsStored(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	// A write that was made before the gift does not store it.
	earlier := r.s.NextWrite()
	gift := r.allot(urgentWant(parts(200_000)))
	r.c.Assert(gift.Given[acme], qt.Equals, parts(200_000))
	r.c.Assert(r.s.HeldAllotment(acme).Parts, qt.Equals, parts(300_000))
	r.s.Written(earlier)
	r.c.Assert(r.s.LedgerStored(gift.Batch), qt.IsFalse)
	pending, urgent := r.s.Unwritten()
	r.c.Assert(pending && urgent, qt.IsTrue)
	write := r.s.NextWrite()
	r.c.Assert(write.Empty(), qt.IsFalse)
	r.c.Assert(r.s.LedgerStored(gift.Batch), qt.IsFalse)
	r.s.Written(write)
	r.c.Assert(r.s.LedgerStored(gift.Batch), qt.IsTrue)
	r.c.Assert(r.s.NextWrite().Allotments, qt.IsNil)
	r.c.Assert(gift.Reply.Given, qt.DeepEquals, []allotter.Total{{
		Organisation: acme,
		Parts:        parts(200_000),
	}})
}

// TestNewOwnerForgetsTheLedger guards against a new owner that holds again what the former
// one has given, or not what it has received.
func TestNewOwnerForgetsTheLedger(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	r.allot(urgentWant(parts(200_000)))
	received := r.s.ReceiveAllotments(otherPartition, allotter.Reply{
		Given: []allotter.Total{{
			Organisation: acme,
			Parts:        parts(50_000),
		}},
	}, r.now)
	r.c.Assert(received[acme], qt.Equals, parts(50_000))
	write := r.s.NextWrite()
	stored, err := json.Marshal(write.Allotments)
	r.c.Assert(err, qt.IsNil)

	next := newAllotmentRig(t, eightOfAll)
	next.c.Assert(next.s.RestoreAllotments(stored), qt.IsNil)
	next.c.Assert(next.s.HeldAllotment(acme).Parts, qt.Equals, parts(350_000))
	// The same totals change nothing.
	received = next.s.ReceiveAllotments(otherPartition, allotter.Reply{
		Given: []allotter.Total{{
			Organisation: acme,
			Parts:        parts(50_000),
		}},
	}, r.now)
	next.c.Assert(received, qt.HasLen, 0)
	next.c.Assert(next.s.HeldAllotment(acme).Parts, qt.Equals, parts(350_000))
}

// TestUnreadableLedgerCountsAsEmpty guards against an owner that holds what a former one
// has given, since it cannot read the ledger, and against the loss of that ledger.
func TestUnreadableLedgerCountsAsEmpty(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	r.c.Assert(r.s.RestoreAllotments([]byte("{")), qt.ErrorIs, allotter.ErrRecord)
	r.c.Assert(sizer.Size{}.Fits(r.s.HeldAllotment(acme).Allotment), qt.IsFalse)
	_, err := r.s.Allot(request(1, urgentWant(parts(1))), r.now)
	r.c.Assert(err, qt.ErrorIs, scheduler.ErrNoAllotments)
	r.c.Assert(r.s.NextWrite().Allotments, qt.IsNil)
}

// TestFormerOwnerIsGivenParts guards against parts that are given to a former owner after
// the new one has asked.
func TestFormerOwnerIsGivenParts(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	_, err := r.s.Allot(request(7), r.now)
	r.c.Assert(err, qt.IsNil)
	_, err = r.s.Allot(request(6, urgentWant(parts(1))), r.now)
	r.c.Assert(err, qt.ErrorIs, scheduler.ErrFormerOwner)
	r.c.Assert(r.s.HeldAllotment(acme).Parts, qt.Equals, parts(500_000))
}

// TestChangedMaximumNeedsMessages guards against an allotment that follows a changed
// maximum only after an exchange or a write.
func TestChangedMaximumNeedsMessages(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	r.allot(urgentWant(parts(250_000)))
	r.write()
	for _, test := range []struct{ maximum, want sizer.Size }{
		{sizer.New(8000, 800, 40), sizer.New(2000, 200, 10)},
		{sizer.New(80_000, 8000, 400), sizer.New(20_000, 2000, 100)},
		{sizer.New(80, 8, 4), sizer.New(20, 2, 1)},
	} {
		r.setMaximum(test.maximum)
		r.c.Assert(r.s.HeldAllotment(acme).Allotment, qt.Equals, test.want)
	}
	r.setMaximum(sizer.Size{})
	r.c.Assert(r.s.HeldAllotment(acme).Allotment.MilliCores() > 1<<60, qt.IsTrue)
	r.setMaximum(eightOfAll)
	r.c.Assert(r.s.HeldAllotment(acme).Allotment, qt.Equals, sizer.New(2000, 2*gibibyte, 2))
	r.c.Assert(r.s.AllotmentWants(r.now), qt.HasLen, 0)
	pending, _ := r.s.Unwritten()
	r.c.Assert(pending, qt.IsFalse)
}

// TestUnlimitedResourceIsGiven guards against a gift of parts by an owner whose
// configuration has no maximum, as it cannot tell what part of it its runs use.
func TestUnlimitedResourceIsGiven(t *testing.T) {
	r := newAllotmentRig(t, sizer.New(8000, 0, 0))
	gift := r.allot(urgentWant(parts(100)))
	r.c.Assert(gift.Given[acme], qt.Equals, allotter.Parts{100, 0, 0})
	want := urgentWant(parts(100))
	want.Organisation = "unknown"
	r.c.Assert(r.allot(want).Given, qt.HasLen, 0)
}

// TestRunsLoseTheirParts guards against a gift of parts that this owner's runs use.
func TestRunsLoseTheirParts(t *testing.T) {
	r := newAllotmentRig(t, cores(16))
	r.addWorker("w", cores(16))
	r.updateDirectory()
	r.round()
	job := r.job("j", newPhase(5, cores(1)))
	job.Organisation = acme
	r.s.AddJob(job, nil, false, r.now)
	r.round()
	r.c.Assert(r.activeRuns(), qt.Equals, 5)
	r.allot(urgentWant(parts(allotter.Whole)))
	held := r.s.HeldAllotment(acme)
	r.c.Assert(held.Used, qt.Equals, cores(5))
	r.c.Assert(held.Allotment.MilliCores(), qt.Equals, int64(5000))
}

// TestGiverGoesOnWithoutTheStore guards against parts that are lost while the store does
// not respond: they are given and of use to nobody. An owner that cannot store gives and
// asks for nothing, and what it has given is known once the store responds.
func TestGiverGoesOnWithoutTheStore(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	r.allot(urgentWant(parts(10)))
	stalled := r.s.NextWrite()
	r.advance(time.Second)
	_, err := r.s.Allot(request(1, urgentWant(parts(10))), r.now)
	r.c.Assert(err, qt.ErrorIs, scheduler.ErrAllotmentsUnstored)
	r.c.Assert(r.s.AllotmentWants(r.now), qt.HasLen, 0)
	r.c.Assert(r.s.HeldAllotment(acme).Parts, qt.Equals, parts(499_990))
	r.s.Written(stalled)
	gift := r.allot(allotter.Want{
		Organisation: acme,
	})
	r.c.Assert(gift.Reply.Given[0].Parts, qt.Equals, parts(10))
	r.c.Assert(r.s.LedgerStored(gift.Batch), qt.IsTrue)
}

// TestReleasedPartsAreUsedAgain guards against a giver that goes on using parts that a
// starved and more urgent step elsewhere waits for, and against one that withholds them
// for good.
func TestReleasedPartsAreUsedAgain(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	want := urgentWant(parts(900_000))
	want.First = parts(800_000)
	r.s.Tick(r.now)
	r.allot(want)
	r.c.Assert(r.s.HeldAllotment(acme).Allotment, qt.Equals, sizer.Size{})
	received := allotter.Reply{
		Given: []allotter.Total{{
			Organisation: acme,
			Parts:        parts(500_000),
		}},
	}
	r.s.ReceiveAllotments(otherPartition, received, r.now)
	// Of the 800,000 parts 500,000 were given, so 300,000 are withheld.
	r.c.Assert(r.s.HeldAllotment(acme).Allotment.MilliCores(), qt.Equals, int64(1600))
	r.advance(time.Second)
	r.s.Tick(r.now)
	r.c.Assert(r.s.HeldAllotment(acme).Allotment.MilliCores(), qt.Equals, int64(4000))
}

// TestStarvedStepClaimsNothing guards against a request that does not say what a starved
// gang needs, and against one that claims parts for a step which is not starved.
func TestStarvedStepClaimsNothing(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	r.addWorker(workerName(0), cores(8))
	r.updateDirectory()
	r.renewLeases()
	gang := newPhase(3, cores(2))
	gang.Gang = true
	job := r.job("j", gang)
	job.Organisation = acme
	r.s.AddJob(job, nil, false, r.now)
	r.s.Tick(r.now)
	wants := r.s.AllotmentWants(r.now)
	r.c.Assert(wants, qt.HasLen, 1)
	r.c.Assert(wants[0].Missing[allotter.Cores], qt.Equals, int64(250_000))
	r.c.Assert(wants[0].First, qt.Equals, allotter.Parts{})
	r.advance(1100 * time.Millisecond)
	r.s.Tick(r.now)
	wants = r.s.AllotmentWants(r.now)
	r.c.Assert(wants[0].First[allotter.Cores], qt.Equals, int64(250_000))
	built := r.s.AllotmentRequest(allotter.Call{
		Partition: otherPartition,
	}, wants)
	r.c.Assert(built.Partition, qt.Equals, ownPartition)
	r.c.Assert(built.Token, qt.Equals, r.s.Token())
}

// TestClaimLeavesMoreUrgentStepsAlone guards against a claim of a less urgent step that
// keeps this owner's more urgent one from starting, or its owner from asking for more.
func TestClaimLeavesMoreUrgentStepsAlone(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	for i := range 2 {
		r.addWorker(workerName(i), cores(8))
	}
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(6, cores(1)))
	job.Organisation = acme
	r.s.AddJob(job, nil, false, r.now)
	r.rounds(2)
	r.c.Assert(r.runsOf("j"), qt.Equals, 4)
	want := urgentWant(parts(900_000))
	want.First = parts(800_000)
	want.Precedence.Rank = 100
	r.allot(want)
	r.endOne()
	r.rounds(2)
	r.c.Assert(r.runsOf("j"), qt.Equals, 4)
	r.c.Assert(r.s.AllotmentWants(r.now), qt.HasLen, 1)
}

// TestClaimCancelsNoPlannedStart guards against a start that is given up while it waits for
// the store, since another owner claims parts that the planned run uses.
func TestClaimCancelsNoPlannedStart(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	r.addWorker(workerName(0), cores(8))
	r.updateDirectory()
	r.renewLeases()
	job := r.job("j", newPhase(4, cores(1)))
	job.Organisation = acme
	r.s.AddJob(job, nil, false, r.now)
	r.carryOut(r.s.Tick(r.now))
	r.c.Assert(r.s.PlannedRuns(), qt.Equals, 4)
	want := urgentWant(parts(900_000))
	want.First = parts(900_000)
	r.allot(want)
	r.write()
	r.rounds(1)
	r.c.Assert(r.runsOf("j"), qt.Equals, 4)
}

// askLessUrgently asks for all parts for a step that is less urgent than any other, each
// 100 ms for the given time, and returns the cores that were given.
func (r *rig) askLessUrgently(d time.Duration) int64 {
	var received allotter.Parts
	for range d / (100 * time.Millisecond) {
		r.rounds(1)
		r.s.AllotmentWants(r.now)
		gift := r.allot(allotter.Want{
			Organisation: acme,
			Missing:      parts(allotter.Whole).Sub(received),
			Received:     received,
			Precedence: allotter.Precedence{
				Rank: math.MaxInt,
			},
		})
		r.write()
		received = received.Add(gift.Given[acme])
	}
	return received[allotter.Cores]
}

// addGang adds a gang whose tasks keep apart, of the organisation acme.
func (r *rig) addGang(n int, size sizer.Size) {
	gang := newPhase(n, size)
	gang.Gang = true
	gang.PerWorker = 1
	job := r.job("gang", gang)
	job.Organisation = acme
	r.s.AddJob(job, nil, false, r.now)
}

// TestPartsThatAreNotUsedAreKept guards against a step of another owner that waits for ever
// for parts which this owner keeps for a more urgent gang, although that gang does not start
// for another reason.
func TestPartsThatAreNotUsedAreKept(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	r.addWorker(workerName(0), cores(8))
	r.updateDirectory()
	r.renewLeases()
	// There is one worker for the three tasks.
	r.addGang(3, cores(1))
	r.c.Assert(r.askLessUrgently(800*time.Millisecond), qt.Equals, int64(125_000))
	r.c.Assert(r.askLessUrgently(700*time.Millisecond), qt.Equals, int64(375_000))
	// Once it can start, the parts are asked for again.
	for i := range 2 {
		r.addWorker(workerName(i+1), cores(8))
	}
	r.updateDirectory()
	asked := false
	for range 25 {
		r.rounds(1)
		asked = asked || len(r.s.AllotmentWants(r.now)) > 0
	}
	r.c.Assert(asked, qt.IsTrue)
}

// TestPartsThatAreCollectedAreGiven guards against a gang that never gets all the parts that
// it needs, since others get those that it has.
func TestPartsThatAreCollectedAreGiven(t *testing.T) {
	r := newAllotmentRig(t, eightOfAll)
	for i := range 6 {
		r.addWorker(workerName(i), cores(8))
	}
	r.updateDirectory()
	r.renewLeases()
	// This owner holds four of the six cores.
	r.addGang(6, cores(1))
	r.c.Assert(r.askLessUrgently(5*time.Second), qt.Equals, int64(0))
}
