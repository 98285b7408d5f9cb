package emulator

import (
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

var testTime = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	// No error: rapid defines this flag.
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m)
}

// serveHandler serves the handler over HTTP until the test ends. It returns a
// client and the base URL.
func serveHandler(t *testing.T, handler http.Handler) (*http.Client, string) {
	server := httptest.NewServer(handler)
	client := &http.Client{
		Transport: &http.Transport{},
	}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		server.Close()
	})
	return client, server.URL
}

// serveWorker serves the worker over HTTP and returns a client for it.
func serveWorker(t *testing.T, w *Worker) *connector.HTTPWorker {
	client, url := serveHandler(t, w.Handler())
	return newWorkerClient(client, url)
}

func newWorkerClient(client *http.Client, url string) *connector.HTTPWorker {
	return connector.NewWorker(client, strings.TrimPrefix(url, "http://"))
}

// handlerTransport is a transport that calls a handler without a network. If the
// handler drops the connection, RoundTrip returns an error that leaves the outcome
// unknown.
type handlerTransport struct {
	handler http.Handler
}

func newHandlerClient(handler http.Handler) *http.Client {
	return &http.Client{
		Transport: handlerTransport{
			handler: handler,
		},
	}
}

func (h handlerTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			resp, err = nil, http.ErrHandlerTimeout
		}
	}()
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// parseTable splits a table into rows of cells separated by "|".
func parseTable(table string) [][]string {
	var parsed [][]string
	for line := range strings.Lines(strings.TrimSpace(table)) {
		cells := strings.Split(line, "|")
		for i, cell := range cells {
			cells[i] = strings.TrimSpace(cell)
		}
		parsed = append(parsed, cells)
	}
	return parsed
}

// errorsByName maps the names that the tables use to the connector's errors.
var errorsByName = map[string]error{
	"ok":          nil,
	"unreachable": connector.ErrUnreachable,
	"unknown":     connector.ErrUnknown,
	"busy":        connector.ErrRateLimited,
	"aged":        connector.ErrTrimmed,
	"fenced":      connector.ErrFenced,
	"noCapacity":  connector.ErrNoCapacity,
	"refused":     connector.ErrRefused,
}

// checkError checks that err is the error with that name in errorsByName.
func checkError(t *testing.T, err error, name string) {
	t.Helper()
	want, ok := errorsByName[name]
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("no error is named %q", name))
	qt.Check(t, errors.Is(err, want), qt.IsTrue, qt.Commentf("%v is not %s", err, name))
}

// setFaults sets the faults of a stand-in over HTTP.
func setFaults(t *testing.T, client *http.Client, url, faults string) {
	t.Helper()
	qt.Assert(t, send(client, http.MethodPut, url+"/v1/faults", faults), qt.Equals, http.StatusOK)
}

// send sends a request and returns the status code of the answer, 0 if there was
// no answer.
func send(client *http.Client, method, url, body string) int {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitForTimers waits until at least that many timers wait on the clock.
func waitForTimers(t *testing.T, clock *timekeeper.Fake, timers int) {
	t.Helper()
	for clock.PendingTimers() < timers {
		qt.Assert(t, t.Context().Err(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
}

func testHost(name string) connector.Host {
	return connector.Host{
		Name:       name,
		Kind:       connector.KindWorker,
		State:      connector.HostLive,
		DataCentre: "klein-hall",
		Rack:       "rack-1",
		Address:    "127.0.0.1:1",
		Capacity:   sizer.New(4000, 1<<30, 2),
	}
}

func testRef(job string, index int, epoch namer.Epoch, sequence uint64) namer.TaskRef {
	return namer.TaskRef{
		Task: namer.TaskID{
			Job:   job,
			Index: index,
		},
		Attempt: namer.Attempt{
			Epoch:    epoch,
			Sequence: sequence,
			Owner:    "e1",
		},
	}
}

func testStart(ref namer.TaskRef, milliCores int64, runTime time.Duration) connector.Start {
	return connector.Start{
		Ref:     ref,
		Team:    "omuti",
		Kind:    "batch",
		Size:    sizer.New(milliCores, 1<<20, 0),
		Lease:   10 * time.Second,
		RunTime: runTime,
		Epoch:   ref.Attempt.Epoch,
	}
}

// taskReports returns the worker's reports of its starts, from a renewal without
// references.
func taskReports(t *testing.T, w connector.Worker) []connector.TaskReport {
	t.Helper()
	report, err := w.Renew(context.Background(), connector.Renewal{
		Epoch: 5,
	})
	qt.Assert(t, err, qt.IsNil)
	return report.Tasks
}
