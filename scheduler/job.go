// Package scheduler decides which tasks of the stored jobs start on which
// workers, which runs are stopped, what the adviser is asked and what is
// written to the store.
//
// A job consists of phases of similar tasks, and may repeat. One phase of one
// occurrence is a step, and one start of a task on a worker is a run. They are
// held in tables. Each Tick applies the scheduling rules to the tables and
// returns effects for the caller to carry out; the outcome of an effect is
// reported back by a method. The package does no input or output and reads no
// clock: each method is given the time, so that the same calls lead to the
// same decisions.
//
// A Scheduler must not be used by more than one goroutine at a time.
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
	// ErrBadJob marks the error for a job whose description is invalid.
	ErrBadJob = errors.New("scheduler: bad job")
)

const (
	// maxTasksPerPhase limits the tasks of one phase, so that a single job cannot
	// exhaust the memory of its owner.
	maxTasksPerPhase = 10000
	// maxOccurrences limits the occurrences of one job, and maxTasks the tasks of all of its
	// phases and occurrences, for the same reason.
	maxOccurrences = 10000
	maxTasks       = 250_000
	// maxTime limits the times of a job and of its queue, and the time between the first and
	// the last occurrence. Sums of a few such times do not overflow.
	maxTime = 10 * 365 * 24 * time.Hour
)

