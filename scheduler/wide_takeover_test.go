package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// noTrouble is a source of numbers with which nothing gets lost in a model.
func noTrouble(n int) int { return n - 1 }

// TestTakeoverAfterAnyStepOfAGrant replaces the owner of the home shard, of the other one, or of
// both after each step on the way from a job that no shard can run alone to its last start, and of
// its cancelling, also while the owners do not reach each other for a while. It guards against
// tasks that run twice, never, or after their job was cancelled.
func TestTakeoverAfterAnyStepOfAGrant(t *testing.T) {
	const (
		// firstRound is before the first grant, and lastRound after the last start.
		firstRound, lastRound, cancelRound = 18, 26, 23
		silentRounds                       = 20
	)
	replaced := map[string][]int{
		"home":     {0},
		"delegate": {1},
		"both":     {0, 1},
	}
	for name, shards := range replaced {
		for _, silent := range []bool{false, true} {
			for _, cancels := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, silent %t, cancelled %t", name, silent, cancels), func(t *testing.T) {
					for prefix, more := 0, true; more; prefix++ {
						w := newWideModel(noFault, 2, noTrouble)
						steps := 0
						more = false
						for round := range lastRound {
							if cancels && round == cancelRound {
								w.cancel("s0lasting")
							}
							w.roundSteps(func(step func()) bool {
								if round >= firstRound {
									steps++
								}
								more = steps > prefix
								if !more {
									step()
								}
								return !more
							})
							if more {
								break
							}
						}
						if !more && !cancels {
							qt.Assert(t, w.running("s0lasting"), qt.Equals, 5, qt.Commentf("before the last takeover"))
						}
						for _, shard := range shards {
							w.shards[shard].takeOver()
						}
						w.callsLost = silent
						for range silentRounds {
							w.round()
						}
						w.callsLost = false
						w.finish()
						qt.Assert(t, w.violation(), qt.Equals, "", qt.Commentf("after step %d", prefix))
					}
				})
			}
		}
	}
}

// wideRig is a home owner and a delegate, each with two workers.
type wideRig struct {
	home, delegate *rig
	mark           scheduler.Mark
}

func newWideRig(t *testing.T) *wideRig {
	w := &wideRig{
		home:     newRig(t),
		delegate: newRig(t),
	}
	for i := range 2 {
		w.home.addWorker(fmt.Sprintf("home%d", i), cores(4))
		w.delegate.addWorker(fmt.Sprintf("other%d", i), cores(4))
	}
	for _, r := range []*rig{w.home, w.delegate} {
		r.updateDirectory()
		r.renewLeases()
		r.tick()
	}
	w.home.s.SetDelegates(0, map[string][]int{
		"desk": {1},
	})
	return w
}

// lastingApart returns a job of lasting tasks, one on each worker.
func (w *wideRig) lastingApart(id string, tasks int) scheduler.Job {
	phase := newPhase(tasks, cores(1))
	phase.Lasting = true
	phase.PerWorker = 1
	return w.home.job(id, phase)
}

// request returns what the home owner would tell the delegate.
func (w *wideRig) request() (scheduler.DelegationRequest, bool) {
	requests, _ := w.home.s.DelegationRequests(w.home.now)
	request, found := requests[1]
	request.Mark = w.mark
	return request, found
}

func (w *wideRig) call() {
	if request, found := w.request(); found {
		reply := w.delegate.s.ServeHome(request, w.delegate.now)
		w.mark = reply.Mark
		w.home.s.DelegationAnswered(1, request, reply, w.home.now)
	}
}

// rounds lets both owners act for n times 100 ms.
func (w *wideRig) rounds(n int, calls bool) {
	for range n {
		w.home.round()
		w.delegate.round()
		if calls {
			w.call()
		}
		w.home.write()
		w.delegate.write()
	}
}

// TestStepThatIsWiderThanItsShard guards against lasting tasks that never run, as they keep apart
// and the shard of their job has too few workers.
func TestStepThatIsWiderThanItsShard(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.rounds(40, true)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.s.GuestTasks(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.s.WaitingJobs("checks"), qt.Equals, 0)

	w.home.s.Cancel("wide", w.home.now)
	w.rounds(10, true)
	w.home.c.Assert(w.home.activeRuns()+w.delegate.activeRuns(), qt.Equals, 0)
	w.home.c.Assert(w.home.state("wide"), qt.Equals, scheduler.Cancelled)
}

// TestLateMessageStartsNothing guards against tasks that a delegate starts on a message of the
// home owner that was sent before the job was cancelled and arrives after that.
func TestLateMessageStartsNothing(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	var late scheduler.DelegationRequest
	for len(late.Jobs) == 0 {
		w.rounds(1, true)
		late, _ = w.request()
	}
	w.home.s.Cancel("wide", w.home.now)
	late.Mark = w.mark
	w.rounds(30, false)
	w.delegate.s.ServeHome(late, w.delegate.now)
	w.rounds(30, false)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 0)
}

