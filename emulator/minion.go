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

// The headers of the minions' interface.
const (
	// HeaderEpoch carries the sender's epoch, and the minion's highest back.
	HeaderEpoch = "Galenacove-Epoch"
	// HeaderAttempt names the attempt, and comes back as it was.
	HeaderAttempt = "Galenacove-Attempt"
	// HeaderRequest names the request, and comes back as it was.
	HeaderRequest = "Galenacove-Request"
	// HeaderRefused says why a request was not run.
	HeaderRefused = "Galenacove-Refused"
	// HeaderMinion names the minion that answers.
	HeaderMinion = "Galenacove-Minion"
)

// The reasons of a refusal.
const (
	RefusedFull    = "full"
	RefusedLeaving = "leaving"
	RefusedEpoch   = "epoch"
	RefusedAsked   = "refused"
)

// maxIdentities is the number of request identities that a minion counts.
const maxIdentities = 1_000_000

// MinionFaults are the faults of a minion. The zero value has none.
type MinionFaults struct {
	// Every makes the faults strike only every n-th request; 0 and 1 are
	// each of them.
	Every int `json:"every,omitempty"`
	// Down closes the connection before the request runs.
	Down bool `json:"down,omitempty"`
	// Refuse answers 503 without running the request.
	Refuse bool `json:"refuse,omitempty"`
	// Leaving answers 503 without running the request, and tells the platform.
	Leaving bool `json:"leaving,omitempty"`
	// Slow is added to the service time.
	Slow time.Duration `json:"slow,omitempty"`
	// Fail answers 500 after the request ran.
	Fail bool `json:"fail,omitempty"`
	// Stall runs the request and holds it until the sender gives up.
	Stall bool `json:"stall,omitempty"`
	// LoseAnswer closes the connection after the request ran.
	LoseAnswer bool `json:"loseAnswer,omitempty"`
	// CutBody closes the connection after half of a chunked body.
	CutBody bool `json:"cutBody,omitempty"`
	// WrongLength announces more bytes than are sent.
	WrongLength bool `json:"wrongLength,omitempty"`
	// Silent stops the heartbeats to the platform.
	Silent bool `json:"silent,omitempty"`
}

// Counts is what a minion was given since it was made.
type Counts struct {
	// MostRequests and MostConnections are the most that were there at once,
	// with those that were refused.
	MostRequests    int `json:"mostRequests"`
	MostConnections int `json:"mostConnections"`
	// MostRun is the most requests that ran at once.
	MostRun int `json:"mostRun"`
	// Total counts all requests, Ran those that ran, Refused those that did
	// not.
	Total   int `json:"total"`
	Ran     int `json:"ran"`
	Refused int `json:"refused"`
	// Requests counts how often each identity ran.
	Requests map[string]int `json:"requests"`
}

// Minion is a stand-in for a minion: it answers each request with the digest
// and the bytes of its body. It is safe for use by several goroutines.
type Minion struct {
	terms terms

	mu     sync.Mutex
	host   connector.Host
	faults MinionFaults
	// epoch is the highest that was seen.
	epoch namer.Epoch
	// present, running and connections count what is there now.
	present     int
	running     int
	connections map[net.Conn]struct{}
	// attempts are the requests that run.
	attempts map[*attempt]struct{}
	counts   Counts
}

