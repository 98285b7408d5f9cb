package scheduler

import (
	"maps"
	"slices"
	"time"
)

// Grant names tasks of one step of a job that its owner, the home owner, has left to the
// owner of another partition, the delegate. Either stores the grant before it acts on it:
// the home owner before it is sent, the delegate before it starts any of the tasks.
type Grant struct {
	// Number is unique within the job and rises.
	Number     int64 `json:"number"`
	Occurrence int   `json:"occurrence,omitempty"`
	Phase      int   `json:"phase,omitempty"`
	// Partition is that of the delegate.
	Partition int `json:"partition"`
	// Tasks lists the indexes of the tasks, less those that were returned.
	Tasks []int `json:"tasks,omitempty"`
	// Returned lists the indexes of the tasks that the delegate has returned. Only the
	// delegate keeps it.
	Returned []int `json:"returned,omitempty"`
	// Returnable is set if the delegate is to return tasks for which it has no room. Otherwise no
	// owner had any, and the delegate returns only what its workers could never take.
	Returnable bool `json:"returnable,omitempty"`
	// Failed counts, by index, the attempts of the tasks that failed before.
	Failed map[int]int `json:"failed,omitempty"`
}

func (g Grant) clone() Grant {
	g.Tasks = slices.Clone(g.Tasks)
	g.Returned = slices.Clone(g.Returned)
	g.Failed = maps.Clone(g.Failed)
	return g
}

// withdraw moves those of the tasks that the grant holds from Tasks to Returned.
func (g *Grant) withdraw(tasks []int) {
	for _, i := range tasks {
		if at := slices.Index(g.Tasks, i); at >= 0 {
			g.Tasks = slices.Delete(g.Tasks, at, at+1)
			g.Returned = append(g.Returned, i)
		}
	}
}

func (g Grant) step(job string) StepRef {
	return StepRef{
		Job:        job,
		Occurrence: g.Occurrence,
		Phase:      g.Phase,
	}
}

func (g Grant) task(job string, index int) TaskRef {
	return TaskRef{
		Step:  g.step(job),
		Index: index,
	}
}

// grant is a grant in the tables of the home owner or of a delegate.
type grant struct {
	Grant
	// stored is set once the store has the grant. Before that the home owner does not send
	// it, and the delegate starts none of its tasks.
	stored bool
	// returning lists tasks in Returned of which this is not stored yet. The home owner
	// starts them, and the delegate says that it has returned them, only after that.
	returning []int
	// acknowledged is set at the home owner once the delegate has stored the grant.
	acknowledged bool
	// gang is what the delegate last said of the members of a gang, and heard is set once it
	// has said something to this owner.
	gang  GangState
	heard bool
	// due is the time at which the home owner expects the first end of a task, zero if it does
	// not know.
	due time.Time
	// hasPlaces is set if the home owner's workers had places for tasks of a grant that is not returnable at
	// placesCheckedAt.
	hasPlaces       bool
	placesCheckedAt time.Time
	// checkpoints holds, at the delegate, the checkpoints that the tasks had, by index.
	checkpoints map[int]string
}

func cloneGrants(grants []*grant) []Grant {
	clones := make([]Grant, 0, len(grants))
	for _, g := range grants {
		clones = append(clones, g.clone())
	}
	return clones
}

// returnTasks has the grant's tasks returned, subject to a write.
func (g *grant) returnTasks(tasks []int) {
	for _, i := range tasks {
		if slices.Contains(g.Tasks, i) {
			g.returning = append(g.returning, i)
		}
	}
	g.withdraw(tasks)
}

// written records that the store has the grant as it stood in a write. It returns the
// tasks of which the return is stored with it.
func (g *grant) written(stored Grant) []int {
	g.stored = true
	var returned []int
	g.returning = slices.DeleteFunc(g.returning, func(i int) bool {
		if slices.Contains(stored.Tasks, i) {
			return false
		}
		returned = append(returned, i)
		return true
	})
	return returned
}

// Mark is a reading of a delegate's clock that the home owner repeats in its next call. It
// shows the delegate that the call was made after that reading.
type Mark struct {
	// Token is the fencing token of the delegate, 0 if there is no mark.
	Token int64
	// Reading is the time in nanoseconds since the Unix epoch.
	Reading int64
}

// DelegationRequest is what the home owner of some jobs tells the owner of another
// partition.
type DelegationRequest struct {
	// Home is the partition of the home owner, and Token its fencing token.
	Home  int
	Token int64
	// Mark is that of the last reply.
	Mark Mark
	Jobs []DelegatedJob
}

