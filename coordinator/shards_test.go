package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const testPartitions = 12

var (
	testShardsPartition = storer.Partition{Topic: shardsTopic}
	testBegan           = time.Unix(1_700_000_000, 0)
)

// decider is the part of an entry that decides on shards.
type decider struct {
	c      *qt.C
	store  *storer.Memory
	shards *shards
	owned  map[int]bool
}

// newDecider returns an entry that owns these partitions, or all where none is
// named. It has read the topic once.
func newDecider(c *qt.C, store *storer.Memory, owned ...int) *decider {
	d := &decider{
		c:      c,
		store:  store,
		shards: newShards(defaultShardSize, testPartitions),
		owned:  make(map[int]bool),
	}
	for partition := range testPartitions {
		d.owned[partition] = len(owned) == 0 || slices.Contains(owned, partition)
	}
	c.Assert(d.read(), qt.HasLen, 0)
	return d
}

// read takes in what is new, and returns the keys of bad records.
func (d *decider) read() []string {
	page, err := d.store.Read(context.Background(), testShardsPartition, d.shards.nextOffset, 0)
	d.c.Assert(err, qt.IsNil)
	return d.shards.apply(page.Records, page.Next)
}

// look returns what the entry would write, after it has seen the same directory
// twice.
func (d *decider) look(entries []scheduler.WorkerEntry) ([]storer.Record, int64) {
	d.shards.missingRecords(entries, nil, d.owned, testBegan)
	return d.shards.missingRecords(entries, nil, d.owned, testBegan.Add(emptyServiceWait))
}

func (d *decider) write(records []storer.Record, at int64) error {
	_, err := d.store.AppendAt(context.Background(), testShardsPartition, at, records...)
	return err
}

// decide has the entry write all that is missing, and read it.
func (d *decider) decide(entries []scheduler.WorkerEntry) {
	records, at := d.look(entries)
	if len(records) > 0 {
		d.c.Assert(d.write(records, at), qt.IsNil)
	}
	d.c.Assert(d.read(), qt.HasLen, 0)
}

// workersFor returns as many workers of a service as that many shards have.
func workersFor(service string, shards int) []scheduler.WorkerEntry {
	entries := make([]scheduler.WorkerEntry, 0, shards*defaultShardSize)
	for i := range shards * defaultShardSize {
		entries = append(entries, scheduler.WorkerEntry{
			Ref: scheduler.WorkerRef{
				ID: fmt.Sprintf("%s/%d", service, i),
			},
			Service: service,
			Total:   sizer.New(8000, 1<<30, 0),
		})
	}
	return entries
}

// loads counts the shards of each partition.
func (d *decider) loads(services ...string) [testPartitions]int {
	var loads [testPartitions]int
	for _, service := range services {
		for _, partition := range d.shards.partitionsOfService(service) {
			loads[partition]++
		}
	}
	return loads
}

func hashed(service string) int {
	return int(xxhash.Sum64String(service) % testPartitions)
}

// named returns the first service of that kind that hashes to the partition.
func named(kind string, partition int) string {
	for i := 0; ; i++ {
		if name := fmt.Sprintf("%s-%d", kind, i); hashed(name) == partition {
			return name
		}
	}
}

