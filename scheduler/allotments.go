package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/sizer"
)

// The errors for a request of another owner for parts of an allotment.
var (
	// ErrNoAllotments is returned while it is not known what this owner holds.
	ErrNoAllotments = errors.New("scheduler: the allotments are not known")
	// ErrAllotmentsUnstored is returned while the ledger cannot be stored.
	ErrAllotmentsUnstored = errors.New("scheduler: the allotments cannot be stored")
	// ErrFormerOwner is returned for a request by a former owner of a partition.
	ErrFormerOwner = errors.New("scheduler: the caller's partition has a later owner")
)

const (
	// maxUnstoredLedger is how long a change of the ledger may be unstored before
	// nothing more is given or asked for. Parts that are given but not stored are of
	// use to nobody, so this bounds what is lost while the store does not respond.
	maxUnstoredLedger = 500 * time.Millisecond
	// unlimitedAmount is the allotment in a resource that is not limited. It leaves room
	// for multiplication and addition.
	unlimitedAmount = math.MaxInt64 / 4
)

var unlimited = sizer.New(unlimitedAmount, unlimitedAmount, unlimitedAmount)

// allotments is what the owner of a partition may have running of each organisation.
type allotments struct {
	partition int
	ledger    *allotter.Ledger
	// unreadable is set if the stored ledger cannot be decoded. What was given is then
	// unknown, so the partition holds nothing and the stored ledger is kept as it is.
	unreadable bool
	// unwritten is set while the ledger has changes that are in no write, and
	// unwrittenGift is set if parts were given by one of them.
	unwritten, unwrittenGift bool
	// batch is the number of the write with the last change, and batchSince the time
	// of the first change in it.
	batch      int64
	batchSince time.Time
	// unstoredSince is the time of the first change that is not stored, zero if there
	// is none.
	unstoredSince time.Time
	// callerTokens holds the highest token of each partition that has asked for parts.
	callerTokens map[int]int64
	// waits records for how long steps have waited for parts, and claims what is
	// withheld from this owner's steps for more urgent ones of other owners.
	waits  *allotter.Waits
	claims *allotter.Claims
	// mostUrgent holds the last most urgent step of each organisation.
	mostUrgent map[string]mostUrgentStep
	// idle records which parts this owner holds for a step that does not use them.
	idle *allotter.Idle
	// demands holds the result of Demands as of the end of the last tick, or nil before
	// it is needed. It is not computed within a tick, when only a part of the steps has
	// been placed.
	demands map[string]Demand
}

// mostUrgentStep is the most urgent step of an organisation, as of an earlier time.
type mostUrgentStep struct {
	ref     StepRef
	waiting int
	// known identifies it for waits and idle. It stays the same while steps become the most urgent
	// one in turn and none of them starts, as that would count as a start otherwise.
	known allotter.Step
}

// firstStart is the next start of the most urgent step of an organisation.
type firstStart struct {
	step allotter.Step
	size sizer.Size
	// awaitsAdvice is set if the first call to the adviser has no answer yet.
	awaitsAdvice bool
}

func newAllotments() allotments {
	return allotments{
		ledger:       allotter.NewLedger(),
		waits:        allotter.NewWaits(),
		claims:       allotter.NewClaims(),
		idle:         allotter.NewIdle(),
		callerTokens: make(map[int]int64),
		mostUrgent:   make(map[string]mostUrgentStep),
	}
}

// SetBasePartitions sets the partition of this owner and the base partitions, which hold
// all parts of each maximum at first.
func (s *Scheduler) SetBasePartitions(partition int, base []int) {
	s.allotments.partition = partition
	s.allotments.ledger.SetBase(partition, base)
}

// RestoreAllotments merges the ledger that a former owner stored. It returns an error for
// one that cannot be decoded. This owner then holds nothing.
func (s *Scheduler) RestoreAllotments(stored []byte) error {
	record, err := allotter.DecodeRecord(stored)
	if err != nil {
		s.allotments.unreadable = true
		return err
	}
	s.allotments.ledger.Restore(record)
	return nil
}

// AllotmentsKnown reports whether it is known what this owner holds.
func (s *Scheduler) AllotmentsKnown() bool {
	return s.allotments.ledger.BaseKnown() && !s.allotments.unreadable
}

