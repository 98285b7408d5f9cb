package dispatcher

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/placer"
	"github.com/galenacove/galenacove/recorder"
)

// adopt completes the takeover of a worker, with all runs in its report.
func (t *tables) adopt(l *link, e renewedEvent) {
	l.state = linkOwned
	l.adopted = true
	l.formerRuns = nil
	running := 0
	for _, report := range e.report.Tasks {
		if l.runs[report.Ref] != nil {
			continue
		}
		if report.State == connector.TaskRunning {
			running++
		}
		t.adoptRun(l, report, e.sentAt)
	}
	t.takeovers++
	t.takeoversSeen++
	t.metrics.takeovers.Inc()
	t.log.Infof("dispatcher: took over worker %s with %d tasks in epoch %d", l.host.Name, running, t.epoch)
	t.audit("take over worker "+l.host.Name, "epoch or process of the worker changed")
}

// adoptRun takes over one run that a former owner started. A run that ended
// without completing its task is only acknowledged: the task's home assigns the
// task again once every member has reported.
func (t *tables) adoptRun(l *link, report connector.TaskReport, sentAt time.Time) {
	s := &run{
		ref:            report.Ref,
		state:          runRunning,
		leaseRenewedBy: sentAt,
		arrivedBy:      sentAt,
	}
	id := report.Ref.Task
	switch report.State {
	case connector.TaskRunning:
		l.runs[s.ref] = s
		t.adoptHolding(id, s, report)
		t.placer.Adopt(l.host.Name, t.taskOf(id, report), s.ref, report)
	case connector.TaskFinished:
		if t.kindOf(id.Job, report.Kind) == recorder.Service {
			l.acks[s.ref] = struct{}{}
			return
		}
		l.runs[s.ref] = s
		t.addFinished(l, s)
	default:
		l.acks[s.ref] = struct{}{}
	}
}

// addFinished records a finished run that this owner did not know, or whose lease
// it considered lapsed.
func (t *tables) addFinished(l *link, s *run) {
	id := s.ref.Task
	s.state = runFinished
	t.finished[s.ref] = l
	if h := t.held[id]; h != nil {
		t.placer.Cancel(id)
		h.withdrawn = true
		if h.run == nil {
			t.removeHolding(id)
		}
	}
	t.send(t.homeOf(id.Job), Finished{
		Refs: []namer.TaskRef{s.ref},
	})
}

// readRuns updates the runs of a worker from its report.
func (t *tables) readRuns(l *link, e renewedEvent) {
	reported := make(map[namer.TaskRef]struct{}, len(e.report.Tasks))
	for _, report := range e.report.Tasks {
		reported[report.Ref] = struct{}{}
		if s := l.runs[report.Ref]; s != nil {
			t.readRun(l, s, report)
			continue
		}
		if l.state == linkOwned || l.state == linkSilent {
			t.readUnexpectedRun(l, report)
		}
	}
	var unreported []namer.TaskRef
	for ref, s := range l.runs {
		if _, ok := reported[ref]; !ok && e.sentAt.After(s.arrivedBy) && s.state != runSending {
			unreported = append(unreported, ref)
		}
	}
	slices.SortFunc(unreported, compareRefs)
	for _, ref := range unreported {
		t.endUnreported(l, l.runs[ref])
	}
}

// endUnreported ends a run that its worker does not report.
func (t *tables) endUnreported(l *link, s *run) {
	switch s.state {
	case runFinished:
		// The worker's process is a new one, which does not know the run. The
		// end of the task is still recorded in the log.
	case runUnknown:
		t.endRun(l, s, placer.Refused, "it did not reach its worker")
	default:
		t.endRun(l, s, placer.Lapsed, "its worker does not know it")
	}
}

