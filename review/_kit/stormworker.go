package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// checkpointEvery is the work after which a run has a new checkpoint.
	checkpointEvery = 500 * time.Millisecond
	// restoreTakes is the time that a run takes to resume from a checkpoint.
	restoreTakes = 100 * time.Millisecond
	// reapEvery is the precision of ends.
	reapEvery = 10 * time.Millisecond
)

// workerMode is what a worker does to the calls that it gets.
type workerMode struct {
	// silent calls are not carried out, and get no answer.
	silent bool
	// lost calls are carried out, and get no answer.
	lost bool
	// late is the time after which a call is carried out. It gets no answer.
	late time.Duration
	// grey is the share of the starts that are answered with 503.
	grey float64
	// mute: the worker does not write to the directory.
	mute bool
}

// worker is a stand-in for one life of a minion, as PROTOCOL.md and demands/LATER.md have
// it, which runs what the ledger knows of a task.
type worker struct {
	id, service, addr string
	label, rack       string
	cpu               int
	guards            bool
	// rate is the speed of the worker's clock.
	rate   float64
	born   time.Time
	storm  *storm
	server *http.Server
	gone   chan struct{}

	// deadline is the end of the lease, on the worker's clock in milliseconds.
	deadline atomic.Int64

	mu       sync.Mutex
	dead     bool
	draining time.Time
	mode     workerMode
	fence    int64
	runs     map[string]*workerRun
	// highest holds, by task, the highest attempt that was stopped or has ended.
	highest  map[string]int64
	ends     []workerEnd
	lastEnd  int64
	acked    int64
	lapses   int
	changed  chan struct{}
	sequence int64
}

type workerRun struct {
	task    string
	attempt int64
	phase   stormPhase
	started time.Time
	// resumed is the share of the work that was done before, and failsAfter the time after
	// which the run fails, 0 if it does not.
	resumed    float64
	failsAfter time.Duration
	saved      string
	savedAt    time.Time
	stopped    bool
}

type workerEnd struct {
	number       int64
	task         string
	attempt      int64
	how, saved   string
	lapsesBefore int
}

// stormOrder is the body of a call to a worker.
type stormOrder struct {
	order
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
}

// startWorker starts a life of a worker at the address, or at a free one if that is empty.
func (s *storm) startWorker(service, id, addr, rack string) *worker {
	w := &worker{
		id:      id,
		service: service,
		label:   "kind-" + service,
		rack:    rack,
		cpu:     16000,
		guards:  isLab(service),
		rate:    1,
		born:    time.Now(),
		storm:   s,
		gone:    make(chan struct{}),
		runs:    make(map[string]*workerRun),
		highest: make(map[string]int64),
		changed: make(chan struct{}),
	}
	if rand.N(3) == 0 {
		w.rate = 0.98
	}
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		s.rec.printf("worker %s: cannot listen at %s: %v", id, addr, err)
		if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			cannotRun("listen for a worker", err)
		}
	}
	w.addr = listener.Addr().String()
	w.server = &http.Server{
		Handler: w,
	}
	// Serve returns when the life ends.
	s.background.Go(func() error {
		_ = w.server.Serve(listener)
		return nil
	})
	s.network.up(w.addr)
	s.background.Go(func() error {
		w.beat()
		return nil
	})
	s.background.Go(func() error {
		w.reap()
		return nil
	})
	s.rec.printf("worker %s: up at %s, service %s, born %d", id, w.addr, service, w.born.UnixMilli())
	return w
}

func (w *worker) clock() int64 {
	return int64(float64(time.Since(w.born)) * w.rate / float64(time.Millisecond))
}

func (w *worker) setMode(mode workerMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = mode
}

// beat writes the worker's entry in the directory.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		w.sequence++
		entry := map[string]any{
			"service": w.service, "address": w.addr, "zone": "zone-a", "version": "v1", "capacity": 8, "state": "ready",
			"warmup_left_ms": 0, "free_capacity": map[string]any{"cpu": w.cpu, "mem_mb": 65536, "gpu": 0},
			"labels": []string{w.label, w.rack}, "time_ms": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
		}
		if !w.draining.IsZero() {
			entry["state"] = "draining"
			entry["remaining_ms"] = max(0, time.Until(w.draining).Milliseconds())
		}
		mute := w.mode.mute
		w.mu.Unlock()
		if !mute && !w.storm.weather.shutsOutWorkers() {
			w.storm.store.put("servers", w.id, entry)
		}
		select {
		case <-w.gone:
			return
		case <-time.After(beatEvery):
		}
	}
}

