package router

import "math/rand/v2"

// Strategy chooses among minions with a free slot. It is RandomPair, LeastLoaded,
// Random, RoundRobin or ExpectedTime.
type Strategy interface {
	strategy()
}

// RandomPair chooses, of two random minions, the one with more free slots.
type RandomPair struct{}

// LeastLoaded chooses the minion with the most free slots.
type LeastLoaded struct{}

// Random chooses any minion with equal probability.
type Random struct{}

// RoundRobin chooses the minions in turn.
type RoundRobin struct{}

// ExpectedTime chooses, of two random minions, the one with the lower product of
// its number of requests and its average service time.
type ExpectedTime struct{}

func (RandomPair) strategy()   {}
func (LeastLoaded) strategy()  {}
func (Random) strategy()       {}
func (RoundRobin) strategy()   {}
func (ExpectedTime) strategy() {}

// candidate is a minion with at least one free slot.
type candidate struct {
	minion    *minion
	freeSlots int
}

// choose returns one of the candidates, of which there is at least one. choiceCount
// is the number of choices so far.
func choose(s Strategy, candidates []candidate, choiceCount int) *minion {
	switch s.(type) {
	case LeastLoaded:
		return leastLoaded(candidates, choiceCount)
	case Random:
		return candidates[rand.IntN(len(candidates))].minion
	case RoundRobin:
		return candidates[choiceCount%len(candidates)].minion
	case RandomPair:
		return bestOfTwo(candidates, moreFree)
	default:
		return bestOfTwo(candidates, lessCost)
	}
}

func leastLoaded(candidates []candidate, choiceCount int) *minion {
	best := candidates[choiceCount%len(candidates)]
	for _, c := range candidates {
		if c.freeSlots > best.freeSlots {
			best = c
		}
	}
	return best.minion
}

// bestOfTwo returns the better of two different candidates chosen at random.
func bestOfTwo(candidates []candidate, better func(a, b candidate) bool) *minion {
	if len(candidates) == 1 {
		return candidates[0].minion
	}
	i := rand.IntN(len(candidates))
	j := rand.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if better(candidates[j], candidates[i]) {
		return candidates[j].minion
	}
	return candidates[i].minion
}

func moreFree(a, b candidate) bool { return a.freeSlots > b.freeSlots }

func lessCost(a, b candidate) bool { return a.cost() < b.cost() }

// cost is the average service time times the number of requests at the minion,
// with the new one.
func (c candidate) cost() float64 {
	return float64(c.minion.slots-c.freeSlots+1) * c.minion.latency
}
