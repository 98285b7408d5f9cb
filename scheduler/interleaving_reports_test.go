package scheduler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// modelCalls holds the calls of a model's owners that are under way.
type modelCalls struct {
	// renewals holds at most one of each owner to each worker.
	renewals []*renewalUnderWay
	starts   []lateStart
	// lateRenewals holds renewals that had no answer and are carried out later, also by the worker's
	// next incarnation.
	lateRenewals []*renewalUnderWay
	// acrossCuts is set if workers that start again while they are cut off carry out late calls of all
	// owners, stops too.
	acrossCuts bool
	// stepsPerEnd is the average number of steps between ends of runs, in plays with cuts.
	stepsPerEnd int
}

// renewalUnderWay is a renewal of a lease that an owner waits for.
type renewalUnderWay struct {
	sentRenewal
	owner *modelOwner
	// incarnation is when the worker had started as the renewal was sent.
	incarnation time.Time
	// late is set if the worker carries it out without an answer, or has done so.
	arrived, late bool
}

// lateStart is an order to start a run that had no answer and is carried out later.
type lateStart struct {
	worker *modelWorker
	owner  *modelOwner
	order  scheduler.StartTask
	sentAt time.Time
	// incarnation is when the worker had started as the order was sent.
	incarnation time.Time
}

// lateStartLife is the longest time for which an order to start a run is under way if its worker
// starts again meanwhile. An order that takes longer may come after the lease by which its owner has
// given the run up, and nothing on the wire tells the next incarnation so.
const lateStartLife = 2500 * time.Millisecond

// renewalLimit is how long an owner waits for the answer to a renewal: the wait of the worker and a
// margin.
const renewalLimit = entryWait + 600*time.Millisecond

// startLate lets a worker carry out a start later.
func (m *model) startLate(w *modelWorker, o *modelOwner, order scheduler.StartTask) {
	if m.calls == nil {
		m.lateOrders = append(m.lateOrders, func() { m.start(w, order.Token, order) })
		return
	}
	m.calls.starts = append(m.calls.starts, lateStart{
		worker: w,
		owner:  o,
		order:  order,
		sentAt: m.now,
		// A worker that starts again drops what it had taken in.
		incarnation: w.entry.StartedAt,
	})
}

// stopLate may let a worker carry out a stop later.
func (m *model) stopLate(w *modelWorker, token int64, run scheduler.RunRef) {
	if m.draw(2) == 0 {
		m.lateOrders = append(m.lateOrders, func() {
			if w.up && m.acceptsToken(w, token) {
				m.stop(w, run)
			}
		})
	}
}

// continueRenewal sends a renewal to a worker, or continues the one that is under way: the worker
// takes the lease, answers, and the owner reads the answer.
func (m *model) continueRenewal(o *modelOwner, w *modelWorker) {
	calls := m.calls
	i := slices.IndexFunc(calls.renewals, func(r *renewalUnderWay) bool { return r.owner == o && r.worker == w })
	if i < 0 {
		at := m.readClock(o)
		if order, known := o.s.LeaseRenewal(w.entry.Ref.ID, at); known && !o.superseded {
			if m.fault == acknowledgedAlways {
				o.acknowledged[w.entry.Ref.ID] = max(o.acknowledged[w.entry.Ref.ID], order.Acknowledge)
				order.Acknowledge = o.acknowledged[w.entry.Ref.ID]
			}
			calls.renewals = append(calls.renewals, &renewalUnderWay{
				sentRenewal: sentRenewal{
					worker: w,
					order:  order,
					at:     at,
				},
				owner:       o,
				incarnation: w.entry.StartedAt,
			})
		}
		return
	}
	r := calls.renewals[i]
	switch {
	case r.answer != nil:
		calls.renewals = slices.Delete(calls.renewals, i, i+1)
		r.answer()
		if !r.incarnation.Equal(w.entry.StartedAt) {
			m.dropGivenUp(w)
		}
	case m.calls.acrossCuts && (r.late || w.isUnreachableBy(o)):
		// The owner notices nothing before its limit.
		if !r.arrived && !r.late && m.draw(2) == 0 {
			m.renewLate(r)
		}
	case !r.incarnation.Equal(w.entry.StartedAt):
		// The connection ended with the process, but what it had not taken in may reach the next one.
		if !r.arrived && !r.late && m.draw(2) == 0 {
			m.renewLate(r)
		}
		r.answer = func() { o.s.RenewalBroken(w.entry.Ref.ID, m.timeOf(o)) }
	case r.arrived || w.isUnreachableBy(o):
		if !r.arrived && !r.late && m.draw(2) == 0 {
			m.renewLate(r)
		}
		r.answer = m.replyTo(r)
	default:
		r.arrived = true
		m.replyTo(r)
	}
}

