package conductor

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what the conductors of a process do.
type Metrics struct {
	starts      *prometheus.CounterVec
	advice      prometheus.Histogram
	silent      prometheus.Counter
	storeErrors prometheus.Counter
	takeovers   prometheus.Histogram
}

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	return &Metrics{
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_conductor_starts_total",
			Help: "Orders to start a run, by their outcome.",
		}, []string{"outcome"}),
		advice: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "galenacove_conductor_advice_seconds",
			Help:    "Time from asking for advice to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}),
		silent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_silent_holds_total",
			Help: "Renewals of a worker's lease that had no answer.",
		}),
		storeErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenacove_conductor_store_errors_total",
			Help: "Tries to store progress that failed.",
		}),
		takeovers: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "galenacove_conductor_takeover_seconds",
			Help:    "Time from being dealt a partition to its first start that a worker carried out.",
			Buckets: prometheus.ExponentialBuckets(0.025, 2, 10),
		}),
	}
}

// Collectors returns the metrics.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.starts, m.advice, m.silent, m.storeErrors, m.takeovers}
}
