package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// objective is the latency objective of a hand-in. Impatient clients leave after half
	// of it.
	objective = 250 * time.Millisecond
	// patience is how long other clients wait for an answer.
	patience = 3 * time.Second
	// cancelTries limits the tries of a cancelling.
	cancelTries = 12
)

// stormClients makes the calls of the clients.
type stormClients struct {
	storm  *storm
	client *http.Client
}

// call makes one call. status is 0 without an answer.
func (c *stormClients) call(e *entry, method, path, key string, body any, timeout time.Duration) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(data))
	if err != nil {
		cannotRun("make a request", err)
	}
	request.Host = routeHost
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	began := time.Now()
	resp, err := c.client.Do(request)
	if err != nil {
		c.storm.rec.printf("client: %s %s at %s: no answer in %.3f s", method, path, e.name, time.Since(began).Seconds())
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	c.storm.rec.printf("client: %s %s at %s: %d %s in %.3f s", method, path, e.name, resp.StatusCode, strings.TrimSpace(string(text)), time.Since(began).Seconds())
	return resp.StatusCode, string(text)
}

// drawJob draws a job.
func (s *storm) drawJob(rng *rand.Rand, number int) *stormJob {
	ms := func(least, most int) time.Duration {
		return time.Duration(least+rng.IntN(most-least+1)) * time.Millisecond
	}
	id := fmt.Sprintf("%08x%08x", rng.Uint32(), number)
	services := stormServices(s.options.services)
	service := services[rng.IntN(len(services))]
	j := &stormJob{
		id:      id,
		route:   service,
		service: service,
		spec:    fmt.Sprintf("spec of %s", id),
	}
	if !isLab(service) && rng.IntN(3) == 0 {
		j.route = "urgent-" + service
	}
	p := stormPhase{
		tasks: 1 + rng.IntN(6),
		cpu:   500 + 500*rng.IntN(6),
		takes: ms(200, 1000),
	}
	switch draw := rng.IntN(100); {
	case draw < 30:
	case draw < 55:
		j.phases = append(j.phases, p)
		p.tasks = 1 + rng.IntN(8)
		p.takes = ms(200, 1500)
		p.dependsOn = []int{0}
	case draw < 65:
		p.checkpointing = true
		p.takes = ms(2000, 6000)
	case draw < 75:
		p.gang = true
		p.tasks = 2 + rng.IntN(5)
		p.takes = ms(500, 3000)
		p.checkpointing = rng.IntN(2) == 0
	case draw < 83:
		p.speculative = true
		p.takes = ms(500, 1500)
	case draw < 87:
		p.lasting = true
		p.cpu = 500
		p.tasks = 1 + rng.IntN(3)
	case draw < 92:
		p.antiAffinity = 1
		p.takes = ms(500, 2000)
	case draw < 96:
		j.repetitions = 2 + rng.IntN(3)
		j.interval = ms(500, 2000)
		j.start = time.Now().Add(ms(200, 3000)).Truncate(time.Millisecond)
	case draw < 98:
		p.failing = true
	default:
		p.takes = ms(8000, 15000)
	}
	j.phases = append(j.phases, p)
	return j
}

// body returns the body with which a job is handed in.
func (j *stormJob) body() map[string]any {
	phases := make([]map[string]any, 0, len(j.phases))
	for _, p := range j.phases {
		phase := map[string]any{"task_count": p.tasks, "cpu": p.cpu, "mem_mb": 256, "estimate_ms": max(100, p.takes.Milliseconds())}
		for name, set := range map[string]bool{"gang": p.gang, "checkpointing": p.checkpointing, "speculative": p.speculative, "long_running": p.lasting} {
			if set {
				phase[name] = true
			}
		}
		if len(p.dependsOn) > 0 {
			phase["depends_on"] = p.dependsOn
		}
		if p.antiAffinity > 0 {
			phase["anti_affinity"] = p.antiAffinity
		}
		phases = append(phases, phase)
	}
	body := map[string]any{"spec": j.spec, "phases": phases}
	if j.repetitions > 0 {
		body["start_at_ms"] = j.start.UnixMilli()
		body["interval_ms"] = j.interval.Milliseconds()
		body["repetitions"] = j.repetitions
	}
	return body
}

