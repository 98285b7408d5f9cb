package scheduler

import (
	"slices"
	"strings"
	"time"
)

const (
	// recoveryMargin is added to the time after which the former owner's
	// leases have certainly ended: delivery of its last order.
	recoveryMargin = 200 * time.Millisecond
	// stopRepeat is how long an unanswered stop waits to be sent again. It is a
	// few round trips, as the run's room is held until then.
	stopRepeat = 300 * time.Millisecond
	// shunAfter is how many failures in a row, of two jobs or more, set a
	// worker aside.
	shunAfter = 3
	// shunFirst and shunMost bound for how long it is set aside: about the
	// length of a short task at first, and of the usual fault at most.
	shunFirst = time.Second
	shunMost  = 4 * time.Second
	// unhealthyPause is for how long a worker that refuses starts gets none.
	unhealthyPause = 500 * time.Millisecond
	// endsInReport is how many ends a worker lists at most in one report.
	endsInReport = 500
)

// End says how a run ended.
type End int

// The ways in which a run ends.
const (
	// EndUnknown is one that this release does not know.
	EndUnknown End = iota
	EndDone
	// EndFailed tells of a fault of the task or of the worker.
	EndFailed
	EndStopped
	// EndLapsed tells that the lease was not renewed.
	EndLapsed
	// EndBroken tells that another member of the gang ended.
	EndBroken
	// EndAlone tells that the other members did not come in time.
	EndAlone
)

// String implements fmt.Stringer.
func (e End) String() string {
	names := []string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(e) < len(names) {
		return names[e]
	}
	return "invalid"
}

// ActiveRun is a run that a worker reports as being there.
type ActiveRun struct {
	Run        RunRef
	Checkpoint string
	// Percent of the work that is done. A lasting task is at work at 100.
	Percent int
	// Tail is the response time of a task that has a target, else 0.
	Tail time.Duration
}

// EndedRun is a run that a worker reports as ended.
type EndedRun struct {
	// Number rises from 1 in one life of the worker.
	Number     int64
	Run        RunRef
	End        End
	Checkpoint string
}

// Report is what a worker says of itself.
type Report struct {
	// Clock is the worker's own.
	Clock  time.Duration
	Active []ActiveRun
	Ended  []EndedRun
}

// HoldOrder is what to tell a worker with the next renewal of its lease.
type HoldOrder struct {
	Worker WorkerRef
	// Lease is the end of the lease on the worker's clock, 0 to leave it as it
	// is.
	Lease time.Duration
	// Acknowledge is the highest number of an end that is stored.
	Acknowledge int64
	// Unstored tells that ends were reported that are not stored yet.
	Unstored bool
}

// SetWorkers takes the directory as it is now. Workers that it no longer names
// get nothing new.
func (s *Scheduler) SetWorkers(entries []WorkerEntry) {
	for _, w := range s.workers {
		w.listed = false
	}
	for _, entry := range entries {
		w := s.workers[entry.Ref.ID]
		if w == nil {
			w = newWorker(entry)
			s.workers[entry.Ref.ID] = w
		}
		w.entry = entry
		w.listed = true
	}
	for id, w := range s.workers {
		if !w.listed && len(w.runs) == 0 && (w.adopted || s.settled) {
			delete(s.workers, id)
		}
	}
}

// Expect names workers on which the former owner may have runs, whether or not
// the directory still names them.
func (s *Scheduler) Expect(entries []WorkerEntry) {
	for _, entry := range entries {
		if s.workers[entry.Ref.ID] == nil {
			w := newWorker(entry)
			w.recorded = true
			s.workers[entry.Ref.ID] = w
		}
	}
}

// unrecorded tells that the store does not name all workers.
func (s *Scheduler) unrecorded() bool {
	for _, w := range s.workers {
		if !w.recorded {
			return true
		}
	}
	return false
}

