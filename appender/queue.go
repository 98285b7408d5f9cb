package appender

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// priorityCount is the number of priorities.
const priorityCount = int(PriorityAudit) + 1

// overdueInterval is the interval, in appends, at which an append begins with the
// oldest entry instead of the most urgent one if the oldest is overdue.
const overdueInterval = 4

// entry holds the records of one call of AppendAll.
type entry struct {
	priority Priority
	stream   string
	// id is the identity of the first record.
	id string
	// payloads holds the encoded records, at least one. bytes is their total
	// length.
	payloads [][]byte
	bytes    int
	// enqueuedAt is the time at which the entry was created.
	enqueuedAt time.Time
	// done is closed once err holds the outcome.
	done chan struct{}
	err  error

	// The fields below are guarded by the queue's mutex.

	// maybeAppended reports whether a failed append of the entry may have taken
	// effect.
	maybeAppended bool
	// inFlight reports whether an append of the entry is in progress.
	inFlight bool
	// settled reports whether done is closed, abandoned whether the caller no
	// longer waits for the outcome.
	settled   bool
	abandoned bool
}

// queue holds the waiting entries by priority, the oldest first.
type queue struct {
	// limit is the maximum number of records that wait or are in flight.
	// overdueAfter is the age at which an entry is overdue.
	limit        int
	overdueAfter time.Duration
	// notEmpty holds a token while entries may be waiting.
	notEmpty chan struct{}

	mu      sync.Mutex
	waiting [priorityCount][]*entry
	// records is the number of records that wait or are in flight.
	records int
	closed  bool
	// appendCount is the number of calls of head, one for each append.
	appendCount int
}

func newQueue(limit int, overdueAfter time.Duration) *queue {
	return &queue{
		limit:        limit,
		overdueAfter: overdueAfter,
		notEmpty:     make(chan struct{}, 1),
	}
}

// put adds the entry. It returns false if the backlog is full for the entry's
// priority: each priority leaves another tenth of the limit free for the more
// urgent ones. After close, put completes the entry with ErrUnavailable.
func (q *queue) put(e *entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		q.settleEntry(e, errors.Wrap(ErrUnavailable, "the appender has stopped"))
		return true
	}
	priorityLimit := q.limit * (10 - int(e.priority)) / 10
	if q.records+len(e.payloads) > priorityLimit {
		return false
	}
	q.records += len(e.payloads)
	q.waiting[e.priority] = append(q.waiting[e.priority], e)
	q.signal()
	return true
}

// signal wakes wait, or lets its next call return at once.
func (q *queue) signal() {
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
}

// wait waits until entries may be waiting, or returns the context's error.
func (q *queue) wait(ctx context.Context) error {
	select {
	case <-q.notEmpty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nextBatch removes the entries of the next append from the queue and returns
// them. All are of one stream.
func (q *queue) nextBatch(now time.Time) []*entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	head := q.head(now)
	if head == nil {
		return nil
	}
	batch := []*entry{head}
	q.waiting[head.priority] = slices.DeleteFunc(q.waiting[head.priority], func(e *entry) bool {
		return e == head
	})
	records, bytes := len(head.payloads), head.bytes
	for p := range q.waiting {
		q.waiting[p] = slices.DeleteFunc(q.waiting[p], func(e *entry) bool {
			if e.stream != head.stream || records+len(e.payloads) > maxBatchRecords || bytes+e.bytes > maxBatchBytes {
				return false
			}
			records += len(e.payloads)
			bytes += e.bytes
			batch = append(batch, e)
			return true
		})
	}
	for _, e := range batch {
		e.inFlight = true
	}
	if q.anyWaiting() {
		q.signal()
	}
	return batch
}

// head returns the entry with which the next append begins: the most urgent or,
// in every overdueInterval-th append, the oldest if it is overdue.
func (q *queue) head(now time.Time) *entry {
	q.appendCount++
	var urgent, oldest *entry
	for _, entries := range q.waiting {
		if len(entries) == 0 {
			continue
		}
		if urgent == nil {
			urgent = entries[0]
		}
		if oldest == nil || entries[0].enqueuedAt.Before(oldest.enqueuedAt) {
			oldest = entries[0]
		}
	}
	if oldest != nil && q.appendCount%overdueInterval == 0 && now.Sub(oldest.enqueuedAt) > q.overdueAfter {
		return oldest
	}
	return urgent
}

func (q *queue) anyWaiting() bool {
	for _, entries := range q.waiting {
		if len(entries) > 0 {
			return true
		}
	}
	return false
}

// settle completes the entries of an append with its outcome.
func (q *queue) settle(batch []*entry, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range batch {
		q.records -= len(e.payloads)
		q.settleEntry(e, outcomeOf(e, err))
	}
}

// outcomeOf returns the outcome of an entry whose last append returned err. A
// failure becomes an UnknownError if an earlier append of the entry may have taken
// effect.
func outcomeOf(e *entry, err error) error {
	if err != nil && e.maybeAppended {
		return errors.WithStack(&UnknownError{
			ID: e.id,
		})
	}
	return err
}

// settleEntry completes the entry with the outcome, unless it is complete.
func (q *queue) settleEntry(e *entry, err error) {
	if e.settled {
		return
	}
	e.settled = true
	e.inFlight = false
	e.err = err
	close(e.done)
}

// requeue returns the entries of a failed append to the front of their
// priorities. Entries that no caller waits for are completed instead, and so are
// all entries after close.
func (q *queue) requeue(batch []*entry, maybeAppended bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range slices.Backward(batch) {
		e.inFlight = false
		e.maybeAppended = e.maybeAppended || maybeAppended
		if e.abandoned || q.closed {
			q.records -= len(e.payloads)
			q.settleEntry(e, outcomeOf(e, ErrUnavailable))
			continue
		}
		q.waiting[e.priority] = slices.Insert(q.waiting[e.priority], 0, e)
	}
	q.signal()
}

// abandon removes an entry whose caller stops waiting. It reports whether the
// outcome is known already and, if not, whether the entry may have been appended
// or still be in flight.
func (q *queue) abandon(e *entry) (settled, maybeAppended bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.settled {
		return true, false
	}
	e.abandoned = true
	if e.inFlight {
		return false, true
	}
	q.waiting[e.priority] = slices.DeleteFunc(q.waiting[e.priority], func(other *entry) bool {
		return other == e
	})
	q.records -= len(e.payloads)
	return false, e.maybeAppended
}

// recordCount returns the number of records that wait or are in flight.
func (q *queue) recordCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.records
}

// close fails all waiting entries, and makes put fail those that are added later.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for p, entries := range q.waiting {
		for _, e := range entries {
			q.records -= len(e.payloads)
			q.settleEntry(e, outcomeOf(e, errors.Wrap(ErrUnavailable, "the appender has stopped")))
		}
		q.waiting[p] = nil
	}
}
