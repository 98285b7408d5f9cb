package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// quickWorkers are workers on which each run ends at once.
type quickWorkers struct {
	modelWorkers
	began time.Time

	mu sync.Mutex
	// ended holds the ends that are not acknowledged, by worker, and ends their number.
	ended map[string][]scheduler.EndedRun
	ends  map[string]int64
	// startedAt holds the time of the first start, by job.
	startedAt map[string]time.Time
}

func newQuickWorkers() *quickWorkers {
	return &quickWorkers{
		began:     time.Now(),
		ended:     make(map[string][]scheduler.EndedRun),
		ends:      make(map[string]int64),
		startedAt: make(map[string]time.Time),
	}
}

// Start implements conductor.Workers.
func (q *quickWorkers) Start(_ context.Context, _ int64, order scheduler.StartTask) (scheduler.StartOutcome, error) {
	time.Sleep(modelLatency)
	q.mu.Lock()
	defer q.mu.Unlock()
	id := order.Worker.ID
	q.ends[id]++
	q.ended[id] = append(q.ended[id], scheduler.EndedRun{
		Number: q.ends[id],
		Run:    order.Run,
		End:    scheduler.EndDone,
	})
	if job := order.Run.Task.Step.Job; q.startedAt[job].IsZero() {
		q.startedAt[job] = time.Now()
	}
	return scheduler.StartDone, nil
}

// RenewLease implements conductor.Workers.
func (q *quickWorkers) RenewLease(ctx context.Context, _ int64, order scheduler.LeaseRenewal, wait time.Duration) (scheduler.Report, error) {
	id := order.Worker.ID
	q.mu.Lock()
	q.ended[id] = slices.DeleteFunc(q.ended[id], func(end scheduler.EndedRun) bool { return end.Number <= order.Acknowledge })
	q.mu.Unlock()
	for until := time.Now().Add(wait); ; {
		if err := timekeeper.Sleep(ctx, timekeeper.System(), 5*modelLatency); err != nil {
			return scheduler.Report{}, conductor.ErrUnreachable
		}
		q.mu.Lock()
		report := scheduler.Report{
			Clock: time.Since(q.began),
			Ended: slices.Clone(q.ended[id]),
		}
		q.mu.Unlock()
		if len(report.Ended) > 0 || !time.Now().Before(until) {
			return report, nil
		}
	}
}

// outage is a loss of the store, and what happens beside it.
type outage struct {
	name string
	// all is set if the store serves nobody, else refuses tells the partitions that it
	// refuses. cut is the number of entries that it does not answer.
	all     bool
	refuses func(storer.Partition) bool
	cut     int
	// silent is set if calls have no answer.
	silent bool
	// ownersEnd is set if the owners end at the beginning of the outage, and joins if an
	// entry starts during it.
	ownersEnd, joins bool
	// forgets is the share of the workers whose entries are deleted during the outage, and
	// that are back 2 s after it.
	forgets float64
}

// refusesTopics returns a function that reports whether a partition is of one of the topics.
func refusesTopics(topics ...string) func(storer.Partition) bool {
	return func(p storer.Partition) bool { return slices.Contains(topics, p.Topic) }
}