// inUse returns all workers on which there may be runs, by identity.
func (s *Scheduler) inUse() []WorkerEntry {
	entries := make([]WorkerEntry, 0, len(s.workers))
	for _, w := range s.workers {
		entries = append(entries, w.entry)
	}
	slices.SortFunc(entries, func(a, b WorkerEntry) int {
		return strings.Compare(a.Ref.ID, b.Ref.ID)
	})
	return entries
}

func newWorker(entry WorkerEntry) *worker {
	return &worker{
		entry:    entry,
		runs:     make(map[RunRef]*run),
		streak:   make(map[string]bool),
		slowness: 1,
	}
}

// Workers lists the workers to be held, in no order.
func (s *Scheduler) Workers() []WorkerRef {
	refs := make([]WorkerRef, 0, len(s.workers))
	for _, w := range s.workers {
		refs = append(refs, w.entry.Ref)
	}
	return refs
}

// HoldOrder returns what to tell a worker now, and whether it is known.
func (s *Scheduler) HoldOrder(id string, now time.Time) (HoldOrder, bool) {
	w := s.workers[id]
	if w == nil {
		return HoldOrder{}, false
	}
	for len(w.acks) > 0 && w.acks[0].batch <= s.written {
		w.acked = w.acks[0].number
		w.acks = w.acks[1:]
	}
	order := HoldOrder{
		Worker:      w.entry.Ref,
		Acknowledge: w.acked,
		Unstored:    len(w.acks) > 0,
	}
	if w.adopted && w.silent.IsZero() {
		order.Lease = s.extendLease(w, now)
	}
	return order, true
}

// extendLease returns the end of a lease that may be granted now, on the
// worker's clock. A next owner waits for the longest lease after it took over,
// so none may reach further than that from the last time at which this
// ownership was known to hold.
func (s *Scheduler) extendLease(w *worker, now time.Time) time.Duration {
	clock := w.clockAt(now)
	limit := time.Duration(float64(s.options.holdLimit)*slowestClock) - recoveryMargin - now.Sub(s.confirmed)
	w.lease = max(w.lease, clock+min(s.options.lease, limit))
	return w.lease
}

// HoldFailed tells that a renewal had no answer.
func (s *Scheduler) HoldFailed(id string, now time.Time) {
	if w := s.workers[id]; w != nil && w.silent.IsZero() {
		w.silent = now
	}
}

// WorkerGone tells that this life of a worker has ended for certain.
func (s *Scheduler) WorkerGone(id string, now time.Time) {
	w := s.workers[id]
	if w == nil {
		return
	}
	s.releaseAll(w, "worker ended", now)
	w.adopted = true
	if !w.listed {
		delete(s.workers, id)
		return
	}
	// The directory may lag behind.
	w.listed = false
	w.silent = now
}

// Report takes what a worker answered to a renewal that was sent at that time.
func (s *Scheduler) Report(id string, report Report, sent, now time.Time) {
	w := s.workers[id]
	if w == nil {
		return
	}
	if !w.adopted || report.Clock > w.clockAt(now) {
		w.clock = report.Clock
		w.seen = now
	}
	w.adopted = true
	w.heard = now
	w.silent = time.Time{}
	ended := make(map[RunRef]bool)
	for _, row := range report.Ended {
		ended[row.Run] = true
		if row.Number > w.ended {
			s.takeEnd(w, row, now)
		}
	}
	active := make(map[RunRef]bool, len(report.Active))
	for _, row := range report.Active {
		active[row.Run] = true
		s.takeActive(w, row, now)
	}
	if len(report.Ended) >= endsInReport {
		return
	}
	for ref, r := range w.runs {
		settled := !r.answered.IsZero() && r.answered.Before(sent)
		if settled && !active[ref] && !ended[ref] {
			s.lose(r, "not there", now)
		}
	}
}

// takeEnd takes in one end.
func (s *Scheduler) takeEnd(w *worker, row EndedRun, now time.Time) {
	w.ended = row.Number
	if r := w.runs[row.Run]; r != nil {
		s.learn(r, row.End, now)
		w.remove(r)
	}
	before := len(s.dirty)
	changed := s.applyEnd(w, row, now)
	batch := int64(0)
	if changed || len(s.dirty) > before {
		batch = s.batch
	}
	w.acks = append(w.acks, pendingAck{
		number: row.Number,
		batch:  batch,
	})
}

