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

// maxForgotten is the number of acknowledged starts that a worker still
// recognises, so that a start that comes late does not run again.
const maxForgotten = 10_000

// taskTable holds the tasks of one worker. All its methods take the time; none
// waits.
type taskTable struct {
	terms    terms
	worker   string
	capacity sizer.Size
	// tasks has the starts that run, and those that ended and were not
	// acknowledged.
	tasks map[namer.TaskRef]*task
	// running has the start that runs, for each task.
	running map[namer.TaskID]int
	// used is the sum of the sizes of the starts that run.
	used sizer.Size
	// forgotten has starts that were acknowledged, and order their order.
	forgotten map[namer.TaskRef]struct{}
	order     []namer.TaskRef
	// The rest is the account.
	mostUsed      sizer.Size
	overCommitted int
	doubled       int
	intervals     []Interval
}

// task is one start of a task.
type task struct {
	start   connector.Start
	state   connector.TaskState
	started time.Time
	// leaseEnd is when the task lapses unless it is renewed.
	leaseEnd time.Time
	// need is how long the task works in all, 0 for no end.
	need time.Duration
	// done is how long the task had worked at since, in the measure of need.
	done  time.Duration
	since time.Time
	// limit is the throttle, zero for none.
	limit sizer.Size
	// checkpoint is what was saved, and failure why the task failed.
	checkpoint string
	failure    string
	// interval is the index of the task's interval in the account, -1 if it
	// never ran.
	interval int
}

// refusal is an answer to a start that does not run.
type refusal struct {
	status int
	text   string
}

func newTaskTable(host connector.Host, t terms) taskTable {
	return taskTable{
		terms:     t,
		worker:    host.Name,
		capacity:  host.Capacity,
		tasks:     make(map[namer.TaskRef]*task),
		running:   make(map[namer.TaskID]int),
		forgotten: make(map[namer.TaskRef]struct{}),
	}
}

// start runs a task unless it was started before.
func (t *taskTable) start(now time.Time, start connector.Start, fails bool) *refusal {
	if _, ok := t.forgotten[start.Ref]; ok {
		return nil
	}
	if _, ok := t.tasks[start.Ref]; ok {
		return nil
	}
	if refusal := t.check(start); refusal != nil {
		return refusal
	}
	entry := t.newTask(now, start)
	t.tasks[start.Ref] = entry
	t.begin(now, entry)
	if fails {
		entry.failure = "the worker fails every task"
		t.end(now, entry, connector.TaskFailed)
	}
	return nil
}

