package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/galenacove/galenacove/sizer"
)

const (
	// maxUseAge is the age above which what another owner reported of its use is
	// ignored.
	maxUseAge = 2 * time.Second
	// minWeight stands for a weight of 0, with which an organisation gets only what
	// others leave.
	minWeight = 1e-6
)

// amount is a quantity of each resource. It is used for totals of sizes and for sizes
// times seconds.
type amount [3]float64

func amountOf(size sizer.Size, factor float64) amount {
	return amount{
		float64(size.MilliCores()) * factor,
		float64(size.Bytes()) * factor,
		float64(size.Accelerators()) * factor,
	}
}

func (a amount) add(b amount) amount {
	for i := range a {
		a[i] += b[i]
	}
	return a
}

func (a amount) times(factor float64) amount {
	for i := range a {
		a[i] *= factor
	}
	return a
}

// fractionOf returns the largest fraction of any one resource of the total. It ignores
// resources of which the total is 0.
func (a amount) fractionOf(total amount) float64 {
	resource := a.scarcest(total)
	if total[resource] <= 0 {
		return 0
	}
	return a[resource] / total[resource]
}

// scarcest returns the resource of which the amount is the largest fraction of the
// total.
func (a amount) scarcest(total amount) int {
	best, highest := 0, -1.0
	for i := range a {
		if total[i] > 0 && a[i]/total[i] > highest {
			best, highest = i, a[i]/total[i]
		}
	}
	return best
}

// ServiceUse is what the organisations use of the workers of one service that one
// owner has.
type ServiceUse struct {
	Service string
	// Total is the capacity of the workers.
	Total sizer.Size
	// Used and Waiting hold the sizes of the runs and of the waiting tasks, by
	// organisation. The empty name stands for jobs without a known organisation.
	Used, Waiting map[string]sizer.Size
}

// shareTable holds what is known of the organisations' use and rates.
type shareTable struct {
	// jobPart is an upper bound of the fraction of an organisation's jobs that this
	// owner gets.
	jobPart float64
	// rates holds the state of each organisation's entitled rate, by name.
	rates map[string]*entitledRate
	// arrivals holds the jobs that are not yet compared with the entitled rate.
	arrivals []*job
	// entitledLoads holds the work per second of the entitled jobs of each service.
	entitledLoads map[string]*averageLoad
	// foreign holds the use that other owners reported, by partition.
	foreign map[int]foreignUse
	// services holds the shares of each service as computed at computedAt.
	services   map[string]*serviceShares
	computedAt time.Time
	admissions admissionTable
}

type foreignUse struct {
	services []ServiceUse
	at       time.Time
}

// serviceShares holds the shares of the organisations in the scarcest resource of one
// service, over all owners whose use is known.
type serviceShares struct {
	resource int
	// total is the capacity.
	total float64
	// used is what each organisation's runs use, and shares what it may use while
	// others wait for more. A share is infinite if there is enough for all.
	used, shares map[string]float64
}

func newShareTable() shareTable {
	return shareTable{
		jobPart:       1,
		rates:         make(map[string]*entitledRate),
		entitledLoads: make(map[string]*averageLoad),
		foreign:       make(map[int]foreignUse),
		admissions:    newAdmissionTable(),
	}
}

// SetForeignUse records what the owner of another partition reported as used on its
// workers at the given time. A report that is too old counts as missing: shares are
// then computed without that owner's workers and runs.
func (s *Scheduler) SetForeignUse(partition int, services []ServiceUse, at time.Time) {
	if known, found := s.shares.foreign[partition]; found && known.at.After(at) {
		return
	}
	s.shares.foreign[partition] = foreignUse{
		services: services,
		at:       at,
	}
}

// Use returns what the organisations use of this owner's workers, for the other owners.
func (s *Scheduler) Use() []ServiceUse {
	byService := make(map[string]*ServiceUse)
	serviceUse := func(service string) *ServiceUse {
		use := byService[service]
		if use == nil {
			use = &ServiceUse{
				Service: service,
				Used:    make(map[string]sizer.Size),
				Waiting: make(map[string]sizer.Size),
			}
			byService[service] = use
		}
		return use
	}
	for _, w := range s.workers {
		use := serviceUse(w.entry.Service)
		if w.listed {
			use.Total = use.Total.Add(w.entry.Total)
		}
		for ref, r := range w.runs {
			name := s.organisationOf(s.jobs[ref.Task.Step.Job])
			use.Used[name] = use.Used[name].Add(r.size)
		}
	}
	for _, st := range s.openSteps {
		use := serviceUse(st.job.record.Queue.Service)
		name := s.organisationOf(st.job)
		use.Waiting[name] = use.Waiting[name].Add(taskSize(st.phase).Times(int64(st.waiting)))
	}
	uses := make([]ServiceUse, 0, len(byService))
	for _, use := range byService {
		uses = append(uses, *use)
	}
	slices.SortFunc(uses, func(a, b ServiceUse) int { return cmp.Compare(a.Service, b.Service) })
	return uses
}

// organisationOf returns the name of the job's organisation, or an empty string if it
// has none that is configured.
func (s *Scheduler) organisationOf(j *job) string {
	if j == nil {
		return ""
	}
	if _, known := s.organisations[j.record.Organisation]; !known {
		return ""
	}
	return j.record.Organisation
}

