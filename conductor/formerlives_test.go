package conductor_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

// restartingWorker is a worker whose runs are done at once. It may start again under its identity, and
// then carries out a call that was meant for its former life.
type restartingWorker struct {
	mu        sync.Mutex
	startedAt time.Time
	clockZero time.Time
	// token is the highest fencing token that this life has seen.
	token   int64
	ended   []scheduler.EndedRun
	lastEnd int64
	starts  map[scheduler.TaskRef]int
	// refused counts the calls with a lower token. lastToken and lastOrder are those of the last renewal.
	refused   int
	lastToken int64
	lastOrder scheduler.LeaseRenewal
	// late is carried out after the next start.
	late func()
}

func (w *restartingWorker) entry() scheduler.WorkerEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return scheduler.WorkerEntry{
		Ref: scheduler.WorkerRef{
			ID:      "w",
			Address: "w:1",
		},
		Service:   service,
		StartedAt: w.startedAt,
		Total:     sizer.New(8000, 16*gibibyte, 0),
	}
}

// accepts reports whether a call with the token is carried out. The caller holds mu.
func (w *restartingWorker) accepts(token int64) bool {
	if token < w.token {
		w.refused++
		return false
	}
	w.token = token
	return true
}

// restart starts the worker again under its identity.
func (w *restartingWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedAt, w.clockZero = w.startedAt.Add(time.Second), time.Now()
	w.token, w.ended, w.lastEnd = 0, nil, 0
	token, order := w.lastToken, w.lastOrder
	w.late = func() {
		if w.accepts(token) {
			w.acknowledge(order.Acknowledge)
		}
	}
}

// clock returns the reading of the worker's clock.
func (w *restartingWorker) clock() time.Duration {
	return time.Hour + time.Since(w.clockZero)
}

func (w *restartingWorker) acknowledge(number int64) {
	w.ended = slices.DeleteFunc(w.ended, func(end scheduler.EndedRun) bool { return end.Number <= number })
}

// Start implements conductor.Workers.
func (w *restartingWorker) Start(_ context.Context, token int64, order scheduler.StartTask) (scheduler.StartOutcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accepts(token) {
		return scheduler.StartSuperseded, nil
	}
	w.starts[order.Run.Task]++
	w.lastEnd++
	w.ended = append(w.ended, scheduler.EndedRun{
		Number: w.lastEnd,
		Run:    order.Run,
		End:    scheduler.EndDone,
	})
	if w.late != nil {
		w.late()
		w.late = nil
	}
	return order.DoneAt(w.clock()), nil
}

// Stop implements conductor.Workers.
func (w *restartingWorker) Stop(_ context.Context, token int64, _ scheduler.StopTask) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accepts(token) {
		return conductor.ErrSuperseded
	}
	return nil
}

// Pace implements conductor.Workers.
func (w *restartingWorker) Pace(context.Context, int64, scheduler.PaceTask) error {
	return nil
}

// RenewLease implements conductor.Workers.
func (w *restartingWorker) RenewLease(_ context.Context, token int64, order scheduler.LeaseRenewal, _ time.Duration) (scheduler.Report, error) {
	time.Sleep(5 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accepts(token) {
		return scheduler.Report{}, conductor.ErrSuperseded
	}
	w.lastToken, w.lastOrder = token, order
	w.acknowledge(order.Acknowledge)
	return scheduler.Report{
		Clock:     w.clock(),
		StartedAt: w.startedAt,
		Ended:     slices.Clone(w.ended),
	}, nil
}

// acknowledged returns the number up to which the last renewal acknowledged ends.
func (w *restartingWorker) acknowledged() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastOrder.Acknowledge
}

// TestLateAcknowledgementIsRefusedByTheNextLife guards against tasks that run twice, as a renewal that
// was meant for the worker's former life acknowledged ends of the next one, which nobody had read.
func TestLateAcknowledgementIsRefusedByTheNextLife(t *testing.T) {
	f := newFixture(t, 0)
	w := &restartingWorker{
		startedAt: time.Unix(1_700_000_000, 0),
		clockZero: time.Now(),
		starts:    make(map[scheduler.TaskRef]int),
	}
	owner := conductor.New(f.store, w, approveAll{}, partition, 1)
	owner.SetWorkers([]scheduler.WorkerEntry{w.entry()})
	f.owner = owner
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return timekeeper.Every(ctx, timekeeper.System(), 20*time.Millisecond, func(context.Context) {
			owner.ConfirmOwnership(time.Now())
		})
	})
	var runErr error
	group.Go(func() error {
		runErr = owner.Run(ctx)
		return runErr
	})
	f.submit("first", tasks(5))
	f.await("first", scheduler.Completed)
	for until := time.Now().Add(30 * time.Second); w.acknowledged() < 5; time.Sleep(time.Millisecond) {
		f.c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("not acknowledged"))
	}
	w.restart()
	f.submit("second", tasks(3))
	f.await("second", scheduler.Completed)
	stop()
	// The owner and its confirmations return the error of their context.
	_ = group.Wait()
	f.c.Check(runErr, qt.ErrorIs, context.Canceled)
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, n := range w.starts {
		f.c.Check(n, qt.Equals, 1, qt.Commentf("starts of %s", task))
	}
	f.c.Check(w.refused > 0, qt.IsTrue)
}
