package emulator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/timekeeper"
)

func TestPlatformFaults(t *testing.T) {
	// Columns: name, faults, results of an append and a read, number of records
	// afterwards.
	const table = `
		none                        | {}                                  | ok          | ok          | 1
		down                        | {"down": true}                      | unreachable | unreachable | 0
		slow                        | {"slow": 1000000}                   | ok          | ok          | 1
		one answer lost             | {"loseAnswers": 1}                  | unknown     | ok          | 1
		all answers lost            | {"loseAnswers": -1}                 | unknown     | ok          | 1
		request lost                | {"loseRequests": 1}                 | unknown     | ok          | 0
		this stream down            | {"streams": {"s": {"down": true}}}     | unreachable | unreachable | 0
		this stream slow            | {"streams": {"s": {"slow": 1000000}}}  | ok          | ok          | 1
		this stream loses an answer | {"streams": {"s": {"loseAnswers": 1}}} | unknown     | ok          | 1
		another stream down         | {"streams": {"z": {"down": true}}}     | ok          | ok          | 1
	`
	for _, row := range parseTable(table) {
		t.Run(row[0], func(t *testing.T) {
			c := qt.New(t)
			platform := NewPlatform()
			client, url := serveHandler(t, platform.Handler())
			log := connector.NewPlatform(client, url)
			setFaults(t, client, url, row[1])
			_, err := log.Append(t.Context(), "s", [][]byte{[]byte("a")})
			checkError(t, err, row[2])
			_, err = log.Read(t.Context(), "s", 1, 10, 0)
			checkError(t, err, row[3])
			setFaults(t, client, url, "{}")
			batch, err := log.Read(t.Context(), "s", 1, 10, 0)
			c.Assert(err, qt.IsNil)
			c.Check(fmt.Sprint(len(batch.Entries)), qt.Equals, row[4])
			c.Check(platform.Appends(), qt.Equals, len(batch.Entries))
		})
	}
}

func TestPlatformCountsFaultsDown(t *testing.T) {
	platform := NewPlatform()
	client, url := serveHandler(t, platform.Handler())
	log := connector.NewPlatform(client, url)
	setFaults(t, client, url, `{"loseAnswers": 2, "streams": {"s": {"loseRequests": 1}}}`)
	for _, want := range []string{"unknown", "unknown", "unknown", "ok"} {
		_, err := log.Append(t.Context(), "s", [][]byte{[]byte("a")})
		checkError(t, err, want)
	}
	qt.Check(t, platform.Appends(), qt.Equals, 3)
}

func TestPlatformRetention(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(testTime)
	client, url := serveHandler(t, NewPlatform(Clock(clock), Retention(3, time.Minute)).Handler())
	log := connector.NewPlatform(client, url)
	for i := range 5 {
		offset, err := log.Append(t.Context(), "s", [][]byte{{byte(i)}})
		c.Assert(err, qt.IsNil)
		c.Check(offset, qt.Equals, namer.Offset(i+1))
	}
	_, err := log.Read(t.Context(), "s", 2, 10, 0)
	checkError(t, err, "aged")
	batch, err := log.Read(t.Context(), "s", 3, 2, 0)
	c.Assert(err, qt.IsNil)
	c.Check(batch.Entries, qt.HasLen, 2)
	c.Check([]namer.Offset{batch.First, batch.Next}, qt.DeepEquals, []namer.Offset{3, 6})
	clock.Advance(2 * time.Minute)
	_, err = log.Read(t.Context(), "s", 5, 10, 0)
	checkError(t, err, "aged")
	batch, err = log.Read(t.Context(), "s", 1, 0, 0)
	c.Assert(err, qt.IsNil)
	c.Check([]namer.Offset{batch.First, batch.Next}, qt.DeepEquals, []namer.Offset{6, 6})
	offset, err := log.Append(t.Context(), "s", [][]byte{[]byte("a")})
	c.Assert(err, qt.IsNil)
	c.Check(offset, qt.Equals, namer.Offset(6))
}