// TestJobsStartSoonAfterAnOutage guards against accepted jobs that stand still once the store
// answers again, as their owner knows no workers, or old ones.
func TestJobsStartSoonAfterAnOutage(t *testing.T) {
	const bound = 3 * time.Second
	outages := []outage{
		{
			name: "all refused",
			all:  true,
		},
		{
			name:   "no answers",
			all:    true,
			silent: true,
		},
		{
			name:      "owners end",
			all:       true,
			ownersEnd: true,
		},
		{
			name:      "owners end, no answers",
			all:       true,
			silent:    true,
			ownersEnd: true,
		},
		{
			name:    "directory refused",
			refuses: refusesTopics("servers"),
		},
		{
			name:      "directory refused, owners end",
			refuses:   refusesTopics("servers"),
			ownersEnd: true,
		},
		{
			name:      "shards refused, owners end",
			refuses:   refusesTopics("shards"),
			ownersEnd: true,
		},
		{
			name:      "directory, shards, entries refused, owners end",
			refuses:   refusesTopics("servers", "shards", "entries"),
			ownersEnd: true,
		},
		{
			name:      "a third of the partitions refused, owners end",
			refuses:   func(p storer.Partition) bool { return p.Number%3 == 0 },
			ownersEnd: true,
		},
		{
			name:      "jobs and progress refused, owners end",
			refuses:   refusesTopics("jobs", "progress"),
			ownersEnd: true,
		},
		{
			name: "half cut",
			cut:  3,
		},
		{
			name:   "half cut, no answers",
			cut:    3,
			silent: true,
		},
		{
			name:      "half cut, owners end, an entry joins",
			cut:       3,
			silent:    true,
			ownersEnd: true,
			joins:     true,
		},
		{
			name:    "workers forgotten",
			all:     true,
			forgets: 1,
		},
		{
			name:      "half of the workers forgotten, owners end",
			all:       true,
			silent:    true,
			ownersEnd: true,
			forgets:   0.5,
		},
		{
			name:      "entry joins",
			all:       true,
			silent:    true,
			ownersEnd: true,
			joins:     true,
		},
	}
	for _, o := range outages {
		t.Run(strings.ReplaceAll(o.name, " ", "-"), func(t *testing.T) {
			worst, waited := time.Duration(0), ""
			for seed := range uint64(outageSeeds) {
				synctest.Test(t, func(t *testing.T) {
					took, job := o.play(qt.New(t), rand.New(rand.NewPCG(seed, 1)))
					if took > worst {
						worst, waited = took, fmt.Sprintf("seed %d, job %s", seed, job)
					}
				})
			}
			limit := bound
			if o.forgets > 0 {
				// The entries of workers are back 2 s after the outage.
				limit += 2 * time.Second
			}
			t.Logf("%s: started after %v (%s)", o.name, worst, waited)
			qt.Check(t, worst <= limit, qt.IsTrue, qt.Commentf("%v, %s", worst, waited))
		})
	}
}

// outageSeeds is the number of seeds of each outage.
const outageSeeds = 2

