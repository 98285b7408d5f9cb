package router

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	testLeaseTerm   = 400 * time.Millisecond
	testMaxDelivery = 100 * time.Millisecond
	testMaxTimeout  = time.Second
	testSlots       = 2
)

var (
	testStart = time.Unix(1_800_000_000, 0)
	// errOverCapacity is a violation that poolModel and entrySim detect.
	errOverCapacity = errors.New("more requests at a minion than it has slots")
)

// message is a request or a probe from an owner to the minion.
type message struct {
	pool   *pool
	res    *reservation
	probe  probe
	epoch  namer.Epoch
	left   time.Duration
	guard  *guard
	sentAt int64
	// arrivesAt is when the message reaches the minion, givenUpAt when the minion
	// gives up on the request.
	arrivesAt time.Time
	givenUpAt time.Time
	// answerLost is set once the answer was lost.
	answerLost bool
}

// poolModel is a model of one minion and two entries that own it in turn. It makes
// random steps, but the minion follows the protocol and no message takes longer than
// testMaxDelivery.
type poolModel struct {
	t     *rapid.T
	clock *timekeeper.Fake
	pools [2]*pool
	// waiting, granted, inTransit and running are the requests by how far they
	// have come.
	waiting   map[*waiter]*pool
	granted   []*message
	inTransit []*message
	running   []*message
	// epoch is the highest epoch that the minion has seen. If fenced is set, the minion
	// refuses lower epochs and reports its number of older requests. Otherwise it
	// only reports the highest epoch.
	epoch  namer.Epoch
	fenced bool
	// owners is indexed by epoch. knownEpochs is the last epoch that each entry knows.
	owners      []int
	knownEpochs [2]int
	maxRunning  int
}

func newPoolModel(t *rapid.T, f faults) *poolModel {
	m := &poolModel{
		t:       t,
		clock:   timekeeper.NewFake(testStart),
		waiting: make(map[*waiter]*pool),
		fenced:  rapid.Bool().Draw(t, "fenced"),
		owners:  []int{-1},
	}
	for i := range m.pools {
		s := newSettings([]Option{Clock(m.clock), LeaseTiming(testLeaseTerm, testMaxDelivery)})
		s.faults = f
		m.pools[i] = newPool(s, testService, NewServiceConfig(MaxTimeout(testMaxTimeout)))
	}
	return m
}

// run makes random steps and returns errOverCapacity if ever too many requests ran.
func (m *poolModel) run() error {
	steps := map[string]func(){
		"enter":  m.enqueue,
		"write":  m.writeRequest,
		"finish": m.finishOne,
		"lose":   m.loseAnswer,
		"tick":   m.tick,
		"epoch":  m.newEpoch,
		"learn":  m.learnEpoch,
		"pass":   m.passTime,
	}
	names := []string{"enter", "enter", "enter", "write", "write", "write", "finish", "lose", "tick", "tick", "epoch", "learn", "learn", "pass", "pass"}
	for range rapid.IntRange(30, 120).Draw(m.t, "steps") {
		steps[rapid.SampledFrom(names).Draw(m.t, "step")]()
		m.collectGrants()
		if m.maxRunning > testSlots {
			return errOverCapacity
		}
	}
	return nil
}

func (m *poolModel) drawEntry() int { return rapid.IntRange(0, 1).Draw(m.t, "entry") }

// drawIndex draws the index of one of n things, of which there is at least one.
func (m *poolModel) drawIndex(n int) int { return rapid.IntRange(0, n-1).Draw(m.t, "which") }

func (m *poolModel) enqueue() {
	p := m.pools[m.drawEntry()]
	left := time.Duration(rapid.IntRange(100, 1000).Draw(m.t, "left")) * time.Millisecond
	q := &waiter{
		deadline: m.clock.Now().Add(left),
		granted:  make(chan grant, 1),
	}
	if p.enqueue(q) == nil {
		m.waiting[q] = p
	}
}

// collectGrants collects the grants of the waiting requests.
func (m *poolModel) collectGrants() {
	for q, p := range m.waiting {
		select {
		case g := <-q.granted:
			delete(m.waiting, q)
			if g.reservation == nil {
				continue
			}
			m.granted = append(m.granted, &message{
				pool:  p,
				res:   g.reservation,
				epoch: g.reservation.epoch,
				left:  max(0, q.deadline.Sub(m.clock.Now())),
				guard: &guard{
					settings:    p.settings,
					leaseExpiry: &g.reservation.minion.leaseExpiry,
					writeBy:     p.settings.sinceStart(g.reservation.reservedAt) + dialTimeout.Nanoseconds(),
				},
			})
		default:
		}
	}
}