// TestShardsOfServicesDoNotShareAPartition guards against the loss of jobs on a
// site where one small entry owned a shard of each of two services, as both
// names hash to one partition, and fell behind.
func TestShardsOfServicesDoNotShareAPartition(t *testing.T) {
	// Twelve shards of four services, one for each partition.
	counts := []int{1, 2, 4, 5}
	const rounds = 100
	names := func(round int) []string {
		var services []string
		for i := range counts {
			services = append(services, fmt.Sprintf("service-%d-%d", round, i))
		}
		return services
	}
	even := [testPartitions]int{}
	for i := range even {
		even[i] = 1
	}
	for _, test := range []struct {
		name string
		// decide has the shards of the services decided, each with its workers.
		decide func(d *decider, services []string, workers [][]scheduler.WorkerEntry)
	}{
		{
			name: "decided in one call",
			decide: func(d *decider, _ []string, workers [][]scheduler.WorkerEntry) {
				d.decide(slices.Concat(workers...))
			},
		},
		{
			name: "each service comes later",
			decide: func(d *decider, _ []string, workers [][]scheduler.WorkerEntry) {
				for i := range workers {
					d.decide(slices.Concat(workers[:i+1]...))
				}
			},
		},
		{
			name: "each service comes later, the largest one first",
			decide: func(d *decider, _ []string, workers [][]scheduler.WorkerEntry) {
				slices.Reverse(workers)
				for i := range workers {
					d.decide(slices.Concat(workers[:i+1]...))
				}
			},
		},
		{
			name: "each owner decides at the same time",
			decide: func(d *decider, services []string, workers [][]scheduler.WorkerEntry) {
				entries := slices.Concat(workers...)
				bases := make(map[int]bool)
				for _, service := range services {
					bases[hashed(service)] = true
				}
				var owners []*decider
				for partition := range bases {
					owners = append(owners, newDecider(d.c, d.store, partition))
				}
				for left := owners; len(left) > 0; left = left[1:] {
					// All rest on the same offset, so that one wins. The others
					// read its records and decide anew.
					written := 0
					for _, owner := range left {
						records, at := owner.look(entries)
						d.c.Assert(len(records) > 0, qt.IsTrue)
						err := owner.write(records, at)
						if err == nil {
							written++
							continue
						}
						d.c.Assert(errors.Is(err, storer.ErrConflict), qt.IsTrue)
					}
					d.c.Assert(written, qt.Equals, 1)
					for _, owner := range owners {
						d.c.Assert(owner.read(), qt.HasLen, 0)
					}
				}
				d.c.Assert(d.read(), qt.HasLen, 0)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for round := range rounds {
				services := names(round)
				var workers [][]scheduler.WorkerEntry
				for i, service := range services {
					workers = append(workers, workersFor(service, counts[i]))
				}
				d := newDecider(c, storer.NewMemory(timekeeper.NewFake(testBegan)))
				test.decide(d, services, workers)
				for i, service := range services {
					c.Assert(d.shards.partitionsOfService(service), qt.HasLen, counts[i], qt.Commentf("%s", service))
				}
				c.Assert(d.loads(services...), qt.Equals, even, qt.Commentf("%v", services))
			}
		})
	}
}

// TestShardsBeyondThePartitionsAreSpread guards against two shards in a
// partition while another one has fewer, and of one service in one partition.
func TestShardsBeyondThePartitionsAreSpread(t *testing.T) {
	c := qt.New(t)
	d := newDecider(c, storer.NewMemory(timekeeper.NewFake(testBegan)))
	var entries []scheduler.WorkerEntry
	add := func(service string, shards int) {
		entries = append(entries, workersFor(service, shards)...)
		d.decide(entries)
	}
	first, second, third, fourth := named("a", 3), named("b", 3), named("c", 9), named("d", 3)
	add(first, 7)
	c.Assert(d.shards.partitionsOfService(first), qt.DeepEquals, []int{3, 4, 5, 6, 7, 8, 9})
	// Five are free, the others are alike.
	add(second, 7)
	c.Assert(d.shards.partitionsOfService(second), qt.DeepEquals, []int{10, 11, 0, 1, 2, 3, 4})
	// The partitions with one shard come before those with two.
	add(third, 2)
	c.Assert(d.shards.partitionsOfService(third), qt.DeepEquals, []int{0, 1})
	add(fourth, 12)
	c.Assert(d.shards.partitionsOfService(fourth), qt.DeepEquals, []int{2, 5, 6, 7, 8, 9, 10, 11, 0, 1, 3, 4})
	// A service cannot have more shards than there are partitions.
	add(named("e", 3), 14)
	c.Assert(d.shards.partitionsOfService(named("e", 3)), qt.HasLen, testPartitions)
}

