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
	// handInTries and cancelTries limit the tries of a hand-in and of a cancelling.
	handInTries = 6
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

// jobClient is one client, with one job.
type jobClient struct {
	*stormClients
	rng     *rand.Rand
	job     *stormJob
	key     string
	entries []*entry
	next    int
}

// play plays one client with a job: it waits, or gives up and hands in again elsewhere, or
// gives up and cancels elsewhere, or cancels a job that may run.
func (c *stormClients) play(rng *rand.Rand, j *stormJob, key string) {
	c.storm.ledger.addJob(j)
	client := &jobClient{
		stormClients: c,
		rng:          rng,
		job:          j,
		key:          key,
		entries:      c.storm.entriesInOrder(rng),
	}
	switch draw := rng.IntN(100); {
	case draw < 40:
		if client.persist(patience) && rng.IntN(4) == 0 {
			// A request that was sent before the answer arrives late.
			client.pause(0, 4*time.Second)
			client.handIn(patience)
		}
	case draw < 60:
		client.persist(objective / 2)
	case draw < 60+c.storm.options.leavers:
		if client.handIn(objective/2) == 0 {
			client.cancel()
			return
		}
	default:
		if client.persist(patience) {
			client.pause(0, 4*time.Second)
			client.cancel()
		}
		return
	}
	client.follow()
	if j.lasts() && rng.IntN(2) == 0 {
		client.cancel()
	}
}

func (c *jobClient) pause(least, most time.Duration) {
	time.Sleep(between(c.rng, least, most))
}

// nextEntry returns another entry than the last one.
func (c *jobClient) nextEntry() *entry {
	c.next++
	return c.entries[c.next%len(c.entries)]
}

// handIn hands the job in once and returns the status of the answer, 0 without one.
func (c *jobClient) handIn(timeout time.Duration) int {
	ledger := c.storm.ledger
	ledger.update(c.job.id, func(j *stormJob) { j.handIns++ })
	status, _ := c.call(c.nextEntry(), http.MethodPost, c.job.path(), c.key, c.job.body(), timeout)
	ledger.update(c.job.id, func(j *stormJob) {
		switch {
		case status == http.StatusOK && j.accepted.IsZero():
			j.accepted = time.Now()
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusNotFound:
			j.refusals++
		}
	})
	return status
}

// persist hands the job in until it is accepted, and waits that long for the first answer.
func (c *jobClient) persist(first time.Duration) bool {
	timeout := first
	for range handInTries {
		if c.handIn(timeout) == http.StatusOK {
			return true
		}
		timeout = patience
		c.pause(50*time.Millisecond, 750*time.Millisecond)
	}
	return false
}

// cancel cancels the job until that is acknowledged.
func (c *jobClient) cancel() {
	ledger := c.storm.ledger
	ledger.update(c.job.id, func(j *stormJob) { j.cancelSent = time.Now() })
	for range cancelTries {
		status, _ := c.call(c.nextEntry(), http.MethodDelete, c.job.path(), c.key, nil, patience)
		switch status {
		case http.StatusOK:
			ledger.update(c.job.id, func(j *stormJob) { j.cancelled = time.Now() })
			return
		case http.StatusGone:
			ledger.update(c.job.id, func(j *stormJob) { j.cancelGone = true })
			return
		}
		c.pause(100*time.Millisecond, 600*time.Millisecond)
	}
}

// follow asks for the state of the job until it has ended or the storm is over.
func (c *jobClient) follow() {
	for asked := 0; asked < 25 && !c.storm.isOver(); asked++ {
		c.pause(300*time.Millisecond, 1800*time.Millisecond)
		if c.ask(c.job, c.key, c.entries[c.rng.IntN(len(c.entries))]) {
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
