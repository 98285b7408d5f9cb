package dispatcher

import (
	"time"

	"github.com/galenacove/galenacove/namer"
)

// maxEnded is the most ended jobs that are remembered.
const maxEnded = 20_000

// stray is what holders said of a job that this home does not know: the log may
// not have been read up to the job's submission yet, or the job has ended.
type stray struct {
	// since is when the first word of it came.
	since time.Time
	// held are the holders of tasks, finished those of finished starts.
	held     map[int]string
	finished map[namer.TaskRef]string
}

type strayTable struct {
	byJob map[string]*stray
	// ended remembers the last ended jobs, order in which order they ended.
	ended map[string]struct{}
	order []string
}

func (s *strayTable) init() {
	s.byJob = make(map[string]*stray)
	s.ended = make(map[string]struct{})
}

// end remembers that a job has ended.
func (s *strayTable) end(job string) {
	if _, ok := s.ended[job]; ok {
		return
	}
	s.ended[job] = struct{}{}
	s.order = append(s.order, job)
	if len(s.order) > maxEnded {
		delete(s.ended, s.order[0])
		s.order = s.order[1:]
	}
}

func (t *tables) strayOf(job string) *stray {
	s := t.strays.byJob[job]
	if s == nil {
		s = &stray{
			since:    t.now,
			held:     make(map[int]string),
			finished: make(map[namer.TaskRef]string),
		}
		t.strays.byJob[job] = s
	}
	return s
}

func (t *tables) keepStrays(holder string, item Held) {
	s := t.strayOf(item.Job)
	for _, index := range item.Indexes {
		s.held[index] = holder
	}
}

func (t *tables) keepFinished(holder string, ref namer.TaskRef) {
	t.strayOf(ref.Task.Job).finished[ref] = holder
}

// takeStrays gives a job that became known what holders have said of it.
func (t *tables) takeStrays(j *homeJob) {
	s := t.strays.byJob[j.job.ID]
	if s == nil {
		return
	}
	delete(t.strays.byJob, j.job.ID)
	for _, index := range sorted(s.held) {
		t.heldBy(j, index, s.held[index])
	}
	for _, ref := range sortedRefs(s.finished) {
		t.finish(j, s.finished[ref], ref)
	}
	if j.gang != nil {
		t.gangChanged(j)
	}
}

// dropStrays ends what is left of a job that has ended.
func (t *tables) dropStrays(job string) {
	s := t.strays.byJob[job]
	if s == nil {
		return
	}
	delete(t.strays.byJob, job)
	for _, index := range sorted(s.held) {
		t.send(s.held[index], Withdraw{
			Job:     job,
			Indexes: []int{index},
		})
	}
	for _, ref := range sortedRefs(s.finished) {
		t.send(s.finished[ref], Settle{
			Refs: []namer.TaskRef{ref},
		})
	}
}

// tendStrays ends what belongs to no job. A task is started only after its job
// was submitted: so a job that is not known although the log was read since has
// ended.
func (t *tables) tendStrays() {
	for _, job := range sorted(t.strays.byJob) {
		s := t.strays.byJob[job]
		_, ended := t.strays.ended[job]
		if ended || t.logContact.After(s.since) {
			t.dropStrays(job)
		}
	}
}
