package placer

import (
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
)

type taskRow struct {
	Task
	attempt namer.Attempt
	state   TaskState
	class   int32
	// worker is the worker on which the task has capacity allocated or claimed,
	// none if there is none.
	worker int32
	// next and prev link the tasks of a worker, if the task has capacity allocated
	// there, or the waiting tasks of a class, if the task is pending.
	next int32
	prev int32
	// allocated is the capacity allocated to the task on its worker, which counts
	// towards the team's share.
	allocated sizer.Size
	// claim is the capacity claimed for the task in StateClaimed.
	claim sizer.Size
	// usage is the last observed usage of the task.
	usage sizer.Size
	// timer is the serial number of the timer that wakes the task at wakeTime.
	timer    uint64
	wakeTime time.Time
	// since is the time at which the task began to wait, or was started.
	since time.Time
	// failures and lapses count the runs that failed, and those whose lease
	// lapsed.
	failures int
	lapses   int
	// cancelled is set for a task that is forgotten once it has certainly ended.
	cancelled bool
	// externalGang is set for a task of a gang that the caller tracks, see
	// Reserve: the placer forgets the task once it ends.
	externalGang bool
	// duplicate is set for a second run of a task that already runs. The row is
	// not in taskTable.byID.
	duplicate bool
	// overflowed reports that an Overflow was returned since the task began to
	// wait.
	overflowed bool
	// throttled reports that the task was limited to its allocation.
	throttled bool
	// probe reports that the run is the probe of its worker.
	probe bool
}

func (t *taskRow) ref() namer.TaskRef {
	return namer.TaskRef{
		Task:    t.id,
		Attempt: t.attempt,
	}
}

// preemptible reports whether urgent work may preempt the task.
func (t *taskRow) preemptible() bool {
	if t.urgent {
		return false
	}
	switch t.policy.(type) {
	case BatchPolicy:
		return t.state == StateStarting || t.state == StateRunning
	default:
		return false
	}
}

type taskTable struct {
	rows       []taskRow
	unused     []int32
	byID       map[namer.TaskID]int32
	duplicates map[namer.TaskRef]int32
	// submissionOrder lists pending tasks by submission. Only first-fit uses it.
	submissionOrder []int32
}

func (t *taskTable) init() {
	t.byID = make(map[namer.TaskID]int32)
	t.duplicates = make(map[namer.TaskRef]int32)
}

func (t *taskTable) add(task Task) int32 {
	row := taskRow{
		Task:   task,
		class:  none,
		worker: none,
		next:   none,
		prev:   none,
	}
	if n := len(t.unused); n > 0 {
		i := t.unused[n-1]
		t.unused = t.unused[:n-1]
		t.rows[i] = row
		return i
	}
	t.rows = append(t.rows, row)
	return int32(len(t.rows) - 1)
}

// find returns the row of a run, and false if the run is neither the current one
// of its task nor a duplicate.
func (t *taskTable) find(ref namer.TaskRef) (int32, bool) {
	if i, ok := t.byID[ref.Task]; ok && t.rows[i].state.holdsCapacity() && t.rows[i].attempt == ref.Attempt {
		return i, true
	}
	i, ok := t.duplicates[ref]
	return i, ok
}

// transition is the only place where the state of a task changes. It reports
// whether the event is allowed in the task's state, and updates the sums of the
// worker that depend on the state.
func (p *Placer) transition(i int32, e event) bool {
	row := &p.tasks.rows[i]
	to, ok := row.state.next(e)
	if p.settings.fault == faultTransition && row.state == StateStopping && e == eventStarted {
		to, ok = StateRunning, true
	}
	if !ok {
		return false
	}
	if to == row.state {
		return true
	}
	p.subtractStateSums(i)
	row.state = to
	p.addStateSums(i)
	return true
}

// addStateSums adds the task's allocation to the sums of its worker that depend
// on its state.
func (p *Placer) addStateSums(i int32) {
	row := &p.tasks.rows[i]
	if row.worker == none || !row.state.holdsCapacity() {
		return
	}
	w := &p.workers.rows[row.worker]
	if row.state == StateStopping {
		w.stopping = w.stopping.Add(row.allocated)
	}
	if row.preemptible() {
		w.preemptible = w.preemptible.Add(row.allocated)
	}
}

// subtractStateSums reverts addStateSums.
func (p *Placer) subtractStateSums(i int32) {
	row := &p.tasks.rows[i]
	if row.worker == none || !row.state.holdsCapacity() {
		return
	}
	w := &p.workers.rows[row.worker]
	if row.state == StateStopping {
		w.stopping = w.stopping.Sub(row.allocated)
	}
	if row.preemptible() {
		w.preemptible = w.preemptible.Sub(row.allocated)
	}
}

