package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// caseRepeated: a job whose steps run several hundred times. The other jobs that are stored
// in its partition are watched.
func caseRepeated(rec *recorder, dir string) int {
	const (
		phases   = 20
		interval = 100 * time.Millisecond
		// many is how often the steps run, few the same without the disruption.
		many, few = 330, 200
		finish    = 14 * time.Second // finish_s
		idle      = 3 * time.Second  // the time in LOST
	)
	st := newStore(rec, 12)
	j := newJudge(rec)
	st.put("op", "config", config(1, "svc"))
	for i := range 6 {
		startMinion(st, rec, j, "svc", fmt.Sprintf("i-%08x", 0x1a2b3c00+i), "", 16000)
	}
	var entries []*entry
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		entries = append(entries, newEntry(rec, dir, i+1, zone, st.addr, "", 120))
	}
	for _, e := range entries {
		e.start()
	}
	awaitReady(entries...)
	time.Sleep(2 * time.Second)

	repetitions := few
	if troubled() {
		repetitions = many
	}
	if n, err := strconv.Atoi(os.Getenv("REPETITIONS")); err == nil {
		repetitions = n
	}
	list := []map[string]any{}
	for range phases {
		list = append(list, map[string]any{"task_count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 100})
	}
	scheduled := "46000000005c4ed0"
	status, _ := call(rec, entries[0], "POST", "/svc/"+scheduled, map[string]any{
		"spec": "20ms", "phases": list, "start_at_ms": time.Now().UnixMilli() + 500,
		"interval_ms": interval.Milliseconds(), "repetitions": repetitions,
	}, 3*time.Second)
	if status != 200 {
		return couldNot
	}
	rec.say("a job of %d steps that run %d times, every %v, was accepted", phases, repetitions, interval)
	var ids []string
	for i := range 48 {
		id := fmt.Sprintf("46%014x", 0xbeef00+i)
		if status, _ := call(rec, entries[i%3], "POST", "/svc/"+id, job(1, 300*time.Millisecond), 3*time.Second); status == 200 {
			ids = append(ids, id)
		}
		time.Sleep(time.Second)
	}
	rec.say("%d other jobs of one task of 0.3 s were accepted, the traffic ends", len(ids))
	if os.Getenv("RESTART") != "" {
		for _, e := range entries {
			e.restart()
			awaitReady(e)
		}
	}
	time.Sleep(finish)

	// For idle on end, nothing of the job runs although its turn has come.
	ids = append(ids, scheduled)
	waiting := map[string]bool{}
	for _, id := range ids {
		waiting[id] = true
	}
	most := 0
	for until := time.Now().Add(idle); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		j.mu.Lock()
		running := 0
		for task, runs := range j.active {
			if len(runs) > 0 {
				running++
				delete(waiting, strings.Split(task, ".")[0])
			}
		}
		j.mu.Unlock()
		most = max(most, running)
	}
	lost := 0
	for i, id := range ids {
		_, answer := call(rec, entries[i%3], "GET", "/svc/"+id, nil, 3*time.Second)
		if waiting[id] && !strings.Contains(answer, "completed") {
			lost++
			rec.printf("LOST: job %s, %d starts, is %s and has nothing running for %v, %v after the traffic", id, len(j.startsOf(id)), strings.TrimSpace(answer), idle, finish)
		}
	}
	rec.say("%d of %d jobs have nothing running for %v and are not completed; at most %d runs of 0.5 cores on 96 cores in that time", lost, len(ids), idle, most)
	if lost > 0 {
		return broken
	}
	return held
}
