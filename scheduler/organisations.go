package scheduler

import (
	"maps"

	"github.com/galenacove/galenacove/sizer"
)

// Organisation is a party that submits jobs, and the limits that the operator has set
// for it.
type Organisation struct {
	Name string
	// Weight is the number of jobs per second that the organisation is owed, and its
	// share relative to others when capacity is short.
	Weight float64
	// Maximum limits what the organisation may have running on all workers of all
	// services. A resource that is 0 is not limited.
	Maximum sizer.Size
}

// SetOrganisations replaces the organisations. overage is the fraction of a maximum by
// which an organisation may exceed it. Jobs of an unknown organisation have no maximum.
func (s *Scheduler) SetOrganisations(organisations []Organisation, overage float64) {
	clear(s.organisations)
	for _, organisation := range organisations {
		s.organisations[organisation.Name] = organisation
	}
	s.overage = overage
}

// Organisations returns the organisations by name.
func (s *Scheduler) Organisations() map[string]Organisation {
	return maps.Clone(s.organisations)
}
