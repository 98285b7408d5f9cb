package conductor_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/conductor"
	"github.com/galenacove/galenacove/emulator"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
	"github.com/galenacove/galenacove/storer"
	"github.com/galenacove/galenacove/timekeeper"
)

// suspendedHost is the boot-time clock of a host that is suspended while its other clock stands still.
type suspendedHost struct {
	start     time.Time
	suspended atomic.Int64
}

// SinceBoot implements timekeeper.BootClock.
func (h *suspendedHost) SinceBoot() time.Duration {
	return time.Since(h.start) + time.Duration(h.suspended.Load())
}

// runningFleet is a fleet whose workers go on while the owner's host is suspended.
type runningFleet struct {
	*emulator.Fleet
	host *suspendedHost
	// lastProof is the latest time by the workers' clocks at which there was certainly no successor,
	// and longest the end of the longest lease after it.
	lastProof *atomic.Int64
	longest   atomic.Int64
}

// RenewLease implements conductor.Workers.
func (f *runningFleet) RenewLease(ctx context.Context, token int64, order scheduler.LeaseRenewal, wait time.Duration) (scheduler.Report, error) {
	suspended := time.Duration(f.host.suspended.Load())
	if order.Lease > 0 {
		f.longest.Store(max(f.longest.Load(), int64(order.Lease)-f.lastProof.Load()))
		order.Lease -= suspended
	}
	report, err := f.Fleet.RenewLease(ctx, token, order, wait)
	report.Clock += time.Duration(f.host.suspended.Load())
	return report, err
}

// writtenStore records when the last append began that it took, which shows that there was no
// successor.
type writtenStore struct {
	storer.Store
	host      *suspendedHost
	lastProof *atomic.Int64
	down      atomic.Bool
}

// Append implements storer.Store.
func (s *writtenStore) Append(ctx context.Context, to storer.Partition, writer *storer.Writer, records ...storer.Record) (int64, error) {
	if s.down.Load() {
		return 0, storer.ErrUnavailable
	}
	began := s.host.SinceBoot()
	end, err := s.Store.Append(ctx, to, writer, records...)
	if err == nil {
		s.lastProof.Store(int64(began))
	}
	return end, err
}

// TestSuspendedOwnerGrantsNoLongerLease guards against an owner whose host was suspended, and that
// grants leases which outlive the wait of the next owner. The next owner took the runs there for ended
// and started the tasks again.
func TestSuspendedOwnerGrantsNoLongerLease(t *testing.T) {
	for name, test := range map[string]struct {
		// early is set if the host is suspended while the owner takes over.
		early bool
		// joined is set if the answer to a join from before the suspension arrives after it.
		joined bool
	}{
		"while it owns the partition": {},
		"with a join under way": {
			joined: true,
		},
		"while it takes over": {
			early: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				host := &suspendedHost{
					start: time.Now(),
				}
				lastProof := new(atomic.Int64)
				fleet := &runningFleet{
					Fleet:     emulator.NewFleet(timekeeper.System()),
					host:      host,
					lastProof: lastProof,
				}
				fleet.Add("w", service, sizer.New(4000, 16*gibibyte, 0))
				store := &writtenStore{
					Store: slowReadingStore{
						Store:       storer.NewMemory(timekeeper.System()),
						delay:       time.Second,
						takesWrites: true,
						began:       new(atomic.Int64),
						start:       time.Now(),
					},
					host:      host,
					lastProof: lastProof,
				}
				owner := conductor.New(store, fleet, approveAll{}, partition, 1, conductor.BootClock(host),
					conductor.Scheduling(scheduler.Lease(3500*time.Millisecond, 6*time.Second)))
				owner.SetWorkers(fleet.Entries())
				ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
				defer stop()
				suspend := time.AfterFunc(3*time.Second, func() {
					store.down.Store(true)
					joinSent, sentAt := time.Now(), host.SinceBoot()
					host.suspended.Store(int64(5 * time.Second))
					if test.joined {
						lastProof.Store(int64(sentAt))
						time.Sleep(time.Millisecond)
						owner.ConfirmOwnership(joinSent)
					}
				})
				if test.early {
					suspend.Reset(500 * time.Millisecond)
				}
				c.Check(owner.Run(ctx), qt.ErrorIs, context.DeadlineExceeded)
				c.Check(fleet.longest.Load() > 0, qt.IsTrue)
				longest := time.Duration(fleet.longest.Load())
				// A successor waits for 6 s of the slowest clock.
				c.Check(longest <= 6*time.Second, qt.IsTrue, qt.Commentf("lease for %v after the last proof", longest))
			})
		})
	}
}

// wakingFleet is a fleet to which the first start is lost as the owner's host is suspended.
type wakingFleet struct {
	*emulator.Fleet
	host *suspendedHost
	// sent counts the starts of each attempt.
	mu   sync.Mutex
	sent map[scheduler.RunRef]int
}

// Start implements conductor.Workers.
func (f *wakingFleet) Start(ctx context.Context, token int64, order scheduler.StartTask) (scheduler.StartOutcome, error) {
	f.mu.Lock()
	f.sent[order.Run]++
	f.mu.Unlock()
	if f.host.suspended.CompareAndSwap(0, int64(3*time.Second)) {
		return scheduler.StartUnknown, conductor.ErrUnreachable
	}
	return f.Fleet.Start(ctx, token, order)
}

// TestSuspendedOwnerSendsNoOlderStart guards against an order to start a run from before a suspension of
// the host that is sent after it. A worker that had started again meanwhile carried it out, although the
// next owner took its leases for over.
func TestSuspendedOwnerSendsNoOlderStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		fleet := &wakingFleet{
			Fleet: f.fleet,
			host: &suspendedHost{
				start: time.Now(),
			},
			sent: make(map[scheduler.RunRef]int),
		}
		owner := conductor.New(f.store, fleet, approveAll{}, partition, 1, conductor.BootClock(fleet.host))
		owner.SetWorkers(f.fleet.Entries())
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		f.submit("j", tasks(1))
		f.c.Check(owner.Run(ctx), qt.ErrorIs, context.DeadlineExceeded)
		for run, sent := range fleet.sent {
			f.c.Check(sent, qt.Equals, 1, qt.Commentf("%v", run))
		}
		f.c.Check(fleet.host.suspended.Load() > 0, qt.IsTrue)
	})
}
