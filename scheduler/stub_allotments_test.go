package scheduler

import "github.com/galenacove/galenacove/sizer"

// SetAllotment sets what this owner may have running of the organisation, and whether it
// holds all parts of the maximum.
func (s *Scheduler) SetAllotment(name string, size sizer.Size, holdsAll bool) {
	if stubAllotments[s] == nil {
		stubAllotments[s] = make(map[string]stubAllotment)
	}
	stubAllotments[s][name] = stubAllotment{
		size:     size,
		holdsAll: holdsAll,
	}
}
