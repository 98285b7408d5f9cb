// Package emulator holds small stand-ins for the outside systems: the
// platform with its log and host list, a worker and a minion. Each speaks the
// HTTP interface of docs/INTERFACES.md, has faults that can be set while it
// runs, and keeps account of what it was given, so that a test can check that
// nothing was doubled, lost or over-committed.
//
// The stand-ins keep everything in memory and start no processes: a task is a
// timer. They check nothing that the interfaces don't promise.
package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// maxBody is the most bytes of a request that are read.
	maxBody = 32 << 20
	// heartbeatTimeout bounds one such call.
	heartbeatTimeout = 2 * time.Second
	// closeTimeout is how long a server waits for requests in flight.
	closeTimeout = 3 * time.Second
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 5 * time.Second
)

// ErrServe is returned where a stand-in cannot serve its address.
var ErrServe = errors.New("emulator: cannot serve")

// Serve serves the handler on the listener until the context has ended.
// Requests that wait then, such as long reads, are answered at once.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	return serve(ctx, listener, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	})
}

// serve runs the server, and at the end waits a short while for requests in
// flight.
func serve(ctx context.Context, listener net.Listener, server *http.Server) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.WithStack(fmt.Errorf("%w: %w", ErrServe, err))
	})
	group.Go(func() error {
		<-ctx.Done()
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if server.Shutdown(closing) != nil {
			return server.Close()
		}
		return nil
	})
	return group.Wait()
}

// register tells the platform of the host until the context has ended. A
// platform that is out of reach is asked again at the next heartbeat. Without an
// address it only waits.
func register(ctx context.Context, t terms, platform string, host func() connector.Host, silent func() bool) error {
	if platform == "" {
		<-ctx.Done()
		return nil
	}
	client := &http.Client{
		Timeout:   heartbeatTimeout,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	err := timekeeper.Every(ctx, t.clock, t.heartbeat, func(ctx context.Context) {
		if silent() {
			return
		}
		// The next heartbeat makes up for one that failed.
		_ = connector.Register(ctx, client, platform, host())
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// readJSON decodes the request's body and answers the request if it cannot.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(data, value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// drop closes the connection of the request without an answer.
func drop() {
	panic(http.ErrAbortHandler)
}

// delay waits for d, and reports whether the caller still waits then.
func delay(ctx context.Context, clock timekeeper.Clock, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	return timekeeper.Sleep(ctx, clock, d) == nil
}
