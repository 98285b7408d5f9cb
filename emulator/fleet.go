package emulator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

// defaultRunTime is the default duration of a run in a Fleet.
const defaultRunTime = 200 * time.Millisecond

// Fleet is a stand-in for the workers of a platform, which take orders from the
// owners of partitions. Its runs are timers. It records violations: two
// concurrent runs of one task, and the start of a task that is known to be
// done. It is safe for concurrent use.
type Fleet struct {
	clock   timekeeper.Clock
	runTime func(scheduler.TaskRef) time.Duration

	mu        sync.Mutex
	createdAt time.Time
	workers   map[string]*fleetWorker
	// running maps each running task to the ID of its worker.
	running map[scheduler.TaskRef]string
	// completedOn maps each task that has ended successfully to its worker;
	// acknowledged holds the tasks whose successful end was acknowledged.
	completedOn  map[scheduler.TaskRef]*fleetWorker
	acknowledged map[scheduler.TaskRef]bool
	// violations describes the events that must not occur but did.
	violations []string
	starts     int
}

var _ conductor.Workers = (*Fleet)(nil)

type fleetWorker struct {
	entry scheduler.WorkerEntry
	// token is the highest fencing token seen.
	token int64
	// leaseEnd is the time at which the lease expires, measured as by Fleet.now.
	leaseEnd time.Duration
	runs     map[scheduler.RunRef]*fleetRun
	// ended holds the ended runs that were not acknowledged, and endNumber the
	// number of the latest end.
	ended     []scheduler.EndedRun
	endNumber int64
	// highestEnded holds, by task, the highest attempt that was stopped or has
	// ended.
	highestEnded map[scheduler.TaskRef]int64
	silent       bool
	failing      bool
	// answersToLose is the number of the next starts that take effect but whose
	// answers are lost.
	answersToLose int
	// changed is closed and replaced when a run ends.
	changed chan struct{}
}

// fleetRun holds the beginning and the planned end of a run, measured as by
// Fleet.now.
type fleetRun struct {
	startedAt, endsAt time.Duration
}

// FleetOption configures a Fleet.
type FleetOption func(*Fleet)

// RunTime sets how long a run of a task takes. The default is 200 ms.
func RunTime(runTime func(scheduler.TaskRef) time.Duration) FleetOption {
	return func(f *Fleet) {
		f.runTime = runTime
	}
}

// NewFleet returns a fleet without workers.
func NewFleet(clock timekeeper.Clock, opts ...FleetOption) *Fleet {
	f := &Fleet{
		clock: clock,
		runTime: func(scheduler.TaskRef) time.Duration {
			return defaultRunTime
		},
		createdAt:   clock.Now(),
		workers:     make(map[string]*fleetWorker),
		running:     make(map[scheduler.TaskRef]string),
		completedOn: make(map[scheduler.TaskRef]*fleetWorker),

		acknowledged: make(map[scheduler.TaskRef]bool),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Add adds a worker of a service.
func (f *Fleet) Add(id, service string, total sizer.Size) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = &fleetWorker{
		entry: scheduler.WorkerEntry{
			Ref: scheduler.WorkerRef{
				ID:      id,
				Address: id,
			},
			Service: service,
			Total:   total,
		},
		runs:         make(map[scheduler.RunRef]*fleetRun),
		highestEnded: make(map[scheduler.TaskRef]int64),
		changed:      make(chan struct{}),
	}
}

// Entries returns the directory entries of the workers, in no particular order.
func (f *Fleet) Entries() []scheduler.WorkerEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []scheduler.WorkerEntry
	for _, w := range f.workers {
		entries = append(entries, w.entry)
	}
	return entries
}

// SetSilent makes a worker unreachable, or reachable again. Its runs go on.
func (f *Fleet) SetSilent(id string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].silent = silent
}

// SetFailing sets whether a worker's runs fail when they are due.
func (f *Fleet) SetFailing(id string, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].failing = failing
}

// LoseAnswers makes a worker carry out its next n starts and lose the answers.
func (f *Fleet) LoseAnswers(id string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].answersToLose = n
}

// Violations returns descriptions of the violations so far; it is empty in a
// correct system.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Starts returns the number of runs started so far.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Running returns the number of tasks that have a run.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running)
}

// Done returns the number of tasks that have ended successfully.
func (f *Fleet) Done() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.completedOn)
}

// now returns the time since the fleet's creation, the clock of all its workers.
// The caller holds mu.
func (f *Fleet) now() time.Duration {
	return f.clock.Now().Sub(f.createdAt)
}

// acceptCall returns the worker for a call with the given fencing token, after
// ending the runs that are due there. It fails with ErrWorkerGone if there is no
// such worker, with ErrUnreachable if it is silent, and with ErrSuperseded if it
// has seen a higher token. The caller holds mu.
func (f *Fleet) acceptCall(id string, token int64) (*fleetWorker, error) {
	w := f.workers[id]
	if w == nil {
		return nil, conductor.ErrWorkerGone
	}
	f.endDueRuns(w)
	if w.silent {
		return nil, conductor.ErrUnreachable
	}
	if token < w.token {
		return nil, conductor.ErrSuperseded
	}
	w.token = token
	return w, nil
}

