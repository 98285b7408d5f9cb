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

var epoch0 = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	// The flag exists: rapid defines it.
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m)
}

// connect serves the handler over HTTP and returns a client and its address.
func connect(t *testing.T, handler http.Handler) (*http.Client, string) {
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

// connectWorker serves the worker over HTTP and returns its client.
func connectWorker(t *testing.T, w *Worker) *connector.HTTPWorker {
	client, url := connect(t, w.Handler())
	return workerAt(client, url)
}

func workerAt(client *http.Client, url string) *connector.HTTPWorker {
	return connector.NewWorker(client, strings.TrimPrefix(url, "http://"))
}

// direct is a transport that calls a handler without a network. A dropped
// connection is an error after which the outcome is unknown.
type direct struct {
	handler http.Handler
}

func directClient(handler http.Handler) *http.Client {
	return &http.Client{
		Transport: direct{
			handler: handler,
		},
	}
}

func (d direct) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			resp, err = nil, http.ErrHandlerTimeout
		}
	}()
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// rows splits a table into its lines and cells.
func rows(table string) [][]string {
	var all [][]string
	for line := range strings.Lines(strings.TrimSpace(table)) {
		cells := strings.Split(line, "|")
		for i, cell := range cells {
			cells[i] = strings.TrimSpace(cell)
		}
		all = append(all, cells)
	}
	return all
}

// marks has the errors of the outside systems by the names that the tables
// give them.
var marks = map[string]error{
	"ok":          nil,
	"unreachable": connector.ErrUnreachable,
	"unknown":     connector.ErrUnknown,
	"busy":        connector.ErrBusy,
	"aged":        connector.ErrAged,
	"fenced":      connector.ErrFenced,
	"noRoom":      connector.ErrNoRoom,
	"refused":     connector.ErrRefused,
}

// checkMark checks that the error has the mark of that name.
func checkMark(t *testing.T, err error, name string) {
	t.Helper()
	mark, ok := marks[name]
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("no mark is called %q", name))
	qt.Check(t, errors.Is(err, mark), qt.IsTrue, qt.Commentf("%v is not %s", err, name))
}

// setFaults sets the faults of a stand-in over HTTP.
func setFaults(t *testing.T, client *http.Client, url, faults string) {
	t.Helper()
	qt.Assert(t, send(client, http.MethodPut, url+"/v1/faults", faults), qt.Equals, http.StatusOK)
}

// send sends a request and returns the status of the answer, 0 if there was
// none.
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

// waitFor waits until a number of timers wait on the clock.
func waitFor(t *testing.T, clock *timekeeper.Fake, timers int) {
	t.Helper()
	for clock.Waiting() < timers {
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

// renewed returns what the worker says of its starts.
func renewed(t *testing.T, w connector.Worker) []connector.TaskReport {
	t.Helper()
	report, err := w.Renew(context.Background(), connector.Renewal{
		Epoch: 5,
	})
	qt.Assert(t, err, qt.IsNil)
	return report.Tasks
}
