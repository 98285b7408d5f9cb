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
	testStart           = time.Unix(1_700_000_000, 0)
)

// shardDecider is the part of an entry that decides on shards.
type shardDecider struct {
	c      *qt.C
	store  *storer.Memory
	shards *shards
	owned  map[int]bool
}

// newShardDecider returns the decider of an entry that owns the given partitions,
// or all if none is given. It has read the topic once.
func newShardDecider(c *qt.C, store *storer.Memory, owned ...int) *shardDecider {
	d := &shardDecider{
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

// read applies new records, and returns the keys of the invalid ones.
func (d *shardDecider) read() []string {
	page, err := d.store.Read(context.Background(), testShardsPartition, d.shards.nextOffset, 0)
	d.c.Assert(err, qt.IsNil)
	return d.shards.apply(page.Records, page.Next)
}

// missing returns the records that the entry would write after it has read the same
// directory twice. The services of all workers are configured.
func (d *shardDecider) missing(workers []scheduler.WorkerEntry) ([]storer.Record, int64) {
	var services []string
	for _, worker := range workers {
		services = append(services, worker.Service)
	}
	d.shards.missingRecords(workers, services, d.owned, testStart)
	return d.shards.missingRecords(workers, services, d.owned, testStart.Add(emptyServiceWait))
}

func (d *shardDecider) write(records []storer.Record, offset int64) error {
	_, err := d.store.AppendAt(context.Background(), testShardsPartition, offset, records...)
	return err
}

// decide writes all missing records and reads them.
func (d *shardDecider) decide(workers []scheduler.WorkerEntry) {
	records, offset := d.missing(workers)
	if len(records) > 0 {
		d.c.Assert(d.write(records, offset), qt.IsNil)
	}
	d.c.Assert(d.read(), qt.HasLen, 0)
}

// workersFor returns as many workers of a service as the given number of shards
// has.
func workersFor(service string, shards int) []scheduler.WorkerEntry {
	workers := make([]scheduler.WorkerEntry, 0, shards*defaultShardSize)
	for i := range shards * defaultShardSize {
		workers = append(workers, scheduler.WorkerEntry{
			Ref: scheduler.WorkerRef{
				ID: fmt.Sprintf("%s/%d", service, i),
			},
			Service: service,
			Total:   sizer.New(8000, 1<<30, 0),
		})
	}
	return workers
}

// shardCounts returns the number of shards in each partition.
func (d *shardDecider) shardCounts(services ...string) [testPartitions]int {
	var shardCounts [testPartitions]int
	for _, service := range services {
		for _, partition := range d.shards.partitionsOfService(service) {
			shardCounts[partition]++
		}
	}
	return shardCounts
}

func basePartitionOf(service string) int {
	return int(xxhash.Sum64String(service) % testPartitions)
}

// serviceHashingTo returns the first name with the prefix that hashes to the
// partition.
func serviceHashingTo(prefix string, partition int) string {
	for i := 0; ; i++ {
		if name := fmt.Sprintf("%s-%d", prefix, i); basePartitionOf(name) == partition {
			return name
		}
	}
}

// TestShardsOfServicesDoNotShareAPartition checks that the shards of several services
// get different partitions, even if the services' names hash to the same one. It
// guards against a regression: one small entry owned a shard of each of two such
// services, fell behind, and jobs were lost.
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
		// decide has the shards of the services decided, each service with its
		// workers.
		decide func(d *shardDecider, services []string, workers [][]scheduler.WorkerEntry)
	}{
		{
			name: "decided in one call",
			decide: func(d *shardDecider, _ []string, workers [][]scheduler.WorkerEntry) {
				d.decide(slices.Concat(workers...))
			},
		},
		{
			name: "each service comes later",
			decide: func(d *shardDecider, _ []string, workers [][]scheduler.WorkerEntry) {
				for i := range workers {
					d.decide(slices.Concat(workers[:i+1]...))
				}
			},
		},
		{
			name: "each service comes later, the largest one first",
			decide: func(d *shardDecider, _ []string, workers [][]scheduler.WorkerEntry) {
				slices.Reverse(workers)
				for i := range workers {
					d.decide(slices.Concat(workers[:i+1]...))
				}
			},
		},
		{
			name: "each owner decides at the same time",
			decide: func(d *shardDecider, services []string, workers [][]scheduler.WorkerEntry) {
				allWorkers := slices.Concat(workers...)
				bases := make(map[int]bool)
				for _, service := range services {
					bases[basePartitionOf(service)] = true
				}
				var owners []*shardDecider
				for partition := range bases {
					owners = append(owners, newShardDecider(d.c, d.store, partition))
				}
				for left := owners; len(left) > 0; left = left[1:] {
					// All owners append at the same offset, so that one succeeds.
					// The others read its records and decide again.
					written := 0
					for _, owner := range left {
						records, offset := owner.missing(allWorkers)
						d.c.Assert(len(records) > 0, qt.IsTrue)
						err := owner.write(records, offset)
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
				d := newShardDecider(c, storer.NewMemory(timekeeper.NewFake(testStart)))
				test.decide(d, services, workers)
				for i, service := range services {
					c.Assert(d.shards.partitionsOfService(service), qt.HasLen, counts[i], qt.Commentf("%s", service))
				}
				c.Assert(d.shardCounts(services...), qt.Equals, even, qt.Commentf("%v", services))
			}
		})
	}
}

// TestShardsBeyondThePartitionsAreSpread guards against a second shard in a
// partition while another partition has fewer, and against two shards of one
// service in a partition.
func TestShardsBeyondThePartitionsAreSpread(t *testing.T) {
	c := qt.New(t)
	d := newShardDecider(c, storer.NewMemory(timekeeper.NewFake(testStart)))
	var workers []scheduler.WorkerEntry
	add := func(service string, shards int) {
		workers = append(workers, workersFor(service, shards)...)
		d.decide(workers)
	}
	first, second, third, fourth := serviceHashingTo("a", 3), serviceHashingTo("b", 3), serviceHashingTo("c", 9), serviceHashingTo("d", 3)
	add(first, 7)
	c.Assert(d.shards.partitionsOfService(first), qt.DeepEquals, []int{3, 4, 5, 6, 7, 8, 9})
	// Five partitions are free, the others have one shard each.
	add(second, 7)
	c.Assert(d.shards.partitionsOfService(second), qt.DeepEquals, []int{10, 11, 0, 1, 2, 3, 4})
	// The partitions with one shard come before those with two.
	add(third, 2)
	c.Assert(d.shards.partitionsOfService(third), qt.DeepEquals, []int{0, 1})
	add(fourth, 12)
	c.Assert(d.shards.partitionsOfService(fourth), qt.DeepEquals, []int{2, 5, 6, 7, 8, 9, 10, 11, 0, 1, 3, 4})
	// A service cannot have more shards than there are partitions.
	add(serviceHashingTo("e", 3), 14)
	c.Assert(d.shards.partitionsOfService(serviceHashingTo("e", 3)), qt.HasLen, testPartitions)
}

// TestServiceWithoutWorkersGetsAPartitionOfItsOwn guards against a shared partition
// for a configured service whose workers start late.
func TestServiceWithoutWorkersGetsAPartitionOfItsOwn(t *testing.T) {
	c := qt.New(t)
	d := newShardDecider(c, storer.NewMemory(timekeeper.NewFake(testStart)))
	services := []string{serviceHashingTo("a", 5), serviceHashingTo("b", 5)}
	d.shards.missingRecords(nil, services, d.owned, testStart)
	records, offset := d.shards.missingRecords(nil, services, d.owned, testStart.Add(emptyServiceWait))
	c.Assert(records, qt.HasLen, 2)
	c.Assert(d.write(records, offset), qt.IsNil)
	c.Assert(d.read(), qt.HasLen, 0)
	c.Assert(d.shards.partitionsOfService(services[0]), qt.DeepEquals, []int{5})
	c.Assert(d.shards.partitionsOfService(services[1]), qt.DeepEquals, []int{6})
}

// TestServiceOfAnOlderReleaseStays guards against jobs that are looked up in a
// partition other than the one in which an older release stored them.
func TestServiceOfAnOlderReleaseStays(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.NewFake(testStart))
	first, second, third := serviceHashingTo("a", 10), serviceHashingTo("b", 11), serviceHashingTo("c", 10)
	_, err := store.Append(context.Background(), testShardsPartition, nil, storer.Record{
		Key:   serviceKey + first,
		Value: []byte(`{"shards":3}`),
	}, storer.Record{
		Key:   serviceKey + second,
		Value: []byte(`{"shards":1}`),
	})
	c.Assert(err, qt.IsNil)
	d := newShardDecider(c, store)
	c.Assert(d.shards.partitionsOfService(first), qt.DeepEquals, []int{10, 11, 0})
	c.Assert(d.shards.partitionsOfService(second), qt.DeepEquals, []int{11})
	for i := range 100 {
		id := fmt.Sprintf("job%d", i)
		partition, known := d.shards.partitionOfJob(first, id)
		c.Assert(known, qt.IsTrue)
		c.Assert(partition, qt.Equals, (10+int(xxhash.Sum64String(id)%3))%testPartitions)
	}
	// A service that comes later avoids these partitions.
	d.decide(workersFor(third, 2))
	c.Assert(d.shards.partitionsOfService(third), qt.DeepEquals, []int{1, 2})
}

