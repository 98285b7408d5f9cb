// Package requester generates load on the callers' interface of one or more
// entries, and checks that each answer belongs to its own request.
//
// The load is open-loop: requests are sent at a steady rate whether answers
// arrive or not, and latency is measured from the time at which a request was
// due. The package connects to loopback addresses only, and it expects the
// answers that package emulator's stand-in for a minion gives.
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
	// MaxRate is the highest rate, in requests per second.
	MaxRate = 20_000
	// MaxDuration is the longest load.
	MaxDuration = 10 * time.Minute
	// MaxInFlight is the greatest number of requests in flight.
	MaxInFlight = 4096
	// MaxBody is the greatest length of a request body in bytes.
	MaxBody = 1 << 20
	// maxAnswer is the greatest length of an answer that is read, in bytes.
	maxAnswer = 2 * MaxBody
)

var (
	// ErrAddress is returned for an address that is not a loopback address.
	ErrAddress = errors.New("requester: not a loopback address")
	// ErrRange is returned for an option outside its range.
	ErrRange = errors.New("requester: out of range")
)

// Requester sends the requests of one load.
type Requester struct {
	settings settings
	// addresses has at least one element.
	addresses []string
	service   string
	client    *http.Client

	mu     sync.Mutex
	report Report
}

// New returns a requester for a service. It sends requests round-robin to the
// addresses of the entries' interfaces for callers. Each address is a loopback
// IP address with a port.
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
				MaxIdleConns:        s.maxInFlight,
				MaxIdleConnsPerHost: s.maxInFlight,
			},
		},
		report: newReport(),
	}, nil
}

// Run generates the load and returns the report once the last answer has
// arrived. If the context ends first, no more requests are sent. Run may be
// called only once.
func (r *Requester) Run(ctx context.Context) Report {
	defer r.client.CloseIdleConnections()
	var group errgroup.Group
	group.SetLimit(r.settings.maxInFlight)
	start := r.settings.clock.Now()
	for i := range r.settings.requestCount() {
		due := start.Add(r.settings.dueOffset(i))
		if r.waitUntil(ctx, due) != nil {
			break
		}
		sent := group.TryGo(func() error {
			r.send(i, due)
			return nil
		})
		if !sent {
			r.record(NotSent, "", 0)
		}
	}
	// The functions of the group return no errors.
	_ = group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.elapsed = r.settings.clock.Now().Sub(start)
	return r.report
}

func (r *Requester) waitUntil(ctx context.Context, due time.Time) error {
	wait := due.Sub(r.settings.clock.Now())
	if wait <= 0 {
		return ctx.Err()
	}
	return timekeeper.Sleep(ctx, r.settings.clock, wait)
}

// send sends request i and records its outcome. It does not use the load's
// context, since the outcomes of requests already sent count even after the
// load was cancelled.
func (r *Requester) send(i int, due time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*r.settings.deadline)
	defer cancel()
	body := r.body(i)
	outcome, reason := r.exchange(ctx, i, body)
	r.record(outcome, reason, r.settings.clock.Now().Sub(due))
}

// body returns the body of request i, which no other request has.
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
	r.setHeaders(req)
	resp, err := r.client.Do(req)
	if err != nil {
		return NoAnswer, "connection"
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return NoAnswer, "cut"
	}
	return classify(resp.StatusCode, answer, body)
}

// setHeaders sets the headers of the callers' interface.
func (r *Requester) setHeaders(req *http.Request) {
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

// classify returns the outcome of a request by the status and body of its answer,
// and the reason for the outcome.
func classify(status int, answer, requestBody []byte) (Outcome, string) {
	if status == http.StatusOK {
		if bytes.Equal(answer, emulator.Answer(requestBody)) {
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

func (r *Requester) record(outcome Outcome, reason string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.record(outcome, reason, latency)
}