// Queue describes a queue of jobs that are scheduled under the same rules.
type Queue struct {
	Name string `json:"name"`
	// Service is the service whose workers run the tasks.
	Service string `json:"service"`
	// Priority is 0 for the most urgent queue, and higher for others.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failed runs of one task, by a fault of the
	// task or of its worker, at which the job fails. 0 means 1.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// SlackFactor times the critical path of the job, plus Target, is the time
	// within which an occurrence should be done once it is due.
	SlackFactor float64       `json:"slackFactor,omitempty"`
	Target      time.Duration `json:"target,omitempty"`
	// Advice is nil if any worker of the service may run any step.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice describes the cost of asking the adviser which workers may run a step.
type Advice struct {
	// A call takes Decision plus PerWorker for each worker that it names.
	Decision  time.Duration `json:"decision"`
	PerWorker time.Duration `json:"perWorker"`
	// Validity is the time for which a ticket can be used.
	Validity time.Duration `json:"validity"`
}

// Cost returns how long a call for n workers takes.
func (a Advice) Cost(n int) time.Duration {
	return min(a.Decision, maxTime) + time.Duration(n)*min(a.PerWorker, maxTime/time.Duration(max(n, 1)))
}

// Phase is a part of a job that consists of similar tasks.
type Phase struct {
	Tasks int `json:"tasks"`
	// Size is the capacity that one task needs.
	Size     sizer.Size    `json:"size"`
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn lists the indexes of earlier phases that must be done first.
	DependsOn []int `json:"dependsOn,omitempty"`
	// Gang is set if the tasks can run only all at the same time.
	Gang bool `json:"gang,omitempty"`
	// RackLocal is set if the tasks are slower when spread over several racks.
	RackLocal bool `json:"rackLocal,omitempty"`
	// Requires is a label that the worker must have, or empty if none.
	Requires string `json:"requires,omitempty"`
	// DataRack is the rack on which the tasks run fastest, or empty if none.
	DataRack string `json:"dataRack,omitempty"`
	// PerWorker limits the tasks that run on one worker at once. 0 means no
	// limit.
	PerWorker int `json:"perWorker,omitempty"`
	// Checkpoints is set if a stopped run can be resumed from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Copies is set if two runs of a task may work at the same time.
	Copies bool `json:"copies,omitempty"`
	// Lasting is set for service tasks, which run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Fills is set for best-effort tasks. They use only processor time that
	// other tasks on the worker leave idle, so their cores do not count
	// against the worker's capacity.
	Fills bool   `json:"fills,omitempty"`
	Image string `json:"image,omitempty"`
	// TailTarget is the tail response time that a lasting task should meet for
	// its users. 0 means that it has none.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
	// MaxAway limits how many lasting tasks may be out of service at once when
	// the scheduler moves them. 0 means no limit.
	MaxAway int `json:"maxAway,omitempty"`
}

// Job is a job as a caller submitted it.
type Job struct {
	ID    string `json:"id"`
	Queue Queue  `json:"queue"`
	// Organisation is the name of the organisation that submitted the job, or empty
	// if the queue is public or there are no organisations.
	Organisation string  `json:"organisation,omitempty"`
	Spec         string  `json:"spec,omitempty"`
	Phases       []Phase `json:"phases"`
	// Start, Interval and Repetitions are set for a job whose phases run
	// repeatedly at given times. Repetitions is 0 for any other job.
	Start       time.Time     `json:"start,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
	Repetitions int           `json:"repetitions,omitempty"`
	// Accepted is the time at which an entry accepted the job, by the clock of
	// that entry.
	Accepted time.Time `json:"accepted"`
}

// Validate returns an error marked with ErrBadJob if the job's description is
// invalid. It does not check whether any worker could run the job.
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
	if j.Repetitions > 0 && (j.Interval < 0 || j.Interval > maxTime/time.Duration(j.Repetitions)) {
		return errors.Wrapf(ErrBadJob, "%d repetitions with an interval of %v", j.Repetitions, j.Interval)
	}
	tasks := 0
	for i, phase := range j.Phases {
		if err := phase.validate(i); err != nil {
			return err
		}
		tasks += phase.Tasks
		if tasks > maxTasks/j.occurrences() {
			return errors.Wrapf(ErrBadJob, "more than %d tasks in all phases and occurrences", maxTasks)
		}
	}
	return nil
}

// validate is Job.Validate for the phase with that index.
func (p Phase) validate(index int) error {
	if p.Tasks < 1 || p.Tasks > maxTasksPerPhase {
		return errors.Wrapf(ErrBadJob, "phase %d has %d tasks, want 1 to %d", index, p.Tasks, maxTasksPerPhase)
	}
	if p.Size.IsNegative() {
		return errors.Wrapf(ErrBadJob, "phase %d has a negative size", index)
	}
	if p.Estimate < 0 || p.Estimate > maxTime {
		return errors.Wrapf(ErrBadJob, "phase %d has an estimate of %v", index, p.Estimate)
	}
	if p.PerWorker < 0 || p.MaxAway < 0 {
		return errors.Wrapf(ErrBadJob, "phase %d has a negative limit", index)
	}
	for _, on := range p.DependsOn {
		if on < 0 || on >= index {
			return errors.Wrapf(ErrBadJob, "phase %d depends on phase %d, want an earlier one", index, on)
		}
	}
	return nil
}

// occurrences returns how many times the phases run.
func (j Job) occurrences() int {
	return max(1, j.Repetitions)
}

// dueAt returns the time from which an occurrence may start.
func (j Job) dueAt(occurrence int) time.Time {
	if j.Repetitions == 0 {
		return j.Accepted
	}
	return j.Start.Add(time.Duration(occurrence) * j.Interval)
}

// criticalPath returns the longest time that a sequence of dependent phases
// takes, by their estimates.
func (j Job) criticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Phases))
	var longest time.Duration
	for i, phase := range j.Phases {
		for _, on := range phase.DependsOn {
			ends[i] = max(ends[i], ends[on])
		}
		ends[i] = min(ends[i]+phase.Estimate, maxTime)
		longest = max(longest, ends[i])
	}
	return longest
}

// criticalPaths returns, for each phase, the longest time from its start to
// the end of everything that depends on it, by the estimates.
func (j Job) criticalPaths() []time.Duration {
	criticalPaths := make([]time.Duration, len(j.Phases))
	downstream := make([]time.Duration, len(j.Phases))
	for i := len(j.Phases) - 1; i >= 0; i-- {
		criticalPaths[i] = min(j.Phases[i].Estimate+downstream[i], maxTime)
		for _, on := range j.Phases[i].DependsOn {
			downstream[on] = max(downstream[on], criticalPaths[i])
		}
	}
	return criticalPaths
}

// objective returns the time within which an occurrence should be done, counted
// from the time at which the occurrence is due.
func (j Job) objective() time.Duration {
	slack := j.Queue.SlackFactor * float64(j.criticalPath())
	return time.Duration(min(max(slack, 0), float64(maxTime))) + min(j.Queue.Target, maxTime)
}

// StepRef identifies a step: one phase in one occurrence of a job.
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

// TaskRef identifies one task of a step.
type TaskRef struct {
	Step  StepRef
	Index int
}

// String implements fmt.Stringer.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d", r.Step, r.Index)
}

// RunRef identifies a run: one start of a task. The members of a gang share the
// attempt.
type RunRef struct {
	Task TaskRef
	// Attempt rises with each start of the task, also from owner to owner.
	Attempt int64
}

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	Pending   JobState = "pending"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Known reports whether this release knows the state.
func (s JobState) Known() bool {
	return s == Pending || s == Running || s.Final()
}

// Final reports whether the state never changes again.
func (s JobState) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Progress is the state of a job that is stored, for the next owner.
type Progress struct {
	State JobState `json:"state"`
	// Ended is the time at which the final state was reached.
	Ended time.Time `json:"ended,omitzero"`
	// Workers lists all workers on which tasks may have been started.
	Workers []string `json:"workers,omitempty"`
	// Ending holds, by worker, the full size of the runs that had not ended although
	// their task is done or the job has ended. They count against the maximum of the
	// organisation. It is kept only for jobs of an organisation.
	Ending map[string]sizer.Size `json:"ending,omitempty"`
	// DoneOccurrences holds the occurrences of which all steps are done. Steps need not
	// list them.
	DoneOccurrences []OccurrenceRange `json:"doneOccurrences,omitempty"`
	// Grants holds the grants of tasks to other owners, also once the job has ended. Owners
	// of older releases do not know them.
	Grants []Grant `json:"grants,omitempty"`
	// Delegates lists the partitions whose owners have or had a grant, and LastGrant is the
	// highest number of one.
	Delegates []int `json:"delegates,omitempty"`
	LastGrant int64 `json:"lastGrant,omitempty"`
	// Steps holds the steps with tasks that are done or have failed.
	Steps []StepProgress `json:"steps,omitempty"`
}

// StepProgress is the progress of one step.
type StepProgress struct {
	Occurrence int `json:"occurrence,omitempty"`
	Phase      int `json:"phase,omitempty"`
	// Done has a bit for each task, set if the task is done, lowest bit first.
	Done []byte `json:"done,omitempty"`
	// Failures lists the attempts that failed, by task index. All failures of a
	// gang have the key 0.
	Failures map[int][]int64 `json:"failures,omitempty"`
	// Crashes lists the workers that crashed with a run of a task, by task index.
	Crashes map[int][]Crash `json:"crashes,omitempty"`
	// HasPlacements is set if Placements is complete. It is set for steps of lasting
	// tasks, which start rarely enough to store where each of them may run.
	HasPlacements bool `json:"hasPlacements,omitempty"`
	// Placements lists, by task index, the workers on which a run of the task may
	// be active. A task that is not listed has no run.
	Placements map[int][]string `json:"placements,omitempty"`
	// Approved lists the workers on which the adviser has allowed the step, if
	// HasPlacements is set. Its decisions do not change.
	Approved []string `json:"approved,omitempty"`
}

func newBitSet(n int) []byte {
	return make([]byte, (n+7)/8)
}

func hasBit(bits []byte, i int) bool {
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
