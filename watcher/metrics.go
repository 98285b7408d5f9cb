package watcher

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the metrics of one watcher.
type metrics struct {
	members          prometheus.Gauge
	epoch            prometheus.Gauge
	suspects         prometheus.Gauge
	missedHeartbeats prometheus.Counter
	falseSuspicions  prometheus.Counter
	pauses           prometheus.Counter
	frozenRounds     prometheus.Counter
	proposals        prometheus.Counter
	lostProposals    prometheus.Counter
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
		members:          gauge("members", "Members of the data centre in force."),
		epoch:            gauge("epoch", "Epoch in force."),
		suspects:         gauge("doubted_members", "Members that look gone from here."),
		missedHeartbeats: counter("missed_heartbeats_total", "Heartbeats that failed."),
		falseSuspicions:  counter("false_suspicions_total", "Members in doubt that a witness heard."),
		pauses:           counter("pauses_total", "Pauses of this process that the watcher noticed."),
		frozenRounds:     counter("frozen_rounds_total", "Rounds without proposals, as the log was out of reach."),
		proposals:        counter("proposals_total", "Memberships proposed."),
		lostProposals:    counter("lost_proposals_total", "Memberships proposed that were not accepted."),
	}
}

func (m *metrics) register(registerer prometheus.Registerer) {
	registerer.MustRegister(
		m.members, m.epoch, m.suspects, m.missedHeartbeats, m.falseSuspicions, m.pauses, m.frozenRounds, m.proposals, m.lostProposals,
	)
}

func (m *metrics) setGauges(t *table, now time.Time) {
	m.members.Set(float64(len(t.membership.Members)))
	m.epoch.Set(float64(t.membership.Epoch))
	m.suspects.Set(float64(len(t.suspects(now, t.timing.Suspicion))))
}
