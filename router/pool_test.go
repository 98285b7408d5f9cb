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
	testTerm     = 400 * time.Millisecond
	testDelivery = 100 * time.Millisecond
	testLongest  = time.Second
	testSlots    = 2
)

var (
	testStart = time.Unix(1_800_000_000, 0)
	// errCrowded is what the property finds under a fault.
	errCrowded = errors.New("more requests at a minion than it has slots")
)

// sending is a request or a probe between an owner and the minion.
type sending struct {
	pool  *pool
	res   *reservation
	probe probe
	epoch namer.Epoch
	left  time.Duration
	guard *guard
	sent  int64
	// arrives is when it reaches the minion, ends when the minion has given it
	// up.
	arrives time.Time
	ends    time.Time
	// broken is set once its answer was lost.
	broken bool
}

// world is one minion and two entries that own it in turn. A step is random;
// what the minion promises, and the bound of the delivery, are kept.
type world struct {
	t     *rapid.T
	clock *timekeeper.Fake
	pools [2]*pool
	// waiting, granted, flying and running are the requests by how far they
	// have come.
	waiting map[*waiter]*pool
	granted []*sending
	flying  []*sending
	running []*sending
	// epoch is the highest that the minion saw. If fenced it refuses lower
	// ones and counts them; otherwise it only says what it saw.
	epoch  namer.Epoch
	fenced bool
	// owners are by epoch; learnt is the last epoch that each entry knows.
	owners []int
	learnt [2]int
	worst  int
}

func newWorld(t *rapid.T, f faults) *world {
	w := &world{
		t:       t,
		clock:   timekeeper.NewFake(testStart),
		waiting: make(map[*waiter]*pool),
		fenced:  rapid.Bool().Draw(t, "fenced"),
		owners:  []int{-1},
	}
	for i := range w.pools {
		s := newSettings([]Option{Clock(w.clock), Terms(testTerm, testDelivery)})
		s.faults = f
		w.pools[i] = newPool(s, desk, NewServiceTerms(LongestDeadline(testLongest)))
	}
	return w
}

// run makes random steps and returns errCrowded if ever too many requests ran.
func (w *world) run() error {
	steps := map[string]func(){
		"enter":  w.enter,
		"write":  w.write,
		"finish": w.finish,
		"lose":   w.lose,
		"tick":   w.tick,
		"epoch":  w.newEpoch,
		"learn":  w.learn,
		"pass":   w.pass,
	}
	names := []string{"enter", "enter", "enter", "write", "write", "write", "finish", "lose", "tick", "tick", "epoch", "learn", "learn", "pass", "pass"}
	for range rapid.IntRange(30, 120).Draw(w.t, "steps") {
		steps[rapid.SampledFrom(names).Draw(w.t, "step")]()
		w.collect()
		if w.worst > testSlots {
			return errCrowded
		}
	}
	return nil
}

func (w *world) entry() int { return rapid.IntRange(0, 1).Draw(w.t, "entry") }

// index draws the index of one of n things, of which there is at least one.
func (w *world) index(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "which") }

func (w *world) enter() {
	p := w.pools[w.entry()]
	left := time.Duration(rapid.IntRange(100, 1000).Draw(w.t, "left")) * time.Millisecond
	q := &waiter{
		deadline: w.clock.Now().Add(left),
		granted:  make(chan grant, 1),
	}
	if p.enter(q) == nil {
		w.waiting[q] = p
	}
}

// collect takes the grants.
func (w *world) collect() {
	for q, p := range w.waiting {
		select {
		case g := <-q.granted:
			delete(w.waiting, q)
			if g.reservation == nil {
				continue
			}
			w.granted = append(w.granted, &sending{
				pool:  p,
				res:   g.reservation,
				epoch: g.reservation.epoch,
				left:  max(0, q.deadline.Sub(w.clock.Now())),
				guard: &guard{
					settings: p.settings,
					lease:    &g.reservation.minion.lease,
					writeBy:  p.settings.since(g.reservation.made) + dialTimeout.Nanoseconds(),
				},
			})
		default:
		}
	}
}

func (w *world) write() {
	if len(w.granted) == 0 {
		return
	}
	i := w.index(len(w.granted))
	s := w.granted[i]
	w.granted = append(w.granted[:i], w.granted[i+1:]...)
	if !s.guard.allow(&guardedConn{}) {
		s.pool.settle(s.res, unsent{})
		return
	}
	w.send(s)
}

