// Package router routes the requests of callers to the minions of a service
// and returns their answers.
//
// Each minion has one owner among the entries of its data centre, chosen by
// rendezvous hashing over the members of the epoch. Only the owner sends to
// the minion, so the minion's slots are counted in one place.
//
// The entry that received a request tries it at an owner, preferably one with a
// free slot: at itself, or by net/rpc at another entry. Each such try is a hop.
// In a hop the request waits in the owner's queue, which is ordered by deadline
// and shared among the teams by weight, and is then sent to a minion once, which
// is an attempt. After a hop that was not done, the receiving entry decides
// whether to make another one, within a retry budget shared by all its requests.
//
// A request ends in one of four ways: done; refused, which means that it
// certainly did not run; failed; or unknown. All but done have a typed error.
// The package does not discover the members, does not read the host list, and
// does not store answers.
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
	// tickInterval is how often the pools expire reservations and look for due
	// probes.
	tickInterval = 20 * time.Millisecond
	// leavingRetryAfter is the retry time in refusals by an entry that is
	// leaving: another entry can take the request at once.
	leavingRetryAfter = 0
)

// Router routes requests through one entry. It is safe for concurrent use. It
// serves requests only while Run is running.
type Router struct {
	self        string
	settings    *settings
	carrier     carrier
	retryBudget *retryBudget
	metrics     *metrics
	log         log.Interface
	// baseContext is cancelled when Run stops. background tracks the router's
	// goroutines.
	baseContext context.Context
	stop        context.CancelFunc
	background  *errgroup.Group
	// idCounter numbers hops and attempts; see nextID.
	idCounter atomic.Uint64
	// forwardedCancels maps the ID of each hop that a peer forwarded here to its
	// cancel function.
	forwardedCancels sync.Map

	// ownership is the current assignment of minions to members. It is replaced
	// under mu.
	ownership atomic.Pointer[ownership]

	mu         sync.Mutex
	membership recorder.Membership
	hosts      []connector.Host
	weights    map[string]float64
	pools      map[string]*pool
	peers      map[string]*peer
	drained    map[string]bool
	// inFlight counts the requests being served. idle is closed once the router
	// is leaving and inFlight is 0.
	inFlight  int
	isLeaving bool
	idle      chan struct{}
	// nextClaimWarningAt is the earliest time of the next warning of a claim that
	// was not made. unloggedClaims counts those since the last warning.
	nextClaimWarningAt time.Time
	unloggedClaims     int
}

// New returns a router for the entry process with the given name. It refuses
// every request until it has a membership, hosts and services.
func New(self string, opts ...Option) *Router {
	s := newSettings(opts)
	r := &Router{
		self:        self,
		settings:    s,
		carrier:     newHTTPCarrier(s),
		retryBudget: newRetryBudget(s.retryShare),
		metrics:     newMetrics(s.registry),
		log:         s.logger,
		background:  new(errgroup.Group),
		weights:     make(map[string]float64),
		pools:       make(map[string]*pool),
		peers:       make(map[string]*peer),
		drained:     make(map[string]bool),
		idle:        make(chan struct{}),
	}
	r.baseContext, r.stop = context.WithCancel(context.Background())
	r.ownership.Store(&ownership{})
	if s.registry != nil {
		s.registry.MustRegister(newCollector(r))
	}
	return r
}

// SetMembership sets the epoch and its members. It ignores an epoch that is not
// higher than the current one.
func (r *Router) SetMembership(m recorder.Membership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Epoch <= r.membership.Epoch {
		return
	}
	r.membership = m
	r.refreshOwnership()
	r.updatePeers()
	r.log.Infof("router: epoch %d with %d members", m.Epoch, len(m.Members))
}

// SetHosts sets the host list. Hosts that are not minions, or are in another
// data centre, are ignored.
func (r *Router) SetHosts(hosts []connector.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = hosts
	r.refreshOwnership()
}

