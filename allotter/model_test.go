package allotter_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/galenacove/galenacove/allotter"
)

// fault is a fault that is seeded into the model to show that its check finds it.
type fault string

const (
	noFault fault = ""
	// answeredEarly lets givers answer before they have stored their ledger.
	answeredEarly fault = "a giver answers before it has stored"
	// addedTwice lets takers add a total to what they know instead of merging it.
	addedTwice fault = "a taker adds a repeated total"
	// fencedAnswers lets former owners answer although the store rejects their writes.
	fencedAnswers fault = "a former owner gives after it was superseded"
	// forgottenGifts lets a new owner start without the ledger of the former one.
	forgottenGifts fault = "a new owner does not read the ledger"
)

// modelOwner is one owner of a partition, which may have been superseded without knowing.
type modelOwner struct {
	partition int
	epoch     int64
	ledger    *allotter.Ledger
	need      allotter.Need
	// unstored holds the replies that wait for the next write.
	unstored []modelReply
	fenced   bool
}

type modelRequest struct {
	giver   int
	request allotter.Request
}

type modelReply struct {
	from, to int
	// taker is the owner that has asked.
	taker *modelOwner
	reply allotter.Reply
}

// ledgerModel simulates the owners of some partitions and a store. Messages may be lost,
// repeated and late, and former owners go on.
type ledgerModel struct {
	fault fault
	// draw returns a random number below n.
	draw func(n int) int
	// owners holds all owners of each partition; the last one is the current one.
	owners [][]*modelOwner
	base   []int
	// epochs and stored are what the store has for each partition.
	epochs   []int64
	stored   []allotter.Record
	requests []modelRequest
	// askers holds the owner that has made each request.
	askers  []*modelOwner
	replies []modelReply
}

func newLedgerModel(fault fault, draw func(int) int) *ledgerModel {
	partitions := 2 + draw(4)
	m := &ledgerModel{
		fault:  fault,
		draw:   draw,
		owners: make([][]*modelOwner, partitions),
		epochs: make([]int64, partitions),
		stored: make([]allotter.Record, partitions),
	}
	// The last partition may hold nothing at first.
	for partition := range partitions - draw(2) {
		m.base = append(m.base, partition)
	}
	for partition := range partitions {
		m.takeOver(partition)
	}
	return m
}

// takeOver gives a partition its next owner, which writes its epoch before it reads.
func (m *ledgerModel) takeOver(partition int) {
	m.epochs[partition]++
	o := &modelOwner{
		partition: partition,
		epoch:     m.epochs[partition],
		ledger:    allotter.NewLedger(),
	}
	o.ledger.SetBase(partition, m.base)
	if m.fault != forgottenGifts {
		o.ledger.Restore(m.stored[partition])
	}
	m.owners[partition] = append(m.owners[partition], o)
}

// anyOwner returns an owner of a partition, in most cases the current one.
func (m *ledgerModel) anyOwner(partition int) *modelOwner {
	owners := m.owners[partition]
	if m.draw(4) == 0 {
		return owners[m.draw(len(owners))]
	}
	return owners[len(owners)-1]
}

func (m *ledgerModel) randomParts() allotter.Parts {
	var parts allotter.Parts
	for i := range parts {
		parts[i] = int64(m.draw(allotter.Whole + 1))
	}
	return parts
}

// step lets something happen.
func (m *ledgerModel) step() {
	partition := m.draw(len(m.owners))
	switch m.draw(12) {
	case 0:
		m.takeOver(partition)
	case 1, 2:
		o := m.anyOwner(partition)
		o.need = allotter.Need{
			Used:    m.randomParts().Min(o.ledger.Held(organisation)),
			Wanted:  m.randomParts(),
			Waiting: m.draw(2) == 0,
		}
		o.need.Precedence = allotter.Precedence{
			Rank:      m.draw(3),
			Partition: partition,
		}
	case 3, 4, 5:
		m.ask(m.anyOwner(partition))
	case 6, 7:
		if len(m.requests) > 0 {
			m.answer(m.draw(len(m.requests)))
		}
	case 8, 9:
		m.write(m.anyOwner(partition), m.draw(3) == 0)
	default:
		if len(m.replies) > 0 {
			m.receive(m.draw(len(m.replies)))
		}
	}
}

func (m *ledgerModel) ask(o *modelOwner) {
	giver := m.draw(len(m.owners))
	if giver == o.partition {
		return
	}
	m.requests = append(m.requests, modelRequest{
		giver: giver,
		request: allotter.Request{
			Partition: o.partition,
			Token:     o.epoch,
			Wants: []allotter.Want{{
				Organisation: organisation,
				Missing:      m.randomParts(),
				Received:     o.ledger.Received(giver, organisation),
				Precedence: allotter.Precedence{
					Rank:      m.draw(3),
					Partition: o.partition,
				},
			}},
		},
	})
	m.askers = append(m.askers, o)
}

