package dispatcher

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/placer"
)

// linkScanInterval is the time between two scans of the links, unless an event
// requires one earlier.
const linkScanInterval = 50 * time.Millisecond

// linkState is the state of this owner's link to a worker.
//
//	from         on                                               to
//	unknown      the worker accepts the epoch                     waiting
//	waiting      a report is read that was requested when no
//	             start order of a former owner could arrive any
//	             more                                             owned
//	owned        the worker accepts no renewal for a lease term   silent
//	silent       the worker accepts a renewal                     owned
//	any          the worker has accepted a later epoch            superseded
//	any but      the worker's process is a new one                waiting
//	unknown
//	superseded   a new epoch begins                               unknown
//	any          a new epoch begins after a gap in the epochs     unknown
type linkState uint8

const (
	// linkUnknown is a worker that has not accepted the epoch yet.
	linkUnknown linkState = iota
	// linkWaiting is a worker that has accepted the epoch; a former owner's
	// start order may still arrive there.
	linkWaiting
	// linkOwned is a worker that has been taken over: tasks may be started
	// there.
	linkOwned
	// linkSilent is a worker that was owned and has accepted no renewal for a
	// lease term.
	linkSilent
	// linkSuperseded is a worker that has accepted a later epoch: nothing is
	// sent to it.
	linkSuperseded
)

// String returns the state as one word.
func (s linkState) String() string {
	switch s {
	case linkUnknown:
		return "unknown"
	case linkWaiting:
		return "waiting"
	case linkOwned:
		return "owned"
	case linkSilent:
		return "silent"
	case linkSuperseded:
		return "superseded"
	default:
		return "none"
	}
}

// runState is what the owner of a worker knows about a run there.
type runState uint8

const (
	// runSending is a run whose start order is being sent: the call has not
	// returned.
	runSending runState = iota
	// runUnknown is a run whose start order was not answered.
	runUnknown
	// runRunning is a run that the worker has acknowledged or reported.
	runRunning
	// runFinished is a run that has completed its task; the log may not have
	// recorded that yet.
	runFinished
)

// run is one run of a task on a worker of this owner, from the decision to start
// the task.
type run struct {
	ref   namer.TaskRef
	state runState
	// leaseRenewedBy is an upper bound of the time at which the last message that
	// may have extended the lease was written.
	leaseRenewedBy time.Time
	// arrivedBy is the time by which the start order has reached the worker or
	// never will. A report that was requested later and does not name the run
	// proves that the run has ended.
	arrivedBy time.Time
	// checkpoint is set if the worker is asked to save the task's work before it
	// stops the task.
	checkpoint bool
	// stopSentAt is when the last stop was sent.
	stopSentAt time.Time
}

// link is what this owner knows about one of its workers.
type link struct {
	host   connector.Host
	client connector.Worker
	state  linkState
	// number distinguishes this link from earlier ones to the same worker.
	number uint64
	// createdAt is when this entry became the worker's owner.
	createdAt time.Time
	// incarnation is the one in the worker's last report.
	incarnation string
	// epochAcceptedAt is when this entry read the first answer by which the
	// worker's present process accepted the epoch.
	epochAcceptedAt time.Time
	// lastRenewalSentAt is when the last renewal that the worker accepted was
	// sent.
	lastRenewalSentAt time.Time
	// anyLeaseRenewedBy is an upper bound of the time at which the last renewal
	// that may have extended any lease on the worker was written.
	anyLeaseRenewedBy time.Time
	// unansweredSentAt is when the last renewal without a usable answer was
	// sent.
	unansweredSentAt time.Time
	// adopted is set once the worker has been taken over.
	adopted bool
	// inFlight is set while a renewal is under way. There is at most one, so
	// that reports are read in the order in which they were made.
	inFlight bool
	// dueAt is when the next renewal is sent.
	dueAt time.Time
	// formerRuns are the running tasks that a former owner started. Their leases
	// are renewed until the takeover is complete.
	formerRuns []namer.TaskRef
	// runs are those that run, may run, or have finished without the log having
	// recorded it.
	runs map[namer.TaskRef]*run
	// stopping are the runs that the placer has decided to stop.
	stopping map[namer.TaskRef]struct{}
	// acks are ended runs that the worker may forget. They are sent to it with
	// each renewal until it has accepted one.
	acks map[namer.TaskRef]struct{}
	// listed is set while the host list contains the worker.
	listed bool
	// leaving is set while the host list or the worker's report marks the worker
	// as leaving.
	leaving bool
	// isSetAside is set while the placer has set the worker aside.
	isSetAside bool
	// placerState is the state that was last passed to the placer.
	placerState placer.WorkerState
}

