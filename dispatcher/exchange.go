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

// channel carries items to and from one member within one epoch.
type channel struct {
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

// openChannels opens the channels of a new epoch.
func (t *tables) openChannels(m recorder.Membership) {
	former := t.channels
	t.channels = make(map[string]*channel, len(m.Members))
	for _, member := range m.Members {
		if member.Name == t.self {
			continue
		}
		ch := &channel{
			member:  member.Name,
			address: member.Peers,
			dueAt:   t.now,
		}
		if old := former[member.Name]; old != nil {
			ch.summary = old.summary
		}
		t.channels[member.Name] = ch
	}
	t.selfChannel = channel{
		member: t.self,
	}
	t.nextSummaryAt = t.now
}

// send queues an item for a member. Items for a member that is not in the epoch
// are dropped: in the next epoch members report again what they hold.
func (t *tables) send(member string, item Item) {
	if member == t.self {
		t.selfChannel.outbox = append(t.selfChannel.outbox, item)
		return
	}
	if ch := t.channels[member]; ch != nil {
		ch.outbox = append(ch.outbox, item)
	}
}

func (t *tables) sendToAll(item Item) {
	for _, member := range t.members {
		t.send(member, item)
	}
}

// applyLocal applies the items that this member has sent to itself.
func (t *tables) applyLocal() {
	for len(t.selfChannel.outbox) > 0 {
		items := t.selfChannel.outbox
		t.selfChannel.outbox = nil
		for _, item := range items {
			t.apply(&t.selfChannel, item)
		}
	}
}

// sendMessages sends the messages that are due.
func (t *tables) sendMessages() {
	for _, name := range sortedKeys(t.channels) {
		ch := t.channels[name]
		unsent := ch.acknowledged+uint64(len(ch.outbox)) > ch.lastSent
		if ch.inFlight || t.now.Before(ch.retryAt) || (!unsent && t.now.Before(ch.dueAt)) {
			continue
		}
		ch.inFlight = true
		ch.dueAt = t.now.Add(exchangeInterval)
		t.metrics.exchanges.Inc()
		t.emit(exchangeEffect{
			member:  ch.member,
			address: ch.address,
			message: t.message(ch),
			timeout: exchangeTimeout,
		})
	}
}

// message returns the next message to the member.
func (t *tables) message(ch *channel) Message {
	count := min(len(ch.outbox), maxItems)
	items := make([]Item, count)
	copy(items, ch.outbox)
	ch.lastSent = max(ch.lastSent, ch.acknowledged+uint64(count))
	return Message{
		From:    t.self,
		Epoch:   t.epoch,
		Applied: ch.lastApplied,
		First:   ch.acknowledged + 1,
		Items:   items,
		Summary: t.selfChannel.summary,
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
	ch := t.channels[args.From]
	if ch == nil {
		return Message{}, errors.Wrapf(ErrNotMember, "%s", args.From)
	}
	t.applyMessage(ch, args)
	t.applyLocal()
	return t.message(ch), nil
}

// notePeerEpoch records the epoch of a peer. If it is later than this entry's,
// this entry starts and renews nothing until it has read that epoch itself.
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
	ch := t.channels[e.member]
	if ch == nil || e.epoch != t.epoch {
		return
	}
	ch.inFlight = false
	if e.err != nil {
		ch.lastSent = ch.acknowledged
		ch.retryAt = t.now.Add(exchangeRetryDelay)
		return
	}
	if e.reply.Epoch != t.epoch {
		t.notePeerEpoch(e.reply.Epoch)
		ch.lastSent = ch.acknowledged
		ch.retryAt = t.now.Add(exchangeRetryDelay)
		return
	}
	t.applyMessage(ch, &e.reply)
}

// applyMessage applies those items of a message that are next in order, so that
// each is applied once, however messages are repeated or reordered.
func (t *tables) applyMessage(ch *channel, m *Message) {
	if m.Applied > ch.acknowledged {
		count := min(m.Applied-ch.acknowledged, uint64(len(ch.outbox)))
		ch.outbox = ch.outbox[count:]
		ch.acknowledged += count
	}
	ch.lastSent = max(ch.lastSent, ch.acknowledged)
	ch.summaryKnown = true
	if m.Summary.Takeovers != ch.summary.Takeovers {
		t.takeoversSeen++
	}
	ch.summary = m.Summary
	ch.assignedSize = sizer.Size{}
	ch.queued = 0
	for i, item := range m.Items {
		number := m.First + uint64(i)
		if number != ch.lastApplied+1 {
			continue
		}
		ch.lastApplied = number
		t.apply(ch, item)
	}
	if len(m.Items) > 0 {
		ch.dueAt = minTime(ch.dueAt, t.now.Add(exchangeRetryDelay))
	}
}

// apply applies one item.
func (t *tables) apply(ch *channel, item Item) {
	switch item := item.(type) {
	case Assign:
		t.applyAssign(ch.member, item)
	case Withdraw:
		t.applyWithdraw(ch.member, item)
	case Settle:
		for _, ref := range item.Refs {
			t.settleStart(ref)
		}
	case Reserve:
		t.applyReserve(ch.member, item)
	case Confirm:
		t.applyConfirm(ch.member, item)
	case Release:
		t.applyRelease(ch.member, item)
	case Held:
		t.applyHeld(ch.member, item)
	case Returned:
		t.applyReturned(ch.member, item)
	case Finished:
		t.applyFinished(ch.member, item)
	case GaveUp:
		t.applyGaveUp(ch.member, item)
	case Reserved:
		t.applyReserved(ch.member, item)
	case Lost:
		t.applyLost(ch.member, item)
	case Handover:
		t.applyHandover(item)
	case Ready:
		ch.ready = true
	case Census:
		ch.census = true
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
	t.selfChannel.summary = Summary{
		Capacity:  sums.Total(),
		Free:      sums.Free(),
		Rooms:     t.largestFree(),
		Shapes:    t.workerShapes(),
		Pending:   len(t.held) - t.countRunning(),
		Usage:     t.usage(),
		Takeovers: t.takeovers,
	}
	t.selfChannel.summaryKnown = true
	t.selfChannel.assignedSize = sizer.Size{}
	t.selfChannel.queued = 0
	t.setLocalQuotas()
	t.reportHealthChanges()
	t.setGauges()
}

func (t *tables) countRunning() int {
	n := 0
	for _, l := range t.links.byName {
		n += len(l.starts)
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
