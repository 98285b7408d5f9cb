package coordinator

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	// evidenceReadWait is the longest wait of a read of the configuration while there are
	// organisations. In normal operation the evidence is up to two waits and two round
	// trips old, which must be less than maxEvidenceAge.
	evidenceReadWait = 450 * time.Millisecond
	// maxEvidenceAge is the age of the evidence from which peers are asked.
	maxEvidenceAge = 1200 * time.Millisecond
	// evidenceReadShare and evidenceAgeShare bound the two times above as fractions of
	// the revocation bound, where that is unusually short.
	evidenceReadShare, evidenceAgeShare = 0.1, 0.3
	// evidenceCheckInterval is the interval at which the age of the evidence is checked,
	// and evidenceAskInterval the shortest time between two rounds of calls to peers.
	evidenceCheckInterval = 100 * time.Millisecond
	evidenceAskInterval   = 500 * time.Millisecond
	// evidencePeers is the number of peers asked in one round. It does not depend on the
	// number of entries.
	evidencePeers = 3
)

// evidenceState is the state of the evidence, as it is logged.
type evidenceState int

const (
	// evidenceUnlogged is the state before the first line.
	evidenceUnlogged evidenceState = iota
	evidenceRecent
	evidenceAging
	evidenceEnded
)

// evidenceKeeper keeps the evidence that the configuration in force is the newest: from
// the reads of the configuration, and from peers if those fail or do not return.
type evidenceKeeper struct {
	coordinator *Coordinator
	evidence    *authenticator.Evidence

	mu sync.Mutex
	// askedAt is the time of the last round of calls to peers.
	askedAt time.Time
	// loggedState is the state that was logged last.
	loggedState evidenceState
	// lastSource is the address of the peer that gave evidence last. It is asked again
	// in the next round.
	lastSource string
}

func newEvidenceKeeper(c *Coordinator) *evidenceKeeper {
	k := &evidenceKeeper{
		coordinator: c,
		evidence:    authenticator.NewEvidence(c.settings.bootClock),
	}
	k.evidence.SetBound(c.settings.strictRevocation, c.settings.revocationBound)
	return k
}

func (k *evidenceKeeper) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "galenacove_coordinator_evidence_age_seconds",
			Help: "Time since the configuration in force is known to have been the newest, +Inf if it never was.",
		}, func() float64 {
			age, known := k.evidence.Age()
			if !known {
				return math.Inf(1)
			}
			return age.Seconds()
		}),
	}
}

// SetRevocation sets whether keys are accepted only with evidence that the configuration
// is the newest, and the time within which a revoked key must stop working.
func (c *Coordinator) SetRevocation(strict bool, bound time.Duration) {
	c.evidenceKeeper.evidence.SetBound(strict, bound)
}

// SetOverage sets the fraction of its maximum by which an organisation may exceed it.
func (c *Coordinator) SetOverage(fraction float64) {
	c.mu.Lock()
	c.settings.overage = fraction
	c.mu.Unlock()
	c.setOrganisations()
}

// hasOrganisations reports whether callers need keys.
func (c *Coordinator) hasOrganisations() bool {
	config, _ := c.receiver.Config()
	return len(config.Organisations) > 0
}

// limitByBound returns d, or a fraction of the revocation bound if that is shorter.
func (k *evidenceKeeper) limitByBound(d time.Duration, share float64) time.Duration {
	bound, strict := k.evidence.Bound()
	if !strict {
		return d
	}
	return min(d, time.Duration(share*float64(bound)))
}

// observedStore is a store of which one goroutine reads the configuration. It records
// what the last answer is evidence of.
type observedStore struct {
	storer.Store
	keeper *evidenceKeeper
	// sentAt is the boot time before the last request was sent, or before the first one
	// of several for the pages of one answer. reachedEnd is set if the answer contains
	// all records up to the end of the partition.
	sentAt     time.Duration
	reachedEnd bool
}

// Read implements storer.Store. While there are organisations it waits less long, so that
// the evidence is not as old.
func (s *observedStore) Read(ctx context.Context, of storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	if s.keeper.coordinator.hasOrganisations() {
		wait = min(wait, s.keeper.limitByBound(evidenceReadWait, evidenceReadShare))
	}
	s.sentAt = s.keeper.coordinator.settings.bootClock.SinceBoot()
	s.reachedEnd = false
	page, err := s.Store.Read(ctx, of, from, wait)
	s.reachedEnd = err == nil && page.Next >= page.End
	return page, err
}

// Newest implements storer.Store.
func (s *observedStore) Newest(ctx context.Context, of storer.Partition, after string) (storer.NewestPage, error) {
	if after == "" {
		// A later page may hold newer records, but the first page shows nothing newer
		// than its own request.
		s.sentAt = s.keeper.coordinator.settings.bootClock.SinceBoot()
	}
	s.reachedEnd = false
	page, err := s.Store.Newest(ctx, of, after)
	s.reachedEnd = err == nil && !page.More
	return page, err
}

// observe returns the store through which the configuration is read, and the function to
// call with the records of each answer, which applies them and records the evidence.
func (k *evidenceKeeper) observe(store storer.Store) (storer.Store, func([]storer.Record)) {
	observed := &observedStore{
		Store:  store,
		keeper: k,
	}
	return observed, func(records []storer.Record) {
		result := k.coordinator.applyConfig(records)
		result.SentAt = observed.sentAt
		result.ReachedEnd = observed.reachedEnd
		config, known := k.coordinator.receiver.Config()
		if known || result.HasConfig {
			k.evidence.ObserveRead(result, config.Version)
		}
		if result.HasConfig && !result.Undecodable && result.Version < config.Version {
			// While a peer is ahead of this entry, the later record follows at once.
			// Otherwise no key is accepted until one does.
			k.coordinator.settings.logger.WithFields(log.Fields{
				"version": result.Version,
				"inForce": config.Version,
			}).Warn("coordinator: the last configuration record has an earlier version than the one in force")
		}
	}
}

