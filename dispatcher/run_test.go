package dispatcher_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/dispatcher"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/messenger"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/replayer"
	"github.com/galenacove/galenacove/sizer"
)

const dataCentre = "klein-hall"

// cluster has a log in memory, and workers and entries that communicate over
// real connections.
type cluster struct {
	c     *qt.C
	ctx   context.Context
	group *errgroup.Group
	state *replayer.State

	mu      sync.Mutex
	records int

	client  *http.Client
	hosts   []connector.Host
	workers []*emulator.Worker
	entries []*entry
}

type entry struct {
	member recorder.Member
	*dispatcher.Dispatcher
	stop context.CancelFunc
}

func newCluster(t *testing.T) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	cl := &cluster{
		c:     qt.New(t),
		ctx:   ctx,
		group: group,
		state: replayer.New(),
		client: &http.Client{
			Transport: &http.Transport{},
		},
	}
	t.Cleanup(func() {
		cancel()
		cl.c.Check(group.Wait(), qt.IsNil)
		cl.client.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return cl
}

func (cl *cluster) append(body recorder.Body) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.records++
	id := fmt.Sprintf("record-%d", cl.records)
	cl.state.Apply(namer.Offset(cl.records), recorder.New(id, "test", time.Time{}, body))
}

func (cl *cluster) addWorker(name string) {
	w := emulator.NewWorker(connector.Host{
		Name:       name,
		State:      connector.HostLive,
		DataCentre: dataCentre,
		Rack:       "a",
		Capacity:   sizer.New(8000, 8<<30, 0),
	})
	server := httptest.NewServer(w.Handler())
	cl.group.Go(func() error {
		<-cl.ctx.Done()
		server.Close()
		return nil
	})
	cl.group.Go(func() error { return w.Run(cl.ctx, "") })
	host := w.Host()
	host.Address = server.Listener.Addr().String()
	cl.hosts = append(cl.hosts, host)
	cl.workers = append(cl.workers, w)
}

func (cl *cluster) addEntry(name string) {
	ctx, stop := context.WithCancel(cl.ctx)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	cl.c.Assert(err, qt.IsNil)
	pool := messenger.NewPool()
	e := &entry{
		member: recorder.Member{
			Name:  name,
			Peers: listener.Addr().String(),
		},
		stop: stop,
	}
	e.Dispatcher = dispatcher.New(name, dataCentre,
		dispatcher.Workers(func(address string) connector.Worker { return connector.NewWorker(cl.client, address) }),
		dispatcher.Peers(pool),
		dispatcher.Commit(func(_ context.Context, body recorder.Body) error {
			cl.append(body)
			return nil
		}),
		dispatcher.Timings(time.Second, 250*time.Millisecond, 0.01, 500*time.Millisecond),
	)
	server := messenger.NewServer()
	cl.c.Assert(server.Register("Placing", e.Receiver()), qt.IsNil)
	cl.group.Go(func() error {
		defer pool.Close()
		return server.Serve(ctx, listener)
	})
	cl.group.Go(func() error { return e.Run(ctx) })
	cl.group.Go(func() error {
		cl.feedEntry(ctx, e)
		return nil
	})
	cl.entries = append(cl.entries, e)
}

// feedEntry passes the state of the log and the host list to an entry.
func (cl *cluster) feedEntry(ctx context.Context, e *entry) {
	var fedTo namer.Offset
	for ctx.Err() == nil {
		sentAt := time.Now()
		reached := cl.state.Offset()
		jobs := cl.state.JobsChanged(fedTo)
		if m, membershipOffset, ok := cl.state.Membership(dataCentre); ok {
			e.SetMembership(m, membershipOffset)
		}
		e.SetJobs(jobs)
		e.SetHosts(cl.hosts)
		e.SetLogContact(sentAt)
		fedTo = reached
		time.Sleep(10 * time.Millisecond)
	}
}

func (cl *cluster) epoch(entries ...*entry) {
	last, _, _ := cl.state.Membership(dataCentre)
	m := recorder.Membership{
		DataCentre: dataCentre,
		Epoch:      last.Epoch + 1,
	}
	for _, e := range entries {
		m.Members = append(m.Members, e.member)
	}
	cl.append(m)
}

func (cl *cluster) submit(id string, kind recorder.JobKind, tasks int, runTime time.Duration) {
	cl.append(recorder.Job{
		ID:         id,
		Team:       "omuti",
		Policy:     kind,
		Tasks:      tasks,
		Size:       sizer.New(1000, 1<<30, 0),
		RunTime:    runTime,
		DataCentre: dataCentre,
	})
}

func (cl *cluster) waitForEnd(job string) {
	for {
		changed := cl.state.Changed()
		if state, _ := cl.state.Job(job); outcomeOf(state) != "" {
			cl.c.Check(outcomeOf(state), qt.Equals, recorder.Done)
			return
		}
		<-changed
	}
}

func outcomeOf(state replayer.JobState) recorder.Outcome {
	end, _ := state.Ended()
	return end.Outcome
}

// TestOverConnections checks over net/rpc and HTTP that jobs of all kinds end,
// and that no task runs twice, while one of two entries is killed and the other
// one leaves.
func TestOverConnections(t *testing.T) {
	cl := newCluster(t)
	for i := range 4 {
		cl.addWorker(fmt.Sprintf("worker-%d", i))
	}
	cl.addEntry("entry-0")
	cl.addEntry("entry-1")
	cl.epoch(cl.entries...)
	cl.submit("batch", recorder.Batch, 40, 200*time.Millisecond)
	cl.submit("gang", recorder.Gang, 20, 200*time.Millisecond)
	cl.submit("long", recorder.Batch, 6, 4*time.Second)
	cl.waitForEnd("batch")
	cl.waitForEnd("gang")

	cl.entries[0].stop()
	cl.addEntry("entry-2")
	cl.epoch(cl.entries[1], cl.entries[2])
	cl.submit("second", recorder.Batch, 40, 200*time.Millisecond)
	cl.waitForEnd("second")

	cl.group.Go(func() error {
		err := cl.entries[1].Leave(cl.ctx)
		cl.entries[1].stop()
		return err
	})
	cl.epoch(cl.entries[2])
	cl.submit("third", recorder.Gang, 20, 200*time.Millisecond)
	cl.waitForEnd("third")
	cl.waitForEnd("long")

	accounts := make([]emulator.Account, 0, len(cl.workers))
	for _, w := range cl.workers {
		account := w.Account()
		cl.c.Check(account.OverCommitted+account.Doubled, qt.Equals, 0)
		accounts = append(accounts, account)
	}
	cl.c.Check(emulator.Overlaps(accounts...), qt.HasLen, 0)
}
