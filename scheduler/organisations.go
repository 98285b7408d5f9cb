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
	s.organisationsPending = false
}

// AwaitOrganisations keeps the tasks of all jobs of organisations from starting until
// SetOrganisations is called, as their maxima are not known.
func (s *Scheduler) AwaitOrganisations() {
	s.organisationsPending = true
}

// awaitsOrganisations reports whether no task of the job may start since the maximum of
// its organisation is not known, or whether runs that were lost still use it.
func (s *Scheduler) awaitsOrganisations(j *job) bool {
	if s.organisationsPending {
		return j.record.Organisation != ""
	}
	organisation, limited := s.limitOf(j)
	return limited && s.doubtedUses[organisation.Name].After(s.ownershipConfirmedAt)
}

// Organisations returns the organisations by name.
func (s *Scheduler) Organisations() map[string]Organisation {
	return maps.Clone(s.organisations)
}

// Accessible reports whether a job exists for callers of an organisation: whether it is
// known, and belongs to that organisation or to none. A caller without an organisation
// has the empty name.
func (s *Scheduler) Accessible(id, organisation string) bool {
	j := s.jobs[id]
	return j != nil && j.accessible(organisation)
}

func (j *job) accessible(organisation string) bool {
	return j.record.Organisation == "" || j.record.Organisation == organisation
}
