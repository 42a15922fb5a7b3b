package placement

import (
	"maps"
	"slices"
	"sync"
	"time"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/routing"
)

// DefaultServersPerKey is the default of [Pool.ServersPerKey].
const DefaultServersPerKey = 2

// DefaultServerQueueLimit is the default of [Pool.ServerQueueLimit]. One queued
// request keeps a server from being idle between two requests.
const DefaultServerQueueLimit = 1

// Pool holds the state of all backend servers as one host knows it. The zero value
// has no servers. A pool is safe for concurrent use and must not be copied.
type Pool struct {
	// Host is the name of this host.
	Host string
	// Region is the region of this host.
	Region string
	// ServersPerKey is how many backend servers each affinity key may use;
	// [DefaultServersPerKey] if zero.
	ServersPerKey int
	// ServerQueueLimit is how many requests beyond its slots are sent to a backend
	// server, to be queued there; [DefaultServerQueueLimit] if zero.
	ServerQueueLimit int
	// Clock returns the current time; [time.Now] if nil.
	Clock func() time.Time
	// Random returns a random number from 0 to 1 for the jitter of the times at which rejected requests
	// are told to return; that of [math/rand/v2] if nil.
	Random func() float64

	mu       sync.Mutex
	servers  map[string]*server
	services map[string]*serviceState
	// serviceConfigs is the configuration of the services by name.
	serviceConfigs map[string]routing.Service
	// evacuatedZones are the zones whose servers get no requests.
	evacuatedZones []string
	// hosts are those of SetHosts. Each change of them is a generation, the first
	// of which is 1.
	hosts           map[string][]string
	hostsGeneration uint64
	// localShares is the fraction of each route's affinity keys that this region
	// serves.
	localShares map[string]float64
	// slotTimes are the measured slot times by route.
	slotTimes map[string]*slotTime
	// maxShift is that of SetMaxShift.
	maxShift float64
	// spilling is the service of the last candidates if they are in another region than planned.
	spilling *serviceState
	// contact is what this host knows of its links to the servers.
	contact contact
	// statements holds what servers have said in their responses.
	statements map[incarnation]*statements
	// chosen is the memory for the result of [Pool.candidates].
	chosen []*server
}

// serviceState holds a service's servers and the requests that are queued for them.
type serviceState struct {
	servers  []*server
	queue    waitingList
	accounts teamAccounts
	promises promises
	// sequence is the sequence number of the last queued request.
	sequence uint64
	// dispatchedAt is when all queued requests were last tried.
	dispatchedAt time.Time
	// rankings holds the rankings of the keys of recent requests. It is cleared when
	// servers are added, replaced or removed.
	rankings    map[rankingKey]*keyRanking
	utilization meanUtilization
	spillover   spillover
	// destinations are the factors of the scores of servers in other regions, by region.
	// Each change of them is a generation.
	destinations           map[string]float64
	destinationsGeneration uint64
	// promisedUntil is the latest time at which a request was told to come back whose servers
	// were all paused.
	promisedUntil time.Time
}

// SetServers replaces the list of backend servers with the platform's. It reports
// whether the new list may reduce capacity: a server is no longer listed, changed its
// state, restarted or became cold.
func (p *Pool) SetServers(machines []objectstore.Machine) (reducesCapacity bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	isFirst := p.servers == nil
	previousServers := p.servers
	p.servers = make(map[string]*server, len(machines))
	for _, m := range machines {
		previous, isKnown := previousServers[m.Name]
		reducesCapacity = reducesCapacity || isKnown && mayHaveLessCapacity(m, previous.Machine)
		changesRanking := !isKnown || previous.Service != m.Service || previous.Region != m.Region || previous.Slots != m.Slots
		if changesRanking && isKnown {
			p.service(previous.Service).rankings = nil
		}
		p.servers[m.Name] = p.updateServer(previous, m, now, isFirst)
		if changesRanking || p.servers[m.Name] != previous {
			p.service(m.Service).rankings = nil
		}
	}
	for name, previous := range previousServers {
		if _, isListed := p.servers[name]; !isListed {
			reducesCapacity = true
			p.service(previous.Service).rankings = nil
		}
	}
	p.dropStatements(now)
	p.assignServers(now)
	return reducesCapacity
}

