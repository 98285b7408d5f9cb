// Package dispatcher is one entry's part in placing the work of its data centre.
//
// Of the workers it owns those that rendezvous hashing gives to this entry among
// the members of the epoch. It takes them over from their former owner, renews
// the leases of their tasks and carries out what a placer decides. Of the jobs
// it is the home of those that hashing gives to it: it hands their tasks to the
// members with room, records in the log which have finished, and restarts what
// was lost. docs/DESIGN.md has the rules, and docs/operations/takeover.md what
// operators see.
//
// The package does not read the log, detect failures or agree on epochs: it is
// told of hosts, memberships, teams and jobs. It keeps nothing that must outlive
// the process.
//
// All state is in tables under one lock. Calls are made outside of it, in a
// bounded group, and their ends come back as events.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
)

// tickInterval is the longest time between two ticks.
const tickInterval = 100 * time.Millisecond

// Dispatcher places the work of one data centre together with its peers. It is
// safe for use by several goroutines.
type Dispatcher struct {
	settings settings
	// wake has room for one: a wake-up that is due already is not needed
	// twice.
	wake chan struct{}

	mu     sync.Mutex
	tables *tables
	// gone is closed once this entry is no member after Leave.
	removed     chan struct{}
	removedOnce sync.Once
}

// New returns a dispatcher for the entry with the given name, in a data centre.
// It does nothing until Run is called and a membership has been set.
func New(self, dataCentre string, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		settings: defaultSettings(),
		wake:     make(chan struct{}, 1),
		removed:  make(chan struct{}),
	}
	for _, opt := range opts {
		opt(&d.settings)
	}
	d.tables = newTables(self, dataCentre, &d.settings, newMetrics(d.settings.registerer))
	return d
}

// Run dispatches until the context has ended, and returns nil then. Calls that
// are under way are ended with it.
func (d *Dispatcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(d.settings.parallelism)
	group.Go(func() error {
		d.loop(ctx, calls)
		return calls.Wait()
	})
	return errors.Wrap(group.Wait(), "dispatcher: run")
}

func (d *Dispatcher) loop(ctx context.Context, calls *errgroup.Group) {
	var pending []effect
	for {
		d.mu.Lock()
		d.tables.tick(d.settings.clock.Now())
		pending = append(pending, d.tables.takeEffects()...)
		d.mu.Unlock()
		pending = d.launch(ctx, calls, pending)
		if !d.awaitTick(ctx) {
			return
		}
	}
}

// launch makes as many calls as the group takes and returns the others.
func (d *Dispatcher) launch(ctx context.Context, calls *errgroup.Group, effects []effect) []effect {
	for at, e := range effects {
		started := calls.TryGo(func() error {
			d.handle(d.settings.perform(ctx, e))
			return nil
		})
		if !started {
			return effects[at:]
		}
	}
	return nil
}

// await returns true when it is time for the next tick.
func (d *Dispatcher) awaitTick(ctx context.Context) bool {
	timer := d.settings.clock.NewTimer(tickInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-d.wake:
		return true
	case <-timer.C():
		return true
	}
}

func (d *Dispatcher) handle(e event) {
	d.update(func(t *tables) {
		t.handle(t.now, e)
	})
}

// update changes the tables and wakes the loop.
func (d *Dispatcher) update(change func(*tables)) {
	d.mu.Lock()
	d.tables.now = d.settings.clock.Now()
	change(d.tables)
	if d.tables.leaving && !d.tables.member {
		d.removedOnce.Do(func() { close(d.removed) })
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// SetMembership tells of an accepted membership and the offset at which it was
// accepted. One of another data centre, or of an epoch that is not later than
// the last, is ignored.
func (d *Dispatcher) SetMembership(m recorder.Membership, acceptedAt namer.Offset) {
	d.update(func(t *tables) {
		t.setMembership(m, acceptedAt)
	})
}

// SetLogContact says that the log was read to its end by a read that was sent at
// the given time, and that everything read was set before: the last membership
// and all jobs. Without it no lease is ever held to have lapsed.
func (d *Dispatcher) SetLogContact(sentAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tables.logReadSentAt = maxTime(d.tables.logReadSentAt, sentAt)
}

// SetHosts tells of the platform's host list. Hosts of other kinds and data
// centres are ignored. A worker that is gone from the list and still answers
// keeps its tasks.
func (d *Dispatcher) SetHosts(hosts []connector.Host) {
	d.update(func(t *tables) {
		t.setHosts(hosts)
	})
}

// SetTeams tells of the teams' weights and quotas.
func (d *Dispatcher) SetTeams(teams map[string]replayer.Team) {
	d.update(func(t *tables) {
		t.setTeams(teams)
	})
}

// SetJobs tells of jobs that are new or have changed, ended ones among them. A
// membership that was accepted before one of the jobs must be set before it:
// what was submitted after the epoch began needs no report of the members.
func (d *Dispatcher) SetJobs(states []replayer.JobState) {
	d.update(func(t *tables) {
		t.setJobs(states)
		t.applyLocal()
	})
}

// Drain asks for a worker's tasks to be moved elsewhere, or takes that back. It
// is remembered for the time when this entry comes to own the worker, and
// reports whether that is now. The caller tells every member.
func (d *Dispatcher) Drain(worker string, on bool) bool {
	owned := false
	d.update(func(t *tables) {
		owned = t.drain(worker, on)
	})
	return owned
}

// Leave starts no more tasks, and returns once a membership without this entry
// was set, or with the context's error. Running tasks are kept alive until then
// and go over to the next owners. The caller proposes the membership.
func (d *Dispatcher) Leave(ctx context.Context) error {
	d.update(func(t *tables) {
		t.leaving = true
	})
	select {
	case <-d.removed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "dispatcher: leave")
	}
}

// Receiver returns the net/rpc receiver, to be registered as "Placing".
func (d *Dispatcher) Receiver() any {
	return &Receiver{
		dispatcher: d,
	}
}

// Receiver answers the peers.
type Receiver struct {
	dispatcher *Dispatcher
}

// Exchange applies the items of a peer and returns this entry's. A peer at
// another epoch gets only this one's. It fails with ErrStranger, and has then
// done nothing.
func (r *Receiver) Exchange(args, reply *Message) error {
	var err error
	r.dispatcher.update(func(t *tables) {
		*reply, err = t.receive(args)
	})
	return err
}