// SetService adds a service or replaces its configuration.
func (r *Router) SetService(name string, config ServiceConfig) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[name]; p != nil {
		p.setConfig(config)
		return
	}
	p := newPool(r.settings, name, config)
	p.setWeights(r.weights)
	r.pools[name] = p
	r.refreshOwnership()
}

// SetTeams sets the teams' weights. The requests of all teams that are not listed
// are counted as one team with weight 1.
func (r *Router) SetTeams(weights map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weights = weights
	for _, p := range r.pools {
		p.setWeights(weights)
	}
}

// Drain sets or clears an operator's drain of an endpoint. A drained endpoint
// gets no new requests.
func (r *Router) Drain(endpoint string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.drained[endpoint] = true
	} else {
		delete(r.drained, endpoint)
	}
	r.refreshOwnership()
}

// refreshOwnership recomputes which member owns which minions. The caller holds
// mu.
func (r *Router) refreshOwnership() {
	o := newOwnership(r.self, r.settings.dataCentre, r.membership, r.hosts)
	r.ownership.Store(o)
	for name, p := range r.pools {
		for _, address := range p.setHosts(o.ownHosts[name], o.epoch, r.drained) {
			r.carrier.removeMinion(address)
		}
	}
}

// updatePeers adds and removes peers so that there is one for each other member.
// The caller holds mu.
func (r *Router) updatePeers() {
	peers := r.ownership.Load().peerAddresses
	for name, p := range r.peers {
		if peers[name] == "" {
			p.markSilent()
			delete(r.peers, name)
		}
	}
	for name, address := range peers {
		if r.peers[name] == nil {
			r.peers[name] = newPeer(address, r.settings.clock.Now())
		}
	}
}

// Run probes minions, polls peers for their loads and expires reservations until
// the context ends. It then gives up the requests in flight, and returns once all
// goroutines have ended. To let requests in flight finish, call Leave first and end
// the context afterwards.
func (r *Router) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return timekeeper.Every(ctx, r.settings.clock, tickInterval, func(context.Context) {
			r.tick()
		})
	})
	group.Go(func() error {
		return timekeeper.Every(ctx, r.settings.clock, pollInterval, func(context.Context) {
			r.pollPeers()
		})
	})
	// Both goroutines end only when the context ends, with its error.
	_ = group.Wait()
	r.stop()
	err := r.Leave(context.Background())
	_ = r.background.Wait()
	r.carrier.close()
	return err
}

func (r *Router) tick() {
	for _, p := range r.allPools() {
		p.tick()
		for _, probe := range p.takeDueProbes() {
			r.background.Go(func() error {
				r.probe(p, probe)
				return nil
			})
		}
	}
}

// probe sends the epoch to a minion and records whether the minion answers.
func (r *Router) probe(p *pool, pr probe) {
	ctx, stop := r.withLimit(r.baseContext, dialTimeout, nil)
	defer stop()
	pr.attempt.id = r.nextID()
	p.settleProbe(pr, r.carrier.probe(ctx, pr.attempt))
}

// Leave refuses new requests and waits until the requests in flight have ended or
// the context ends. Refused callers are told to retry at another entry at once.
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

// beginRequest counts a request as in flight, or returns false if the router is
// leaving.
func (r *Router) beginRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isLeaving {
		return false
	}
	r.inFlight++
	return true
}

func (r *Router) endRequest() {
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

// nextID returns a unique ID for a hop or an attempt. The ID begins with the
// process's name, which differs for each incarnation.
func (r *Router) nextID() string {
	return r.self + "-" + strconv.FormatUint(r.idCounter.Add(1), 36)
}

// withLimit returns a context that is also cancelled when limit has passed on the
// router's clock or abort is closed.
func (r *Router) withLimit(ctx context.Context, limit time.Duration, abort <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := r.settings.clock.NewTimer(limit)
	r.background.Go(func() error {
		defer timer.Stop()
		select {
		case <-timer.C():
		case <-abort:
		case <-ctx.Done():
		}
		cancel()
		return nil
	})
	return ctx, cancel
}
