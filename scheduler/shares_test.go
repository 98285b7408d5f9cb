package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// newSharesRig returns a rig with n workers of 8 cores and organisations with these
// weights, named org00 and so on.
func newSharesRig(t *testing.T, n int, weights ...float64) *rig {
	r := newRig(t)
	for i := range n {
		r.addWorker(workerName(i), cores(8))
	}
	r.updateDirectory()
	r.renewLeases()
	r.s.SetOrganisations(weighted(weights...), 0.1)
	return r
}

func weighted(weights ...float64) []scheduler.Organisation {
	var organisations []scheduler.Organisation
	for i, weight := range weights {
		organisations = append(organisations, scheduler.Organisation{
			Name:   organisationName(i),
			Weight: weight,
		})
	}
	return organisations
}

// ofOrganisation returns a job of an organisation with one phase of long tasks.
func (r *rig) ofOrganisation(organisation int, id string, tasks int, size sizer.Size) scheduler.Job {
	phase := newPhase(tasks, size)
	phase.Estimate = 10 * time.Second
	job := r.job(id, phase)
	job.Organisation = organisationName(organisation)
	return job
}

// runsOfOrganisation returns the number of runs of jobs whose identity begins with the
// organisation's name.
func (r *rig) runsOfOrganisation(organisation int) int {
	total := 0
	for _, w := range r.workersByID {
		for ref := range w.activeRuns {
			if ref.Task.Step.Job[:5] == organisationName(organisation) {
				total++
			}
		}
	}
	return total
}

// endRuns ends that many runs, in the order of their tasks.
func (r *rig) endRuns(n int) {
	var runs []scheduler.RunRef
	workers := make(map[scheduler.RunRef]*fakeWorker)
	for _, w := range r.workersByID {
		for ref := range w.activeRuns {
			runs = append(runs, ref)
			workers[ref] = w
		}
	}
	slices.SortFunc(runs, func(a, b scheduler.RunRef) int { return cmpTasks(a.Task, b.Task) })
	for _, ref := range runs[:n] {
		workers[ref].end(ref, scheduler.EndDone)
	}
}

// TestFloodOfOneQueueYieldsToEntitledJobs guards against jobs within the entitled rate
// that wait behind a flood of another organisation which arrived before.
func TestFloodOfOneQueueYieldsToEntitledJobs(t *testing.T) {
	r := newSharesRig(t, 1, 1, 1)
	for i := range 20 {
		r.s.AddJob(r.ofOrganisation(0, fmt.Sprintf("org00-%02d", i), 1, cores(4)), nil, false, r.now)
	}
	r.round()
	r.c.Assert(r.runsOfOrganisation(0), qt.Equals, 2)
	r.s.AddJob(r.ofOrganisation(1, "org01", 1, cores(4)), nil, false, r.now)
	r.round()
	r.endRuns(1)
	r.rounds(2)
	r.c.Assert(r.runsOfOrganisation(1), qt.Equals, 1)
}

// TestFloodServedWhereThereIsCapacity guards against idle workers while jobs beyond the
// entitled rate wait, and against jobs that can still be of use waiting behind ones
// that cannot.
func TestFloodServedWhereThereIsCapacity(t *testing.T) {
	r := newSharesRig(t, 4, 1, 1)
	for i := range 20 {
		r.s.AddJob(r.ofOrganisation(0, fmt.Sprintf("org00-%02d", i), 1, cores(4)), nil, false, r.now)
	}
	r.rounds(3)
	r.c.Assert(r.runsOfOrganisation(0), qt.Equals, 8)
	// A job of the other organisation that is too late comes after the flood.
	late := r.ofOrganisation(1, "org01", 1, cores(4))
	late.Accepted = r.now.Add(-5 * time.Minute)
	r.s.AddJob(late, nil, false, r.now)
	r.round()
	r.endRuns(1)
	r.rounds(2)
	r.c.Assert(r.runsOfOrganisation(1), qt.Equals, 0)
	r.c.Assert(r.runsOfOrganisation(0), qt.Equals, 8)
}

