package dispatcher

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/placer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/sizer"
)

// TaskView is the state of one task as this entry knows it.
type TaskView struct {
	id      namer.TaskID
	team    string
	kind    recorder.JobKind
	state   string
	worker  string
	member  string
	size    sizer.Size
	usage   sizer.Size
	attempt namer.Attempt
	since   time.Time
}

// ID returns the identity of the task.
func (v TaskView) ID() namer.TaskID { return v.id }

// Team returns the team to which the task is charged.
func (v TaskView) Team() string { return v.team }

// Kind returns the kind of the task's job.
func (v TaskView) Kind() recorder.JobKind { return v.kind }

// State returns the state of the task as one word.
func (v TaskView) State() string { return v.state }

// Worker returns the worker of the task, empty if it has none.
func (v TaskView) Worker() string { return v.worker }

// Member returns the member that has the task.
func (v TaskView) Member() string { return v.member }

// Size returns the capacity that the task holds, or its declared size if it
// holds none.
func (v TaskView) Size() sizer.Size { return v.size }

// Usage returns the last reported usage of the task.
func (v TaskView) Usage() sizer.Size { return v.usage }

// Attempt returns the attempt of the task's last run.
func (v TaskView) Attempt() namer.Attempt { return v.attempt }

// Since returns when the task began to wait, or when it was started. It is zero
// if that is not known.
func (v TaskView) Since() time.Time { return v.since }

// WorkerView is the state of one worker of this owner.
type WorkerView struct {
	name        string
	rack        string
	state       string
	owner       string
	epoch       namer.Epoch
	capacity    sizer.Size
	used        sizer.Size
	tasks       int
	lastRenewal time.Time
}

// Name returns the name of the worker.
func (v WorkerView) Name() string { return v.name }

// Rack returns the rack of the worker.
func (v WorkerView) Rack() string { return v.rack }

// State returns the state of the worker as one word: the state of the link to
// it unless that is owned, otherwise whether the worker takes tasks.
func (v WorkerView) State() string { return v.state }

// Owner returns the member that owns the worker.
func (v WorkerView) Owner() string { return v.owner }

// Epoch returns the epoch of the owner.
func (v WorkerView) Epoch() namer.Epoch { return v.epoch }

// Capacity returns the total capacity of the worker.
func (v WorkerView) Capacity() sizer.Size { return v.capacity }

// Used returns the capacity that tasks hold.
func (v WorkerView) Used() sizer.Size { return v.used }

// Tasks returns the number of runs on the worker, including those that may run
// and those that have finished without the log having recorded it.
func (v WorkerView) Tasks() int { return v.tasks }

// LastRenewal returns when the last renewal that the worker accepted was sent.
func (v WorkerView) LastRenewal() time.Time { return v.lastRenewal }

// TeamView is the state of one team at this owner.
type TeamView = placer.TeamView

// Tasks returns the tasks that this entry holds, and those that wait at it as
// the home of their job, by identity.
func (d *Dispatcher) Tasks() []TaskView {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tables
	views := make([]TaskView, 0, len(t.held))
	for task := range t.placer.Tasks {
		views = append(views, t.heldView(task))
	}
	for _, j := range t.homeJobs {
		views = t.homeViews(views, j)
	}
	slices.SortFunc(views, func(a, b TaskView) int {
		if c := strings.Compare(a.id.Job, b.id.Job); c != 0 {
			return c
		}
		return a.id.Index - b.id.Index
	})
	return views
}

func (t *tables) heldView(task placer.TaskView) TaskView {
	v := TaskView{
		id:      task.Task().ID(),
		team:    task.Task().Team(),
		kind:    kindOfPolicy(task.Task().Policy()),
		state:   task.State().String(),
		worker:  task.Worker(),
		member:  t.self,
		size:    task.Allocated(),
		usage:   task.Usage(),
		attempt: task.Ref().Attempt,
		since:   task.Since(),
	}
	if v.size.IsZero() {
		v.size = task.Task().Size()
	}
	return v
}

// homeViews appends the tasks of a job that have no holder.
func (t *tables) homeViews(views []TaskView, j *homeJob) []TaskView {
	if j.counts[taskIdle]+j.counts[taskUncertain] == 0 {
		return views
	}
	for index := range j.tasks {
		state := "pending"
		switch j.tasks[index].state {
		case taskIdle:
		case taskUncertain:
			state = "uncertain"
		default:
			continue
		}
		views = append(views, TaskView{
			id: namer.TaskID{
				Job:   j.job.ID,
				Index: index,
			},
			team:   j.job.Team,
			kind:   j.job.Policy,
			state:  state,
			member: t.self,
			size:   j.job.Size,
		})
	}
	return views
}

// Workers returns the workers that this entry owns, by name.
func (d *Dispatcher) Workers() []WorkerView {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tables
	views := make([]WorkerView, 0, len(t.links.byName))
	for worker := range t.placer.Workers {
		l := t.links.byName[worker.Worker().Name()]
		if l == nil {
			continue
		}
		state := l.state.String()
		if l.state == linkOwned {
			state = worker.State().String()
		}
		views = append(views, WorkerView{
			name:        l.host.Name,
			rack:        l.host.Rack,
			state:       state,
			owner:       t.self,
			epoch:       t.epoch,
			capacity:    l.host.Capacity,
			used:        worker.Used(),
			tasks:       len(l.runs),
			lastRenewal: l.lastRenewalSentAt,
		})
	}
	slices.SortFunc(views, func(a, b WorkerView) int {
		return strings.Compare(a.name, b.name)
	})
	return views
}

// Teams returns the teams that this entry knows.
func (d *Dispatcher) Teams() []TeamView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(d.tables.placer.Teams)
}

// Why explains why a task does not run, as far as this entry knows. It returns
// false if this entry does not know the task.
func (d *Dispatcher) Why(id namer.TaskID) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tables.why(id)
}

func (t *tables) why(id namer.TaskID) (string, bool) {
	if reason, ok := t.placer.Why(id); ok {
		return reason.String(), true
	}
	j := t.homeJobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return "", false
	}
	task := j.tasks[id.Index]
	switch task.state {
	case taskUncertain:
		return "it may still run: " + t.uncertainReason(), true
	case taskIdle:
		return t.idleReason(j), true
	case taskHeld:
		return "it is with member " + task.holder, true
	case taskRecording:
		return "it has finished, and the log does not have that yet", true
	default:
		return "it has finished", true
	}
}

// uncertainReason returns what an uncertain task waits for: a report, or the
// lapse of old leases.
func (t *tables) uncertainReason() string {
	if blocker := t.censusBlocker(); blocker != "" {
		return fmt.Sprintf("epoch %d waits for %s", t.epoch, blocker)
	}
	for _, stream := range t.allStreams() {
		if !stream.census {
			return fmt.Sprintf("member %s has not reported in epoch %d", stream.member, t.epoch)
		}
	}
	return fmt.Sprintf("the leases from before epoch %d have not lapsed", t.epoch)
}

// idleReason returns why an idle task is not assigned. In its texts, how a member
// stands is its Summary, and room is free capacity.
func (t *tables) idleReason(j *homeJob) string {
	switch {
	case j.pendingEnd != nil:
		return "its job is ended"
	case !t.summariesKnown():
		return "not every member has said how it stands"
	case !j.unfitSince.IsZero():
		return j.unfitReason
	case j.gang != nil && j.gang.reason != "":
		return "its gang waits: " + j.gang.reason
	case j.gang != nil:
		return "its gang waits for room for all its tasks"
	default:
		return "no member has workers that take tasks"
	}
}
