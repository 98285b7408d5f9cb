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

// Metrics holds the metrics of all conductors of a process.
type Metrics struct {
	starts              *prometheus.CounterVec
	adviceSeconds       prometheus.Histogram
	silentRenewals      prometheus.Counter
	storeErrors         prometheus.Counter
	takeoverSeconds     prometheus.Histogram
	adviceCalls         *prometheus.CounterVec
	adviceInFlight      *prometheus.GaugeVec
	adviceLimit         *prometheus.GaugeVec
	adviceDenied        *prometheus.GaugeVec
	adviceDeniedSeconds *prometheus.GaugeVec
	lastingWaiting      *prometheus.GaugeVec
	lastingWaitSeconds  *prometheus.GaugeVec
	organisationUse     *prometheus.GaugeVec
	organisationBlocked *prometheus.GaugeVec
	allotmentCalls      *prometheus.CounterVec
	allotmentParts      *prometheus.CounterVec

	mu sync.Mutex
	// labelledOrganisations holds the organisations that have a label of their own.
	labelledOrganisations map[string]bool
}

// resourceLabels holds the label of each resource, in the order of allotter.Parts.
var resourceLabels = [...]string{
	allotter.Cores:        "cores",
	allotter.Memory:       "memory",
	allotter.Accelerators: "accelerators",
}

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	return &Metrics{
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_starts_total",
			Help: "Orders to start a run, by their outcome.",
		}, []string{"outcome"}),
		adviceSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "galenacove_conductor_advice_seconds",
			Help:    "Time from asking for advice to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}),
		silentRenewals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_silent_holds_total",
			Help: "Renewals of a worker's lease that had no answer.",
		}),
		storeErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_store_errors_total",
			Help: "Tries to store progress that failed.",
		}),
		takeoverSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "galenacove_conductor_takeover_seconds",
			Help:    "Time from being dealt a partition to its first start that a worker carried out.",
			Buckets: prometheus.ExponentialBuckets(0.025, 2, 10),
		}),
		adviceCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_advice_calls_total",
			Help: "Calls for advice, by what they are for.",
		}, []string{"purpose"}),
		adviceInFlight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_advice_under_way",
			Help: "Calls for advice under way.",
		}, []string{"partition", "kind"}),
		adviceLimit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_advice_allowed",
			Help: "Calls for advice that may be under way at once.",
		}, []string{"partition", "kind"}),
		adviceDenied: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_advice_denied",
			Help: "Steps of which a call for advice waits for another one to end.",
		}, []string{"partition"}),
		adviceDeniedSeconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_advice_denied_seconds",
			Help: "For how long the first of these steps has waited.",
		}, []string{"partition"}),
		lastingWaiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_lasting_waiting",
			Help: "Lasting tasks that have no run.",
		}, []string{"partition"}),
		lastingWaitSeconds: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_lasting_wait_seconds",
			Help: "For how long the first of these tasks has not been in service.",
		}, []string{"partition"}),
		organisationUse: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_organisation_capacity",
			Help: "What an organisation has running at the owner of a partition (used), may have running there (allotment), and may have running in all (maximum, 0 without a limit). Processors are in thousandths, memory in bytes.",
		}, []string{"partition", "organisation", "resource", "kind"}),
		organisationBlocked: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenacove_conductor_organisation_blocked",
			Help: "Tasks of an organisation that wait as its allotment does not cover them.",
		}, []string{"partition", "organisation"}),
		allotmentCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_allotment_calls_total",
			Help: "Calls that ask other owners for parts of allotments, by their outcome.",
		}, []string{"outcome"}),
		allotmentParts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_allotment_parts_total",
			Help: "Parts of maxima that were given to and received from other owners, in millionths of the maximum.",
		}, []string{"organisation", "resource", "direction"}),
		labelledOrganisations: make(map[string]bool),
	}
}

// Collectors returns the metrics for registration.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.starts, m.adviceSeconds, m.silentRenewals, m.storeErrors, m.takeoverSeconds,
		m.adviceCalls, m.adviceInFlight, m.adviceLimit, m.adviceDenied, m.adviceDeniedSeconds,
		m.lastingWaiting, m.lastingWaitSeconds, m.organisationUse, m.organisationBlocked,
		m.allotmentCalls, m.allotmentParts,
	}
}

