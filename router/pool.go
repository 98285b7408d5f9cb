package router

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
)

const (
	// maxRetryAfter bounds the retry time.
	maxRetryAfter = time.Minute
	// retryAfterSpread is the most by which the interval between two retry times
	// is lengthened at random, as a fraction of it. Without it, the callers that
	// several entries refuse at the same moment would return at the same times.
	retryAfterSpread = 0.25
	// defaultRetryAfter is the retry time if the service rate is unknown.
	defaultRetryAfter = time.Second
)

// pool holds one service's minions at one owner, and the queue for their slots. It
// is safe for concurrent use, does no I/O and starts no goroutines: the router
// calls it on each event and on each tick.
type pool struct {
	settings *settings

	mu     sync.Mutex
	name   string
	config ServiceConfig
	// minions holds by name every minion of the service that is owned or still
	// has reservations. owned holds only the owned ones, sorted by name.
	minions map[string]*minion
	owned   []*minion
	queue   *queue
	// latency is the average service time in seconds, 0 if unknown.
	latency float64
	// choiceCount counts the choices of a minion.
	choiceCount int
	// retries are the retry times given to the refused callers.
	retries retryTimes
	// noSlotSince is the time since which waiters can expect no slot, zero if they
	// can expect one.
	noSlotSince time.Time
	// candidates is the buffer of pickMinion.
	candidates []candidate
}

func newPool(s *settings, name string, config ServiceConfig) *pool {
	return &pool{
		settings: s,
		name:     name,
		config:   config,
		minions:  make(map[string]*minion),
		queue:    newQueue(),
	}
}

func (p *pool) setConfig(config ServiceConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = config
}

func (p *pool) setWeights(weights map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.setWeights(weights)
}

// setHosts makes this process the owner of exactly these hosts in the epoch. If no
// minion is left, it refuses all waiters with ReasonMoved. It returns the addresses
// of the minions that are no longer owned.
func (p *pool) setHosts(hosts []connector.Host, epoch namer.Epoch, drained map[string]bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	ownedNames := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		ownedNames[h.Name] = true
		p.ownHost(h, epoch, now)
	}
	var ceded []string
	p.owned = p.owned[:0]
	for name, m := range p.minions {
		m.drained = drained[name]
		if ownedNames[name] {
			p.owned = append(p.owned, m)
			continue
		}
		ceded = append(ceded, m.host.Address)
		m.cede()
		p.dropIfUnused(m)
	}
	slices.SortFunc(p.owned, func(a, b *minion) int {
		return strings.Compare(a.host.Name, b.host.Name)
	})
	if len(p.owned) == 0 {
		p.refuseAllMoved()
	}
	p.assignSlots(now)
	return ceded
}

func (p *pool) ownHost(h connector.Host, epoch namer.Epoch, now time.Time) {
	m := p.minions[h.Name]
	if m == nil {
		m = newMinion(h)
		p.minions[h.Name] = m
	}
	m.setHost(h)
	if m.epoch != epoch {
		m.takeOver(epoch, now)
	}
	if p.settings.faults.skipTakeoverWait {
		m.olderRequests = 0
	}
}

func (p *pool) refuseAllMoved() {
	for _, w := range p.queue.removeAll() {
		w.granted <- grant{
			refusal: &RefusedError{
				Reason: ReasonMoved,
			},
		}
	}
}

// enqueue grants the waiter a free slot, queues it or refuses it. The grant may
// already have been sent when enqueue returns nil.
func (p *pool) enqueue(w *waiter) *RefusedError {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	w.heapIndex = -1
	w.enqueuedAt = now
	if len(p.owned) == 0 {
		return &RefusedError{
			Reason: ReasonMoved,
		}
	}
	p.relaxAvoid(w, now)
	if p.queue.size == 0 {
		if m := p.pickMinion(w.accepts, now); m != nil {
			p.grantSlot(w, m, now)
			return nil
		}
	}
	if refusal := p.checkAdmission(w, now); refusal != nil {
		return refusal
	}
	p.queue.push(w)
	p.assignSlots(now)
	return nil
}

