package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	freezeFor   = 700 * time.Millisecond
	stopBound   = 900 * time.Millisecond // stop_timeout_ms
	contact     = 3 * time.Second        // contact_ms
	cancelBound = 3 * time.Second        // cancel_ms
)

// caseCancel: a machine freezes while a client hands a job in there. The client gives up
// and cancels the job at another machine, which acknowledges that. Then the first machine
// wakes.
func caseCancel(rec *recorder, dir string) int {
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
	time.Sleep(4 * time.Second)

	// One round for each entry, so that the frozen one is the owner of the partition once.
	ranOn := 0
	for round, frozen := range entries {
		other := entries[(round+1)%3]
		id := fmt.Sprintf("46%014x", 0xcafe00+round)
		rec.say("round %d: job %s is handed in at %s", round+1, id, frozen.name)
		woken := time.Now().Add(freezeFor)
		if troubled() {
			frozen.signal(syscall.SIGSTOP)
			time.AfterFunc(freezeFor, func() { frozen.signal(syscall.SIGCONT) })
		}
		// The client leaves after half of the latency objective of 250 ms.
		status, _ := call(rec, frozen, "POST", "/svc/"+id, job(1, 25*time.Second), 125*time.Millisecond)
		if status >= 400 {
			rec.say("the job was not accepted: %d", status)
			return couldNot
		}
		var cancelled time.Time
		for try := 0; cancelled.IsZero() && try < 8; try++ {
			status, _ = call(rec, other, "DELETE", "/svc/"+id, nil, 3*time.Second)
			if status == 200 || status == 410 {
				cancelled = time.Now()
			}
		}
		if status == 410 {
			rec.say("the cancelling was answered 410: no such job")
		}
		time.Sleep(9 * time.Second)
		call(rec, other, "GET", "/svc/"+id, nil, 3*time.Second)
		for _, s := range j.startsOf(id) {
			rec.say("%s was started on %s %.2f s after the acknowledgement of the cancelling", s.task, s.minion, s.at.Sub(cancelled).Seconds())
		}
		// The bound is cancel_ms and stop_timeout_ms after the acknowledgement, at a time
		// at which every machine has been in touch for contact_ms.
		over := time.Since(cancelled) > cancelBound+stopBound && time.Since(woken) > contact
		j.mu.Lock()
		for task, runs := range j.active {
			if strings.HasPrefix(task, id) && len(runs) > 0 && status == 200 && over {
				ranOn++
				rec.say("UNASKED: %s still runs %.1f s after the cancelling was acknowledged and %.1f s after the end of the freeze",
					task, time.Since(cancelled).Seconds(), time.Since(woken).Seconds())
			}
		}
		j.mu.Unlock()
	}
	if ranOn > 0 {
		return broken
	}
	return held
}
