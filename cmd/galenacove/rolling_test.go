package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/emulator"
)

// balancer keeps track of the entries whose health check succeeds.
type balancer struct {
	mu      sync.Mutex
	entries []*entryProcess
	healthy []*entryProcess
	stopped bool
	group   errgroup.Group
}

// startBalancer starts a balancer that polls the health of the entries until the
// test ends.
func startBalancer(c *qt.C, entries []*entryProcess) *balancer {
	b := &balancer{
		entries: entries,
		healthy: entries,
	}
	b.group.Go(func() error {
		for b.poll() {
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	})
	c.Cleanup(func() {
		b.mu.Lock()
		b.stopped = true
		b.mu.Unlock()
		// The goroutine returns no error.
		_ = b.group.Wait()
	})
	return b
}

// poll updates the healthy entries, unless no entry is healthy. It reports whether
// to poll again.
func (b *balancer) poll() bool {
	b.mu.Lock()
	entries := b.entries
	b.mu.Unlock()
	var healthy []*entryProcess
	for _, entry := range entries {
		if entry.healthy() {
			healthy = append(healthy, entry)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(healthy) > 0 {
		b.healthy = healthy
	}
	return !b.stopped
}

func (b *balancer) healthyEntries() []*entryProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.healthy
}

func (b *balancer) setEntries(entries []*entryProcess) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = entries
}

// TestRollingReplacement checks that no request is lost, run twice or reset, and
// no job lost, while every entry and every minion is replaced under load.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCell(c, 3, 4, 3)
	s.configure(c)
	service, batch := s.submitWork(c)
	b := startBalancer(c, s.entries)
	load := startCallers(c, 6, b.healthyEntries)
	load.awaitAnswered(c, 50)
	for i, old := range s.entries {
		s.replaceEntry(c, b, i, old)
		load.awaitAnswered(c, 50)
	}
	for i := range s.minions {
		s.replaceMinion(c, i)
		load.awaitAnswered(c, 50)
	}
	s.entries[0].awaitWork(c, service, batch)
	s.verify(c, load)
	c.Check(load.resets, qt.Equals, 0)
	c.Check(load.unknown, qt.HasLen, 0)
}

// replaceEntry starts a successor of the i-th entry, and stops the old entry once
// the successor is a member.
func (s *cell) replaceEntry(c *qt.C, b *balancer, i int, old *entryProcess) {
	successor := s.startEntry(c, fmt.Sprintf("entry-%d-next", i))
	await(c, "the successor is a member", func() bool {
		return successor.healthy() && len(successor.do(c, fmt.Sprintf(`show members where name ~ "entry-%d-next"`, i)).Table.Rows()) == 1
	})
	s.entries[i] = successor
	b.setEntries(append([]*entryProcess{old}, s.entries...))
	c.Assert(old.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(old.cmd.Wait(), qt.IsNil)
	b.setEntries(s.entries)
	successor.awaitRows(c, "show members", len(s.entries))
}

// replaceMinion starts a successor of the i-th minion, lets the old minion leave,
// and waits until the old one has no more requests. The process of the old minion
// stays up, so that its counts can be read at the end of the test.
func (s *cell) replaceMinion(c *qt.C, i int) {
	old := s.minions[i]
	s.minions = append(s.minions, s.startMinion(c, fmt.Sprintf("minion-%d-next", i)))
	query := fmt.Sprintf(`show minions where name ~ "minion-%d-next" and state = open`, i)
	s.entries[0].awaitRows(c, query, 1)
	putFaults(c, old.firstLine, emulator.MinionFaults{
		Leaving: true,
	})
	s.entries[0].awaitRows(c, fmt.Sprintf(`show minions where name = "klein-hall-minion-%d" and (state != leaving or reserved > 0)`, i), 0)
}
