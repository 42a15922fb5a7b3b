package entry

import (
	"sort"
	"strings"

	"trefoilline.example/trefoilline/table"
)

// routeMatcher finds the route of a request's path in one version of the table. It is
// immutable.
type routeMatcher struct {
	table *table.Table
	// longestFirst holds the routes in the order of the length of their paths, the
	// longest first.
	longestFirst []table.Route
}

func newRouteMatcher(t *table.Table) *routeMatcher {
	ordered := append([]table.Route(nil), t.Routes...)
	sort.SliceStable(ordered, func(i, j int) bool {
		return len(ordered[i].Path) > len(ordered[j].Path)
	})
	return &routeMatcher{
		table:        t,
		longestFirst: ordered,
	}
}

// find returns the route with the longest path that is equal to the request's path or a
// prefix of it.
func (r *routeMatcher) find(path string) (table.Route, bool) {
	for _, route := range r.longestFirst {
		if isPathPrefix(route.Path, path) {
			return route, true
		}
	}
	return table.Route{}, false
}

// isPathPrefix reports whether prefix is equal to path or a prefix of it in whole segments:
// "/stock" is a prefix of "/stock/chalk" but not of "/stocktaking".
func isPathPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
