package scheduler

import (
	"time"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/sizer"
)

// UsedBy returns what usedBy returns, to tests.
func (s *Scheduler) UsedBy(name string) sizer.Size {
	return s.usedBy(name)
}

// UncountStoppingRuns takes the stopping runs out of the use of their organisation. It is
// a fault that a test seeds.
func (s *Scheduler) UncountStoppingRuns() {
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.state == runStopping && r.job != nil && r.job.record.Organisation != "" {
				use := s.uses[r.job.record.Organisation]
				use.size = use.size.Sub(r.fullSize)
				r.fullSize = sizer.Size{}
			}
		}
	}
}

// SetHeldParts sets how many parts of each resource this owner holds of the organisation,
// as if it had exchanged the others with partition 1.
func (s *Scheduler) SetHeldParts(name string, n int64) {
	const other = 1
	ledger := s.allotments.ledger
	change := allotter.Parts{n, n, n}.Sub(ledger.Held(name))
	ledger.Give(other, name, allotter.Parts{}.Sub(change))
	ledger.Receive(other, name, ledger.Received(other, name).Add(change))
}

// MaxEarlyCancellations is maxEarlyCancellations.
const MaxEarlyCancellations = maxEarlyCancellations

// EarlyCancellations counts the cancellations that are kept without their job.
func (s *Scheduler) EarlyCancellations() int {
	return len(s.earlyCancellations.byJob)
}

// HasRun reports whether the run is not known to have ended on the worker.
func (s *Scheduler) HasRun(worker string, ref RunRef) bool {
	w := s.workers[worker]
	return w != nil && w.runs[ref] != nil
}

// EndWorker calls WorkerGone for the incarnation of the worker that is known.
func (s *Scheduler) EndWorker(id string, now time.Time) {
	if w := s.workers[id]; w != nil {
		s.WorkerGone(id, w.startedAt, now)
	}
}

// MayHaveRun reports whether no run of the task starts elsewhere, as the worker may have this one.
func (s *Scheduler) MayHaveRun(worker string, ref RunRef) bool {
	return s.HasRun(worker, ref) || !s.recoveryDone && s.isUnreported(worker)
}
