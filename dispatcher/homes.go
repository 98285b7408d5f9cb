package dispatcher

import (
	"fmt"
	"maps"
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
)

// taskState says what a home knows of one of its tasks.
//
//	from        on                                              to
//	uncertain   a member has it                                 held
//	uncertain   every member has reported, and the leases that
//	            none of them knew have lapsed                   idle
//	idle        it is assigned                                  held
//	held        the holder gives it back                        idle
//	held        the holder's start did its work                 recording
//	held        a new epoch                                     uncertain
//	recording   the log has it                                  done
type taskState uint8

const (
	// taskUncertain may run on a worker whose owner has not reported.
	taskUncertain taskState = iota
	// taskIdle runs nowhere and waits for a holder.
	taskIdle
	// taskHeld is with a holder.
	taskHeld
	// taskRecording has finished, which the log does not have yet.
	taskRecording
	// taskDone has finished.
	taskDone
	taskStateCount
)

const (
	// homeInterval is the time between two looks at jobs that wait.
	homeScanInterval = 100 * time.Millisecond
	// recordInterval is the shortest time between two records of the progress
	// of one job.
	recordInterval = 200 * time.Millisecond
	// recordRetry is the wait after a record that failed.
	recordRetryDelay = time.Second
	// summaryTimeout is how long an epoch may last before tasks are assigned
	// although not every member has said how it stands.
	summaryTimeout = 2 * time.Second
)

type homeTask struct {
	state  taskState
	holder string
	// ref is the finished start, which its holder keeps until it is settled.
	ref namer.TaskRef
}

// homeJob is a job whose home this member is.
type homeJob struct {
	job       recorder.Job
	submitted namer.Offset
	cancelled bool
	// ended is set once the log has the job's end.
	ended bool
	// tasks are by index, and counts says how many are in each state.
	tasks  []homeTask
	counts [taskStateCount]int
	// checkpoints are what ended starts left, by index.
	checkpoints map[int]string
	// progress are the finished tasks that are not in a record yet.
	unrecorded []int
	// recording is set while a record of the job is on its way, and recordDue
	// is when the next may be.
	recording    bool
	nextRecordAt time.Time
	// verdict is the end that is recorded once nothing of the job runs.
	pendingEnd *recorder.JobEnd
	// withdrawn is set once every holder was asked to give its tasks back.
	withdrawSent bool
	// unfit is since when no worker is large enough.
	unfitSince time.Time
	// gang is nil unless the tasks start together.
	gang *gang
}

func (j *homeJob) setState(index int, to taskState) {
	j.counts[j.tasks[index].state]--
	j.tasks[index].state = to
	j.counts[to]++
}