// endOverdueRenewals ends the renewals of an owner that have had no answer in time, and sends others.
func (m *model) endOverdueRenewals(o *modelOwner) {
	for _, w := range m.workers {
		i := slices.IndexFunc(m.calls.renewals, func(r *renewalUnderWay) bool { return r.owner == o && r.worker == w })
		if i >= 0 && m.now.Sub(m.calls.renewals[i].at) > renewalLimit {
			m.calls.renewals = slices.Delete(m.calls.renewals, i, i+1)
			o.s.RenewalFailed(w.entry.Ref.ID, m.timeOf(o))
			i = -1
		}
		if i < 0 {
			m.continueRenewal(o, w)
		}
	}
}

// breakRenewals has the owners notice that a worker's process has ended. They read what it answered
// before.
func (m *model) breakRenewals(w *modelWorker) {
	for _, r := range m.calls.renewals {
		if r.worker == w && r.answer != nil {
			r.answer()
		}
	}
	m.calls.renewals = slices.DeleteFunc(m.calls.renewals, func(r *renewalUnderWay) bool { return r.worker == w })
	for _, o := range m.owners {
		o.s.RenewalBroken(w.entry.Ref.ID, m.timeOf(o))
	}
}

// replyTo has the worker carry out a renewal, and returns what passes on its answer.
func (m *model) replyTo(r *renewalUnderWay) (answer func()) {
	o := r.owner
	suspended := o.suspended
	o.suspended = true
	m.carryOutRenewal(o, r.worker, r.order, r.at)
	o.suspended = suspended
	last := len(o.heldAnswers) - 1
	answer = o.heldAnswers[last]
	o.heldAnswers = o.heldAnswers[:last]
	return answer
}

// renewLate lets the worker carry out a renewal after later ones.
func (m *model) renewLate(r *renewalUnderWay) {
	r.late = true
	m.calls.lateRenewals = append(m.calls.lateRenewals, r)
}

// restartWithOrders lets a worker start again under its identity. Starts that the former process would
// not have refused by their token or lease, and that their owner has not given up, may reach the next
// one. Owners that are cut off notice nothing, and the worker takes longer than they may take it to be up.
func (m *model) restartWithOrders(w *modelWorker) {
	m.calls.starts = slices.DeleteFunc(m.calls.starts, func(late lateStart) bool {
		return late.worker == w && (late.order.Token < w.token || late.order.Lease <= w.clock)
	})
	down := downTime
	if w.unreachableBy == 0 {
		down = time.Duration(800+m.draw(700)) * time.Millisecond
		m.breakRenewals(w)
	}
	m.dropGivenUp(w)
	m.sendLastRenewal(w)
	m.restartWorkerAfter(w, down)
	m.calls.starts = slices.DeleteFunc(m.calls.starts, func(late lateStart) bool {
		return late.worker == w && m.now.Sub(late.sentAt) > lateStartLife
	})
}

// sendLastRenewal has an owner send a renewal that the worker's process does not take in any more, or the
// one that is under way be it.
func (m *model) sendLastRenewal(w *modelWorker) {
	o := m.anyOwner()
	if o.superseded || o.suspended || m.draw(2) == 0 {
		return
	}
	if m.renewalUnderWay(o, w) == nil {
		m.continueRenewal(o, w)
	}
	if r := m.renewalUnderWay(o, w); r != nil && !r.arrived && !r.late && r.answer == nil {
		m.renewLate(r)
	}
}

// renewalUnderWay returns an owner's renewal to the worker that is under way, or nil.
func (m *model) renewalUnderWay(o *modelOwner, w *modelWorker) *renewalUnderWay {
	i := slices.IndexFunc(m.calls.renewals, func(r *renewalUnderWay) bool { return r.owner == o && r.worker == w })
	if i < 0 {
		return nil
	}
	return m.calls.renewals[i]
}

