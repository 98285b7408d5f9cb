package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseSoak hands in jobs of many shapes while entries and minions are disturbed at random.
// SEED, MINIONS, ENTRIES, SECONDS and FAULTS set what is played.
func caseSoak(c *cell) error {
	num := func(name string, other int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return other
	}
	rnd := rand.New(rand.NewPCG(uint64(num("SEED", 1)), 7))
	faults := os.Getenv("FAULTS")
	for i := range num("MINIONS", 10) {
		kind := "ab"[i%2 : i%2+1]
		if i < num("RARE", 0) {
			kind = "c"
		}
		m, err := newMinion(c, fmt.Sprintf("desk-%d", i+1), "desk", fmt.Sprintf("r1-%d", i/5+1), kind, 16000)
		if err != nil {
			return err
		}
		if strings.Contains(faults, "late") {
			m.lateShare = 0.05
		}
		c.minions = append(c.minions, m)
	}
	if err := c.store.put("op", "config", config(3, []string{"desk"}, route("r-a", "/alpha/", "desk", 8), route("r-b", "/beta/", "desk", 8))); err != nil {
		return err
	}
	if err := c.addEntries(num("ENTRIES", 3)); err != nil {
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
	jobs := make(map[string]map[string]any)
	var order []string
	var mu sync.Mutex
	seconds := num("SECONDS", 30)
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		for time.Now().Before(end) {
			id := fmt.Sprintf("%016x", rnd.Uint64())
			body := randomJob(rnd)
			group.Add(1)
			first := c.entries[rnd.IntN(len(c.entries))]
			go func() {
				e := first
				defer group.Done()
				for try := range 8 {
					status, _ := c.call(e, "POST", "/alpha/"+id, body)
					if status/100 == 2 {
						mu.Lock()
						jobs[id] = body
						order = append(order, id)
						mu.Unlock()
						if wait, cancels := body["cancel"].(time.Duration); cancels {
							time.Sleep(wait)
							for range 8 {
								e = c.entries[rand.IntN(len(c.entries))]
								if status, _ := c.call(e, "DELETE", "/alpha/"+id, nil); status/100 == 2 {
									mu.Lock()
									body["cancelled"] = time.Now()
									mu.Unlock()
									break
								}
								time.Sleep(500 * time.Millisecond)
							}
						}
						return
					}
					time.Sleep(time.Second)
					e = c.entries[(try+1)%len(c.entries)]
				}
			}()
			time.Sleep(time.Duration(300+rnd.IntN(500)) * time.Millisecond)
		}
	}()
	if c.trouble {
		group.Add(1)
		go func() {
			defer group.Done()
			c.disturb(rand.New(rand.NewPCG(uint64(num("SEED", 1)), 8)), faults, end)
		}()
	}
	group.Wait()
	for _, e := range c.entries {
		if e.cmd.ProcessState != nil {
			c.start(e)
		}
	}
	// All occurrences are due within 15 s, and take a few seconds each.
	var broken []string
	deadline := time.Now().Add(40 * time.Second)
	open := len(order)
	for open > 0 && time.Now().Before(deadline) {
		time.Sleep(2 * time.Second)
		open = 0
		for _, id := range order {
			if jobs[id]["ended"] != nil {
				continue
			}
			status, text := c.call(c.entries[rand.IntN(len(c.entries))], "GET", "/alpha/"+id, nil)
			switch {
			case status == 410:
				broken = append(broken, "LOST 410 "+id)
				jobs[id]["ended"] = true
			case strings.Contains(text, "failed"):
				broken = append(broken, "failed? "+id)
				jobs[id]["ended"] = true
			case strings.Contains(text, "canceled"):
				if jobs[id]["cancelled"] == nil {
					broken = append(broken, "LOST canceled "+id)
				}
				jobs[id]["ended"] = true
			case strings.Contains(text, "completed"):
				if missing := c.missing(id, jobs[id]); missing != "" {
					broken = append(broken, "MIXED "+missing)
				}
				jobs[id]["ended"] = true
			default:
				open++
			}
		}
	}
	for _, id := range order {
		if jobs[id]["ended"] == nil {
			broken = append(broken, "NOT ENDED "+id)
		}
		if text := twice(c.eventsOf(id)); text != "" && jobs[id]["copies"] == nil {
			broken = append(broken, text)
		}
		if at, cancelled := jobs[id]["cancelled"].(time.Time); cancelled {
			for _, e := range c.eventsOf(id) {
				if strings.HasPrefix(e.what, "starts") && e.at.Sub(at) > 6*time.Second {
					broken = append(broken, fmt.Sprintf("UNASKED %s starts %v after its cancelling", e.task, e.at.Sub(at)))
				}
			}
		}
		if text := c.early(id, jobs[id]); text != "" {
			broken = append(broken, text)
		}
	}
	if len(broken) > 0 {
		return errBroken{strings.Join(broken, "; ")}
	}
	return nil
}