func TestPlatformAppendRate(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(testTime)
	client, url := serveHandler(t, NewPlatform(Clock(clock), AppendRate(8)).Handler())
	log := connector.NewPlatform(client, url)
	appends := func() int {
		for i := range 100 {
			if _, err := log.Append(t.Context(), "s", [][]byte{[]byte("a"), []byte("b")}); err != nil {
				checkError(t, err, "busy")
				return i
			}
		}
		return 100
	}
	c.Check(appends(), qt.Equals, 2)
	clock.Advance(125 * time.Millisecond)
	c.Check(appends(), qt.Equals, 1)
}

func TestPlatformLongRead(t *testing.T) {
	for _, appends := range []bool{true, false} {
		t.Run(fmt.Sprint("appends ", appends), func(t *testing.T) {
			c := qt.New(t)
			clock := timekeeper.NewFake(testTime)
			client, url := serveHandler(t, NewPlatform(Clock(clock)).Handler())
			log := connector.NewPlatform(client, url)
			var batch connector.Batch
			var group errgroup.Group
			group.Go(func() error {
				var err error
				batch, err = log.Read(context.Background(), "s", 1, 10, time.Minute)
				return err
			})
			waitForTimers(t, clock, 1)
			want := 0
			if appends {
				_, err := log.Append(t.Context(), "s", [][]byte{[]byte("a")})
				c.Assert(err, qt.IsNil)
				want = 1
			} else {
				clock.Advance(time.Minute)
			}
			c.Assert(group.Wait(), qt.IsNil)
			c.Check(batch.Entries, qt.HasLen, want)
		})
	}
}

func TestPlatformRefusesBadRequests(t *testing.T) {
	client, url := serveHandler(t, NewPlatform().Handler())
	log := connector.NewPlatform(client, url)
	_, err := log.Append(t.Context(), "s", [][]byte{})
	checkError(t, err, "refused")
	_, err = log.Read(t.Context(), "s", 1, -1, 0)
	checkError(t, err, "refused")
}

func TestHostList(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(testTime)
	client, url := serveHandler(t, NewPlatform(Clock(clock), HostLag(time.Second), HostExpiry(5*time.Second)).Handler())
	hosts := connector.NewPlatform(client, url)
	put := func(state connector.HostState) {
		host := testHost("w1")
		host.State = state
		c.Assert(connector.Register(t.Context(), client, url, host), qt.IsNil)
	}
	shown := func() string {
		list, err := hosts.List(t.Context())
		c.Assert(err, qt.IsNil)
		if len(list) == 0 {
			return "none"
		}
		return string(list[0].State)
	}
	remove := func() {
		c.Assert(send(client, http.MethodDelete, url+"/v1/hosts/w1", ""), qt.Equals, http.StatusOK)
	}
	// Columns: event, time that passes after it, state shown.
	const table = `
		live    | 0s    | none
		        | 1s    | live
		leaving | 900ms | live
		        | 100ms | leaving
		        | 5s    | leaving
		        | 1ms   | none
		live    | 999ms | none
		        | 1ms   | live
		freeze  | 1m    | live
		thaw    | 0s    | none
		live    | 1s    | live
		remove  | 999ms | live
		        | 1ms   | none
	`
	for i, row := range parseTable(table) {
		switch row[0] {
		case "":
		case "freeze":
			setFaults(t, client, url, `{"freezeHosts": true}`)
		case "thaw":
			setFaults(t, client, url, "{}")
		case "remove":
			remove()
		default:
			put(connector.HostState(row[0]))
		}
		wait, err := time.ParseDuration(row[1])
		c.Assert(err, qt.IsNil)
		clock.Advance(wait)
		c.Check(shown(), qt.Equals, row[2], qt.Commentf("line %d", i+1))
	}
}

