package conductor

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// guestSuffix follows the job's identity in the key of what a delegate stores of a job
	// of another partition. As it contains a slash, owners of older releases neither find a
	// job for it nor delete it.
	guestSuffix = "/delegated"
	// delegationInterval is the interval at which the owners of other partitions are told
	// what they run for this one, and urgentDelegationInterval the same while there is
	// something that one of them has not stored. The former is a fraction of the time
	// after which a delegate starts nothing more.
	delegationInterval       = 300 * time.Millisecond
	urgentDelegationInterval = 50 * time.Millisecond
	// maxDelegationPause bounds the pause after calls that failed.
	maxDelegationPause = time.Second
	// maxJobsAgeToDelegate is the age of the last read of the jobs from which on delegates
	// are told nothing, as a job may have been cancelled since.
	maxJobsAgeToDelegate = time.Second
)

// Delegate calls the owner of another partition about jobs of this one.
type Delegate func(ctx context.Context, partition int, request scheduler.DelegationRequest) (scheduler.DelegationReply, error)

// AskRoom asks the owner of another partition for the room of its workers.
type AskRoom func(ctx context.Context, partition int, queries []scheduler.RoomQuery) ([]scheduler.Room, error)

// Delegations sets how the owners of other partitions are asked for room and called to run tasks of
// this one, and the function that reports whether tasks may be left to them, which is so unless an
// owner of an older release can follow. By default no tasks are left to others.
func Delegations(askRoom AskRoom, call Delegate, allowed func() bool) Option {
	return func(c *Conductor) {
		c.askRoom = askRoom
		c.delegate = call
		c.grantsAllowed = allowed
	}
}

// delegateCalls is the state of the calls to the owner of one other partition.
type delegateCalls struct {
	inFlight bool
	// mark is that of the last reply.
	mark scheduler.Mark
	// calledAt is the time of the last call, and failures counts the calls that failed since
	// one was answered.
	calledAt time.Time
	failures int
}

// due reports whether a call is due.
func (d *delegateCalls) due(urgent bool, now time.Time) bool {
	interval := delegationInterval
	switch {
	case d.failures > 0:
		interval = min(maxDelegationPause, urgentDelegationInterval<<min(d.failures, 10))
	case urgent:
		interval = urgentDelegationInterval
	}
	return !d.inFlight && now.Sub(d.calledAt) >= interval
}

// SetServicePartitions sets the partitions of the shards of each service.
func (c *Conductor) SetServicePartitions(partitionsByService map[string][]int) {
	delegates := make(map[string][]int)
	for service, partitions := range partitionsByService {
		others := slices.DeleteFunc(slices.Clone(partitions), func(partition int) bool { return partition == c.partition })
		if len(others) > 0 && len(others) < len(partitions) {
			delegates[service] = others
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delegates = delegates
	if c.scheduler != nil {
		c.scheduler.SetDelegates(c.partition, delegates)
	}
}

// ServeHome answers the home owner of jobs of which this owner runs tasks.
func (c *Conductor) ServeHome(request scheduler.DelegationRequest) (scheduler.DelegationReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return scheduler.DelegationReply{}, ErrNotReady
	}
	reply := c.scheduler.ServeHome(request, c.clock.Now())
	c.actOnChanges()
	return reply, nil
}

// Room answers the owner of another partition that asks for the room of this one's workers.
func (c *Conductor) Room(queries []scheduler.RoomQuery) ([]scheduler.Room, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return nil, ErrNotReady
	}
	now := c.clock.Now()
	rooms := make([]scheduler.Room, 0, len(queries))
	for _, query := range queries {
		rooms = append(rooms, c.scheduler.Room(query, now))
	}
	return rooms, nil
}

