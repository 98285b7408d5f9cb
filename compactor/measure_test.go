package compactor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/appender"
	"github.com/galenacove/galenacove/compactor"
	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/follower"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/timekeeper"
	"github.com/galenacove/galenacove/watcher"
)

// byteCountingConn adds the number of bytes that it reads and writes to a counter.
type byteCountingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c byteCountingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c byteCountingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// byteCountingListener counts the bytes of the connections that it accepts.
type byteCountingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l byteCountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return byteCountingConn{
		Conn:  conn,
		bytes: l.bytes,
	}, err
}

// testbed is an emulated platform on loopback, and entries that replicate their
// state through it.
type testbed struct {
	b        *testing.B
	platform *emulator.Platform
	address  string
	// logBytes counts the bytes of the connections to the platform, peerBytes
	// those between the entries, each in both directions.
	logBytes  atomic.Int64
	peerBytes atomic.Int64
	ctx       context.Context
	group     *errgroup.Group
	entries   []*entry
}

// entry consists of the components of an entry process that replicate the state.
type entry struct {
	state    *replayer.State
	follower *follower.Follower
	appender *appender.Appender
	watcher  *watcher.Watcher
	// stopServer stops the whole entry, stopLoops all of it but its server.
	stopServer context.CancelFunc
	stopLoops  context.CancelFunc
	// paused makes the entry hold heartbeat calls unanswered while it is set.
	paused atomic.Bool
}

func newTestbed(b *testing.B) *testbed {
	r := &testbed{
		b:        b,
		platform: emulator.NewPlatform(),
	}
	server := httptest.NewUnstartedServer(r.platform.Handler())
	server.Listener = byteCountingListener{
		Listener: server.Listener,
		bytes:    &r.logBytes,
	}
	server.Start()
	r.address = server.URL
	ctx, cancel := context.WithCancel(context.Background())
	r.ctx = ctx
	r.group = &errgroup.Group{}
	b.Cleanup(func() {
		cancel()
		_ = r.group.Wait()
		server.CloseClientConnections()
		server.Close()
	})
	return r
}

// startEntry adds an entry to a data centre. The entry follows the log by long
// polling or, if poll is not 0, reads the log once in each interval of that length.
func (r *testbed) startEntry(dataCentre string, poll time.Duration) {
	serverCtx, stopServer := context.WithCancel(r.ctx)
	ctx, stopLoops := context.WithCancel(serverCtx)
	client := &http.Client{
		Transport: &http.Transport{},
	}
	r.b.Cleanup(client.CloseIdleConnections)
	platform := connector.NewPlatform(client, r.address)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(r.b, err, qt.IsNil)
	self := recorder.Member{
		Name:  fmt.Sprintf("entry-%03d-0123456789ab", len(r.entries)),
		Peers: listener.Addr().String(),
	}
	e := &entry{
		state:      replayer.New(),
		appender:   appender.New(platform),
		stopServer: stopServer,
		stopLoops:  stopLoops,
	}
	e.follower = follower.New(platform, recorder.StreamControl, e.state.Apply, follower.Wait(time.Second))
	pool := messenger.NewPool()
	e.watcher = watcher.New(self, dataCentre,
		watcher.WithCaller(pool),
		watcher.AppliedOffset(e.state.Offset),
		watcher.LogContact(e.follower.LastContact),
		watcher.Memberships(func() (recorder.Membership, bool) {
			m, _, ok := e.state.Membership(dataCentre)
			return m, ok
		}),
		watcher.Propose(func(ctx context.Context, m recorder.Membership) error {
			return e.commit(ctx, appender.PriorityMembership, m)
		}))
	c := compactor.New(self.Name, platform, e.state, compactor.OldestOffset(e.follower.OldestOffset))
	server := messenger.NewServer()
	qt.Assert(r.b, server.Register("Member", &pausableReceiver{
		entry:    e,
		receiver: e.watcher.Receiver().(memberReceiver),
	}), qt.IsNil)
	r.runInGroup(ctx, e.appender.Run)
	r.runInGroup(ctx, c.Run)
	r.runInGroup(serverCtx, func(ctx context.Context) error {
		return server.Serve(ctx, byteCountingListener{
			Listener: listener,
			bytes:    &r.peerBytes,
		})
	})
	r.runInGroup(ctx, e.watcher.Run)
	r.runInGroup(ctx, func(ctx context.Context) error {
		if poll == 0 {
			return e.follower.Run(ctx)
		}
		return timekeeper.Every(ctx, timekeeper.System(), poll, func(ctx context.Context) {
			_ = e.follower.Step(ctx)
		})
	})
	r.b.Cleanup(pool.Close)
	r.entries = append(r.entries, e)
}