// TestFloodHasTheSameMarksAfterATakeover guards against a new owner that takes other
// jobs for excess ones than the former owner, as it reads them in another order.
func TestFloodHasTheSameMarksAfterATakeover(t *testing.T) {
	excessJobs := func(reverse bool) []scheduler.ShareLoad {
		r := newSharesRig(t, 1, 2, 5)
		var jobs []scheduler.Job
		for i := range 120 {
			job := r.ofOrganisation(i%2, fmt.Sprintf("%s-%03d", organisationName(i%2), i), 1, cores(4))
			job.Accepted = r.now.Add(time.Duration(i) * 100 * time.Millisecond)
			jobs = append(jobs, job)
		}
		r.advance(time.Minute)
		r.renewLeases()
		if reverse {
			slices.Reverse(jobs)
		}
		for _, job := range jobs {
			r.s.AddJob(job, nil, reverse, r.now)
		}
		r.tick()
		return r.s.ShareLoads()
	}
	got := excessJobs(true)
	qt.Assert(t, got, qt.DeepEquals, excessJobs(false))
	// Of 60 jobs in 12 s, the first organisation is entitled to 24 and to 4 that it had
	// saved, and the second to all.
	qt.Assert(t, got[0].ExcessJobs, qt.Equals, int64(33))
	qt.Assert(t, got[1].ExcessJobs, qt.Equals, int64(0))
}

// TestFastClockOfAnEntryDoesNotEndEntitlement guards against a bucket that is not
// filled any more since one entry has accepted a job at a time in the far future.
func TestFastClockOfAnEntryDoesNotEndEntitlement(t *testing.T) {
	r := newSharesRig(t, 1, 1)
	job := r.ofOrganisation(0, "org00-fast", 1, cores(4))
	job.Accepted = r.now.Add(time.Hour)
	r.s.AddJob(job, nil, false, r.now)
	for i := range 20 {
		r.s.AddJob(r.ofOrganisation(0, fmt.Sprintf("org00-%02d", i), 1, cores(1)), nil, false, r.now)
		r.rounds(10)
	}
	r.c.Assert(r.s.ShareLoads()[0].ExcessJobs, qt.Equals, int64(0))
}

// TestCompetitionIsSharedByWeight guards against an organisation that fills the workers
// with the tasks that it submitted first while another one with three times its weight
// waits.
func TestCompetitionIsSharedByWeight(t *testing.T) {
	r := newSharesRig(t, 4, 100, 300)
	for i := range 40 {
		r.s.AddJob(r.ofOrganisation(0, fmt.Sprintf("org00-%02d", i), 1, cores(1)), nil, false, r.now)
	}
	r.rounds(2)
	r.c.Assert(r.runsOfOrganisation(0), qt.Equals, 32)
	for i := range 40 {
		r.s.AddJob(r.ofOrganisation(1, fmt.Sprintf("org01-%02d", i), 1, cores(1)), nil, false, r.now)
	}
	for range 40 {
		r.endRuns(1)
		r.rounds(2)
	}
	r.c.Assert(r.runsOfOrganisation(0)+r.runsOfOrganisation(1) >= 31, qt.IsTrue)
	r.c.Assert(r.runsOfOrganisation(0) <= 10, qt.IsTrue, qt.Commentf("%d", r.runsOfOrganisation(0)))
}

// TestUnusedShareIsUsedByOthers guards against capacity that is kept free for an
// organisation that wants little.
func TestUnusedShareIsUsedByOthers(t *testing.T) {
	r := newSharesRig(t, 4, 100, 300)
	r.s.AddJob(r.ofOrganisation(0, "org00", 60, cores(1)), nil, false, r.now)
	r.s.AddJob(r.ofOrganisation(1, "org01", 2, cores(1)), nil, false, r.now)
	r.rounds(3)
	r.c.Assert(r.runsOfOrganisation(0), qt.Equals, 30)
	r.c.Assert(r.runsOfOrganisation(1), qt.Equals, 2)
}

// TestUseAtOtherOwnersCountsWhileItIsFresh guards against an organisation that takes
// its share at each owner, and against decisions on figures that are out of date.
func TestUseAtOtherOwnersCountsWhileItIsFresh(t *testing.T) {
	for _, test := range []struct {
		name string
		age  time.Duration
		want int
	}{
		{
			name: "fresh",
			age:  time.Second,
			want: 0,
		},
		{
			name: "stale",
			age:  10 * time.Second,
			want: 4,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newSharesRig(t, 1, 100, 100)
			r.s.SetForeignUse(7, []scheduler.ServiceUse{{
				Service: "desk",
				Total:   cores(8),
				Used: map[string]sizer.Size{
					organisationName(0): cores(8),
				},
			}}, r.now.Add(-test.age))
			for i := range 20 {
				r.s.AddJob(r.ofOrganisation(0, fmt.Sprintf("org00-%02d", i), 1, cores(1)), nil, false, r.now)
				r.s.AddJob(r.ofOrganisation(1, fmt.Sprintf("org01-%02d", i), 1, cores(1)), nil, false, r.now)
			}
			r.tick()
			r.c.Assert(r.runsOfOrganisation(0)+r.runsOfOrganisation(1), qt.Equals, 8)
			r.c.Assert(r.runsOfOrganisation(0), qt.Equals, test.want)
		})
	}
}