// TestJobsMeetTheWorkersOfTheirService guards against jobs that wait in a partition
// in which their service has no workers.
func TestJobsMeetTheWorkersOfTheirService(t *testing.T) {
	c := qt.New(t)
	d := newShardDecider(c, storer.NewMemory(timekeeper.NewFake(testStart)))
	counts := map[string]int{
		serviceHashingTo("a", 4): 2,
		serviceHashingTo("b", 4): 1,
		serviceHashingTo("c", 5): 3,
	}
	var workers []scheduler.WorkerEntry
	for service, count := range counts {
		workers = append(workers, workersFor(service, count)...)
		// Nothing may be stored before the service has a record. Until then, its
		// only partition is the base partition.
		_, known := d.shards.partitionOfJob(service, "job")
		c.Assert(known, qt.IsFalse)
		_, known = d.shards.partitionOfWorker(workersFor(service, 1)[0])
		c.Assert(known, qt.IsFalse)
		c.Assert(d.shards.partitionsOfService(service), qt.DeepEquals, []int{basePartitionOf(service)})
	}
	d.decide(workers)
	workerCounts := make(map[string]map[int]int)
	for _, worker := range workers {
		partition, known := d.shards.partitionOfWorker(worker)
		c.Assert(known, qt.IsTrue)
		if workerCounts[worker.Service] == nil {
			workerCounts[worker.Service] = make(map[int]int)
		}
		workerCounts[worker.Service][partition]++
	}
	for service, count := range counts {
		jobCounts := make(map[int]int)
		for i := range 100 {
			partition, known := d.shards.partitionOfJob(service, fmt.Sprintf("job%d", i))
			c.Assert(known, qt.IsTrue)
			jobCounts[partition]++
		}
		partitions := d.shards.partitionsOfService(service)
		c.Assert(partitions, qt.HasLen, count)
		c.Assert(workerCounts[service], qt.HasLen, count)
		c.Assert(jobCounts, qt.HasLen, count)
		for _, partition := range partitions {
			c.Assert(workerCounts[service][partition], qt.Equals, defaultShardSize)
			c.Assert(jobCounts[partition] > 0, qt.IsTrue)
		}
	}
}

