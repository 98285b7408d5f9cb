package router

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// rawServer answers each request with the bytes that answer returns; n is the number
// of requests so far, this one included. The server closes the connection after an
// answer that is empty or contains "close". rawServer returns the server's address
// and its count of requests.
func rawServer(t *testing.T, answer func(req *http.Request, n int64) string) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	var group errgroup.Group
	requests := new(atomic.Int64)
	group.Go(func() error {
		// Accept fails once the listener is closed at the end of the test.
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			group.Go(func() error {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return nil
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return nil
					}
					out := answer(req, requests.Add(1))
					// The client may have gone.
					_, _ = conn.Write([]byte(out))
					if out == "" || strings.Contains(out, "close") {
						return nil
					}
				}
			})
		}
		return nil
	})
	t.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String(), requests
}

func newTestAttempt(s *settings, address, method string) attempt {
	leaseExpiry := new(atomic.Int64)
	leaseExpiry.Store(int64(time.Hour))
	return attempt{
		id:             "a-1",
		address:        address,
		maxConnections: 4,
		epoch:          3,
		leaseExpiry:    leaseExpiry,
		writeBy:        s.sinceStart(s.clock.Now().Add(time.Hour)),
		left:           time.Second,
		method:         method,
		path:           "/",
		header:         http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}},
		maxAnswerBytes: 100,
	}
}

func TestAnswerMustBeCompleteAndOfThisAttempt(t *testing.T) {
	const own = "Galenacove-Attempt: a-1\r\nGalenacove-Epoch: 3\r\n"
	tests := []struct {
		name   string
		method string
		answer string
		want   ending
	}{
		{
			name:   "complete",
			answer: "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 2\r\n\r\nok",
			want:   answered{},
		},
		{
			name:   "chunks",
			answer: "HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			want:   answered{},
		},
		{
			name:   "no body",
			answer: "HTTP/1.1 204 No Content\r\n" + own + "\r\n",
			want:   answered{},
		},
		{
			name:   "head",
			method: http.MethodHead,
			answer: "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 20\r\n\r\n",
			want:   answered{},
		},
		{
			name:   "to another attempt",
			answer: "HTTP/1.1 200 OK\r\nGalenacove-Attempt: a-2\r\nContent-Length: 2\r\n\r\nok",
			want:   lost{},
		},
		{
			name:   "without an attempt ID",
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			want:   lost{},
		},
		{
			name:   "short",
			answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n" + own + "Content-Length: 3\r\n\r\nok",
			want:   lost{},
		},
		{
			name:   "chunks cut short",
			answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
			want:   lost{},
		},
		{
			name:   "without a length",
			answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n" + own + "\r\nok",
			want:   lost{},
		},
		{
			name:   "too large",
			answer: "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 101\r\n\r\n" + strings.Repeat("x", 101),
			want:   lost{},
		},
		{
			name:   "garbage",
			answer: "close\r\n\r\n",
			want:   lost{},
		},
		{
			name:   "nothing",
			answer: "",
			want:   lost{},
		},
		{
			name:   "refused",
			answer: "HTTP/1.1 503 Full\r\nGalenacove-Refused: full\r\nContent-Length: 0\r\n\r\n",
			want:   declined{},
		},
		{
			name:   "unavailable, not refused",
			answer: "HTTP/1.1 503 Full\r\n" + own + "Content-Length: 0\r\n\r\n",
			want:   answered{},
		},
		{
			name:   "later epoch",
			answer: "HTTP/1.1 409 Conflict\r\nGalenacove-Refused: epoch\r\nGalenacove-Epoch: 4\r\nContent-Length: 0\r\n\r\n",
			want:   declined{},
		},
		{
			name:   "conflict of the service, later epoch",
			answer: "HTTP/1.1 409 Conflict\r\nGalenacove-Attempt: a-1\r\nGalenacove-Epoch: 4\r\nContent-Length: 0\r\n\r\n",
			want:   answered{},
		},
		{
			name:   "conflict of the service",
			answer: "HTTP/1.1 409 Conflict\r\n" + own + "Content-Length: 0\r\n\r\n",
			want:   answered{},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := rawServer(t, func(*http.Request, int64) string { return test.answer })
			s := newSettings(nil)
			carrier := newHTTPCarrier(s)
			defer carrier.close()
			method := test.method
			if method == "" {
				method = http.MethodPost
			}
			got := carrier.exchange(t.Context(), newTestAttempt(s, address, method))
			c.Check(fmt.Sprintf("%T", got), qt.Equals, fmt.Sprintf("%T", test.want), qt.Commentf("%v", got))
		})
	}
}

