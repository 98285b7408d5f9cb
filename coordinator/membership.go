package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/storer"
)

const (
	// maxNotifiedPeers bounds the number of entries that are notified of a change:
	// about as many as there are partitions.
	maxNotifiedPeers = 16
	// notifyTimeout bounds one notification. Without it, the peer joins by itself
	// within joinInterval.
	notifyTimeout = joinInterval
	// firstJoinWait bounds how long a starting entry waits for the records of the other
	// entries before it joins the group, from the store's first answer on.
	firstJoinWait = time.Second
)

// keepMembership renews the membership of this process, and takes and drops
// partitions as the group assigns them.
func (c *Coordinator) keepMembership(ctx context.Context, group *errgroup.Group) error {
	c.awaitPeers(ctx)
	for {
		if c.defersToOthers(ctx, group) {
			c.leavingSince = time.Time{}
			c.cedePartitions(ctx)
		} else if !c.stopping.Load() && !c.leavesJoining(ctx) && c.join(ctx, group) {
			// The group assigns a lost partition to its next owner only after the
			// former owner has joined with the new generation.
			c.join(ctx, group)
			c.notifyPeers(ctx, group)
		}
		timer := c.settings.clock.NewTimer(joinInterval)
		select {
		case <-timer.C():
		case <-c.joinRequests:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// awaitPeers waits for the records of the other entries. Without them, this entry may join
// though it leaves the partitions to others, and each member that joins or leaves moves
// partitions. The time until the store first answers this entry does not count, as the
// records cannot be read before.
func (c *Coordinator) awaitPeers(ctx context.Context) {
	select {
	case <-c.peersRead:
		return
	case <-c.store.firstAnswer():
	case <-ctx.Done():
		return
	}
	c.restoration.notify()
	timer := c.settings.clock.NewTimer(firstJoinWait)
	defer timer.Stop()
	select {
	case <-c.peersRead:
	case <-timer.C():
	case <-ctx.Done():
	}
}

// leavesJoining reports whether this entry leaves it to others to join the group, although
// it has found none of the entries to which it leaves the partitions to be a member. It may
// only have been out of their reach, so it asks the store whether they own partitions. It
// joins if they still do after the TTL of a membership, as the store need not drop the
// partitions of a member that is gone before another one joins. A silent store is not asked:
// it leaves the members without a membership, so all of several hundred entries would join
// when it returns.
func (c *Coordinator) leavesJoining(ctx context.Context) bool {
	preferred := c.preferredOwners()
	if len(preferred) == 0 || c.isMember() {
		return false
	}
	if c.store.silent() {
		return true
	}
	ownersCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := c.store.Owners(ownersCtx, groupName)
	if err != nil {
		return true
	}
	owned := slices.ContainsFunc(owners, func(owner storer.Ownership) bool {
		address, _, _ := strings.Cut(owner.Member, "/")
		return slices.Contains(preferred, address)
	})
	now := c.settings.clock.Now()
	if !owned {
		c.leavingSince = time.Time{}
		return false
	}
	if c.leavingSince.IsZero() {
		c.leavingSince = now
	}
	return now.Sub(c.leavingSince) < c.settings.ttl
}

// notifyPeers has the other entries join at once, so that they learn which
// partitions are assigned to them.
func (c *Coordinator) notifyPeers(ctx context.Context, group *errgroup.Group) {
	for _, address := range c.notifiedPeers() {
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			// A peer that is not reached joins by itself within joinInterval.
			if err := c.pool.Call(callCtx, address, rpcName+".Nudge", struct{}{}, new(struct{})); err != nil {
				c.settings.logger.WithError(err).Debug("coordinator: a peer was not notified of the membership change")
			}
			return nil
		})
	}
}

// notifiedPeers returns the addresses of the entries that are notified of a change.
func (c *Coordinator) notifiedPeers() []string {
	c.mu.Lock()
	preferred := slices.DeleteFunc(slices.Clone(c.preferred), func(name string) bool { return name == c.settings.name })
	addresses := c.addressesOf(preferred)
	c.mu.Unlock()
	if len(addresses) == 0 {
		return c.entryPool.reachablePeers(maxNotifiedPeers)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(maxNotifiedPeers, len(addresses))]
}

// join renews the membership once. It reports whether this process lost partitions.
func (c *Coordinator) join(ctx context.Context, group *errgroup.Group) bool {
	c.mu.Lock()
	member, generation := c.member, c.generation
	c.mu.Unlock()
	sentAt := c.settings.clock.Now()
	joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	assignment, err := c.store.Join(joinCtx, groupName, member, []string{conductor.JobsTopic}, c.settings.ttl, generation)
	if ctx.Err() == nil && c.restoration.recordJoin(err) {
		c.entryPool.resume()
	}
	if err != nil {
		if ctx.Err() == nil {
			c.settings.logger.WithError(err).Warn("coordinator: renewing the group membership failed")
		}
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping.Load() || c.member != member {
		return false
	}
	if assignment.Generation != c.generation {
		c.settings.logger.WithFields(log.Fields{
			"generation": assignment.Generation,
			"partitions": len(assignment.Partitions),
		}).Info("coordinator: membership changed")
	}
	mayHaveMoved := assignment.Generation > c.generation+1
	c.generation = assignment.Generation
	c.joinedAt = sentAt
	assigned := make(map[int]bool)
	for _, partition := range assignment.Partitions {
		if partition.Topic == conductor.JobsTopic {
			assigned[partition.Number] = true
		}
	}
	lost := false
	for partition, own := range c.owned {
		if !assigned[partition] {
			c.dropOwnership(partition, own, "dealt to another entry")
			lost = true
			continue
		}
		if mayHaveMoved {
			// One generation may have dealt the partition to another member, and the
			// next one back.
			own.conductor.DoubtOwnership()
		}
		own.conductor.ConfirmOwnership(sentAt)
	}
	c.setAssigned(assigned)
	used := c.usedPartitions()
	for partition := range assigned {
		if c.owned[partition] == nil && used[partition] {
			c.takeOwnership(ctx, group, partition, assignment.Generation)
		}
	}
	return lost
}

// setAssigned records the partitions that the group assigns to this process. If there
// are new ones, the directory and all records of the shards are read at once. The
// caller holds mu.
func (c *Coordinator) setAssigned(assigned map[int]bool) {
	added := false
	for partition := range assigned {
		added = added || !c.assigned[partition]
	}
	c.assigned = assigned
	if len(assigned) > 0 {
		c.assignedUntil = c.settings.clock.Now()
	}
	if added {
		request(c.directoryRequests)
		request(c.workerShardRequests)
	}
}

// needsDirectory reports whether this process reads what only owners need: it does
// while the group assigns partitions to it, and for assignmentLinger after that. A
// partition that is not used counts too, as it may be the base partition of a service
// without shards.
func (c *Coordinator) needsDirectory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.assigned) > 0 || len(c.owned) > 0 || !c.assignedUntil.IsZero() && c.settings.clock.Now().Sub(c.assignedUntil) < assignmentLinger
}

