package emulator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/galenacove/galenacove/namer"
)

const (
	// HeaderOlder counts the requests of lower epochs that still run.
	HeaderOlder = "Galenacove-Older"
	// HeaderDeadline carries how long a request may run, in seconds.
	HeaderDeadline = "Galenacove-Deadline"
)

// forever is how long a stalled request runs if nobody ends it.
const forever = 1000 * time.Hour

// attempt is a request at a minion.
type attempt struct {
	id    string
	epoch namer.Epoch
	// sender ends when the sender hangs up, cancel ends the attempt.
	sender context.Context
	cancel context.CancelFunc
}

// newAttempt returns the attempt of a request, and the request so that it ends
// early if the attempt is cancelled.
func newAttempt(r *http.Request) (*http.Request, *attempt) {
	ctx, cancel := context.WithCancel(r.Context())
	return r.WithContext(ctx), &attempt{
		id:     r.Header.Get(HeaderAttempt),
		epoch:  epochOf(r),
		sender: r.Context(),
		cancel: cancel,
	}
}

// epochOf returns the sender's epoch. A header that is no number counts as none.
func epochOf(r *http.Request) namer.Epoch {
	epoch, _ := strconv.ParseUint(r.Header.Get(HeaderEpoch), 10, 64)
	return namer.Epoch(epoch)
}

// giveUp answers that the attempt was cancelled, unless the sender has gone.
func (a *attempt) giveUp(w http.ResponseWriter) {
	if a.sender.Err() != nil {
		drop()
	}
	http.Error(w, "cancelled", http.StatusRequestTimeout)
}

// allowed returns how long the sender lets the request run.
func allowed(r *http.Request) time.Duration {
	s, err := strconv.ParseFloat(r.Header.Get(HeaderDeadline), 64)
	if err != nil {
		return forever
	}
	return time.Duration(s * float64(time.Second))
}

// older counts the attempts of lower epochs than the highest. The caller holds
// mu.
func (m *Minion) older() int {
	n := 0
	for a := range m.attempts {
		if a.epoch < m.epoch {
			n++
		}
	}
	return n
}

// handleProbe takes the sender's epoch, as a request would, and runs nothing.
func (m *Minion) handleProbe(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		drop()
	}
	lower := m.fence(epochOf(r))
	m.label(w, r)
	switch {
	case lower:
		w.Header().Set(HeaderRefused, RefusedEpoch)
		w.WriteHeader(http.StatusConflict)
	case m.faults.Leaving:
		w.Header().Set(HeaderRefused, RefusedLeaving)
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// handleCancel ends an attempt that nobody waits for. The attempt itself is
// answered when it has ended.
func (m *Minion) handleCancel(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.label(w, r)
	for a := range m.attempts {
		if a.id == r.PathValue("attempt") {
			a.cancel()
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
