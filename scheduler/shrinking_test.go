package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// startsOn counts the starts among the effects of the last tick.
func (r *rig) startsOn(id string) int {
	n := 0
	for _, effect := range r.effects {
		if start, isStart := effect.(scheduler.StartTask); isStart && start.Worker.ID == id {
			n++
		}
	}
	return n
}

// TestShrunkenWorkerIsNotOvercommitted guards against starts on a worker whose capacity has
// shrunk under what it runs, stops or was about to start.
func TestShrunkenWorkerIsNotOvercommitted(t *testing.T) {
	// shrink sets the capacity that the worker reports.
	shrink := func(r *rig, w *fakeWorker, n int64) {
		w.entry.Total = cores(n)
		r.updateDirectory()
	}
	for _, test := range []struct {
		name string
		// capacity is what the worker has left beside three runs of two cores.
		capacity int64
		before   func(*rig)
		want     int
	}{
		{
			name:     "less than what runs",
			capacity: 5,
			want:     0,
		},
		{
			name:     "exactly what runs",
			capacity: 6,
			want:     0,
		},
		{
			name:     "less than what runs and stops",
			capacity: 7,
			before:   func(r *rig) { r.s.Cancel("first", r.now) },
			want:     0,
		},
		{
			name:     "room for one more",
			capacity: 8,
			want:     1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			w := r.addWorker("w", cores(16))
			r.updateDirectory()
			r.renewLeases()
			r.s.AddJob(r.job("first", newPhase(3, cores(2))), nil, false, r.now)
			r.tick()
			r.c.Assert(w.activeRuns, qt.HasLen, 3)
			if test.before != nil {
				test.before(r)
			}
			shrink(r, w, test.capacity)
			r.s.AddJob(r.job("second", newPhase(4, cores(2))), nil, false, r.now)
			r.tick()
			r.c.Assert(r.startsOn("w"), qt.Equals, test.want)
			shrink(r, w, 16)
			r.round()
			r.c.Assert(r.startsOn("w") > 0, qt.IsTrue, qt.Commentf("no start after the capacity has grown"))
		})
	}
	t.Run("while starts wait for a write", func(t *testing.T) {
		r := newRig(t)
		w := r.addWorker("w", cores(16))
		r.updateDirectory()
		r.renewLeases()
		r.s.AddJob(r.job("j", newPhase(8, cores(2))), nil, false, r.now)
		r.carryOut(r.s.Tick(r.now))
		r.c.Assert(r.s.PlannedRuns(), qt.Equals, 8)
		w.entry.Total = cores(5)
		r.updateDirectory()
		r.carryOut(r.s.Tick(r.now))
		r.c.Assert(len(w.activeRuns) <= 2, qt.IsTrue, qt.Commentf("%d runs of two cores on five", len(w.activeRuns)))
		for range 3 {
			r.advance(10 * time.Millisecond)
			r.tick()
		}
		r.c.Assert(w.activeRuns, qt.HasLen, 2)
	})
	t.Run("under a new owner", func(t *testing.T) {
		r := newRig(t)
		w := r.addWorker("w", cores(16))
		r.updateDirectory()
		r.renewLeases()
		r.s.AddJob(r.job("j", newPhase(8, cores(2))), nil, false, r.now)
		r.tick()
		r.c.Assert(w.activeRuns, qt.HasLen, 8)
		former := r.storedWorkers
		w.entry.Total = cores(5)
		r.s = scheduler.New(2, r.now)
		r.s.AddFormerWorkers(former)
		r.updateDirectory()
		r.renewLeases()
		r.s.AddJob(r.job("next", newPhase(4, cores(2))), nil, false, r.now)
		r.tick()
		r.c.Assert(r.startsOn("w"), qt.Equals, 0)
	})
}