// TestPreemptionTakesRunsAboveTheShareFirst guards against a lasting task for which the
// runs of an organisation within its share are stopped, while another one uses more
// than its share.
func TestPreemptionTakesRunsAboveTheShareFirst(t *testing.T) {
	r := newSharesRig(t, 2, 100, 100, 100)
	add := func(organisation int, id string, tasks int) {
		job := r.ofOrganisation(organisation, id, tasks, cores(2))
		job.Queue.Priority = 2
		job.Phases[0].Checkpoints = true
		r.s.AddJob(job, nil, false, r.now)
		r.rounds(2)
	}
	add(1, "org01", 2)
	add(0, "org00", 6)
	r.c.Assert(r.activeRuns(), qt.Equals, 8)
	add(1, "org01-more", 6)
	phase := newPhase(1, cores(4))
	phase.Lasting = true
	urgent := r.job("org02-urgent", phase)
	urgent.Organisation = organisationName(2)
	r.s.AddJob(urgent, nil, false, r.now)
	r.rounds(20)
	r.c.Assert(r.runsOf("org02-urgent"), qt.Equals, 1)
	r.c.Assert(r.runsOf("org01"), qt.Equals, 2)
	r.c.Assert(r.runsOf("org00"), qt.Equals, 4)
}

// TestSmallRunsAboveTheShareDoNotBlockPreemption guards against a lasting task that gets
// no worker, as only so many runs are stopped on one and small ones are taken first.
func TestSmallRunsAboveTheShareDoNotBlockPreemption(t *testing.T) {
	r := newSharesRig(t, 1, 100, 100, 100)
	add := func(organisation int, id string, tasks int, size sizer.Size) {
		job := r.ofOrganisation(organisation, id, tasks, size)
		job.Queue.Priority = 2
		job.Phases[0].Checkpoints = true
		r.s.AddJob(job, nil, false, r.now)
		r.rounds(2)
	}
	add(1, "org01", 1, sizer.New(2000, 0, 0))
	add(0, "org00", 60, sizer.New(100, 0, 0))
	r.c.Assert(r.activeRuns(), qt.Equals, 61)
	add(1, "org01-more", 6, sizer.New(2000, 0, 0))
	phase := newPhase(1, sizer.New(2000, 0, 0))
	phase.Lasting = true
	urgent := r.job("org02-urgent", phase)
	urgent.Organisation = organisationName(2)
	r.s.AddJob(urgent, nil, false, r.now)
	r.rounds(20)
	r.c.Assert(r.runsOf("org02-urgent"), qt.Equals, 1)
	r.c.Assert(r.runsOf("org00"), qt.Equals, 60)
}

// TestLateStepsGoByTheTimeUntilTheyAreOfNoUse guards against a late job that becomes of
// no use while another late one, which has longer, goes first.
func TestLateStepsGoByTheTimeUntilTheyAreOfNoUse(t *testing.T) {
	r := newSharesRig(t, 1, 100)
	add := func(id string, estimate, late time.Duration) {
		phase := newPhase(1, cores(8))
		phase.Estimate = estimate
		job := r.job(id, phase)
		job.Organisation = organisationName(0)
		// The objective is twice the estimate and one second.
		job.Accepted = r.now.Add(-(estimate + time.Second + late))
		r.s.AddJob(job, nil, false, r.now)
	}
	// The patient job is late by more, but can be of use for longer.
	add("org00-patient", 10*time.Second, 3*time.Second)
	add("org00-quick", time.Second, time.Second)
	r.tick()
	r.c.Assert(r.runsOf("org00-quick"), qt.Equals, 1)
}

// BenchmarkTickOfAFullShard reports the time of a tick of a shard of 160 workers that
// is full, with 300 steps that wait, without and with organisations.
func BenchmarkTickOfAFullShard(b *testing.B) {
	for _, organisations := range []int{0, 20} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			r := newSharesRig(&testing.T{}, 160, slices.Repeat([]float64{20}, organisations)...)
			for i := range 460 {
				r.s.AddJob(r.ofOrganisation(i%20, fmt.Sprintf("%s-%04d", organisationName(i%20), i), 8, cores(1)), nil, false, r.now)
			}
			r.round()
			r.c.Assert(r.activeRuns(), qt.Equals, 1280)
			for b.Loop() {
				// Shares are computed once for each time.
				r.now = r.now.Add(time.Nanosecond)
				r.s.Tick(r.now)
			}
		})
	}
}
