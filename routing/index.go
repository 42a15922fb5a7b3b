package routing

import "strings"

// Index looks up the routes, teams and services of one configuration. It is immutable and
// safe for concurrent use.
type Index struct {
	Configuration

	// routes holds the routes by lower-case host name and path prefix.
	routes      map[string]map[string]*Route
	teamsByKey  map[string]*Team
	teamsByName map[string]*Team
	services    map[string]*Service
}

// NewIndex returns an index of the configuration. The caller must not change the configuration
// afterwards.
func NewIndex(c Configuration) *Index {
	x := &Index{
		Configuration: c,
		routes:        make(map[string]map[string]*Route),
		teamsByKey:    make(map[string]*Team),
		teamsByName:   make(map[string]*Team),
		services:      make(map[string]*Service),
	}
	for i := range c.Routes {
		x.addRoute(&c.Routes[i])
	}
	for i := range c.Teams {
		x.addTeam(&c.Teams[i])
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

func (x *Index) addRoute(route *Route) {
	host := strings.ToLower(route.Host)
	byPrefix := x.routes[host]
	if byPrefix == nil {
		byPrefix = make(map[string]*Route)
		x.routes[host] = byPrefix
	}
	byPrefix[route.Prefix] = route
}

func (x *Index) addTeam(team *Team) {
	x.teamsByName[team.Name] = team
	for _, key := range team.Keys {
		x.teamsByKey[key] = team
	}
}

// RouteNames returns the names of all routes.
func (x *Index) RouteNames() map[string]struct{} {
	names := make(map[string]struct{}, len(x.Routes))
	for _, r := range x.Routes {
		names[r.Name] = struct{}{}
	}
	return names
}

// Route returns the route of the host with the longest prefix that matches the path. The
// host may include a port, which is ignored.
func (x *Index) Route(host, path string) (*Route, bool) {
	byPrefix := x.routes[strings.ToLower(withoutPort(host))]
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if route, found := byPrefix[path[:end]]; found {
			return route, true
		}
	}
	return nil, false
}

// withoutPort removes the port from a host name, if it has one.
func withoutPort(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// HasHost reports whether the host has routes. The host may include a port, which is
// ignored.
func (x *Index) HasHost(host string) bool {
	_, found := x.routes[strings.ToLower(withoutPort(host))]
	return found
}

// TeamByKey returns the team that the API key belongs to.
func (x *Index) TeamByKey(key string) (*Team, bool) {
	team, found := x.teamsByKey[key]
	return team, found
}

// TeamByName returns the team with the name.
func (x *Index) TeamByName(name string) (*Team, bool) {
	team, found := x.teamsByName[name]
	return team, found
}

// Service returns the service with the name.
func (x *Index) Service(name string) (*Service, bool) {
	service, found := x.services[name]
	return service, found
}

// EffectivePriority returns the priority of a request: the team's priority if the team sets
// one, else the route's. The team may be nil.
func EffectivePriority(route *Route, team *Team) int {
	if team != nil && team.Priority != nil {
		return *team.Priority
	}
	return route.Priority
}
