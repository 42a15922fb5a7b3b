package backend

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Pool is the backend servers as this host sees them. The zero value is ready
// to use.
type Pool struct {
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Random picks the samples; nil means a source seeded at random.
	Random *rand.Rand
	// Slots is this host's part of the regions' slots; nil means that only the
	// servers' own slots bound it.
	Slots Slots
	// OnViolation is told of each broken invariant, with the pool locked.
	OnViolation func(Violation)

	mu         sync.Mutex
	servers    map[string]*server
	groups     map[place]*group
	listed     bool
	violations int
	// host and hosts are this host and all live entry hosts, in order.
	host  string
	hosts []string
}

// place is a service in a region.
type place struct {
	service string
	region  string
}

// Reservation is a slot on a server, from Choose until Done.
type Reservation struct {
	Server  string
	Service string
	Region  string
	Zone    string
	Address netip.AddrPort

	server *server
	done   bool
}

// SetMachines takes a new list of the platform. A server that is no longer
// listed gets no new work; its running requests finish. Servers that join
// after the first list are warmed.
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
		p.setMachine(m, now)
	}
	for name, s := range p.servers {
		if listed[name] {
			continue
		}
		s.gone = true
		delete(p.servers, name)
	}
	p.listed = p.listed || len(listed) > 0
	p.regroup()
}

// SetHosts tells the pool this host's name and the names of all live entry
// hosts, itself included. Each slot of a server is at home on one of them, which
// uses it first, so that hosts that know nothing of each other's requests rarely
// meet on a full server. Hosts whose lists differ still work, at more such
// meetings.
func (p *Pool) SetHosts(host string, hosts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host = host
	p.hosts = slices.Sorted(slices.Values(hosts))
	p.regroup()
}

// setMachine updates or adds a listed server.
func (p *Pool) setMachine(m objectstore.Machine, now time.Time) {
	if p.servers == nil {
		p.servers = make(map[string]*server)
	}
	s := p.servers[m.Name]
	if s == nil || s.machine.Address != m.Address {
		s = p.newServer(s, now)
		p.servers[m.Name] = s
	}
	s.machine = m
	s.listedLeaving = m.State == objectstore.Draining
	s.updateLeaving(now)
}

// newServer returns a server that warms, unless it is of the first list. The
// old one of the same name, if any, only finishes what runs.
func (p *Pool) newServer(old *server, now time.Time) *server {
	if old != nil {
		old.gone = true
	}
	s := &server{}
	if p.listed {
		s.since = now
	}
	return s
}

// regroup rebuilds the servers of each place and keeps what is known of it.
func (p *Pool) regroup() {
	groups := make(map[place]*group)
	for _, s := range p.servers {
		at := place{
			service: s.machine.Service,
			region:  s.machine.Region,
		}
		g := groups[at]
		if g == nil {
			g = p.keepGroup(at)
			groups[at] = g
		}
		g.servers = append(g.servers, s)
	}
	for at, g := range p.groups {
		if groups[at] == nil && g.running > 0 {
			g.servers = nil
			groups[at] = g
		}
	}
	p.groups = groups
	for _, g := range groups {
		g.sort()
		g.setHomes(slices.Index(p.hosts, p.host), len(p.hosts))
	}
}

// keepGroup returns the place's group without servers, or a new one.
func (p *Pool) keepGroup(at place) *group {
	g := p.groups[at]
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

func (p *Pool) report(v Violation) {
	p.violations++
	if p.OnViolation != nil {
		p.OnViolation(v)
	}
}
