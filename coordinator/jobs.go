package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/storer"
)

const (
	// appendTimeout bounds an append of callers' records. A store that is fifty
	// times slower than usual still answers within it.
	appendTimeout = 900 * time.Millisecond
	// ownerAppendTimeout bounds an append that the owner makes for this entry,
	// including the wait behind another append.
	ownerAppendTimeout = abandonTimeout + appendTimeout
	// appendMaxAnswerAge is how long this entry keeps storing jobs itself while its
	// calls to the store fail, counted from the store's last answer. After that it
	// asks another entry at once.
	appendMaxAnswerAge = 400 * time.Millisecond
	// peerTimeout bounds a call to another entry that answers from memory.
	peerTimeout = 600 * time.Millisecond
	// relayTries is how many other entries are tried, in turn, for a call on
	// behalf of this one, and relayTimeout bounds each try. If all of them fail,
	// the caller is refused well before its own timeout.
	relayTries   = 2
	relayTimeout = 400 * time.Millisecond
)

var _ receiver.Jobs = (*Coordinator)(nil)

// Submit implements receiver.Jobs.
func (c *Coordinator) Submit(ctx context.Context, job scheduler.Job) error {
	record, err := conductor.JobRecord(job)
	if err != nil {
		return fmt.Errorf("%w: %w", receiver.ErrNotStored, err)
	}
	limits := c.settings.storeLimits
	if !limits.Fits(record) {
		return errors.Wrapf(receiver.ErrTooLarge, "coordinator: the job takes %d bytes, a record at most %d", storer.Size(record), limits.Record())
	}
	if !job.Storable(limits.Record()) {
		return errors.Wrapf(receiver.ErrTooLarge, "coordinator: the progress of %d phases may need a record of more than %d bytes", len(job.Phases), limits.Record())
	}
	if repeated, err := c.isRepeated(ctx, job); repeated || err != nil {
		return err
	}
	partition, known := c.shards.partitionOfJob(job.Queue.Service, job.ID)
	if !known {
		return fmt.Errorf("%w: %w", receiver.ErrNotStored, errNoShards)
	}
	if err := c.admit(ctx, partition, job); err != nil {
		return err
	}
	return c.append(ctx, partition, record)
}

// isRepeated reports whether the job was accepted before the queue took the place of another one. Its error is
// marked with receiver.ErrUnknown if that is not known.
func (c *Coordinator) isRepeated(ctx context.Context, job scheduler.Job) (bool, error) {
	ref := receiver.JobRef{
		ID:           job.ID,
		Queue:        job.Queue,
		Organisation: job.Organisation,
	}
	var found location
	c.locateIn(ctx, c.formerPartitions(ref, c.settings.clock.Now().Add(-repeatedSubmitTime)), ref, &found)
	if !found.reply.Found && found.err != nil {
		return false, fmt.Errorf("%w: %w", receiver.ErrUnknown, found.err)
	}
	return found.reply.Found, nil
}

// Cancel implements receiver.Jobs.
func (c *Coordinator) Cancel(ctx context.Context, job receiver.JobRef) error {
	found, known := c.locate(ctx, job)
	if !known {
		return fmt.Errorf("%w: %w", receiver.ErrNotStored, errNoShards)
	}
	if found.reply.Foreign {
		return receiver.ErrNoJob
	}
	record, err := c.cancelRecord(job)
	if err != nil {
		return fmt.Errorf("%w: %w", receiver.ErrNotStored, err)
	}
	// The record of an unknown job is stored, as the job may be on its way. Without an
	// answer it is stored as well, and the owner checks it.
	partitions := []int{found.partition}
	if !found.reply.Found {
		for _, other := range found.unanswered {
			if other != found.partition {
				partitions = append(partitions, other)
			}
		}
	}
	for _, partition := range partitions {
		if err := c.append(ctx, partition, record); err != nil {
			return err
		}
	}
	if !found.reply.Found && found.err == nil && c.hasOrganisations() {
		// The same answer as for a job of another organisation.
		return receiver.ErrNoJob
	}
	return nil
}

// cancelRecord returns the record that cancels a job, such that all owners read it.
func (c *Coordinator) cancelRecord(job receiver.JobRef) (storer.Record, error) {
	if c.ownCancelKeys.Load() {
		return conductor.CancelRecord(job.ID, job.Organisation)
	}
	return conductor.SharedCancelRecord(job.ID, job.Organisation)
}

// append stores a record in the jobs topic, through another entry if the store does
// not answer this one or if it is slow.
func (c *Coordinator) append(ctx context.Context, partition int, record storer.Record) error {
	if c.store.slow() && c.store.serves() {
		if done, err := c.appendAtOwner(ctx, partition, record); done {
			return submitError(err)
		}
	}
	err := c.appendHere(ctx, partition, record)
	if !errors.Is(err, storer.ErrUnavailable) {
		return submitError(err)
	}
	relayErr := c.callAny(ctx, c.entryPool.relayPeers(relayTries), "Append", AppendArgs{
		Partition: partition,
		Record:    record,
	}, &AppendReply{})
	switch {
	case relayErr == nil:
		return nil
	case errors.Is(relayErr, messenger.ErrUnreachable), errors.Is(relayErr, messenger.ErrRefused):
		c.refusedSubmits.Add(1)
		return fmt.Errorf("%w: %w", receiver.ErrNotStored, err)
	default:
		return fmt.Errorf("%w: %w", receiver.ErrUnknown, relayErr)
	}
}

