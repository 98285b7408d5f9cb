package coordinator

import (
	"context"
	"maps"
	"slices"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/scheduler"
)

// partitionsByService returns the partitions of the shards of each service.
func (s *shards) partitionsByService() map[string][]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	partitions := maps.Clone(s.servicePartitions)
	for service, of := range partitions {
		partitions[service] = slices.Clone(of)
	}
	return partitions
}

// updateOwnerServices passes the partitions of the services to each owner in this process.
func (c *Coordinator) updateOwnerServices() {
	partitions := c.shards.partitionsByService()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, own := range c.owned {
		own.conductor.SetServicePartitions(partitions)
	}
}

// DelegateArgs tells the owner of a partition about jobs of another one of which it runs, or
// could run, tasks.
type DelegateArgs struct {
	Partition int
	Request   scheduler.DelegationRequest
}

// DelegateReply answers DelegateArgs.
type DelegateReply struct {
	Reply scheduler.DelegationReply
}

// Delegate answers the home owner of jobs as the owner of a partition. Entries of older
// releases have no such method.
func (r *rpc) Delegate(args DelegateArgs, reply *DelegateReply) error {
	own := r.coordinator.localOwner(args.Partition)
	if own == nil {
		return errNotOwner
	}
	var err error
	reply.Reply, err = own.ServeHome(args.Request)
	return err
}

// callDelegate calls the owner of another partition about jobs of a partition of this entry.
func (c *Coordinator) callDelegate(ctx context.Context, partition int, request scheduler.DelegationRequest) (scheduler.DelegationReply, error) {
	reply, err := callOwner(ctx, c, ownerCall[DelegateReply]{
		partition: partition,
		method:    "Delegate",
		args: DelegateArgs{
			Partition: partition,
			Request:   request,
		},
		local: func(_ context.Context, own *conductor.Conductor) (reply DelegateReply, err error) {
			reply.Reply, err = own.ServeHome(request)
			return reply, err
		},
		once: true,
	})
	return reply.Reply, err
}

// RoomArgs asks the owner of a partition for the room of its workers.
type RoomArgs struct {
	Partition int
	Queries   []scheduler.RoomQuery
}

// RoomReply answers RoomArgs, in the order of the queries.
type RoomReply struct {
	Rooms []scheduler.Room
	// Unconfirmed is as in StateReply.
	Unconfirmed bool
}

// Room answers the owner of another partition that has waiting tasks. Entries of older releases
// have no such method.
func (r *rpc) Room(args RoomArgs, reply *RoomReply) error {
	own := r.coordinator.localOwner(args.Partition)
	if own == nil {
		return errNotOwner
	}
	var err error
	reply.Rooms, err = own.Room(args.Queries)
	reply.Unconfirmed = !r.coordinator.isMember()
	return err
}

// askRoom asks the owner of another partition for the room of its workers.
func (c *Coordinator) askRoom(ctx context.Context, partition int, queries []scheduler.RoomQuery) ([]scheduler.Room, error) {
	reply, err := callOwner(ctx, c, ownerCall[RoomReply]{
		partition: partition,
		method:    "Room",
		args: RoomArgs{
			Partition: partition,
			Queries:   queries,
		},
		local: func(_ context.Context, own *conductor.Conductor) (reply RoomReply, err error) {
			reply.Rooms, err = own.Room(queries)
			return reply, err
		},
		once:        true,
		unconfirmed: func(reply RoomReply) bool { return reply.Unconfirmed },
	})
	return reply.Rooms, err
}
