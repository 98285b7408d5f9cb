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
	taskStates
)

const (
	// homeInterval is the time between two looks at jobs that wait.
	homeInterval = 100 * time.Millisecond
	// recordInterval is the shortest time between two records of the progress
	// of one job.
	recordInterval = 200 * time.Millisecond
	// recordRetry is the wait after a record that failed.
	recordRetry = time.Second
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
	counts [taskStates]int
	// checkpoints are what ended starts left, by index.
	checkpoints map[int]string
	// progress are the finished tasks that are not in a record yet.
	progress []int
	// recording is set while a record of the job is on its way, and recordDue
	// is when the next may be.
	recording bool
	recordDue time.Time
	// verdict is the end that is recorded once nothing of the job runs.
	verdict *recorder.JobEnd
	// withdrawn is set once every holder was asked to give its tasks back.
	withdrawn bool
	// unfit is since when no worker is large enough.
	unfit time.Time
	// gang is nil unless the tasks start together.
	gang *gang
}

func (j *homeJob) move(index int, to taskState) {
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
		if job.DataCentre != t.dataCentre || t.outdated(state) {
			continue
		}
		_, ended := state.Ended()
		if ended {
			delete(t.jobs, job.ID)
			t.strays.end(job.ID)
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
func (t *tables) outdated(state replayer.JobState) bool {
	id := state.Job().ID
	_, ended := t.strays.ended[id]
	return ended || state.Changed() < t.jobs[id].Changed()
}

// updateHome brings a job of this home in line with the log.
func (t *tables) updateHome(state replayer.JobState, ended bool) {
	id := state.Job().ID
	j := t.homes[id]
	if j == nil {
		if ended {
			t.dropStrays(id)
			return
		}
		j = t.addHome(state, state.Submitted() <= t.acceptedAt)
	}
	j.cancelled = state.Cancelled()
	j.ended = j.ended || ended
	for _, index := range j.unfinished() {
		if state.Finished().Has(index) {
			t.recorded(j, index)
		}
	}
	if j.cancelled && j.verdict == nil {
		j.verdict = &recorder.JobEnd{
			Job:     id,
			Outcome: recorder.Cancelled,
		}
	}
	if j.verdict != nil || j.ended {
		t.withdrawAll(j)
	}
	t.touchHome(j)
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
	first := taskIdle
	if uncertain && t.settings.fault != faultNoCensus {
		first = taskUncertain
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
			j.move(index, taskDone)
		default:
			j.move(index, first)
		}
	}
	if job.Policy == recorder.Gang {
		j.gang = &gang{}
	}
	t.homes[job.ID] = j
	t.takeStrays(j)
	t.touchHome(j)
	return j
}

// touchHome makes the next tick look at a job.
func (t *tables) touchHome(j *homeJob) {
	t.fresh[j.job.ID] = j
}

// tendHomes looks at the jobs that something has happened to, and now and then at
// those that wait for something.
func (t *tables) tendHomes() {
	if !t.now.Before(t.homesDue) {
		t.homesDue = t.now.Add(homeInterval)
		maps.Copy(t.fresh, t.active)
	}
	for _, id := range sorted(t.fresh) {
		j := t.fresh[id]
		delete(t.fresh, id)
		delete(t.active, id)
		if !t.tendHome(j) {
			t.active[id] = j
		}
	}
}

// tendHome reports whether the job needs no further look for now.
func (t *tables) tendHome(j *homeJob) bool {
	if j.counts[taskUncertain] > 0 && t.certain {
		t.clarify(j)
	}
	t.record(j)
	if j.ended || j.verdict != nil {
		return t.tendEnding(j)
	}
	if !t.summed() {
		return false
	}
	if j.gang != nil {
		return t.tendGang(j) && j.quiet()
	}
	if j.counts[taskIdle] > 0 {
		t.assign(j)
	}
	return j.quiet()
}

func (j *homeJob) quiet() bool {
	return j.counts[taskIdle] == 0 && j.counts[taskUncertain] == 0 && len(j.progress) == 0 && !j.recording
}

// clarify makes tasks idle that no member has.
func (t *tables) clarify(j *homeJob) {
	for _, index := range j.indexes(taskUncertain) {
		j.move(index, taskIdle)
	}
	if j.gang != nil {
		t.gangChanged(j)
	}
}

// withdrawAll takes every task back from its holder.
func (t *tables) withdrawAll(j *homeJob) {
	if j.withdrawn {
		return
	}
	j.withdrawn = true
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
	for _, holder := range sorted(holders) {
		t.send(holder, Withdraw{
			Job: j.job.ID,
		})
	}
}

// fail ends a job.
func (t *tables) fail(j *homeJob, reason string) {
	if j.verdict != nil || j.ended {
		return
	}
	t.log.Infof("dispatcher: job %s fails: %s", j.job.ID, reason)
	j.verdict = &recorder.JobEnd{
		Job:     j.job.ID,
		Outcome: recorder.Failed,
		Reason:  reason,
	}
	t.withdrawAll(j)
	t.touchHome(j)
}

// applyHeld notes where a task is.
func (t *tables) applyHeld(holder string, item Held) {
	if t.homeOf(item.Job) != t.self {
		return
	}
	j := t.homes[item.Job]
	if j == nil {
		t.keepStrays(holder, item)
		return
	}
	t.touchHome(j)
	for _, index := range item.Indexes {
		t.heldBy(j, index, holder)
	}
	if j.gang != nil {
		t.gangChanged(j)
	}
}

func (t *tables) heldBy(j *homeJob, index int, holder string) {
	if index < 0 || index >= len(j.tasks) {
		return
	}
	task := &j.tasks[index]
	unwanted := j.verdict != nil || j.ended || task.state == taskDone || task.state == taskRecording ||
		(j.gang != nil && j.gang.state == gangBreaking)
	if task.state == taskHeld && task.holder != holder {
		// It was assigned elsewhere, and runs here.
		t.send(task.holder, Withdraw{
			Job:     j.job.ID,
			Indexes: []int{index},
		})
	}
	if !unwanted || task.state < taskRecording {
		j.move(index, taskHeld)
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
	j := t.homes[item.Job]
	if j == nil {
		return
	}
	t.touchHome(j)
	for _, index := range item.Indexes {
		if index < 0 || index >= len(j.tasks) {
			continue
		}
		if checkpoint, ok := item.Checkpoints[index]; ok {
			j.checkpoints[index] = checkpoint
		}
		task := &j.tasks[index]
		if task.state == taskHeld && task.holder == holder {
			j.move(index, taskIdle)
			task.holder = ""
		}
	}
	if j.gang != nil {
		t.gangReturned(j, item)
	}
}

// applyFinished records finished tasks, each once.
func (t *tables) applyFinished(holder string, item Finished) {
	for _, ref := range item.Refs {
		if t.homeOf(ref.Task.Job) != t.self {
			continue
		}
		j := t.homes[ref.Task.Job]
		if j == nil {
			t.keepFinished(holder, ref)
			continue
		}
		t.touchHome(j)
		t.finish(j, holder, ref)
	}
}

func (t *tables) finish(j *homeJob, holder string, ref namer.TaskRef) {
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
			j.move(index, taskDone)
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
		j.move(index, taskRecording)
		j.progress = append(j.progress, index)
	}
	task.holder = holder
	task.ref = ref
}

// applyGaveUp ends a job of which a task has spent its retries.
func (t *tables) applyGaveUp(holder string, item GaveUp) {
	j := t.homes[item.Task.Job]
	if j == nil {
		return
	}
	t.applyReturned(holder, Returned{
		Job:     item.Task.Job,
		Indexes: []int{item.Task.Index},
	})
	t.fail(j, fmt.Sprintf("task %d: %s", item.Task.Index, item.Reason))
}
