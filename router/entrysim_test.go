package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
)

const (
	simEntries = 3
	simMinions = 6
)

// Violations that runFaultSim returns.
var (
	errRanTwice         = errors.New("a request that is not idempotent ran twice")
	errRanThoughRefused = errors.New("a request that was reported as refused ran")
	errLate             = errors.New("an answer came after the deadline")
	errWrongAnswer      = errors.New("an answer to another request")
	errAmplified        = errors.New("too many attempts")
)

// entrySim runs entries and simulated minions in one process, in virtual time. All
// faults are drawn from one source of random numbers.
type entrySim struct {
	routers []*Router

	mu   sync.Mutex
	rand *rand.Rand
	// faultShare scales the probabilities of all faults.
	faultShare float64
	// frozen holds the entries that do not answer calls.
	frozen map[string]bool
	// epochs holds the highest epoch that each minion has seen.
	epochs map[string]namer.Epoch
	// runs counts the runs of each request. busy counts the requests now at each
	// minion, by epoch.
	runs      map[string]int
	busy      map[string]map[namer.Epoch]int
	attempts  int
	requests  int
	violation error
}

func newEntrySim(seed uint64) *entrySim {
	return &entrySim{
		rand:   rand.New(rand.NewPCG(seed, 1)),
		frozen: make(map[string]bool),
		epochs: make(map[string]namer.Epoch),
		runs:   make(map[string]int),
		busy:   make(map[string]map[namer.Epoch]int),
	}
}

func (s *entrySim) chance(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64() < share
}

func (s *entrySim) randomUpTo(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rand.Int64N(int64(d)))
}

func (s *entrySim) recordViolation(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violation == nil {
		s.violation = err
	}
}

// Call implements Caller.
func (s *entrySim) Call(ctx context.Context, address, method string, args, reply any) error {
	s.mu.Lock()
	frozen := s.frozen[address]
	s.mu.Unlock()
	if s.chance(s.faultShare / 4) {
		return errors.WithStack(messenger.ErrUnreachable)
	}
	if frozen {
		<-ctx.Done()
		return errors.WithStack(messenger.ErrUnknown)
	}
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		return s.receive(address, method, args, reply)
	})
	select {
	case <-done:
		return group.Wait()
	case <-ctx.Done():
		return errors.WithStack(messenger.ErrUnknown)
	}
}

func (s *entrySim) receive(address, method string, args, reply any) error {
	for _, r := range s.routers {
		if r.self != address {
			continue
		}
		v := &Receiver{
			router: r,
		}
		switch method {
		case methodForward:
			return v.Forward(args.(ForwardArgs), reply.(*ForwardReply))
		case methodCancel:
			return v.Cancel(args.(CancelArgs), reply.(*Empty))
		default:
			return v.State(args.(Empty), reply.(*StateReply))
		}
	}
	return errors.WithStack(messenger.ErrUnreachable)
}

// simCarrier is a router's carrier to the simulated minions.
type simCarrier struct {
	sim      *entrySim
	settings *settings
}

func (c *simCarrier) probe(_ context.Context, a attempt) ending {
	s := c.sim
	if s.chance(s.faultShare / 2) {
		return unsent{
			unreachable: true,
		}
	}
	return c.accept(a, nil)
}

// accept checks the epoch as a minion does, and counts a request as running.
func (c *simCarrier) accept(a attempt, body []byte) ending {
	s := c.sim
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.epoch < s.epochs[a.address] {
		return declined{
			reason: declinedFenced,
		}
	}
	s.epochs[a.address] = a.epoch
	if s.busy[a.address] == nil {
		s.busy[a.address] = make(map[namer.Epoch]int)
	}
	if body != nil {
		s.busy[a.address][a.epoch]++
		s.runs[string(body)]++
	}
	all, older := 0, 0
	for epoch, n := range s.busy[a.address] {
		all += n
		if epoch < a.epoch {
			older += n
		}
	}
	if all > defaultSlots && s.violation == nil {
		s.violation = errOverCapacity
	}
	return answered{
		answer: NewAnswer(http.StatusOK, nil, body),
		epoch:  a.epoch,
		sentAt: c.settings.sinceStart(c.settings.clock.Now()),
		older:  older,
	}
}

