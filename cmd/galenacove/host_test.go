package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/platform"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

// hostSettings returns settings of a platform whose workers accept leases of that length.
func hostSettings(t *testing.T, maxLease time.Duration) platform.Settings {
	path := filepath.Join(t.TempDir(), "boot.toml")
	settings := fmt.Sprintf(`
node_name = "edge-1"
zone = "z"
ip = "10.1.0.30"
internal_ports = [7380, 7395]
[bind_addresses]
frontend = "10.1.0.30:8149"
readiness = "10.1.0.30:8141"
[limits]
memory_mb = 284
[bounds]
grace_s = 6
hold_limit_ms = %d
stop_timeout_ms = 900
status_s = 120
remote_factor = 1.5
[platform]
address = "10.200.1.7:8142"
parts = 12
ttl_min_ms = 1000
`, maxLease.Milliseconds())
	qt.Assert(t, os.WriteFile(path, []byte(settings), 0o600), qt.IsNil)
	loaded, err := platform.LoadSettings(path)
	qt.Assert(t, err, qt.IsNil)
	return loaded
}

// leaseCell is an owner with a worker that may be cut off, and a spare one.
type leaseCell struct {
	c         *qt.C
	options   []scheduler.Option
	owner     *scheduler.Scheduler
	now       time.Time
	startedAt time.Time
	clockZero time.Time
	cutOff    bool
	// losesAnswer is set if the worker carries out the next start and its answer is lost.
	losesAnswer bool
	// heardFormer is the last time at which the worker obeyed the token of the first owner, which calls
	// to its former life carry.
	heardFormer time.Time
	// run is what the worker reports as active, and spared is set once the spare one is told to start
	// the task.
	run    *scheduler.ActiveRun
	spared bool
	// stored holds the last stored workers and jobs.
	stored scheduler.Write
}

func (l *leaseCell) entries() []scheduler.WorkerEntry {
	var entries []scheduler.WorkerEntry
	for _, id := range []string{"w", "spare"} {
		entries = append(entries, scheduler.WorkerEntry{
			Ref: scheduler.WorkerRef{
				ID:      id,
				Address: id + ":1",
			},
			Service:   "desk",
			StartedAt: l.startedAt,
			Total:     sizer.New(4000, 1<<30, 0),
		})
	}
	return entries
}

// write stores all changes.
func (l *leaseCell) write() {
	write := l.owner.NextWrite()
	l.owner.Written(write)
	if len(write.Workers) > 0 {
		l.stored.Workers = write.Workers
	}
	if len(write.Jobs) > 0 {
		l.stored.Jobs = write.Jobs
	}
}

// step advances the time and lets the owner act.
func (l *leaseCell) step() {
	l.now = l.now.Add(50 * time.Millisecond)
	l.owner.ConfirmOwnership(l.now)
	for _, ref := range l.owner.Workers() {
		order, known := l.owner.LeaseRenewal(ref.ID, l.now)
		l.c.Assert(known, qt.IsTrue)
		if ref.ID == "w" && l.cutOff {
			l.owner.RenewalFailed(ref.ID, l.now)
			continue
		}
		if ref.ID == "w" && order.Token == 1 {
			l.heardFormer = l.now
		}
		report := scheduler.Report{
			Clock:     l.now.Sub(l.clockZero),
			StartedAt: l.startedAt,
		}
		if ref.ID == "w" && l.run != nil {
			report.Active = []scheduler.ActiveRun{*l.run}
		}
		l.owner.Report(ref.ID, report, l.now, l.now)
	}
	l.write()
	for _, effect := range l.owner.Tick(l.now) {
		switch effect := effect.(type) {
		case scheduler.StartTask:
			switch {
			case effect.Worker.ID == "spare":
				l.spared = true
			case l.cutOff:
				l.owner.StartAnswered("w", effect.Run, scheduler.StartUnknown, l.now)
			default:
				l.run = &scheduler.ActiveRun{
					Run: effect.Run,
				}
				outcome := effect.DoneAt(l.now.Sub(l.clockZero))
				if l.losesAnswer {
					outcome = scheduler.StartUnknown
				}
				l.owner.StartAnswered("w", effect.Run, outcome, l.now)
			}
		case scheduler.StopTask:
			l.owner.StopAnswered(effect, false, l.now)
		case scheduler.AskAdvice, scheduler.PaceTask:
		}
	}
	l.write()
}

// TestLeaseThatALateCallExtendsIsWaitedFor guards against a task that runs twice: a worker that started
// again took a call that was meant for its former life, which names a lease on that life's clock, and
// shortened it to the longest one that it accepts, longer than any that owners grant.
func TestLeaseThatALateCallExtendsIsWaitedFor(t *testing.T) {
	for _, maxLease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		for _, nextOwner := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, next owner %v", maxLease, nextOwner), func(t *testing.T) {
				l := &leaseCell{
					c:         qt.New(t),
					options:   schedulingOptions(hostSettings(t, maxLease)),
					now:       time.Unix(1_700_000_000, 0),
					startedAt: time.Unix(1_690_000_000, 0),
					clockZero: time.Unix(1_690_000_000, 0),
				}
				l.owner = scheduler.New(1, l.now, l.options...)
				l.owner.SetWorkers(l.entries()[:1])
				l.step()
				job := scheduler.Job{
					ID: "j",
					Queue: scheduler.Queue{
						Name:        "checks",
						Service:     "desk",
						MaxAttempts: 2,
						SlackFactor: 2,
						Target:      time.Second,
					},
					Phases: []scheduler.Phase{
						{
							Tasks:    1,
							Size:     sizer.New(1000, 1<<20, 0),
							Estimate: time.Second,
						},
					},
					Accepted: l.now,
				}
				l.owner.AddJob(job, nil, false, l.now)
				// Next, the worker starts again, and its clock with it.
				if nextOwner {
					// The next life carries out a start without an answer as the owner is replaced.
					l.losesAnswer = true
				} else {
					l.startedAt, l.clockZero = l.now, l.now
				}
				for range 20 {
					if l.run == nil {
						l.step()
					}
				}
				l.c.Assert(l.run, qt.IsNotNil)
				lateCallAt := l.now
				if !nextOwner {
					lateCallAt = l.heardFormer
				}
				// The worker's clock may be 2% slow.
				leaseEnds := lateCallAt.Add(time.Duration(float64(maxLease) / 0.98))
				l.cutOff = true
				if nextOwner {
					l.owner = scheduler.New(2, l.now, l.options...)
					l.owner.AddFormerWorkers(l.stored.Workers)
					l.owner.AddJob(job, &l.stored.Jobs[0].Progress, true, l.now)
				}
				l.owner.SetWorkers(l.entries())
				for !l.spared {
					l.c.Assert(l.now.Before(leaseEnds.Add(2*time.Second)), qt.IsTrue, qt.Commentf("not started again"))
					l.step()
				}
				l.c.Assert(l.now.Before(leaseEnds), qt.IsFalse, qt.Commentf("started again %v before the lease ended", leaseEnds.Sub(l.now)))
			})
		}
	}
}
