package emulator

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

// maxAcknowledged is the number of acknowledged starts that a worker remembers,
// so that a delayed duplicate of a start does not run again.
const maxAcknowledged = 10_000

// taskTable holds the tasks of one worker. Its methods take the current time as
// a parameter and never wait. The caller holds the worker's lock.
type taskTable struct {
	options  options
	worker   string
	capacity sizer.Size
	// runs holds the starts that run, and those that have ended but were not
	// acknowledged.
	runs map[namer.TaskRef]*taskRun
	// runningStarts is the number of running starts of each task, at most 1
	// unless the option OnlyEcho is set.
	runningStarts map[namer.TaskID]int
	// used is the sum of the sizes of the starts that run.
	used sizer.Size
	// acknowledged holds the latest acknowledged starts, and acknowledgedOrder
	// the same starts, the oldest first.
	acknowledged      map[namer.TaskRef]struct{}
	acknowledgedOrder []namer.TaskRef
	// The fields below are those of the Account.
	mostUsed      sizer.Size
	overCommitted int
	doubled       int
	intervals     []Interval
}

// taskRun is one start of a task.
type taskRun struct {
	start     connector.Start
	state     connector.TaskState
	startedAt time.Time
	// leaseEnd is the time at which the lease lapses unless it is renewed.
	leaseEnd time.Time
	// totalWork is the run time of the task at full speed, 0 if it has no end.
	totalWork time.Duration
	// workDone is the part of totalWork that was done at workDoneAt.
	workDone   time.Duration
	workDoneAt time.Time
	// limit is the size to which the task is throttled, zero for no limit.
	limit sizer.Size
	// checkpoint is the saved progress as a duration, failure the reason why the
	// task failed.
	checkpoint string
	failure    string
	// intervalIndex is the index of the run's interval in the account, -1 if the
	// task did not run.
	intervalIndex int
}

// refusal is the answer to a start that the worker refuses.
type refusal struct {
	status int
	text   string
}

func newTaskTable(host connector.Host, o options) taskTable {
	return taskTable{
		options:       o,
		worker:        host.Name,
		capacity:      host.Capacity,
		runs:          make(map[namer.TaskRef]*taskRun),
		runningStarts: make(map[namer.TaskID]int),
		acknowledged:  make(map[namer.TaskRef]struct{}),
	}
}

// start runs a task, unless the same start was received before. With fail set,
// the task fails immediately.
func (t *taskTable) start(now time.Time, start connector.Start, fail bool) *refusal {
	if _, ok := t.acknowledged[start.Ref]; ok {
		return nil
	}
	if _, ok := t.runs[start.Ref]; ok {
		return nil
	}
	if refusal := t.checkStart(start); refusal != nil {
		return refusal
	}
	run := t.newRun(now, start)
	t.runs[start.Ref] = run
	t.beginRun(now, run)
	if fail {
		run.failure = "the worker fails every task"
		t.endRun(now, run, connector.TaskFailed)
	}
	return nil
}

// checkStart returns the refusal of a start that the worker cannot run, or nil.
func (t *taskTable) checkStart(start connector.Start) *refusal {
	if start.Lease <= 0 || start.Size.IsNegative() {
		return &refusal{
			status: http.StatusBadRequest,
			text:   "a lease without length, or a negative size",
		}
	}
	if t.options.onlyEcho {
		return nil
	}
	if t.runningStarts[start.Ref.Task] > 0 {
		return &refusal{
			status: http.StatusConflict,
			text:   "another start of the task runs",
		}
	}
	if !t.used.Add(start.Size).Fits(t.capacity) {
		return &refusal{
			status: http.StatusInsufficientStorage,
			text:   "no room",
		}
	}
	return nil
}