func (m *poolModel) writeRequest() {
	if len(m.granted) == 0 {
		return
	}
	i := m.drawIndex(len(m.granted))
	s := m.granted[i]
	m.granted = append(m.granted[:i], m.granted[i+1:]...)
	if !s.guard.allowWrite(&guardedConn{}) {
		s.pool.settle(s.res, unsent{})
		return
	}
	m.send(s)
}

func (m *poolModel) send(s *message) {
	now := m.clock.Now()
	s.sentAt = s.pool.settings.sinceStart(now)
	delay := rapid.IntRange(0, int(testMaxDelivery/time.Millisecond)).Draw(m.t, "delay")
	s.arrivesAt = now.Add(time.Duration(delay) * time.Millisecond)
	m.inTransit = append(m.inTransit, s)
	m.advance(now)
}

// arrive handles a message that has reached the minion.
func (m *poolModel) arrive(s *message) {
	if s.epoch < m.epoch && m.fenced {
		m.answer(s, declined{
			reason: declinedFenced,
		})
		return
	}
	m.epoch = max(m.epoch, s.epoch)
	if s.res == nil {
		m.answer(s, m.newAnswered(s))
		return
	}
	s.givenUpAt = m.clock.Now().Add(s.left)
	m.running = append(m.running, s)
	m.maxRunning = max(m.maxRunning, len(m.running))
}

func (m *poolModel) answer(s *message, e ending) {
	switch {
	case s.res == nil:
		s.pool.settleProbe(s.probe, e)
	case !s.answerLost:
		s.pool.settle(s.res, e)
	}
}

func (m *poolModel) newAnswered(s *message) answered {
	older := -1
	if m.fenced {
		older = 0
		for _, other := range m.running {
			if other.epoch < m.epoch {
				older++
			}
		}
	}
	return answered{
		answer: NewAnswer(200, nil, nil),
		epoch:  m.epoch,
		sentAt: s.sentAt,
		older:  older,
	}
}

func (m *poolModel) finishOne() {
	if len(m.running) > 0 {
		m.endRequest(m.drawIndex(len(m.running)))
	}
}

func (m *poolModel) endRequest(i int) {
	s := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.answer(s, m.newAnswered(s))
}

// loseAnswer breaks the connection of a request that goes on running.
func (m *poolModel) loseAnswer() {
	if len(m.running) == 0 {
		return
	}
	s := m.running[m.drawIndex(len(m.running))]
	m.answer(s, lost{})
	s.answerLost = true
}

func (m *poolModel) tick() {
	p := m.pools[m.drawEntry()]
	p.tick()
	for _, pr := range p.takeDueProbes() {
		m.send(&message{
			pool:  p,
			probe: pr,
			epoch: pr.epoch,
		})
	}
}

func (m *poolModel) newEpoch() {
	m.owners = append(m.owners, m.drawEntry())
}

// learnEpoch lets an entry learn a later epoch, perhaps skipping some.
func (m *poolModel) learnEpoch() {
	i := m.drawEntry()
	if m.knownEpochs[i] == len(m.owners)-1 {
		return
	}
	m.knownEpochs[i] = rapid.IntRange(m.knownEpochs[i]+1, len(m.owners)-1).Draw(m.t, "epoch")
	var hosts []connector.Host
	if m.owners[m.knownEpochs[i]] == i {
		hosts = append(hosts, connector.Host{
			Name:  "minion",
			Slots: testSlots,
		})
	}
	m.pools[i].setHosts(hosts, namer.Epoch(m.knownEpochs[i]), nil)
}

func (m *poolModel) passTime() {
	d := rapid.SampledFrom([]int{1, 20, 100, 500, 2500}).Draw(m.t, "time")
	m.advance(m.clock.Now().Add(time.Duration(d) * time.Millisecond))
}

// advance moves the clock, and lets the events due by then happen in order.
func (m *poolModel) advance(to time.Time) {
	for {
		next, act := to, func() {}
		due := false
		for i, s := range m.inTransit {
			if !s.arrivesAt.After(next) {
				due = true
				next, act = s.arrivesAt, func() {
					m.inTransit = append(m.inTransit[:i], m.inTransit[i+1:]...)
					m.arrive(s)
				}
			}
		}
		for i, s := range m.running {
			if !s.givenUpAt.After(next) {
				due = true
				next, act = s.givenUpAt, func() { m.endRequest(i) }
			}
		}
		m.clock.Advance(next.Sub(m.clock.Now()))
		if !due {
			return
		}
		act()
	}
}

