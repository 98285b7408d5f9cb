// Package connector defines the interfaces of the external systems, which are the
// platform's log, its host list and the workers, and implements HTTP clients for
// them. The protocol is described in docs/INTERFACES.md.
//
// The package does not retry and keeps no state between calls: the caller knows
// which calls may be repeated.
package connector

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// The errors of calls to external systems. Every error of this package is marked
// with one of them.
var (
	// ErrUnreachable is returned if the request had no effect, because there
	// was no connection or the server was unavailable.
	ErrUnreachable = errors.New("connector: not reached")
	// ErrUnknown is returned if the request may have taken effect.
	ErrUnknown = errors.New("connector: outcome unknown")
	// ErrRateLimited is returned if the server refuses the request because of a
	// rate limit.
	ErrRateLimited = errors.New("connector: over its rate")
	// ErrTrimmed is returned for a read from an offset whose record has been
	// deleted by the log's retention.
	ErrTrimmed = errors.New("connector: records are no longer kept")
	// ErrFenced is returned if the server has seen a later epoch.
	ErrFenced = errors.New("connector: a later epoch is in force")
	// ErrNoCapacity is returned if a worker refuses a task for lack of free
	// capacity.
	ErrNoCapacity = errors.New("connector: no room at the worker")
	// ErrRefused is returned for a request that the server considers invalid.
	ErrRefused = errors.New("connector: refused")
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds the payloads to the stream in one append and returns the
	// offset of the first. If it fails with ErrUnknown, the payloads may have
	// been added.
	Append(ctx context.Context, stream string, payloads [][]byte) (namer.Offset, error)
	// Read returns at most limit records from the given offset on. If there
	// are none yet, Read waits for the first one for up to wait. With a limit
	// of 0, Read returns only the first and the next offset of the stream, and
	// never fails with ErrTrimmed.
	Read(ctx context.Context, stream string, from namer.Offset, limit int, wait time.Duration) (Batch, error)
}

// Batch is the result of reading the log.
type Batch struct {
	// First is the oldest offset that the log still keeps.
	First namer.Offset `json:"first"`
	// Next is the offset that the next record of the stream will get.
	Next namer.Offset `json:"next"`
	// Entries have consecutive offsets, beginning at the requested one.
	Entries []Entry `json:"entries"`
}

// Entry is a record in the log.
type Entry struct {
	// Offset is the position of the record in its stream.
	Offset namer.Offset `json:"offset"`
	// Payload is the record as it was appended.
	Payload []byte `json:"payload"`
}

// HostKind is the role of a host.
type HostKind string

// The kinds of host.
const (
	KindWorker HostKind = "worker"
	KindMinion HostKind = "minion"
)

// HostState is the state of a host, which decides whether it accepts new work.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list.
type Host struct {
	// Name is unique within the cell.
	Name string `json:"name"`
	// Kind is the role of the host.
	Kind HostKind `json:"kind"`
	// State decides whether the host accepts new work.
	State HostState `json:"state"`
	// DataCentre and Rack name the location of the host.
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	// Address is the host and port of the host's HTTP interface.
	Address string `json:"address"`
	// Capacity is the total capacity of a worker.
	Capacity sizer.Size `json:"capacity"`
	// Service names the service whose requests a minion serves.
	Service string `json:"service,omitempty"`
	// Slots and Connections are the maximum numbers of concurrent requests and
	// connections of a minion.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
}

// Hosts is the platform's host list. It lags behind the actual hosts.
type Hosts interface {
	// List returns the hosts that the platform considers present.
	List(ctx context.Context) ([]Host, error)
}