// applyEnd changes the task of a run that ended. It reports whether the
// progress of the job changed.
func (s *Scheduler) applyEnd(w *worker, row EndedRun, now time.Time) bool {
	st, t := s.find(row.Run.Task)
	if t == nil || st.job.state.Final() {
		return false
	}
	own := t.run != nil && t.run.ref == row.Run
	if own {
		s.unassign(st, t, now)
	}
	if row.Checkpoint != "" && !t.done {
		st.keepCheckpoint(row.Run.Task.Index, row.Checkpoint)
	}
	id := st.job.record.ID
	switch row.End {
	case EndDone:
		if st.phase.Lasting {
			break
		}
		if st.phase.Gang {
			for i := range st.tasks {
				s.taskDone(st, &st.tasks[i], now)
			}
		} else {
			s.taskDone(st, t, now)
		}
		s.dirty[id] = true
		s.stepDone(st, now)
		return true
	case EndFailed:
		t.avoid = append(t.avoid, w.entry.Ref.ID)
		if !st.phase.Lasting {
			s.taskFailed(st, t, row.Run.Attempt, now)
			s.dirty[id] = true
		}
		if st.phase.Gang && own {
			s.breakGang(st, "a member failed", now)
		}
		return !st.phase.Lasting
	case EndStopped, EndLapsed, EndBroken, EndAlone, EndUnknown:
		if st.phase.Gang && own {
			s.breakGang(st, "a member ended "+row.End.String(), now)
		}
	}
	return false
}

func (s *Scheduler) taskDone(st *step, t *task, now time.Time) {
	if t.done {
		return
	}
	if r := t.run; r != nil {
		s.unassign(st, t, now)
		if _, there := r.worker.runs[r.ref]; there && !st.phase.Gang {
			s.stop(r, now, "done elsewhere")
		}
	}
	t.done = true
	st.done++
	st.waiting--
}

func (s *Scheduler) taskFailed(st *step, t *task, attempt int64, now time.Time) {
	failures := &t.failures
	if st.phase.Gang {
		failures = &st.gangFailures
	}
	*failures = addAttempt(*failures, attempt)
	if len(*failures) >= max(1, st.job.record.Queue.MaxAttempts) {
		s.end(st.job, Failed, now)
	}
}

// stepDone opens what depended on a step, and ends the job with its last step.
func (s *Scheduler) stepDone(st *step, now time.Time) {
	if st.done < len(st.tasks) {
		return
	}
	delete(s.open, st.ref)
	for i := range st.job.record.Phases {
		next := st.ref
		next.Phase = i
		s.release(st.job.steps[next])
	}
	s.finish(st.job, now)
}

// takeActive takes in one run that a worker has.
func (s *Scheduler) takeActive(w *worker, row ActiveRun, now time.Time) {
	r := w.runs[row.Run]
	if r == nil {
		r = s.adopt(w, row, now)
	}
	if r.state == runStarting {
		r.state = runWorking
	}
	if r.answered.IsZero() {
		r.answered = now
	}
	if row.Percent > r.percent {
		r.percent = row.Percent
		r.moved = now
	}
	r.gauge = int64(row.Tail)
	st, t := s.find(row.Run.Task)
	if t == nil || t.run != r {
		return
	}
	s.begin(st.job)
	if row.Checkpoint != "" {
		st.keepCheckpoint(row.Run.Task.Index, row.Checkpoint)
	}
	if st.phase.Lasting && row.Percent >= 100 {
		t.away = time.Time{}
	}
}

