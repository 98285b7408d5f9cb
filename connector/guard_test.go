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
	var reached atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// Only the headers of a request that is held back arrive.
		if data, err := io.ReadAll(r.Body); err == nil || len(data) > 0 {
			reached.Add(1)
		}
	}))
	defer server.Close()
	client := server.Client()
	worker := connector.NewWorker(client, server.Listener.Addr().String())
	var allowed atomic.Bool
	ctx := connector.Guarded(context.Background(), allowed.Load)

	for _, may := range []bool{false, true, false, true} {
		allowed.Store(may)
		before := reached.Load()
		err := worker.Start(ctx, connector.Start{})
		if may {
			c.Check(err, qt.IsNil)
			c.Check(reached.Load(), qt.Equals, before+1)
			continue
		}
		c.Check(errors.Is(err, connector.ErrHeld), qt.IsTrue, qt.Commentf("%v", err))
		c.Check(errors.Is(err, connector.ErrUnreachable), qt.IsTrue)
		c.Check(reached.Load(), qt.Equals, before)
	}

	// The guard is called after the connection is made: with the idle ones
	// closed, the request needs a new connection and is still held back.
	asked := 0
	slow := connector.Guarded(context.Background(), func() bool {
		asked++
		return false
	})
	client.CloseIdleConnections()
	c.Check(errors.Is(worker.Start(slow, connector.Start{}), connector.ErrHeld), qt.IsTrue)
	c.Check(asked > 0, qt.IsTrue)
	c.Check(reached.Load(), qt.Equals, int64(2))
}