// relaxAvoid clears the waiter's avoid list if it names all usable minions.
func (p *pool) relaxAvoid(w *waiter, now time.Time) {
	if len(w.avoid) == 0 {
		return
	}
	for _, m := range p.owned {
		if m.isUsable(now) && w.accepts(m) {
			return
		}
	}
	w.avoid = nil
}

// cancelWait removes the waiter from the queue and reports whether it was still
// queued. If not, its grant has been sent.
func (p *pool) cancelWait(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.remove(w)
}

// checkAdmission refuses a waiter that is not expected to be served in time, or for
// which a full queue has no place; see displaceWaiter.
func (p *pool) checkAdmission(w *waiter, now time.Time) *RefusedError {
	slots := p.expectedCapacity(now)
	if slots == 0 {
		return p.newRefusal(ReasonNoMinion, now)
	}
	left := w.deadline.Sub(now)
	serviceTime := seconds(p.latency)
	if left < serviceTime {
		return p.newRefusal(ReasonDeadline, now)
	}
	wait := seconds((p.queue.expectedAhead(w.team, w.deadline) + 1) * p.latency / float64(slots))
	if wait > min(p.config.maxWait, left-serviceTime) {
		return p.newRefusal(ReasonOverload, now)
	}
	if p.queue.size < p.config.queueLimit {
		return nil
	}
	return p.displaceWaiter(w, now)
}

// displaceWaiter refuses a waiter of the team that has the most waiters for its
// weight, so that w can be queued. If w's own team has the most, w is refused.
func (p *pool) displaceWaiter(w *waiter, now time.Time) *RefusedError {
	victim := p.queue.displacementVictim(w.team)
	if victim == nil {
		return p.newRefusal(ReasonQueueFull, now)
	}
	p.queue.remove(victim)
	victim.granted <- grant{
		refusal: p.newRefusal(ReasonQueueFull, now),
	}
	return nil
}

// newRefusal returns a refusal with a retry time.
func (p *pool) newRefusal(reason Reason, now time.Time) *RefusedError {
	wait, step := defaultRetryAfter, defaultRetryAfter
	if slots := p.expectedCapacity(now); slots > 0 && p.latency > 0 {
		step = seconds(p.latency / float64(slots))
		wait = time.Duration(p.queue.size) * step
	}
	return &RefusedError{
		Reason:     reason,
		RetryAfter: p.retries.next(now, wait, step),
	}
}

// retryTimes gives each refused caller a later retry time than the one before,
// spaced at the rate at which requests are served, so that callers refused together
// do not return together.
type retryTimes struct {
	// last is the retry time given last.
	last time.Time
}

// next returns the next retry time, which is after the wait. step is the time in
// which one request is served.
func (t *retryTimes) next(now time.Time, wait, step time.Duration) time.Duration {
	if base := now.Add(wait); t.last.Before(base) {
		t.last = base
	}
	t.last = t.last.Add(step + time.Duration(rand.Float64()*retryAfterSpread*float64(step)))
	after := t.last.Sub(now)
	if after > maxRetryAfter {
		after = maxRetryAfter/2 + rand.N(maxRetryAfter/2)
		t.last = now.Add(maxRetryAfter)
	}
	return after
}

// minionRetryAfter returns the retry time for a caller whose request was refused by
// a minion.
func (p *pool) minionRetryAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newRefusal(ReasonMinion, p.settings.clock.Now()).RetryAfter
}

// expectedCapacity returns the number of slots that are or will soon be free.
func (p *pool) expectedCapacity(now time.Time) int {
	sinceStart := p.settings.sinceStart(now)
	slots := 0
	for _, m := range p.owned {
		slots += m.expectedSlots(now, sinceStart)
	}
	return slots
}

