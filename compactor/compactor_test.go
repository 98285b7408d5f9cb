package compactor_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/compactor"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/timekeeper"
)

// retention is a log that keeps records for a while, and publishers that die.
type retention struct {
	t     *rapid.T
	clock *timekeeper.Fake
	log   *fakeLog
	// times holds when the record at offset i was appended, at i-1.
	times []time.Time
	state *replayer.State
	// dying publishers append half a snapshot, and never publish again.
	publishers []*compactor.Compactor
	dying      []bool
	dead       []bool
}

const (
	keptFor = 4 * time.Hour
	step    = 5 * time.Minute
)

func newRetention(t *rapid.T, members ...string) *retention {
	r := &retention{
		t:     t,
		clock: timekeeper.NewFake(time.Unix(0, 0)),
		state: replayer.New(replayer.PartSize(200)),
		dying: make([]bool, len(members)),
		dead:  make([]bool, len(members)),
	}
	r.log = &fakeLog{
		first: 1,
		appended: func(offset namer.Offset, payload []byte) {
			r.times = append(r.times, r.clock.Now())
			if record, err := recorder.Decode(payload); err == nil {
				r.state.Apply(offset, record)
			}
		},
	}
	for i, member := range members {
		r.publishers = append(r.publishers, compactor.New(member, r.log, r.state,
			compactor.Clock(r.clock),
			compactor.Members(func() []string { return []string{"a", "b", "c"} }),
			compactor.Oldest(func() namer.Offset { return r.log.first }),
			compactor.Append(func(_ context.Context, records ...recorder.Record) error {
				return r.append(i, records)
			})))
	}
	return r
}

func (r *retention) append(publisher int, records []recorder.Record) error {
	if r.dying[publisher] {
		r.dead[publisher] = true
		records = records[:len(records)/2]
	}
	var payloads [][]byte
	for _, record := range records {
		data, err := recorder.Encode(record)
		if err != nil {
			return err
		}
		payloads = append(payloads, data)
	}
	_, err := r.log.Append(context.Background(), recorder.StreamControl, payloads)
	return err
}

// pass lets a step pass. Publishers that died are replaced after an hour.
func (r *retention) pass(n int) {
	r.clock.Advance(step)
	for r.log.first < r.log.next() && r.clock.Now().Sub(r.times[r.log.first-1]) > keptFor {
		r.log.first++
	}
	if rapid.IntRange(0, 3).Draw(r.t, "write") == 0 {
		r.write(n)
	}
	if n%int(time.Hour/step) == 0 {
		clear(r.dead)
		// At least one publisher lives through the hour.
		for i := 1; i < len(r.dying); i++ {
			r.dying[i] = rapid.Bool().Draw(r.t, "dying")
		}
	}
	for i, publisher := range r.publishers {
		if r.dead[i] {
			continue
		}
		if _, err := publisher.Publish(context.Background()); err != nil {
			r.t.Fatal(err)
		}
	}
}

// write changes one of a few entries.
func (r *retention) write(n int) {
	key := fmt.Sprint("k", n%10)
	data, err := recorder.Encode(recorder.New(fmt.Sprint("r", n), "", r.clock.Now(), recorder.ConfigChange{
		Key:   key,
		Base:  r.state.Base(key),
		Value: []byte("1"),
	}))
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := r.log.Append(context.Background(), recorder.StreamControl, [][]byte{data}); err != nil {
		r.t.Fatal(err)
	}
}

// lateStart starts a process from the log alone.
func (r *retention) lateStart() error {
	state := replayer.New()
	next, err := compactor.New("late", r.log, state).Recover(context.Background())
	if err != nil && r.log.first == 1 {
		// Nothing was dropped yet: the whole log is there to be read.
		return nil
	}
	if err != nil {
		return err
	}
	if next < r.log.first {
		return errors.New("the snapshot has a gap after it")
	}
	return nil
}

// keep lets half a day pass and returns whether a late starter found a gap.
func keep(t *rapid.T, members ...string) error {
	r := newRetention(t, members...)
	for n := range int(12 * time.Hour / step) {
		r.pass(n)
		if n%4 > 0 {
			continue
		}
		if err := r.lateStart(); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
	}
	return nil
}

// What is in force can always be had from the log, although publishers die
// half-way, since the next one steps in.
func TestLateStartersFindASnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := keep(t, "a", "b", "c"); err != nil {
			t.Fatal(err)
		}
	})
}

func TestLateStartersFindASnapshotFindsSeededFault(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		// Nobody steps in for a publisher that is not there.
		if keep(t) != nil {
			found++
		}
	})
	qt.Assert(t, found > 0, qt.IsTrue)
}

// Of the members one publishes; each other steps in a term after the one before.
func TestPublishersTakeTurns(t *testing.T) {
	c := qt.New(t)
	var order []string
	for term := range 3 {
		for _, name := range []string{"a", "b", "c"} {
			clock := timekeeper.NewFake(time.Unix(0, 0))
			state := replayer.New()
			state.Apply(1, recorder.New("r", "", clock.Now(), recorder.Audit{}))
			published := 0
			publisher := compactor.New(name, nil, state,
				compactor.Clock(clock),
				compactor.Term(time.Second),
				compactor.Members(func() []string { return []string{"a", "b", "c"} }),
				compactor.Append(func(context.Context, ...recorder.Record) error {
					published++
					return nil
				}))
			for range term {
				_, err := publisher.Publish(context.Background())
				c.Assert(err, qt.IsNil)
				clock.Advance(time.Second)
			}
			before := published
			done, err := publisher.Publish(context.Background())
			c.Assert(err, qt.IsNil)
			if done && before == 0 {
				order = append(order, name)
			}
		}
	}
	c.Assert(order, qt.HasLen, 3)
	c.Assert(order[0] != order[1] && order[1] != order[2] && order[0] != order[2], qt.IsTrue)
}
