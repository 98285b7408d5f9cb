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

// retentionSimulation simulates a log that drops records after retentionPeriod,
// and publishers that die while they publish.
type retentionSimulation struct {
	t     *rapid.T
	clock *timekeeper.Fake
	log   *fakeLog
	// times[i-1] is the time at which the record at offset i was appended.
	times []time.Time
	state *replayer.State
	// dying and dead are by index of publishers. A publisher that is dying appends
	// half of its next snapshot and is then dead: it publishes nothing until it is
	// replaced.
	publishers []*compactor.Compactor
	dying      []bool
	dead       []bool
}

const (
	retentionPeriod = 4 * time.Hour
	stepLength      = 5 * time.Minute
)

func newRetentionSimulation(t *rapid.T, members ...string) *retentionSimulation {
	r := &retentionSimulation{
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
			compactor.OldestOffset(func() namer.Offset { return r.log.first }),
			compactor.Append(func(_ context.Context, records ...recorder.Record) error {
				return r.append(i, records)
			})))
	}
	return r
}

func (r *retentionSimulation) append(publisher int, records []recorder.Record) error {
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

// advance simulates one step of stepLength. Dead publishers are replaced every
// hour.
func (r *retentionSimulation) advance(step int) {
	r.clock.Advance(stepLength)
	for r.log.first < r.log.next() && r.clock.Now().Sub(r.times[r.log.first-1]) > retentionPeriod {
		r.log.first++
	}
	if rapid.IntRange(0, 3).Draw(r.t, "write") == 0 {
		r.writeConfig(step)
	}
	if step%int(time.Hour/stepLength) == 0 {
		clear(r.dead)
		// The first publisher never dies.
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

// writeConfig changes one of ten entries.
func (r *retentionSimulation) writeConfig(step int) {
	key := fmt.Sprint("k", step%10)
	data, err := recorder.Encode(recorder.New(fmt.Sprint("r", step), "", r.clock.Now(), recorder.ConfigChange{
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

// checkLateStart starts a process from the log alone. It returns an error if the
// log has dropped records and the process finds no snapshot, or if the log has
// dropped a record that follows the snapshot.
func (r *retentionSimulation) checkLateStart() error {
	state := replayer.New()
	next, err := compactor.New("late", r.log, state).Recover(context.Background())
	if err != nil && r.log.first == 1 {
		// No record was dropped yet, so the log can be read from its start.
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

// simulateHalfDay simulates half a day, and starts a process from the log every
// fourth step. It returns an error if one of these cannot restore the state.
func simulateHalfDay(t *rapid.T, members ...string) error {
	r := newRetentionSimulation(t, members...)
	for n := range int(12 * time.Hour / stepLength) {
		r.advance(n)
		if n%4 > 0 {
			continue
		}
		if err := r.checkLateStart(); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
	}
	return nil
}

// TestLateStartersFindASnapshot checks that a process can restore the state
// from the log at any time, although publishers die while they publish: the
// member ranked next publishes instead.
func TestLateStartersFindASnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulateHalfDay(t, "a", "b", "c"); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLateStartersFindASnapshotFindsSeededFault checks that simulateHalfDay
// returns an error if nobody publishes.
func TestLateStartersFindASnapshotFindsSeededFault(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		// Without publishers no snapshot is in the log.
		if simulateHalfDay(t) != nil {
			found++
		}
	})
	qt.Assert(t, found > 0, qt.IsTrue)
}

// TestPublishersTakeTurns checks that one member publishes as soon as a
// snapshot is due, and each other member one term after the member ranked
// before it.
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