// TestNothingStartsWithoutContact guards against tasks that a delegate starts again although the
// job may have been cancelled, since the home owner has not been heard of.
func TestNothingStartsWithoutContact(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.rounds(40, true)
	w.rounds(15, false)
	w.delegate.endAll(0, scheduler.EndFailed)
	w.rounds(10, false)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 0)
	w.rounds(5, true)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 2)
}

// TestTasksAreReturned guards against tasks that wait for good at a delegate that has lost its
// workers.
func TestTasksAreReturned(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.rounds(40, true)
	gone := w.delegate.workersByID["other0"]
	delete(w.delegate.workersByID, "other0")
	w.delegate.updateDirectory()
	for run := range gone.activeRuns {
		delete(gone.activeRuns, run)
	}
	w.delegate.s.WorkerGone("other0", w.delegate.now)
	w.rounds(30, true)
	w.home.c.Assert(w.delegate.s.GuestTasks(), qt.Equals, 1)
	w.home.addWorker("home2", cores(4))
	w.home.updateDirectory()
	w.rounds(10, true)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 3)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 1)
}

// TestNoGrantsBesideOlderReleases guards against tasks that an owner of an older release runs
// too, as it does not know that they were left to another owner.
func TestNoGrantsBesideOlderReleases(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AllowGrants(false)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.rounds(60, true)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 0)
}

// TestNarrowJobsCostNoCalls guards against calls between owners, or larger records, for jobs that
// one shard can run.
func TestNarrowJobsCostNoCalls(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("narrow", 2), nil, false, w.home.now)
	// The step waits for room, which comes as other runs end.
	w.home.s.AddJob(w.home.job("waiting", newPhase(30, cores(2))), nil, false, w.home.now)
	for range 60 {
		w.rounds(1, false)
		_, found := w.request()
		w.home.c.Assert(found, qt.IsFalse)
	}
	w.home.c.Assert(w.home.stored["narrow"].Grants, qt.HasLen, 0)
}

// TestGuestIsForgotten guards against what is stored of other partitions' jobs staying for good, or
// going before the home owner's record of the job, which would have them run again.
func TestGuestIsForgotten(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.rounds(40, true)
	w.home.s.Cancel("wide", w.home.now)
	w.rounds(5, false)
	w.home.advance(10 * time.Minute)
	w.home.tick()
	w.home.c.Assert(w.home.s.ExpiredJobs(10, w.home.now), qt.HasLen, 0)
	w.delegate.advance(10 * time.Minute)
	w.rounds(3, true)
	w.home.c.Assert(w.home.s.ExpiredJobs(10, w.home.now), qt.DeepEquals, []string{"wide"})
	w.delegate.advance(10 * time.Minute)
	w.delegate.tick()
	w.delegate.write()
	w.home.c.Assert(w.delegate.storedGuests, qt.HasLen, 0)
}

// TestGangThatIsWiderThanItsShard guards against a gang that never runs, as the shard of its job has
// too few workers, and against members that start long before others.
func TestGangThatIsWiderThanItsShard(t *testing.T) {
	w := newWideRig(t)
	gang := newPhase(4, cores(3))
	gang.Gang = true
	w.home.s.AddJob(w.home.job("gang", gang), nil, false, w.home.now)
	rounds := 0
	for w.home.activeRuns()+w.delegate.activeRuns() == 0 {
		w.rounds(1, true)
		rounds++
		w.home.c.Assert(rounds < 25, qt.IsTrue, qt.Commentf("the gang does not start"))
	}
	w.rounds(2, true)
	attempts := make(map[int64]int)
	for _, r := range []*rig{w.home, w.delegate} {
		for _, worker := range r.workersByID {
			for run := range worker.activeRuns {
				attempts[run.Attempt]++
			}
		}
	}
	w.home.c.Assert(attempts, qt.HasLen, 1)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 2)

	w.home.endAll(0, scheduler.EndDone)
	w.delegate.endAll(0, scheduler.EndDone)
	w.rounds(5, true)
	w.home.c.Assert(w.home.state("gang"), qt.Equals, scheduler.Completed)
}

// TestWideGangFailsOnce guards against a failure of a gang that counts once for each owner of
// members, or members that run on without the others.
func TestWideGangFailsOnce(t *testing.T) {
	w := newWideRig(t)
	gang := newPhase(4, cores(3))
	gang.Gang = true
	w.home.s.AddJob(w.home.job("gang", gang), nil, false, w.home.now)
	for failures := range deskQueue.MaxAttempts {
		for w.home.activeRuns()+w.delegate.activeRuns() < 4 {
			w.rounds(1, true)
		}
		for _, worker := range w.delegate.workersByID {
			for run := range worker.activeRuns {
				worker.end(run, scheduler.EndFailed)
			}
		}
		w.rounds(3, true)
		w.home.c.Assert(w.home.state("gang") == scheduler.Failed, qt.Equals, failures+1 == deskQueue.MaxAttempts)
		w.home.c.Assert(w.home.activeRuns(), qt.Equals, 0)
	}
}