func (t *taskTable) newRun(now time.Time, start connector.Start) *taskRun {
	// An invalid checkpoint counts as no progress.
	workDone, _ := time.ParseDuration(start.Checkpoint)
	return &taskRun{
		start:      start,
		state:      connector.TaskRunning,
		startedAt:  now,
		leaseEnd:   now.Add(start.Lease),
		totalWork:  time.Duration(float64(start.RunTime) * t.options.runTimeFactor),
		workDone:   workDone,
		workDoneAt: now,
	}
}

func (t *taskTable) beginRun(now time.Time, run *taskRun) {
	if t.runningStarts[run.start.Ref.Task] > 0 {
		t.doubled++
	}
	t.runningStarts[run.start.Ref.Task]++
	t.used = t.used.Add(run.start.Size)
	t.mostUsed = t.mostUsed.Max(t.used)
	if !t.used.Fits(t.capacity) {
		t.overCommitted++
	}
	run.intervalIndex = len(t.intervals)
	t.intervals = append(t.intervals, Interval{
		Worker: t.worker,
		Ref:    run.start.Ref,
		Size:   run.start.Size,
		From:   now,
		State:  connector.TaskRunning,
	})
}

func (t *taskTable) endRun(at time.Time, run *taskRun, state connector.TaskState) {
	run.state = state
	id := run.start.Ref.Task
	t.runningStarts[id]--
	if t.runningStarts[id] == 0 {
		delete(t.runningStarts, id)
	}
	t.used = t.used.Sub(run.start.Size)
	t.intervals[run.intervalIndex].To = at
	t.intervals[run.intervalIndex].State = state
}

// endDueRuns ends the runs that have finished or lapsed by now, in the order of
// their ends and with the time at which each ended.
func (t *taskTable) endDueRuns(now time.Time) {
	var due []*taskRun
	for _, run := range t.runs {
		if run.state != connector.TaskRunning {
			continue
		}
		if at, _ := t.nextEnd(run); !at.After(now) {
			due = append(due, run)
		}
	}
	slices.SortFunc(due, func(a, b *taskRun) int {
		atA, _ := t.nextEnd(a)
		atB, _ := t.nextEnd(b)
		return cmp.Or(atA.Compare(atB), cmp.Compare(a.intervalIndex, b.intervalIndex))
	})
	for _, run := range due {
		at, state := t.nextEnd(run)
		t.endRun(at, run, state)
	}
}

// nextEnd returns the time at which the run will end unless its lease is renewed
// or it is stopped or throttled, and the state in which it will end.
func (t *taskTable) nextEnd(run *taskRun) (time.Time, connector.TaskState) {
	if run.totalWork <= 0 {
		return run.leaseEnd, connector.TaskLapsed
	}
	remaining := float64(max(0, run.totalWork-run.workDone)) / t.speed(run)
	finishAt := run.workDoneAt.Add(time.Duration(min(remaining, math.MaxInt64/2)))
	if finishAt.After(run.leaseEnd) {
		return run.leaseEnd, connector.TaskLapsed
	}
	return finishAt, connector.TaskFinished
}

// speed returns the run's speed under its CPU limit, 1 if the limit does not
// slow it down.
func (t *taskTable) speed(run *taskRun) float64 {
	limit := run.limit.MilliCores()
	wanted := float64(run.start.Size.MilliCores()) * t.options.usageFactor
	if limit <= 0 || float64(limit) >= wanted {
		return 1
	}
	return float64(limit) / wanted
}

// updateWorkDone brings the run's progress up to now.
func (t *taskTable) updateWorkDone(now time.Time, run *taskRun) {
	run.workDone += time.Duration(float64(now.Sub(run.workDoneAt)) * t.speed(run))
	run.workDoneAt = now
}

func (t *taskTable) renew(now time.Time, lease time.Duration, refs []namer.TaskRef) {
	for _, ref := range refs {
		if run := t.runs[ref]; run != nil && run.state == connector.TaskRunning {
			run.leaseEnd = now.Add(lease)
		}
	}
}

