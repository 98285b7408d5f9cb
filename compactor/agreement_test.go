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

// seededFault is a fault that the property test must find.
type seededFault int

const (
	noFault seededFault = iota
	// lastWins makes a replica accept every change, as if based on the latest
	// offset.
	lastWins
	// skipsGap makes a replica continue after records that it never read.
	skipsGap
	// goesBack makes a replica restore an older snapshot from a peer.
	goesBack
	// takesHalf makes a replica restore an incomplete snapshot.
	takesHalf
)

const replicaCount = 3

// replica is one process. A restart loses its state.
type replica struct {
	name      string
	state     *replayer.State
	follower  *follower.Follower
	compactor *compactor.Compactor
	// maxOffset is the highest offset reached since the last restart.
	maxOffset namer.Offset
}

// simulation is a log with replicas that follow it. The reference state applies
// every record as it is appended.
type simulation struct {
	t         *rapid.T
	fault     seededFault
	clock     *timekeeper.Fake
	log       *fakeLog
	caller    *directCaller
	replicas  []*replica
	reference *replayer.State
	// fingerprints[i] is the reference's fingerprint at offset i.
	fingerprints []string
	// records holds every record passed to write, encoded, whether or not it was
	// appended. changes holds the configuration changes by record identity.
	records     [][]byte
	changes     map[string]recorder.ConfigChange
	jobs        []string
	recordCount int
	// olderSnapshot is the first snapshot captured for the fault goesBack.
	olderSnapshot []recorder.Snapshot
	covered       coverage
	err           error
}

// coverage counts events without which the test would prove nothing: complete and
// incomplete snapshots published, and recoveries from the log and from a peer.
type coverage struct {
	completeSnapshots, incompleteSnapshots, fromLog, fromPeer int
}

func newSimulation(t *rapid.T, fault seededFault) *simulation {
	w := &simulation{
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
	w.fingerprints = []string{fingerprint(w.reference)}
	for i := range replicaCount {
		w.replicas = append(w.replicas, w.startReplica(i))
	}
	return w
}

// observe applies an appended record to the reference and stores the fingerprint.
func (w *simulation) observe(offset namer.Offset, payload []byte) {
	record, err := recorder.Decode(payload)
	if err != nil {
		record = recorder.Unreadable(fmt.Sprintf("unreadable@%d", offset), payload)
	}
	w.reference.Apply(offset, record)
	w.fingerprints = append(w.fingerprints, fingerprint(w.reference))
}

// startReplica starts or restarts the replica with the index.
func (w *simulation) startReplica(i int) *replica {
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
		compactor.OldestOffset(func() namer.Offset { return r.follower.OldestOffset() }),
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

func (w *simulation) applier(i int, r *replica) func(namer.Offset, recorder.Record) {
	return func(offset namer.Offset, record recorder.Record) {
		change, ok := record.Body().(recorder.ConfigChange)
		if ok && w.fault == lastWins && i == 1 {
			change.Base = r.state.Base(change.Key)
			record = recorder.New(record.ID(), record.Writer(), record.CreatedAt(), change)
		}
		r.state.Apply(offset, record)
	}
}

func (w *simulation) recovery(i int, r *replica) follower.Recover {
	return func(ctx context.Context) (namer.Offset, error) {
		switch {
		case w.fault == skipsGap && i == 1 && !w.log.down:
			return w.log.first, nil
		case w.fault == takesHalf && i == 1:
			parts, err := w.replicas[0].state.Snapshot()
			if err != nil || len(parts) < 2 {
				return 0, compactor.ErrNoSnapshot
			}
			if err := r.state.Restore(relabelFirstPart(parts)...); err != nil {
				return 0, err
			}
			return r.state.Offset() + 1, nil
		default:
			next, err := r.compactor.Recover(ctx)
			switch {
			case err != nil:
			case w.log.down:
				w.covered.fromPeer++
			default:
				w.covered.fromLog++
			}
			return next, err
		}
	}
}

// publish appends the records of a snapshot, or only the first of them, and may
// lose the answer.
func (w *simulation) publish(ctx context.Context, records ...recorder.Record) error {
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
		w.covered.incompleteSnapshots++
	} else {
		w.covered.completeSnapshots++
	}
	if len(kept) < len(records) || rapid.Bool().Draw(w.t, "lost") {
		return errors.New("the answer was lost")
	}
	return nil
}

// write appends a record, or only stores it, so that appendAgain may append it
// later.
func (w *simulation) write(body recorder.Body) {
	w.recordCount++
	id := fmt.Sprintf("r%d", w.recordCount)
	if change, ok := body.(recorder.ConfigChange); ok {
		w.changes[id] = change
	}
	data, err := recorder.Encode(recorder.New(id, "writer", w.clock.Now(), body))
	w.recordError(err)
	w.records = append(w.records, data)
	if rapid.IntRange(0, 4).Draw(w.t, "kept back") > 0 {
		// If the log is down, the append fails and the writer does not retry.
		_, _ = w.log.Append(context.Background(), recorder.StreamControl, [][]byte{data})
	}
}

func (w *simulation) recordError(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *simulation) drawReplica() *replica {
	return w.replicas[rapid.IntRange(0, replicaCount-1).Draw(w.t, "replica")]
}

func (w *simulation) setConfig(*rapid.T) {
	r := w.drawReplica()
	key := fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(w.t, "key"))
	value := json.RawMessage(nil)
	if rapid.IntRange(0, 4).Draw(w.t, "remove") > 0 {
		value = json.RawMessage(fmt.Sprint(w.recordCount))
	}
	w.write(recorder.ConfigChange{
		Key:      key,
		Base:     r.state.Base(key),
		Value:    value,
		Operator: r.name,
	})
}

