package coordinator

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// ownersAge is how old what is known of the owners may be before a failed call
// has it read again.
const ownersAge = 150 * time.Millisecond

// keepMembership keeps this process in the group, and owns what the group
// deals to it.
func (c *Coordinator) keepMembership(ctx context.Context, group *errgroup.Group) error {
	return timekeeper.Every(ctx, c.settings.clock, joinInterval, func(ctx context.Context) {
		if c.stopping.Load() {
			return
		}
		c.join(ctx, group)
	})
}

func (c *Coordinator) join(ctx context.Context, group *errgroup.Group) {
	c.mu.Lock()
	member, generation := c.member, c.generation
	c.mu.Unlock()
	sent := c.settings.clock.Now()
	calling, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	held, err := c.store.Join(calling, groupName, member, []string{conductor.JobsTopic}, c.settings.ttl, generation)
	if err != nil {
		if ctx.Err() == nil {
			c.settings.logger.WithError(err).Warn("coordinator: membership not kept up")
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping.Load() || c.member != member {
		return
	}
	if held.Generation != c.generation {
		c.settings.logger.WithFields(log.Fields{
			"generation": held.Generation,
			"partitions": len(held.Partitions),
		}).Info("coordinator: membership changed")
	}
	c.generation = held.Generation
	listed := make(map[int]bool)
	for _, partition := range held.Partitions {
		if partition.Topic == conductor.JobsTopic {
			listed[partition.Number] = true
		}
	}
	for partition, own := range c.owned {
		if !listed[partition] {
			c.drop(partition, own, "dealt to another entry")
			continue
		}
		own.conductor.Confirm(sent)
	}
	for partition := range listed {
		if c.owned[partition] == nil {
			c.own(ctx, group, partition, held.Generation)
		}
	}
}

// drop ends an ownership. The caller holds mu.
func (c *Coordinator) drop(partition int, own *ownership, reason string) {
	own.cancel()
	delete(c.owned, partition)
	c.settings.logger.WithFields(log.Fields{
		"partition": partition,
		"token":     own.conductor.Token(),
		"reason":    reason,
	}).Info("coordinator: gave a partition up")
}

// own begins to own a partition. The token is the generation in which the
// store dealt it, which is higher than that of any owner before. The caller
// holds mu.
func (c *Coordinator) own(ctx context.Context, group *errgroup.Group, partition int, token int64) {
	owning, cancel := context.WithCancel(ctx)
	own := &ownership{
		conductor: conductor.New(c.store, c.settings.workers, c.lanes, partition, token,
			conductor.Clock(c.settings.clock),
			conductor.Logger(c.settings.logger),
			conductor.WithMetrics(c.metrics),
			conductor.Scheduling(c.settings.scheduling...)),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	c.owned[partition] = own
	if entries := c.directory.Load(); entries != nil {
		own.conductor.SetWorkers(c.inPartition(partition, *entries))
	}
	group.Go(func() error {
		defer close(own.done)
		defer cancel()
		err := own.conductor.Run(owning)
		if owning.Err() == nil {
			c.superseded(partition, own, err)
		}
		return nil
	})
}

// superseded ends an ownership of which the store or a worker says that there
// is a later one. Where the group still deals the partition to this process it
// joins anew, so that it gets a later token.
func (c *Coordinator) superseded(partition int, own *ownership, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owned[partition] != own {
		return
	}
	delete(c.owned, partition)
	c.settings.logger.WithError(err).WithFields(log.Fields{
		"partition": partition,
		"token":     own.conductor.Token(),
	}).Warn("coordinator: lost a partition")
	if errors.Is(err, conductor.ErrSuperseded) && own.conductor.Token() == c.generation {
		c.renew()
	}
}

// ownerOf returns the address of the entry that owns a partition.
func (c *Coordinator) ownerOf(ctx context.Context, partition int, fresh bool) (string, bool) {
	c.mu.Lock()
	address, found := c.owners[partition]
	age := c.settings.clock.Now().Sub(c.ownersRead)
	c.mu.Unlock()
	if found && !fresh || age < ownersAge {
		return address, found
	}
	owners, err := c.store.Owners(ctx, groupName)
	if err != nil {
		return address, found
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownersRead = c.settings.clock.Now()
	c.setOwners(owners)
	address, found = c.owners[partition]
	return address, found
}

// setOwners keeps who owns what. The caller holds mu.
func (c *Coordinator) setOwners(owners []storer.Ownership) {
	clear(c.owners)
	for _, owner := range owners {
		address, _, found := strings.Cut(owner.Member, "/")
		if found && owner.Partition.Topic == conductor.JobsTopic {
			c.owners[owner.Partition.Number] = address
		}
	}
}
