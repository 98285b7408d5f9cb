package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/timekeeper"
)

const testService = "field-desk"

// testCluster is a set of entries and minions that communicate over loopback.
type testCluster struct {
	routers []*Router
	servers []*http.Server
	// urls are the entries' HTTP addresses for callers.
	urls    []string
	minions []*emulator.Minion
	hosts   []connector.Host
	client  *http.Client
	group   errgroup.Group
	cancel  context.CancelFunc
}

// newTestCluster starts entries and minions, and waits until every minion is open.
func newTestCluster(t testing.TB, entries, minions int, serviceTime time.Duration, opts ...Option) *testCluster {
	return newTestClusterOn(t, timekeeper.System(), entries, minions, serviceTime, opts...)
}

// newTestClusterOn is like newTestCluster, with the given clock for entries and
// minions.
func newTestClusterOn(t testing.TB, clock timekeeper.Clock, entries, minions int, serviceTime time.Duration, opts ...Option) *testCluster {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	l := &testCluster{
		cancel: cancel,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1000,
			},
		},
	}
	for i := range minions {
		l.addMinion(ctx, c, i, emulator.ServiceTime(serviceTime), emulator.Clock(clock))
	}
	m := recorder.Membership{
		Epoch: 1,
	}
	for i := range entries {
		m.Members = append(m.Members, l.addEntry(ctx, c, i, append([]Option{Clock(clock)}, opts...)))
	}
	for _, r := range l.routers {
		r.SetService(testService, NewServiceConfig())
		r.SetHosts(l.hosts)
		r.SetMembership(m)
	}
	t.Cleanup(func() { l.close(c) })
	l.awaitOpen(t, minions)
	return l
}

func (l *testCluster) close(c *qt.C) {
	l.cancel()
	for _, s := range l.servers {
		c.Check(s.Close(), qt.IsNil)
	}
	c.Check(l.group.Wait(), qt.IsNil)
	l.client.CloseIdleConnections()
}

func (l *testCluster) addMinion(ctx context.Context, c *qt.C, i int, opts ...emulator.Option) {
	listener := listen(c)
	h := connector.Host{
		Name:    fmt.Sprintf("minion-%d", i),
		Kind:    connector.KindMinion,
		State:   connector.HostLive,
		Address: listener.Addr().String(),
		Service: testService,
	}
	m := emulator.NewMinion(h, opts...)
	l.minions = append(l.minions, m)
	l.hosts = append(l.hosts, h)
	l.group.Go(func() error { return m.Serve(ctx, listener) })
}

func (l *testCluster) addEntry(ctx context.Context, c *qt.C, i int, opts []Option) recorder.Member {
	name := fmt.Sprintf("entry-%d", i)
	pool := messenger.NewPool()
	r := New(name, append([]Option{Peers(pool)}, opts...)...)
	server := messenger.NewServer()
	c.Assert(server.Register("Routing", r.Receiver()), qt.IsNil)
	peers := listen(c)
	callers := listen(c)
	callerServer := &http.Server{
		Handler: NewHandler(r),
	}
	l.group.Go(func() error { return server.Serve(ctx, peers) })
	l.group.Go(func() error {
		defer pool.Close()
		return r.Run(ctx)
	})
	l.group.Go(func() error {
		// Serve always returns an error, here that of Close.
		_ = callerServer.Serve(callers)
		return nil
	})
	l.routers = append(l.routers, r)
	l.servers = append(l.servers, callerServer)
	l.urls = append(l.urls, "http://"+callers.Addr().String())
	return recorder.Member{
		Name:  name,
		Peers: peers.Addr().String(),
	}
}

// awaitOpen waits until n minions are open at their owners.
func (l *testCluster) awaitOpen(t testing.TB, n int) {
	for l.openCount() < n {
		if t.Context().Err() != nil {
			t.Fatal("the minions did not open")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *testCluster) openCount() int {
	openCount := 0
	for _, r := range l.routers {
		for _, e := range r.Endpoints() {
			if e.State() == "open" && e.OlderRequests() == 0 {
				openCount++
			}
		}
	}
	return openCount
}

func listen(c *qt.C) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return listener
}
