package coordinator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/coordinator"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/receiver"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	service  = "desk"
	gibibyte = 1 << 30
)

var (
	configPartition    = storer.Partition{Topic: "config"}
	directoryPartition = storer.Partition{Topic: "directory"}
)

// blockableStore is the store as one entry sees it. While it is blocked, it
// returns storer.ErrUnavailable.
type blockableStore struct {
	storer.Store
	blocked atomic.Bool
	// silent is set while reads of the configuration do not return.
	silent atomic.Bool
	// delay is the duration of appends and joins, in nanoseconds, and jobAppends
	// counts the appends to the jobs topic.
	delay, jobAppends atomic.Int64
}

func (s *blockableStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	if s.blocked.Load() {
		return 0, storer.ErrUnavailable
	}
	if to.Topic == conductor.JobsTopic {
		s.jobAppends.Add(1)
	}
	time.Sleep(time.Duration(s.delay.Load()))
	return s.Store.Append(ctx, to, writer, records...)
}

func (s *blockableStore) Read(ctx context.Context, of storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	if s.blocked.Load() {
		return storer.Page{}, storer.ErrUnavailable
	}
	for of == configPartition && s.silent.Load() {
		if timekeeper.Sleep(ctx, timekeeper.System(), 10*time.Millisecond) != nil {
			return storer.Page{}, storer.ErrUnavailable
		}
	}
	return s.Store.Read(ctx, of, from, wait)
}

func (s *blockableStore) Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (storer.Assignment, error) {
	if s.blocked.Load() {
		return storer.Assignment{}, storer.ErrUnavailable
	}
	time.Sleep(time.Duration(s.delay.Load()))
	return s.Store.Join(ctx, group, member, topics, ttl, generation)
}

func (s *blockableStore) Owners(ctx context.Context, group string) ([]storer.Ownership, error) {
	if s.blocked.Load() {
		return nil, storer.ErrUnavailable
	}
	return s.Store.Owners(ctx, group)
}

// cluster is a store, a fleet of workers and some entries, in one process over
// loopback.
type cluster struct {
	c       *qt.C
	store   *storer.Memory
	fleet   *emulator.Fleet
	entries []*entry
}

type entry struct {
	process   *coordinator.Coordinator
	store     *blockableStore
	peers     *hangingListener
	callers   string
	readiness string
	stop      context.CancelFunc
	group     errgroup.Group
}

func newCluster(t *testing.T, entries int) *cluster {
	cl := &cluster{
		c:     qt.New(t),
		store: storer.NewMemory(timekeeper.System()),
		fleet: emulator.NewFleet(timekeeper.System()),
	}
	for i := range 6 {
		cl.fleet.Add(fmt.Sprintf("w%d", i), service, sizer.New(8000, 64*gibibyte, 0))
	}
	for _, worker := range cl.fleet.Entries() {
		cl.write(directoryPartition, worker.Ref.ID, worker)
	}
	cl.configure(1, "/checks/")
	for i := range entries {
		cl.start(fmt.Sprintf("entry-%d", i))
	}
	t.Cleanup(func() {
		for _, e := range cl.entries {
			cl.c.Check(e.end(), qt.IsNil)
		}
	})
	return cl
}

