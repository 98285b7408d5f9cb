package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	holdLimitMS = 6000
	beatEvery   = 1500 * time.Millisecond
	stopTakes   = 100 * time.Millisecond
)

// minion is a stand-in for one life of a minion, as PROTOCOL.md has it. A task runs for
// the time that its spec names, such as "500ms".
type minion struct {
	id      string
	service string
	addr    string
	kind    string
	cpu     int
	// refuses is set while the minion is unhealthy: it answers each start with 503 and
	// does nothing.
	refuses bool
	// odd is set if the minion reports its runs with figures that are no numbers of a float64.
	odd bool
	// refused counts the starts that were refused so.
	refused int
	store   *store
	rec     *recorder
	judge   *judge
	born    time.Time

	mu       sync.Mutex
	dead     bool
	draining bool
	listener net.Listener
	server   *http.Server
	fence    int64
	deadline int64
	runs     map[string]*minionRun
	// highest holds, by task, the highest attempt that was stopped or has ended.
	highest map[string]int64
	ends    []minionEnd
	lastEnd int64
	acked   int64
	// lapses counts the times at which the lease was found to have lapsed.
	lapses   int
	changed  chan struct{}
	sequence int64
}

type minionRun struct {
	task    string
	attempt int64
	started time.Time
	takes   time.Duration
	stopped bool
}

type minionEnd struct {
	number  int64
	task    string
	attempt int64
	how     string
	// lapses is the number of lapses of the lease before the end.
	lapses int
}

// startMinion starts a minion at the address, or at a free one if that is empty.
func startMinion(st *store, rec *recorder, j *judge, service, id, addr string, cpu int) *minion {
	return startMinionOfKind(st, rec, j, service, id, addr, "a", cpu)
}

// startMinionOfKind is startMinion for a minion with that label.
func startMinionOfKind(st *store, rec *recorder, j *judge, service, id, addr, kind string, cpu int) *minion {
	m := &minion{
		id: id, service: service, kind: kind, cpu: cpu, store: st, rec: rec, judge: j, born: time.Now(),
		runs: make(map[string]*minionRun), highest: make(map[string]int64), changed: make(chan struct{}),
	}
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		cannotRun("listen for a minion", err)
	}
	m.listener = listener
	m.addr = listener.Addr().String()
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(listener) }()
	go m.beat()
	go m.reap()
	rec.printf("minion %s: up at %s", m.id, m.addr)
	return m
}

func (m *minion) now() int64 { return time.Since(m.born).Milliseconds() }

func (m *minion) beat() {
	for {
		m.mu.Lock()
		if m.dead {
			m.mu.Unlock()
			return
		}
		m.sequence++
		state := "ready"
		if m.draining {
			state = "draining"
		}
		entry := map[string]any{
			"service": m.service, "address": m.addr, "zone": "zone-a", "version": "v1", "capacity": 8, "state": state,
			"warmup_left_ms": 0, "free_capacity": map[string]any{"cpu": m.cpu, "mem_mb": 65536, "gpu": 0},
			"labels": []string{m.kind, "r1-1"}, "time_ms": m.now(), "sequence": m.sequence,
		}
		m.mu.Unlock()
		m.store.put("servers", m.id, entry)
		time.Sleep(beatEvery)
	}
}

// crash ends the minion without a word. Its entry stays for three heartbeats.
func (m *minion) crash() {
	m.mu.Lock()
	m.dead = true
	running := len(m.runs)
	for _, r := range m.runs {
		m.judge.ended(m.id, r.task, r.attempt, "crashed")
	}
	m.runs = map[string]*minionRun{}
	m.mu.Unlock()
	_ = m.server.Close()
	m.rec.printf("minion %s: crashed with %d runs", m.id, running)
	go func() {
		time.Sleep(3 * beatEvery)
		m.store.put("servers", m.id, nil)
	}()
}

// setRefuses makes the minion unhealthy, or healthy again.
func (m *minion) setRefuses(refuses bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuses = refuses
	m.rec.printf("minion %s: refuses starts: %v, refused so far: %d", m.id, refuses, m.refused)
}

