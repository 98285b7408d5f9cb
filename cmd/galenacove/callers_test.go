package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/namer"
)

// callers sends requests from concurrent callers without a pause, and records the
// outcome of each.
type callers struct {
	// entries returns the entries to which a balancer would send requests.
	entries    func() []*entryProcess
	client     *http.Client
	group      errgroup.Group
	stopped    atomic.Bool
	nextNumber atomic.Int64
	// sent counts the requests that were sent to entries, including retries.
	sent atomic.Int64

	mu sync.Mutex
	// violations describes wrong or missing answers, which no caller may ever
	// see.
	violations []string
	// resets counts the connections that broke without an answer.
	resets int
	// done, notRun and unknown hold the identities of the non-idempotent
	// requests, by the outcome that each answer stated; a request without a
	// valid answer is unknown.
	done, notRun, unknown []string
	// answered counts the idempotent requests that were answered eventually.
	answered int
}

// startCallers starts the given number of concurrent callers. Each sends
// idempotent and non-idempotent requests alternately.
func startCallers(c *qt.C, concurrency int, entries func() []*entryProcess) *callers {
	cs := &callers{
		entries: entries,
		client: &http.Client{
			Timeout: waitTimeout,
		},
	}
	for range concurrency {
		cs.group.Go(func() error {
			for !cs.stopped.Load() {
				cs.sendIdempotent()
				cs.sendOnce()
			}
			return nil
		})
	}
	c.Cleanup(cs.stop)
	return cs
}

// stop ends the callers and waits for their last answers.
func (cs *callers) stop() {
	cs.stopped.Store(true)
	// The goroutines return no error.
	_ = cs.group.Wait()
}

// entryFor returns the entry for the n-th request, in rotation.
func (cs *callers) entryFor(n int64) *entryProcess {
	entries := cs.entries()
	return entries[int(n)%len(entries)]
}

