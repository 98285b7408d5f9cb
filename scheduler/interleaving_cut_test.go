package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/scheduler"
)

// withEntryLeases has owners grant leases as the command that runs an entry does. They expire long
// before an owner that is not confirmed may grant no more.
func withEntryLeases(m *model) {
	m.options = append(m.options, scheduler.Lease(entryLease, entryMaxLease))
}

// cut plays a cut between two data centres. The former owner reaches neither the store nor the
// workers of the other one, and the next owner only these. Both go on.
func (m *model) cut() {
	former := m.current()
	m.takeOver()
	former.storeUnreachable = true
	next := m.current()
	var near, far []*modelWorker
	for _, w := range m.workers {
		if m.draw(2) == 0 {
			near = append(near, w)
			w.unreachableBy = next.token
		} else {
			far = append(far, w)
			w.unreachableBy = former.token
		}
	}
	for range 60 {
		m.advance(time.Duration(20+m.draw(200)) * time.Millisecond)
		for _, w := range near {
			m.renewLease(former, w)
		}
		for _, w := range far {
			m.renewLease(former, w)
			m.renewLease(next, w)
		}
		for _, o := range []*modelOwner{former, next} {
			m.write(o)
			m.tick(o)
			for range 2 {
				m.carryOut(o)
			}
		}
		if m.draw(4) == 0 {
			m.endRandomRun(m.workers[m.draw(len(m.workers))])
		}
		if len(far) > 0 && m.draw(30) == 0 {
			m.restartAtOnce(far[m.draw(len(far))], former)
		}
	}
}

// restartAtOnce lets a worker start again under its identity, and an owner hear of it that did not
// reach it before. Its process takes orders that it had not carried out along.
func (m *model) restartAtOnce(w *modelWorker, heardBy *modelOwner) {
	if !w.up {
		return
	}
	clear(w.active)
	m.lateOrders = nil
	w.entry.StartedAt = m.now
	w.clock = 0
	w.leaseEnd = 0
	w.token = 0
	w.ended = nil
	w.lastEndNumber, w.lastStaleEnd = 0, 0
	clear(w.stoppedAttempts)
	w.unreachableBy = m.current().token
	m.renewLease(heardBy, w)
	w.unreachableBy = heardBy.token
}

// playModelWithCutOwners is like playModel, with cuts between data centres, during which workers
// start again.
func playModelWithCutOwners(seeded fault, draw func(int) int, opts ...func(*model)) string {
	m := newModel(seeded, draw, append(opts, withEntryLeases)...)
	for range 3 {
		m.settle()
		for range 40 {
			m.doRandomAction()
			m.write(m.current())
		}
		m.cut()
	}
	m.recoverAndFinish()
	return m.violation
}

// TestCutOwnersKeepInvariants guards against an owner that is cut off with some of the workers and
// starts tasks again which the next owner runs, or knows to be done.
func TestCutOwnersKeepInvariants(t *testing.T) {
	for _, test := range []struct {
		name  string
		seeds uint64
		opts  []func(*model)
	}{
		{
			name:  "tasks that end by themselves",
			seeds: 600,
		},
		{
			name:  "lasting tasks",
			seeds: 200,
			opts:  []func(*model){withLastingJob},
		},
		{
			name:  "organisations with a maximum",
			seeds: 200,
			opts:  []func(*model){withOrganisations},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range test.seeds {
				random := rand.New(rand.NewPCG(seed, 7))
				qt.Assert(t, playModelWithCutOwners(noFault, random.IntN, test.opts...), qt.Equals, "", qt.Commentf("seed %d", seed))
			}
		})
	}
}