// TestServiceWithoutWorkersGetsAPartitionOfItsOwn guards against one for a
// configured service whose workers come late.
func TestServiceWithoutWorkersGetsAPartitionOfItsOwn(t *testing.T) {
	c := qt.New(t)
	d := newDecider(c, storer.NewMemory(timekeeper.NewFake(testBegan)))
	services := []string{named("a", 5), named("b", 5)}
	d.shards.missingRecords(nil, services, d.owned, testBegan)
	records, at := d.shards.missingRecords(nil, services, d.owned, testBegan.Add(emptyServiceWait))
	c.Assert(records, qt.HasLen, 2)
	c.Assert(d.write(records, at), qt.IsNil)
	c.Assert(d.read(), qt.HasLen, 0)
	c.Assert(d.shards.partitionsOfService(services[0]), qt.DeepEquals, []int{5})
	c.Assert(d.shards.partitionsOfService(services[1]), qt.DeepEquals, []int{6})
}

// TestServiceOfAnOlderReleaseStays guards against jobs that are looked for in
// another partition than the one that an older release stored them in.
func TestServiceOfAnOlderReleaseStays(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.NewFake(testBegan))
	first, second, third := named("a", 10), named("b", 11), named("c", 10)
	_, err := store.Append(context.Background(), testShardsPartition, nil, storer.Record{
		Key:   serviceKey + first,
		Value: []byte(`{"shards":3}`),
	}, storer.Record{
		Key:   serviceKey + second,
		Value: []byte(`{"shards":1}`),
	})
	c.Assert(err, qt.IsNil)
	d := newDecider(c, store)
	c.Assert(d.shards.partitionsOfService(first), qt.DeepEquals, []int{10, 11, 0})
	c.Assert(d.shards.partitionsOfService(second), qt.DeepEquals, []int{11})
	for i := range 100 {
		id := fmt.Sprintf("job%d", i)
		partition, known := d.shards.partitionOfJob(first, id)
		c.Assert(known, qt.IsTrue)
		c.Assert(partition, qt.Equals, (10+int(xxhash.Sum64String(id)%3))%testPartitions)
	}
	// A service that comes later avoids them.
	d.decide(workersFor(third, 2))
	c.Assert(d.shards.partitionsOfService(third), qt.DeepEquals, []int{1, 2})
}

// TestJobsMeetTheWorkersOfTheirService guards against jobs that wait in a
// partition in which their service has no workers.
func TestJobsMeetTheWorkersOfTheirService(t *testing.T) {
	c := qt.New(t)
	d := newDecider(c, storer.NewMemory(timekeeper.NewFake(testBegan)))
	counts := map[string]int{
		named("a", 4): 2,
		named("b", 4): 1,
		named("c", 5): 3,
	}
	var entries []scheduler.WorkerEntry
	for service, count := range counts {
		entries = append(entries, workersFor(service, count)...)
		// Nothing may be stored before there is a record. The entry that leads
		// the service owns one partition until then.
		_, known := d.shards.partitionOfJob(service, "job")
		c.Assert(known, qt.IsFalse)
		_, known = d.shards.partitionOfWorker(workersFor(service, 1)[0])
		c.Assert(known, qt.IsFalse)
		c.Assert(d.shards.partitionsOfService(service), qt.DeepEquals, []int{hashed(service)})
	}
	d.decide(entries)
	working := make(map[string]map[int]int)
	for _, entry := range entries {
		partition, known := d.shards.partitionOfWorker(entry)
		c.Assert(known, qt.IsTrue)
		if working[entry.Service] == nil {
			working[entry.Service] = make(map[int]int)
		}
		working[entry.Service][partition]++
	}
	for service, count := range counts {
		storing := make(map[int]int)
		for i := range 100 {
			partition, known := d.shards.partitionOfJob(service, fmt.Sprintf("job%d", i))
			c.Assert(known, qt.IsTrue)
			storing[partition]++
		}
		partitions := d.shards.partitionsOfService(service)
		c.Assert(partitions, qt.HasLen, count)
		c.Assert(working[service], qt.HasLen, count)
		c.Assert(storing, qt.HasLen, count)
		for _, partition := range partitions {
			c.Assert(working[service][partition], qt.Equals, defaultShardSize)
			c.Assert(storing[partition] > 0, qt.IsTrue)
		}
	}
}