// readUnexpectedRun handles a reported run that this owner does not have: one
// that it has already ended, one that finished before its lease was considered
// lapsed, or one whose start order arrived too late.
func (t *tables) readUnexpectedRun(l *link, report connector.TaskReport) {
	if _, acknowledged := l.acks[report.Ref]; acknowledged {
		return
	}
	if report.State == connector.TaskFinished && t.kindOf(report.Ref.Task.Job, report.Kind) != recorder.Service {
		s := &run{
			ref: report.Ref,
		}
		l.runs[s.ref] = s
		t.addFinished(l, s)
		return
	}
	if report.State != connector.TaskRunning {
		l.acks[report.Ref] = struct{}{}
		return
	}
	t.log.Errorf("dispatcher: worker %s runs task %s unexpectedly and is asked to stop it", l.host.Name, report.Ref.Task)
	t.emit(stopEffect{
		worker: l.host.Name,
		client: l.client,
		stop: connector.Stop{
			Epoch: t.epoch,
			Refs:  []namer.TaskRef{report.Ref},
		},
		timeout: t.settings.timings.renewal,
	})
}

func (t *tables) readRun(l *link, s *run, report connector.TaskReport) {
	if s.state == runFinished {
		return
	}
	switch report.State {
	case connector.TaskRunning:
		s.state = runRunning
		t.placer.Started(s.ref)
		t.placer.Observe(s.ref, report.Usage)
	case connector.TaskFinished:
		t.endRun(l, s, placer.Finished, "")
	case connector.TaskFailed:
		t.endRun(l, s, placer.Failed, report.Error)
	case connector.TaskStopped:
		t.endRun(l, s, placer.Stopped, "it was stopped")
	case connector.TaskCheckpointed:
		t.saveCheckpoint(s.ref.Task, report.Checkpoint)
		t.endRun(l, s, placer.Checkpointed, "it was stopped")
	case connector.TaskLapsed:
		t.endRun(l, s, placer.Lapsed, "its lease was not renewed")
	}
	if report.State != connector.TaskRunning && (s.state != runFinished || t.settings.fault == faultEarlyAcknowledge) {
		l.acks[s.ref] = struct{}{}
	}
}

// endRun records the certain end of a run. A finished run is kept until the log
// has recorded it.
func (t *tables) endRun(l *link, s *run, outcome placer.Outcome, reason string) {
	finished := outcome == placer.Finished && t.kindOf(s.ref.Task.Job, "") != recorder.Service
	if finished {
		s.state = runFinished
		t.finished[s.ref] = l
	} else {
		delete(l.runs, s.ref)
	}
	t.placer.Ended(s.ref, outcome)
	t.reportRunEnd(s, outcome, finished, reason)
}

// settleRun lets the worker forget a finished run that the log has recorded.
func (t *tables) settleRun(ref namer.TaskRef) {
	l := t.finished[ref]
	if l == nil {
		return
	}
	delete(t.finished, ref)
	delete(l.runs, ref)
	l.acks[ref] = struct{}{}
}

// stopReportDivisor divides the renewal interval while tasks are being stopped,
// so that the report that shows their end is requested sooner.
const stopReportDivisor = 4

// startTask sends the start order for a run that the placer has decided.
func (t *tables) startTask(d placer.Place) {
	ref, worker, task := d.Ref(), d.Worker(), d.Task()
	l := t.links.byName[worker]
	if l == nil || l.client == nil {
		t.placer.Ended(ref, placer.Refused)
		return
	}
	s := &run{
		ref:            ref,
		leaseRenewedBy: t.now,
	}
	l.runs[ref] = s
	t.setHoldingRun(ref.Task, s)
	t.metrics.starts.Inc()
	t.emit(startEffect{
		worker: worker,
		client: l.client,
		link:   l.number,
		start: connector.Start{
			Ref:        ref,
			Team:       task.Team(),
			Kind:       string(kindOfPolicy(task.Policy())),
			Size:       d.Size(),
			Lease:      t.settings.timings.lease,
			RunTime:    task.RunTime(),
			Epoch:      t.epoch,
			Checkpoint: t.checkpointOf(ref.Task),
		},
		notAfter: l.startDeadline(t.settings.timings),
		timeout:  t.settings.timings.renewal,
	})
}

