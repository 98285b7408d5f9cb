package conductor

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/timekeeper"
)

// ErrNotStored is returned if what an answer would say is not stored in time.
var ErrNotStored = errors.New("conductor: the allotments are not stored")

const (
	// minExchangeInterval is the shortest time between two checks whether parts are to
	// be asked for. It adds to the wait of a step that the allotment does not cover.
	minExchangeInterval = 20 * time.Millisecond
	// allotTimeout bounds how long the answer to a request waits for the write of the
	// ledger. It is below the caller's timeout, so that the caller gets an error rather
	// than no answer.
	allotTimeout = 500 * time.Millisecond
	// maxAppendAge is how long an append of progress may take before nothing more is
	// given or asked for. A store that is fifty times slower than usual answers within
	// it.
	maxAppendAge = 300 * time.Millisecond
	// transfersInterval is the interval at which the parts that were given and received
	// are logged, and maxTransferLines the number of organisations that are logged each
	// time.
	transfersInterval = time.Second
	maxTransferLines  = 8
)

// AskAllotment calls the owner of another partition, and returns its answer to the
// request.
type AskAllotment func(ctx context.Context, partition int, request allotter.Request) (allotter.Reply, error)

// ExchangeAllotments sets how the owners of other partitions are asked for parts of
// allotments. By default they are not asked.
func ExchangeAllotments(ask AskAllotment) Option {
	return func(c *Conductor) {
		c.askAllotment = ask
	}
}

// exchange is the state of the exchange of allotments with other owners.
type exchange struct {
	// base holds the base partitions, none while they are not known.
	base []int
	// asker determines whom to ask.
	asker *allotter.Asker
	// appendingSince is the time at which the append under way began, zero if there is
	// none.
	appendingSince time.Time
	// transfers holds the parts that moved and are not logged yet, by organisation, and
	// loggedAt is the time at which some were last logged.
	transfers map[string]*transfer
	loggedAt  time.Time
}

// transfer is what an owner has given and received of one organisation.
type transfer struct {
	since           time.Time
	given, received allotter.Parts
}

func newExchange() exchange {
	return exchange{
		asker:     allotter.NewAsker(),
		transfers: make(map[string]*transfer),
	}
}

// SetAllotmentPartitions sets the base partitions, which hold all parts of each maximum at
// first, and all partitions that may hold parts.
func (c *Conductor) SetAllotmentPartitions(base, all []int) {
	c.mu.Lock()
	c.exchange.base = base
	c.exchange.asker.SetPeers(slices.DeleteFunc(slices.Clone(all), func(partition int) bool { return partition == c.partition }))
	if c.scheduler != nil {
		c.scheduler.SetBasePartitions(c.partition, base)
	}
	c.mu.Unlock()
	c.requestTick()
}

// restoreAllotments passes the stored ledger and the base partitions to a new scheduler.
// The caller holds mu.
func (c *Conductor) restoreAllotments(s *scheduler.Scheduler, stored []byte) {
	if stored != nil {
		if err := s.RestoreAllotments(stored); err != nil {
			c.logger.WithError(err).WithField("partition", c.partition).Error("conductor: the stored allotments cannot be decoded, no task of an organisation with a maximum starts here")
		}
	}
	s.SetBasePartitions(c.partition, c.exchange.base)
}

// Allot answers the request of another partition's owner for parts. It returns only once
// the ledger with the totals of the reply is stored.
func (c *Conductor) Allot(ctx context.Context, request allotter.Request) (allotter.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, allotTimeout)
	defer cancel()
	gift, err := c.give(request)
	if err != nil {
		return allotter.Reply{}, err
	}
	for {
		c.mu.Lock()
		stored := c.scheduler.LedgerStored(gift.Batch)
		progressed := c.progressed
		c.mu.Unlock()
		if stored {
			return gift.Reply, nil
		}
		select {
		case <-progressed:
		case <-ctx.Done():
			return allotter.Reply{}, ErrNotStored
		}
	}
}

// give lowers what this owner holds by what it gives, and requests a write of the ledger.
func (c *Conductor) give(request allotter.Request) (scheduler.Gift, error) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return scheduler.Gift{}, ErrNotReady
	}
	if c.appendOverdue(now) {
		return scheduler.Gift{}, ErrNotStored
	}
	gift, err := c.scheduler.Allot(request, now)
	if err != nil {
		return scheduler.Gift{}, err
	}
	for organisation, parts := range gift.Given {
		c.recordTransfer(organisation, transfer{
			given: parts,
		})
	}
	if !c.scheduler.LedgerStored(gift.Batch) {
		c.requestWrite()
	}
	return gift, nil
}

