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
	// mostInAppend bounds the records of one append. The store takes 2 MB, and
	// a job is a few KB at most.
	mostInAppend = 200
	// abandonedAfter is how long a caller's record may wait for an append
	// before it is taken out again, as not stored.
	abandonedAfter = 600 * time.Millisecond
)

// errAbandoned is returned for a record that was never sent to the store.
var errAbandoned = errors.New("coordinator: the store is too slow to take the job in time")

// submits appends the records of callers. There is one append at a time for a
// partition, with all records that came during the one before, so that a slow
// store is not given more calls than it can take.
type submits struct {
	store storer.Store

	mu    sync.Mutex
	parts map[int]*submitQueue
}

type submitQueue struct {
	// busy tells that an append is under way.
	busy    bool
	waiting []*submit
}

// submit is a record of a caller who waits.
type submit struct {
	record storer.Record
	// lead tells the caller to make the next append.
	lead chan struct{}
	// done is closed once err is set.
	done chan struct{}
	err  error
}

func newSubmits(store storer.Store) *submits {
	return &submits{
		store: store,
		parts: make(map[int]*submitQueue),
	}
}

// append stores a record. Its error is marked with storer.ErrUnavailable where
// the record is certainly not stored.
func (s *submits) append(ctx context.Context, partition int, record storer.Record) error {
	own := &submit{
		record: record,
		lead:   make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
	waiting, cancel := context.WithTimeout(ctx, abandonedAfter)
	defer cancel()
	if !s.enter(partition, own) {
		select {
		case <-own.lead:
		case <-own.done:
			return own.err
		case <-waiting.Done():
			if s.abandon(partition, own) {
				return fmt.Errorf("%w: %w", storer.ErrUnavailable, errAbandoned)
			}
			// The record is in an append, or this caller has to make it.
			select {
			case <-own.lead:
			case <-own.done:
				return own.err
			}
		}
	}
	s.flush(ctx, partition)
	<-own.done
	return own.err
}

// enter puts a record in the queue. It reports whether the caller is to make
// the append.
func (s *submits) enter(partition int, own *submit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.parts[partition]
	if q == nil {
		q = &submitQueue{}
		s.parts[partition] = q
	}
	q.waiting = append(q.waiting, own)
	if q.busy {
		return false
	}
	q.busy = true
	return true
}

// abandon takes a record out of the queue, if it still is there and its caller
// was not told to lead.
func (s *submits) abandon(partition int, own *submit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(own.lead) > 0 {
		return false
	}
	q := s.parts[partition]
	for i, other := range q.waiting {
		if other == own {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// flush appends what waits, and has the next in the queue go on.
func (s *submits) flush(ctx context.Context, partition int) {
	s.mu.Lock()
	q := s.parts[partition]
	n := min(len(q.waiting), mostInAppend)
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	s.mu.Unlock()
	records := make([]storer.Record, len(batch))
	for i, part := range batch {
		records[i] = part.record
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	_, err := s.store.Append(ctx, storer.Partition{
		Topic:  conductor.JobsTopic,
		Number: partition,
	}, nil, records...)
	for _, part := range batch {
		part.err = err
		close(part.done)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(q.waiting) == 0 {
		q.busy = false
		return
	}
	q.waiting[0].lead <- struct{}{}
}
