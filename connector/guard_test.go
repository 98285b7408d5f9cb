package connector_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/connector"
)

func TestGuardIsCalledBeforeSending(t *testing.T) {
	c := qt.New(t)
	var bodiesReceived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// Of a request that is held back, only the headers arrive.
		if data, err := io.ReadAll(r.Body); err == nil || len(data) > 0 {
			bodiesReceived.Add(1)
		}
	}))
	defer server.Close()
	client := server.Client()
	worker := connector.NewWorker(client, server.Listener.Addr().String())
	var allowed atomic.Bool
	ctx := connector.Guarded(context.Background(), allowed.Load)

	for _, allow := range []bool{false, true, false, true} {
		allowed.Store(allow)
		before := bodiesReceived.Load()
		err := worker.Start(ctx, connector.Start{})
		if allow {
			c.Check(err, qt.IsNil)
			c.Check(bodiesReceived.Load(), qt.Equals, before+1)
			continue
		}
		c.Check(errors.Is(err, connector.ErrHeldBack), qt.IsTrue, qt.Commentf("%v", err))
		c.Check(errors.Is(err, connector.ErrUnreachable), qt.IsTrue)
		c.Check(bodiesReceived.Load(), qt.Equals, before)
	}

	// The guard is also called on a new connection: with the idle connections
	// closed, the request needs one and is still held back.
	guardCalls := 0
	refusing := connector.Guarded(context.Background(), func() bool {
		guardCalls++
		return false
	})
	client.CloseIdleConnections()
	c.Check(errors.Is(worker.Start(refusing, connector.Start{}), connector.ErrHeldBack), qt.IsTrue)
	c.Check(guardCalls > 0, qt.IsTrue)
	c.Check(bodiesReceived.Load(), qt.Equals, int64(2))
}