// EvidenceArgs asks for the configuration in force and how recently it is known to have
// been the newest.
type EvidenceArgs struct {
	// HasConfig is whether the caller has a configuration, and Version its version.
	HasConfig bool
	Version   int64
}

// EvidenceReply answers EvidenceArgs.
type EvidenceReply struct {
	// Version is the version of the configuration in force, and Config that
	// configuration, or nil if it is not later than the caller's.
	Version int64
	Config  *receiver.Config
	// Known is whether there is evidence, and Age its age.
	Known bool
	Age   time.Duration
}

// Evidence returns the configuration in force and the age of the evidence.
func (r *rpc) Evidence(args EvidenceArgs, reply *EvidenceReply) error {
	// The age is determined before the configuration: evidence is also true of any later
	// configuration.
	reply.Age, reply.Known = r.coordinator.evidenceKeeper.evidence.Age()
	config, known := r.coordinator.receiver.Config()
	if !known {
		return errNoConfig
	}
	reply.Version = config.Version
	if !args.HasConfig || config.Version > args.Version {
		reply.Config = &config
	}
	return nil
}

// followPeers asks peers for evidence while there is none that is recent enough. It runs
// beside the reads of the configuration, since one of them may hang.
func (k *evidenceKeeper) followPeers(ctx context.Context) error {
	return timekeeper.Every(ctx, k.coordinator.settings.clock, evidenceCheckInterval, func(ctx context.Context) {
		config, hasConfig := k.coordinator.receiver.Config()
		if hasConfig && len(config.Organisations) == 0 {
			return
		}
		k.logState(config.Version)
		age, known := k.evidence.Age()
		if !known || age > k.limitByBound(maxEvidenceAge, evidenceAgeShare) {
			k.askPeers(ctx)
		}
	})
}

// logState logs that the evidence has become too old, or is recent again, where keys are
// accepted only with evidence. It is called by one goroutine.
func (k *evidenceKeeper) logState(version int64) {
	if _, strict := k.evidence.Bound(); !strict {
		k.loggedState = evidenceUnlogged
		return
	}
	state := evidenceRecent
	switch {
	case !k.evidence.Valid():
		state = evidenceEnded
	case k.evidence.Aging():
		state = evidenceAging
	}
	if state == k.loggedState {
		return
	}
	k.loggedState = state
	age, known := k.evidence.Age()
	k.mu.Lock()
	entry := k.coordinator.settings.logger.WithFields(log.Fields{
		"version":  version,
		"known":    known,
		"ageMs":    age.Milliseconds(),
		"lastPeer": k.lastSource,
	})
	k.mu.Unlock()
	switch state {
	case evidenceRecent:
		entry.Info("coordinator: the configuration is known to be the newest, keys are accepted")
	case evidenceAging:
		entry.Warn("coordinator: the configuration is not known to be the newest, the entry reports itself not ready")
	default:
		entry.Warn("coordinator: the configuration is not known to be the newest, keys are refused")
	}
}

// askPeers asks some peers for their configuration and evidence, unless this was done
// within the last evidenceAskInterval.
func (k *evidenceKeeper) askPeers(ctx context.Context) {
	now := k.coordinator.settings.clock.Now()
	k.mu.Lock()
	due := now.Sub(k.askedAt) >= evidenceAskInterval
	if due {
		k.askedAt = now
	}
	preferred := k.lastSource
	k.mu.Unlock()
	if !due {
		return
	}
	var group errgroup.Group
	for _, address := range k.coordinator.entryPool.evidenceSources(evidencePeers, preferred) {
		group.Go(func() error {
			k.askPeer(ctx, address)
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
}

func (k *evidenceKeeper) askPeer(ctx context.Context, address string) {
	c := k.coordinator
	config, hasConfig := c.receiver.Config()
	calledAt := c.settings.bootClock.SinceBoot()
	callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var reply EvidenceReply
	err := c.pool.Call(callCtx, address, rpcName+".Evidence", EvidenceArgs{
		HasConfig: hasConfig,
		Version:   config.Version,
	}, &reply)
	if ctx.Err() != nil {
		return
	}
	c.entryPool.recordAnswer(address, err)
	if err != nil {
		return
	}
	if reply.Config != nil {
		c.setConfig(*reply.Config, "peer")
	}
	if !reply.Known {
		return
	}
	current, known := c.receiver.Config()
	if !known {
		return
	}
	k.evidence.ObservePeer(authenticator.PeerResult{
		CalledAt: calledAt,
		Version:  reply.Version,
		Age:      reply.Age,
	}, current.Version)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastSource = address
}

// evidenceSources returns the addresses of up to n other entries that are reachable: the
// preferred one first, then those that the store is known to serve, then others, each in
// random order. The order differs between entries, so that not all of them ask the same
// few.
func (p *entryPool) evidenceSources(n int, preferred string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	rankOf := make(map[string]int)
	var addresses []string
	for _, entry := range p.entries {
		if entry.name == p.coordinator.settings.name || entry.unreachable {
			continue
		}
		addresses = append(addresses, entry.address)
		switch {
		case entry.address == preferred:
			rankOf[entry.address] = 0
		case entry.storeReachable:
			rankOf[entry.address] = 1
		default:
			rankOf[entry.address] = 2
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	slices.SortStableFunc(addresses, func(a, b string) int { return rankOf[a] - rankOf[b] })
	return addresses[:min(n, len(addresses))]
}
