package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenacove/galenacove/connector"
)

// hostList is a list of hosts that shows changes with a delay.
type hostList struct {
	// lag is the delay after which a change shows in the list.
	lag time.Duration
	// expiry is how long a host stays on the list without a heartbeat.
	expiry    time.Duration
	histories map[string]*hostHistory
	// frozenAt is the time at which the list was frozen, zero if it is not
	// frozen.
	frozenAt time.Time
}

// hostHistory holds the past and current versions of one host.
type hostHistory struct {
	// versions holds the versions in the order of their times. The list shows the
	// last one that is at least as old as the lag.
	versions []hostVersion
	// lastHeartbeat is the time of the last heartbeat.
	lastHeartbeat time.Time
}

type hostVersion struct {
	at   time.Time
	host connector.Host
	// removed reports whether the host left the list at this time.
	removed bool
}

func newHostList(lag, expiry time.Duration) hostList {
	return hostList{
		lag:       lag,
		expiry:    expiry,
		histories: make(map[string]*hostHistory),
	}
}

func (l *hostList) freeze(frozen bool, now time.Time) {
	l.frozenAt = time.Time{}
	if frozen {
		l.frozenAt = now
	}
}

// shownAt returns the time as of which the list is shown at now.
func (l *hostList) shownAt(now time.Time) time.Time {
	if !l.frozenAt.IsZero() {
		now = l.frozenAt
	}
	return now.Add(-l.lag)
}

func (l *hostList) put(now time.Time, host connector.Host) {
	history, ok := l.histories[host.Name]
	if !ok {
		history = &hostHistory{}
		l.histories[host.Name] = history
	}
	if ok && now.Sub(history.lastHeartbeat) > l.expiry {
		history.add(hostVersion{
			at:      history.lastHeartbeat.Add(l.expiry),
			removed: true,
		})
	}
	history.lastHeartbeat = now
	history.add(hostVersion{
		at:   now,
		host: host,
	})
	history.trim(l.shownAt(now))
}

func (l *hostList) remove(now time.Time, name string) {
	history, ok := l.histories[name]
	if !ok {
		return
	}
	history.add(hostVersion{
		at:      now,
		removed: true,
	})
}

// add appends a version unless it equals the last one.
func (h *hostHistory) add(v hostVersion) {
	if len(h.versions) > 0 {
		last := h.versions[len(h.versions)-1]
		if last.removed == v.removed && last.host == v.host {
			return
		}
	}
	h.versions = append(h.versions, v)
}

// trim drops the versions that are superseded in the list shown.
func (h *hostHistory) trim(shownAt time.Time) {
	for len(h.versions) > 1 && !h.versions[1].at.After(shownAt) {
		h.versions = h.versions[1:]
	}
}

// list returns the hosts shown at now, sorted by name. It deletes the histories
// that are obsolete.
func (l *hostList) list(now time.Time) []connector.Host {
	shownAt := l.shownAt(now)
	hosts := make([]connector.Host, 0, len(l.histories))
	for name, history := range l.histories {
		host, ok := history.hostAt(shownAt, l.expiry)
		if ok {
			hosts = append(hosts, host)
		}
		if history.obsolete(shownAt, l.expiry) {
			delete(l.histories, name)
		}
	}
	slices.SortFunc(hosts, func(a, b connector.Host) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return hosts
}

// hostAt returns the host as it was at the given moment, and whether it was on
// the list then.
func (h *hostHistory) hostAt(moment time.Time, expiry time.Duration) (connector.Host, bool) {
	var version hostVersion
	version.removed = true
	for _, v := range h.versions {
		if v.at.After(moment) {
			break
		}
		version = v
	}
	if version.removed || moment.Sub(h.lastHeartbeat) > expiry {
		return connector.Host{}, false
	}
	return version.host, true
}

// obsolete reports whether the host is absent from the list shown and from all
// later ones, unless it registers again.
func (h *hostHistory) obsolete(shownAt time.Time, expiry time.Duration) bool {
	last := h.versions[len(h.versions)-1]
	return shownAt.Sub(h.lastHeartbeat) > expiry || (last.removed && !last.at.After(shownAt))
}
