package scheduler

import "time"

// A renewal that acknowledges ends, and that the worker's next incarnation carries out, makes that one
// forget ends which nobody has read: they are numbered anew. Until the owner's first call with the raised
// token such ends are those of late starts only. So a start and an acknowledgement are never under way to
// one incarnation at the same time, unless the start has the higher token, which refuses the acknowledgement.

// sentAcknowledgement is one that has no answer yet.
type sentAcknowledgement struct {
	// number is that of the last end, and sentAt the time of the renewal, zero if there is none.
	number int64
	sentAt time.Time
}

// nextAcknowledgement returns the number up to which the worker's ends can be acknowledged now, and
// records that it is sent.
func (s *Scheduler) nextAcknowledgement(w *worker, now time.Time) int64 {
	if !w.sentAck.sentAt.Equal(now) {
		s.noteLostAcknowledgement(w)
	}
	if !w.acknowledgementDue(s.storedBatch) || w.awaitsStarts() {
		return 0
	}
	// Otherwise the worker may have started again, and its ends be others.
	if !w.silentSince.IsZero() || s.age(w.lastReportAt, now) >= maxReportAge {
		return 0
	}
	w.sentAck = sentAcknowledgement{
		number: w.storedEnds(s.storedBatch),
		sentAt: now,
	}
	return w.sentAck.number
}

// storedEnds returns the number up to which the worker's ends are stored.
func (w *worker) storedEnds(storedBatch int64) int64 {
	for len(w.pendingAcks) > 0 && w.pendingAcks[0].batch <= storedBatch {
		w.ackedNumber = w.pendingAcks[0].endNumber
		w.pendingAcks = w.pendingAcks[1:]
	}
	return w.ackedNumber
}

// acknowledgementDue reports whether the worker goes on reporting ends that are stored.
func (w *worker) acknowledgementDue(storedBatch int64) bool {
	return w.storedEnds(storedBatch) > w.forgottenEnds
}

// awaitsStarts reports whether a start to the worker may be under way whose run is not given up, or was answered by
// an incarnation that has not reported. That one would take acknowledged ends for its own.
func (w *worker) awaitsStarts() bool {
	if w.startedAt.IsZero() {
		// Its next incarnation has another identity.
		return false
	}
	for _, r := range w.runs {
		if r.startMayArrive() || !w.lastReportSent.After(r.unheardAt) && !r.unheardAt.IsZero() {
			return true
		}
	}
	return false
}

// startMayArrive reports whether a start of the run may be under way, or have reached an incarnation that has not
// reported. A report that lists the run is no proof of the opposite, as the start may have been repeated. Nor is
// one needed that tells whether the run exists, as reports may leave its end out until ends are acknowledged.
func (r *run) startMayArrive() bool {
	return r.mayArrive && r.state != runPlanned && r.worker.lastReportSent.Before(r.startedAt.Add(startValidity+lateArrival))
}

// awaitsAcknowledgement reports whether starts on the worker wait for the answer to an acknowledgement, or
// for one that waits for the answers to earlier starts.
func (s *Scheduler) awaitsAcknowledgement(w *worker) bool {
	if w.startedAt.IsZero() {
		return false
	}
	if !w.sentAck.sentAt.IsZero() {
		return true
	}
	if !w.acknowledgementDue(s.storedBatch) {
		return false
	}
	inFlight := false
	for _, r := range w.runs {
		if !r.startMayArrive() {
			continue
		}
		if r.state != runStarting {
			// The start had no answer, so the acknowledgement may wait for long.
			return false
		}
		inFlight = true
	}
	return inFlight
}

// noteAnswer records that the renewal which was sent at the given time was answered.
func (w *worker) noteAnswer(sent time.Time) {
	if w.sentAck.sentAt.IsZero() || !w.sentAck.sentAt.Equal(sent) {
		return
	}
	w.forgottenEnds = w.sentAck.number
	w.sentAck = sentAcknowledgement{}
}

// noteLostAcknowledgement records that the acknowledgement which was under way will have no answer, as its
// renewal failed or another one follows. It may be carried out yet, so the next start has a higher token.
func (s *Scheduler) noteLostAcknowledgement(w *worker) {
	if w.sentAck.sentAt.IsZero() {
		return
	}
	w.sentAck = sentAcknowledgement{}
	if w.startedAt.IsZero() {
		return
	}
	w.nextToken = max(w.nextToken, w.token+1)
	w.recorded = false
}

// AckState tells what the acknowledgement of a worker's ends waits for.
type AckState int

// The states of an acknowledgement.
const (
	// AckNone means that no reported end is left to acknowledge.
	AckNone AckState = iota
	// AckUnstored means that an end is not stored yet.
	AckUnstored
	// AckWaits means that it is not known yet whether a start on the worker arrives.
	AckWaits
	// AckDue means that the next renewal acknowledges ends.
	AckDue
)

// AckState returns what the acknowledgement of the worker's ends waits for.
func (s *Scheduler) AckState(id string) AckState {
	w := s.workers[id]
	switch {
	case w == nil:
		return AckNone
	case w.acknowledgementDue(s.storedBatch) && w.awaitsStarts():
		return AckWaits
	case w.acknowledgementDue(s.storedBatch):
		return AckDue
	case len(w.pendingAcks) > 0:
		return AckUnstored
	default:
		return AckNone
	}
}
