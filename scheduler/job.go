// Package scheduler decides which tasks of the stored jobs start on which
// workers, and what must be stopped, asked or stored next.
//
// It holds jobs, steps, tasks, runs and workers in tables. Systems go over
// them in each Tick and return effects for the caller to carry out; what comes
// of an effect is reported back by a method. The package does no input or
// output and reads no clock: each method is given the time, so that the same
// calls lead to the same decisions.
//
// A Scheduler is for one goroutine at a time.
package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/sizer"
)

// The errors of the package.
var (
	// ErrBadJob is returned for a job that cannot be understood.
	ErrBadJob = errors.New("scheduler: bad job")
)

const (
	// maxTasks bounds the tasks of one phase, so that one job cannot fill the
	// memory of its owner.
	maxTasks = 10000
	// maxOccurrences bounds the occurrences of one job, for the same reason.
	maxOccurrences = 10000
)

// Queue is where jobs of one kind wait.
type Queue struct {
	Name string `json:"name"`
	// Service names the workers that run the tasks.
	Service string `json:"service"`
	// Priority 0 comes first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many runs of a task may fail by a fault of the task
	// or its worker. 0 means one.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// SlackFactor times the longest chain of work, plus Target, is how long a
	// job should take at most.
	SlackFactor float64       `json:"slackFactor,omitempty"`
	Target      time.Duration `json:"target,omitempty"`
	// Advice is nil where any worker of the service may run any step.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice says what it costs to learn which workers may run a step.
type Advice struct {
	// Decision is how long a call takes, plus PerWorker for each worker.
	Decision  time.Duration `json:"decision"`
	PerWorker time.Duration `json:"perWorker"`
	// Validity is how long a ticket can be used.
	Validity time.Duration `json:"validity"`
}

// Cost returns how long a call for n workers takes.
func (a Advice) Cost(n int) time.Duration {
	return a.Decision + time.Duration(n)*a.PerWorker
}

// Phase is a part of a job: tasks that are alike.
type Phase struct {
	Tasks int `json:"tasks"`
	// Size is what one task needs.
	Size     sizer.Size    `json:"size"`
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn numbers earlier phases whose tasks must all be done first.
	DependsOn []int `json:"dependsOn,omitempty"`
	// Gang tasks work only all together.
	Gang bool `json:"gang,omitempty"`
	// RackLocal tasks are slower when they run on more than one rack.
	RackLocal bool `json:"rackLocal,omitempty"`
	// Requires is a label that the worker must have, or empty.
	Requires string `json:"requires,omitempty"`
	// DataRack is the rack on which the tasks are fastest, or empty.
	DataRack string `json:"dataRack,omitempty"`
	// PerWorker is how many tasks may run on one worker, 0 for any number.
	PerWorker int `json:"perWorker,omitempty"`
	// Checkpoints tells that a stopped run can be resumed.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Copies tells that two runs of a task may work at once.
	Copies bool `json:"copies,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Fills tells that the tasks use only the processor time that others on
	// the worker leave, so that it does not count against the worker's size.
	Fills bool   `json:"fills,omitempty"`
	Image string `json:"image,omitempty"`
	// TailTarget is the response time that a lasting task owes its users, 0
	// for none.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
	// MaxAway is how many lasting tasks the scheduler may take away at once.
	MaxAway int `json:"maxAway,omitempty"`
}

// Job is what a caller submitted.
type Job struct {
	ID     string  `json:"id"`
	Queue  Queue   `json:"queue"`
	Spec   string  `json:"spec,omitempty"`
	Phases []Phase `json:"phases"`
	// Start, Interval and Repetitions are set for a job that runs at given
	// times. Repetitions is 0 for any other.
	Start       time.Time     `json:"start,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
	Repetitions int           `json:"repetitions,omitempty"`
	// Accepted is when an entry took the job, by that entry's time of day.
	Accepted time.Time `json:"accepted"`
}

// Validate returns an error marked with ErrBadJob for a job that cannot run
// by its own words, whatever the workers are.
func (j Job) Validate() error {
	if j.ID == "" {
		return errors.Wrap(ErrBadJob, "no identity")
	}
	if len(j.Phases) == 0 {
		return errors.Wrap(ErrBadJob, "no phases")
	}
	if j.Repetitions < 0 || j.Repetitions > maxOccurrences {
		return errors.Wrapf(ErrBadJob, "%d repetitions, want 0 to %d", j.Repetitions, maxOccurrences)
	}
	for i, phase := range j.Phases {
		if phase.Tasks < 1 || phase.Tasks > maxTasks {
			return errors.Wrapf(ErrBadJob, "phase %d has %d tasks, want 1 to %d", i, phase.Tasks, maxTasks)
		}
		if phase.Size.IsNegative() {
			return errors.Wrapf(ErrBadJob, "phase %d has a negative size", i)
		}
		for _, on := range phase.DependsOn {
			if on < 0 || on >= i {
				return errors.Wrapf(ErrBadJob, "phase %d depends on phase %d, want an earlier one", i, on)
			}
		}
	}
	return nil
}

// occurrences is how often the phases run.
func (j Job) occurrences() int {
	return max(1, j.Repetitions)
}

// due is when an occurrence may start.
func (j Job) due(occurrence int) time.Time {
	if j.Repetitions == 0 {
		return j.Accepted
	}
	return j.Start.Add(time.Duration(occurrence) * j.Interval)
}

// chain is the longest time that phases take one after the other, by their
// estimates.
func (j Job) chain() time.Duration {
	ends := make([]time.Duration, len(j.Phases))
	var longest time.Duration
	for i, phase := range j.Phases {
		for _, on := range phase.DependsOn {
			ends[i] = max(ends[i], ends[on])
		}
		ends[i] += phase.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// chains returns, for each phase, the longest time from its start to the end
// of all that depends on it, by the estimates.
func (j Job) chains() []time.Duration {
	chains := make([]time.Duration, len(j.Phases))
	after := make([]time.Duration, len(j.Phases))
	for i := len(j.Phases) - 1; i >= 0; i-- {
		chains[i] = j.Phases[i].Estimate + after[i]
		for _, on := range j.Phases[i].DependsOn {
			after[on] = max(after[on], chains[i])
		}
	}
	return chains
}

// objective is how long after it is due an occurrence should be done.
func (j Job) objective() time.Duration {
	return time.Duration(j.Queue.SlackFactor*float64(j.chain())) + j.Queue.Target
}

// StepRef names one phase in one occurrence of a job.
type StepRef struct {
	Job        string
	Occurrence int
	Phase      int
}

// String implements fmt.Stringer.
func (r StepRef) String() string {
	return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Phase)
}

func compareSteps(a, b StepRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Phase, b.Phase))
}

