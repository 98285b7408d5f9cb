package replayer

import (
	"time"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

// Assembler collects the parts of snapshots as they are read from the log, in
// ascending order of their offsets. It keeps the latest complete snapshot.
type Assembler struct {
	// parts are those of the snapshot being collected, in the order read and
	// without duplicates.
	parts []recorder.Snapshot
	// firstOffset is the offset of parts[0].
	firstOffset namer.Offset
	// complete holds the parts of the latest complete snapshot.
	complete []recorder.Snapshot
}

// Add adds a part that was read at the offset. It reports whether the part
// completed a snapshot. A part of another set discards the parts collected so far.
func (a *Assembler) Add(offset namer.Offset, part recorder.Snapshot) bool {
	if len(a.parts) == 0 || a.parts[0].Set != part.Set {
		a.parts = nil
		a.firstOffset = offset
	}
	for _, seen := range a.parts {
		if seen.Part == part.Part {
			return false
		}
	}
	a.parts = append(a.parts, part)
	if checkParts(a.parts) != nil {
		return false
	}
	a.complete = a.parts
	a.parts = nil
	return true
}

// Complete returns the parts of the latest complete snapshot, or nil if there is
// none.
func (a *Assembler) Complete() []recorder.Snapshot {
	return a.complete
}

// Published identifies the latest complete snapshot in the log.
type Published struct {
	through     namer.Offset
	firstOffset namer.Offset
	createdAt   time.Time
}

// Through returns the offset of the last record that the snapshot covers, or 0
// if there is no snapshot.
func (p Published) Through() namer.Offset { return p.through }

// FirstOffset returns the offset of the snapshot's first part.
func (p Published) FirstOffset() namer.Offset { return p.firstOffset }

// CreatedAt returns the time at which the snapshot was created, by the clock of
// the process that wrote it.
func (p Published) CreatedAt() time.Time { return p.createdAt }

// snapshotTracker tracks the latest complete snapshot in the log, without its
// content.
type snapshotTracker struct {
	assembler Assembler
	latest    Published
}

// observe adds a part that was read at the offset and created at the given
// time.
func (t *snapshotTracker) observe(offset namer.Offset, createdAt time.Time, part recorder.Snapshot) {
	part.State = nil
	if !t.assembler.Add(offset, part) {
		return
	}
	if through := t.assembler.complete[0].Through; through > t.latest.through {
		t.latest = Published{
			through:     through,
			firstOffset: t.assembler.firstOffset,
			createdAt:   createdAt,
		}
	}
}

// Published returns the latest complete snapshot that was read from the log.
func (s *State) Published() Published {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.snapshots.latest
}
