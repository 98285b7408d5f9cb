package router

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/namer"
)

// The headers between owner and minion.
const (
	// HeaderEpoch carries the owner's epoch, and the highest that the minion
	// was told on the way back.
	HeaderEpoch = "Galenacove-Epoch"
	// HeaderAttempt carries the identity of the attempt, and is echoed.
	HeaderAttempt = "Galenacove-Attempt"
	// HeaderRequest carries the caller's identity of the request.
	HeaderRequest = "Galenacove-Request"
	// HeaderRefused says on a 503 why the minion did not run the request.
	HeaderRefused = "Galenacove-Refused"
	// HeaderOlder counts the requests of lower epochs that still run.
	HeaderOlder = "Galenacove-Older"
	// HeaderDeadline carries how long the request may still take, in seconds.
	HeaderDeadline = "Galenacove-Deadline"
	// HeaderIdempotent is "true" or "false", by the caller.
	HeaderIdempotent = "Galenacove-Idempotent"
	// HeaderTeam names the caller's team.
	HeaderTeam = "Galenacove-Team"
	// HeaderIdempotencyKey carries the caller's identity of the request.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// probePath is where a minion is told an epoch without a request.
	probePath = "/v1/probe"
	// attemptsPath is where a minion is told that an attempt is given up.
	attemptsPath = "/v1/attempts/"
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// idleTimeout is how long a connection is kept without use.
	idleTimeout = 30 * time.Second
	// maxAnswerHeader is in bytes.
	maxAnswerHeader = 64 << 10
	// maxProbeAnswer is in bytes.
	maxProbeAnswer = 4 << 10
)

// The causes of a lost answer.
var (
	errMismatch = errors.New("router: answer to another attempt")
	errUnframed = errors.New("router: answer without a length")
	errTooLarge = errors.New("router: answer too large")
	errStalled  = errors.New("router: no answer in time")
	errLapsed   = errors.New("router: right to send has lapsed")
)

// httpCarrier sends attempts over HTTP, with a transport for each minion.
type httpCarrier struct {
	settings *settings

	mu sync.Mutex
	// transports are by address.
	transports map[string]*http.Transport
}

func newHTTPCarrier(s *settings) *httpCarrier {
	return &httpCarrier{
		settings:   s,
		transports: make(map[string]*http.Transport),
	}
}

func (c *httpCarrier) transport(address string, connections int) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.transports[address]; t != nil {
		return t
	}
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{
				Conn: conn,
			}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
	c.transports[address] = t
	return t
}

func (c *httpCarrier) forget(address string) {
	c.mu.Lock()
	t := c.transports[address]
	delete(c.transports, address)
	c.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

func (c *httpCarrier) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, t := range c.transports {
		t.CloseIdleConnections()
		delete(c.transports, address)
	}
}

func (c *httpCarrier) exchange(ctx context.Context, a attempt) ending {
	req, err := newMinionRequest(ctx, a)
	if err != nil {
		return unsent{
			err: errors.Wrap(err, "router: make the request"),
		}
	}
	return c.send(req, a)
}

func (c *httpCarrier) probe(ctx context.Context, a attempt) ending {
	a.method = http.MethodGet
	a.path = probePath
	a.maxAnswer = maxProbeAnswer
	return c.exchange(ctx, a)
}

func (c *httpCarrier) cancel(ctx context.Context, a attempt) {
	a.method = http.MethodDelete
	a.path = attemptsPath + a.id
	a.body = nil
	a.maxAnswer = maxProbeAnswer
	// Whatever the minion answers, the attempt's own exchange tells its end.
	_ = c.exchange(ctx, a)
}

// send sends the request, which the guard allows to write once at most.
func (c *httpCarrier) send(req *http.Request, a attempt) ending {
	g := &guard{
		settings: c.settings,
		lease:    a.lease,
		writeBy:  a.writeBy,
	}
	trace := &httptrace.ClientTrace{
		GotConn: g.gotConn,
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	sent := c.settings.since(c.settings.clock.Now())
	resp, err := c.transport(a.address, a.connections).RoundTrip(req)
	if err != nil {
		return g.ending(err)
	}
	defer resp.Body.Close()
	return c.readAnswer(resp, a, sent)
}

// newMinionRequest makes a request whose body cannot be read twice, so that
// the transport cannot send it again by itself.
func newMinionRequest(ctx context.Context, a attempt) (*http.Request, error) {
	var body io.Reader = onceReader{
		Reader: bytes.NewReader(a.body),
	}
	if len(a.body) == 0 && !safeMethod(a.method) {
		// An empty reader would be sent as chunks.
		body = http.NoBody
	}
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+a.address+a.path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(a.body))
	for key, values := range a.header {
		req.Header[key] = values
	}
	removeHopByHop(req.Header)
	// The transport takes these for a leave to send the request again.
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
	req.Header.Set(HeaderAttempt, a.id)
	req.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(a.epoch), 10))
	req.Header.Set(HeaderDeadline, formatSeconds(a.left))
	if a.identity != "" {
		req.Header.Set(HeaderRequest, a.identity)
	}
	return req, nil
}

