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

// callers send requests without pause and keep account of every answer.
type callers struct {
	// entries returns the entries that a balancer would send to.
	entries func() []*entryProcess
	client  *http.Client
	group   errgroup.Group
	stopped atomic.Bool
	count   atomic.Int64
	// sent counts the requests that were sent to entries, again or not.
	sent atomic.Int64

	mu sync.Mutex
	// wrong has what no caller may ever see.
	wrong []string
	// resets counts the connections that broke without an answer.
	resets int
	// done, notRun and unknown have the identities of the non-idempotent
	// requests by what their callers were told.
	done, notRun, unknown []string
	// answered counts the idempotent requests that were answered at last.
	answered int
}

// call starts so many callers. A request of each kind is sent in turn.
func call(c *qt.C, atOnce int, entries func() []*entryProcess) *callers {
	k := &callers{
		entries: entries,
		client: &http.Client{
			Timeout: patience,
		},
	}
	for range atOnce {
		k.group.Go(func() error {
			for !k.stopped.Load() {
				k.idempotent()
				k.once()
			}
			return nil
		})
	}
	c.Cleanup(k.stop)
	return k
}

// stop ends the callers and waits for their last answers.
func (k *callers) stop() {
	k.stopped.Store(true)
	// The callers keep their errors themselves.
	_ = k.group.Wait()
}

// pick returns one of the entries, another one at each call.
func (k *callers) pick(n int64) *entryProcess {
	entries := k.entries()
	return entries[int(n)%len(entries)]
}

// idempotent sends a request until it is answered, as a phone would.
func (k *callers) idempotent() {
	n := k.count.Add(1)
	body := fmt.Sprintf("reading %d", n)
	for attempt := int64(0); ; attempt++ {
		status, answer, err := k.send(k.pick(n+attempt), body, map[string]string{
			"Galenacove-Idempotent": "true",
		})
		switch {
		case err != nil:
			k.note(func() { k.resets++ })
		case status == http.StatusOK:
			k.check(body, answer)
			k.note(func() { k.answered++ })
			return
		}
		if k.stopped.Load() && attempt > 0 {
			k.note(func() {
				k.wrong = append(k.wrong, fmt.Sprintf("%s was never answered: %d %s %v", body, status, answer, err))
			})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// once sends a non-idempotent request a single time.
func (k *callers) once() {
	n := k.count.Add(1)
	identity := namer.NewIdentity()
	body := "payout " + identity
	status, answer, err := k.send(k.pick(n), body, map[string]string{
		"Idempotency-Key": identity,
	})
	if err != nil {
		k.note(func() { k.resets++ })
	}
	var problem struct {
		Ran string `json:"ran"`
	}
	if err == nil && status != http.StatusOK {
		err = json.Unmarshal(answer, &problem)
	}
	k.note(func() {
		switch {
		case err == nil && status == http.StatusOK:
			k.done = append(k.done, identity)
		case err == nil && problem.Ran == "no":
			k.notRun = append(k.notRun, identity)
		default:
			k.unknown = append(k.unknown, identity)
		}
	})
	if status == http.StatusOK {
		k.check(body, answer)
	}
}

// check compares an answer with what its own request must get.
func (k *callers) check(body string, answer []byte) {
	if !bytes.Equal(answer, emulator.Answer([]byte(body))) {
		k.note(func() { k.wrong = append(k.wrong, fmt.Sprintf("%s got %q", body, answer)) })
	}
}

func (k *callers) note(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f()
}

func (k *callers) send(entry *entryProcess, body string, headers map[string]string) (status int, answer []byte, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.callers+"/services/field-desk/check", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	// Without it the client may send a request again by itself, and a broken
	// connection would not be seen.
	req.GetBody = nil
	req.Header.Set("Galenacove-Team", "omuti")
	req.Header.Set("Galenacove-Deadline", "5")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	k.sent.Add(1)
	resp, err := k.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// awaitAnswered waits until so many more idempotent requests were answered.
func (k *callers) awaitAnswered(c *qt.C, more int) {
	var before int
	k.note(func() { before = k.answered })
	await(c, fmt.Sprintf("%d more answers", more), func() bool {
		var now int
		k.note(func() { now = k.answered })
		return now >= before+more
	})
}

// verify stops the callers and checks what must always hold: at the callers, at
// the minions and at the workers.
func (s *cell) verify(c *qt.C, k *callers) {
	k.stop()
	c.Check(k.wrong, qt.HasLen, 0)
	ran := make(map[string]int)
	for i, minion := range s.minions {
		var counts emulator.Counts
		getJSON(c, "http://"+minion.first+"/v1/counts", &counts)
		c.Check(counts.MostRequests <= 8, qt.IsTrue, qt.Commentf("minion %d had %d requests at once", i, counts.MostRequests))
		c.Check(counts.MostConnections <= 64, qt.IsTrue, qt.Commentf("minion %d had %d connections at once", i, counts.MostConnections))
		for identity, times := range counts.Requests {
			ran[identity] += times
		}
	}
	checkRuns(c, ran, "done", k.done, 1, 1)
	checkRuns(c, ran, "not run", k.notRun, 0, 0)
	checkRuns(c, ran, "unknown", k.unknown, 0, 1)
	c.Logf("%d idempotent answered; once: %d done, %d not run, %d unknown; %d resets",
		k.answered, len(k.done), len(k.notRun), len(k.unknown), k.resets)
	s.verifyWorkers(c)
}

func checkRuns(c *qt.C, ran map[string]int, told string, identities []string, least, most int) {
	for _, identity := range identities {
		if n := ran[identity]; n < least || n > most {
			c.Errorf("request %s ran %d times, its caller was told: %s", identity, n, told)
		}
	}
}

// verifyWorkers checks that no worker had more than it can hold, and that no
// task ran in two places at once.
func (s *cell) verifyWorkers(c *qt.C) {
	var accounts []emulator.Account
	for _, worker := range s.workers {
		var account emulator.Account
		getJSON(c, "http://"+worker.first+"/v1/account", &account)
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

// putFaults sets the faults of a stand-in.
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
