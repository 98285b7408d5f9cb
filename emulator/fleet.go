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

// defaultLength is how long a run of a Fleet takes.
const defaultLength = 200 * time.Millisecond

// Fleet stands for the workers of a platform that obey owners of partitions.
// Its runs are timers. It checks what no worker may see: more runs than fit,
// and two runs of one task at a time. It is safe for use by several goroutines.
type Fleet struct {
	clock  timekeeper.Clock
	length func(scheduler.TaskRef) time.Duration

	mu      sync.Mutex
	began   time.Time
	workers map[string]*fleetWorker
	// running holds the worker of each task that is at work.
	running map[scheduler.TaskRef]string
	// done holds the worker of each task that has ended well, and acknowledged
	// the tasks whose end was acknowledged.
	done         map[scheduler.TaskRef]*fleetWorker
	acknowledged map[scheduler.TaskRef]bool
	// broken holds what was seen and must not be.
	broken []string
	starts int
}

var _ conductor.Workers = (*Fleet)(nil)

type fleetWorker struct {
	entry  scheduler.WorkerEntry
	token  int64
	lease  time.Duration
	runs   map[scheduler.RunRef]*fleetRun
	ended  []scheduler.EndedRun
	number int64
	// highest is the highest attempt that was stopped or has ended, by task.
	highest map[scheduler.TaskRef]int64
	silent  bool
	failing bool
	// lost is how many answers to starts are lost after their effect.
	lost    int
	changed chan struct{}
}

type fleetRun struct {
	began, ends time.Duration
}

// FleetOption changes how a Fleet works.
type FleetOption func(*Fleet)

// RunLength sets how long a run of a task takes. The default is 200 ms.
func RunLength(length func(scheduler.TaskRef) time.Duration) FleetOption {
	return func(f *Fleet) {
		f.length = length
	}
}

// NewFleet returns a fleet without workers.
func NewFleet(clock timekeeper.Clock, opts ...FleetOption) *Fleet {
	f := &Fleet{
		clock: clock,
		length: func(scheduler.TaskRef) time.Duration {
			return defaultLength
		},
		began:   clock.Now(),
		workers: make(map[string]*fleetWorker),
		running: make(map[scheduler.TaskRef]string),
		done:    make(map[scheduler.TaskRef]*fleetWorker),

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
		runs:    make(map[scheduler.RunRef]*fleetRun),
		highest: make(map[scheduler.TaskRef]int64),
		changed: make(chan struct{}),
	}
}

// Entries returns what the directory says of the workers.
func (f *Fleet) Entries() []scheduler.WorkerEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []scheduler.WorkerEntry
	for _, w := range f.workers {
		entries = append(entries, w.entry)
	}
	return entries
}

// SetSilent has a worker answer nothing, and run on.
func (f *Fleet) SetSilent(id string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].silent = silent
}

// SetFailing has a worker fail all that it starts.
func (f *Fleet) SetFailing(id string, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].failing = failing
}

// LoseAnswers has a worker carry out the next n starts without an answer.
func (f *Fleet) LoseAnswers(id string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].lost = n
}

// Broken returns what was seen and must not be.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// Starts counts the runs so far, and Done the tasks that have ended well.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Done counts the tasks that have ended well.
func (f *Fleet) Done() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.done)
}

// now is the clock of all workers. The caller holds mu.
func (f *Fleet) now() time.Duration {
	return f.clock.Now().Sub(f.began)
}

// worker returns a worker that answers, after what is due there has happened.
// The caller holds mu.
func (f *Fleet) worker(id string, token int64) (*fleetWorker, error) {
	w := f.workers[id]
	if w == nil {
		return nil, conductor.ErrWorkerGone
	}
	f.advance(w)
	if w.silent {
		return nil, conductor.ErrUnreachable
	}
	if token < w.token {
		return nil, conductor.ErrSuperseded
	}
	w.token = token
	return w, nil
}

// advance ends the runs that are due, and all where the lease has run out. The
// caller holds mu.
func (f *Fleet) advance(w *fleetWorker) {
	now := f.now()
	for ref, r := range w.runs {
		switch {
		case w.lease > 0 && now > w.lease && r.ends > w.lease:
			f.end(w, ref, scheduler.EndLapsed)
		case now >= r.ends && w.failing:
			f.end(w, ref, scheduler.EndFailed)
		case now >= r.ends:
			f.end(w, ref, scheduler.EndDone)
		}
	}
}

