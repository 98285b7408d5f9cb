package replayer

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// content is the JSON form of one part of a snapshot. Each part holds different
// entries of the same lists, and the lists keep their order across the parts.
type content struct {
	Settings     []wireSetting    `json:"settings,omitempty"`
	Removed      []wireRemoved    `json:"removed,omitempty"`
	Memberships  []wireMembership `json:"memberships,omitempty"`
	Jobs         []wireJob        `json:"jobs,omitempty"`
	Ended        []string         `json:"ended,omitempty"`
	Decisions    []wireDecision   `json:"decisions,omitempty"`
	Unknown      []wireUnknown    `json:"unknown,omitempty"`
	UnknownCount uint64           `json:"unknownCount,omitempty"`
	Published    *wirePublished   `json:"published,omitempty"`
}

type wirePublished struct {
	Through namer.Offset `json:"through"`
	At      namer.Offset `json:"at"`
	Made    time.Time    `json:"made"`
}

type wireSetting struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value"`
	Offset   namer.Offset    `json:"offset"`
	Operator string          `json:"operator"`
	ID       string          `json:"id"`
}

type wireRemoved struct {
	Key    string       `json:"key"`
	Offset namer.Offset `json:"offset"`
}

type wireMembership struct {
	Body   recorder.Membership `json:"body"`
	At     namer.Offset        `json:"at"`
	ID     string              `json:"id"`
	Writer string              `json:"writer"`
}

type wireJob struct {
	Job          recorder.Job     `json:"job"`
	SubmitOffset namer.Offset     `json:"submitted"`
	ChangeOffset namer.Offset     `json:"changed"`
	Cancelled    bool             `json:"cancelled,omitempty"`
	Finished     []uint64         `json:"finished,omitempty"`
	End          *recorder.JobEnd `json:"end,omitempty"`
}

type wireDecision struct {
	ID        string       `json:"id"`
	Offset    namer.Offset `json:"offset"`
	Accepted  bool         `json:"accepted,omitempty"`
	Reason    string       `json:"reason,omitempty"`
	Winner    string       `json:"winner,omitempty"`
	WinnerWho string       `json:"winnerWho,omitempty"`
	WinnerAt  namer.Offset `json:"winnerAt,omitempty"`
}

type wireUnknown struct {
	ID     string       `json:"id"`
	Offset namer.Offset `json:"offset"`
	Record []byte       `json:"record"`
}

// Snapshot returns a snapshot of the state as the parts of one set, each of
// bounded size. See PartSize.
func (s *State) Snapshot() ([]recorder.Snapshot, error) {
	captured, through := s.capture()
	packer := packer{
		maxPartBytes: s.limits.partBytes,
	}
	if err := packer.pack(captured); err != nil {
		return nil, errors.Wrap(err, "replayer: encode a snapshot")
	}
	set := namer.NewIdentity()
	parts := make([]recorder.Snapshot, 0, len(packer.encoded))
	for i, data := range packer.encoded {
		parts = append(parts, recorder.Snapshot{
			Set:     set,
			Part:    i,
			Parts:   len(packer.encoded),
			Through: through,
			State:   data,
		})
	}
	return parts, nil
}

// capture copies the state, so that it can be encoded while further records are
// applied. It also returns the offset of the last record applied.
func (s *State) capture() (content, namer.Offset) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := content{
		Settings:     s.captureSettings(),
		Memberships:  s.captureMemberships(),
		Ended:        slices.Clone(s.jobs.ended),
		UnknownCount: s.unknownCount,
		Published: &wirePublished{
			Through: s.snapshots.latest.through,
			At:      s.snapshots.latest.firstOffset,
			Made:    s.snapshots.latest.createdAt,
		},
	}
	for _, key := range s.removed.keys() {
		at, _ := s.removed.get(key)
		c.Removed = append(c.Removed, wireRemoved{
			Key:    key,
			Offset: at,
		})
	}
	for _, j := range s.jobs.changedSince(0) {
		c.Jobs = append(c.Jobs, encodeJob(j))
	}
	for _, id := range s.decisions.keys() {
		v, _ := s.decisions.get(id)
		c.Decisions = append(c.Decisions, encodeDecision(id, v))
	}
	for _, id := range s.unknown.keys() {
		u, _ := s.unknown.get(id)
		c.Unknown = append(c.Unknown, encodeUnknown(id, u))
	}
	return c, s.offset
}

func (s *State) captureSettings() []wireSetting {
	entries := make([]wireSetting, 0, len(s.settings))
	for _, setting := range s.settings {
		entries = append(entries, wireSetting{
			Key:      setting.key,
			Value:    setting.value,
			Offset:   setting.offset,
			Operator: setting.operator,
			ID:       setting.id,
		})
	}
	slices.SortFunc(entries, func(a, b wireSetting) int {
		return strings.Compare(a.Key, b.Key)
	})
	return entries
}

func (s *State) captureMemberships() []wireMembership {
	entries := make([]wireMembership, 0, len(s.memberships))
	for _, m := range s.memberships {
		entries = append(entries, wireMembership{
			Body:   m.body,
			At:     m.at,
			ID:     m.id,
			Writer: m.writer,
		})
	}
	slices.SortFunc(entries, func(a, b wireMembership) int {
		return strings.Compare(a.Body.DataCentre, b.Body.DataCentre)
	})
	return entries
}