// DelegatedJob is a job with its grants to one delegate.
type DelegatedJob struct {
	ID string
	// Job is nil once the delegate has said that it knows the job.
	Job *Job
	// Grants lists all grants to the delegate, in the order of their numbers, without the
	// tasks that were returned or are done, as far as that is stored. One without tasks may be
	// forgotten; it is listed until the delegate has forgotten it.
	Grants []GrantMessage
	// Ended is set once the job has ended.
	Ended bool
}

// GrantMessage is a grant with what the home owner has decided for a gang.
type GrantMessage struct {
	Grant Grant
	Gang  GangOrder
	// Checkpoints holds the checkpoints of the tasks, by index, until the delegate has stored
	// the grant. They are not stored themselves, as none is.
	Checkpoints map[int]string
}

// DelegationReply answers DelegationRequest.
type DelegationReply struct {
	Mark Mark
	Jobs []GuestState
}

// GuestState is the state of a job at a delegate. It tells only what is stored.
type GuestState struct {
	ID string
	// Unknown is set if the delegate needs the description of the job.
	Unknown bool
	Begun   bool
	Failed  bool
	// Ended is set if nothing of the job will ever be started at the delegate for this home
	// owner.
	Ended  bool
	Grants []GrantState
}

// GrantState is the state of a grant at a delegate.
type GrantState struct {
	Number int64
	// Returned and Done list the indexes of the tasks that were returned and that are
	// done.
	Returned, Done []int
	// Failed counts, by index, the attempts of returned tasks that failed at the delegate, and
	// Checkpoints holds the last checkpoints of these tasks.
	Failed      map[int]int
	Checkpoints map[int]string
	// Never is set if the delegate's workers could never take the returned tasks.
	Never bool
	// Gang is the state of the members of a gang.
	Gang GangState
}

// waits reports whether the task is to be started by this owner: it is not done, has no run,
// and belongs to no other owner.
func (t *task) waits() bool {
	return !t.done && t.run == nil && !t.elsewhere
}

// leave gives a waiting task to another owner.
func (st *step) leave(index int) {
	t := &st.tasks[index]
	t.elsewhere = true
	st.tasksElsewhere++
	// A run of the task by this owner has to be stored anew, together with the end of the
	// grant.
	t.storedWorkers = nil
	st.waiting--
}

// take makes a task that belonged to another owner wait here.
func (st *step) take(index int) {
	st.tasks[index].elsewhere = false
	st.tasksElsewhere--
	st.waiting++
}

// validIndexes returns those of the indexes that the step has.
func (st *step) validIndexes(indexes []int) []int {
	return slices.DeleteFunc(slices.Clone(indexes), func(i int) bool { return i < 0 || i >= len(st.tasks) })
}

// failureCounts returns the number of failed attempts of those of the tasks that have any.
func (st *step) failureCounts(indexes []int) map[int]int {
	var counts map[int]int
	for _, i := range indexes {
		if n := len(st.tasks[i].failedAttempts); n > 0 {
			if counts == nil {
				counts = make(map[int]int)
			}
			counts[i] = n
		}
	}
	return counts
}

// checkpoints returns the checkpoints of those of the tasks that have one.
func (st *step) checkpoints(indexes []int) map[int]string {
	var values map[int]string
	for _, i := range st.validIndexes(indexes) {
		if value := st.tasks[i].checkpoint; value != "" {
			if values == nil {
				values = make(map[int]string)
			}
			values[i] = value
		}
	}
	return values
}

// failureRange is the number of failures of a task that a grant can account for. Failures that
// another owner reports count as negative attempts, which are unique by the grant's number.
const failureRange = 1 << 10

// addReturned adds to the tasks that the delegate returns what it says of their attempts, unless
// they were returned before.
func (st *step) addReturned(g *grant, state GrantState) {
	for _, i := range st.validIndexes(state.Returned) {
		if !slices.Contains(g.Tasks, i) {
			continue
		}
		t := &st.tasks[i]
		for n := range min(state.Failed[i], failureRange-1) {
			t.failedAttempts = addAttempt(t.failedAttempts, -(g.Number*failureRange + int64(n) + 1))
		}
		if value := state.Checkpoints[i]; value != "" && !st.phase.Gang {
			t.checkpoint = value
		}
	}
}

// isExhausted reports whether a task has failed as often as it may.
func (st *step) isExhausted(index int) bool {
	return index >= 0 && index < len(st.tasks) && !st.tasks[index].done && !st.phase.Gang &&
		len(st.tasks[index].failedAttempts) >= max(1, st.job.record.Queue.MaxAttempts)
}
