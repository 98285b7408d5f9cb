package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// The bounds of the settings that newEntry writes.
const (
	stormContact     = 3 * time.Second
	stormCancel      = 3 * time.Second
	stormStop        = 900 * time.Millisecond
	stormVisible     = 3 * time.Second
	stormEarly       = 250 * time.Millisecond
	stormGangTimeout = 3 * time.Second
	stormMaxAttempts = 3
	// stormLastingGap is how long a task that lasts may have no run.
	stormLastingGap = 6 * time.Second
	// deletedAfter is added to status_s before the owner deletes an ended job.
	deletedAfter = 10 * time.Second
)

// calendar lists the disruptions of a storm.
type calendar struct {
	mu    sync.Mutex
	spans []*span
}

// span is a disruption of an entry, of a worker, or of the store if target is empty.
type span struct {
	target, what string
	from         time.Time
	// to is zero while the disruption goes on.
	to time.Time
}

func (c *calendar) begin(target, what string) *span {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &span{
		target: target,
		what:   what,
		from:   time.Now(),
	}
	c.spans = append(c.spans, s)
	return s
}

func (c *calendar) end(spans ...*span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range spans {
		s.to = time.Now()
	}
}

// inTouch reports whether neither the entry nor the store met a disruption between
// contact_ms before the time and the time.
func (c *calendar) inTouch(entry string, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.spans {
		if s.target != "" && s.target != entry {
			continue
		}
		if s.from.Before(at) && (s.to.IsZero() || s.to.After(at.Add(-stormContact))) {
			return false
		}
	}
	return true
}

// stormPhase is a phase of a job of a storm.
type stormPhase struct {
	tasks         int
	cpu           int
	takes         time.Duration
	dependsOn     []int
	gang          bool
	checkpointing bool
	speculative   bool
	lasting       bool
	antiAffinity  int
	// failing is set if every run of the phase's tasks fails.
	failing bool
}

// stormJob is what the clients and the store have seen of a job.
type stormJob struct {
	id, route, service, spec string
	phases                   []stormPhase
	// start and interval are set for a job with times.
	start       time.Time
	interval    time.Duration
	repetitions int
	handIns     int
	refusals    int
	accepted    time.Time
	cancelSent  time.Time
	// cancelled is the time of the first 2xx answer to a cancelling.
	cancelled time.Time
	// cancelGone is set if a cancelling was answered with 410.
	cancelGone bool
	completed  time.Time
	failed     time.Time
	// jobStored, cancelStored, progressDeleted and jobDeleted are the times of the first
	// such records that the store took.
	jobStored, cancelStored, progressDeleted, jobDeleted time.Time
	// lastEnd is the time of the last end of a run.
	lastEnd time.Time
	// finished is the time at which the last task that had not ended done ended so.
	finished time.Time
}

func (j *stormJob) occurrences() int { return max(1, j.repetitions) }

// lasts reports whether the job runs until it is cancelled.
func (j *stormJob) lasts() bool {
	return slices.ContainsFunc(j.phases, func(p stormPhase) bool { return p.lasting })
}

func (j *stormJob) fails() bool {
	return slices.ContainsFunc(j.phases, func(p stormPhase) bool { return p.failing })
}

// runID names a run on one life of a worker.
type runID struct {
	worker  *worker
	attempt int64
}

type doneEnd struct {
	at, noted time.Time
	run       runID
}

type taskStart struct {
	at    time.Time
	run   runID
	entry string
	// late is set if the worker carried the order out late.
	late bool
	// inTouch is whether the entry was in touch then.
	inTouch bool
	text    string
}

// isTimely reports whether the rules with a time bound hold for the start.
func (s taskStart) isTimely() bool { return s.inTouch && !s.late }

type stormTask struct {
	active map[runID]time.Time
	// lastEnd is the time of the last end of a run.
	lastEnd time.Time
	starts  []taskStart
	dones   []doneEnd
	// failedNoted counts the ends as failed that were taken note of, and crashes the runs
	// that ended with their worker.
	failedNoted, crashes int
}

// gangRun is one attempt of a gang.
type gangRun struct {
	members                int
	present                map[string]bool
	whole, done, brokenFor bool
	wholeAt                time.Time
}