// onceReader hides that its reader could be rewound.
type onceReader struct {
	io.Reader
}

// readAnswer reads the whole answer and checks that it is this attempt's own.
func (c *httpCarrier) readAnswer(resp *http.Response, a attempt, sent int64) ending {
	epoch := parseEpoch(resp.Header.Get(HeaderEpoch))
	switch why := declineReason(resp.Header.Get(HeaderRefused)); {
	case resp.StatusCode == http.StatusConflict && why == declinedFenced && epoch > a.epoch,
		resp.StatusCode == http.StatusServiceUnavailable && why != "":
		return declined{
			why: why,
		}
	}
	if resp.Header.Get(HeaderAttempt) != a.id && !c.settings.faults.ignoreAttempt {
		return lost{
			err: errMismatch,
		}
	}
	body, err := readBody(resp, a)
	if err != nil {
		return lost{
			err: err,
		}
	}
	header := resp.Header.Clone()
	removeHopByHop(header)
	return answered{
		answer: NewAnswer(resp.StatusCode, header, body),
		epoch:  epoch,
		sent:   sent,
		older:  parseOlder(header.Get(HeaderOlder)),
	}
}

// readBody reads a body whose end is told by its length or its chunks.
func readBody(resp *http.Response, a attempt) ([]byte, error) {
	if resp.ContentLength > a.maxAnswer {
		return nil, errTooLarge
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !framed && resp.Body != http.NoBody {
		return nil, errUnframed
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, a.maxAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "router: read the answer")
	}
	if int64(len(body)) > a.maxAnswer {
		return nil, errTooLarge
	}
	if a.method != http.MethodHead && resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "router: read the answer")
	}
	return body, nil
}

func parseEpoch(s string) namer.Epoch {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0
	}
	return namer.Epoch(n)
}

// parseOlder returns -1 for what is no count.
func parseOlder(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// guard lets the first byte of one attempt be written only while the right to
// send lasts, and only on one connection.
type guard struct {
	settings *settings
	lease    *atomic.Int64
	writeBy  int64

	mu sync.Mutex
	// conn is the connection that the attempt may have been written to, or nil.
	conn *guardedConn
	// written counts the bytes that the connection took.
	written int
	// closed is set once the attempt has ended; nothing is written after.
	closed bool
}

func (g *guard) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*guardedConn); ok {
		conn.guard.Store(g)
	}
}

// allow reports whether the connection may write a byte of the attempt now.
func (g *guard) allow(conn *guardedConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil || g.closed {
		return g.conn == conn && !g.closed
	}
	now := g.settings.since(g.settings.clock.Now())
	lapsed := now >= g.writeBy || (g.lease != nil && now >= g.lease.Load())
	if lapsed && !g.settings.faults.ignoreLease {
		return false
	}
	g.conn = conn
	return true
}

// wrote notes what became of a write. If the first one took no byte, nothing
// was sent.
func (g *guard) wrote(n int, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.written += n
	if g.written == 0 && err != nil {
		g.conn = nil
		g.closed = true
	}
}

// ending tells a failure before the first byte from one after it.
func (g *guard) ending(err error) ending {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.conn != nil && !g.settings.faults.denySent {
		return lost{
			err: errors.Wrap(err, "router: exchange with the minion"),
		}
	}
	var op *net.OpError
	return unsent{
		err:         errors.Wrap(err, "router: reach the minion"),
		unreachable: errors.As(err, &op) && op.Op == "dial",
	}
}

// guardedConn asks the guard of the attempt before it writes.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[guard]
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	g := c.guard.Load()
	if g == nil || !g.allow(c) {
		return 0, errLapsed
	}
	n, err := c.Conn.Write(b)
	g.wrote(n, err)
	return n, err
}