// answer lets an owner decide on a request, which may reach it again later.
func (m *ledgerModel) answer(i int) {
	sent, asker := m.requests[i], m.askers[i]
	if m.draw(3) > 0 {
		m.requests = append(m.requests[:i], m.requests[i+1:]...)
		m.askers = append(m.askers[:i], m.askers[i+1:]...)
	}
	o := m.anyOwner(sent.giver)
	if o.fenced && m.fault != fencedAnswers {
		return
	}
	caller := sent.request.Partition
	want := sent.request.Wants[0]
	given := o.ledger.Given(caller, organisation)
	o.ledger.Give(caller, organisation, allotter.Decide(o.ledger.Held(organisation), given, o.need, want))
	reply := modelReply{
		from:  o.partition,
		to:    caller,
		taker: asker,
		reply: allotter.Reply{
			Given: []allotter.Total{{
				Organisation: organisation,
				Parts:        o.ledger.Given(caller, organisation),
			}},
		},
	}
	if m.fault == answeredEarly {
		m.replies = append(m.replies, reply)
		return
	}
	o.unstored = append(o.unstored, reply)
}

// write stores the ledger of an owner, unless it was superseded. If the store's answer is
// lost, the owner writes again later.
func (m *ledgerModel) write(o *modelOwner, answerLost bool) {
	switch {
	case o.epoch < m.epochs[o.partition]:
		o.fenced = true
		if m.fault != fencedAnswers {
			o.unstored = nil
			return
		}
	default:
		m.stored[o.partition] = o.ledger.Record()
	}
	if !answerLost {
		m.replies = append(m.replies, o.unstored...)
		o.unstored = nil
	}
}

// receive lets the owner that has asked receive a reply. It may receive it again later.
func (m *ledgerModel) receive(i int) {
	sent := m.replies[i]
	if m.draw(3) > 0 {
		m.replies = append(m.replies[:i], m.replies[i+1:]...)
	}
	if m.draw(4) == 0 {
		return
	}
	total := sent.reply.Given[0].Parts
	if m.fault == addedTwice {
		sent.taker.ledger.Restore(allotter.Record{
			Received: map[int]map[string]allotter.Parts{
				sent.from: {
					organisation: sent.taker.ledger.Received(sent.from, organisation).Add(total),
				},
			},
		})
		return
	}
	sent.taker.ledger.Receive(sent.from, organisation, total)
}

// check returns an error if the partitions hold more than there is, or one of them less
// than nothing.
func (m *ledgerModel) check() error {
	var sum allotter.Parts
	for _, owners := range m.owners {
		held := owners[len(owners)-1].ledger.Held(organisation)
		if held.Min(allotter.Parts{}) != (allotter.Parts{}) {
			return fmt.Errorf("partition %d holds %v", owners[0].partition, held)
		}
		sum = sum.Add(held)
	}
	if sum.Max(all(allotter.Whole)) != all(allotter.Whole) {
		return fmt.Errorf("all partitions hold %v", sum)
	}
	return nil
}

// settle lets all current owners store their ledgers and learn what they were given. It
// returns an error if parts are lost.
func (m *ledgerModel) settle() error {
	var sum allotter.Parts
	for _, owners := range m.owners {
		m.write(owners[len(owners)-1], false)
	}
	for to, takers := range m.owners {
		taker := takers[len(takers)-1]
		for from, givers := range m.owners {
			taker.ledger.Receive(from, organisation, givers[len(givers)-1].ledger.Given(to, organisation))
		}
		sum = sum.Add(taker.ledger.Held(organisation))
	}
	if sum != all(allotter.Whole) {
		return fmt.Errorf("all partitions hold %v in the end", sum)
	}
	return nil
}

// run lets steps happen, and returns the first error of check.
func (m *ledgerModel) run(steps int) error {
	for range steps {
		m.step()
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

// TestPartitionsHoldMoreThanTheWhole guards against an organisation that exceeds its
// maximum because parts are counted twice, and against parts that are lost, when answers
// are lost, requests are repeated, and owners are superseded while they give.
func TestPartitionsHoldMoreThanTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerModel(noFault, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		if err := cmp.Or(m.run(150), m.settle()); err != nil {
			t.Fatal(err)
		}
	})
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 0))
		m := newLedgerModel(noFault, random.IntN)
		if err := cmp.Or(m.run(300), m.settle()); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestModelMissesAFault guards against a model whose check finds nothing.
func TestModelMissesAFault(t *testing.T) {
	for _, seeded := range []fault{answeredEarly, addedTwice, fencedAnswers, forgottenGifts} {
		t.Run(string(seeded), func(t *testing.T) {
			found := 0
			for seed := range uint64(200) {
				random := rand.New(rand.NewPCG(seed, 0))
				if newLedgerModel(seeded, random.IntN).run(300) != nil {
					found++
				}
			}
			t.Logf("found with %d of 200 seeds", found)
			qt.Assert(t, found > 0, qt.IsTrue)
		})
	}
}
