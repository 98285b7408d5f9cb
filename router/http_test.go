package router

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/recorder"
)

// reply is an entry's answer.
type reply struct {
	status int
	header http.Header
	body   string
	// problem is the parsed body, if it is a problem document.
	problem Problem
}

// post sends a request to an entry.
func (l *testCluster) post(entry int, body string, headers ...string) (reply, error) {
	req, err := http.NewRequest(http.MethodPost, l.urls[entry]+"/services/"+testService+"/readings?tap=1", strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	out := reply{
		status: resp.StatusCode,
		header: resp.Header,
		body:   string(answer),
	}
	if resp.Header.Get("Content-Type") == problemType {
		out.problem, err = ParseProblem(answer)
	}
	return out, err
}

func TestAnswersAreComplete(t *testing.T) {
	c := qt.New(t)
	registry := prometheus.NewRegistry()
	registered := false
	l := newTestCluster(t, 2, 4, time.Millisecond, func(s *settings) {
		if !registered {
			s.registry = registry
		}
		registered = true
	})
	for i := range 40 {
		body := strings.Repeat("reading ", i)
		got, err := l.post(i%2, body)
		c.Assert(err, qt.IsNil)
		c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
		c.Assert(got.body, qt.Equals, string(emulator.Answer([]byte(body))))
	}
	c.Check(registryNames(c, registry), qt.DeepEquals, []string{
		"galenacove_router_attempts_total",
		"galenacove_router_minions",
		"galenacove_router_queued",
		"galenacove_router_requests_total",
		"galenacove_router_reserved",
		"galenacove_router_wait_seconds",
	})
}

// registryNames returns the names of the metrics that have values.
func registryNames(c *qt.C, registry *prometheus.Registry) []string {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	var names []string
	for _, f := range families {
		names = append(names, f.GetName())
	}
	return names
}

// setFaults sets the faults at all minions except the first ones; healthy is the
// number of those.
func (l *testCluster) setFaults(faults emulator.MinionFaults, healthy int) {
	for _, m := range l.minions[healthy:] {
		m.SetFaults(faults)
	}
}

// totalRuns counts the runs at all minions.
func (l *testCluster) totalRuns() int {
	n := 0
	for _, m := range l.minions {
		n += m.Counts().Ran
	}
	return n
}

func TestFaultsOfMinions(t *testing.T) {
	idempotent := []string{HeaderIdempotent, "true", HeaderDeadline, "0.4"}
	once := []string{HeaderDeadline, "0.4"}
	tests := []struct {
		name    string
		faults  emulator.MinionFaults
		healthy int
		headers []string
		status  int
		ran     Ran
		// otherStatus is another status that is allowed.
		otherStatus int
		// maxRuns is the maximum number of times that the request may run.
		maxRuns int
	}{
		{
			name: "fails, tried elsewhere",
			faults: emulator.MinionFaults{
				Fail: true,
			},
			healthy: 2,
			headers: idempotent,
			status:  200,
			maxRuns: maxAttempts,
		},
		{
			name: "loses the answer, tried elsewhere",
			faults: emulator.MinionFaults{
				LoseAnswer: true,
			},
			healthy: 2,
			headers: idempotent,
			status:  200,
			maxRuns: maxAttempts,
		},
		{
			name: "cuts the body, tried elsewhere",
			faults: emulator.MinionFaults{
				CutBody: true,
			},
			healthy: 2,
			headers: idempotent,
			status:  200,
			maxRuns: maxAttempts,
		},
		{
			name: "wrong length, tried elsewhere",
			faults: emulator.MinionFaults{
				WrongLength: true,
			},
			healthy: 2,
			headers: idempotent,
			status:  200,
			maxRuns: maxAttempts,
		},
		{
			name: "refuses, tried elsewhere though not idempotent",
			faults: emulator.MinionFaults{
				Refuse: true,
			},
			healthy: 2,
			headers: once,
			status:  200,
			maxRuns: 1,
		},
		{
			name: "fails",
			faults: emulator.MinionFaults{
				Fail: true,
			},
			headers: once,
			status:  502,
			ran:     RanYes,
			maxRuns: 1,
		},
		{
			name: "loses the answer",
			faults: emulator.MinionFaults{
				LoseAnswer: true,
			},
			headers: once,
			status:  504,
			ran:     RanUnknown,
			maxRuns: 1,
		},
		{
			name: "cuts the body",
			faults: emulator.MinionFaults{
				CutBody: true,
			},
			headers: once,
			status:  504,
			ran:     RanUnknown,
			maxRuns: 1,
		},
		{
			name: "wrong length",
			faults: emulator.MinionFaults{
				WrongLength: true,
			},
			headers: once,
			status:  504,
			ran:     RanUnknown,
			maxRuns: 1,
		},
		{
			name: "stalls",
			faults: emulator.MinionFaults{
				Stall: true,
			},
			headers:     once,
			status:      504,
			otherStatus: 502,
			ran:         RanUnknown,
			maxRuns:     1,
		},
		{
			name: "closes the connection",
			faults: emulator.MinionFaults{
				Down: true,
			},
			headers: once,
			status:  504,
			ran:     RanUnknown,
		},
		{
			name: "refuses",
			faults: emulator.MinionFaults{
				Refuse: true,
			},
			headers: once,
			status:  503,
			ran:     RanNo,
		},
		{
			name: "leaves",
			faults: emulator.MinionFaults{
				Leaving: true,
			},
			headers: idempotent,
			status:  503,
			ran:     RanNo,
		},
		{
			name: "cuts every body",
			faults: emulator.MinionFaults{
				CutBody: true,
			},
			headers: idempotent,
			status:  504,
			ran:     RanUnknown,
			maxRuns: maxAttempts,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := newTestCluster(t, 2, 4, 0)
			for _, r := range l.routers {
				r.SetService(testService, NewServiceConfig(AttemptTimeout(100*time.Millisecond)))
			}
			l.setFaults(test.faults, test.healthy)
			for i := range 4 {
				before := l.totalRuns()
				got, err := l.post(i%2, "meter 4711", test.headers...)
				c.Assert(err, qt.IsNil)
				if got.status != test.otherStatus {
					c.Check(got.status, qt.Equals, test.status, qt.Commentf("%s", got.body))
					c.Check(got.problem.Ran, qt.Equals, test.ran)
				}
				c.Check(l.totalRuns()-before <= test.maxRuns, qt.IsTrue, qt.Commentf("ran %d times", l.totalRuns()-before))
				if got.status == http.StatusOK {
					c.Check(got.body, qt.Equals, string(emulator.Answer([]byte("meter 4711"))))
				}
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	c := qt.New(t)
	l := newTestCluster(t, 1, 1, 0)
	l.routers[0].SetService(testService, NewServiceConfig(MaxBody(100)))
	tests := []struct {
		name    string
		body    string
		headers []string
		status  int
		reason  Reason
	}{
		{
			name:   "body too large",
			body:   strings.Repeat("x", 101),
			status: 413,
			reason: ReasonTooLarge,
		},
		{
			name:    "deadline is a word",
			headers: []string{HeaderDeadline, "soon"},
			status:  400,
			reason:  ReasonBadRequest,
		},
		{
			name:    "deadline is NaN",
			headers: []string{HeaderDeadline, "NaN"},
			status:  400,
			reason:  ReasonBadRequest,
		},
		{
			name:    "neither true nor false",
			headers: []string{HeaderIdempotent, "maybe"},
			status:  400,
			reason:  ReasonBadRequest,
		},
		{
			name:    "no Claimer",
			headers: []string{HeaderIdempotencyKey, "key"},
			status:  503,
			reason:  ReasonNoClaims,
		},
	}
	for _, test := range tests {
		got, err := l.post(0, test.body, test.headers...)
		c.Assert(err, qt.IsNil)
		c.Check(got.status, qt.Equals, test.status, qt.Commentf(test.name))
		c.Check(got.problem.Reason, qt.Equals, test.reason, qt.Commentf(test.name))
		c.Check(got.problem.Ran, qt.Equals, RanNo)
	}
	c.Check(l.totalRuns(), qt.Equals, 0)
}

// fixedClaimer is a Claimer that returns a fixed verdict and error.
type fixedClaimer struct {
	verdict Verdict
	err     error
	ends    chan recorder.Outcome
}

func (v *fixedClaimer) Claim(context.Context, string) (Verdict, error) { return v.verdict, v.err }

func (v *fixedClaimer) End(_ string, outcome recorder.Outcome) { v.ends <- outcome }

func TestClaimsDecideWhoRuns(t *testing.T) {
	tests := []struct {
		name    string
		verdict Verdict
		err     error
		faults  emulator.MinionFaults
		status  int
		reason  Reason
		ran     Ran
		end     recorder.Outcome
	}{
		{
			name: "won",
			verdict: Verdict{
				Won: true,
			},
			status: 200,
			end:    recorder.Done,
		},
		{
			name: "won, fails",
			verdict: Verdict{
				Won: true,
			},
			faults: emulator.MinionFaults{
				Fail: true,
			},
			status: 502,
			reason: ReasonFailed,
			ran:    RanYes,
			end:    recorder.Failed,
		},
		{
			name: "won, refused",
			verdict: Verdict{
				Won: true,
			},
			faults: emulator.MinionFaults{
				Refuse: true,
			},
			status: 503,
			reason: ReasonMinion,
			ran:    RanNo,
			end:    recorder.NotRun,
		},
		{
			name: "won, lost",
			verdict: Verdict{
				Won: true,
			},
			faults: emulator.MinionFaults{
				LoseAnswer: true,
			},
			status: 504,
			reason: ReasonLost,
			ran:    RanUnknown,
		},
		{
			name: "done before",
			verdict: Verdict{
				Outcome: recorder.Done,
			},
			status: 409,
			reason: ReasonClaimed,
			ran:    RanYes,
		},
		{
			name:   "claimed before, outcome unknown",
			status: 409,
			reason: ReasonClaimed,
			ran:    RanUnknown,
		},
		{
			name:   "expired",
			err:    ErrExpired,
			status: 400,
			reason: ReasonExpired,
			ran:    RanNo,
		},
		{
			name:   "malformed",
			err:    ErrIdentity,
			status: 400,
			reason: ReasonBadRequest,
			ran:    RanNo,
		},
		{
			name:   "log unreachable",
			err:    ErrNotClaimed,
			status: 503,
			reason: ReasonNoClaims,
			ran:    RanNo,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			v := &fixedClaimer{
				verdict: test.verdict,
				err:     test.err,
				ends:    make(chan recorder.Outcome, 1),
			}
			l := newTestCluster(t, 1, 1, 0, Claims(v))
			l.setFaults(test.faults, 0)
			got, err := l.post(0, "payout", HeaderIdempotencyKey, "key")
			c.Assert(err, qt.IsNil)
			c.Check(got.status, qt.Equals, test.status)
			c.Check(got.problem.Reason, qt.Equals, test.reason)
			c.Check(got.problem.Ran, qt.Equals, test.ran)
			end := recorder.Outcome("")
			select {
			case end = <-v.ends:
			default:
			}
			c.Check(end, qt.Equals, test.end)
		})
	}
}

func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	tests := []struct {
		name  string
		leave func(l *testCluster, r *Router)
	}{
		{
			name:  "drained by an operator",
			leave: func(l *testCluster, r *Router) { r.Drain(l.hosts[0].Name, true) },
		},
		{
			name: "leaving in the host list",
			leave: func(l *testCluster, r *Router) {
				l.hosts[0].State = connector.HostLeaving
				r.SetHosts(l.hosts)
			},
		},
		{
			name:  "removed from the host list",
			leave: func(l *testCluster, r *Router) { r.SetHosts(l.hosts[1:]) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := newTestCluster(t, 2, 3, 0)
			for _, r := range l.routers {
				test.leave(l, r)
			}
			for i := range 30 {
				got, err := l.post(i%2, "meter")
				c.Assert(err, qt.IsNil)
				c.Check(got.status, qt.Equals, http.StatusOK)
			}
			c.Check(l.minions[0].Counts().Total, qt.Equals, 0)
		})
	}
}

func TestLeaveFinishesWhatIsInFlight(t *testing.T) {
	c := qt.New(t)
	l := newTestCluster(t, 1, 1, 200*time.Millisecond)
	var group errgroup.Group
	group.Go(func() error {
		got, err := l.post(0, "meter")
		c.Check(got.status, qt.Equals, http.StatusOK)
		return err
	})
	for l.totalRuns() == 0 {
		time.Sleep(time.Millisecond)
	}
	group.Go(func() error { return l.routers[0].Leave(t.Context()) })
	for !l.routers[0].leaving() {
		time.Sleep(time.Millisecond)
	}
	got, err := l.post(0, "late")
	c.Assert(err, qt.IsNil)
	c.Check(got.problem.Reason, qt.Equals, ReasonLeaving)
	c.Check(got.header.Get("Retry-After"), qt.Equals, "0")
	c.Check(group.Wait(), qt.IsNil)
}

func TestCallerGoneFreesTheSlot(t *testing.T) {
	c := qt.New(t)
	l := newTestCluster(t, 2, 1, 0)
	l.setFaults(emulator.MinionFaults{
		Stall: true,
	}, 0)
	for entry := range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error {
			_, err := l.routers[entry].Do(ctx, NewRequest(testService, http.MethodGet, "/field-desk/"))
			return err
		})
		for l.reserved() == 0 || l.totalRuns() <= entry {
			time.Sleep(time.Millisecond)
		}
		cancel()
		var unknown *UnknownError
		c.Check(group.Wait(), qt.ErrorAs, &unknown)
		// The entry cancels the attempt at the minion, whose answer then frees the slot.
		for l.reserved() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

func (l *testCluster) reserved() int {
	n := 0
	for _, r := range l.routers {
		for _, e := range r.Endpoints() {
			n += e.Reserved()
		}
	}
	return n
}
