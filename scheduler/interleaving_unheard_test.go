package scheduler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

const (
	// maxLateness is the age from which on no late call is carried out.
	maxLateness = 12 * time.Second
	// takeoverLateness is how long after a takeover owners expect calls of the former one.
	takeoverLateness = 200 * time.Millisecond
	// maxOwners is the largest number of owners, one after the other, in a play with cuts.
	maxOwners = 6
)

// withLongHoldLimit has workers accept longer leases than owners grant.
func withLongHoldLimit(m *model) {
	m.holdLimit = longHoldLimit
	for _, w := range m.workers {
		w.holdLimit = longHoldLimit
	}
	m.options = append(m.options, scheduler.AcceptedLease(longHoldLimit))
}

// withSuspensions suspends the hosts of owners now and then.
func withSuspensions(m *model) {
	m.suspends = true
}

// awakeOwner returns a random owner whose host is not suspended, or nil.
func (m *model) awakeOwner() *modelOwner {
	if o := m.anyOwner(); !o.suspended {
		return o
	}
	return nil
}

// changeCut cuts a worker off from one or all owners, or ends that.
func (m *model) changeCut(w *modelWorker) {
	switch m.draw(4) {
	case 0:
		w.unreachableBy = 0
	case 1:
		w.unreachableBy = m.owners[m.draw(len(m.owners))].token
	default:
		w.unreachableBy = everyOwner
	}
}

// suspendOrWake suspends an owner's host, or ends that.
func (m *model) suspendOrWake() {
	o := m.owners[m.draw(len(m.owners))]
	if !o.suspended {
		o.suspended = m.draw(3) == 0
		return
	}
	o.suspended = false
	for _, pass := range o.heldAnswers {
		pass()
	}
	o.heldAnswers = nil
}

// actAmongCuts performs one random action of a play with cuts.
func (m *model) actAmongCuts() {
	w := m.workers[m.draw(len(m.workers))]
	if m.flakyDirectory && m.draw(10) == 0 {
		w.unlisted = !w.unlisted
		m.current().s.SetWorkers(m.directory())
	}
	if m.organisations != nil && m.draw(50) == 0 {
		m.cancelRandomJob()
	}
	if m.suspends && m.draw(20) == 0 {
		m.suspendOrWake()
	}
	if m.draw(80) == 0 && len(m.owners) < maxOwners {
		m.takeOver()
	}
	if m.draw(15) == 0 {
		m.changeCut(w)
	}
	if m.draw(3) == 0 {
		m.advance(time.Duration(10+m.draw(500)) * time.Millisecond)
	}
	if m.draw(m.calls.stepsPerEnd) == 0 {
		m.endRandomRun(w)
	}
	if late, found := take(m, &m.lateOrders); found && m.draw(4) == 0 {
		late()
	} else if found {
		m.lateOrders = append(m.lateOrders, late)
	}
	for range 3 {
		o := m.awakeOwner()
		if o == nil {
			continue
		}
		switch m.draw(4) {
		case 0:
			m.tick(o)
		case 1:
			m.carryOut(o)
		case 2:
			m.renewLease(o, m.workers[m.draw(len(m.workers))])
		case 3:
			m.write(o)
		}
	}
}

// cancelRenewals ends the renewals to workers that their owner does not use any more.
func (m *model) cancelRenewals() {
	m.calls.renewals = slices.DeleteFunc(m.calls.renewals, func(r *renewalUnderWay) bool {
		ref := r.worker.entry.Ref
		if slices.ContainsFunc(r.owner.s.Workers(), func(used scheduler.WorkerRef) bool { return used.ID == ref.ID }) {
			return false
		}
		if !r.arrived && !r.late {
			m.renewLate(r)
		}
		return true
	})
}

// restartAmongCuts lets a worker start again under its identity. Owners that do not reach it notice nothing.
// All calls that it has not carried out may reach its next incarnation.
func (m *model) restartAmongCuts(w *modelWorker) {
	if !w.up {
		return
	}
	down := time.Duration(10+m.draw(700)) * time.Millisecond
	if w.unreachableBy != everyOwner {
		// An owner that reaches it may send an order for startValidity.
		down = time.Duration(800+m.draw(700)) * time.Millisecond
	}
	m.sendLastRenewal(w)
	m.restartWorkerAfter(w, down)
	if m.draw(4) == 0 {
		// Its clock is ahead of the former one.
		w.clock += 2 * time.Hour
	}
	if w.unreachableBy == 0 && m.draw(2) == 0 {
		if o := m.current(); !o.suspended {
			for range m.draw(4) {
				m.carryOut(o)
			}
		}
		w.unreachableBy = everyOwner
		return
	}
	for _, o := range m.owners {
		if r := m.renewalUnderWay(o, w); r != nil && !w.isUnreachableBy(o) && !o.suspended {
			m.continueRenewal(o, w)
		}
	}
}

// isGivenUp reports whether the owner of a start, or a later one, has given the run up on the word of a former
// incarnation of the worker, so that the task may run elsewhere. That is the known open case: nothing on the
// wire tells the next incarnation to refuse the start, also if a former owner sends it that does not know of
// its successor.
func (m *model) isGivenUp(w *modelWorker, sender *modelOwner, order scheduler.StartTask) bool {
	if order.WorkerStartedAt.Equal(w.entry.StartedAt) {
		return false
	}
	id := w.entry.Ref.ID
	return !sender.s.HasRun(id, order.Run) || slices.ContainsFunc(m.owners, func(o *modelOwner) bool {
		awaited := o.heard[id].IsZero() && o.s.MayHaveRun(id, order.Run)
		return o.token > sender.token && !awaited && !o.s.HasRun(id, order.Run)
	})
}