func (c *simCarrier) exchange(ctx context.Context, a attempt) ending {
	s := c.sim
	s.mu.Lock()
	s.attempts++
	s.mu.Unlock()
	g := &guard{
		settings:    c.settings,
		leaseExpiry: a.leaseExpiry,
		writeBy:     a.writeBy,
	}
	switch {
	case s.chance(s.faultShare / 2):
		return unsent{
			unreachable: s.chance(0.5),
		}
	case s.chance(s.faultShare / 20):
		return declined{
			reason: declinedLeaving,
		}
	case s.chance(s.faultShare / 4):
		return declined{
			reason: declinedFull,
		}
	case !g.allowWrite(&guardedConn{}):
		return unsent{}
	}
	e := c.accept(a, a.body)
	if _, ok := e.(answered); !ok {
		return e
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy[a.address][a.epoch]--
	}()
	serviceTime := s.randomUpTo(100 * time.Millisecond)
	if s.chance(s.faultShare / 4) {
		serviceTime = time.Hour
	}
	select {
	case <-time.After(min(serviceTime, a.left)):
	case <-ctx.Done():
	}
	if serviceTime > a.left || s.chance(s.faultShare/2) {
		return g.ending(errStalled)
	}
	if s.chance(s.faultShare / 2) {
		return answered{
			answer: NewAnswer(http.StatusInternalServerError, nil, nil),
		}
	}
	return e
}

func (c *simCarrier) cancel(context.Context, attempt) {}
func (c *simCarrier) removeMinion(string)             {}
func (c *simCarrier) close()                          {}

// Claim implements Claimer. It never refuses an identity: every one is claimed once.
func (s *entrySim) Claim(context.Context, string) (Verdict, error) {
	if s.chance(s.faultShare / 4) {
		return Verdict{}, ErrNotClaimed
	}
	return Verdict{
		Won: true,
	}, nil
}

// End implements Claimer.
func (s *entrySim) End(string, recorder.Outcome) {}

// runFaultSim sends requests through three entries while attempts, calls and
// entries fail, and returns the first violation.
func runFaultSim(t *testing.T, seed uint64, f faults) error {
	var violation error
	synctest.Test(t, func(t *testing.T) {
		s := newEntrySim(seed)
		s.faultShare = s.rand.Float64() * 0.3
		ctx, cancel := context.WithCancel(context.Background())
		var running errgroup.Group
		for i := range simEntries {
			r := New(fmt.Sprintf("entry-%d", i), Peers(s), Claims(s))
			r.settings.faults = f
			r.carrier = &simCarrier{
				sim:      s,
				settings: r.settings,
			}
			s.routers = append(s.routers, r)
			running.Go(func() error { return r.Run(ctx) })
		}
		s.configure(1, simEntries)
		time.Sleep(time.Second)
		s.generateLoad()
		s.checkAtEnd()
		cancel()
		s.recordViolation(running.Wait())
		violation = s.violation
	})
	return violation
}

// configure makes the first entries, as many as members, the members of an epoch.
func (s *entrySim) configure(epoch namer.Epoch, members int) {
	m := recorder.Membership{
		Epoch: epoch,
	}
	for _, r := range s.routers[:members] {
		m.Members = append(m.Members, recorder.Member{
			Name:  r.self,
			Peers: r.self,
		})
	}
	var hosts []connector.Host
	for i := range simMinions {
		hosts = append(hosts, connector.Host{
			Name:    fmt.Sprintf("minion-%d", i),
			Kind:    connector.KindMinion,
			Address: fmt.Sprintf("minion-%d", i),
			Service: testService,
		})
	}
	for _, r := range s.routers {
		r.SetService(testService, NewServiceConfig(AttemptTimeout(300*time.Millisecond)))
		r.SetHosts(hosts)
		r.SetMembership(m)
	}
}

