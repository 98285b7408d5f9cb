package placer

import (
	"fmt"
	"time"
)

const (
	// maxBackoffShift bounds how often a wait is doubled.
	maxBackoffShift = 16
	// refusalLimit is after how many refusals in a row a worker is set aside.
	refusalLimit = 10
	// lapseLimit is how often a task is started again after its lease lapsed.
	lapseLimit = 10
	// jobRetries and jobRetryShare are the budget of a job: so many retries, and
	// one more for so many of its tasks.
	jobRetries    = 10
	jobRetryShare = 5
)

// phase says whether a worker is trusted.
type phase uint8

const (
	phaseTrusted phase = iota
	phaseAside
	phaseProbing
)

// workerHealth counts what failed on a worker.
type workerHealth struct {
	phase phase
	// failures counts the starts that failed since one finished.
	failures int
	// refusals counts the starts that the worker refused since one ran.
	refusals int
	// lastJob is the class of the last start that failed, none if there is none.
	lastJob int32
	// interval is the wait before the next probe.
	interval time.Duration
	// timer is the timer of that wait.
	timer uint64
	// probing says that the one task of a probe has been given out.
	probing bool
}

// aside reports whether the worker was set aside and has not proved itself yet.
func (h *workerHealth) aside() bool {
	return h.phase != phaseTrusted
}

// takes reports whether the worker may be given a task.
func (h *workerHealth) takes() bool {
	return h.phase == phaseTrusted || (h.phase == phaseProbing && !h.probing)
}

// judge learns from the end of a start what to think of its worker. It is called
// while the task still holds its room.
func (p *Placer) judge(i int32, outcome Outcome) {
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	w := &p.workers.rows[row.worker]
	switch outcome {
	case Finished:
		w.health.failures = 0
		class.learnRun(p.clock.Now().Sub(row.since))
		if row.probe {
			p.trust(row.worker)
		}
	case Failed:
		p.blame(i)
	case Refused:
		p.refused(row.worker, row.probe)
	case Stopped, Checkpointed, Lapsed:
		if row.probe {
			w.health.probing = false
		}
	}
	row.probe = false
}

// learnRun moves the usual run time towards what a finished task took.
func (c *classRow) learnRun(took time.Duration) {
	if c.usual == 0 {
		c.usual = took
		return
	}
	c.usual += (took - c.usual) / 4
}

// refused counts a refusal, of which a worker is allowed more than of failures:
// it may be that it was not reached, or that it is about to change its owner.
func (p *Placer) refused(worker int32, probe bool) {
	h := &p.workers.rows[worker].health
	h.refusals++
	if probe {
		p.failedProbe(worker)
		return
	}
	if h.refusals >= refusalLimit && !h.aside() {
		h.interval = p.settings.probeInterval
		p.setAside(worker)
	}
}

// failedProbe sets a worker aside for twice as long as before.
func (p *Placer) failedProbe(worker int32) {
	h := &p.workers.rows[worker].health
	h.interval = min(2*h.interval, p.settings.maxProbeInterval)
	p.setAside(worker)
}

// blame counts a failure against the worker, unless the job fails everywhere.
func (p *Placer) blame(i int32) {
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	class.failedApart = class.failedApart || (class.failedOn != none && class.failedOn != row.worker)
	class.failedOn = row.worker
	w := &p.workers.rows[row.worker]
	if row.probe {
		p.failedProbe(row.worker)
		return
	}
	if class.failedApart && class.finished == 0 && w.health.lastJob == row.class {
		return
	}
	w.health.lastJob = row.class
	w.health.failures++
	if w.health.failures >= p.settings.failureLimit && !w.health.aside() {
		w.health.interval = p.settings.probeInterval
		p.setAside(row.worker)
	}
}

// setAside gives a worker no task until it is probed.
func (p *Placer) setAside(worker int32) {
	w := &p.workers.rows[worker]
	w.health.phase = phaseAside
	w.health.probing = false
	if w.health.interval == 0 {
		w.health.interval = p.settings.probeInterval
	}
	w.health.timer = p.addTimer(timer{
		at:   p.clock.Now().Add(w.health.interval),
		kind: timerWorker,
		row:  worker,
	})
	p.dropClaims(worker)
	p.refresh(worker)
}

// wakeWorker lets a worker that was set aside have one task.
func (p *Placer) wakeWorker(t timer) {
	w := &p.workers.rows[t.row]
	if !w.known || w.health.timer != t.serial || w.health.phase != phaseAside {
		return
	}
	w.health.phase = phaseProbing
	w.health.probing = false
	p.refresh(t.row)
	p.freed(t.row)
}

// watchProbe makes the first task on a worker that is probed its probe.
func (p *Placer) watchProbe(i, worker int32, now time.Time) {
	w := &p.workers.rows[worker]
	if w.health.phase != phaseProbing {
		return
	}
	w.health.probing = true
	p.tasks.rows[i].probe = true
	p.wakeAt(i, now.Add(w.health.interval))
	p.refresh(worker)
}

// probeHeld trusts a worker whose probe still runs after the time of a probe.
func (p *Placer) probeHeld(i int32, now time.Time) {
	row := &p.tasks.rows[i]
	if !row.probe {
		return
	}
	if row.state != StateRunning {
		p.wakeAt(i, now.Add(p.settings.probeInterval))
		return
	}
	row.probe = false
	p.trust(row.worker)
}

func (p *Placer) trust(worker int32) {
	w := &p.workers.rows[worker]
	w.health = workerHealth{
		lastJob: none,
	}
	p.refresh(worker)
	p.freed(worker)
}

// drain moves the tasks of a worker away.
func (p *Placer) drain(worker int32) {
	for i := p.workers.rows[worker].first; i != none; i = p.tasks.rows[i].next {
		p.drainTask(i)
	}
}

// drainTask moves a task away if its worker drains.
func (p *Placer) drainTask(i int32) {
	row := &p.tasks.rows[i]
	if p.workers.rows[row.worker].state != Draining {
		return
	}
	switch row.state {
	case StateStarting, StateRunning:
		p.stop(i, true)
	default:
	}
}

// spent reports whether a failed task is given up, and why.
func (p *Placer) spent(i int32) (string, bool) {
	row := &p.tasks.rows[i]
	if _, ok := row.policy.(ServicePolicy); ok {
		return "", false
	}
	class := &p.classes.rows[row.class]
	budget := jobRetries + class.total/jobRetryShare
	switch {
	case row.failures > p.settings.taskRetries:
		return fmt.Sprintf("failed %d times", row.failures), true
	case row.lapses > lapseLimit:
		return fmt.Sprintf("lost its worker %d times", row.lapses), true
	case row.failures > 0 && class.retries > budget:
		return fmt.Sprintf("the %d retries of its job are spent", budget), true
	default:
		return "", false
	}
}
