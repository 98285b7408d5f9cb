package dispatcher

import (
	"fmt"
	"maps"
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
)

// taskState is what a home knows about one of its tasks.
//
//	from        on                                               to
//	uncertain   every member has reported, and the leases that
//	            none of them knew have lapsed                    idle
//	uncertain,  a member reports that it has the task            held
//	idle
//	idle        the task is assigned to a holder                 held
//	held        the holder returns the task, or has lost the
//	            capacity that it had reserved for the task       idle
//	uncertain,  a member reports that the task has finished      recording
//	idle, held
//	held,       a new epoch begins                               uncertain
//	recording
//	any         the log has recorded the end of the task, or
//	            of the job if the task has finished              done
type taskState uint8

const (
	// taskUncertain means that the task may run on a worker whose owner has not
	// reported in this epoch.
	taskUncertain taskState = iota
	// taskIdle means that the task runs nowhere and waits to be assigned to a
	// holder.
	taskIdle
	// taskHeld means that the task is assigned to a holder.
	taskHeld
	// taskRecording means that the task has finished, but the log has not
	// recorded that yet.
	taskRecording
	// taskDone means that the log has recorded the end of the task, or of the job
	// if the task has finished.
	taskDone
	taskStateCount
)

const (
	// homeScanInterval is the time between two scans of the jobs that wait for
	// something.
	homeScanInterval = 100 * time.Millisecond
	// recordInterval is the shortest time between two progress records of one
	// job.
	recordInterval = 200 * time.Millisecond
	// recordRetryDelay is the wait after a record that could not be committed.
	recordRetryDelay = time.Second
	// summaryTimeout is how long a home waits in a new epoch for the summaries
	// of all members. After that it assigns tasks without the missing ones.
	summaryTimeout = 2 * time.Second
)

type homeTask struct {
	state  taskState
	holder string
	// ref is the run that has finished. Its holder keeps it until it receives a
	// Settle.
	ref namer.TaskRef
}

// homeJob is a job whose home this member is.
type homeJob struct {
	job       recorder.Job
	submitted namer.Offset
	cancelled bool
	// ended is set once the log has recorded the end of the job or of all its
	// tasks.
	ended bool
	// tasks is indexed by task index; counts is the number of tasks in each
	// state.
	tasks  []homeTask
	counts [taskStateCount]int
	// checkpoints are those that ended runs saved, by task index.
	checkpoints map[int]string
	// unrecorded are the finished tasks that are not in a record yet.
	unrecorded []int
	// recording is set while a record of the job is being committed.
	// nextRecordAt is the earliest time of the next one.
	recording    bool
	nextRecordAt time.Time
	// pendingEnd is the end that is recorded once no task of the job runs, nil
	// if the job is not to end yet.
	pendingEnd *recorder.JobEnd
	// withdrawSent is set once every holder was asked to return the job's
	// tasks.
	withdrawSent bool
	// unfitSince is the time since which no worker is large enough for a task of
	// the job, or all workers together are too small for a gang. It is zero while
	// they are large enough. unfitReason says which of the two, and is empty while
	// unfitSince is zero.
	unfitSince  time.Time
	unfitReason string
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

// setJobs updates the jobs of this data centre from their state in the log.
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

// isOutdated reports whether a later state of the job is already known: the
// commit of this entry's own record can complete before the log is read up to
// that record.
func (t *tables) isOutdated(state replayer.JobState) bool {
	id := state.Job().ID
	_, ended := t.unknownJobs.ended[id]
	return ended || state.Changed() < t.jobs[id].Changed()
}

// updateHome updates a job of this home from its state in the log.
func (t *tables) updateHome(state replayer.JobState, ended bool) {
	id := state.Job().ID
	j := t.homeJobs[id]
	if j == nil {
		if ended {
			t.rejectKeptReports(id)
			return
		}
		j = t.addHome(state, state.Submitted() <= t.membershipOffset)
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

// addHome makes this member the home of a job. If the job may have had another
// home, its unfinished tasks begin as uncertain.
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

// markDirty makes the next tick process the job.
func (t *tables) markDirty(j *homeJob) {
	t.dirtyJobs[j.job.ID] = j
}

// scanHomes processes the jobs that have changed, and every homeScanInterval
// also those that wait for something.
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

// advanceJob processes a job. It reports whether the job needs no further call
// until it is marked dirty again.
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

// resolveUncertain makes the uncertain tasks of a job idle, once no member can
// have them.
func (t *tables) resolveUncertain(j *homeJob) {
	for _, index := range j.indexes(taskUncertain) {
		j.setState(index, taskIdle)
	}
	if j.gang != nil {
		t.updateGang(j)
	}
}

// withdrawAll asks every holder of the job's tasks to return them.
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

// failJob ends a job as failed, for the given reason.
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

// applyHeld records which tasks a member has.
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
		// The home had the task at another member than the one that reports it now.
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

// applyReturned makes returned tasks idle, so that they can be assigned again.
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

// applyFinished queues finished tasks for the next progress record, each once.
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
		// The lease of the finished run was considered lapsed, and the task was
		// assigned again.
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

// applyGaveUp fails the job of a task that has used up its retries.
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
