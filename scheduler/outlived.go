package scheduler

import (
	"fmt"
	"time"
)

// maxLapseAge is the time after which it is forgotten that a run was given up with the lease of its
// worker.
const maxLapseAge = time.Minute

// lapse is what was known of a run when it was given up, as the lease of its worker counted as over.
type lapse struct {
	at    time.Time
	basis string
}

// rememberLapses keeps runs of a worker that are about to be given up with its lease, so that a
// later report shows whether one of them went on.
func (s *Scheduler) rememberLapses(w *worker, lapsed []*run, now time.Time) {
	for ref, former := range w.lapses {
		if now.Sub(former.at) > maxLapseAge {
			delete(w.lapses, ref)
		}
	}
	for _, r := range lapsed {
		if r.state == runPlanned {
			continue
		}
		if w.lapses == nil {
			w.lapses = make(map[RunRef]lapse)
		}
		w.lapses[r.ref] = lapse{
			at: now,
			basis: fmt.Sprintf("leases granted until %v, the clock at least %v, %s, start sent %v before, %s",
				w.leaseEnd.Round(time.Millisecond), w.clockAt(now).Round(time.Millisecond),
				w.describeRestart(now), now.Sub(r.startedAt).Round(time.Millisecond), r.describeStart()),
		}
	}
}

// describeRestart tells since when the worker's incarnation is known to have replaced a former one.
func (w *worker) describeRestart(now time.Time) string {
	if w.restartKnownSince.IsZero() {
		return "no restart known"
	}
	return fmt.Sprintf("restart known for %v", now.Sub(w.restartKnownSince).Round(time.Millisecond))
}

// describeStart tells which incarnation of the worker has shown that it has the run.
func (r *run) describeStart() string {
	switch {
	case r.sentBefore:
		return "sent to a former incarnation"
	case r.presentAt.IsZero():
		return "not answered"
	case !r.unheardAt.IsZero():
		return "answered by an incarnation that has not reported"
	case !r.listed:
		return "answered, in no report"
	default:
		return "answered"
	}
}

// explainOutlived adds a note on each run in a report that has outlived the moment at which its
// lease counted as over.
func (s *Scheduler) explainOutlived(w *worker, report Report, now time.Time) {
	if !w.reported && w.leasesOver && len(report.Active) > 0 {
		s.losses.Outlived += len(report.Active)
		s.addNote(fmt.Sprintf("runs of a former owner have outlived their leases: %d are reported, such as attempt %d; waited for %v",
			len(report.Active), report.Active[0].Run.Attempt, s.leasesEnd(w).Sub(s.ownerSince)),
			report.Active[0].Run.Task, w.entry.Ref.ID, now.Sub(s.leasesEnd(w)))
	}
	if len(w.lapses) == 0 {
		return
	}
	for _, row := range report.Active {
		if former, found := w.lapses[row.Run]; found {
			s.losses.Outlived++
			s.explainLapse(w, "run has outlived its lease", row.Run, former, now)
		}
	}
	for _, row := range report.Ended {
		if former, found := w.lapses[row.Run]; found && row.End == EndDone {
			s.explainLapse(w, "run was done before or after its lease counted as over", row.Run, former, now)
		}
	}
}

func (s *Scheduler) explainLapse(w *worker, text string, ref RunRef, former lapse, now time.Time) {
	delete(w.lapses, ref)
	s.addNote(fmt.Sprintf("%s: attempt %d; when it counted as lost: %s", text, ref.Attempt, former.basis),
		ref.Task, w.entry.Ref.ID, now.Sub(former.at))
}

// explainGap adds a note if a report leaves out ends that this owner has not read, so that they were
// acknowledged by somebody else.
func (s *Scheduler) explainGap(w *worker, report Report, now time.Time) {
	// The ends before the first that this owner reads of an incarnation may have been read by others.
	if len(report.Ended) == 0 || w.lastEndNumber == 0 && w.restartKnownSince.IsZero() {
		return
	}
	first := report.Ended[0].Number
	for _, row := range report.Ended {
		first = min(first, row.Number)
	}
	if first <= w.lastEndNumber+1 {
		return
	}
	s.losses.Unread += int(first - w.lastEndNumber - 1)
	s.addNote(fmt.Sprintf("ends %d to %d were acknowledged before this owner had read them, %s",
		w.lastEndNumber+1, first-1, w.describeRestart(now)), TaskRef{}, w.entry.Ref.ID, 0)
}

// explainFull adds a note on the first of several reports that may leave out ends, and on the one that ends the
// series.
func (s *Scheduler) explainFull(w *worker, report Report, now time.Time) {
	full, before := len(report.Ended) >= s.options.endsPerReport, w.lastReportEnds >= s.options.endsPerReport
	if full == before {
		return
	}
	text := "report lists all further ends"
	if full {
		text = "report lists as many ends as one can, and may leave others out"
	}
	s.addNote(fmt.Sprintf("%s: %d ends, ends up to %d were read before, %d active runs, %d runs known",
		text, len(report.Ended), w.lastEndNumber, len(report.Active), len(w.runs)), TaskRef{}, w.entry.Ref.ID, now.Sub(s.ownerSince))
}

// describeUnheard tells what may have reached a new incarnation before this owner heard of it.
func (w *worker) describeUnheard(now time.Time) string {
	starts := 0
	for _, r := range w.runs {
		if r.state != runPlanned && r.mayArrive {
			starts++
		}
	}
	since := "the former one never reported"
	if !w.aliveAt.IsZero() {
		since = fmt.Sprintf("the former one was last known to be up %v before", now.Sub(w.aliveAt).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s, %d starts there have no answer", since, starts)
}

// explainFence records that a worker which started again has answered a call with its own token.
func (s *Scheduler) explainFence(w *worker, now time.Time) {
	if w.unfencedSince.IsZero() {
		return
	}
	unfenced := now.Sub(w.unfencedSince)
	w.unfencedSince = time.Time{}
	s.losses.Unfenced = append(s.losses.Unfenced, unfenced)
	s.addNote(fmt.Sprintf("worker refuses calls to its former incarnation from now on, %s", w.describeRestart(now)),
		TaskRef{}, w.entry.Ref.ID, unfenced)
}
