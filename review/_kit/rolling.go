package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// caseRolling: a steady stream of jobs, the entries are stopped and started in turn.
func caseRolling(rec *recorder, dir string) int {
	statusS := 20
	if s, err := strconv.Atoi(os.Getenv("STATUS_S")); err == nil {
		statusS = s
	}
	st := newStore(rec, 12)
	j := newJudge(rec)
	st.put("op", "config", config(1, "svc", "lab"))
	for i := range 8 {
		startMinion(st, rec, j, "svc", fmt.Sprintf("i-%08x", 0x1a2b3c00+i), "", 16000)
	}
	for i := range 4 {
		startMinion(st, rec, j, "lab", fmt.Sprintf("i-%08x", 0x2a2b3c00+i), "", 16000)
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
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Add(1)
	accepted := 0
	var mu sync.Mutex
	go func() {
		defer group.Done()
		var calls sync.WaitGroup
		defer calls.Wait()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			id := fmt.Sprintf("46%014x", 0xabc0000+i)
			service := "svc"
			if i%4 == 0 {
				service = "lab"
			}
			calls.Add(1)
			go func() {
				defer calls.Done()
				for try := range 3 {
					status, _ := call(rec, entries[(i+try)%3], "POST", "/"+service+"/"+id, job(1, 200*time.Millisecond), 3*time.Second)
					if status == 200 {
						mu.Lock()
						accepted++
						mu.Unlock()
						return
					}
					time.Sleep(time.Second)
				}
			}()
		}
	}()
	time.Sleep(time.Duration(statusS+13) * time.Second)
	if troubled() {
		rec.say("the entries are stopped and started in turn")
	}
	end := time.Now().Add(55 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		if !troubled() {
			time.Sleep(time.Second)
			continue
		}
		entries[i%3].restart()
		awaitReady(entries[i%3])
		time.Sleep(1300 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	time.Sleep(8 * time.Second)
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, t := range j.twice {
		rec.printf("TWICE: %s", t)
	}
	rec.say("%d jobs accepted, %d starts, %d starts break TWICE", accepted, len(j.starts), len(j.twice))
	if len(j.twice) > 0 {
		return broken
	}
	return held
}