// organisationLabel returns the label of an organisation. The number of labels is limited.
func (m *Metrics) organisationLabel(organisation string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labelledOrganisations[organisation] {
		if len(m.labelledOrganisations) >= maxOrganisationLabels {
			return otherOrganisations
		}
		m.labelledOrganisations[organisation] = true
	}
	return organisation
}

// countParts counts parts that were given or received.
func (m *Metrics) countParts(organisation, direction string, parts allotter.Parts) {
	for i, n := range parts {
		if n > 0 {
			m.allotmentParts.WithLabelValues(m.organisationLabel(organisation), resourceLabels[i], direction).Add(float64(n))
		}
	}
}

// setAdvice sets the metrics of the calls for advice of the owner of a partition.
func (m *Metrics) setAdvice(partition int, load scheduler.AdviceLoad) {
	label := strconv.Itoa(partition)
	for quick, kind := range adviceKinds {
		m.adviceInFlight.WithLabelValues(label, kind).Set(float64(load.InFlight[quick]))
		m.adviceLimit.WithLabelValues(label, kind).Set(float64(load.Limits[quick]))
	}
	m.adviceDenied.WithLabelValues(label).Set(float64(load.Denied))
	m.adviceDeniedSeconds.WithLabelValues(label).Set(load.LongestWait.Seconds())
}

// setLasting sets the metrics of the lasting tasks of the owner of a partition.
func (m *Metrics) setLasting(partition int, load scheduler.LastingLoad) {
	label := strconv.Itoa(partition)
	m.lastingWaiting.WithLabelValues(label).Set(float64(load.Waiting))
	m.lastingWaitSeconds.WithLabelValues(label).Set(load.LongestWait.Seconds())
}

// maxOrganisationLabels limits the organisations with metrics of their own. Those of the
// others are added up under the label otherOrganisations.
const (
	maxOrganisationLabels = 50
	otherOrganisations    = "other"
)

// setOrganisations sets the metrics of the organisations at the owner of a partition, and
// removes those of organisations in previous that have none any more. It returns the
// labels of the organisations, which the next call takes as previous.
func (m *Metrics) setOrganisations(partition int, loads []scheduler.OrganisationLoad, previous []string) []string {
	label := strconv.Itoa(partition)
	var names []string
	for _, load := range boundedLoads(loads) {
		name := load.Organisation.Name
		names = append(names, name)
		for kind, size := range map[string]sizer.Size{
			"used":      load.Used,
			"allotment": load.Allotment,
			"maximum":   load.Organisation.Maximum,
		} {
			for resource, amount := range map[string]int64{
				"cores":        size.MilliCores(),
				"memory":       size.Bytes(),
				"accelerators": size.Accelerators(),
			} {
				m.organisationUse.WithLabelValues(label, name, resource, kind).Set(float64(amount))
			}
		}
		m.organisationBlocked.WithLabelValues(label, name).Set(float64(load.Blocked))
	}
	for _, name := range previous {
		if !slices.Contains(names, name) {
			labels := prometheus.Labels{
				"partition":    label,
				"organisation": name,
			}
			m.organisationUse.DeletePartialMatch(labels)
			m.organisationBlocked.DeletePartialMatch(labels)
		}
	}
	return names
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

// deleteLoad removes the metrics that setAdvice, setLasting and setOrganisations set. It is called
// once the ownership has ended.
func (m *Metrics) deleteLoad(partition int) {
	label := prometheus.Labels{
		"partition": strconv.Itoa(partition),
	}
	for _, gauge := range []*prometheus.GaugeVec{m.adviceInFlight, m.adviceLimit, m.adviceDenied, m.adviceDeniedSeconds, m.lastingWaiting, m.lastingWaitSeconds, m.organisationUse, m.organisationBlocked} {
		gauge.DeletePartialMatch(label)
	}
}

// adviceKinds holds the label of each kind of call for advice. The key is true for
// quick calls, as in scheduler.AdviceLoad.
var adviceKinds = map[bool]string{
	true:  "quick",
	false: "long",
}
