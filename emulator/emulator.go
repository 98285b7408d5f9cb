// Package emulator holds small stand-ins for the external systems: the
// platform with its log and host list, a worker and a minion. Each implements
// the HTTP interface of docs/INTERFACES.md, has faults that can be injected
// while it runs, and records the calls it received, so that a test can check
// that nothing was duplicated, lost or over-committed.
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
	// maxBody limits the size of a request body, in bytes.
	maxBody = 32 << 20
	// heartbeatTimeout limits one registration call to the platform.
	heartbeatTimeout = 2 * time.Second
	// closeTimeout is how long a stopping server waits for requests in flight.
	closeTimeout = 3 * time.Second
	// readHeaderTimeout limits the time for reading a request's header.
	readHeaderTimeout = 5 * time.Second
)

// ErrServe is returned if a stand-in's HTTP server fails.
var ErrServe = errors.New("emulator: cannot serve")

// Serve serves the handler on the listener until ctx is done. Requests that
// are waiting then, such as long reads, are answered at once, because their
// contexts are derived from ctx.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	return serve(ctx, listener, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	})
}

// serve runs the server until ctx is done, and then waits up to closeTimeout
// for requests in flight before it closes their connections.
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

// register registers the host with the platform at each heartbeat, except while
// silent returns true, until ctx is done. If the platform is unreachable, the
// next heartbeat retries. With an empty platform address, register only waits
// for ctx.
func register(ctx context.Context, o options, platform string, host func() connector.Host, silent func() bool) error {
	if platform == "" {
		<-ctx.Done()
		return nil
	}
	client := &http.Client{
		Timeout:   heartbeatTimeout,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	err := timekeeper.Every(ctx, o.clock, o.heartbeat, func(ctx context.Context) {
		if silent() {
			return
		}
		// If a heartbeat fails, the next one retries.
		_ = connector.Register(ctx, client, platform, host())
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// readJSON decodes the request's body into value. On an error it answers with
// 400 and returns false.
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

// dropConnection closes the connection of the current request without an
// answer, by a panic that net/http handles.
func dropConnection() {
	panic(http.ErrAbortHandler)
}

// delay waits for d, and reports whether it elapsed before ctx was done.
func delay(ctx context.Context, clock timekeeper.Clock, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	return timekeeper.Sleep(ctx, clock, d) == nil
}