// allocate allocates capacity on a worker to the task and applies the event to
// its state.
func (p *Placer) allocate(i, worker int32, size sizer.Size, e event) {
	row := &p.tasks.rows[i]
	w := &p.workers.rows[worker]
	if !p.transition(i, e) {
		return
	}
	row.worker = worker
	row.allocated = size
	row.next = w.firstTask
	row.prev = none
	if w.firstTask != none {
		p.tasks.rows[w.firstTask].prev = i
	}
	w.firstTask = i
	w.used = w.used.Add(size)
	p.charge(i, size)
	p.addStateSums(i)
	p.updateAvailable(worker)
}

// release frees the capacity allocated to the task. The caller changes the
// task's state immediately afterwards.
func (p *Placer) release(i int32) {
	row := &p.tasks.rows[i]
	w := &p.workers.rows[row.worker]
	p.subtractStateSums(i)
	if row.prev == none {
		w.firstTask = row.next
	} else {
		p.tasks.rows[row.prev].next = row.next
	}
	if row.next != none {
		p.tasks.rows[row.next].prev = row.prev
	}
	w.used = w.used.Sub(row.allocated)
	w.observed = w.observed.Sub(row.usage)
	p.discharge(i, row.allocated)
	worker := row.worker
	row.worker = none
	row.next = none
	row.prev = none
	row.allocated = sizer.Size{}
	row.usage = sizer.Size{}
	row.throttled = false
	p.updateAvailable(worker)
	p.markFreed(worker)
}

// Submit adds tasks that wait for capacity. A task that is already known is
// left unchanged. The tasks of one job under GangPolicy start together.
func (p *Placer) Submit(tasks ...Task) {
	now := p.clock.Now()
	for _, task := range tasks {
		if _, ok := p.tasks.byID[task.id]; ok {
			continue
		}
		i := p.tasks.add(task)
		p.tasks.byID[task.id] = i
		p.addToClass(i)
		p.transition(i, eventSubmit)
		p.enqueueTask(i, now)
	}
}

// Cancel ends tasks: those that wait are forgotten, those that may run are
// asked to stop. The cost is proportional to the number of tasks given.
func (p *Placer) Cancel(ids ...namer.TaskID) {
	for _, id := range ids {
		if i, ok := p.tasks.byID[id]; ok {
			p.cancel(i)
		}
	}
}

func (p *Placer) cancel(i int32) {
	row := &p.tasks.rows[i]
	row.cancelled = true
	switch row.state {
	case StatePending:
		p.dequeueTask(i)
		p.forget(i)
	case StateBackoff:
		p.forget(i)
	case StateClaimed:
		p.revertClaim(i)
		p.forget(i)
	case StateReserved:
		p.release(i)
		p.forget(i)
	case StateStarting, StateRunning, StateUnknown, StateStopping:
		p.stop(i, false)
	case StateNone:
	}
}

// stop asks a task to end, after saving its work if checkpoint is set.
func (p *Placer) stop(i int32, checkpoint bool) {
	if !p.transition(i, eventStop) {
		return
	}
	row := &p.tasks.rows[i]
	p.decisions = append(p.decisions, Preempt{
		ref:        row.ref(),
		worker:     p.workers.rows[row.worker].name,
		checkpoint: checkpoint,
	})
	if checkpoint {
		p.wakeAt(i, p.clock.Now().Add(p.settings.checkpointTimeout))
	}
}

// forget removes a task that has no capacity allocated or claimed.
func (p *Placer) forget(i int32) {
	row := &p.tasks.rows[i]
	p.transition(i, eventForget)
	if row.duplicate {
		delete(p.tasks.duplicates, row.ref())
	} else {
		delete(p.tasks.byID, row.id)
	}
	p.removeFromClass(i)
	*row = taskRow{
		class:  none,
		worker: none,
	}
	p.tasks.unused = append(p.tasks.unused, i)
}

// Started reports that the worker has started the run.
func (p *Placer) Started(ref namer.TaskRef) {
	if i, ok := p.tasks.find(ref); ok && p.transition(i, eventStarted) {
		p.workers.rows[p.tasks.rows[i].worker].health.refusals = 0
		p.drainTask(i)
	}
}

// Ended reports that a run has certainly ended, which frees its capacity. The
// report is ignored if the run is neither the task's current one nor an adopted
// duplicate.
func (p *Placer) Ended(ref namer.TaskRef, outcome Outcome) {
	i, ok := p.tasks.find(ref)
	if !ok {
		return
	}
	p.recordOutcome(i, outcome)
	p.release(i)
	row := &p.tasks.rows[i]
	if row.cancelled || row.externalGang || row.duplicate {
		p.forget(i)
		return
	}
	p.stopRestOfGang(i, outcome)
	switch outcome {
	case Finished:
		p.recordFinish(i)
	case Failed:
		row.failures++
		p.classes.rows[row.class].failedRuns++
		p.retry(i)
	case Lapsed:
		row.lapses++
		p.retry(i)
	case Refused:
		p.retryAfter(i, p.jitter(p.settings.backoff))
	case Stopped, Checkpointed:
		p.retryAfter(i, 0)
	}
}

