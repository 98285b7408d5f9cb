// Package receiver serves callers over HTTP: they submit jobs, query their
// states, cancel them, and count the jobs that wait in a queue.
//
// The package handles routes and HTTP only. Jobs stores and runs the jobs, and
// Bodies encodes and decodes the bodies of requests and responses.
package receiver

import (
	"cmp"
	"slices"
	"strings"

	"github.com/galenacove/galenacove/authenticator"
	"github.com/galenacove/galenacove/scheduler"
)

// Route maps the requests for a host and a path prefix to a queue.
type Route struct {
	Host string
	// Prefix is the beginning of the path. The rest of the path is the ID of a
	// job, or empty.
	Prefix string
	Queue  scheduler.Queue
	// Public is set if callers need no key.
	Public bool
}

// Organisation is an organisation with the digests of its keys.
type Organisation struct {
	scheduler.Organisation

	Keys []KeyDigest
}

// KeyDigest is the SHA-256 digest of a key. Keys themselves are not kept.
type KeyDigest = authenticator.Digest

// Config is the configuration that an operator has set.
type Config struct {
	// Version increases with each change.
	Version int64
	Routes  []Route
	// Services holds the names of the services, also of those without a route.
	Services []string
	// BodyLimit is the maximum length of a request body in bytes, 0 for the
	// default of 256 KiB.
	BodyLimit int64
	// Organisations holds the organisations whose keys callers may use. If there are
	// none, callers need no key.
	Organisations []Organisation
}

// routeTable finds the route of a request. It is immutable.
type routeTable struct {
	config Config
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]Route
	// keyring holds the keys of the organisations.
	keyring *authenticator.Keyring
}

func newRouteTable(config Config) *routeTable {
	t := &routeTable{
		config:  config,
		byHost:  make(map[string][]Route),
		keyring: authenticator.NewKeyring(),
	}
	for _, organisation := range config.Organisations {
		t.keyring.Add(organisation.Name, organisation.Keys...)
	}
	for _, route := range config.Routes {
		t.byHost[route.Host] = append(t.byHost[route.Host], route)
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t
}

// match returns the host's route with the longest prefix that path begins with,
// and false if there is none. A port in host is ignored.
func (t *routeTable) match(host, path string) (Route, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}
