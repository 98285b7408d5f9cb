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

// adopt completes the takeover of a worker, with all starts in its report.
func (t *tables) adopt(l *link, e renewedEvent) {
	l.state = linkOwned
	l.adopted = true
	l.formerStarts = nil
	running := 0
	for _, report := range e.report.Tasks {
		if l.starts[report.Ref] != nil {
			continue
		}
		if report.State == connector.TaskRunning {
			running++
		}
		t.adoptStart(l, report, e.sentAt)
	}
	t.takeovers++
	t.takeoversSeen++
	t.metrics.takeovers.Inc()
	t.log.Infof("dispatcher: took over worker %s with %d tasks in epoch %d", l.host.Name, running, t.epoch)
	t.audit("take over worker "+l.host.Name, "epoch or process of the worker changed")
}

// adoptStart takes over one start of a former owner. One that ended without
// completing its task is only acknowledged: once every member has reported, the
// task is placed again.
func (t *tables) adoptStart(l *link, report connector.TaskReport, sentAt time.Time) {
	s := &start{
		ref:            report.Ref,
		state:          startRunning,
		leaseRenewedAt: sentAt,
		arrivedBy:      sentAt,
	}
	id := report.Ref.Task
	switch report.State {
	case connector.TaskRunning:
		l.starts[s.ref] = s
		t.adoptHolding(id, s, report)
		t.placer.Adopt(l.host.Name, t.taskOf(id, report), s.ref, report)
	case connector.TaskFinished:
		if t.kindOf(id.Job, report.Kind) == recorder.Service {
			l.acks[s.ref] = struct{}{}
			return
		}
		l.starts[s.ref] = s
		t.addFinished(l, s)
	default:
		l.acks[s.ref] = struct{}{}
	}
}

// addFinished records a finished start that this owner did not know, or whose
// lease it considered lapsed.
func (t *tables) addFinished(l *link, s *start) {
	id := s.ref.Task
	s.state = startFinished
	t.finished[s.ref] = l
	if h := t.held[id]; h != nil {
		t.placer.Cancel(id)
		h.withdrawn = true
		if h.start == nil {
			t.removeHolding(id)
		}
	}
	t.send(t.homeOf(id.Job), Finished{
		Refs: []namer.TaskRef{s.ref},
	})
}

// readStarts updates the starts of a worker from its report.
func (t *tables) readStarts(l *link, e renewedEvent) {
	reported := make(map[namer.TaskRef]struct{}, len(e.report.Tasks))
	for _, report := range e.report.Tasks {
		reported[report.Ref] = struct{}{}
		if s := l.starts[report.Ref]; s != nil {
			t.readStart(l, s, report)
			continue
		}
		if l.state == linkOwned || l.state == linkSilent {
			t.readUnexpectedStart(l, report)
		}
	}
	var unreported []namer.TaskRef
	for ref, s := range l.starts {
		if _, ok := reported[ref]; !ok && e.sentAt.After(s.arrivedBy) && s.state != startSending {
			unreported = append(unreported, ref)
		}
	}
	slices.SortFunc(unreported, compareRefs)
	for _, ref := range unreported {
		t.endUnreported(l, l.starts[ref])
	}
}

// endUnreported ends a start that its worker does not report.
func (t *tables) endUnreported(l *link, s *start) {
	switch s.state {
	case startFinished:
		// The worker's process is a new one. The finished task is still
		// recorded.
	case startUnknown:
		t.endStart(l, s, placer.Refused, "it did not reach its worker")
	default:
		t.endStart(l, s, placer.Lapsed, "its worker does not know it")
	}
}

// readUnexpectedStart handles a reported start that this owner does not have:
// one that it has already ended, one that finished before its lease was
// considered lapsed, or one that arrived too late.
func (t *tables) readUnexpectedStart(l *link, report connector.TaskReport) {
	if _, acknowledged := l.acks[report.Ref]; acknowledged {
		return
	}
	if report.State == connector.TaskFinished && t.kindOf(report.Ref.Task.Job, report.Kind) != recorder.Service {
		s := &start{
			ref: report.Ref,
		}
		l.starts[s.ref] = s
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
		timeout: t.settings.terms.renewal,
	})
}

func (t *tables) readStart(l *link, s *start, report connector.TaskReport) {
	if s.state == startFinished {
		return
	}
	switch report.State {
	case connector.TaskRunning:
		s.state = startRunning
		t.placer.Started(s.ref)
		t.placer.Observe(s.ref, report.Usage)
	case connector.TaskFinished:
		t.endStart(l, s, placer.Finished, "")
	case connector.TaskFailed:
		t.endStart(l, s, placer.Failed, report.Error)
	case connector.TaskStopped:
		t.endStart(l, s, placer.Stopped, "it was stopped")
	case connector.TaskCheckpointed:
		t.saveCheckpoint(s.ref.Task, report.Checkpoint)
		t.endStart(l, s, placer.Checkpointed, "it was stopped")
	case connector.TaskLapsed:
		t.endStart(l, s, placer.Lapsed, "its lease was not renewed")
	}
	if report.State != connector.TaskRunning && (s.state != startFinished || t.settings.fault == faultEarlyAcknowledge) {
		l.acks[s.ref] = struct{}{}
	}
}

