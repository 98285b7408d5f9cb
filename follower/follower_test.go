package follower_test

import (
	"context"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/follower"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/timekeeper"
)

func TestMain(m *testing.M) {
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		os.Stderr.WriteString(err.Error())
		code = 1
	}
	os.Exit(code)
}

// fakeLog holds count records from the offset first on, the last of an unknown
// kind. It is unreachable until upAt. Each answered read advances the clock by
// readTime.
type fakeLog struct {
	clock    *timekeeper.Fake
	first    namer.Offset
	count    int
	upAt     time.Time
	readTime time.Duration

	mu    sync.Mutex
	reads int
	// sent is the time at which the last answered read was sent.
	sent time.Time
}

func (l *fakeLog) Append(context.Context, string, [][]byte) (namer.Offset, error) {
	return 0, connector.ErrRefused
}

func (l *fakeLog) Read(ctx context.Context, _ string, from namer.Offset, limit int, wait time.Duration) (connector.Batch, error) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	batch := connector.Batch{
		First: l.first,
		Next:  l.first + namer.Offset(l.count),
	}
	switch {
	case l.clock.Now().Before(l.upAt):
		return connector.Batch{}, connector.ErrUnreachable
	case limit > 0 && from < l.first:
		return connector.Batch{}, connector.ErrTrimmed
	}
	sent := l.clock.Now()
	l.clock.Advance(l.readTime)
	for offset := from; offset < batch.Next && len(batch.Entries) < limit; offset++ {
		batch.Entries = append(batch.Entries, connector.Entry{
			Offset:  offset,
			Payload: payload(offset == batch.Next-1),
		})
	}
	if len(batch.Entries) == 0 && wait > 0 {
		<-ctx.Done()
		return connector.Batch{}, ctx.Err()
	}
	l.sent = sent
	return batch, nil
}

func payload(unknown bool) []byte {
	var body recorder.Body = recorder.Audit{}
	if unknown {
		body = recorder.Unknown{
			Name: "novelty",
			Raw:  []byte("1"),
		}
	}
	data, err := recorder.Encode(recorder.New("id", "writer", time.Unix(0, 0), body))
	if err != nil {
		panic(err)
	}
	return data
}

// runUntilCaughtUp runs the follower until it has caught up. It advances the clock
// while the follower sleeps.
func runUntilCaughtUp(f *follower.Follower, clock *timekeeper.Fake) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return f.Run(ctx)
	})
	for caught := false; !caught; {
		select {
		case <-f.CaughtUp():
			caught = true
		default:
			if clock.PendingTimers() > 0 {
				clock.Advance(10 * time.Millisecond)
			}
		}
	}
	cancel()
	_ = group.Wait()
}

// TestFollowerComesBackAfterAnOutage checks that the follower catches up soon
// after an outage, and reads less than once a second during it. The figures are
// recorded in docs/measures/agreement.md.
func TestFollowerComesBackAfterAnOutage(t *testing.T) {
	for _, outage := range []time.Duration{time.Minute, 10 * time.Minute} {
		t.Run(outage.String(), func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1000, 0)
			clock := timekeeper.NewFake(start)
			l := &fakeLog{
				clock: clock,
				first: 1,
				count: 1200,
				upAt:  start.Add(outage),
			}
			applied := 0
			f := follower.New(l, recorder.StreamControl, func(namer.Offset, recorder.Record) { applied++ },
				follower.Clock(clock))
			runUntilCaughtUp(f, clock)
			late := clock.Now().Sub(l.upAt)
			t.Logf("%d reads, caught up %v after the end of the outage", l.reads, late)
			c.Assert(applied, qt.Equals, l.count)
			// The longest pause is 5 s, randomised by up to half.
			c.Assert(late <= 7500*time.Millisecond, qt.IsTrue)
			c.Assert(l.reads < int(outage/time.Second), qt.IsTrue)
		})
	}
}

// TestFollowerCountsWhatItSkips checks that without a recovery the follower
// continues with the oldest record that is kept, and counts the records that it
// skipped.
func TestFollowerCountsWhatItSkips(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1000, 0))
	l := &fakeLog{
		clock:    clock,
		first:    11,
		count:    5,
		readTime: time.Second,
	}
	registry := prometheus.NewRegistry()
	var offsets []namer.Offset
	var last recorder.Kind
	f := follower.New(l, recorder.StreamClaims, func(offset namer.Offset, r recorder.Record) {
		offsets = append(offsets, offset)
		last = r.Body().Kind()
	}, follower.Clock(clock), follower.From(3), follower.Limit(2), follower.Metrics(registry))
	runUntilCaughtUp(f, clock)
	c.Assert(offsets, qt.DeepEquals, []namer.Offset{11, 12, 13, 14, 15})
	c.Assert(last, qt.Equals, recorder.Kind("novelty"))
	c.Assert(f.Position(), qt.Equals, namer.Offset(16))
	c.Assert(f.OldestOffset(), qt.Equals, namer.Offset(11))
	// The contact is the time at which the read was sent, not answered.
	c.Assert(f.LastContact(), qt.Equals, l.sent)
	c.Assert(metric(c, registry, "galenacove_follower_skipped_records_total"), qt.Equals, 8.0)
	c.Assert(metric(c, registry, "galenacove_follower_unknown_records_total"), qt.Equals, 1.0)
}

// TestFollowerStaysBeforeAGap checks that a follower with a recovery applies no
// record after a gap until the recovery succeeds.
func TestFollowerStaysBeforeAGap(t *testing.T) {
	c := qt.New(t)
	clock := timekeeper.NewFake(time.Unix(1000, 0))
	l := &fakeLog{
		clock: clock,
		first: 11,
		count: 5,
	}
	next, failure := namer.Offset(0), errors.New("no snapshot")
	f := follower.New(l, recorder.StreamControl, func(offset namer.Offset, _ recorder.Record) {
		c.Check(offset >= 13, qt.IsTrue)
	}, follower.Recovery(func(context.Context) (namer.Offset, error) {
		return next, failure
	}))
	c.Assert(f.Step(context.Background()), qt.ErrorIs, follower.ErrGap)
	c.Assert(f.Position(), qt.Equals, namer.Offset(1))

	next, failure = 13, nil
	c.Assert(f.Step(context.Background()), qt.IsNil)
	c.Assert(f.Position(), qt.Equals, namer.Offset(16))
}

func metric(c *qt.C, registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	c.Fatalf("no metric %s", name)
	return 0
}