// checkpoint is saved progress.
type checkpoint struct {
	// subject is the task, or the step of a gang.
	subject string
	share   float64
}

type breach struct {
	rule, job, text, class string
}

// ledger knows all jobs, runs and ends of a storm, and checks the rules.
type ledger struct {
	rec      *recorder
	calendar *calendar
	status   time.Duration

	mu          sync.Mutex
	jobs        map[string]*stormJob
	order       []string
	tasks       map[string]*stormTask
	gangs       map[string]*gangRun
	checkpoints map[string]checkpoint
	breaches    []breach
	starts      int
	// tokens holds the fencing tokens of the owners that ordered starts.
	tokens map[int64]bool
	// startedAt is the time of the last start of a task that does not last.
	startedAt time.Time
}

func newLedger(rec *recorder, calendar *calendar, status time.Duration) *ledger {
	return &ledger{
		rec:         rec,
		calendar:    calendar,
		status:      status,
		jobs:        make(map[string]*stormJob),
		tasks:       make(map[string]*stormTask),
		gangs:       make(map[string]*gangRun),
		checkpoints: make(map[string]checkpoint),
		tokens:      make(map[int64]bool),
	}
}

func (l *ledger) addJob(job *stormJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[job.id] = job
	l.order = append(l.order, job.id)
}

// update changes what is known of a job.
func (l *ledger) update(id string, change func(*stormJob)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if job := l.jobs[id]; job != nil {
		change(job)
	}
}

// job returns a copy of what is known of a job that was added.
func (l *ledger) job(id string) stormJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *l.jobs[id]
}

// broken records that a rule is broken. class tells breaches of one rule apart by their
// likely cause. The caller holds mu.
func (l *ledger) broken(rule, job, class, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.breaches = append(l.breaches, breach{
		rule:  rule,
		job:   job,
		text:  text,
		class: class,
	})
	l.rec.printf("BROKEN %s (%s): %s", rule, class, text)
}

// taskParts returns the job, occurrence, phase and index of a task.
func taskParts(task string) (job string, occurrence, phase, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0
	}
	_, _ = fmt.Sscan(strings.Join(parts[1:], " "), &occurrence, &phase, &index)
	return parts[0], occurrence, phase, index
}

func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

// subjectOf returns what a checkpoint of a run of the task is valid for: the task, or the
// step of a gang.
func subjectOf(task string, gang bool) string {
	if gang {
		return stepOf(task)
	}
	return task
}

// phaseOf returns the phase of a task, or false if nobody sent it.
func (l *ledger) phaseOf(task string) (stormPhase, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, occurrence, phase, index := taskParts(task)
	job := l.jobs[id]
	if job == nil || phase >= len(job.phases) || index >= job.phases[phase].tasks || occurrence >= job.occurrences() {
		return stormPhase{}, false
	}
	return job.phases[phase], true
}

func (l *ledger) task(name string) *stormTask {
	t := l.tasks[name]
	if t == nil {
		t = &stormTask{
			active: make(map[runID]time.Time),
		}
		l.tasks[name] = t
	}
	return t
}

// started records and checks a start.
func (l *ledger) started(task string, run runID, o stormOrder, entry string, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.starts++
	l.tokens[o.FencingToken] = true
	id, occurrence, phase, index := taskParts(task)
	job := l.jobs[id]
	if job == nil || phase >= len(job.phases) || index >= job.phases[phase].tasks || occurrence >= job.occurrences() {
		l.broken("UNASKED", id, "unknown", "%s was started on %s, and nobody sent it", task, run.worker.id)
		return
	}
	p := job.phases[phase]
	t := l.task(task)
	start := taskStart{
		at:      now,
		run:     run,
		entry:   entry,
		late:    late,
		inTouch: l.calendar.inTouch(entry, now),
	}
	start.text = fmt.Sprintf("%s attempt %d on %s by %s (late %v, in touch %v, token %d)",
		task, run.attempt, run.worker.id, entry, late, start.inTouch, o.FencingToken)
	l.checkContent(job, p, task, o, start)
	l.checkPlace(job, p, task, start)
	l.checkTwice(job, p, t, start)
	l.checkOrder(job, p, occurrence, start)
	if !p.lasting && t.failedNoted >= stormMaxAttempts && !p.speculative {
		l.broken("BUDGET", id, "attempts", "%s after %d ends as failed", start.text, t.failedNoted)
	}
	if start.isTimely() && !job.cancelled.IsZero() && now.Sub(job.cancelled) > stormCancel {
		l.broken("UNASKED", id, l.cancelClass(job), "%s, %.2f s after its cancelling was acknowledged", start.text, now.Sub(job.cancelled).Seconds())
	}
	if !p.lasting {
		l.startedAt = now
	}
	t.starts = append(t.starts, start)
	t.active[run] = now
}