// TestNewWorkersGetAShardFromTheFirstOwner guards against workers that get none
// as nobody owns the partition that their service hashes to: once its services
// are elsewhere it is in no use.
func TestNewWorkersGetAShardFromTheFirstOwner(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.NewFake(testBegan))
	d := newDecider(c, store)
	first, second := named("a", 4), named("b", 4)
	d.decide(workersFor(first, 1))
	d.decide(workersFor(second, 2))
	c.Assert(d.shards.partitionsOfService(second), qt.DeepEquals, []int{5, 6})
	later := append(workersFor(second, 2), scheduler.WorkerEntry{
		Ref: scheduler.WorkerRef{
			ID: "later",
		},
		Service: second,
	})
	owner := newDecider(c, store, 5)
	owner.decide(later)
	partition, known := owner.shards.partitionOfWorker(later[len(later)-1])
	c.Assert(known, qt.IsTrue)
	c.Assert(slices.Contains([]int{5, 6}, partition), qt.IsTrue)
}

// TestBadRecordsOfShardsAreReported guards against an entry that stops, or
// looks for jobs where no other one does, because of one record.
func TestBadRecordsOfShardsAreReported(t *testing.T) {
	for _, value := range []string{
		``,
		`three`,
		`{}`,
		`{"shards":0}`,
		`{"shards":-1}`,
		`{"shards":2,"partitions":[]}`,
		`{"shards":1,"partitions":[12]}`,
		`{"shards":1,"partitions":[-1]}`,
		`{"shards":2,"partitions":[3]}`,
		`{"shards":1,"partitions":[3,4]}`,
		`{"shards":2,"partitions":[3,3]}`,
		`{"shards":1,"partitions":["3"]}`,
		`{"partitions":[3]}`,
	} {
		t.Run(value, func(t *testing.T) {
			c := qt.New(t)
			s := newShards(defaultShardSize, testPartitions)
			bad := s.apply([]storer.Record{
				{
					Key:   serviceKey + "any",
					Value: []byte(value),
				},
			}, 1)
			c.Assert(bad, qt.DeepEquals, []string{serviceKey + "any"})
			c.Assert(s.decided("any"), qt.IsFalse)
			_, known := s.partitionOfJob("any", "job")
			c.Assert(known, qt.IsFalse)
		})
	}
	t.Run("does not replace a good one", func(t *testing.T) {
		c := qt.New(t)
		s := newShards(defaultShardSize, testPartitions)
		for i, value := range []string{`{"shards":2,"partitions":[7,3]}`, `{"shards":1,"partitions":[99]}`} {
			bad := s.apply([]storer.Record{
				{
					Key:   serviceKey + "any",
					Value: []byte(value),
				},
			}, int64(i+1))
			c.Assert(bad, qt.HasLen, i)
		}
		c.Assert(s.partitionsOfService("any"), qt.DeepEquals, []int{7, 3})
	})
}

// TestWorkerOfNoShardGetsAnother guards against a worker whose record names a
// shard that its service does not have: it gets one that jobs are stored in.
func TestWorkerOfNoShardGetsAnother(t *testing.T) {
	for _, shard := range []int{-1, 2, 99} {
		t.Run(fmt.Sprintf("shard %d", shard), func(t *testing.T) {
			c := qt.New(t)
			store := storer.NewMemory(timekeeper.NewFake(testBegan))
			d := newDecider(c, store)
			workers := workersFor("any", 2)
			d.decide(workers)
			_, err := store.Append(context.Background(), testShardsPartition, nil, encodeRecord(workerKey+workers[0].Ref.ID, workerRecord{
				Shard: shard,
			}))
			c.Assert(err, qt.IsNil)
			d.read()
			d.decide(workers)
			partition, known := d.shards.partitionOfWorker(workers[0])
			c.Assert(known, qt.IsTrue)
			c.Assert(slices.Contains(d.shards.partitionsOfService("any"), partition), qt.IsTrue)
		})
	}
}
