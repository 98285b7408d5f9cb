package requester_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/requester"
	"github.com/galenacove/galenacove/timekeeper"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// serve starts a server with the handler and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// respondWith returns a handler that answers with the status and the body.
func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// respondWithPrevious returns a handler that answers each request with the
// answer to the previous one.
func respondWithPrevious() http.HandlerFunc {
	var mu sync.Mutex
	var previous []byte
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		previous, body = body, previous
		mu.Unlock()
		_, _ = w.Write(emulator.Answer(body))
	}
}

func TestOutcomes(t *testing.T) {
	minion := emulator.NewMinion(connector.Host{
		Name: "m1",
	})
	tests := map[requester.Outcome]http.HandlerFunc{
		requester.Done:    minion.Handler().ServeHTTP,
		requester.Refused: respondWith(503, `{"status": 503, "reason": "queueFull", "ran": "no"}`),
		requester.Failed:  respondWith(502, `{"status": 502, "reason": "failed", "ran": "yes"}`),
		requester.Unknown: respondWith(504, `{"status": 504, "reason": "lost", "ran": "unknown"}`),
		requester.Wrong:   respondWithPrevious(),
		requester.NoAnswer: func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		},
	}
	for want, handler := range tests {
		t.Run(string(want), func(t *testing.T) {
			c := qt.New(t)
			address := serve(t, handler)
			load, err := requester.New([]string{address, address}, "field-desk",
				requester.Rate(1000),
				requester.Duration(50*time.Millisecond),
				requester.InFlight(4),
				requester.NonIdempotent(),
				requester.Team("omuti"),
			)
			c.Assert(err, qt.IsNil)
			report := load.Run(t.Context())
			c.Check(report.Due(), qt.Equals, 50)
			c.Check(report.Count(want), qt.Equals, 50-report.Count(requester.NotSent))
			c.Check(report.Latency(want, 0.5) > 0, qt.IsTrue)
			var text strings.Builder
			c.Assert(report.WriteJSON(&text), qt.IsNil)
			c.Check(json.Valid([]byte(text.String())), qt.IsTrue)
			text.Reset()
			c.Assert(report.WriteTable(&text), qt.IsNil)
			c.Check(text.String(), qt.Contains, string(want))
		})
	}
}

func TestLoadIsBounded(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	address := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	clock := timekeeper.NewFake(time.Unix(0, 0))
	load, err := requester.New([]string{address}, "field-desk",
		requester.Clock(clock),
		requester.Rate(1024),
		requester.InFlight(3),
	)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	var report requester.Report
	group.Go(func() error {
		report = load.Run(ctx)
		return nil
	})
	// After 20 requests have been sent or counted as not sent, the requester
	// waits for the 21st.
	for i := range 20 {
		for clock.PendingTimers() == 0 {
			time.Sleep(time.Millisecond)
		}
		if i < 19 {
			clock.Advance(time.Millisecond)
		}
	}
	cancel()
	close(release)
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(report.Count(requester.NotSent), qt.Equals, 17)
	c.Check(report.Count(requester.Wrong), qt.Equals, 3)
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		address string
		opt     requester.Option
		want    error
	}{
		"other host": {
			address: "10.0.0.1:80",
			opt:     requester.Team(""),
			want:    requester.ErrAddress,
		},
		"name": {
			address: "localhost:80",
			opt:     requester.Team(""),
			want:    requester.ErrAddress,
		},
		"rate": {
			address: "127.0.0.1:80",
			opt:     requester.Rate(1e6),
			want:    requester.ErrRange,
		},
		"duration": {
			address: "127.0.0.1:80",
			opt:     requester.Duration(time.Hour),
			want:    requester.ErrRange,
		},
		"in flight": {
			address: "127.0.0.1:80",
			opt:     requester.InFlight(0),
			want:    requester.ErrRange,
		},
		"body": {
			address: "127.0.0.1:80",
			opt:     requester.BodySize(-1),
			want:    requester.ErrRange,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := requester.New([]string{test.address}, "field-desk", test.opt)
			qt.Check(t, errors.Is(err, test.want), qt.IsTrue)
		})
	}
}
