package allotter

import (
	"time"
)

const (
	// idleAfter is how long the parts that a waiting step needs for its next start may be
	// held without that start before they count as idle. What keeps the step waiting is then
	// something else.
	idleAfter = time.Second
	// idleDuration is how long the parts then count as idle. Others get the time to use
	// them, and a step that can start meanwhile has time left of the 3 s that a job may wait.
	idleDuration = 1500 * time.Millisecond
)

// Idle records of which organisations a holder leaves the parts unused that its most urgent
// step needs. It would keep them from all less urgent steps of others for ever.
type Idle struct {
	byOrganisation map[string]idleState
}

type idleState struct {
	step Step
	// since is the time since which all parts for the next start are held, zero while some
	// are missing, and until the time until which they count as idle.
	since, until time.Time
}

// NewIdle returns an Idle without any organisation.
func NewIdle() *Idle {
	return &Idle{
		byOrganisation: make(map[string]idleState),
	}
}

// Update records the most urgent waiting step of each organisation, and for which of them all
// parts of the next start are held.
func (i *Idle) Update(steps map[string]Step, held map[string]bool, now time.Time) {
	for organisation, state := range i.byOrganisation {
		if step, found := steps[organisation]; !found || step != state.step {
			// The step has started a task, or another one is the most urgent.
			delete(i.byOrganisation, organisation)
		}
	}
	for organisation, step := range steps {
		state := i.byOrganisation[organisation]
		state.step = step
		switch {
		case !held[organisation] || now.Before(state.until):
			state.since = time.Time{}
		case state.since.IsZero():
			state.since = now
		case now.Sub(state.since) >= idleAfter:
			state.since = time.Time{}
			state.until = now.Add(idleDuration)
		}
		i.byOrganisation[organisation] = state
	}
}

// Is reports whether the parts of the organisation are idle.
func (i *Idle) Is(organisation string, now time.Time) bool {
	return now.Before(i.byOrganisation[organisation].until)
}
