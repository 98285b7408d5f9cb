package conductor

import (
	"github.com/galenacove/galenacove/scheduler"
)

// AwaitOrganisations keeps the tasks of organisations from starting until
// SetOrganisations is called. It is called before Run by an owner that does not know the
// configuration.
func (c *Conductor) AwaitOrganisations() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.organisationsPending = true
}

// SetOrganisations sets the organisations, and the fraction of a maximum by which one
// may exceed it.
func (c *Conductor) SetOrganisations(organisations []scheduler.Organisation, overage float64) {
	c.mu.Lock()
	c.organisations = organisations
	c.overage = overage
	c.organisationsPending = false
	if c.scheduler != nil {
		c.scheduler.SetOrganisations(organisations, overage)
	}
	c.mu.Unlock()
	c.requestTick()
}
