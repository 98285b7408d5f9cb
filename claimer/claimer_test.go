package claimer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/appender"
	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/router"
	"github.com/galenacove/galenacove/timekeeper"
)

var start = time.Unix(1_800_000_000, 0)

// identity returns a UUIDv7 issued at the given time.
func identity(issuedAt time.Time, n int) string {
	ms := issuedAt.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

// fakeLog keeps the records of one stream. Only the test's goroutine uses it,
// except that claimers append the ends of claims on other goroutines. These
// ends stay in pendingEnds until the test moves them to records.
type fakeLog struct {
	records []recorder.Record
	// onAppend handles the next append of a claim.
	onAppend func(r recorder.Record) error
	// pendingEnds holds the ends that were appended but are not in records yet.
	pendingEnds chan recorder.Record
}

// Append implements Appender.
func (l *fakeLog) Append(_ context.Context, _ appender.Priority, _ string, r recorder.Record) error {
	if _, ok := r.Body().(recorder.ClaimEnd); ok {
		l.pendingEnds <- r
		return nil
	}
	return l.onAppend(r)
}

// emptyLog is a log without records, for a follower that only has to catch up
// once.
type emptyLog struct {
	connector.Log
}

// Read implements connector.Log.
func (emptyLog) Read(context.Context, string, namer.Offset, int, time.Duration) (connector.Batch, error) {
	return connector.Batch{
		First: 1,
		Next:  1,
	}, nil
}

// catchUp runs the claimer's follower until it has reached the end of the
// stream.
func catchUp(c *Claimer) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return c.follower.Run(ctx) })
	<-c.follower.CaughtUp()
	cancel()
	// Run returns only the context's error.
	_ = group.Wait()
}

// entry is a claimer and the index of the next record that it reads.
type entry struct {
	claimer    *Claimer
	nextRecord int
}

func (e *entry) applyNewRecords(l *fakeLog) {
	for ; e.nextRecord < len(l.records); e.nextRecord++ {
		e.claimer.applyRecord(namer.Offset(e.nextRecord+1), l.records[e.nextRecord])
	}
}

// errDoubleRun is returned by claimAtRandom if two entries may run one request.
var errDoubleRun = errors.New("two entries may run one request")

// claimAtRandom lets three entries claim two identities in a random order, with
// lost answers, records that are appended twice, and ends.
func claimAtRandom(t *rapid.T, seededFault bool) error {
	clock := timekeeper.NewFake(start)
	l := &fakeLog{
		pendingEnds: make(chan recorder.Record, 1000),
	}
	entries := make([]*entry, 3)
	for i := range entries {
		c := New(fmt.Sprintf("entry-%d", i), emptyLog{}, l, Clock(clock))
		c.table.seededFault = seededFault
		catchUp(c)
		entries[i] = &entry{
			claimer: c,
		}
	}
	runs := make(map[string]int)
	for range rapid.IntRange(20, 60).Draw(t, "steps") {
		e := entries[rapid.IntRange(0, 2).Draw(t, "entry")]
		request := identity(start, rapid.IntRange(0, 1).Draw(t, "request"))
		switch rapid.IntRange(0, 4).Draw(t, "step") {
		case 0:
			e.applyNewRecords(l)
		case 1:
			if len(l.records) > 0 {
				l.records = append(l.records, rapid.SampledFrom(l.records).Draw(t, "repeat"))
			}
		case 2:
			select {
			case r := <-l.pendingEnds:
				l.records = append(l.records, r)
			default:
			}
		case 3:
			if e.claimer.wonRecords[request] != "" {
				runs[request]--
				e.claimer.End(request, recorder.NotRun)
				_ = e.claimer.endAppends.Wait()
			}
		default:
			if !claimOnce(t, l, e, request) {
				continue
			}
			runs[request]++
			if runs[request] > 1 {
				return errDoubleRun
			}
		}
	}
	return nil
}

