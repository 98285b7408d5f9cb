package coordinator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/storer"
)

const (
	// maxAppendRecords bounds the records of one append.
	maxAppendRecords = 200
	// abandonTimeout is how long a caller's record may wait for an append before
	// it is removed from the queue without being stored.
	abandonTimeout = 600 * time.Millisecond
)

// errAbandoned is returned for a record that was never sent to the store.
var errAbandoned = errors.New("coordinator: the store is too slow to take the job in time")

// submitBatcher appends the records of callers. There is one append at a time for
// each partition, with all records that arrived during the one before, so that a
// slow store does not get more calls than it can take.
type submitBatcher struct {
	store  storer.Store
	limits storer.Limits
	// serves reports whether the store takes records. It may be nil.
	serves func() bool

	mu     sync.Mutex
	queues map[int]*submitQueue
}

type submitQueue struct {
	// busy is set while an append is under way.
	busy    bool
	waiting []*pendingSubmit
}

// pendingSubmit is a record whose caller waits until it is stored.
type pendingSubmit struct {
	record storer.Record
	// mustAppend receives a value when this caller must make the next append.
	mustAppend chan struct{}
	// done is closed once err is set.
	done chan struct{}
	err  error
}

func newSubmitBatcher(store storer.Store) *submitBatcher {
	return &submitBatcher{
		store:  store,
		limits: storer.NewLimits(0, 0),
		queues: make(map[int]*submitQueue),
	}
}

// append stores a record. Its error is marked with storer.ErrUnavailable if the
// record is certainly not stored.
func (s *submitBatcher) append(ctx context.Context, partition int, record storer.Record) error {
	pending := &pendingSubmit{
		record:     record,
		mustAppend: make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
	waitCtx, cancel := context.WithTimeout(ctx, abandonTimeout)
	defer cancel()
	if !s.enqueue(partition, pending) {
		select {
		case <-pending.mustAppend:
		case <-pending.done:
			return pending.err
		case <-waitCtx.Done():
			if s.abandon(partition, pending) {
				return fmt.Errorf("%w: %w", storer.ErrUnavailable, errAbandoned)
			}
			// The record is part of an append, or this caller must make the next
			// one.
			select {
			case <-pending.mustAppend:
			case <-pending.done:
				return pending.err
			}
		}
	}
	s.flush(ctx, partition)
	<-pending.done
	return pending.err
}

// enqueue adds a record to the queue. It reports whether the caller must make the
// append.
func (s *submitBatcher) enqueue(partition int, pending *pendingSubmit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[partition]
	if q == nil {
		q = &submitQueue{}
		s.queues[partition] = q
	}
	q.waiting = append(q.waiting, pending)
	if q.busy {
		return false
	}
	q.busy = true
	return true
}

// abandon removes a record from the queue, unless it is part of an append already
// or its caller must make the next append. It reports whether it did.
func (s *submitBatcher) abandon(partition int, pending *pendingSubmit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(pending.mustAppend) > 0 {
		return false
	}
	q := s.queues[partition]
	for i, other := range q.waiting {
		if other == pending {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// flush appends the waiting records, as many as the store takes and up to maxAppendRecords, and
// hands the next append to the caller of the first record left in the queue.
func (s *submitBatcher) flush(ctx context.Context, partition int) {
	s.mu.Lock()
	q := s.queues[partition]
	n, size := 0, 0
	for n < min(len(q.waiting), maxAppendRecords) {
		size += storer.Size(q.waiting[n].record)
		if n > 0 && !s.limits.FitsRequest(size) {
			break
		}
		n++
	}
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	s.mu.Unlock()
	records := make([]storer.Record, len(batch))
	for i, pending := range batch {
		records[i] = pending.record
	}
	err := s.send(ctx, partition, records)
	for _, pending := range batch {
		pending.err = err
		close(pending.done)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(q.waiting) == 0 {
		q.busy = false
		return
	}
	q.waiting[0].mustAppend <- struct{}{}
}

// send appends records, unless the store has stopped answering while they waited.
func (s *submitBatcher) send(ctx context.Context, partition int, records []storer.Record) error {
	if s.serves != nil && !s.serves() {
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, errStoreSilent)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	_, err := s.store.Append(ctx, storer.Partition{
		Topic:  conductor.JobsTopic,
		Number: partition,
	}, nil, records...)
	return err
}
