package placer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// Policy says by which rules a task is placed. It is one of the types of this
// package.
type Policy interface {
	policy()
}

// ServicePolicy keeps a task running: it is spread over data centres, racks and
// workers, is never preempted, and is started again whenever it ends.
type ServicePolicy struct{}

// BatchPolicy packs a task to run once. It gives way to urgent work.
type BatchPolicy struct{}

// GangPolicy starts all the tasks of a job together, or none of them. Tasks of
// one job that are submitted in one call are one gang.
type GangPolicy struct{}

func (ServicePolicy) policy() {}
func (BatchPolicy) policy()   {}
func (GangPolicy) policy()    {}

// Task is one piece of work that runs on one worker.
type Task struct {
	id     namer.TaskID
	team   string
	policy Policy
	// size is what the task is declared to need. No dimension is negative.
	size sizer.Size
	// runTime is how long the task is declared to run, 0 for no end.
	runTime time.Duration
	urgent  bool
	// spreadKey names the tasks that are kept apart from each other.
	spreadKey string
}

// TaskOption sets what not every task has.
type TaskOption func(*Task)

// NewTask returns a task of a team, declared to need size.
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

// RunTime declares how long the task runs. The default is 0, for no end.
func RunTime(d time.Duration) TaskOption {
	return func(t *Task) { t.runTime = d }
}

// Urgent lets the task preempt batch work. By default it does not.
func Urgent() TaskOption {
	return func(t *Task) { t.urgent = true }
}

// SpreadKey names the services that are kept apart from each other. The default
// is the identity of the job.
func SpreadKey(key string) TaskOption {
	return func(t *Task) { t.spreadKey = key }
}

// ID returns the identity of the task.
func (t Task) ID() namer.TaskID { return t.id }

// Team returns the team that pays for the task.
func (t Task) Team() string { return t.team }

// Policy returns the rules by which the task is placed.
func (t Task) Policy() Policy { return t.policy }

// Size returns what the task is declared to need.
func (t Task) Size() sizer.Size { return t.size }

// RunTime returns how long the task is declared to run, 0 for no end.
func (t Task) RunTime() time.Duration { return t.runTime }

// Urgent reports whether the task may preempt batch work.
func (t Task) Urgent() bool { return t.urgent }

// SpreadKey returns the name under which the task is spread.
func (t Task) SpreadKey() string { return t.spreadKey }

// Outcome says how a start of a task ended.
type Outcome uint8

// The outcomes of a start.
const (
	// Finished is the end of a task that did its work.
	Finished Outcome = iota + 1
	// Failed is the end of a task by its own fault or that of its worker.
	Failed
	// Stopped is the end of a task that was asked to end.
	Stopped
	// Checkpointed is the end of a task that saved its work first.
	Checkpointed
	// Lapsed is the end of a task whose lease has certainly run out.
	Lapsed
	// Refused is a start that the worker refused: it certainly did not run.
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
