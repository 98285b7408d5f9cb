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

// identity returns a UUIDv7 issued at the time.
func identity(at time.Time, n int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

// fakeLog keeps the records of one stream. It is used by one goroutine, save
// for the ends, which are held back until they are let in.
type fakeLog struct {
	records []recorder.Record
	// next is what happens to the next append.
	next func(r recorder.Record) error
	ends chan recorder.Record
}

// Append implements Appender.
func (l *fakeLog) Append(_ context.Context, _ appender.Priority, _ string, r recorder.Record) error {
	if _, ok := r.Body().(recorder.ClaimEnd); ok {
		l.ends <- r
		return nil
	}
	return l.next(r)
}

// emptyLog is a log for a follower that only has to catch up once.
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

// catchUp lets the claimer's follower meet the end of the stream.
func catchUp(c *Claimer) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return c.follower.Run(ctx) })
	<-c.follower.Caught()
	cancel()
	// The end of the context is the only one.
	_ = group.Wait()
}

// entry is a claimer and how far it has read.
type entry struct {
	claimer *Claimer
	read    int
}

func (e *entry) catchUp(l *fakeLog) {
	for ; e.read < len(l.records); e.read++ {
		e.claimer.apply(namer.Offset(e.read+1), l.records[e.read])
	}
}

// errDoubled is what the property finds under a fault.
var errDoubled = errors.New("two entries may run one request")

// claimAtRandom lets three entries claim two identities, with lost answers,
// repeats, and ends, in a random order. It fails if two may run one request.
func claimAtRandom(t *rapid.T, loose bool) error {
	clock := timekeeper.NewFake(start)
	l := &fakeLog{
		ends: make(chan recorder.Record, 1000),
	}
	entries := make([]*entry, 3)
	for i := range entries {
		c := New(fmt.Sprintf("entry-%d", i), emptyLog{}, l, Clock(clock))
		c.table.loose = loose
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
			e.catchUp(l)
		case 1:
			if len(l.records) > 0 {
				l.records = append(l.records, rapid.SampledFrom(l.records).Draw(t, "repeat"))
			}
		case 2:
			select {
			case r := <-l.ends:
				l.records = append(l.records, r)
			default:
			}
		case 3:
			if e.claimer.won[request] != "" {
				runs[request]--
				e.claimer.End(request, recorder.NotRun)
				_ = e.claimer.ends.Wait()
			}
		default:
			if !claimOnce(t, l, e, request) {
				continue
			}
			runs[request]++
			if runs[request] > 1 {
				return errDoubled
			}
		}
	}
	return nil
}

// claimOnce claims, and reports whether the claim was won.
func claimOnce(t *rapid.T, l *fakeLog, e *entry, request string) bool {
	how := rapid.SampledFrom([]int{0, 1, 2, 3, 3, 3, 3}).Draw(t, "append")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.next = func(r recorder.Record) error {
		switch how {
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
			e.catchUp(l)
			return nil
		}
	}
	verdict, err := e.claimer.Claim(ctx, request)
	_ = e.claimer.ends.Wait()
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

func TestPropertyFindsLooseClaims(t *testing.T) {
	c := qt.New(t)
	found := 0
	search := rapid.Custom(func(t *rapid.T) error { return claimAtRandom(t, true) })
	for seed := range 1000 {
		if errors.Is(search.Example(seed), errDoubled) {
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
			request: identity(start.Add(2*skew), 1),
			want:    router.ErrExpired,
		},
		{
			name:    "log out of reach",
			request: identity(start, 1),
			prepare: func(_ *Claimer, clock *timekeeper.Fake) { clock.Advance(silence + time.Second) },
			want:    router.ErrNotClaimed,
		},
		{
			name:    "records passed over",
			request: identity(start, 1),
			prepare: func(cl *Claimer, _ *timekeeper.Fake) {
				for _, offset := range []namer.Offset{1, 3} {
					cl.apply(offset, recorder.New(fmt.Sprint(offset), "e", start, recorder.Claim{}))
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
			l.next = func(r recorder.Record) error {
				cl.apply(cl.table.last+1, r)
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
			cl.apply(cl.table.last+1, recorder.New("end", "entry-0", start, recorder.ClaimEnd{
				Request: test.request,
				Claim:   cl.won[test.request],
				Outcome: recorder.Done,
			}))
			verdict, err = cl.Claim(t.Context(), test.request)
			c.Assert(err, qt.IsNil)
			c.Check(verdict, qt.Equals, router.Verdict{
				Outcome: recorder.Done,
			})
			clock.Advance(defaultLifetime + 3*skew)
			cl.expire(clock.Now())
			c.Check(len(cl.table.claims)+len(cl.table.seen)+len(cl.table.recent), qt.Equals, 0)
		})
	}
}