// heldParts returns the parts of an organisation that this owner holds.
func (s *Scheduler) heldParts(name string) allotter.Parts {
	if !s.AllotmentsKnown() {
		return allotter.Parts{}
	}
	return s.allotments.ledger.Held(name)
}

// allotment returns what this owner may have running of an organisation: the fraction of
// the maximum in force that the held parts represent. It is unlimited in a resource
// without a maximum. While it is not known what this owner holds, it is negative in each
// limited resource, so that not even an empty task fits.
func (s *Scheduler) allotment(name string) sizer.Size {
	if s.AllotmentsKnown() {
		return allotter.SizeOf(s.heldParts(name).Sub(s.withheldParts(name)), s.organisations[name].Maximum, unlimited)
	}
	return s.heldAllotment(name)
}

// heldAllotment is allotment without regard to what is withheld for other owners.
func (s *Scheduler) heldAllotment(name string) sizer.Size {
	maximum := s.organisations[name].Maximum
	if s.AllotmentsKnown() {
		return allotter.SizeOf(s.heldParts(name), maximum, unlimited)
	}
	amount := func(limit int64) int64 {
		if limit > 0 {
			return -1
		}
		return unlimitedAmount
	}
	return sizer.New(amount(maximum.MilliCores()), amount(maximum.Bytes()), amount(maximum.Accelerators()))
}

// shownAllotment returns the allotment for logs and metrics: 0 in a resource without a
// maximum.
func (s *Scheduler) shownAllotment(organisation Organisation) sizer.Size {
	allotment, maximum := s.allotment(organisation.Name), organisation.Maximum
	shown := func(amount, limit int64) int64 {
		if limit == 0 {
			return 0
		}
		return amount
	}
	return sizer.New(
		shown(allotment.MilliCores(), maximum.MilliCores()),
		shown(allotment.Bytes(), maximum.Bytes()),
		shown(allotment.Accelerators(), maximum.Accelerators()),
	)
}

// withheldParts returns the parts of an organisation that this owner holds but leaves to
// the more urgent steps of other owners.
func (s *Scheduler) withheldParts(name string) allotter.Parts {
	if !s.allotments.claims.Any(name, s.tickedAt) {
		return allotter.Parts{}
	}
	return s.allotments.claims.Withheld(name, s.need(name, s.tickedAt), s.tickedAt)
}

// holdsAll reports whether this owner holds all parts of an organisation, in the
// resources that its maximum limits.
func (s *Scheduler) holdsAll(name string) bool {
	maximum := s.organisations[name].Maximum
	whole := allotter.Limited(allotter.Parts{allotter.Whole, allotter.Whole, allotter.Whole}, maximum)
	return allotter.Limited(s.heldParts(name), maximum) == whole
}

// HeldAllotment describes what this owner holds and uses of an organisation.
type HeldAllotment struct {
	Parts allotter.Parts
	// All is set if it holds all parts of the resources that the maximum limits.
	All                      bool
	Used, Allotment, Maximum sizer.Size
}

// HeldAllotment returns what this owner holds and uses of an organisation.
func (s *Scheduler) HeldAllotment(name string) HeldAllotment {
	return HeldAllotment{
		Parts:     s.heldParts(name),
		All:       s.holdsAll(name),
		Used:      s.usedBy(name),
		Allotment: s.allotment(name),
		Maximum:   s.organisations[name].Maximum,
	}
}

// Gift is the answer to a request for parts.
type Gift struct {
	Reply allotter.Reply
	// Batch is the number of the write that stores what the reply says. The reply may
	// be sent once LedgerStored returns true for it.
	Batch int64
	// Given holds the parts that are given by this answer, by organisation.
	Given map[string]allotter.Parts
}