func (f *Fleet) end(w *fleetWorker, ref scheduler.RunRef, how scheduler.End) {
	delete(w.runs, ref)
	delete(f.running, ref.Task)
	w.highest[ref.Task] = max(w.highest[ref.Task], ref.Attempt)
	if how == scheduler.EndDone {
		f.done[ref.Task] = w
	}
	w.number++
	w.ended = append(w.ended, scheduler.EndedRun{
		Number: w.number,
		Run:    ref,
		End:    how,
	})
	close(w.changed)
	w.changed = make(chan struct{})
}

// Start implements conductor.Workers.
func (f *Fleet) Start(_ context.Context, token int64, order scheduler.StartTask) (scheduler.StartOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.worker(order.Worker.ID, token)
	switch {
	case err == conductor.ErrWorkerGone: //nolint:errorlint // The fleet's own value, never wrapped.
		return scheduler.StartWorkerGone, nil
	case err == conductor.ErrSuperseded: //nolint:errorlint // The fleet's own value, never wrapped.
		return scheduler.StartSuperseded, nil
	case err != nil:
		return scheduler.StartUnknown, err
	}
	ref := order.Run
	if _, there := w.runs[ref]; there {
		return scheduler.StartDone, nil
	}
	if ref.Attempt <= w.highest[ref.Task] || order.Lease < f.now() {
		return scheduler.StartRefused, nil
	}
	if other, runs := f.running[ref.Task]; runs {
		f.broken = append(f.broken, ref.Task.String()+" runs on "+other+" and on "+order.Worker.ID)
	}
	// An end that nobody had heard of when the lease ran out may be repeated.
	if before := f.done[ref.Task]; f.acknowledged[ref.Task] || before != nil && f.now() <= before.lease {
		f.broken = append(f.broken, ref.Task.String()+" is started after it was done")
	}
	w.lease = max(w.lease, order.Lease)
	w.runs[ref] = &fleetRun{
		began: f.now(),
		ends:  f.now() + f.length(ref.Task),
	}
	f.running[ref.Task] = order.Worker.ID
	f.starts++
	if w.lost > 0 {
		w.lost--
		return scheduler.StartUnknown, conductor.ErrUnreachable
	}
	return scheduler.StartDone, nil
}

// Stop implements conductor.Workers.
func (f *Fleet) Stop(_ context.Context, token int64, order scheduler.StopTask) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.worker(order.Worker.ID, token)
	if err != nil {
		return err
	}
	w.highest[order.Run.Task] = max(w.highest[order.Run.Task], order.Run.Attempt)
	if _, there := w.runs[order.Run]; there {
		f.end(w, order.Run, scheduler.EndStopped)
	}
	return nil
}

// Pace implements conductor.Workers.
func (f *Fleet) Pace(_ context.Context, token int64, order scheduler.PaceTask) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.worker(order.Worker.ID, token)
	return err
}

// Hold implements conductor.Workers.
func (f *Fleet) Hold(ctx context.Context, token int64, order scheduler.HoldOrder, wait time.Duration) (scheduler.Report, error) {
	deadline := f.clock.Now().Add(wait)
	for {
		report, next, changed, err := f.hold(token, order)
		left := deadline.Sub(f.clock.Now())
		if err != nil || len(report.Ended) > 0 || left <= 0 {
			return report, err
		}
		timer := f.clock.NewTimer(min(left, next))
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

// hold renews the lease once. It returns the report, and when to look again.
func (f *Fleet) hold(token int64, order scheduler.HoldOrder) (scheduler.Report, time.Duration, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.worker(order.Worker.ID, token)
	if err != nil {
		return scheduler.Report{}, 0, nil, err
	}
	w.lease = max(w.lease, order.Lease)
	w.ended = slices.DeleteFunc(w.ended, func(row scheduler.EndedRun) bool {
		if row.Number > order.Acknowledge {
			return false
		}
		if row.End == scheduler.EndDone {
			f.acknowledged[row.Run.Task] = true
		}
		return true
	})
	now := f.now()
	report := scheduler.Report{
		Clock: now,
		Ended: slices.Clone(w.ended),
	}
	next := time.Second
	for ref, r := range w.runs {
		next = min(next, r.ends-now)
		report.Active = append(report.Active, scheduler.ActiveRun{
			Run:     ref,
			Percent: int(100 * (now - r.began) / max(1, r.ends-r.began)),
		})
	}
	return report, max(next, time.Millisecond), w.changed, nil
}
