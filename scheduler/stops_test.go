package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// longPollRig is a rig with one worker that answers a lease renewal once a run has ended, or after
// wait. A stop is answered after stopDelay.
type longPollRig struct {
	*rig
	w *fakeWorker
	// lost is set while starts do not reach the worker.
	lost bool
	wait time.Duration
	// requestedAt is when the renewal that is under way was sent, zero if none is.
	requestedAt time.Time
	renewal     scheduler.LeaseRenewal
	stops       []sentStop
	// stopsIgnored is set while stops do not reach the worker.
	stopsIgnored bool
	stopCount    int
	starts       []time.Time
	lastStart    scheduler.RunRef
	// asksAtOnce is set if a report that waits is requested anew once it awaits a stop, as a conductor does.
	asksAtOnce bool
}

// sentStop is a stop that is answered later.
type sentStop struct {
	stop   scheduler.StopTask
	sentAt time.Time
}

const (
	stopDelay  = 10 * time.Millisecond
	stopLimit  = 350 * time.Millisecond
	pollStep   = 5 * time.Millisecond
	entryWait  = time.Second
	waitForEnd = time.Minute
)

func newLongPollRig(t *testing.T, wait, stopTimeout time.Duration) *longPollRig {
	l := &longPollRig{
		rig:  newRig(t, scheduler.StopTimeout(stopTimeout), scheduler.Lease(entryLease, entryMaxLease)),
		wait: wait,
	}
	l.w = l.addWorker("w", cores(4))
	l.updateDirectory()
	l.renewLeases()
	return l
}

// step advances the time by pollStep and carries out what is due.
func (l *longPollRig) step() {
	l.advance(pollStep)
	if l.requestedAt.IsZero() {
		l.renewal, _ = l.s.LeaseRenewal("w", l.now)
		for len(l.w.ended) > 0 && l.w.ended[0].Number <= l.renewal.Acknowledge {
			l.w.ended = l.w.ended[1:]
		}
		l.w.leaseEnd = max(l.w.leaseEnd, l.renewal.Lease)
		l.requestedAt = l.now
	}
	if l.w.clock > l.w.leaseEnd {
		for run := range l.w.activeRuns {
			l.w.end(run, scheduler.EndLapsed)
		}
	}
	if len(l.w.ended) > 0 || l.now.Sub(l.requestedAt) >= l.wait {
		l.report()
	}
	l.answerStops()
	if l.asksAtOnce && !l.requestedAt.IsZero() && l.s.AwaitsReport("w", l.requestedAt) {
		l.requestedAt = time.Time{}
	}
	l.s.ConfirmOwnership(l.now)
	l.write()
	for _, effect := range l.s.Tick(l.now) {
		switch effect := effect.(type) {
		case scheduler.StartTask:
			l.start(effect)
		case scheduler.StopTask:
			l.stopCount++
			l.stops = append(l.stops, sentStop{
				stop:   effect,
				sentAt: l.now,
			})
		case scheduler.AskAdvice, scheduler.PaceTask:
		}
	}
}

func (l *longPollRig) report() {
	report := scheduler.Report{
		Clock: l.w.clock,
		Ended: append([]scheduler.EndedRun(nil), l.w.ended...),
	}
	for _, run := range l.w.activeRuns {
		report.Active = append(report.Active, run)
	}
	l.s.Report("w", report, l.requestedAt, l.now)
	l.requestedAt = time.Time{}
}

func (l *longPollRig) answerStops() {
	var later []sentStop
	for _, stop := range l.stops {
		age := l.now.Sub(stop.sentAt)
		switch {
		case l.stopsIgnored && age >= stopLimit:
			l.s.StopAnswered(stop.stop, false, l.now)
		case !l.stopsIgnored && age >= stopDelay:
			if _, there := l.w.activeRuns[stop.stop.Run]; there {
				l.w.end(stop.stop.Run, scheduler.EndStopped)
			}
			l.s.StopAnswered(stop.stop, true, l.now)
		default:
			later = append(later, stop)
		}
	}
	l.stops = later
}

