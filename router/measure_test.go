package router

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/recorder"
)

var measure = flag.Bool("measure", false, "run the measurements of waiting times")

const (
	measureEntries  = 4
	measureMinions  = 12
	measureSlots    = measureMinions * defaultSlots
	measureService  = 50 * time.Millisecond
	measureFor      = 6 * time.Second
	measureDeadline = 2 * time.Second
	// measureHop is what a message between two entries takes.
	measureHop = 300 * time.Microsecond
)

var errSim = errors.New("failed")

// simMinion serves so many requests at once as it has slots, and keeps others
// waiting in their order.
type simMinion struct {
	slots chan struct{}
	// factor stretches the time of service; failing answers with a failure
	// after a tenth of it.
	factor  float64
	failing bool
}

func (m *simMinion) serve(ctx context.Context, nominal time.Duration) error {
	select {
	case m.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-m.slots }()
	takes := time.Duration(m.factor * float64(nominal))
	if m.failing {
		takes /= 10
	}
	select {
	case <-time.After(takes):
	case <-ctx.Done():
		return ctx.Err()
	}
	if m.failing {
		return errSim
	}
	return nil
}

// simCell is what is measured: entries in front of minions, in virtual time.
type simCell struct {
	minions []*simMinion
	mu      sync.Mutex
	// attempts counts what was sent to minions.
	attempts int
}

func (l *simCell) serve(ctx context.Context, m int, nominal time.Duration) error {
	l.mu.Lock()
	l.attempts++
	l.mu.Unlock()
	return l.minions[m].serve(ctx, nominal)
}

// system is a way to take requests to minions. stop ends it.
type system interface {
	do(ctx context.Context, entry int, nominal time.Duration) error
	stop()
}

// direct is a baseline: each entry chooses a minion by itself, without a limit,
// and tries a failed request again at once.
type direct struct {
	cell   *simCell
	choose func(entry int) int
	mu     sync.Mutex
	// out counts the requests under way, by entry and minion.
	out  [measureEntries][measureMinions]int
	turn [measureEntries]int
}

func (d *direct) stop() {}