// play plays the outage and returns how long the start of a job took at most, from when it was
// accepted and the outage had ended, and which job it was.
func (o outage) play(c *qt.C, random *rand.Rand) (time.Duration, string) {
	const entries, workers = 6, 40
	s := newSite(c, workers)
	fleet := newQuickWorkers()
	s.fleet = fleet
	s.configure(1)
	ctx, cancel := context.WithCancel(context.Background())
	var missing sync.Map
	var reports errgroup.Group
	reports.Go(func() error { return s.reportAllBut(ctx, &missing) })
	for i := range entries {
		s.addEntry(i, time.Duration(random.Int64N(int64(300*time.Millisecond))), ShardSize(10), Clock(timekeeper.System()))
	}
	s.awaitService("start", 1)
	accepted := make(map[string]time.Time)
	submit := func(entry *siteEntry, id string) bool {
		err := entry.coordinator.Submit(context.Background(), scheduler.Job{
			ID: id,
			Queue: scheduler.Queue{
				Name:    "checks",
				Service: modelService,
			},
			Phases: []scheduler.Phase{
				{
					Tasks:    1,
					Size:     sizer.New(100, 1, 0),
					Estimate: time.Second,
				},
			},
			Accepted: time.Now(),
		})
		if err == nil {
			accepted[id] = time.Now()
		}
		return err == nil
	}
	time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
	for i := range 20 {
		submit(s.entries[i%entries], fmt.Sprintf("before-%d", i))
	}
	alive := s.entries
	if o.ownersEnd {
		alive = nil
		for _, entry := range s.entries {
			entry.coordinator.mu.Lock()
			owns := len(entry.coordinator.owned) > 0
			entry.coordinator.mu.Unlock()
			if owns && len(alive)+entries-len(s.entries) < entries-2 && random.IntN(2) == 0 {
				entry.stop()
				s.network.mu.Lock()
				delete(s.network.entries, entry.coordinator.settings.peerAddress)
				s.network.mu.Unlock()
				continue
			}
			alive = append(alive, entry)
		}
	}
	for i, entry := range s.entries {
		entry.store.silent.Store(o.silent)
		entry.store.cutOff.Store(i < o.cut)
	}
	s.store.setDown(o.all)
	s.store.setPartDown(o.refuses)
	for i := range workers {
		if random.Float64() < o.forgets {
			missing.Store(i, true)
		}
	}
	s.forget(&missing)
	lasts := time.Duration(random.Int64N(int64(7*time.Second))) + time.Second
	if o.joins {
		s.addEntry(entries, time.Duration(random.Int64N(int64(lasts))), ShardSize(10), Clock(timekeeper.System()))
		s.entries[entries].store.silent.Store(o.silent)
	}
	time.Sleep(lasts)
	s.store.setDown(false)
	s.store.setPartDown(nil)
	for _, entry := range s.entries {
		entry.store.cutOff.Store(false)
	}
	endedAt := time.Now()
	var back errgroup.Group
	back.Go(func() error {
		time.Sleep(2 * time.Second)
		missing.Clear()
		return nil
	})
	for i := range 60 {
		submit(alive[i%len(alive)], fmt.Sprintf("after-%d", i))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	c.Check(back.Wait(), qt.IsNil)
	s.stop()
	cancel()
	c.Check(reports.Wait(), qt.IsNil)
	var worst time.Duration
	waited := ""
	for id, at := range accepted {
		if at.Before(endedAt) {
			at = endedAt
		}
		took := time.Hour
		if startedAt := fleet.startedAt[id]; !startedAt.IsZero() {
			took = startedAt.Sub(at)
		}
		if took > worst {
			worst, waited = took, id
		}
	}
	c.Check(len(accepted) > 20, qt.IsTrue, qt.Commentf("%d jobs accepted", len(accepted)))
	return worst, waited
}

// reportAllBut is report for the workers that are not missing.
func (s *site) reportAllBut(ctx context.Context, missing *sync.Map) error {
	const batches = 15
	value := []byte(modelService)
	for batch := 0; ctx.Err() == nil; batch = (batch + 1) % batches {
		for i := batch; i < s.workers; i += batches {
			if _, gone := missing.Load(i); gone {
				continue
			}
			if _, err := s.store.Append(ctx, modelDirectory, nil, storer.Record{
				Key:   fmt.Sprintf("worker-%05d", i),
				Value: value,
			}); err != nil {
				return err
			}
		}
		// The context ends with the test.
		_ = timekeeper.Sleep(ctx, timekeeper.System(), 1500*time.Millisecond/batches)
	}
	return nil
}

// forget deletes the entries of the missing workers.
func (s *site) forget(missing *sync.Map) {
	missing.Range(func(i, _ any) bool {
		_, err := s.store.Append(context.Background(), modelDirectory, nil, storer.Record{
			Key: fmt.Sprintf("worker-%05d", i),
		})
		s.c.Check(err, qt.IsNil)
		return true
	})
}

// TestOwnerReadsTheDirectorySoonAfterAnOutage guards against an owner that goes on with an old
// list of workers for seconds, as the store refuses reads of the directory for long and renews
// memberships all the time.
func TestOwnerReadsTheDirectorySoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(qt.New(t), 20)
		s.configure(1)
		ctx, cancel := context.WithCancel(context.Background())
		var reports errgroup.Group
		reports.Go(func() error { return s.report(ctx) })
		s.addEntry(0, time.Millisecond)
		c := s.entries[0].coordinator
		s.await("the entry is an owner", func(*Coordinator) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return len(c.owned) > 0
		})
		for range 10 {
			s.store.setPartDown(refusesTopics("servers", "shards"))
			time.Sleep(10*time.Second + rand.N(time.Second))
			s.store.setPartDown(nil)
			endedAt := time.Now()
			for !c.directoryRead.Load().AnsweredAt.After(endedAt) || !c.shardsRead.Load().AnsweredAt.After(endedAt) {
				time.Sleep(10 * time.Millisecond)
			}
			// A read of the shards waits for records.
			took := time.Since(endedAt)
			s.c.Check(took <= maxUrgentBackoff+shardsReadWait+100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		}
		s.stop()
		cancel()
		s.c.Check(reports.Wait(), qt.IsNil)
	})
}
