package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// explainInterval is the interval at which the log explains why a step waits.
	explainInterval = 5 * time.Second
	// lastingExplainInterval is the same for steps of lasting tasks. There are few
	// of them, and callers depend on them all the time.
	lastingExplainInterval = time.Second
	// minOutageNote is the shortest time without a run after which the log says that
	// a lasting task is in service again.
	minOutageNote = 2 * time.Second
	// maxNamedWorkers limits the workers that one note names.
	maxNamedWorkers = 3
)

// explainDue reports whether the log should explain now why the step waits.
func (st *step) explainDue(now time.Time) bool {
	interval := explainInterval
	if st.phase.Lasting {
		interval = lastingExplainInterval
	}
	if st.explainedAt.IsZero() {
		st.explainedAt = now
	}
	if now.Sub(st.explainedAt) < interval {
		return false
	}
	st.explainedAt = now
	return true
}

// explain adds a note on why a step waits, once per interval. "Long calls" in
// the note are calls to the adviser that do not count as quick.
func (s *Scheduler) explain(st *step, p *pool, now time.Time) {
	if !st.explainDue(now) || s.explainMaximum(st, now) {
		return
	}
	suitable, approved, ticketed, fitting, reserved := 0, 0, 0, 0, 0
	var obstacles [obstacleCount]int
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
		if s.isApproved(st, w) {
			obstacles[s.obstacleOn(st, w, p, now)]++
		}
	}
	s.addNote(fmt.Sprintf("step waits: %d of %d tasks, %s, %d workers available, %d suitable, %d approved, %d with a valid ticket, %d with free capacity, %d reserved, %d calls in flight, %d calls made, %d of %d long calls in flight, no free call for %v, no run for up to %v; of the approved %s",
		st.waiting, len(st.tasks), rankName(st.rank(now)), len(p.workers), suitable, approved, ticketed, fitting, reserved,
		len(st.adviceState.calls), st.adviceState.callCount, s.adviceInFlight[false], s.adviceLimits[false], st.adviceState.deniedDuration(now).Round(time.Millisecond),
		st.longestWait(now).Round(time.Millisecond), describeObstacles(obstacles))+st.adviceState.describeCalls(now)+s.describeShare(st)+st.describeSuspects()+s.describeShortage(st, now),
		TaskRef{
			Step: st.ref,
		}, "", now.Sub(st.dueAt))
}

// describeCalls describes for a note how old the calls in flight are, and when the last one was
// answered. It is empty without calls.
func (a *adviceState) describeCalls(now time.Time) string {
	var text strings.Builder
	if len(a.calls) > 0 {
		oldest := a.calls[0]
		fmt.Fprintf(&text, "; the oldest call was made %v ago about %d workers, its answer was due %v ago",
			now.Sub(oldest.calledAt).Round(time.Millisecond), len(oldest.workers), now.Sub(oldest.answerDueAt).Round(time.Millisecond))
	}
	if !a.answeredAt.IsZero() {
		fmt.Fprintf(&text, "; the last answer came %v ago", now.Sub(a.answeredAt).Round(time.Millisecond))
	}
	return text.String()
}

// maxMaximumNotes limits the notes about the maximum of one organisation within
// explainInterval, as a flood can leave thousands of steps waiting for it.
const maxMaximumNotes = 5

// maximumNotes counts the notes about the maximum of one organisation.
type maximumNotes struct {
	// since is the beginning of the current interval. logged and omitted count the notes
	// that were added and left out in it.
	since           time.Time
	logged, omitted int
}