// startDeadline returns the time until which this owner may start tasks on the
// worker.
func (l *link) startDeadline(t timings) time.Time {
	return l.lastRenewalSentAt.Add(t.lease)
}

func (t *tables) addLink(host connector.Host) *link {
	t.links.lastNumber++
	l := &link{
		host:      host,
		number:    t.links.lastNumber,
		createdAt: t.now,
		runs:      make(map[namer.TaskRef]*run),
		stopping:  make(map[namer.TaskRef]struct{}),
		acks:      make(map[namer.TaskRef]struct{}),
		listed:    true,
	}
	if t.settings.newWorker != nil {
		l.client = t.settings.newWorker(host.Address)
	}
	t.links.byName[host.Name] = l
	t.links.order = nil
	t.renewOnNextTick(l)
	t.registerWorker(l)
	return l
}

func (t *tables) registerWorker(l *link) {
	h := l.host
	t.placer.PutWorker(placer.NewWorker(h.Name, h.Rack, h.DataCentre, h.Capacity))
}

// dropLink removes a worker with its runs.
func (t *tables) dropLink(l *link) {
	for ref := range l.runs {
		t.removeHoldingOfRun(ref)
		delete(t.finished, ref)
	}
	t.placer.RemoveWorker(l.host.Name)
	delete(t.links.byName, l.host.Name)
	t.links.order = nil
}

// resetLink restarts the takeover of a worker from the beginning.
func (t *tables) resetLink(l *link) {
	host, listed := l.host, l.listed
	t.dropLink(l)
	fresh := t.addLink(host)
	fresh.listed = listed
}

// renewOnNextTick makes the next tick scan the links and send a renewal on this
// one.
func (t *tables) renewOnNextTick(l *link) {
	l.dueAt = minTime(l.dueAt, t.now)
	t.links.dueAt = t.now
}

// sortedNames returns the names of the linked workers in order.
func (t *linkTable) sortedNames() []string {
	if t.order == nil {
		t.order = sortedKeys(t.byName)
	}
	return t.order
}

// scanLinks sends the renewals that are due and ends runs whose leases have
// lapsed. It does nothing on a tick before links.dueAt.
func (t *tables) scanLinks() {
	if t.now.Before(t.links.dueAt) {
		return
	}
	t.links.dueAt = t.now.Add(linkScanInterval)
	for _, name := range t.links.sortedNames() {
		t.updateLink(t.links.byName[name])
	}
}

func (t *tables) updateLink(l *link) {
	if l.state == linkOwned && !t.now.Before(l.startDeadline(t.settings.timings)) {
		t.markSilent(l)
	}
	if l.state == linkSilent {
		t.expireLeases(l)
	}
	if !l.listed && l.certainlyEmpty(t.settings.timings) {
		t.dropLink(l)
		return
	}
	if l.state != linkSuperseded && !l.inFlight && !t.isBehind() && !t.now.Before(l.dueAt) {
		t.renew(l)
	}
	t.resendStops(l)
	t.updatePlacerState(l)
}