// updateShares computes the shares of the organisations in each service, unless they
// were computed for the same time.
func (s *Scheduler) updateShares(now time.Time) {
	if s.shares.services != nil && s.shares.computedAt.Equal(now) {
		return
	}
	s.shares.computedAt = now
	byService := make(map[string][]ServiceUse)
	for _, use := range s.Use() {
		byService[use.Service] = append(byService[use.Service], use)
	}
	for _, foreign := range s.shares.foreign {
		if now.Sub(foreign.at) > maxUseAge {
			continue
		}
		for _, use := range foreign.services {
			byService[use.Service] = append(byService[use.Service], use)
		}
	}
	s.shares.services = make(map[string]*serviceShares, len(byService))
	for service, uses := range byService {
		s.shares.services[service] = s.divide(uses)
	}
}

// divide divides the scarcest resource of a service's workers between the
// organisations by weight. What one of them does not want goes to the others.
func (s *Scheduler) divide(uses []ServiceUse) *serviceShares {
	var total, demand amount
	used := make(map[string]amount)
	wanted := make(map[string]amount)
	for _, use := range uses {
		total = total.add(amountOf(use.Total, 1))
		for name, size := range use.Used {
			used[name] = used[name].add(amountOf(size, 1))
			wanted[name] = wanted[name].add(amountOf(size, 1))
			demand = demand.add(amountOf(size, 1))
		}
		for name, size := range use.Waiting {
			wanted[name] = wanted[name].add(amountOf(size, 1))
			demand = demand.add(amountOf(size, 1))
		}
	}
	divided := &serviceShares{
		resource: demand.scarcest(total),
		used:     make(map[string]float64),
		shares:   make(map[string]float64),
	}
	divided.total = total[divided.resource]
	var names []string
	for name := range wanted {
		divided.used[name] = used[name][divided.resource]
		if name != "" {
			names = append(names, name)
		}
	}
	if demand[divided.resource] <= divided.total {
		for _, name := range names {
			divided.shares[name] = math.Inf(1)
		}
		return divided
	}
	weight := func(name string) float64 { return max(minWeight, s.organisations[name].Weight) }
	wantedPerWeight := func(name string) float64 { return wanted[name][divided.resource] / weight(name) }
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(wantedPerWeight(a), wantedPerWeight(b)), strings.Compare(a, b))
	})
	left := max(0, divided.total-divided.used[""])
	weights := 0.0
	for _, name := range names {
		weights += weight(name)
	}
	for _, name := range names {
		fair := left * weight(name) / weights
		want := wanted[name][divided.resource]
		if want <= fair {
			// The organisation gets all that it wants, so it cannot be above its share.
			divided.shares[name] = math.Inf(1)
			fair = want
		} else {
			divided.shares[name] = fair
		}
		left -= fair
		weights -= weight(name)
	}
	return divided
}

// isAboveShare reports whether the organisation of a run uses more than its share of
// the run's service.
func (s *Scheduler) isAboveShare(r *run) bool {
	if len(s.organisations) == 0 {
		return false
	}
	name := s.organisationOf(s.jobs[r.ref.Task.Step.Job])
	service := s.shares.services[r.worker.entry.Service]
	if name == "" || service == nil {
		return false
	}
	share, found := service.shares[name]
	return found && service.used[name] > share
}

// compareShares orders runs of organisations above their share before others.
func (s *Scheduler) compareShares(a, b *run) int {
	return -compareBools(s.isAboveShare(a), s.isAboveShare(b))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// describeShare tells for the log what the step's organisation uses and what its share
// is. It returns an empty string for a job of no organisation.
func (s *Scheduler) describeShare(st *step) string {
	name := s.organisationOf(st.job)
	service := s.shares.services[st.job.record.Queue.Service]
	if name == "" || service == nil {
		return ""
	}
	share, found := service.shares[name]
	if !found || math.IsInf(share, 1) {
		return "; organisation " + name + " is within its share"
	}
	return fmt.Sprintf("; organisation %s uses %.3f of the workers, its share is %.3f", name, service.used[name]/max(1, service.total), share/max(1, service.total))
}

// ShareLoad is the state of one organisation in one service.
type ShareLoad struct {
	Organisation, Service string
	// Used and Share are fractions of the scarcest resource of the service's workers,
	// over all owners whose use is known. Share is 1 if there is enough for all.
	Used, Share float64
	// ExcessJobs counts the jobs beyond the entitled rate, in all services.
	ExcessJobs int64
}

// ShareLoads returns the state of the organisations that have had jobs,
// sorted by service and name.
func (s *Scheduler) ShareLoads() []ShareLoad {
	if len(s.organisations) == 0 {
		return nil
	}
	var loads []ShareLoad
	for serviceName, service := range s.shares.services {
		for name, share := range service.shares {
			load := ShareLoad{
				Organisation: name,
				Service:      serviceName,
				Used:         service.used[name] / max(1, service.total),
				Share:        min(1, share/max(1, service.total)),
			}
			if rate := s.shares.rates[name]; rate != nil {
				load.ExcessJobs = rate.excessJobs
			}
			loads = append(loads, load)
		}
	}
	slices.SortFunc(loads, func(a, b ShareLoad) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Organisation, b.Organisation))
	})
	return loads
}
