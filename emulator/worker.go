package emulator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
)

// WorkerFaults are the faults of a worker. The zero value has none.
type WorkerFaults struct {
	// Down closes the connection of each request before it takes effect.
	Down bool `json:"down,omitempty"`
	// Slow is how long each request waits before it is looked at.
	Slow time.Duration `json:"slow,omitempty"`
	// LoseAnswers is the number of starts to come that take effect, and whose
	// connection is closed without an answer. -1 is all of them.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// FailTasks makes each new task fail at once.
	FailTasks bool `json:"failTasks,omitempty"`
	// Refuse makes the worker refuse each start.
	Refuse bool `json:"refuse,omitempty"`
	// Leaving makes the worker say that it leaves, and refuse each start.
	Leaving bool `json:"leaving,omitempty"`
	// Silent stops the heartbeats to the platform.
	Silent bool `json:"silent,omitempty"`
}

// Worker is a stand-in for a worker. Its tasks are timers. It is safe for use
// by several goroutines.
type Worker struct {
	terms       terms
	incarnation string

	mu     sync.Mutex
	host   connector.Host
	tasks  taskTable
	faults WorkerFaults
	// epoch is the highest that was seen.
	epoch namer.Epoch
}

// NewWorker returns a worker without tasks. The host says its name, place,
// address and capacity.
func NewWorker(host connector.Host, opts ...Option) *Worker {
	host.Kind = connector.KindWorker
	t := newTerms(opts)
	return &Worker{
		terms:       t,
		incarnation: namer.NewIdentity(),
		host:        host,
		tasks:       newTaskTable(host, t),
	}
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Host returns the worker's line for the host list.
func (w *Worker) Host() connector.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	host := w.host
	host.State = connector.HostLive
	if w.faults.Leaving {
		host.State = connector.HostLeaving
	}
	return host
}

// Account returns what the worker was given so far.
func (w *Worker) Account() Account {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks.settle(w.terms.clock.Now())
	return w.tasks.account()
}

// Run registers the worker with the platform at the base address, such as
// "http://127.0.0.1:9000", until the context has ended. Without an address it
// only waits. Tasks end in time whether it runs or not.
func (w *Worker) Run(ctx context.Context, platform string) error {
	return register(ctx, w.terms, platform, w.Host, w.silent)
}

func (w *Worker) silent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.Silent || w.faults.Down
}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/start", w.handleStart)
	mux.HandleFunc("POST /v1/renew", w.handleRenew)
	mux.HandleFunc("POST /v1/stop", w.handleStop)
	mux.HandleFunc("POST /v1/throttle", w.handleThrottle)
	mux.HandleFunc("GET /v1/account", w.handleAccount)
	mux.HandleFunc("PUT /v1/faults", w.handleFaults)
	return mux
}

func (w *Worker) handleFaults(rw http.ResponseWriter, r *http.Request) {
	var faults WorkerFaults
	if readJSON(rw, r, &faults) {
		w.SetFaults(faults)
	}
}

func (w *Worker) handleAccount(rw http.ResponseWriter, r *http.Request) {
	writeJSON(rw, r, w.Account())
}

// enter applies the faults that come before a request takes effect.
func (w *Worker) enter(ctx context.Context) {
	w.mu.Lock()
	slow := w.faults.Slow
	w.mu.Unlock()
	if !delay(ctx, w.terms.clock, slow) {
		drop()
	}
	w.mu.Lock()
	down := w.faults.Down
	w.mu.Unlock()
	if down {
		drop()
	}
}

// fence refuses a lower epoch than the highest and remembers a higher one.
// The caller holds the lock.
func (w *Worker) fence(rw http.ResponseWriter, epoch namer.Epoch) bool {
	if epoch < w.epoch && !w.terms.onlyEcho {
		http.Error(rw, "a later epoch is in force", http.StatusPreconditionFailed)
		return false
	}
	w.epoch = max(w.epoch, epoch)
	return true
}

func (w *Worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	var start connector.Start
	if !readJSON(rw, r, &start) {
		return
	}
	w.enter(r.Context())
	if w.start(rw, start) {
		drop()
	}
}

// start runs the task, and reports whether the answer is lost.
func (w *Worker) start(rw http.ResponseWriter, start connector.Start) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fence(rw, start.Epoch) {
		return false
	}
	if w.faults.Refuse || w.faults.Leaving {
		http.Error(rw, "the worker takes no tasks", http.StatusConflict)
		return false
	}
	now := w.terms.clock.Now()
	w.tasks.settle(now)
	if refusal := w.tasks.start(now, start, w.faults.FailTasks); refusal != nil {
		http.Error(rw, refusal.text, refusal.status)
		return false
	}
	return takeOne(&w.faults.LoseAnswers)
}

func (w *Worker) handleRenew(rw http.ResponseWriter, r *http.Request) {
	var renewal connector.Renewal
	if !readJSON(rw, r, &renewal) {
		return
	}
	w.enter(r.Context())
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fence(rw, renewal.Epoch) {
		return
	}
	now := w.terms.clock.Now()
	w.tasks.settle(now)
	w.tasks.renew(now, renewal.Lease, renewal.Refs)
	w.tasks.acknowledge(renewal.Acknowledged)
	writeJSON(rw, r, connector.Report{
		Worker:      w.host.Name,
		Incarnation: w.incarnation,
		Epoch:       w.epoch,
		Leaving:     w.faults.Leaving,
		Capacity:    w.host.Capacity,
		Tasks:       w.tasks.reports(now),
	})
}

func (w *Worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	var stop connector.Stop
	if !readJSON(rw, r, &stop) {
		return
	}
	w.enter(r.Context())
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fence(rw, stop.Epoch) {
		return
	}
	now := w.terms.clock.Now()
	w.tasks.settle(now)
	for _, ref := range stop.Refs {
		w.tasks.stop(now, ref, stop.Checkpoint)
	}
}

func (w *Worker) handleThrottle(rw http.ResponseWriter, r *http.Request) {
	var throttle connector.Throttle
	if !readJSON(rw, r, &throttle) {
		return
	}
	w.enter(r.Context())
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fence(rw, throttle.Epoch) {
		return
	}
	now := w.terms.clock.Now()
	w.tasks.settle(now)
	if !w.tasks.throttle(now, throttle.Ref, throttle.Limit) {
		http.Error(rw, "no such task runs", http.StatusNotFound)
	}
}
