// Package receiver serves the callers of an entry: it takes their jobs, tells
// the states of jobs, cancels them, and counts what waits.
//
// It knows routes and HTTP. What becomes of a job is up to Jobs, and how
// bodies are written is up to Bodies.
package receiver

import (
	"cmp"
	"slices"
	"strings"

	"github.com/galenacove/galenacove/scheduler"
)

// Route leads the requests of a host and a path to a queue.
type Route struct {
	Host string
	// Prefix begins the path; what follows it is the identity of a job.
	Prefix string
	Queue  scheduler.Queue
}

// Config is what an operator set.
type Config struct {
	// Version rises with each change.
	Version int64
	Routes  []Route
	// BodyLimit is the longest body in bytes, 0 for the default.
	BodyLimit int64
}

// table finds routes. It is not changed once made.
type table struct {
	config Config
	// byHost holds the routes of a host, the longest prefix first.
	byHost map[string][]Route
}

func newTable(config Config) *table {
	t := &table{
		config: config,
		byHost: make(map[string][]Route),
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

// find returns the route with the longest prefix of the path.
func (t *table) find(host, path string) (Route, bool) {
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
