package router

import "math/rand/v2"

// Strategy chooses among minions with a free slot. It is RandomPair,
// LeastLoaded, Random, RoundRobin or ExpectedTime.
type Strategy interface {
	strategy()
}

// RandomPair takes the one with more free slots of two chosen at random.
type RandomPair struct{}

// LeastLoaded takes the one with the most free slots.
type LeastLoaded struct{}

// Random takes any.
type Random struct{}

// RoundRobin takes each in turn.
type RoundRobin struct{}

// ExpectedTime takes, of two chosen at random, the one with the lower product
// of requests at the minion and its average time of service.
type ExpectedTime struct{}

func (RandomPair) strategy()   {}
func (LeastLoaded) strategy()  {}
func (Random) strategy()       {}
func (RoundRobin) strategy()   {}
func (ExpectedTime) strategy() {}

// candidate is a minion with at least one free slot.
type candidate struct {
	minion *minion
	free   int
}

// choose returns one of the candidates, of which there is at least one. turn
// counts the choices.
func choose(s Strategy, candidates []candidate, turn int) *minion {
	switch s.(type) {
	case LeastLoaded:
		return leastLoaded(candidates, turn)
	case Random:
		return candidates[rand.IntN(len(candidates))].minion
	case RoundRobin:
		return candidates[turn%len(candidates)].minion
	case RandomPair:
		return pair(candidates, freer)
	default:
		return pair(candidates, sooner)
	}
}

func leastLoaded(candidates []candidate, turn int) *minion {
	best := candidates[turn%len(candidates)]
	for _, c := range candidates {
		if c.free > best.free {
			best = c
		}
	}
	return best.minion
}

// pair returns the better of two different candidates chosen at random.
func pair(candidates []candidate, better func(a, b candidate) bool) *minion {
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

func freer(a, b candidate) bool { return a.free > b.free }

func sooner(a, b candidate) bool { return a.cost() < b.cost() }

// cost is the expected time of service, weighed by the requests at the minion.
func (c candidate) cost() float64 {
	return float64(c.minion.slots-c.free+1) * c.minion.latency
}