// end ends the life of the worker, and all runs with it.
func (w *worker) end(how string) {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	close(w.gone)
	runs := len(w.runs)
	for _, r := range w.runs {
		w.storm.ledger.ended(r.task, w.runID(r), how)
	}
	w.runs = make(map[string]*workerRun)
	w.mu.Unlock()
	_ = w.server.Close()
	w.storm.network.down(w.addr)
	w.storm.rec.printf("worker %s: %s with %d runs", w.id, how, runs)
}

// drain has the worker report that it leaves after the time.
func (w *worker) drain(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = time.Now().Add(after)
}

func (w *worker) runID(r *workerRun) runID {
	return runID{
		worker:  w,
		attempt: r.attempt,
	}
}

// reap ends runs that are done, fail, or whose lease has lapsed.
func (w *worker) reap() {
	for {
		time.Sleep(reapEvery)
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		if w.leaseOver() {
			w.lapse()
		}
		for key, r := range w.runs {
			if how := w.endOf(r); how != "" {
				w.endRun(key, r, how)
			}
		}
		w.mu.Unlock()
	}
}

// endOf returns how a run ends now, or nothing. The caller holds mu.
func (w *worker) endOf(r *workerRun) string {
	if r.stopped {
		return ""
	}
	worksSince := r.started
	if r.phase.gang {
		wholeAt, done, isBroken := w.storm.ledger.gang(r.task, r.attempt)
		switch {
		case done:
			return "done"
		case isBroken:
			return "broken"
		case wholeAt.IsZero() && time.Since(r.started) > stormGangTimeout:
			return "alone"
		case wholeAt.IsZero():
			return ""
		}
		worksSince = wholeAt
	}
	worked := time.Since(worksSince)
	if r.resumed > 0 {
		worked -= restoreTakes
	}
	if r.failsAfter > 0 && worked >= r.failsAfter {
		return "failed"
	}
	if r.phase.lasting {
		return ""
	}
	share := r.resumed + float64(worked)/float64(r.phase.takes)
	if share >= 1 {
		return "done"
	}
	if r.phase.checkpointing && worked > 0 && time.Since(r.savedAt) >= checkpointEvery {
		r.savedAt = time.Now()
		r.saved = w.storm.ledger.save(r.task, r.phase.gang, share)
	}
	return ""
}

// percent returns the progress of a run. The caller holds mu.
func (w *worker) percent(r *workerRun) int {
	if r.phase.lasting {
		return 100
	}
	worksSince := r.started
	if r.phase.gang {
		wholeAt, _, _ := w.storm.ledger.gang(r.task, r.attempt)
		if wholeAt.IsZero() {
			return 0
		}
		worksSince = wholeAt
	}
	share := r.resumed + float64(time.Since(worksSince))/float64(r.phase.takes)
	return int(min(99, 100*share))
}

// endRun ends a run. The caller holds mu.
func (w *worker) endRun(key string, r *workerRun, how string) {
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.lastEnd++
	w.ends = append(w.ends, workerEnd{
		number:       w.lastEnd,
		task:         r.task,
		attempt:      r.attempt,
		how:          how,
		saved:        r.saved,
		lapsesBefore: w.lapses,
	})
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	close(w.changed)
	w.changed = make(chan struct{})
	w.storm.ledger.ended(r.task, w.runID(r), how)
	w.storm.rec.printf("worker %s: %s attempt %d ended %s, number %d", w.id, r.task, r.attempt, how, w.lastEnd)
}