func (l *longPollRig) start(order scheduler.StartTask) {
	l.starts = append(l.starts, l.now)
	l.lastStart = order.Run
	if l.lost {
		l.s.StartAnswered("w", order.Run, scheduler.StartUnknown, l.now)
		return
	}
	l.w.leaseEnd = max(l.w.leaseEnd, order.Lease)
	l.w.activeRuns[order.Run] = scheduler.ActiveRun{
		Run: order.Run,
	}
	l.s.StartAnswered("w", order.Run, scheduler.StartDone, l.now)
}

// untilStarts steps until there were n starts, for waitForEnd at most, and reports whether there were.
func (l *longPollRig) untilStarts(n int) bool {
	for until := l.now.Add(waitForEnd); l.now.Before(until) && len(l.starts) < n; {
		l.step()
	}
	return len(l.starts) >= n
}

// TestRepeatedStopsDelayNoProof guards against a task that waits for ever for a worker that answers
// all calls: its start was lost, and each repeated stop made the report that was under way count for
// nothing, as that was requested before the stop was answered.
func TestRepeatedStopsDelayNoProof(t *testing.T) {
	for _, stopTimeout := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		for _, wait := range []time.Duration{pollStep, 500 * time.Millisecond, entryWait, 2 * time.Second} {
			t.Run(fmt.Sprintf("stop timeout %v, wait %v", stopTimeout, wait), func(t *testing.T) {
				c := qt.New(t)
				l := newLongPollRig(t, wait, stopTimeout)
				l.lost = true
				l.s.AddJob(l.job("j", newPhase(1, cores(1))), nil, false, l.now)
				c.Assert(l.untilStarts(1), qt.IsTrue)
				l.lost = false
				c.Assert(l.untilStarts(2), qt.IsTrue, qt.Commentf("%d stops", l.stopCount))
				// The report that was under way when the stop was answered shows nothing, the next one does.
				c.Assert(l.starts[1].Sub(l.starts[0]) <= 2*wait+100*time.Millisecond, qt.IsTrue,
					qt.Commentf("started again after %v", l.starts[1].Sub(l.starts[0])))
			})
		}
	}
}

// TestPendingStopIsExplained guards against a stop that is pending for long and of which logs and
// metrics say nothing.
func TestPendingStopIsExplained(t *testing.T) {
	c := qt.New(t)
	l := newLongPollRig(t, entryWait, 400*time.Millisecond)
	l.lost, l.stopsIgnored = true, true
	l.s.AddJob(l.job("j", newPhase(1, cores(1))), nil, false, l.now)
	c.Assert(l.untilStarts(1), qt.IsTrue)
	var notes []scheduler.Note
	for until := l.now.Add(7 * time.Second); l.now.Before(until); {
		l.step()
		notes = append(notes, l.s.Notes()...)
	}
	explained := 0
	for _, note := range notes {
		if strings.HasPrefix(note.Text, "stop is pending") {
			c.Assert(note.Text, qt.Contains, "0 answered")
			c.Assert(note.Worker, qt.Equals, "w")
			explained++
		}
	}
	c.Assert(explained, qt.Equals, 2)
	load := l.s.StopLoad(l.now)
	c.Assert(load.Pending, qt.Equals, 1)
	c.Assert(load.LongestWait > 6*time.Second, qt.IsTrue)
}

