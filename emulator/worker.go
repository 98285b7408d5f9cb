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
	// Slow delays the handling of each request.
	Slow time.Duration `json:"slow,omitempty"`
	// LoseAnswers is the number of the next starts that take effect but whose
	// connection is closed without an answer. -1 means all.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// FailTasks makes each new task fail immediately.
	FailTasks bool `json:"failTasks,omitempty"`
	// Refuse refuses each start.
	Refuse bool `json:"refuse,omitempty"`
	// Leaving makes the worker report that it is leaving, and refuse each start.
	Leaving bool `json:"leaving,omitempty"`
	// Silent stops the heartbeats to the platform.
	Silent bool `json:"silent,omitempty"`
}

// Worker is a stand-in for a worker. Its tasks are timers. It is safe for
// concurrent use.
type Worker struct {
	options     options
	incarnation string

	mu     sync.Mutex
	host   connector.Host
	tasks  taskTable
	faults WorkerFaults
	// epoch is the highest epoch seen.
	epoch namer.Epoch
}

// NewWorker returns a worker without tasks. The host gives its name, location,
// address and capacity.
func NewWorker(host connector.Host, opts ...Option) *Worker {
	host.Kind = connector.KindWorker
	o := newOptions(opts)
	return &Worker{
		options:     o,
		incarnation: namer.NewIdentity(),
		host:        host,
		tasks:       newTaskTable(host, o),
	}
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Host returns the worker's current entry for the host list.
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

// Account returns the record of the starts that the worker accepted so far.
func (w *Worker) Account() Account {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks.endDueRuns(w.options.clock.Now())
	return w.tasks.account()
}

// Run sends heartbeats to the platform at the base address, such as
// "http://127.0.0.1:9000", until ctx is done. Without an address it only waits
// for ctx. Tasks end in time even if Run is not called.
func (w *Worker) Run(ctx context.Context, platform string) error {
	return register(ctx, w.options, platform, w.Host, w.silent)
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

// applyFaults applies the faults that precede the effect of a request: it waits
// for the delay Slow, and drops the connection if the worker is down or ctx is
// done.
func (w *Worker) applyFaults(ctx context.Context) {
	w.mu.Lock()
	slow := w.faults.Slow
	w.mu.Unlock()
	if !delay(ctx, w.options.clock, slow) {
		dropConnection()
	}
	w.mu.Lock()
	down := w.faults.Down
	w.mu.Unlock()
	if down {
		dropConnection()
	}
}

// fence records the highest epoch. It answers a request with a lower one with
// 412 and returns false. The caller holds mu.
func (w *Worker) fence(rw http.ResponseWriter, epoch namer.Epoch) bool {
	if epoch < w.epoch && !w.options.onlyEcho {
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
	w.applyFaults(r.Context())
	if w.start(rw, start) {
		dropConnection()
	}
}

// start starts the task or answers with an error. It reports whether the answer
// is to be lost.
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
	now := w.options.clock.Now()
	w.tasks.endDueRuns(now)
	if refusal := w.tasks.start(now, start, w.faults.FailTasks); refusal != nil {
		http.Error(rw, refusal.text, refusal.status)
		return false
	}
	return countDown(&w.faults.LoseAnswers)
}

func (w *Worker) handleRenew(rw http.ResponseWriter, r *http.Request) {
	var renewal connector.Renewal
	if !readJSON(rw, r, &renewal) {
		return
	}
	w.applyFaults(r.Context())
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fence(rw, renewal.Epoch) {
		return
	}
	now := w.options.clock.Now()
	w.tasks.endDueRuns(now)
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
	w.applyFaults(r.Context())
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fence(rw, stop.Epoch) {
		return
	}
	now := w.options.clock.Now()
	w.tasks.endDueRuns(now)
	for _, ref := range stop.Refs {
		w.tasks.stop(now, ref, stop.Checkpoint)
	}
}

func (w *Worker) handleThrottle(rw http.ResponseWriter, r *http.Request) {
	var throttle connector.Throttle
	if !readJSON(rw, r, &throttle) {
		return
	}
	w.applyFaults(r.Context())
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fence(rw, throttle.Epoch) {
		return
	}
	now := w.options.clock.Now()
	w.tasks.endDueRuns(now)
	if !w.tasks.throttle(now, throttle.Ref, throttle.Limit) {
		http.Error(rw, "no such task runs", http.StatusNotFound)
	}
}
