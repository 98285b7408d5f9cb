package scheduler

import (
	"fmt"
	"time"
)

// firstStopNote is the age of a pending stop at which the first note on it is added: several
// round trips and the longest wait of a worker before it reports.
const firstStopNote = 2 * time.Second

// maxPendingStop is the time after which a worker that reports and has not carried out a stop gets no
// lease any more, so that the run ends, or can no longer start. It is longer than a worker
// usually leaves orders unanswered, as all other runs there end too.
const maxPendingStop = 10 * time.Second

// stopIgnored is the reason for which a run counts as lost, and its worker as lost for a while, if
// the run was not stopped within maxPendingStop.
const stopIgnored = "the worker ignored its stop until its lease had ended"

// withholdLease sets whether the worker gets no lease. A worker whose reports may leave out ends is
// spared, as the end may be one of them.
func (s *Scheduler) withholdLease(w *worker, now time.Time) {
	withheld := false
	if w.lastReportEnds < s.options.endsPerReport {
		for _, r := range w.runs {
			withheld = withheld || r.stopPending() && !r.refused && now.Sub(r.stopPendingSince) > maxPendingStop
		}
	}
	if withheld && !w.leaseWithheld {
		s.losses.Workers[stopIgnored]++
		s.addNote("worker gets no lease, as it has not carried out a stop", TaskRef{}, w.entry.Ref.ID, maxPendingStop)
	}
	w.leaseWithheld = withheld
}

// StopLoad tells how many runs were stopped and are not known to have ended.
type StopLoad struct {
	Pending int
	// LongestWait is the longest time since the first stop of such a run.
	LongestWait time.Duration
}

// StopLoad returns the runs whose stops are pending.
func (s *Scheduler) StopLoad(now time.Time) StopLoad {
	var load StopLoad
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.stopPending() && !r.refused {
				load.Pending++
				load.LongestWait = max(load.LongestWait, now.Sub(r.stopPendingSince))
			}
		}
	}
	return load
}

// stopPending reports whether the run was told to stop and is not known to have ended.
func (r *run) stopPending() bool {
	return r.state == runStopping || r.state == runUncertain
}

// explainStop adds a note on a run whose stop has been pending for long, at ages that double.
func (s *Scheduler) explainStop(r *run, now time.Time) {
	age := now.Sub(r.stopPendingSince)
	if age < max(firstStopNote, r.nextStopNote) {
		return
	}
	r.nextStopNote = 2 * age
	s.addNote("stop is pending: "+describeStop(r, now), r.ref.Task, r.worker.entry.Ref.ID, age)
}

// describeStop tells what is known of a stopped run and of its worker's last report.
func describeStop(r *run, now time.Time) string {
	w := r.worker
	ago := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return now.Sub(at).Round(time.Millisecond).String() + " ago"
	}
	return fmt.Sprintf("attempt %d, %d stops, %d answered, the last %s; proof requested after %s; last report requested %s, received %s, with %d ends; worker silent since %s; run was there %s",
		r.ref.Attempt, r.stopsSent, r.stopsAnswered, ago(r.stopAnsweredAt), ago(r.confirmedAt),
		ago(w.lastReportSent), ago(w.lastReportAt), w.lastReportEnds, ago(w.silentSince), ago(r.presentAt))
}

// AwaitsReport reports whether the next report of a worker tells if a run exists whose start had
// no answer: the worker has answered a stop of it since its last report, and the one that was
// requested at the given time, were requested.
func (s *Scheduler) AwaitsReport(id string, requestedAt time.Time) bool {
	w := s.workers[id]
	if w == nil {
		return false
	}
	requestedAt = latest(requestedAt, w.lastReportSent)
	for _, r := range w.runs {
		if r.stopPending() && r.presentAt.IsZero() && requestedAt.Before(r.confirmedAt) {
			return true
		}
	}
	return false
}
