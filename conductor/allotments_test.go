package conductor_test

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

const (
	acme           = "acme"
	ledgerKey      = "/allotments"
	firstPartition = 1
	// lastPartition is the other base partition.
	lastPartition = 4
)

// gatedStore holds back the appends of ledgers while it is closed.
type gatedStore struct {
	*storer.Memory
	mu sync.Mutex
	// gate is closed to let appends pass, and nil if they pass anyway. held receives a
	// value for each append that is held back.
	gate chan struct{}
	held chan struct{}
}

func (s *gatedStore) hold() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gate := make(chan struct{})
	s.gate = gate
	return func() {
		s.mu.Lock()
		s.gate = nil
		s.mu.Unlock()
		close(gate)
	}
}

func (s *gatedStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate != nil && slices.ContainsFunc(records, func(r storer.Record) bool { return r.Key == ledgerKey }) {
		select {
		case s.held <- struct{}{}:
		default:
		}
		select {
		case <-gate:
		case <-ctx.Done():
			return 0, storer.ErrUnavailable
		}
	}
	return s.Memory.Append(ctx, to, writer, records...)
}

// allotmentFixture is a store and the owners of two base partitions.
type allotmentFixture struct {
	c      *qt.C
	store  *gatedStore
	fleet  *emulator.Fleet
	tokens map[int]int64

	mu     sync.Mutex
	owners map[int]*conductor.Conductor
	// unreachable is set while owners cannot call each other.
	unreachable bool
}

func newAllotmentFixture(t *testing.T) *allotmentFixture {
	f := &allotmentFixture{
		c: qt.New(t),
		store: &gatedStore{
			Memory: storer.NewMemory(timekeeper.System()),
			held:   make(chan struct{}, 1),
		},
		fleet:  emulator.NewFleet(timekeeper.System(), emulator.RunTime(func(scheduler.TaskRef) time.Duration { return time.Hour })),
		tokens: make(map[int]int64),
		owners: make(map[int]*conductor.Conductor),
	}
	f.fleet.Add("w", service, sizer.New(6000, 64*gibibyte, 0))
	return f
}

// ask calls the last owner of a partition.
func (f *allotmentFixture) ask(ctx context.Context, partition int, request allotter.Request) (allotter.Reply, error) {
	f.mu.Lock()
	owner, unreachable := f.owners[partition], f.unreachable
	f.mu.Unlock()
	if owner == nil || unreachable {
		return allotter.Reply{}, errors.New("no such owner")
	}
	return owner.Allot(ctx, request)
}

func (f *allotmentFixture) setUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = unreachable
}

// start starts the next owner of a partition, and returns the function that stops it.
func (f *allotmentFixture) start(t *testing.T, partition int) (*conductor.Conductor, func() error) {
	f.tokens[partition]++
	owner := conductor.New(f.store, f.fleet, approveAll{}, partition, f.tokens[partition],
		conductor.ExchangeAllotments(f.ask),
		conductor.Scheduling(scheduler.Lease(time.Second, 1500*time.Millisecond)))
	if partition == firstPartition {
		owner.SetWorkers(f.fleet.Entries())
	}
	owner.SetOrganisations([]scheduler.Organisation{{
		Name:    acme,
		Weight:  1,
		Maximum: sizer.New(8000, 32*gibibyte, 4),
	}}, 0)
	base := []int{firstPartition, lastPartition}
	owner.SetAllotmentPartitions(base, base)
	f.mu.Lock()
	f.owners[partition] = owner
	f.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return owner.Run(ctx) })
	group.Go(func() error {
		return timekeeper.Every(ctx, timekeeper.System(), 100*time.Millisecond, func(context.Context) {
			owner.ConfirmOwnership(time.Now())
		})
	})
	end := sync.OnceValue(func() error {
		stop()
		return group.Wait()
	})
	// An owner that was superseded has ended with an error already.
	t.Cleanup(func() { _ = end() })
	for {
		if _, err := owner.WaitingJobs(""); err == nil {
			return owner, end
		}
		time.Sleep(time.Millisecond)
	}
}

// missing asks for parts of the organisation as another partition's owner.
func missing(from int, token int64, parts int64) allotter.Request {
	return allotter.Request{
		Partition: from,
		Token:     token,
		Wants: []allotter.Want{{
			Organisation: acme,
			Missing:      allotter.Parts{parts, parts, parts},
		}},
	}
}

