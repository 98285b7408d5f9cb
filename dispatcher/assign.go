package dispatcher

import (
	"fmt"
	"time"

	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/sizer"
)

// assign hands idle tasks to the members with the most room.
func (t *tables) assign(j *homeJob) {
	if !t.fits(j, 1) {
		return
	}
	given := make(map[string][]int)
	for _, index := range j.indexes(taskIdle) {
		holder := t.roomiest(j.job.Size)
		if holder == "" {
			return
		}
		given[holder] = append(given[holder], index)
		t.promise(holder, j.job.Size)
		j.move(index, taskHeld)
		j.tasks[index].holder = holder
	}
	for _, holder := range sorted(given) {
		indexes := given[holder]
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

// fits ends a job for which no worker of any member is large enough, once that
// has lasted. It reports whether there is one.
func (t *tables) fits(j *homeJob, tasks int) bool {
	var nearest sizer.Size
	var total sizer.Size
	known := false
	for _, summary := range t.summaries() {
		total = total.Add(summary.Capacity)
		for _, shape := range summary.Shapes {
			if j.job.Size.Fits(shape) && (tasks == 1 || j.job.Size.Times(int64(tasks)).Fits(total)) {
				j.unfit = time.Time{}
				return true
			}
			known = true
			nearest = nearer(j.job.Size, nearest, shape)
		}
	}
	if !known || !t.certain {
		return false
	}
	if j.unfit.IsZero() {
		j.unfit = t.now
	}
	if t.now.Sub(j.unfit) >= t.settings.settle {
		t.fail(j, unfitReason(j.job, nearest, total))
	}
	return false
}

// nearer returns the one of two shapes that lacks less of the size.
func nearer(size, a, b sizer.Size) sizer.Size {
	if a.IsZero() || size.DominantShare(b) < size.DominantShare(a) {
		return b
	}
	return a
}

func unfitReason(job recorder.Job, nearest, total sizer.Size) string {
	if !job.Size.Fits(nearest) {
		return fmt.Sprintf("no worker has %s; the nearest has %s", job.Size, nearest)
	}
	return fmt.Sprintf("%d tasks of %s at once are more than all workers have: %s", job.Tasks, job.Size, total)
}
