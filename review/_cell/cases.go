package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func route(name, prefix, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "jobs.example", "path_prefix": prefix, "type": "non_idempotent", "timeout_ms": 3000,
		"target_latency_ms": 1000, "priority": 1, "service": service, "max_attempts": attempts, "slack_factor": 2.2,
	}
}

func config(version int, services []string, routes ...map[string]any) map[string]any {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 64})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	}
}

// caseRoute removes a route while a job of its queue runs, and adds one of the same host and prefix
// to another service.
func caseRoute(c *cell) error {
	services := []string{"desk", "lab"}
	for _, service := range services {
		for i := range 4 {
			m, err := newMinion(c, fmt.Sprintf("%s-%d", service, i+1), service, fmt.Sprintf("r1-%d", i/2+1), "a", 16000)
			if err != nil {
				return err
			}
			c.minions = append(c.minions, m)
		}
	}
	if err := c.store.put("op", "config", config(3, services, route("r-a", "/alpha/", "desk", 3), route("r-b", "/beta/", "lab", 3))); err != nil {
		return err
	}
	if err := c.addEntries(2); err != nil {
		return err
	}
	for _, e := range c.entries {
		if err := c.start(e); err != nil {
			return err
		}
	}
	if err := c.awaitReady(); err != nil {
		return err
	}
	const path, job = "/alpha/5c0e7a21d94b36f8", "5c0e7a21d94b36f8"
	body := map[string]any{"spec": "run 28s", "phases": []any{map[string]any{"task_count": 4, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 28000}}}
	if _, err := c.submit(c.entries[0], path, body); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	for _, e := range c.entries {
		if status, _ := c.call(e, "GET", path, nil); status != 200 {
			return fmt.Errorf("before the change, the job is answered %d", status)
		}
	}
	if c.trouble {
		c.record("the operator removes the route")
		if err := c.store.put("op", "config", config(7, services, route("r-b", "/beta/", "lab", 3))); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		c.record("the operator adds a route of that host and prefix, to another service")
		if err := c.store.put("op", "config", config(11, services, route("r-c", "/alpha/", "lab", 3), route("r-b", "/beta/", "lab", 3))); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	var broken []string
	for _, e := range c.entries {
		if status, _ := c.call(e, "GET", path, nil); status == 410 {
			broken = append(broken, "LOST: a GET for an accepted job that nobody has cancelled is answered 410 by "+e.name)
		}
	}
	// The request for the same job arrives again.
	c.call(c.entries[1], "POST", path, body)
	time.Sleep(5 * time.Second)
	if text := twice(c.eventsOf(job)); text != "" {
		broken = append(broken, text)
	}
	if len(broken) > 0 {
		return errBroken{strings.Join(broken, "; ")}
	}
	return nil
}

// twice returns a text if two runs of one task were active at the same time, or one began after
// another had ended done and that end is taken note of then or later.
func twice(events []event) string {
	taken := make(map[string]bool)
	for _, e := range events {
		if e.what == noted {
			taken[fmt.Sprintf("%s %d on %s", e.task, e.attempt, e.minion)] = true
		}
	}
	active := make(map[string]map[string]bool)
	done := make(map[string]bool)
	for _, e := range events {
		run := fmt.Sprintf("%d on %s", e.attempt, e.minion)
		if active[e.task] == nil {
			active[e.task] = make(map[string]bool)
		}
		switch {
		case e.what == noted:
		case strings.HasPrefix(e.what, "starts"):
			if done[e.task] {
				return "TWICE: " + e.task + " starts after it was done"
			}
			active[e.task][run] = true
			if len(active[e.task]) > 1 {
				return fmt.Sprintf("TWICE: two runs of %s at the same time: %v", e.task, active[e.task])
			}
		default:
			delete(active[e.task], run)
			if e.what == "done" && taken[e.task+" "+run] {
				done[e.task] = true
			}
		}
	}
	return ""
}

// caseFormerLife has a minion leave the start of one task without an answer, start again under its
// id, and carry that start out then.
func caseFormerLife(c *cell) error {
	c.reborn = true
	for i := range 10 {
		m, err := newMinion(c, fmt.Sprintf("desk-%d", i+1), "desk", fmt.Sprintf("r1-%d", i/5+1), "a", 16000)
		if err != nil {
			return err
		}
		c.minions = append(c.minions, m)
	}
	var mu sync.Mutex
	var chosen string
	var at *minion
	seen := make(chan struct{})
	if c.trouble {
		for _, m := range c.minions {
			m.choose = func(o order, path string) bool {
				mu.Lock()
				defer mu.Unlock()
				if path != "/-/run-start" || chosen != "" && (o.Task != chosen || at != m) {
					return false
				}
				if chosen == "" {
					chosen, at = o.Task, m
					close(seen)
				}
				// The first order and its repetition.
				return len(m.late) < 2
			}
		}
	}
	if err := c.store.put("op", "config", config(3, []string{"desk"}, route("r-a", "/alpha/", "desk", 4))); err != nil {
		return err
	}
	if err := c.addEntries(3); err != nil {
		return err
	}
	for _, e := range c.entries {
		if err := c.start(e); err != nil {
			return err
		}
	}
	if err := c.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	body := map[string]any{"spec": "run 8s", "phases": []any{map[string]any{"task_count": 40, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 8000}}}
	if _, err := c.submit(c.entries[0], jobPath(0), body); err != nil {
		return err
	}
	if c.trouble {
		select {
		case <-seen:
		case <-time.After(5 * time.Second):
			return fmt.Errorf("no start came")
		}
		time.Sleep(1200 * time.Millisecond)
		at.crash(1300 * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	for _, events := range byTask(c.eventsOf(strings.TrimPrefix(jobPath(0), "/alpha/"))) {
		if text := twice(events); text != "" {
			return errBroken{text}
		}
	}
	if _, text := c.call(c.entries[0], "GET", jobPath(0), nil); !strings.Contains(text, "completed") {
		return fmt.Errorf("the job is answered %s", text)
	}
	return nil
}

// hupGap is gap_s of hup.
const hupGap = 1670 * time.Millisecond

// caseAdviser moves the adviser: the settings files name another address, and the entries get
// SIGHUP.
func caseAdviser(c *cell) error {
	for i := range 6 {
		m, err := newMinion(c, fmt.Sprintf("desk-%d", i+1), "desk", fmt.Sprintf("r1-%d", i/3+1), "a", 16000)
		if err != nil {
			return err
		}
		c.minions = append(c.minions, m)
	}
	first, err := newAdviser(c)
	if err != nil {
		return err
	}
	c.recommendation = first.address
	queue := route("r-a", "/alpha/", "desk", 3)
	queue["recommendation"] = map[string]any{
		"decision_ms": decisionTime.Milliseconds(), "period_ms": perWorker.Milliseconds(), "validity_ms": validityTime.Milliseconds(),
	}
	if err := c.store.put("op", "config", config(3, []string{"desk"}, queue)); err != nil {
		return err
	}
	if err := c.addEntries(3); err != nil {
		return err
	}
	for _, e := range c.entries {
		if err := c.start(e); err != nil {
			return err
		}
	}
	if err := c.awaitReady(); err != nil {
		return err
	}
	body := map[string]any{"spec": "run 1s " + specAdvised, "phases": []any{map[string]any{"task_count": 3, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 1000}}}
	if _, err := c.submit(c.entries[0], "/alpha/5c0e7a21d94b36f8", body); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if _, text := c.call(c.entries[1], "GET", "/alpha/5c0e7a21d94b36f8", nil); !strings.Contains(text, "completed") {
		return fmt.Errorf("the job before the change is not completed")
	}
	if c.trouble {
		second, err := newAdviser(c)
		if err != nil {
			return err
		}
		c.recommendation = second.address
		for _, e := range c.entries {
			if err := c.writeSettings(e); err != nil {
				return err
			}
		}
		c.record("the settings files name the adviser at %s", second.address)
		// Two of the three entries get SIGHUP, and the third one by a second entry of that kind.
		for i, e := range c.entries {
			if err := e.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				return err
			}
			c.record("%s gets SIGHUP", e.name)
			time.Sleep([]time.Duration{hupGap, 4 * time.Second, 0}[i])
		}
		// Both addresses are served for config_apply_ms and as long again.
		time.Sleep(4 * time.Second)
		first.server.Close()
		c.record("the adviser at %s is gone", first.address)
	}
	if _, err := c.submit(c.entries[0], "/alpha/6c0e7a21d94b36f8", body); err != nil {
		return err
	}
	// finish_s after the end of the traffic jobs are asked for.
	time.Sleep(20 * time.Second)
	_, text := c.call(c.entries[1], "GET", "/alpha/6c0e7a21d94b36f8", nil)
	if len(c.eventsOf("6c0e7a21d94b36f8")) == 0 {
		return errBroken{"LOST: a job that was accepted 20 s ago has never had anything running, all minions are idle, it is shown as " + text}
	}
	if !strings.Contains(text, "completed") {
		return fmt.Errorf("the job after the change is answered %s", text)
	}
	return nil
}

// caseEnds kills the entry that owns the jobs while many small tasks end, so that a minion has
// more ends to list than it returns at a time.
func caseEnds(c *cell) error {
	for i := range 2 {
		m, err := newMinion(c, fmt.Sprintf("desk-%d", i+1), "desk", "r1-1", "a", 64000)
		if err != nil {
			return err
		}
		c.minions = append(c.minions, m)
	}
	if err := c.store.put("op", "config", config(3, []string{"desk"}, route("r-a", "/alpha/", "desk", 3))); err != nil {
		return err
	}
	if err := c.addEntries(3); err != nil {
		return err
	}
	for _, e := range c.entries {
		if err := c.start(e); err != nil {
			return err
		}
	}
	if err := c.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const jobs, tasks, runTime = 40, 32, 3 * time.Second
	began := time.Now()
	var group sync.WaitGroup
	for i := range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			body := map[string]any{"spec": specTimed + runTime.String(), "phases": []any{map[string]any{"task_count": tasks, "cpu": 100, "mem_mb": 32, "estimate_ms": runTime.Milliseconds()}}}
			c.submit(c.entries[i%len(c.entries)], jobPath(i), body)
		}()
		time.Sleep(25 * time.Millisecond)
	}
	group.Wait()
	before := 200 * time.Millisecond
	if d, err := time.ParseDuration(os.Getenv("KILL_BEFORE")); err == nil {
		before = d
	}
	time.Sleep(time.Until(began.Add(runTime - before)))
	if c.trouble {
		owner := c.owner()
		if owner == nil {
			return fmt.Errorf("no entry owns the jobs")
		}
		c.record("%s, which gives the orders, is killed", owner.name)
		owner.cmd.Process.Kill()
		owner.cmd.Wait()
		time.Sleep(500 * time.Millisecond)
		if err := c.start(owner); err != nil {
			return err
		}
	}
	time.Sleep(15 * time.Second)
	var broken []string
	count := 0
	for i := range jobs {
		id := strings.TrimPrefix(jobPath(i), "/alpha/")
		status, text := c.call(c.entries[i%len(c.entries)], "GET", jobPath(i), nil)
		if status != 200 || !strings.Contains(text, "completed") {
			return fmt.Errorf("the job %s is answered %d %s", id, status, text)
		}
		for task, events := range byTask(c.eventsOf(id)) {
			if text := twice(events); text != "" {
				count++
				broken = append(broken, text)
				c.record("%s: %s", task, text)
			}
		}
	}
	if count > 0 {
		return errBroken{fmt.Sprintf("%d of %d tasks, such as %s", count, jobs*tasks, broken[0])}
	}
	return nil
}

func jobPath(i int) string { return fmt.Sprintf("/alpha/5c0e7a21d94b%04x", i) }

// byTask divides events by their tasks.
func byTask(events []event) map[string][]event {
	of := make(map[string][]event)
	for _, e := range events {
		of[e.task] = append(of[e.task], e)
	}
	return of
}
