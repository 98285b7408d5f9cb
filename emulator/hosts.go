package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenacove/galenacove/connector"
)

// hostList is a list of hosts as it was a while ago.
type hostList struct {
	// lag is how far the list is behind.
	lag time.Duration
	// expiry is how long a silent host stays.
	expiry time.Duration
	lines  map[string]*hostLine
	// frozen is when the list was frozen, zero if it is not.
	frozen time.Time
}

// hostLine is the history of one host.
type hostLine struct {
	// versions are in the order of their times. The list shows the last one
	// that is not younger than the lag.
	versions []hostVersion
	// seen is the time of the last heartbeat.
	seen time.Time
}

type hostVersion struct {
	at   time.Time
	host connector.Host
	// gone says that the host was removed.
	gone bool
}

func newHostList(lag, expiry time.Duration) hostList {
	return hostList{
		lag:    lag,
		expiry: expiry,
		lines:  make(map[string]*hostLine),
	}
}

func (l *hostList) freeze(on bool, now time.Time) {
	l.frozen = time.Time{}
	if on {
		l.frozen = now
	}
}

// shown returns the moment whose list is shown now.
func (l *hostList) shown(now time.Time) time.Time {
	if !l.frozen.IsZero() {
		now = l.frozen
	}
	return now.Add(-l.lag)
}

func (l *hostList) put(now time.Time, host connector.Host) {
	line, ok := l.lines[host.Name]
	if !ok {
		line = &hostLine{}
		l.lines[host.Name] = line
	}
	if ok && now.Sub(line.seen) > l.expiry {
		line.add(hostVersion{
			at:   line.seen.Add(l.expiry),
			gone: true,
		})
	}
	line.seen = now
	line.add(hostVersion{
		at:   now,
		host: host,
	})
	line.trim(l.shown(now))
}

func (l *hostList) remove(now time.Time, name string) {
	line, ok := l.lines[name]
	if !ok {
		return
	}
	line.add(hostVersion{
		at:   now,
		gone: true,
	})
}

// add keeps a version unless it repeats the last.
func (l *hostLine) add(v hostVersion) {
	if len(l.versions) > 0 {
		last := l.versions[len(l.versions)-1]
		if last.gone == v.gone && last.host == v.host {
			return
		}
	}
	l.versions = append(l.versions, v)
}

// trim drops the versions that are no longer shown.
func (l *hostLine) trim(shown time.Time) {
	for len(l.versions) > 1 && !l.versions[1].at.After(shown) {
		l.versions = l.versions[1:]
	}
}

// list returns the hosts by name.
func (l *hostList) list(now time.Time) []connector.Host {
	shown := l.shown(now)
	hosts := make([]connector.Host, 0, len(l.lines))
	for name, line := range l.lines {
		host, ok := line.at(shown, l.expiry)
		if ok {
			hosts = append(hosts, host)
		}
		if line.over(shown, l.expiry) {
			delete(l.lines, name)
		}
	}
	slices.SortFunc(hosts, func(a, b connector.Host) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return hosts
}

// at returns the host as it was at that moment.
func (l *hostLine) at(moment time.Time, expiry time.Duration) (connector.Host, bool) {
	var found hostVersion
	found.gone = true
	for _, v := range l.versions {
		if v.at.After(moment) {
			break
		}
		found = v
	}
	if found.gone || moment.Sub(l.seen) > expiry {
		return connector.Host{}, false
	}
	return found.host, true
}

// over reports whether the host is gone in every list to come, unless it
// comes back.
func (l *hostLine) over(shown time.Time, expiry time.Duration) bool {
	last := l.versions[len(l.versions)-1]
	return shown.Sub(l.seen) > expiry || (last.gone && !last.at.After(shown))
}