// storedLedger returns the stored ledger of a partition, and false if there is none.
func (f *allotmentFixture) storedLedger(partition int) (allotter.Record, bool) {
	records, _, err := storer.AllNewest(context.Background(), f.store.Memory, storer.Partition{
		Topic:  conductor.ProgressTopic,
		Number: partition,
	})
	f.c.Assert(err, qt.IsNil)
	for _, record := range records {
		if record.Key == ledgerKey {
			ledger, err := allotter.DecodeRecord(record.Value)
			f.c.Assert(err, qt.IsNil)
			return ledger, true
		}
	}
	return allotter.Record{}, false
}

// TestReplyIsSentBeforeTheWriteIsStored guards against parts that are held twice: by the
// taker that has the answer, and by the next owner of the giver's partition, which does
// not find the gift in the store.
func TestReplyIsSentBeforeTheWriteIsStored(t *testing.T) {
	f := newAllotmentFixture(t)
	giver, _ := f.start(t, firstPartition)
	release := f.store.hold()
	var reply allotter.Reply
	answered := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		var err error
		reply, err = giver.Allot(context.Background(), missing(lastPartition, 1, 100))
		answered <- err
		return nil
	})
	<-f.store.held
	select {
	case err := <-answered:
		f.c.Fatalf("answered before the ledger was stored: %v", err)
	default:
	}
	_, found := f.storedLedger(firstPartition)
	f.c.Assert(found, qt.IsFalse)
	release()
	f.c.Assert(<-answered, qt.IsNil)
	f.c.Assert(group.Wait(), qt.IsNil)
	f.c.Assert(reply.Given, qt.HasLen, 1)
	ledger, found := f.storedLedger(firstPartition)
	f.c.Assert(found, qt.IsTrue)
	f.c.Assert(ledger.Given[lastPartition][acme], qt.Equals, reply.Given[0].Parts)
	f.c.Assert(reply.Given[0].Parts, qt.Equals, allotter.Parts{100, 100, 100})
}

// TestStoreOutageLosesParts guards against an answer although the store does not respond,
// and against parts that are lost or given again when the request is repeated afterwards.
func TestStoreOutageLosesParts(t *testing.T) {
	f := newAllotmentFixture(t)
	giver, _ := f.start(t, firstPartition)
	release := f.store.hold()
	for range 3 {
		_, err := giver.Allot(context.Background(), missing(lastPartition, 1, 100))
		f.c.Assert(err, qt.ErrorIs, conductor.ErrNotStored)
	}
	_, found := f.storedLedger(firstPartition)
	f.c.Assert(found, qt.IsFalse)
	release()
	for {
		reply, err := giver.Allot(context.Background(), missing(lastPartition, 1, 100))
		if err != nil {
			// The overdue write is still to be stored.
			time.Sleep(5 * time.Millisecond)
			continue
		}
		f.c.Assert(reply.Given[0].Parts, qt.Equals, allotter.Parts{100, 100, 100})
		return
	}
}

// TestNewOwnerForgetsGifts guards against a new owner that holds again what the former one
// has given, and against a former owner that gives after it was superseded.
func TestNewOwnerForgetsGifts(t *testing.T) {
	f := newAllotmentFixture(t)
	former, _ := f.start(t, firstPartition)
	_, err := former.Allot(context.Background(), missing(lastPartition, 1, 300_000))
	f.c.Assert(err, qt.IsNil)
	owner, _ := f.start(t, firstPartition)
	_, err = former.Allot(context.Background(), missing(lastPartition, 1, 400_000))
	f.c.Assert(err, qt.Not(qt.IsNil))
	// Of its 500,000 parts, 200,000 are left.
	reply, err := owner.Allot(context.Background(), allotter.Request{
		Partition: lastPartition,
		Token:     1,
		Wants: []allotter.Want{{
			Organisation: acme,
			Missing:      allotter.Parts{allotter.Whole, allotter.Whole, allotter.Whole},
			Received:     allotter.Parts{300_000, 300_000, 300_000},
		}},
	})
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(reply.Given[0].Parts, qt.Equals, allotter.Parts{500_000, 500_000, 500_000})
}

