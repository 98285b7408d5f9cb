package coordinator

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
)

const (
	// shardsTopic holds the partitions of the shards of each service, and the shard
	// of each worker of a service with several shards. A record is never replaced.
	shardsTopic = "shards"
	// serviceKey and workerKey are prefixes of the records' keys.
	serviceKey = "service/"
	workerKey  = "worker/"
	// allotmentsKey is the key of the record of the base partitions.
	allotmentsKey = "allotments"
	// defaultShardSize is the approximate number of workers that an owner serves:
	// as many as an entry can serve in a burst with a fifth of a core, the
	// smallest share of a host that an entry gets.
	defaultShardSize = 63
	// largeShardSize is the same for entries of largeEntryCores or more, and
	// hugeShardSize for those of hugeEntryCores or more. A step that runs its tasks on
	// separate workers finds more workers in a larger shard.
	largeShardSize = 126
	hugeShardSize  = 160
	// largeEntryCores and hugeEntryCores are the numbers of cores from which an entry
	// decides on shards of these sizes.
	largeEntryCores = 0.4
	hugeEntryCores  = 0.8
	// emptyServiceWait is how long a configured service may have no workers before
	// it gets one shard.
	emptyServiceWait = 3 * time.Second
	// unsteadyServiceWait is how long the number of a service's workers may change from read
	// to read before the service gets shards nevertheless.
	unsteadyServiceWait = 5 * time.Second
	// shardsReadWait is how long a read waits for new records. It adds to the time
	// during which a new worker gets no runs.
	shardsReadWait = 700 * time.Millisecond
	// servicesReadPause is the mean pause between two reads of an entry that waits for
	// no service's record.
	servicesReadPause = 2 * time.Second
)

type serviceRecord struct {
	Shards int `json:"shards"`
	// Partitions holds the partition of each shard, all different. An older release
	// wrote none: its shards are in the partition that the service name hashes to
	// and those after it. They stay there, as jobs are stored in them.
	Partitions []int `json:"partitions,omitempty"`
}

type workerRecord struct {
	Shard int `json:"shard"`
}

// shardSizeFor returns the approximate number of workers that an owner with that number
// of cores serves.
func shardSizeFor(cores float64) int {
	switch {
	case cores >= hugeEntryCores:
		return hugeShardSize
	case cores >= largeEntryCores:
		return largeShardSize
	default:
		return defaultShardSize
	}
}

// shards determines the shard of each job and worker. All entries read the same
// records, and each record is written on the condition that no record was added
// since its writer last read, so that all entries agree.
type shards struct {
	workersPerShard int
	partitionCount  int

	mu sync.Mutex
	// loaded is set once all records were read, and nextOffset is the offset after
	// the last one. An entry without partitions reads only the records of services.
	loaded     bool
	nextOffset int64
	// servicePartitions holds the partitions of the shards of each service with a
	// record, and workerShards the shard of each worker, by the worker's identity.
	servicePartitions map[string][]int
	workerShards      map[string]int
	// basePartitions holds the partitions among which the maxima of organisations are
	// divided at first, in ascending order. It is empty before their record is read.
	basePartitions []int
	// undecided holds, for each service without a record, the last number of
	// workers in the directory and the time at which the service was first seen.
	undecided map[string]sighting
}

type sighting struct {
	workerCount int
	firstSeen   time.Time
}

func newShards(workersPerShard, partitionCount int) *shards {
	return &shards{
		workersPerShard:   workersPerShard,
		partitionCount:    partitionCount,
		servicePartitions: make(map[string][]int),
		workerShards:      make(map[string]int),
		undecided:         make(map[string]sighting),
	}
}

// basePartition returns the partition that the name of a service hashes to. While
// the service has no record, the owner of this partition decides its shards.
func (s *shards) basePartition(service string) int {
	return int(xxhash.Sum64String(service) % uint64(s.partitionCount))
}

// decidingPartition returns the partition whose owner writes the records of a
// service and of its workers. Once the service has a record, that is the partition
// of its first shard, as the base partition may be unused and have no owner. The
// caller holds mu.
func (s *shards) decidingPartition(service string) int {
	if partitions := s.servicePartitions[service]; len(partitions) > 0 {
		return partitions[0]
	}
	return s.basePartition(service)
}

// partitionOfJob returns the partition of a job. It returns false before the
// service has a record.
func (s *shards) partitionOfJob(service, id string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	partitions := s.servicePartitions[service]
	if len(partitions) == 0 {
		return 0, false
	}
	return partitions[xxhash.Sum64String(id)%uint64(len(partitions))], true
}

// partitionsOfID returns the partitions that a job with the identity may have in any service, in ascending order.
func (s *shards) partitionsOfID(id string) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []int
	hash := xxhash.Sum64String(id)
	for _, partitions := range s.servicePartitions {
		all = append(all, partitions[hash%uint64(len(partitions))])
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// partitionOfWorker returns the partition of a worker. It returns false while the
// worker has no record, or one of a shard that its service does not have.
func (s *shards) partitionOfWorker(worker scheduler.WorkerEntry) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	partitions := s.servicePartitions[worker.Service]
	if len(partitions) == 1 {
		return partitions[0], true
	}
	shard, found := s.workerShards[worker.Ref.ID]
	if !found || shard >= len(partitions) {
		return 0, false
	}
	return partitions[shard], true
}

