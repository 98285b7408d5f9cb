package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// TestLaterLossesDelayNoProof guards against a job that stands while its workers are lost one after the
// other, as each loss voids the proof that the tasks lost earlier wait for.
func TestLaterLossesDelayNoProof(t *testing.T) {
	const (
		lossInterval     = 100 * time.Millisecond
		confirmationTime = 150 * time.Millisecond
		losses           = 30
	)
	r := newRig(t)
	for i := range 60 {
		r.addWorker(fmt.Sprintf("w%02d", i), cores(1))
	}
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(40, cores(1))), nil, false, r.now)
	for range 3 {
		r.round()
		r.write()
	}
	var busy []string
	for id, w := range r.workersByID {
		if len(w.activeRuns) > 0 {
			busy = append(busy, id)
		}
	}
	r.c.Assert(len(busy) >= losses, qt.IsTrue)
	r.advance(25 * time.Millisecond)
	began := r.now
	restarts := 0
	for i := range losses {
		r.workersByID[busy[i]].silent = true
		r.s.EndWorker(busy[i], r.now)
		for until := r.now.Add(lossInterval); r.now.Before(until); {
			r.advance(25 * time.Millisecond)
			r.s.ConfirmOwnership(r.now.Add(-confirmationTime))
			effects := r.s.Tick(r.now)
			r.write()
			for _, effect := range effects {
				if _, started := effect.(scheduler.StartTask); started {
					restarts++
				}
			}
			r.carryOut(effects)
			r.renewLeases()
		}
	}
	r.c.Assert(restarts > 0, qt.IsTrue, qt.Commentf("no task was started again in %v", r.now.Sub(began)))
}
