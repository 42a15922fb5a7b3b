package placement

import (
	"slices"
	"sync"
	"time"

	"trefoilline.example/trefoilline/meter"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/routing"
)

// DefaultServersPerKey is how many backend servers an object has, unless a pool says
// otherwise.
const DefaultServersPerKey = 2

// DefaultServerQueueLimit is how many requests wait at a backend server beyond its slots,
// so that it is not idle between two requests.
const DefaultServerQueueLimit = 1

// Pool is what one host believes of all backend servers. The zero value has none;
// it is safe for concurrent use and must not be copied.
type Pool struct {
	// Host is the name of this host.
	Host string
	// Region is where this host runs.
	Region string
	// ServersPerKey is how many backend servers an object has; [DefaultServersPerKey] if zero.
	ServersPerKey int
	// ServerQueueLimit is how many requests beyond its slots a backend server gets;
	// [DefaultServerQueueLimit] if zero.
	ServerQueueLimit int
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time

	mu       sync.Mutex
	servers  map[string]*server
	services map[string]*group
	settings map[string]routing.Service
	// evacuated holds the zones that get nothing.
	evacuated []string
	// hosts are the live hosts by region.
	hosts map[string][]string
	// homes is the share of each route's objects that stay in this region.
	homes map[string]float64
	works map[string]*work
}

// group is the servers of a service and the requests that wait for them.
type group struct {
	servers []*server
	waiting []*waiter
	// sequence numbers the requests that waited.
	sequence uint64
	// finished is the recent rate at which requests of this host end, per second.
	finished meter.Rate
}

// SetServers takes the platform's list of backend servers. It tells whether the list
// takes something away: a server that left, started again or turned cold.
func (p *Pool) SetServers(machines []objectstore.Machine) (takesAway bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	isFirst := p.servers == nil
	known := p.servers
	p.servers = make(map[string]*server, len(machines))
	for _, m := range machines {
		before, isKnown := known[m.Name]
		takesAway = takesAway || isKnown && isLess(m, before.Machine)
		p.servers[m.Name] = p.admit(before, m, now, isFirst)
	}
	for name := range known {
		_, isListed := p.servers[name]
		takesAway = takesAway || !isListed
	}
	p.regroup(now)
	return takesAway
}

// isLess tells whether a server may get less than before.
func isLess(m, before objectstore.Machine) bool {
	return m.State != before.State || m.WarmUp > before.WarmUp || !m.Started.Equal(before.Started)
}

// admit returns the state of a listed server. A restart under the same name knows
// nothing of before.
func (p *Pool) admit(known *server, m objectstore.Machine, now time.Time, isFirst bool) *server {
	if known == nil || !known.Started.Equal(m.Started) || known.Address != m.Address {
		known = &server{
			coldUntil: now.Add(m.WarmUp),
		}
		if m.WarmUp == 0 && !isFirst {
			known.coldUntil = now.Add(p.settings[m.Service].ColdTime)
		}
	}
	if m.WarmUp > known.WarmUp {
		known.coldUntil = later(known.coldUntil, now.Add(m.WarmUp))
	}
	known.Machine = m
	return known
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// regroup sorts the servers by service, and lets waiting requests choose again.
func (p *Pool) regroup(now time.Time) {
	if p.services == nil {
		p.services = make(map[string]*group)
	}
	for _, g := range p.services {
		g.servers = g.servers[:0]
	}
	for _, s := range p.servers {
		s.evacuated = slices.Contains(p.evacuated, s.Zone)
		g := p.group(s.Service)
		g.servers = append(g.servers, s)
	}
	for _, g := range p.services {
		p.dispatch(g, now)
	}
}

func (p *Pool) group(service string) *group {
	if p.services == nil {
		p.services = make(map[string]*group)
	}
	g, known := p.services[service]
	if !known {
		g = &group{}
		p.services[service] = g
	}
	return g
}

// SetEvacuatedZones takes the zones whose servers get nothing. Those of a zone that is
// taken back are cold, as far as this host knows.
func (p *Pool) SetEvacuatedZones(zones []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, s := range p.servers {
		if slices.Contains(p.evacuated, s.Zone) && !slices.Contains(zones, s.Zone) {
			s.coldUntil = later(s.coldUntil, now.Add(p.settings[s.Service].ColdTime))
		}
	}
	p.evacuated = slices.Clone(zones)
	p.regroup(now)
}

// SetServices takes the settings of the services.
func (p *Pool) SetServices(services []routing.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = make(map[string]routing.Service, len(services))
	for _, s := range services {
		p.settings[s.Name] = s
	}
}

// SetHosts takes the names of the live hosts of each region, this one among them.
func (p *Pool) SetHosts(hosts map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

// SetLocalShares takes the share of each route's objects that stay in this region; all
// of those of a route that is not listed.
func (p *Pool) SetLocalShares(homes map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.homes = homes
}

func (p *Pool) now() time.Time {
	if p.Clock == nil {
		return time.Now()
	}
	return p.Clock()
}

func (p *Pool) places() int {
	if p.ServersPerKey > 0 {
		return p.ServersPerKey
	}
	return DefaultServersPerKey
}

func (p *Pool) excess() int {
	if p.ServerQueueLimit > 0 {
		return p.ServerQueueLimit
	}
	return DefaultServerQueueLimit
}