// generateLoad sends 600 requests. Meanwhile it freezes an entry, removes it from the
// membership, and adds it again.
func (s *entrySim) generateLoad() {
	var group errgroup.Group
	for i := range 600 {
		time.Sleep(s.randomUpTo(5 * time.Millisecond))
		switch i {
		case 200:
			s.freeze("entry-2", true)
		case 300:
			s.configure(2, simEntries-1)
		case 400:
			s.freeze("entry-2", false)
			s.configure(3, simEntries)
		}
		group.Go(func() error {
			s.doRequest(i)
			return nil
		})
	}
	_ = group.Wait()
}

func (s *entrySim) freeze(entry string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen[entry] = on
}

// doRequest sends one request and checks how it ended.
func (s *entrySim) doRequest(i int) {
	body := fmt.Sprint("request ", i)
	idempotent := s.chance(0.5)
	deadline := time.Now().Add(100*time.Millisecond + s.randomUpTo(2*time.Second))
	q := NewRequest(testService, http.MethodPost, "/", Body([]byte(body)), Idempotent(idempotent), Identity(body), Deadline(deadline))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.chance(0.1) {
		timer := time.AfterFunc(s.randomUpTo(200*time.Millisecond), cancel)
		defer timer.Stop()
	}
	s.mu.Lock()
	r := s.routers[s.rand.IntN(len(s.routers))]
	s.requests++
	s.mu.Unlock()
	answer, err := r.Do(ctx, q)
	if time.Now().After(deadline) {
		s.recordViolation(errLate)
	}
	s.mu.Lock()
	runs := s.runs[body]
	s.mu.Unlock()
	var refused *RefusedError
	switch {
	case err == nil && string(answer.Body()) != body:
		s.recordViolation(errWrongAnswer)
	case !idempotent && runs > 1:
		s.recordViolation(errRanTwice)
	case errors.As(err, &refused) && runs > 0:
		s.recordViolation(errRanThoughRefused)
	}
}

// checkAtEnd checks, after all requests have ended, that the attempts stayed within
// the retry budget and that no slot is still reserved.
func (s *entrySim) checkAtEnd() {
	time.Sleep(time.Minute)
	s.mu.Lock()
	attempts, requests := s.attempts, s.requests
	s.mu.Unlock()
	if float64(attempts) > 1.1*float64(requests)+maxRetryTokens*simEntries {
		s.recordViolation(errAmplified)
	}
	for _, r := range s.routers {
		for _, e := range r.Endpoints() {
			if e.Reserved() > 0 {
				s.recordViolation(errors.Newf("%d slots of %s stay reserved", e.Reserved(), e.Name()))
			}
		}
	}
}

// TestRequestsUnderFaults checks that runFaultSim finds no violation without a
// deliberate fault in the router.
func TestRequestsUnderFaults(t *testing.T) {
	// Each case is a whole simulation, so fewer are run than in other property tests.
	cases := 40
	if testing.Short() {
		cases = 15
	}
	rapid.Check(t, func(rt *rapid.T) {
		cases--
		if cases < 0 {
			return
		}
		if err := runFaultSim(t, rapid.Uint64().Draw(rt, "seed"), faults{}); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestFaultSimDetectsDeliberateFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault faults
		want  []error
	}{
		{
			name: "every request is retried",
			fault: faults{
				retryAll: true,
			},
			want: []error{errRanTwice, errAmplified},
		},
		{
			name: "sent is reported as unsent",
			fault: faults{
				reportSentAsUnsent: true,
			},
			want: []error{errRanThoughRefused, errRanTwice},
		},
		{
			name: "peers may be late",
			fault: faults{
				waitPastDeadline: true,
			},
			want: []error{errLate},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(50) {
				err := runFaultSim(t, seed, test.fault)
				if err == nil {
					continue
				}
				for _, want := range test.want {
					if errors.Is(err, want) {
						t.Logf("found after %d tries: %s", seed+1, err)
						return
					}
				}
				c.Fatal(err)
			}
			c.Fatal("the simulation does not detect the fault")
		})
	}
}
