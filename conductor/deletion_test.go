package conductor_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// interruption is what happens to one append.
type interruption struct {
	name string
	// refused is set if the store refuses the append, and lost if its answer is lost.
	refused, lost bool
	// late is set if the append takes effect only after lateBy, and repeated if it takes
	// effect then once more.
	late, repeated bool
	// cut is set if the store refuses all further calls of the process, and takeover if there
	// is a next owner.
	cut, takeover bool
	// forgets is set if the process can read nothing for lateBy, and the store then forgets the
	// history of the jobs.
	forgets bool
}

// lateBy is how late an append is that is carried out late, and takeoverAfter how long after an
// append the next owner follows: late appends come after its takeover.
const (
	lateBy        = 2 * time.Second
	takeoverAfter = 500 * time.Millisecond
)

var interruptions = []interruption{
	{
		name:     "next owner",
		takeover: true,
	},
	{
		name:    "refused",
		refused: true,
	},
	{
		name:    "refused, history forgotten",
		refused: true,
		forgets: true,
	},
	{
		name:     "refused, cut off, next owner",
		refused:  true,
		cut:      true,
		takeover: true,
	},
	{
		name: "answer lost",
		lost: true,
	},
	{
		name:     "answer lost, cut off, next owner",
		lost:     true,
		cut:      true,
		takeover: true,
	},
	{
		name: "late",
		late: true,
	},
	{
		name:     "late, next owner",
		late:     true,
		takeover: true,
	},
	{
		name:     "late, cut off, next owner",
		late:     true,
		cut:      true,
		takeover: true,
	},
	{
		name:     "repeated",
		repeated: true,
	},
	{
		name:     "repeated, cut off, next owner",
		repeated: true,
		cut:      true,
		takeover: true,
	},
}

// interrupter interrupts one append of all that are made through its views.
type interrupter struct {
	store *storer.Memory
	interruption
	// at is the number of the append to interrupt, counted from 0.
	at int

	mu    sync.Mutex
	count int
	// hit describes the interrupted append, empty before it.
	hit string
	// happened is closed when the append is interrupted.
	happened chan struct{}
}

// interruptedStore is the store as one process sees it.
type interruptedStore struct {
	storer.Store
	interrupter *interrupter

	mu    sync.Mutex
	isCut bool
	// unreadableUntil is the time until which the process can read nothing.
	unreadableUntil time.Time
}

func (i *interrupter) view() *interruptedStore {
	return &interruptedStore{
		Store:       i.store,
		interrupter: i,
	}
}

func (s *interruptedStore) cut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isCut
}

// Append implements storer.Store.
func (s *interruptedStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	if s.cut() {
		return 0, storer.ErrUnavailable
	}
	i := s.interrupter
	i.mu.Lock()
	interrupted := i.count == i.at
	i.count++
	if interrupted {
		i.hit = describeAppend(to, records)
		close(i.happened)
	}
	i.mu.Unlock()
	if !interrupted {
		return i.store.Append(ctx, to, writer, records...)
	}
	s.mu.Lock()
	s.isCut = i.cut
	if i.forgets {
		s.unreadableUntil = time.Now().Add(lateBy)
		time.AfterFunc(lateBy, i.forgetJobs)
	}
	s.mu.Unlock()
	if i.late || i.repeated {
		var again *storer.Writer
		if writer != nil {
			copied := *writer
			again = &copied
		}
		time.AfterFunc(lateBy, func() {
			// A next owner may have fenced off the writer.
			_, _ = i.store.Append(context.Background(), to, again, records...)
		})
	}
	switch {
	case i.refused:
		return 0, storer.ErrUnavailable
	case i.late:
		return 0, storer.ErrUnknown
	}
	end, err := i.store.Append(ctx, to, writer, records...)
	if i.lost {
		return 0, storer.ErrUnknown
	}
	return end, err
}

// forgetJobs deletes the history of the jobs. All who follow them are behind.
func (i *interrupter) forgetJobs() {
	jobs := storer.Partition{
		Topic:  conductor.JobsTopic,
		Number: partition,
	}
	// Memory does not fail.
	end, _ := i.store.Append(context.Background(), jobs, nil, storer.Record{
		Key: "nothing",
	})
	i.store.Trim(jobs, end)
}

// unreadable reports whether the process can read nothing.
func (s *interruptedStore) unreadable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isCut || !time.Now().After(s.unreadableUntil)
}

// Read implements storer.Store.
func (s *interruptedStore) Read(ctx context.Context, of storer.Partition, from int64, wait time.Duration) (storer.Page, error) {
	if s.unreadable() {
		return storer.Page{}, storer.ErrUnavailable
	}
	return s.Store.Read(ctx, of, from, wait)
}

// Newest implements storer.Store.
func (s *interruptedStore) Newest(ctx context.Context, of storer.Partition, after string) (storer.NewestPage, error) {
	if s.unreadable() {
		return storer.NewestPage{}, storer.ErrUnavailable
	}
	return s.Store.Newest(ctx, of, after)
}

