package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

// ServiceLoad tells what the workers of this owner have for a service, and what waits for them.
type ServiceLoad struct {
	Service string
	// Workers is the number of workers, and Available that of those on which new runs may be
	// started.
	Workers, Available int
	// Total and Free are the capacity of the available workers, in all and without runs.
	Total, Free sizer.Size
	// WaitingSteps is the number of steps with tasks that could start if there was room, and
	// LongestWait the time that the first of them has waited.
	WaitingSteps int
	LongestWait  time.Duration
}

// ServiceLoads returns the loads of all services that have workers or waiting steps, sorted
// by name.
func (s *Scheduler) ServiceLoads(now time.Time) []ServiceLoad {
	byService := make(map[string]*ServiceLoad)
	loadOf := func(service string) *ServiceLoad {
		if byService[service] == nil {
			byService[service] = &ServiceLoad{
				Service: service,
			}
		}
		return byService[service]
	}
	for _, w := range s.workers {
		load := loadOf(w.entry.Service)
		load.Workers++
		if s.available(w, now) {
			load.Available++
			load.Total = load.Total.Add(w.entry.Total)
			load.Free = load.Free.Add(w.freeCapacity().Max(sizer.Size{}))
		}
	}
	for _, st := range s.openSteps {
		if st.waiting > 0 {
			load := loadOf(st.job.record.Queue.Service)
			load.WaitingSteps++
			load.LongestWait = max(load.LongestWait, now.Sub(st.readyAt))
		}
	}
	loads := make([]ServiceLoad, 0, len(byService))
	for _, load := range byService {
		loads = append(loads, *load)
	}
	slices.SortFunc(loads, func(a, b ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return loads
}