func (p *Placer) recordFinish(i int32) {
	row := &p.tasks.rows[i]
	p.classes.rows[row.class].finishedRuns++
	switch row.policy.(type) {
	case ServicePolicy:
		p.retryAfter(i, p.jitter(p.settings.backoff))
	default:
		p.forget(i)
	}
}

// retry makes a task that failed or whose lease lapsed wait for another run,
// unless its retries are exhausted.
func (p *Placer) retry(i int32) {
	row := &p.tasks.rows[i]
	if p.settings.fault == faultLoseRetry {
		p.forget(i)
		return
	}
	tries := row.failures + row.lapses
	if reason, retriesExhausted := p.retriesExhausted(i); retriesExhausted {
		p.giveUp(i, reason)
		return
	}
	wait := p.settings.maxBackoff
	if shift := tries - 1; shift < maxBackoffShift {
		wait = min(wait, p.settings.backoff<<shift)
	}
	p.retryAfter(i, p.jitter(wait))
}

// giveUp gives up a task and the rest of its gang.
func (p *Placer) giveUp(i int32, reason string) {
	c := p.tasks.rows[i].class
	gang := p.classes.rows[c].key.policyKind == kindGang
	p.decisions = append(p.decisions, GiveUp{
		task:   p.tasks.rows[i].Task,
		reason: reason,
	})
	p.forget(i)
	if gang && p.classes.rows[c].live > 0 {
		p.giveUpRestOfGang(c, reason)
	}
}

// retryAfter makes a task whose run has ended wait for another one, after the
// given delay.
func (p *Placer) retryAfter(i int32, wait time.Duration) {
	now := p.clock.Now()
	p.transition(i, eventRetry)
	p.tasks.rows[i].overflowed = false
	if wait <= 0 {
		p.enqueueTask(i, now)
		return
	}
	p.transition(i, eventDelay)
	p.tasks.rows[i].since = now
	p.wakeAt(i, now.Add(wait))
}

// jitter returns a random duration of at least d/2 and less than 3d/2.
func (p *Placer) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(p.random.Int64N(int64(d)))
}

func (p *Placer) adopt(worker string, task Task, ref namer.TaskRef, running connector.TaskReport) {
	w, ok := p.workers.byName[worker]
	if !ok {
		return
	}
	allocation := running.Size.Max(task.size)
	if i, known := p.tasks.byID[ref.Task]; known {
		row := &p.tasks.rows[i]
		switch {
		case !row.state.holdsCapacity():
			p.stopWaiting(i)
			p.allocateAdopted(i, w, ref, allocation)
			return
		case row.attempt == ref.Attempt:
			p.transition(i, eventAdopt)
			return
		default:
			p.adoptDuplicate(i, w, task, ref, allocation)
			return
		}
	}
	i := p.tasks.add(task)
	p.tasks.byID[task.id] = i
	p.tasks.rows[i].externalGang = kindOf(task.policy) == kindGang
	p.addToClass(i)
	p.allocateAdopted(i, w, ref, allocation)
}

// stopWaiting removes a waiting task from its queue, or gives up its claim.
func (p *Placer) stopWaiting(i int32) {
	if c := p.tasks.rows[i].class; p.classes.rows[c].gangClaim {
		p.dropGangClaim(c)
	}
	switch p.tasks.rows[i].state {
	case StatePending:
		p.dequeueTask(i)
	case StateClaimed:
		p.revertClaim(i)
	default:
	}
}

// allocateAdopted allocates capacity to an adopted run.
func (p *Placer) allocateAdopted(i, worker int32, ref namer.TaskRef, size sizer.Size) {
	row := &p.tasks.rows[i]
	row.attempt = ref.Attempt
	row.since = p.clock.Now()
	p.allocate(i, worker, size, eventAdopt)
	p.drainTask(i)
}

// adoptDuplicate takes over a second run of a task and stops it. The first run is
// kept, since its lease is the one that the caller renews.
func (p *Placer) adoptDuplicate(other, worker int32, task Task, ref namer.TaskRef, size sizer.Size) {
	if _, known := p.tasks.duplicates[ref]; known {
		return
	}
	i := p.tasks.add(task)
	row := &p.tasks.rows[i]
	row.duplicate = true
	row.class = p.tasks.rows[other].class
	p.classes.rows[row.class].live++
	p.tasks.duplicates[ref] = i
	p.allocateAdopted(i, worker, ref, size)
	p.stop(i, false)
}
