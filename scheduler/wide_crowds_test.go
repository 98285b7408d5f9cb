package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// crowdedAttempts is the number of attempts that the jobs of a play with crowded shards have.
const crowdedAttempts = 3

// maxFillers limits how often one shard gets crowded in a play.
const maxFillers = 4

// crowds is what a wide model has in plays with crowded shards. A shard is crowded by a filler, a
// job of which a run takes most of a worker and does not end while its shard is crowded.
type crowds struct {
	// crowded holds the crowded shards, and fillers counts the fillers by shard.
	crowded map[int]bool
	fillers map[int]int
	// empty is set if there are no other jobs until some are added.
	empty bool
	// failures holds the failed attempts of each task, and acknowledged those of them that
	// the owners have stored. Those of a gang count for its first task.
	failures, acknowledged map[scheduler.TaskRef]map[failedAttempt]bool
}

// failedAttempt names a failed attempt of a task. Owners of two shards may use the same number. The
// members of a gang, whose owners agree on one, name no worker.
type failedAttempt struct {
	worker string
	number int64
}

func newCrowds() *crowds {
	return &crowds{
		crowded:      make(map[int]bool),
		fillers:      make(map[int]int),
		failures:     make(map[scheduler.TaskRef]map[failedAttempt]bool),
		acknowledged: make(map[scheduler.TaskRef]map[failedAttempt]bool),
	}
}

// crowdedQueue is the queue of the jobs.
func crowdedQueue() scheduler.Queue {
	queue := deskQueue
	queue.MaxAttempts = crowdedAttempts
	return queue
}

// changeJobs replaces the lasting job of a shard by one that each shard has room for, unless it is
// crowded.
func (c *crowds) changeJobs(m *model, shard int) {
	if c.empty {
		m.jobs = nil
		return
	}
	m.jobs = slices.DeleteFunc(m.jobs, func(job scheduler.Job) bool { return strings.HasSuffix(job.ID, "lasting") })
	for i := range m.jobs {
		m.jobs[i].Queue = crowdedQueue()
	}
	m.jobs = append(m.jobs, m.newJob(fmt.Sprintf("s%dlasting", shard), smallLasting()))
}

// smallLasting returns a phase of one lasting task that each shard has room for, unless it is
// crowded.
func smallLasting() scheduler.Phase {
	phase := newPhase(1, cores(2))
	phase.Lasting = true
	return phase
}

// addSmallJobs adds jobs that each shard has room for, unless it is crowded. Of two of them runs
// fail, each task once, and always.
func (w *wideModel) addSmallJobs(shard int) {
	second := newPhase(1, cores(2))
	second.DependsOn = []int{0}
	gang := newPhase(2, cores(2))
	gang.Gang = true
	m := w.shards[shard]
	n := w.crowds.fillers[shard]
	m.addJob(m.newJob(fmt.Sprintf("s%dsteps%d", shard, n), newPhase(2, cores(2)), second))
	m.addJob(m.newJob(fmt.Sprintf("s%dsmallgang%d", shard, n), gang))
	m.addJob(m.newJob(fmt.Sprintf("s%dfailing%d", shard, n), newPhase(2, cores(2))))
	m.addJob(m.newJob(fmt.Sprintf("s%ddoomed%d", shard, n), newPhase(1, cores(2))))
}

// newJob returns a job with several attempts that is accepted now.
func (m *model) newJob(id string, phases ...scheduler.Phase) scheduler.Job {
	return scheduler.Job{
		ID:       id,
		Queue:    crowdedQueue(),
		Phases:   phases,
		Accepted: m.now,
	}
}

// addJob adds a job at the current owner.
func (m *model) addJob(job scheduler.Job) {
	m.jobs = append(m.jobs, job)
	m.current().s.AddJob(job, nil, false, m.now)
}

// crowd has a shard crowded, by a new filler.
func (w *wideModel) crowd(shard int) {
	w.crowds.crowded[shard] = true
	m := w.shards[shard]
	phase := newPhase(countUp(m), cores(3))
	// Its runs report no progress, and are not to be taken for stuck.
	phase.Estimate = time.Hour
	m.addJob(m.newJob(fmt.Sprintf("s%dfiller%d", shard, w.crowds.fillers[shard]), phase))
	w.crowds.fillers[shard]++
}

// changeCrowds now and then begins or ends the crowd of a shard, or cancels a job that ends by
// itself.
func (w *wideModel) changeCrowds() {
	shard := w.draw(len(w.shards))
	switch w.draw(60) {
	case 0:
		if w.crowds.crowded[shard] {
			w.crowds.crowded[shard] = false
			return
		}
		if w.crowds.fillers[shard] < maxFillers {
			w.crowd(shard)
			w.addSmallJobs(shard)
		}
	case 1:
		if w.draw(3) == 0 {
			jobs := w.shards[shard].jobs
			w.cancel(jobs[w.draw(len(jobs))].ID)
		}
	}
}

