package placer

import (
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// Decision is what whoever drives the placer has to carry out. It is one of the
// types of this package.
type Decision interface {
	decision()
}

// Place starts a task on a worker. Its room is taken until Ended is called.
type Place struct {
	ref    namer.TaskRef
	worker string
	task   Task
	size   sizer.Size
}

// Preempt ends a start. Its room is taken until Ended is called.
type Preempt struct {
	ref        namer.TaskRef
	worker     string
	checkpoint bool
}

// Throttle limits a running task that uses more than its worker can give it
// without taking from others.
type Throttle struct {
	ref    namer.TaskRef
	worker string
	limit  sizer.Size
}

// GiveUp says that a task is not tried again. The placer forgets it,
// once its end is certain if it runs.
type GiveUp struct {
	task   Task
	reason string
}

// Overflow says that a task fits on no worker of this owner now. It stays
// pending here until it is cancelled. It is said once for each wait of a task.
type Overflow struct {
	task Task
}

func (Place) decision()    {}
func (Preempt) decision()  {}
func (Throttle) decision() {}
func (GiveUp) decision()   {}
func (Overflow) decision() {}

// Ref returns the start.
func (d Place) Ref() namer.TaskRef { return d.ref }

// Worker returns the name of the worker.
func (d Place) Worker() string { return d.worker }

// Task returns the task as it was submitted.
func (d Place) Task() Task { return d.task }

// Size returns the room that the task was given: what it was declared to need,
// or more where its job was seen to use more.
func (d Place) Size() sizer.Size { return d.size }

// Ref returns the start.
func (d Preempt) Ref() namer.TaskRef { return d.ref }

// Worker returns the name of the worker.
func (d Preempt) Worker() string { return d.worker }

// Checkpoint reports whether the task is to save its work first.
func (d Preempt) Checkpoint() bool { return d.checkpoint }

// Ref returns the start.
func (d Throttle) Ref() namer.TaskRef { return d.ref }

// Worker returns the name of the worker.
func (d Throttle) Worker() string { return d.worker }

// Limit returns the most that the task may use.
func (d Throttle) Limit() sizer.Size { return d.limit }

// Task returns the task as it was submitted.
func (d GiveUp) Task() Task { return d.task }

// Reason says why, in words for an operator.
func (d GiveUp) Reason() string { return d.reason }

// Task returns the task as it was submitted.
func (d Overflow) Task() Task { return d.task }

// Reservation is room that is kept for one task of a gang.
type Reservation struct {
	ref    namer.TaskRef
	worker string
	task   Task
	size   sizer.Size
}

// Ref returns the start that the room is kept for.
func (r Reservation) Ref() namer.TaskRef { return r.ref }

// Worker returns the name of the worker.
func (r Reservation) Worker() string { return r.worker }

// Task returns the task.
func (r Reservation) Task() Task { return r.task }

// Size returns the room that is kept.
func (r Reservation) Size() sizer.Size { return r.size }
