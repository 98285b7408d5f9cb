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
	// longestReturn bounds the time that a refused caller is told to wait.
	longestReturn = time.Minute
	// returnSpread is the most by which that time is stretched at random, as a
	// share of it.
	returnSpread = 0.25
	// idleReturn is what a caller is told to wait where no rate is known.
	idleReturn = time.Second
)

// pool is the table of one service's minions at one owner, and the queue for
// their slots. It is safe for use by several goroutines, does no I/O, and
// starts nothing: the router calls it on each event and on each tick.
type pool struct {
	settings *settings

	mu    sync.Mutex
	name  string
	terms ServiceTerms
	// minions holds every minion of the service that is owned or still has
	// reservations, by name; order holds the owned ones sorted by name.
	minions map[string]*minion
	order   []*minion
	queue   *queue
	// latency is the average time of service in seconds, 0 if unknown.
	latency float64
	// turn counts the choices of a minion.
	turn int
	// returns is when the caller that was refused last was told to come back.
	returns time.Time
	// dry is since when waiters could expect no slot, zero if they can.
	dry     time.Time
	scratch []candidate
}

func newPool(s *settings, name string, terms ServiceTerms) *pool {
	return &pool{
		settings: s,
		name:     name,
		terms:    terms,
		minions:  make(map[string]*minion),
		queue:    newQueue(),
	}
}

func (p *pool) setTerms(terms ServiceTerms) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.terms = terms
}

func (p *pool) setWeights(weights map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.setWeights(weights)
}

// setHosts makes the process the owner of the hosts, in the epoch, and of no
// others. Waiters that no owned minion is left for are told so. It returns the
// addresses of minions that are owned no more.
func (p *pool) setHosts(hosts []connector.Host, epoch namer.Epoch, drained map[string]bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	owned := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		owned[h.Name] = true
		p.own(h, epoch, now)
	}
	var ceded []string
	p.order = p.order[:0]
	for name, m := range p.minions {
		m.drained = drained[name]
		if owned[name] {
			p.order = append(p.order, m)
			continue
		}
		ceded = append(ceded, m.host.Address)
		m.cede()
		if len(m.reservations) == 0 {
			delete(p.minions, name)
		}
	}
	slices.SortFunc(p.order, func(a, b *minion) int {
		return strings.Compare(a.host.Name, b.host.Name)
	})
	if len(p.order) == 0 {
		p.moveAll()
	}
	p.assign(now)
	return ceded
}

func (p *pool) own(h connector.Host, epoch namer.Epoch, now time.Time) {
	m := p.minions[h.Name]
	if m == nil {
		m = newMinion(h)
		p.minions[h.Name] = m
	}
	m.setHost(h)
	if m.epoch != epoch {
		m.take(epoch, now)
	}
	if p.settings.faults.skipRest {
		m.foreign = 0
	}
}

func (p *pool) moveAll() {
	for _, w := range p.queue.drain() {
		w.granted <- grant{
			refusal: &RefusedError{
				Reason: ReasonMoved,
			},
		}
	}
}

// enter queues the waiter, or refuses it at once. The grant may be there when
// enter returns.
func (p *pool) enter(w *waiter) *RefusedError {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	w.index = -1
	w.entered = now
	if len(p.order) == 0 {
		return &RefusedError{
			Reason: ReasonMoved,
		}
	}
	p.relax(w, now)
	if p.queue.size == 0 {
		if m := p.pick(w.accepts, now); m != nil {
			p.give(w, m, now)
			return nil
		}
	}
	if refusal := p.admit(w, now); refusal != nil {
		return refusal
	}
	p.queue.push(w)
	p.assign(now)
	return nil
}

// relax lets a waiter go where it was before if there is nowhere else.
func (p *pool) relax(w *waiter, now time.Time) {
	if len(w.avoid) == 0 {
		return
	}
	for _, m := range p.order {
		if m.usable(now) && w.accepts(m) {
			return
		}
	}
	w.avoid = nil
}

// exit takes the waiter out and reports whether it still waited. If not, its
// grant is there.
func (p *pool) exit(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.remove(w)
}

