package scheduler

import (
	"slices"
	"strings"
	"time"
)

const (
	// recoveryMargin is added to the time after which the former owner's
	// leases have certainly ended: delivery of its last order.
	recoveryMargin = 200 * time.Millisecond
	// stopRepeat is how long an unanswered stop waits to be sent again. It is a
	// few round trips, as the run's room is held until then.
	stopRepeat = 300 * time.Millisecond
	// shunAfter is how many failures in a row, of two jobs or more, set a
	// worker aside.
	shunAfter = 3
	// shunFirst and shunMost bound for how long it is set aside: about the
	// length of a short task at first, and of the usual fault at most.
	shunFirst = time.Second
	shunMost  = 4 * time.Second
	// unhealthyPause is for how long a worker that refuses starts gets none.
	unhealthyPause = 500 * time.Millisecond
	// endsInReport is how many ends a worker lists at most in one report.
	endsInReport = 500
)

// HoldOrder is what to tell a worker with the next renewal of its lease.
type HoldOrder struct {
	Worker WorkerRef
	// Lease is the end of the lease on the worker's clock, 0 to leave it as it
	// is.
	Lease time.Duration
	// Acknowledge is the highest number of an end that is stored.
	Acknowledge int64
	// Unstored tells that ends were reported that are not stored yet.
	Unstored bool
}

// SetWorkers takes the directory as it is now. Workers that it no longer names
// get nothing new.
func (s *Scheduler) SetWorkers(entries []WorkerEntry) {
	for _, w := range s.workers {
		w.listed = false
	}
	for _, entry := range entries {
		w := s.workers[entry.Ref.ID]
		if w == nil {
			w = newWorker(entry)
			s.workers[entry.Ref.ID] = w
		}
		w.entry = entry
		w.listed = true
	}
	for id, w := range s.workers {
		if !w.listed && len(w.runs) == 0 && (w.adopted || s.settled) {
			delete(s.workers, id)
		}
	}
}

// Expect names workers on which the former owner may have runs, whether or not
// the directory still names them.
func (s *Scheduler) Expect(entries []WorkerEntry) {
	for _, entry := range entries {
		if s.workers[entry.Ref.ID] == nil {
			w := newWorker(entry)
			w.recorded = true
			s.workers[entry.Ref.ID] = w
		}
	}
}

// unrecorded tells that the store does not name all workers.
func (s *Scheduler) unrecorded() bool {
	for _, w := range s.workers {
		if !w.recorded {
			return true
		}
	}
	return false
}

// inUse returns all workers on which there may be runs, by identity.
func (s *Scheduler) inUse() []WorkerEntry {
	entries := make([]WorkerEntry, 0, len(s.workers))
	for _, w := range s.workers {
		entries = append(entries, w.entry)
	}
	slices.SortFunc(entries, func(a, b WorkerEntry) int {
		return strings.Compare(a.Ref.ID, b.Ref.ID)
	})
	return entries
}

func newWorker(entry WorkerEntry) *worker {
	return &worker{
		entry:    entry,
		runs:     make(map[RunRef]*run),
		streak:   make(map[string]bool),
		slowness: 1,
	}
}

// Workers lists the workers to be held, in no order.
func (s *Scheduler) Workers() []WorkerRef {
	refs := make([]WorkerRef, 0, len(s.workers))
	for _, w := range s.workers {
		refs = append(refs, w.entry.Ref)
	}
	return refs
}

// HoldOrder returns what to tell a worker now, and whether it is known.
func (s *Scheduler) HoldOrder(id string, now time.Time) (HoldOrder, bool) {
	w := s.workers[id]
	if w == nil {
		return HoldOrder{}, false
	}
	for len(w.acks) > 0 && w.acks[0].batch <= s.written {
		w.acked = w.acks[0].number
		w.acks = w.acks[1:]
	}
	order := HoldOrder{
		Worker:      w.entry.Ref,
		Acknowledge: w.acked,
		Unstored:    len(w.acks) > 0,
	}
	if w.adopted && w.silent.IsZero() {
		order.Lease = s.extendLease(w, now)
	}
	return order, true
}

// extendLease returns the end of a lease that may be granted now, on the
// worker's clock. A next owner waits for the longest lease after it took over,
// so none may reach further than that from the last time at which this
// ownership was known to hold.
func (s *Scheduler) extendLease(w *worker, now time.Time) time.Duration {
	clock := w.clockAt(now)
	limit := time.Duration(float64(s.options.holdLimit)*slowestClock) - recoveryMargin - now.Sub(s.confirmed)
	w.lease = max(w.lease, clock+min(s.options.lease, limit))
	return w.lease
}

// HoldFailed tells that a renewal had no answer.
func (s *Scheduler) HoldFailed(id string, now time.Time) {
	if w := s.workers[id]; w != nil && w.silent.IsZero() {
		w.silent = now
	}
}

// WorkerGone tells that this life of a worker has ended for certain.
func (s *Scheduler) WorkerGone(id string, now time.Time) {
	w := s.workers[id]
	if w == nil {
		return
	}
	s.releaseAll(w, "worker ended", now)
	w.adopted = true
	if !w.listed {
		delete(s.workers, id)
		return
	}
	// The directory may lag behind.
	w.listed = false
	w.silent = now
}