func describeAppend(to storer.Partition, records []storer.Record) string {
	described := []string{"append to " + to.Topic}
	for _, record := range records {
		value := string(record.Value)
		if record.Value == nil {
			value = "deleted"
		}
		described = append(described, record.Key+" "+value[:min(40, len(value))])
	}
	return strings.Join(described, ", ")
}

// startedRun is a start that a worker has carried out.
type startedRun struct {
	task scheduler.TaskRef
	at   time.Time
}

// recordingFleet records the starts of a fleet.
type recordingFleet struct {
	*emulator.Fleet
	mu     sync.Mutex
	starts []startedRun
}

// Start implements conductor.Workers.
func (f *recordingFleet) Start(ctx context.Context, token int64, order scheduler.StartTask) (scheduler.StartOutcome, error) {
	outcome, err := f.Fleet.Start(ctx, token, order)
	if outcome == scheduler.StartDone {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.starts = append(f.starts, startedRun{
			task: order.Run.Task,
			at:   time.Now(),
		})
	}
	return outcome, err
}

// lifeOfJobs is a store, a fleet and a series of owners, of which one append is interrupted.
type lifeOfJobs struct {
	c           *qt.C
	interrupter *interrupter
	fleet       *recordingFleet
	owner       *conductor.Conductor
	// token is that of the last owner.
	token   atomic.Int64
	cancels []context.CancelFunc
	group   errgroup.Group
	// completed holds the jobs that have been shown as completed.
	completed map[string]bool
}

// startOwner starts the next owner. The former one is not notified, but not confirmed any more.
func (l *lifeOfJobs) startOwner() {
	token := l.token.Add(1)
	store := l.interrupter.view()
	owner := conductor.New(store, l.fleet, approveAll{}, partition, token,
		conductor.Scheduling(scheduler.Lease(time.Second, 1500*time.Millisecond), scheduler.Retention(2*time.Second)))
	owner.SetWorkers(l.fleet.Entries())
	ctx, cancel := context.WithCancel(context.Background())
	l.cancels = append(l.cancels, cancel)
	l.group.Go(func() error {
		// A former owner ends with ErrSuperseded.
		_ = owner.Run(ctx)
		return nil
	})
	l.group.Go(func() error {
		for ctx.Err() == nil {
			if token == l.token.Load() && !store.cut() {
				owner.ConfirmOwnership(time.Now())
			}
			// It returns the error of the context.
			_ = timekeeper.Sleep(ctx, timekeeper.System(), 100*time.Millisecond)
		}
		return nil
	})
	l.owner = owner
}