// isKept reports whether a run does not end, as its shard is crowded.
func (w *wideModel) isKept(m *model, run scheduler.RunRef) bool {
	return w.crowds != nil && strings.Contains(run.Task.Step.Job, "filler") && w.crowds.crowded[slices.Index(w.shards, m)]
}

// failsAlways reports whether a run fails without a fault of its worker.
func (w *wideModel) failsAlways(run scheduler.RunRef) bool {
	if w.crowds == nil {
		return false
	}
	return strings.Contains(run.Task.Step.Job, "doomed") ||
		strings.Contains(run.Task.Step.Job, "failing") && len(w.crowds.failures[w.failureKey(run)]) == 0
}

// failureKey returns the task for which a failure of the run counts.
func (w *wideModel) failureKey(run scheduler.RunRef) scheduler.TaskRef {
	if w.shards[0].phaseOf(run.Task).Gang {
		return scheduler.TaskRef{
			Step: run.Task.Step,
		}
	}
	return run.Task
}

func (w *wideModel) addFailure(failures map[scheduler.TaskRef]map[failedAttempt]bool, worker *modelWorker, run scheduler.RunRef) {
	task := w.failureKey(run)
	attempt := failedAttempt{
		number: run.Attempt,
	}
	if !w.shards[0].phaseOf(run.Task).Gang {
		attempt.worker = worker.entry.Ref.ID
	}
	if failures[task] == nil {
		failures[task] = make(map[failedAttempt]bool)
	}
	failures[task][attempt] = true
}

// fail has a run fail.
func (w *wideModel) fail(worker *modelWorker, run scheduler.RunRef) {
	w.addFailure(w.crowds.failures, worker, run)
	worker.end(run, scheduler.EndFailed)
}

// failureAcknowledged records that an owner has stored a failure.
func (w *wideModel) failureAcknowledged(worker *modelWorker, run scheduler.RunRef) {
	if w.crowds != nil && !w.shards[0].phaseOf(run.Task).Lasting {
		w.addFailure(w.crowds.acknowledged, worker, run)
	}
}

// endCrowded ends a run as only plays with crowded shards have it, and reports whether it did, or
// that the run does not end. A fault of a worker never takes the last attempt of a task.
func (w *wideModel) endCrowded(m *model, worker *modelWorker, run scheduler.RunRef) bool {
	switch {
	case w.isKept(m, run):
		return true
	case w.failsAlways(run), w.draw(6) == 0 && len(w.crowds.failures[w.failureKey(run)]) < crowdedAttempts-1:
		w.fail(worker, run)
		return true
	}
	return false
}

// checkAttempts checks that a task that starts has attempts left, and that its job was not
// cancelled long ago.
func (w *wideModel) checkAttempts(at *model, task scheduler.TaskRef) {
	run := scheduler.RunRef{
		Task: task,
	}
	if n := len(w.crowds.acknowledged[w.failureKey(run)]); n >= crowdedAttempts {
		at.violate("%v starts after %d attempts have failed", task, n)
	}
	if cancelledAt, found := w.cancelledAt[task.Step.Job]; found && at.now.Sub(cancelledAt) > cancelBound {
		at.violate("%v starts %v after its job was cancelled", task, at.now.Sub(cancelledAt))
	}
}

// failedTooEarly returns the failed jobs of which no task has failed as often as it may.
func (w *wideModel) failedTooEarly(m *model) []string {
	var ids []string
	for _, job := range m.jobs {
		if state, _ := m.current().s.State(job.ID); state != scheduler.Failed {
			continue
		}
		most := 0
		for task, attempts := range w.crowds.failures {
			if task.Step.Job == job.ID {
				most = max(most, len(attempts))
			}
		}
		if most < crowdedAttempts {
			ids = append(ids, fmt.Sprintf("%s after %d", job.ID, most))
		}
	}
	return ids
}

// unfinished returns the jobs that are not as they have to be at the end: lasting ones run, and
// others have ended. Fillers of crowded shards, and those that run there, need not have.
func (w *wideModel) unfinished() []string {
	var ids []string
	for i, m := range w.shards {
		for _, job := range m.jobs {
			state, _ := m.current().s.State(job.ID)
			_, cancelled := w.cancelledAt[job.ID]
			ended := state == scheduler.Completed
			switch {
			case strings.Contains(job.ID, "doomed"):
				ended = state == scheduler.Failed
			case strings.HasSuffix(job.ID, "lasting"):
				ended = w.running(job.ID) == 1
			case strings.HasSuffix(job.ID, "gang") && w.lacksWorkers():
				ended = true
			case strings.Contains(job.ID, "filler") && (w.crowds.crowded[i] || w.runsInCrowd(job.ID)):
				ended = true
			}
			if !ended && (!cancelled || !state.Final()) {
				ids = append(ids, fmt.Sprintf("%s (%s)", job.ID, state))
			}
		}
	}
	return ids
}

