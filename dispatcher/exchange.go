package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/sizer"
)

const (
	// exchangeInterval is the longest time between two messages to a member.
	exchangeInterval = time.Second
	// exchangeRetryDelay is the wait after a failed exchange.
	exchangeRetryDelay = 200 * time.Millisecond
	// exchangeTimeout is the timeout of one exchange.
	exchangeTimeout = 2 * time.Second
	// summaryInterval is the time between two updates of this member's summary.
	summaryInterval = time.Second
	// maxShapes is the largest number of distinct capacities in a summary.
	maxShapes = 16
)

// memberStream is the state of the numbered items that are sent to and received
// from one member within one epoch.
type memberStream struct {
	member  string
	address string
	// outbox are the items that the member has not acknowledged. acknowledged
	// is the number of the last item before them.
	outbox       []Item
	acknowledged uint64
	// lastSent is the number of the last item that was sent. A failed exchange
	// sets it back to acknowledged.
	lastSent uint64
	// lastApplied is the number of the member's last item that was applied
	// here.
	lastApplied uint64
	inFlight    bool
	// dueAt is when the next message is sent even without new items.
	dueAt time.Time
	// retryAt is the earliest time of the next message after a failed exchange.
	retryAt time.Time
	// summaryKnown is set once the member has sent a summary in this epoch.
	summaryKnown bool
	summary      Summary
	// assignedSize is the total size of the tasks assigned to the member since
	// its last summary, and queued is their number.
	assignedSize sizer.Size
	queued       int
	// ready and census are set once the member's Ready and Census were applied.
	ready  bool
	census bool
}

// openStreams replaces the streams by those of a new epoch. The peers' last
// summaries stay, for the quotas, but do not count as known.
func (t *tables) openStreams(m recorder.Membership) {
	former := t.streams
	t.streams = make(map[string]*memberStream, len(m.Members))
	for _, member := range m.Members {
		if member.Name == t.self {
			continue
		}
		stream := &memberStream{
			member:  member.Name,
			address: member.Peers,
			dueAt:   t.now,
		}
		if old := former[member.Name]; old != nil {
			stream.summary = old.summary
		}
		t.streams[member.Name] = stream
	}
	t.selfStream = memberStream{
		member: t.self,
	}
	t.nextSummaryAt = t.now
}

// send queues an item for a member. Items for a member that is not in the epoch
// are dropped: in the next epoch members report again what they hold.
func (t *tables) send(member string, item Item) {
	if member == t.self {
		t.selfStream.outbox = append(t.selfStream.outbox, item)
		return
	}
	if stream := t.streams[member]; stream != nil {
		stream.outbox = append(stream.outbox, item)
	}
}

func (t *tables) sendToAll(item Item) {
	for _, member := range t.members {
		t.send(member, item)
	}
}

// applyLocal applies the items that this member has sent to itself.
func (t *tables) applyLocal() {
	for len(t.selfStream.outbox) > 0 {
		items := t.selfStream.outbox
		t.selfStream.outbox = nil
		for _, item := range items {
			t.apply(&t.selfStream, item)
		}
	}
}

// sendMessages sends the messages that are due.
func (t *tables) sendMessages() {
	for _, name := range sortedKeys(t.streams) {
		stream := t.streams[name]
		unsent := stream.acknowledged+uint64(len(stream.outbox)) > stream.lastSent
		if stream.inFlight || t.now.Before(stream.retryAt) || (!unsent && t.now.Before(stream.dueAt)) {
			continue
		}
		stream.inFlight = true
		stream.dueAt = t.now.Add(exchangeInterval)
		t.metrics.exchanges.Inc()
		t.emit(exchangeEffect{
			member:  stream.member,
			address: stream.address,
			message: t.message(stream),
			timeout: exchangeTimeout,
		})
	}
}

// message returns the next message to the member.
func (t *tables) message(stream *memberStream) Message {
	count := min(len(stream.outbox), maxItems)
	items := make([]Item, count)
	copy(items, stream.outbox)
	stream.lastSent = max(stream.lastSent, stream.acknowledged+uint64(count))
	return Message{
		From:    t.self,
		Epoch:   t.epoch,
		Applied: stream.lastApplied,
		First:   stream.acknowledged + 1,
		Items:   items,
		Summary: t.selfStream.summary,
	}
}

// receive applies a member's message and returns the answer. A sender at
// another epoch only receives this entry's epoch.
func (t *tables) receive(args *Message) (Message, error) {
	if args.Epoch != t.epoch {
		t.notePeerEpoch(args.Epoch)
		return Message{
			From:  t.self,
			Epoch: t.epoch,
		}, nil
	}
	stream := t.streams[args.From]
	if stream == nil {
		return Message{}, errors.Wrapf(ErrNotMember, "%s", args.From)
	}
	t.applyMessage(stream, args)
	t.applyLocal()
	return t.message(stream), nil
}