// assignSlots grants free slots to waiters until either runs out.
func (p *pool) assignSlots(now time.Time) {
	var unaccepted map[*minion]bool
	for p.queue.size > 0 {
		m := p.pickMinion(func(m *minion) bool { return !unaccepted[m] }, now)
		if m == nil {
			return
		}
		w := p.queue.popFor(m)
		if w == nil {
			if unaccepted == nil {
				unaccepted = make(map[*minion]bool)
			}
			unaccepted[m] = true
			continue
		}
		p.grantSlot(w, m, now)
	}
}

// pickMinion chooses among the accepted minions with a free slot, or returns nil.
func (p *pool) pickMinion(accepts func(*minion) bool, now time.Time) *minion {
	sinceStart := p.settings.sinceStart(now)
	p.candidates = p.candidates[:0]
	for _, m := range p.owned {
		freeSlots := m.freeSlots(now, sinceStart)
		if freeSlots == 0 || !accepts(m) {
			continue
		}
		p.candidates = append(p.candidates, candidate{
			minion:    m,
			freeSlots: freeSlots,
		})
	}
	if len(p.candidates) == 0 {
		return nil
	}
	p.choiceCount++
	return choose(p.settings.strategy, p.candidates, p.choiceCount)
}

// grantSlot reserves a slot of the minion for the waiter.
func (p *pool) grantSlot(w *waiter, m *minion, now time.Time) {
	left := w.deadline.Sub(now)
	r := &reservation{
		minion:         m,
		name:           m.host.Name,
		address:        m.host.Address,
		maxConnections: m.maxConnections(),
		epoch:          m.epoch,
		reservedAt:     now,
		expiry:         now.Add(p.settings.maxAttemptTime(left)),
	}
	m.reservations[r] = struct{}{}
	p.queue.charge(w.team, max(p.latency, minCost))
	w.granted <- grant{
		reservation: r,
	}
}

// settle records how an attempt ended, and frees its slot unless the request may
// still be running.
func (p *pool) settle(r *reservation, e ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	m := r.minion
	switch e := e.(type) {
	case answered:
		p.release(r)
		p.cedeIfSuperseded(m, r.epoch, e.epoch)
		m.recordAccepted(e.epoch, e.sentAt+p.settings.leaseTerm.Nanoseconds(), now, e.older, p.settings.takeoverWait(p.config))
		p.recordAnswer(r, e, now)
	case declined:
		p.release(r)
		p.recordRefusal(m, r.epoch, e, now)
	case unsent:
		p.release(r)
		if e.unreachable {
			p.handleFailure(m, now, true)
		}
	case lost:
		r.lost = true
		if p.settings.faults.freeLostSlots {
			p.release(r)
		}
		if !r.abandoned {
			p.handleFailure(m, now, false)
		}
	case unused:
		p.release(r)
	}
	p.assignSlots(now)
}

// recordRefusal handles a minion's refusal of a request or probe that carried the
// epoch sentEpoch.
func (p *pool) recordRefusal(m *minion, sentEpoch namer.Epoch, e declined, now time.Time) {
	if e.reason == declinedFenced {
		p.cedeIfSuperseded(m, sentEpoch, sentEpoch+1)
		return
	}
	m.recordRefusal(e, now)
}

// cedeIfSuperseded ends the ownership if the minion has seen a later epoch than the
// one sent. If no minion is left, it refuses all waiters with ReasonMoved.
func (p *pool) cedeIfSuperseded(m *minion, sentEpoch, echoedEpoch namer.Epoch) {
	if sentEpoch != m.epoch || echoedEpoch <= sentEpoch {
		return
	}
	m.cede()
	p.owned = slices.DeleteFunc(p.owned, func(other *minion) bool { return other == m })
	p.dropIfUnused(m)
	if len(p.owned) == 0 {
		p.refuseAllMoved()
	}
}

