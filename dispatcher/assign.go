package dispatcher

import (
	"fmt"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// assignIdle assigns the idle tasks of a job to the members with the most free
// capacity.
func (t *tables) assignIdle(j *homeJob) {
	if !t.checkFit(j, 1) {
		return
	}
	assigned := make(map[string][]int)
	for _, index := range j.indexes(taskIdle) {
		holder := t.bestMember(j.job.Size)
		if holder == "" {
			return
		}
		assigned[holder] = append(assigned[holder], index)
		t.noteAssigned(holder, j.job.Size)
		j.setState(index, taskHeld)
		j.tasks[index].holder = holder
	}
	for _, holder := range sortedKeys(assigned) {
		indexes := assigned[holder]
		t.send(holder, Assign{
			Job:         j.job,
			Indexes:     indexes,
			Checkpoints: j.checkpointsOf(indexes),
		})
	}
}

func (j *homeJob) checkpointsOf(indexes []int) map[int]string {
	var found map[int]string
	for _, index := range indexes {
		if checkpoint, ok := j.checkpoints[index]; ok {
			if found == nil {
				found = make(map[int]string)
			}
			found[index] = checkpoint
		}
	}
	return found
}

// checkFit reports whether some worker is large enough for a task of the job,
// and all workers together for the given number of tasks. Once that has not
// been so for the time set by UnfitAfter, it fails the job.
func (t *tables) checkFit(j *homeJob, tasks int) bool {
	size := j.job.Size
	var nearest, total sizer.Size
	anyShape, fitsWorker := false, false
	for _, summary := range t.knownSummaries() {
		total = total.Add(summary.Capacity)
		for _, shape := range summary.Shapes {
			anyShape = true
			fitsWorker = fitsWorker || size.Fits(shape)
			nearest = nearerShape(size, nearest, shape)
		}
	}
	if fitsWorker && (tasks == 1 || size.Times(int64(tasks)).Fits(total)) {
		j.unfitSince = time.Time{}
		j.unfitReason = ""
		return true
	}
	if !anyShape || !t.censusComplete {
		return false
	}
	if j.unfitSince.IsZero() {
		j.unfitSince = t.now
	}
	if fitsWorker {
		j.unfitReason = fmt.Sprintf("%d tasks of %s at once are more than all workers have: %s", tasks, size, total)
	} else {
		j.unfitReason = fmt.Sprintf("no worker has %s; the nearest has %s", size, nearest)
	}
	if t.now.Sub(j.unfitSince) >= t.settings.unfitAfter {
		t.failJob(j, j.unfitReason)
	}
	return false
}

// nearerShape returns the one of two capacities that comes closer to the size.
func nearerShape(size, a, b sizer.Size) sizer.Size {
	if a.IsZero() || size.DominantShare(b) < size.DominantShare(a) {
		return b
	}
	return a
}
