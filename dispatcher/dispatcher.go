// Package dispatcher places tasks on the workers of one data centre, as one
// member of a group of entries.
//
// Rendezvous hashing over the members of the current epoch gives each worker an
// owner and each job a home. As the owner of a worker, this entry takes the
// worker over from its former owner, renews the leases of its tasks and carries
// out the decisions of a placer. As the home of a job, it assigns the job's
// tasks to members with free capacity, which become their holders, records
// finished tasks in the log, and restarts lost tasks. docs/DESIGN.md has the
// rules, and docs/operations/takeover.md describes what operators see.
//
// The package does not read the log, detect failures or agree on epochs: hosts,
// memberships, teams and jobs are passed in. It holds no state that must
// outlive the process.
//
// All state is in tables under one lock. Calls are made outside the lock, in a
// group of bounded size, and their results come back as events.
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

// Dispatcher places the tasks of one data centre together with its peers. It is
// safe for concurrent use.
type Dispatcher struct {
	settings settings
	// wake has a buffer of one, because a second wake-up before the next tick
	// has no effect.
	wake chan struct{}

	mu     sync.Mutex
	tables *tables
	// removed is closed once a membership without this entry is set after Leave
	// was called.
	removed     chan struct{}
	removedOnce sync.Once
}

// New returns a dispatcher for the entry with the given name in a data centre.
// It does nothing until Run is called and a membership is set.
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

// Run dispatches until the context ends, and then returns nil. The context also
// ends the calls under way.
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

// launch starts as many calls as the group accepts and returns the effects that
// are left.
func (d *Dispatcher) launch(ctx context.Context, calls *errgroup.Group, effects []effect) []effect {
	for i, e := range effects {
		started := calls.TryGo(func() error {
			d.handle(d.settings.perform(ctx, e))
			return nil
		})
		if !started {
			return effects[i:]
		}
	}
	return nil
}

// awaitTick waits until the next tick is due and returns true. It returns false
// if the context ends first.
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

// update changes the tables under the lock and wakes the loop.
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

// SetMembership sets an accepted membership and the log offset at which it was
// accepted. It ignores a membership of another data centre, or of an epoch that
// is not later than the last one.
func (d *Dispatcher) SetMembership(m recorder.Membership, membershipOffset namer.Offset) {
	d.update(func(t *tables) {
		t.setMembership(m, membershipOffset)
	})
}

// SetLogContact reports that a read of the log, sent at the given time, reached
// the end of the log, and that everything it returned has been set: the last
// membership and all jobs. Without such reports no lease is ever considered
// lapsed.
func (d *Dispatcher) SetLogContact(sentAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tables.logReadSentAt = maxTime(d.tables.logReadSentAt, sentAt)
}

// SetHosts sets the platform's host list. It ignores hosts that are not workers
// and hosts of other data centres. A worker that is no longer listed but still
// answers keeps its tasks.
func (d *Dispatcher) SetHosts(hosts []connector.Host) {
	d.update(func(t *tables) {
		t.setHosts(hosts)
	})
}

// SetTeams sets the weights and quotas of all teams.
func (d *Dispatcher) SetTeams(teams map[string]replayer.Team) {
	d.update(func(t *tables) {
		t.setTeams(teams)
	})
}

// SetJobs updates jobs that are new or have changed, including those that have
// ended. A membership that was accepted before one of the jobs must be set
// first: a job that was submitted after the epoch began can be placed without
// waiting for the reports of the members.
func (d *Dispatcher) SetJobs(states []replayer.JobState) {
	d.update(func(t *tables) {
		t.setJobs(states)
		t.applyLocal()
	})
}

// Drain requests that a worker's tasks move elsewhere, or withdraws the
// request. The request is kept in case this entry becomes the worker's owner
// later. Drain reports whether this entry owns the worker now. The caller must
// call Drain on every member.
func (d *Dispatcher) Drain(worker string, on bool) bool {
	owned := false
	d.update(func(t *tables) {
		owned = t.drain(worker, on)
	})
	return owned
}

// Leave stops this entry from starting tasks, and returns once a membership
// without this entry is set, or with the context's error. Until then running
// tasks are kept alive; after that they pass to the next owners of their
// workers. The caller has to propose the membership.
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

// Receiver answers calls from peers.
type Receiver struct {
	dispatcher *Dispatcher
}

// Exchange applies the items of a peer's message and returns this entry's
// message to the peer. A peer at another epoch only receives this entry's
// epoch. If the sender is not a member, Exchange fails with ErrNotMember and
// applies nothing.
func (r *Receiver) Exchange(args, reply *Message) error {
	var err error
	r.dispatcher.update(func(t *tables) {
		*reply, err = t.receive(args)
	})
	return err
}
