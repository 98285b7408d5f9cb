// Package watcher lets the entry processes of one data centre watch each other
// by heartbeats, and proposes a new membership when one is surely gone or new.
//
// The log decides which proposal is accepted; the package only proposes and
// follows the answer. While the log is out of reach the membership is frozen.
// It knows nothing of tasks, workers and leases.
package watcher

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/timekeeper"
)

// The errors of the package.
var (
	// ErrLeave is returned where the log did not take the process out of the
	// membership in time. The others will, once they miss it.
	ErrLeave = errors.New("watcher: still a member")
	// ErrDataCentre is returned to a peer of another data centre.
	ErrDataCentre = errors.New("watcher: peer of another data centre")
	// ErrLoad is returned for a load that is too long or cannot be encoded.
	ErrLoad = errors.New("watcher: bad load")
)

// Caller makes calls to peers. messenger.Pool is one.
type Caller interface {
	// Call calls a method of the peer at the address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Terms are the times by which a watcher works.
type Terms struct {
	// Interval is the time between two heartbeats, randomised by a fifth.
	Interval time.Duration
	// Suspicion is how long a member is not heard of before it is taken for
	// gone.
	Suspicion time.Duration
	// Minority is how many times longer that is for a watcher that does not
	// reach most of the members.
	Minority int
	// Settle is how long newcomers are gathered before they are proposed.
	Settle time.Duration
	// Frozen is how long after the last contact with the log nothing is
	// proposed.
	Frozen time.Duration
	// Rejoin is the first pause of a process that was taken out, and it
	// doubles each time up to RejoinMax, until it has stayed for RejoinMax.
	Rejoin    time.Duration
	RejoinMax time.Duration
}

// DefaultTerms returns the terms that a Watcher starts from.
func DefaultTerms() Terms {
	return Terms{
		Interval:  500 * time.Millisecond,
		Suspicion: 3 * time.Second,
		Minority:  3,
		Settle:    300 * time.Millisecond,
		Frozen:    30 * time.Second,
		Rejoin:    time.Second,
		RejoinMax: 2 * time.Minute,
	}
}

const (
	// maxLoad is the most bytes of a load.
	maxLoad = 1 << 10
	// watched is how many members each one watches.
	watched = 7
	// proposeTimeout bounds the wait for the log's answer.
	proposeTimeout = 10 * time.Second
)

// Watcher watches the members of one data centre. It is safe for use by
// several goroutines.
type Watcher struct {
	self       recorder.Member
	dataCentre string
	terms      Terms

	caller     Caller
	membership func() (recorder.Membership, bool)
	propose    func(context.Context, recorder.Membership) error
	contact    func() time.Time
	offset     func() namer.Offset
	clock      timekeeper.Clock
	random     *rand.Rand
	logger     log.Interface
	metrics    *metrics
	// outage is used by settle only.
	outage connector.Outage

	mu    sync.Mutex
	table *table
	load  json.RawMessage
	// leaving is set once Leave was called.
	leaving bool
}

// Option changes how a Watcher works.
type Option func(*Watcher)

// WithCaller sets how peers are called. Without it none is.
func WithCaller(caller Caller) Option {
	return func(w *Watcher) {
		w.caller = caller
	}
}

// Memberships sets where the data centre's membership in force is asked for.
func Memberships(membership func() (recorder.Membership, bool)) Option {
	return func(w *Watcher) {
		w.membership = membership
	}
}

// Propose sets how a membership is proposed. It returns nil once the log has
// accepted it.
func Propose(propose func(context.Context, recorder.Membership) error) Option {
	return func(w *Watcher) {
		w.propose = propose
	}
}

// LogContact sets where the time of the last contact with the log is asked for.
func LogContact(contact func() time.Time) Option {
	return func(w *Watcher) {
		w.contact = contact
	}
}

// Applied sets where the offset that this process has applied is asked for. It
// goes with each heartbeat. The function must not call the watcher.
func Applied(offset func() namer.Offset) Option {
	return func(w *Watcher) {
		w.offset = offset
	}
}

// WithTerms sets the times. The default is DefaultTerms.
func WithTerms(terms Terms) Option {
	return func(w *Watcher) {
		w.terms = terms
	}
}

// Clock sets the clock. The default is the host's.
func Clock(clock timekeeper.Clock) Option {
	return func(w *Watcher) {
		w.clock = clock
	}
}

// Seed sets the seed of the random pauses. The default is a random one.
func Seed(seed uint64) Option {
	return func(w *Watcher) {
		w.random = rand.New(rand.NewPCG(seed, seed))
	}
}

// Logger sets where the watcher logs. By default it does not.
func Logger(logger log.Interface) Option {
	return func(w *Watcher) {
		w.logger = logger
	}
}

// Metrics sets where the watcher registers its metrics. By default it does not.
func Metrics(registerer prometheus.Registerer) Option {
	return func(w *Watcher) {
		w.metrics.register(registerer)
	}
}

// New returns a watcher for the process that is self.
func New(self recorder.Member, dataCentre string, opts ...Option) *Watcher {
	w := &Watcher{
		self:       self,
		dataCentre: dataCentre,
		terms:      DefaultTerms(),
		membership: func() (recorder.Membership, bool) { return recorder.Membership{}, false },
		offset:     func() namer.Offset { return 0 },
		clock:      timekeeper.System(),
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		logger: &log.Logger{
			Handler: discard.Default,
		},
		metrics: newMetrics(),
	}
	for _, opt := range opts {
		opt(w)
	}
	if w.contact == nil {
		w.contact = w.clock.Now
	}
	w.table = newTable(self, dataCentre, w.terms)
	return w
}

// Run sends heartbeats and proposes memberships until the context has ended,
// and returns the context's error. A proposal that waits for the log does not
// hold up the heartbeats.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return w.repeat(ctx, w.round)
	})
	group.Go(func() error {
		return w.repeat(ctx, w.settle)
	})
	return group.Wait()
}

