package emulator

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
)

const (
	// maxRead is the most records that one read returns.
	maxRead = 10_000
	// maxWait is the longest that a read waits for records.
	maxWait = time.Minute
	// always stands for a count of faults without an end.
	always = -1
)

// Faults are the faults of a platform. The zero value has none.
type Faults struct {
	// Down makes the platform answer 503 to everything but /v1/faults.
	Down bool `json:"down,omitempty"`
	// Slow is how long each request waits before it is looked at.
	Slow time.Duration `json:"slow,omitempty"`
	// LoseAnswers is the number of appends to come that take effect, and
	// whose connection is closed without an answer. -1 is all of them.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// LoseRequests is the number of appends to come that take no effect, and
	// whose connection is closed without an answer. -1 is all of them.
	LoseRequests int `json:"loseRequests,omitempty"`
	// FreezeHosts keeps the host list as it is.
	FreezeHosts bool `json:"freezeHosts,omitempty"`
	// Streams has further faults of single streams, by name.
	Streams map[string]StreamFaults `json:"streams,omitempty"`
}

// StreamFaults are the faults of one stream. They come on top of those of the
// platform, with the same meaning.
type StreamFaults struct {
	Down         bool          `json:"down,omitempty"`
	Slow         time.Duration `json:"slow,omitempty"`
	LoseAnswers  int           `json:"loseAnswers,omitempty"`
	LoseRequests int           `json:"loseRequests,omitempty"`
}

// Platform is a stand-in for the platform: an append-only log with several
// streams, and a host list that lags. It is safe for use by several
// goroutines.
type Platform struct {
	terms   terms
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	hosts   hostList
	faults  Faults
	// appends counts the appends that took effect.
	appends int
}

// NewPlatform returns a platform without records or hosts.
func NewPlatform(opts ...Option) *Platform {
	t := newTerms(opts)
	limit := rate.Limit(t.appendRate)
	if t.appendRate <= 0 {
		limit = rate.Inf
	}
	return &Platform{
		terms:   t,
		limiter: rate.NewLimiter(limit, max(1, int(t.appendRate/4))),
		streams: make(map[string]*stream),
		hosts:   newHostList(t.hostLag, t.hostExpiry),
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.FreezeHosts != p.faults.FreezeHosts {
		p.hosts.freeze(faults.FreezeHosts, p.terms.clock.Now())
	}
	p.faults = faults
}

// Appends returns the number of appends that took effect.
func (p *Platform) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", p.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", p.handleRead)
	mux.HandleFunc("GET /v1/hosts", p.handleHosts)
	mux.HandleFunc("PUT /v1/hosts/{name}", p.handleRegister)
	mux.HandleFunc("DELETE /v1/hosts/{name}", p.handleDeregister)
	mux.HandleFunc("PUT /v1/faults", p.handleFaults)
	return mux
}

func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		p.SetFaults(faults)
	}
}

// enter applies the faults that come before a request is looked at. It
// answers the request and returns false if it goes no further.
func (p *Platform) enter(w http.ResponseWriter, r *http.Request, stream string) bool {
	p.mu.Lock()
	slow := p.faults.Slow + p.faults.Streams[stream].Slow
	p.mu.Unlock()
	if !delay(r.Context(), p.terms.clock, slow) {
		drop()
	}
	p.mu.Lock()
	down := p.faults.Down || p.faults.Streams[stream].Down
	p.mu.Unlock()
	if down {
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("stream")
	var payloads [][]byte
	if !p.enter(w, r, name) || !readJSON(w, r, &payloads) {
		return
	}
	if len(payloads) == 0 {
		http.Error(w, "no records", http.StatusBadRequest)
		return
	}
	if !p.limiter.AllowN(p.terms.clock.Now(), 1) {
		http.Error(w, "over the append rate", http.StatusTooManyRequests)
		return
	}
	if p.takeFault(name, loseRequest) {
		drop()
	}
	offset := p.append(name, payloads)
	if p.takeFault(name, loseAnswer) {
		drop()
	}
	writeJSON(w, r, struct {
		Offset namer.Offset `json:"offset"`
	}{
		Offset: offset,
	})
}

func (p *Platform) append(name string, payloads [][]byte) namer.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appends++
	return p.stream(name).append(p.terms.clock.Now(), payloads)
}