func TestFaultIgnoreAttemptIDAcceptsOtherAnswers(t *testing.T) {
	address, _ := rawServer(t, func(*http.Request, int64) string {
		return "HTTP/1.1 200 OK\r\nGalenacove-Attempt: a-2\r\nContent-Length: 2\r\n\r\nok"
	})
	s := newSettings(nil)
	s.faults.ignoreAttemptID = true
	carrier := newHTTPCarrier(s)
	defer carrier.close()
	_, accepted := carrier.exchange(t.Context(), newTestAttempt(s, address, http.MethodGet)).(answered)
	qt.New(t).Check(accepted, qt.IsTrue)
}

// TestTransportSendsOnce checks that an attempt is sent only once when a kept
// connection turns out to be broken. The HTTP transport would by itself resend a
// request that it considers repeatable.
func TestTransportSendsOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			address, requests := rawServer(t, func(_ *http.Request, n int64) string {
				if n == 1 {
					return "HTTP/1.1 200 OK\r\nGalenacove-Attempt: a-1\r\nContent-Length: 0\r\n\r\n"
				}
				return ""
			})
			s := newSettings(nil)
			carrier := newHTTPCarrier(s)
			defer carrier.close()
			_, ok := carrier.exchange(t.Context(), newTestAttempt(s, address, method)).(answered)
			c.Assert(ok, qt.IsTrue)
			_, ok = carrier.exchange(t.Context(), newTestAttempt(s, address, method)).(lost)
			c.Check(ok, qt.IsTrue)
			c.Check(requests.Load(), qt.Equals, int64(2))
		})
	}
}

func TestNothingIsSentWithoutLease(t *testing.T) {
	c := qt.New(t)
	address, requests := rawServer(t, func(*http.Request, int64) string { return "" })
	s := newSettings(nil)
	carrier := newHTTPCarrier(s)
	defer carrier.close()
	a := newTestAttempt(s, address, http.MethodPost)
	a.leaseExpiry = new(atomic.Int64)
	_, ok := carrier.exchange(t.Context(), a).(unsent)
	c.Check(ok, qt.IsTrue)
	a = newTestAttempt(s, address, http.MethodPost)
	a.writeBy = 0
	_, ok = carrier.exchange(t.Context(), a).(unsent)
	c.Check(ok, qt.IsTrue)
	c.Check(requests.Load(), qt.Equals, int64(0))
}

func FuzzBytesFromOutside(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nGalenacove-Attempt: a-1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 409 Conflict\r\nGalenacove-Epoch: 4\r\nConnection: a, b\r\n\r\n"))
	f.Add([]byte(`{"type":"x","status":503,"ran":"no","retryAfterSeconds":1e300}`))
	f.Add([]byte("Galenacove-Deadline: 1e-9\r\nIdempotency-Key: \"\r\n\r\n"))
	s := newSettings(nil)
	carrier := newHTTPCarrier(s)
	a := newTestAttempt(s, "", http.MethodGet)
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		if p, err := ParseProblem(data); err == nil {
			c.Check(p.RetryTime() >= 0 && p.Ran != "", qt.IsTrue)
		}
		if req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(append([]byte("GET / HTTP/1.1\r\n"), data...)))); err == nil {
			checkHeaders(c, req.Header)
		}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		if got, ok := carrier.readAnswer(resp, a, 0).(answered); ok {
			c.Check(resp.Header.Get(HeaderAttempt), qt.Equals, a.id)
			c.Check(int64(len(got.answer.body)) <= a.maxAnswerBytes, qt.IsTrue)
			c.Check(got.older >= -1, qt.IsTrue)
			c.Check(got.answer.header["Connection"], qt.IsNil)
		}
	})
}

func checkHeaders(c *qt.C, h http.Header) {
	now := time.Unix(0, 0)
	opts, err := headerOptions(h, now)
	if err != nil {
		return
	}
	q := NewRequest(testService, http.MethodGet, "/", opts...)
	c.Check(q.deadline.IsZero() || !q.deadline.Before(now), qt.IsTrue)
	c.Check(q.deadline.Sub(now) <= maxHeaderSeconds*time.Second, qt.IsTrue)
}
