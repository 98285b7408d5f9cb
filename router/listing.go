package router

import (
	"slices"
	"strings"
	"time"
)

// EndpointView is what the router tells of a minion that the process owns.
type EndpointView struct {
	name, service, state   string
	slots, reserved, older int
	latency                time.Duration
}

// Name returns the name of the minion.
func (v EndpointView) Name() string { return v.name }

// Service returns the service that the minion answers for.
func (v EndpointView) Service() string { return v.service }

// State returns "open", "opening" (not yet heard from in this epoch), "silent"
// (the right to send has lapsed), "trial", "ejected", "held" (the minion
// refused), "drained", "leaving" or "ceded" (owned by another, with requests in
// flight).
func (v EndpointView) State() string { return v.state }

// Slots returns the most requests at the minion at once.
func (v EndpointView) Slots() int { return v.slots }

// Reserved returns the requests of this entry that may run at the minion.
func (v EndpointView) Reserved() int { return v.reserved }

// Older returns the requests of former owners that may still run there.
func (v EndpointView) Older() int { return v.older }

// Latency returns the average time of service, 0 if it is not known.
func (v EndpointView) Latency() time.Duration { return v.latency }

// ServiceView is what the router tells of a service.
type ServiceView struct {
	name string
	load Load
	// latency is the average time of service.
	latency time.Duration
}

// Name returns the name of the service.
func (v ServiceView) Name() string { return v.name }

// Load returns the load of this entry's part of the service.
func (v ServiceView) Load() Load { return v.load }

// Latency returns the average time of service, 0 if it is not known.
func (v ServiceView) Latency() time.Duration { return v.latency }

// Endpoints returns the minions that the process owns or has requests at,
// sorted by name.
func (r *Router) Endpoints() []EndpointView {
	var views []EndpointView
	for _, p := range r.allPools() {
		views = append(views, p.endpoints()...)
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
			latency: p.service(),
		})
	}
	slices.SortFunc(views, func(a, b ServiceView) int {
		return strings.Compare(a.name, b.name)
	})
	return views
}

func (p *pool) service() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return seconds(p.latency)
}

func (p *pool) endpoints() []EndpointView {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	since := p.settings.since(now)
	var views []EndpointView
	for name, m := range p.minions {
		views = append(views, EndpointView{
			name:     name,
			service:  p.name,
			state:    m.state(now, since),
			slots:    m.slots,
			reserved: len(m.reservations),
			older:    m.foreign,
			latency:  seconds(m.latency),
		})
	}
	return views
}

func (m *minion) state(now time.Time, since int64) string {
	switch {
	case m.epoch == 0:
		return "ceded"
	case m.drained:
		return "drained"
	case m.leaving:
		return "leaving"
	case m.ejected:
		return "ejected"
	case now.Before(m.hold):
		return "held"
	case m.lease.Load() == 0:
		return "opening"
	case since >= m.lease.Load():
		return "silent"
	case m.trial:
		return "trial"
	default:
		return "open"
	}
}
