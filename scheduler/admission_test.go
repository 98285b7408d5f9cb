package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// flood submits n jobs of an organisation at once, and returns the decisions.
func (r *rig) flood(organisation, n, tasks int) []scheduler.Admission {
	var admissions []scheduler.Admission
	for i := range n {
		job := r.ofOrganisation(organisation, fmt.Sprintf("%s-%06d-%d", organisationName(organisation), i, r.now.UnixMilli()), tasks, cores(1))
		admission := r.s.Admit(job, 0, r.now)
		admissions = append(admissions, admission)
		if admission.Refused == "" {
			r.s.AddJob(job, nil, false, r.now)
		}
	}
	return admissions
}

func countRefused(admissions []scheduler.Admission) int {
	n := 0
	for _, a := range admissions {
		if a.Refused != "" {
			n++
		}
	}
	return n
}

// TestFloodIsRefusedBeyondTheCapacity guards against accepted jobs of a flood that
// cannot be done in time, and against a refusal while there is capacity.
func TestFloodIsRefusedBeyondTheCapacity(t *testing.T) {
	r := newSharesRig(t, 16, 2, 2)
	admissions := r.flood(0, 200, 4)
	// The first 32 jobs fit the free workers.
	for _, a := range admissions[:32] {
		r.c.Assert(a.Refused, qt.Equals, scheduler.RefusalCause(""))
	}
	r.c.Assert(admissions[199].Refused, qt.Equals, scheduler.RefusedBacklog)
	r.c.Assert(countRefused(admissions) >= 120, qt.IsTrue, qt.Commentf("%d", countRefused(admissions)))
	// All of it is accepted where there are no organisations.
	r.s.SetOrganisations(nil, 0)
	r.c.Assert(countRefused(r.flood(0, 200, 4)), qt.Equals, 0)
}

// TestEntitledJobsAreAcceptedInAFlood guards against refusals of jobs within the
// entitled rate while another organisation floods the service.
func TestEntitledJobsAreAcceptedInAFlood(t *testing.T) {
	r := newSharesRig(t, 1, 1, 1)
	for range 20 {
		r.flood(0, 20, 8)
		r.c.Assert(countRefused(r.flood(1, 1, 1)), qt.Equals, 0)
		r.rounds(10)
	}
}

// TestKnownJobIsNotRefusedInAFlood guards against a refusal, which says that the job
// will not run, of a job that was accepted before and may be stored.
func TestKnownJobIsNotRefusedInAFlood(t *testing.T) {
	r := newSharesRig(t, 1, 1)
	stored := r.ofOrganisation(0, "org00-stored", 1, cores(1))
	r.s.AddJob(stored, nil, false, r.now)
	accepted := r.ofOrganisation(0, "org00-accepted", 1, cores(1))
	r.c.Assert(r.s.Admit(accepted, 0, r.now).Refused, qt.Equals, scheduler.RefusalCause(""))
	r.flood(0, 200, 8)
	other := r.ofOrganisation(0, "org00-other", 1, cores(1))
	for range 10 {
		r.flood(0, 20, 8)
		r.c.Assert(r.s.Admit(other, 0, r.now).Refused, qt.Equals, scheduler.RefusedBacklog)
		r.c.Assert(r.s.Admit(stored, 0, r.now).Known, qt.IsTrue)
		r.c.Assert(r.s.Admit(accepted, 0, r.now).Known, qt.IsTrue)
		r.rounds(10)
	}
}