// partitionsOfService returns the partitions of all shards of a service. Before
// the service has a record, that is its base partition, in which nothing may be
// stored yet.
func (s *shards) partitionsOfService(service string) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if partitions := s.servicePartitions[service]; len(partitions) > 0 {
		return slices.Clone(partitions)
	}
	return []int{s.basePartition(service)}
}

// decided reports whether a service has a record.
func (s *shards) decided(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.servicePartitions[service]) > 0
}

// rank returns the rank of a partition among those that hold a shard of any
// service, and the number of such partitions. Each of them has one owner, however
// many shards it holds.
func (s *shards) rank(partition int) (rank, owners int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, shards := range s.shardCounts() {
		if shards == 0 {
			continue
		}
		owners++
		if number < partition {
			rank++
		}
	}
	return min(rank, max(0, owners-1)), owners
}

// shardCounts returns the number of shards in each partition. The caller holds mu.
func (s *shards) shardCounts() []int {
	shardCounts := make([]int, s.partitionCount)
	for _, partitions := range s.servicePartitions {
		for _, partition := range partitions {
			shardCounts[partition]++
		}
	}
	return shardCounts
}

// choosePartitions returns partitions for the given number of shards of a service,
// at most one per partition, and counts them in shardCounts. Partitions without a
// shard come first, starting at the base partition, then those with the fewest
// shards. So a service gets the same partitions as in an older release unless
// another service occupies them.
func (s *shards) choosePartitions(service string, count int, shardCounts []int) []int {
	basePartition := s.basePartition(service)
	distance := func(partition int) int {
		if shardCounts[partition] > 0 {
			return 0
		}
		return (partition - basePartition + s.partitionCount) % s.partitionCount
	}
	candidates := make([]int, s.partitionCount)
	for i := range candidates {
		candidates[i] = i
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(shardCounts[a], shardCounts[b]), cmp.Compare(distance(a), distance(b)), cmp.Compare(a, b))
	})
	candidates = candidates[:count]
	for _, partition := range candidates {
		shardCounts[partition]++
	}
	return candidates
}

// partitionsOfRecord returns the partitions of a service's shards by the service's
// record, or none if the record is invalid.
func (s *shards) partitionsOfRecord(service string, record serviceRecord) []int {
	if record.Partitions == nil {
		if record.Shards > s.partitionCount {
			return nil
		}
		partitions := make([]int, max(0, record.Shards))
		for i := range partitions {
			partitions[i] = (s.basePartition(service) + i) % s.partitionCount
		}
		return partitions
	}
	if len(record.Partitions) != record.Shards {
		return nil
	}
	seen := make(map[int]bool)
	for _, partition := range record.Partitions {
		if partition < 0 || partition >= s.partitionCount || seen[partition] {
			return nil
		}
		seen[partition] = true
	}
	return record.Partitions
}

// apply updates the state with records that were read. It returns the keys of those
// that are invalid.
func (s *shards) apply(records []storer.Record, nextOffset int64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var invalid []string
	for _, record := range records {
		var service serviceRecord
		var worker workerRecord
		name, isService := strings.CutPrefix(record.Key, serviceKey)
		id, isWorker := strings.CutPrefix(record.Key, workerKey)
		var partitions []int
		if isService && json.Unmarshal(record.Value, &service) == nil {
			partitions = s.partitionsOfRecord(name, service)
		}
		switch {
		case len(partitions) > 0:
			s.servicePartitions[name] = partitions
		case record.Key == allotmentsKey && s.applyBaseRecord(record.Value):
		case isWorker && json.Unmarshal(record.Value, &worker) == nil && worker.Shard >= 0:
			s.workerShards[id] = worker.Shard
		default:
			invalid = append(invalid, record.Key)
		}
	}
	s.nextOffset = nextOffset
	s.loaded = true
	return invalid
}

// applyServices updates the partitions of the services with records that were read. It
// reports whether there was a new one. Other records are ignored.
func (s *shards) applyServices(records []storer.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := false
	for _, record := range records {
		if record.Key == allotmentsKey {
			added = s.applyBaseRecord(record.Value) || added
			continue
		}
		var service serviceRecord
		name, isService := strings.CutPrefix(record.Key, serviceKey)
		if !isService || json.Unmarshal(record.Value, &service) != nil {
			continue
		}
		if partitions := s.partitionsOfRecord(name, service); len(partitions) > 0 {
			added = added || len(s.servicePartitions[name]) == 0
			s.servicePartitions[name] = partitions
		}
	}
	return added
}

// complete reports whether all records were read, including those of the workers.
func (s *shards) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// forgetWorkers discards the workers' shards, which are not followed any more.
func (s *shards) forgetWorkers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = false
	s.workerShards = make(map[string]int)
	s.undecided = make(map[string]sighting)
}

