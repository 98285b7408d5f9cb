// Package connector meets the outside systems: the platform's log and host
// list, and the workers. Each is an interface here, with a client over HTTP
// that speaks the protocol of docs/INTERFACES.md.
//
// The package does not retry and keeps no state between calls: whoever calls
// knows what may be repeated.
package connector

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// The errors of the outside systems. Every error of this package is marked
// with one of them.
var (
	// ErrUnreachable is returned where nothing of the request can have taken
	// effect: no connection, or a refusal of the other side.
	ErrUnreachable = errors.New("connector: not reached")
	// ErrUnknown is returned where the request may have taken effect.
	ErrUnknown = errors.New("connector: outcome unknown")
	// ErrBusy is returned where the other side takes no more for now.
	ErrBusy = errors.New("connector: over its rate")
	// ErrAged is returned for a read from an offset that retention dropped.
	ErrAged = errors.New("connector: records are no longer kept")
	// ErrFenced is returned where the other side has seen a later epoch.
	ErrFenced = errors.New("connector: a later epoch is in force")
	// ErrNoRoom is returned where a worker refuses a task for its size.
	ErrNoRoom = errors.New("connector: no room at the worker")
	// ErrRefused is returned for a request that the other side finds wrong.
	ErrRefused = errors.New("connector: refused")
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds the payloads to the stream in one append and returns the
	// offset of the first. After ErrUnknown they may be there.
	Append(ctx context.Context, stream string, payloads [][]byte) (namer.Offset, error)
	// Read returns records from the given offset on, at most limit of them.
	// If there are none yet it waits for up to wait. A limit of 0 asks for the
	// ends of the stream only, and never fails with ErrAged.
	Read(ctx context.Context, stream string, from namer.Offset, limit int, wait time.Duration) (Batch, error)
}

// Batch is what a read of the log returned.
type Batch struct {
	// First is the oldest offset that the log still keeps.
	First namer.Offset `json:"first"`
	// Next is the offset that the next record of the stream will get.
	Next namer.Offset `json:"next"`
	// Entries follow each other without a gap, from the offset asked for.
	Entries []Entry `json:"entries"`
}

// Entry is one record in the log.
type Entry struct {
	// Offset is the place of the record.
	Offset namer.Offset `json:"offset"`
	// Payload is the record as it was appended.
	Payload []byte `json:"payload"`
}

// HostKind says what a host is for.
type HostKind string

// The kinds of host.
const (
	KindWorker HostKind = "worker"
	KindMinion HostKind = "minion"
)

// HostState says whether a host takes new work.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one line of the platform's host list.
type Host struct {
	// Name is unique within the cell.
	Name string `json:"name"`
	// Kind says what the host is for.
	Kind HostKind `json:"kind"`
	// State says whether the host takes new work.
	State HostState `json:"state"`
	// DataCentre and Rack say where the host is.
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	// Address is host and port of the host's HTTP interface.
	Address string `json:"address"`
	// Capacity is what a worker offers.
	Capacity sizer.Size `json:"capacity"`
	// Service is what a minion answers for.
	Service string `json:"service,omitempty"`
	// Slots and Connections are the most a minion takes at once.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
}

// Hosts is the platform's host list, which lags.
type Hosts interface {
	// List returns the hosts that the platform believes to be there.
	List(ctx context.Context) ([]Host, error)
}

// TaskState is what a worker says of a task.
type TaskState string

// The states of a task at its worker.
const (
	TaskRunning      TaskState = "running"
	TaskFinished     TaskState = "finished"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
	TaskLapsed       TaskState = "lapsed"
)

// Start asks a worker to run a task.
type Start struct {
	// Ref names the task and the start. A repeated start with the same
	// reference does nothing.
	Ref namer.TaskRef `json:"ref"`
	// Team and Kind are for the report.
	Team string `json:"team"`
	Kind string `json:"kind"`
	// Size is what the task was placed with.
	Size sizer.Size `json:"size"`
	// Lease is how long the task may run without a renewal, from the moment
	// the worker reads the request.
	Lease time.Duration `json:"lease"`
	// RunTime is how long the task was declared to run, 0 for no end.
	RunTime time.Duration `json:"runTime"`
	// Epoch is the sender's; the worker refuses one below the last it saw.
	Epoch namer.Epoch `json:"epoch"`
	// Checkpoint is what an earlier start of the task left, if it did.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Renewal renews leases and tells the worker the sender's epoch.
type Renewal struct {
	// Epoch is the sender's.
	Epoch namer.Epoch `json:"epoch"`
	// Lease is the new length of each lease, from the moment the worker reads
	// the request.
	Lease time.Duration `json:"lease"`
	// Refs are the starts whose leases are renewed.
	Refs []namer.TaskRef `json:"refs"`
	// Acknowledged are ended starts that the worker may forget.
	Acknowledged []namer.TaskRef `json:"acknowledged,omitempty"`
}

// Stop asks a worker to end tasks.
type Stop struct {
	// Epoch is the sender's.
	Epoch namer.Epoch `json:"epoch"`
	// Refs are the starts to end.
	Refs []namer.TaskRef `json:"refs"`
	// Checkpoint asks the worker to save what the tasks have done first.
	Checkpoint bool `json:"checkpoint"`
}

// Throttle limits what a running task uses.
type Throttle struct {
	// Epoch is the sender's.
	Epoch namer.Epoch `json:"epoch"`
	// Ref is the start to limit.
	Ref namer.TaskRef `json:"ref"`
	// Limit is the most it may use; zero lifts the limit.
	Limit sizer.Size `json:"limit"`
}

// TaskReport is what a worker says of one start.
type TaskReport struct {
	// Ref names the start.
	Ref namer.TaskRef `json:"ref"`
	// State is where the start is.
	State TaskState `json:"state"`
	// Team and Kind are as they were given.
	Team string `json:"team"`
	Kind string `json:"kind"`
	// Size is what the task was started with, Usage what it used a while ago.
	Size  sizer.Size `json:"size"`
	Usage sizer.Size `json:"usage"`
	// LeaseLeft is how long the lease still runs.
	LeaseLeft time.Duration `json:"leaseLeft"`
	// Checkpoint is what a later start may be given.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Error says why a task failed.
	Error string `json:"error,omitempty"`
}

// Report is a worker's account of itself.
type Report struct {
	// Worker is the worker's name.
	Worker string `json:"worker"`
	// Incarnation changes when the worker's process starts anew.
	Incarnation string `json:"incarnation"`
	// Epoch is the highest that the worker has seen.
	Epoch namer.Epoch `json:"epoch"`
	// Leaving says that the worker takes nothing new.
	Leaving bool `json:"leaving"`
	// Capacity is what the worker offers.
	Capacity sizer.Size `json:"capacity"`
	// Tasks are the starts that run, and those that ended and were not
	// acknowledged.
	Tasks []TaskReport `json:"tasks"`
}

// Worker is the interface of one worker. Each call fails with ErrFenced if the
// worker has seen a later epoch than the caller's.
type Worker interface {
	// Start runs a task. It fails with ErrNoRoom or ErrRefused if it
	// certainly does not run, and with ErrUnknown if it may.
	Start(ctx context.Context, start Start) error
	// Renew renews leases and returns the worker's report.
	Renew(ctx context.Context, renewal Renewal) (Report, error)
	// Stop ends tasks. Their end shows in the report.
	Stop(ctx context.Context, stop Stop) error
	// Throttle limits a task.
	Throttle(ctx context.Context, throttle Throttle) error
}
