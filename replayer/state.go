// Package replayer builds the replicated state from the records of the control
// stream: the configuration in force, the members of each data centre, and the
// jobs.
//
// Every process applies the same records in the same order with the same
// rules, so all processes find the same winner of a race. The package reads no
// clock and does no I/O: package follower reads the records, and package
// compactor publishes snapshots.
package replayer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// The errors of the package.
var (
	// ErrSnapshot is returned for a snapshot that is incomplete or malformed.
	ErrSnapshot = errors.New("replayer: bad snapshot")
	// ErrOlder is returned for a snapshot that is not ahead of the state.
	ErrOlder = errors.New("replayer: snapshot is not ahead of the state")
	// ErrAwait is returned when the context ends before the verdict is known.
	ErrAwait = errors.New("replayer: wait for a verdict ended")
	// ErrValue is returned for a configuration entry whose key or value is
	// invalid.
	ErrValue = errors.New("replayer: bad value")
)

// State is the state that results from the records up to an offset. It is safe
// for concurrent use.
type State struct {
	limits limits

	mu sync.RWMutex
	// offset is that of the last record applied. It never decreases.
	offset namer.Offset
	// changed is closed at the next change. It is nil while nobody waits for
	// one.
	changed chan struct{}
	// settings holds the entries in force, by key.
	settings map[string]Setting
	// teams caches the decoded teams of settings, by name. It is nil until first
	// needed, and replaced when a team changes.
	teams map[string]Team
	// removed holds the offsets at which entries were removed, by key, for the
	// latest removals.
	removed *boundedMap[namer.Offset]
	// memberships holds the members in force, by data centre.
	memberships map[string]membership
	jobs        *jobTable
	// decisions holds the latest verdicts, by record identity. A repeated record
	// is recognised by its verdict.
	decisions *boundedMap[Verdict]
	// idempotentVerdicts holds the latest verdicts on records that may be applied
	// again without harm. Snapshots do not contain them.
	idempotentVerdicts *boundedMap[Verdict]
	// unknown holds the latest records of kinds that this version does not
	// know, by identity.
	unknown *boundedMap[unknownRecord]
	// unknownCount is the number of records of unknown kinds ever applied. A
	// repeated record counts once while it is in unknown.
	unknownCount uint64
	snapshots    snapshotTracker
}

type membership struct {
	body recorder.Membership
	// at, id and writer are those of the record that was accepted.
	at     namer.Offset
	id     string
	writer string
}

type unknownRecord struct {
	offset namer.Offset
	record recorder.Record
}

// limits bound the size of the state. All but partBytes must be the same in
// every process, since they affect which records are accepted.
type limits struct {
	settings           int
	removed            int
	jobs               int
	ended              int
	decisions          int
	idempotentVerdicts int
	unknown            int
	// partBytes is the approximate maximum length of one part of a snapshot.
	partBytes int
}

func defaultLimits() limits {
	return limits{
		settings:           20_000,
		removed:            4_096,
		jobs:               100_000,
		ended:              4_096,
		decisions:          8_192,
		idempotentVerdicts: 1_024,
		unknown:            256,
		partBytes:          256 << 10,
	}
}

// Option configures a State.
type Option func(*State)

// PartSize sets the approximate maximum length in bytes of one part of a
// snapshot. The default is 256 KiB.
func PartSize(bytes int) Option {
	return func(s *State) {
		s.limits.partBytes = bytes
	}
}

// New returns a State to which no record has been applied.
func New(opts ...Option) *State {
	s := &State{
		limits: defaultLimits(),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.reset()
	return s
}

// reset replaces the collections with empty ones of the sizes in s.limits.
func (s *State) reset() {
	s.settings = make(map[string]Setting)
	s.teams = nil
	s.removed = newBoundedMap[namer.Offset](s.limits.removed)
	s.memberships = make(map[string]membership)
	s.jobs = newJobTable(s.limits.ended)
	s.decisions = newBoundedMap[Verdict](s.limits.decisions)
	s.idempotentVerdicts = newBoundedMap[Verdict](s.limits.idempotentVerdicts)
	s.unknown = newBoundedMap[unknownRecord](s.limits.unknown)
}

// Apply applies the record at the offset. A record at or below the state's
// offset is ignored, so that no record is applied twice or out of order.
func (s *State) Apply(offset namer.Offset, r recorder.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset <= s.offset {
		return
	}
	s.offset = offset
	s.decide(offset, r)
	s.wake()
}

// wake notifies all who wait for a change.
func (s *State) wake() {
	if s.changed == nil {
		return
	}
	close(s.changed)
	s.changed = nil
}

// Offset returns the offset of the last record applied.
func (s *State) Offset() namer.Offset {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.offset
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Verdict returns the verdict on the record with the identity, or false if the
// record was not applied or its verdict is no longer held.
func (s *State) Verdict(id string) (Verdict, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if v, ok := s.decisions.get(id); ok {
		return v, true
	}
	return s.idempotentVerdicts.get(id)
}

// Await waits until the record with the identity has been applied and returns
// its verdict. It fails with ErrAwait when the context ends.
func (s *State) Await(ctx context.Context, id string) (Verdict, error) {
	for {
		changed := s.Changed()
		if v, ok := s.Verdict(id); ok {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Verdict{}, errors.WithStack(fmt.Errorf("%w: await %s: %w", ErrAwait, id, ctx.Err()))
		}
	}
}

// Config returns the entry in force under the key.
func (s *State) Config(key string) (Setting, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	setting, ok := s.settings[key]
	return setting, ok
}

// Base returns the base that the next change of the entry has to name: the
// offset at which the entry was last set or removed, or 0.
func (s *State) Base(key string) namer.Offset {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.base(key)
}

func (s *State) base(key string) namer.Offset {
	if setting, ok := s.settings[key]; ok {
		return setting.offset
	}
	removedAt, _ := s.removed.get(key)
	return removedAt
}

// ConfigUnder returns the entries whose keys begin with the prefix, sorted by
// key.
func (s *State) ConfigUnder(prefix string) []Setting {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var found []Setting
	for key, setting := range s.settings {
		if strings.HasPrefix(key, prefix) {
			found = append(found, setting)
		}
	}
	slices.SortFunc(found, func(a, b Setting) int {
		return strings.Compare(a.key, b.key)
	})
	return found
}

// Membership returns the members of the data centre and the offset at which
// they were accepted, or false if the data centre has had none.
func (s *State) Membership(dataCentre string) (recorder.Membership, namer.Offset, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	m, ok := s.memberships[dataCentre]
	return m.body, m.at, ok
}

// DataCentres returns the sorted names of the data centres that have had
// members.
func (s *State) DataCentres() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	names := make([]string, 0, len(s.memberships))
	for name := range s.memberships {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Job returns the job with the identity, or false if the job was never
// accepted, or has ended and was evicted since enough other jobs ended later.
func (s *State) Job(id string) (JobState, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.jobs.get(id)
}

// Jobs returns all jobs held, in the order of their last change.
func (s *State) Jobs() []JobState {
	return s.JobsChanged(0)
}

// JobsChanged returns the jobs that changed after the offset, in the order of
// their last change.
func (s *State) JobsChanged(since namer.Offset) []JobState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.jobs.changedSince(since)
}

// Unknown returns the number of records of unknown kinds that were applied, leaving
// aside repetitions of the latest ones.
func (s *State) Unknown() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.unknownCount
}