// notePeerEpoch records the epoch of a peer. If it is later than this entry's,
// this entry starts no tasks and sends no renewals until it has read that epoch
// in the log itself.
func (t *tables) notePeerEpoch(epoch namer.Epoch) {
	if epoch <= max(t.epoch, t.peerEpoch) {
		return
	}
	t.peerEpoch = epoch
	t.log.Warnf("dispatcher: a peer has epoch %d, this entry %d", epoch, t.epoch)
	for _, name := range t.links.sortedNames() {
		t.updatePlacerState(t.links.byName[name])
	}
}

// isBehind reports whether a peer has named a later epoch than this entry's.
func (t *tables) isBehind() bool {
	return t.peerEpoch > t.epoch
}

// handleExchanged handles the result of an exchange.
func (t *tables) handleExchanged(e exchangedEvent) {
	stream := t.streams[e.member]
	if stream == nil || e.epoch != t.epoch {
		return
	}
	stream.inFlight = false
	if e.err != nil {
		stream.lastSent = stream.acknowledged
		stream.retryAt = t.now.Add(exchangeRetryDelay)
		return
	}
	if e.reply.Epoch != t.epoch {
		t.notePeerEpoch(e.reply.Epoch)
		stream.lastSent = stream.acknowledged
		stream.retryAt = t.now.Add(exchangeRetryDelay)
		return
	}
	t.applyMessage(stream, &e.reply)
}

// applyMessage applies those items of a message that are next in order, so that
// each is applied once, however messages are repeated or reordered.
func (t *tables) applyMessage(stream *memberStream, m *Message) {
	if m.Applied > stream.acknowledged {
		count := min(m.Applied-stream.acknowledged, uint64(len(stream.outbox)))
		stream.outbox = stream.outbox[count:]
		stream.acknowledged += count
	}
	stream.lastSent = max(stream.lastSent, stream.acknowledged)
	stream.summaryKnown = true
	if m.Summary.Takeovers != stream.summary.Takeovers {
		t.takeoversSeen++
	}
	stream.summary = m.Summary
	stream.assignedSize = sizer.Size{}
	stream.queued = 0
	for i, item := range m.Items {
		number := m.First + uint64(i)
		if number != stream.lastApplied+1 {
			continue
		}
		stream.lastApplied = number
		t.apply(stream, item)
	}
	if len(m.Items) > 0 {
		stream.dueAt = minTime(stream.dueAt, t.now.Add(exchangeRetryDelay))
	}
}

// apply applies one item.
func (t *tables) apply(stream *memberStream, item Item) {
	switch item := item.(type) {
	case Assign:
		t.applyAssign(stream.member, item)
	case Withdraw:
		t.applyWithdraw(stream.member, item)
	case Settle:
		for _, ref := range item.Refs {
			t.settleRun(ref)
		}
	case Reserve:
		t.applyReserve(stream.member, item)
	case Confirm:
		t.applyConfirm(stream.member, item)
	case Release:
		t.applyRelease(stream.member, item)
	case Held:
		t.applyHeld(stream.member, item)
	case Returned:
		t.applyReturned(stream.member, item)
	case Finished:
		t.applyFinished(stream.member, item)
	case GaveUp:
		t.applyGaveUp(stream.member, item)
	case Reserved:
		t.applyReserved(stream.member, item)
	case Lost:
		t.applyLost(stream.member, item)
	case Handover:
		t.applyHandover(item)
	case Ready:
		stream.ready = true
	case Census:
		stream.census = true
	}
}

// applyHandover adds a worker that the host list may not contain yet.
func (t *tables) applyHandover(item Handover) {
	name := item.Host.Name
	if owner, _ := namer.Owner(name, t.members); owner != t.self || t.links.byName[name] != nil {
		return
	}
	l := t.addLink(item.Host)
	_, l.listed = t.listed[name]
}

// updateSummary updates this member's summary once every summaryInterval, and
// with it the quotas, the health of workers and the gauges.
func (t *tables) updateSummary() {
	if t.now.Before(t.nextSummaryAt) {
		return
	}
	t.nextSummaryAt = t.now.Add(summaryInterval)
	sums := t.placer.Summary()
	t.selfStream.summary = Summary{
		Capacity:  sums.Total(),
		Free:      sums.Available(),
		Rooms:     t.largestFree(),
		Shapes:    t.workerShapes(),
		Pending:   len(t.held) - t.countRunning(),
		Usage:     t.usage(),
		Takeovers: t.takeovers,
	}
	t.selfStream.summaryKnown = true
	t.selfStream.assignedSize = sizer.Size{}
	t.selfStream.queued = 0
	t.setLocalQuotas()
	t.reportHealthChanges()
	t.setGauges()
}

func (t *tables) countRunning() int {
	n := 0
	for _, l := range t.links.byName {
		n += len(l.runs)
	}
	return min(n, len(t.held))
}

// usage returns the capacity that teams with a quota hold here.
func (t *tables) usage() map[string]sizer.Size {
	var usage map[string]sizer.Size
	for team := range t.placer.Teams {
		if team.Quota().IsZero() || team.Used().IsZero() {
			continue
		}
		if usage == nil {
			usage = make(map[string]sizer.Size)
		}
		usage[team.Name()] = team.Used()
	}
	return usage
}