func randomJob(rnd *rand.Rand) map[string]any {
	body := map[string]any{"spec": fmt.Sprintf("run %dms fail %.2f", 200+rnd.IntN(1500), []float64{0, 0, 0.05}[rnd.IntN(3)])}
	phases := []any{}
	for i := range 1 + rnd.IntN(3) {
		phase := map[string]any{"task_count": 1 + rnd.IntN(5), "cpu": 500 + rnd.IntN(3000), "mem_mb": 512, "estimate_ms": 900}
		if i > 0 {
			phase["depends_on"] = []int{rnd.IntN(i)}
		}
		switch rnd.IntN(6) {
		case 1:
			phase["speculative"] = true
			body["copies"] = true
		case 2:
			phase["requirements"] = "b"
			if os.Getenv("RARE") != "" {
				phase["requirements"] = "c"
			}
		case 3:
			phase["anti_affinity"] = 1
		}
		phases = append(phases, phase)
	}
	body["phases"] = phases
	if os.Getenv("CANCEL") != "" && rnd.IntN(3) == 0 {
		body["cancel"] = time.Duration(rnd.IntN(4000)) * time.Millisecond
		if rnd.IntN(2) == 0 {
			body["spec"] = specLasting
			phase := phases[0].(map[string]any)
			phase["long_running"] = true
			delete(phase, "speculative")
			delete(body, "copies")
			body["phases"] = phases[:1]
			return body
		}
	}
	if rnd.IntN(10) < 7 {
		body["start_at_ms"] = time.Now().Add(time.Duration(rnd.IntN(5000)-1000) * time.Millisecond).UnixMilli()
		body["interval_ms"] = 100 + rnd.IntN(1500)
		body["repetitions"] = 1 + rnd.IntN(8)
	}
	return body
}

// disturb disturbs entries and minions at random until the end.
func (c *cell) disturb(rnd *rand.Rand, faults string, end time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	var kinds []string
	for _, k := range strings.Fields(faults) {
		if k != "late" {
			kinds = append(kinds, k)
		}
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rnd.IntN(2500)) * time.Millisecond)
		if len(kinds) == 0 {
			continue
		}
		m := c.minions[rnd.IntN(len(c.minions))]
		e := c.entries[rnd.IntN(len(c.entries))]
		switch kinds[rnd.IntN(len(kinds))] {
		case "kill":
			c.record("kill %s", e.name)
			e.cmd.Process.Kill()
			e.cmd.Wait()
			time.Sleep(time.Duration(200+rnd.IntN(1500)) * time.Millisecond)
			c.start(e)
		case "killall":
			c.record("kill all")
			for _, e := range c.entries {
				e.cmd.Process.Kill()
				e.cmd.Wait()
			}
			time.Sleep(time.Duration(200+rnd.IntN(1500)) * time.Millisecond)
			for _, e := range c.entries {
				c.start(e)
			}
		case "term":
			c.record("term %s", e.name)
			e.cmd.Process.Signal(syscall.SIGTERM)
			e.cmd.Wait()
			c.start(e)
		case "freeze":
			c.record("freeze %s", e.name)
			e.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(1000+rnd.IntN(4000)) * time.Millisecond)
			c.record("thaw %s", e.name)
			e.cmd.Process.Signal(syscall.SIGCONT)
		case "crash":
			group.Add(1)
			go func() {
				defer group.Done()
				m.crash(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
			}()
		case "lost":
			c.record("answers of the store are lost")
			c.store.lostUntil.Store(time.Now().Add(4500 * time.Millisecond).UnixNano())
		case "storelate":
			c.record("writes at the store are late")
			c.store.lateUntil.Store(time.Now().Add(4500 * time.Millisecond).UnixNano())
		case "down":
			c.record("the store is down")
			c.store.downUntil.Store(time.Now().Add(time.Duration(1000+rnd.IntN(3500)) * time.Millisecond).UnixNano())
		case "rebalance":
			c.record("all partitions are dealt anew")
			c.store.memory.Revoke("entries")
		case "cut":
			m.mu.Lock()
			m.cutUntil = time.Now().Add(time.Duration(1000+rnd.IntN(6000)) * time.Millisecond)
			c.record("cut %s (%s)", m.name, m.id)
			m.mu.Unlock()
		}
	}
}

// missing returns a task of a completed job of which no run has ended done.
func (c *cell) missing(id string, body map[string]any) string {
	done := make(map[string]bool)
	for _, e := range c.eventsOf(id) {
		if e.what == "done" {
			done[e.task] = true
			done[e.task[:strings.LastIndex(e.task, ".")]] = true
		}
	}
	repetitions, _ := body["repetitions"].(int)
	for k := range max(1, repetitions) {
		for p, phase := range body["phases"].([]any) {
			step := fmt.Sprintf("%s.%d.%d", id, k, p)
			if phase.(map[string]any)["gang"] == true {
				if !done[step] {
					return step
				}
				continue
			}
			for i := range phase.(map[string]any)["task_count"].(int) {
				if task := fmt.Sprintf("%s.%d", step, i); !done[task] {
					return task
				}
			}
		}
	}
	return ""
}

// early returns a start before its time or before the steps that it depends on were done.
func (c *cell) early(id string, body map[string]any) string {
	done := make(map[string]map[string]bool)
	gangDone := make(map[string]bool)
	phases := body["phases"].([]any)
	for _, e := range c.eventsOf(id) {
		parts := strings.Split(e.task, ".")
		k, _ := strconv.Atoi(parts[1])
		p, _ := strconv.Atoi(parts[2])
		step := strings.Join(parts[:3], ".")
		if e.what == "done" {
			if done[step] == nil {
				done[step] = make(map[string]bool)
			}
			done[step][e.task] = true
			gangDone[step] = true
		}
		if !strings.HasPrefix(e.what, "starts") {
			continue
		}
		if _, timed := body["repetitions"]; timed {
			due := time.UnixMilli(body["start_at_ms"].(int64)).Add(time.Duration(k*body["interval_ms"].(int)) * time.Millisecond)
			if due.Sub(e.at) > 250*time.Millisecond {
				return "ORDER early " + e.task
			}
		}
		deps, _ := phases[p].(map[string]any)["depends_on"].([]int)
		for _, d := range deps {
			other := fmt.Sprintf("%s.%d.%d", id, k, d)
			of := phases[d].(map[string]any)
			if of["gang"] == true && !gangDone[other] || of["gang"] != true && len(done[other]) < of["task_count"].(int) {
				return "ORDER " + e.task + " before " + other
			}
		}
	}
	return ""
}