// endStart records the certain end of a start. A finished start is kept until
// the log has recorded it.
func (t *tables) endStart(l *link, s *start, outcome placer.Outcome, reason string) {
	finished := outcome == placer.Finished && t.kindOf(s.ref.Task.Job, "") != recorder.Service
	if finished {
		s.state = startFinished
		t.finished[s.ref] = l
	} else {
		delete(l.starts, s.ref)
	}
	t.placer.Ended(s.ref, outcome)
	t.endHolding(s, outcome, finished, reason)
}

// settleStart lets the worker forget a finished start that the log has
// recorded.
func (t *tables) settleStart(ref namer.TaskRef) {
	l := t.finished[ref]
	if l == nil {
		return
	}
	delete(t.finished, ref)
	delete(l.starts, ref)
	l.acks[ref] = struct{}{}
}

// stopReportDivisor divides the renewal interval while tasks are being stopped,
// so that the report that shows their end is requested sooner.
const stopReportDivisor = 4

// startTask sends a start that the placer has decided.
func (t *tables) startTask(d placer.Place) {
	ref, worker, task := d.Ref(), d.Worker(), d.Task()
	l := t.links.byName[worker]
	if l == nil || l.client == nil {
		t.placer.Ended(ref, placer.Refused)
		return
	}
	s := &start{
		ref:            ref,
		leaseRenewedAt: t.now,
	}
	l.starts[ref] = s
	t.startHolding(ref.Task, s)
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
			Lease:      t.settings.terms.lease,
			RunTime:    task.RunTime(),
			Epoch:      t.epoch,
			Checkpoint: t.checkpointOf(ref.Task),
		},
		notAfter: l.startDeadline(t.settings.terms),
		timeout:  t.settings.terms.renewal,
	})
}

// handleStarted handles the result of a start.
func (t *tables) handleStarted(e startedEvent) {
	l := t.links.byName[e.worker]
	if l == nil || l.number != e.link || l.starts[e.ref] == nil {
		return
	}
	s := l.starts[e.ref]
	s.leaseRenewedAt = maxTime(s.leaseRenewedAt, e.doneAt)
	switch {
	case e.err == nil:
		s.arrivedBy = e.doneAt
		if s.state == startSending {
			s.state = startRunning
			t.placer.Started(s.ref)
		}
	case errors.Is(e.err, errContactLapsed):
		t.metrics.lateStarts.Inc()
		t.log.Warnf("dispatcher: a start on worker %s was held back: the last contact had lapsed", l.host.Name)
		t.endStart(l, s, placer.Refused, "the contact with its worker had lapsed")
	case errors.Is(e.err, connector.ErrFenced):
		t.metrics.refusals.Inc()
		t.endStart(l, s, placer.Refused, "its worker has a later epoch")
		if e.epoch == t.epoch {
			t.supersede(l)
		}
	case errors.Is(e.err, connector.ErrRefused):
		t.metrics.refusals.Inc()
		t.endStart(l, s, placer.Failed, e.err.Error())
	case errors.IsAny(e.err, connector.ErrNoRoom, connector.ErrUnreachable, connector.ErrBusy):
		t.metrics.refusals.Inc()
		t.endStart(l, s, placer.Refused, "its worker refused it")
	default:
		t.markStartUnknown(l, s, e)
	}
}

// markStartUnknown keeps the capacity of a start whose answer was lost. A
// report that is requested once the start must have arrived shows its outcome.
func (t *tables) markStartUnknown(l *link, s *start, e startedEvent) {
	if t.settings.fault == faultForgetUnknown {
		t.endStart(l, s, placer.Refused, "its answer was lost")
		return
	}
	s.arrivedBy = e.doneAt.Add(t.settings.terms.delivery)
	if s.state == startSending {
		s.state = startUnknown
	}
}

// requestStop marks a start to be stopped, as the placer has decided.
func (t *tables) requestStop(ref namer.TaskRef, worker string, checkpoint bool) {
	l := t.links.byName[worker]
	if l == nil || l.starts[ref] == nil {
		return
	}
	s := l.starts[ref]
	l.stopping[ref] = struct{}{}
	t.metrics.stops.Inc()
	if h := t.held[ref.Task]; h != nil && !h.withdrawn {
		t.log.Infof("dispatcher: task %s is preempted on worker %s", ref.Task, worker)
	}
	s.checkpoint = checkpoint
	s.stopSentAt = time.Time{}
	t.renewOnNextTick(l)
}

// resendStops repeats the stops until the worker's report shows the end of the
// starts.
func (t *tables) resendStops(l *link) {
	if len(l.stopping) == 0 || l.state != linkOwned || l.client == nil {
		return
	}
	var withoutCheckpoint, withCheckpoint []namer.TaskRef
	for _, ref := range sortedRefs(l.stopping) {
		s := l.starts[ref]
		if s == nil || s.state == startFinished {
			delete(l.stopping, ref)
			continue
		}
		if t.now.Before(s.stopSentAt.Add(t.settings.terms.renewal)) {
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
		timeout: t.settings.terms.renewal,
	})
}
