package dispatcher

import (
	"slices"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// tendEnding records the end of a job once nothing of it runs.
func (t *tables) tendEnding(j *homeJob) bool {
	if j.counts[taskHeld] > 0 || j.counts[taskUncertain] > 0 {
		return false
	}
	if j.ended {
		t.settleAll(j)
		t.strays.end(j.job.ID)
		delete(t.jobs, j.job.ID)
		delete(t.homes, j.job.ID)
		return true
	}
	if j.recording || t.now.Before(j.recordDue) || len(j.progress) > 0 {
		return false
	}
	j.recording = true
	t.emit(commitEffect{
		body: *j.verdict,
	})
	return false
}

// settleAll lets go of finished starts of a job that has ended otherwise.
func (t *tables) settleAll(j *homeJob) {
	for _, index := range j.indexes(taskRecording) {
		t.recorded(j, index)
	}
}

// record sends the progress of a job to the log.
func (t *tables) record(j *homeJob) {
	if len(j.progress) == 0 || j.recording || j.ended || t.now.Before(j.recordDue) {
		return
	}
	slices.Sort(j.progress)
	j.recording = true
	j.recordDue = t.now.Add(recordInterval)
	t.emit(commitEffect{
		body: recorder.JobProgress{
			Job:      j.job.ID,
			Finished: slices.Compact(j.progress),
		},
	})
	j.progress = nil
}

// committed reads the end of a record.
func (t *tables) committed(e committedEvent) {
	switch body := e.body.(type) {
	case recorder.JobProgress:
		t.committedProgress(body, e.err)
	case recorder.JobEnd:
		t.committedEnd(body, e.err)
	default:
	}
}

func (t *tables) committedProgress(body recorder.JobProgress, err error) {
	j := t.homes[body.Job]
	if j == nil {
		return
	}
	t.touchHome(j)
	j.recording = false
	if err == nil {
		for _, index := range body.Finished {
			t.recorded(j, index)
		}
		return
	}
	t.log.Warnf("dispatcher: the progress of job %s is not recorded: %v", body.Job, err)
	j.recordDue = t.now.Add(recordRetry)
	for _, index := range body.Finished {
		if j.tasks[index].state == taskRecording {
			j.progress = append(j.progress, index)
		}
	}
}

func (t *tables) committedEnd(body recorder.JobEnd, err error) {
	j := t.homes[body.Job]
	if j == nil {
		return
	}
	t.touchHome(j)
	j.recording = false
	if err != nil {
		t.log.Warnf("dispatcher: the end of job %s is not recorded: %v", body.Job, err)
		j.recordDue = t.now.Add(recordRetry)
		return
	}
	j.ended = true
	t.audit("end job "+body.Job, string(body.Outcome)+": "+body.Reason)
}

// recorded notes that the log has the end of a task.
func (t *tables) recorded(j *homeJob, index int) {
	task := &j.tasks[index]
	switch task.state {
	case taskRecording:
		t.send(task.holder, Settle{
			Refs: []namer.TaskRef{task.ref},
		})
	case taskHeld:
		// Another home recorded it before the holder's report came here.
		t.send(task.holder, Withdraw{
			Job:     j.job.ID,
			Indexes: []int{index},
		})
	default:
	}
	j.move(index, taskDone)
	if len(j.tasks) == j.counts[taskDone] && j.job.Policy != recorder.Service {
		j.ended = true
	}
}