// check refuses a start that the worker cannot run.
func (t *taskTable) check(start connector.Start) *refusal {
	if start.Lease <= 0 || start.Size.IsNegative() {
		return &refusal{
			status: http.StatusBadRequest,
			text:   "a lease without length, or a negative size",
		}
	}
	if t.terms.onlyEcho {
		return nil
	}
	if t.running[start.Ref.Task] > 0 {
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

func (t *taskTable) newTask(now time.Time, start connector.Start) *task {
	// A checkpoint that cannot be read is none.
	done, _ := time.ParseDuration(start.Checkpoint)
	return &task{
		start:    start,
		state:    connector.TaskRunning,
		started:  now,
		leaseEnd: now.Add(start.Lease),
		need:     time.Duration(float64(start.RunTime) * t.terms.runTimeFactor),
		done:     done,
		since:    now,
	}
}

func (t *taskTable) begin(now time.Time, entry *task) {
	if t.running[entry.start.Ref.Task] > 0 {
		t.doubled++
	}
	t.running[entry.start.Ref.Task]++
	t.used = t.used.Add(entry.start.Size)
	t.mostUsed = t.mostUsed.Max(t.used)
	if !t.used.Fits(t.capacity) {
		t.overCommitted++
	}
	entry.interval = len(t.intervals)
	t.intervals = append(t.intervals, Interval{
		Worker: t.worker,
		Ref:    entry.start.Ref,
		Size:   entry.start.Size,
		From:   now,
		State:  connector.TaskRunning,
	})
}

func (t *taskTable) end(at time.Time, entry *task, state connector.TaskState) {
	entry.state = state
	id := entry.start.Ref.Task
	t.running[id]--
	if t.running[id] == 0 {
		delete(t.running, id)
	}
	t.used = t.used.Sub(entry.start.Size)
	t.intervals[entry.interval].To = at
	t.intervals[entry.interval].State = state
}

// settle ends the tasks that finished or lapsed by now, each at its time.
func (t *taskTable) settle(now time.Time) {
	var due []*task
	for _, entry := range t.tasks {
		if entry.state != connector.TaskRunning {
			continue
		}
		if at, _ := t.dueAt(entry); !at.After(now) {
			due = append(due, entry)
		}
	}
	slices.SortFunc(due, func(a, b *task) int {
		atA, _ := t.dueAt(a)
		atB, _ := t.dueAt(b)
		return cmp.Or(atA.Compare(atB), cmp.Compare(a.interval, b.interval))
	})
	for _, entry := range due {
		at, state := t.dueAt(entry)
		t.end(at, entry, state)
	}
}

// dueAt returns when the task ends by itself, and how.
func (t *taskTable) dueAt(entry *task) (time.Time, connector.TaskState) {
	if entry.need <= 0 {
		return entry.leaseEnd, connector.TaskLapsed
	}
	left := float64(max(0, entry.need-entry.done)) / t.speed(entry)
	finish := entry.since.Add(time.Duration(min(left, math.MaxInt64/2)))
	if finish.After(entry.leaseEnd) {
		return entry.leaseEnd, connector.TaskLapsed
	}
	return finish, connector.TaskFinished
}

// speed returns how fast the task works under its throttle, 1 without one.
func (t *taskTable) speed(entry *task) float64 {
	limit := entry.limit.MilliCores()
	wanted := float64(entry.start.Size.MilliCores()) * t.terms.usageFactor
	if limit <= 0 || float64(limit) >= wanted {
		return 1
	}
	return float64(limit) / wanted
}

// work brings the task's progress up to now.
func (t *taskTable) work(now time.Time, entry *task) {
	entry.done += time.Duration(float64(now.Sub(entry.since)) * t.speed(entry))
	entry.since = now
}

func (t *taskTable) renew(now time.Time, lease time.Duration, refs []namer.TaskRef) {
	for _, ref := range refs {
		if entry := t.tasks[ref]; entry != nil && entry.state == connector.TaskRunning {
			entry.leaseEnd = now.Add(lease)
		}
	}
}

// acknowledge forgets ended starts.
func (t *taskTable) acknowledge(refs []namer.TaskRef) {
	for _, ref := range refs {
		entry := t.tasks[ref]
		if entry == nil || entry.state == connector.TaskRunning {
			continue
		}
		delete(t.tasks, ref)
		t.forget(ref)
	}
}

func (t *taskTable) forget(ref namer.TaskRef) {
	t.forgotten[ref] = struct{}{}
	t.order = append(t.order, ref)
	if len(t.order) > maxForgotten {
		delete(t.forgotten, t.order[0])
		t.order = t.order[1:]
	}
}

// stop ends a task. A start that is not known is held to have been stopped,
// so that it does not run if it comes later.
func (t *taskTable) stop(now time.Time, ref namer.TaskRef, checkpoint bool) {
	if _, ok := t.forgotten[ref]; ok {
		return
	}
	entry := t.tasks[ref]
	if entry == nil {
		t.tasks[ref] = &task{
			start: connector.Start{
				Ref: ref,
			},
			state:    connector.TaskStopped,
			interval: -1,
		}
		return
	}
	if entry.state != connector.TaskRunning {
		return
	}
	t.work(now, entry)
	if !checkpoint {
		t.end(now, entry, connector.TaskStopped)
		return
	}
	entry.checkpoint = entry.done.String()
	t.end(now, entry, connector.TaskCheckpointed)
}

// throttle limits a task, and reports whether it runs.
func (t *taskTable) throttle(now time.Time, ref namer.TaskRef, limit sizer.Size) bool {
	entry := t.tasks[ref]
	if entry == nil || entry.state != connector.TaskRunning {
		return false
	}
	t.work(now, entry)
	entry.limit = limit
	return true
}

// reports returns the state of each start, in a fixed order.
func (t *taskTable) reports(now time.Time) []connector.TaskReport {
	reports := make([]connector.TaskReport, 0, len(t.tasks))
	for _, entry := range t.tasks {
		reports = append(reports, t.report(now, entry))
	}
	slices.SortFunc(reports, func(a, b connector.TaskReport) int {
		return compareRefs(a.Ref, b.Ref)
	})
	return reports
}

func (t *taskTable) report(now time.Time, entry *task) connector.TaskReport {
	report := connector.TaskReport{
		Ref:        entry.start.Ref,
		State:      entry.state,
		Team:       entry.start.Team,
		Kind:       entry.start.Kind,
		Size:       entry.start.Size,
		Checkpoint: entry.checkpoint,
		Error:      entry.failure,
	}
	if entry.state == connector.TaskRunning {
		report.Usage = t.usage(now, entry)
		report.LeaseLeft = entry.leaseEnd.Sub(now)
	}
	return report
}

// usage returns what the task used a while ago.
func (t *taskTable) usage(now time.Time, entry *task) sizer.Size {
	if now.Sub(entry.started) < t.terms.usageLag {
		return sizer.Size{}
	}
	size := entry.start.Size
	return sizer.New(
		limited(scale(size.MilliCores(), t.terms.usageFactor), entry.limit.MilliCores()),
		limited(scale(size.Bytes(), t.terms.usageFactor), entry.limit.Bytes()),
		size.Accelerators(),
	)
}

func scale(amount int64, factor float64) int64 {
	return int64(float64(amount) * factor)
}

func limited(amount, limit int64) int64 {
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
