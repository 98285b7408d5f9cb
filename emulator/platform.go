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
	// maxRead limits the number of records that one read returns.
	maxRead = 10_000
	// maxWait limits how long a read waits for records.
	maxWait = time.Minute
	// unlimitedCount is the count of a fault that applies without end.
	unlimitedCount = -1
)

// Faults are the faults of a platform. The zero value has none.
type Faults struct {
	// Down makes the platform answer 503 to everything but /v1/faults.
	Down bool `json:"down,omitempty"`
	// Slow delays the handling of each request.
	Slow time.Duration `json:"slow,omitempty"`
	// LoseAnswers is the number of the next appends that take effect but whose
	// connection is closed without an answer. -1 means all.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// LoseRequests is the number of the next appends that take no effect and whose
	// connection is closed without an answer. -1 means all.
	LoseRequests int `json:"loseRequests,omitempty"`
	// FreezeHosts stops changes from showing in the host list.
	FreezeHosts bool `json:"freezeHosts,omitempty"`
	// Streams holds additional faults of single streams, by stream name.
	Streams map[string]StreamFaults `json:"streams,omitempty"`
}

// StreamFaults are the faults of one stream. They apply in addition to those of
// the platform, with the same meaning.
type StreamFaults struct {
	Down         bool          `json:"down,omitempty"`
	Slow         time.Duration `json:"slow,omitempty"`
	LoseAnswers  int           `json:"loseAnswers,omitempty"`
	LoseRequests int           `json:"loseRequests,omitempty"`
}

// Platform is a stand-in for the platform: an append-only log with several
// streams, and a host list that shows changes with a delay. It is safe for
// concurrent use.
type Platform struct {
	options options
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
	o := newOptions(opts)
	limit := rate.Limit(o.appendRate)
	if o.appendRate <= 0 {
		limit = rate.Inf
	}
	return &Platform{
		options: o,
		limiter: rate.NewLimiter(limit, max(1, int(o.appendRate/4))),
		streams: make(map[string]*stream),
		hosts:   newHostList(o.hostLag, o.hostExpiry),
	}
}

// SetFaults replaces the platform's faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.FreezeHosts != p.faults.FreezeHosts {
		p.hosts.freeze(faults.FreezeHosts, p.options.clock.Now())
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

// applyFaults applies the faults that precede the handling of a request: it
// waits for the delay Slow and drops the connection if the request's context is
// done. If the platform or the stream is down, it answers with 503 and returns
// false.
func (p *Platform) applyFaults(w http.ResponseWriter, r *http.Request, stream string) bool {
	p.mu.Lock()
	slow := p.faults.Slow + p.faults.Streams[stream].Slow
	p.mu.Unlock()
	if !delay(r.Context(), p.options.clock, slow) {
		dropConnection()
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
	if !p.applyFaults(w, r, name) || !readJSON(w, r, &payloads) {
		return
	}
	if len(payloads) == 0 {
		http.Error(w, "no records", http.StatusBadRequest)
		return
	}
	if !p.limiter.AllowN(p.options.clock.Now(), 1) {
		http.Error(w, "over the append rate", http.StatusTooManyRequests)
		return
	}
	if p.consumeFault(name, loseRequest) {
		dropConnection()
	}
	offset := p.append(name, payloads)
	if p.consumeFault(name, loseAnswer) {
		dropConnection()
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
	return p.stream(name).append(p.options.clock.Now(), payloads)
}

type lossFault int

const (
	loseRequest lossFault = iota
	loseAnswer
)

// consumeFault reports whether the fault applies to this append to the stream,
// and counts it down if so.
func (p *Platform) consumeFault(name string, fault lossFault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	streamFaults := p.faults.Streams[name]
	counts := []*int{&p.faults.LoseRequests, &streamFaults.LoseRequests}
	if fault == loseAnswer {
		counts = []*int{&p.faults.LoseAnswers, &streamFaults.LoseAnswers}
	}
	for _, count := range counts {
		if countDown(count) {
			p.updateStreamFaults(name, streamFaults)
			return true
		}
	}
	return false
}

func (p *Platform) updateStreamFaults(name string, faults StreamFaults) {
	if _, ok := p.faults.Streams[name]; ok {
		p.faults.Streams[name] = faults
	}
}

// countDown reports whether the count is positive or unlimited, and decrements a
// positive one.
func countDown(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count == unlimitedCount
}

// stream returns the stream of that name, created if it does not exist. The
// caller holds mu.
func (p *Platform) stream(name string) *stream {
	s, ok := p.streams[name]
	if !ok {
		s = newStream(p.options.maxRecords, p.options.maxAge)
		p.streams[name] = s
	}
	return s
}

// query holds the parameters of a read.
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
	if !p.applyFaults(w, r, name) {
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
	// Faults that were set while the read waited apply too.
	if !p.applyFaults(w, r, name) {
		return
	}
	writeJSON(w, r, batch)
}

// read returns the records for the query. If there are none, it waits up to
// q.wait for an append.
func (p *Platform) read(ctx context.Context, name string, q query) (connector.Batch, error) {
	timer := p.options.clock.NewTimer(q.wait)
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
	batch, err := s.read(p.options.clock.Now(), q.from, q.limit)
	return batch, s.changed, err
}

func (p *Platform) handleHosts(w http.ResponseWriter, r *http.Request) {
	if !p.applyFaults(w, r, "") {
		return
	}
	p.mu.Lock()
	hosts := p.hosts.list(p.options.clock.Now())
	p.mu.Unlock()
	writeJSON(w, r, hosts)
}

func (p *Platform) handleRegister(w http.ResponseWriter, r *http.Request) {
	var host connector.Host
	if !p.applyFaults(w, r, "") || !readJSON(w, r, &host) {
		return
	}
	if host.Name != r.PathValue("name") {
		http.Error(w, "the name differs from the path's", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.put(p.options.clock.Now(), host)
}

func (p *Platform) handleDeregister(w http.ResponseWriter, r *http.Request) {
	if !p.applyFaults(w, r, "") {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.remove(p.options.clock.Now(), r.PathValue("name"))
}
