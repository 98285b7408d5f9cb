package scheduler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// suspendedOwner is an owner whose host is suspended now and then, with what is under way between it
// and others.
type suspendedOwner struct {
	*modelOwner
	// wakesAt is the time from which on the owner's next step ends the suspension.
	wakesAt time.Time
	// joins holds the times at which joins were sent that have found the owner to be the assignee,
	// and renewals the calls to workers, at most one to each.
	joins    []time.Time
	renewals []*sentRenewal
	// incarnations holds when each worker had started as the host was suspended.
	incarnations map[string]time.Time
	// writeBegan is the time at which the write that is under way began.
	writeBegan time.Time
}

// sentRenewal is the renewal of a worker's lease that is under way.
type sentRenewal struct {
	worker *modelWorker
	order  scheduler.LeaseRenewal
	at     time.Time
	// answer passes on the worker's answer. It is nil before that has carried out the renewal.
	answer func()
}

// take removes a random element.
func take[E any](m *model, list *[]E) (E, bool) {
	if len(*list) == 0 {
		var none E
		return none, false
	}
	i := m.draw(len(*list))
	taken := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return taken, true
}

// suspend suspends the owner's host, with orders, joins and renewals under way.
func (o *suspendedOwner) suspend(m *model) {
	if o.superseded {
		return
	}
	m.tick(o.modelOwner)
	o.join(m)
	o.incarnations = make(map[string]time.Time)
	for _, w := range m.workers {
		o.incarnations[w.entry.Ref.ID] = w.entry.StartedAt
		if m.draw(2) == 0 || o.renewalTo(w) >= 0 {
			continue
		}
		at := m.readClock(o.modelOwner)
		if order, known := o.s.LeaseRenewal(w.entry.Ref.ID, at); known {
			o.renewals = append(o.renewals, &sentRenewal{
				worker: w,
				order:  order,
				at:     at,
			})
		}
	}
	o.suspended = true
	o.wakesAt = m.now.Add(time.Duration(1000+m.draw(7001)) * time.Millisecond)
}

// sleep carries out what was sent before the owner's host was suspended, or wakes it.
func (o *suspendedOwner) sleep(m *model) {
	if !m.now.Before(o.wakesAt) {
		o.wake(m)
		return
	}
	switch m.draw(6) {
	case 0:
		if i := m.draw(len(o.effects) + 1); i < len(o.effects) && o.reaches(m, o.effects[i]) {
			m.carryOutEffect(o.modelOwner, i)
		}
	case 1:
		if i := m.draw(len(o.renewals) + 1); i < len(o.renewals) {
			o.reply(m, o.renewals[i])
		}
	case 2:
		if o.pendingWrite != nil && !o.writeStored && o.token == m.epoch {
			m.write(o.modelOwner)
		}
	}
}

// sameIncarnation reports whether the worker has not started again since the host was suspended. A
// call that was under way ends with the connection, and the owner hears of that after it wakes.
func (o *suspendedOwner) sameIncarnation(w *modelWorker) bool {
	return o.incarnations[w.entry.Ref.ID].Equal(w.entry.StartedAt)
}

// reaches reports whether an order that was sent before the suspension may be carried out during it.
func (o *suspendedOwner) reaches(m *model, effect scheduler.Effect) bool {
	switch effect := effect.(type) {
	case scheduler.StartTask:
		return o.sameIncarnation(m.findWorker(effect.Worker.ID))
	case scheduler.StopTask:
		return o.sameIncarnation(m.findWorker(effect.Worker.ID))
	case scheduler.AskAdvice, scheduler.PaceTask:
	}
	return true
}

// reply has a worker carry out a renewal that was sent before the suspension. The answer is read
// after it.
func (o *suspendedOwner) reply(m *model, sent *sentRenewal) {
	if sent.answer != nil || !o.sameIncarnation(sent.worker) {
		return
	}
	m.carryOutRenewal(o.modelOwner, sent.worker, sent.order, sent.at)
	last := len(o.heldAnswers) - 1
	sent.answer = o.heldAnswers[last]
	o.heldAnswers = o.heldAnswers[:last]
}

// renewalTo returns the index of the renewal to the worker that is under way, or -1.
func (o *suspendedOwner) renewalTo(w *modelWorker) int {
	return slices.IndexFunc(o.renewals, func(sent *sentRenewal) bool { return sent.worker == w })
}

// renewLease ends the renewal to the worker that is under way, or else makes one.
func (o *suspendedOwner) renewLease(m *model, w *modelWorker) {
	i := o.renewalTo(w)
	if i < 0 {
		m.renewLease(o.modelOwner, w)
		return
	}
	sent := o.renewals[i]
	o.renewals = slices.Delete(o.renewals, i, i+1)
	switch {
	case sent.answer != nil:
		sent.answer()
	case !o.superseded:
		m.carryOutRenewal(o.modelOwner, w, sent.order, sent.at)
	}
}

// wake ends the suspension. The owner acts with what it knew before.
func (o *suspendedOwner) wake(m *model) {
	o.suspended = false
	// No two readings of a clock are the same.
	m.advance(time.Millisecond)
	for range m.draw(12) {
		o.actOn(m, m.workers[m.draw(len(m.workers))])
	}
	o.storeUnreachable = o.storeUnreachable || m.draw(2) == 0
}

