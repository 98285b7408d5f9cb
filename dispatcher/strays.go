package dispatcher

import (
	"time"

	"github.com/galenacove/galenacove/namer"
)

// maxEnded is the most ended jobs that are remembered.
const maxEndedJobs = 20_000

// stray is what holders said of a job that this home does not know: the log may
// not have been read up to the job's submission yet, or the job has ended.
type unknownJob struct {
	// since is when the first word of it came.
	firstReportAt time.Time
	// held are the holders of tasks, finished those of finished starts.
	holders  map[int]string
	finished map[namer.TaskRef]string
}

type unknownJobTable struct {
	byJob map[string]*unknownJob
	// ended remembers the last ended jobs, order in which order they ended.
	ended    map[string]struct{}
	endOrder []string
}

func (s *unknownJobTable) init() {
	s.byJob = make(map[string]*unknownJob)
	s.ended = make(map[string]struct{})
}

// end remembers that a job has ended.
func (s *unknownJobTable) markEnded(job string) {
	if _, ok := s.ended[job]; ok {
		return
	}
	s.ended[job] = struct{}{}
	s.endOrder = append(s.endOrder, job)
	if len(s.endOrder) > maxEndedJobs {
		delete(s.ended, s.endOrder[0])
		s.endOrder = s.endOrder[1:]
	}
}

func (t *tables) unknownJobOf(job string) *unknownJob {
	s := t.unknownJobs.byJob[job]
	if s == nil {
		s = &unknownJob{
			firstReportAt: t.now,
			holders:       make(map[int]string),
			finished:      make(map[namer.TaskRef]string),
		}
		t.unknownJobs.byJob[job] = s
	}
	return s
}

func (t *tables) keepHeldReport(holder string, item Held) {
	s := t.unknownJobOf(item.Job)
	for _, index := range item.Indexes {
		s.holders[index] = holder
	}
}

func (t *tables) keepFinishedReport(holder string, ref namer.TaskRef) {
	t.unknownJobOf(ref.Task.Job).finished[ref] = holder
}

// takeStrays gives a job that became known what holders have said of it.
func (t *tables) applyKeptReports(j *homeJob) {
	s := t.unknownJobs.byJob[j.job.ID]
	if s == nil {
		return
	}
	delete(t.unknownJobs.byJob, j.job.ID)
	for _, index := range sortedKeys(s.holders) {
		t.setHolder(j, index, s.holders[index])
	}
	for _, ref := range sortedRefs(s.finished) {
		t.finishTask(j, s.finished[ref], ref)
	}
	if j.gang != nil {
		t.updateGang(j)
	}
}

// dropStrays ends what is left of a job that has ended.
func (t *tables) rejectKeptReports(job string) {
	s := t.unknownJobs.byJob[job]
	if s == nil {
		return
	}
	delete(t.unknownJobs.byJob, job)
	for _, index := range sortedKeys(s.holders) {
		t.send(s.holders[index], Withdraw{
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
func (t *tables) rejectReportsOfEndedJobs() {
	for _, job := range sortedKeys(t.unknownJobs.byJob) {
		s := t.unknownJobs.byJob[job]
		_, ended := t.unknownJobs.ended[job]
		if ended || t.logReadSentAt.After(s.firstReportAt) {
			t.rejectKeptReports(job)
		}
	}
}
