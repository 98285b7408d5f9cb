package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// TestGangCountsRunsThatStartedInTheSameTick guards against a gang for which no worker
// is reserved, because its prediction does not know the run that another step has just
// started there.
func TestGangCountsRunsThatStartedInTheSameTick(t *testing.T) {
	for _, test := range []struct {
		name string
		// gangs is whether gangs wait for the workers.
		gangs bool
		want  map[string]int
	}{
		{
			name: "no gangs",
			want: map[string]int{
				"short": 1,
				"long":  1,
			},
		},
		{
			name:  "two gangs, each for a whole worker",
			gangs: true,
			want: map[string]int{
				"short": 1,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			for i := range 2 {
				r.addWorker(workerName(i), cores(10))
			}
			r.updateDirectory()
			r.renewLeases()
			// addJob adds a job of one task. Jobs with a lower priority are placed first.
			addJob := func(id string, priority int, n int64, estimate time.Duration, gang bool) {
				phase := newPhase(1, cores(n))
				phase.Estimate = estimate
				phase.Gang = gang
				job := r.job(id, phase)
				job.Queue.Name = id
				job.Queue.Priority = priority
				job.Queue.Target = time.Minute
				r.s.AddJob(job, nil, false, r.now)
			}
			addJob("whole", 0, 10, 900*time.Millisecond, false)
			addJob("part", 1, 4, 5*time.Second, false)
			r.tick()
			r.c.Assert(r.activeRuns(), qt.Equals, 2)
			r.advance(10 * time.Millisecond)
			// The first gang gets the worker that is free first. The short task runs on
			// the other one, which the second gang needs afterwards, so that the long
			// task must not start there.
			if test.gangs {
				addJob("first gang", 0, 10, time.Second, true)
				addJob("second gang", 2, 10, time.Second, true)
			}
			addJob("short", 1, 5, time.Second, false)
			addJob("long", 3, 1, 20*time.Second, false)
			r.tick()
			started := make(map[string]int)
			for _, effect := range r.effects {
				if start, is := effect.(scheduler.StartTask); is {
					started[start.Run.Task.Step.Job]++
				}
			}
			r.c.Assert(started, qt.DeepEquals, test.want)
		})
	}
}
