package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/timekeeper"
)

// newRouterOfPeer returns a router without minions of its own, one peer of which
// owns the minions and has the given load.
func newRouterOfPeer(clock timekeeper.Clock, load Load, opts ...Option) *Router {
	r := New("entry-0", append([]Option{Clock(clock), Peers(messenger.NewPool())}, opts...)...)
	r.SetService(testService, NewServiceConfig())
	r.SetHosts([]connector.Host{
		{
			Name:    "minion",
			Kind:    connector.KindMinion,
			Service: testService,
		},
	})
	r.SetMembership(recorder.Membership{
		Epoch: 1,
		Members: []recorder.Member{
			{
				Name:  "entry-1",
				Peers: "entry-1",
			},
		},
	})
	r.peer("entry-1").recordLoad(testService, load, clock.Now())
	return r
}

// TestOverloadOfAPeerCountsByItsLoad guards against a regression: whether a request
// was refused before its claim, and for how long, was computed from the load of this
// entry's own minions, also if a peer was to serve it. An entry without minions
// told each caller to wait a second longer than the one before.
func TestOverloadOfAPeerCountsByItsLoad(t *testing.T) {
	clock := timekeeper.NewFake(testStart)
	request := func(left time.Duration) Request {
		return NewRequest(testService, http.MethodPost, "/", Deadline(clock.Now().Add(left)))
	}

	t.Run("retry times follow the peer's queue", func(t *testing.T) {
		c := qt.New(t)
		r := newRouterOfPeer(clock, Load{
			Slots:       8,
			Queued:      100,
			Wait:        2 * time.Second,
			ServiceTime: 160 * time.Millisecond,
		})
		last := 2 * time.Second
		for range 10 {
			err := r.refuseIfOverloaded(request(10 * time.Second))
			var refused *RefusedError
			c.Assert(err, qt.ErrorAs, &refused)
			c.Assert(refused.Reason, qt.Equals, ReasonOverload)
			// A request is served each 20 ms; the spread adds up to a quarter.
			step := refused.RetryAfter - last
			c.Check(step >= 20*time.Millisecond && step <= 26*time.Millisecond, qt.IsTrue, qt.Commentf("%v after the one before", step))
			last = refused.RetryAfter
		}
	})

	t.Run("the peer's service time leaves too little time", func(t *testing.T) {
		c := qt.New(t)
		r := newRouterOfPeer(clock, Load{
			Slots:       8,
			Queued:      2,
			Wait:        200 * time.Millisecond,
			ServiceTime: 800 * time.Millisecond,
		})
		c.Check(r.refuseIfOverloaded(request(1100*time.Millisecond)), qt.IsNil)
		c.Check(r.refuseIfOverloaded(request(900*time.Millisecond)), qt.IsNotNil)
	})
}

// TestClaimErrorsAreLogged guards against a regression: the error of a claim that
// was not made was dropped, so that nothing said why requests were refused.
func TestClaimErrorsAreLogged(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(testStart)
	logged := memory.New()
	claims := &fixedClaimer{
		err: ErrNotClaimed,
	}
	r := newRouterOfPeer(clock, Load{
		Free: 8,
	}, Claims(claims), Logger(&log.Logger{
		Handler: logged,
		Level:   log.WarnLevel,
	}))
	claim := func(ctx context.Context) {
		err := r.claim(ctx, NewRequest(testService, http.MethodPost, "/", Identity("id"), Deadline(clock.Now().Add(time.Second))))
		c.Assert(err, qt.IsNotNil)
	}
	claim(t.Context())
	c.Assert(logged.Entries, qt.HasLen, 1)
	c.Check(logged.Entries[0].Message, qt.Equals, "router: a claim was not made")
	c.Check(logged.Entries[0].Fields["error"], qt.Equals, ErrNotClaimed.Error())

	// An unreachable log does not flood the router's log.
	claim(t.Context())
	clock.Advance(claimWarnInterval - 1)
	claim(t.Context())
	c.Assert(logged.Entries, qt.HasLen, 1)
	clock.Advance(1)
	claim(t.Context())
	c.Assert(logged.Entries, qt.HasLen, 2)
	c.Check(logged.Entries[1].Fields["unlogged"], qt.Equals, 2)

	// Faults of callers, and callers that have gone, are not logged.
	clock.Advance(claimWarnInterval)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	claim(gone)
	claims.err = ErrExpired
	claim(t.Context())
	claims.err = ErrIdentity
	claim(t.Context())
	c.Assert(logged.Entries, qt.HasLen, 2)
}
