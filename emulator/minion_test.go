package emulator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/timekeeper"
)

// reply is the answer that a sender received.
type reply struct {
	status int
	header http.Header
	body   string
}

// postReading sends a request and returns the answer. It fails if there was no
// answer or if the body was incomplete.
func postReading(ctx context.Context, client *http.Client, url, epoch, body string) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/field-desk/readings", strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set(HeaderRequest, "r1")
	req.Header.Set(HeaderAttempt, "r1/1")
	req.Header.Set(HeaderEpoch, epoch)
	req.Header.Set(HeaderDeadline, "1.5")
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode,
		header: resp.Header,
		body:   string(answer),
	}, err
}

func TestMinionFaults(t *testing.T) {
	// Columns: name, faults, "echo" for OnlyEcho, epoch, outcome, reason for the
	// refusal, number of runs.
	const table = `
		none                   | {}                          |      | 5 | full    |         | 1
		slow                   | {"slow": 1000000}           |      | 5 | full    |         | 1
		another request fails  | {"fail": true, "every": 50} |      | 5 | full    |         | 1
		down                   | {"down": true}              |      | 5 | broken  |         | 0
		refuses                | {"refuse": true}            |      | 5 | 503     | refused | 0
		leaving                | {"leaving": true}           |      | 5 | 503     | leaving | 0
		lower epoch            | {}                          |      | 4 | 409     | epoch   | 0
		lower epoch, only echo | {}                          | echo | 4 | full    |         | 1
		fails                  | {"fail": true}              |      | 5 | 500     |         | 1
		loses the answer       | {"loseAnswer": true}        |      | 5 | broken  |         | 1
		cuts the body          | {"cutBody": true}           |      | 5 | cut     |         | 1
		wrong length           | {"wrongLength": true}       |      | 5 | cut     |         | 1
	`
	for _, row := range parseTable(table) {
		t.Run(row[0], func(t *testing.T) {
			c := qt.New(t)
			var opts []Option
			if row[2] == "echo" {
				opts = append(opts, OnlyEcho())
			}
			minion := NewMinion(testHost("m1"), opts...)
			client, url := serveHandler(t, minion.Handler())
			_, err := postReading(t.Context(), client, url, "5", "first")
			c.Assert(err, qt.IsNil)
			setFaults(t, client, url, row[1])
			got, err := postReading(t.Context(), client, url, row[3], "meter 4711")
			c.Check(outcome(got, err), qt.Equals, row[4])
			if row[4] == "full" {
				c.Check(got.body, qt.Equals, string(Answer([]byte("meter 4711"))))
			}
			if row[4] != "broken" {
				c.Check(got.header.Get(HeaderRefused), qt.Equals, row[5])
				c.Check(got.header.Get(HeaderEpoch), qt.Equals, "5")
				c.Check(got.header.Get(HeaderAttempt), qt.Equals, "r1/1")
			}
			c.Check(fmt.Sprint(minion.Counts().Requests["r1"]-1), qt.Equals, row[6])
		})
	}
}

// outcome returns the name of the reply in the table: "broken" without an answer,
// "cut" for an incomplete body, "full" for status 200, and otherwise the status.
func outcome(got reply, err error) string {
	switch {
	case got.status == 0:
		return "broken"
	case err != nil:
		return "cut"
	case got.status == http.StatusOK:
		return "full"
	default:
		return fmt.Sprint(got.status)
	}
}

func TestMinionCounts(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(testTime)
	minion := NewMinion(testHost("m1"), Clock(clock), ServiceTime(time.Second))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return minion.Serve(ctx, listener) })
	client := &http.Client{
		Transport: &http.Transport{},
	}
	url := "http://" + listener.Addr().String()
	for range DefaultSlots {
		group.Go(func() error {
			_, err := postReading(context.Background(), client, url, "1", "meter")
			return err
		})
	}
	waitForTimers(t, clock, DefaultSlots)
	got, err := postReading(t.Context(), client, url, "1", "one too many")
	c.Assert(err, qt.IsNil)
	c.Check(got.header.Get(HeaderRefused), qt.Equals, RefusedFull)
	// Stopping the server does not end requests in flight.
	cancel()
	clock.Advance(time.Second)
	c.Assert(group.Wait(), qt.IsNil)
	client.CloseIdleConnections()
	counts := minion.Counts()
	c.Check(counts.MostRequests, qt.Equals, DefaultSlots+1)
	c.Check(counts.MostRunning, qt.Equals, DefaultSlots)
	c.Check(counts.MostConnections, qt.Equals, DefaultSlots+1)
	c.Check([]int{counts.Total, counts.Ran, counts.Refused}, qt.DeepEquals, []int{DefaultSlots + 1, DefaultSlots, 1})
}

// TestMinionEndsStalledRequests checks that a stalled request ends when its sender
// closes the connection, at its deadline and by a cancel call, and checks what the
// sender gets.
func TestMinionEndsStalledRequests(t *testing.T) {
	endings := map[string]func(cancel context.CancelFunc, clock *timekeeper.Fake, client *http.Client, url string){
		"broken": func(cancel context.CancelFunc, _ *timekeeper.Fake, _ *http.Client, _ string) {
			cancel()
		},
		"504": func(_ context.CancelFunc, clock *timekeeper.Fake, _ *http.Client, _ string) {
			clock.Advance(1500 * time.Millisecond)
		},
		"408": func(_ context.CancelFunc, _ *timekeeper.Fake, client *http.Client, url string) {
			send(client, http.MethodDelete, url+"/v1/attempts/r1%2F1", "")
		},
	}
	for want, end := range endings {
		t.Run(want, func(t *testing.T) {
			c := qt.New(t)
			clock := timekeeper.NewFake(testTime)
			minion := NewMinion(testHost("m1"), Clock(clock))
			client, url := serveHandler(t, minion.Handler())
			setFaults(t, client, url, `{"stall": true}`)
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error {
				got, err := postReading(ctx, client, url, "1", "meter")
				c.Check(outcome(got, err), qt.Equals, want)
				return nil
			})
			waitForTimers(t, clock, 1)
			// A probe with a higher epoch counts the request with the lower one.
			req, err := http.NewRequest(http.MethodGet, url+"/v1/probe", http.NoBody)
			c.Assert(err, qt.IsNil)
			req.Header.Set(HeaderEpoch, "2")
			resp, err := client.Do(req)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.Body.Close(), qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, http.StatusNoContent)
			c.Check(resp.Header.Get(HeaderOlder), qt.Equals, "1")
			end(cancel, clock, client, url)
			c.Assert(group.Wait(), qt.IsNil)
			c.Check(minion.Counts().Total, qt.Equals, 1)
		})
	}
}

func TestMinionClosesConnectionsOverLimit(t *testing.T) {
	c := qt.New(t)
	host := testHost("m1")
	host.Connections = 1
	minion := NewMinion(host)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return minion.Serve(ctx, listener) })
	first, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	second, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	_, err = second.Read(make([]byte, 1))
	c.Check(err, qt.Not(qt.IsNil))
	c.Assert(first.Close(), qt.IsNil)
	c.Assert(second.Close(), qt.IsNil)
	cancel()
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(minion.Counts().MostConnections, qt.Equals, 2)
}