func (w *worker) ServeHTTP(answer http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != w.id {
		answer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o stormOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	entry := w.storm.network.entryAt(r.RemoteAddr)
	w.mu.Lock()
	mode := w.mode
	w.mu.Unlock()
	switch {
	case mode.silent:
		w.leave(r)
	case mode.late > 0:
		w.storm.background.Go(func() error {
			time.Sleep(mode.late/2 + rand.N(mode.late))
			w.carryOut(httptest.NewRecorder(), r, o, entry, true)
			return nil
		})
		w.leave(r)
	case mode.lost:
		w.carryOut(httptest.NewRecorder(), r, o, entry, false)
		w.leave(r)
	case mode.grey > 0 && r.URL.Path == "/-/run-start" && rand.Float64() < mode.grey:
		answer.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.carryOut(answer, r, o, entry, false)
	}
}

// leave leaves a call without an answer.
func (w *worker) leave(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-w.gone:
	case <-time.After(10 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func (w *worker) carryOut(answer http.ResponseWriter, r *http.Request, o stormOrder, entry string, late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		if late {
			return
		}
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < w.fence {
		w.refuse(answer, "fence")
		return
	}
	w.fence = o.FencingToken
	switch r.URL.Path {
	case "/-/run-start":
		w.start(answer, o, entry, late)
	case "/-/run-stop":
		w.stop(answer, o, entry)
	case "/-/hold":
		w.hold(answer, r, o, late)
	default:
		w.write(answer, http.StatusOK, map[string]any{})
	}
}

// extend extends the lease. The caller holds mu. A lease that has lapsed ends the runs, also
// if reap has not yet done so.
func (w *worker) extend(deadline int64) {
	if w.leaseOver() {
		w.lapse()
	}
	w.deadline.Store(max(w.deadline.Load(), min(deadline, w.clock()+holdLimitMS)))
}

// leaseOver reports whether the lease has lapsed, so that nothing runs any more.
func (w *worker) leaseOver() bool { return w.clock() > w.deadline.Load() }

// lapse ends all runs. The caller holds mu.
func (w *worker) lapse() {
	w.lapses++
	for key, r := range w.runs {
		w.endRun(key, r, "lapsed")
	}
}

func (w *worker) start(answer http.ResponseWriter, o stormOrder, entry string, late bool) {
	key := fmt.Sprintf("%s#%d", o.Task, o.Attempt)
	if w.runs[key] != nil {
		w.extend(o.DeadlineMS)
		w.write(answer, http.StatusOK, map[string]any{})
		return
	}
	if o.DeadlineMS <= w.clock() {
		w.refuse(answer, "late")
		return
	}
	if o.Attempt <= w.highest[o.Task] {
		w.extend(o.DeadlineMS)
		w.refuse(answer, "old")
		return
	}
	run := &workerRun{
		task:    o.Task,
		attempt: o.Attempt,
		started: time.Now(),
		savedAt: time.Now(),
		saved:   o.Checkpoint,
	}
	phase, known := w.storm.ledger.phaseOf(o.Task)
	if !known {
		w.storm.ledger.started(o.Task, w.runID(run), o, entry, late)
		w.write(answer, http.StatusBadRequest, map[string]any{})
		return
	}
	run.phase = phase
	if isLab(w.service) && w.storm.adviser != nil && !w.storm.adviser.valid(o.Ticket, stepOf(o.Task), w) {
		w.refuse(answer, "ticket")
		return
	}
	used := phase.cpu
	for _, other := range w.runs {
		used += other.phase.cpu
	}
	if used > w.cpu && w.guards {
		w.extend(o.DeadlineMS)
		w.refuse(answer, "room")
		return
	}
	if phase.failing {
		run.failsAfter = phase.takes / 2
	}
	if phase.lasting && rand.N(4) == 0 {
		run.failsAfter = time.Second + rand.N(20*time.Second)
	}
	run.resumed = w.storm.ledger.saved(o.Checkpoint)
	w.extend(o.DeadlineMS)
	w.runs[key] = run
	w.storm.rec.printf("worker %s: %s attempt %d started by token %d of %s, late %v", w.id, o.Task, o.Attempt, o.FencingToken, entry, late)
	if used > w.cpu {
		w.storm.ledger.overLimit(o.Task, w.id, used, w.cpu)
	}
	w.storm.ledger.started(o.Task, w.runID(run), o, entry, late)
	if phase.gang {
		w.storm.ledger.joinGang(o.Task, o.Attempt, phase.tasks)
	}
	w.write(answer, http.StatusOK, map[string]any{})
}

func (w *worker) stop(answer http.ResponseWriter, o stormOrder, entry string) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	for key, r := range w.runs {
		if r.task != o.Task || r.attempt > o.Attempt || r.stopped {
			continue
		}
		r.stopped = true
		w.storm.rec.printf("worker %s: %s attempt %d is told to stop by token %d of %s", w.id, r.task, r.attempt, o.FencingToken, entry)
		w.storm.background.Go(func() error {
			time.Sleep(stopTakes)
			w.mu.Lock()
			defer w.mu.Unlock()
			if r.phase.checkpointing && w.runs[key] == r {
				r.saved = w.storm.ledger.save(r.task, r.phase.gang, float64(w.percent(r))/100)
			}
			w.endRun(key, r, "stopped")
			return nil
		})
	}
	w.write(answer, http.StatusOK, map[string]any{})
}

// hold extends the lease and lists runs and ends. The caller holds mu.
func (w *worker) hold(answer http.ResponseWriter, r *http.Request, o stormOrder, late bool) {
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	if o.AckedThrough > w.acked {
		for _, e := range w.ends {
			// An end is not taken note of if the lease lapsed before its acknowledgement.
			if e.number <= o.AckedThrough && e.number > w.acked && e.lapsesBefore == w.lapses {
				w.storm.ledger.noted(e.task, runID{
					worker:  w,
					attempt: e.attempt,
				}, e.how)
			}
		}
		w.acked = min(o.AckedThrough, w.lastEnd)
	}
	for len(w.ends) > 0 && w.ends[0].number <= w.acked {
		w.ends = w.ends[1:]
	}
	if o.WaitMS > 0 && len(w.ends) == 0 && !late {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		case <-w.gone:
		}
		w.mu.Lock()
		if w.dead {
			panic(http.ErrAbortHandler)
		}
	}
	active := [][]any{}
	for _, run := range w.runs {
		active = append(active, []any{run.task, run.attempt, run.saved, w.percent(run), 0})
	}
	finished := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.saved})
	}
	w.write(answer, http.StatusOK, map[string]any{"active": active, "finished": finished})
}

