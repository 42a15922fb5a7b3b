package entry

import (
	"sort"
	"strings"

	"trefoilline.example/trefoilline/table"
)

// routes finds the route of a path. It never changes.
type routes struct {
	table *table.Table
	// ordered has the longest paths first.
	ordered []table.Route
}

func newRoutes(current *table.Table) *routes {
	ordered := append([]table.Route(nil), current.Routes...)
	sort.SliceStable(ordered, func(i, j int) bool {
		return len(ordered[i].Path) > len(ordered[j].Path)
	})
	return &routes{
		table:   current,
		ordered: ordered,
	}
}

// find returns the route with the longest path that the request's path is, or
// lies under.
func (r *routes) find(path string) (table.Route, bool) {
	for _, route := range r.ordered {
		if matches(route.Path, path) {
			return route, true
		}
	}
	return table.Route{}, false
}

// matches compares whole segments: "/stock" holds "/stock/chalk" and not
// "/stocktaking".
func matches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
