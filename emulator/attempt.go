package emulator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/galenacove/galenacove/namer"
)

const (
	// HeaderOlder carries the number of running requests whose epoch is lower
	// than the highest that the minion has seen.
	HeaderOlder = "Galenacove-Older"
	// HeaderDeadline carries the time that a request may run, in seconds.
	HeaderDeadline = "Galenacove-Deadline"
)

// unlimited is the duration of a stalled request, and the time that a request
// without a deadline may run.
const unlimited = 1000 * time.Hour

// attempt is a request that a minion is handling.
type attempt struct {
	id    string
	epoch namer.Epoch
	// senderCtx is done when the sender closes its connection; cancel ends the
	// attempt.
	senderCtx context.Context
	cancel    context.CancelFunc
}

// newAttempt returns an attempt for the request, and a copy of the request whose
// context the attempt's cancel function cancels.
func newAttempt(r *http.Request) (*http.Request, *attempt) {
	ctx, cancel := context.WithCancel(r.Context())
	return r.WithContext(ctx), &attempt{
		id:        r.Header.Get(HeaderAttempt),
		epoch:     senderEpoch(r),
		senderCtx: r.Context(),
		cancel:    cancel,
	}
}

// senderEpoch returns the epoch in the request's header, 0 if the header is
// missing or not a number.
func senderEpoch(r *http.Request) namer.Epoch {
	epoch, _ := strconv.ParseUint(r.Header.Get(HeaderEpoch), 10, 64)
	return namer.Epoch(epoch)
}

// answerCancelled answers a cancelled attempt with 408, or drops the connection
// if the sender has closed it.
func (a *attempt) answerCancelled(w http.ResponseWriter) {
	if a.senderCtx.Err() != nil {
		dropConnection()
	}
	http.Error(w, "cancelled", http.StatusRequestTimeout)
}

// allowedTime returns the time that the request may run according to its
// header, unlimited if the header is missing or not a number.
func allowedTime(r *http.Request) time.Duration {
	s, err := strconv.ParseFloat(r.Header.Get(HeaderDeadline), 64)
	if err != nil {
		return unlimited
	}
	return time.Duration(s * float64(time.Second))
}

// olderAttempts returns the number of running attempts whose epoch is lower than
// the highest seen. The caller holds mu.
func (m *Minion) olderAttempts() int {
	n := 0
	for a := range m.attempts {
		if a.epoch < m.epoch {
			n++
		}
	}
	return n
}

// handleProbe updates the highest epoch seen, as a request would, and answers
// without running anything.
func (m *Minion) handleProbe(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		dropConnection()
	}
	lowerEpoch := m.fence(senderEpoch(r))
	m.setHeaders(w, r)
	switch {
	case lowerEpoch:
		w.Header().Set(HeaderRefused, RefusedEpoch)
		w.WriteHeader(http.StatusConflict)
	case m.faults.Leaving:
		w.Header().Set(HeaderRefused, RefusedLeaving)
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// handleCancel cancels the attempts with the given identity and answers at once.
// The cancelled request gets its own answer.
func (m *Minion) handleCancel(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setHeaders(w, r)
	for a := range m.attempts {
		if a.id == r.PathValue("attempt") {
			a.cancel()
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
