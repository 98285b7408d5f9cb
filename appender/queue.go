package appender

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// priorities is how many there are.
const priorities = int(PriorityAudit) + 1

// oldestTurn is how often an append starts from the oldest overdue entry.
const oldestTurn = 4

// entry is what one call wants appended.
type entry struct {
	priority Priority
	stream   string
	// id is the identity of the first record.
	id string
	// payloads is never empty, bytes is their length together.
	payloads [][]byte
	bytes    int
	// since is when the entry was made.
	since time.Time
	// done is closed once err holds the outcome.
	done chan struct{}
	err  error

	// The fields below are guarded by the queue's mutex.

	// touched says that an append of the entry may have taken effect.
	touched bool
	// flying says that an append of the entry has not been answered yet.
	flying bool
	// settled says that done is closed, abandoned that nobody waits for it.
	settled   bool
	abandoned bool
}

// queue holds the entries that wait, by priority, the oldest first.
type queue struct {
	// limit is the most records that wait.
	limit    int
	patience time.Duration
	// filled holds a token while there may be something to append.
	filled chan struct{}

	mu      sync.Mutex
	waiting [priorities][]*entry
	// records is how many records wait or fly.
	records int
	closed  bool
	// turn counts the appends.
	turn int
}

func newQueue(limit int, patience time.Duration) *queue {
	return &queue{
		limit:    limit,
		patience: patience,
		filled:   make(chan struct{}, 1),
	}
}

// put adds the entry. It reports false if the backlog is full for the entry's
// priority: each priority leaves a tenth of the room to those above it.
func (q *queue) put(e *entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		q.settleEntry(e, errors.Wrap(ErrUnavailable, "the appender has stopped"))
		return true
	}
	room := q.limit * (10 - int(e.priority)) / 10
	if q.records+len(e.payloads) > room {
		return false
	}
	q.records += len(e.payloads)
	q.waiting[e.priority] = append(q.waiting[e.priority], e)
	q.signal()
	return true
}

func (q *queue) signal() {
	select {
	case q.filled <- struct{}{}:
	default:
	}
}

// wait returns once there may be something to append.
func (q *queue) wait(ctx context.Context) error {
	select {
	case <-q.filled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// next takes the entries of the next append: all of one stream.
func (q *queue) next(now time.Time) []*entry {
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
			if e.stream != head.stream || records+len(e.payloads) > maxRecords || bytes+e.bytes > maxBytes {
				return false
			}
			records += len(e.payloads)
			bytes += e.bytes
			batch = append(batch, e)
			return true
		})
	}
	for _, e := range batch {
		e.flying = true
	}
	if q.anyWaiting() {
		q.signal()
	}
	return batch
}

// head returns the entry that must be in the next append: the most urgent, but
// every few appends the oldest, if that has waited longer than the patience.
func (q *queue) head(now time.Time) *entry {
	q.turn++
	var urgent, oldest *entry
	for _, entries := range q.waiting {
		if len(entries) == 0 {
			continue
		}
		if urgent == nil {
			urgent = entries[0]
		}
		if oldest == nil || entries[0].since.Before(oldest.since) {
			oldest = entries[0]
		}
	}
	if oldest != nil && q.turn%oldestTurn == 0 && now.Sub(oldest.since) > q.patience {
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

// settle gives the entries their outcome.
func (q *queue) settle(batch []*entry, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range batch {
		q.records -= len(e.payloads)
		q.settleEntry(e, outcomeOf(e, err))
	}
}

// outcomeOf turns a certain failure into an unknown outcome where an earlier
// append of the entry may have taken effect.
func outcomeOf(e *entry, err error) error {
	if err != nil && e.touched {
		return errors.WithStack(&UnknownError{
			ID: e.id,
		})
	}
	return err
}

func (q *queue) settleEntry(e *entry, err error) {
	if e.settled {
		return
	}
	e.settled = true
	e.flying = false
	e.err = err
	close(e.done)
}

// putBack returns the entries of an append that failed to the head of their
// priorities, but for those that nobody waits for.
func (q *queue) putBack(batch []*entry, touched bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range slices.Backward(batch) {
		e.flying = false
		e.touched = e.touched || touched
		if e.abandoned || q.closed {
			q.records -= len(e.payloads)
			q.settleEntry(e, outcomeOf(e, ErrUnavailable))
			continue
		}
		q.waiting[e.priority] = slices.Insert(q.waiting[e.priority], 0, e)
	}
	q.signal()
}

// abandon takes the entry out. It reports whether its outcome is there, and
// else whether it may have been appended.
func (q *queue) abandon(e *entry) (settled, touched bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.settled {
		return true, false
	}
	e.abandoned = true
	if e.flying {
		return false, true
	}
	q.waiting[e.priority] = slices.DeleteFunc(q.waiting[e.priority], func(other *entry) bool {
		return other == e
	})
	q.records -= len(e.payloads)
	return false, e.touched
}

// length returns how many records wait or fly.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.records
}

// close gives up whatever waits, and whatever comes.
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
