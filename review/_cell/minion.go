package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The texts that clients put into spec. A minion runs a task for the time that the text names.
const (
	specLasting = "lasting"
	specTimed   = "run "
	// specAdvised stands in the text if the queue has a recommendation: a start needs a ticket.
	specAdvised = "advised"
)

// holdLimit is hold_limit_ms of the settings, and stopTime is how long a stop takes.
const (
	holdLimit = 6 * time.Second
	stopTime  = 100 * time.Millisecond
)

// minion is a server of the platform. It stays at one address; each life has an id of its own.
type minion struct {
	cell          *cell
	name, service string
	kind, rack    string
	cpu           int
	listener      net.Listener
	address       string

	mu sync.Mutex
	// cutUntil is the time until which the minion is cut off: it neither answers nor registers.
	cutUntil time.Time
	// lateShare is the share of the orders that get no answer and are carried out late.
	lateShare float64
	// choose tells of an order whether it is left without an answer and carried out late. The orders
	// wait in late until their time comes, or until the next life begins.
	choose func(o order, path string) bool
	late   []lateOrder
	// life counts the lives. alive is false between a crash and the next start.
	life  int
	alive bool
	id    string
	born  time.Time
	seq   int
	// server serves the present life.
	server *http.Server
	token  int64
	lease  time.Time
	runs   map[string]*taskRun
	// highest holds, by task, the highest attempt that ended or was stopped here.
	highest map[string]int64
	ended   []endedRun
	number  int64
	changed chan struct{}
}

// lateOrder is an order that got no answer.
type lateOrder struct {
	order
	path string
	at   time.Time
}

// minLate is the shortest time by which an order is carried out late (fleetbench kinds).
const minLate = 2 * time.Second

// carryOutLate carries out the orders that are late enough. The caller holds mu.
func (m *minion) carryOutLate() {
	m.late = slices.DeleteFunc(m.late, func(l lateOrder) bool {
		if time.Since(l.at) < minLate {
			return false
		}
		m.cell.record("%s carries out %v late: %s %s/%d token %d", m.id, time.Since(l.at), l.path, l.Task, l.Attempt, l.Token)
		m.obey(discard{}, l.order, l.path, m.life)
		return true
	})
}

type taskRun struct {
	task    string
	attempt int64
	began   time.Time
	length  time.Duration // 0 lasts
	ending  bool
}

type endedRun struct {
	number  int64
	task    string
	attempt int64
	how     string
	// lapsed is set if the minion's lease was over at a time since the end.
	lapsed bool
}

func newMinion(c *cell, name, service, rack, kind string, cpu int) (*minion, error) {
	m := &minion{cell: c, name: name, service: service, kind: kind, rack: rack, cpu: cpu}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.address = listener.Addr().String()
	m.start(listener)
	go m.beat()
	return m, nil
}

// start begins a life: with a new id, nothing that runs, and no fencing token seen.
func (m *minion) start(listener net.Listener) {
	m.mu.Lock()
	m.life++
	m.alive = true
	if m.id == "" || !m.cell.reborn {
		m.id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	m.born = time.Now()
	m.seq, m.token, m.number = 0, 0, 0
	m.runs = make(map[string]*taskRun)
	m.highest = make(map[string]int64)
	m.ended = nil
	m.changed = make(chan struct{})
	id, life := m.id, m.life
	m.server = &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(w, r, life) }),
		ConnState: limitConnections(),
	}
	server := m.server
	m.mu.Unlock()
	m.cell.record("minion %s of %s starts as %s", m.name, m.service, id)
	m.mu.Lock()
	m.carryOutLate()
	m.mu.Unlock()
	go server.Serve(listener)
	m.register()
}