func (w *simulation) setMembers(*rapid.T) {
	r := w.drawReplica()
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

func (w *simulation) submitJob(*rapid.T) {
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

func (w *simulation) changeJob(*rapid.T) {
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

// writeUnreadable appends a record that this version cannot decode or whose kind
// it does not know.
func (w *simulation) writeUnreadable(*rapid.T) {
	if rapid.Bool().Draw(w.t, "garbage") {
		_, _ = w.log.Append(context.Background(), recorder.StreamControl, [][]byte{[]byte("{")})
		return
	}
	w.write(recorder.Unknown{
		Name: "novelty",
		Raw:  json.RawMessage(`{"a":1}`),
	})
}

// appendAgain appends a record again, as writers do after a lost answer.
func (w *simulation) appendAgain(*rapid.T) {
	if len(w.records) == 0 {
		return
	}
	data := rapid.SampledFrom(w.records).Draw(w.t, "record")
	_, _ = w.log.Append(context.Background(), recorder.StreamControl, [][]byte{data})
}

// stepWithFaults makes a replica read once from a log that may repeat or leave
// out records.
func (w *simulation) stepWithFaults(*rapid.T) {
	r := w.drawReplica()
	w.log.repeat = rapid.IntRange(0, 5).Draw(w.t, "repeat")
	w.log.gap = rapid.IntRange(0, 4).Draw(w.t, "gap") == 0
	w.stepOnce(r)
}

func (w *simulation) stepOnce(r *replica) {
	// A replica that reaches neither the log nor a peer retries later.
	_ = r.follower.Step(context.Background())
	w.log.repeat = 0
	w.log.gap = false
	if w.fault == goesBack && r == w.replicas[1] {
		w.restoreOlder(r)
	}
}

// restoreOlder replaces the replica's state by an older snapshot (goesBack).
func (w *simulation) restoreOlder(r *replica) {
	if w.olderSnapshot == nil {
		w.olderSnapshot, _ = w.replicas[0].state.Snapshot()
		return
	}
	older := replayer.New(replayer.PartSize(400))
	if older.Restore(w.olderSnapshot...) == nil && older.Offset() < r.state.Offset() {
		r.state = older
	}
}

// dropOldRecords makes the log drop records that the first replica has read.
func (w *simulation) dropOldRecords(*rapid.T) {
	newest := min(w.replicas[0].follower.Position(), w.log.next())
	if newest > w.log.first {
		w.log.first = namer.Offset(rapid.Uint64Range(uint64(w.log.first), uint64(newest)).Draw(w.t, "first"))
	}
}

// restartReplica restarts a replica other than the first.
func (w *simulation) restartReplica(*rapid.T) {
	i := rapid.IntRange(1, replicaCount-1).Draw(w.t, "restarted")
	w.replicas[i] = w.startReplica(i)
}

func (w *simulation) toggleLog(*rapid.T) { w.log.down = !w.log.down }

func (w *simulation) togglePeer(*rapid.T) {
	r := w.drawReplica()
	w.caller.cut[r.name] = !w.caller.cut[r.name]
}

func (w *simulation) publishOne(*rapid.T) {
	w.clock.Advance(time.Duration(rapid.IntRange(0, 30).Draw(w.t, "seconds")) * time.Second)
	// A snapshot that was not published is retried later.
	_, _ = w.drawReplica().compactor.Publish(context.Background())
}

// checkReplicas compares each replica with the reference at the replica's offset.
func (w *simulation) checkReplicas(*rapid.T) {
	for _, r := range w.replicas {
		offset := r.state.Offset()
		if offset < r.maxOffset {
			w.recordError(fmt.Errorf("%s went back from offset %d to %d", r.name, r.maxOffset, offset))
		}
		r.maxOffset = offset
		if fingerprint(r.state) != w.fingerprints[offset] {
			w.recordError(fmt.Errorf("the state of %s differs from the reference at offset %d", r.name, offset))
		}
	}
	w.checkWinners()
}

// checkWinners checks that the replicas agree with the reference on each verdict
// on a configuration change, and that at most one of the changes of a key with the
// same base is accepted.
func (w *simulation) checkWinners() {
	type keyAndBase struct {
		key  string
		base namer.Offset
	}
	winners := make(map[keyAndBase]int)
	for id, change := range w.changes {
		verdict, ok := w.reference.Verdict(id)
		if ok && verdict.Accepted() {
			winners[keyAndBase{change.Key, change.Base}]++
		}
		for _, r := range w.replicas {
			other, known := r.state.Verdict(id)
			if known && (!ok || other != verdict) {
				w.recordError(fmt.Errorf("%s has another verdict on %s than the reference", r.name, id))
			}
		}
	}
	for r, n := range winners {
		if n > 1 {
			w.recordError(fmt.Errorf("%d changes of %s with base %d were accepted", n, r.key, r.base))
		}
	}
}

// endFaults ends the faults of the log and of the calls between peers, and checks
// that every replica then reaches the end of the log.
func (w *simulation) endFaults() {
	w.log.down = false
	clear(w.caller.cut)
	for range len(w.log.payloads) + 2*replicaCount {
		for _, r := range w.replicas {
			w.stepOnce(r)
		}
	}
	w.checkReplicas(nil)
	for _, r := range w.replicas {
		if r.follower.Position() != w.log.next() {
			w.recordError(fmt.Errorf("%s stopped at offset %d of %d", r.name, r.follower.Position(), w.log.next()))
		}
	}
}

// runHistory runs one random history and returns the first violation of the
// property, if any.
func runHistory(t *rapid.T, fault seededFault, total *coverage) error {
	w := newSimulation(t, fault)
	t.Repeat(map[string]func(*rapid.T){
		"set config":  w.setConfig,
		"set members": w.setMembers,
		"submit job":  w.submitJob,
		"change job":  w.changeJob,
		"write odd":   w.writeUnreadable,
		"write again": w.appendAgain,
		"step":        w.stepWithFaults,
		"step more":   w.stepWithFaults,
		"age":         w.dropOldRecords,
		"restart":     w.restartReplica,
		"toggle log":  w.toggleLog,
		"toggle peer": w.togglePeer,
		"publish":     w.publishOne,
		"":            w.checkReplicas,
	})
	w.endFaults()
	total.completeSnapshots += w.covered.completeSnapshots
	total.incompleteSnapshots += w.covered.incompleteSnapshots
	total.fromLog += w.covered.fromLog
	total.fromPeer += w.covered.fromPeer
	return w.err
}

// TestReplicasAgree checks that replicas which have applied the log up to the
// same offset are in the same state, whatever faults the log, its answers and
// the replicas have. At most one of the changes of a key with the same base is
// accepted, and no replica's state goes back.
func TestReplicasAgree(t *testing.T) {
	var total coverage
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(t, noFault, &total); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%+v", total)
	for _, n := range []int{total.completeSnapshots, total.incompleteSnapshots, total.fromLog, total.fromPeer} {
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
				if runHistory(t, fault, &coverage{}) != nil {
					found++
				}
			})
			qt.Assert(t, found > 0, qt.IsTrue)
		})
	}
}
