package placer

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const longestRun = 300

// TestInvariants checks under random calls that no worker is overcommitted in any
// resource, no task runs in two places, a gang starts whole, every submitted task
// ends or has a reason to wait, and no task waits while there is capacity for it.
func TestInvariants(t *testing.T) {
	list := steps(longestRun)
	rapid.Check(t, func(t *rapid.T) {
		if err := runSteps(list.Draw(t, "steps"), 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFaultsAreFound checks that the checks of TestInvariants detect faults that
// are injected into the placer.
func TestFaultsAreFound(t *testing.T) {
	faults := map[fault]string{
		faultOverCommit:   "holds",
		faultPartialGang:  "gang",
		faultLoseRetry:    "is lost",
		faultIdleCapacity: "although there is room",
		faultTransition:   "counts as running",
	}
	for injected, want := range faults {
		t.Run(want, func(t *testing.T) {
			c := qt.New(t)
			list := steps(longestRun)
			for seed := range 500 {
				if err := runSteps(list.Example(seed), injected); err != nil {
					c.Assert(err, qt.ErrorMatches, "(?s).*"+want+".*")
					return
				}
			}
			c.Fatal("the fault was not found")
		})
	}
}

// TestTransitions checks that capacity is allocated and freed only by the
// events that do so, and that a stopping task never returns to a running state.
func TestTransitions(t *testing.T) {
	c := qt.New(t)
	for s := range TaskState(stateCount) {
		for e := range event(eventCount) {
			to, ok := s.next(e)
			if !ok {
				c.Assert(to, qt.Equals, s)
				continue
			}
			if !s.holdsCapacity() && to.holdsCapacity() {
				c.Check(e == eventReserve || e == eventPlace || e == eventAdopt, qt.IsTrue, qt.Commentf("%v %d", s, e))
			}
			if s.holdsCapacity() && !to.holdsCapacity() {
				c.Check(e == eventRetry || e == eventForget, qt.IsTrue, qt.Commentf("%v %d", s, e))
			}
			if s == StateStopping {
				c.Check(to == StateStopping || !to.holdsCapacity(), qt.IsTrue, qt.Commentf("%v %d", s, e))
			}
		}
	}
}

// TestTransitionsAreDocumented checks that the table in the comment of
// transitions matches it.
func TestTransitionsAreDocumented(t *testing.T) {
	c := qt.New(t)
	source, err := os.ReadFile("state.go")
	c.Assert(err, qt.IsNil)
	rows := 0
	for _, line := range strings.Split(string(source), "\n") {
		fields := strings.Fields(strings.TrimPrefix(line, "//"))
		if !strings.HasPrefix(line, "//\t") || fields[0] == "from" {
			continue
		}
		s := TaskState(rows)
		c.Assert(fields[0], qt.Equals, s.String())
		for e, want := range fields[1:] {
			to, ok := s.next(event(e))
			got := to.String()
			if !ok {
				got = "-"
			}
			c.Check(got, qt.Equals, want, qt.Commentf("%v, event %d", s, e))
		}
		rows++
	}
	c.Assert(rows, qt.Equals, stateCount)
}