type lossFault int

const (
	loseRequest lossFault = iota
	loseAnswer
)

// takeFault reports whether the fault strikes this append of the stream, and
// counts it down.
func (p *Platform) takeFault(name string, fault lossFault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.faults.Streams[name]
	counts := []*int{&p.faults.LoseRequests, &own.LoseRequests}
	if fault == loseAnswer {
		counts = []*int{&p.faults.LoseAnswers, &own.LoseAnswers}
	}
	for _, count := range counts {
		if takeOne(count) {
			p.keepStreamFaults(name, own)
			return true
		}
	}
	return false
}

func (p *Platform) keepStreamFaults(name string, faults StreamFaults) {
	if _, ok := p.faults.Streams[name]; ok {
		p.faults.Streams[name] = faults
	}
}

// takeOne reports whether the count is not used up, and counts it down.
func takeOne(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count == always
}

// stream returns the stream of that name and makes it if need be. The caller
// holds the lock.
func (p *Platform) stream(name string) *stream {
	s, ok := p.streams[name]
	if !ok {
		s = newStream(p.terms.kept, p.terms.keptFor)
		p.streams[name] = s
	}
	return s
}

// query is what a read asks for.
type query struct {
	from  namer.Offset
	limit int
	wait  time.Duration
}

func parseQuery(r *http.Request) (query, error) {
	values := r.URL.Query()
	from, err := strconv.ParseUint(values.Get("from"), 10, 64)
	if err != nil {
		return query{}, errors.Wrap(err, "from")
	}
	limit, err := strconv.Atoi(values.Get("limit"))
	if err != nil || limit < 0 {
		return query{}, errors.Newf("limit: %q is no count", values.Get("limit"))
	}
	q := query{
		from:  namer.Offset(from),
		limit: min(limit, maxRead),
	}
	if text := values.Get("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil {
			return query{}, errors.Wrap(err, "wait")
		}
		q.wait = min(wait, maxWait)
	}
	return q, nil
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("stream")
	if !p.enter(w, r, name) {
		return
	}
	q, err := parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	batch, err := p.read(r.Context(), name, q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	if !p.enter(w, r, name) {
		return
	}
	writeJSON(w, r, batch)
}

// read returns the records that the query asks for, and waits for them if
// there are none.
func (p *Platform) read(ctx context.Context, name string, q query) (connector.Batch, error) {
	timer := p.terms.clock.NewTimer(q.wait)
	defer timer.Stop()
	for {
		batch, changed, err := p.readNow(name, q)
		if err != nil || len(batch.Entries) > 0 || q.limit == 0 || q.wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C():
			return batch, nil
		case <-ctx.Done():
			return batch, nil
		}
	}
}

func (p *Platform) readNow(name string, q query) (connector.Batch, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	batch, err := s.read(p.terms.clock.Now(), q.from, q.limit)
	return batch, s.changed, err
}

func (p *Platform) handleHosts(w http.ResponseWriter, r *http.Request) {
	if !p.enter(w, r, "") {
		return
	}
	p.mu.Lock()
	hosts := p.hosts.list(p.terms.clock.Now())
	p.mu.Unlock()
	writeJSON(w, r, hosts)
}

func (p *Platform) handleRegister(w http.ResponseWriter, r *http.Request) {
	var host connector.Host
	if !p.enter(w, r, "") || !readJSON(w, r, &host) {
		return
	}
	if host.Name != r.PathValue("name") {
		http.Error(w, "the name differs from the path's", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.put(p.terms.clock.Now(), host)
}

func (p *Platform) handleDeregister(w http.ResponseWriter, r *http.Request) {
	if !p.enter(w, r, "") {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.remove(p.terms.clock.Now(), r.PathValue("name"))
}
