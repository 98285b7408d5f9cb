package coordinator

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// minOwnersAge is the minimum time between two reads of the owners.
	minOwnersAge = 150 * time.Millisecond
	// ownersTimeout bounds one read of the owners.
	ownersTimeout = joinTimeout
	// silentCallTime is how long a call that its caller cancelled must have gone without an answer to show that the
	// owner does not answer. Owners answer most calls from memory.
	silentCallTime = 150 * time.Millisecond
	// ownerTries is how many calls are made to the owner of a partition until one is answered.
	ownerTries = 2
)

// errNotOwner is returned by an entry that does not own the partition.
var errNotOwner = errors.New("coordinator: the partition is owned by another entry")

// ownerTable holds the owners of all partitions, as the store named them when they were last read.
type ownerTable struct {
	store storer.Store
	clock timekeeper.Clock
	reads singleflight.Group

	mu sync.Mutex
	// addresses holds the addresses of the owners as of readAt. It is never modified, only replaced.
	addresses map[int]string
	readAt    time.Time
	// triedAt is the time at which the last read ended, answered or not.
	triedAt time.Time
	// readError is the error of the last read, nil if it was answered.
	readError error
	// doubtful holds the owners that may have a successor, as they did not answer their last call, refused it or could
	// not confirm that they are the owner. The value is whether they did not answer.
	doubtful map[string]bool
}

func newOwnerTable(store storer.Store, clock timekeeper.Clock) *ownerTable {
	return &ownerTable{
		store:    store,
		clock:    clock,
		doubtful: make(map[string]bool),
	}
}

// find returns the address of the entry that owns a partition. If it is unknown or doubtful, the owners are
// read first, unless they were read less than minOwnersAge ago. A caller that has a doubtful address waits for a
// third of the context's time and uses that address without an answer; the read goes on for the next caller.
func (t *ownerTable) find(ctx context.Context, partition int) (address string, found bool) {
	address, reliable := t.known(partition)
	if reliable {
		return address, true
	}
	if deadline, limited := ctx.Deadline(); limited && address != "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, deadline.Sub(t.clock.Now())/3)
		defer cancel()
	}
	select {
	case <-t.reads.DoChan("", func() (any, error) { return nil, t.read(context.WithoutCancel(ctx)) }):
	case <-ctx.Done():
	}
	address, _ = t.known(partition)
	return address, address != ""
}

// known returns the address of the entry that owns a partition as far as it is known, and whether it can be
// called without another read of the owners.
func (t *ownerTable) known(partition int) (address string, reliable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address = t.addresses[partition]
	_, doubtful := t.doubtful[address]
	return address, address != "" && !doubtful
}

// isSilent reports whether the owner with the address did not answer its last call.
func (t *ownerTable) isSilent(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.doubtful[address]
}

// read reads the owners, unless they were read less than minOwnersAge ago. If the store did not name them then, read
// waits for the rest of that time.
func (t *ownerTable) read(ctx context.Context) error {
	t.mu.Lock()
	pause := minOwnersAge - t.clock.Now().Sub(t.triedAt)
	failed := t.readError != nil
	t.mu.Unlock()
	if pause > 0 {
		if !failed {
			return nil
		}
		if err := timekeeper.Sleep(ctx, t.clock, pause); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, ownersTimeout)
	defer cancel()
	owners, err := t.store.Owners(ctx, groupName)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readError = err
	t.triedAt = t.clock.Now()
	if err != nil {
		return err
	}
	t.readAt = t.triedAt
	t.addresses = make(map[int]string)
	named := make(map[string]bool)
	for _, owner := range owners {
		address, _, found := strings.Cut(owner.Member, "/")
		if found && owner.Partition.Topic == conductor.JobsTopic {
			t.addresses[owner.Partition.Number] = address
			named[address] = true
		}
	}
	maps.DeleteFunc(t.doubtful, func(address string, _ bool) bool { return !named[address] })
	return nil
}

// doubt marks an owner that answered as doubtful.
func (t *ownerTable) doubt(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doubtful[address] = false
}

// recordCall records the outcome of a call to an owner that began at that time. A call that the caller cancelled
// within silentCallTime tells nothing.
func (t *ownerTable) recordCall(ctx context.Context, address string, began time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		delete(t.doubtful, address)
	case errors.Is(err, messenger.ErrRefused):
		t.doubtful[address] = false
	case !errors.Is(ctx.Err(), context.Canceled), t.clock.Now().Sub(began) >= silentCallTime:
		t.doubtful[address] = true
	}
}

