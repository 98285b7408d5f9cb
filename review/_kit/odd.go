package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/storer"
)

// oddValues returns values that no reader can use, or that are out of range, of an entry of
// minion m.
func oddValues(m *minion, other string) map[string]string {
	entry := func(address, capacity, labels, rest string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","state":"ready","free_capacity":%s,"labels":%s%s}`,
			m.service, address, capacity, labels, rest)
	}
	const capacity, labels = `{"cpu":16000,"mem_mb":65536,"gpu":0}`, `["a","r1-1"]`
	return map[string]string{
		"nested":    strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		"deeper":    strings.Repeat(`{"service":`, 20_000),
		"bytes":     "\xff\xfe\x00",
		"port":      entry("127.0.0.1:70000", capacity, labels, ""),
		"port-0":    entry("127.0.0.1:0", capacity, labels, ""),
		"path":      entry(m.addr+"/-/x?y=#", capacity, labels, ""),
		"control":   entry("127.0.0.1\n:80", capacity, labels, ""),
		"nobody":    entry("127.0.0.1:9", capacity, labels, ""),
		"other":     entry(other, capacity, labels, ""),
		"born":      entry(m.addr, capacity, labels, `,"born":9007199254740993`),
		"born-1":    entry(m.addr, capacity, labels, `,"born":1e400`),
		"huge":      entry(m.addr, `{"cpu":1e300,"mem_mb":1e300,"gpu":1e19}`, labels, ""),
		"large":     entry("127.0.0.1:9", `{"cpu":9e8,"mem_mb":9e7,"gpu":9e5}`, labels, ""),
		"negative":  entry(m.addr, `{"cpu":-1e300,"mem_mb":-1,"gpu":-1}`, labels, ""),
		"labels":    entry("127.0.0.1:9", capacity, `["a"`+strings.Repeat(`,"<label>"`, 20_000)+`]`, ""),
		"remaining": strings.Replace(entry(m.addr, capacity, labels, `,"remaining_ms":1e300`), "ready", "draining", 1),
		"service":   strings.Replace(entry("127.0.0.1:9", capacity, labels, ""), m.service, "a-service-of-others", 1),
		"long":      strings.Replace(entry("127.0.0.1:9", capacity, labels, ""), m.service, strings.Repeat("s", 300), 1),
		"state":     strings.Replace(entry(m.addr, capacity, labels, ""), "ready", "asleep", 1),
		"types":     `{"service":7,"address":[],"state":{},"free_capacity":"x","labels":{"a":1}}`,
		"digits":    entry(m.addr, capacity, labels, `,"born":`+strings.Repeat("1", 100_000)),
		"null":      "null",
	}
}

// putRaw writes a record as it is.
func (s *store) putRaw(topic string, part int, key, value string) {
	_, err := s.memory.Append(context.Background(), storer.Partition{Topic: topic, Number: part}, nil,
		storer.Record{Key: key, Value: []byte(value)})
	if err != nil {
		s.rec.printf("store: odd record %q: %v", key, err)
	}
}

// putOdd leaves odd records in all topics.
func putOdd(st *store, m *minion, other string) int {
	n := 0
	values := oddValues(m, other)
	for name, value := range values {
		st.putRaw("servers", 0, "odd-"+name, value)
		n++
	}
	keys := []string{"", " ", "\n", "\xff", "odd/cancel", "/cancel", strings.Repeat("k", 255)}
	for i, key := range keys {
		st.putRaw("servers", 0, key, values["nobody"])
		for name, value := range values {
			if len(value) > 20_000 {
				continue
			}
			for part := range st.parts {
				st.putRaw("jobs", part, key+name, value)
				st.putRaw("progress", part, key+name, value)
			}
			st.putRaw("entries", 0, key+name, value)
			st.putRaw("shards", 0, key+name, value)
			n += 2*st.parts + 2
		}
		st.putRaw("op", 0, fmt.Sprint("odd/", i), values["types"])
		n++
	}
	// More than a page of keys that are no UTF-8.
	for i := range 600 {
		st.putRaw("servers", 0, fmt.Sprintf("\xffi-%03d", i), values["bytes"])
		n++
	}
	st.putRaw("shards", 0, "service/odd", `{"shards":-1e300}`)
	st.putRaw("shards", 0, "worker/"+m.id, `{"shard":99}`)
	st.putRaw("entries", 0, "odd-large", `{"address":"127.0.0.1:9","cores":1e300,"placements":true}`)
	st.putRaw("entries", 0, "odd-nobody", `{"address":"127.0.0.1:9","cores":0.16,"placements":true}`)
	return n + 4
}

