// Package watcher implements failure detection among the entry processes of one
// data centre. They exchange heartbeats, and each one proposes a new membership
// when a member has failed or a process asks to join or to leave.
//
// The log decides which proposal is accepted. While the log is unreachable the
// membership is frozen. The package knows nothing of tasks, workers and leases.
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
	// ErrLeave is returned by Leave if this process was still a member when the
	// context ended. The other members will remove this process once its
	// heartbeats stop.
	ErrLeave = errors.New("watcher: still a member")
	// ErrDataCentre is returned to a peer of another data centre.
	ErrDataCentre = errors.New("watcher: peer of another data centre")
	// ErrLoad is returned for a load that is too long or cannot be encoded.
	ErrLoad = errors.New("watcher: bad load")
)

// Caller makes RPC calls to peers. messenger.Pool implements it.
type Caller interface {
	// Call calls the method of the peer at the address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Timing holds the intervals and timeouts of a Watcher.
type Timing struct {
	// Interval is the mean time between two heartbeats. The actual time is
	// drawn from a range around it whose width is a fifth of Interval.
	Interval time.Duration
	// Suspicion is how long a member may be silent before it is suspected to
	// have failed.
	Suspicion time.Duration
	// MinorityFactor multiplies Suspicion on a watcher that does not reach most
	// of the members that it watches, or that waits to join and hears no member.
	MinorityFactor int
	// JoinDelay is how long a process must have asked to join before it is
	// proposed, so that processes that start together join in one epoch.
	JoinDelay time.Duration
	// FreezeAfter is the time since the last contact with the log after which
	// nothing is proposed.
	FreezeAfter time.Duration
	// RejoinBackoff is how long a process that was removed waits before it asks
	// to join again. The wait doubles with each removal up to MaxRejoinBackoff,
	// and is reset once the process has stayed a member for MaxRejoinBackoff.
	RejoinBackoff    time.Duration
	MaxRejoinBackoff time.Duration
}

// DefaultTiming returns the default intervals and timeouts.
func DefaultTiming() Timing {
	return Timing{
		Interval:         500 * time.Millisecond,
		Suspicion:        3 * time.Second,
		MinorityFactor:   3,
		JoinDelay:        300 * time.Millisecond,
		FreezeAfter:      30 * time.Second,
		RejoinBackoff:    time.Second,
		MaxRejoinBackoff: 2 * time.Minute,
	}
}

const (
	// maxLoadBytes is the greatest length of an encoded load.
	maxLoadBytes = 1 << 10
	// maxTargets is the number of members to which each member sends
	// heartbeats.
	maxTargets = 7
	// proposeTimeout bounds the wait for the log to accept a proposal.
	proposeTimeout = 10 * time.Second
)

// Watcher detects failed members of one data centre. It is safe for concurrent
// use.
type Watcher struct {
	self       recorder.Member
	dataCentre string
	timing     Timing

	caller         Caller
	membership     func() (recorder.Membership, bool)
	propose        func(context.Context, recorder.Membership) error
	lastLogContact func() time.Time
	appliedOffset  func() namer.Offset
	clock          timekeeper.Clock
	random         *rand.Rand
	logger         log.Interface
	metrics        *metrics
	// outage tracks whether the log is unreachable, so that the start and the
	// end of an outage are logged once. Only reviewMembership uses it, without
	// holding mu.
	outage connector.Outage

	mu    sync.Mutex
	table *table
	load  json.RawMessage
	// leaving is set once Leave has been called.
	leaving bool
}

// Option configures a Watcher.
type Option func(*Watcher)

// WithCaller sets how peers are called. Without it no peer is called.
func WithCaller(caller Caller) Option {
	return func(w *Watcher) {
		w.caller = caller
	}
}

// Memberships sets the function that returns the data centre's membership in
// force, and false if there is none.
func Memberships(membership func() (recorder.Membership, bool)) Option {
	return func(w *Watcher) {
		w.membership = membership
	}
}

// Propose sets how a membership is proposed. The function returns nil once the
// log has accepted it.
func Propose(propose func(context.Context, recorder.Membership) error) Option {
	return func(w *Watcher) {
		w.propose = propose
	}
}

// LogContact sets the function that returns the time of the last contact with
// the log.
func LogContact(lastLogContact func() time.Time) Option {
	return func(w *Watcher) {
		w.lastLogContact = lastLogContact
	}
}

// AppliedOffset sets the function that returns the offset which this process has
// applied. The offset is sent with each heartbeat. The function must not call
// the watcher.
func AppliedOffset(appliedOffset func() namer.Offset) Option {
	return func(w *Watcher) {
		w.appliedOffset = appliedOffset
	}
}

// WithTiming sets the intervals and timeouts. The default is DefaultTiming.
func WithTiming(timing Timing) Option {
	return func(w *Watcher) {
		w.timing = timing
	}
}

// Clock sets the clock. The default is the system clock.
func Clock(clock timekeeper.Clock) Option {
	return func(w *Watcher) {
		w.clock = clock
	}
}

// Seed sets the seed of the random heartbeat intervals. The default is random.
func Seed(seed uint64) Option {
	return func(w *Watcher) {
		w.random = rand.New(rand.NewPCG(seed, seed))
	}
}

// Logger sets the logger. By default nothing is logged.
func Logger(logger log.Interface) Option {
	return func(w *Watcher) {
		w.logger = logger
	}
}

// Metrics registers the watcher's metrics. By default they are not registered.
func Metrics(registerer prometheus.Registerer) Option {
	return func(w *Watcher) {
		w.metrics.register(registerer)
	}
}

// New returns a watcher for the process that is described by self.
func New(self recorder.Member, dataCentre string, opts ...Option) *Watcher {
	w := &Watcher{
		self:          self,
		dataCentre:    dataCentre,
		timing:        DefaultTiming(),
		membership:    func() (recorder.Membership, bool) { return recorder.Membership{}, false },
		appliedOffset: func() namer.Offset { return 0 },
		clock:         timekeeper.System(),
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		logger: &log.Logger{
			Handler: discard.Default,
		},
		metrics: newMetrics(),
	}
	for _, opt := range opts {
		opt(w)
	}
	if w.lastLogContact == nil {
		w.lastLogContact = w.clock.Now
	}
	w.table = newTable(self, dataCentre, w.timing)
	return w
}

// Run sends heartbeats and proposes memberships until the context ends, and
// returns the context's error. A proposal that waits for the log does not delay
// the heartbeats.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return w.repeat(ctx, w.heartbeatRound)
	})
	group.Go(func() error {
		return w.repeat(ctx, w.reviewMembership)
	})
	return group.Wait()
}