// lacksWorkers reports whether the wide gangs, which need all but one worker of two shards, may lack
// workers: one whose last three runs failed takes nothing beside a filler.
func (w *wideModel) lacksWorkers() bool {
	for _, m := range w.shards {
		for _, worker := range m.workers {
			for run := range worker.active {
				if worker.up && worker.failureStreak >= 3 && len(w.shards) == 2 && w.isKept(m, run) {
					return true
				}
			}
		}
	}
	return false
}

// runsInCrowd reports whether a task of the job runs in a crowded shard.
func (w *wideModel) runsInCrowd(id string) bool {
	for i, m := range w.shards {
		for _, worker := range m.workers {
			for run := range worker.active {
				if w.crowds.crowded[i] && worker.up && run.Task.Step.Job == id {
					return true
				}
			}
		}
	}
	return false
}

// finishCrowded checks that all jobs end, or run if they last, while one shard stays crowded, and the
// fillers once it does not.
func (w *wideModel) finishCrowded(crowded, rounds int) {
	w.settle()
	for i := range w.shards {
		w.crowds.crowded[i] = false
	}
	w.crowd(crowded)
	if !w.crowds.empty {
		w.addSmallJobs(crowded)
	}
	w.awaitFinished(rounds, "while a shard is crowded")
	w.crowds.crowded[crowded] = false
	w.awaitFinished(100, "after the crowd has ended")
	for _, m := range w.shards {
		if ids := w.failedTooEarly(m); len(ids) > 0 {
			m.violate("failed too early: %v", ids)
		}
		for _, job := range m.jobs {
			w.cancel(job.ID)
		}
	}
	for range 40 {
		w.round()
	}
	for _, m := range w.shards {
		for _, job := range m.jobs {
			if n := w.running(job.ID); n > 0 {
				m.violate("%d tasks of the ended job %s run", n, job.ID)
			}
		}
	}
	w.advance(10 * time.Minute)
	for range 20 {
		w.round()
	}
	for _, m := range w.shards {
		if n := m.current().s.GuestTasks(); n > 0 {
			m.violate("%d tasks of ended jobs belong to a delegate", n)
		}
	}
}

// awaitFinished lets the owners act until no job is left that has to end or run, at most for that
// number of rounds.
func (w *wideModel) awaitFinished(rounds int, when string) {
	for range rounds {
		w.round()
		if len(w.unfinished()) == 0 {
			return
		}
	}
	w.shards[0].violate("%s: %v", when, w.unfinished())
}

// playCrowdedModel is like playWideModel, with crowded shards.
func playCrowdedModel(seeded fault, shards int, draw func(int) int) string {
	w := newWideModelWith(seeded, shards, draw, newCrowds())
	for range 12 {
		w.round()
	}
	for range 3 {
		for range 130 {
			w.doRandomAction()
		}
		w.replaceOwner()
	}
	w.finishCrowded(w.draw(shards), 250)
	return w.violation()
}

// TestCrowdedShardsKeepInvariants runs interleavings as TestWideStepsKeepInvariants does, in which shards
// are crowded by runs that do not end, jobs are cancelled, and runs fail. It guards against tasks of
// small jobs that run twice, more often than their attempts allow, after their cancelling, or never.
func TestCrowdedShardsKeepInvariants(t *testing.T) {
	for shards := 2; shards <= 3; shards++ {
		t.Run(fmt.Sprintf("%d shards", shards), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(crowdedSeeds) {
				random := rand.New(rand.NewPCG(seed, 7))
				qt.Assert(t, playCrowdedModel(noFault, shards, random.IntN), qt.Equals, "", qt.Commentf("seed %d", seed))
			}
		})
	}
}

// crowdedSeeds is the number of interleavings for each number of shards.
const crowdedSeeds = 120

// withoutFailures returns the request without the failures of the tasks that it grants.
func withoutFailures(request scheduler.DelegationRequest) scheduler.DelegationRequest {
	request.Jobs = slices.Clone(request.Jobs)
	for i := range request.Jobs {
		request.Jobs[i].Grants = slices.Clone(request.Jobs[i].Grants)
		for j := range request.Jobs[i].Grants {
			request.Jobs[i].Grants[j].Grant.Failed = nil
		}
	}
	return request
}

// TestCrowdedModelFindsSeededFaults checks that each fault violates an invariant for some seed.
func TestCrowdedModelFindsSeededFaults(t *testing.T) {
	for _, seeded := range []fault{grantsUnnamed, guestsUnnamed, failuresUnsaid} {
		t.Run(string(seeded), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(1000) {
				random := rand.New(rand.NewPCG(seed, 7))
				if violation := playCrowdedModel(seeded, 2, random.IntN); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			qt.Check(t, "no seed", qt.Equals, "a violated invariant")
		})
	}
}
