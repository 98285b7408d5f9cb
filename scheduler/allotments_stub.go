package scheduler

import "github.com/galenacove/galenacove/sizer"

// stubAllotment is what the tests set in place of an allotment.
type stubAllotment struct {
	size     sizer.Size
	holdsAll bool
}

// stubAllotments holds the allotments that tests set, by scheduler and organisation.
var stubAllotments = make(map[*Scheduler]map[string]stubAllotment)

// allotment returns what this owner may have running of the organisation. A resource
// of the maximum that is 0 is not limited.
func (s *Scheduler) allotment(name string) sizer.Size {
	if set, found := stubAllotments[s][name]; found {
		return set.size
	}
	return s.organisations[name].Maximum
}

// holdsAll reports whether this owner holds all parts of the organisation's maximum.
func (s *Scheduler) holdsAll(name string) bool {
	if set, found := stubAllotments[s][name]; found {
		return set.holdsAll
	}
	return true
}
