package authenticator_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/timekeeper"
)

// modelEntry is an entry in a model without a network: reads and calls to peers are
// answered in any order and at any time, or never.
type modelEntry struct {
	clock    *timekeeper.FakeBoot
	evidence *authenticator.Evidence
	inForce  int64
	// next is the index of the next record to read.
	next int
	// read is the answer of the read under way, and calls those of the calls under way.
	read  *modelRead
	calls []modelCall
}

type modelRead struct {
	sentAt time.Duration
	// answered is set once the store has answered. The answer may not have arrived yet.
	answered bool
	records  []modelRecord
	complete bool
}

type modelCall struct {
	calledAt time.Duration
	// answered is set once the peer has answered with what follows.
	answered bool
	version  int64
	age      time.Duration
	known    bool
	peer     *modelEntry
}

type modelRecord struct {
	version     int64
	undecodable bool
	appendedAt  time.Duration
}

func newModelEntry(sinceBoot time.Duration) *modelEntry {
	e := &modelEntry{
		clock: timekeeper.NewFakeBoot(sinceBoot),
	}
	e.restart()
	return e
}

func (e *modelEntry) restart() {
	*e = modelEntry{
		clock:    e.clock,
		evidence: authenticator.NewEvidence(e.clock),
	}
	e.evidence.SetBound(true, bound)
}

// answerRead has the store answer the read under way with up to limit records.
func (e *modelEntry) answerRead(log []modelRecord, limit int) {
	if e.read == nil || e.read.answered {
		return
	}
	e.read.answered = true
	e.read.records = log[e.next:min(len(log), e.next+limit)]
	e.read.complete = e.next+len(e.read.records) == len(log)
}

// receiveRead has the answer of the store arrive.
func (e *modelEntry) receiveRead() {
	if e.read == nil || !e.read.answered {
		return
	}
	result := authenticator.ReadResult{
		SentAt:     e.read.sentAt,
		ReachedEnd: e.read.complete,
	}
	for _, record := range e.read.records {
		result.HasConfig = true
		result.Undecodable = record.undecodable
		result.Version = record.version
		if !record.undecodable {
			e.inForce = max(e.inForce, record.version)
		}
	}
	e.next += len(e.read.records)
	e.read = nil
	e.evidence.ObserveRead(result, e.inForce)
}

// answerCall has the peer answer one of the calls under way.
func (e *modelEntry) answerCall(i int) {
	call := &e.calls[i]
	if call.answered {
		return
	}
	call.answered = true
	call.age, call.known = call.peer.evidence.Age()
	call.version = call.peer.inForce
}

// receiveCall has the answer of a peer arrive.
func (e *modelEntry) receiveCall(i int) {
	call := e.calls[i]
	if !call.answered {
		return
	}
	e.calls = append(e.calls[:i:i], e.calls[i+1:]...)
	e.inForce = max(e.inForce, call.version)
	if call.known {
		e.evidence.ObservePeer(authenticator.PeerResult{
			CalledAt: call.calledAt,
			Version:  call.version,
			Age:      call.age,
		}, e.inForce)
	}
}

// model is the entries, the clock of the world, and the configuration in the store.
type model struct {
	now     time.Duration
	log     []modelRecord
	entries []*modelEntry
	// accepted counts the times at which an entry would have accepted a key, and
	// outdated those at which the entry's configuration was not the newest.
	accepted, outdated int
}

func (m *model) pass(d time.Duration) {
	m.now += d
	for _, e := range m.entries {
		e.clock.Advance(d)
	}
}

// proceedWithRead takes the read of an entry one step further.
func (m *model) proceedWithRead(e *modelEntry, limit int) {
	switch {
	case e.read == nil:
		e.read = &modelRead{
			sentAt: e.clock.SinceBoot(),
		}
	case !e.read.answered:
		e.answerRead(m.log, limit)
	default:
		e.receiveRead()
	}
}

// act takes one step that is drawn at random.
func (m *model) act(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	switch action := rapid.IntRange(0, 39).Draw(t, "action"); {
	case action < 10:
		m.pass(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
	case action < 24:
		m.proceedWithRead(e, rapid.IntRange(1, 3).Draw(t, "limit"))
	case action < 28:
		if peer := rapid.SampledFrom(m.entries).Draw(t, "peer"); peer != e {
			e.calls = append(e.calls, modelCall{
				calledAt: e.clock.SinceBoot(),
				peer:     peer,
			})
		}
	case action < 36:
		if len(e.calls) == 0 {
			return
		}
		if i := rapid.IntRange(0, len(e.calls)-1).Draw(t, "call"); e.calls[i].answered {
			e.receiveCall(i)
		} else {
			e.answerCall(i)
		}
	case action < 38:
		m.log = append(m.log, modelRecord{
			version:     int64(len(m.log) + 1),
			undecodable: rapid.IntRange(0, 4).Draw(t, "undecodable") == 0,
			appendedAt:  m.now,
		})
	case action < 39:
		// The read is lost, or the answer is that the records are no longer kept.
		e.read = nil
		if rapid.Bool().Draw(t, "trimmed") {
			e.next = len(m.log) - 1
		}
	default:
		e.restart()
	}
}

// check fails if an entry accepts keys by a configuration that was replaced longer ago
// than the bound.
func (m *model) check(t *rapid.T) {
	for _, e := range m.entries {
		if !e.evidence.Valid() {
			continue
		}
		m.accepted++
		if e.inForce < int64(len(m.log)) {
			m.outdated++
		}
		for _, record := range m.log {
			if record.version > e.inForce && m.now-record.appendedAt > bound {
				t.Fatalf("keys of version %d are accepted %v after version %d", e.inForce, m.now-record.appendedAt, record.version)
			}
		}
	}
}

// TestRevokedKeyWorksAfterItsBound guards against an entry that accepts keys by a
// configuration that was replaced longer ago than the bound, whatever is late, lost,
// undecodable, restarted or relayed.
func TestRevokedKeyWorksAfterItsBound(t *testing.T) {
	accepted, outdated := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			log: []modelRecord{{
				version: 1,
			}},
			entries: []*modelEntry{newModelEntry(time.Second), newModelEntry(time.Hour), newModelEntry(time.Minute)},
		}
		for range 300 {
			m.act(t)
			m.check(t)
		}
		accepted += m.accepted
		outdated += m.outdated
	})
	// Without these the test would show nothing.
	if accepted == 0 || outdated == 0 {
		t.Fatalf("keys accepted %d times, %d of them by a configuration that was not the newest", accepted, outdated)
	}
	t.Logf("keys accepted %d times, %d of them by a configuration that was not the newest", accepted, outdated)
}