// awaitShared waits until each entry has partitions, after which no owner changes any more.
func (cl *cluster) awaitShared() {
	for {
		owners, err := cl.store.Owners(context.Background(), "entries")
		cl.c.Assert(err, qt.IsNil)
		members := make(map[string]bool)
		for _, owner := range owners {
			members[owner.Member] = true
		}
		if len(members) == len(cl.entries) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (e *entry) end() error {
	e.stop()
	return e.group.Wait()
}

func (cl *cluster) write(partition storer.Partition, key string, value any) {
	data, err := json.Marshal(value)
	cl.c.Assert(err, qt.IsNil)
	_, err = cl.store.Append(context.Background(), partition, nil, storer.Record{
		Key:   key,
		Value: data,
	})
	cl.c.Assert(err, qt.IsNil)
}

func (cl *cluster) configure(version int64, prefixes ...string) {
	config := receiver.Config{
		Version: version,
	}
	for _, prefix := range prefixes {
		config.Routes = append(config.Routes, receiver.Route{
			Host:   "127.0.0.1",
			Prefix: prefix,
			Queue: scheduler.Queue{
				Name:        prefix,
				Service:     service,
				MaxAttempts: 2,
				SlackFactor: 2,
			},
		})
	}
	cl.write(configPartition, "config", config)
}

func (cl *cluster) start(name string, options ...coordinator.Option) *entry {
	var listeners [3]net.Listener
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		cl.c.Assert(err, qt.IsNil)
		listeners[i] = listener
	}
	e := &entry{
		store: &blockableStore{
			Store: cl.store,
		},
		peers: &hangingListener{
			Listener: listeners[2],
		},
		callers:   "http://" + listeners[0].Addr().String(),
		readiness: "http://" + listeners[1].Addr().String(),
	}
	advise := func(_ context.Context, _ scheduler.StepRef, _ []string) ([]scheduler.Approval, time.Duration, error) {
		return nil, 0, nil
	}
	options = append(options,
		coordinator.Name(name, "here"),
		coordinator.Listeners(listeners[0], listeners[1], e.peers),
		coordinator.Grace(1500*time.Millisecond),
		coordinator.Scheduling(scheduler.Lease(time.Second, 1500*time.Millisecond)),
		coordinator.Config(configPartition, func(record storer.Record) (receiver.Config, bool, error) {
			var config receiver.Config
			err := json.Unmarshal(record.Value, &config)
			return config, err == nil, err
		}),
		coordinator.Directory(directoryPartition, func(record storer.Record, _ time.Time) (scheduler.WorkerEntry, error) {
			var worker scheduler.WorkerEntry
			err := json.Unmarshal(record.Value, &worker)
			return worker, err
		}))
	process := coordinator.New(e.store, cl.fleet, advise, receiver.JSON{}, options...)
	e.process = process
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.group.Go(func() error { return process.Run(ctx) })
	cl.entries = append(cl.entries, e)
	cl.awaitReady(e, http.StatusOK)
	return e
}

func (cl *cluster) awaitReady(e *entry, status int) {
	for {
		got, _ := cl.call(http.MethodGet, e.readiness+"/", nil)
		if got == status {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// call makes a request and returns the status and the body. The status is 0 if
// there was no answer.
func (cl *cluster) call(method, url string, body []byte) (int, string) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	cl.c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

func body(tasks int) []byte {
	data, err := json.Marshal(scheduler.Job{
		Phases: []scheduler.Phase{
			{
				Tasks:    tasks,
				Size:     sizer.New(1000, gibibyte, 0),
				Estimate: 200 * time.Millisecond,
			},
			{
				Tasks:     1,
				Size:      sizer.New(1000, gibibyte, 0),
				Estimate:  200 * time.Millisecond,
				DependsOn: []int{0},
			},
		},
	})
	if err != nil {
		panic(err)
	}
	return data
}

func (cl *cluster) submit(e *entry, id string, tasks int) {
	status, _ := cl.call(http.MethodPost, e.callers+"/checks/"+id, body(tasks))
	cl.c.Assert(status, qt.Equals, http.StatusOK)
}

// await waits until the entry returns the given state of a job.
func (cl *cluster) await(e *entry, id string, state scheduler.JobState) {
	for {
		status, got := cl.call(http.MethodGet, e.callers+"/checks/"+id, nil)
		if status == http.StatusOK && got == fmt.Sprintf("{%q:%q}", "state", state) {
			return
		}
		cl.c.Assert(status, qt.Not(qt.Equals), http.StatusGone, qt.Commentf("an accepted job is not known"))
		time.Sleep(10 * time.Millisecond)
	}
}

func TestAnyEntryServesAnyJob(t *testing.T) {
	cl := newCluster(t, 3)
	for i := range 12 {
		cl.submit(cl.entries[i%3], fmt.Sprintf("job%d", i), 4)
	}
	for i := range 12 {
		cl.await(cl.entries[(i+1)%3], fmt.Sprintf("job%d", i), scheduler.Completed)
	}
	cl.c.Assert(cl.fleet.Done(), qt.Equals, 12*5)
	cl.c.Assert(cl.fleet.Violations(), qt.HasLen, 0)
}

func TestSubmittedTwiceRunsOnce(t *testing.T) {
	cl := newCluster(t, 2)
	for i := range 4 {
		cl.submit(cl.entries[i%2], "job", 3)
	}
	cl.await(cl.entries[0], "job", scheduler.Completed)
	cl.submit(cl.entries[1], "job", 3)
	cl.await(cl.entries[1], "job", scheduler.Completed)
	cl.c.Assert(cl.fleet.Starts(), qt.Equals, 4)
}

func TestAnswersToCallers(t *testing.T) {
	cl := newCluster(t, 1)
	e := cl.entries[0]
	tests := map[string]struct {
		method, path string
		body         []byte
		want         int
	}{
		"no such route":       {http.MethodPost, "/nowhere/job", body(1), http.StatusNotFound},
		"no such job":         {http.MethodGet, "/checks/nobody", nil, http.StatusGone},
		"bad identity":        {http.MethodPost, "/checks/a/b", body(1), http.StatusBadRequest},
		"not a job":           {http.MethodPost, "/checks/bad", []byte("{"), http.StatusBadRequest},
		"a job of no phases":  {http.MethodPost, "/checks/bad", []byte("{}"), http.StatusBadRequest},
		"an unknown method":   {http.MethodPut, "/checks/job", nil, http.StatusMethodNotAllowed},
		"jobs that wait":      {http.MethodGet, "/checks/", nil, http.StatusOK},
		"a count of no queue": {http.MethodGet, "/nowhere/", nil, http.StatusNotFound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for {
				status, _ := cl.call(test.method, e.callers+test.path, test.body)
				if status == http.StatusServiceUnavailable {
					// The owner is still reading the stored jobs.
					time.Sleep(10 * time.Millisecond)
					continue
				}
				c.Assert(status, qt.Equals, test.want)
				return
			}
		})
	}
}

func TestCancelledJobStaysCancelled(t *testing.T) {
	cl := newCluster(t, 2)
	cl.submit(cl.entries[0], "job", 4)
	status, _ := cl.call(http.MethodDelete, cl.entries[1].callers+"/checks/job", nil)
	cl.c.Assert(status, qt.Equals, http.StatusOK)
	cl.await(cl.entries[0], "job", scheduler.Cancelled)
	// A late copy of the submission changes nothing.
	cl.submit(cl.entries[0], "job", 4)
	cl.await(cl.entries[1], "job", scheduler.Cancelled)
}

// TestJobsOutliveTheirEntries checks that all jobs are completed, and no task runs
// twice, while all entries are replaced under load, one by one.
func TestJobsOutliveTheirEntries(t *testing.T) {
	cl := newCluster(t, 2)
	for i := range 20 {
		cl.submit(cl.entries[i%2], fmt.Sprintf("job%d", i), 6)
	}
	for i := range 2 {
		cl.start(fmt.Sprintf("new-%d", i))
		cl.c.Assert(cl.entries[0].end(), qt.IsNil)
		cl.entries = cl.entries[1:]
	}
	for i := range 20 {
		cl.await(cl.entries[i%2], fmt.Sprintf("job%d", i), scheduler.Completed)
	}
	cl.c.Assert(cl.fleet.Done(), qt.Equals, 20*7)
	cl.c.Assert(cl.fleet.Violations(), qt.HasLen, 0)
}

// TestSlowStoreGetsTheAppendsOfOneEntry guards against overload of a slow store,
// which takes one append at a time for a partition. Entries that find it slow must
// leave the appends to the owner, which combines them.
func TestSlowStoreGetsTheAppendsOfOneEntry(t *testing.T) {
	cl := newCluster(t, 3)
	cl.awaitShared()
	for i, e := range cl.entries {
		cl.submit(e, fmt.Sprintf("well%d", i), 1)
		e.store.delay.Store(int64(100 * time.Millisecond))
	}
	for i, e := range cl.entries {
		cl.submit(e, fmt.Sprintf("first%d", i), 1)
		e.store.jobAppends.Store(0)
	}
	for round := range 3 {
		for i, e := range cl.entries {
			cl.submit(e, fmt.Sprintf("next%d%d", round, i), 1)
		}
	}
	appending := 0
	for _, e := range cl.entries {
		if e.store.jobAppends.Load() > 0 {
			appending++
		}
		e.store.delay.Store(0)
	}
	cl.c.Assert(appending, qt.Equals, 1)
	for round := range 3 {
		for i, e := range cl.entries {
			cl.await(e, fmt.Sprintf("next%d%d", round, i), scheduler.Completed)
		}
	}
	cl.c.Assert(cl.fleet.Violations(), qt.HasLen, 0)
}

// awaitOwner waits until all partitions are assigned to entries whose names begin
// with prefix.
func (cl *cluster) awaitOwner(prefix string) {
	for {
		owners, err := cl.store.Owners(context.Background(), "entries")
		cl.c.Assert(err, qt.IsNil)
		others := 0
		for _, owner := range owners {
			if !strings.Contains(owner.Member, "/"+prefix) {
				others++
			}
		}
		if len(owners) > 0 && others == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestSmallEntriesOwnWhileLargeOnesAreGone checks that a large entry beside two
// small ones owns all partitions while it runs, that the small ones own them
// before and after, and that jobs submitted before, during and after are
// completed.
func TestSmallEntriesOwnWhileLargeOnesAreGone(t *testing.T) {
	cl := newCluster(t, 0)
	for _, name := range []string{"small-0", "small-1"} {
		cl.start(name, coordinator.Cores(0.192))
	}
	cl.awaitOwner("small")
	cl.submit(cl.entries[0], "before", 6)
	large := cl.start("large", coordinator.Cores(0.8))
	cl.awaitOwner("large")
	cl.submit(cl.entries[1], "during", 6)
	cl.await(cl.entries[0], "during", scheduler.Completed)
	cl.entries = cl.entries[:2]
	cl.c.Assert(large.end(), qt.IsNil)
	cl.awaitOwner("small")
	cl.submit(cl.entries[0], "after", 6)
	for _, id := range []string{"before", "after"} {
		cl.await(cl.entries[1], id, scheduler.Completed)
	}
	cl.c.Assert(cl.fleet.Violations(), qt.HasLen, 0)
}

// TestEntryThatTheStoreTurnsAwayRelays checks that an entry that the store does not
// answer stores jobs, and gets its configuration, through another entry.
func TestEntryThatTheStoreTurnsAwayRelays(t *testing.T) {
	cl := newCluster(t, 3)
	cutOff := cl.entries[1]
	cutOff.store.blocked.Store(true)
	for i := range 5 {
		id := fmt.Sprintf("job%d", i)
		for {
			status, _ := cl.call(http.MethodPost, cutOff.callers+"/checks/"+id, body(2))
			if status == http.StatusOK {
				break
			}
			// Refused while the entry does not know yet which entries the store
			// answers.
			cl.c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
			time.Sleep(20 * time.Millisecond)
		}
	}
	cl.awaitReady(cutOff, http.StatusOK)
	for i := range 5 {
		cl.await(cl.entries[0], fmt.Sprintf("job%d", i), scheduler.Completed)
	}
	// A new configuration reaches the entry through the others.
	cl.configure(2, "/checks/", "/more/")
	for {
		status, _ := cl.call(http.MethodPost, cutOff.callers+"/more/job", body(1))
		if status == http.StatusOK {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	cl.c.Assert(cl.fleet.Violations(), qt.HasLen, 0)
}

// TestStoreOutageIsReportedAtOnce checks that, while the store answers no entry,
// callers are refused with status 503 and the readiness probe fails, and that a
// refused job stays unknown.
func TestStoreOutageIsReportedAtOnce(t *testing.T) {
	cl := newCluster(t, 2)
	cl.submit(cl.entries[0], "before", 2)
	cl.store.SetFailure(storer.ErrUnavailable)
	status, _ := cl.call(http.MethodPost, cl.entries[0].callers+"/checks/during", body(2))
	cl.c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	cl.awaitReady(cl.entries[0], http.StatusServiceUnavailable)
	cl.store.SetFailure(nil)
	cl.awaitReady(cl.entries[0], http.StatusOK)
	cl.await(cl.entries[1], "before", scheduler.Completed)
	status, _ = cl.call(http.MethodGet, cl.entries[0].callers+"/checks/during", nil)
	cl.c.Assert(status, qt.Equals, http.StatusGone, qt.Commentf("a job that was refused is known"))
}

// TestJobThatCannotBeStoredIsRefused guards against a job that is accepted, although the store
// takes no record of its size or of that of its progress, so that it never ends.
func TestJobThatCannotBeStoredIsRefused(t *testing.T) {
	cl := newCluster(t, 2)
	e := cl.entries[0]
	many := scheduler.Job{}
	for range 10 {
		many.Phases = append(many.Phases, scheduler.Phase{
			Tasks:   5000,
			Size:    sizer.New(1, 1, 0),
			Lasting: true,
		})
	}
	long := scheduler.Job{
		Spec: strings.Repeat("x", 262_000),
		Phases: []scheduler.Phase{
			{
				Tasks: 1,
				Size:  sizer.New(1, 1, 0),
			},
		},
	}
	for id, job := range map[string]scheduler.Job{
		"many": many,
		"long": long,
	} {
		data, err := json.Marshal(job)
		cl.c.Assert(err, qt.IsNil)
		status, _ := cl.call(http.MethodPost, e.callers+"/checks/"+id, data)
		cl.c.Assert(status, qt.Equals, http.StatusRequestEntityTooLarge, qt.Commentf("%s", id))
	}
	cl.submit(e, "job", 2)
	cl.await(e, "job", scheduler.Completed)
}
