package emulator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
)

// Headers of the minions' HTTP interface.
const (
	// HeaderEpoch carries the sender's epoch in a request, and the highest epoch
	// that the minion has seen in an answer.
	HeaderEpoch = "Galenacove-Epoch"
	// HeaderAttempt identifies the attempt. The answer repeats it.
	HeaderAttempt = "Galenacove-Attempt"
	// HeaderRequest identifies the request. The answer repeats it.
	HeaderRequest = "Galenacove-Request"
	// HeaderRefused carries the reason why a request was not run.
	HeaderRefused = "Galenacove-Refused"
	// HeaderMinion carries the name of the minion that answers.
	HeaderMinion = "Galenacove-Minion"
)

// Values of HeaderRefused.
const (
	RefusedFull    = "full"
	RefusedLeaving = "leaving"
	RefusedEpoch   = "epoch"
	RefusedByFault = "refused"
)

// maxIdentities limits the request identities that a minion counts.
const maxIdentities = 1_000_000

// MinionFaults are the faults of a minion. The zero value has none.
type MinionFaults struct {
	// Every applies the faults to every n-th request only; 0 and 1 mean all
	// requests. Leaving applies to all requests in any case.
	Every int `json:"every,omitempty"`
	// Down closes the connection before the request runs.
	Down bool `json:"down,omitempty"`
	// Refuse answers 503 without running the request.
	Refuse bool `json:"refuse,omitempty"`
	// Leaving answers 503 without running the request, and sets the host's state
	// at the platform to leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Slow is added to the service time.
	Slow time.Duration `json:"slow,omitempty"`
	// Fail answers 500 after the request ran.
	Fail bool `json:"fail,omitempty"`
	// Stall runs the request until its sender closes the connection, its deadline
	// passes or it is cancelled.
	Stall bool `json:"stall,omitempty"`
	// LoseAnswer closes the connection after the request ran.
	LoseAnswer bool `json:"loseAnswer,omitempty"`
	// CutBody closes the connection after half of a chunked body.
	CutBody bool `json:"cutBody,omitempty"`
	// WrongLength sends a Content-Length of more bytes than the body has.
	WrongLength bool `json:"wrongLength,omitempty"`
	// Silent stops the heartbeats to the platform.
	Silent bool `json:"silent,omitempty"`
}

// Counts holds the numbers of requests and connections that a minion has had
// since its creation.
type Counts struct {
	// MostRequests and MostConnections are the peak numbers of concurrent
	// requests and connections, including refused ones.
	MostRequests    int `json:"mostRequests"`
	MostConnections int `json:"mostConnections"`
	// MostRunning is the peak number of requests that ran concurrently.
	MostRunning int `json:"mostRun"`
	// Total counts all requests, Ran those that were run, Refused those that
	// were refused.
	Total   int `json:"total"`
	Ran     int `json:"ran"`
	Refused int `json:"refused"`
	// Requests holds the number of runs for each request identity.
	Requests map[string]int `json:"requests"`
}

// Minion is a stand-in for a minion: it answers each request with the digest
// and the bytes of the request's body. It is safe for concurrent use.
type Minion struct {
	options options

	mu     sync.Mutex
	host   connector.Host
	faults MinionFaults
	// epoch is the highest epoch seen.
	epoch namer.Epoch
	// inFlight is the number of requests that are being handled, refused ones
	// included; running is the number of those that run.
	inFlight    int
	running     int
	connections map[net.Conn]struct{}
	// attempts holds the requests that run.
	attempts map[*attempt]struct{}
	counts   Counts
}

// NewMinion returns a minion. The host gives its name, location, address and
// service; Slots and Connections default to DefaultSlots and
// DefaultConnections.
func NewMinion(host connector.Host, opts ...Option) *Minion {
	host.Kind = connector.KindMinion
	if host.Slots == 0 {
		host.Slots = DefaultSlots
	}
	if host.Connections == 0 {
		host.Connections = DefaultConnections
	}
	return &Minion{
		options:     newOptions(opts),
		host:        host,
		connections: make(map[net.Conn]struct{}),
		attempts:    make(map[*attempt]struct{}),
		counts: Counts{
			Requests: make(map[string]int),
		},
	}
}

// Answer returns the body with which a minion answers a request: the SHA-256
// of the request's body in hexadecimal digits, a line feed, and the body.
func Answer(body []byte) []byte {
	digest := sha256.Sum256(body)
	answer := hex.AppendEncode(nil, digest[:])
	answer = append(answer, '\n')
	return append(answer, body...)
}

// SetFaults replaces the minion's faults.
func (m *Minion) SetFaults(faults MinionFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

// Host returns the minion's current entry for the host list.
func (m *Minion) Host() connector.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	host := m.host
	host.State = connector.HostLive
	if m.faults.Leaving {
		host.State = connector.HostLeaving
	}
	return host
}

// Counts returns a copy of the minion's counts.
func (m *Minion) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts
	counts.Requests = maps.Clone(m.counts.Requests)
	return counts
}

// Run sends heartbeats to the platform at the base address until ctx is done.
// Without an address it only waits for ctx.
func (m *Minion) Run(ctx context.Context, platform string) error {
	return register(ctx, m.options, platform, m.Host, m.silent)
}

func (m *Minion) silent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults.Silent || m.faults.Down
}

// Serve serves the minion on the listener until ctx is done. It counts the
// connections, and closes those above the host's limit.
func (m *Minion) Serve(ctx context.Context, listener net.Listener) error {
	return serve(ctx, listener, &http.Server{
		Handler:           m.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         m.ConnState,
	})
}

