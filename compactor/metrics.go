package compactor

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/replayer"
)

// metrics holds the metrics of one Compactor.
type metrics struct {
	through   prometheus.Gauge
	margin    prometheus.Gauge
	published prometheus.Counter
	failed    prometheus.Counter
	recovered prometheus.Counter
}

func newMetrics() *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "galenacove",
			Subsystem: "compactor",
			Name:      name,
			Help:      help,
		})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "galenacove",
			Subsystem: "compactor",
			Name:      name,
			Help:      help,
		})
	}
	return &metrics{
		through:   gauge("snapshot_offset", "Offset that the latest snapshot in the log reaches."),
		margin:    gauge("snapshot_margin_records", "Records that the log may still drop before the latest snapshot has a gap after it."),
		published: counter("published_total", "Snapshots published by this process."),
		failed:    counter("failed_total", "Snapshots that were not published."),
		recovered: counter("recovered_total", "Recoveries from a snapshot."),
	}
}

func (m *metrics) register(registerer prometheus.Registerer) {
	registerer.MustRegister(m.through, m.margin, m.published, m.failed, m.recovered)
}

func (m *metrics) observe(last replayer.Published, oldest namer.Offset) {
	m.through.Set(float64(last.Through()))
	m.margin.Set(float64(last.Through()) + 1 - float64(oldest))
}