// checkContent checks that an order carries what the client sent, and a checkpoint of its
// task. The caller holds mu.
func (l *ledger) checkContent(job *stormJob, p stormPhase, task string, o stormOrder, start taskStart) {
	if o.Spec != job.spec {
		l.broken("UNASKED", job.id, "spec", "%s: spec %q", start.text, o.Spec)
	}
	if o.Checkpoint == "" {
		return
	}
	if saved := l.checkpoints[o.Checkpoint]; saved.subject != subjectOf(task, p.gang) {
		l.broken("UNASKED", job.id, "checkpoint", "%s: checkpoint %q is of %q", start.text, o.Checkpoint, saved.subject)
	}
}

// checkPlace checks the worker of a start. The caller holds mu.
func (l *ledger) checkPlace(job *stormJob, p stormPhase, task string, start taskStart) {
	if job.service != start.run.worker.service {
		l.broken("ROUTE", job.id, "service", "%s: a worker of %s", start.text, start.run.worker.service)
	}
	if p.antiAffinity == 0 {
		return
	}
	beside := 0
	for i := range p.tasks {
		for other := range l.task(fmt.Sprintf("%s.%d", stepOf(task), i)).active {
			if other.worker == start.run.worker {
				beside++
			}
		}
	}
	if beside >= p.antiAffinity {
		l.broken("ROUTE", job.id, "anti_affinity", "%s: beside %d others of its step", start.text, beside)
	}
}

// checkTwice checks a start against the runs of its task that go on, and where that does
// not wait for the end of the storm, against those that have ended. The caller holds mu.
func (l *ledger) checkTwice(job *stormJob, p stormPhase, t *stormTask, start taskStart) {
	if !p.speculative {
		for other, since := range t.active {
			if other.worker.leaseOver() {
				continue
			}
			l.broken("TWICE", job.id, l.twiceClass(job, start.at), "%s beside attempt %d on %s, which has run for %.2f s",
				start.text, other.attempt, other.worker.id, start.at.Sub(since).Seconds())
		}
	}
	if !start.isTimely() {
		return
	}
	for _, done := range t.dones {
		if p.speculative && !done.noted.IsZero() && start.at.Sub(done.noted) > time.Second {
			l.broken("TWICE", job.id, l.twiceClass(job, start.at), "%s, %.2f s after an end done was taken note of", start.text, start.at.Sub(done.noted).Seconds())
		}
	}
	if !job.completed.IsZero() && start.at.Sub(job.completed) > time.Second {
		l.broken("TWICE", job.id, l.twiceClass(job, start.at), "%s, %.2f s after the job was shown as completed", start.text, start.at.Sub(job.completed).Seconds())
	}
}

// checkOrder checks that the phases before are done, and that the time has come. The caller
// holds mu.
func (l *ledger) checkOrder(job *stormJob, p stormPhase, occurrence int, start taskStart) {
	for _, on := range p.dependsOn {
		for i := range job.phases[on].tasks {
			if !l.hasDone(fmt.Sprintf("%s.%d.%d.%d", job.id, occurrence, on, i), job.phases[on]) {
				l.broken("ORDER", job.id, "depends_on", "%s before task %d of phase %d was done", start.text, i, on)
				break
			}
		}
	}
	if job.repetitions == 0 || start.late {
		return
	}
	if early := job.start.Add(time.Duration(occurrence) * job.interval).Sub(start.at); early > stormEarly {
		l.broken("ORDER", job.id, "early", "%s, %.2f s early", start.text, early.Seconds())
	}
}