// inTime returns until when owners expect a call to be carried out: for lateStartLife, and for
// takeoverLateness after the next takeover.
func (m *model) inTime(o *modelOwner, sentAt time.Time) time.Time {
	until := sentAt.Add(lateStartLife)
	for _, next := range m.owners {
		if bound := next.readAt.Add(takeoverLateness); next.token > o.token && bound.Before(until) {
			until = bound
		}
	}
	return until
}

// carryOutLate has a worker carry a late call out, whoever reaches it. Of a call that takes longer than
// owners expect, the lease counts from that time on: the page on former incarnations lists that as open.
func (m *model) carryOutLate(w *modelWorker, o *modelOwner, sentAt, incarnation time.Time, call func()) {
	limit, reach := w.holdLimit, w.unreachableBy
	if late := m.now.Sub(m.inTime(o, sentAt)); late > 0 && !w.entry.StartedAt.Equal(incarnation) {
		w.holdLimit -= late
	}
	w.unreachableBy = 0
	if w.holdLimit > 0 {
		call()
	}
	w.holdLimit, w.unreachableBy = limit, reach
}

// continueLateCalls has late calls carried out, in any order.
func (m *model) continueLateCalls() {
	if late, found := take(m, &m.calls.starts); found {
		w := late.worker
		switch {
		case m.now.Sub(late.sentAt) > maxLateness:
		case m.draw(5) > 0:
			m.calls.starts = append(m.calls.starts, late)
		case !m.isGivenUp(w, late.owner, late.order):
			m.carryOutLate(w, late.owner, late.sentAt, late.order.WorkerStartedAt, func() { m.start(w, late.order.Token, late.order) })
		}
	}
	if late, found := take(m, &m.calls.lateRenewals); found {
		w := late.worker
		// It is more likely to arrive while there are ends that it acknowledges.
		wait := 12
		if len(w.ended) > 0 && w.ended[0].Number <= late.order.Acknowledge {
			wait = 2
		}
		switch {
		case m.now.Sub(late.at) > maxLateness:
		case m.draw(wait) > 0:
			m.calls.lateRenewals = append(m.calls.lateRenewals, late)
		case w.up:
			m.carryOutLate(w, late.owner, late.at, late.incarnation, func() { m.replyTo(late) })
		}
	}
	for range m.draw(3) {
		if o := m.awakeOwner(); o != nil {
			if pass, held := take(m, &o.heldAnswers); held {
				pass()
			}
		}
	}
}

// playModelWithLateCallsAmongCuts is like playModelWithCallsUnderWay, but workers that are cut off from all
// owners start again, several times too, and carry out late calls of all former and present owners.
func playModelWithLateCallsAmongCuts(seeded fault, draw func(int) int, opts ...func(*model)) string {
	return playAmongCuts(newModel(seeded, draw, opts...))
}

func playAmongCuts(m *model) string {
	m.settle()
	m.calls = &modelCalls{
		acrossCuts: true,
		// Few runs or most outlast a lease.
		stepsPerEnd: []int{4, 60}[m.draw(2)],
	}
	for range 300 {
		m.actAmongCuts()
		m.cancelRenewals()
		m.continueLateCalls()
		if o := m.current(); !o.suspended {
			m.write(o)
			for range 2 {
				m.renewLease(o, m.workers[m.draw(len(m.workers))])
			}
		}
		w := m.workers[m.draw(len(m.workers))]
		if w.unreachableBy == everyOwner && m.draw(12) == 0 || m.draw(150) == 0 {
			m.restartAmongCuts(w)
		}
		if m.current().superseded {
			m.violate("a worker refuses the calls of the current owner")
		}
		if m.violation != "" {
			return m.violation
		}
	}
	for _, o := range m.owners {
		o.suspended = false
	}
	m.cancelRenewals()
	for _, r := range m.calls.renewals {
		r.owner.s.RenewalFailed(r.worker.entry.Ref.ID, m.timeOf(r.owner))
	}
	m.calls.renewals = nil
	m.endCalls()
	m.recoverAndFinish()
	return m.violation
}

// amongCuts are the kinds of plays with cuts.
var amongCuts = []struct {
	name string
	opts []func(*model)
}{
	{
		name: "tasks that end by themselves",
		opts: []func(*model){withEntryLeases, withLongHoldLimit},
	},
	{
		name: "suspended owners",
		opts: []func(*model){withEntryLeases, withSuspensions},
	},
	{
		name: "workers that are not listed",
		opts: []func(*model){withEntryLeases, withFlakyDirectory},
	},
	{
		name: "lasting tasks",
		opts: []func(*model){withLastingJob, withEntryLeases, withLongHoldLimit, withFlakyDirectory, withSuspensions},
	},
	{
		name: "organisations with a maximum",
		opts: []func(*model){withOrganisations, withSuspensions},
	},
}

// TestLateCallsAmongCutsKeepInvariants guards against calls that a worker carries out behind a cut after it has
// started again: a late acknowledgement forgot the end of a late start, and the task ran twice.
func TestLateCallsAmongCutsKeepInvariants(t *testing.T) {
	for _, test := range amongCuts {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(150) {
				random := rand.New(rand.NewPCG(seed, 7))
				qt.Assert(t, playModelWithLateCallsAmongCuts(noFault, random.IntN, test.opts...), qt.Equals, "", qt.Commentf("seed %d", seed))
			}
		})
	}
}
