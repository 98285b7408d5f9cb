package main

import (
	"fmt"
	"strings"
	"time"
)

// caseWide: a job of tasks that last and keep apart, on a service that is large enough to
// have more than one owner.
func caseWide(rec *recorder, dir string) int {
	const (
		minions = 96
		// many is the number of tasks, one on each minion, and few the same without the
		// trouble.
		many, few = 60, 40
		finish    = 14 * time.Second // finish_s
		idle      = 3 * time.Second  // the time in LOST
	)
	st := newStore(rec, 12)
	j := newJudge(rec)
	st.put("op", "config", config(1, "svc"))
	for i := range minions {
		startMinion(st, rec, j, "svc", fmt.Sprintf("i-%08x", 0x1a2b3c00+i), "", 16000)
	}
	var entries []*entry
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		e := newEntry(rec, dir, i+1, zone, st.addr, "", 120)
		// The smallest entries of the larger deployments.
		e.replaceSetting("cpu_fraction = 0.4", "cpu_fraction = 0.192")
		entries = append(entries, e)
	}
	for _, e := range entries {
		e.start()
	}
	awaitReady(entries...)
	time.Sleep(3 * time.Second)
	tasks := few
	if troubled() {
		tasks = many
	}
	id := "460000000001de00"
	body := map[string]any{"spec": "0s", "phases": []map[string]any{{
		"task_count": tasks, "cpu": 500, "mem_mb": 256, "estimate_ms": 500, "long_running": true, "anti_affinity": 1,
	}}}
	if status, _ := call(rec, entries[0], "POST", "/svc/"+id, body, 3*time.Second); status != 200 {
		return couldNot
	}
	rec.say("a job of %d tasks that last, one on a minion, was accepted; the service has %d idle minions", tasks, minions)
	time.Sleep(finish)
	ran := map[string]bool{}
	running := 0
	for until := time.Now().Add(idle); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		j.mu.Lock()
		running = 0
		for task, runs := range j.active {
			if strings.HasPrefix(task, id) && len(runs) > 0 {
				ran[task] = true
				running++
			}
		}
		j.mu.Unlock()
	}
	_, answer := call(rec, entries[1], "GET", "/svc/"+id, nil, 3*time.Second)
	rec.say("%d of %d tasks ran within %v, %v after the job was accepted, on %d minions; state %s", len(ran), tasks, idle, finish, minions, strings.TrimSpace(answer))
	if len(ran) < tasks {
		rec.say("LOST: %d tasks have nothing running, %d minions have no task", tasks-len(ran), minions-running)
		return broken
	}
	return held
}
