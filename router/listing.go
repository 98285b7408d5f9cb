package router

import (
	"slices"
	"strings"
	"time"
)

// EndpointView is the state of a minion as this entry sees it.
type EndpointView struct {
	name, service, state   string
	slots, reserved, older int
	latency                time.Duration
}

// Name returns the name of the minion.
func (v EndpointView) Name() string { return v.name }

// Service returns the service that the minion runs.
func (v EndpointView) Service() string { return v.service }

// State returns "ceded" (owned by another entry, with requests of this one in
// flight), "drained", "leaving", "ejected", "held" (the minion refused),
// "opening" (no answer since the takeover), "silent" (the lease has expired),
// "trial" or "open".
func (v EndpointView) State() string { return v.state }

// Slots returns the maximum number of requests that the minion runs at once.
func (v EndpointView) Slots() int { return v.slots }

// Reserved returns the number of requests of this entry that may run at the minion.
func (v EndpointView) Reserved() int { return v.reserved }

// OlderRequests returns the maximum number of requests of former owners that
// may still run at the minion.
func (v EndpointView) OlderRequests() int { return v.older }

// Latency returns the average service time, 0 if it is not known.
func (v EndpointView) Latency() time.Duration { return v.latency }

// ServiceView is the state of a service as this entry sees it.
type ServiceView struct {
	name string
	load Load
	// latency is the average service time.
	latency time.Duration
}

// Name returns the name of the service.
func (v ServiceView) Name() string { return v.name }

// Load returns the load of this entry's part of the service.
func (v ServiceView) Load() Load { return v.load }

// Latency returns the average service time, 0 if it is not known.
func (v ServiceView) Latency() time.Duration { return v.latency }

// Endpoints returns the minions that this entry owns or has requests at,
// sorted by name.
func (r *Router) Endpoints() []EndpointView {
	var views []EndpointView
	for _, p := range r.allPools() {
		views = append(views, p.endpointViews()...)
	}
	slices.SortFunc(views, func(a, b EndpointView) int {
		return strings.Compare(a.name, b.name)
	})
	return views
}

// Services returns the services, sorted by name.
func (r *Router) Services() []ServiceView {
	var views []ServiceView
	for name, p := range r.allPools() {
		views = append(views, ServiceView{
			name:    name,
			load:    p.load(),
			latency: p.meanServiceTime(),
		})
	}
	slices.SortFunc(views, func(a, b ServiceView) int {
		return strings.Compare(a.name, b.name)
	})
	return views
}

func (p *pool) meanServiceTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return seconds(p.latency)
}

func (p *pool) endpointViews() []EndpointView {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	sinceStart := p.settings.sinceStart(now)
	var views []EndpointView
	for name, m := range p.minions {
		views = append(views, EndpointView{
			name:     name,
			service:  p.name,
			state:    m.state(now, sinceStart),
			slots:    m.slots,
			reserved: len(m.reservations),
			older:    m.olderRequests,
			latency:  seconds(m.latency),
		})
	}
	return views
}

func (m *minion) state(now time.Time, sinceStart int64) string {
	switch {
	case m.epoch == 0:
		return "ceded"
	case m.drained:
		return "drained"
	case m.leaving:
		return "leaving"
	case m.ejected:
		return "ejected"
	case now.Before(m.holdUntil):
		return "held"
	case m.leaseExpiry.Load() == 0:
		return "opening"
	case sinceStart >= m.leaseExpiry.Load():
		return "silent"
	case m.onTrial:
		return "trial"
	default:
		return "open"
	}
}
