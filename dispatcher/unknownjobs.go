package dispatcher

import (
	"time"

	"github.com/galenacove/galenacove/namer"
)

// maxEndedJobs is the largest number of ended jobs that are remembered.
const maxEndedJobs = 20_000

// unknownJob keeps the reports of holders about a job that this home does not
// know: the log may not have been read up to the job's submission yet, or the
// job has ended.
type unknownJob struct {
	// firstReportAt is when the first report came.
	firstReportAt time.Time
	// holders are the holders of tasks, by index; finished are the holders of
	// finished runs.
	holders  map[int]string
	finished map[namer.TaskRef]string
}

type unknownJobTable struct {
	byJob map[string]*unknownJob
	// ended are the last ended jobs, and endOrder lists them in the order in which
	// this member learned of their end.
	ended    map[string]struct{}
	endOrder []string
}

func (s *unknownJobTable) init() {
	s.byJob = make(map[string]*unknownJob)
	s.ended = make(map[string]struct{})
}

// markEnded remembers that a job has ended.
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

// applyKeptReports applies the kept reports to a job that has become known.
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

// rejectKeptReports answers the kept reports about a job that has ended: it
// withdraws held tasks and settles finished runs.
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

// rejectReportsOfEndedJobs rejects the kept reports about jobs that have ended.
// A task is started only after its job was submitted, so a job that is still
// unknown after a log read that began after the first report has ended.
func (t *tables) rejectReportsOfEndedJobs() {
	for _, job := range sortedKeys(t.unknownJobs.byJob) {
		s := t.unknownJobs.byJob[job]
		_, ended := t.unknownJobs.ended[job]
		if ended || t.logReadSentAt.After(s.firstReportAt) {
			t.rejectKeptReports(job)
		}
	}
}