func (p *pool) recordAnswer(r *reservation, e answered, now time.Time) {
	if r.abandoned {
		return
	}
	serviceTime := now.Sub(r.reservedAt)
	p.latency = movingAverage(p.latency, serviceTime.Seconds(), poolSmoothing)
	if e.answer.failed() {
		p.handleFailure(r.minion, now, false)
		return
	}
	r.minion.recordSuccess(serviceTime)
}

// abandon records that nobody waits for the attempt any more. Its slot stays
// reserved. An attempt that stalled counts as a failure of the minion.
func (p *pool) abandon(r *reservation, stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.released || r.abandoned {
		return
	}
	r.abandoned = true
	if !stalled {
		return
	}
	p.handleFailure(r.minion, p.settings.clock.Now(), false)
}

func (p *pool) release(r *reservation) {
	r.released = true
	delete(r.minion.reservations, r)
	p.dropIfUnused(r.minion)
}

// dropIfUnused removes a minion that is not owned and has no reservations.
func (p *pool) dropIfUnused(m *minion) {
	if m.epoch == 0 && len(m.reservations) == 0 {
		delete(p.minions, m.host.Name)
	}
}

// handleFailure counts a failure of the minion and ejects it after enough of them.
// A minion that can be reached is ejected only if that leaves at most half of the
// owned minions ejected.
func (p *pool) handleFailure(m *minion, now time.Time, unreachable bool) {
	if !m.recordFailure() || m.ejected {
		return
	}
	if unreachable || p.mayEject() {
		p.eject(m, now)
	}
}

func (p *pool) eject(m *minion, now time.Time) {
	m.eject(now)
	p.settings.logger.Warnf("router: minion %s ejected for %s", m.host.Name, m.ejectedUntil.Sub(now))
}

func (p *pool) mayEject() bool {
	ejectedCount := 0
	for _, m := range p.owned {
		if m.ejected {
			ejectedCount++
		}
	}
	return ejectedCount+1 <= len(p.owned)/2
}

// tick releases expired reservations, refuses waiters that can no longer be served,
// and grants the slots that became free.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	for _, m := range p.minions {
		p.expireReservations(m, now)
	}
	for _, w := range p.queue.removeOverdue(now, seconds(p.latency)) {
		w.granted <- grant{
			refusal: p.newRefusal(ReasonDeadline, now),
		}
	}
	p.assignSlots(now)
	p.refuseIfNoSlots(now)
}

// refuseIfNoSlots refuses all waiters once the expected capacity has been zero for
// as long as the service's maxWait.
func (p *pool) refuseIfNoSlots(now time.Time) {
	if p.queue.size == 0 || p.expectedCapacity(now) > 0 {
		p.noSlotSince = time.Time{}
		return
	}
	if p.noSlotSince.IsZero() {
		p.noSlotSince = now
	}
	if now.Sub(p.noSlotSince) < p.config.maxWait {
		return
	}
	for _, w := range p.queue.removeAll() {
		w.granted <- grant{
			refusal: p.newRefusal(ReasonNoMinion, now),
		}
	}
}

// expireReservations releases the minion's expired reservations, and clears
// olderRequests once the older requests have certainly ended.
func (p *pool) expireReservations(m *minion, now time.Time) {
	if m.olderRequests > 0 && !m.olderExpiry.IsZero() && !now.Before(m.olderExpiry) {
		m.olderRequests = 0
	}
	for r := range m.reservations {
		if now.Before(r.expiry) {
			continue
		}
		if r.cancel != nil {
			r.cancel()
		}
		p.release(r)
	}
}

// load returns the load that is reported to other entries.
func (p *pool) load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	sinceStart := p.settings.sinceStart(now)
	l := Load{
		Queued:      p.queue.size,
		ServiceTime: seconds(p.latency),
	}
	for _, m := range p.owned {
		l.Free += m.freeSlots(now, sinceStart)
	}
	if slots := p.expectedCapacity(now); slots > 0 {
		l.Slots = slots
		l.Wait = seconds(float64(p.queue.size) * p.latency / float64(slots))
	}
	return l
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
