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
	measureEntries     = 4
	measureMinions     = 12
	measureSlots       = measureMinions * defaultSlots
	measureServiceTime = 50 * time.Millisecond
	measureDuration    = 6 * time.Second
	measureDeadline    = 2 * time.Second
	// measureMessageDelay is the time that a message between two entries takes.
	measureMessageDelay = 300 * time.Microsecond
)

var errMinionFailed = errors.New("failed")

// measuredMinion runs at most as many requests at once as it has slots. Further
// requests wait in their order of arrival.
type measuredMinion struct {
	slots chan struct{}
	// factor multiplies the service time. A failing minion fails each request after
	// a tenth of it.
	factor  float64
	failing bool
}

func (m *measuredMinion) serve(ctx context.Context, nominal time.Duration) error {
	select {
	case m.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-m.slots }()
	serviceTime := time.Duration(m.factor * float64(nominal))
	if m.failing {
		serviceTime /= 10
	}
	select {
	case <-time.After(serviceTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	if m.failing {
		return errMinionFailed
	}
	return nil
}

// measuredCluster is the set of minions behind the measured system, in virtual time.
type measuredCluster struct {
	minions []*measuredMinion
	mu      sync.Mutex
	// attempts counts the requests sent to minions.
	attempts int
}

func (l *measuredCluster) serve(ctx context.Context, m int, nominal time.Duration) error {
	l.mu.Lock()
	l.attempts++
	l.mu.Unlock()
	return l.minions[m].serve(ctx, nominal)
}

// system is a way to send requests to minions. do sends one request, whose service
// time at a healthy minion is nominal. stop ends the system.
type system interface {
	do(ctx context.Context, entry int, nominal time.Duration) error
	stop()
}

// direct is a baseline: each entry chooses a minion by itself, does not limit the
// requests sent to it, and retries a failed request at once.
type direct struct {
	cluster *measuredCluster
	choose  func(entry int) int
	mu      sync.Mutex
	// inFlight counts the requests in flight, by entry and minion.
	inFlight [measureEntries][measureMinions]int
	choices  [measureEntries]int
}

func (d *direct) stop() {}

func (d *direct) do(ctx context.Context, entry int, nominal time.Duration) error {
	var err error
	for range 3 {
		d.mu.Lock()
		m := d.choose(entry)
		d.inFlight[entry][m]++
		d.mu.Unlock()
		err = d.cluster.serve(ctx, m, nominal)
		d.mu.Lock()
		d.inFlight[entry][m]--
		d.mu.Unlock()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func newDirect(l *measuredCluster, kind string) system {
	d := &direct{
		cluster: l,
	}
	switch kind {
	case "round robin":
		d.choose = func(entry int) int {
			d.choices[entry]++
			return d.choices[entry] % measureMinions
		}
	case "random":
		d.choose = func(int) int { return rand.IntN(measureMinions) }
	default:
		d.choose = func(entry int) int {
			best := rand.IntN(measureMinions)
			for m := range measureMinions {
				if d.inFlight[entry][m] < d.inFlight[entry][best] {
					best = m
				}
			}
			return best
		}
	}
	return d
}

// routers is the system implemented by this package.
type routers struct {
	sim    *entrySim
	cancel context.CancelFunc
	group  errgroup.Group
}

// measuredCarrier sends the routers' attempts to the measured minions.
type measuredCarrier struct {
	simCarrier
	cluster *measuredCluster
}

func (c *measuredCarrier) exchange(ctx context.Context, a attempt) ending {
	var m int
	// The addresses are made by newRouters, so they parse.
	_, _ = fmt.Sscanf(a.address, "minion-%d", &m)
	nominal, _ := time.ParseDuration(string(a.body))
	err := c.cluster.serve(ctx, m, nominal)
	status := http.StatusOK
	if err != nil {
		status = http.StatusInternalServerError
	}
	return answered{
		answer: NewAnswer(status, nil, nil),
		epoch:  a.epoch,
		sentAt: c.settings.sinceStart(c.settings.clock.Now()),
	}
}

// slowCaller adds the duration of a message before and after each call.
type slowCaller struct {
	*entrySim
}

func (c slowCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	time.Sleep(measureMessageDelay)
	defer time.Sleep(measureMessageDelay)
	return c.entrySim.Call(ctx, address, method, args, reply)
}

func newRouters(l *measuredCluster, opts ...Option) system {
	simulation := newEntrySim(1)
	s := &routers{
		sim: simulation,
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	m := recorder.Membership{
		Epoch: 1,
	}
	for i := range measureEntries {
		r := New(fmt.Sprintf("entry-%d", i), append([]Option{Peers(slowCaller{simulation})}, opts...)...)
		r.carrier = &measuredCarrier{
			simCarrier: simCarrier{
				sim:      simulation,
				settings: r.settings,
			},
			cluster: l,
		}
		simulation.routers = append(simulation.routers, r)
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
			Service: testService,
		})
	}
	for _, r := range simulation.routers {
		r.SetService(testService, NewServiceConfig())
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
	q := NewRequest(testService, http.MethodGet, "/", Body([]byte(nominal.String())), Deadline(deadline))
	_, err := s.sim.routers[entry].Do(ctx, q)
	return err
}

// load is one case of the measurement.
type load struct {
	// share is the rate of the requests, as a fraction of the rate that all slots
	// together can serve.
	share float64
	// skew is the share of the requests that is sent to the first entry. Each of the
	// others goes to a random entry.
	skew float64
	// degraded makes one minion slow and lets another one fail.
	degraded bool
}

// figures holds the results of a case.
type figures struct {
	// waits holds how much longer than the nominal service time the done requests
	// took, refusals how long the refused ones took, both in microseconds.
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

// run applies the load to a system. All cases use the same random seed.
func (o load) run(t *testing.T, build func(*measuredCluster) system) *figures {
	f := &figures{
		waits:    hdrhistogram.New(1, 60_000_000, 3),
		refusals: hdrhistogram.New(1, 60_000_000, 3),
	}
	synctest.Test(t, func(*testing.T) {
		l := &measuredCluster{}
		for i := range measureMinions {
			m := &measuredMinion{
				slots:  make(chan struct{}, defaultSlots),
				factor: 1,
			}
			if o.degraded && i == 3 {
				m.factor = 5
			}
			m.failing = o.degraded && i == 7
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

// offer sends requests to the system for measureDuration and records the results in
// f.
func (o load) offer(s system, f *figures) {
	source := rand.New(rand.NewPCG(1, 2))
	rate := o.share * measureSlots / measureServiceTime.Seconds()
	var group errgroup.Group
	var mu sync.Mutex
	end := time.Now().Add(measureDuration)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(source.ExpFloat64() / rate * float64(time.Second)))
		nominal := time.Duration(source.ExpFloat64() * float64(measureServiceTime))
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
		build func(*measuredCluster) system
	}{
		{"no limits, round robin", func(l *measuredCluster) system { return newDirect(l, "round robin") }},
		{"no limits, random", func(l *measuredCluster) system { return newDirect(l, "random") }},
		{"no limits, least loaded", func(l *measuredCluster) system { return newDirect(l, "least loaded") }},
		{"slot shares, lent credits", newSlotShares},
		{"owners, round robin", func(l *measuredCluster) system { return newRouters(l, Choice(RoundRobin{})) }},
		{"owners, random", func(l *measuredCluster) system { return newRouters(l, Choice(Random{})) }},
		{"owners, least loaded", func(l *measuredCluster) system { return newRouters(l, Choice(LeastLoaded{})) }},
		{"owners, random pair", func(l *measuredCluster) system { return newRouters(l, Choice(RandomPair{})) }},
		{"owners, expected time", func(l *measuredCluster) system { return newRouters(l, Choice(ExpectedTime{})) }},
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
			degraded: true,
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