// handleStarted handles the result of a start order.
func (t *tables) handleStarted(e startedEvent) {
	l := t.links.byName[e.worker]
	if l == nil || l.number != e.link || l.runs[e.ref] == nil {
		return
	}
	s := l.runs[e.ref]
	s.leaseRenewedBy = maxTime(s.leaseRenewedBy, e.doneAt)
	switch {
	case e.err == nil:
		s.arrivedBy = e.doneAt
		if s.state == runSending {
			s.state = runRunning
			t.placer.Started(s.ref)
		}
	case errors.Is(e.err, errNoRecentRenewal):
		t.metrics.lateStarts.Inc()
		t.log.Warnf("dispatcher: a start on worker %s was held back: the worker has accepted no renewal for a lease term", l.host.Name)
		t.endRun(l, s, placer.Refused, "the contact with its worker had lapsed")
	case errors.Is(e.err, connector.ErrFenced):
		t.metrics.refusals.Inc()
		t.endRun(l, s, placer.Refused, "its worker has a later epoch")
		if e.epoch == t.epoch {
			t.supersede(l)
		}
	case errors.Is(e.err, connector.ErrRefused):
		t.metrics.refusals.Inc()
		t.endRun(l, s, placer.Failed, e.err.Error())
	case errors.IsAny(e.err, connector.ErrNoCapacity, connector.ErrUnreachable, connector.ErrRateLimited):
		t.metrics.refusals.Inc()
		t.endRun(l, s, placer.Refused, "its worker refused it")
	default:
		t.markRunUnknown(l, s, e)
	}
}

// markRunUnknown keeps the capacity of a run whose start order was not answered.
// A report that is requested once the order must have arrived shows whether the
// task runs.
func (t *tables) markRunUnknown(l *link, s *run, e startedEvent) {
	if t.settings.fault == faultForgetUnknown {
		t.endRun(l, s, placer.Refused, "its answer was lost")
		return
	}
	s.arrivedBy = e.doneAt.Add(t.settings.timings.delivery)
	if s.state == runSending {
		s.state = runUnknown
	}
}

// requestStop marks a run to be stopped, as the placer has decided.
func (t *tables) requestStop(ref namer.TaskRef, worker string, checkpoint bool) {
	l := t.links.byName[worker]
	if l == nil || l.runs[ref] == nil {
		return
	}
	s := l.runs[ref]
	l.stopping[ref] = struct{}{}
	t.metrics.stops.Inc()
	if h := t.held[ref.Task]; h != nil && !h.withdrawn {
		t.log.Infof("dispatcher: task %s is asked to stop on worker %s", ref.Task, worker)
	}
	s.checkpoint = checkpoint
	s.stopSentAt = time.Time{}
	t.renewOnNextTick(l)
}

// resendStops sends the stop orders, and repeats them until the worker's report
// shows the end of the runs.
func (t *tables) resendStops(l *link) {
	if len(l.stopping) == 0 || l.state != linkOwned || l.client == nil {
		return
	}
	var withoutCheckpoint, withCheckpoint []namer.TaskRef
	for _, ref := range sortedRefs(l.stopping) {
		s := l.runs[ref]
		if s == nil || s.state == runFinished {
			delete(l.stopping, ref)
			continue
		}
		if t.now.Before(s.stopSentAt.Add(t.settings.timings.renewal)) {
			continue
		}
		s.stopSentAt = t.now
		if s.checkpoint {
			withCheckpoint = append(withCheckpoint, ref)
		} else {
			withoutCheckpoint = append(withoutCheckpoint, ref)
		}
	}
	t.sendStop(l, withoutCheckpoint, false)
	t.sendStop(l, withCheckpoint, true)
}

func (t *tables) sendStop(l *link, refs []namer.TaskRef, checkpoint bool) {
	if len(refs) == 0 {
		return
	}
	t.emit(stopEffect{
		worker: l.host.Name,
		client: l.client,
		stop: connector.Stop{
			Epoch:      t.epoch,
			Refs:       refs,
			Checkpoint: checkpoint,
		},
		timeout: t.settings.timings.renewal,
	})
}