// certainlyEmpty reports whether a worker that is no longer in the host list
// certainly runs nothing.
func (l *link) certainlyEmpty(timings timings) bool {
	switch l.state {
	case linkUnknown, linkWaiting:
		return l.unansweredSentAt.After(maxTime(l.createdAt, l.anyLeaseRenewedBy).Add(timings.expiryDelay()))
	case linkSilent:
		return len(l.runs) == 0
	default:
		return false
	}
}

func (t *tables) markSilent(l *link) {
	l.state = linkSilent
	t.log.Warnf("dispatcher: worker %s is silent", l.host.Name)
	t.updatePlacerState(l)
}

// expireLeases ends the runs on a silent worker whose leases have certainly
// lapsed. Only another owner in a later epoch could have renewed them since, so
// the log must have been read after the lapse without showing a later epoch.
// The worker must also have left a renewal unanswered after the lapse: when
// this process resumes after a pause, the worker may answer, and report that its
// tasks have finished.
func (t *tables) expireLeases(l *link) {
	timings := t.settings.timings
	for _, ref := range sortedRefs(l.runs) {
		s := l.runs[ref]
		if s.state == runFinished || s.state == runSending || l.inFlight {
			continue
		}
		expiry := s.leaseRenewedBy.Add(timings.expiryDelay())
		if t.settings.fault == faultEarlyLapse {
			expiry = expiry.Add(-timings.lease)
		}
		if l.unansweredSentAt.Before(expiry) || t.logReadSentAt.Before(expiry) {
			continue
		}
		t.metrics.lapses.Inc()
		t.log.Infof("dispatcher: the lease of task %s on worker %s has lapsed", s.ref.Task, l.host.Name)
		t.endRun(l, s, placer.Lapsed, "its worker was lost")
	}
}

// renew sends one renewal. A renewal to a silent worker names no tasks, so that
// their leases run out.
func (t *tables) renew(l *link) {
	l.dueAt = t.now.Add(t.settings.timings.renewal)
	if l.client == nil {
		return
	}
	renewal := connector.Renewal{
		Epoch: t.epoch,
		Lease: t.settings.timings.lease,
	}
	switch l.state {
	case linkWaiting:
		if t.now.Before(l.startDeadline(t.settings.timings)) {
			renewal.Refs = l.formerRuns
		}
	case linkOwned:
		renewal.Refs = l.renewableRefs()
		renewal.Acknowledged = sortedRefs(l.acks)
	default:
	}
	l.inFlight = true
	t.metrics.renewals.Inc()
	t.emit(renewEffect{
		worker:  l.host.Name,
		client:  l.client,
		link:    l.number,
		renewal: renewal,
		timeout: t.settings.timings.renewal,
	})
}