// admit refuses a waiter that would not be served in time.
func (p *pool) admit(w *waiter, now time.Time) *RefusedError {
	slots := p.capacity(now)
	if slots == 0 {
		return p.refuse(ReasonNoMinion, now)
	}
	left := w.deadline.Sub(now)
	service := seconds(p.latency)
	if left < service {
		return p.refuse(ReasonDeadline, now)
	}
	wait := seconds((p.queue.ahead(w.team, w.deadline) + 1) * p.latency / float64(slots))
	if wait > min(p.terms.maxWait, left-service) {
		return p.refuse(ReasonOverload, now)
	}
	if p.queue.size < p.terms.queueLimit {
		return nil
	}
	return p.displace(w, now)
}

// displace refuses a waiter of the team that waits with most for its weight,
// to make room for one of another team.
func (p *pool) displace(w *waiter, now time.Time) *RefusedError {
	out := p.queue.heaviest(w.team)
	if out == nil {
		return p.refuse(ReasonQueueFull, now)
	}
	p.queue.remove(out)
	out.granted <- grant{
		refusal: p.refuse(ReasonQueueFull, now),
	}
	return nil
}

// refuse returns a refusal with a time to come back. Each caller is given a
// later time than the one before, at the rate at which requests are served, so
// that those who were refused together do not return together.
func (p *pool) refuse(reason Reason, now time.Time) *RefusedError {
	base := now.Add(idleReturn)
	step := idleReturn
	if slots := p.capacity(now); slots > 0 && p.latency > 0 {
		step = seconds(p.latency / float64(slots))
		base = now.Add(time.Duration(p.queue.size) * step)
	}
	if p.returns.Before(base) {
		p.returns = base
	}
	p.returns = p.returns.Add(step)
	after := p.returns.Sub(now)
	if after > longestReturn {
		after = longestReturn/2 + rand.N(longestReturn/2)
		p.returns = now.Add(longestReturn)
	}
	after += time.Duration(rand.Float64() * returnSpread * float64(after))
	return &RefusedError{
		Reason:     reason,
		RetryAfter: after,
	}
}

// comeBack returns when a caller that minions refused may come back.
func (p *pool) comeBack() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refuse(ReasonMinion, p.settings.clock.Now()).RetryAfter
}

// capacity returns the slots that can be expected to be given, now or soon.
func (p *pool) capacity(now time.Time) int {
	since := p.settings.since(now)
	slots := 0
	for _, m := range p.order {
		slots += m.prospect(now, since)
	}
	return slots
}

// assign gives free slots to waiters until one of the two has run out.
func (p *pool) assign(now time.Time) {
	var refused map[*minion]bool
	for p.queue.size > 0 {
		m := p.pick(func(m *minion) bool { return !refused[m] }, now)
		if m == nil {
			return
		}
		w := p.queue.next(m)
		if w == nil {
			if refused == nil {
				refused = make(map[*minion]bool)
			}
			refused[m] = true
			continue
		}
		p.give(w, m, now)
	}
}

// pick chooses a minion with a free slot among those that are accepted.
func (p *pool) pick(accepts func(*minion) bool, now time.Time) *minion {
	since := p.settings.since(now)
	p.scratch = p.scratch[:0]
	for _, m := range p.order {
		free := m.free(now, since)
		if free == 0 || !accepts(m) {
			continue
		}
		p.scratch = append(p.scratch, candidate{
			minion: m,
			free:   free,
		})
	}
	if len(p.scratch) == 0 {
		return nil
	}
	p.turn++
	return choose(p.settings.strategy, p.scratch, p.turn)
}

// give reserves a slot for the waiter.
func (p *pool) give(w *waiter, m *minion, now time.Time) {
	left := w.deadline.Sub(now)
	r := &reservation{
		minion:      m,
		name:        m.host.Name,
		address:     m.host.Address,
		connections: m.connections(),
		epoch:       m.epoch,
		made:        now,
		lapse:       now.Add(p.settings.lapse(left)),
	}
	m.reservations[r] = struct{}{}
	p.queue.charge(w.team, max(p.latency, minCost))
	w.granted <- grant{
		reservation: r,
	}
}

// settle books how an attempt ended and frees its slot if that is certain.
func (p *pool) settle(r *reservation, e ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	m := r.minion
	switch e := e.(type) {
	case answered:
		p.release(r)
		p.superseded(m, r.epoch, e.epoch)
		m.accepted(e.epoch, e.sent+p.settings.term.Nanoseconds(), now, e.older, p.settings.rest(p.terms))
		p.book(r, e, now)
	case declined:
		p.release(r)
		p.decline(m, r.epoch, e, now)
	case unsent:
		p.release(r)
		if e.unreachable {
			p.fail(m, now, true)
		}
	case lost:
		r.lost = true
		if p.settings.faults.freeLost {
			p.release(r)
		}
		if !r.abandoned {
			p.fail(m, now, false)
		}
	case unused:
		p.release(r)
	}
	p.assign(now)
}

