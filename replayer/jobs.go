package replayer

import (
	"container/list"
	"math/bits"
	"unique"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

const (
	// maxTasks is the maximum number of tasks of one job.
	maxTasks = 100_000
	// maxTextBytes is the maximum length in bytes of a job's identity, of each
	// of its names and of the reason for its end.
	maxTextBytes = 200
	// wordBits is the number of bits in a word of a TaskSet.
	wordBits = 64
)

// TaskSet is an immutable set of task indexes. Its zero value is empty.
type TaskSet struct {
	// words holds index i at bit i%64 of word i/64.
	words []uint64
}

// Has reports whether the index is in the set.
func (t TaskSet) Has(index int) bool {
	word := index / wordBits
	if index < 0 || word >= len(t.words) {
		return false
	}
	return t.words[word]&(1<<(index%wordBits)) != 0
}

// Len returns the number of indexes in the set.
func (t TaskSet) Len() int {
	n := 0
	for _, word := range t.words {
		n += bits.OnesCount64(word)
	}
	return n
}

// with returns a copy of the set with the indexes added. All must be below tasks,
// the number of tasks of the job.
func (t TaskSet) with(indexes []int, tasks int) TaskSet {
	words := make([]uint64, (tasks+wordBits-1)/wordBits)
	copy(words, t.words)
	for _, index := range indexes {
		words[index/wordBits] |= 1 << (index % wordBits)
	}
	return TaskSet{
		words: words,
	}
}

// JobState is the state of one job after the records applied so far.
type JobState struct {
	job       recorder.Job
	submitted namer.Offset
	// changed is the offset of the last record that changed the job.
	changed   namer.Offset
	cancelled bool
	finished  TaskSet
	// end is nil until the job has ended.
	end *recorder.JobEnd
}

// Job returns the job as it was submitted.
func (j JobState) Job() recorder.Job { return j.job }

// Submitted returns the offset at which the job was accepted.
func (j JobState) Submitted() namer.Offset { return j.submitted }

// Changed returns the offset of the last record that changed the job.
func (j JobState) Changed() namer.Offset { return j.changed }

// Cancelled reports whether an operator has requested that the job be cancelled.
func (j JobState) Cancelled() bool { return j.cancelled }

// Finished returns the indexes of the tasks that have finished.
func (j JobState) Finished() TaskSet { return j.finished }

// Ended returns how the job ended, or false if it has not ended.
func (j JobState) Ended() (recorder.JobEnd, bool) {
	if j.end == nil {
		return recorder.JobEnd{}, false
	}
	return *j.end, true
}

// jobTable holds the jobs, ordered by their last change.
type jobTable struct {
	// byID maps a job's identity to its element of order, whose value is a
	// JobState.
	byID  map[string]*list.Element
	order *list.List
	// ended lists the identities of the ended jobs that are still held, in the
	// order in which they ended. At most endedLimit are held.
	ended      []string
	endedLimit int
}

func newJobTable(endedLimit int) *jobTable {
	return &jobTable{
		byID:       make(map[string]*list.Element),
		order:      list.New(),
		endedLimit: endedLimit,
	}
}

func (t *jobTable) get(id string) (JobState, bool) {
	element, ok := t.byID[id]
	if !ok {
		return JobState{}, false
	}
	return element.Value.(JobState), true
}

// activeCount returns the number of jobs that have not ended.
func (t *jobTable) activeCount() int {
	return len(t.byID) - len(t.ended)
}

// put stores the job as the most recently changed. An ended job is removed once
// endedLimit more jobs have ended after it.
func (t *jobTable) put(j JobState) {
	element, known := t.byID[j.job.ID]
	if known {
		element.Value = j
		t.order.MoveToBack(element)
	} else {
		t.byID[j.job.ID] = t.order.PushBack(j)
	}
	if j.end == nil {
		return
	}
	t.ended = append(t.ended, j.job.ID)
	if len(t.ended) <= t.endedLimit {
		return
	}
	t.remove(t.ended[0])
	t.ended = t.ended[1:]
}

func (t *jobTable) remove(id string) {
	element, ok := t.byID[id]
	if !ok {
		return
	}
	t.order.Remove(element)
	delete(t.byID, id)
}

// changedSince returns the jobs that changed after the offset, in the order of
// their last change.
func (t *jobTable) changedSince(since namer.Offset) []JobState {
	first := t.order.Back()
	n := 0
	for first != nil && first.Value.(JobState).changed > since {
		first = first.Prev()
		n++
	}
	found := make([]JobState, 0, n)
	for element := t.elementAfter(first); element != nil; element = element.Next() {
		found = append(found, element.Value.(JobState))
	}
	return found
}

// elementAfter returns the element that follows the given one, or the first
// element if it is nil.
func (t *jobTable) elementAfter(element *list.Element) *list.Element {
	if element == nil {
		return t.order.Front()
	}
	return element.Next()
}

// submitJob accepts a valid job whose identity is new.
func (s *State) submitJob(offset namer.Offset, job recorder.Job) Verdict {
	if reason := validateJob(job); reason != "" {
		return refuse(offset, "%s", reason)
	}
	if known, ok := s.jobs.get(job.ID); ok {
		return refuse(offset, "job %s was submitted at offset %d", job.ID, known.submitted)
	}
	if s.jobs.activeCount() >= s.limits.jobs {
		return refuse(offset, "the cell is full at %d jobs", s.limits.jobs)
	}
	s.jobs.put(JobState{
		job:       intern(job),
		submitted: offset,
		changed:   offset,
	})
	return accept(offset)
}

// intern returns the job with the strings that many jobs share interned, to save
// memory.
func intern(job recorder.Job) recorder.Job {
	job.Name = unique.Make(job.Name).Value()
	job.Team = unique.Make(job.Team).Value()
	job.DataCentre = unique.Make(job.DataCentre).Value()
	job.Operator = unique.Make(job.Operator).Value()
	return job
}

// validateJob returns the reason why the job is invalid, or an empty string.
func validateJob(job recorder.Job) string {
	switch {
	case job.ID == "" || job.Team == "" || job.DataCentre == "":
		return "a job needs an identity, a team and a data centre"
	case max(len(job.ID), len(job.Name), len(job.Team), len(job.DataCentre), len(job.Operator)) > maxTextBytes:
		return "a name of the job is too long"
	case job.Policy != recorder.Service && job.Policy != recorder.Batch && job.Policy != recorder.Gang:
		return "a job is a service, batch or gang"
	case job.Tasks < 1 || job.Tasks > maxTasks:
		return "the number of tasks is out of range"
	case job.Size.IsNegative() || job.Size.IsZero():
		return "a task needs a size"
	case job.RunTime < 0:
		return "the run time is below zero"
	default:
		return ""
	}
}

func (s *State) cancelJob(offset namer.Offset, c recorder.JobCancel) Verdict {
	j, v, ok := s.activeJob(offset, c.Job)
	if !ok {
		return v
	}
	j.cancelled = true
	j.changed = offset
	s.jobs.put(j)
	return accept(offset)
}

// addProgress marks tasks as finished. A batch or gang job ends when all of its
// tasks have finished.
func (s *State) addProgress(offset namer.Offset, p recorder.JobProgress) Verdict {
	j, v, ok := s.activeJob(offset, p.Job)
	if !ok {
		return v
	}
	for _, index := range p.Finished {
		if index < 0 || index >= j.job.Tasks {
			return refuse(offset, "job %s has no task %d", p.Job, index)
		}
	}
	j.finished = j.finished.with(p.Finished, j.job.Tasks)
	j.changed = offset
	if j.job.Policy != recorder.Service && j.finished.Len() == j.job.Tasks {
		j.end = &recorder.JobEnd{
			Job:     p.Job,
			Outcome: recorder.Done,
		}
	}
	s.jobs.put(j)
	return accept(offset)
}

func (s *State) endJob(offset namer.Offset, e recorder.JobEnd) Verdict {
	j, v, ok := s.activeJob(offset, e.Job)
	if !ok {
		return v
	}
	if len(e.Reason) > maxTextBytes {
		e.Reason = e.Reason[:maxTextBytes]
	}
	j.end = &e
	j.changed = offset
	s.jobs.put(j)
	return accept(offset)
}

// activeJob returns a job that has not ended. If there is none, it returns the
// verdict that refuses the record, and false.
func (s *State) activeJob(offset namer.Offset, id string) (JobState, Verdict, bool) {
	j, ok := s.jobs.get(id)
	if !ok {
		return JobState{}, refuse(offset, "there is no job %s", id), false
	}
	if j.end != nil {
		return JobState{}, refuse(offset, "job %s has ended", id), false
	}
	return j, Verdict{}, true
}
