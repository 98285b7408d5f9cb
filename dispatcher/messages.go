package dispatcher

import (
	"encoding/gob"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/sizer"
)

// methodExchange is the net/rpc method that calls Receiver.Exchange.
const methodExchange = "Placing.Exchange"

// maxItems is the largest number of items in one message.
const maxItems = 512

// Message is one direction of an exchange between two members: arguments and
// reply have the same form. Items are numbered from 1 in each epoch. Each is
// sent until the peer reports that it has applied it, and is applied once, in
// order, however messages are lost, repeated, delayed or reordered.
type Message struct {
	// From is the name of the sender.
	From string
	// Epoch is the sender's epoch. A receiver at another epoch does not apply
	// the message.
	Epoch namer.Epoch
	// Applied is the number of the last of the receiver's items that the
	// sender has applied.
	Applied uint64
	// First is the number of the first of Items.
	First uint64
	// Items are numbered consecutively.
	Items []Item
	// Summary describes the sender's capacity and load.
	Summary Summary
}

// Summary describes the capacity and load of a member's workers.
type Summary struct {
	// Capacity is the total of all the member's workers, Free the part of it
	// that is neither used nor reserved on workers that take tasks.
	Capacity sizer.Size
	Free     sizer.Size
	// Rooms are the largest free capacities on single workers, at most one for
	// each dimension.
	Rooms []sizer.Size
	// Shapes are the distinct capacities of the member's workers.
	Shapes []sizer.Size
	// Pending is the number of tasks that wait at the member.
	Pending int
	// Usage is the capacity held by the tasks of each team with a quota.
	Usage map[string]sizer.Size
	// Takeovers counts the workers that the member has taken over. A change of
	// the count means that new capacity may be available.
	Takeovers uint64
}

// Item is a request or report from one member to another. It is one of the
// types of this file.
type Item interface {
	item()
}

// Items from a home to a holder.

// Assign hands tasks to a holder.
type Assign struct {
	// Job is the tasks' job.
	Job recorder.Job
	// Indexes are the tasks.
	Indexes []int
	// Checkpoints are those that earlier runs saved, by index.
	Checkpoints map[int]string
}

// Withdraw takes tasks back from a holder, which stops those that run.
type Withdraw struct {
	// Job is the identity of the job.
	Job string
	// Indexes are the tasks; an empty list stands for all tasks of the job that
	// the holder has.
	Indexes []int
}

// Settle reports that the log has recorded the end of the runs, so that their
// workers may forget them.
type Settle struct {
	// Refs are the runs.
	Refs []namer.TaskRef
}

// Reserve asks a holder to reserve capacity for as many of the tasks as it can.
type Reserve struct {
	// Job is the gang.
	Job recorder.Job
	// Round counts the attempts of the gang's home to reserve capacity.
	Round int
	// Indexes are the tasks without reserved capacity.
	Indexes []int
	// Term is how long the holder keeps the reservation.
	Term time.Duration
	// Checkpoints are those that earlier runs saved, by index.
	Checkpoints map[int]string
}

// Confirm starts the tasks of a reservation.
type Confirm struct {
	// Job and Round name the reservation.
	Job   string
	Round int
}

// Release frees the capacity of a reservation.
type Release struct {
	// Job and Round name the reservation.
	Job   string
	Round int
}

// Items from a holder to a home.

// Held reports that the sender has the tasks, on its workers or waiting.
type Held struct {
	// Job is the identity of the job.
	Job string
	// Indexes are the tasks.
	Indexes []int
}

// Returned reports that the sender no longer has the tasks, and that every run of
// them that it knew has certainly ended.
type Returned struct {
	// Job is the identity of the job.
	Job string
	// Indexes are the tasks.
	Indexes []int
	// Overflow is set if the sender had no capacity for the tasks.
	Overflow bool
	// Failed is set if the tasks ended with a failure.
	Failed bool
	// Reason explains why the tasks ended.
	Reason string
	// Checkpoints are those that runs of the tasks saved, by index.
	Checkpoints map[int]string
}

// Finished reports that the runs have completed their tasks.
type Finished struct {
	// Refs are the runs.
	Refs []namer.TaskRef
}

// GaveUp reports that a task has used up its retries.
type GaveUp struct {
	// Task is the task.
	Task namer.TaskID
	// Reason explains why it is not started again.
	Reason string
}

// Reserved answers a Reserve.
type Reserved struct {
	// Job and Round are those of the Reserve.
	Job   string
	Round int
	// Indexes are the tasks for which capacity is reserved.
	Indexes []int
}

// Lost reports that a Confirm came too late: its reservation no longer exists.
type Lost struct {
	// Job and Round are those of the Confirm.
	Job   string
	Round int
}

// Items between all members, after a change of the epoch.

// Handover passes a worker from the sender, its former owner, to the receiver,
// whose host list may not contain it yet.
type Handover struct {
	// Host is the worker.
	Host connector.Host
}

// Ready reports that the sender has sent what it knows from the last epoch: a
// Handover for every worker that it had taken over and no longer owns, and a
// Held for the tasks that it keeps.
type Ready struct {
	// Epoch is the sender's.
	Epoch namer.Epoch
}

// Census reports that the sender has taken over all its workers: it has read the
// host list, a Ready from every peer, and a report from every worker that it
// owns. A task for which it has sent no Held does not run on these workers.
type Census struct {
	// Epoch is the sender's.
	Epoch namer.Epoch
}

func (Assign) item()   {}
func (Withdraw) item() {}
func (Settle) item()   {}
func (Reserve) item()  {}
func (Confirm) item()  {}
func (Release) item()  {}
func (Held) item()     {}
func (Returned) item() {}
func (Finished) item() {}
func (GaveUp) item()   {}
func (Reserved) item() {}
func (Lost) item()     {}
func (Handover) item() {}
func (Ready) item()    {}
func (Census) item()   {}

// The names are short because every encoded item carries one.
func init() {
	gob.RegisterName("a", Assign{})
	gob.RegisterName("w", Withdraw{})
	gob.RegisterName("s", Settle{})
	gob.RegisterName("v", Reserve{})
	gob.RegisterName("c", Confirm{})
	gob.RegisterName("l", Release{})
	gob.RegisterName("h", Held{})
	gob.RegisterName("r", Returned{})
	gob.RegisterName("f", Finished{})
	gob.RegisterName("g", GaveUp{})
	gob.RegisterName("d", Reserved{})
	gob.RegisterName("t", Lost{})
	gob.RegisterName("o", Handover{})
	gob.RegisterName("y", Ready{})
	gob.RegisterName("n", Census{})
}
