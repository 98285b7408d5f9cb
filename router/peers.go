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

// The methods that peers call.
const (
	methodForward = "Routing.Forward"
	methodCancel  = "Routing.Cancel"
	methodState   = "Routing.State"
)

const (
	// stateInterval is how often a peer is asked for its load.
	stateInterval = 250 * time.Millisecond
	// silence is how long after the last answer a peer is taken as silent.
	silence = time.Second
	// hopCost is what a hop to a peer is reckoned to take.
	hopCost = time.Millisecond
)

// Load is what an owner says of its part of a service.
type Load struct {
	// Free is the number of slots that may be reserved now.
	Free int
	// Slots is the number of slots of the minions that may be used.
	Slots int
	// Queued is the number of requests that wait.
	Queued int
	// Wait is the expected wait of a new request.
	Wait time.Duration
}

// ForwardArgs carry a request to the owner of minions.
type ForwardArgs struct {
	// ID is unique to this hop.
	ID string
	// Identity, Service, Method, Path, Header, Body, Team and Idempotent are
	// the request's.
	Identity   string
	Service    string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Team       string
	Idempotent bool
	// Left is the time to the deadline.
	Left time.Duration
	// Avoid names minions that the request was tried at.
	Avoid []string
}

// ForwardReply says what became of the request at the owner.
type ForwardReply struct {
	// Outcome counts from 0: refused, failed, unknown, done.
	Outcome int
	// Reason and After are set for refused and unknown.
	Reason Reason
	After  time.Duration
	// Cause is for logs.
	Cause string
	// Status, Header and Body are the answer, for failed and done.
	Status int
	Header http.Header
	Body   []byte
	// Minion is where an attempt was made, or empty.
	Minion string
	// Load is the owner's, after the request.
	Load Load
}

// CancelArgs name a hop whose caller has gone away.
type CancelArgs struct {
	// ID is the hop's.
	ID string
}

// StateReply says how loaded an entry is.
type StateReply struct {
	// Loads are by service.
	Loads map[string]Load
	// Leaving says that the entry takes no more requests.
	Leaving bool
}

// Empty is a message without content.
type Empty struct{}

// peer is another entry as this one sees it.
type peer struct {
	mu      sync.Mutex
	address string
	// loads are what the peer said last; sent counts what was sent to it since.
	loads map[string]Load
	sent  map[string]int
	// heard is when the peer answered last.
	heard   time.Time
	leaving bool
	// silent is closed while the peer does not answer.
	silent chan struct{}
	asking bool
}

func newPeer(address string, now time.Time) *peer {
	return &peer{
		address: address,
		loads:   make(map[string]Load),
		sent:    make(map[string]int),
		heard:   now,
		silent:  make(chan struct{}),
	}
}

// note books a load that the peer reported.
func (p *peer) note(service string, l Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[service] = l
	p.sent[service] = 0
	p.hear(now)
}

func (p *peer) noteState(s StateReply, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads = s.Loads
	if p.loads == nil {
		p.loads = make(map[string]Load)
	}
	clear(p.sent)
	p.leaving = s.Leaving
	p.hear(now)
}

func (p *peer) hear(now time.Time) {
	p.heard = now
	if p.isSilent() {
		p.silent = make(chan struct{})
	}
}

