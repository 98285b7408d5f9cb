package placer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// Policy is the set of rules by which a task is placed: ServicePolicy,
// BatchPolicy or GangPolicy.
type Policy interface {
	policy()
}

// ServicePolicy keeps a task running: it is spread over data centres, racks and
// workers, is never preempted, and is started again whenever it ends.
type ServicePolicy struct{}

// BatchPolicy packs a task that runs once. Urgent work may preempt it.
type BatchPolicy struct{}

// GangPolicy starts all the tasks of a job together, or none of them. Tasks of
// one job that are submitted in one call form one gang.
type GangPolicy struct{}

func (ServicePolicy) policy() {}
func (BatchPolicy) policy()   {}
func (GangPolicy) policy()    {}

// Task is a unit of work that runs on one worker.
type Task struct {
	id     namer.TaskID
	team   string
	policy Policy
	// size is the declared need of the task. No dimension is negative.
	size sizer.Size
	// runTime is the declared run time, 0 if the task runs without end.
	runTime time.Duration
	urgent  bool
	// spreadKey groups the services that are spread away from each other.
	spreadKey string
}

// TaskOption sets an optional property of a task.
type TaskOption func(*Task)

// NewTask returns a task of a team with the declared size.
func NewTask(id namer.TaskID, team string, policy Policy, size sizer.Size, opts ...TaskOption) Task {
	t := Task{
		id:        id,
		team:      team,
		policy:    policy,
		size:      size,
		spreadKey: id.Job,
	}
	for _, opt := range opts {
		opt(&t)
	}
	return t
}

// RunTime declares how long the task runs. The default is 0: without end.
func RunTime(d time.Duration) TaskOption {
	return func(t *Task) { t.runTime = d }
}

// Urgent allows the task to preempt batch work. By default it does not.
func Urgent() TaskOption {
	return func(t *Task) { t.urgent = true }
}

// SpreadKey sets the key that groups services to be spread away from each
// other. The default is the identity of the job.
func SpreadKey(key string) TaskOption {
	return func(t *Task) { t.spreadKey = key }
}

// ID returns the identity of the task.
func (t Task) ID() namer.TaskID { return t.id }

// Team returns the team to which the task's usage is charged.
func (t Task) Team() string { return t.team }

// Policy returns the rules by which the task is placed.
func (t Task) Policy() Policy { return t.policy }

// Size returns the declared need of the task.
func (t Task) Size() sizer.Size { return t.size }

// RunTime returns the declared run time, 0 if the task runs without end.
func (t Task) RunTime() time.Duration { return t.runTime }

// Urgent reports whether the task may preempt batch work.
func (t Task) Urgent() bool { return t.urgent }

// SpreadKey returns the key under which the task is spread.
func (t Task) SpreadKey() string { return t.spreadKey }

// Outcome is the way in which a run of a task ended.
type Outcome uint8

// The outcomes of a run.
const (
	// Finished means that the task completed its work.
	Finished Outcome = iota + 1
	// Failed means that the task ended through an error of its own or of its
	// worker.
	Failed
	// Stopped means that the task ended because it was asked to.
	Stopped
	// Checkpointed means that the task saved its work and then ended as asked.
	Checkpointed
	// Lapsed means that the task's lease has certainly expired.
	Lapsed
	// Refused means that the run was not started: the worker refused the start,
	// or the start certainly did not reach it.
	Refused
)

// String returns the outcome as one word.
func (o Outcome) String() string {
	switch o {
	case Finished:
		return "finished"
	case Failed:
		return "failed"
	case Stopped:
		return "stopped"
	case Checkpointed:
		return "checkpointed"
	case Lapsed:
		return "lapsed"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}