// explainMaximum adds a note if the step waits for the maximum of its organisation. It
// reports whether the step waits for nothing else.
func (s *Scheduler) explainMaximum(st *step, now time.Time) bool {
	organisation, limited := s.limitOf(st.job)
	if !limited {
		return false
	}
	allowed := s.allowedStarts(st)
	if allowed >= st.waiting {
		return false
	}
	notes := s.maximumNotes[organisation.Name]
	if notes == nil {
		notes = &maximumNotes{}
		s.maximumNotes[organisation.Name] = notes
	}
	if now.Sub(notes.since) >= explainInterval {
		omitted := notes.omitted
		*notes = maximumNotes{
			since:   now,
			omitted: omitted,
		}
	}
	if notes.logged >= maxMaximumNotes {
		notes.omitted++
		return allowed == 0
	}
	reason := "step waits for the maximum of organisation"
	switch {
	case st.phase.Gang && !s.gangWithinOverage(organisation, st):
		reason = "step can never start, as its gang is too large for the maximum of organisation"
	case !s.holdsAll(organisation.Name):
		reason = "step waits for the allotment of organisation"
	}
	s.addNote(fmt.Sprintf("%s %s: %d of %d tasks of %v each, %s, %d more may start now, used %v, allotment %v, maximum %v, nothing of the job runs %t, %d such notes left out before",
		reason, organisation.Name, st.waiting, len(st.tasks), st.phase.Size, rankName(st.rank(now)), allowed,
		s.usedBy(organisation.Name), s.shownAllotment(organisation), organisation.Maximum, s.nothingRuns(st.job), notes.omitted),
		TaskRef{
			Step: st.ref,
		}, "", now.Sub(st.dueAt))
	notes.logged++
	notes.omitted = 0
	return allowed == 0
}

// obstacle is the first reason why a step cannot start a task on an approved
// worker now.
type obstacle int

const (
	obstacleNone obstacle = iota
	// obstacleSibling means that the worker has as many tasks of the step as the
	// phase allows on one worker.
	obstacleSibling
	// obstacleReserved means that the worker is reserved for another step.
	obstacleReserved
	// obstacleLasting means that too little would be free even if all runs but
	// lasting ones ended.
	obstacleLasting
	// obstacleBusy means that too little is free.
	obstacleBusy
	// obstacleTicket means that only a valid ticket is missing.
	obstacleTicket
	obstacleCount
)

