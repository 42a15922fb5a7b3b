package routing

import "strings"

// Index finds the parts of one configuration. It is immutable.
type Index struct {
	Configuration

	// hosts holds the routes of each host by prefix.
	hosts    map[string]map[string]*Route
	keys     map[string]*Team
	teams    map[string]*Team
	services map[string]*Service
}

// NewIndex returns an index of the configuration, which must not be changed
// afterwards.
func NewIndex(c Configuration) *Index {
	x := &Index{
		Configuration: c,
		hosts:         make(map[string]map[string]*Route),
		keys:          make(map[string]*Team),
		teams:         make(map[string]*Team),
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
	prefixes := x.hosts[host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		x.hosts[host] = prefixes
	}
	prefixes[route.Prefix] = route
}

func (x *Index) addTeam(team *Team) {
	x.teams[team.Name] = team
	for _, key := range team.Keys {
		x.keys[key] = team
	}
}

// Route returns the route of the host whose prefix is the longest one that
// begins the path.
func (x *Index) Route(host, path string) (*Route, bool) {
	prefixes := x.hosts[strings.ToLower(withoutPort(host))]
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if route, found := prefixes[path[:end]]; found {
			return route, true
		}
	}
	return nil, false
}

// withoutPort returns the name of a host that may have a port.
func withoutPort(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// HasHost tells whether the host has routes.
func (x *Index) HasHost(host string) bool {
	_, found := x.hosts[strings.ToLower(withoutPort(host))]
	return found
}

// TeamByKey returns the team that holds the key.
func (x *Index) TeamByKey(key string) (*Team, bool) {
	team, found := x.keys[key]
	return team, found
}

// TeamByName returns the team of the name.
func (x *Index) TeamByName(name string) (*Team, bool) {
	team, found := x.teams[name]
	return team, found
}

// Service returns the service of the name.
func (x *Index) Service(name string) (*Service, bool) {
	service, found := x.services[name]
	return service, found
}

// EffectivePriority returns the priority of a request: the team's, if it has one, before the
// route's. The team may be nil.
func EffectivePriority(route *Route, team *Team) int {
	if team != nil && team.Priority != nil {
		return *team.Priority
	}
	return route.Priority
}
