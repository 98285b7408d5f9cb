package dispatcher

import (
	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "galenacove_dispatcher"

// metrics are what the dispatcher counts.
type metrics struct {
	starts     prometheus.Counter
	lateStarts prometheus.Counter
	refusals   prometheus.Counter
	renewals   prometheus.Counter
	takeovers  prometheus.Counter
	lapses     prometheus.Counter
	exchanges  prometheus.Counter
	epoch      prometheus.Gauge
	workers    prometheus.Gauge
	held       prometheus.Gauge
	census     prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		starts:     newCounter("starts_total", "Starts that were decided."),
		lateStarts: newCounter("held_back_starts_total", "Starts that were held back, since the last contact had lapsed."),
		refusals:   newCounter("refused_starts_total", "Starts that certainly did not run."),
		renewals:   newCounter("renewals_total", "Renewals that were sent."),
		takeovers:  newCounter("takeovers_total", "Workers that were taken over."),
		lapses:     newCounter("lapsed_starts_total", "Starts whose lease has certainly lapsed."),
		exchanges:  newCounter("exchanges_total", "Messages that were sent to peers."),
		epoch:      newGauge("epoch", "The last epoch."),
		workers:    newGauge("workers", "Workers that are owned."),
		held:       newGauge("held_tasks", "Tasks that run or wait here."),
		census: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "census_seconds",
			Help:      "Time from a new epoch until every member had reported.",
			Buckets:   prometheus.ExponentialBuckets(0.5, 2, 10),
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.starts, m.lateStarts, m.refusals, m.renewals, m.takeovers,
			m.lapses, m.exchanges, m.epoch, m.workers, m.held, m.census)
	}
	return m
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	})
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	})
}

// measure sets the gauges.
func (t *tables) measure() {
	owned := 0
	for _, l := range t.links.byName {
		if l.state == linkOwned {
			owned++
		}
	}
	t.metrics.workers.Set(float64(owned))
	t.metrics.held.Set(float64(len(t.held)))
}