// decline notes that the minion refused a request.
func (p *pool) decline(m *minion, sent namer.Epoch, e declined, now time.Time) {
	if e.why == declinedFenced {
		p.superseded(m, sent, sent+1)
		return
	}
	m.decline(e, now)
}

// superseded ends the ownership if the minion was told a later epoch than the
// one sent. Waiters that no minion is left for are told so.
func (p *pool) superseded(m *minion, sent, echoed namer.Epoch) {
	if sent != m.epoch || echoed <= sent {
		return
	}
	m.cede()
	p.order = slices.DeleteFunc(p.order, func(other *minion) bool { return other == m })
	if len(p.order) == 0 {
		p.moveAll()
	}
}

func (p *pool) book(r *reservation, e answered, now time.Time) {
	if r.abandoned {
		return
	}
	service := now.Sub(r.made)
	p.latency = average(p.latency, service.Seconds(), poolSmoothing)
	if e.answer.failed() {
		p.fail(r.minion, now, false)
		return
	}
	r.minion.succeeded(service)
}

// abandon notes that nobody waits for the attempt any more. Its slot stays
// reserved. One that took too long counts as a failure of the minion.
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
	p.fail(r.minion, p.settings.clock.Now(), false)
}

func (p *pool) release(r *reservation) {
	r.released = true
	delete(r.minion.reservations, r)
	if r.minion.epoch == 0 && len(r.minion.reservations) == 0 {
		delete(p.minions, r.minion.host.Name)
	}
}

// fail counts a failure. A minion that cannot be reached is always ejected
// after enough of them; one that answers only while the others outnumber the
// ejected.
func (p *pool) fail(m *minion, now time.Time, unreachable bool) {
	if !m.failed() || m.ejected {
		return
	}
	if unreachable || p.mayEject() {
		p.eject(m, now)
	}
}

func (p *pool) eject(m *minion, now time.Time) {
	m.eject(now)
	p.settings.logger.Warnf("router: minion %s ejected for %s", m.host.Name, m.ejectedTo.Sub(now))
}

func (p *pool) mayEject() bool {
	out := 0
	for _, m := range p.order {
		if m.ejected {
			out++
		}
	}
	return out+1 <= len(p.order)/2
}

// tick frees the slots of attempts that have certainly ended, refuses waiters
// that can no longer be served, and gives out what became free.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	for _, m := range p.minions {
		p.reap(m, now)
	}
	for _, w := range p.queue.overdue(now, seconds(p.latency)) {
		w.granted <- grant{
			refusal: p.refuse(ReasonDeadline, now),
		}
	}
	p.assign(now)
	p.clear(now)
}

// clear refuses the waiters when for the longest wait no slot could be
// expected.
func (p *pool) clear(now time.Time) {
	if p.queue.size == 0 || p.capacity(now) > 0 {
		p.dry = time.Time{}
		return
	}
	if p.dry.IsZero() {
		p.dry = now
	}
	if now.Sub(p.dry) < p.terms.maxWait {
		return
	}
	for _, w := range p.queue.drain() {
		w.granted <- grant{
			refusal: p.refuse(ReasonNoMinion, now),
		}
	}
}

func (p *pool) reap(m *minion, now time.Time) {
	if m.foreign > 0 && !m.foreignUntil.IsZero() && !now.Before(m.foreignUntil) {
		m.foreign = 0
	}
	for r := range m.reservations {
		if now.Before(r.lapse) {
			continue
		}
		if r.cancel != nil {
			r.cancel()
		}
		p.release(r)
	}
}

// load is what other entries are told of this owner's part of a service.
func (p *pool) load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	since := p.settings.since(now)
	l := Load{
		Queued: p.queue.size,
	}
	for _, m := range p.order {
		l.Free += m.free(now, since)
	}
	if slots := p.capacity(now); slots > 0 {
		l.Slots = slots
		l.Wait = seconds(float64(p.queue.size) * p.latency / float64(slots))
	}
	return l
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