func (r *testbed) runInGroup(ctx context.Context, f func(context.Context) error) {
	r.group.Go(func() error {
		return f(ctx)
	})
}

// memberReceiver is the net/rpc receiver of a watcher.
type memberReceiver interface {
	Heartbeat(watcher.Heartbeat, *watcher.Heartbeat) error
	Testify(watcher.Doubt, *watcher.Testimony) error
}

// pausableReceiver forwards calls to a watcher's receiver. While its entry is
// paused, it holds heartbeat calls.
type pausableReceiver struct {
	entry    *entry
	receiver memberReceiver
}

func (p *pausableReceiver) Heartbeat(args watcher.Heartbeat, reply *watcher.Heartbeat) error {
	for p.entry.paused.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return p.receiver.Heartbeat(args, reply)
}

func (p *pausableReceiver) Testify(args watcher.Doubt, reply *watcher.Testimony) error {
	return p.receiver.Testify(args, reply)
}

func (e *entry) commit(ctx context.Context, p appender.Priority, body recorder.Body) error {
	record := recorder.New(namer.NewIdentity(), "entry", time.Now(), body)
	_, err := e.appender.Commit(ctx, p, record, e.state)
	return err
}

// awaitMembers waits until every entry that is not paused knows of the given
// number of members of the data centre.
func (r *testbed) awaitMembers(dataCentre string, members int) {
	for _, e := range r.entries {
		for e != nil && !e.paused.Load() {
			changed := e.state.Changed()
			if m, _, _ := e.state.Membership(dataCentre); len(m.Members) == members {
				break
			}
			<-changed
		}
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// quantile returns the q-quantile of the times in milliseconds. It sorts them.
func quantile(times []time.Duration, q float64) float64 {
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))].Seconds() * 1000
}

// BenchmarkInForce measures the time from an operator's call until the change is
// accepted, and until it is in force at all of 8 entries.
func BenchmarkInForce(b *testing.B) {
	for name, poll := range map[string]time.Duration{
		"follow":  0,
		"poll=5s": 5 * time.Second,
	} {
		b.Run(name, func(b *testing.B) {
			r := newTestbed(b)
			// The entry that the operator calls uses long polling in both cases.
			r.startEntry("here", 0)
			for i := range 7 {
				r.startEntry(fmt.Sprint(i), poll)
			}
			var accepted, everywhere []time.Duration
			for i := range b.N {
				// The pause keeps changes from waiting for the append budget.
				time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
				begin := time.Now()
				err := r.entries[0].commit(r.ctx, appender.PriorityConfig, recorder.ConfigChange{
					Key:   fmt.Sprint("k", i),
					Value: []byte("1"),
				})
				qt.Assert(b, err, qt.IsNil)
				accepted = append(accepted, time.Since(begin))
				for _, e := range r.entries {
					for changed := e.state.Changed(); ; changed = e.state.Changed() {
						if _, ok := e.state.Config(fmt.Sprint("k", i)); ok {
							break
						}
						<-changed
					}
				}
				everywhere = append(everywhere, time.Since(begin))
			}
			b.ReportMetric(quantile(accepted, 0.5), "accepted-p50-ms")
			b.ReportMetric(quantile(accepted, 0.99), "accepted-p99-ms")
			b.ReportMetric(quantile(everywhere, 0.5), "everywhere-p50-ms")
			b.ReportMetric(quantile(everywhere, 0.99), "everywhere-p99-ms")
		})
	}
}

// BenchmarkMembers measures the traffic with peers and with the log, and the
// processor time, of an idle entry. The processor time includes an entry's share
// of the platform's. Each iteration takes a second.
func BenchmarkMembers(b *testing.B) {
	for _, members := range []int{3, 4, 8, 50} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			r := newTestbed(b)
			for range members {
				r.startEntry("here", 0)
			}
			r.awaitMembers("here", members)
			r.logBytes.Store(0)
			r.peerBytes.Store(0)
			before := cpuTime(b)
			b.ResetTimer()
			for range b.N {
				time.Sleep(time.Second)
			}
			b.StopTimer()
			seconds := float64(members) * b.Elapsed().Seconds()
			b.ReportMetric(float64(r.peerBytes.Load())/seconds, "peerB/s")
			b.ReportMetric(float64(r.logBytes.Load())/seconds, "logB/s")
			b.ReportMetric((cpuTime(b)-before).Seconds()/seconds*100, "%core")
		})
	}
}