// append appends a caller's record, through one entry after another until it is stored.
func (l *lifeOfJobs) append(record storer.Record) {
	for {
		_, err := l.interrupter.view().Append(context.Background(), storer.Partition{
			Topic:  conductor.JobsTopic,
			Number: partition,
		}, nil, record)
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (l *lifeOfJobs) submit(id string, phases ...scheduler.Phase) storer.Record {
	for i := range phases {
		if i > 0 {
			phases[i].DependsOn = []int{i - 1}
		}
	}
	record, err := conductor.JobRecord(scheduler.Job{
		ID: id,
		Queue: scheduler.Queue{
			Name:        "checks",
			Service:     service,
			MaxAttempts: 3,
			SlackFactor: 2,
		},
		Phases:   phases,
		Accepted: time.Now(),
	})
	l.c.Assert(err, qt.IsNil)
	l.append(record)
	return record
}

// run lets time pass, starts the next owner when it is due, and checks what callers are shown.
func (l *lifeOfJobs) run(d time.Duration, ids ...string) {
	until := time.Now().Add(d)
	for time.Now().Before(until) {
		select {
		case <-l.interrupter.happened:
			if l.interrupter.takeover && l.token.Load() == 1 {
				time.Sleep(takeoverAfter)
				l.startOwner()
			}
		default:
		}
		for _, id := range ids {
			state, found, err := l.owner.State(context.Background(), id, "")
			if err != nil || !found {
				continue
			}
			l.c.Assert(!l.completed[id] || state == scheduler.Completed, qt.IsTrue, qt.Commentf("%s is shown as %s after completed", id, state))
			l.completed[id] = state == scheduler.Completed
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestEndedJobDoesNotRunAgainAfterAnInterruptedAppend guards against an ended job that runs
// again: every append from the acceptance of jobs to the deletion of their records is
// interrupted in turn. Nothing runs that has ended or was cancelled, nothing accepted is
// forgotten, and a deletion that was begun is finished.
func TestEndedJobDoesNotRunAgainAfterAnInterruptedAppend(t *testing.T) {
	for _, kind := range interruptions {
		t.Run(kind.name, func(t *testing.T) {
			for at, hit := 0, true; hit; at++ {
				synctest.Test(t, func(t *testing.T) {
					hit = playLifeOfJobs(qt.New(t), kind, at)
				})
			}
		})
	}
}

// playLifeOfJobs returns whether there is an append with the number at.
func playLifeOfJobs(c *qt.C, kind interruption, at int) bool {
	const cancelled, ended, later = "cancelled", "ended", "later"
	l := &lifeOfJobs{
		c: c,
		interrupter: &interrupter{
			store:        storer.NewMemory(timekeeper.System()),
			interruption: kind,
			at:           at,
			happened:     make(chan struct{}),
		},
		fleet: &recordingFleet{
			Fleet: emulator.NewFleet(timekeeper.System(), emulator.RunTime(func(task scheduler.TaskRef) time.Duration {
				switch task.Step.Job {
				case cancelled:
					return time.Hour
				case later:
					return 4 * time.Second
				default:
					return 300 * time.Millisecond
				}
			})),
		},
		completed: make(map[string]bool),
	}
	for i := range 3 {
		l.fleet.Add(fmt.Sprintf("w%d", i), service, sizer.New(4000, 16*gibibyte, 0))
	}
	defer func() {
		for _, cancel := range l.cancels {
			cancel()
		}
		c.Check(l.group.Wait(), qt.IsNil)
	}()
	comment := func() qt.Comment { return qt.Commentf("append %d: %s", at, l.interrupter.hit) }

	l.startOwner()
	record := l.submit(ended, tasks(2), tasks(1))
	l.submit(cancelled, tasks(2))
	l.run(time.Second, ended)
	cancel, err := conductor.CancelRecord(cancelled, "")
	c.Assert(err, qt.IsNil)
	l.append(cancel)
	cancelledAt := time.Now()
	l.append(record)
	l.run(9*time.Second, ended)
	c.Assert(l.completed[ended], qt.IsTrue, comment())
	l.submit(later, tasks(2))
	l.run(11*time.Second, ended, later)
	c.Assert(l.completed[later], qt.IsTrue, comment())
	l.run(40*time.Second, later)
	l.startOwner()
	l.run(20 * time.Second)

	c.Assert(l.fleet.Violations(), qt.HasLen, 0, comment())
	starts := make(map[scheduler.TaskRef]int)
	for _, start := range l.fleet.starts {
		starts[start.task]++
		if start.task.Step.Job == cancelled {
			c.Assert(start.at.Sub(cancelledAt) < 3*time.Second, qt.IsTrue, comment())
		}
	}
	for task, n := range starts {
		if task.Step.Job != cancelled {
			c.Assert(n, qt.Equals, 1, qt.Commentf("starts of %v; append %d: %s", task, at, l.interrupter.hit))
		}
	}
	for _, topic := range []string{conductor.JobsTopic, conductor.ProgressTopic} {
		page, err := l.interrupter.store.Newest(context.Background(), storer.Partition{
			Topic:  topic,
			Number: partition,
		}, "")
		c.Assert(err, qt.IsNil)
		for _, record := range page.Records {
			c.Assert(strings.HasPrefix(record.Key, "/"), qt.IsTrue, qt.Commentf("%s of %s stays; append %d: %s", record.Key, topic, at, l.interrupter.hit))
		}
	}
	if l.interrupter.hit == "" {
		return false
	}
	return !c.Failed()
}

// keepingStore answers no deletion of a record of the jobs partition.
type keepingStore struct {
	storer.Store
}

// Append implements storer.Store.
func (s keepingStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	if to.Topic == conductor.JobsTopic {
		<-ctx.Done()
		return 0, storer.ErrUnknown
	}
	return s.Store.Append(ctx, to, writer, records...)
}

// TestDeletionsHoldUpNoProgress guards against jobs whose progress is not stored while the
// deletion of ended jobs has no answer.
func TestDeletionsHoldUpNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		owner := conductor.New(keepingStore{
			Store: f.store,
		}, f.fleet, approveAll{}, partition, 1, conductor.Scheduling(scheduler.Retention(time.Second)))
		owner.SetWorkers(f.fleet.Entries())
		ctx, stop := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return owner.Run(ctx) })
		f.owner = owner
		f.submit("first", tasks(2))
		f.await("first", scheduler.Completed)
		for i := range 10 {
			for range 20 {
				owner.ConfirmOwnership(time.Now())
				time.Sleep(100 * time.Millisecond)
			}
			id := fmt.Sprintf("job%d", i)
			f.submit(id, tasks(2))
			submittedAt := time.Now()
			f.await(id, scheduler.Completed)
			// The fleet reports an end with the next renewal of a lease, after a second at most.
			f.c.Check(time.Since(submittedAt) < 2*time.Second, qt.IsTrue, qt.Commentf("%s took %v", id, time.Since(submittedAt)))
		}
		stop()
		f.c.Assert(group.Wait(), qt.ErrorIs, context.Canceled)
	})
}