// hasDone reports whether a task has ended done. One such end represents a whole gang. The
// caller holds mu.
func (l *ledger) hasDone(task string, p stormPhase) bool {
	if !p.gang {
		return len(l.task(task).dones) > 0
	}
	for i := range p.tasks {
		if len(l.task(fmt.Sprintf("%s.%d", stepOf(task), i)).dones) > 0 {
			return true
		}
	}
	return false
}

// twiceClass tells starts after the deletion of a job's records from others. The caller
// holds mu.
func (l *ledger) twiceClass(job *stormJob, now time.Time) string {
	switch {
	case !job.progressDeleted.IsZero():
		return "after its progress was deleted"
	case !job.finished.IsZero() && now.Sub(job.finished) > l.status+deletedAfter:
		return "after status_s"
	default:
		return "before status_s"
	}
}

// cancelClass tells a cancelling that was stored before its job from others. The caller
// holds mu.
func (l *ledger) cancelClass(job *stormJob) string {
	switch {
	case job.cancelStored.IsZero():
		return "cancelling never stored"
	case job.cancelStored.Before(job.jobStored):
		return "cancelling stored before the job"
	default:
		return "cancelling stored after the job"
	}
}

// ended records the end of a run.
func (l *ledger) ended(task string, run runID, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	t := l.task(task)
	delete(t.active, run)
	t.lastEnd = now
	id, _, phase, _ := taskParts(task)
	job := l.jobs[id]
	if job == nil {
		return
	}
	job.lastEnd = now
	if how == crashedEnd {
		t.crashes++
	}
	if how == "done" {
		t.dones = append(t.dones, doneEnd{
			at:  now,
			run: run,
		})
		if job.finished.IsZero() && l.isFinished(job) {
			job.finished = now
		}
	}
	if job.phases[phase].gang {
		if gang := l.gangs[fmt.Sprintf("%s#%d", stepOf(task), run.attempt)]; gang != nil {
			if how == "done" {
				gang.done = true
			} else {
				gang.brokenFor = true
			}
		}
	}
}

// isFinished reports whether all tasks of a job have ended done. The caller holds mu.
func (l *ledger) isFinished(job *stormJob) bool {
	for k := range job.occurrences() {
		for i, p := range job.phases {
			for n := range p.tasks {
				if !l.hasDone(fmt.Sprintf("%s.%d.%d.%d", job.id, k, i, n), p) {
					return false
				}
			}
		}
	}
	return true
}

// noted records that an end was taken note of.
func (l *ledger) noted(task string, run runID, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(task)
	switch how {
	case "done":
		for i := range t.dones {
			if t.dones[i].run == run && t.dones[i].noted.IsZero() {
				t.dones[i].noted = time.Now()
			}
		}
	case "failed":
		t.failedNoted++
	}
}

// joinGang records that a member of a gang is present.
func (l *ledger) joinGang(task string, attempt int64, members int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := fmt.Sprintf("%s#%d", stepOf(task), attempt)
	gang := l.gangs[key]
	if gang == nil {
		gang = &gangRun{
			members: members,
			present: make(map[string]bool),
		}
		l.gangs[key] = gang
	}
	gang.present[task] = true
	if len(gang.present) == gang.members && !gang.whole {
		gang.whole = true
		gang.wholeAt = time.Now()
	}
}

// gang returns the state of one attempt of a gang.
func (l *ledger) gang(task string, attempt int64) (wholeAt time.Time, done, isBroken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gang := l.gangs[fmt.Sprintf("%s#%d", stepOf(task), attempt)]
	if gang == nil {
		return time.Time{}, false, false
	}
	return gang.wholeAt, gang.done, gang.brokenFor
}

// save returns a new checkpoint.
func (l *ledger) save(task string, gang bool, share float64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	value := fmt.Sprintf("%08x%s", len(l.checkpoints)+1, task[:8])
	l.checkpoints[value] = checkpoint{
		subject: subjectOf(task, gang),
		share:   share,
	}
	return value
}

func (l *ledger) saved(value string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checkpoints[value].share
}

