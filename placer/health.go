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
	maxLapses = 10
	// jobRetries and jobRetryShare are the budget of a job: so many retries, and
	// one more for so many of its tasks.
	jobRetryBase     = 10
	tasksPerJobRetry = 5
)

// phase says whether a worker is trusted.
type phase uint8

const (
	phaseHealthy phase = iota
	phaseSetAside
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
	lastFailedClass int32
	// interval is the wait before the next probe.
	probeInterval time.Duration
	// timer is the timer of that wait.
	probeTimer uint64
	// probing says that the one task of a probe has been given out.
	probeStarted bool
}

// aside reports whether the worker was set aside and has not proved itself yet.
func (h *workerHealth) unhealthy() bool {
	return h.phase != phaseHealthy
}

// takes reports whether the worker may be given a task.
func (h *workerHealth) acceptsTasks() bool {
	return h.phase == phaseHealthy || (h.phase == phaseProbing && !h.probeStarted)
}

// judge learns from the end of a start what to think of its worker. It is called
// while the task still holds its room.
func (p *Placer) recordOutcome(i int32, outcome Outcome) {
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	w := &p.workers.rows[row.worker]
	switch outcome {
	case Finished:
		w.health.failures = 0
		class.recordRunTime(p.clock.Now().Sub(row.since))
		if row.probe {
			p.markHealthy(row.worker)
		}
	case Failed:
		p.recordFailure(i)
	case Refused:
		p.recordRefusal(row.worker, row.probe)
	case Stopped, Checkpointed, Lapsed:
		if row.probe {
			w.health.probeStarted = false
		}
	}
	row.probe = false
}

// learnRun moves the usual run time towards what a finished task took.
func (c *classRow) recordRunTime(runTime time.Duration) {
	if c.averageRunTime == 0 {
		c.averageRunTime = runTime
		return
	}
	c.averageRunTime += (runTime - c.averageRunTime) / 4
}

// refused counts a refusal, of which a worker is allowed more than of failures:
// it may be that it was not reached, or that it is about to change its owner.
func (p *Placer) recordRefusal(worker int32, probe bool) {
	h := &p.workers.rows[worker].health
	h.refusals++
	if probe {
		p.recordFailedProbe(worker)
		return
	}
	if h.refusals >= refusalLimit && !h.unhealthy() {
		h.probeInterval = p.settings.probeInterval
		p.setAside(worker)
	}
}

// failedProbe sets a worker aside for twice as long as before.
func (p *Placer) recordFailedProbe(worker int32) {
	h := &p.workers.rows[worker].health
	h.probeInterval = min(2*h.probeInterval, p.settings.maxProbeInterval)
	p.setAside(worker)
}

// blame counts a failure against the worker, unless the job fails everywhere.
func (p *Placer) recordFailure(i int32) {
	row := &p.tasks.rows[i]
	class := &p.classes.rows[row.class]
	class.failedOnSeveral = class.failedOnSeveral || (class.lastFailedWorker != none && class.lastFailedWorker != row.worker)
	class.lastFailedWorker = row.worker
	w := &p.workers.rows[row.worker]
	if row.probe {
		p.recordFailedProbe(row.worker)
		return
	}
	if class.failedOnSeveral && class.finishedStarts == 0 && w.health.lastFailedClass == row.class {
		return
	}
	w.health.lastFailedClass = row.class
	w.health.failures++
	if w.health.failures >= p.settings.failureLimit && !w.health.unhealthy() {
		w.health.probeInterval = p.settings.probeInterval
		p.setAside(row.worker)
	}
}

// setAside gives a worker no task until it is probed.
func (p *Placer) setAside(worker int32) {
	w := &p.workers.rows[worker]
	w.health.phase = phaseSetAside
	w.health.probeStarted = false
	if w.health.probeInterval == 0 {
		w.health.probeInterval = p.settings.probeInterval
	}
	w.health.probeTimer = p.addTimer(timer{
		at:   p.clock.Now().Add(w.health.probeInterval),
		kind: timerWorker,
		row:  worker,
	})
	p.dropWorkerClaims(worker)
	p.updateAvailable(worker)
}

// wakeWorker lets a worker that was set aside have one task.
func (p *Placer) startProbing(t timer) {
	w := &p.workers.rows[t.row]
	if !w.present || w.health.probeTimer != t.serial || w.health.phase != phaseSetAside {
		return
	}
	w.health.phase = phaseProbing
	w.health.probeStarted = false
	p.updateAvailable(t.row)
	p.markFreed(t.row)
}

// watchProbe makes the first task on a worker that is probed its probe.
func (p *Placer) startProbe(i, worker int32, now time.Time) {
	w := &p.workers.rows[worker]
	if w.health.phase != phaseProbing {
		return
	}
	w.health.probeStarted = true
	p.tasks.rows[i].probe = true
	p.wakeAt(i, now.Add(w.health.probeInterval))
	p.updateAvailable(worker)
}

// probeHeld trusts a worker whose probe still runs after the time of a probe.
func (p *Placer) endLongProbe(i int32, now time.Time) {
	row := &p.tasks.rows[i]
	if !row.probe {
		return
	}
	if row.state != StateRunning {
		p.wakeAt(i, now.Add(p.settings.probeInterval))
		return
	}
	row.probe = false
	p.markHealthy(row.worker)
}

func (p *Placer) markHealthy(worker int32) {
	w := &p.workers.rows[worker]
	w.health = workerHealth{
		lastFailedClass: none,
	}
	p.updateAvailable(worker)
	p.markFreed(worker)
}

// drain moves the tasks of a worker away.
func (p *Placer) drain(worker int32) {
	for i := p.workers.rows[worker].firstTask; i != none; i = p.tasks.rows[i].next {
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
func (p *Placer) retriesExhausted(i int32) (string, bool) {
	row := &p.tasks.rows[i]
	if _, ok := row.policy.(ServicePolicy); ok {
		return "", false
	}
	class := &p.classes.rows[row.class]
	budget := jobRetryBase + class.totalTasks/tasksPerJobRetry
	switch {
	case row.failures > p.settings.taskRetries:
		return fmt.Sprintf("failed %d times", row.failures), true
	case row.lapses > maxLapses:
		return fmt.Sprintf("lost its worker %d times", row.lapses), true
	case row.failures > 0 && class.failedStarts > budget:
		return fmt.Sprintf("the %d retries of its job are spent", budget), true
	default:
		return "", false
	}
}