// BenchmarkTakeover measures the time until one of four members that was killed
// or paused is removed from the membership.
func BenchmarkTakeover(b *testing.B) {
	for _, kind := range []string{"kill", "pause"} {
		b.Run(kind, func(b *testing.B) {
			var times []time.Duration
			for range b.N {
				r := newTestbed(b)
				for range 4 {
					r.startEntry("here", 0)
				}
				r.awaitMembers("here", 4)
				time.Sleep(time.Second)
				lost := r.entries[0]
				lost.paused.Store(true)
				begin := time.Now()
				lost.stopLoops()
				if kind == "kill" {
					lost.stopServer()
				}
				r.awaitMembers("here", 3)
				times = append(times, time.Since(begin))
				lost.paused.Store(false)
			}
			b.ReportMetric(quantile(times, 0.5), "p50-ms")
			b.ReportMetric(quantile(times, 1), "max-ms")
		})
	}
}

// BenchmarkControlStreamAtDailyMean measures the log traffic and the processor
// time of an entry at about the mean daily rate that the system must support: 0.3
// changes and 1.1 jobs with their progress a second, in a cell of 25 data
// centres. Each iteration takes a second and appends one job.
func BenchmarkControlStreamAtDailyMean(b *testing.B) {
	r := newTestbed(b)
	for range 4 {
		r.startEntry("here", 0)
	}
	r.awaitMembers("here", 4)
	writer := connector.NewPlatform(http.DefaultClient, r.address)
	defer http.DefaultClient.CloseIdleConnections()
	r.logBytes.Store(0)
	before := cpuTime(b)
	b.ResetTimer()
	for i := range b.N {
		id := namer.NewIdentity()
		bodies := []recorder.Body{
			sampleJob(id),
			recorder.JobProgress{
				Job:      id,
				Finished: []int{0, 1, 2},
			},
		}
		if i%3 == 0 {
			bodies = append(bodies, recorder.ConfigChange{
				Key:      fmt.Sprint("team/team", i),
				Value:    []byte(`{"weight":1}`),
				Operator: "anna",
			})
		}
		for _, body := range bodies {
			data, err := recorder.Encode(recorder.New(namer.NewIdentity(), "entry", time.Now(), body))
			qt.Assert(b, err, qt.IsNil)
			_, err = writer.Append(r.ctx, recorder.StreamControl, [][]byte{data})
			qt.Assert(b, err, qt.IsNil)
			time.Sleep(time.Second / time.Duration(len(bodies)))
		}
	}
	b.StopTimer()
	seconds := 4 * b.Elapsed().Seconds()
	b.ReportMetric(float64(r.logBytes.Load())/seconds, "logB/s")
	b.ReportMetric((cpuTime(b)-before).Seconds()/seconds*100, "%core")
}

func sampleJob(id string) recorder.Job {
	return recorder.Job{
		ID:         id,
		Name:       "night report",
		Team:       "team0001",
		Policy:     recorder.Batch,
		Tasks:      25,
		Size:       sizer.New(1000, 1<<30, 0),
		RunTime:    time.Hour,
		DataCentre: "here",
		Operator:   "anna",
	}
}

// BenchmarkAppends measures how many appends one entry makes for 1,000 jobs that
// are submitted at once, and for jobs submitted at random times at 5 or 50 a
// second. Each iteration takes a second, or 1,000 jobs.
func BenchmarkAppends(b *testing.B) {
	for name, perSecond := range map[string]int{
		"atOnce":       0,
		"perSecond=5":  5,
		"perSecond=50": 50,
	} {
		b.Run(name, func(b *testing.B) {
			r := newTestbed(b)
			r.startEntry("here", 0)
			r.awaitMembers("here", 1)
			before := r.platform.Appends()
			jobs := 0
			var group errgroup.Group
			for range b.N {
				n := perSecond
				if n == 0 {
					n = 1000
				}
				for range n {
					group.Go(func() error {
						if perSecond > 0 {
							time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
						}
						return r.entries[0].commit(r.ctx, appender.PriorityJob, sampleJob(namer.NewIdentity()))
					})
				}
				jobs += n
				if perSecond > 0 {
					time.Sleep(time.Second)
					continue
				}
				qt.Assert(b, group.Wait(), qt.IsNil)
			}
			qt.Assert(b, group.Wait(), qt.IsNil)
			b.ReportMetric(float64(r.platform.Appends()-before)/float64(jobs)*1000, "appends/1000jobs")
		})
	}
}