// actOn takes one of the owner's steps. Which one is random.
func (o *suspendedOwner) actOn(m *model, w *modelWorker) {
	switch m.draw(6) {
	case 0:
		m.tick(o.modelOwner)
	case 1:
		o.renewLease(m, w)
	case 2:
		m.carryOut(o.modelOwner)
	case 3:
		o.write(m)
	case 4:
		if at, sent := take(m, &o.joins); sent {
			o.s.ConfirmAssignment(at)
		}
	case 5:
		if pass, held := take(m, &o.heldAnswers); held {
			pass()
		}
	}
}

// join sends a join, which is answered later.
func (o *suspendedOwner) join(m *model) {
	if o.token == m.epoch {
		o.joins = append(o.joins, m.timeOf(o.modelOwner))
	}
}

// write is like that of the model. The answer confirms the ownership as of the beginning of the write.
func (o *suspendedOwner) write(m *model) {
	underWay := o.pendingWrite != nil
	m.write(o.modelOwner)
	switch {
	case !underWay:
		o.writeBegan = m.timeOf(o.modelOwner)
	case o.pendingWrite == nil:
		o.s.ConfirmOwnership(o.writeBegan)
	}
}

// act has the owner take its usual steps, or sleep.
func (o *suspendedOwner) act(m *model) {
	if o.suspended {
		o.sleep(m)
		return
	}
	if m.draw(25) == 0 {
		o.suspend(m)
		return
	}
	for _, w := range m.workers {
		o.renewLease(m, w)
	}
	o.write(m)
	m.tick(o.modelOwner)
	for range 3 {
		o.actOn(m, m.workers[m.draw(len(m.workers))])
	}
}

// cutSuspended plays a cut between two data centres, as cut does. The hosts of both owners are
// suspended now and then, often that of the former one before its successor takes over. If restarts is
// set, workers start again meanwhile, which takes them longer than an order to start a run is valid.
func (m *model) cutSuspended(restarts bool) {
	former := &suspendedOwner{
		modelOwner: m.current(),
	}
	owners := []*suspendedOwner{former}
	for _, w := range m.workers {
		// The next owner, or the former one.
		w.unreachableBy = m.epoch + int64(m.draw(2))
	}
	if m.draw(4) > 0 {
		former.suspend(m)
	}
	takeover := m.draw(40)
	for i := range 120 {
		m.advance(time.Duration(20+m.draw(200)) * time.Millisecond)
		if i == takeover {
			m.takeOver()
			owners = append(owners, &suspendedOwner{
				modelOwner: m.current(),
			})
		}
		for _, o := range owners {
			o.act(m)
		}
		if m.draw(4) == 0 {
			m.endRandomRun(m.workers[m.draw(len(m.workers))])
		}
		suspended := slices.ContainsFunc(owners, func(o *suspendedOwner) bool { return o.suspended })
		if restarts && suspended && m.draw(20) == 0 {
			m.restartWorker(m.workers[m.draw(len(m.workers))])
		}
	}
	for _, o := range owners {
		o.suspended = false
		m.advance(time.Millisecond)
		for len(o.renewals) > 0 {
			o.renewLease(m, o.renewals[0].worker)
		}
		for _, pass := range o.heldAnswers {
			pass()
		}
		o.heldAnswers = nil
	}
	m.current().storeUnreachable = false
}

// playModelWithSuspendedOwners is like playModelWithCutOwners, with owners whose hosts are suspended
// while all else goes on.
func playModelWithSuspendedOwners(seeded fault, draw func(int) int, opts ...func(*model)) string {
	return playSuspensions(false, seeded, draw, opts...)
}

// playModelWithRestartsDuringSuspensions is like playModelWithSuspendedOwners, with workers that start
// again under their identity while the host of an owner is suspended.
func playModelWithRestartsDuringSuspensions(seeded fault, draw func(int) int, opts ...func(*model)) string {
	return playSuspensions(true, seeded, draw, opts...)
}

func playSuspensions(restarts bool, seeded fault, draw func(int) int, opts ...func(*model)) string {
	m := newModel(seeded, draw, append(opts, withEntryLeases)...)
	for range 3 {
		m.settle()
		for range 40 {
			m.doRandomAction()
			m.write(m.current())
		}
		m.cutSuspended(restarts)
	}
	m.recoverAndFinish()
	return m.violation
}

// checkSuspensions plays seeds of each kind of jobs.
func checkSuspensions(t *testing.T, play func(fault, func(int) int, ...func(*model)) string) {
	for _, test := range []struct {
		name  string
		seeds uint64
		opts  []func(*model)
	}{
		{
			name:  "tasks that end by themselves",
			seeds: 300,
		},
		{
			name:  "lasting tasks",
			seeds: 150,
			opts:  []func(*model){withLastingJob},
		},
		{
			name:  "organisations with a maximum",
			seeds: 150,
			opts:  []func(*model){withOrganisations},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range test.seeds {
				random := rand.New(rand.NewPCG(seed, 7))
				qt.Assert(t, play(noFault, random.IntN, test.opts...), qt.Equals, "", qt.Commentf("seed %d", seed))
			}
		})
	}
}

// TestSuspendedOwnersKeepInvariants guards against an owner that grants leases as if its host had not been suspended.
func TestSuspendedOwnersKeepInvariants(t *testing.T) {
	checkSuspensions(t, playModelWithSuspendedOwners)
}

// TestRestartsDuringSuspensionsKeepInvariants guards against an owner that wakes and starts tasks on a worker's next incarnation.
func TestRestartsDuringSuspensionsKeepInvariants(t *testing.T) {
	checkSuspensions(t, playModelWithRestartsDuringSuspensions)
}