// TestIdentityOfAnotherOrganisationIsRefused guards against a job that takes the place of
// another organisation's job with the same identity, whether that one has been read from
// the store or only accepted.
func TestIdentityOfAnotherOrganisationIsRefused(t *testing.T) {
	r := newSharesRig(t, 2, 1, 1)
	stored := r.ofOrganisation(0, "stored", 1, cores(1))
	r.s.AddJob(stored, nil, false, r.now)
	accepted := r.ofOrganisation(0, "accepted", 1, cores(1))
	r.c.Assert(r.s.Admit(accepted, 0, r.now).Refused, qt.Equals, scheduler.RefusalCause(""))
	for _, id := range []string{"stored", "accepted"} {
		foreign := r.ofOrganisation(1, id, 1, cores(1))
		r.c.Assert(r.s.Admit(foreign, 0, r.now).Refused, qt.Equals, scheduler.RefusedIdentity)
	}
	r.c.Assert(r.s.Admit(stored, 0, r.now).Known, qt.IsTrue)
	r.c.Assert(r.s.Admit(accepted, 0, r.now).Known, qt.IsTrue)
}

// TestAcceptedJobsCountBeforeTheyAreRead guards against a flood of which all is accepted
// since the owner has not read any of it from the store yet.
func TestAcceptedJobsCountBeforeTheyAreRead(t *testing.T) {
	r := newSharesRig(t, 4, 2)
	refused := 0
	for i := range 100 {
		if r.s.Admit(r.ofOrganisation(0, fmt.Sprintf("org00-%03d", i), 4, cores(1)), 0, r.now).Refused != "" {
			refused++
		}
	}
	r.c.Assert(refused >= 70, qt.IsTrue, qt.Commentf("%d", refused))
	// The appends have failed, so the capacity is free again.
	r.rounds(50)
	r.c.Assert(r.s.Admit(r.ofOrganisation(0, "org00-later", 4, cores(1)), 0, r.now).Refused, qt.Equals, scheduler.RefusalCause(""))
}

// TestRetriesOfAFloodAreSpread guards against callers that were refused at once and all
// return at once.
func TestRetriesOfAFloodAreSpread(t *testing.T) {
	r := newSharesRig(t, 4, 2)
	perSecond := make(map[time.Duration]int)
	refused := 0
	for _, a := range r.flood(0, 300, 4) {
		if a.Refused != "" {
			refused++
			perSecond[a.RetryAfter.Truncate(time.Second)]++
			r.c.Assert(a.RetryAfter >= time.Second && a.RetryAfter <= 15*time.Second, qt.IsTrue, qt.Commentf("%v", a.RetryAfter))
		}
	}
	for second, n := range perSecond {
		r.c.Assert(n <= refused/4, qt.IsTrue, qt.Commentf("%d of %d after %v", n, refused, second))
	}
}

// TestWaitingJobsOfAFloodAreLimited guards against an owner that runs out of memory
// while a service has no workers.
func TestWaitingJobsOfAFloodAreLimited(t *testing.T) {
	r := newRig(t)
	r.s.SetOrganisations(weighted(1), 0)
	admissions := r.flood(0, 2000, 1)
	r.c.Assert(admissions[900].Refused, qt.Equals, scheduler.RefusalCause(""))
	r.c.Assert(admissions[1999].Refused, qt.Equals, scheduler.RefusedJobs)
	r = newRig(t)
	r.s.SetOrganisations(weighted(1), 0)
	admissions = r.flood(0, 100, 1000)
	r.c.Assert(admissions[99].Refused, qt.Equals, scheduler.RefusedBytes)
}

// TestWorkBeyondAMaximumDelaysNoFlood guards against refusals by reason of waiting work
// that its organisation's maximum keeps from starting.
func TestWorkBeyondAMaximumDelaysNoFlood(t *testing.T) {
	for _, limited := range []bool{false, true} {
		r := newSharesRig(t, 4)
		organisations := weighted(1, 1)
		if limited {
			organisations[0].Maximum = sizer.New(4000, 0, 0)
		}
		r.s.SetOrganisations(organisations, 0.1)
		r.s.AddJob(r.ofOrganisation(0, "org00", 1000, cores(1)), nil, false, r.now)
		refused := countRefused(r.flood(1, 20, 1))
		r.c.Assert(refused, qt.Equals, map[bool]int{
			false: 17,
			true:  0,
		}[limited])
	}
}
