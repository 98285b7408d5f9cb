package receiver

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// refusalLogRate and refusalLogBurst bound the log lines about refused keys for each
	// reason. A caller with a wrong key may send hundreds of calls per second.
	refusalLogRate  = 5
	refusalLogBurst = 20
	// unreadBodyTimeout bounds how long a connection stays open on which the body of a
	// refused call is still being sent.
	unreadBodyTimeout = 5 * time.Second
	// maxUnreadBody is the length of a body up to which it is read after a refusal. A
	// longer one costs more than a new connection.
	maxUnreadBody = 64 << 10
)

// errNoEvidence is the reason for refusing a key while the configuration in force may
// not be the newest.
var errNoEvidence = errors.New("receiver: no recent evidence that the configuration is the newest, nothing was done")

// KeyEvidence tells whether the configuration in force is known to have been the newest
// one recently enough for keys to be accepted.
type KeyEvidence interface {
	Valid() bool
}

// Evidence sets the evidence without which no key is accepted. By default keys are always
// accepted.
func Evidence(evidence KeyEvidence) Option {
	return func(r *Receiver) {
		r.evidence = evidence
	}
}

// keyRefusal is the reason why a call with or without a key is refused.
type keyRefusal struct {
	reason string
	answer answer
}

// keyReasons holds the values of the label reason for the errors of a keyring.
var keyReasons = []struct {
	err    error
	reason string
}{
	{authenticator.ErrMissing, "missing"},
	{authenticator.ErrSeveral, "several"},
	{authenticator.ErrOversized, "oversized"},
	{authenticator.ErrScheme, "scheme"},
	{authenticator.ErrMalformed, "malformed"},
	{authenticator.ErrUnknown, "unknown"},
	{authenticator.ErrAmbiguous, "ambiguous"},
}

// reasonNoEvidence is the label reason of a refusal with errNoEvidence.
const reasonNoEvidence = "noEvidence"

// currentTable returns the configuration for a call, and whether a key may be accepted
// by it. The evidence is checked before the configuration is loaded: evidence that was
// valid is about that configuration or an earlier one, also if this goroutine was paused
// in between.
func (r *Receiver) currentTable() (table *routeTable, accepting bool) {
	table = r.routeTable.Load()
	if table == nil || !table.keyring.Required() {
		return table, true
	}
	accepting = r.evidence.Valid()
	return r.routeTable.Load(), accepting
}

// organisationOf returns the organisation on whose behalf a call is made, empty for a
// public route or if there are no organisations. If the call must be refused, it returns
// why.
//
// A key that is not known is refused as unknown only with valid evidence, since it may
// have been added in a newer configuration.
func (r *Receiver) organisationOf(table *routeTable, accepting bool, route Route, request *http.Request) (string, *keyRefusal) {
	if route.Public || !table.keyring.Required() {
		return "", nil
	}
	name, err := table.keyring.Resolve(request.Header.Values("Authorization"))
	known := err == nil || errors.IsAny(err, authenticator.ErrUnknown, authenticator.ErrAmbiguous)
	if known && !accepting {
		return "", &keyRefusal{
			reason: reasonNoEvidence,
			answer: unavailable(errNoEvidence),
		}
	}
	if err == nil {
		return name, nil
	}
	refusal := &keyRefusal{
		reason: "other",
		answer: answer{
			status: http.StatusUnauthorized,
			err:    err,
		},
	}
	for _, known := range keyReasons {
		if errors.Is(err, known.err) {
			refusal.reason = known.reason
		}
	}
	return "", refusal
}

// answerBeforeBody sends a refusal at once, without waiting for the body of the call. By
// default net/http reads the rest of the body first.
//
// A body of moderate length is read after the answer, so that the connection can be used
// again. It must be read completely by the handler: net/http panics when it finds the end
// of the body itself after a full-duplex answer. With any other body the connection ends.
func (r *Receiver) answerBeforeBody(w http.ResponseWriter, request *http.Request, got answer) error {
	if request.ContentLength == 0 {
		return r.write(w, got)
	}
	controller := http.NewResponseController(w)
	if request.ContentLength < 0 || request.ContentLength > maxUnreadBody || controller.EnableFullDuplex() != nil {
		w.Header().Set("Connection", "close")
		return r.write(w, got)
	}
	// Without its length the answer would end only when the handler returns.
	w.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	if err := r.write(w, got); err != nil {
		return err
	}
	if err := controller.Flush(); err != nil {
		return err
	}
	if err := controller.SetReadDeadline(r.clock.Now().Add(unreadBodyTimeout)); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return err
	}
	return controller.SetReadDeadline(time.Time{})
}

// refusalLog counts refusals by reason and bounds the log lines about them.
type refusalLog struct {
	clock   timekeeper.Clock
	counter *prometheus.CounterVec

	mu       sync.Mutex
	byReason map[string]*refusalLimit
}

type refusalLimit struct {
	limiter *rate.Limiter
	// suppressed counts the refusals since the last one that was logged.
	suppressed int
}

func newRefusalLog() *refusalLog {
	return &refusalLog{
		counter: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_receiver_key_refusals_total",
			Help: "Calls refused for their key, by reason.",
		}, []string{"reason"}),
		byReason: make(map[string]*refusalLimit),
	}
}

// record counts a refusal. It reports whether to log it, and how many with the same
// reason have not been logged since the last one.
func (l *refusalLog) record(reason string) (logged bool, suppressed int) {
	l.counter.WithLabelValues(reason).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.byReason[reason]
	if limit == nil {
		limit = &refusalLimit{
			limiter: rate.NewLimiter(refusalLogRate, refusalLogBurst),
		}
		l.byReason[reason] = limit
	}
	if !limit.limiter.AllowN(l.clock.Now(), 1) {
		limit.suppressed++
		return false, 0
	}
	suppressed = limit.suppressed
	limit.suppressed = 0
	return true, suppressed
}

// logKeyRefusal logs a refusal, unless there have been too many with the same reason. The
// line contains no part of the Authorization header, and no ID that is not well-formed.
func (r *Receiver) logKeyRefusal(call, id string, route Route, refusal *keyRefusal) {
	logged, suppressed := r.refusals.record(refusal.reason)
	if !logged {
		return
	}
	if !r.bodies.ValidID(id) {
		id = ""
	}
	r.logger.WithFields(log.Fields{
		"call":       call,
		"id":         id,
		"route":      route.Queue.Name,
		"status":     refusal.answer.status,
		"reason":     refusal.answer.err.Error(),
		"suppressed": suppressed,
	}).Warn("receiver: key refused")
}