// TestNeverMoreThanTheSlots checks that a minion never runs more requests than it has
// slots, whichever entry owns it.
func TestNeverMoreThanTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newPoolModel(t, faults{}).run(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestPoolModelDetectsDeliberateFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault faults
	}{
		{
			name: "slot of a lost answer is freed",
			fault: faults{
				freeLostSlots: true,
			},
		},
		{
			name: "new owner does not wait",
			fault: faults{
				skipTakeoverWait: true,
			},
		},
		{
			name: "lease is not checked",
			fault: faults{
				ignoreLease: true,
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			search := rapid.Custom(func(t *rapid.T) error { return newPoolModel(t, test.fault).run() })
			for seed := range 20000 {
				if errors.Is(search.Example(seed), errOverCapacity) {
					t.Logf("found after %d tries", seed+1)
					return
				}
			}
			qt.New(t).Fatal("the model does not detect the fault")
		})
	}
}

// newOwnerPool returns a pool that owns one minion with the given number of slots in
// epoch 2. The minion has accepted the epoch and runs no older requests.
func newOwnerPool(clock timekeeper.Clock, slots int) *pool {
	p := newPool(newSettings([]Option{Clock(clock)}), testService, NewServiceConfig())
	p.setHosts([]connector.Host{testMinion(slots)}, 2, nil)
	for _, pr := range p.takeDueProbes() {
		p.settleProbe(pr, answered{
			epoch:  2,
			sentAt: p.settings.sinceStart(clock.Now()),
		})
	}
	return p
}

func testMinion(slots int) connector.Host {
	return connector.Host{
		Name:  "minion",
		Slots: slots,
	}
}

// reserveSlot returns the reservation of a request that is granted a slot at once.
func reserveSlot(c *qt.C, p *pool) *reservation {
	w := newTestWaiter(p)
	c.Assert(p.enqueue(w), qt.Equals, (*RefusedError)(nil))
	g := <-w.granted
	c.Assert(g.reservation, qt.IsNotNil)
	return g.reservation
}

func newTestWaiter(p *pool) *waiter {
	return &waiter{
		deadline: p.settings.clock.Now().Add(10 * time.Second),
		granted:  make(chan grant, 1),
	}
}

// TestCededMinionIsNotCounted guards against a regression: a minion that had seen a
// later epoch stayed among the owner's minions, and in the metrics, until the next
// host list.
func TestCededMinionIsNotCounted(t *testing.T) {
	for _, test := range []struct {
		name string
		cede func(p *pool, r *reservation)
	}{
		{
			name: "a request is fenced",
			cede: func(p *pool, r *reservation) {
				p.settle(r, declined{
					reason: declinedFenced,
				})
			},
		},
		{
			name: "an answer has a later epoch",
			cede: func(p *pool, r *reservation) {
				p.settle(r, answered{
					epoch: 3,
				})
			},
		},
		{
			name: "a probe is fenced",
			cede: func(p *pool, r *reservation) {
				p.settle(r, unused{})
				p.settleProbe(probe{
					minion: r.minion,
					epoch:  r.epoch,
				}, declined{
					reason: declinedFenced,
				})
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newOwnerPool(timekeeper.NewFake(testStart), testSlots)
			r := reserveSlot(c, p)
			other := reserveSlot(c, p)
			test.cede(p, r)
			views := p.endpointViews()
			c.Assert(views, qt.HasLen, 1)
			c.Check(views[0].State(), qt.Equals, "ceded")
			p.settle(other, unused{})
			c.Check(p.endpointViews(), qt.HasLen, 0)

			p = newOwnerPool(timekeeper.NewFake(testStart), testSlots)
			test.cede(p, reserveSlot(c, p))
			c.Check(p.endpointViews(), qt.HasLen, 0)
		})
	}
}

// TestStuckSlotsOfASmallerMinion guards against a regression: once a minion had got
// fewer slots than were stuck there, its expected capacity was below 0, and requests
// were queued without any capacity.
func TestStuckSlotsOfASmallerMinion(t *testing.T) {
	c := qt.New(t)
	p := newOwnerPool(timekeeper.NewFake(testStart), 8)
	for range 5 {
		p.abandon(reserveSlot(c, p), false)
	}
	p.setHosts([]connector.Host{testMinion(2)}, 2, nil)
	c.Check(p.expectedCapacity(testStart), qt.Equals, 0)
	refusal := p.enqueue(newTestWaiter(p))
	c.Assert(refusal, qt.Not(qt.Equals), (*RefusedError)(nil))
	c.Check(refusal.Reason, qt.Equals, ReasonNoMinion)
}
