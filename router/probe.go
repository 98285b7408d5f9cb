package router

import (
	"context"
	"time"

	"github.com/galenacove/galenacove/namer"
)

// quickProbeInterval is the probe interval for a minion whose answer can make slots
// available: it has not answered since its takeover, or has reported requests of
// former owners that still run, or its ejection has ended.
const quickProbeInterval = 100 * time.Millisecond

// probe is a probe that is due.
type probe struct {
	minion  *minion
	epoch   namer.Epoch
	attempt attempt
}

// takeDueProbes returns the probes that are due, and marks each as in flight at its
// minion.
func (p *pool) takeDueProbes() []probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	var due []probe
	for _, m := range p.owned {
		if m.probeInFlight || !p.probeDue(m, now) {
			continue
		}
		m.probeInFlight = true
		m.lastProbeAt = now
		due = append(due, probe{
			minion: m,
			epoch:  m.epoch,
			attempt: attempt{
				address:        m.host.Address,
				maxConnections: m.maxConnections(),
				epoch:          m.epoch,
				writeBy:        p.settings.sinceStart(now) + dialTimeout.Nanoseconds(),
				left:           dialTimeout,
			},
		})
	}
	return due
}

// probeDue reports whether the minion is to be probed: when a third of its lease
// has passed, when its ejection has ended, and at short intervals while slots
// depend on its answer.
func (p *pool) probeDue(m *minion, now time.Time) bool {
	sinceProbe := now.Sub(m.lastProbeAt)
	if m.ejected {
		return !now.Before(m.ejectedUntil) && sinceProbe >= quickProbeInterval
	}
	awaitsAnswer := m.leaseExpiry.Load() == 0 || (m.olderRequests > 0 && m.reportsOlder)
	if awaitsAnswer {
		return sinceProbe >= quickProbeInterval
	}
	third := p.settings.leaseTerm / 3
	renewedAt := m.leaseExpiry.Load() - p.settings.leaseTerm.Nanoseconds()
	return sinceProbe >= third && p.settings.sinceStart(now)-renewedAt >= third.Nanoseconds()
}

// settleProbe records how a probe ended.
func (p *pool) settleProbe(pr probe, e ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.clock.Now()
	m := pr.minion
	m.probeInFlight = false
	switch e := e.(type) {
	case answered:
		p.cedeIfSuperseded(m, pr.epoch, e.epoch)
		if e.epoch != pr.epoch {
			break
		}
		m.recordAccepted(e.epoch, e.sentAt+p.settings.leaseTerm.Nanoseconds(), now, e.older, p.settings.takeoverWait(p.config))
		m.holdUntil = time.Time{}
		if m.ejected && !now.Before(m.ejectedUntil) {
			m.readmit()
			p.settings.logger.Infof("router: minion %s readmitted on trial", m.host.Name)
		}
	case declined:
		p.recordRefusal(m, pr.epoch, e, now)
	default:
		p.handleFailure(m, now, true)
		if m.ejected && !now.Before(m.ejectedUntil) {
			p.eject(m, now)
		}
	}
	p.assignSlots(now)
}

// setCancel sets the function that ends the exchange when the reservation expires.
func (p *pool) setCancel(r *reservation, cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.cancel = cancel
}

func (p *pool) attemptTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config.attemptTimeout
}

func (p *pool) maxBody() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config.maxBody
}