// TestWideGangsDoNotWaitForEachOther guards against two gangs of different shards, each of which
// holds some of the workers that both need.
func TestWideGangsDoNotWaitForEachOther(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		w := newWideModel(noFault, 2, random.IntN, func(gang *scheduler.Phase) {
			gang.Size = cores(2)
			gang.Tasks = 6
		})
		w.finish()
		qt.Assert(t, w.violation(), qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}

// TestGrantedJobHasNotBegunBeforeAWorkerHas guards against a job that is shown as running although
// no worker of the delegate has begun a task.
func TestGrantedJobHasNotBegunBeforeAWorkerHas(t *testing.T) {
	w := newWideRig(t)
	for _, worker := range w.delegate.workersByID {
		worker.entry.Labels = []string{labelled}
	}
	w.delegate.updateDirectory()
	phase := newPhase(1, cores(1))
	phase.Requires = labelled
	w.home.s.AddJob(w.home.job("elsewhere", phase), nil, false, w.home.now)
	for _, worker := range w.delegate.workersByID {
		worker.refuses = true
	}
	w.rounds(30, true)
	w.home.c.Assert(w.delegate.s.GuestTasks(), qt.Equals, 1)
	w.home.c.Assert(w.home.state("elsewhere"), qt.Equals, scheduler.Pending)
	w.home.c.Assert(w.home.s.WaitingJobs("checks"), qt.Equals, 1)
	for _, worker := range w.delegate.workersByID {
		worker.refuses = false
	}
	w.rounds(3, true)
	w.home.c.Assert(w.home.state("elsewhere"), qt.Equals, scheduler.Running)
	w.home.c.Assert(w.home.s.WaitingJobs("checks"), qt.Equals, 0)
}

// TestUndecodableGuestDoesNotRun guards against tasks that run twice, as a delegate takes a job of
// which it cannot decode what it has stored for a new one.
func TestUndecodableGuestDoesNotRun(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 4), nil, false, w.home.now)
	w.delegate.s.HoldGuest("wide")
	w.rounds(60, true)
	w.home.c.Assert(w.home.activeRuns(), qt.Equals, 2)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 0)
	w.home.s.Cancel("wide", w.home.now)
	w.rounds(5, true)
	w.home.advance(10 * time.Minute)
	w.home.tick()
	w.home.c.Assert(w.home.s.ExpiredJobs(10, w.home.now), qt.DeepEquals, []string{"wide"})
}

// TestNoteNamesWhoHasTheTasks guards against a step that waits without a note that tells for
// what and for whom.
func TestNoteNamesWhoHasTheTasks(t *testing.T) {
	w := newWideRig(t)
	w.home.s.AddJob(w.lastingApart("wide", 6), nil, false, w.home.now)
	var notes []string
	for range 120 {
		w.rounds(1, true)
		for _, note := range w.home.s.Notes() {
			notes = append(notes, note.Text)
		}
	}
	all := strings.Join(notes, "\n")
	for _, text := range []string{"2 of 6 tasks are left to the owner of partition 1", "lacked places for 2 tasks", "2 tasks belong to the owner of partition 1, stored true, acknowledged true"} {
		w.home.c.Check(all, qt.Contains, text)
	}
}

// TestGuestThatHasBegunIsNotAbandoned guards against tasks that run again, as a delegate that was
// cut off from the home owner for long has forgotten that they are done.
func TestGuestThatHasBegunIsNotAbandoned(t *testing.T) {
	w := newWideRig(t)
	for _, worker := range w.delegate.workersByID {
		worker.entry.Labels = []string{labelled}
	}
	w.delegate.updateDirectory()
	first, second := newPhase(2, cores(1)), newPhase(1, cores(1))
	first.Requires = labelled
	second.Requires = "nowhere"
	w.home.s.AddJob(w.home.job("elsewhere", first, second), nil, false, w.home.now)
	for w.delegate.activeRuns() < 2 {
		w.rounds(1, true)
	}
	w.delegate.endAll(0, scheduler.EndDone)
	w.rounds(5, false)
	for range 10 {
		w.delegate.advance(time.Minute)
		w.rounds(5, false)
	}
	w.rounds(20, true)
	w.home.c.Assert(w.delegate.activeRuns(), qt.Equals, 0)
	w.home.c.Assert(totalStarts(w.delegate, "elsewhere"), qt.Equals, 2)
	w.home.c.Assert(w.home.state("elsewhere"), qt.Equals, scheduler.Running)
}
