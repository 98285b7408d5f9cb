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

// balancer sends to the entries that call themselves healthy.
type balancer struct {
	mu      sync.Mutex
	entries []*entryProcess
	healthy []*entryProcess
	stopped bool
	group   errgroup.Group
}

// balance polls the health of the entries until the test ends.
func balance(c *qt.C, entries []*entryProcess) *balancer {
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
		// The poll returns no error.
		_ = b.group.Wait()
	})
	return b
}

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

func (b *balancer) list() []*entryProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.healthy
}

func (b *balancer) set(entries []*entryProcess) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = entries
}

// TestRollingReplacement replaces every entry and every minion under load: no
// request is lost, doubled or reset, and no job is lost.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCell(c, 3, 4, 3)
	s.configure(c)
	service, batch := s.submitWork(c)
	b := balance(c, s.entries)
	k := call(c, 6, b.list)
	k.awaitAnswered(c, 50)
	for i, old := range s.entries {
		s.replaceEntry(c, b, i, old)
		k.awaitAnswered(c, 50)
	}
	for i := range s.minions {
		s.replaceMinion(c, i)
		k.awaitAnswered(c, 50)
	}
	s.entries[0].awaitWork(c, service, batch)
	s.verify(c, k)
	c.Check(k.resets, qt.Equals, 0)
	c.Check(k.unknown, qt.HasLen, 0)
}

// replaceEntry starts a successor, and stops the old entry once that serves.
func (s *cell) replaceEntry(c *qt.C, b *balancer, i int, old *entryProcess) {
	next := s.startEntry(c, fmt.Sprintf("entry-%d-next", i))
	await(c, "the successor is a member", func() bool {
		return next.healthy() && len(next.do(c, fmt.Sprintf(`show members where name ~ "entry-%d-next"`, i)).Table.Rows()) == 1
	})
	s.entries[i] = next
	b.set(append([]*entryProcess{old}, s.entries...))
	c.Assert(old.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(old.cmd.Wait(), qt.IsNil)
	b.set(s.entries)
	next.awaitRows(c, "show members", len(s.entries))
}

// replaceMinion starts a successor, lets the old minion leave, and waits until
// nothing runs there. It stays up, so that its account can be read at the end.
func (s *cell) replaceMinion(c *qt.C, i int) {
	old := s.minions[i]
	s.minions = append(s.minions, s.startMinion(c, fmt.Sprintf("minion-%d-next", i)))
	query := fmt.Sprintf(`show minions where name ~ "minion-%d-next" and state = open`, i)
	s.entries[0].awaitRows(c, query, 1)
	putFaults(c, old.first, emulator.MinionFaults{
		Leaving: true,
	})
	s.entries[0].awaitRows(c, fmt.Sprintf(`show minions where name = "klein-hall-minion-%d" and (state != leaving or reserved > 0)`, i), 0)
}