func (w *worker) refuse(answer http.ResponseWriter, reason string) {
	w.write(answer, http.StatusConflict, map[string]any{"reason": reason})
}

func (w *worker) write(answer http.ResponseWriter, status int, body map[string]any) {
	body["time_ms"] = w.clock()
	body["born"] = w.born.UnixMilli()
	answer.Header().Set("Content-Type", "application/json")
	answer.WriteHeader(status)
	_ = json.NewEncoder(answer).Encode(body)
}

// adviser is a stand-in for the service that approves the workers of a step.
type adviser struct {
	decision, period, validity time.Duration
	storm                      *storm

	mu sync.Mutex
	// turns lets the adviser serve one call at a time for each entry.
	turns   map[string]*sync.Mutex
	tickets map[string]ticket
	issued  int
}

type ticket struct {
	step, worker string
	born         time.Time
	expires      time.Time
}

func newAdviser(s *storm) *adviser {
	return &adviser{
		decision: 20 * time.Millisecond,
		period:   2 * time.Millisecond,
		validity: 4 * time.Second,
		storm:    s,
		turns:    make(map[string]*sync.Mutex),
		tickets:  make(map[string]ticket),
	}
}

// approves reports whether a worker may run a step, which does not change.
func approves(step, worker string) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(step + worker))
	return hash.Sum32()%8 != 0
}

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		StepID  string   `json:"step_id"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	entry := a.storm.network.entryAt(r.RemoteAddr)
	a.mu.Lock()
	turn := a.turns[entry]
	if turn == nil {
		turn = &sync.Mutex{}
		a.turns[entry] = turn
	}
	a.mu.Unlock()
	turn.Lock()
	time.Sleep(a.decision + time.Duration(len(request.Workers))*a.period)
	turn.Unlock()
	approved := [][2]string{}
	for _, id := range request.Workers {
		life := a.storm.workerNamed(id)
		if life == nil || !approves(request.StepID, id) {
			continue
		}
		a.mu.Lock()
		a.issued++
		name := fmt.Sprintf("t%d", a.issued)
		a.tickets[name] = ticket{
			step:    request.StepID,
			worker:  id,
			born:    life.born,
			expires: time.Now().Add(a.validity),
		}
		a.mu.Unlock()
		approved = append(approved, [2]string{id, name})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"approved": approved, "validity_ms": a.validity.Milliseconds()})
}

func (a *adviser) valid(name, step string, w *worker) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, found := a.tickets[name]
	return found && t.step == step && t.worker == w.id && t.born.Equal(w.born) && time.Now().Before(t.expires)
}