// ownerCall is a call to the owner of a partition.
type ownerCall[Reply any] struct {
	partition int
	method    string
	args      any
	// local answers the call if this process is the owner.
	local func(context.Context, *conductor.Conductor) (Reply, error)
	// once is set if a call whose outcome is unknown is not repeated.
	once bool
	// unconfirmed reports whether a reply is of an entry that may have a successor, which is asked instead if the
	// store names one. It may be nil.
	unconfirmed func(Reply) bool
}

// callOwner makes a call to the owner of a partition, in this process or another entry. If the owner is unknown
// or the call fails, it tries once more after reading the owners. The first try leaves half of the context's
// time for that, unless the call is made once. Each try has a reply of its own, as a late answer may still be
// written to that of a failed one.
func callOwner[Reply any](ctx context.Context, c *Coordinator, call ownerCall[Reply]) (Reply, error) {
	err := errNotOwner
	var tries []ownerTry
	// unconfirmed is the reply of an owner that may have a successor, and unconfirmedBy its address.
	var unconfirmed *Reply
	var unconfirmedBy string
	for try := range ownerTries {
		if own := c.localOwner(call.partition); own != nil {
			return call.local(ctx, own)
		}
		address, found := c.owners.find(ctx, call.partition)
		if try > 0 && ctx.Err() != nil {
			break
		}
		if address == c.settings.peerAddress {
			// This process has lost the partition since the owners were read.
			c.owners.doubt(address)
			continue
		}
		if !found {
			continue
		}
		if address == unconfirmedBy {
			break
		}
		limit := peerTimeout
		if deadline, limited := ctx.Deadline(); limited && !call.once {
			limit = min(limit, deadline.Sub(c.settings.clock.Now())/time.Duration(ownerTries-try))
		}
		began := c.settings.clock.Now()
		reply := new(Reply)
		callCtx, cancel := context.WithTimeout(ctx, limit)
		err = c.pool.Call(callCtx, address, rpcName+"."+call.method, call.args, reply)
		cancel()
		c.ownerMetrics.recordCall(call.method, err)
		c.owners.recordCall(ctx, address, began, err)
		switch {
		case err == nil && call.unconfirmed != nil && call.unconfirmed(*reply) && c.store.serves():
			c.owners.doubt(address)
			unconfirmed, unconfirmedBy = reply, address
			continue
		case err == nil:
			return *reply, nil
		}
		tries = append(tries, ownerTry{
			address: address,
			took:    c.settings.clock.Now().Sub(began),
			err:     err,
		})
		if call.once && errors.Is(err, messenger.ErrUnknown) {
			// The answer of the former owner must not stand for that of the next one, which may have acted.
			unconfirmed = nil
			break
		}
	}
	if unconfirmed != nil {
		return *unconfirmed, nil
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.logUnreached(ctx, call.partition, call.method, tries, err)
	}
	var none Reply
	return none, err
}

// unreachedLineInterval is the shortest time between two log lines on owners that were not
// reached.
const unreachedLineInterval = time.Second

// logUnreached logs which entries were asked as the owner of a partition, at most once per
// unreachedLineInterval.
func (c *Coordinator) logUnreached(ctx context.Context, partition int, method string, tries []ownerTry, err error) {
	now := c.settings.clock.Now()
	omitted, allowed := c.unreachedLines.allow(unreachedLineInterval, now)
	if !allowed {
		return
	}
	asked, tried := make([]string, len(tries)), make([]string, len(tries))
	for i, try := range tries {
		asked[i], tried[i] = try.address, try.String()
	}
	c.owners.mu.Lock()
	age, readErr := now.Sub(c.owners.readAt), c.owners.readError
	c.owners.mu.Unlock()
	entry := c.settings.logger.WithError(err).WithFields(log.Fields{
		"partition":   partition,
		"method":      method,
		"asked":       strings.Join(asked, " "),
		"tried":       strings.Join(tried, "; "),
		"ownersAgeMs": age.Milliseconds(),
		"omitted":     omitted,
	})
	if readErr != nil {
		entry = entry.WithField("ownersError", readErr.Error())
	}
	if deadline, limited := ctx.Deadline(); limited {
		entry = entry.WithField("leftMs", deadline.Sub(now).Milliseconds())
	}
	entry.Warn("coordinator: no entry answered as the owner of a partition")
}
