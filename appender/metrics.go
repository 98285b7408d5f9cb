package appender

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of one Appender.
type metrics struct {
	waiting prometheus.Gauge
	appends prometheus.Counter
	records prometheus.Counter
	failed  prometheus.Counter
	unknown prometheus.Counter
	refused prometheus.Counter
	latency prometheus.Histogram
}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "galenacove",
			Subsystem: "appender",
			Name:      name,
			Help:      help,
		})
	}
	return &metrics{
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "galenacove",
			Subsystem: "appender",
			Name:      "backlog_records",
			Help:      "Records that wait for the log.",
		}),
		appends: counter("appends_total", "Appends asked of the log."),
		records: counter("records_total", "Records that the log took."),
		failed:  counter("failed_appends_total", "Appends that failed."),
		unknown: counter("unknown_appends_total", "Appends whose outcome was unknown."),
		refused: counter("refused_records_total", "Records refused since the backlog was full."),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "galenacove",
			Subsystem: "appender",
			Name:      "append_seconds",
			Help:      "Time from the call to the log's answer.",
			Buckets:   prometheus.ExponentialBuckets(0.001, 4, 9),
		}),
	}
}

func (m *metrics) register(registerer prometheus.Registerer) {
	registerer.MustRegister(m.waiting, m.appends, m.records, m.failed, m.unknown, m.refused, m.latency)
}