// TaskRef names one task.
type TaskRef struct {
	Step  StepRef
	Index int
}

// String implements fmt.Stringer.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d", r.Step, r.Index)
}

// RunRef names one start of a task.
type RunRef struct {
	Task TaskRef
	// Attempt rises with each start of the task, over all owners.
	Attempt int64
}

// JobState is how far a job is.
type JobState string

// The states of a job.
const (
	Pending   JobState = "pending"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Final tells that the state never changes again.
func (s JobState) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Progress is what of a job must outlive its owner.
type Progress struct {
	State JobState `json:"state"`
	// Ended is when a final state was reached.
	Ended time.Time `json:"ended,omitzero"`
	// Workers are all on which tasks may have been started.
	Workers []string `json:"workers,omitempty"`
	// Steps holds the steps of which anything is known.
	Steps []StepProgress `json:"steps,omitempty"`
}

// StepProgress is the part of one step.
type StepProgress struct {
	Occurrence int `json:"occurrence,omitempty"`
	Phase      int `json:"phase,omitempty"`
	// Done holds the tasks that are done, as a bit each, lowest bit first.
	Done []byte `json:"done,omitempty"`
	// Failures lists the attempts that failed, by task.
	Failures map[int][]int64 `json:"failures,omitempty"`
}

func newBits(n int) []byte {
	return make([]byte, (n+7)/8)
}

func bit(bits []byte, i int) bool {
	return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0
}

func setBit(bits []byte, i int) {
	bits[i/8] |= 1 << (i % 8)
}

func addAttempt(attempts []int64, attempt int64) []int64 {
	if slices.Contains(attempts, attempt) {
		return attempts
	}
	return append(attempts, attempt)
}
