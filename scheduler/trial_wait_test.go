package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// TestSuspectWaitsForNoPauseInStarts guards against a suspect that waits without end, as other
// tasks start all the time on each worker that could run it.
func TestSuspectWaitsForNoPauseInStarts(t *testing.T) {
	for _, test := range []struct {
		// labelled is the number of workers that can run the suspect, of 4, and starts that of the
		// other tasks which come every 20 ms.
		labelled, starts int
		// late is set if the other tasks are more urgent than the suspect.
		late bool
	}{
		{
			labelled: 1,
			starts:   1,
		},
		{
			labelled: 1,
			starts:   1,
			late:     true,
		},
		{
			labelled: 1,
			starts:   2,
		},
		{
			labelled: 2,
			starts:   2,
		},
		{
			labelled: 2,
			starts:   2,
			late:     true,
		},
		{
			labelled: 4,
			starts:   2,
		},
		{
			labelled: 4,
			starts:   2,
			late:     true,
		},
	} {
		t.Run(fmt.Sprintf("%d workers, %d starts, late %t", test.labelled, test.starts, test.late), func(t *testing.T) {
			b := newStartsRig(t, test.labelled, test.starts)
			b.play(time.Second, func() bool { return false })
			suspect := newPhase(1, cores(1))
			suspect.Requires = "card"
			job := b.job("suspect", suspect)
			if test.late {
				job.Accepted = b.now.Add(-time.Minute)
			}
			b.s.AddJob(job, nil, false, b.now)
			b.play(time.Second, b.suspectRuns)
			b.c.Assert(b.suspectRuns(), qt.IsTrue)
			b.crash()
			b.c.Assert(b.suspectRuns(), qt.IsFalse)
			waited := b.play(time.Minute, b.suspectRuns)
			t.Logf("started after %v, at most %d of 32 cores in use", waited, b.mostUsed)
			b.c.Assert(waited <= 3*time.Second, qt.IsTrue)
		})
	}
}

// startsRig is a rig of 4 workers on which short tasks start all the time.
type startsRig struct {
	*rig
	starts, others, mostUsed int
}

func newStartsRig(t *testing.T, labelled, starts int) *startsRig {
	b := &startsRig{
		rig:    newRig(t),
		starts: starts,
	}
	for i := range 4 {
		w := b.addWorker(workerName(i), cores(8))
		if i < labelled {
			w.entry.Labels = []string{"card"}
		}
	}
	b.updateDirectory()
	b.renewLeases()
	b.tick()
	return b
}

func (b *startsRig) suspectRuns() bool {
	return b.activeRunsOf("suspect") > 0
}

// play lets the time pass until the condition holds, and returns how long that took, at most d.
func (b *startsRig) play(d time.Duration, until func() bool) time.Duration {
	const step = 20 * time.Millisecond
	began := b.now
	for b.now.Sub(began) < d && !until() {
		b.advance(step)
		for _, w := range b.workersByID {
			for run := range w.activeRuns {
				// They take 40 to 200 ms.
				runTime := time.Duration(1+run.Attempt*7919%5) * 2 * step
				if run.Task.Step.Job != "suspect" && w.clock-w.startedAt[run] >= runTime {
					w.end(run, scheduler.EndDone)
				}
			}
		}
		for range b.starts {
			b.others++
			phase := newPhase(1, cores(1))
			phase.Estimate = 100 * time.Millisecond
			b.s.AddJob(b.job(fmt.Sprintf("other%d", b.others), phase), nil, false, b.now)
		}
		b.renewLeases()
		b.tick()
		b.write()
		b.mostUsed = max(b.mostUsed, b.activeRuns())
	}
	return b.now.Sub(began)
}

// crash has the worker of the suspect crash, and replaces it.
func (b *startsRig) crash() {
	for id, w := range b.workersByID {
		for run := range w.activeRuns {
			if run.Task.Step.Job == "suspect" {
				clear(w.activeRuns)
				delete(b.workersByID, id)
				b.s.EndWorker(id, b.now)
				b.addWorker(id+"b", cores(8)).entry.Labels = w.entry.Labels
				b.updateDirectory()
			}
		}
	}
}
