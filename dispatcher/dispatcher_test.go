package dispatcher

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/recorder"
	"github.com/galenacove/galenacove/sizer"
)

func testJob(id string, kind recorder.JobKind, tasks int, size sizer.Size, runTime time.Duration) recorder.Job {
	return recorder.Job{
		ID:         id,
		Name:       id,
		Team:       "omuti",
		Policy:     kind,
		Tasks:      tasks,
		Size:       size,
		RunTime:    runTime,
		DataCentre: testDataCentre,
	}
}

func cores(n int64) sizer.Size { return sizer.New(1000*n, n<<30, 0) }

func (r *rig) ended(job string) bool {
	state, _ := r.logState.Job(job)
	_, ended := state.Ended()
	return ended
}

func TestPlacesAndRecords(t *testing.T) {
	c := qt.New(t)
	for _, entries := range []int{1, 3} {
		r := newRig(1)
		var names []string
		for i := range entries {
			names = append(names, fmt.Sprintf("entry-%d", i))
			r.addEntry(names[i])
		}
		for i := range 6 {
			r.addWorker(fmt.Sprintf("%c-%d", 'a'+i%2, i), cores(8), false)
		}
		r.epoch(names...)
		r.append(testJob("batch", recorder.Batch, 30, cores(2), 3*time.Second))
		r.append(testJob("gang", recorder.Gang, 10, cores(2), 3*time.Second))
		r.append(testJob("service", recorder.Service, 4, cores(1), 0))
		r.append(testJob("never", recorder.Batch, 1, cores(9), time.Second))
		done := r.runUntil(2*time.Minute, func() bool { return r.ended("batch") && r.ended("gang") && r.ended("never") })
		c.Check(r.violations, qt.HasLen, 0)
		c.Assert(done, qt.IsTrue)
		never, _ := r.logState.Job("never")
		end, _ := never.Ended()
		c.Check(end.Outcome, qt.Equals, recorder.Failed)
		c.Check(end.Reason, qt.Matches, "no worker has 9 cores.*the nearest has 8 cores.*")
		c.Check(len(r.runs), qt.Equals, 44)
		r.append(recorder.JobCancel{
			Job: "service",
		})
		c.Check(r.runUntil(time.Minute, func() bool { return r.ended("service") }), qt.IsTrue)
	}
}