// usedPartitions returns the partitions that hold a shard of any service.
func (s *shards) usedPartitions() map[int]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := make(map[int]bool)
	for _, partitions := range s.servicePartitions {
		for _, partition := range partitions {
			used[partition] = true
		}
	}
	return used
}

// missingRecords returns the records that this entry should write for the services
// in the configuration and the workers in the directory, and the offset at which they
// must be appended. The entry that owns the deciding partition of a service writes
// the records of that service and its workers. Services that are decided in one
// call avoid each other's partitions. Workers of a service that is neither configured
// nor has a record are ignored, as another writer may have left them in the directory.
func (s *shards) missingRecords(allWorkers []scheduler.WorkerEntry, services []string, owned map[int]bool, now time.Time) ([]storer.Record, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded {
		return nil, 0
	}
	byService := make(map[string][]scheduler.WorkerEntry)
	for _, service := range services {
		if len(serviceKey+service) <= storer.MaxKeyBytes {
			byService[service] = nil
		}
	}
	for service := range s.servicePartitions {
		byService[service] = nil
	}
	for _, worker := range allWorkers {
		if _, known := byService[worker.Service]; known && len(workerKey+worker.Ref.ID) <= storer.MaxKeyBytes {
			byService[worker.Service] = append(byService[worker.Service], worker)
		}
	}
	var records []storer.Record
	shardCounts := s.shardCounts()
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		if !owned[s.decidingPartition(service)] {
			continue
		}
		workers := byService[service]
		count := len(s.servicePartitions[service])
		if count == 0 {
			if count = s.decideShardCount(service, len(workers), now); count == 0 {
				continue
			}
			records = append(records, encodeRecord(serviceKey+service, serviceRecord{
				Shards:     count,
				Partitions: s.choosePartitions(service, count, shardCounts),
			}))
		}
		if count > 1 {
			records = append(records, s.assignWorkers(workers, count)...)
		}
	}
	return records, s.nextOffset
}

// decideShardCount returns the number of shards that a service should have, once
// the directory has listed the same number of workers twice, or has changed for
// unsteadyServiceWait. It returns 0 before that.
func (s *shards) decideShardCount(service string, workerCount int, now time.Time) int {
	previous, found := s.undecided[service]
	if !found {
		previous = sighting{
			workerCount: -1,
			firstSeen:   now,
		}
	}
	s.undecided[service] = sighting{
		workerCount: workerCount,
		firstSeen:   previous.firstSeen,
	}
	age := now.Sub(previous.firstSeen)
	unsteady := previous.workerCount != workerCount && age < unsteadyServiceWait
	if unsteady || workerCount == 0 && age < emptyServiceWait {
		return 0
	}
	return min(max(1, (workerCount+s.workersPerShard/2)/s.workersPerShard), s.partitionCount)
}

// assignWorkers assigns each worker without a record to the shard with the least
// total weight.
func (s *shards) assignWorkers(workers []scheduler.WorkerEntry, count int) []storer.Record {
	var unassigned []scheduler.WorkerEntry
	for _, worker := range workers {
		if shard, found := s.workerShards[worker.Ref.ID]; !found || shard >= count {
			unassigned = append(unassigned, worker)
		}
	}
	if len(unassigned) == 0 {
		return nil
	}
	maxWeight := maxWorkerWeight(workers)
	weight := func(worker scheduler.WorkerEntry) int64 {
		return min(workerWeight(worker), maxWeight)
	}
	load := make([]int64, count)
	for _, worker := range workers {
		if shard, found := s.workerShards[worker.Ref.ID]; found && shard < count {
			load[shard] += weight(worker)
		}
	}
	slices.SortFunc(unassigned, func(a, b scheduler.WorkerEntry) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), strings.Compare(a.Ref.ID, b.Ref.ID))
	})
	records := make([]storer.Record, 0, len(unassigned))
	for _, worker := range unassigned {
		least := slices.Index(load, slices.Min(load))
		load[least] += weight(worker)
		records = append(records, encodeRecord(workerKey+worker.Ref.ID, workerRecord{
			Shard: least,
		}))
	}
	return records
}

// workerWeight returns the weight of a worker in its shard, in thousandths of a
// core.
func workerWeight(worker scheduler.WorkerEntry) int64 {
	return max(1, worker.Total.MilliCores())
}

// maxWeightRatio limits the weight of a worker as a multiple of the median. A worker may say to
// have any capacity, and would otherwise have a shard to itself, for good.
const maxWeightRatio = 4

// maxWorkerWeight returns the highest weight that counts among the workers, of which there is at
// least one.
func maxWorkerWeight(workers []scheduler.WorkerEntry) int64 {
	weights := make([]int64, 0, len(workers))
	for _, worker := range workers {
		weights = append(weights, workerWeight(worker))
	}
	slices.Sort(weights)
	return maxWeightRatio * min(weights[len(weights)/2], math.MaxInt64/maxWeightRatio/int64(len(weights)))
}

func encodeRecord(key string, value any) storer.Record {
	data, err := json.Marshal(value)
	if err != nil {
		// A struct of numbers can always be encoded.
		panic(err)
	}
	return storer.Record{
		Key:   key,
		Value: data,
	}
}