// acknowledge removes ended starts from runs, and thus from the reports, and
// remembers them.
func (t *taskTable) acknowledge(refs []namer.TaskRef) {
	for _, ref := range refs {
		run := t.runs[ref]
		if run == nil || run.state == connector.TaskRunning {
			continue
		}
		delete(t.runs, ref)
		t.rememberAcknowledged(ref)
	}
}

func (t *taskTable) rememberAcknowledged(ref namer.TaskRef) {
	t.acknowledged[ref] = struct{}{}
	t.acknowledgedOrder = append(t.acknowledgedOrder, ref)
	if len(t.acknowledgedOrder) > maxAcknowledged {
		delete(t.acknowledged, t.acknowledgedOrder[0])
		t.acknowledgedOrder = t.acknowledgedOrder[1:]
	}
}

// stop ends a run, with a checkpoint if asked for. An unknown start is recorded
// as stopped, so that it does not run if it arrives later.
func (t *taskTable) stop(now time.Time, ref namer.TaskRef, checkpoint bool) {
	if _, ok := t.acknowledged[ref]; ok {
		return
	}
	run := t.runs[ref]
	if run == nil {
		t.runs[ref] = &taskRun{
			start: connector.Start{
				Ref: ref,
			},
			state:         connector.TaskStopped,
			intervalIndex: -1,
		}
		return
	}
	if run.state != connector.TaskRunning {
		return
	}
	t.updateWorkDone(now, run)
	if !checkpoint {
		t.endRun(now, run, connector.TaskStopped)
		return
	}
	run.checkpoint = run.workDone.String()
	t.endRun(now, run, connector.TaskCheckpointed)
}

// throttle sets the limit of a run, and reports whether it is running.
func (t *taskTable) throttle(now time.Time, ref namer.TaskRef, limit sizer.Size) bool {
	run := t.runs[ref]
	if run == nil || run.state != connector.TaskRunning {
		return false
	}
	t.updateWorkDone(now, run)
	run.limit = limit
	return true
}

// reports returns a report for each start in runs, sorted by reference.
func (t *taskTable) reports(now time.Time) []connector.TaskReport {
	reports := make([]connector.TaskReport, 0, len(t.runs))
	for _, run := range t.runs {
		reports = append(reports, t.report(now, run))
	}
	slices.SortFunc(reports, func(a, b connector.TaskReport) int {
		return compareRefs(a.Ref, b.Ref)
	})
	return reports
}

func (t *taskTable) report(now time.Time, run *taskRun) connector.TaskReport {
	report := connector.TaskReport{
		Ref:        run.start.Ref,
		State:      run.state,
		Team:       run.start.Team,
		Kind:       run.start.Kind,
		Size:       run.start.Size,
		Checkpoint: run.checkpoint,
		Error:      run.failure,
	}
	if run.state == connector.TaskRunning {
		report.Usage = t.usage(now, run)
		report.LeaseLeft = run.leaseEnd.Sub(now)
	}
	return report
}

// usage returns the reported usage of a run: zero until the usage lag has
// passed since its start, then its constant usage under its limit.
func (t *taskTable) usage(now time.Time, run *taskRun) sizer.Size {
	if now.Sub(run.startedAt) < t.options.usageLag {
		return sizer.Size{}
	}
	size := run.start.Size
	return sizer.New(
		atMost(scale(size.MilliCores(), t.options.usageFactor), run.limit.MilliCores()),
		atMost(scale(size.Bytes(), t.options.usageFactor), run.limit.Bytes()),
		size.Accelerators(),
	)
}

func scale(amount int64, factor float64) int64 {
	return int64(float64(amount) * factor)
}

func atMost(amount, limit int64) int64 {
	if limit <= 0 {
		return amount
	}
	return min(amount, limit)
}

func compareRefs(a, b namer.TaskRef) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Attempt.Epoch, b.Attempt.Epoch),
		cmp.Compare(a.Attempt.Sequence, b.Attempt.Sequence),
		cmp.Compare(a.Attempt.Owner, b.Attempt.Owner),
	)
}