// NewMinion returns a minion. The host says its name, place, address and
// service; without slots or connections it has the defaults.
func NewMinion(host connector.Host, opts ...Option) *Minion {
	host.Kind = connector.KindMinion
	if host.Slots == 0 {
		host.Slots = DefaultSlots
	}
	if host.Connections == 0 {
		host.Connections = DefaultConnections
	}
	return &Minion{
		terms:       newTerms(opts),
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

// SetFaults replaces the faults.
func (m *Minion) SetFaults(faults MinionFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

// Host returns the minion's line for the host list.
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

// Counts returns what the minion was given so far.
func (m *Minion) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts
	counts.Requests = maps.Clone(m.counts.Requests)
	return counts
}

// Run registers the minion with the platform at the base address until the
// context has ended. Without an address it only waits.
func (m *Minion) Run(ctx context.Context, platform string) error {
	return register(ctx, m.terms, platform, m.Host, m.silent)
}

func (m *Minion) silent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults.Silent || m.faults.Down
}

// Serve serves the minion on the listener until the context has ended. It
// counts the connections, and closes those over the minion's number.
func (m *Minion) Serve(ctx context.Context, listener net.Listener) error {
	return serve(ctx, listener, &http.Server{
		Handler:           m.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         m.ConnState,
	})
}

// ConnState counts connections, for use by an http.Server.
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
	faults := m.arrive()
	defer m.depart()
	if faults.Down {
		drop()
	}
	r, a := newAttempt(r)
	defer a.cancel()
	if !m.admit(w, r, faults, a) {
		return
	}
	defer m.finish(a)
	m.run(w, r, body, faults, a)
}

// arrive counts a request, and returns the faults that strike it.
func (m *Minion) arrive() MinionFaults {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.present++
	m.counts.Total++
	m.counts.MostRequests = max(m.counts.MostRequests, m.present)
	if m.faults.Every > 1 && m.counts.Total%m.faults.Every != 0 {
		return MinionFaults{
			Leaving: m.faults.Leaving,
		}
	}
	return m.faults
}

func (m *Minion) depart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.present--
}

// admit lets a request run, or answers it.
func (m *Minion) admit(w http.ResponseWriter, r *http.Request, faults MinionFaults, a *attempt) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	lower := m.fence(a.epoch)
	m.label(w, r)
	switch {
	case lower:
		m.refuse(w, http.StatusConflict, RefusedEpoch)
	case faults.Leaving:
		m.refuse(w, http.StatusServiceUnavailable, RefusedLeaving)
	case faults.Refuse:
		m.refuse(w, http.StatusServiceUnavailable, RefusedAsked)
	case m.running >= m.host.Slots:
		m.refuse(w, http.StatusServiceUnavailable, RefusedFull)
	default:
		m.attempts[a] = struct{}{}
		m.begin(r.Header.Get(HeaderRequest))
		return true
	}
	return false
}

// fence remembers the highest epoch, and reports whether a lower one is to be
// refused. The caller holds mu.
func (m *Minion) fence(epoch namer.Epoch) bool {
	lower := epoch < m.epoch && !m.terms.onlyEcho
	m.epoch = max(m.epoch, epoch)
	return lower
}

// label sets the headers of every answer.
func (m *Minion) label(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderMinion, m.host.Name)
	w.Header().Set(HeaderEpoch, fmt.Sprint(m.epoch))
	if !m.terms.onlyEcho {
		w.Header().Set(HeaderOlder, strconv.Itoa(m.older()))
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

func (m *Minion) begin(identity string) {
	m.running++
	m.counts.Ran++
	m.counts.MostRun = max(m.counts.MostRun, m.running)
	if identity == "" {
		return
	}
	if _, ok := m.counts.Requests[identity]; ok || len(m.counts.Requests) < maxIdentities {
		m.counts.Requests[identity]++
	}
}

func (m *Minion) finish(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.attempts, a)
	m.running--
}

// run works on the request and answers it.
func (m *Minion) run(w http.ResponseWriter, r *http.Request, body []byte, faults MinionFaults, a *attempt) {
	takes := m.terms.serviceTime + faults.Slow
	if faults.Stall {
		takes = forever
	}
	left := min(takes, allowed(r))
	if !delay(r.Context(), m.terms.clock, left) {
		a.giveUp(w)
		return
	}
	if left < takes {
		http.Error(w, "given up at the deadline", http.StatusGatewayTimeout)
		return
	}
	if faults.LoseAnswer {
		drop()
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
	// An error here is a sender that has gone.
	_, _ = w.Write(answer)
}

// sendHalf sends half of the answer and closes the connection.
func sendHalf(w http.ResponseWriter, answer []byte, announce bool) {
	if announce {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	}
	_, _ = w.Write(answer[:len(answer)/2])
	// The stand-in's server can always flush.
	_ = http.NewResponseController(w).Flush()
	drop()
}