// setAppending records that an append of progress begins or has ended.
func (c *Conductor) setAppending(appending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.appendingSince = time.Time{}
	if appending {
		c.exchange.appendingSince = c.clock.Now()
	}
}

// appendOverdue reports whether the store has not responded to an append for some time.
// The caller holds mu.
func (c *Conductor) appendOverdue(now time.Time) bool {
	since := c.exchange.appendingSince
	return !since.IsZero() && now.Sub(since) > maxAppendAge
}

// requestExchange triggers a check whether parts are to be asked for.
func (c *Conductor) requestExchange() {
	select {
	case c.exchangeRequests <- struct{}{}:
	default:
	}
}

// exchangeAllotments asks the owners of other partitions for parts, on each request and at
// most once per minExchangeInterval. The scheduler's ticks request it.
func (c *Conductor) exchangeAllotments(ctx context.Context, group *errgroup.Group) error {
	if c.askAllotment == nil {
		return nil
	}
	for {
		select {
		case <-c.exchangeRequests:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.askForParts(ctx, group)
		c.logTransfers()
		if err := timekeeper.Sleep(ctx, c.clock, minExchangeInterval); err != nil {
			return err
		}
	}
}

// askForParts makes the calls that are due.
func (c *Conductor) askForParts(ctx context.Context, group *errgroup.Group) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.organisations) == 0 || !c.scheduler.AllotmentsKnown() || c.appendOverdue(now) {
		return
	}
	wants := c.scheduler.AllotmentWants(now)
	names := make([]string, 0, len(wants))
	for _, want := range wants {
		names = append(names, want.Organisation)
	}
	for _, call := range c.exchange.asker.Due(names, now) {
		request := c.scheduler.AllotmentRequest(call, wants)
		group.Go(func() error {
			c.askPartition(ctx, call.Partition, request)
			return nil
		})
	}
}

// askPartition makes one call to another partition's owner.
func (c *Conductor) askPartition(ctx context.Context, partition int, request allotter.Request) {
	reply, err := c.askAllotment(ctx, partition, request)
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.metrics.allotmentCalls.WithLabelValues("failed").Inc()
		c.exchange.asker.Failed(partition, now)
		return
	}
	gave := make(map[string]bool)
	for organisation, parts := range c.scheduler.ReceiveAllotments(partition, reply, now) {
		gave[organisation] = true
		c.recordTransfer(organisation, transfer{
			received: parts,
		})
	}
	c.exchange.asker.Answered(partition, gave, now)
	if len(gave) == 0 {
		c.metrics.allotmentCalls.WithLabelValues("nothing").Inc()
		return
	}
	c.metrics.allotmentCalls.WithLabelValues("parts").Inc()
	c.requestTick()
	c.requestWrite()
}

// recordTransfer counts parts that were given or received. The caller holds mu.
func (c *Conductor) recordTransfer(organisation string, moved transfer) {
	c.metrics.organisations.countMoved(organisation, "given", moved.given)
	c.metrics.organisations.countMoved(organisation, "received", moved.received)
	sum := c.exchange.transfers[organisation]
	if sum == nil {
		sum = &transfer{
			since: c.clock.Now(),
		}
		c.exchange.transfers[organisation] = sum
	}
	sum.given = sum.given.Add(moved.given)
	sum.received = sum.received.Add(moved.received)
}

// logTransfers logs the parts that were given and received, at most once per
// transfersInterval and for at most maxTransferLines organisations. Those that changed
// first come first; the others are logged later.
func (c *Conductor) logTransfers() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.exchange.transfers) == 0 || now.Sub(c.exchange.loggedAt) < transfersInterval {
		return
	}
	c.exchange.loggedAt = now
	transfers := c.exchange.transfers
	organisations := slices.SortedFunc(maps.Keys(transfers), func(a, b string) int {
		return cmp.Or(transfers[a].since.Compare(transfers[b].since), cmp.Compare(a, b))
	})
	for _, organisation := range organisations[:min(maxTransferLines, len(organisations))] {
		moved := transfers[organisation]
		delete(transfers, organisation)
		held := c.scheduler.HeldAllotment(organisation)
		c.logger.WithFields(log.Fields{
			"partition":    c.partition,
			"organisation": organisation,
			"given":        moved.given,
			"received":     moved.received,
			"held":         held.Parts,
			"used":         held.Used.String(),
			"allotment":    held.Allotment.String(),
			"maximum":      held.Maximum.String(),
		}).Info("conductor: an allotment changed")
	}
}