// repeat calls f once per interval until the context has ended.
func (w *Watcher) repeat(ctx context.Context, f func(context.Context)) error {
	for {
		f(ctx)
		if err := timekeeper.Sleep(ctx, w.clock, w.pause()); err != nil {
			return err
		}
	}
}

// pause returns the time to the next heartbeat.
func (w *Watcher) pause() time.Duration {
	const spread = 5
	w.mu.Lock()
	defer w.mu.Unlock()
	jitter := w.random.Int64N(int64(w.terms.Interval)/spread + 1)
	return w.terms.Interval - w.terms.Interval/(2*spread) + time.Duration(jitter)
}

// round sends one round of heartbeats.
func (w *Watcher) round(ctx context.Context) {
	w.follow()
	w.mu.Lock()
	if w.table.begin(w.clock.Now()) {
		w.metrics.paused.Inc()
		w.logger.Warn("watcher: this process was paused")
	}
	targets := w.table.targets
	w.mu.Unlock()
	w.beat(ctx, targets)
}

// follow takes over the membership in force.
func (w *Watcher) follow() {
	membership, known := w.membership()
	if !known {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.follow(w.clock.Now(), membership)
}

// settle proposes a membership if one is called for.
func (w *Watcher) settle(ctx context.Context) {
	w.follow()
	now := w.clock.Now()
	w.mu.Lock()
	w.metrics.observe(w.table, now)
	doubted := w.table.doubted(now, w.terms.Suspicion)
	w.mu.Unlock()
	asked := w.askWitnesses(ctx, doubted)
	if w.clock.Now().Sub(w.contact()) > w.terms.Frozen {
		w.metrics.frozen.Inc()
		if w.outage.Fail(w.clock.Now()) {
			w.logger.Warn("watcher: membership is frozen while the log is out of reach")
		}
		return
	}
	if length, ended := w.outage.Work(w.clock.Now()); ended {
		w.logger.Infof("watcher: membership is no longer frozen after %v", length)
	}
	w.mu.Lock()
	proposal, ok := w.table.proposal(w.clock.Now(), w.leaving, asked)
	w.mu.Unlock()
	if ok && w.propose != nil {
		w.submit(ctx, proposal)
	}
}

// submit proposes the membership and waits for the log's answer.
func (w *Watcher) submit(ctx context.Context, proposal recorder.Membership) {
	w.metrics.proposed.Inc()
	w.logger.Infof("watcher: propose epoch %d: %s", proposal.Epoch, proposal.Cause)
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := w.propose(ctx, proposal); err != nil {
		w.metrics.lost.Inc()
		w.logger.WithError(err).Infof("watcher: epoch %d not accepted", proposal.Epoch)
	}
}

// beat sends a heartbeat to each target at once.
func (w *Watcher) beat(ctx context.Context, targets []recorder.Member) {
	if w.caller == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.terms.Interval/2)
	defer cancel()
	var group errgroup.Group
	for _, target := range targets {
		group.Go(func() error {
			w.beatOne(ctx, target)
			return nil
		})
	}
	// The group's functions return no errors.
	_ = group.Wait()
}