// TestTakerDoesNotAsk guards against an owner with waiting work that does not ask for the
// parts that it misses, and against one that does not store what it has received.
func TestTakerDoesNotAsk(t *testing.T) {
	f := newAllotmentFixture(t)
	f.start(t, firstPartition)
	f.start(t, lastPartition)
	f.submitLarge(firstPartition)
	received := f.awaitReceived()
	ledger, _ := f.storedLedger(lastPartition)
	given := ledger.Given[firstPartition][acme]
	f.c.Assert(given.Max(received), qt.Equals, given)
	f.c.Assert(given[allotter.Accelerators], qt.Equals, int64(0))
}

// awaitReceived waits until the ledger of the first partition says that it has received
// parts for at least two more tasks, and returns what it has received.
func (f *allotmentFixture) awaitReceived() allotter.Parts {
	for {
		ledger, _ := f.storedLedger(firstPartition)
		if received := ledger.Received[lastPartition][acme]; received[allotter.Cores] >= 250_000 {
			return received
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// submitLarge stores a job that needs the whole maximum of cores and memory. The worker has
// room for three quarters of it, and the first partition holds half of the maximum.
func (f *allotmentFixture) submitLarge(partition int) {
	record, err := conductor.JobRecord(scheduler.Job{
		ID: "large",
		Queue: scheduler.Queue{
			Name:        "checks",
			Service:     service,
			MaxAttempts: 3,
			SlackFactor: 2,
		},
		Organisation: acme,
		Phases: []scheduler.Phase{{
			Tasks:    8,
			Size:     sizer.New(1000, 4*gibibyte, 0),
			Estimate: time.Second,
		}},
		Accepted: time.Now(),
	})
	f.c.Assert(err, qt.IsNil)
	_, err = f.store.Memory.Append(context.Background(), storer.Partition{
		Topic:  conductor.JobsTopic,
		Number: partition,
	}, nil, record)
	f.c.Assert(err, qt.IsNil)
}

// TestNewOwnerForgetsWhatItReceived guards against parts that nobody holds after a
// takeover: the former owner received them, and the new one does not know.
func TestNewOwnerForgetsWhatItReceived(t *testing.T) {
	for _, unstored := range []bool{false, true} {
		f := newAllotmentFixture(t)
		f.start(t, lastPartition)
		want := int64(allotter.Whole)
		if unstored {
			// The answer was lost, or its receipt was never stored: the new owner has
			// to ask for it.
			_, err := f.ask(context.Background(), lastPartition, missing(firstPartition, 1, 500_000))
			f.c.Assert(err, qt.IsNil)
		} else {
			_, end := f.start(t, firstPartition)
			f.submitLarge(firstPartition)
			f.awaitReceived()
			f.c.Assert(end(), qt.ErrorIs, context.Canceled)
			f.setUnreachable(true)
			ledger, _ := f.storedLedger(firstPartition)
			want = 500_000 + ledger.Received[lastPartition][acme][allotter.Cores]
			f.cancelLarge(firstPartition)
		}
		f.start(t, firstPartition)
		// The new owner has the parts if it can give them.
		for {
			reply, err := f.owners[firstPartition].Allot(context.Background(), missing(lastPartition, 1, allotter.Whole))
			if err == nil && reply.Given[0].Parts[allotter.Cores] == want {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (f *allotmentFixture) cancelLarge(partition int) {
	record, err := conductor.CancelRecord("large", acme)
	f.c.Assert(err, qt.IsNil)
	_, err = f.store.Memory.Append(context.Background(), storer.Partition{
		Topic:  conductor.JobsTopic,
		Number: partition,
	}, nil, record)
	f.c.Assert(err, qt.IsNil)
}

// TestOlderReleaseFailsOnTheLedger guards against a stored ledger that an owner of an
// older release cannot decode as the progress of a job, as it does with any key that it
// does not know.
func TestOlderReleaseFailsOnTheLedger(t *testing.T) {
	c := qt.New(t)
	ledger := allotter.NewLedger()
	ledger.SetBase(firstPartition, []int{firstPartition, lastPartition})
	ledger.Give(lastPartition, acme, allotter.Parts{1, 2, 3})
	data, err := json.Marshal(ledger.Record())
	c.Assert(err, qt.IsNil)
	var progress scheduler.Progress
	c.Assert(json.Unmarshal(data, &progress), qt.IsNil)
	c.Assert(progress, qt.DeepEquals, scheduler.Progress{})
	c.Assert(strings.Contains(ledgerKey, "/"), qt.IsTrue)
}