// Allot decides what to give to the owner of another partition. What is given is no
// longer held from now on.
func (s *Scheduler) Allot(request allotter.Request, now time.Time) (Gift, error) {
	a := &s.allotments
	switch {
	case !s.AllotmentsKnown() || request.Partition == a.partition:
		return Gift{}, ErrNoAllotments
	case request.Token < a.callerTokens[request.Partition]:
		return Gift{}, ErrFormerOwner
	case s.ledgerOverdue(now):
		return Gift{}, ErrAllotmentsUnstored
	}
	a.callerTokens[request.Partition] = request.Token
	gift := Gift{
		Given: make(map[string]allotter.Parts),
	}
	for _, want := range request.Wants {
		given := a.ledger.Give(request.Partition, want.Organisation, s.partsToGive(request.Partition, want, now))
		a.claims.Update(request.Partition, want, given, now)
		if !given.IsZero() {
			gift.Given[want.Organisation] = given
			a.unwrittenGift = true
			s.ledgerChanged(now)
		}
		if !request.All {
			gift.Reply.Given = append(gift.Reply.Given, allotter.Total{
				Organisation: want.Organisation,
				Parts:        a.ledger.Given(request.Partition, want.Organisation),
			})
		}
	}
	if request.All {
		for organisation, parts := range a.ledger.AllGiven(request.Partition) {
			gift.Reply.Given = append(gift.Reply.Given, allotter.Total{
				Organisation: organisation,
				Parts:        parts,
			})
		}
	}
	gift.Batch = a.batch
	return gift, nil
}

// partsToGive returns the parts to give for a request. It gives nothing of a resource that
// is not limited by the configuration in force here, as then it is not known what part of
// the maximum the runs use.
func (s *Scheduler) partsToGive(partition int, want allotter.Want, now time.Time) allotter.Parts {
	maximum := s.organisations[want.Organisation].Maximum
	held := allotter.Limited(s.heldParts(want.Organisation), maximum)
	given := s.allotments.ledger.Given(partition, want.Organisation)
	return allotter.Decide(held, given, s.need(want.Organisation, now), want)
}

// need returns what this owner needs of an organisation.
func (s *Scheduler) need(name string, now time.Time) allotter.Need {
	maximum := s.organisations[name].Maximum
	demand := s.demandsByName(now)[name]
	used := s.usedBy(name)
	return allotter.Need{
		Used:       allotter.PartsOf(used, maximum),
		Wanted:     allotter.PartsOf(used.Max(demand.Wanted), maximum),
		Waiting:    demand.Waiting && !s.allotments.idle.Is(name, now),
		Precedence: s.precedence(demand.Urgency),
	}
}

func (s *Scheduler) precedence(urgency Urgency) allotter.Precedence {
	return allotter.Precedence{
		Rank:        urgency.Rank,
		Priority:    urgency.Priority,
		LatestStart: urgency.LatestStart,
		Partition:   s.allotments.partition,
	}
}

// demandsByName returns the demand of each organisation as of the end of the last tick.
func (s *Scheduler) demandsByName(now time.Time) map[string]Demand {
	a := &s.allotments
	if a.demands == nil {
		a.demands = make(map[string]Demand)
		for _, demand := range s.Demands(now) {
			a.demands[demand.Organisation] = demand
		}
	}
	return a.demands
}

// AllotmentWants returns the parts that are missing for the waiting steps of each
// organisation. There are none while the ledger cannot be stored.
func (s *Scheduler) AllotmentWants(now time.Time) []allotter.Want {
	if !s.AllotmentsKnown() || s.ledgerOverdue(now) {
		return nil
	}
	demands := s.demandsByName(now)
	if len(demands) == 0 {
		s.allotments.waits.Starved(nil, now)
		s.allotments.idle.Update(nil, nil, now)
		return nil
	}
	var wants []allotter.Want
	waiting := make(map[string]allotter.Step)
	first := s.firstStarts(now)
	s.updateIdle(demands, first, now)
	for _, name := range slices.Sorted(maps.Keys(demands)) {
		demand := demands[name]
		missing := s.missingParts(name, demand.Wanted)
		if !demand.Waiting || missing.IsZero() || s.allotments.idle.Is(name, now) {
			continue
		}
		wants = append(wants, allotter.Want{
			Organisation: name,
			Missing:      missing,
			First:        s.missingParts(name, demand.Used.Add(first[name].size)).Min(missing),
			Precedence:   s.precedence(demand.Urgency),
		})
		waiting[name] = first[name].step
	}
	starved := s.allotments.waits.Starved(waiting, now)
	for i := range wants {
		if !starved[wants[i].Organisation] {
			wants[i].First = allotter.Parts{}
		}
	}
	return wants
}

// updateIdle records which organisations' parts this owner holds for the next start of a step
// that waits for something else.
func (s *Scheduler) updateIdle(demands map[string]Demand, first map[string]firstStart, now time.Time) {
	steps := make(map[string]allotter.Step)
	held := make(map[string]bool)
	for name, demand := range demands {
		start, found := first[name]
		if !demand.Waiting || !found {
			continue
		}
		steps[name] = start.step
		held[name] = !start.awaitsAdvice && s.missingParts(name, demand.Used.Add(start.size)).IsZero()
	}
	s.allotments.idle.Update(steps, held, now)
}