// TestNewWorkersGetAShardFromTheFirstOwner guards against workers that get no shard
// because nobody owns the base partition of their service, which is unused once the
// service has its shards elsewhere.
func TestNewWorkersGetAShardFromTheFirstOwner(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.NewFake(testStart))
	d := newShardDecider(c, store)
	first, second := serviceHashingTo("a", 4), serviceHashingTo("b", 4)
	d.decide(workersFor(first, 1))
	d.decide(workersFor(second, 2))
	c.Assert(d.shards.partitionsOfService(second), qt.DeepEquals, []int{5, 6})
	later := append(workersFor(second, 2), scheduler.WorkerEntry{
		Ref: scheduler.WorkerRef{
			ID: "later",
		},
		Service: second,
	})
	owner := newShardDecider(c, store, 5)
	owner.decide(later)
	partition, known := owner.shards.partitionOfWorker(later[len(later)-1])
	c.Assert(known, qt.IsTrue)
	c.Assert(slices.Contains([]int{5, 6}, partition), qt.IsTrue)
}

// TestWideStepFindsEnoughApprovedWorkersInItsShard guards against a step that waits for
// good because it keeps its tasks apart, or is a gang, and needs more approved workers
// than its shard has: 41 tasks in a shard of 117 workers, of which the adviser approves
// three in ten.
func TestWideStepFindsEnoughApprovedWorkersInItsShard(t *testing.T) {
	c := qt.New(t)
	const (
		workerCount   = 350
		widestStep    = 41
		approvedShare = 0.3
	)
	d := newShardDecider(c, storer.NewMemory(timekeeper.NewFake(testStart)))
	d.shards = newShards(newSettings([]Option{Cores(0.8)}).shardSize, testPartitions)
	c.Assert(d.read(), qt.HasLen, 0)
	workers := workersFor("any", 1+workerCount/defaultShardSize)[:workerCount]
	d.decide(workers)
	workerCounts := make(map[int]int)
	for _, worker := range workers {
		partition, known := d.shards.partitionOfWorker(worker)
		c.Assert(known, qt.IsTrue)
		workerCounts[partition]++
	}
	for partition, count := range workerCounts {
		approved := int(approvedShare * float64(count))
		c.Assert(approved >= widestStep, qt.IsTrue, qt.Commentf("partition %d, %d workers, about %d approved", partition, count, approved))
	}
}