// repeat calls f once per interval until the context ends.
func (w *Watcher) repeat(ctx context.Context, f func(context.Context)) error {
	for {
		f(ctx)
		if err := timekeeper.Sleep(ctx, w.clock, w.nextInterval()); err != nil {
			return err
		}
	}
}

// nextInterval returns the randomised time to the next heartbeat.
func (w *Watcher) nextInterval() time.Duration {
	const spread = 5
	w.mu.Lock()
	defer w.mu.Unlock()
	jitter := w.random.Int64N(int64(w.timing.Interval)/spread + 1)
	return w.timing.Interval - w.timing.Interval/(2*spread) + time.Duration(jitter)
}

// heartbeatRound sends one round of heartbeats.
func (w *Watcher) heartbeatRound(ctx context.Context) {
	w.applyMembership()
	w.mu.Lock()
	if w.table.startRound(w.clock.Now()) {
		w.metrics.pauses.Inc()
		w.logger.Warn("watcher: this process was paused for longer than half the suspicion timeout")
	}
	targets := w.table.targets
	w.mu.Unlock()
	w.sendHeartbeats(ctx, targets)
}

// applyMembership applies the membership in force to the table.
func (w *Watcher) applyMembership() {
	membership, known := w.membership()
	if !known {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.applyMembership(w.clock.Now(), membership)
}

// reviewMembership proposes a membership if the one in force has to change.
func (w *Watcher) reviewMembership(ctx context.Context) {
	w.applyMembership()
	now := w.clock.Now()
	w.mu.Lock()
	w.metrics.setGauges(w.table, now)
	suspects := w.table.suspects(now, w.timing.Suspicion)
	w.mu.Unlock()
	poll := w.askWitnesses(ctx, suspects)
	if w.clock.Now().Sub(w.lastLogContact()) > w.timing.FreezeAfter {
		w.metrics.frozenRounds.Inc()
		if w.outage.RecordFailure(w.clock.Now()) {
			w.logger.Warn("watcher: membership is frozen while the log is unreachable")
		}
		return
	}
	if length, ended := w.outage.RecordSuccess(w.clock.Now()); ended {
		w.logger.Infof("watcher: membership is no longer frozen after %v", length)
	}
	w.mu.Lock()
	nextMembership, ok := w.table.nextMembership(w.clock.Now(), w.leaving, poll)
	w.mu.Unlock()
	if ok && w.propose != nil {
		w.submitProposal(ctx, nextMembership)
	}
}

// submitProposal proposes the membership and waits for the log's answer.
func (w *Watcher) submitProposal(ctx context.Context, proposal recorder.Membership) {
	w.metrics.proposals.Inc()
	w.logger.Infof("watcher: propose epoch %d: %s", proposal.Epoch, proposal.Cause)
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := w.propose(ctx, proposal); err != nil {
		w.metrics.lostProposals.Inc()
		w.logger.WithError(err).Infof("watcher: epoch %d not accepted", proposal.Epoch)
	}
}

// sendHeartbeats sends a heartbeat to all targets in parallel.
func (w *Watcher) sendHeartbeats(ctx context.Context, targets []recorder.Member) {
	if w.caller == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.timing.Interval/2)
	defer cancel()
	var group errgroup.Group
	for _, target := range targets {
		group.Go(func() error {
			w.sendHeartbeat(ctx, target)
			return nil
		})
	}
	// The group's functions return no errors.
	_ = group.Wait()
}