// missingParts returns the parts that are missing for a use of an organisation.
func (s *Scheduler) missingParts(name string, use sizer.Size) allotter.Parts {
	return allotter.PartsOf(use, s.organisations[name].Maximum).Sub(s.heldParts(name)).Max(allotter.Parts{})
}

// firstStarts returns the next start of the most urgent step of each organisation. A gang
// starts all its tasks at once.
func (s *Scheduler) firstStarts(now time.Time) map[string]firstStart {
	starts := make(map[string]firstStart)
	for _, st := range s.startableSteps(now) {
		name := st.job.record.Organisation
		if _, found := starts[name]; found {
			continue
		}
		tasks := 1
		if st.phase.Gang {
			tasks = st.waiting
		}
		starts[name] = firstStart{
			step:         s.knownAs(st),
			size:         st.phase.Size.Times(int64(tasks)),
			awaitsAdvice: len(st.adviceState.calls) > 0 && len(st.adviceState.askedWorkers) == 0,
		}
	}
	return starts
}

// knownAs records the most urgent step of an organisation, and returns by what waits and idle know
// it.
func (s *Scheduler) knownAs(st *step) allotter.Step {
	name := st.job.record.Organisation
	known := allotter.Step{
		ID:      st.ref.String(),
		Waiting: st.waiting,
	}
	if last, found := s.allotments.mostUrgent[name]; found {
		if former := s.findStep(last.ref); former != nil && !former.job.state.Final() && former.waiting >= last.waiting {
			known = last.known
		}
	}
	s.allotments.mostUrgent[name] = mostUrgentStep{
		ref:     st.ref,
		waiting: st.waiting,
		known:   known,
	}
	return known
}

// AllotmentRequest returns the request to send to the owner of another partition.
func (s *Scheduler) AllotmentRequest(call allotter.Call, wants []allotter.Want) allotter.Request {
	request := allotter.Request{
		Partition: s.allotments.partition,
		Token:     s.token,
		All:       call.All,
	}
	for _, want := range wants {
		want.Received = s.allotments.ledger.Received(call.Partition, want.Organisation)
		request.Wants = append(request.Wants, want)
	}
	return request
}

// ReceiveAllotments merges the totals that another partition's owner says it has given.
// It returns what was not known before, by organisation.
func (s *Scheduler) ReceiveAllotments(partition int, reply allotter.Reply, now time.Time) map[string]allotter.Parts {
	received := make(map[string]allotter.Parts)
	for _, total := range reply.Given {
		if parts := s.allotments.ledger.Receive(partition, total.Organisation, total.Parts); !parts.IsZero() {
			received[total.Organisation] = parts
			s.ledgerChanged(now)
		}
	}
	return received
}

// ledgerChanged marks the ledger to be stored with the next write.
func (s *Scheduler) ledgerChanged(now time.Time) {
	a := &s.allotments
	if !a.unwritten {
		a.unwritten = true
		a.batch = s.nextBatch
		a.batchSince = now
	}
	if a.unstoredSince.IsZero() {
		a.unstoredSince = now
	}
}

// ledgerOverdue reports whether a change of the ledger has been unstored for too long.
func (s *Scheduler) ledgerOverdue(now time.Time) bool {
	since := s.allotments.unstoredSince
	return !since.IsZero() && now.Sub(since) > maxUnstoredLedger
}

// LedgerStored reports whether the write with that number is stored.
func (s *Scheduler) LedgerStored(batch int64) bool {
	return s.storedBatch >= batch
}

// nextLedger returns the ledger to be stored with the next write, or nil if it has not
// changed.
func (a *allotments) nextLedger() *allotter.Record {
	if !a.unwritten {
		return nil
	}
	a.unwritten, a.unwrittenGift = false, false
	record := a.ledger.Record()
	return &record
}

// ledgerWritten records that the write with that number is stored.
func (a *allotments) ledgerWritten(batch int64) {
	switch {
	case batch >= a.batch:
		a.unstoredSince = time.Time{}
	case !a.unstoredSince.IsZero():
		a.unstoredSince = a.batchSince
	}
}
