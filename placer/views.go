package placer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// TaskView is a snapshot of a task.
type TaskView struct {
	task      Task
	ref       namer.TaskRef
	state     TaskState
	worker    string
	allocated sizer.Size
	usage     sizer.Size
	since     time.Time
	failures  int
	lapses    int
}

// Task returns the task as it was submitted.
func (v TaskView) Task() Task { return v.task }

// Ref returns the current or last run, without an attempt if the task waits for
// its first run.
func (v TaskView) Ref() namer.TaskRef { return v.ref }

// State returns the state of the task.
func (v TaskView) State() TaskState { return v.state }

// Worker returns the name of the worker on which the task has capacity
// allocated or claimed, empty if there is none.
func (v TaskView) Worker() string { return v.worker }

// Allocated returns the capacity allocated to the task.
func (v TaskView) Allocated() sizer.Size { return v.allocated }

// Usage returns the last observed usage of the task.
func (v TaskView) Usage() sizer.Size { return v.usage }

// Since returns the time at which the task began to wait, or was started.
func (v TaskView) Since() time.Time { return v.since }

// Failures returns how often the task failed.
func (v TaskView) Failures() int { return v.failures }

// Lapses returns how often the lease of the task lapsed.
func (v TaskView) Lapses() int { return v.lapses }

// WorkerView is a snapshot of a worker.
type WorkerView struct {
	worker   Worker
	state    WorkerState
	used     sizer.Size
	claimed  sizer.Size
	observed sizer.Size
	// setAsideReason is empty while the worker is healthy.
	setAsideReason string
}

// Worker returns the worker.
func (v WorkerView) Worker() Worker { return v.worker }

// State returns the state of the worker.
func (v WorkerView) State() WorkerState { return v.state }

// Used returns the capacity allocated to tasks.
func (v WorkerView) Used() sizer.Size { return v.used }

// Claimed returns the capacity claimed for tasks that wait for it.
func (v WorkerView) Claimed() sizer.Size { return v.claimed }

// Observed returns the last observed usage of all tasks.
func (v WorkerView) Observed() sizer.Size { return v.observed }

// SetAsideReason returns why the worker was set aside, as text for an operator. It
// is empty once the worker has passed a probe.
func (v WorkerView) SetAsideReason() string { return v.setAsideReason }

// TeamView is a snapshot of a team.
type TeamView struct {
	name   string
	weight float64
	quota  sizer.Size
	used   sizer.Size
	share  float64
}

// Name returns the name of the team.
func (v TeamView) Name() string { return v.name }

// Weight returns the weight of the team.
func (v TeamView) Weight() float64 { return v.weight }

// Quota returns the most that the team's tasks may hold.
func (v TeamView) Quota() sizer.Size { return v.quota }

// Used returns the capacity allocated to the team's tasks.
func (v TeamView) Used() sizer.Size { return v.used }

// DominantShare returns the team's largest share of any resource, relative to
// the capacity of all workers.
func (v TeamView) DominantShare() float64 { return v.share }

// Summary holds totals over all workers.
type Summary struct {
	total          sizer.Size
	totalAvailable sizer.Size
	tasks          int
}

// Total returns the capacity of all workers.
func (s Summary) Total() sizer.Size { return s.total }

// Available returns the available capacity: that of the workers that accept
// tasks, less what is allocated and also less what is claimed.
func (s Summary) Available() sizer.Size { return s.totalAvailable }

// Tasks returns the number of known tasks.
func (s Summary) Tasks() int { return s.tasks }

// Summary returns the totals over all workers.
func (p *Placer) Summary() Summary {
	return Summary{
		total:          p.total,
		totalAvailable: p.totalAvailable,
		tasks:          len(p.tasks.byID),
	}
}

// Task returns a snapshot of one task, and false if the task is not known.
func (p *Placer) Task(id namer.TaskID) (TaskView, bool) {
	i, ok := p.tasks.byID[id]
	if !ok {
		return TaskView{}, false
	}
	return p.taskView(i), true
}

// Tasks yields all tasks, in the order of the table, until yield returns false.
// The placer must not be changed during the iteration.
func (p *Placer) Tasks(yield func(TaskView) bool) {
	for i := range p.tasks.rows {
		if p.tasks.rows[i].state == StateNone {
			continue
		}
		if !yield(p.taskView(int32(i))) {
			return
		}
	}
}

func (p *Placer) taskView(i int32) TaskView {
	row := &p.tasks.rows[i]
	v := TaskView{
		task:      row.Task,
		ref:       row.ref(),
		state:     row.state,
		allocated: row.allocated,
		usage:     row.usage,
		since:     row.since,
		failures:  row.failures,
		lapses:    row.lapses,
	}
	if row.worker != none {
		v.worker = p.workers.rows[row.worker].name
	}
	return v
}

// Workers yields all workers, in the order of the table, until yield returns
// false. The placer must not be changed during the iteration.
func (p *Placer) Workers(yield func(WorkerView) bool) {
	for i := range p.workers.rows {
		w := &p.workers.rows[i]
		if !w.present {
			continue
		}
		if !yield(w.view()) {
			return
		}
	}
}

func (w *workerRow) view() WorkerView {
	state := w.state
	switch {
	case state != Open:
	case w.health.phase == phaseSetAside:
		state = SetAside
	case w.health.phase == phaseProbing:
		state = Probing
	}
	return WorkerView{
		worker:         w.Worker,
		state:          state,
		used:           w.used,
		claimed:        w.claimed,
		observed:       w.observed,
		setAsideReason: w.health.reason,
	}
}

// Teams yields all teams, in the order in which they became known, until yield
// returns false.
func (p *Placer) Teams(yield func(TeamView) bool) {
	for i := range p.teams.rows {
		row := &p.teams.rows[i]
		v := TeamView{
			name:   row.name,
			weight: row.weight,
			quota:  row.quota,
			used:   row.used,
			share:  row.used.DominantShare(p.total),
		}
		if !yield(v) {
			return
		}
	}
}
