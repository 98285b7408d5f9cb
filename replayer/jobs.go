package replayer

import (
	"container/list"
	"math/bits"
	"unique"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

const (
	// maxTasks is the most tasks of one job.
	maxTasks = 100_000
	// maxText is the most bytes of a job's identity, names and reasons.
	maxText = 200
	// wordBits is the length of a word of a TaskSet.
	wordBits = 64
)

// TaskSet is a set of task indexes. Its zero value is empty, and it never
// changes.
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

// Len returns how many indexes are in the set.
func (t TaskSet) Len() int {
	n := 0
	for _, word := range t.words {
		n += bits.OnesCount64(word)
	}
	return n
}

// with returns the set with the indexes added.
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

// JobState is what the records say of one job.
type JobState struct {
	job       recorder.Job
	submitted namer.Offset
	// changed is the offset of the last record that changed the job.
	changed   namer.Offset
	cancelled bool
	finished  TaskSet
	// end is nil while the job has not ended.
	end *recorder.JobEnd
}

// Job returns the job as it was submitted.
func (j JobState) Job() recorder.Job { return j.job }

// Submitted returns the offset at which the job was accepted.
func (j JobState) Submitted() namer.Offset { return j.submitted }

// Changed returns the offset of the last record that changed the job.
func (j JobState) Changed() namer.Offset { return j.changed }

// Cancelled reports whether an operator has asked for the job's end.
func (j JobState) Cancelled() bool { return j.cancelled }

// Finished returns the indexes of the tasks that have finished.
func (j JobState) Finished() TaskSet { return j.finished }

// Ended returns how the job ended, and false if it has not.
func (j JobState) Ended() (recorder.JobEnd, bool) {
	if j.end == nil {
		return recorder.JobEnd{}, false
	}
	return *j.end, true
}

// jobTable holds the jobs in the order of their last change.
type jobTable struct {
	// byID holds the elements of order, whose values are of type JobState.
	byID  map[string]*list.Element
	order *list.List
	// ended holds the ended jobs that are still known, in the order in which
	// they ended.
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

// live returns how many jobs have not ended.
func (t *jobTable) live() int {
	return len(t.byID) - len(t.ended)
}

// put stores the job as the latest changed. A job that has ended is forgotten
// once endedLimit others have ended after it.
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
	t.forget(t.ended[0])
	t.ended = t.ended[1:]
}

func (t *jobTable) forget(id string) {
	element, ok := t.byID[id]
	if !ok {
		return
	}
	t.order.Remove(element)
	delete(t.byID, id)
}

// changed returns the jobs that changed after the offset.
func (t *jobTable) changed(since namer.Offset) []JobState {
	first := t.order.Back()
	n := 0
	for first != nil && first.Value.(JobState).changed > since {
		first = first.Prev()
		n++
	}
	found := make([]JobState, 0, n)
	for element := t.after(first); element != nil; element = element.Next() {
		found = append(found, element.Value.(JobState))
	}
	return found
}

// after returns the element that follows, or the first if there is none given.
func (t *jobTable) after(element *list.Element) *list.Element {
	if element == nil {
		return t.order.Front()
	}
	return element.Next()
}

// submit accepts a valid job whose identity is new.
func (s *State) submit(offset namer.Offset, job recorder.Job) Verdict {
	if reason := jobFault(job); reason != "" {
		return refuse(offset, "%s", reason)
	}
	if known, ok := s.jobs.get(job.ID); ok {
		return refuse(offset, "job %s was submitted at offset %d", job.ID, known.submitted)
	}
	if s.jobs.live() >= s.limits.jobs {
		return refuse(offset, "the cell is full at %d jobs", s.limits.jobs)
	}
	s.jobs.put(JobState{
		job:       intern(job),
		submitted: offset,
		changed:   offset,
	})
	return accept(offset)
}

// intern lets the job share the names that many jobs have.
func intern(job recorder.Job) recorder.Job {
	job.Name = unique.Make(job.Name).Value()
	job.Team = unique.Make(job.Team).Value()
	job.DataCentre = unique.Make(job.DataCentre).Value()
	job.Operator = unique.Make(job.Operator).Value()
	return job
}

// jobFault returns what is wrong with the job, or nothing.
func jobFault(job recorder.Job) string {
	switch {
	case job.ID == "" || job.Team == "" || job.DataCentre == "":
		return "a job needs an identity, a team and a data centre"
	case max(len(job.ID), len(job.Name), len(job.Team), len(job.DataCentre), len(job.Operator)) > maxText:
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

func (s *State) cancel(offset namer.Offset, c recorder.JobCancel) Verdict {
	j, v, ok := s.open(offset, c.Job)
	if !ok {
		return v
	}
	j.cancelled = true
	j.changed = offset
	s.jobs.put(j)
	return accept(offset)
}

// progress adds finished tasks. A batch or gang job is done with its last.
func (s *State) progress(offset namer.Offset, p recorder.JobProgress) Verdict {
	j, v, ok := s.open(offset, p.Job)
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

func (s *State) end(offset namer.Offset, e recorder.JobEnd) Verdict {
	j, v, ok := s.open(offset, e.Job)
	if !ok {
		return v
	}
	if len(e.Reason) > maxText {
		e.Reason = e.Reason[:maxText]
	}
	j.end = &e
	j.changed = offset
	s.jobs.put(j)
	return accept(offset)
}

// open returns a job that has not ended, or the refusal.
func (s *State) open(offset namer.Offset, id string) (JobState, Verdict, bool) {
	j, ok := s.jobs.get(id)
	if !ok {
		return JobState{}, refuse(offset, "there is no job %s", id), false
	}
	if j.end != nil {
		return JobState{}, refuse(offset, "job %s has ended", id), false
	}
	return j, Verdict{}, true
}
