package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/galenacove/galenacove/commander"
	"github.com/galenacove/galenacove/emulator"
)

// TestWholePath checks that requests through separate processes are answered
// while a service, a batch job and a gang run, and that each job ends as it
// should.
func TestWholePath(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCell(c, 2, 3, 3)
	s.configure(c)
	first, second := s.entries[0], s.entries[1]
	service := first.runCommand(c, `submit service "listeners" team omuti tasks 2 cpu 1 memory 512MiB`)
	batch := second.runCommand(c, `submit batch "reports" team omuti tasks 6 cpu 500m memory 256MiB for 1s`)
	gang := first.runCommand(c, `submit gang "images" team omuti tasks 3 cpu 2 memory 1GiB for 1s`)
	requestAll(c, s.entries, 1000)
	first.awaitRows(c, fmt.Sprintf("show jobs where id = %q and state = active and running = 2", service), 1)
	second.awaitRows(c, fmt.Sprintf("show jobs where id = %q and state = done", batch), 1)
	second.awaitRows(c, fmt.Sprintf("show jobs where id = %q and state = done", gang), 1)
	second.runCommand(c, fmt.Sprintf("stop job %q", service))
	first.awaitRows(c, fmt.Sprintf("show jobs where id = %q and state = cancelled and running = 0", service), 1)
}

// requestAll sends the given number of requests through the entries in turn, and
// checks that each answer belongs to its request.
func requestAll(c *qt.C, entries []*entryProcess, requests int) {
	const concurrency = 8
	var group errgroup.Group
	group.SetLimit(concurrency)
	for i := range requests {
		group.Go(func() error {
			body := fmt.Sprintf("meter reading %d", i)
			status, answer, err := entries[i%len(entries)].sendRequest(body)
			if err != nil {
				return err
			}
			if status != http.StatusOK || !bytes.Equal(answer, emulator.Answer([]byte(body))) {
				return fmt.Errorf("request %d got %d: %s", i, status, answer)
			}
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
}

// entriesExcept returns all entries but the given one.
func (s *cell) entriesExcept(excluded *entryProcess) []*entryProcess {
	var remaining []*entryProcess
	for _, entry := range s.entries {
		if entry != excluded {
			remaining = append(remaining, entry)
		}
	}
	return remaining
}

// submitWork submits a service and a batch job that are long enough to run
// through a failure, and returns their identities.
func (s *cell) submitWork(c *qt.C) (service, batch string) {
	entry := s.entries[0]
	service = entry.runCommand(c, `submit service "listeners" team omuti tasks 4 cpu 1 memory 512MiB`)
	batch = entry.runCommand(c, `submit batch "reports" team omuti tasks 24 cpu 2 memory 1GiB for 2s`)
	entry.awaitRows(c, fmt.Sprintf("show jobs where id = %q and running = 4", service), 1)
	return service, batch
}

func (e *entryProcess) awaitWork(c *qt.C, service, batch string) {
	e.awaitRows(c, fmt.Sprintf("show jobs where id = %q and state = done", batch), 1)
	e.awaitRows(c, fmt.Sprintf("show jobs where id = %q and state = active and running = 4", service), 1)
}

// TestEntryKilled checks that requests and jobs continue after an entry was killed
// under load, so that it could not hand over.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCell(c, 3, 4, 3)
	s.configure(c)
	service, batch := s.submitWork(c)
	victim := s.entries[1]
	load := startCallers(c, 6, func() []*entryProcess { return s.entries })
	load.awaitAnswered(c, 100)
	victim.kill()
	survivor := s.entries[0]
	survivor.awaitRows(c, "show members", 2)
	survivor.awaitWork(c, service, batch)
	survivor.awaitRows(c, "show workers", len(s.workers))
	load.awaitAnswered(c, 100)
	s.verify(c, load)
}

// TestEntryFrozen checks that requests and jobs continue when an entry is
// suspended for longer than its leases, so that the other entries take over, and
// is then resumed.
func TestEntryFrozen(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCell(c, 3, 4, 3)
	s.configure(c)
	service, batch := s.submitWork(c)
	victim := s.entries[1]
	load := startCallers(c, 6, func() []*entryProcess { return s.entriesExcept(victim) })
	load.awaitAnswered(c, 100)
	c.Assert(victim.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	survivor := s.entries[0]
	survivor.awaitRows(c, "show members", 2)
	survivor.awaitRows(c, "show workers", len(s.workers))
	c.Assert(victim.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	survivor.awaitRows(c, "show members", 3)
	survivor.awaitWork(c, service, batch)
	load.awaitAnswered(c, 100)
	s.verify(c, load)
}

// TestPlatformDown checks that the state in force stays while the platform is
// unavailable under load: requests are still answered, an entry that starts
// meanwhile gets the state from its peers, and requests that need the log are
// refused as not run.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCell(c, 2, 3, 3)
	s.configure(c)
	service, batch := s.submitWork(c)
	load := startCallers(c, 4, func() []*entryProcess { return s.entries[:2] })
	load.awaitAnswered(c, 100)
	putFaults(c, s.platform, emulator.Faults{
		Down: true,
	})
	load.awaitAnswered(c, 200)
	late := s.startEntry(c, "entry-late")
	await(c, "the late entry has the configuration", late.healthy)
	await(c, "the late entry answers requests", func() bool {
		status, _, err := late.sendRequest("probe")
		return err == nil && status == http.StatusOK
	})
	load.stop()
	refused := len(load.notRun)
	c.Check(refused > 0, qt.IsTrue)
	putFaults(c, s.platform, emulator.Faults{})
	late.awaitRows(c, "show members", 3)
	late.awaitWork(c, service, batch)
	late.runCommand(c, "set team parcelguard weight 2")
	s.verify(c, load)
}

// TestOperatorsRace checks that of two operators who change the same key of the
// configuration on the same base, through two entries, exactly one wins, and that
// both entries agree on which.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCell(c, 2, 1, 1)
	s.configure(c)
	for round := range 10 {
		base := s.entries[0].runCommand(c, fmt.Sprintf("set team omuti weight %d", round+2))
		_ = base
		offset := s.entries[0].do(c, `show config where key = "team/omuti"`).Table.Rows()[0][2]
		for _, entry := range s.entries {
			entry.awaitRows(c, fmt.Sprintf(`show config where key = "team/omuti" and offset = %s`, offset), 1)
		}
		results := make([]commander.Result, len(s.entries))
		var group errgroup.Group
		for i, entry := range s.entries {
			group.Go(func() error {
				client := commander.New("http://"+entry.operators, "a token of an operator")
				answer, err := client.Do(context.Background(), fmt.Sprintf("set team omuti weight %d base %s", 100+i, offset))
				if err != nil {
					return err
				}
				results[i] = *answer.Command
				return nil
			})
		}
		c.Assert(group.Wait(), qt.IsNil)
		won := 0
		if results[1].Outcome == commander.Accepted {
			won = 1
		}
		c.Assert(results[won].Outcome, qt.Equals, commander.Accepted, qt.Commentf("%v", results))
		c.Assert(results[1-won].Outcome, qt.Equals, commander.Refused, qt.Commentf("%v", results))
		c.Assert(results[1-won].Reason, qt.Contains, results[won].Identity)
		for _, entry := range s.entries {
			entry.awaitRows(c, fmt.Sprintf(`show teams where name = omuti and weight = %d`, 100+won), 1)
		}
	}
}