// String implements fmt.Stringer.
func (o obstacle) String() string {
	names := []string{"can start", "run the step already", "are reserved for others", "are full of lasting runs", "are busy", "need a new ticket"}
	if o >= 0 && int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// describeObstacles lists how many workers have each obstacle.
func describeObstacles(counts [obstacleCount]int) string {
	parts := make([]string, 0, len(counts))
	for o, n := range counts {
		parts = append(parts, fmt.Sprintf("%d %v", n, obstacle(o)))
	}
	return strings.Join(parts, ", ")
}

// obstacleOn returns the first obstacle to a start of the step's tasks on an
// approved worker.
func (s *Scheduler) obstacleOn(st *step, w *worker, p *pool, now time.Time) obstacle {
	if st.phase.PerWorker > 0 && st.runsOn(w) >= st.phase.PerWorker {
		return obstacleSibling
	}
	if holder := p.reservedFor[w]; holder != nil && holder != st {
		return obstacleReserved
	}
	size := taskSize(st.phase)
	if countFitting(size, w.freeCapacity()) == 0 {
		unlessLasting := w.freeCapacity()
		for _, r := range w.runs {
			if !r.lasting {
				unlessLasting = unlessLasting.Add(r.size)
			}
		}
		if countFitting(size, unlessLasting) == 0 {
			return obstacleLasting
		}
		return obstacleBusy
	}
	if !s.hasValidTicket(st, w, now) {
		return obstacleTicket
	}
	return obstacleNone
}

// longestWait returns for how long the first of the step's waiting tasks has had
// no run in service.
func (st *step) longestWait(now time.Time) time.Duration {
	var longest time.Duration
	for i := range st.tasks {
		if t := &st.tasks[i]; t.waits() && !t.notRunningSince.IsZero() {
			longest = max(longest, now.Sub(t.notRunningSince))
		}
	}
	return longest
}

// LastingLoad tells how many lasting tasks have no run.
type LastingLoad struct {
	// Waiting is the number of lasting tasks that have no run, and LongestWait the
	// longest time that one of them has not been in service.
	Waiting     int
	LongestWait time.Duration
}

// LastingLoad returns the lasting tasks that currently have no run.
func (s *Scheduler) LastingLoad(now time.Time) LastingLoad {
	var load LastingLoad
	for _, st := range s.openSteps {
		if st.phase.Lasting && st.waiting > 0 {
			load.Waiting += st.waiting
			load.LongestWait = max(load.LongestWait, st.longestWait(now))
		}
	}
	return load
}

// explainRecovery adds a note on each step that waits for workers which may have
// runs of the former owner, once per interval.
func (s *Scheduler) explainRecovery(now time.Time) {
	if s.recoveryDone {
		return
	}
	for _, st := range s.rankSteps(now, s.awaitsRecovery) {
		if !st.explainDue(now) {
			continue
		}
		silent := s.unreportedWorkers(st)
		s.addNote(fmt.Sprintf("step waits for workers that may have runs of the former owner: %d of %d tasks, %s, %d workers have not reported, such as %s",
			st.waiting, len(st.tasks), rankName(st.rank(now)), len(silent), strings.Join(silent[:min(maxNamedWorkers, len(silent))], " ")),
			TaskRef{
				Step: st.ref,
			}, "", now.Sub(s.ownerSince))
	}
}

// explainPlanned adds a note on the first planned run of a lasting task that has waited
// for a write for longer than StoreStallTimeout, once per interval.
func (s *Scheduler) explainPlanned(now time.Time) {
	if now.Sub(s.plannedExplainedAt) < lastingExplainInterval {
		return
	}
	for _, r := range s.plannedRuns {
		age := now.Sub(r.startedAt)
		if !r.lasting || age <= StoreStallTimeout {
			continue
		}
		s.plannedExplainedAt = now
		s.addNote(fmt.Sprintf("planned run waits for its placement to be stored: attempt %d, %d planned runs, last stored batch %d of %d",
			r.ref.Attempt, len(s.plannedRuns), s.storedBatch, s.nextBatch-1), r.ref.Task, r.worker.entry.Ref.ID, age)
		return
	}
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
	case rankExcessInTime:
		return "in time, beyond the entitled rate"
	case rankExcessLate:
		return "late, beyond the entitled rate"
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

// describeSuspects tells how many tasks wait to be started alone, if any.
func (st *step) describeSuspects() string {
	if n := st.waitingSuspects(); n > 0 {
		return fmt.Sprintf("; %d may have crashed a worker and are started alone", n)
	}
	return ""
}

// Losses counts the workers that were lost with runs on them, and these runs, each by
// the reason.
type Losses struct {
	Workers, Runs map[string]int
	// GivenUp is the number of tasks that were given up as they crash their workers.
	GivenUp int
	// Unstored is the number of planned runs that were dropped as the store takes no
	// writes.
	Unstored int
	// Outlived is the number of runs that were reported after their leases had counted as over,
	// and Unread that of ends which were acknowledged before this owner had read them.
	Outlived, Unread int
	// Unfenced holds, of each worker that started again, the time from the last sign of its former
	// incarnation to the first answer of the next one to its own token. Until then the next one
	// carries out calls that were meant for the former one.
	Unfenced []time.Duration
}

func newLosses() Losses {
	return Losses{
		Workers: make(map[string]int),
		Runs:    make(map[string]int),
	}
}

// Losses returns the losses since the last call.
func (s *Scheduler) Losses() Losses {
	losses := s.losses
	s.losses = newLosses()
	return losses
}

// describeLoss counts one more worker that was lost with a run of the run's task, and
// returns the count for the log with the age of the last confirmation of the ownership and
// the time from the order to start to the moment since which the worker is silent.
func (s *Scheduler) describeLoss(r *run, now time.Time) string {
	_, t := s.findTask(r.ref.Task)
	if t == nil {
		return ""
	}
	t.lostWorkers++
	text := fmt.Sprintf(", %d workers lost with a run of the task, attempt %d, ownership confirmed %v ago",
		t.lostWorkers, r.ref.Attempt, s.age(s.assignmentConfirmedAt, now).Round(time.Millisecond))
	if !r.worker.silentSince.IsZero() && r.state != runPlanned {
		text += fmt.Sprintf(", silent %v and last known to be up %v after the start",
			r.worker.silentSince.Sub(r.startedAt).Round(time.Millisecond), r.worker.aliveAt.Sub(r.startedAt).Round(time.Millisecond))
	}
	return text
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