func (w *Watcher) sendHeartbeat(ctx context.Context, target recorder.Member) {
	w.mu.Lock()
	args := w.heartbeatFor(target.Name)
	w.mu.Unlock()
	var reply Heartbeat
	err := w.caller.Call(ctx, target.Peers, "Member.Heartbeat", args, &reply)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || reply.From.Name != target.Name {
		w.table.recordFailure(target.Name)
		w.metrics.missedHeartbeats.Inc()
		return
	}
	w.table.recordHeartbeat(w.clock.Now(), reply)
}

// askWitnesses asks other members whether they still hear the suspects.
func (w *Watcher) askWitnesses(ctx context.Context, suspects []string) witnessPoll {
	poll := witnessPoll{
		askedAbout: suspects,
	}
	if w.caller == nil || len(suspects) == 0 {
		return poll
	}
	w.mu.Lock()
	witnesses := w.table.witnesses(w.clock.Now())
	targets := w.table.targets
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, w.timing.Interval/2)
	defer cancel()
	var answeringTargets atomic.Int32
	var group errgroup.Group
	for _, witness := range witnesses {
		group.Go(func() error {
			if w.askWitness(ctx, witness, suspects) && containsMember(targets, witness.Name) {
				answeringTargets.Add(1)
			}
			return nil
		})
	}
	// The group's functions return no errors.
	_ = group.Wait()
	poll.answeringTargets = int(answeringTargets.Load())
	return poll
}

// askWitness asks one witness, and reports whether it answered.
func (w *Watcher) askWitness(ctx context.Context, witness recorder.Member, suspects []string) bool {
	var reply Testimony
	args := Doubt{
		DataCentre: w.dataCentre,
		Members:    suspects,
	}
	if w.caller.Call(ctx, witness.Peers, "Member.Testify", args, &reply) != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range reply.Heard {
		w.metrics.falseSuspicions.Inc()
		w.table.recordVouch(w.clock.Now(), name)
	}
	return true
}

// heartbeatFor returns the heartbeat to send to the named peer. The caller
// holds the lock.
func (w *Watcher) heartbeatFor(peer string) Heartbeat {
	now := w.clock.Now()
	return Heartbeat{
		From:       w.self,
		DataCentre: w.dataCentre,
		HearsYou:   w.table.hearsDirectly(now, peer),
		Offset:     w.appliedOffset(),
		Joining:    !w.leaving && w.table.wantsToJoin(now),
		Leaving:    w.leaving,
		Load:       w.load,
	}
}

// Leave makes this process ask to leave, and waits until it is not a member. It
// fails with ErrLeave if the context ends first. Run must still be running,
// since it sends the requests and the proposals.
func (w *Watcher) Leave(ctx context.Context) error {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	for {
		membership, known := w.membership()
		if !known || !containsMember(membership.Members, w.self.Name) {
			return nil
		}
		if err := timekeeper.Sleep(ctx, w.clock, w.timing.Interval); err != nil {
			return errors.WithStack(fmt.Errorf("%w: leave: %w", ErrLeave, err))
		}
	}
}

// SetLoad sets a small summary of this process, which is encoded as JSON and
// sent with each heartbeat. It fails with ErrLoad if the load cannot be encoded
// or its encoding is longer than a kibibyte.
func (w *Watcher) SetLoad(load any) error {
	data, err := json.Marshal(load)
	if err != nil {
		return errors.WithStack(fmt.Errorf("%w: encode the load: %w", ErrLoad, err))
	}
	if len(data) > maxLoadBytes {
		return errors.Wrapf(ErrLoad, "%d bytes", len(data))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.load = data
	return nil
}

// Load returns the last load that the member sent, and false if there is none.
func (w *Watcher) Load(member string) (json.RawMessage, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.table.peers[member]
	if !ok || len(p.load) == 0 {
		return nil, false
	}
	return p.load, true
}

// Offset returns the offset that the member had applied according to its last
// heartbeat, and false if it has sent none.
func (w *Watcher) Offset(member string) (namer.Offset, bool) {
	if member == w.self.Name {
		return w.appliedOffset(), true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.table.peers[member]
	if !ok || p.lastHeartbeat.IsZero() {
		return 0, false
	}
	return p.appliedOffset, true
}

// Alive reports whether the process is presumed alive: it is this process, it
// was heard within Suspicion, or it is a member that this process does not
// watch.
func (w *Watcher) Alive(member string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.presumedAlive(w.clock.Now(), member)
}
