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

// reply is what a sender got.
type reply struct {
	status int
	header http.Header
	body   string
}

// ask sends a request and returns the answer. It fails if there was none, or
// if the body was cut.
func ask(ctx context.Context, client *http.Client, url, epoch, body string) (reply, error) {
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
	// The columns: the name, the faults, whether the minion only echoes, the
	// epoch, the answer, the reason of a refusal, and how often it ran.
	const table = `
		none                   | {}                          |      | 5 | full    |         | 1
		slow                   | {"slow": 1000000}           |      | 5 | full    |         | 1
		not this one           | {"fail": true, "every": 50} |      | 5 | full    |         | 1
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
	for _, row := range rows(table) {
		t.Run(row[0], func(t *testing.T) {
			c := qt.New(t)
			var opts []Option
			if row[2] == "echo" {
				opts = append(opts, OnlyEcho())
			}
			minion := NewMinion(testHost("m1"), opts...)
			client, url := connect(t, minion.Handler())
			_, err := ask(t.Context(), client, url, "5", "first")
			c.Assert(err, qt.IsNil)
			setFaults(t, client, url, row[1])
			got, err := ask(t.Context(), client, url, row[3], "meter 4711")
			c.Check(describe(got, err), qt.Equals, row[4])
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

// describe names what a sender got as the table does.
func describe(got reply, err error) string {
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

func TestMinionCountsWhatItIsGiven(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(epoch0)
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
			_, err := ask(context.Background(), client, url, "1", "meter")
			return err
		})
	}
	waitFor(t, clock, DefaultSlots)
	got, err := ask(t.Context(), client, url, "1", "one too many")
	c.Assert(err, qt.IsNil)
	c.Check(got.header.Get(HeaderRefused), qt.Equals, RefusedFull)
	// A stop does not cut the requests in flight.
	cancel()
	clock.Advance(time.Second)
	c.Assert(group.Wait(), qt.IsNil)
	client.CloseIdleConnections()
	counts := minion.Counts()
	c.Check(counts.MostRequests, qt.Equals, DefaultSlots+1)
	c.Check(counts.MostRun, qt.Equals, DefaultSlots)
	c.Check(counts.MostConnections, qt.Equals, DefaultSlots+1)
	c.Check([]int{counts.Total, counts.Ran, counts.Refused}, qt.DeepEquals, []int{DefaultSlots + 1, DefaultSlots, 1})
}

// TestMinionEndsStalledRequests ends a stalled request in each of the ways that
// there are, and looks at what its sender gets.
func TestMinionEndsStalledRequests(t *testing.T) {
	ends := map[string]func(cancel context.CancelFunc, clock *timekeeper.Fake, client *http.Client, url string){
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
	for want, end := range ends {
		t.Run(want, func(t *testing.T) {
			c := qt.New(t)
			clock := timekeeper.NewFake(epoch0)
			minion := NewMinion(testHost("m1"), Clock(clock))
			client, url := connect(t, minion.Handler())
			setFaults(t, client, url, `{"stall": true}`)
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error {
				got, err := ask(ctx, client, url, "1", "meter")
				c.Check(describe(got, err), qt.Equals, want)
				return nil
			})
			waitFor(t, clock, 1)
			// A probe with a higher epoch sees the request of the lower one.
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

func TestMinionClosesConnectionsOverItsNumber(t *testing.T) {
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