// mayHaveLessCapacity reports whether a server may accept fewer requests than before. Any
// change of its state counts, also one to live.
func mayHaveLessCapacity(m, previous objectstore.Machine) bool {
	return m.State != previous.State || m.WarmUp > previous.WarmUp || !m.Started.Equal(previous.Started)
}

// updateServer returns the state of a listed server. It updates s, the server's previous
// state, or starts afresh if s is nil or the server restarted or has another address. A
// fresh server that is listed without a warm-up time is taken to warm up for its
// service's ColdTime, except in the first list.
func (p *Pool) updateServer(s *server, m objectstore.Machine, now time.Time, isFirst bool) *server {
	if s == nil || !s.Started.Equal(m.Started) || s.Address != m.Address {
		s = &server{
			warmUpUntil: now.Add(m.WarmUp),
			said:        p.statementsOf(m),
		}
		s.isLeaving, s.pausedUntil = s.said.isLeaving, s.said.pausedUntil
		if m.WarmUp == 0 && !isFirst {
			s.warmUpUntil = now.Add(p.serviceConfigs[m.Service].ColdTime)
		}
	}
	if m.WarmUp > s.WarmUp {
		s.warmUpUntil = later(s.warmUpUntil, now.Add(m.WarmUp))
	}
	s.Machine = m
	return s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// assignServers assigns the servers to their services, marks those in evacuated zones,
// and dispatches queued requests.
func (p *Pool) assignServers(now time.Time) {
	if p.services == nil {
		p.services = make(map[string]*serviceState)
	}
	for _, svc := range p.services {
		svc.servers = svc.servers[:0]
	}
	for _, s := range p.servers {
		s.evacuated = slices.Contains(p.evacuatedZones, s.Zone)
		svc := p.service(s.Service)
		svc.servers = append(svc.servers, s)
	}
	for _, svc := range p.services {
		p.dispatch(svc, now)
	}
}

// service returns the state of a service, which it creates if there is none.
func (p *Pool) service(name string) *serviceState {
	if p.services == nil {
		p.services = make(map[string]*serviceState)
	}
	svc, found := p.services[name]
	if !found {
		svc = &serviceState{}
		p.services[name] = svc
	}
	return svc
}

// SetEvacuatedZones sets the zones whose servers get no requests. The servers of a
// zone that is no longer evacuated are taken to warm up for their service's ColdTime.
func (p *Pool) SetEvacuatedZones(zones []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, s := range p.servers {
		if slices.Contains(p.evacuatedZones, s.Zone) && !slices.Contains(zones, s.Zone) {
			s.warmUpUntil = later(s.warmUpUntil, now.Add(p.serviceConfigs[s.Service].ColdTime))
		}
	}
	p.evacuatedZones = slices.Clone(zones)
	p.assignServers(now)
}

// SetServices sets the configuration of the services.
func (p *Pool) SetServices(services []routing.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serviceConfigs = make(map[string]routing.Service, len(services))
	for _, s := range services {
		p.serviceConfigs[s.Name] = s
	}
	for _, s := range p.servers {
		// The share depends on the rate.
		s.coldGeneration = 0
	}
}

// SetHosts sets the names of the hosts by region among which the rates of cold servers and those
// that name a limit are divided. A host that is not among them sends such servers nothing.
func (p *Pool) SetHosts(hosts map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts != nil && maps.EqualFunc(p.hosts, hosts, slices.Equal) {
		return
	}
	p.hosts = hosts
	p.hostsGeneration++
}

// QueuedRequests returns the number of requests that are queued for the service.
func (p *Pool) QueuedRequests(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).queue.count
}

// SetLocalShares sets the fraction of each route's affinity keys that this region
// serves, from 0 to 1. A route that is not listed is served here entirely.
func (p *Pool) SetLocalShares(localShares map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.localShares = localShares
}

func (p *Pool) now() time.Time {
	if p.Clock == nil {
		return time.Now()
	}
	return p.Clock()
}

func (p *Pool) serversPerKey() int {
	if p.ServersPerKey > 0 {
		return p.ServersPerKey
	}
	return DefaultServersPerKey
}

func (p *Pool) serverQueueLimit() int {
	if p.ServerQueueLimit > 0 {
		return p.ServerQueueLimit
	}
	return DefaultServerQueueLimit
}
