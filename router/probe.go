package router

import (
	"context"
	"time"

	"github.com/galenacove/galenacove/namer"
)

// quickProbe is how often a minion is probed whose answer is waited for: one
// just taken over, or with requests of a former owner.
const quickProbe = 100 * time.Millisecond

// probe is a probe to be sent.
type probe struct {
	minion  *minion
	epoch   namer.Epoch
	attempt attempt
}

// probes returns the probes that are due, and counts them as under way.
func (p *pool) probes() []probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	var due []probe
	for _, m := range p.order {
		if m.probing || !p.probeDue(m, now) {
			continue
		}
		m.probing = true
		m.probed = now
		due = append(due, probe{
			minion: m,
			epoch:  m.epoch,
			attempt: attempt{
				address:     m.host.Address,
				connections: m.connections(),
				epoch:       m.epoch,
				writeBy:     p.settings.since(now) + dialTimeout.Nanoseconds(),
				left:        dialTimeout,
			},
		})
	}
	return due
}

// probeDue reports whether the minion is to be probed: when its lease has run
// for a third of the term, when its ejection is over, and at short intervals
// while its slots wait for an answer.
func (p *pool) probeDue(m *minion, now time.Time) bool {
	quiet := now.Sub(m.probed)
	if m.ejected {
		return !now.Before(m.ejectedTo) && quiet >= quickProbe
	}
	waits := m.lease.Load() == 0 || (m.foreign > 0 && m.counts)
	if waits {
		return quiet >= quickProbe
	}
	third := p.settings.term / 3
	renewed := m.lease.Load() - p.settings.term.Nanoseconds()
	return quiet >= third && p.settings.since(now)-renewed >= third.Nanoseconds()
}

// probed books the ending of a probe.
func (p *pool) probed(pr probe, e ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	m := pr.minion
	m.probing = false
	switch e := e.(type) {
	case answered:
		p.superseded(m, pr.epoch, e.epoch)
		if e.epoch != pr.epoch {
			break
		}
		m.accepted(e.epoch, e.sent+p.settings.term.Nanoseconds(), now, e.older, p.settings.rest(p.terms))
		m.hold = time.Time{}
		if m.ejected && !now.Before(m.ejectedTo) {
			m.readmit()
			p.settings.logger.Infof("router: minion %s on trial", m.host.Name)
		}
	case declined:
		p.decline(m, pr.epoch, e, now)
	default:
		p.fail(m, now, true)
		if m.ejected && !now.Before(m.ejectedTo) {
			p.eject(m, now)
		}
	}
	p.assign(now)
}

// bind gives the reservation what ends its exchange when its time is over.
func (p *pool) bind(r *reservation, cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.cancel = cancel
}

func (p *pool) attemptTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.terms.attempt
}

func (p *pool) maxBody() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.terms.maxBody
}
