package scheduler

import (
	"maps"
	"time"
)

// A worker that starts again under its identity carries out calls that were meant for its former
// incarnation: it has forgotten the fencing token, and such a call can arrive seconds later. A renewal
// then acknowledges ends that nobody has read, as they are numbered anew, and a start runs a task that was
// given up. So each incarnation that an owner learns of gets a higher token than the one before. The store
// lists it before the first call with it, so that the next owner's calls are not refused, and nothing
// starts there before.

// raiseToken puts a token in force that is stored now.
func (w *worker) raiseToken(stored int64) {
	if stored <= w.token || stored != w.nextToken {
		return
	}
	w.token, w.nextToken = stored, 0
}

// noteRaisedToken records that the worker has answered a renewal, and so refuses all calls to its former
// incarnation from now on if that has not seen the token. Until then one may have extended the lease.
func (s *Scheduler) noteRaisedToken(w *worker, sent, now time.Time) {
	if w.raised || w.raisedAt.IsZero() || sent.Before(w.raisedAt) {
		return
	}
	w.raised = true
	if !w.restartKnownSince.IsZero() {
		s.explainFence(w, now)
		w.formerOrdersEnd = now.Add(s.options.longestLease())
	}
}

// formerCallsEnd returns the time by which the leases of a silent worker have ended that calls to its
// former incarnation may have given it. Without a proof a call may still arrive after the worker fell silent.
func (s *Scheduler) formerCallsEnd(w *worker) time.Time {
	if w.refusesFormerCalls() {
		return w.formerOrdersEnd
	}
	return latest(w.formerOrdersEnd, w.silentSince.Add(lateArrival+s.options.longestLease()))
}

// refusesFormerCalls reports whether no call to a former incarnation of the worker is carried out any more.
func (w *worker) refusesFormerCalls() bool {
	return w.raised || w.restartKnownSince.IsZero()
}

// WorkerToken returns the fencing token of the calls to a worker. A worker's refusal of a lower one does
// not mean that there is a later owner.
func (s *Scheduler) WorkerToken(id string) int64 {
	if w := s.workers[id]; w != nil {
		return w.token
	}
	return max(s.token, s.formerIncarnations[id].token)
}

// maxFormerIncarnationAge is the time after which no call arrives that was meant for a worker which is not in
// use any more.
const maxFormerIncarnationAge = time.Minute

// formerIncarnation is what is kept of a worker that is not in use any more.
type formerIncarnation struct {
	startedAt time.Time
	// token and nextToken are as in worker.
	token, nextToken int64
	// The others that are kept of worker tell which calls to a former incarnation may still be carried out.
	formerStarts                                 []time.Time
	restartKnownSince, raisedAt, formerOrdersEnd time.Time
	raised                                       bool
	// endedAt is the time at which the worker was dropped.
	endedAt time.Time
	// gone is set if the incarnation is known to have ended, so that its token does not matter any more.
	gone bool
	// formerOwner is set if a former owner dropped the worker, and token is the one of its calls.
	formerOwner bool
}

// rememberIncarnation keeps what is known of a worker that is dropped. It may be listed again after a restart.
func (s *Scheduler) rememberIncarnation(w *worker) {
	maps.DeleteFunc(s.formerIncarnations, func(_ string, former formerIncarnation) bool {
		return former.token == s.token && s.tickedAt.Sub(former.endedAt) > maxFormerIncarnationAge
	})
	if w.startedAt.IsZero() {
		return
	}
	s.formerIncarnations[w.entry.Ref.ID] = formerIncarnation{
		startedAt: w.startedAt,
		token:     w.token,
		nextToken: w.nextToken,
		endedAt:   s.tickedAt,
		gone:      w.gone,

		formerStarts:      w.formerStarts,
		restartKnownSince: w.restartKnownSince,
		raisedAt:          w.raisedAt,
		formerOrdersEnd:   w.formerOrdersEnd,
		raised:            w.raised,
	}
}

// droppedEntries returns what the store lists of workers that are not in use any more. Without it a next
// owner would take the refusal of its own lower token for a later owner.
func (s *Scheduler) droppedEntries() []WorkerEntry {
	var entries []WorkerEntry
	for id, former := range s.formerIncarnations {
		if former.token <= s.token || former.gone {
			continue
		}
		entries = append(entries, WorkerEntry{
			Ref: WorkerRef{
				ID: id,
			},
			StartedAt: former.startedAt,
			Token:     former.token,
			Dropped:   true,
		})
	}
	return entries
}

// addDropped remembers a worker that a former owner had dropped.
func (s *Scheduler) addDropped(entry WorkerEntry) {
	if entry.Token < s.token {
		return
	}
	s.formerIncarnations[entry.Ref.ID] = formerIncarnation{
		startedAt:   entry.StartedAt,
		token:       entry.Token,
		endedAt:     s.tickedAt,
		formerOwner: true,
	}
}

// recallIncarnation has a worker that was dropped continue the incarnation that is remembered, so that its first
// report shows whether it has started again.
func (s *Scheduler) recallIncarnation(w *worker) {
	former, found := s.formerIncarnations[w.entry.Ref.ID]
	if !found {
		return
	}
	delete(s.formerIncarnations, w.entry.Ref.ID)
	w.startedAt, w.token, w.nextToken = former.startedAt, former.token, former.nextToken
	if former.formerOwner {
		w.token++
	}
	w.formerStarts, w.restartKnownSince = former.formerStarts, former.restartKnownSince
	w.raisedAt, w.raised, w.formerOrdersEnd = former.raisedAt, former.raised, former.formerOrdersEnd
}