func (j *homeJob) indexes(state taskState) []int {
	indexes := make([]int, 0, j.counts[state])
	for index := range j.tasks {
		if j.tasks[index].state == state {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// setJobs takes what the log says of jobs.
func (t *tables) setJobs(states []replayer.JobState) {
	for _, state := range states {
		job := state.Job()
		if job.DataCentre != t.dataCentre || t.isOutdated(state) {
			continue
		}
		_, ended := state.Ended()
		if ended {
			delete(t.jobs, job.ID)
			t.unknownJobs.markEnded(job.ID)
		} else {
			t.jobs[job.ID] = state
		}
		if !t.member || t.homeOf(job.ID) != t.self {
			continue
		}
		t.updateHome(state, ended)
	}
}

// outdated reports whether something later is known of a job: the end of an own
// record may be heard of before what was read of the log.
func (t *tables) isOutdated(state replayer.JobState) bool {
	id := state.Job().ID
	_, ended := t.unknownJobs.ended[id]
	return ended || state.Changed() < t.jobs[id].Changed()
}

// updateHome brings a job of this home in line with the log.
func (t *tables) updateHome(state replayer.JobState, ended bool) {
	id := state.Job().ID
	j := t.homeJobs[id]
	if j == nil {
		if ended {
			t.rejectKeptReports(id)
			return
		}
		j = t.addHome(state, state.Submitted() <= t.acceptedAt)
	}
	j.cancelled = state.Cancelled()
	j.ended = j.ended || ended
	for _, index := range j.unfinished() {
		if state.Finished().Has(index) {
			t.markRecorded(j, index)
		}
	}
	if j.cancelled && j.pendingEnd == nil {
		j.pendingEnd = &recorder.JobEnd{
			Job:     id,
			Outcome: recorder.Cancelled,
		}
	}
	if j.pendingEnd != nil || j.ended {
		t.withdrawAll(j)
	}
	t.markDirty(j)
}

func (j *homeJob) unfinished() []int {
	indexes := make([]int, 0, len(j.tasks)-j.counts[taskDone])
	for index := range j.tasks {
		if j.tasks[index].state != taskDone {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// addHome makes this member the home of a job. Tasks of a job that may have had
// another home are uncertain.
func (t *tables) addHome(state replayer.JobState, uncertain bool) *homeJob {
	job := state.Job()
	initial := taskIdle
	if uncertain && t.settings.fault != faultNoCensus {
		initial = taskUncertain
	}
	j := &homeJob{
		job:         job,
		submitted:   state.Submitted(),
		tasks:       make([]homeTask, job.Tasks),
		checkpoints: make(map[int]string),
	}
	j.counts[taskUncertain] = job.Tasks
	for index := range j.tasks {
		switch {
		case state.Finished().Has(index):
			j.setState(index, taskDone)
		default:
			j.setState(index, initial)
		}
	}
	if job.Policy == recorder.Gang {
		j.gang = &gang{}
	}
	t.homeJobs[job.ID] = j
	t.applyKeptReports(j)
	t.markDirty(j)
	return j
}

// touchHome makes the next tick look at a job.
func (t *tables) markDirty(j *homeJob) {
	t.dirtyJobs[j.job.ID] = j
}

// tendHomes looks at the jobs that something has happened to, and now and then at
// those that wait for something.
func (t *tables) scanHomes() {
	if !t.now.Before(t.nextHomeScanAt) {
		t.nextHomeScanAt = t.now.Add(homeScanInterval)
		maps.Copy(t.dirtyJobs, t.waitingJobs)
	}
	for _, id := range sortedKeys(t.dirtyJobs) {
		j := t.dirtyJobs[id]
		delete(t.dirtyJobs, id)
		delete(t.waitingJobs, id)
		if !t.advanceJob(j) {
			t.waitingJobs[id] = j
		}
	}
}

// tendHome reports whether the job needs no further look for now.
func (t *tables) advanceJob(j *homeJob) bool {
	if j.counts[taskUncertain] > 0 && t.censusComplete {
		t.resolveUncertain(j)
	}
	t.recordProgress(j)
	if j.ended || j.pendingEnd != nil {
		return t.advanceEnding(j)
	}
	if !t.summariesKnown() {
		return false
	}
	if j.gang != nil {
		return t.advanceGang(j) && j.nothingPending()
	}
	if j.counts[taskIdle] > 0 {
		t.assignIdle(j)
	}
	return j.nothingPending()
}

func (j *homeJob) nothingPending() bool {
	return j.counts[taskIdle] == 0 && j.counts[taskUncertain] == 0 && len(j.unrecorded) == 0 && !j.recording
}

// clarify makes tasks idle that no member has.
func (t *tables) resolveUncertain(j *homeJob) {
	for _, index := range j.indexes(taskUncertain) {
		j.setState(index, taskIdle)
	}
	if j.gang != nil {
		t.updateGang(j)
	}
}

// withdrawAll takes every task back from its holder.
func (t *tables) withdrawAll(j *homeJob) {
	if j.withdrawSent {
		return
	}
	j.withdrawSent = true
	if j.gang != nil {
		t.releaseRound(j)
	}
	t.withdrawHeld(j)
}

func (t *tables) withdrawHeld(j *homeJob) {
	holders := make(map[string]struct{})
	for index := range j.tasks {
		if j.tasks[index].state == taskHeld {
			holders[j.tasks[index].holder] = struct{}{}
		}
	}
	for _, holder := range sortedKeys(holders) {
		t.send(holder, Withdraw{
			Job: j.job.ID,
		})
	}
}

// fail ends a job.
func (t *tables) failJob(j *homeJob, reason string) {
	if j.pendingEnd != nil || j.ended {
		return
	}
	t.log.Infof("dispatcher: job %s fails: %s", j.job.ID, reason)
	j.pendingEnd = &recorder.JobEnd{
		Job:     j.job.ID,
		Outcome: recorder.Failed,
		Reason:  reason,
	}
	t.withdrawAll(j)
	t.markDirty(j)
}

// applyHeld notes where a task is.
func (t *tables) applyHeld(holder string, item Held) {
	if t.homeOf(item.Job) != t.self {
		return
	}
	j := t.homeJobs[item.Job]
	if j == nil {
		t.keepHeldReport(holder, item)
		return
	}
	t.markDirty(j)
	for _, index := range item.Indexes {
		t.setHolder(j, index, holder)
	}
	if j.gang != nil {
		t.updateGang(j)
	}
}

func (t *tables) setHolder(j *homeJob, index int, holder string) {
	if index < 0 || index >= len(j.tasks) {
		return
	}
	task := &j.tasks[index]
	unwanted := j.pendingEnd != nil || j.ended || task.state == taskDone || task.state == taskRecording ||
		(j.gang != nil && j.gang.state == gangStopping)
	if task.state == taskHeld && task.holder != holder {
		// It was assigned elsewhere, and runs here.
		t.send(task.holder, Withdraw{
			Job:     j.job.ID,
			Indexes: []int{index},
		})
	}
	if !unwanted || task.state < taskRecording {
		j.setState(index, taskHeld)
		task.holder = holder
	}
	if unwanted {
		t.send(holder, Withdraw{
			Job:     j.job.ID,
			Indexes: []int{index},
		})
	}
}

// applyReturned takes tasks back.
func (t *tables) applyReturned(holder string, item Returned) {
	j := t.homeJobs[item.Job]
	if j == nil {
		return
	}
	t.markDirty(j)
	for _, index := range item.Indexes {
		if index < 0 || index >= len(j.tasks) {
			continue
		}
		if checkpoint, ok := item.Checkpoints[index]; ok {
			j.checkpoints[index] = checkpoint
		}
		task := &j.tasks[index]
		if task.state == taskHeld && task.holder == holder {
			j.setState(index, taskIdle)
			task.holder = ""
		}
	}
	if j.gang != nil {
		t.gangTaskReturned(j, item)
	}
}

// applyFinished records finished tasks, each once.
func (t *tables) applyFinished(holder string, item Finished) {
	for _, ref := range item.Refs {
		if t.homeOf(ref.Task.Job) != t.self {
			continue
		}
		j := t.homeJobs[ref.Task.Job]
		if j == nil {
			t.keepFinishedReport(holder, ref)
			continue
		}
		t.markDirty(j)
		t.finishTask(j, holder, ref)
	}
}

func (t *tables) finishTask(j *homeJob, holder string, ref namer.TaskRef) {
	index := ref.Task.Index
	if index < 0 || index >= len(j.tasks) {
		return
	}
	task := &j.tasks[index]
	if task.state == taskDone || j.ended {
		t.send(holder, Settle{
			Refs: []namer.TaskRef{ref},
		})
		if j.ended && task.state != taskDone {
			j.setState(index, taskDone)
		}
		return
	}
	if task.state == taskHeld && task.holder != holder {
		// It was held to have lapsed, and was assigned anew.
		t.send(task.holder, Withdraw{
			Job:     j.job.ID,
			Indexes: []int{index},
		})
	}
	if task.state != taskRecording {
		j.setState(index, taskRecording)
		j.unrecorded = append(j.unrecorded, index)
	}
	task.holder = holder
	task.ref = ref
}

// applyGaveUp ends a job of which a task has spent its retries.
func (t *tables) applyGaveUp(holder string, item GaveUp) {
	j := t.homeJobs[item.Task.Job]
	if j == nil {
		return
	}
	t.applyReturned(holder, Returned{
		Job:     item.Task.Job,
		Indexes: []int{item.Task.Index},
	})
	t.failJob(j, fmt.Sprintf("task %d: %s", item.Task.Index, item.Reason))
}