// adopt takes over a run that this owner did not start, or no longer counts
// on. One that is not wanted is told to end.
func (s *Scheduler) adopt(w *worker, row ActiveRun, now time.Time) *run {
	st, t := s.find(row.Run.Task)
	r := &run{
		ref:      row.Run,
		worker:   w,
		state:    runWorking,
		began:    now,
		answered: now,
		moved:    now,
		pace:     100,
	}
	s.describeFound(r, st)
	w.add(r)
	wanted := t != nil && !t.done && t.run == nil && !st.job.state.Final()
	if wanted && st.phase.Gang && st.gang != 0 && st.gang != row.Run.Attempt {
		wanted = false
	}
	if !wanted {
		s.stop(r, now, "not wanted")
		return r
	}
	if st.phase.Gang {
		st.gang = row.Run.Attempt
	}
	t.run = r
	st.waiting--
	if st.waiting == 0 {
		delete(s.open, st.ref)
	}
	if j := st.job; !j.workers[w.entry.Ref.ID] {
		j.workers[w.entry.Ref.ID] = true
		s.dirty[j.record.ID] = true
	}
	return r
}

// describeFound describes a run that was found on a worker. One of a job that
// has ended holds its room until it is gone. One of a job that is not known
// may hold all of it.
func (s *Scheduler) describeFound(r *run, st *step) {
	if st != nil {
		r.describe(st)
		return
	}
	r.size = r.worker.entry.Total
	ref := r.ref.Task.Step
	if j := s.jobs[ref.Job]; j != nil && ref.Phase >= 0 && ref.Phase < len(j.record.Phases) {
		r.size = sizeOf(&j.record.Phases[ref.Phase])
	}
}

// describe copies what matters of a run's step.
func (r *run) describe(st *step) {
	r.size = sizeOf(st.phase)
	r.fills = st.phase.Fills
	r.serves = st.phase.Lasting && st.phase.TailTarget > 0
	r.estimate = st.phase.Estimate
	r.gang = st.phase.Gang
	r.lasting = st.phase.Lasting
}

// find returns the step and the task, or nil.
func (s *Scheduler) find(ref TaskRef) (*step, *task) {
	j := s.jobs[ref.Step.Job]
	if j == nil {
		return nil, nil
	}
	st := j.steps[ref.Step]
	if st == nil || ref.Index < 0 || ref.Index >= len(st.tasks) {
		return nil, nil
	}
	return st, &st.tasks[ref.Index]
}

// unassign takes the run away from its task, which then waits again.
func (s *Scheduler) unassign(st *step, t *task, now time.Time) {
	t.run = nil
	if t.done {
		return
	}
	st.waiting++
	if t.away.IsZero() {
		t.away = now
	}
	if !st.job.state.Final() && st.ready() {
		s.open[st.ref] = st
	}
}

// lose frees the room of a run that has certainly ended, in no known way.
func (s *Scheduler) lose(r *run, reason string, now time.Time) {
	r.worker.remove(r)
	s.note("run lost: "+reason, r.ref.Task, r.worker.entry.Ref.ID, now.Sub(r.began))
	st, t := s.find(r.ref.Task)
	if t == nil || t.run != r {
		return
	}
	s.unassign(st, t, now)
	if st.phase.Gang {
		st.retry = now.Add(refusedPause)
		s.breakGang(st, "a member was lost", now)
	}
}

func (s *Scheduler) releaseAll(w *worker, reason string, now time.Time) {
	for _, r := range sortedRuns(w) {
		s.lose(r, reason, now)
	}
}

func sortedRuns(w *worker) []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return compareTasks(a.ref.Task, b.ref.Task)
	})
	return runs
}

func compareTasks(a, b TaskRef) int {
	if c := compareSteps(a.Step, b.Step); c != 0 {
		return c
	}
	return a.Index - b.Index
}

// keepCheckpoint keeps a checkpoint for a task, or for a whole gang.
func (st *step) keepCheckpoint(index int, value string) {
	if !st.phase.Gang {
		st.tasks[index].checkpoint = value
		return
	}
	for i := range st.tasks {
		st.tasks[i].checkpoint = value
	}
}

