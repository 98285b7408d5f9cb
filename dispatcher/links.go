package dispatcher

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/placer"
)

// linkInterval is the time between two looks at the links, unless something
// happens to them.
const linkScanInterval = 50 * time.Millisecond

// linkState says how this owner stands with a worker.
//
//	from        on                                                to
//	unknown     the worker accepts the epoch                      waiting
//	waiting     the former owner's contacts have lapsed, and a
//	            report that was asked for after that is read      owned
//	owned       no contact for a lease term                       silent
//	silent      the worker answers                                owned
//	any         the worker has a later epoch                      superseded
//	any         the worker's process is a new one                 waiting
//	superseded  a new epoch                                       unknown
type linkState uint8

const (
	// linkUnknown has not accepted the epoch.
	linkUnknown linkState = iota
	// linkWaiting has accepted it; a former owner's start may still arrive.
	linkWaiting
	// linkOwned is adopted: tasks may be started.
	linkOwned
	// linkSilent was owned, and has not answered for a lease term.
	linkSilent
	// linkSuperseded has seen a later epoch: nothing is sent to it.
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

// startState says what is known of a start.
type startState uint8

const (
	// startSending is on its way.
	startSending startState = iota
	// startUnknown was sent, and its answer was lost.
	startUnknown
	// startRunning was acknowledged or reported.
	startRunning
	// startFinished did its work; the log may not have it yet.
	startFinished
)

// start is one start of a task at a worker of this owner.
type start struct {
	ref   namer.TaskRef
	state startState
	// touched is the latest sending that may have lengthened the lease.
	leaseRenewedAt time.Time
	// settled is when the start had certainly reached the worker or never
	// will: a report asked for later that does not name it proves its end.
	arrivedBy time.Time
	// checkpoint says that its work is to be saved before it is stopped.
	checkpoint bool
	// stopSent is when the last stop was sent.
	stopSentAt time.Time
}

// link is this owner's side of one worker.
type link struct {
	host   connector.Host
	client connector.Worker
	state  linkState
	// number tells this link from an earlier one to the same worker.
	number uint64
	// since is when this owner came to own the worker.
	createdAt time.Time
	// incarnation is that of the last report.
	incarnation string
	// announced is when the answer of the first contact of this ownership was
	// read.
	epochAcceptedAt time.Time
	// contact is the sending of the last contact that the worker accepted.
	lastContactSentAt time.Time
	// kept is the latest sending of a renewal that may have lengthened a lease.
	leasesRenewedAt time.Time
	// missed is the sending of the last renewal that was not answered.
	unansweredSentAt time.Time
	// adopted is set once the link was owned.
	adopted bool
	// inFlight is set while a renewal is. There is at most one, so that
	// reports are read in the order in which they were made.
	inFlight bool
	// due is when the next renewal is sent.
	dueAt time.Time
	// found are the starts of a former owner, which are kept alive meanwhile.
	formerStarts []namer.TaskRef
	// starts holds what runs, may run, or ended without being recorded.
	starts map[namer.TaskRef]*start
	// stopping are the starts whose end the placer has asked for.
	stopping map[namer.TaskRef]struct{}
	// acks are ended starts that the worker may forget.
	acks map[namer.TaskRef]struct{}
	// listed says that the host list has the worker.
	listed bool
	// leaving says that the host list or the worker itself lets it go.
	leaving bool
	// aside is set while the placer has set the worker aside.
	isSetAside bool
	// shown is what the placer was told.
	placerState placer.WorkerState
}

// mayStartUntil returns the moment at which the right to start tasks ends.
func (l *link) startDeadline(t terms) time.Time {
	return l.lastContactSentAt.Add(t.lease)
}

func (t *tables) addLink(host connector.Host) *link {
	t.links.lastNumber++
	l := &link{
		host:      host,
		number:    t.links.lastNumber,
		createdAt: t.now,
		starts:    make(map[namer.TaskRef]*start),
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

// dropLink forgets a worker and everything on it.
func (t *tables) dropLink(l *link) {
	for ref := range l.starts {
		t.dropHolding(ref)
		delete(t.finished, ref)
	}
	t.placer.RemoveWorker(l.host.Name)
	delete(t.links.byName, l.host.Name)
	t.links.order = nil
}

// resetLink starts the takeover of a worker from the beginning.
func (t *tables) resetLink(l *link) {
	host, listed := l.host, l.listed
	t.dropLink(l)
	fresh := t.addLink(host)
	fresh.listed = listed
}

// hurry makes the next tick look at the links, and renew this one.
func (t *tables) renewOnNextTick(l *link) {
	l.dueAt = minTime(l.dueAt, t.now)
	t.links.dueAt = t.now
}

// names returns the names of the links in order.
func (t *linkTable) sortedNames() []string {
	if t.order == nil {
		t.order = sortedKeys(t.byName)
	}
	return t.order
}

// tendLinks sends what is due and finds what has lapsed. Not every tick does so.
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
	if l.state == linkOwned && !t.now.Before(l.startDeadline(t.settings.terms)) {
		t.markSilent(l)
	}
	if l.state == linkSilent {
		t.expireLeases(l)
	}
	if !l.listed && l.certainlyEmpty(t.settings.terms) {
		t.dropLink(l)
		return
	}
	if l.state != linkSuperseded && !l.inFlight && !t.isBehind() && !t.now.Before(l.dueAt) {
		t.renew(l)
	}
	t.resendStops(l)
	t.updatePlacerState(l)
}

// resolved reports whether a worker that is gone from the host list certainly
// runs nothing.
func (l *link) certainlyEmpty(terms terms) bool {
	switch l.state {
	case linkUnknown, linkWaiting:
		return l.unansweredSentAt.After(maxTime(l.createdAt, l.leasesRenewedAt).Add(terms.expiryDelay()))
	case linkSilent:
		return len(l.starts) == 0
	default:
		return false
	}
}

func (t *tables) markSilent(l *link) {
	l.state = linkSilent
	t.log.Warnf("dispatcher: worker %s is silent", l.host.Name)
	t.updatePlacerState(l)
}

// lapse ends the starts of a silent worker whose leases have certainly run out.
// Another owner may have renewed them only in a later epoch. So it is also asked
// that the log was read after the lapse and had no later epoch. And the worker
// must have been asked in vain after it: an owner that wakes from a pause may
// find that its tasks have finished.
func (t *tables) expireLeases(l *link) {
	terms := t.settings.terms
	for _, ref := range sortedRefs(l.starts) {
		s := l.starts[ref]
		if s.state == startFinished || s.state == startSending || l.inFlight {
			continue
		}
		expiry := s.leaseRenewedAt.Add(terms.expiryDelay())
		if t.settings.fault == faultEarlyLapse {
			expiry = expiry.Add(-terms.lease)
		}
		if l.unansweredSentAt.Before(expiry) || t.logReadSentAt.Before(expiry) {
			continue
		}
		t.metrics.lapses.Inc()
		t.log.Infof("dispatcher: the lease of %s at %s has lapsed", s.ref.Task, l.host.Name)
		t.endStart(l, s, placer.Lapsed, "its worker was lost")
	}
}

// renew sends one renewal. A worker that is silent is asked without naming its
// tasks, so that their leases run out meanwhile.
func (t *tables) renew(l *link) {
	l.dueAt = t.now.Add(t.settings.terms.renewal)
	if l.client == nil {
		return
	}
	renewal := connector.Renewal{
		Epoch: t.epoch,
		Lease: t.settings.terms.lease,
	}
	switch l.state {
	case linkWaiting:
		if t.now.Before(l.startDeadline(t.settings.terms)) {
			renewal.Refs = l.formerStarts
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
		timeout: t.settings.terms.renewal,
	})
}

func (l *link) renewableRefs() []namer.TaskRef {
	refs := make([]namer.TaskRef, 0, len(l.starts))
	for ref, s := range l.starts {
		if s.state == startRunning || s.state == startUnknown {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

// renewed reads the answer of a renewal.
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
		// It says nothing of the epoch that has begun meanwhile.
		t.renewOnNextTick(l)
	case fenced, e.err == nil && e.report.Epoch > t.epoch:
		t.supersede(l)
	case e.err != nil, e.report.Epoch < t.epoch:
		l.unansweredSentAt = e.sentAt
	default:
		t.handleReport(l, e)
	}
}

// touch notes that a renewal may have lengthened leases. It was written at the
// latest when its call ended.
func (l *link) noteRenewal(e renewedEvent) {
	if len(e.renewal.Refs) > 0 {
		l.leasesRenewedAt = maxTime(l.leasesRenewedAt, e.doneAt)
	}
	for _, ref := range e.renewal.Refs {
		if s := l.starts[ref]; s != nil {
			s.leaseRenewedAt = maxTime(s.leaseRenewedAt, e.doneAt)
		}
	}
}

// supersede stops the use of a worker that another owner has taken over.
func (t *tables) supersede(l *link) {
	if l.state == linkSuperseded {
		return
	}
	l.state = linkSuperseded
	t.log.Warnf("dispatcher: worker %s has a later epoch than %d", l.host.Name, t.epoch)
	t.updatePlacerState(l)
}

// accepted reads the report of a worker that accepted the epoch.
func (t *tables) handleReport(l *link, e renewedEvent) {
	for _, ref := range e.renewal.Acknowledged {
		delete(l.acks, ref)
	}
	l.lastContactSentAt = e.sentAt
	if t.updateCapacity(l, e.report) {
		t.registerWorker(l)
	}
	l.leaving = e.report.Leaving || t.listed[l.host.Name].State == connector.HostLeaving
	workerRestarted := l.incarnation != "" && l.incarnation != e.report.Incarnation
	l.incarnation = e.report.Incarnation
	if workerRestarted {
		t.workerRestarted(l)
	}
	t.readStarts(l, e)
	if len(l.stopping) > 0 {
		l.dueAt = minTime(l.dueAt, t.now.Add(t.settings.terms.renewal/stopReportDivisor))
	}
	switch l.state {
	case linkUnknown:
		l.state = linkWaiting
		l.epochAcceptedAt = t.now
		l.noteFormerStarts(e.report)
		t.renewOnNextTick(l)
	case linkWaiting:
		l.noteFormerStarts(e.report)
		t.tryAdopt(l, e)
	case linkSilent:
		l.state = linkOwned
		t.renewOnNextTick(l)
		t.log.Infof("dispatcher: worker %s answers again", l.host.Name)
	case linkOwned, linkSuperseded:
	}
	t.updatePlacerState(l)
}

// reportedCapacity takes the worker's own word for what it offers.
func (t *tables) updateCapacity(l *link, report connector.Report) bool {
	if report.Capacity.IsZero() || report.Capacity == l.host.Capacity {
		return false
	}
	l.host.Capacity = report.Capacity
	return true
}

// restarted begins the takeover anew: a new process at the worker does not know
// the epoch that the former one had accepted.
func (t *tables) workerRestarted(l *link) {
	if l.state == linkUnknown {
		return
	}
	t.log.Warnf("dispatcher: worker %s has restarted", l.host.Name)
	l.state = linkWaiting
	l.epochAcceptedAt = t.now
	l.formerStarts = nil
	t.updatePlacerState(l)
}

// note keeps the starts that a former owner left, to keep them alive.
func (l *link) noteFormerStarts(report connector.Report) {
	l.formerStarts = l.formerStarts[:0:0]
	for _, task := range report.Tasks {
		if task.State == connector.TaskRunning {
			l.formerStarts = append(l.formerStarts, task.Ref)
		}
	}
}

// tryAdopt ends the wait of a takeover once every contact of the former owner
// has lapsed, and the report was asked for after that.
func (t *tables) tryAdopt(l *link, e renewedEvent) {
	expiry := l.epochAcceptedAt.Add(t.settings.terms.expiryDelay())
	if t.settings.fault == faultEarlyTakeover {
		expiry = l.epochAcceptedAt
	}
	if e.sentAt.Before(expiry) {
		if t.now.Add(t.settings.terms.renewal).After(expiry) {
			l.dueAt = maxTime(expiry, t.now)
			t.links.dueAt = minTime(t.links.dueAt, l.dueAt)
		}
		return
	}
	t.adopt(l, e)
}
