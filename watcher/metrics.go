package watcher

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are those of one watcher.
type metrics struct {
	members  prometheus.Gauge
	epoch    prometheus.Gauge
	doubted  prometheus.Gauge
	missed   prometheus.Counter
	spared   prometheus.Counter
	paused   prometheus.Counter
	frozen   prometheus.Counter
	proposed prometheus.Counter
	lost     prometheus.Counter
}

func newMetrics() *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "galenacove",
			Subsystem: "watcher",
			Name:      name,
			Help:      help,
		})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "galenacove",
			Subsystem: "watcher",
			Name:      name,
			Help:      help,
		})
	}
	return &metrics{
		members:  gauge("members", "Members of the data centre in force."),
		epoch:    gauge("epoch", "Epoch in force."),
		doubted:  gauge("doubted_members", "Members that look gone from here."),
		missed:   counter("missed_heartbeats_total", "Heartbeats that failed."),
		spared:   counter("false_suspicions_total", "Members in doubt that a witness heard."),
		paused:   counter("pauses_total", "Pauses of this process that the watcher noticed."),
		frozen:   counter("frozen_rounds_total", "Rounds without proposals, as the log was out of reach."),
		proposed: counter("proposals_total", "Memberships proposed."),
		lost:     counter("lost_proposals_total", "Memberships proposed that were not accepted."),
	}
}

func (m *metrics) register(registerer prometheus.Registerer) {
	registerer.MustRegister(
		m.members, m.epoch, m.doubted, m.missed, m.spared, m.paused, m.frozen, m.proposed, m.lost,
	)
}

func (m *metrics) observe(t *table, now time.Time) {
	m.members.Set(float64(len(t.membership.Members)))
	m.epoch.Set(float64(t.membership.Epoch))
	m.doubted.Set(float64(len(t.doubted(now, t.terms.Suspicion))))
}
