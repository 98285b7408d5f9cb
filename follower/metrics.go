package follower

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
)

// metrics holds the metrics of one Follower.
type metrics struct {
	offset      prometheus.Gauge
	behind      prometheus.Gauge
	oldest      prometheus.Gauge
	lastContact prometheus.Gauge
	failed      prometheus.Counter
	repeated    prometheus.Counter
	gaps        prometheus.Counter
	unreadable  prometheus.Counter
	unknown     prometheus.Counter
	skipped     prometheus.Counter
	backwards   prometheus.Counter
	recovered   prometheus.Counter
}

func newMetrics(stream string) *metrics {
	labels := prometheus.Labels{"stream": stream}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace:   "galenacove",
			Subsystem:   "follower",
			Name:        name,
			Help:        help,
			ConstLabels: labels,
		})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Namespace:   "galenacove",
			Subsystem:   "follower",
			Name:        name,
			Help:        help,
			ConstLabels: labels,
		})
	}
	return &metrics{
		offset:      gauge("offset", "Offset of the last record applied."),
		behind:      gauge("behind_records", "Records in the log that are not applied yet."),
		oldest:      gauge("oldest_offset", "Oldest offset that the log still keeps."),
		lastContact: gauge("contact_timestamp_seconds", "When the last answered read was sent."),
		failed:      counter("failed_reads_total", "Reads that failed."),
		repeated:    counter("repeated_records_total", "Records that the log returned again."),
		gaps:        counter("gaps_total", "Answers of the log with records missing."),
		unreadable:  counter("unreadable_records_total", "Records that could not be read."),
		unknown:     counter("unknown_records_total", "Records of an unknown kind."),
		skipped:     counter("skipped_records_total", "Records that were dropped before they were read."),
		backwards:   counter("backwards_total", "Answers of a log that ends before what was applied."),
		recovered:   counter("recoveries_total", "Recoveries from a snapshot."),
	}
}

func (m *metrics) register(registerer prometheus.Registerer) {
	registerer.MustRegister(
		m.offset, m.behind, m.oldest, m.lastContact, m.failed, m.repeated, m.gaps,
		m.unreadable, m.unknown, m.skipped, m.backwards, m.recovered,
	)
}

func (m *metrics) observe(position namer.Offset, batch connector.Batch) {
	m.offset.Set(float64(position) - 1)
	m.behind.Set(max(0, float64(batch.Next)-float64(position)))
	m.oldest.Set(float64(batch.First))
}
