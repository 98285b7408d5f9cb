package compactor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/compactor"
	"github.com/galenacove/galenacove/follower"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
)

// seededFault is a fault that the property has to find.
type seededFault int

const (
	noFault seededFault = iota
	// lastWins lets a replica take every change as based on the latest.
	lastWins
	// skipsGap lets a replica go on after records that it never read.
	skipsGap
	// goesBack lets a replica take an older snapshot from a peer.
	goesBack
	// takesHalf lets a replica take an unfinished snapshot for a whole one.
	takesHalf
)

const replicaCount = 3

// replica is one process. It keeps nothing over a restart.
type replica struct {
	name      string
	state     *replayer.State
	follower  *follower.Follower
	compactor *compactor.Compactor
	// reached is the highest offset of this life.
	reached namer.Offset
}

// world is a log, and replicas that follow it. The reference applies every
// record as it is appended.
type world struct {
	t         *rapid.T
	fault     seededFault
	clock     *timekeeper.Fake
	log       *fakeLog
	caller    *directCaller
	replicas  []*replica
	reference *replayer.State
	// digests holds the reference's fingerprint at each offset.
	digests []string
	// records holds every encoded record but snapshots, whether or not it was
	// appended, changes the configuration changes by identity.
	records [][]byte
	changes map[string]recorder.ConfigChange
	jobs    []string
	count   int
	// older is a snapshot that a replica made a while ago.
	older []recorder.Snapshot
	seen  tally
	err   error
}

// tally counts what a history must have met for the property to say anything.
type tally struct {
	whole, half, fromLog, fromPeer int
}

func newWorld(t *rapid.T, fault seededFault) *world {
	w := &world{
		t:         t,
		fault:     fault,
		clock:     timekeeper.NewFake(time.Unix(0, 0)),
		reference: replayer.New(),
		changes:   make(map[string]recorder.ConfigChange),
		caller: &directCaller{
			receivers: make(map[string]any),
			cut:       make(map[string]bool),
		},
	}
	w.log = &fakeLog{
		first:    1,
		appended: w.observe,
	}
	w.digests = []string{fingerprint(w.reference)}
	for i := range replicaCount {
		w.replicas = append(w.replicas, w.start(i))
	}
	return w
}

// observe applies a record to the reference.
func (w *world) observe(offset namer.Offset, payload []byte) {
	record, err := recorder.Decode(payload)
	if err != nil {
		record = recorder.Unreadable(fmt.Sprintf("unreadable@%d", offset), payload)
	}
	w.reference.Apply(offset, record)
	w.digests = append(w.digests, fingerprint(w.reference))
}

// start begins a new life of a replica.
func (w *world) start(i int) *replica {
	r := &replica{
		name:  fmt.Sprintf("entry%d", i),
		state: replayer.New(replayer.PartSize(400)),
	}
	r.compactor = compactor.New(r.name, w.log, r.state,
		compactor.Clock(w.clock),
		compactor.Interval(time.Minute, 20),
		compactor.Term(10*time.Second),
		compactor.Members(func() []string { return []string{"entry0", "entry1", "entry2"} }),
		compactor.Peers(func() []string { return []string{"entry2", "entry1", "entry0"} }, w.caller),
		compactor.Oldest(func() namer.Offset { return r.follower.Oldest() }),
		compactor.Append(w.publish),
	)
	r.follower = follower.New(w.log, recorder.StreamControl, w.applier(i, r),
		follower.Clock(w.clock),
		follower.Limit(rapid.IntRange(1, 10).Draw(w.t, "limit")),
		follower.Recovery(w.recovery(i, r)),
	)
	w.caller.receivers[r.name] = r.compactor.Receiver()
	return r
}

func (w *world) applier(i int, r *replica) func(namer.Offset, recorder.Record) {
	return func(offset namer.Offset, record recorder.Record) {
		change, ok := record.Body().(recorder.ConfigChange)
		if ok && w.fault == lastWins && i == 1 {
			change.Base = r.state.Base(change.Key)
			record = recorder.New(record.ID(), record.Writer(), record.At(), change)
		}
		r.state.Apply(offset, record)
	}
}

func (w *world) recovery(i int, r *replica) follower.Recover {
	return func(ctx context.Context) (namer.Offset, error) {
		switch {
		case w.fault == skipsGap && i == 1 && !w.log.down:
			return w.log.first, nil
		case w.fault == takesHalf && i == 1:
			parts, err := w.replicas[0].state.Snapshot()
			if err != nil || len(parts) < 2 {
				return 0, compactor.ErrNoSnapshot
			}
			if err := r.state.Restore(renumber(parts)...); err != nil {
				return 0, err
			}
			return r.state.Offset() + 1, nil
		default:
			next, err := r.compactor.Recover(ctx)
			switch {
			case err != nil:
			case w.log.down:
				w.seen.fromPeer++
			default:
				w.seen.fromLog++
			}
			return next, err
		}
	}
}