// crash ends the life at once: its connections end, and all that runs is gone. The next life
// begins after the pause at the same address.
func (m *minion) crash(pause time.Duration) {
	m.mu.Lock()
	if !m.alive {
		m.mu.Unlock()
		return
	}
	server, id := m.server, m.id
	m.alive = false
	var lost []string
	for _, r := range m.runs {
		lost = append(lost, fmt.Sprintf("%s/%d", r.task, r.attempt))
		m.cell.ran(r.task, r.attempt, m.id, "lost in the crash")
	}
	m.runs = make(map[string]*taskRun)
	m.mu.Unlock()
	server.Close()
	m.cell.record("minion %s (%s) crashes with %s", m.name, id, strings.Join(lost, " "))
	// An entry is removed after three heartbeat intervals of silence.
	go func() {
		if m.cell.reborn {
			return
		}
		time.Sleep(3 * heartbeat)
		m.cell.store.put("servers", id, nil)
	}()
	time.Sleep(pause)
	for {
		listener, err := net.Listen("tcp", m.address)
		if err == nil {
			m.start(listener)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// maxConnections is how many connections a minion takes, by the sheets of the sites.
const maxConnections = 64

// limitConnections closes the connections beyond maxConnections.
func limitConnections() func(net.Conn, http.ConnState) {
	var mu sync.Mutex
	open := make(map[net.Conn]bool)
	return func(conn net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch state {
		case http.StateNew:
			if len(open) >= maxConnections {
				conn.Close()
				return
			}
			open[conn] = true
		case http.StateClosed, http.StateHijacked:
			delete(open, conn)
		}
	}
}

const heartbeat = 1500 * time.Millisecond

func (m *minion) beat() {
	for {
		time.Sleep(heartbeat)
		m.register()
	}
}

func (m *minion) register() {
	m.mu.Lock()
	alive, id := m.alive && !time.Now().Before(m.cutUntil), m.id
	m.seq++
	entry := map[string]any{
		"service": m.service, "address": m.address, "zone": "z1", "version": "v1", "capacity": 8,
		"state": "ready", "warmup_left_ms": 0, "sequence": m.seq, "time_ms": time.Since(m.born).Milliseconds(),
		"free_capacity": map[string]any{"cpu": m.cpu, "mem_mb": 65536, "gpu": 0},
		"labels":        []string{m.kind, m.rack},
	}
	if m.cell.reborn {
		entry["born"] = m.born.UnixMilli()
	}
	m.mu.Unlock()
	if alive {
		m.cell.store.put("servers", id, entry)
	}
}

type order struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	Ticket       string `json:"ticket"`
	Token        int64  `json:"fencing_token"`
	AckedThrough int64  `json:"acked_through"`
	WaitMS       int64  `json:"wait_ms"`
}

func (m *minion) serve(w http.ResponseWriter, r *http.Request, life int) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if cut := time.Until(m.cutUntil); cut > 0 {
		m.mu.Unlock()
		time.Sleep(min(cut, 3*time.Second))
		m.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if m.choose != nil && m.choose(o, r.URL.Path) {
		m.late = append(m.late, lateOrder{order: o, path: r.URL.Path, at: time.Now()})
		m.cell.record("%s leaves an order without an answer: %s %s/%d", m.id, r.URL.Path, o.Task, o.Attempt)
		m.mu.Unlock()
		<-r.Context().Done()
		m.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if m.lateShare > 0 && rand.Float64() < m.lateShare && (r.URL.Path == "/-/run-start" || r.URL.Path == "/-/run-stop" || m.cell.reborn && r.URL.Path == "/-/hold") {
		m.mu.Unlock()
		late := 2*time.Second + rand.N(8*time.Second)
		o.WaitMS = 0
		time.Sleep(late)
		m.mu.Lock()
		w = discard{}
		if m.cell.reborn && m.life != life {
			m.cell.record("the next life of %s gets the order", m.id)
			life = m.life
		}
		m.cell.record("late by %v: %s %s/%d token %d", late, r.URL.Path, o.Task, o.Attempt, o.Token)
	}
	if !m.alive || m.life != life {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != m.id {
		m.answer(w, http.StatusMisdirectedRequest, "")
		return
	}
	m.obey(w, o, r.URL.Path, life)
}

// obey carries out an order. The caller holds mu.
func (m *minion) obey(w http.ResponseWriter, o order, path string, life int) {
	if o.Token < m.token {
		m.answer(w, http.StatusConflict, "fence")
		return
	}
	m.token = o.Token
	m.lapse()
	m.extend(o.DeadlineMS)
	switch path {
	case "/-/run-start":
		m.startRun(w, o)
	case "/-/run-stop":
		m.highest[o.Task] = max(m.highest[o.Task], o.Attempt)
		if run := m.runs[o.Task]; run != nil && run.attempt <= o.Attempt && !run.ending {
			run.ending = true
			attempt := run.attempt
			time.AfterFunc(stopTime, func() { m.end(life, o.Task, attempt, "stopped") })
		}
		m.answer(w, http.StatusOK, "")
	case "/-/pace":
		m.answer(w, http.StatusOK, "")
	case "/-/hold":
		m.hold(w, o, life)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *minion) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"time_ms": time.Since(m.born).Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	data, _ := json.Marshal(body)
	w.WriteHeader(status)
	w.Write(data)
}

// extend extends the lease. deadlineMS is a time on the minion's clock, 0 for none.
func (m *minion) extend(deadlineMS int64) {
	if deadlineMS <= 0 {
		return
	}
	until := m.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if limit := time.Now().Add(holdLimit); until.After(limit) {
		until = limit
	}
	if until.After(m.lease) {
		m.lease = until
	}
}

// lapse ends all that runs if the lease is over.
func (m *minion) lapse() {
	if time.Now().Before(m.lease) {
		return
	}
	for i := range m.ended {
		m.ended[i].lapsed = true
	}
	for _, run := range m.runs {
		m.endLocked(run, "lapsed")
	}
}

func (m *minion) startRun(w http.ResponseWriter, o order) {
	if run := m.runs[o.Task]; run != nil && run.attempt == o.Attempt {
		m.answer(w, http.StatusOK, "")
		return
	}
	switch {
	case o.Attempt <= m.highest[o.Task]:
		m.answer(w, http.StatusConflict, "old")
		return
	case !time.Now().Before(m.born.Add(time.Duration(o.DeadlineMS) * time.Millisecond)):
		m.answer(w, http.StatusConflict, "late")
		return
	case strings.Contains(o.Spec, specAdvised) && o.Ticket != ticketFor(m.id):
		m.answer(w, http.StatusConflict, "ticket")
		return
	}
	run := &taskRun{task: o.Task, attempt: o.Attempt, began: time.Now()}
	how := "done"
	if text, timed := strings.CutPrefix(o.Spec, specTimed); timed {
		text = strings.TrimSuffix(text, " "+specAdvised)
		text, share, _ := strings.Cut(text, " fail ")
		run.length, _ = time.ParseDuration(text)
		if p, err := strconv.ParseFloat(share, 64); err == nil && rand.Float64() < p {
			how = "failed"
		}
	}
	m.runs[o.Task] = run
	m.cell.ran(o.Task, o.Attempt, m.id, "starts on "+m.service+" with the spec "+fmt.Sprintf("%q", o.Spec))
	life := m.life
	if run.length > 0 {
		time.AfterFunc(run.length, func() { m.end(life, o.Task, o.Attempt, how) })
	}
	m.answer(w, http.StatusOK, "")
}

func (m *minion) end(life int, task string, attempt int64, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if run := m.runs[task]; m.alive && m.life == life && run != nil && run.attempt == attempt {
		m.lapse()
		if m.runs[task] == run {
			m.endLocked(run, how)
		}
	}
}

func (m *minion) endLocked(run *taskRun, how string) {
	delete(m.runs, run.task)
	m.highest[run.task] = max(m.highest[run.task], run.attempt)
	m.number++
	m.ended = append(m.ended, endedRun{number: m.number, task: run.task, attempt: run.attempt, how: how})
	m.cell.ran(run.task, run.attempt, m.id, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// hold answers a renewal. It waits for an end if there is none to list.
func (m *minion) hold(w http.ResponseWriter, o order, life int) {
	for len(m.ended) > 0 && m.ended[0].number <= o.AckedThrough {
		if !m.ended[0].lapsed {
			m.cell.ran(m.ended[0].task, m.ended[0].attempt, m.id, noted)
		}
		m.ended = m.ended[1:]
	}
	if len(m.ended) == 0 && o.WaitMS > 0 {
		changed := m.changed
		timer := time.NewTimer(time.Duration(o.WaitMS) * time.Millisecond)
		m.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		m.mu.Lock()
		if !m.alive || m.life != life {
			panic(http.ErrAbortHandler)
		}
	}
	m.lapse()
	active, finished := [][]any{}, [][]any{}
	for _, run := range m.runs {
		percent := 100
		if run.length > 0 {
			percent = int(100 * time.Since(run.began) / run.length)
		}
		active = append(active, []any{run.task, run.attempt, "", min(percent, 100), 0})
	}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	body := map[string]any{"time_ms": time.Since(m.born).Milliseconds(), "active": active, "finished": finished}
	if m.cell.reborn {
		body["born"] = m.born.UnixMilli()
	}
	data, _ := json.Marshal(body)
	w.Write(data)
}

// noted is recorded for an end that is taken note of: the minion's lease has not lapsed meanwhile.
const noted = "the end is taken note of"

// discard is where the answer to an order goes that is carried out late.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
