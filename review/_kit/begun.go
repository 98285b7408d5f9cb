package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// caseBegun: a minion refuses all starts for some seconds, the others are full. A machine is
// asked how many jobs have not begun.
func caseBegun(rec *recorder, dir string) int {
	const (
		greyFor = 6500 * time.Millisecond
		visible = 3*time.Second + 2*time.Second // visible_ms and 2 s
		jobs    = 40
	)
	st := newStore(rec, 12)
	j := newJudge(rec)
	st.put("op", "config", config(1, "svc"))
	for i := range 11 {
		startMinionOfKind(st, rec, j, "svc", fmt.Sprintf("i-%08x", 0x1a2b3c00+i), "", "b", 16000)
	}
	grey := startMinionOfKind(st, rec, j, "svc", "i-1a2b3cff", "", "a", 16000)
	var entries []*entry
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		entries = append(entries, newEntry(rec, dir, i+1, zone, st.addr, "", 120))
	}
	for _, e := range entries {
		e.start()
	}
	awaitReady(entries...)
	time.Sleep(2 * time.Second)
	for i := range 22 {
		body := job(1, 90*time.Second)
		phase := body["phases"].([]map[string]any)[0]
		phase["cpu"], phase["requirements"] = 8000, "b"
		if status, _ := call(rec, entries[0], "POST", "/svc/"+fmt.Sprintf("46%014x", 0xf111+i), body, 3*time.Second); status != 200 {
			return couldNot
		}
	}
	time.Sleep(2 * time.Second)
	j.mu.Lock()
	full := len(j.starts)
	j.mu.Unlock()
	rec.say("eleven of twelve minions are full with %d tasks of 8 cores", full)
	if full != 22 {
		return couldNot
	}
	if troubled() {
		rec.say("the twelfth minion answers starts with 503 for %v", greyFor)
		grey.setRefuses(true)
		time.AfterFunc(greyFor, func() { grey.setRefuses(false) })
	}
	began := time.Now()
	accepted := map[string]time.Time{}
	for i := range jobs {
		id := fmt.Sprintf("46%014x", 0xdead00+i)
		if status, _ := call(rec, entries[i%3], "POST", "/svc/"+id, job(1, 60*time.Second), 3*time.Second); status == 200 {
			accepted[id] = time.Now()
		}
	}
	rec.say("%d jobs of one task of 0.5 cores were accepted in %.2f s", len(accepted), time.Since(began).Seconds())
	wrong := 0
	for i := 0; time.Since(began) < 9*time.Second; i++ {
		asked := entries[i%3]
		status, answer := call(rec, asked, "GET", "/svc/", nil, 3*time.Second)
		var body struct {
			Pending *int `json:"pending_jobs"`
		}
		old := 0
		for id, at := range accepted {
			if time.Since(at) > visible && len(j.startsOf(id)) == 0 {
				old++
			}
		}
		if status == 200 && json.Unmarshal([]byte(answer), &body) == nil && body.Pending != nil && 2**body.Pending < old {
			wrong++
			if wrong == 1 {
				rec.say("MIXED: %s gives %d pending jobs, %d were accepted more than %v before and have not begun", asked.name, *body.Pending, old, visible)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.say("%d answers gave under half", wrong)
	if wrong > 0 {
		return broken
	}
	return held
}