// reap ends runs that are done or whose lease has lapsed.
func (m *minion) reap() {
	for {
		time.Sleep(2 * time.Millisecond)
		m.mu.Lock()
		if m.dead {
			m.mu.Unlock()
			return
		}
		lapsed := m.now() > m.deadline
		if lapsed {
			m.lapses++
		}
		for key, r := range m.runs {
			switch {
			case lapsed:
				m.end(key, r, "lapsed")
			case !r.stopped && r.takes > 0 && time.Since(r.started) >= r.takes:
				m.end(key, r, "done")
			}
		}
		m.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (m *minion) end(key string, r *minionRun, how string) {
	if m.runs[key] != r {
		return
	}
	delete(m.runs, key)
	m.lastEnd++
	m.ends = append(m.ends, minionEnd{number: m.lastEnd, task: r.task, attempt: r.attempt, how: how, lapses: m.lapses})
	m.highest[r.task] = max(m.highest[r.task], r.attempt)
	close(m.changed)
	m.changed = make(chan struct{})
	m.judge.ended(m.id, r.task, r.attempt, how)
	m.rec.printf("minion %s: %s attempt %d ended %s", m.id, r.task, r.attempt, how)
}

type order struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	AckedThrough int64  `json:"acked_through"`
	WaitMS       int64  `json:"wait_ms"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < m.fence {
		m.refuse(w, "fence")
		return
	}
	m.fence = o.FencingToken
	switch r.URL.Path {
	case "/-/run-start":
		m.start(w, o)
	case "/-/run-stop":
		m.stop(w, o)
	case "/-/hold":
		m.hold(w, r, o)
	default:
		m.write(w, http.StatusOK, map[string]any{})
	}
}

func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.now()+holdLimitMS))
}

func (m *minion) start(w http.ResponseWriter, o order) {
	if m.refuses {
		m.refused++
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	key := fmt.Sprintf("%s#%d", o.Task, o.Attempt)
	if m.runs[key] != nil {
		m.extend(o.DeadlineMS)
		m.write(w, http.StatusOK, map[string]any{})
		return
	}
	if o.DeadlineMS <= m.now() {
		m.refuse(w, "late")
		return
	}
	if o.Attempt <= m.highest[o.Task] {
		m.extend(o.DeadlineMS)
		m.refuse(w, "old")
		return
	}
	m.extend(o.DeadlineMS)
	takes, err := time.ParseDuration(strings.Fields(o.Spec + " 0s")[0])
	if err != nil {
		m.write(w, http.StatusBadRequest, map[string]any{})
		return
	}
	m.runs[key] = &minionRun{task: o.Task, attempt: o.Attempt, started: time.Now(), takes: takes}
	m.rec.printf("minion %s: %s attempt %d started by token %d", m.id, o.Task, o.Attempt, o.FencingToken)
	m.judge.started(m.id, o.Task, o.Attempt)
	m.write(w, http.StatusOK, map[string]any{})
}

func (m *minion) stop(w http.ResponseWriter, o order) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Attempt)
	for key, r := range m.runs {
		if r.task == o.Task && r.attempt <= o.Attempt && !r.stopped {
			r.stopped = true
			go func() {
				time.Sleep(stopTakes)
				m.mu.Lock()
				defer m.mu.Unlock()
				m.end(key, r, "stopped")
			}()
		}
	}
	m.write(w, http.StatusOK, map[string]any{})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	if o.DeadlineMS > 0 {
		m.extend(o.DeadlineMS)
	}
	if o.AckedThrough > m.acked && o.AckedThrough <= m.lastEnd {
		for _, e := range m.ends {
			// An end is not taken note of if the lease lapsed before its acknowledgement.
			if e.number <= o.AckedThrough && e.lapses == m.lapses {
				m.judge.noted(m.id, e.task, e.attempt, e.how)
			}
		}
		m.acked = o.AckedThrough
	}
	for len(m.ends) > 0 && m.ends[0].number <= m.acked {
		m.ends = m.ends[1:]
	}
	if o.WaitMS > 0 && len(m.ends) == 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		m.mu.Lock()
		if m.dead {
			panic(http.ErrAbortHandler)
		}
	}
	active := [][]any{}
	for _, run := range m.runs {
		percent := 100
		if run.takes > 0 {
			percent = int(min(99, 100*time.Since(run.started)/run.takes))
		}
		if m.odd {
			active = append(active, []any{run.task, run.attempt, "", percent, oddFigure})
			continue
		}
		active = append(active, []any{run.task, run.attempt, "", percent, 0})
	}
	finished := [][]any{}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	m.write(w, http.StatusOK, map[string]any{"active": active, "finished": finished})
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	m.write(w, http.StatusConflict, map[string]any{"reason": reason})
}

func (m *minion) write(w http.ResponseWriter, status int, body map[string]any) {
	body["time_ms"] = m.now()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
