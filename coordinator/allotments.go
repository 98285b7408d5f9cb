package coordinator

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/storer"
)

// baseRecord lists the base partitions: those of the shards of all services that were
// configured when it was written. They hold all parts of each organisation's maximum at
// first. It is written once and never replaced, as what each partition holds is counted
// from it.
type baseRecord struct {
	Partitions []int `json:"partitions"`
}

// applyBaseRecord applies the record of the base partitions, unless one is known already.
// It reports whether the record is valid. The caller holds mu.
func (s *shards) applyBaseRecord(value []byte) bool {
	var record baseRecord
	if json.Unmarshal(value, &record) != nil || len(record.Partitions) == 0 {
		return false
	}
	partitions := slices.Compact(slices.Sorted(slices.Values(record.Partitions)))
	if len(partitions) != len(record.Partitions) || partitions[0] < 0 || partitions[len(partitions)-1] >= s.partitionCount {
		return false
	}
	if len(s.basePartitions) == 0 {
		s.basePartitions = partitions
	}
	return true
}

// missingBaseRecord returns the record of the base partitions if this entry should write
// it: none is known, all configured services have shards, and this entry owns the deciding
// partition of the service whose name sorts first.
func (s *shards) missingBaseRecord(services []string, owned map[int]bool) []storer.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded || len(s.basePartitions) > 0 || len(services) == 0 || !owned[s.decidingPartition(slices.Min(services))] {
		return nil
	}
	var partitions []int
	for _, service := range services {
		ofService := s.servicePartitions[service]
		if len(ofService) == 0 {
			return nil
		}
		partitions = append(partitions, ofService...)
	}
	return []storer.Record{encodeRecord(allotmentsKey, baseRecord{
		Partitions: slices.Compact(slices.Sorted(slices.Values(partitions))),
	})}
}

// allotmentPartitions returns the base partitions and all partitions that may hold parts
// of allotments, which are those of the shards of all services. It returns none before
// the base partitions are known.
func (s *shards) allotmentPartitions() (base, all []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.basePartitions) == 0 {
		return nil, nil
	}
	all = slices.Clone(s.basePartitions)
	for _, partitions := range s.servicePartitions {
		all = append(all, partitions...)
	}
	slices.Sort(all)
	return slices.Clone(s.basePartitions), slices.Compact(all)
}

// updateOwnerAllotments passes to each owner in this process the partitions that may hold
// parts of allotments.
func (c *Coordinator) updateOwnerAllotments() {
	base, all := c.shards.allotmentPartitions()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, own := range c.owned {
		own.conductor.SetAllotmentPartitions(base, all)
	}
}

// AllotArgs asks the owner of a partition for parts of allotments.
type AllotArgs struct {
	Partition int
	Request   allotter.Request
}

// AllotReply answers AllotArgs.
type AllotReply struct {
	Reply allotter.Reply
}

// Allot answers a request for parts of allotments as the owner of a partition.
func (r *rpc) Allot(args AllotArgs, reply *AllotReply) error {
	own := r.coordinator.localOwner(args.Partition)
	if own == nil {
		return errNotOwner
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var err error
	reply.Reply, err = own.Allot(ctx, args.Request)
	return err
}

// askAllotment asks the owner of a partition for parts of allotments.
func (c *Coordinator) askAllotment(ctx context.Context, partition int, request allotter.Request) (allotter.Reply, error) {
	reply, err := callOwner(ctx, c, ownerCall[AllotReply]{
		partition: partition,
		method:    "Allot",
		args: AllotArgs{
			Partition: partition,
			Request:   request,
		},
		local: func(ctx context.Context, own *conductor.Conductor) (reply AllotReply, err error) {
			reply.Reply, err = own.Allot(ctx, request)
			return reply, err
		},
		once: true,
	})
	return reply.Reply, err
}