func (w *world) send(s *sending) {
	now := w.clock.Now()
	s.sent = s.pool.settings.since(now)
	delay := rapid.IntRange(0, int(testDelivery/time.Millisecond)).Draw(w.t, "delay")
	s.arrives = now.Add(time.Duration(delay) * time.Millisecond)
	w.flying = append(w.flying, s)
	w.advance(now)
}

// arrive has the minion read what reached it.
func (w *world) arrive(s *sending) {
	if s.epoch < w.epoch && w.fenced {
		w.answer(s, declined{
			why: declinedFenced,
		})
		return
	}
	w.epoch = max(w.epoch, s.epoch)
	if s.res == nil {
		w.answer(s, w.answered(s))
		return
	}
	s.ends = w.clock.Now().Add(s.left)
	w.running = append(w.running, s)
	w.worst = max(w.worst, len(w.running))
}

func (w *world) answer(s *sending, e ending) {
	switch {
	case s.res == nil:
		s.pool.probed(s.probe, e)
	case !s.broken:
		s.pool.settle(s.res, e)
	}
}

func (w *world) answered(s *sending) answered {
	older := -1
	if w.fenced {
		older = 0
		for _, other := range w.running {
			if other.epoch < w.epoch {
				older++
			}
		}
	}
	return answered{
		answer: NewAnswer(200, nil, nil),
		epoch:  w.epoch,
		sent:   s.sent,
		older:  older,
	}
}

func (w *world) finish() {
	if len(w.running) > 0 {
		w.end(w.index(len(w.running)))
	}
}

func (w *world) end(i int) {
	s := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	w.answer(s, w.answered(s))
}

// lose breaks the connection of a request that runs on.
func (w *world) lose() {
	if len(w.running) == 0 {
		return
	}
	s := w.running[w.index(len(w.running))]
	w.answer(s, lost{})
	s.broken = true
}

func (w *world) tick() {
	p := w.pools[w.entry()]
	p.tick()
	for _, pr := range p.probes() {
		w.send(&sending{
			pool:  p,
			probe: pr,
			epoch: pr.epoch,
		})
	}
}

func (w *world) newEpoch() {
	w.owners = append(w.owners, w.entry())
}

// learn lets an entry read a later epoch, and perhaps pass over some.
func (w *world) learn() {
	i := w.entry()
	if w.learnt[i] == len(w.owners)-1 {
		return
	}
	w.learnt[i] = rapid.IntRange(w.learnt[i]+1, len(w.owners)-1).Draw(w.t, "epoch")
	var hosts []connector.Host
	if w.owners[w.learnt[i]] == i {
		hosts = append(hosts, connector.Host{
			Name:  "minion",
			Slots: testSlots,
		})
	}
	w.pools[i].setHosts(hosts, namer.Epoch(w.learnt[i]), nil)
}

func (w *world) pass() {
	d := rapid.SampledFrom([]int{1, 20, 100, 500, 2500}).Draw(w.t, "time")
	w.advance(w.clock.Now().Add(time.Duration(d) * time.Millisecond))
}

// advance moves the clock, and lets happen what is due by then, in order.
func (w *world) advance(to time.Time) {
	for {
		next, act := to, func() {}
		due := false
		for i, s := range w.flying {
			if !s.arrives.After(next) {
				due = true
				next, act = s.arrives, func() {
					w.flying = append(w.flying[:i], w.flying[i+1:]...)
					w.arrive(s)
				}
			}
		}
		for i, s := range w.running {
			if !s.ends.After(next) {
				due = true
				next, act = s.ends, func() { w.end(i) }
			}
		}
		w.clock.Advance(next.Sub(w.clock.Now()))
		if !due {
			return
		}
		act()
	}
}

func TestNeverMoreThanTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newWorld(t, faults{}).run(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestPropertyFindsCrowdedMinions(t *testing.T) {
	tests := []struct {
		name  string
		fault faults
	}{
		{
			name: "slot of a lost answer is freed",
			fault: faults{
				freeLost: true,
			},
		},
		{
			name: "new owner does not wait",
			fault: faults{
				skipRest: true,
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
			search := rapid.Custom(func(t *rapid.T) error { return newWorld(t, test.fault).run() })
			for seed := range 20000 {
				if errors.Is(search.Example(seed), errCrowded) {
					t.Logf("found after %d tries", seed+1)
					return
				}
			}
			qt.New(t).Fatal("the property does not find the fault")
		})
	}
}
