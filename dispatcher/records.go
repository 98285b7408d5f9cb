package dispatcher

import (
	"slices"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// advanceEnding records the end of a job once none of its tasks runs. It
// reports whether the job is removed.
func (t *tables) advanceEnding(j *homeJob) bool {
	if j.counts[taskHeld] > 0 || j.counts[taskUncertain] > 0 {
		return false
	}
	if j.ended {
		t.settleFinished(j)
		t.unknownJobs.markEnded(j.job.ID)
		delete(t.jobs, j.job.ID)
		delete(t.homeJobs, j.job.ID)
		return true
	}
	if j.recording || t.now.Before(j.nextRecordAt) || len(j.unrecorded) > 0 {
		return false
	}
	j.recording = true
	t.emit(commitEffect{
		body: *j.pendingEnd,
	})
	return false
}

// settleFinished lets the workers forget the finished runs that the log has not
// recorded when their job has ended.
func (t *tables) settleFinished(j *homeJob) {
	for _, index := range j.indexes(taskRecording) {
		t.markRecorded(j, index)
	}
}

// recordProgress commits a record of the finished tasks of a job.
func (t *tables) recordProgress(j *homeJob) {
	if len(j.unrecorded) == 0 || j.recording || j.ended || t.now.Before(j.nextRecordAt) {
		return
	}
	slices.Sort(j.unrecorded)
	j.recording = true
	j.nextRecordAt = t.now.Add(recordInterval)
	t.emit(commitEffect{
		body: recorder.JobProgress{
			Job:      j.job.ID,
			Finished: slices.Compact(j.unrecorded),
		},
	})
	j.unrecorded = nil
}

// handleCommitted handles the result of a commit.
func (t *tables) handleCommitted(e committedEvent) {
	switch body := e.body.(type) {
	case recorder.JobProgress:
		t.handleProgressCommitted(body, e.err)
	case recorder.JobEnd:
		t.handleEndCommitted(body, e.err)
	default:
	}
}

func (t *tables) handleProgressCommitted(body recorder.JobProgress, err error) {
	j := t.homeJobs[body.Job]
	if j == nil {
		return
	}
	t.markDirty(j)
	j.recording = false
	if err == nil {
		for _, index := range body.Finished {
			t.markRecorded(j, index)
		}
		return
	}
	t.log.Warnf("dispatcher: the progress of job %s is not recorded: %v", body.Job, err)
	j.nextRecordAt = t.now.Add(recordRetryDelay)
	for _, index := range body.Finished {
		if j.tasks[index].state == taskRecording {
			j.unrecorded = append(j.unrecorded, index)
		}
	}
}

func (t *tables) handleEndCommitted(body recorder.JobEnd, err error) {
	j := t.homeJobs[body.Job]
	if j == nil {
		return
	}
	t.markDirty(j)
	j.recording = false
	if err != nil {
		t.log.Warnf("dispatcher: the end of job %s is not recorded: %v", body.Job, err)
		j.nextRecordAt = t.now.Add(recordRetryDelay)
		return
	}
	j.ended = true
	t.audit("end job "+body.Job, string(body.Outcome)+": "+body.Reason)
}

// markRecorded makes a task done once the log has recorded its end, and releases
// its holder from the task.
func (t *tables) markRecorded(j *homeJob, index int) {
	task := &j.tasks[index]
	switch task.state {
	case taskRecording:
		t.send(task.holder, Settle{
			Refs: []namer.TaskRef{task.ref},
		})
	case taskHeld:
		// The record was committed in an earlier epoch, and the holder has not
		// reported in this epoch that the task has finished.
		t.send(task.holder, Withdraw{
			Job:     j.job.ID,
			Indexes: []int{index},
		})
	default:
	}
	j.setState(index, taskDone)
	if len(j.tasks) == j.counts[taskDone] && j.job.Policy != recorder.Service {
		j.ended = true
	}
}
