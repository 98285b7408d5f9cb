package dispatcher

import (
	"github.com/galenacove/galenacove/connector"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/placer"
)

// setHosts records the workers of this data centre that the host list contains.
func (t *tables) setHosts(hosts []connector.Host) {
	t.listed = make(map[string]connector.Host, len(hosts))
	for _, host := range hosts {
		if host.Kind == connector.KindWorker && host.DataCentre == t.dataCentre {
			t.listed[host.Name] = host
		}
	}
	t.hostsKnown = true
	t.reconcileHosts()
}

// reconcileHosts updates the links from the host list and the members.
func (t *tables) reconcileHosts() {
	if !t.member {
		return
	}
	for _, l := range t.links.byName {
		_, l.listed = t.listed[l.host.Name]
	}
	for _, name := range sortedKeys(t.listed) {
		if owner, _ := namer.Owner(name, t.members); owner != t.self {
			continue
		}
		t.updateHost(t.listed[name])
	}
}

func (t *tables) updateHost(host connector.Host) {
	l := t.links.byName[host.Name]
	if l == nil {
		l = t.addLink(host)
	}
	if l.host != host {
		if l.host.Address != host.Address && t.settings.newWorker != nil {
			l.client = t.settings.newWorker(host.Address)
		}
		l.host = host
		t.registerWorker(l)
	}
	l.leaving = host.State == connector.HostLeaving
	t.updatePlacerState(l)
}

// updatePlacerState passes to the placer whether a worker takes tasks.
func (t *tables) updatePlacerState(l *link) {
	state := placer.Closed
	switch {
	case l.state != linkOwned || t.leaving || t.isBehind():
	case !l.listed:
		// The host list may lag: the worker keeps its tasks, but gets no new
		// ones.
	case t.isDrained(l):
		state = placer.Draining
	default:
		state = placer.Open
	}
	if state == l.placerState {
		return
	}
	l.placerState = state
	t.placer.SetWorkerState(l.host.Name, state)
}

// drain marks a worker as drained or not, also for the case that this entry
// becomes its owner later. It reports whether this entry owns the worker now.
func (t *tables) drain(worker string, on bool) bool {
	if on {
		t.drained[worker] = struct{}{}
	} else {
		delete(t.drained, worker)
	}
	l := t.links.byName[worker]
	if l == nil {
		return false
	}
	t.updatePlacerState(l)
	return true
}

func (t *tables) isDrained(l *link) bool {
	_, drained := t.drained[l.host.Name]
	return l.leaving || drained
}
