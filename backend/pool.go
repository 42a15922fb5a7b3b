package backend

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Pool tracks the backend servers as this entry host sees them and reserves their
// slots. The zero value is ready to use.
type Pool struct {
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Random chooses among servers; nil means a randomly seeded source.
	Random *rand.Rand
	// SlotLimiter limits this host to its share of each region's slots; nil means
	// that only the slots of each server limit it.
	SlotLimiter SlotLimiter
	// OnViolation is called for each violated invariant, with the pool locked.
	OnViolation func(Violation)

	mu      sync.Mutex
	servers map[string]*server
	groups  map[serviceRegion]*group
	// hadServers reports that a list with backend servers was set before. Servers
	// that join later begin with a slow start.
	hadServers     bool
	violationCount int
	// localHost is the name of this entry host; entryHosts are the names of all live
	// ones, sorted.
	localHost  string
	entryHosts []string
}

// serviceRegion is the key of a group: a service and a region.
type serviceRegion struct {
	service string
	region  string
}

// Reservation is a slot on a server that a request holds from [Pool.Reserve] to
// [Pool.Release].
type Reservation struct {
	Server  string
	Service string
	Region  string
	Zone    string
	Address netip.AddrPort

	server   *server
	released bool
}

// SetMachines replaces the servers by those of the platform's current machine
// list. A server that is no longer listed gets no new requests; its running
// requests finish. Servers that join after the first list begin with a slow
// start.
func (p *Pool) SetMachines(machines []objectstore.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	listed := make(map[string]bool, len(machines))
	for _, m := range machines {
		if m.Kind != objectstore.BackendServer {
			continue
		}
		listed[m.Name] = true
		p.updateMachine(m, now)
	}
	for name, s := range p.servers {
		if listed[name] {
			continue
		}
		s.removed = true
		delete(p.servers, name)
	}
	p.hadServers = p.hadServers || len(listed) > 0
	p.rebuildGroups()
}

// SetHosts sets the name of this host and the names of all live entry hosts,
// including this one. Each slot of a server is assigned to one of the hosts,
// which uses its assigned slots first, so that hosts that do not see each
// other's requests rarely send them to the same full server. If the lists of the
// hosts differ, requests meet full servers more often; nothing else breaks.
func (p *Pool) SetHosts(host string, hosts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.localHost = host
	p.entryHosts = slices.Sorted(slices.Values(hosts))
	p.rebuildGroups()
}

// updateMachine updates or adds a listed server. A server with a new address is added
// anew.
func (p *Pool) updateMachine(m objectstore.Machine, now time.Time) {
	if p.servers == nil {
		p.servers = make(map[string]*server)
	}
	s := p.servers[m.Name]
	if s == nil || s.machine.Address != m.Address {
		s = p.newServer(s, now)
		p.servers[m.Name] = s
	}
	s.machine = m
	s.listedDraining = m.State == objectstore.Draining
	s.updateDraining(now)
}

// newServer returns a server that begins with a slow start, unless it is in the
// first machine list. The previous server of the same name, if any, gets no new
// requests.
func (p *Pool) newServer(previous *server, now time.Time) *server {
	if previous != nil {
		previous.removed = true
	}
	s := &server{}
	if p.hadServers {
		s.slowStartBegin = now
	}
	return s
}

// rebuildGroups groups the servers by service and region, and keeps the health of each
// group. A group without servers is kept while it has running requests.
func (p *Pool) rebuildGroups() {
	groups := make(map[serviceRegion]*group)
	for _, s := range p.servers {
		key := serviceRegion{
			service: s.machine.Service,
			region:  s.machine.Region,
		}
		g := groups[key]
		if g == nil {
			g = p.emptiedGroup(key)
			groups[key] = g
		}
		g.servers = append(g.servers, s)
	}
	for key, g := range p.groups {
		if groups[key] == nil && g.running > 0 {
			g.servers = nil
			groups[key] = g
		}
	}
	p.groups = groups
	for _, g := range groups {
		g.sortByName()
		g.assignSlots(slices.Index(p.entryHosts, p.localHost), len(p.entryHosts))
	}
}

// emptiedGroup returns the group of the service and region with its list of
// servers cleared and its failure counts kept, or a new group.
func (p *Pool) emptiedGroup(key serviceRegion) *group {
	g := p.groups[key]
	if g == nil {
		return &group{}
	}
	g.servers = nil
	return g
}

func (p *Pool) now() time.Time {
	if p.Clock == nil {
		return time.Now()
	}
	return p.Clock()
}

func (p *Pool) intN(n int) int {
	if p.Random == nil {
		return rand.IntN(n)
	}
	return p.Random.IntN(n)
}

func (p *Pool) reportViolation(v Violation) {
	p.violationCount++
	if p.OnViolation != nil {
		p.OnViolation(v)
	}
}