// TestFormerIncarnationsStopsShowNothing guards against a task that ran twice: the start was on its
// way while the worker was told to stop the run, and arrived after the worker had started again and
// forgotten the stop.
func TestFormerIncarnationsStopsShowNothing(t *testing.T) {
	for _, test := range []struct {
		name string
		// answeredAfter is set if the answer is read after the report of the next incarnation.
		answeredAfter bool
	}{
		{
			name: "answered before the worker started again",
		},
		{
			name:          "answer read after the worker started again",
			answeredAfter: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			w := r.addWorker("w", cores(1))
			w.entry.StartedAt = r.now
			r.updateDirectory()
			r.renewLeases()
			r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
			w.silent = true
			r.tick()
			w.silent = false
			var stop scheduler.StopTask
			for range 10 {
				r.advance(100 * time.Millisecond)
				for _, effect := range r.s.Tick(r.now) {
					if order, ok := effect.(scheduler.StopTask); ok {
						stop = order
					}
				}
				if stop.Number > 0 {
					break
				}
			}
			r.c.Assert(stop.Number > 0, qt.IsTrue)
			if !test.answeredAfter {
				r.s.StopAnswered(stop, true, r.now)
			}
			w.restart()
			w.entry.StartedAt = r.now
			r.advance(10 * time.Millisecond)
			r.renewLeases()
			if test.answeredAfter {
				r.s.StopAnswered(stop, true, r.now)
				r.advance(10 * time.Millisecond)
				r.renewLeases()
			}
			// The first start may still arrive, so the task must not be started again.
			r.c.Assert(r.s.StopLoad(r.now).Pending, qt.Equals, 1)
			r.tick()
			for _, effect := range r.effects {
				_, started := effect.(scheduler.StartTask)
				r.c.Assert(started, qt.IsFalse)
			}
			// The next incarnation is told to stop the run, and the task starts again.
			for range 20 {
				r.round()
				r.write()
			}
			r.c.Assert(w.startCounts[stop.Run.Task], qt.Equals, 1)
		})
	}
}

// TestWorkerThatIgnoresStopsKeepsNoTask guards against a task that waits without end for a worker that
// answers renewals and carries out no stop.
func TestWorkerThatIgnoresStopsKeepsNoTask(t *testing.T) {
	for _, test := range []struct {
		name string
		// lost is set if the start does not reach the worker. Otherwise its answer is lost.
		lost bool
	}{
		{
			name: "start did not arrive",
			lost: true,
		},
		{
			name: "run goes on",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := newLongPollRig(t, entryWait, 900*time.Millisecond)
			l.lost, l.stopsIgnored = true, true
			l.s.AddJob(l.job("j", newPhase(1, cores(1))), nil, false, l.now)
			c.Assert(l.untilStarts(1), qt.IsTrue)
			if !test.lost {
				l.w.activeRuns[l.lastStart] = scheduler.ActiveRun{
					Run: l.lastStart,
				}
			}
			l.lost = false
			c.Assert(l.untilStarts(2), qt.IsTrue, qt.Commentf("%d stops", l.stopCount))
			c.Assert(l.w.activeRuns, qt.HasLen, 1)
			// Stops are repeated for 10 s, then the lease ends, and a report tells of it. The worker is
			// set aside for 3 s.
			const bound = 10*time.Second + entryLease + entryWait + 3*time.Second + 500*time.Millisecond
			c.Assert(l.starts[1].Sub(l.starts[0]) <= bound, qt.IsTrue, qt.Commentf("after %v", l.starts[1].Sub(l.starts[0])))
		})
	}
}

// TestStartThatMayArriveYetIsRefusedByTheNextIncarnation guards against a task that ran twice: an
// order to start it had no answer, the worker had the run nevertheless and started again, and an order
// that was repeated or late reached its next incarnation.
func TestStartThatMayArriveYetIsRefusedByTheNextIncarnation(t *testing.T) {
	for _, test := range []struct {
		name string
		// answer passes on what was answered before the worker starts again.
		answer func(r *rig, start scheduler.StartTask)
	}{
		{
			name:   "the order is repeated yet",
			answer: func(*rig, scheduler.StartTask) {},
		},
		{
			name: "no order was answered",
			answer: func(r *rig, start scheduler.StartTask) {
				r.s.StartAnswered(start.Worker.ID, start.Run, scheduler.StartUnknown, r.now)
			},
		},
		{
			name: "only the repeated order was answered",
			answer: func(r *rig, start scheduler.StartTask) {
				r.s.StartAnswered(start.Worker.ID, start.Run, scheduler.StartDone, r.now)
				r.s.StartUnanswered(start.Worker.ID, start.Run)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRestartRig(t, "v", "w")
			r.s.AddJob(r.job("j", newPhase(1, cores(8))), nil, false, r.now)
			var start scheduler.StartTask
			for range 3 {
				r.advance(100 * time.Millisecond)
				r.s.ConfirmOwnership(r.now)
				for _, effect := range r.s.Tick(r.now) {
					if order, ok := effect.(scheduler.StartTask); ok {
						start = order
					}
				}
				r.write()
			}
			w := r.workersByID[start.Worker.ID]
			r.c.Assert(w, qt.IsNotNil)
			w.activeRuns[start.Run] = scheduler.ActiveRun{
				Run: start.Run,
			}
			r.advance(10 * time.Millisecond)
			r.renewLeases()
			test.answer(r, start)
			w.restart()
			r.advance(10 * time.Millisecond)
			r.renewLeases()
			r.s.ConfirmOwnership(r.now)
			stopped := false
			for _, effect := range r.s.Tick(r.now) {
				stop, ok := effect.(scheduler.StopTask)
				stopped = stopped || ok && stop.Run == start.Run
			}
			r.c.Check(stopped, qt.IsTrue)
			r.c.Check(r.s.PlannedRuns(), qt.Equals, 0)
		})
	}
}

