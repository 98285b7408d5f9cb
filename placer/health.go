package placer

import (
	"fmt"
	"time"
)

const (
	// maxBackoffShift bounds how often a backoff is doubled.
	maxBackoffShift = 16
	// refusalLimit is the number of consecutive refusals after which a worker is
	// set aside.
	refusalLimit = 10
	// maxLapses is how often a task is restarted after its lease lapsed.
	maxLapses = 10
	// jobRetryBase and tasksPerJobRetry define the retry budget of a job:
	// jobRetryBase retries, and one more for every tasksPerJobRetry tasks.
	jobRetryBase     = 10
	tasksPerJobRetry = 5
)

// phase is a worker's health as in a circuit breaker: healthy, set aside after
// too many failures, or probed with a single task.
type phase uint8

const (
	phaseHealthy phase = iota
	phaseSetAside
	phaseProbing
)

// workerHealth tracks the failures and refusals of a worker.
type workerHealth struct {
	phase phase
	// failures counts the failed runs since one finished.
	failures int
	// refusals counts the refused starts since one was accepted.
	refusals int
	// lastFailedClass is the class of the last failure counted against the worker,
	// none if there is none.
	lastFailedClass int32
	// probeDelay is the wait before the next probe.
	probeDelay time.Duration
	// reason is why the worker was set aside, empty if it is healthy.
	reason string
	// timer is the serial number of the timer that ends that wait.
	timer uint64
	// probeStarted reports that the single task of a probe has been placed.
	probeStarted bool
}

// unhealthy reports whether the worker was set aside and has not passed a probe
// yet.
func (h *workerHealth) unhealthy() bool {
	return h.phase != phaseHealthy
}

// acceptsTasks reports whether the worker's health allows it a task.
func (h *workerHealth) acceptsTasks() bool {
	return h.phase == phaseHealthy || (h.phase == phaseProbing && !h.probeStarted)
}

// recordOutcome updates the health of a worker and the statistics of a class
// when a run ends. It is called while the task's capacity is still allocated.
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

// recordRunTime updates the moving average of run times, in which the latest
// one has a weight of a quarter.
func (c *classRow) recordRunTime(runTime time.Duration) {
	if c.averageRunTime == 0 {
		c.averageRunTime = runTime
		return
	}
	c.averageRunTime += (runTime - c.averageRunTime) / 4
}

// recordRefusal counts a refusal. A worker is allowed more refusals than
// failures: the start may not have reached it, or it may be about to get another
// owner.
func (p *Placer) recordRefusal(worker int32, probe bool) {
	h := &p.workers.rows[worker].health
	h.refusals++
	if probe {
		p.recordFailedProbe(worker)
		return
	}
	if h.refusals >= refusalLimit && !h.unhealthy() {
		h.probeDelay = p.settings.probeInterval
		h.reason = fmt.Sprintf("%d starts in a row were refused", h.refusals)
		p.setAside(worker)
	}
}

// recordFailedProbe sets a worker aside for twice as long as before, up to the
// limit.
func (p *Placer) recordFailedProbe(worker int32) {
	h := &p.workers.rows[worker].health
	h.probeDelay = min(2*h.probeDelay, p.settings.maxProbeInterval)
	p.setAside(worker)
}

// recordFailure counts a failure against the worker. If runs of the class have
// failed on several workers and none has finished, only one failure of the class
// in a row counts against each worker.
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
	if class.failedOnSeveral && class.finishedRuns == 0 && w.health.lastFailedClass == row.class {
		return
	}
	w.health.lastFailedClass = row.class
	w.health.failures++
	if w.health.failures >= p.settings.failureLimit && !w.health.unhealthy() {
		w.health.probeDelay = p.settings.probeInterval
		w.health.reason = fmt.Sprintf("%d runs in a row failed", w.health.failures)
		p.setAside(row.worker)
	}
}

// setAside gives a worker no tasks until it is probed.
func (p *Placer) setAside(worker int32) {
	w := &p.workers.rows[worker]
	w.health.phase = phaseSetAside
	w.health.probeStarted = false
	if w.health.probeDelay == 0 {
		w.health.probeDelay = p.settings.probeInterval
	}
	w.health.timer = p.addTimer(timer{
		at:   p.clock.Now().Add(w.health.probeDelay),
		kind: timerWorker,
		row:  worker,
	})
	p.dropWorkerClaims(worker)
	p.updateAvailable(worker)
}

// startProbing allows a worker that was set aside one task.
func (p *Placer) startProbing(t timer) {
	w := &p.workers.rows[t.row]
	if !w.present || w.health.timer != t.timerSerial || w.health.phase != phaseSetAside {
		return
	}
	w.health.phase = phaseProbing
	w.health.probeStarted = false
	p.updateAvailable(t.row)
	p.markFreed(t.row)
}

// startProbe makes the first task on a probed worker its probe.
func (p *Placer) startProbe(i, worker int32, now time.Time) {
	w := &p.workers.rows[worker]
	if w.health.phase != phaseProbing {
		return
	}
	w.health.probeStarted = true
	p.tasks.rows[i].probe = true
	p.wakeAt(i, now.Add(w.health.probeDelay))
	p.updateAvailable(worker)
}

// endLongProbe marks a worker as healthy if its probe is still running after
// the probe interval.
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

// drain moves the tasks of a worker elsewhere.
func (p *Placer) drain(worker int32) {
	for i := p.workers.rows[worker].firstTask; i != none; i = p.tasks.rows[i].next {
		p.drainTask(i)
	}
}

// drainTask stops a task if its worker is draining, so that it starts
// elsewhere.
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

// retriesExhausted returns why a task that failed or whose lease lapsed is given
// up, and false if it is retried.
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
	case row.failures > 0 && class.failedRuns > budget:
		return fmt.Sprintf("the %d retries of its job are spent", budget), true
	default:
		return "", false
	}
}
