package coordinator

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// useInterval is the interval at which an owner asks the other owners of its
	// services what organisations use there. A figure is used until it is 2 s old, so
	// one or two calls may fail.
	useInterval = 500 * time.Millisecond
	// useTimeout bounds each of these calls.
	useTimeout = 400 * time.Millisecond
)

// UseArgs asks what organisations use of the workers of a partition.
type UseArgs struct {
	Partition int
}

// UseReply answers UseArgs.
type UseReply struct {
	Services []scheduler.ServiceUse
	// Unconfirmed is as in StateReply.
	Unconfirmed bool
}

// Use returns what organisations use of the workers of a partition that this entry
// owns.
func (r *rpc) Use(args UseArgs, reply *UseReply) error {
	own := r.coordinator.localOwner(args.Partition)
	if own == nil {
		return errNotOwner
	}
	var err error
	reply.Services, err = own.Use()
	reply.Unconfirmed = !r.coordinator.isMember()
	return err
}

// followUse keeps the owners in this process informed of what organisations use at the
// other owners of the same services. It does nothing while there are no organisations.
// The number of calls grows with the shards of these services, not with the entries.
func (c *Coordinator) followUse(ctx context.Context) error {
	return timekeeper.Every(ctx, c.settings.clock, useInterval, func(ctx context.Context) {
		if len(c.organisations()) == 0 {
			return
		}
		var group errgroup.Group
		for partition, owners := range c.ownersToInform() {
			group.Go(func() error {
				c.fetchUse(ctx, partition, owners)
				return nil
			})
		}
		// fetchUse logs its errors.
		_ = group.Wait()
	})
}

// ownersToInform returns the owners in this process that need the use of each partition
// which has a shard of one of their services.
func (c *Coordinator) ownersToInform() map[int][]*conductor.Conductor {
	c.mu.Lock()
	owned := make(map[int]*conductor.Conductor, len(c.owned))
	for partition, own := range c.owned {
		owned[partition] = own.conductor
	}
	c.mu.Unlock()
	toInform := make(map[int][]*conductor.Conductor)
	for partition, own := range owned {
		for _, other := range c.shards.siblings(partition) {
			toInform[other] = append(toInform[other], own)
		}
	}
	return toInform
}

// fetchUse asks the owner of a partition and informs the given owners. The reported use
// is as old as the call.
func (c *Coordinator) fetchUse(ctx context.Context, partition int, owners []*conductor.Conductor) {
	ctx, cancel := context.WithTimeout(ctx, useTimeout)
	defer cancel()
	askedAt := c.settings.clock.Now()
	reply, err := callOwner(ctx, c, ownerCall[UseReply]{
		partition: partition,
		method:    "Use",
		args: UseArgs{
			Partition: partition,
		},
		local: func(_ context.Context, own *conductor.Conductor) (reply UseReply, err error) {
			reply.Services, err = own.Use()
			return reply, err
		},
		once:        true,
		unconfirmed: func(reply UseReply) bool { return reply.Unconfirmed },
	})
	if err != nil {
		c.settings.logger.WithError(err).WithField("partition", partition).Debug("coordinator: the use of organisations at another owner is not known")
		return
	}
	for _, own := range owners {
		own.SetForeignUse(partition, reply.Services, askedAt)
	}
}

// siblings returns the other partitions that have a shard of a service of which the
// partition has one.
func (s *shards) siblings(partition int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var siblings []int
	seen := map[int]bool{
		partition: true,
	}
	for _, partitions := range s.servicePartitions {
		if !slices.Contains(partitions, partition) {
			continue
		}
		for _, other := range partitions {
			if !seen[other] {
				seen[other] = true
				siblings = append(siblings, other)
			}
		}
	}
	return siblings
}