// appendAtOwner has the owner of the partition store a record. A partition takes
// one append at a time: many entries would give a slow store more appends than it
// can take, while the owner combines them into one. done is false if this entry
// has to store the record itself.
func (c *Coordinator) appendAtOwner(ctx context.Context, partition int, record storer.Record) (done bool, err error) {
	if c.localOwner(partition) != nil {
		return false, nil
	}
	address, found := c.owners.find(ctx, partition)
	if !found || address == c.settings.peerAddress {
		return false, nil
	}
	if c.owners.isSilent(address) {
		// It may be gone, or only its append may have taken too long.
		if !c.askAlive(ctx, address).Member {
			return false, nil
		}
		c.owners.doubt(address)
	}
	began := c.settings.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, ownerAppendTimeout)
	defer cancel()
	var reply AppendReply
	err = c.pool.Call(callCtx, address, rpcName+".Append", AppendArgs{
		Partition: partition,
		Record:    record,
	}, &reply)
	if !errors.Is(err, messenger.ErrRefused) {
		// An owner whose append failed is there.
		c.owners.recordCall(ctx, address, began, err)
	}
	switch {
	case err == nil && reply.Unknown, errors.Is(err, messenger.ErrUnknown):
		return true, fmt.Errorf("%w: %w", storer.ErrUnknown, errors.New("coordinator: the owner does not know whether the store took the job"))
	case err == nil:
		return true, nil
	case c.settings.clock.Now().Sub(began) < relayTimeout:
		// The owner is gone, or the store does not answer it.
		return false, nil
	default:
		return true, fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
	}
}

// appendHere stores a record in the jobs topic from this entry.
func (c *Coordinator) appendHere(ctx context.Context, partition int, record storer.Record) error {
	if !c.store.serves() {
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, errStoreSilent)
	}
	return c.submitBatcher.append(ctx, partition, record)
}

func submitError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, storer.ErrUnknown):
		return fmt.Errorf("%w: %w", receiver.ErrUnknown, err)
	default:
		return fmt.Errorf("%w: %w", receiver.ErrNotStored, err)
	}
}

// State implements receiver.Jobs.
func (c *Coordinator) State(ctx context.Context, job receiver.JobRef) (scheduler.JobState, error) {
	found, known := c.locate(ctx, job)
	switch {
	case !known:
		return "", fmt.Errorf("%w: %w", receiver.ErrOwnerUnreachable, errNoShards)
	case found.reply.Found:
		return found.reply.State, nil
	case found.err != nil:
		return "", fmt.Errorf("%w: %w", receiver.ErrOwnerUnreachable, found.err)
	default:
		return "", receiver.ErrNoJob
	}
}

// askState asks the owner of the partition for the state of a job.
func (c *Coordinator) askState(ctx context.Context, partition int, job receiver.JobRef) (StateReply, error) {
	args := StateArgs{
		Partition:    partition,
		ID:           job.ID,
		Organisation: job.Organisation,
	}
	return callOwner(ctx, c, ownerCall[StateReply]{
		partition: partition,
		method:    "State",
		args:      args,
		local: func(ctx context.Context, own *conductor.Conductor) (StateReply, error) {
			return stateAt(ctx, own, args)
		},
		unconfirmed: func(reply StateReply) bool { return reply.Unconfirmed },
	})
}

// WaitingJobs implements receiver.Jobs.
func (c *Coordinator) WaitingJobs(ctx context.Context, queue scheduler.Queue) (int, error) {
	queries := c.waitingQueries(queue)
	counts := make([]int, len(queries))
	group, ctx := errgroup.WithContext(ctx)
	for i, args := range queries {
		group.Go(func() error {
			reply, err := callOwner(ctx, c, ownerCall[WaitingReply]{
				partition: args.Partition,
				method:    "Waiting",
				args:      args,
				local: func(_ context.Context, own *conductor.Conductor) (reply WaitingReply, err error) {
					reply.Jobs, err = own.WaitingJobs(args.Queue)
					return reply, err
				},
				unconfirmed: func(reply WaitingReply) bool { return reply.Unconfirmed },
			})
			counts[i] = reply.Jobs
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, fmt.Errorf("%w: %w", receiver.ErrOwnerUnreachable, err)
	}
	total := 0
	for _, count := range counts {
		total += count
	}
	return total, nil
}

// errNoShards is returned for a service whose shards are not known yet.
var errNoShards = errors.New("coordinator: the service has no shards yet")

// errStoreSilent is returned for a record that is not sent to the store, as it has not
// answered this entry lately.
var errStoreSilent = errors.New("coordinator: the store has not answered lately")

func (c *Coordinator) localOwner(partition int) *conductor.Conductor {
	c.mu.Lock()
	defer c.mu.Unlock()
	if own := c.owned[partition]; own != nil {
		return own.conductor
	}
	return nil
}