// caseOdd: odd records are among all that the entries read, and shift under the entries of
// minions, while entries are killed and started again.
func caseOdd(rec *recorder, dir string) int {
	const jobs = 120
	st := newStore(rec, 12)
	j := newJudge(rec)
	st.put("op", "config", config(1, "svc"))
	var minions []*minion
	for i := range 10 {
		m := startMinion(st, rec, j, "svc", fmt.Sprintf("i-%08x", 0x2a2b3c00+i), "", 16000)
		m.mu.Lock()
		m.odd = i%2 == 0
		m.mu.Unlock()
		minions = append(minions, m)
	}
	if troubled() {
		rec.say("%d odd records were left in all topics", putOdd(st, minions[0], minions[1].addr))
		ctx, stop := context.WithCancel(context.Background())
		var background errgroup.Group
		background.Go(func() error {
			shiftEntries(ctx, st, minions)
			return nil
		})
		defer func() {
			stop()
			// The function returns no error.
			_ = background.Wait()
		}()
	}
	var entries []*entry
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		entries = append(entries, newEntry(rec, dir, i+1, zone, st.addr, "", 120))
	}
	for _, e := range entries {
		e.start()
	}
	awaitReady(entries...)
	accepted := map[string]bool{}
	submit := func(from, to int) {
		for i := from; i < to; i++ {
			id := fmt.Sprintf("47%014x", 0xabc00+i)
			body := job(4, time.Duration(500+i%5*700)*time.Millisecond)
			for try := range 3 {
				if status, _ := call(rec, entries[(i+try)%3], "POST", "/svc/"+id, body, 3*time.Second); status == 200 {
					accepted[id] = true
					break
				}
			}
			time.Sleep(60 * time.Millisecond)
		}
	}
	ended := 0
	for i, e := range entries {
		submit(i*jobs/3, (i+1)*jobs/3)
		for _, other := range entries {
			select {
			case <-other.done:
				ended++
				rec.say("%s ended by itself", other.name)
			default:
			}
		}
		e.restart()
		awaitReady(e)
	}
	rec.say("%d of %d jobs were accepted", len(accepted), jobs)
	deadline := time.Now().Add(25 * time.Second)
	left := accepted
	for len(left) > 0 && time.Now().Before(deadline) {
		time.Sleep(500 * time.Millisecond)
		still := map[string]bool{}
		for id := range left {
			if _, answer := call(rec, entries[0], "GET", "/svc/"+id, nil, 3*time.Second); !strings.Contains(answer, `"completed"`) {
				still[id] = true
			}
		}
		left = still
	}
	bytes := int64(0)
	for _, e := range entries {
		select {
		case <-e.done:
			ended++
			rec.say("%s ended by itself", e.name)
		default:
		}
		if info, err := os.Stat(e.logs); err == nil {
			bytes += info.Size()
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, line := range j.twice {
		rec.say("TWICE: %s", line)
	}
	rec.say("%d starts, %d of them TWICE, %d jobs were not completed, %d processes ended by themselves, logs of %d KB",
		len(j.starts), len(j.twice), len(left), ended, bytes/1024)
	switch {
	case len(j.twice) > 0, len(left) > 0, ended > 0:
		return broken
	case len(accepted) < jobs:
		return couldNot
	}
	return held
}

// shiftEntries overwrites the entries of minions with odd ones. Each minion writes its own again
// with its next heartbeat.
func shiftEntries(ctx context.Context, st *store, minions []*minion) {
	for i := 0; ctx.Err() == nil; i++ {
		m, other := minions[i%len(minions)], minions[(i+1)%len(minions)]
		for name, value := range oddValues(m, other.addr) {
			if ctx.Err() != nil {
				return
			}
			st.rec.printf("store: the entry of %s is odd: %s", m.id, name)
			st.putRaw("servers", 0, m.id, value)
			time.Sleep(150 * time.Millisecond)
		}
	}
}

// oddFigure is a number that fits no field.
var oddFigure = json.RawMessage("1e400")