// publish appends a snapshot, whole or but half of it, and may lose the answer.
func (w *world) publish(ctx context.Context, records ...recorder.Record) error {
	kept := records[:rapid.IntRange(0, len(records)).Draw(w.t, "kept")]
	if rapid.Bool().Draw(w.t, "whole") {
		kept = records
	}
	var payloads [][]byte
	for _, record := range kept {
		data, err := recorder.Encode(record)
		if err != nil {
			return err
		}
		payloads = append(payloads, data)
	}
	if len(payloads) > 0 {
		if _, err := w.log.Append(ctx, recorder.StreamControl, payloads); err != nil {
			return err
		}
	}
	if len(kept) < len(records) {
		w.seen.half++
	} else {
		w.seen.whole++
	}
	if len(kept) < len(records) || rapid.Bool().Draw(w.t, "lost") {
		return errors.New("the answer was lost")
	}
	return nil
}

// write appends a record, or only makes it: a writer may append it later.
func (w *world) write(body recorder.Body) {
	w.count++
	id := fmt.Sprintf("r%d", w.count)
	if change, ok := body.(recorder.ConfigChange); ok {
		w.changes[id] = change
	}
	data, err := recorder.Encode(recorder.New(id, "writer", w.clock.Now(), body))
	w.fail(err)
	w.records = append(w.records, data)
	if rapid.IntRange(0, 4).Draw(w.t, "kept back") > 0 {
		// A log that is down refuses it, and the writer gives up for now.
		_, _ = w.log.Append(context.Background(), recorder.StreamControl, [][]byte{data})
	}
}

func (w *world) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *world) draw() *replica {
	return w.replicas[rapid.IntRange(0, replicaCount-1).Draw(w.t, "replica")]
}

func (w *world) setConfig(*rapid.T) {
	r := w.draw()
	key := fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(w.t, "key"))
	value := json.RawMessage(nil)
	if rapid.IntRange(0, 4).Draw(w.t, "remove") > 0 {
		value = json.RawMessage(fmt.Sprint(w.count))
	}
	w.write(recorder.ConfigChange{
		Key:      key,
		Base:     r.state.Base(key),
		Value:    value,
		Operator: r.name,
	})
}

func (w *world) setMembers(*rapid.T) {
	r := w.draw()
	last, _, _ := r.state.Membership("here")
	w.write(recorder.Membership{
		DataCentre: "here",
		Epoch:      last.Epoch + 1,
		Members: []recorder.Member{
			{
				Name:  r.name,
				Peers: r.name,
			},
		},
	})
}

func (w *world) submitJob(*rapid.T) {
	id := fmt.Sprintf("job%d", len(w.jobs))
	w.jobs = append(w.jobs, id)
	w.write(recorder.Job{
		ID:         id,
		Team:       "omuti",
		Policy:     recorder.Batch,
		Tasks:      3,
		Size:       sizer.New(1000, 1<<20, 0),
		DataCentre: "here",
	})
}

func (w *world) changeJob(*rapid.T) {
	if len(w.jobs) == 0 {
		return
	}
	id := rapid.SampledFrom(w.jobs).Draw(w.t, "job")
	switch rapid.IntRange(0, 3).Draw(w.t, "change") {
	case 0:
		w.write(recorder.JobCancel{
			Job:      id,
			Operator: "anna",
		})
	case 1:
		w.write(recorder.JobEnd{
			Job:     id,
			Outcome: recorder.Failed,
		})
	default:
		w.write(recorder.JobProgress{
			Job:      id,
			Finished: []int{rapid.IntRange(0, 3).Draw(w.t, "task")},
		})
	}
}

// writeOdd appends what this version cannot read.
func (w *world) writeOdd(*rapid.T) {
	if rapid.Bool().Draw(w.t, "garbage") {
		_, _ = w.log.Append(context.Background(), recorder.StreamControl, [][]byte{[]byte("{")})
		return
	}
	w.write(recorder.Unknown{
		Name: "novelty",
		Raw:  json.RawMessage(`{"a":1}`),
	})
}

// writeAgain appends a record once more, as after a lost answer.
func (w *world) writeAgain(*rapid.T) {
	if len(w.records) == 0 {
		return
	}
	data := rapid.SampledFrom(w.records).Draw(w.t, "record")
	_, _ = w.log.Append(context.Background(), recorder.StreamControl, [][]byte{data})
}

// step lets a replica read once, through a fault of the log or of its peers.
func (w *world) step(*rapid.T) {
	r := w.draw()
	w.log.repeat = rapid.IntRange(0, 5).Draw(w.t, "repeat")
	w.log.gap = rapid.IntRange(0, 4).Draw(w.t, "gap") == 0
	w.stepPlainly(r)
}

func (w *world) stepPlainly(r *replica) {
	// A replica that reaches nobody tries again later.
	_ = r.follower.Step(context.Background())
	w.log.repeat = 0
	w.log.gap = false
	if w.fault == goesBack && r == w.replicas[1] {
		w.takeOlder(r)
	}
}

