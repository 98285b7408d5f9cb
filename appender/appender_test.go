package appender_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/appender"
	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/follower"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/timekeeper"
)

// TestMain fixes the seed of the property tests, so that every run draws the
// same cases. The flag -rapid.seed still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		os.Stderr.WriteString(err.Error())
		code = 1
	}
	os.Exit(code)
}

// fakeLog is a log of one stream. Each append has the next fault of the list
// faults.
type fakeLog struct {
	mu       sync.Mutex
	payloads [][]byte
	appends  int
	faults   []string
	// changed is closed at the next append.
	changed chan struct{}
	// onFault is called during an append with the fault "abandon" or "lost for
	// good". The latter also sets unreachable, which fails all later appends.
	onFault     func()
	unreachable bool
	// hideLostAnswers is a seeded fault: a lost answer is reported as an
	// unreachable log, as if the records were certainly not appended.
	hideLostAnswers bool
}

func newFakeLog(faults ...string) *fakeLog {
	return &fakeLog{
		faults:  faults,
		changed: make(chan struct{}),
		onFault: func() {},
	}
}

func (l *fakeLog) Append(_ context.Context, _ string, payloads [][]byte) (namer.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	fault := ""
	if len(l.faults) > 0 {
		fault = l.faults[0]
		l.faults = l.faults[1:]
	}
	if l.unreachable {
		return 0, connector.ErrUnreachable
	}
	switch fault {
	case "down":
		return 0, connector.ErrUnreachable
	case "busy":
		return 0, connector.ErrRateLimited
	case "lost request":
		return 0, connector.ErrUnknown
	case "abandon":
		l.onFault()
	case "lost for good":
		l.onFault()
		l.unreachable = true
	}
	first := namer.Offset(len(l.payloads)) + 1
	l.payloads = append(l.payloads, payloads...)
	close(l.changed)
	l.changed = make(chan struct{})
	switch {
	case !strings.HasPrefix(fault, "lost"):
		return first, nil
	case l.hideLostAnswers:
		return 0, connector.ErrUnreachable
	default:
		return 0, connector.ErrUnknown
	}
}

func (l *fakeLog) Read(ctx context.Context, _ string, from namer.Offset, limit int, _ time.Duration) (connector.Batch, error) {
	for {
		l.mu.Lock()
		batch := connector.Batch{
			First: 1,
			Next:  namer.Offset(len(l.payloads)) + 1,
		}
		for offset := from; offset < batch.Next && len(batch.Entries) < limit; offset++ {
			batch.Entries = append(batch.Entries, connector.Entry{
				Offset:  offset,
				Payload: l.payloads[offset-1],
			})
		}
		changed := l.changed
		l.mu.Unlock()
		if len(batch.Entries) > 0 {
			return batch, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return connector.Batch{}, ctx.Err()
		}
	}
}

// ids returns the identities of the records in the log.
func (l *fakeLog) ids() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for _, payload := range l.payloads {
		record, err := recorder.Decode(payload)
		if err != nil {
			panic(err)
		}
		ids = append(ids, record.ID())
	}
	return ids
}

// whileRunning calls f while the appender runs.
func whileRunning(a *appender.Appender, f func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return a.Run(ctx)
	})
	f()
	cancel()
	_ = group.Wait()
}

func newAppender(l connector.Log, opts ...appender.Option) *appender.Appender {
	opts = append([]appender.Option{
		appender.Budget(1e6),
		appender.Backoff(time.Microsecond, 10*time.Microsecond),
	}, opts...)
	return appender.New(l, opts...)
}

func auditRecord(id string) recorder.Record {
	return recorder.New(id, "writer", time.Unix(0, 0), recorder.Audit{
		Who: "anna",
	})
}

// transientFaults are the faults after which the log works again. An empty fault
// is a successful append.
var transientFaults = []string{"", "", "down", "busy", "lost request", "lost answer"}

// appendUnderFaults makes several writers append under faults. Some of the faults
// end the writers' context. It returns an error if a writer's result contradicts
// the content of the log.
func appendUnderFaults(t *rapid.T, hideLostAnswers bool) error {
	l := newFakeLog(rapid.SliceOfN(rapid.SampledFrom(append(transientFaults, "abandon", "lost for good")), 0, 12).Draw(t, "faults")...)
	l.hideLostAnswers = hideLostAnswers
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.onFault = cancel
	a := newAppender(l)
	writers := rapid.IntRange(1, 8).Draw(t, "writers")
	results := make([]error, writers)
	whileRunning(a, func() {
		var group errgroup.Group
		for i := range writers {
			group.Go(func() error {
				results[i] = a.Append(ctx, appender.Priority(i%5), recorder.StreamControl, auditRecord(fmt.Sprint(i)))
				return nil
			})
		}
		_ = group.Wait()
	})
	ids := l.ids()
	for i, err := range results {
		inLog := slices.Contains(ids, fmt.Sprint(i))
		switch {
		case err == nil && !inLog:
			return fmt.Errorf("record %d was reported as appended, but is not in the log", i)
		case errors.Is(err, appender.ErrUnavailable) && inLog:
			return fmt.Errorf("record %d was reported as not appended, but is in the log", i)
		case err != nil && !errors.Is(err, appender.ErrUnavailable) && !errors.Is(err, appender.ErrUnknown):
			return err
		}
	}
	return nil
}