// stored records that the store took a record.
func (l *ledger) stored(topic, key string, deleted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, isCancel := strings.CutSuffix(key, "/cancel")
	job := l.jobs[id]
	if job == nil {
		return
	}
	now := time.Now()
	first := func(at *time.Time) {
		if at.IsZero() {
			*at = now
		}
	}
	switch {
	case topic == "progress" && deleted:
		first(&job.progressDeleted)
		l.rec.printf("store: progress of %s deleted", id)
	case topic == "jobs" && deleted && !isCancel:
		first(&job.jobDeleted)
	case topic == "jobs" && !deleted && isCancel:
		first(&job.cancelStored)
	case topic == "jobs" && !deleted:
		first(&job.jobStored)
	}
}

// shown checks the state that a client was given.
func (l *ledger) shown(id, entry string, status int, state string, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	job := l.jobs[id]
	if job == nil {
		return
	}
	inTouch := l.calendar.inTouch(entry, now)
	if status == 410 {
		ended := l.endedAt(job)
		kept := ended.IsZero() || asked.Sub(ended) < l.status-time.Second
		if !job.accepted.IsZero() && asked.Sub(job.accepted) > stormVisible && inTouch && job.cancelSent.IsZero() && kept {
			l.broken("LOST", id, "410", "%s answered 410 for %s, accepted %.2f s before", entry, id, now.Sub(job.accepted).Seconds())
		}
		return
	}
	switch state {
	case "completed":
		if job.completed.IsZero() {
			job.completed = now
		}
		if !l.isFinished(job) {
			l.broken("MIXED", id, "completed", "%s showed %s as completed before all its tasks were done", entry, id)
		}
	case "failed":
		if job.failed.IsZero() {
			job.failed = now
		}
		if !job.fails() && !l.mayBeGivenUp(job) {
			l.broken("LOST", id, "failed", "%s showed %s as failed, under whose tasks %d workers crashed at most", entry, id, l.mostCrashes(job))
		}
	case "canceled":
		if job.cancelSent.IsZero() {
			l.broken("LOST", id, "canceled", "%s showed %s as canceled, and nobody cancelled it", entry, id)
		}
	}
}

// crashedEnd is how runs end with a worker that crashes.
const crashedEnd = "crashed"

// mostCrashes returns how many workers have crashed under one of the tasks of a job. The
// caller holds mu.
func (l *ledger) mostCrashes(job *stormJob) int {
	most := 0
	for name, t := range l.tasks {
		if strings.HasPrefix(name, job.id+".") {
			most = max(most, t.crashes)
		}
	}
	return most
}

// mayBeGivenUp reports whether a job may be shown as failed as two workers have crashed
// under one of its tasks. The caller holds mu.
func (l *ledger) mayBeGivenUp(job *stormJob) bool { return l.mostCrashes(job) >= 2 }

// endedAt returns the time at which a job ended, or at the earliest may have been given up.
// It is zero before. The caller holds mu.
func (l *ledger) endedAt(job *stormJob) time.Time {
	if job.finished.IsZero() && (job.fails() || l.mayBeGivenUp(job)) {
		return job.lastEnd
	}
	return job.finished
}

// mustEnd reports whether a job was accepted, and must be completed in the end. The caller
// holds mu.
func (l *ledger) mustEnd(job *stormJob) bool {
	givenUp := !job.failed.IsZero() && l.mayBeGivenUp(job)
	return !job.accepted.IsZero() && job.cancelSent.IsZero() && !job.fails() && !givenUp
}

// unfinished returns the accepted jobs that nobody has cancelled and that have not ended.
func (l *ledger) unfinished() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for _, id := range l.order {
		job := l.jobs[id]
		if l.mustEnd(job) && !job.lasts() && !l.isFinished(job) {
			ids = append(ids, id)
		}
	}
	return ids
}

// finish makes the checks that need the whole storm. calmSince is the end of the last
// disruption. stuck is whether jobs that have not ended no longer start.
func (l *ledger) finish(calmSince time.Time, stuck bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.order {
		job := l.jobs[id]
		ran := false
		for name, t := range l.tasks {
			if !strings.HasPrefix(name, id+".") {
				continue
			}
			ran = ran || len(t.starts) > 0
			l.checkStartsAfterDone(job, name, t)
			l.checkRunsOn(job, name, t, calmSince)
		}
		if ran && job.handIns > 0 && job.refusals == job.handIns {
			l.broken("REFUSED", id, "refused", "%s ran, and all its %d hand-ins were refused", id, job.handIns)
		}
		if l.mustEnd(job) {
			l.checkLost(job, stuck)
		}
	}
}