func (j *stormJob) path() string { return "/" + j.route + "/" + j.id }

// play plays one client with a job: it waits, or gives up and hands in again elsewhere, or
// gives up and cancels elsewhere, or cancels a job that may run.
func (c *stormClients) play(rng *rand.Rand, j *stormJob, key string) {
	s := c.storm
	s.ledger.addJob(j)
	entries := s.entriesInOrder(rng)
	next := 0
	entry := func() *entry {
		next++
		return entries[next%len(entries)]
	}
	handIn := func(timeout time.Duration) int {
		e := entry()
		s.ledger.update(j.id, func(j *stormJob) { j.handIns++ })
		status, _ := c.call(e, http.MethodPost, j.path(), key, j.body(), timeout)
		s.ledger.update(j.id, func(j *stormJob) {
			switch {
			case status >= 200 && status < 300:
				if j.accepted.IsZero() {
					j.accepted = time.Now()
				}
			case status == 429 || status == 503 || status == 404:
				j.refusals++
			}
		})
		return status
	}
	cancel := func() {
		s.ledger.update(j.id, func(j *stormJob) { j.cancelSent = time.Now() })
		for range cancelTries {
			status, _ := c.call(entry(), http.MethodDelete, j.path(), key, nil, patience)
			switch {
			case status >= 200 && status < 300:
				s.ledger.update(j.id, func(j *stormJob) { j.cancelled = time.Now() })
				return
			case status == 410:
				s.ledger.update(j.id, func(j *stormJob) { j.cancelGone = true })
				return
			}
			time.Sleep(time.Duration(100+rng.IntN(500)) * time.Millisecond)
		}
	}
	persist := func(first time.Duration) bool {
		timeout := first
		for range 6 {
			if status := handIn(timeout); status >= 200 && status < 300 {
				return true
			}
			timeout = patience
			time.Sleep(time.Duration(50+rng.IntN(700)) * time.Millisecond)
		}
		return false
	}
	switch draw := rng.IntN(100); {
	case draw < 40:
		if !persist(patience) {
			return
		}
		if rng.IntN(4) == 0 {
			// A request that was sent before the answer arrives late.
			time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
			handIn(patience)
		}
	case draw < 60:
		if !persist(objective / 2) {
			return
		}
	case draw < 60+s.options.leavers:
		if status := handIn(objective / 2); status != 0 {
			break
		}
		cancel()
		return
	default:
		if !persist(patience) {
			return
		}
		time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
		cancel()
		return
	}
	c.follow(rng, j, key, entries)
	if known, _ := s.ledger.job(j.id); known.lasts() && rng.IntN(2) == 0 {
		cancel()
	}
}

// follow asks for the state of a job until it has ended or the storm is over.
func (c *stormClients) follow(rng *rand.Rand, j *stormJob, key string, entries []*entry) {
	for asked := 0; asked < 25 && !c.storm.isOver(); asked++ {
		time.Sleep(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
		if c.ask(j, key, entries[rng.IntN(len(entries))]) {
			return
		}
	}
}

// ask asks for the state of a job, and reports whether it has ended.
func (c *stormClients) ask(j *stormJob, key string, e *entry) bool {
	asked := time.Now()
	status, text := c.call(e, http.MethodGet, j.path(), key, nil, patience)
	var answer struct {
		State string `json:"state"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal([]byte(text), &answer)
	}
	if status == http.StatusOK || status == http.StatusGone {
		c.storm.ledger.shown(j.id, e.name, status, answer.State, asked)
	}
	return slices.Contains([]string{"completed", "failed", "canceled"}, answer.State)
}
