package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// TestListedEndedWorkerIsDoubtedOnce guards against jobs that wait without end for the ownership to
// be confirmed, as a directory that lags lists a worker whose end is learned again and again, more
// often than the store takes to confirm it.
func TestListedEndedWorkerIsDoubtedOnce(t *testing.T) {
	const directoryInterval, renewalPause, step = 400 * time.Millisecond, 200 * time.Millisecond, 10 * time.Millisecond
	for _, check := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(check.String(), func(t *testing.T) {
			r := newRig(t)
			w := r.addWorker("w", cores(4))
			ended := scheduler.WorkerEntry{
				Ref: scheduler.WorkerRef{
					ID:      "ended",
					Address: "ended:1",
				},
				Service: "desk",
				Total:   cores(4),
			}
			workers := []scheduler.WorkerEntry{ended, w.entry}
			r.s.AddFormerWorkers(workers)
			r.s.AddJob(r.job("j", newPhase(2, cores(1))), &scheduler.Progress{
				State:   scheduler.Running,
				Workers: []string{"ended", "w"},
			}, true, r.now)
			began := r.now
			var checkBegan, checkEnds, directoryAt, renewalAt time.Time
			for r.activeRuns() == 0 && r.now.Sub(began) < 20*time.Second {
				r.advance(step)
				if !r.now.Before(directoryAt) {
					r.s.SetWorkers(workers)
					directoryAt = r.now.Add(directoryInterval)
					renewalAt = r.now
				}
				if !r.now.Before(renewalAt) {
					r.s.EndWorker("ended", r.now)
					renewalAt = r.now.Add(renewalPause)
				}
				r.renewLeasesOf(func(id string) bool { return id == "w" })
				if !checkEnds.IsZero() && !r.now.Before(checkEnds) {
					r.s.ConfirmOwnership(checkBegan)
					checkEnds = time.Time{}
				}
				if _, due := r.s.ConfirmationDue(); due && checkEnds.IsZero() {
					checkBegan, checkEnds = r.now, r.now.Add(check)
				}
				r.s.ConfirmAssignment(r.now)
				r.carryOut(r.s.Tick(r.now))
				r.write()
			}
			waited := r.now.Sub(began)
			t.Logf("started after %v", waited)
			r.c.Assert(waited <= 2*check+10*step, qt.IsTrue)
		})
	}
}
