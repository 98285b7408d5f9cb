package allotter

import (
	"maps"
	"time"
)

const (
	// starvedAfter is how long the most urgent step for which parts are missing may wait
	// without a start before others withhold parts for it. A job may wait for 3 s while
	// its organisation uses little.
	starvedAfter = time.Second
	// claimDuration is how long parts are withheld after a request. It covers two
	// requests at refusedInterval, so that a lost one does not end it.
	claimDuration = 600 * time.Millisecond
)

// Step identifies the most urgent waiting step of an organisation, and how many of its
// tasks wait.
type Step struct {
	ID      string
	Waiting int
}

// Waits records for how long the most urgent step of each organisation has waited for
// parts without a start.
type Waits struct {
	byOrganisation map[string]stepWait
}

type stepWait struct {
	step  Step
	since time.Time
}

// NewWaits returns a Waits without any step.
func NewWaits() *Waits {
	return &Waits{
		byOrganisation: make(map[string]stepWait),
	}
}

// Starved updates the most urgent steps for which parts are missing, by organisation, and
// returns the organisations of which this step has waited for too long.
func (w *Waits) Starved(steps map[string]Step, now time.Time) map[string]bool {
	starved := make(map[string]bool)
	maps.DeleteFunc(w.byOrganisation, func(organisation string, wait stepWait) bool {
		step, found := steps[organisation]
		return !found || step != wait.step
	})
	for organisation, step := range steps {
		wait, found := w.byOrganisation[organisation]
		if !found {
			wait = stepWait{
				step:  step,
				since: now,
			}
			w.byOrganisation[organisation] = wait
		}
		starved[organisation] = now.Sub(wait.since) >= starvedAfter
	}
	return starved
}

// Claims records the parts that a giver withholds from its own less urgent steps, as the
// steps of others are starved. Without them a giver with many small tasks would use again
// at once what its runs release, and a large gang elsewhere would never start.
type Claims struct {
	claims map[claimKey]claim
}

type claimKey struct {
	organisation string
	partition    int
}

type claim struct {
	missing    Parts
	precedence Precedence
	until      time.Time
}

// NewClaims returns a Claims without any claim.
func NewClaims() *Claims {
	return &Claims{
		claims: make(map[claimKey]claim),
	}
}

// Update records or removes the claim of a partition after a request of which the given
// parts were given.
func (c *Claims) Update(partition int, want Want, given Parts, now time.Time) {
	key := claimKey{
		organisation: want.Organisation,
		partition:    partition,
	}
	missing := want.First.Sub(given).Max(Parts{})
	if missing.IsZero() {
		delete(c.claims, key)
		return
	}
	c.claims[key] = claim{
		missing:    missing,
		precedence: want.Precedence,
		until:      now.Add(claimDuration),
	}
}

// Any reports whether there is a claim of parts of an organisation.
func (c *Claims) Any(organisation string, now time.Time) bool {
	for key, claim := range c.claims {
		if key.organisation == organisation && now.Before(claim.until) {
			return true
		}
	}
	return false
}

// Withheld returns the parts of an organisation that are claimed by steps which are more
// urgent than the giver's.
func (c *Claims) Withheld(organisation string, own Need, now time.Time) Parts {
	var withheld Parts
	for key, claim := range c.claims {
		if key.organisation == organisation && now.Before(claim.until) && (!own.Waiting || claim.precedence.Compare(own.Precedence) < 0) {
			withheld = withheld.Add(claim.missing)
		}
	}
	return withheld
}
