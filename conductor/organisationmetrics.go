package conductor

import (
	"cmp"
	"slices"
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/allotter"
	"github.com/galenacove/galenacove/scheduler"
	"github.com/galenacove/galenacove/sizer"
)

const (
	// maxOrganisationLabels limits the organisations that have metrics of their own.
	maxOrganisationLabels = 50
	// otherOrganisations is the label of all organisations beyond that limit.
	otherOrganisations = "other"
)

// resourceLabels holds the label of each resource, in the order of allotter.Parts.
var resourceLabels = [...]string{
	allotter.Cores:        "cores",
	allotter.Memory:       "memory",
	allotter.Accelerators: "accelerators",
}

// organisationMetrics holds the metrics by organisation.
type organisationMetrics struct {
	refused *prometheus.CounterVec
	excess  *prometheus.CounterVec
	used    *prometheus.GaugeVec
	share   *prometheus.GaugeVec
	// capacity holds what is running, allotted and allowed, blocked what waits for the
	// allotment, and moved the parts of maxima that were given and received.
	capacity *prometheus.GaugeVec
	blocked  *prometheus.GaugeVec
	moved    *prometheus.CounterVec

	mu sync.Mutex
	// labels holds the organisations that have metrics of their own.
	labels map[string]bool
	// excessSeen holds the jobs beyond the entitled rate that were counted, by
	// partition and organisation.
	excessSeen map[int]map[string]int64
}

func newOrganisationMetrics() *organisationMetrics {
	return &organisationMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_refused_total",
			Help: "Jobs that the owner refused, by organisation and cause.",
		}, []string{"organisation", "cause"}),
		excess: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_excess_jobs_total",
			Help: "Jobs beyond the entitled rate of their organisation. Jobs that are read after a takeover count again.",
		}, []string{"organisation"}),
		used: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_organisation_used",
			Help: "Fraction of the scarcest resource of a service that an organisation uses, as far as known.",
		}, []string{"partition", "service", "organisation"}),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_organisation_share",
			Help: "Fraction of the scarcest resource of a service that is an organisation's share, 1 if there is enough for all.",
		}, []string{"partition", "service", "organisation"}),
		capacity: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_organisation_capacity",
			Help: "What an organisation has running at the owner of a partition (used), may have running there (allotment), and may have running in all (maximum, 0 without a limit). Cores are in thousandths, memory in bytes.",
		}, []string{"partition", "organisation", "resource", "kind"}),
		blocked: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_organisation_blocked",
			Help: "Tasks of an organisation that wait as its allotment does not cover them.",
		}, []string{"partition", "organisation"}),
		moved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_allotment_parts_total",
			Help: "Parts of maxima that were given to and received from other owners, in millionths of the maximum.",
		}, []string{"organisation", "resource", "direction"}),
		labels:     make(map[string]bool),
		excessSeen: make(map[int]map[string]int64),
	}
}

func (m *organisationMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.refused, m.excess, m.used, m.share, m.capacity, m.blocked, m.moved}
}

// label returns the label of an organisation. The caller holds mu.
func (m *organisationMetrics) label(organisation string) string {
	if !m.labels[organisation] && len(m.labels) >= maxOrganisationLabels {
		return otherOrganisations
	}
	m.labels[organisation] = true
	return organisation
}

// refuse counts a refused job.
func (m *organisationMetrics) refuse(organisation string, cause scheduler.RefusalCause) {
	m.mu.Lock()
	label := m.label(organisation)
	m.mu.Unlock()
	m.refused.WithLabelValues(label, string(cause)).Inc()
}

// countMoved counts parts of a maximum that were given or received.
func (m *organisationMetrics) countMoved(organisation, direction string, parts allotter.Parts) {
	m.mu.Lock()
	label := m.label(organisation)
	m.mu.Unlock()
	for i, n := range parts {
		if n > 0 {
			m.moved.WithLabelValues(label, resourceLabels[i], direction).Add(float64(n))
		}
	}
}

// set replaces the gauges of the owner of a partition. Organisations that share the label
// for all others are added up.
func (m *organisationMetrics) set(partition int, loads []scheduler.OrganisationLoad, shares []scheduler.ShareLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deleteGauges(partition)
	number := strconv.Itoa(partition)
	for _, load := range boundedLoads(loads) {
		label := load.Organisation.Name
		for kind, size := range map[string]sizer.Size{
			"used":      load.Used,
			"allotment": load.Allotment,
			"maximum":   load.Organisation.Maximum,
		} {
			for i, amount := range []int64{size.MilliCores(), size.Bytes(), size.Accelerators()} {
				m.capacity.WithLabelValues(number, label, resourceLabels[i], kind).Set(float64(amount))
			}
		}
		m.blocked.WithLabelValues(number, label).Set(float64(load.Blocked))
	}
	for _, load := range shares {
		label := m.label(load.Organisation)
		m.used.WithLabelValues(number, load.Service, label).Add(load.Used)
		m.share.WithLabelValues(number, load.Service, label).Add(load.Share)
		m.countExcess(partition, load, label)
	}
}

// boundedLoads returns the loads of the maxOrganisationLabels organisations of the largest
// weight, and the sum of all others as one load.
func boundedLoads(loads []scheduler.OrganisationLoad) []scheduler.OrganisationLoad {
	if len(loads) <= maxOrganisationLabels {
		return loads
	}
	loads = slices.Clone(loads)
	slices.SortStableFunc(loads, func(a, b scheduler.OrganisationLoad) int {
		return cmp.Compare(b.Organisation.Weight, a.Organisation.Weight)
	})
	var others scheduler.OrganisationLoad
	others.Organisation.Name = otherOrganisations
	for _, load := range loads[maxOrganisationLabels:] {
		others.Organisation.Maximum = others.Organisation.Maximum.Add(load.Organisation.Maximum)
		others.Used = others.Used.Add(load.Used)
		others.Allotment = others.Allotment.Add(load.Allotment)
		others.Blocked += load.Blocked
	}
	return append(loads[:maxOrganisationLabels:maxOrganisationLabels], others)
}

// countExcess counts the excess jobs since the last call. The caller holds mu.
func (m *organisationMetrics) countExcess(partition int, load scheduler.ShareLoad, label string) {
	seen := m.excessSeen[partition]
	if seen == nil {
		seen = make(map[string]int64)
		m.excessSeen[partition] = seen
	}
	if more := load.ExcessJobs - seen[load.Organisation]; more > 0 {
		m.excess.WithLabelValues(label).Add(float64(more))
		seen[load.Organisation] = load.ExcessJobs
	}
}

// forget removes the gauges of a partition once its ownership has ended.
func (m *organisationMetrics) forget(partition int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.excessSeen, partition)
	m.deleteGauges(partition)
}

func (m *organisationMetrics) deleteGauges(partition int) {
	label := prometheus.Labels{
		"partition": strconv.Itoa(partition),
	}
	for _, gauge := range []*prometheus.GaugeVec{m.used, m.share, m.capacity, m.blocked} {
		gauge.DeletePartialMatch(label)
	}
}
