package coordinator

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
)

// FuzzShardRecord guards against records of the shards that harm others, or name partitions that
// there are not.
func FuzzShardRecord(f *testing.F) {
	for key, documents := range map[string][]string{
		"service/desk":   {`{"shards":2,"partitions":[3,7]}`, `{"shards":3}`, `{"shards":2,"partitions":[3,3]}`, `{"shards":-1}`, `{"shards":1e300}`, `{"shards":99}`},
		"service/":       {`{"shards":1,"partitions":[-1]}`, `{"shards":1,"partitions":[12]}`, `{"shards":0,"partitions":[]}`},
		"worker/desk/0":  {`{"shard":1}`, `{"shard":-1}`, `{"shard":9223372036854775807}`, `{"shard":1e19}`, `{}`, `[]`},
		"worker/":        {`{"shard":0}`, ""},
		"allotments":     {`{"partitions":[1,2]}`, `{"partitions":[2,2]}`, `{"partitions":[-1]}`, `{"partitions":null}`, strings.Repeat("[", 10_001)},
		"":               {`{}`, "null"},
		"\xff":           {"\xff"},
		"service/\xff\n": {`{"shards":1}`},
	} {
		for _, document := range documents {
			f.Add(key, []byte(document), int64(8000))
			f.Add(key, []byte(document), int64(-1<<63))
			f.Add(key, []byte(document), int64(1<<62))
		}
	}
	f.Fuzz(func(t *testing.T, key string, value []byte, cores int64) {
		c := qt.New(t)
		s := newShards(defaultShardSize, testPartitions)
		odd := []storer.Record{
			{
				Key:   key,
				Value: value,
			},
		}
		s.apply([]storer.Record{
			encodeRecord("service/sound", serviceRecord{
				Shards:     2,
				Partitions: []int{4, 5},
			}),
		}, 1)
		s.applyServices(odd)
		s.apply(odd, 2)
		workers := workersFor("desk", 2)
		workers[0].Total = sizer.New(cores, cores, cores)
		workers = append(workers, scheduler.WorkerEntry{
			Ref: scheduler.WorkerRef{
				ID: "sound",
			},
			Service: "sound",
		})
		owned := make(map[int]bool)
		for partition := range testPartitions {
			owned[partition] = true
		}
		s.missingRecords(workers, []string{"desk", "sound"}, owned, testStart)
		records, _ := s.missingRecords(workers, []string{"desk", "sound"}, owned, testStart.Add(emptyServiceWait))
		for _, record := range records {
			c.Assert(len(record.Key) <= storer.MaxKeyBytes, qt.IsTrue)
		}
		c.Assert(s.apply(records, 3), qt.HasLen, 0)
		records, _ = s.missingRecords(workers, []string{"desk", "sound"}, owned, testStart.Add(2*emptyServiceWait))
		c.Assert(s.apply(records, 4), qt.HasLen, 0)
		byPartition := make(map[int]int)
		for _, worker := range workers[1:] {
			partition, known := s.partitionOfWorker(worker)
			c.Assert(known, qt.IsTrue)
			c.Assert(partition >= 0 && partition < testPartitions, qt.IsTrue)
			byPartition[partition]++
		}
		if shards := len(s.servicePartitions["desk"]); shards == 2 {
			for _, partition := range s.servicePartitions["desk"] {
				c.Assert(byPartition[partition] > defaultShardSize/2, qt.IsTrue)
			}
		}
		base, all := s.allotmentPartitions()
		for _, partition := range append(base, all...) {
			c.Assert(partition >= 0 && partition < testPartitions, qt.IsTrue)
		}
		s.rank(4)
	})
}

// FuzzPeerRecord guards against records of entries that end a process or are called without an
// address.
func FuzzPeerRecord(f *testing.F) {
	for _, value := range []string{
		`{"address":"10.0.0.1:7","cores":0.4,"placements":true}`, "10.0.0.1:7", `{"address":"10.0.0.1:7","cores":1e300}`,
		`{"address":"10.0.0.1:7","cores":-1}`, `{"address":"10.0.0.1:70000"}`, "{", "", "\xff", strings.Repeat("[", 10_001),
	} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		p := decodePeer(value)
		if p.Address == "" {
			return
		}
		c := qt.New(t)
		c.Assert(len(p.Address) <= 300, qt.IsTrue)
		data, err := encodePeer(p)
		c.Assert(err, qt.IsNil)
		again := decodePeer(data)
		c.Assert(again.Address, qt.Not(qt.Equals), "")
		c.Assert(again.Cores, qt.Equals, p.Cores)
		preferredMembers(map[string]peer{
			"a": p,
			"b": again,
		})
	})
}
