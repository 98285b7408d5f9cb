package allotter

import (
	"maps"
	"slices"
	"time"
)

const (
	// askInterval is the interval at which a partition is asked while parts are
	// missing and it gives some, counted from the start of a call.
	askInterval = 100 * time.Millisecond
	// refusedInterval is the time until a partition that gave nothing, or to which a call
	// failed sooner than that, is asked again. After such failed calls it doubles, up to
	// maxFailedInterval: a partition may have no owner for long, and each call that does
	// not reach one reads the owners from the store. A call that ended by its timeout is
	// repeated at once.
	refusedInterval   = 250 * time.Millisecond
	maxFailedInterval = time.Second
	// refreshInterval is the interval at which the totals of all organisations are asked
	// for. A giver may carry out a call after its caller has given up waiting,
	// and what it gives is of no use to anyone until the caller learns of it.
	refreshInterval = 5 * time.Second
	// maxDoublings bounds the exponent of the interval after calls without an answer.
	maxDoublings = 8
)

// Asker determines when the owner of a partition asks which other partitions for parts.
type Asker struct {
	peers map[int]*askedPeer
}

// askedPeer is another partition that can be asked.
type askedPeer struct {
	// inFlight holds the organisations named in the call under way, and is nil if there
	// is no call. askedAt is the time at which the last call began.
	inFlight []string
	askedAt  time.Time
	// asksAll is set if the last call asked for all totals.
	asksAll bool
	// nextAsk is the earliest time at which the peer is asked for parts of an
	// organisation again.
	nextAsk map[string]time.Time
	// nextRefresh is the earliest time at which all totals are asked for again.
	nextRefresh time.Time
	// failures counts the calls that failed sooner than refusedInterval since the last
	// answer.
	failures int
}

// NewAsker returns an Asker that has asked nobody yet. It asks each partition once for
// what it has given.
func NewAsker() *Asker {
	return &Asker{
		peers: make(map[int]*askedPeer),
	}
}

// SetPeers sets the other partitions that can be asked.
func (a *Asker) SetPeers(partitions []int) {
	maps.DeleteFunc(a.peers, func(partition int, _ *askedPeer) bool { return !slices.Contains(partitions, partition) })
	for _, partition := range partitions {
		if a.peers[partition] == nil {
			a.peers[partition] = &askedPeer{
				nextAsk: make(map[string]time.Time),
			}
		}
	}
}

// Call is a call to make to another partition.
type Call struct {
	Partition int
	// All is set if the totals of all organisations are to be asked for.
	All bool
}

// Due returns the calls to make now, in ascending order of the partitions, given the
// organisations of which parts are missing. Each call names all of them, and is under way
// until Answered or Failed is called.
func (a *Asker) Due(organisations []string, now time.Time) []Call {
	var due []Call
	for _, partition := range slices.Sorted(maps.Keys(a.peers)) {
		p := a.peers[partition]
		if !p.due(organisations, now) {
			continue
		}
		p.inFlight = append([]string{}, organisations...)
		p.askedAt = now
		p.asksAll = !now.Before(p.nextRefresh)
		due = append(due, Call{
			Partition: partition,
			All:       p.asksAll,
		})
	}
	return due
}

func (p *askedPeer) due(organisations []string, now time.Time) bool {
	if p.inFlight != nil {
		return false
	}
	maps.DeleteFunc(p.nextAsk, func(_ string, at time.Time) bool { return !now.Before(at) })
	if !now.Before(p.nextRefresh) {
		return true
	}
	return slices.ContainsFunc(organisations, func(organisation string) bool {
		_, later := p.nextAsk[organisation]
		return !later
	})
}

// Answered records the answer of a partition, and the organisations of which it gave
// parts.
func (a *Asker) Answered(partition int, gave map[string]bool, now time.Time) {
	p := a.peers[partition]
	if p == nil {
		return
	}
	for _, organisation := range p.inFlight {
		if gave[organisation] {
			p.nextAsk[organisation] = p.askedAt.Add(askInterval)
		} else {
			p.nextAsk[organisation] = now.Add(refusedInterval)
		}
	}
	p.inFlight = nil
	p.failures = 0
	if p.asksAll {
		p.nextRefresh = now.Add(refreshInterval)
	}
}

// Failed records that a call to a partition had no answer. The partition may have given
// parts nevertheless, so all totals are asked for next.
func (a *Asker) Failed(partition int, now time.Time) {
	p := a.peers[partition]
	if p == nil {
		return
	}
	next := now
	if now.Sub(p.askedAt) < refusedInterval {
		next = p.askedAt.Add(min(refusedInterval<<min(p.failures, maxDoublings), maxFailedInterval))
		p.failures++
	}
	for _, organisation := range p.inFlight {
		p.nextAsk[organisation] = next
	}
	p.inFlight = nil
	p.nextRefresh = next
}
