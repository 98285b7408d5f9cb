package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// Urgency says how urgent a step is. The lowest value is the most urgent.
type Urgency struct {
	Rank, Priority int
	LatestStart    time.Time
}

// Compare returns a negative number if u is more urgent than v.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(cmp.Compare(u.Rank, v.Rank), cmp.Compare(u.Priority, v.Priority), u.LatestStart.Compare(v.LatestStart))
}

// Demand is what an organisation uses and wants.
type Demand struct {
	Organisation string
	Used, Wanted sizer.Size
	Urgency      Urgency
	Waiting      bool
}

// Demands returns the demand of each organisation with work.
func (s *Scheduler) Demands(now time.Time) []Demand {
	byName := make(map[string]*Demand)
	for _, st := range s.startableSteps(now) {
		name := st.job.record.Organisation
		organisation, found := s.organisations[name]
		if !found {
			continue
		}
		if byName[name] == nil {
			used := s.usedBy(name)
			byName[name] = &Demand{
				Organisation: name,
				Used:         used,
				Wanted:       used,
				Waiting:      true,
				Urgency: Urgency{
					Rank:        st.rank(now),
					Priority:    st.job.record.Queue.Priority,
					LatestStart: st.latestStart(),
				},
			}
		}
		d := byName[name]
		d.Wanted = d.Wanted.Add(st.phase.Size.Times(int64(st.waiting)))
		d.Wanted = sizer.New(min(d.Wanted.MilliCores(), organisation.Maximum.MilliCores()),
			min(d.Wanted.Bytes(), organisation.Maximum.Bytes()),
			min(d.Wanted.Accelerators(), organisation.Maximum.Accelerators()))
	}
	demands := make([]Demand, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		demands = append(demands, *byName[name])
	}
	return demands
}

// usedBy returns what the runs of an organisation take up.
func (s *Scheduler) usedBy(name string) sizer.Size {
	var used sizer.Size
	for _, w := range s.workers {
		for ref, r := range w.runs {
			if j := s.jobs[ref.Task.Step.Job]; j != nil && j.record.Organisation == name {
				used = used.Add(r.size)
			}
		}
	}
	return used
}
