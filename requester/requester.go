// Package requester puts load on the callers' interface of one or more
// entries, and checks that each answer is the one to its own request.
//
// The load is open: requests are sent at a steady rate, whether answers come
// or not, and a latency counts from the moment at which its request was due.
// The package only talks to the host that it runs on, and it expects the
// answers that the stand-in of a minion gives.
package requester

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/router"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// MaxRate is the highest rate, in requests a second.
	MaxRate = 20_000
	// MaxDuration is the longest load.
	MaxDuration = 10 * time.Minute
	// MaxInFlight is the most requests that are on their way at once.
	MaxInFlight = 4096
	// MaxBody is the longest body in bytes.
	MaxBody = 1 << 20
	// maxAnswer is the most bytes of an answer that are read.
	maxAnswer = 2 * MaxBody
)

var (
	// ErrAddress is returned for an address that is no loopback address.
	ErrAddress = errors.New("requester: not a loopback address")
	// ErrRange is returned for an option outside its range.
	ErrRange = errors.New("requester: out of range")
)

// Requester sends the requests of one load.
type Requester struct {
	settings settings
	// addresses is not empty.
	addresses []string
	service   string
	client    *http.Client

	mu     sync.Mutex
	report Report
}

// New returns a requester for a service, at the callers' addresses of entries,
// which it asks in turn. Each is a loopback IP number with a port.
func New(addresses []string, service string, opts ...Option) (*Requester, error) {
	s := newSettings(opts)
	if err := s.check(); err != nil {
		return nil, err
	}
	if len(addresses) == 0 {
		return nil, errors.Wrap(ErrAddress, "there is none")
	}
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil || !parsed.Addr().IsLoopback() {
			return nil, errors.Wrapf(ErrAddress, "%q", address)
		}
	}
	return &Requester{
		settings:  s,
		addresses: addresses,
		service:   service,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConns:        s.inFlight,
				MaxIdleConnsPerHost: s.inFlight,
			},
		},
		report: newReport(),
	}, nil
}

// Run puts on the load, and returns what became of it when the last answer is
// there. If the context ends first, no more requests are sent. A requester runs
// once.
func (r *Requester) Run(ctx context.Context) Report {
	defer r.client.CloseIdleConnections()
	var group errgroup.Group
	group.SetLimit(r.settings.inFlight)
	start := r.settings.clock.Now()
	for i := range r.settings.total() {
		due := start.Add(r.settings.dueAfter(i))
		if r.waitUntil(ctx, due) != nil {
			break
		}
		sent := group.TryGo(func() error {
			r.request(i, due)
			return nil
		})
		if !sent {
			r.note(NotSent, "", 0)
		}
	}
	// The requests return no errors.
	_ = group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.took = r.settings.clock.Now().Sub(start)
	return r.report
}

func (r *Requester) waitUntil(ctx context.Context, due time.Time) error {
	left := due.Sub(r.settings.clock.Now())
	if left <= 0 {
		return ctx.Err()
	}
	return timekeeper.Sleep(ctx, r.settings.clock, left)
}

// request sends one request and notes what became of it. It is not bound to
// the load's context, since its outcome counts also after the last was sent.
func (r *Requester) request(i int, due time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*r.settings.deadline)
	defer cancel()
	body := r.body(i)
	outcome, reason := r.exchange(ctx, i, body)
	r.note(outcome, reason, r.settings.clock.Now().Sub(due))
}

// body returns a body that no other request has.
func (r *Requester) body(i int) []byte {
	body := fmt.Appendf(nil, "request %d of %s\n", i, r.settings.identity)
	for len(body) < r.settings.bodySize {
		body = append(body, byte('a'+(i+len(body))%26))
	}
	return body
}

func (r *Requester) exchange(ctx context.Context, i int, body []byte) (Outcome, string) {
	address := r.addresses[i%len(r.addresses)]
	url := "http://" + address + "/services/" + r.service + "/load"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return NoAnswer, err.Error()
	}
	r.label(req)
	resp, err := r.client.Do(req)
	if err != nil {
		return NoAnswer, "connection"
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return NoAnswer, "cut"
	}
	return judge(resp.StatusCode, answer, body)
}

// label sets the headers of the callers' interface.
func (r *Requester) label(req *http.Request) {
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set(router.HeaderDeadline, strconv.FormatFloat(r.settings.deadline.Seconds(), 'f', -1, 64))
	req.Header.Set(router.HeaderIdempotent, strconv.FormatBool(r.settings.idempotent))
	if r.settings.team != "" {
		req.Header.Set(router.HeaderTeam, r.settings.team)
	}
	if !r.settings.idempotent {
		req.Header.Set(router.HeaderIdempotencyKey, namer.NewIdentity())
	}
}

// judge says what an answer means to the caller.
func judge(status int, answer, body []byte) (Outcome, string) {
	if status == http.StatusOK {
		if bytes.Equal(answer, emulator.Answer(body)) {
			return Done, ""
		}
		return Wrong, "another answer"
	}
	problem, err := router.ParseProblem(answer)
	if err != nil {
		return Failed, strconv.Itoa(status)
	}
	switch problem.Ran {
	case router.RanNo:
		return Refused, string(problem.Reason)
	case router.RanYes:
		return Failed, string(problem.Reason)
	default:
		return Unknown, string(problem.Reason)
	}
}

func (r *Requester) note(outcome Outcome, reason string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.note(outcome, reason, latency)
}