// suspect takes the peer as silent from now on, until it answers.
func (p *peer) suspect() {
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

// expect returns the load that a request sent now would meet, and whether the
// peer may be used.
func (p *peer) expect(service string, slots int) (Load, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isSilent() || p.leaving {
		return Load{}, false
	}
	l, ok := p.loads[service]
	if !ok {
		l.Free = slots / 2
	}
	l.Free -= p.sent[service]
	l.Wait += hopCost
	return l, true
}

func (p *peer) book(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[service]++
}

// target is an owner that a request may go to.
type target struct {
	// peer is nil for this process itself.
	peer  *peer
	owner string
	load  Load
}

// chooseOwner returns where a request goes: here if a slot is free, else to
// the better of two peers with free slots, else to where the wait is shortest.
// Owners to avoid are passed over, and if there are others, those that have
// only minions to avoid.
func (r *Router) chooseOwner(service string, owners map[string]bool, minions []string) (target, bool) {
	if len(minions) > 0 {
		if to, ok := r.chooseAmong(service, func(s share) bool { return !owners[s.owner] && !s.without(minions) }); ok {
			return to, true
		}
	}
	return r.chooseAmong(service, func(s share) bool { return !owners[s.owner] })
}

func (r *Router) chooseAmong(service string, accepts func(share) bool) (target, bool) {
	var here, waiting []target
	var free []target
	for _, s := range r.view.Load().shares[service] {
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
		return better(free, func(a, b target) bool { return a.load.Free > b.load.Free }), true
	}
	waiting = append(waiting, here...)
	if len(waiting) == 0 {
		return target{}, false
	}
	best := better(waiting, func(a, b target) bool { return a.load.Wait < b.load.Wait })
	if len(here) > 0 && here[0].load.Wait <= best.load.Wait {
		return here[0], true
	}
	return best, true
}

// target returns the owner of a share as it is expected to be.
func (r *Router) target(service string, s share) (target, bool) {
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
	load, ok := p.expect(service, s.slots)
	return target{
		peer:  p,
		owner: s.owner,
		load:  load,
	}, ok
}

// better returns the better of two targets chosen at random.
func better(targets []target, less func(a, b target) bool) target {
	a := targets[rand.IntN(len(targets))]
	b := targets[rand.IntN(len(targets))]
	if less(b, a) {
		return b
	}
	return a
}

// forward has a peer serve the request.
func (r *Router) forward(ctx context.Context, to target, args ForwardArgs, limit time.Duration) result {
	to.peer.book(args.Service)
	ctx, stop := r.bound(ctx, limit, to.peer.silence(args.Idempotent))
	defer stop()
	var reply ForwardReply
	err := r.settings.caller.Call(ctx, to.peer.address, methodForward, args, &reply)
	switch {
	case err == nil:
		to.peer.note(args.Service, reply.Load, r.settings.clock.Now())
		return reply.result()
	case errors.Is(err, messenger.ErrUnreachable):
		to.peer.suspect()
		return result{
			outcome: refused,
			reason:  ReasonNoOwner,
			after:   idleReturn,
			cause:   err,
		}
	default:
		r.giveUp(to.peer, args.ID)
		return uncertain(ReasonLost, err)
	}
}

// silence returns a channel that is closed when the peer falls silent, or nil
// if that makes no difference to the request.
func (p *peer) silence(idempotent bool) <-chan struct{} {
	if !idempotent {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// giveUp tells a peer that nobody waits for a hop any more.
func (r *Router) giveUp(p *peer, id string) {
	r.work.Go(func() error {
		ctx, stop := r.bound(r.base, silence, nil)
		defer stop()
		// The peer's deadline for the request is the fallback.
		_ = r.settings.caller.Call(ctx, p.address, methodCancel, CancelArgs{
			ID: id,
		}, &Empty{})
		return nil
	})
}

func (reply ForwardReply) result() result {
	r := result{
		outcome: outcome(reply.Outcome),
		answer:  NewAnswer(reply.Status, reply.Header, reply.Body),
		reason:  reply.Reason,
		after:   reply.After,
		minion:  reply.Minion,
	}
	if reply.Cause != "" {
		r.cause = errors.Newf("%s", reply.Cause)
	}
	return r
}

// askPeers asks every peer for its load.
func (r *Router) askPeers() {
	now := r.settings.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.mu.Lock()
		late := now.Sub(p.heard) > silence
		ask := !p.asking
		p.asking = true
		p.mu.Unlock()
		if late {
			p.suspect()
		}
		if ask {
			r.work.Go(func() error {
				r.askPeer(p)
				return nil
			})
		}
	}
}

func (r *Router) askPeer(p *peer) {
	ctx, stop := r.bound(r.base, silence, nil)
	defer stop()
	var reply StateReply
	err := r.settings.caller.Call(ctx, p.address, methodState, Empty{}, &reply)
	if err == nil {
		p.noteState(reply, r.settings.clock.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asking = false
}