func (d *direct) do(ctx context.Context, entry int, nominal time.Duration) error {
	var err error
	for range 3 {
		d.mu.Lock()
		m := d.choose(entry)
		d.out[entry][m]++
		d.mu.Unlock()
		err = d.cell.serve(ctx, m, nominal)
		d.mu.Lock()
		d.out[entry][m]--
		d.mu.Unlock()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func newDirect(l *simCell, kind string) system {
	d := &direct{
		cell: l,
	}
	switch kind {
	case "round robin":
		d.choose = func(entry int) int {
			d.turn[entry]++
			return d.turn[entry] % measureMinions
		}
	case "random":
		d.choose = func(int) int { return rand.IntN(measureMinions) }
	default:
		d.choose = func(entry int) int {
			best := rand.IntN(measureMinions)
			for m := range measureMinions {
				if d.out[entry][m] < d.out[entry][best] {
					best = m
				}
			}
			return best
		}
	}
	return d
}

// routers is the system of this package.
type routers struct {
	world  *pathWorld
	cancel context.CancelFunc
	group  errgroup.Group
}

// simCarrier takes the routers' attempts to the minions.
type simCarrier struct {
	pathCarrier
	cell *simCell
}

func (c *simCarrier) exchange(ctx context.Context, a attempt) ending {
	var m int
	// The addresses are made here.
	_, _ = fmt.Sscanf(a.address, "minion-%d", &m)
	nominal, _ := time.ParseDuration(string(a.body))
	err := c.cell.serve(ctx, m, nominal)
	status := http.StatusOK
	if err != nil {
		status = http.StatusInternalServerError
	}
	return answered{
		answer: NewAnswer(status, nil, nil),
		epoch:  a.epoch,
		sent:   c.settings.since(c.settings.clock.Now()),
	}
}

// slowCaller adds the time of a hop.
type slowCaller struct {
	*pathWorld
}

func (c slowCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	time.Sleep(measureHop)
	defer time.Sleep(measureHop)
	return c.pathWorld.Call(ctx, address, method, args, reply)
}

func newRouters(l *simCell, opts ...Option) system {
	w := newPathWorld(1)
	s := &routers{
		world: w,
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	m := recorder.Membership{
		Epoch: 1,
	}
	for i := range measureEntries {
		r := New(fmt.Sprintf("entry-%d", i), append([]Option{Peers(slowCaller{w})}, opts...)...)
		r.carrier = &simCarrier{
			pathCarrier: pathCarrier{
				world:    w,
				settings: r.settings,
			},
			cell: l,
		}
		w.routers = append(w.routers, r)
		m.Members = append(m.Members, recorder.Member{
			Name:  r.self,
			Peers: r.self,
		})
		s.group.Go(func() error { return r.Run(ctx) })
	}
	var hosts []connector.Host
	for i := range measureMinions {
		hosts = append(hosts, connector.Host{
			Name:    fmt.Sprintf("minion-%d", i),
			Kind:    connector.KindMinion,
			Address: fmt.Sprintf("minion-%d", i),
			Service: desk,
		})
	}
	for _, r := range w.routers {
		r.SetService(desk, NewServiceTerms())
		r.SetHosts(hosts)
		r.SetMembership(m)
	}
	return s
}

func (s *routers) stop() {
	s.cancel()
	_ = s.group.Wait()
}

func (s *routers) do(ctx context.Context, entry int, nominal time.Duration) error {
	deadline, _ := ctx.Deadline()
	q := NewRequest(desk, http.MethodGet, "/", Body([]byte(nominal.String())), Deadline(deadline))
	_, err := s.world.routers[entry].Do(ctx, q)
	return err
}

// load is one case of the measurement.
type load struct {
	share float64
	// skew is the share of the requests that come to the first entry.
	skew float64
	sick bool
}

// figures are what a case gave.
type figures struct {
	waits, refusals     *hdrhistogram.Histogram
	sent, done, refused int
	attempts            int
}

func (f *figures) String() string {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%8.1f | %8.1f | %5.1f%% | %5.1f%% | %6.2f | %5.3f",
		ms(f.waits, 50), ms(f.waits, 99), 100*float64(f.done)/float64(f.sent), 100*float64(f.refused)/float64(f.sent),
		ms(f.refusals, 99), float64(f.attempts)/float64(max(1, f.sent-f.refused)))
}

// run offers the load to a system, from one source of random numbers.
func (o load) run(t *testing.T, build func(*simCell) system) *figures {
	f := &figures{
		waits:    hdrhistogram.New(1, 60_000_000, 3),
		refusals: hdrhistogram.New(1, 60_000_000, 3),
	}
	synctest.Test(t, func(*testing.T) {
		l := &simCell{}
		for i := range measureMinions {
			m := &simMinion{
				slots:  make(chan struct{}, defaultSlots),
				factor: 1,
			}
			if o.sick && i == 3 {
				m.factor = 5
			}
			m.failing = o.sick && i == 7
			l.minions = append(l.minions, m)
		}
		s := build(l)
		time.Sleep(time.Second)
		o.offer(s, f)
		f.attempts = l.attempts
		s.stop()
		time.Sleep(time.Minute)
	})
	return f
}

func (o load) offer(s system, f *figures) {
	source := rand.New(rand.NewPCG(1, 2))
	rate := o.share * measureSlots / measureService.Seconds()
	var group errgroup.Group
	var mu sync.Mutex
	end := time.Now().Add(measureFor)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(source.ExpFloat64() / rate * float64(time.Second)))
		nominal := time.Duration(source.ExpFloat64() * float64(measureService))
		entry := source.IntN(measureEntries)
		if source.Float64() < o.skew {
			entry = 0
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), measureDeadline)
			defer cancel()
			began := time.Now()
			err := s.do(ctx, entry, nominal)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			f.sent++
			var refused *RefusedError
			switch {
			case err == nil:
				f.done++
				_ = f.waits.RecordValue((took - nominal).Microseconds())
			case errors.As(err, &refused):
				f.refused++
				_ = f.refusals.RecordValue(took.Microseconds())
			}
			return nil
		})
	}
	_ = group.Wait()
}

func TestMeasureWaiting(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure only")
	}
	systems := []struct {
		name  string
		build func(*simCell) system
	}{
		{"no limits, round robin", func(l *simCell) system { return newDirect(l, "round robin") }},
		{"no limits, random", func(l *simCell) system { return newDirect(l, "random") }},
		{"no limits, least loaded", func(l *simCell) system { return newDirect(l, "least loaded") }},
		{"slot shares, lent credits", newShares},
		{"owners, round robin", func(l *simCell) system { return newRouters(l, Choice(RoundRobin{})) }},
		{"owners, random", func(l *simCell) system { return newRouters(l, Choice(Random{})) }},
		{"owners, least loaded", func(l *simCell) system { return newRouters(l, Choice(LeastLoaded{})) }},
		{"owners, random pair", func(l *simCell) system { return newRouters(l, Choice(RandomPair{})) }},
		{"owners, expected time", func(l *simCell) system { return newRouters(l, Choice(ExpectedTime{})) }},
	}
	cases := []struct {
		name string
		load load
	}{
		{"even", load{}},
		{"skewed", load{
			skew: 0.7,
		}},
		{"one slow, one failing", load{
			sick: true,
		}},
	}
	for _, c := range cases {
		for _, share := range []float64{0.5, 0.8, 0.95, 1.5} {
			for _, s := range systems {
				o := c.load
				o.share = share
				fmt.Printf("| %s | %.0f%% | %s | %s |\n", c.name, 100*share, s.name, o.run(t, s.build))
			}
		}
	}
}
