package replayer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// Assembler gathers the parts of snapshots as they are met in the log, in
// rising order of their offsets. It keeps the latest whole one.
type Assembler struct {
	// parts are of one set, in the order met, without repeats.
	parts []recorder.Snapshot
	first namer.Offset
	whole []recorder.Snapshot
}

// Add takes a part that was met at the offset. It reports whether a snapshot
// became whole by it.
func (a *Assembler) Add(offset namer.Offset, part recorder.Snapshot) bool {
	if len(a.parts) == 0 || a.parts[0].Set != part.Set {
		a.parts = nil
		a.first = offset
	}
	for _, known := range a.parts {
		if known.Part == part.Part {
			return false
		}
	}
	a.parts = append(a.parts, part)
	if checkParts(a.parts) != nil {
		return false
	}
	a.whole = a.parts
	a.parts = nil
	return true
}

// Whole returns the parts of the latest whole snapshot, none if there is none.
func (a *Assembler) Whole() []recorder.Snapshot {
	return a.whole
}

// Published says which whole snapshot in the log is the latest.
type Published struct {
	through namer.Offset
	at      namer.Offset
	made    time.Time
}

// Through returns the offset of the last record that the snapshot covers, 0 if
// there is no snapshot.
func (p Published) Through() namer.Offset { return p.through }

// At returns the offset of the snapshot's first part.
func (p Published) At() namer.Offset { return p.at }

// Made returns when its writer made the snapshot, by the writer's clock.
func (p Published) Made() time.Time { return p.made }

// snapshotWatch knows the latest whole snapshot in the log, without its
// content.
type snapshotWatch struct {
	assembler Assembler
	latest    Published
}

func (w *snapshotWatch) note(offset namer.Offset, made time.Time, part recorder.Snapshot) {
	part.State = nil
	if !w.assembler.Add(offset, part) {
		return
	}
	if through := w.assembler.whole[0].Through; through > w.latest.through {
		w.latest = Published{
			through: through,
			at:      w.assembler.first,
			made:    made,
		}
	}
}

// Published returns the latest whole snapshot that was met in the log.
func (s *State) Published() Published {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.snapshots.latest
}
