package placer

import (
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// Decision is an action that the caller has to carry out: Place, Preempt,
// Throttle, GiveUp or Overflow.
type Decision interface {
	decision()
}

// Place starts a task on a worker. The capacity stays allocated until Ended is
// called.
type Place struct {
	ref    namer.TaskRef
	worker string
	task   Task
	size   sizer.Size
}

// Preempt stops a run: to make way for urgent work, or because the task was
// cancelled, its worker is draining, another task of its gang ended or was given
// up, or the task runs twice. The capacity stays allocated until Ended is called.
type Preempt struct {
	ref        namer.TaskRef
	worker     string
	checkpoint bool
}

// Throttle limits a running task to its allocation, because the task uses more
// and its worker has too little free capacity to allocate the difference.
type Throttle struct {
	ref    namer.TaskRef
	worker string
	limit  sizer.Size
}

// GiveUp reports that a task is not retried. The placer forgets the task: at
// once, or, if it may still run, once it has certainly ended.
type GiveUp struct {
	task   Task
	reason string
}

// Overflow reports that a task fits on no worker of this owner now. The task
// stays pending here until it is cancelled. Each time a task waits, it is
// reported at most once.
type Overflow struct {
	task Task
}

func (Place) decision()    {}
func (Preempt) decision()  {}
func (Throttle) decision() {}
func (GiveUp) decision()   {}
func (Overflow) decision() {}

// Ref returns the run.
func (d Place) Ref() namer.TaskRef { return d.ref }

// Worker returns the name of the worker.
func (d Place) Worker() string { return d.worker }

// Task returns the task as it was submitted.
func (d Place) Task() Task { return d.task }

// Size returns the capacity allocated to the task: its declared size, or more
// if tasks of its job were observed to use more.
func (d Place) Size() sizer.Size { return d.size }

// Ref returns the run.
func (d Preempt) Ref() namer.TaskRef { return d.ref }

// Worker returns the name of the worker.
func (d Preempt) Worker() string { return d.worker }

// Checkpoint reports whether the task is to save its work first. If that takes
// longer than WithCheckpointTimeout allows, a Preempt without a checkpoint
// follows.
func (d Preempt) Checkpoint() bool { return d.checkpoint }

// Ref returns the run.
func (d Throttle) Ref() namer.TaskRef { return d.ref }

// Worker returns the name of the worker.
func (d Throttle) Worker() string { return d.worker }

// Limit returns the most that the task may use.
func (d Throttle) Limit() sizer.Size { return d.limit }

// Task returns the task as it was submitted.
func (d GiveUp) Task() Task { return d.task }

// Reason returns the reason, as text for an operator.
func (d GiveUp) Reason() string { return d.reason }

// Task returns the task as it was submitted.
func (d Overflow) Task() Task { return d.task }

// Reservation is capacity reserved for one task of a gang.
type Reservation struct {
	ref    namer.TaskRef
	worker string
	task   Task
	size   sizer.Size
}

// Ref returns the run for which the capacity is reserved.
func (r Reservation) Ref() namer.TaskRef { return r.ref }

// Worker returns the name of the worker.
func (r Reservation) Worker() string { return r.worker }

// Task returns the task.
func (r Reservation) Task() Task { return r.task }

// Size returns the reserved capacity.
func (r Reservation) Size() sizer.Size { return r.size }