func TestLongHostListIsCompressed(t *testing.T) {
	c := qt.New(t)
	const count = 300
	platform := NewPlatform(HostLag(0))
	client, url := serveHandler(t, platform.Handler())
	for i := range count {
		c.Assert(connector.Register(t.Context(), client, url, testHost(fmt.Sprint("w", i))), qt.IsNil)
	}
	list, err := connector.NewPlatform(client, url).List(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(list, qt.HasLen, count)
	resp, err := client.Get(url + "/v1/hosts")
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Check(resp.Uncompressed, qt.IsTrue)
}

// runRandomAppends makes random appends under faults, reads all records back and
// returns the result of checkHistory.
func runRandomAppends(t *rapid.T, platform *Platform, log connector.Log) error {
	acked := make(map[string]namer.Offset)
	unknown := make(map[string]bool)
	for i := range rapid.IntRange(1, 30).Draw(t, "appends") {
		platform.SetFaults(Faults{
			LoseAnswers:  rapid.IntRange(0, 1).Draw(t, "loseAnswers"),
			LoseRequests: rapid.IntRange(0, 1).Draw(t, "loseRequests"),
			Down:         rapid.IntRange(0, 4).Draw(t, "down") == 0,
		})
		var payloads [][]byte
		for j := range rapid.IntRange(1, 3).Draw(t, "records") {
			payloads = append(payloads, fmt.Appendf(nil, "%d.%d", i, j))
		}
		offset, err := log.Append(context.Background(), "s", payloads)
		for j, payload := range payloads {
			switch {
			case err == nil:
				acked[string(payload)] = offset + namer.Offset(j)
			case errors.Is(err, connector.ErrUnknown):
				unknown[string(payload)] = true
			}
		}
	}
	platform.SetFaults(Faults{})
	var seen []string
	for next := namer.Offset(1); ; {
		batch, err := log.Read(context.Background(), "s", next, 4, 0)
		if err != nil || len(batch.Entries) == 0 {
			return errors.Join(err, checkHistory(seen, acked, unknown))
		}
		for _, entry := range batch.Entries {
			if entry.Offset != next {
				return fmt.Errorf("record %d is missing", next)
			}
			seen = append(seen, string(entry.Payload))
			next++
		}
	}
}

// checkHistory returns an error if an acknowledged record is not at its offset,
// a record was neither acknowledged nor of unknown outcome, or a record occurs
// twice.
func checkHistory(seen []string, acked map[string]namer.Offset, unknown map[string]bool) error {
	for payload, offset := range acked {
		if int(offset) > len(seen) || seen[offset-1] != payload {
			return fmt.Errorf("record %s is not at offset %d", payload, offset)
		}
	}
	for _, payload := range seen {
		if _, ok := acked[payload]; !ok && !unknown[payload] {
			return fmt.Errorf("record %s was read but never appended", payload)
		}
	}
	slices.Sort(seen)
	if len(slices.Compact(seen)) != len(seen) {
		return errors.New("a record occurs twice in the log")
	}
	return nil
}

// retryingLog repeats an append whose outcome is unknown. This is a fault: the
// record occurs twice if the first append took effect.
type retryingLog struct {
	connector.Log
}

func (l retryingLog) Append(ctx context.Context, stream string, payloads [][]byte) (namer.Offset, error) {
	offset, err := l.Log.Append(ctx, stream, payloads)
	if errors.Is(err, connector.ErrUnknown) {
		return l.Log.Append(ctx, stream, payloads)
	}
	return offset, err
}

func newHandlerLog() (*Platform, connector.Log) {
	platform := NewPlatform(Clock(timekeeper.NewFake(testTime)), AppendRate(0))
	return platform, connector.NewPlatform(newHandlerClient(platform.Handler()), "http://platform")
}

func TestLogKeepsWhatItAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform, log := newHandlerLog()
		if err := runRandomAppends(t, platform, log); err != nil {
			t.Fatal(err)
		}
	})
}

func TestLogPropertyFindsDoubledRecords(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		platform, log := newHandlerLog()
		found = runRandomAppends(t, platform, retryingLog{
			Log: log,
		}) != nil || found
	})
	qt.Check(t, found, qt.IsTrue)
}