// TestShardSizeFollowsTheCores guards against an owner that falls behind because its
// shard is too large for its cores.
func TestShardSizeFollowsTheCores(t *testing.T) {
	for _, test := range []struct {
		cores float64
		want  int
	}{
		{
			cores: 0,
			want:  63,
		},
		{
			cores: 0.192,
			want:  63,
		},
		{
			cores: 0.4,
			want:  126,
		},
		{
			cores: 0.79,
			want:  126,
		},
		{
			cores: 0.8,
			want:  160,
		},
		{
			cores: 4,
			want:  160,
		},
	} {
		t.Run(fmt.Sprintf("%g cores", test.cores), func(t *testing.T) {
			qt.New(t).Assert(newSettings([]Option{Cores(test.cores)}).shardSize, qt.Equals, test.want)
		})
	}
}

// TestServiceWithSmallerShardsKeepsThem guards against jobs that are looked up in
// another shard after a release that decides on larger shards.
func TestServiceWithSmallerShardsKeepsThem(t *testing.T) {
	c := qt.New(t)
	store := storer.NewMemory(timekeeper.NewFake(testStart))
	workers := workersFor("any", 5)
	newShardDecider(c, store).decide(workers)
	later := newShardDecider(c, store)
	before := later.shards.partitionsOfService("any")
	c.Assert(before, qt.HasLen, 5)
	later.shards.workersPerShard = hugeShardSize
	later.decide(append(workers, workersFor("any", 6)[len(workers):]...))
	c.Assert(later.shards.partitionsOfService("any"), qt.DeepEquals, before)
}

// TestBadRecordsOfShardsAreReported guards against an entry that, because of one
// invalid record, stops or looks for jobs in partitions where no other entry does.
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

// TestWorkerOfUnknownShardIsReassigned guards against a worker whose record names a
// shard that its service does not have: it must get one in which jobs are stored.
func TestWorkerOfUnknownShardIsReassigned(t *testing.T) {
	for _, shard := range []int{-1, 2, 99} {
		t.Run(fmt.Sprintf("shard %d", shard), func(t *testing.T) {
			c := qt.New(t)
			store := storer.NewMemory(timekeeper.NewFake(testStart))
			d := newShardDecider(c, store)
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
