// Package router takes the requests of callers to the minions of a service,
// and their answers back.
//
// Each minion has one owner among the entries of its data centre, by
// rendezvous hashing over the members of the epoch. Only the owner sends to
// it, so that its slots are counted in one place. A request goes to an owner
// with a free slot, over net/rpc if that is another entry, waits there in a
// queue ordered by deadline and shared by the teams, and is sent once. The
// entry that the caller asked decides about further attempts, out of one
// budget.
//
// An answer is one of four: done, refused (certainly not run), failed, and
// unknown, each with its own typed error. The package does not find out who
// the members are, does not read the host list, and keeps no answers.
package router

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// tickInterval is how often what depends on time alone is looked at.
	tickInterval = 20 * time.Millisecond
	// leaveReturn is what a caller is told who asks an entry that stops;
	// another entry takes the request at once.
	leaveReturn = 0
)

// Router is the path of requests through one entry. It is safe for use by
// several goroutines. Run must be under way for requests to be served.
type Router struct {
	self     string
	settings *settings
	carrier  carrier
	budget   *budget
	metrics  *metrics
	log      log.Interface
	// base ends when the router has stopped; work holds its goroutines.
	base context.Context
	stop context.CancelFunc
	work *errgroup.Group
	// hops counts the hops for their identities.
	hops atomic.Uint64
	// remote holds the cancel functions of the hops that peers forwarded.
	remote sync.Map

	// view says who owns what. It is replaced under mu.
	view atomic.Pointer[view]

	mu         sync.Mutex
	membership recorder.Membership
	hosts      []connector.Host
	weights    map[string]float64
	pools      map[string]*pool
	peers      map[string]*peer
	drained    map[string]bool
	// inFlight counts the requests that are served; idle is closed when there
	// are none and the router is leaving.
	inFlight  int
	isLeaving bool
	idle      chan struct{}
}

// New returns a router for the entry process with the given name. It serves
// nothing until it has a membership, hosts and services.
func New(self string, opts ...Option) *Router {
	s := newSettings(opts)
	r := &Router{
		self:     self,
		settings: s,
		carrier:  newHTTPCarrier(s),
		budget:   newBudget(s.retries),
		metrics:  newMetrics(s.registry),
		log:      s.logger,
		work:     new(errgroup.Group),
		weights:  make(map[string]float64),
		pools:    make(map[string]*pool),
		peers:    make(map[string]*peer),
		drained:  make(map[string]bool),
		idle:     make(chan struct{}),
	}
	r.base, r.stop = context.WithCancel(context.Background())
	r.view.Store(&view{})
	if s.registry != nil {
		s.registry.MustRegister(newCollector(r))
	}
	return r
}

// SetMembership sets the epoch and the members, which own the minions.
func (r *Router) SetMembership(m recorder.Membership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Epoch <= r.membership.Epoch {
		return
	}
	r.membership = m
	r.refresh()
	r.refreshPeers()
	r.log.Infof("router: epoch %d with %d members", m.Epoch, len(m.Members))
}

// SetHosts sets the host list. Hosts that are no minions, or in another data
// centre, are passed over.
func (r *Router) SetHosts(hosts []connector.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = hosts
	r.refresh()
}

// SetService adds a service or changes its terms.
func (r *Router) SetService(name string, terms ServiceTerms) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[name]; p != nil {
		p.setTerms(terms)
		return
	}
	p := newPool(r.settings, name, terms)
	p.setWeights(r.weights)
	r.pools[name] = p
	r.refresh()
}

// SetTeams sets the teams' weights. Requests of other teams are counted
// together, with weight 1.
func (r *Router) SetTeams(weights map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weights = weights
	for _, p := range r.pools {
		p.setWeights(weights)
	}
}

// Drain sets or clears an operator's drain of an endpoint. While it is set,
// the endpoint gets nothing new.
func (r *Router) Drain(endpoint string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.drained[endpoint] = true
	} else {
		delete(r.drained, endpoint)
	}
	r.refresh()
}

// refresh reckons anew who owns what. The caller holds mu.
func (r *Router) refresh() {
	v := newView(r.self, r.settings.dataCentre, r.membership, r.hosts)
	r.view.Store(v)
	for name, p := range r.pools {
		for _, address := range p.setHosts(v.own[name], v.epoch, r.drained) {
			r.carrier.forget(address)
		}
	}
}

// refreshPeers keeps a peer for each other member. The caller holds mu.
func (r *Router) refreshPeers() {
	peers := r.view.Load().peers
	for name, p := range r.peers {
		if peers[name] == "" {
			p.suspect()
			delete(r.peers, name)
		}
	}
	for name, address := range peers {
		if r.peers[name] == nil {
			r.peers[name] = newPeer(address, r.settings.clock.Now())
		}
	}
}

// Run does what depends on time, until the context has ended: it probes
// minions, asks peers for their loads, and frees slots whose time is over. It
// then gives up what is still in flight. To finish that first, call Leave and
// end the context after it.
func (r *Router) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return timekeeper.Every(ctx, r.settings.clock, tickInterval, func(context.Context) {
			r.tick()
		})
	})
	group.Go(func() error {
		return timekeeper.Every(ctx, r.settings.clock, stateInterval, func(context.Context) {
			r.askPeers()
		})
	})
	// Both end only with the context.
	_ = group.Wait()
	r.stop()
	err := r.Leave(context.Background())
	_ = r.work.Wait()
	r.carrier.close()
	return err
}

func (r *Router) tick() {
	for _, p := range r.allPools() {
		p.tick()
		for _, probe := range p.probes() {
			r.work.Go(func() error {
				r.probe(p, probe)
				return nil
			})
		}
	}
}

// probe tells a minion the epoch, and learns whether it answers.
func (r *Router) probe(p *pool, pr probe) {
	ctx, stop := r.bound(r.base, dialTimeout, nil)
	defer stop()
	pr.attempt.id = r.nextID()
	p.probed(pr, r.carrier.probe(ctx, pr.attempt))
}

// Leave refuses new requests, and waits until those in flight have ended or
// the context has. Callers are told that another entry takes them at once.
func (r *Router) Leave(ctx context.Context) error {
	r.mu.Lock()
	if !r.isLeaving {
		r.isLeaving = true
		r.log.Infof("router: leaving with %d requests in flight", r.inFlight)
		if r.inFlight == 0 {
			close(r.idle)
		}
	}
	r.mu.Unlock()
	select {
	case <-r.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Router) leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLeaving
}

// begin counts a request in, unless the router is leaving.
func (r *Router) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isLeaving {
		return false
	}
	r.inFlight++
	return true
}

func (r *Router) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if r.inFlight == 0 && r.isLeaving {
		close(r.idle)
	}
}

func (r *Router) pool(service string) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pools[service]
}

func (r *Router) allPools() map[string]*pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	pools := make(map[string]*pool, len(r.pools))
	for name, p := range r.pools {
		pools[name] = p
	}
	return pools
}

func (r *Router) peer(name string) *peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers[name]
}

// nextID returns an identity for a hop or an attempt: the process's name is
// unique for each of its lives.
func (r *Router) nextID() string {
	return r.self + "-" + strconv.FormatUint(r.hops.Add(1), 36)
}

// bound returns a context that ends after limit on the router's clock, or when
// cut is closed.
func (r *Router) bound(ctx context.Context, limit time.Duration, cut <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := r.settings.clock.NewTimer(limit)
	r.work.Go(func() error {
		defer timer.Stop()
		select {
		case <-timer.C():
		case <-cut:
		case <-ctx.Done():
		}
		cancel()
		return nil
	})
	return ctx, cancel
}