func encodeJob(j JobState) wireJob {
	return wireJob{
		Job:          j.job,
		SubmitOffset: j.submitted,
		ChangeOffset: j.changed,
		Cancelled:    j.cancelled,
		Finished:     j.finished.words,
		End:          j.end,
	}
}

func encodeDecision(id string, v Verdict) wireDecision {
	return wireDecision{
		ID:        id,
		Offset:    v.offset,
		Accepted:  v.accepted,
		Reason:    v.reason,
		Winner:    v.winner.id,
		WinnerWho: v.winner.who,
		WinnerAt:  v.winner.at,
	}
}

func encodeUnknown(id string, u unknownRecord) wireUnknown {
	// A record that was decoded can always be encoded.
	data, _ := recorder.Encode(u.record)
	return wireUnknown{
		ID:     id,
		Offset: u.offset,
		Record: data,
	}
}

// Restore replaces the state by a snapshot, whose parts may be in any order. It
// fails with ErrOlder unless the snapshot is ahead of the state, and with
// ErrSnapshot if it is incomplete or malformed.
func (s *State) Restore(parts ...recorder.Snapshot) error {
	if err := checkParts(parts); err != nil {
		return err
	}
	restored := New(func(r *State) {
		r.limits = s.limits
	})
	parts = slices.Clone(parts)
	slices.SortFunc(parts, func(a, b recorder.Snapshot) int {
		return a.Part - b.Part
	})
	for _, part := range parts {
		if err := restored.load(part.State); err != nil {
			return err
		}
	}
	return s.replace(restored, parts[0].Through)
}

// replace takes over the restored state, or returns ErrOlder if this state has
// reached the offset already.
func (s *State) replace(restored *State, through namer.Offset) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if through <= s.offset {
		return errors.Wrapf(ErrOlder, "snapshot reaches offset %d, the state is at %d", through, s.offset)
	}
	s.offset = through
	s.settings = restored.settings
	s.teams = nil
	s.removed = restored.removed
	s.memberships = restored.memberships
	s.jobs = restored.jobs
	s.decisions = restored.decisions
	s.unknown = restored.unknown
	s.unknownCount = restored.unknownCount
	s.snapshots = restored.snapshots
	s.wake()
	return nil
}

// checkParts returns ErrSnapshot unless the parts form one complete set.
func checkParts(parts []recorder.Snapshot) error {
	if len(parts) == 0 {
		return errors.Wrap(ErrSnapshot, "snapshot has no parts")
	}
	first := parts[0]
	seen := make(map[int]bool)
	for _, part := range parts {
		if part.Set != first.Set || part.Through != first.Through || part.Parts != first.Parts {
			return errors.Wrap(ErrSnapshot, "snapshot has parts of different sets")
		}
		if part.Part < 0 || part.Part >= part.Parts || seen[part.Part] {
			return errors.Wrapf(ErrSnapshot, "part %d of %d is repeated or out of range", part.Part, part.Parts)
		}
		seen[part.Part] = true
	}
	if len(parts) != first.Parts {
		return errors.Wrapf(ErrSnapshot, "snapshot has only %d of %d parts", len(parts), first.Parts)
	}
	return nil
}

// load adds the entries of one encoded part to the state.
func (s *State) load(data json.RawMessage) error {
	var c content
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.WithStack(fmt.Errorf("%w: decode a snapshot: %w", ErrSnapshot, err))
	}
	for _, w := range c.Settings {
		s.settings[w.Key] = Setting{
			key:      w.Key,
			value:    w.Value,
			offset:   w.Offset,
			operator: w.Operator,
			id:       w.ID,
		}
	}
	for _, w := range c.Removed {
		s.removed.put(w.Key, w.Offset)
	}
	for _, w := range c.Memberships {
		s.memberships[w.Body.DataCentre] = membership{
			body:   w.Body,
			at:     w.At,
			id:     w.ID,
			writer: w.Writer,
		}
	}
	s.jobs.ended = append(s.jobs.ended, c.Ended...)
	for _, w := range c.Jobs {
		s.jobs.load(w)
	}
	for _, w := range c.Decisions {
		s.decisions.put(w.ID, decodeDecision(w))
	}
	s.unknownCount += c.UnknownCount
	if c.Published != nil {
		s.snapshots.latest = Published{
			through:     c.Published.Through,
			firstOffset: c.Published.At,
			createdAt:   c.Published.Made,
		}
	}
	return s.loadUnknown(c.Unknown)
}

// load adds a job. If the job has ended, its identity must be in t.ended.
func (t *jobTable) load(w wireJob) {
	j := JobState{
		job:       intern(w.Job),
		submitted: w.SubmitOffset,
		changed:   w.ChangeOffset,
		cancelled: w.Cancelled,
		finished: TaskSet{
			words: w.Finished,
		},
		end: w.End,
	}
	t.byID[w.Job.ID] = t.order.PushBack(j)
}

func decodeDecision(w wireDecision) Verdict {
	return Verdict{
		accepted: w.Accepted,
		reason:   w.Reason,
		offset:   w.Offset,
		winner: winner{
			id:  w.Winner,
			who: w.WinnerWho,
			at:  w.WinnerAt,
		},
	}
}

func (s *State) loadUnknown(unknown []wireUnknown) error {
	for _, w := range unknown {
		r, err := recorder.Decode(w.Record)
		if err != nil {
			return errors.WithStack(fmt.Errorf("%w: decode a record of an unknown kind: %w", ErrSnapshot, err))
		}
		s.unknown.put(w.ID, unknownRecord{
			offset: w.Offset,
			record: r,
		})
	}
	return nil
}
