// Package replayer says what the records of the control stream mean together:
// the configuration in force, the members of each data centre, and the jobs.
//
// Every process applies the same records in the same order with the same
// rules, so all find the same winner of a race. The package reads no clock and
// does no I/O: follower brings the records, compactor publishes snapshots.
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
	// ErrSnapshot is returned for parts that do not make a whole snapshot.
	ErrSnapshot = errors.New("replayer: bad snapshot")
	// ErrOlder is returned for a snapshot that is not ahead of the state.
	ErrOlder = errors.New("replayer: snapshot is not ahead of the state")
	// ErrAwait is returned where the wait for a verdict was ended.
	ErrAwait = errors.New("replayer: wait for a verdict ended")
	// ErrValue is returned for the value of an entry that its family refuses.
	ErrValue = errors.New("replayer: bad value")
)

// State is the outcome of the records up to an offset. It is safe for use by
// several goroutines.
type State struct {
	limits limits

	mu sync.RWMutex
	// offset is that of the last record applied. It never falls.
	offset namer.Offset
	// changed is closed at the next change. It is nil while nobody waits.
	changed chan struct{}
	// settings holds the entries in force, by key.
	settings map[string]Setting
	// teams holds the decoded teams of settings, by name. It is nil until it
	// is asked for, and replaced when a team changes.
	teams map[string]Team
	// removed holds where removed entries were removed, the latest last.
	removed *window[namer.Offset]
	// memberships holds the members in force, by data centre.
	memberships map[string]membership
	jobs        *jobTable
	// decisions holds the verdicts by which a repeated record is recognised.
	decisions *window[Verdict]
	// notes holds verdicts of records that may be repeated without harm.
	notes *window[Verdict]
	// unknown holds the latest records of kinds that this version does not
	// know, by identity.
	unknown *window[unknownRecord]
	// unknownCount is how many there were in all.
	unknownCount uint64
	snapshots    snapshotWatch
}

type membership struct {
	body recorder.Membership
	// at, id and writer are of the record that was accepted.
	at     namer.Offset
	id     string
	writer string
}

type unknownRecord struct {
	offset namer.Offset
	record recorder.Record
}

// limits bound the state. They are the same in every process, since they
// decide what is accepted.
type limits struct {
	settings  int
	removed   int
	jobs      int
	ended     int
	decisions int
	notes     int
	unknown   int
	// part is the most bytes of one part of a snapshot.
	part int
}

func defaultLimits() limits {
	return limits{
		settings:  20_000,
		removed:   4_096,
		jobs:      100_000,
		ended:     4_096,
		decisions: 8_192,
		notes:     1_024,
		unknown:   256,
		part:      256 << 10,
	}
}

// Option changes how a State works.
type Option func(*State)

// PartSize sets about how many bytes one part of a snapshot has. The default is
// 256 KiB.
func PartSize(bytes int) Option {
	return func(s *State) {
		s.limits.part = bytes
	}
}

// New returns the state before the first record.
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

// reset empties all that a snapshot replaces.
func (s *State) reset() {
	s.settings = make(map[string]Setting)
	s.teams = nil
	s.removed = newWindow[namer.Offset](s.limits.removed)
	s.memberships = make(map[string]membership)
	s.jobs = newJobTable(s.limits.ended)
	s.decisions = newWindow[Verdict](s.limits.decisions)
	s.notes = newWindow[Verdict](s.limits.notes)
	s.unknown = newWindow[unknownRecord](s.limits.unknown)
}

// Apply applies the record at the offset. A record at or below the state's
// offset is passed over, so that nothing is applied twice or backwards.
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

// wake tells those who wait that the state has changed.
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

// Verdict returns what became of the record with the identity, if it was
// applied lately.
func (s *State) Verdict(id string) (Verdict, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if v, ok := s.decisions.get(id); ok {
		return v, true
	}
	return s.notes.get(id)
}

// Await waits until the record with the identity has been applied and returns
// what became of it. It fails with ErrAwait once the context has ended.
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

// Base returns the base that a change of the entry has to name now: where it
// was last set or removed, or 0.
func (s *State) Base(key string) namer.Offset {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.base(key)
}

func (s *State) base(key string) namer.Offset {
	if setting, ok := s.settings[key]; ok {
		return setting.offset
	}
	at, _ := s.removed.get(key)
	return at
}

// ConfigUnder returns the entries whose keys begin with the prefix, by key.
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

// Membership returns the members of the data centre, and the offset at which
// they were accepted.
func (s *State) Membership(dataCentre string) (recorder.Membership, namer.Offset, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	m, ok := s.memberships[dataCentre]
	return m.body, m.at, ok
}

// DataCentres returns the data centres that have had members, by name.
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

// Job returns the job with the identity. A job that is not there was never
// submitted, or has ended and was forgotten.
func (s *State) Job(id string) (JobState, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.jobs.get(id)
}

// Jobs returns every job that is known, the least lately changed first.
func (s *State) Jobs() []JobState {
	return s.JobsChanged(0)
}

// JobsChanged returns the jobs that changed after the offset, the least lately
// changed first.
func (s *State) JobsChanged(since namer.Offset) []JobState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.jobs.changed(since)
}

// Unknown returns how many records of unknown kinds were applied.
func (s *State) Unknown() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.unknownCount
}
