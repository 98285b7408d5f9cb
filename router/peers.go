package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/messenger"
)

// The net/rpc methods that peers serve.
const (
	methodForward = "Routing.Forward"
	methodCancel  = "Routing.Cancel"
	methodState   = "Routing.State"
)

const (
	// pollInterval is how often each peer is asked for its loads.
	pollInterval = 250 * time.Millisecond
	// peerSilenceTimeout is how long after its last answer a peer is marked silent.
	peerSilenceTimeout = time.Second
	// hopCost is the time that forwarding a request to a peer is assumed to take.
	hopCost = time.Millisecond
)

// Load is the load of an owner's part of a service.
type Load struct {
	// Free is the number of slots that may be reserved now.
	Free int
	// Slots is the number of slots that are or will soon be free.
	Slots int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Wait is the expected wait of a new request.
	Wait time.Duration
	// ServiceTime is the average service time, 0 if it is not known.
	ServiceTime time.Duration
}

// ForwardArgs carries a request to an owner of minions.
type ForwardArgs struct {
	// ID is unique to this hop.
	ID string
	// Identity, Service, Method, Path, Header, Body, Team and Idempotent are
	// those of the request.
	Identity   string
	Service    string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Team       string
	Idempotent bool
	// Left is the time left until the deadline.
	Left time.Duration
	// Avoid names the minions at which the request was already attempted.
	Avoid []string
}

// ForwardReply is the result of a request at an owner.
type ForwardReply struct {
	// Outcome is 0 for refused, 1 for failed, 2 for unknown and 3 for done.
	Outcome int
	// Reason is set unless the outcome is done. After, the retry time, is set for
	// refused.
	Reason Reason
	After  time.Duration
	// Cause is the text of the underlying error, for logs.
	Cause string
	// Status, Header and Body are the answer, for failed and done.
	Status int
	Header http.Header
	Body   []byte
	// Minion is the minion at which an attempt was made, or empty.
	Minion string
	// Load is the owner's load after the request.
	Load Load
}

// CancelArgs names a hop whose result is no longer awaited.
type CancelArgs struct {
	// ID is that of the hop.
	ID string
}

// StateReply is the state of an entry.
type StateReply struct {
	// Loads is keyed by service.
	Loads map[string]Load
	// Leaving is set if the entry accepts no more requests.
	Leaving bool
}

// Empty is a message without content.
type Empty struct{}

// peer is the state of another entry as this one sees it.
type peer struct {
	mu      sync.Mutex
	address string
	// loads is what the peer reported last, and sentSince the number of requests
	// sent to it since then. Both are keyed by service.
	loads     map[string]Load
	sentSince map[string]int
	// retries are the retry times given to callers whose requests were refused
	// because of the peer's load, by service.
	retries map[string]retryTimes
	// answeredAt is when the peer last answered. It starts at the peer's creation.
	answeredAt time.Time
	leaving    bool
	// silent is closed while the peer does not answer.
	silent       chan struct{}
	pollInFlight bool
}

func newPeer(address string, now time.Time) *peer {
	return &peer{
		address:    address,
		loads:      make(map[string]Load),
		sentSince:  make(map[string]int),
		retries:    make(map[string]retryTimes),
		answeredAt: now,
		silent:     make(chan struct{}),
	}
}

// recordLoad records the load of a service that the peer reported.
func (p *peer) recordLoad(service string, l Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[service] = l
	p.sentSince[service] = 0
	p.recordAnswer(now)
}

func (p *peer) recordState(s StateReply, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads = s.Loads
	if p.loads == nil {
		p.loads = make(map[string]Load)
	}
	clear(p.sentSince)
	p.leaving = s.Leaving
	p.recordAnswer(now)
}

func (p *peer) recordAnswer(now time.Time) {
	p.answeredAt = now
	if p.isSilent() {
		p.silent = make(chan struct{})
	}
}

// markSilent treats the peer as silent until it answers.
func (p *peer) markSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isSilent() {
		close(p.silent)
	}
}

func (p *peer) isSilent() bool {
	select {
	case <-p.silent:
		return true
	default:
		return false
	}
}

// expectedLoad returns the load that a request sent now would find, and whether
// the peer may be used. If the peer has not reported a load yet, half of its slots
// are assumed to be free.
func (p *peer) expectedLoad(service string, slots int) (Load, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isSilent() || p.leaving {
		return Load{}, false
	}
	l, ok := p.loads[service]
	if !ok {
		l.Free = slots / 2
	}
	l.Free -= p.sentSince[service]
	l.Wait += hopCost
	return l, true
}

// retryAfter returns the retry time for a caller whose request was refused because
// of the peer's load.
func (p *peer) retryAfter(service string, l Load, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait, step := defaultRetryAfter, defaultRetryAfter
	if l.Slots > 0 && l.ServiceTime > 0 {
		wait, step = l.Wait, l.ServiceTime/time.Duration(l.Slots)
	}
	times := p.retries[service]
	after := times.next(now, wait, step)
	p.retries[service] = times
	return after
}

func (p *peer) recordSent(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentSince[service]++
}

// target is an owner that a request may be sent to.
type target struct {
	// peer is nil if the owner is this process.
	peer  *peer
	owner string
	load  Load
}

