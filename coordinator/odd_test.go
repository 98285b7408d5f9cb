package coordinator

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// TestOneHugeWorkerHasAShardToItself guards against a worker that says to have many times the
// capacity of all others: every other worker was assigned to other shards, for good, and the jobs
// of its shard never ran (LOST).
func TestOneHugeWorkerHasAShardToItself(t *testing.T) {
	for _, huge := range []int64{1e6, 1e9, 1 << 62} {
		t.Run(fmt.Sprint(huge), func(t *testing.T) {
			c := qt.New(t)
			d := newShardDecider(c, storer.NewMemory(timekeeper.System()))
			const shards = 2
			workers := workersFor("desk", shards)
			for i := range 3 {
				workers = append(workers, scheduler.WorkerEntry{
					Ref: scheduler.WorkerRef{
						ID: fmt.Sprintf("huge/%d", i),
					},
					Service: "desk",
					Total:   sizer.New(huge, 1<<30, 0),
				})
			}
			d.decide(workers)
			d.decide(workers)
			byPartition := make(map[int]int)
			for _, worker := range workers[:shards*defaultShardSize] {
				partition, known := d.shards.partitionOfWorker(worker)
				c.Assert(known, qt.IsTrue)
				byPartition[partition]++
			}
			c.Assert(byPartition, qt.HasLen, shards)
			for partition, n := range byPartition {
				c.Assert(n > defaultShardSize*3/4, qt.IsTrue, qt.Commentf("partition %d has %d workers", partition, n))
			}
		})
	}
}

// TestServiceThatIsNotConfiguredTakesPartitions guards against entries of other writers whose
// services got shards for good, so that configured services had to share partitions, and against
// names too long for a key, which kept all other records from being stored.
func TestServiceThatIsNotConfiguredTakesPartitions(t *testing.T) {
	c := qt.New(t)
	d := newShardDecider(c, storer.NewMemory(timekeeper.System()))
	workers := workersFor("desk", 2)
	for i := range 3 * testPartitions {
		workers = append(workers, scheduler.WorkerEntry{
			Ref: scheduler.WorkerRef{
				ID: fmt.Sprintf("odd/%d", i),
			},
			Service: fmt.Sprintf("a-%d", i),
		}, scheduler.WorkerEntry{
			Ref: scheduler.WorkerRef{
				ID: fmt.Sprintf("long/%d", i),
			},
			Service: strings.Repeat("a", 300),
		})
	}
	configured := []string{"desk", "lab", strings.Repeat("b", 300)}
	d.shards.missingRecords(workers, configured, d.owned, testStart)
	records, offset := d.shards.missingRecords(workers, configured, d.owned, testStart.Add(emptyServiceWait))
	for _, record := range records {
		valid := record.Key == "service/desk" || record.Key == "service/lab" || strings.HasPrefix(record.Key, "worker/desk/")
		c.Assert(valid, qt.IsTrue, qt.Commentf("%s", record.Key))
	}
	c.Assert(d.write(records, offset), qt.IsNil)
	c.Assert(d.read(), qt.HasLen, 0)
	c.Assert(d.shards.decided("desk"), qt.IsTrue)
	c.Assert(d.shards.decided("lab"), qt.IsTrue)
	// A service that has a record keeps its workers assigned when it is configured no more.
	workers[0].Ref.ID = "desk/new"
	records, _ = d.shards.missingRecords(workers, nil, d.owned, testStart.Add(2*emptyServiceWait))
	c.Assert(records, qt.HasLen, 1)
	c.Assert(records[0].Key, qt.Equals, "worker/desk/new")
}

// TestServiceWithoutARouteNorWorkersIsDecided guards against a service that gets one shard for good
// before its workers and its route are there.
func TestServiceWithoutARouteNorWorkersIsDecided(t *testing.T) {
	c := qt.New(t)
	workers := workersFor("lab", 1)
	c.Assert(withWorkers([]string{"desk"}, []string{"desk", "lab", "rest"}, workers), qt.DeepEquals, []string{"desk", "lab"})
	c.Assert(withWorkers([]string{"desk"}, []string{"rest"}, nil), qt.DeepEquals, []string{"desk"})
}