// TestOutageBeginsWithTheRestartOfTheWorker guards against a log line that gives a longer time without a
// run of a lasting task, if the next incarnation of its worker has to refuse its start first.
func TestOutageBeginsWithTheRestartOfTheWorker(t *testing.T) {
	r := newRestartRig(t, "w")
	w := r.workersByID["w"]
	phase := newPhase(1, cores(8))
	phase.Lasting = true
	r.s.AddJob(r.job("j", phase), nil, false, r.now)
	for range 5 {
		r.round()
		r.write()
	}
	r.c.Assert(w.activeRuns, qt.HasLen, 1)
	for run := range w.activeRuns {
		r.s.StartUnanswered("w", run)
	}
	w.restart()
	r.advance(time.Second)
	r.renewLeases()
	restartedAt := r.now
	for range 20 {
		r.round()
		r.write()
		for _, effect := range r.effects {
			if start, ok := effect.(scheduler.StartTask); ok {
				r.c.Assert(start.WithoutRunSince, qt.Equals, restartedAt)
				return
			}
		}
	}
	r.c.Fatal("not started again")
}

// TestTaskAvoidsAWorkerThatLostItsStart guards against a task that is sent to the same worker again and
// again, which loses each of its starts, while another worker has room.
func TestTaskAvoidsAWorkerThatLostItsStart(t *testing.T) {
	r := newRig(t)
	// The smaller worker has the better score, as less of it is left over.
	small, large := r.addWorker("small", cores(1)), r.addWorker("large", cores(8))
	r.updateDirectory()
	r.renewLeases()
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	starts := make(map[string]int)
	for range 20 {
		r.advance(100 * time.Millisecond)
		r.renewLeases()
		small.silent = true
		r.tick()
		small.silent = false
		for _, effect := range r.effects {
			switch effect := effect.(type) {
			case scheduler.StartTask:
				starts[effect.Worker.ID]++
			case scheduler.StopTask:
				r.s.StopAnswered(effect, true, r.now)
			case scheduler.AskAdvice, scheduler.PaceTask:
			}
		}
	}
	r.c.Assert(starts, qt.DeepEquals, map[string]int{
		"small": 1,
		"large": 1,
	})
	r.c.Assert(large.activeRuns, qt.HasLen, 1)
}

// TestStopsOfAFormerIncarnationWithholdNoLease guards against a worker that gets no lease and no runs after it
// has started again, as a stop that its former incarnation was told had been pending for long.
func TestStopsOfAFormerIncarnationWithholdNoLease(t *testing.T) {
	r := newRig(t, scheduler.Lease(3500*time.Millisecond, 6*time.Second), scheduler.AcceptedLease(10*time.Second))
	w := r.addWorker("w", cores(8))
	w.entry.StartedAt = r.now
	r.updateDirectory()
	r.round()
	w.silent = true
	r.s.AddJob(r.job("j", newPhase(1, cores(1))), nil, false, r.now)
	r.tick()
	for range 105 {
		r.round()
	}
	w.restart()
	w.silent = false
	r.advance(100 * time.Millisecond)
	r.renewLeases()
	r.s.Tick(r.now)
	order, known := r.s.LeaseRenewal("w", r.now)
	r.c.Assert(known, qt.IsTrue)
	r.c.Assert(order.Lease > 0, qt.IsTrue)
}
