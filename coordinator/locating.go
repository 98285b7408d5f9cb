package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
)

// locateTimeout bounds the search for a job: the calls to an owner that is gone and to the next one.
const locateTimeout = ownerTries * peerTimeout

// location tells what the owners of the partitions that may hold a job know of it.
type location struct {
	// partition is that of the job if it is found. Otherwise it is the one in which jobs of the queue are stored
	// now.
	partition int
	reply     StateReply
	// unanswered holds the partitions whose owners have not answered, and err the error of one of them.
	unanswered []int
	err        error
}

// locate finds the partition of a job. Only if the queue's present one does not hold the job, or its owner does not
// answer, others are asked: the queue may have had another service when the job was accepted. known is false if the job
// is in none of these and the present service has no shards yet.
func (c *Coordinator) locate(ctx context.Context, job receiver.JobRef) (found location, known bool) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	others := c.shards.partitionsOfID(job.ID)
	partition, known := c.shards.partitionOfJob(job.Queue.Service, job.ID)
	if !known {
		c.locateIn(ctx, others, job, &found)
		return found, found.reply.Found
	}
	found.partition = partition
	former := c.formerPartitions(job, time.Time{})
	found.reply, found.err = c.askPresent(ctx, partition, job, len(former) > 0)
	switch {
	case found.err == nil && (found.reply.Found || found.reply.Foreign):
		return found, true
	case found.err != nil:
		found.unanswered = []int{partition}
		others = former
	}
	c.locateIn(ctx, slices.DeleteFunc(others, func(other int) bool { return other == partition }), job, &found)
	return found, true
}

// askPresent asks the owner of the partition in which jobs of the queue are stored now. If others may have to be asked
// after it, it leaves them half of the context's time.
func (c *Coordinator) askPresent(ctx context.Context, partition int, job receiver.JobRef, hasFormer bool) (StateReply, error) {
	if deadline, limited := ctx.Deadline(); limited && hasFormer {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, deadline.Sub(c.settings.clock.Now())/2)
		defer cancel()
	}
	return c.askState(ctx, partition, job)
}

// locateIn asks the owners of the partitions for the job at once, until one of them has it.
func (c *Coordinator) locateIn(ctx context.Context, partitions []int, job receiver.JobRef, found *location) {
	if len(partitions) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	for _, partition := range partitions {
		group.Go(func() error {
			reply, err := c.askState(ctx, partition, job)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				found.unanswered, found.err = append(found.unanswered, partition), err
			case reply.Found && c.queueHistory.mayHaveBeen(job.Queue, reply.Queue):
				found.partition, found.reply = partition, reply
				cancel()
				c.settings.logger.WithFields(log.Fields{
					"id":        job.ID,
					"queue":     job.Queue.Name,
					"accepted":  reply.Queue,
					"partition": partition,
				}).Info("coordinator: a job is in the partition of a former service of its queue")
			}
			return nil
		})
	}
	// The goroutines return no errors.
	_ = group.Wait()
}

// waitingQueries returns the counts of which the number of the queue's waiting jobs is the sum: also of those that
// were accepted for queues whose place it has taken.
func (c *Coordinator) waitingQueries(queue scheduler.Queue) []WaitingArgs {
	queues := []formerQueue{
		{
			name:    queue.Name,
			service: queue.Service,
		},
	}
	for _, former := range c.queueHistory.formerOf(queue, time.Time{}) {
		// Nothing was accepted for a service that has no shards.
		if c.shards.decided(former.service) && c.queueHistory.mayHaveBeen(queue, former.name) {
			queues = append(queues, former)
		}
	}
	var queries []WaitingArgs
	for _, q := range queues {
		for _, partition := range c.shards.partitionsOfService(q.service) {
			args := WaitingArgs{
				Partition: partition,
				Queue:     q.name,
			}
			if !slices.Contains(queries, args) {
				queries = append(queries, args)
			}
		}
	}
	return queries
}

// formerPartitions returns the partitions that hold the job if it was accepted for a queue whose place the present
// one has taken since the given time, without the present one.
func (c *Coordinator) formerPartitions(job receiver.JobRef, since time.Time) []int {
	var partitions []int
	present, hasPresent := c.shards.partitionOfJob(job.Queue.Service, job.ID)
	for _, queue := range c.queueHistory.formerOf(job.Queue, since) {
		partition, known := c.shards.partitionOfJob(queue.service, job.ID)
		if known && (!hasPresent || partition != present) && !slices.Contains(partitions, partition) {
			partitions = append(partitions, partition)
		}
	}
	return partitions
}