// callDelegates tells the owners of other partitions what they run for this one. The scheduler's
// ticks request it while they run anything, or are to.
func (c *Conductor) callDelegates(ctx context.Context, group *errgroup.Group) error {
	if c.delegate == nil {
		return nil
	}
	for {
		select {
		case <-c.delegationRequests:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.callDueDelegates(ctx, group)
		if err := timekeeper.Sleep(ctx, c.clock, urgentDelegationInterval); err != nil {
			return err
		}
	}
}

// requestDelegations triggers a check whether calls to other owners are due.
func (c *Conductor) requestDelegations() {
	select {
	case c.delegationRequests <- struct{}{}:
	default:
	}
}

// callDueDelegates makes the calls that are due.
func (c *Conductor) callDueDelegates(ctx context.Context, group *errgroup.Group) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.jobsReadAt) > maxJobsAgeToDelegate {
		return
	}
	for partition, queries := range c.scheduler.RoomRequests(now) {
		group.Go(func() error {
			c.callForRoom(ctx, partition, queries)
			return nil
		})
	}
	requests, urgent := c.scheduler.DelegationRequests(now)
	maps.DeleteFunc(c.delegateCalls, func(partition int, calls *delegateCalls) bool {
		_, found := requests[partition]
		return !found && !calls.inFlight
	})
	for partition, request := range requests {
		calls := c.delegateCalls[partition]
		if calls == nil {
			calls = &delegateCalls{}
			c.delegateCalls[partition] = calls
		}
		if !calls.due(urgent[partition] || calls.mark.Token == 0, now) {
			continue
		}
		calls.inFlight = true
		calls.calledAt = now
		request.Mark = calls.mark
		group.Go(func() error {
			c.callDelegate(ctx, partition, request)
			return nil
		})
	}
}

// callForRoom asks the owner of another partition for its room.
func (c *Conductor) callForRoom(ctx context.Context, partition int, queries []scheduler.RoomQuery) {
	asked := c.clock.Now()
	rooms, err := c.askRoom(ctx, partition, queries)
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.metrics.delegationCalls.WithLabelValues("room failed").Inc()
		c.logger.WithError(err).WithFields(log.Fields{
			"partition": c.partition,
			"delegate":  partition,
		}).Debug("conductor: the owner of another partition does not say what room it has")
		return
	}
	c.metrics.delegationCalls.WithLabelValues("room answered").Inc()
	c.scheduler.RoomAnswered(partition, queries, rooms, asked, now)
}

// callDelegate makes one call to the owner of another partition.
func (c *Conductor) callDelegate(ctx context.Context, partition int, request scheduler.DelegationRequest) {
	reply, err := c.delegate(ctx, partition, request)
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := c.delegateCalls[partition]
	calls.inFlight = false
	if err != nil {
		calls.failures++
		c.metrics.delegationCalls.WithLabelValues("failed").Inc()
		if calls.failures == 1 {
			c.logger.WithError(err).WithFields(log.Fields{
				"partition": c.partition,
				"token":     c.token,
				"delegate":  partition,
				"jobs":      len(request.Jobs),
			}).Warn("conductor: the owner of another partition, which runs or could run tasks of this one, does not answer")
		}
		return
	}
	calls.failures = 0
	calls.mark = reply.Mark
	c.metrics.delegationCalls.WithLabelValues("answered").Inc()
	c.scheduler.DelegationAnswered(partition, request, reply, now)
	c.actOnChanges()
}

// actOnChanges requests a write and a tick if there is something to store. Most calls between owners
// change nothing, and a tick for each would cost more than the calls; others wait for the next
// regular one. The caller holds mu.
func (c *Conductor) actOnChanges() {
	if unwritten, _ := c.scheduler.Unwritten(); unwritten {
		c.requestWrite()
		c.requestTick()
	}
}

// guestKey returns the key of what a delegate stores of a job.
func guestKey(id string) string {
	return id + guestSuffix
}

// guestOfKey returns the identity of the job of another partition that is stored under a key.
func guestOfKey(key string) (id string, found bool) {
	return strings.CutSuffix(key, guestSuffix)
}

// restoreGuests passes the stored jobs of other partitions to a new scheduler.
func (c *Conductor) restoreGuests(s *scheduler.Scheduler, stored formerProgress, now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(stored.guests)) {
		guest := stored.guests[id]
		if guest == nil || guest.Job.ID != id || guest.Job.Validate() != nil || !guest.Progress.State.Known() {
			c.logger.WithFields(log.Fields{
				"id":        id,
				"partition": c.partition,
			}).Error("conductor: what is stored of a job of another partition cannot be used, its tasks here do not run")
			s.HoldGuest(id)
			continue
		}
		s.RestoreGuest(*guest, now)
	}
}