// chooseOwner chooses the owner to send a request to: this process if it has a free
// slot; else, of two random peers with free slots, the one with more of them; else
// the owner with the shortest expected wait among this process and two random
// owners. It never chooses one of triedOwners. It chooses an owner whose minions are
// all in triedMinions only if there is no other.
func (r *Router) chooseOwner(service string, triedOwners map[string]bool, triedMinions []string) (target, bool) {
	if len(triedMinions) > 0 {
		if to, ok := r.chooseAmong(service, func(s ownerShare) bool { return !triedOwners[s.owner] && !s.hasOnly(triedMinions) }); ok {
			return to, true
		}
	}
	return r.chooseAmong(service, func(s ownerShare) bool { return !triedOwners[s.owner] })
}

func (r *Router) chooseAmong(service string, accepts func(ownerShare) bool) (target, bool) {
	var here, waiting []target
	var free []target
	for _, s := range r.ownership.Load().shares[service] {
		if !accepts(s) {
			continue
		}
		o, ok := r.target(service, s)
		switch {
		case !ok:
		case o.peer == nil:
			here = append(here, o)
		case o.load.Free > 0:
			free = append(free, o)
		default:
			waiting = append(waiting, o)
		}
	}
	if len(here) > 0 && here[0].load.Free > 0 {
		return here[0], true
	}
	if len(free) > 0 {
		return betterOfTwo(free, func(a, b target) bool { return a.load.Free > b.load.Free }), true
	}
	waiting = append(waiting, here...)
	if len(waiting) == 0 {
		return target{}, false
	}
	best := betterOfTwo(waiting, func(a, b target) bool { return a.load.Wait < b.load.Wait })
	if len(here) > 0 && here[0].load.Wait <= best.load.Wait {
		return here[0], true
	}
	return best, true
}

// target returns the owner of a share with its expected load, and whether it may
// be used.
func (r *Router) target(service string, s ownerShare) (target, bool) {
	if s.owner == r.self {
		p := r.pool(service)
		if p == nil {
			return target{}, false
		}
		return target{
			owner: s.owner,
			load:  p.load(),
		}, true
	}
	p := r.peer(s.owner)
	if p == nil || r.settings.caller == nil {
		return target{}, false
	}
	load, ok := p.expectedLoad(service, s.slots)
	return target{
		peer:  p,
		owner: s.owner,
		load:  load,
	}, ok
}

// betterOfTwo returns the better of two targets chosen at random, perhaps the same.
func betterOfTwo(targets []target, less func(a, b target) bool) target {
	a := targets[rand.IntN(len(targets))]
	b := targets[rand.IntN(len(targets))]
	if less(b, a) {
		return b
	}
	return a
}

// forward sends the request to a peer and waits for the result.
func (r *Router) forward(ctx context.Context, to target, args ForwardArgs, limit time.Duration) result {
	to.peer.recordSent(args.Service)
	ctx, stop := r.withLimit(ctx, limit, to.peer.silenceSignal(args.Idempotent))
	defer stop()
	var reply ForwardReply
	err := r.settings.caller.Call(ctx, to.peer.address, methodForward, args, &reply)
	switch {
	case err == nil:
		to.peer.recordLoad(args.Service, reply.Load, r.settings.clock.Now())
		return reply.result()
	case errors.Is(err, messenger.ErrUnreachable):
		to.peer.markSilent()
		return result{
			outcome:    refused,
			reason:     ReasonNoOwner,
			retryAfter: defaultRetryAfter,
			cause:      err,
		}
	default:
		r.cancelHop(to.peer, args.ID)
		return unknownResult(ReasonLost, err)
	}
}

// silenceSignal returns a channel that is closed when the peer becomes silent. For a
// request that is not idempotent it returns nil, because giving up early does not
// help a request that could not be retried.
func (p *peer) silenceSignal(idempotent bool) <-chan struct{} {
	if !idempotent {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// cancelHop tells a peer that the result of a hop is no longer awaited.
func (r *Router) cancelHop(p *peer, id string) {
	r.background.Go(func() error {
		ctx, stop := r.withLimit(r.baseContext, peerSilenceTimeout, nil)
		defer stop()
		// If the call fails, the peer still gives up at the request's deadline.
		_ = r.settings.caller.Call(ctx, p.address, methodCancel, CancelArgs{
			ID: id,
		}, &Empty{})
		return nil
	})
}

func (reply ForwardReply) result() result {
	r := result{
		outcome:    outcome(reply.Outcome),
		answer:     NewAnswer(reply.Status, reply.Header, reply.Body),
		reason:     reply.Reason,
		retryAfter: reply.After,
		minion:     reply.Minion,
	}
	if reply.Cause != "" {
		r.cause = errors.Newf("%s", reply.Cause)
	}
	return r
}

// pollPeers asks every peer for its loads, and marks those that have not answered
// for peerSilenceTimeout as silent.
func (r *Router) pollPeers() {
	now := r.settings.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.mu.Lock()
		overdue := now.Sub(p.answeredAt) > peerSilenceTimeout
		startPoll := !p.pollInFlight
		p.pollInFlight = true
		p.mu.Unlock()
		if overdue {
			p.markSilent()
		}
		if startPoll {
			r.background.Go(func() error {
				r.pollPeer(p)
				return nil
			})
		}
	}
}

func (r *Router) pollPeer(p *peer) {
	ctx, stop := r.withLimit(r.baseContext, peerSilenceTimeout, nil)
	defer stop()
	var reply StateReply
	err := r.settings.caller.Call(ctx, p.address, methodState, Empty{}, &reply)
	if err == nil {
		p.recordState(reply, r.settings.clock.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pollInFlight = false
}