// TestOddPeerIsCalled guards against records of entries that are called although they name no
// address, and against one that voids what the entry has published before.
func TestOddPeerIsCalled(t *testing.T) {
	for _, value := range []string{
		"", "\xff\x00", "{", `{"address":7}`, `{"address":""}`, `{"address":"10.0.0.1:70000"}`, `{"address":"10.0.0.1"}`,
		`{"address":"10.0.0.1:7","cores":1e400}`, `{"address":"10.0.0.1:7","cores":-1}`, `{"address":"10.0.0.1:7","cores":1e300}`,
		strings.Repeat("[", 200_000), strings.Repeat("1", 300) + ":7",
	} {
		t.Run(value[:min(len(value), 40)], func(t *testing.T) {
			c := qt.New(t)
			s := newEvidenceSite(t)
			e := s.start("e")
			e.applyPeers([]storer.Record{
				{
					Key:   "a",
					Value: []byte(`{"address":"10.0.0.1:7","cores":0.4,"placements":true}`),
				},
			})
			e.applyPeers([]storer.Record{
				{
					Key:   "a",
					Value: []byte(value),
				},
				{
					Key:   "b",
					Value: []byte(value),
				},
				{
					Key:   "c",
					Value: []byte("10.0.0.3:7"),
				},
			})
			c.Assert(e.peers["a"], qt.Equals, peer{
				Address:    "10.0.0.1:7",
				Cores:      0.4,
				Placements: true,
			})
			_, found := e.peers["b"]
			c.Assert(found, qt.IsFalse)
			c.Assert(e.peers["c"].Address, qt.Equals, "10.0.0.3:7")
		})
	}
}

// TestOddEntriesFloodTheLog guards against a log line for each odd entry in each read, and against
// none that names the entry.
func TestOddEntriesFloodTheLog(t *testing.T) {
	c := qt.New(t)
	s := newEvidenceSite(t)
	e := s.start("e")
	logs := memory.New()
	e.settings.logger = &log.Logger{
		Handler: logs,
		Level:   log.InfoLevel,
	}
	clock := timekeeper.NewFake(testStart)
	e.settings.clock = clock
	e.settings.decodeWorker = func(record storer.Record, now time.Time) (scheduler.WorkerEntry, error) {
		if strings.HasPrefix(record.Key, "odd") {
			return scheduler.WorkerEntry{}, errors.New("no worker " + record.Key)
		}
		return scheduler.WorkerEntry{
			Ref: scheduler.WorkerRef{
				ID: record.Key,
			},
			Read: now,
		}, nil
	}
	var records []storer.Record
	for i := range 200 {
		records = append(records, storer.Record{
			Key:   fmt.Sprintf("odd%d", i),
			Value: []byte("x"),
		})
	}
	records = append(records, storer.Record{
		Key:   "w",
		Value: []byte("{}"),
	})
	workers := make(map[string]scheduler.WorkerEntry)
	const minute = 60
	for range minute {
		e.applyWorkers(workers, records)
		c.Assert(workers, qt.HasLen, 1)
		clock.Advance(time.Second)
	}
	c.Assert(len(logs.Entries) >= minute/2, qt.IsTrue, qt.Commentf("%d lines", len(logs.Entries)))
	c.Assert(len(logs.Entries) <= 2*minute, qt.IsTrue, qt.Commentf("%d lines", len(logs.Entries)))
	omitted := 0
	for _, entry := range logs.Entries {
		c.Assert(entry.Fields["error"], qt.Not(qt.IsNil))
		if n, found := entry.Fields["omitted"].(int); found {
			omitted += n
		}
	}
	c.Assert(omitted > 200*minute*9/10, qt.IsTrue, qt.Commentf("%d", omitted))
}

// TestUnsteadyDirectoryLeavesAServiceUndecided guards against a service that never gets shards, so
// that all of its jobs are refused, as an odd entry comes and goes between the reads.
func TestUnsteadyDirectoryLeavesAServiceUndecided(t *testing.T) {
	c := qt.New(t)
	d := newShardDecider(c, storer.NewMemory(timekeeper.System()))
	workers := workersFor("desk", 2)
	var decidedAfter time.Duration
	for i := range 60 {
		elapsed := time.Duration(i) * 500 * time.Millisecond
		listed := workers[:len(workers)-i%2]
		if records, _ := d.shards.missingRecords(listed, []string{"desk"}, d.owned, testStart.Add(elapsed)); len(records) > 0 {
			decidedAfter = elapsed
			c.Assert(string(records[0].Value), qt.Contains, `"shards":2`)
			break
		}
	}
	c.Assert(decidedAfter > emptyServiceWait, qt.IsTrue, qt.Commentf("%v", decidedAfter))
	c.Assert(decidedAfter <= 2*emptyServiceWait, qt.IsTrue, qt.Commentf("%v", decidedAfter))
}