func (l *link) renewableRefs() []namer.TaskRef {
	refs := make([]namer.TaskRef, 0, len(l.runs))
	for ref, s := range l.runs {
		if s.state == runRunning || s.state == runUnknown {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

// handleRenewed handles the answer to a renewal.
func (t *tables) handleRenewed(e renewedEvent) {
	l := t.links.byName[e.worker]
	if l == nil || l.number != e.link {
		return
	}
	l.inFlight = false
	if !errors.Is(e.err, connector.ErrUnreachable) {
		l.noteRenewal(e)
	}
	fenced := errors.Is(e.err, connector.ErrFenced)
	switch {
	case e.renewal.Epoch < t.epoch && (fenced || e.err == nil) && e.report.Epoch <= t.epoch:
		// The answer is to a renewal of an earlier epoch and says nothing about
		// the current one.
		t.renewOnNextTick(l)
	case fenced, e.err == nil && e.report.Epoch > t.epoch:
		t.supersede(l)
	case e.err != nil, e.report.Epoch < t.epoch:
		l.unansweredSentAt = e.sentAt
	default:
		t.handleReport(l, e)
	}
}

// noteRenewal records that a renewal may have extended leases. The renewal was
// written by the time its call ended.
func (l *link) noteRenewal(e renewedEvent) {
	if len(e.renewal.Refs) > 0 {
		l.anyLeaseRenewedBy = maxTime(l.anyLeaseRenewedBy, e.doneAt)
	}
	for _, ref := range e.renewal.Refs {
		if s := l.runs[ref]; s != nil {
			s.leaseRenewedBy = maxTime(s.leaseRenewedBy, e.doneAt)
		}
	}
}

// supersede stops the use of a worker that has accepted a later epoch from
// another owner.
func (t *tables) supersede(l *link) {
	if l.state == linkSuperseded {
		return
	}
	l.state = linkSuperseded
	t.log.Warnf("dispatcher: worker %s has accepted a later epoch than %d", l.host.Name, t.epoch)
	t.updatePlacerState(l)
}

// handleReport handles the report of a worker that accepted the epoch.
func (t *tables) handleReport(l *link, e renewedEvent) {
	for _, ref := range e.renewal.Acknowledged {
		delete(l.acks, ref)
	}
	l.lastRenewalSentAt = e.sentAt
	if t.updateCapacity(l, e.report) {
		t.registerWorker(l)
	}
	l.leaving = e.report.Leaving || t.listed[l.host.Name].State == connector.HostLeaving
	workerRestarted := l.incarnation != "" && l.incarnation != e.report.Incarnation
	l.incarnation = e.report.Incarnation
	if workerRestarted {
		t.workerRestarted(l)
	}
	t.readRuns(l, e)
	if len(l.stopping) > 0 {
		l.dueAt = minTime(l.dueAt, t.now.Add(t.settings.timings.renewal/stopReportDivisor))
	}
	switch l.state {
	case linkUnknown:
		l.state = linkWaiting
		l.epochAcceptedAt = t.now
		l.noteFormerRuns(e.report)
		t.renewOnNextTick(l)
	case linkWaiting:
		l.noteFormerRuns(e.report)
		t.tryAdopt(l, e)
	case linkSilent:
		l.state = linkOwned
		t.renewOnNextTick(l)
		t.log.Infof("dispatcher: worker %s answers again", l.host.Name)
	case linkOwned, linkSuperseded:
	}
	t.updatePlacerState(l)
}

// updateCapacity adopts the capacity in the worker's report, and returns whether
// it changed.
func (t *tables) updateCapacity(l *link, report connector.Report) bool {
	if report.Capacity.IsZero() || report.Capacity == l.host.Capacity {
		return false
	}
	l.host.Capacity = report.Capacity
	return true
}

// workerRestarted begins the takeover again: the worker's new process does not
// know the epoch that the former one accepted.
func (t *tables) workerRestarted(l *link) {
	if l.state == linkUnknown {
		return
	}
	t.log.Warnf("dispatcher: worker %s has restarted", l.host.Name)
	l.state = linkWaiting
	l.epochAcceptedAt = t.now
	l.formerRuns = nil
	t.updatePlacerState(l)
}

// noteFormerRuns records the running tasks that a former owner started, so that
// their leases are renewed.
func (l *link) noteFormerRuns(report connector.Report) {
	l.formerRuns = l.formerRuns[:0:0]
	for _, task := range report.Tasks {
		if task.State == connector.TaskRunning {
			l.formerRuns = append(l.formerRuns, task.Ref)
		}
	}
}

// tryAdopt completes a takeover if the report was requested when no start order
// of a former owner could arrive any more.
func (t *tables) tryAdopt(l *link, e renewedEvent) {
	expiry := l.epochAcceptedAt.Add(t.settings.timings.expiryDelay())
	if t.settings.fault == faultEarlyTakeover {
		expiry = l.epochAcceptedAt
	}
	if e.sentAt.Before(expiry) {
		if t.now.Add(t.settings.timings.renewal).After(expiry) {
			l.dueAt = maxTime(expiry, t.now)
			t.links.dueAt = minTime(t.links.dueAt, l.dueAt)
		}
		return
	}
	t.adopt(l, e)
}