// claimOnce makes a claim, whose append has a random outcome, and reports
// whether it was won.
func claimOnce(t *rapid.T, l *fakeLog, e *entry, request string) bool {
	answer := rapid.SampledFrom([]int{0, 1, 2, 3, 3, 3, 3}).Draw(t, "append")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.onAppend = func(r recorder.Record) error {
		switch answer {
		case 0:
			return appender.ErrUnavailable
		case 1:
			l.records = append(l.records, r)
			return errors.WithStack(appender.ErrUnknown)
		case 2:
			l.records = append(l.records, r)
			cancel()
			return nil
		default:
			l.records = append(l.records, r)
			e.applyNewRecords(l)
			return nil
		}
	}
	verdict, err := e.claimer.Claim(ctx, request)
	_ = e.claimer.endAppends.Wait()
	if err != nil && !errors.Is(err, router.ErrNotClaimed) {
		t.Fatal(err)
	}
	return verdict.Won
}

func TestOneEntryWinsAClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := claimAtRandom(t, false); err != nil {
			t.Fatal(err)
		}
	})
}

func TestPropertyFindsSeededFault(t *testing.T) {
	c := qt.New(t)
	found := 0
	search := rapid.Custom(func(t *rapid.T) error { return claimAtRandom(t, true) })
	for seed := range 1000 {
		if errors.Is(search.Example(seed), errDoubleRun) {
			found++
		}
	}
	c.Check(found > 0, qt.IsTrue)
}

func TestClaimsThatAreRefused(t *testing.T) {
	tests := []struct {
		name    string
		request string
		prepare func(*Claimer, *timekeeper.Fake)
		want    error
	}{
		{
			name:    "fresh",
			request: identity(start, 1),
		},
		{
			name:    "no UUID",
			request: "payout-7",
			want:    router.ErrIdentity,
		},
		{
			name:    "UUID without a time",
			request: "7f3c0b1e-0000-4000-8000-000000000000",
			want:    router.ErrIdentity,
		},
		{
			name:    "too old",
			request: identity(start.Add(-defaultLifetime-time.Second), 1),
			want:    router.ErrExpired,
		},
		{
			name:    "ahead of the clock",
			request: identity(start.Add(2*maxClockSkew), 1),
			want:    router.ErrExpired,
		},
		{
			name:    "log out of reach",
			request: identity(start, 1),
			prepare: func(_ *Claimer, clock *timekeeper.Fake) { clock.Advance(maxLogSilence + time.Second) },
			want:    router.ErrNotClaimed,
		},
		{
			name:    "records passed over",
			request: identity(start, 1),
			prepare: func(cl *Claimer, _ *timekeeper.Fake) {
				for _, offset := range []namer.Offset{1, 3} {
					cl.applyRecord(offset, recorder.New(fmt.Sprint(offset), "e", start, recorder.Claim{}))
				}
			},
			want: router.ErrNotClaimed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			clock := timekeeper.NewFake(start)
			l := &fakeLog{}
			cl := New("entry-0", emptyLog{}, l, Clock(clock))
			l.onAppend = func(r recorder.Record) error {
				cl.applyRecord(cl.table.lastOffset+1, r)
				return nil
			}
			_, err := cl.Claim(t.Context(), test.request)
			c.Check(err != nil, qt.IsTrue, qt.Commentf("claimed before the stream was read"))
			catchUp(cl)
			if test.prepare != nil {
				test.prepare(cl, clock)
			}
			verdict, err := cl.Claim(t.Context(), test.request)
			if test.want != nil {
				c.Check(err, qt.ErrorIs, test.want)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(verdict.Won, qt.IsTrue)
			cl.applyRecord(cl.table.lastOffset+1, recorder.New("end", "entry-0", start, recorder.ClaimEnd{
				Request: test.request,
				Claim:   cl.wonRecords[test.request],
				Outcome: recorder.Done,
			}))
			verdict, err = cl.Claim(t.Context(), test.request)
			c.Assert(err, qt.IsNil)
			c.Check(verdict, qt.Equals, router.Verdict{
				Outcome: recorder.Done,
			})
			clock.Advance(defaultLifetime + 3*maxClockSkew)
			cl.expire(clock.Now())
			c.Check(len(cl.table.claims)+len(cl.table.readIDs)+len(cl.table.readRecords), qt.Equals, 0)
		})
	}
}
