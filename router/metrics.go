package router

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the router's counters and its histogram of waiting times. Without a
// registry they are not exported.
type metrics struct {
	requests    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	budgetEmpty *prometheus.CounterVec
	waits       *prometheus.HistogramVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_router_requests_total",
			Help: "Requests of callers by outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_router_attempts_total",
			Help: "Attempts at minions.",
		}, []string{"service"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_router_retries_total",
			Help: "Further attempts taken from the budget.",
		}, []string{"service"}),
		budgetEmpty: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenacove_router_budget_empty_total",
			Help: "Further attempts not made since the budget was empty.",
		}, []string{"service"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "galenacove_router_wait_seconds",
			Help:    "Time that requests waited for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 4, 9),
		}, []string{"service"}),
	}
	if registry != nil {
		registry.MustRegister(m.requests, m.attempts, m.retries, m.budgetEmpty, m.waits)
	}
	return m
}

// collector exports the current state of the router's pools as gauges.
type collector struct {
	router *Router
	// queued and reserved are labelled by service, minions by service and state.
	queued   *prometheus.Desc
	reserved *prometheus.Desc
	minions  *prometheus.Desc
}

func newCollector(r *Router) *collector {
	return &collector{
		router:   r,
		queued:   prometheus.NewDesc("galenacove_router_queued", "Requests that wait for a slot here.", []string{"service"}, nil),
		reserved: prometheus.NewDesc("galenacove_router_reserved", "Slots held by this entry's requests.", []string{"service"}, nil),
		minions:  prometheus.NewDesc("galenacove_router_minions", "Minions that this entry owns, by state.", []string{"service", "state"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	out <- c.queued
	out <- c.reserved
	out <- c.minions
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	for _, s := range c.router.Services() {
		out <- prometheus.MustNewConstMetric(c.queued, prometheus.GaugeValue, float64(s.Load().Queued), s.Name())
	}
	reserved := make(map[string]int)
	minions := make(map[[2]string]int)
	for _, e := range c.router.Endpoints() {
		reserved[e.Service()] += e.Reserved()
		minions[[2]string{e.Service(), e.State()}]++
	}
	for service, n := range reserved {
		out <- prometheus.MustNewConstMetric(c.reserved, prometheus.GaugeValue, float64(n), service)
	}
	for key, n := range minions {
		out <- prometheus.MustNewConstMetric(c.minions, prometheus.GaugeValue, float64(n), key[0], key[1])
	}
}

// countRequest counts a request by the outcome that err stands for, and returns err.
func (m *metrics) countRequest(service string, err error) error {
	outcome, reason := classify(err)
	if reason == ReasonNoService {
		service = ""
	}
	m.requests.WithLabelValues(service, outcome, string(reason)).Inc()
	return err
}

// classify returns the outcome and the reason that err stands for.
func classify(err error) (string, Reason) {
	var refused *RefusedError
	var failed *FailedError
	var unknown *UnknownError
	var claimed *ClaimedError
	switch {
	case err == nil:
		return "done", ""
	case errors.As(err, &refused):
		return "refused", refused.Reason
	case errors.As(err, &claimed):
		return "refused", ReasonClaimed
	case errors.As(err, &failed):
		return "failed", ReasonFailed
	case errors.As(err, &unknown):
		return "unknown", unknown.Reason
	default:
		return "unknown", ReasonLost
	}
}

func (m *metrics) countAttempt(service string) { m.attempts.WithLabelValues(service).Inc() }

func (m *metrics) countRetry(service string) { m.retries.WithLabelValues(service).Inc() }

func (m *metrics) countBudgetEmpty(service string) { m.budgetEmpty.WithLabelValues(service).Inc() }

func (m *metrics) observeWait(service string, d time.Duration) {
	m.waits.WithLabelValues(service).Observe(d.Seconds())
}