// dropGivenUp drops the late starts to a worker of runs that their owner has given up on the word of
// its former incarnation. Nothing on the wire tells the next one to refuse them.
func (m *model) dropGivenUp(w *modelWorker) {
	m.calls.starts = slices.DeleteFunc(m.calls.starts, func(late lateStart) bool {
		return late.worker == w && !late.owner.s.HasRun(w.entry.Ref.ID, late.order.Run)
	})
}

// stoppedBeforeItsStart returns a worker that has carried out a stop of a run whose start is under way,
// and whose owner has not given the run up, or nil.
func (m *model) stoppedBeforeItsStart() *modelWorker {
	for _, late := range m.calls.starts {
		run := late.order.Run
		if late.worker.stoppedAttempts[run.Task] >= run.Attempt && late.owner.s.HasRun(late.worker.entry.Ref.ID, run) {
			return late.worker
		}
	}
	return nil
}

// continueCalls has a late start carried out or an answer read, or neither.
func (m *model) continueCalls() {
	if late, found := take(m, &m.calls.starts); found {
		if m.draw(8) > 0 {
			m.calls.starts = append(m.calls.starts, late)
		} else if late.worker.entry.StartedAt.Equal(late.incarnation) || m.now.Sub(late.sentAt) <= lateStartLife {
			m.start(late.worker, late.order.Token, late.order)
		}
	}
	if late, found := take(m, &m.calls.lateRenewals); found {
		w := late.worker
		// It is more likely to arrive while there are ends that it acknowledges.
		wait := 24
		if len(w.ended) > 0 && w.ended[0].Number <= late.order.Acknowledge {
			wait = 2
		}
		switch {
		case m.draw(wait) > 0:
			m.calls.lateRenewals = append(m.calls.lateRenewals, late)
		case w.up && !w.isUnreachableBy(late.owner):
			m.replyTo(late)
		}
	}
	for range m.draw(3) {
		if pass, held := take(m, &m.anyOwner().heldAnswers); held {
			pass()
		}
	}
}

// endCalls ends all calls that are under way.
func (m *model) endCalls() {
	for len(m.calls.renewals) > 0 {
		r := m.calls.renewals[0]
		m.continueRenewal(r.owner, r.worker)
	}
	m.calls = nil
	for _, o := range m.owners {
		for _, pass := range o.heldAnswers {
			pass()
		}
		o.heldAnswers = nil
	}
}

// playModelWithCallsUnderWay is like playModelWithRestarts, but the answers to all calls are read
// later, in any order but for those of one owner's renewals of one lease, and starts outlive the
// restart of their worker.
func playModelWithCallsUnderWay(seeded fault, draw func(int) int, opts ...func(*model)) string {
	m := newModel(seeded, draw, opts...)
	m.settle()
	m.calls = &modelCalls{}
	for range 360 {
		m.doRandomAction()
		m.continueCalls()
		m.write(m.current())
		for range 3 {
			m.renewLease(m.current(), m.workers[m.draw(len(m.workers))])
		}
		if w := m.stoppedBeforeItsStart(); w != nil && m.draw(3) == 0 {
			m.restartWithOrders(w)
		} else if m.draw(60) == 0 {
			m.restartWithOrders(m.workers[m.draw(len(m.workers))])
		}
	}
	m.endCalls()
	m.recoverAndFinish()
	return m.violation
}

// withFlakyDirectory lets workers leave the directory and come back.
func withFlakyDirectory(m *model) {
	m.flakyDirectory = true
}

// TestCallsUnderWayKeepInvariants guards against a run that is given up, or a stop that counts as
// proof, on an answer that is older than what it is taken to show, and against next owners that a
// worker refuses for good.
func TestCallsUnderWayKeepInvariants(t *testing.T) {
	for _, test := range []struct {
		name string
		opts []func(*model)
	}{
		{
			name: "tasks that end by themselves",
		},
		{
			name: "lasting tasks",
			opts: []func(*model){withLastingJob, withEntryLeases},
		},
		{
			name: "organisations with a maximum",
			opts: []func(*model){withOrganisations},
		},
		{
			name: "workers that leave the directory for a time",
			opts: []func(*model){withFlakyDirectory},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(300) {
				random := rand.New(rand.NewPCG(seed, 7))
				qt.Assert(t, playModelWithCallsUnderWay(noFault, random.IntN, test.opts...), qt.Equals, "", qt.Commentf("seed %d", seed))
			}
		})
	}
}