// TestAppendTellsWhatTheLogHolds checks that the results of appends never
// contradict the content of the log, and that appendUnderFaults finds a log
// that hides lost answers.
func TestAppendTellsWhatTheLogHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := appendUnderFaults(t, false); err != nil {
			t.Fatal(err)
		}
	})
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		if appendUnderFaults(t, true) != nil {
			found++
		}
	})
	qt.Assert(t, found > 0, qt.IsTrue)
}

// commitRace makes several operators change the same configuration key, each
// starting from the same earlier version. It returns an error if their verdicts
// contradict the state. With the seeded fault lastWins, the state accepts every
// change.
func commitRace(t *rapid.T, lastWins bool) error {
	l := newFakeLog(rapid.SliceOfN(rapid.SampledFrom(transientFaults), 0, 8).Draw(t, "faults")...)
	state := replayer.New()
	f := follower.New(l, recorder.StreamControl, func(offset namer.Offset, r recorder.Record) {
		if change, ok := r.Body().(recorder.ConfigChange); ok && lastWins {
			change.Base = state.Base(change.Key)
			r = recorder.New(r.ID(), r.Writer(), r.CreatedAt(), change)
		}
		state.Apply(offset, r)
	})
	a := newAppender(l)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var followerGroup errgroup.Group
	followerGroup.Go(func() error {
		return f.Run(ctx)
	})
	operators := rapid.IntRange(2, 6).Draw(t, "operators")
	verdicts := make([]replayer.Verdict, operators)
	var err error
	whileRunning(a, func() {
		var group errgroup.Group
		for i := range operators {
			group.Go(func() error {
				record := recorder.New(fmt.Sprint("set", i), "entry", time.Unix(0, 0), recorder.ConfigChange{
					Key:      "k",
					Value:    []byte(fmt.Sprint(i)),
					Operator: fmt.Sprint(i),
				})
				var err error
				verdicts[i], err = a.Commit(ctx, appender.PriorityConfig, record, state)
				return err
			})
		}
		err = group.Wait()
	})
	cancel()
	_ = followerGroup.Wait()
	if err != nil {
		return err
	}
	return checkRace(state, verdicts)
}

// checkRace checks that one operator won and that the verdicts of the others name
// the winner.
func checkRace(state *replayer.State, verdicts []replayer.Verdict) error {
	setting, _ := state.Config("k")
	for i, verdict := range verdicts {
		id, who, at := verdict.Winner()
		switch {
		case verdict.Accepted() != (setting.Operator() == fmt.Sprint(i)):
			return fmt.Errorf("operator %d: accepted is %v, but %s is in force", i, verdict.Accepted(), setting.Value())
		case verdict.Accepted():
		case who != setting.Operator() || id != "set"+who || at != setting.Offset() || verdict.Reason() == "":
			return fmt.Errorf("operator %d was told that %q of %q won at %d", i, id, who, at)
		}
	}
	return nil
}

// TestCommitHasOneWinner checks that one of several operators wins who change the
// same configuration key from the same earlier version, and that commitRace finds
// a state that accepts every change.
func TestCommitHasOneWinner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := commitRace(t, false); err != nil {
			t.Fatal(err)
		}
	})
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		if commitRace(t, true) != nil {
			found++
		}
	})
	qt.Assert(t, found > 0, qt.IsTrue)
}

// TestCommitNamesTheUnknownRecord checks that, if a record is not read back in
// time, the error of Commit names the record, so that the operator can look up
// its outcome.
func TestCommitNamesTheUnknownRecord(t *testing.T) {
	c := qt.New(t)
	l := newFakeLog()
	a := newAppender(l)
	ctx, cancel := context.WithCancel(context.Background())
	l.faults = []string{"abandon"}
	l.onFault = cancel
	whileRunning(a, func() {
		_, err := a.Commit(ctx, appender.PriorityConfig, auditRecord("n"), replayer.New())
		var unknown *appender.UnknownError
		c.Assert(errors.As(err, &unknown), qt.IsTrue)
		c.Assert(unknown.ID, qt.Equals, "n")
		c.Assert(err, qt.ErrorIs, appender.ErrUnknown)
	})
}

// TestAppendsAreShared checks that records that wait for the budget share an
// append. The figures are recorded in docs/measures/agreement.md.
func TestAppendsAreShared(t *testing.T) {
	c := qt.New(t)
	l := newFakeLog()
	clock := timekeeper.NewFake(time.Unix(0, 0))
	a := appender.New(l, appender.Clock(clock))
	a.SetBudget(10)
	const records = 1000
	whileRunning(a, func() {
		var group errgroup.Group
		for i := range records {
			group.Go(func() error {
				return a.Append(context.Background(), appender.PriorityJob, recorder.StreamControl, auditRecord(fmt.Sprint(i)))
			})
		}
		done := make(chan struct{})
		var ticker errgroup.Group
		ticker.Go(func() error {
			for {
				select {
				case <-done:
					return nil
				default:
					clock.Advance(time.Millisecond)
				}
			}
		})
		c.Assert(group.Wait(), qt.IsNil)
		close(done)
		_ = ticker.Wait()
	})
	c.Assert(l.ids(), qt.HasLen, records)
	t.Logf("%d records in %d appends", records, l.appends)
	c.Assert(l.appends < records/10, qt.IsTrue)
}