func (w *Watcher) beatOne(ctx context.Context, target recorder.Member) {
	w.mu.Lock()
	args := w.heartbeat(target.Name)
	w.mu.Unlock()
	var reply Heartbeat
	err := w.caller.Call(ctx, target.Peers, "Member.Heartbeat", args, &reply)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || reply.From.Name != target.Name {
		w.table.missed(target.Name)
		w.metrics.missed.Inc()
		return
	}
	w.table.heard(w.clock.Now(), reply)
}

// askWitnesses asks other members whether they hear those that are in doubt.
func (w *Watcher) askWitnesses(ctx context.Context, doubted []string) inquiry {
	asked := inquiry{
		names: doubted,
	}
	if w.caller == nil || len(doubted) == 0 {
		return asked
	}
	w.mu.Lock()
	witnesses := w.table.witnesses(w.clock.Now())
	targets := w.table.targets
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, w.terms.Interval/2)
	defer cancel()
	var answered atomic.Int32
	var group errgroup.Group
	for _, witness := range witnesses {
		group.Go(func() error {
			if w.askOne(ctx, witness, doubted) && contains(targets, witness.Name) {
				answered.Add(1)
			}
			return nil
		})
	}
	// The group's functions return no errors.
	_ = group.Wait()
	asked.answered = int(answered.Load())
	return asked
}

// askOne reports whether the witness answered.
func (w *Watcher) askOne(ctx context.Context, witness recorder.Member, doubted []string) bool {
	var reply Testimony
	args := Doubt{
		DataCentre: w.dataCentre,
		Members:    doubted,
	}
	if w.caller.Call(ctx, witness.Peers, "Member.Testify", args, &reply) != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range reply.Heard {
		w.metrics.spared.Inc()
		w.table.vouch(w.clock.Now(), name)
	}
	return true
}

// heartbeat returns what the named peer is told. The caller holds the lock.
func (w *Watcher) heartbeat(peer string) Heartbeat {
	now := w.clock.Now()
	return Heartbeat{
		From:       w.self,
		DataCentre: w.dataCentre,
		HearsYou:   w.table.hears(now, peer),
		Offset:     w.offset(),
		Joining:    !w.leaving && w.table.wantsIn(now),
		Leaving:    w.leaving,
		Load:       w.load,
	}
}

// Leave proposes memberships without this process until one is in force. It
// fails with ErrLeave once the context has ended. Run must still be running.
func (w *Watcher) Leave(ctx context.Context) error {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	for {
		membership, known := w.membership()
		if !known || !contains(membership.Members, w.self.Name) {
			return nil
		}
		if err := timekeeper.Sleep(ctx, w.clock, w.terms.Interval); err != nil {
			return errors.WithStack(fmt.Errorf("%w: leave: %w", ErrLeave, err))
		}
	}
}

// SetLoad sets a small summary that goes with each heartbeat, encoded as JSON.
// It fails with ErrLoad if that has more than a kibibyte.
func (w *Watcher) SetLoad(load any) error {
	data, err := json.Marshal(load)
	if err != nil {
		return errors.WithStack(fmt.Errorf("%w: encode the load: %w", ErrLoad, err))
	}
	if len(data) > maxLoad {
		return errors.Wrapf(ErrLoad, "%d bytes", len(data))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.load = data
	return nil
}

// Load returns the last summary of the member.
func (w *Watcher) Load(member string) (json.RawMessage, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.table.peers[member]
	if !ok || len(p.load) == 0 {
		return nil, false
	}
	return p.load, true
}

// Offset returns the offset that the member had applied when it was last heard.
func (w *Watcher) Offset(member string) (namer.Offset, bool) {
	if member == w.self.Name {
		return w.offset(), true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.table.peers[member]
	if !ok || p.answered.IsZero() {
		return 0, false
	}
	return p.offset, true
}

// Alive reports whether the member was heard of lately. A process always finds
// itself alive.
func (w *Watcher) Alive(member string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.alive(w.clock.Now(), member)
}