// sendIdempotent sends a request and retries until it is answered.
func (cs *callers) sendIdempotent() {
	n := cs.nextNumber.Add(1)
	body := fmt.Sprintf("reading %d", n)
	for attempt := int64(0); ; attempt++ {
		status, answer, err := cs.send(cs.entryFor(n+attempt), body, map[string]string{
			"Galenacove-Idempotent": "true",
		})
		switch {
		case err != nil:
			cs.withLock(func() { cs.resets++ })
		case status == http.StatusOK:
			cs.checkAnswer(body, answer)
			cs.withLock(func() { cs.answered++ })
			return
		}
		if cs.stopped.Load() && attempt > 0 {
			cs.withLock(func() {
				cs.violations = append(cs.violations, fmt.Sprintf("%s was never answered: %d %s %v", body, status, answer, err))
			})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sendOnce sends a non-idempotent request without retries, and records the
// outcome that the answer states.
func (cs *callers) sendOnce() {
	n := cs.nextNumber.Add(1)
	identity := namer.NewIdentity()
	body := "payout " + identity
	status, answer, err := cs.send(cs.entryFor(n), body, map[string]string{
		"Idempotency-Key": identity,
	})
	if err != nil {
		cs.withLock(func() { cs.resets++ })
	}
	var problem struct {
		Ran string `json:"ran"`
	}
	if err == nil && status != http.StatusOK {
		err = json.Unmarshal(answer, &problem)
	}
	cs.withLock(func() {
		switch {
		case err == nil && status == http.StatusOK:
			cs.done = append(cs.done, identity)
		case err == nil && problem.Ran == "no":
			cs.notRun = append(cs.notRun, identity)
		default:
			cs.unknown = append(cs.unknown, identity)
		}
	})
	if status == http.StatusOK {
		cs.checkAnswer(body, answer)
	}
}

// checkAnswer compares an answer with the expected one for its request.
func (cs *callers) checkAnswer(body string, answer []byte) {
	if !bytes.Equal(answer, emulator.Answer([]byte(body))) {
		cs.withLock(func() { cs.violations = append(cs.violations, fmt.Sprintf("%s got %q", body, answer)) })
	}
}

func (cs *callers) withLock(f func()) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	f()
}

func (cs *callers) send(entry *entryProcess, body string, headers map[string]string) (status int, answer []byte, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.callers+"/services/field-desk/check", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	// With GetBody the client may retry a request by itself, and the test would
	// not see a broken connection.
	req.GetBody = nil
	req.Header.Set("Galenacove-Team", "omuti")
	req.Header.Set("Galenacove-Deadline", "5")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	cs.sent.Add(1)
	resp, err := cs.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// awaitAnswered waits until the given number of further idempotent requests have
// been answered.
func (cs *callers) awaitAnswered(c *qt.C, more int) {
	var before int
	cs.withLock(func() { before = cs.answered })
	await(c, fmt.Sprintf("%d more answers", more), func() bool {
		var now int
		cs.withLock(func() { now = cs.answered })
		return now >= before+more
	})
}

// verify stops the callers and checks the invariants: no caller got a wrong
// answer, each non-idempotent request ran as often as its caller was told, and
// no minion or worker exceeded its limits.
func (s *cell) verify(c *qt.C, load *callers) {
	load.stop()
	c.Check(load.violations, qt.HasLen, 0)
	runs := make(map[string]int)
	for i, minion := range s.minions {
		var counts emulator.Counts
		getJSON(c, "http://"+minion.firstLine+"/v1/counts", &counts)
		c.Check(counts.MostRequests <= 8, qt.IsTrue, qt.Commentf("minion %d had %d requests at once", i, counts.MostRequests))
		c.Check(counts.MostConnections <= 64, qt.IsTrue, qt.Commentf("minion %d had %d connections at once", i, counts.MostConnections))
		for identity, times := range counts.Requests {
			runs[identity] += times
		}
	}
	checkRuns(c, runs, "done", load.done, 1, 1)
	checkRuns(c, runs, "not run", load.notRun, 0, 0)
	checkRuns(c, runs, "unknown", load.unknown, 0, 1)
	c.Logf("%d idempotent answered; once: %d done, %d not run, %d unknown; %d resets",
		load.answered, len(load.done), len(load.notRun), len(load.unknown), load.resets)
	s.verifyWorkers(c)
}

func checkRuns(c *qt.C, runs map[string]int, outcome string, identities []string, minRuns, maxRuns int) {
	for _, identity := range identities {
		if n := runs[identity]; n < minRuns || n > maxRuns {
			c.Errorf("request %s ran %d times, its caller was told: %s", identity, n, outcome)
		}
	}
}

// verifyWorkers checks that no worker exceeded its capacity, and that no task
// ran in two places at once or finished twice.
func (s *cell) verifyWorkers(c *qt.C) {
	var accounts []emulator.Account
	for _, worker := range s.workers {
		var account emulator.Account
		getJSON(c, "http://"+worker.firstLine+"/v1/account", &account)
		c.Check(account.OverCommitted, qt.Equals, 0, qt.Commentf("%s", account.Worker))
		c.Check(account.MostUsed.Fits(account.Capacity), qt.IsTrue, qt.Commentf("%s", account.Worker))
		accounts = append(accounts, account)
	}
	c.Check(emulator.Overlaps(accounts...), qt.HasLen, 0)
	finished := make(map[namer.TaskID]int)
	for _, account := range accounts {
		for _, interval := range account.Intervals {
			if interval.State == connector.TaskFinished {
				finished[interval.Ref.Task]++
			}
		}
	}
	for task, times := range finished {
		c.Check(times, qt.Equals, 1, qt.Commentf("task %s finished %d times", task, times))
	}
}

func getJSON(c *qt.C, address string, value any) {
	resp, err := http.Get(address)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(json.NewDecoder(resp.Body).Decode(value), qt.IsNil)
}

// putFaults sets the faults that a stand-in injects.
func putFaults(c *qt.C, address string, faults any) {
	data, err := json.Marshal(faults)
	c.Assert(err, qt.IsNil)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+address+"/v1/faults", bytes.NewReader(data))
	c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Assert(resp.StatusCode < http.StatusBadRequest, qt.IsTrue, qt.Commentf("%s", resp.Status))
}