// usedPartitions returns the partitions of the services that are configured or
// that have shards, and those that may hold parts of allotments. Other partitions hold
// no jobs, and this process does not own them.
func (c *Coordinator) usedPartitions() map[int]bool {
	used := c.shards.usedPartitions()
	_, all := c.shards.allotmentPartitions()
	for _, partition := range all {
		used[partition] = true
	}
	if config, known := c.receiver.Config(); known {
		for _, route := range config.Routes {
			if !c.shards.decided(route.Queue.Service) {
				used[c.shards.basePartition(route.Queue.Service)] = true
			}
		}
	}
	return used
}

// assignedPartitions returns the partitions that the group assigns to this process.
func (c *Coordinator) assignedPartitions() map[int]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.assigned
}

// requestJoin triggers an immediate join.
func (c *Coordinator) requestJoin() {
	request(c.joinRequests)
}

// requestShards triggers an immediate read of the services' records.
func (c *Coordinator) requestShards() {
	request(c.serviceRequests)
}

// request sends a value, unless one is waiting to be received.
func request(requests chan<- struct{}) {
	select {
	case requests <- struct{}{}:
	default:
	}
}

// dropOwnership ends the ownership of a partition. The caller holds mu.
func (c *Coordinator) dropOwnership(partition int, own *ownership, reason string) {
	own.cancel()
	delete(c.owned, partition)
	c.settings.logger.WithFields(log.Fields{
		"partition": partition,
		"token":     own.conductor.Token(),
		"reason":    reason,
	}).Info("coordinator: gave up a partition")
}

// takeOwnership starts the owner of a partition. The fencing token is the
// generation in which the store assigned the partition, which is higher than that
// of any former owner. The caller holds mu.
func (c *Coordinator) takeOwnership(ctx context.Context, group *errgroup.Group, partition int, token int64) {
	ownerCtx, cancel := context.WithCancel(ctx)
	own := &ownership{
		conductor: conductor.New(c.store, c.settings.workers, c.entryPool.adviserFor(partition), partition, token,
			conductor.Clock(c.settings.clock),
			conductor.BootClock(c.settings.bootClock),
			conductor.AwaitAssignment(c.requestJoin),
			conductor.Logger(c.settings.logger),
			conductor.WithMetrics(c.metrics),
			conductor.PlacementsAllowed(c.placementsAllowed.Load),
			conductor.OccurrenceRangesAllowed(c.rangesAllowed.Load),
			conductor.ExchangeAllotments(c.askAllotment),
			conductor.Delegations(c.askRoom, c.callDelegate, c.grantsAllowed.Load),
			conductor.JobPart(func() float64 { return c.shards.jobPart(partition) }),
			conductor.WithKnowledge(c.knowledge),
			conductor.StoreLimits(c.settings.storeLimits),
			conductor.Scheduling(c.settings.scheduling...)),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	if _, known := c.receiver.Config(); known {
		own.conductor.SetOrganisations(c.organisations(), c.settings.overage)
	} else {
		own.conductor.AwaitOrganisations()
	}
	own.conductor.SetAllotmentPartitions(c.shards.allotmentPartitions())
	own.conductor.SetServicePartitions(c.shards.partitionsByService())
	c.owned[partition] = own
	// The new owner gets its workers from the next read of the directory, which begins
	// now.
	request(c.directoryRequests)
	request(c.workerShardRequests)
	group.Go(func() error {
		defer close(own.done)
		defer cancel()
		err := own.conductor.Run(ownerCtx)
		if ownerCtx.Err() == nil {
			c.endFailedOwnership(partition, own, err)
		}
		return nil
	})
}

// endFailedOwnership ends an ownership whose conductor failed, usually because the
// store or a worker has reported a later one. If its token is the present generation, this
// process joins as a new member to get a later one: the store cannot tell two ownerships with
// one token apart.
func (c *Coordinator) endFailedOwnership(partition int, own *ownership, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owned[partition] != own {
		return
	}
	delete(c.owned, partition)
	c.settings.logger.WithError(err).WithFields(log.Fields{
		"partition": partition,
		"token":     own.conductor.Token(),
	}).Warn("coordinator: lost the ownership of a partition")
	if own.conductor.Token() == c.generation {
		c.renewMember()
	}
}
