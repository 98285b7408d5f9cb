package dispatcher

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenacove/galenacove/placer"
)

const namespace = "galenacove_dispatcher"

// metrics are the Prometheus metrics of a dispatcher.
type metrics struct {
	starts     prometheus.Counter
	lateStarts prometheus.Counter
	refusals   prometheus.Counter
	renewals   prometheus.Counter
	takeovers  prometheus.Counter
	lapses     prometheus.Counter
	stops      prometheus.Counter
	setAside   prometheus.Counter
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
		stops:      newCounter("stops_total", "Starts that were asked to end."),
		setAside:   newCounter("set_aside_total", "Workers that were set aside."),
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
			m.lapses, m.stops, m.setAside, m.exchanges, m.epoch, m.workers, m.held, m.census)
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

// reportHealthChanges logs and audits which workers the placer has set aside,
// and which of those take tasks again.
func (t *tables) reportHealthChanges() {
	for worker := range t.placer.Workers {
		name := worker.Worker().Name()
		l := t.links.byName[name]
		if l == nil || l.state != linkOwned {
			continue
		}
		isSetAside := worker.State() == placer.SetAside
		if isSetAside == l.isSetAside || worker.State() == placer.Probing {
			continue
		}
		l.isSetAside = isSetAside
		if isSetAside {
			t.metrics.setAside.Inc()
			t.log.Warnf("dispatcher: worker %s is set aside: %s", name, worker.SetAsideReason())
			t.audit("set worker "+name+" aside", worker.SetAsideReason())
		} else {
			t.log.Infof("dispatcher: worker %s takes tasks again", name)
			t.audit("put worker "+name+" back", "a task that probed it did not fail")
		}
	}
}

// setGauges sets the gauges that count workers and tasks.
func (t *tables) setGauges() {
	owned := 0
	for _, l := range t.links.byName {
		if l.state == linkOwned {
			owned++
		}
	}
	t.metrics.workers.Set(float64(owned))
	t.metrics.held.Set(float64(len(t.held)))
}