// endDueRuns ends the worker's runs that are due. If its lease has expired, the
// runs that would have lasted longer than the lease end as lapsed. The caller
// holds mu.
func (f *Fleet) endDueRuns(w *fleetWorker) {
	now := f.now()
	for ref, r := range w.runs {
		switch {
		case w.leaseEnd > 0 && now > w.leaseEnd && r.endsAt > w.leaseEnd:
			f.endRun(w, ref, scheduler.EndLapsed)
		case now >= r.endsAt && w.failing:
			f.endRun(w, ref, scheduler.EndFailed)
		case now >= r.endsAt:
			f.endRun(w, ref, scheduler.EndDone)
		}
	}
}

func (f *Fleet) endRun(w *fleetWorker, ref scheduler.RunRef, outcome scheduler.End) {
	delete(w.runs, ref)
	delete(f.running, ref.Task)
	w.highestEnded[ref.Task] = max(w.highestEnded[ref.Task], ref.Attempt)
	if outcome == scheduler.EndDone {
		f.completedOn[ref.Task] = w
	}
	w.endNumber++
	w.ended = append(w.ended, scheduler.EndedRun{
		Number: w.endNumber,
		Run:    ref,
		End:    outcome,
	})
	close(w.changed)
	w.changed = make(chan struct{})
}

// Start implements conductor.Workers.
func (f *Fleet) Start(_ context.Context, token int64, order scheduler.StartTask) (scheduler.StartOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.acceptCall(order.Worker.ID, token)
	switch {
	case err == conductor.ErrWorkerGone: //nolint:errorlint // acceptCall returns the bare value, never wrapped.
		return scheduler.StartWorkerGone, nil
	case err == conductor.ErrSuperseded: //nolint:errorlint // acceptCall returns the bare value, never wrapped.
		return scheduler.StartSuperseded, nil
	case err != nil:
		return scheduler.StartUnknown, err
	}
	ref := order.Run
	if _, found := w.runs[ref]; found {
		return scheduler.StartDone, nil
	}
	if ref.Attempt <= w.highestEnded[ref.Task] || order.Lease < f.now() {
		return scheduler.StartRefused, nil
	}
	if other, runs := f.running[ref.Task]; runs {
		f.violations = append(f.violations, ref.Task.String()+" runs on "+other+" and on "+order.Worker.ID)
	}
	// A task may run again if its end was not acknowledged before the lease of
	// its worker expired.
	if completer := f.completedOn[ref.Task]; f.acknowledged[ref.Task] || completer != nil && f.now() <= completer.leaseEnd {
		f.violations = append(f.violations, ref.Task.String()+" is started after it was done")
	}
	w.leaseEnd = max(w.leaseEnd, order.Lease)
	w.runs[ref] = &fleetRun{
		startedAt: f.now(),
		endsAt:    f.now() + f.runTime(ref.Task),
	}
	f.running[ref.Task] = order.Worker.ID
	f.starts++
	if w.answersToLose > 0 {
		w.answersToLose--
		return scheduler.StartUnknown, conductor.ErrUnreachable
	}
	return scheduler.StartDone, nil
}

// Stop implements conductor.Workers.
func (f *Fleet) Stop(_ context.Context, token int64, order scheduler.StopTask) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.acceptCall(order.Worker.ID, token)
	if err != nil {
		return err
	}
	w.highestEnded[order.Run.Task] = max(w.highestEnded[order.Run.Task], order.Run.Attempt)
	if _, found := w.runs[order.Run]; found {
		f.endRun(w, order.Run, scheduler.EndStopped)
	}
	return nil
}

// Pace implements conductor.Workers.
func (f *Fleet) Pace(_ context.Context, token int64, order scheduler.PaceTask) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.acceptCall(order.Worker.ID, token)
	return err
}

// RenewLease implements conductor.Workers.
func (f *Fleet) RenewLease(ctx context.Context, token int64, order scheduler.LeaseRenewal, wait time.Duration) (scheduler.Report, error) {
	deadline := f.clock.Now().Add(wait)
	for {
		report, pause, changed, err := f.renewOnce(token, order)
		remaining := deadline.Sub(f.clock.Now())
		if err != nil || len(report.Ended) > 0 || remaining <= 0 {
			return report, err
		}
		timer := f.clock.NewTimer(min(remaining, pause))
		select {
		case <-timer.C():
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return scheduler.Report{}, conductor.ErrUnreachable
		}
		timer.Stop()
	}
}

// renewOnce renews the worker's lease. It returns the report, how long to wait
// before the next call, and a channel that is closed when a run ends.
func (f *Fleet) renewOnce(token int64, order scheduler.LeaseRenewal) (scheduler.Report, time.Duration, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.acceptCall(order.Worker.ID, token)
	if err != nil {
		return scheduler.Report{}, 0, nil, err
	}
	w.leaseEnd = max(w.leaseEnd, order.Lease)
	w.ended = slices.DeleteFunc(w.ended, func(endedRun scheduler.EndedRun) bool {
		if endedRun.Number > order.Acknowledge {
			return false
		}
		if endedRun.End == scheduler.EndDone {
			f.acknowledged[endedRun.Run.Task] = true
		}
		return true
	})
	now := f.now()
	report := scheduler.Report{
		Clock: now,
		Ended: slices.Clone(w.ended),
	}
	pause := time.Second
	for ref, r := range w.runs {
		pause = min(pause, r.endsAt-now)
		report.Active = append(report.Active, scheduler.ActiveRun{
			Run:     ref,
			Percent: int(100 * (now - r.startedAt) / max(1, r.endsAt-r.startedAt)),
		})
	}
	return report, max(pause, time.Millisecond), w.changed, nil
}
