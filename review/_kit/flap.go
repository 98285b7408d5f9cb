package main

import (
	"fmt"
	"strings"
	"time"
)

// caseFlap: the only minion with the label that a job needs goes down and up by turns, and
// stays up in the end.
func caseFlap(rec *recorder, dir string) int {
	const (
		crashes = 6
		upFor   = 2 * time.Second
		downFor = 2 * time.Second
		takes   = 5 * time.Second
	)
	st := newStore(rec, 12)
	j := newJudge(rec)
	st.put("op", "config", config(1, "svc"))
	for i := range 7 {
		startMinionOfKind(st, rec, j, "svc", fmt.Sprintf("i-%08x", 0x1a2b3c00+i), "", "a", 16000)
	}
	lives := 0
	up := func(addr string) *minion {
		lives++
		return startMinionOfKind(st, rec, j, "svc", fmt.Sprintf("i-%08x", 0x2b000000+lives), addr, "b", 16000)
	}
	labelled := up("")
	var entries []*entry
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		entries = append(entries, newEntry(rec, dir, i+1, zone, st.addr, "", 120))
	}
	for _, e := range entries {
		e.start()
	}
	awaitReady(entries...)
	time.Sleep(2 * time.Second)

	id := "4600000000f1a900"
	body := job(1, takes)
	body["phases"].([]map[string]any)[0]["requirements"] = "b"
	if status, _ := call(rec, entries[0], "POST", "/svc/"+id, body, 3*time.Second); status != 200 {
		return couldNot
	}
	rec.say("job %s of one task of %v was accepted, it needs the label b", id, takes)
	awaitStarts := func(n int) bool {
		for range 1000 {
			if len(j.startsOf(id)) >= n {
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	}
	down := 0
	for i := range crashes {
		if !troubled() || !awaitStarts(i+1) {
			break
		}
		time.Sleep(upFor)
		down++
		rec.say("the minion with the label crashes, %v after the task's start number %d", upFor, i+1)
		labelled.crash()
		time.Sleep(downFor)
		labelled = up(labelled.addr)
	}
	time.Sleep(takes + 7*time.Second)
	_, answer := call(rec, entries[1], "GET", "/svc/"+id, nil, 3*time.Second)
	ends := map[string]int{}
	j.mu.Lock()
	for task, list := range j.ends {
		if strings.HasPrefix(task, id) {
			for _, how := range list {
				ends[how]++
			}
		}
	}
	j.mu.Unlock()
	rec.say("%d crashes, %d starts, ends %v, state %s", down, len(j.startsOf(id)), ends, strings.TrimSpace(answer))
	if strings.Contains(answer, "failed") && ends["failed"] == 0 {
		rec.say("LOST: the job is shown as failed, and no run of it has ended failed")
		return broken
	}
	return held
}
