package main

import (
	"slices"
	"sync"
	"time"
)

// groupParts is the number of partitions of a group, of which each has one topic.
const groupParts = 12

// memberGroup is a group of the store, as PROTOCOL.md has it: a partition that is to go to
// another member is listed to no member of the present generation until the one that has it
// joins with that generation, leaves, or has been silent for its TTL. So a member is never
// listed a partition in a generation in which another one is.
type memberGroup struct {
	mu         sync.Mutex
	generation int64
	members    map[string]*member
	// holders holds the member that has a partition, and targets the one that is to have
	// it by the present generation. Both are empty for a partition without one.
	holders, targets [groupParts]string
}

type member struct {
	expires time.Time
	// seen is the generation with which the member last joined.
	seen int64
}

func newMemberGroup() *memberGroup {
	return &memberGroup{members: make(map[string]*member)}
}

// rebalance begins a generation: partitions stay where they are as far as an even
// distribution allows. The caller holds mu.
func (g *memberGroup) rebalance() {
	g.generation++
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	counts := make(map[string]int)
	least := 0
	extra := 0
	if len(names) > 0 {
		least, extra = groupParts/len(names), groupParts%len(names)
	}
	fits := func(name string) bool {
		if g.members[name] == nil {
			return false
		}
		if counts[name] == least && extra > 0 {
			extra--
			return true
		}
		return counts[name] < least
	}
	for p, holder := range g.holders {
		g.targets[p] = ""
		if g.members[holder] == nil {
			g.holders[p] = ""
			continue
		}
		if fits(holder) {
			g.targets[p] = holder
			counts[holder]++
		}
	}
	for p := range g.targets {
		for _, name := range names {
			if g.targets[p] == "" && fits(name) {
				g.targets[p] = name
				counts[name]++
			}
		}
	}
	g.pass()
}

// pass gives partitions to the members that are to have them, if nobody else has them any
// more. The caller holds mu.
func (g *memberGroup) pass() {
	for p, holder := range g.holders {
		m := g.members[holder]
		if holder != g.targets[p] && (m == nil || m.seen >= g.generation) {
			g.holders[p] = g.targets[p]
		}
	}
}

// expire removes members that have been silent for too long. The caller holds mu.
func (g *memberGroup) expire(now time.Time) {
	gone := false
	for name, m := range g.members {
		if now.After(m.expires) {
			delete(g.members, name)
			gone = true
		}
	}
	if gone {
		g.rebalance()
	}
}

// join adds a member or keeps it, and returns the generation and the member's partitions.
func (g *memberGroup) join(name string, ttl time.Duration, generation int64) (int64, []int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.expire(now)
	m := g.members[name]
	if m == nil {
		m = &member{}
		g.members[name] = m
		g.rebalance()
	}
	m.expires = now.Add(ttl)
	m.seen = generation
	g.pass()
	var parts []int
	for p := range g.holders {
		if g.holders[p] == name && g.targets[p] == name {
			parts = append(parts, p)
		}
	}
	return g.generation, parts
}

func (g *memberGroup) leave(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[name] != nil {
		delete(g.members, name)
		g.rebalance()
	}
}

// owners returns the member that has each partition.
func (g *memberGroup) owners() [groupParts]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(time.Now())
	return g.holders
}
