package conductor

import (
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/scheduler"
)

const (
	// maxOrganisationLabels limits the organisations that have metrics of their own.
	maxOrganisationLabels = 50
	// otherOrganisations is the label of all organisations beyond that limit.
	otherOrganisations = "other"
)

// organisationMetrics holds the metrics by organisation.
type organisationMetrics struct {
	refused *prometheus.CounterVec
	excess  *prometheus.CounterVec
	used    *prometheus.GaugeVec
	share   *prometheus.GaugeVec

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
		labels:     make(map[string]bool),
		excessSeen: make(map[int]map[string]int64),
	}
}

func (m *organisationMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.refused, m.excess, m.used, m.share}
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

// set sets the metrics of the owner of a partition. Organisations that share the label
// for all others are added up.
func (m *organisationMetrics) set(partition int, loads []scheduler.OrganisationLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deleteGauges(partition)
	seen := m.excessSeen[partition]
	if seen == nil {
		seen = make(map[string]int64)
		m.excessSeen[partition] = seen
	}
	number := strconv.Itoa(partition)
	for _, load := range loads {
		label := m.label(load.Organisation)
		m.used.WithLabelValues(number, load.Service, label).Add(load.Used)
		m.share.WithLabelValues(number, load.Service, label).Add(load.Share)
		if more := load.ExcessJobs - seen[load.Organisation]; more > 0 {
			m.excess.WithLabelValues(label).Add(float64(more))
			seen[load.Organisation] = load.ExcessJobs
		}
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
	m.used.DeletePartialMatch(label)
	m.share.DeletePartialMatch(label)
}