// stop tells a run to end, or never to begin.
func (s *Scheduler) stop(r *run, now time.Time, reason string) {
	if r.state == runPlanned {
		// It was never sent.
		r.worker.remove(r)
		if st, t := s.find(r.ref.Task); t != nil && t.run == r {
			s.unassign(st, t, now)
		}
		return
	}
	if r.state != runUncertain {
		r.state = runStopping
	}
	if r.stopping {
		return
	}
	r.stopping = true
	r.stopSent = now
	s.emit(StopTask{
		Run:    r.ref,
		Worker: r.worker.entry.Ref,
		Reason: reason,
	})
}

// StopAnswered tells whether a stop was answered.
func (s *Scheduler) StopAnswered(workerID string, ref RunRef, answered bool, now time.Time) {
	w := s.workers[workerID]
	if w == nil || w.runs[ref] == nil {
		return
	}
	r := w.runs[ref]
	r.stopping = false
	if answered {
		// A report that is asked for from now on lists the run or its end, or
		// there is none.
		r.answered = now
		r.state = runStopping
	}
}

// StartAnswered tells what came of a start.
func (s *Scheduler) StartAnswered(workerID string, ref RunRef, outcome StartOutcome, now time.Time) {
	w := s.workers[workerID]
	if w == nil || w.runs[ref] == nil {
		return
	}
	r := w.runs[ref]
	switch outcome {
	case StartDone:
		if r.state == runStarting {
			r.state = runWorking
			r.moved = now
		}
		r.answered = now
	case StartRefused:
		s.lose(r, "start refused", now)
	case StartUnhealthy:
		w.shunned = now.Add(unhealthyPause)
		s.lose(r, "worker unhealthy", now)
	case StartNoTicket:
		if st, _ := s.find(ref.Task); st != nil {
			delete(st.advice.tickets, workerID)
			delete(st.advice.asked, workerID)
		}
		s.lose(r, "ticket refused", now)
	case StartUnknown:
		if r.answered.IsZero() {
			r.state = runUncertain
			s.stop(r, now, "start not answered")
		}
	case StartSuperseded:
		s.lose(r, "superseded", now)
	case StartWorkerGone:
		s.WorkerGone(workerID, now)
	}
}

// learn keeps what an end says of the worker.
func (s *Scheduler) learn(r *run, end End, now time.Time) {
	w := r.worker
	switch end {
	case EndDone:
		w.fails = 0
		w.shuns = 0
		w.shunned = time.Time{}
		clear(w.streak)
	case EndFailed:
		w.fails++
		w.streak[r.ref.Task.Step.Job] = true
		if w.fails >= shunAfter && len(w.streak) > 1 {
			w.shuns++
			w.shunned = now.Add(min(shunMost, shunFirst<<min(w.shuns-1, 4)))
			s.note("worker set aside after failures", r.ref.Task, w.entry.Ref.ID, 0)
		}
	case EndUnknown, EndStopped, EndLapsed, EndBroken, EndAlone:
	}
	if end == EndDone && !r.gang && !r.lasting && r.estimate > 0 && r.pace == 100 {
		s.learnSpeed(r, now)
	}
}

const (
	// speedWeight is what one run changes of a learnt speed.
	speedWeight = 0.3
	// queueWeight is the same for a whole queue, which has many more runs.
	queueWeight = 0.02
)

// learnSpeed compares the time that a run took with that of the others of its
// step, which are alike. Estimates are too far off to compare with.
func (s *Scheduler) learnSpeed(r *run, now time.Time) {
	st, _ := s.find(r.ref.Task)
	if st == nil {
		return
	}
	took := now.Sub(r.began)
	if st.runs > 0 {
		relative := float64(took) * float64(st.runs) / float64(st.ran)
		r.worker.slowness += speedWeight * (relative - r.worker.slowness)
	}
	st.runs++
	st.ran += took
	q := s.stats(st.job.record.Queue.Name)
	q.stretch += queueWeight * (float64(took)/float64(r.estimate) - q.stretch)
}