// ConnState counts connections, and closes a new one above the host's limit. It
// is meant for http.Server.ConnState.
func (m *Minion) ConnState(conn net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateNew:
		m.connections[conn] = struct{}{}
		m.counts.MostConnections = max(m.counts.MostConnections, len(m.connections))
		if len(m.connections) > m.host.Connections {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(m.connections, conn)
	default:
	}
}

// Handler returns the minion's HTTP interface.
func (m *Minion) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/faults", m.handleFaults)
	mux.HandleFunc("GET /v1/counts", m.handleCounts)
	mux.HandleFunc("GET /v1/probe", m.handleProbe)
	mux.HandleFunc("DELETE /v1/attempts/{attempt}", m.handleCancel)
	mux.HandleFunc("/", m.handleRequest)
	return mux
}

func (m *Minion) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults MinionFaults
	if readJSON(w, r, &faults) {
		m.SetFaults(faults)
	}
}

func (m *Minion) handleCounts(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, r, m.Counts())
}

func (m *Minion) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := m.countArrival()
	defer m.countDeparture()
	if faults.Down {
		dropConnection()
	}
	r, a := newAttempt(r)
	defer a.cancel()
	if !m.admit(w, r, faults, a) {
		return
	}
	defer m.endRun(a)
	m.run(w, r, body, faults, a)
}

// countArrival counts a request, and returns the faults that apply to it.
func (m *Minion) countArrival() MinionFaults {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight++
	m.counts.Total++
	m.counts.MostRequests = max(m.counts.MostRequests, m.inFlight)
	if m.faults.Every > 1 && m.counts.Total%m.faults.Every != 0 {
		return MinionFaults{
			Leaving: m.faults.Leaving,
		}
	}
	return m.faults
}

func (m *Minion) countDeparture() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
}

// admit registers the request as running and returns true, or refuses it.
func (m *Minion) admit(w http.ResponseWriter, r *http.Request, faults MinionFaults, a *attempt) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	lowerEpoch := m.fence(a.epoch)
	m.setHeaders(w, r)
	switch {
	case lowerEpoch:
		m.refuse(w, http.StatusConflict, RefusedEpoch)
	case faults.Leaving:
		m.refuse(w, http.StatusServiceUnavailable, RefusedLeaving)
	case faults.Refuse:
		m.refuse(w, http.StatusServiceUnavailable, RefusedByFault)
	case m.running >= m.host.Slots:
		m.refuse(w, http.StatusServiceUnavailable, RefusedFull)
	default:
		m.attempts[a] = struct{}{}
		m.countRun(r.Header.Get(HeaderRequest))
		return true
	}
	return false
}

// fence records the epoch if it is the highest so far, and reports whether it is
// lower than the highest and must be refused. The caller holds mu.
func (m *Minion) fence(epoch namer.Epoch) bool {
	lowerEpoch := epoch < m.epoch && !m.options.onlyEcho
	m.epoch = max(m.epoch, epoch)
	return lowerEpoch
}

// setHeaders sets the headers that every answer has. The caller holds mu.
func (m *Minion) setHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderMinion, m.host.Name)
	w.Header().Set(HeaderEpoch, fmt.Sprint(m.epoch))
	if !m.options.onlyEcho {
		w.Header().Set(HeaderOlder, strconv.Itoa(m.olderAttempts()))
	}
	for _, name := range []string{HeaderAttempt, HeaderRequest} {
		if value := r.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
}

func (m *Minion) refuse(w http.ResponseWriter, status int, reason string) {
	m.counts.Refused++
	w.Header().Set(HeaderRefused, reason)
	http.Error(w, "not run: "+reason, status)
}

func (m *Minion) countRun(identity string) {
	m.running++
	m.counts.Ran++
	m.counts.MostRunning = max(m.counts.MostRunning, m.running)
	if identity == "" {
		return
	}
	if _, ok := m.counts.Requests[identity]; ok || len(m.counts.Requests) < maxIdentities {
		m.counts.Requests[identity]++
	}
}

func (m *Minion) endRun(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.attempts, a)
	m.running--
}

// run processes the request for its service time and answers it.
func (m *Minion) run(w http.ResponseWriter, r *http.Request, body []byte, faults MinionFaults, a *attempt) {
	duration := m.options.serviceTime + faults.Slow
	if faults.Stall {
		duration = unlimited
	}
	runTime := min(duration, allowedTime(r))
	if !delay(r.Context(), m.options.clock, runTime) {
		a.answerCancelled(w)
		return
	}
	if runTime < duration {
		http.Error(w, "given up at the deadline", http.StatusGatewayTimeout)
		return
	}
	if faults.LoseAnswer {
		dropConnection()
	}
	if faults.Fail {
		http.Error(w, "the request failed", http.StatusInternalServerError)
		return
	}
	answer := Answer(body)
	w.Header().Set("Content-Type", "application/octet-stream")
	if faults.CutBody || faults.WrongLength {
		sendHalf(w, answer, faults.WrongLength)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	// An error here means that the sender has closed the connection.
	_, _ = w.Write(answer)
}

// sendHalf sends half of the answer and closes the connection. If fullLength is
// set, the Content-Length is that of the whole answer.
func sendHalf(w http.ResponseWriter, answer []byte, fullLength bool) {
	if fullLength {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	}
	_, _ = w.Write(answer[:len(answer)/2])
	// The server's ResponseWriter always supports Flush.
	_ = http.NewResponseController(w).Flush()
	dropConnection()
}