// TaskState is the state of a task as its worker reports it.
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
	// Ref identifies the task and the start. Repeating a start with the same
	// reference has no effect.
	Ref namer.TaskRef `json:"ref"`
	// Team and Kind are returned in reports.
	Team string `json:"team"`
	Kind string `json:"kind"`
	// Size is the capacity that the task was given when it was placed.
	Size sizer.Size `json:"size"`
	// Lease is how long the task may run without a renewal, counted from the
	// time at which the worker reads the request.
	Lease time.Duration `json:"lease"`
	// RunTime is the declared run time of the task, 0 if it runs until it is
	// stopped.
	RunTime time.Duration `json:"runTime"`
	// Epoch is the sender's epoch. The worker refuses an epoch below the
	// highest that it has seen.
	Epoch namer.Epoch `json:"epoch"`
	// Checkpoint is the checkpoint of an earlier start of the task, if there
	// is one.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Renewal asks a worker to renew leases, and gives it the sender's epoch.
type Renewal struct {
	// Epoch is the sender's epoch.
	Epoch namer.Epoch `json:"epoch"`
	// Lease is the new duration of each lease, counted from the time at which
	// the worker reads the request.
	Lease time.Duration `json:"lease"`
	// Refs identifies the starts whose leases are renewed.
	Refs []namer.TaskRef `json:"refs"`
	// Acknowledged identifies ended starts that the worker need not report
	// any longer.
	Acknowledged []namer.TaskRef `json:"acknowledged,omitempty"`
}

// Stop asks a worker to end tasks.
type Stop struct {
	// Epoch is the sender's epoch.
	Epoch namer.Epoch `json:"epoch"`
	// Refs identifies the starts to end.
	Refs []namer.TaskRef `json:"refs"`
	// Checkpoint asks the worker to save a checkpoint of each task first.
	Checkpoint bool `json:"checkpoint"`
}

// Throttle asks a worker to limit the resource usage of a running task.
type Throttle struct {
	// Epoch is the sender's epoch.
	Epoch namer.Epoch `json:"epoch"`
	// Ref identifies the start to limit.
	Ref namer.TaskRef `json:"ref"`
	// Limit is the maximum usage. The zero size removes the limit.
	Limit sizer.Size `json:"limit"`
}

// TaskReport is a worker's report on one start of a task.
type TaskReport struct {
	// Ref identifies the start.
	Ref namer.TaskRef `json:"ref"`
	// State is the current state of the start.
	State TaskState `json:"state"`
	// Team and Kind are those of the start request.
	Team string `json:"team"`
	Kind string `json:"kind"`
	// Size is the capacity that the task was started with. Usage is what the
	// task used recently, which may differ from its current usage.
	Size  sizer.Size `json:"size"`
	Usage sizer.Size `json:"usage"`
	// LeaseLeft is the time until the lease expires.
	LeaseLeft time.Duration `json:"leaseLeft"`
	// Checkpoint is the checkpoint from which a later start can resume.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Error is the reason why the task failed.
	Error string `json:"error,omitempty"`
}

// Report is a worker's report on itself and its tasks.
type Report struct {
	// Worker is the worker's name.
	Worker string `json:"worker"`
	// Incarnation changes each time the worker's process starts.
	Incarnation string `json:"incarnation"`
	// Epoch is the highest epoch that the worker has seen.
	Epoch namer.Epoch `json:"epoch"`
	// Leaving reports whether the worker refuses new tasks because it is about
	// to shut down.
	Leaving bool `json:"leaving"`
	// Capacity is the worker's total capacity.
	Capacity sizer.Size `json:"capacity"`
	// Tasks reports the running starts, and the ended ones that have not been
	// acknowledged.
	Tasks []TaskReport `json:"tasks"`
}

// Worker is the interface of a worker. Each call fails with ErrFenced if the
// worker has seen a later epoch than the one in the request.
type Worker interface {
	// Start starts a task. If it fails with ErrUnknown, the task may run. After
	// any other error, such as ErrNoCapacity or ErrRefused, the task does not
	// run.
	Start(ctx context.Context, start Start) error
	// Renew renews leases and returns the worker's report.
	Renew(ctx context.Context, renewal Renewal) (Report, error)
	// Stop asks the worker to end tasks. A later report shows that they ended.
	Stop(ctx context.Context, stop Stop) error
	// Throttle limits the resource usage of a task.
	Throttle(ctx context.Context, throttle Throttle) error
}