// checkRunsOn checks that nothing runs of a cancelled job. The caller holds mu.
func (l *ledger) checkRunsOn(job *stormJob, name string, t *stormTask, calmSince time.Time) {
	if len(t.active) == 0 || time.Since(calmSince) <= stormContact+stormCancel+stormStop {
		return
	}
	if !job.cancelled.IsZero() && time.Since(job.cancelled) > stormCancel+stormStop {
		l.broken("UNASKED", job.id, l.cancelClass(job), "%s still runs %.1f s after its cancelling was acknowledged", name, time.Since(job.cancelled).Seconds())
	}
	if job.cancelled.IsZero() && job.cancelGone && job.accepted.IsZero() {
		l.broken("UNASKED", job.id, "cancelling answered 410", "%s still runs", name)
	}
}

// checkLost checks a job that must end, or of which lasting tasks must run. The caller
// holds mu.
func (l *ledger) checkLost(job *stormJob, stuck bool) {
	if !job.lasts() {
		if stuck && !l.isFinished(job) {
			l.broken("LOST", job.id, "unfinished", "%s, accepted %.1f s before the end, has not ended: %s", job.id, time.Since(job.accepted).Seconds(), l.describe(job))
		}
		return
	}
	for i, p := range job.phases {
		for n := range p.tasks {
			name := fmt.Sprintf("%s.0.%d.%d", job.id, i, n)
			t := l.task(name)
			without := min(time.Since(t.lastEnd), time.Since(job.accepted))
			if p.lasting && len(t.active) == 0 && without > stormLastingGap {
				l.broken("LOST", job.id, "lasting", "%s has not run for %.1f s", name, without.Seconds())
			}
		}
	}
}

// checkStartsAfterDone checks the starts of a task against its ends done that were taken
// note of. The caller holds mu.
func (l *ledger) checkStartsAfterDone(job *stormJob, name string, t *stormTask) {
	_, _, phase, _ := taskParts(name)
	if job.phases[phase].speculative {
		return
	}
	for _, s := range t.starts {
		for _, done := range t.dones {
			if done.noted.IsZero() || !s.at.After(done.at) {
				continue
			}
			l.broken("TWICE", job.id, l.twiceClass(job, s.at), "%s attempt %d was started on %s by %s at %.3f (late %v), %.2f s after attempt %d ended done on %s, taken note of %.2f s after its end",
				name, s.run.attempt, s.run.worker.id, s.entry, s.at.Sub(l.rec.began).Seconds(), s.late, s.at.Sub(done.at).Seconds(), done.run.attempt, done.run.worker.id, done.noted.Sub(done.at).Seconds())
			break
		}
	}
}

// describe returns the state of the tasks of a job. The caller holds mu.
func (l *ledger) describe(job *stormJob) string {
	var parts []string
	for i, p := range job.phases {
		running, done := 0, 0
		for n := range p.tasks {
			t := l.task(fmt.Sprintf("%s.%d.%d.%d", job.id, job.occurrences()-1, i, n))
			if len(t.active) > 0 {
				running++
			}
			if len(t.dones) > 0 {
				done++
			}
		}
		parts = append(parts, fmt.Sprintf("phase %d: %d tasks, %d running, %d done, gang %v", i, p.tasks, running, done, p.gang))
	}
	return strings.Join(parts, "; ")
}

// overLimit records a start that brings a worker over its capacity.
func (l *ledger) overLimit(task, worker string, used, capacity int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, _, _, _ := taskParts(task)
	l.broken("LIMIT", id, "cpu", "%s brings %s to %d of %d", task, worker, used, capacity)
}

// accepted returns the accepted jobs whose state must still be known, or that have not
// ended.
func (l *ledger) accepted() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for _, id := range l.order {
		job := l.jobs[id]
		if !job.accepted.IsZero() && job.cancelSent.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// sinceStart returns the time since the last start of a task that does not last.
func (l *ledger) sinceStart() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.startedAt)
}
