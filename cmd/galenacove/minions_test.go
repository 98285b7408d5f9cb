package main

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/galenacove/galenacove/emulator"
)

// maxAmplification is the maximum number of attempts per request, a target set
// by the users.
const maxAmplification = 1.1

// TestMinionFaults checks that callers get complete answers to their own requests
// and true outcomes, and that retries stay within their budget, while one minion
// of four has every fault of the stand-in, one after the other.
func TestMinionFaults(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCell(c, 2, 1, 4)
	s.configure(c)
	load := startCallers(c, 6, func() []*entryProcess { return s.entries })
	faulty := s.minions[0]
	faults := []struct {
		name   string
		faults emulator.MinionFaults
	}{
		{
			name: "down",
			faults: emulator.MinionFaults{
				Down: true,
			},
		},
		{
			name: "refuses",
			faults: emulator.MinionFaults{
				Refuse: true,
			},
		},
		{
			name: "slow",
			faults: emulator.MinionFaults{
				Slow: 300 * time.Millisecond,
			},
		},
		{
			name: "fails",
			faults: emulator.MinionFaults{
				Fail: true,
			},
		},
		{
			name: "fails every third",
			faults: emulator.MinionFaults{
				Fail:  true,
				Every: 3,
			},
		},
		{
			name: "stalls",
			faults: emulator.MinionFaults{
				Stall: true,
			},
		},
		{
			name: "loses answers",
			faults: emulator.MinionFaults{
				LoseAnswer: true,
			},
		},
		{
			name: "cuts bodies",
			faults: emulator.MinionFaults{
				CutBody: true,
			},
		},
		{
			name: "wrong length",
			faults: emulator.MinionFaults{
				WrongLength: true,
			},
		},
		{
			name: "off the host list",
			faults: emulator.MinionFaults{
				Silent: true,
			},
		},
	}
	for _, fault := range faults {
		putFaults(c, faulty.firstLine, fault.faults)
		load.awaitAnswered(c, 120)
		putFaults(c, faulty.firstLine, emulator.MinionFaults{})
		load.awaitAnswered(c, 40)
		c.Logf("%s: requests are still answered", fault.name)
	}
	c.Assert(faulty.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	load.awaitAnswered(c, 120)
	c.Assert(faulty.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	load.awaitAnswered(c, 40)
	s.verify(c, load)
	attempts, requests := s.attempts(c), int(load.sent.Load())
	c.Logf("%d attempts for %d requests: %.3f each", attempts, requests, float64(attempts)/float64(requests))
	c.Check(float64(attempts) <= maxAmplification*float64(requests), qt.IsTrue)
}

// attempts returns the number of requests that all minions together received,
// without health probes.
func (s *cell) attempts(c *qt.C) int {
	total := 0
	for _, minion := range s.minions {
		var counts emulator.Counts
		getJSON(c, "http://"+minion.firstLine+"/v1/counts", &counts)
		total += counts.Total
	}
	return total
}
