package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// explainInterval is the interval at which the log explains why a step waits.
const explainInterval = 5 * time.Second

// explain adds a note on why a step waits, once per explainInterval. "Long calls" in
// the note are calls to the adviser that do not count as quick.
func (s *Scheduler) explain(st *step, p *pool, now time.Time) {
	if st.explainedAt.IsZero() {
		st.explainedAt = now
	}
	if now.Sub(st.explainedAt) < explainInterval {
		return
	}
	st.explainedAt = now
	suitable, approved, ticketed, fitting, reserved := 0, 0, 0, 0, 0
	for _, w := range p.workers {
		if !meetsRequirements(st, w) {
			continue
		}
		suitable++
		if granted, found := st.adviceState.tickets[w.entry.Ref.ID]; found {
			approved++
			if now.Before(granted.expiresAt) {
				ticketed++
			}
		}
		if s.fitsOn(st, w, p, now) {
			fitting++
		}
		if _, found := p.reservedUntil[w]; found {
			reserved++
		}
	}
	s.addNote(fmt.Sprintf("step waits: %d of %d tasks, %s, %d workers available, %d suitable, %d approved, %d with a valid ticket, %d with free capacity, %d reserved, call in flight %t, %d calls made, %d of %d long calls in flight, no free call for %v",
		st.waiting, len(st.tasks), rankName(st.rank(now)), len(p.workers), suitable, approved, ticketed, fitting, reserved,
		st.adviceState.adviceInFlight, st.adviceState.callCount, s.adviceInFlight[false], s.adviceLimits[false], st.adviceState.deniedDuration(now).Round(time.Millisecond)),
		TaskRef{
			Step: st.ref,
		}, "", now.Sub(st.dueAt))
}

// rankName returns the name of a rank for the log.
func rankName(rank int) string {
	switch rank {
	case rankLasting:
		return "lasting"
	case rankInTime:
		return "in time"
	case rankLate:
		return "late"
	default:
		return "too late"
	}
}

// maxHistorySteps limits the steps in the history of a job.
const maxHistorySteps = 8

// history describes for the log how long the steps of the job waited and ran.
func (j *job) history() string {
	var parts []string
	for ref, st := range j.steps {
		switch {
		case st.readyAt.IsZero():
			parts = append(parts, fmt.Sprintf("%d.%d not ready", ref.Occurrence, ref.Phase))
		case st.startedAt.IsZero():
			parts = append(parts, fmt.Sprintf("%d.%d not started", ref.Occurrence, ref.Phase))
		case st.endedAt.IsZero():
			parts = append(parts, fmt.Sprintf("%d.%d waited %v", ref.Occurrence, ref.Phase, st.startedAt.Sub(st.readyAt).Round(time.Millisecond)))
		default:
			parts = append(parts, fmt.Sprintf("%d.%d waited %v, ran %v", ref.Occurrence, ref.Phase,
				st.startedAt.Sub(st.readyAt).Round(time.Millisecond), st.endedAt.Sub(st.startedAt).Round(time.Millisecond)))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts[:min(maxHistorySteps, len(parts))], "; ")
}

// Note is a log entry on a decision, for operators.
type Note struct {
	Text string
	Task TaskRef
	// Worker is the worker concerned, or empty if there is none.
	Worker string
	// Age is the duration that led to the decision or belongs to it, such as
	// the time that a run has worked or a step has waited.
	Age time.Duration
}

// Notes returns the notes added since the last call.
func (s *Scheduler) Notes() []Note {
	notes := s.notes
	s.notes = nil
	return notes
}

func (s *Scheduler) addNote(text string, ref TaskRef, workerID string, age time.Duration) {
	s.notes = append(s.notes, Note{
		Text:   text,
		Task:   ref,
		Worker: workerID,
		Age:    age,
	})
}