// takeOlder seeds the fault of a replica that trusts any snapshot.
func (w *world) takeOlder(r *replica) {
	if w.older == nil {
		w.older, _ = w.replicas[0].state.Snapshot()
		return
	}
	back := replayer.New(replayer.PartSize(400))
	if back.Restore(w.older...) == nil && back.Offset() < r.state.Offset() {
		r.state = back
	}
}

// age lets the log drop records that at least the first replica has read.
func (w *world) age(*rapid.T) {
	newest := min(w.replicas[0].follower.Position(), w.log.next())
	if newest > w.log.first {
		w.log.first = namer.Offset(rapid.Uint64Range(uint64(w.log.first), uint64(newest)).Draw(w.t, "first"))
	}
}

// restart ends the life of a replica other than the first.
func (w *world) restart(*rapid.T) {
	i := rapid.IntRange(1, replicaCount-1).Draw(w.t, "restarted")
	w.replicas[i] = w.start(i)
}

func (w *world) toggleLog(*rapid.T) { w.log.down = !w.log.down }

func (w *world) togglePeer(*rapid.T) {
	r := w.draw()
	w.caller.cut[r.name] = !w.caller.cut[r.name]
}

func (w *world) publishOne(*rapid.T) {
	w.clock.Advance(time.Duration(rapid.IntRange(0, 30).Draw(w.t, "seconds")) * time.Second)
	// A snapshot that is not published is tried again later.
	_, _ = w.draw().compactor.Publish(context.Background())
}

// check compares each replica with the reference at the replica's offset.
func (w *world) check(*rapid.T) {
	for _, r := range w.replicas {
		offset := r.state.Offset()
		if offset < r.reached {
			w.fail(fmt.Errorf("%s went back from %d to %d", r.name, r.reached, offset))
		}
		r.reached = offset
		if fingerprint(r.state) != w.digests[offset] {
			w.fail(fmt.Errorf("%s differs at %d", r.name, offset))
		}
	}
	w.checkWinners()
}

// checkWinners compares the verdicts, and counts the winners of each race.
func (w *world) checkWinners() {
	type race struct {
		key  string
		base namer.Offset
	}
	winners := make(map[race]int)
	for id, change := range w.changes {
		verdict, ok := w.reference.Verdict(id)
		if ok && verdict.Accepted() {
			winners[race{change.Key, change.Base}]++
		}
		for _, r := range w.replicas {
			other, known := r.state.Verdict(id)
			if known && (!ok || other != verdict) {
				w.fail(fmt.Errorf("%s decides on %s by itself", r.name, id))
			}
		}
	}
	for r, n := range winners {
		if n > 1 {
			w.fail(fmt.Errorf("%d winners of %s at %d", n, r.key, r.base))
		}
	}
}

// heal ends every fault; then all must come to the end of the log.
func (w *world) heal() {
	w.log.down = false
	clear(w.caller.cut)
	for range len(w.log.payloads) + 2*replicaCount {
		for _, r := range w.replicas {
			w.stepPlainly(r)
		}
	}
	w.check(nil)
	for _, r := range w.replicas {
		if r.follower.Position() != w.log.next() {
			w.fail(fmt.Errorf("%s stays at %d of %d", r.name, r.follower.Position(), w.log.next()))
		}
	}
}

// play plays one history and returns how the agreement broke, if it did.
func play(t *rapid.T, fault seededFault, total *tally) error {
	w := newWorld(t, fault)
	t.Repeat(map[string]func(*rapid.T){
		"set config":  w.setConfig,
		"set members": w.setMembers,
		"submit job":  w.submitJob,
		"change job":  w.changeJob,
		"write odd":   w.writeOdd,
		"write again": w.writeAgain,
		"step":        w.step,
		"step more":   w.step,
		"age":         w.age,
		"restart":     w.restart,
		"toggle log":  w.toggleLog,
		"toggle peer": w.togglePeer,
		"publish":     w.publishOne,
		"":            w.check,
	})
	w.heal()
	total.whole += w.seen.whole
	total.half += w.seen.half
	total.fromLog += w.seen.fromLog
	total.fromPeer += w.seen.fromPeer
	return w.err
}

// Every replica that has applied the log up to an offset is in the same state
// there, whatever became of the log, of answers and of itself; each race has
// one winner, and nothing that was accepted goes back.
func TestReplicasAgree(t *testing.T) {
	var total tally
	rapid.Check(t, func(t *rapid.T) {
		if err := play(t, noFault, &total); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%+v", total)
	for _, n := range []int{total.whole, total.half, total.fromLog, total.fromPeer} {
		qt.Assert(t, n > 0, qt.IsTrue)
	}
}

func TestReplicasAgreeFindsSeededFaults(t *testing.T) {
	for name, fault := range map[string]seededFault{
		"the last of a race wins":    lastWins,
		"a gap is skipped":           skipsGap,
		"an older snapshot is taken": goesBack,
		"half a snapshot is taken":   takesHalf,
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			rapid.Check(t, func(t *rapid.T) {
				if play(t, fault, &tally{}) != nil {
					found++
				}
			})
			qt.Assert(t, found > 0, qt.IsTrue)
		})
	}
}
