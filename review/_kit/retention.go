package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// caseRetention: a partition of the store is down while the jobs whose state need not be
// kept any longer are deleted. Later the entry that owns them is restarted.
func caseRetention(rec *recorder, dir string) int {
	statusS := 20
	if s, err := strconv.Atoi(os.Getenv("STATUS_S")); err == nil {
		statusS = s
	}
	st := newStore(rec, 12)
	j := newJudge(rec)
	st.put("op", "config", config(1, "svc"))
	for i := range 6 {
		startMinion(st, rec, j, "svc", fmt.Sprintf("i-%08x", 0x1a2b3c00+i), "", 16000)
	}
	var entries []*entry
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		entries = append(entries, newEntry(rec, dir, i+1, zone, st.addr, "", statusS))
	}
	for _, e := range entries {
		e.start()
	}
	awaitReady(entries...)
	time.Sleep(2 * time.Second)

	var ids []string
	began := time.Now()
	for i := range 20 {
		id := fmt.Sprintf("46%014x", 0xabc000+i)
		if status, _ := call(rec, entries[i%3], "POST", "/svc/"+id, job(2, 300*time.Millisecond), 3*time.Second); status == 200 {
			ids = append(ids, id)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	completed := 0
	for i, id := range ids {
		if _, answer := call(rec, entries[i%3], "GET", "/svc/"+id, nil, 3*time.Second); strings.Contains(answer, "completed") {
			completed++
		}
	}
	rec.say("%d jobs accepted, %d shown as completed, %d starts", len(ids), completed, len(j.starts))
	if completed == 0 || completed < len(ids) {
		return couldNot
	}
	// The states are kept for status_s and 10 s more, then the jobs are deleted.
	keep := time.Duration(statusS)*time.Second + 10*time.Second
	time.Sleep(time.Until(began.Add(keep - 300*time.Millisecond)))
	if troubled() {
		down := st.usedPartitions()
		numbers := slices.Sorted(maps.Keys(down))
		rec.say("the store answers 503 for the partition %v of the topic jobs for 4.5 s", numbers)
		st.setFault(func(c storeCall) storeFault {
			if c.Topic == "jobs" && down[c.Part] {
				return storeFault{Status: 503}
			}
			return storeFault{}
		})
	}
	time.Sleep(4500 * time.Millisecond)
	st.setFault(nil)
	rec.say("the store serves all partitions")
	time.Sleep(4 * time.Second)
	for _, e := range entries {
		if e.name == st.ownerAt(time.Now()) {
			rec.say("%s, which owns the partition, is stopped with SIGTERM and started again", e.name)
			e.restart()
			awaitReady(e)
			break
		}
	}
	time.Sleep(12 * time.Second)
	for _, id := range ids[:3] {
		call(rec, entries[0], "GET", "/svc/"+id, nil, 3*time.Second)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, t := range j.twice {
		rec.printf("TWICE: %s", t)
	}
	rec.say("%d starts break TWICE", len(j.twice))
	if len(j.twice) > 0 {
		return broken
	}
	return held
}
