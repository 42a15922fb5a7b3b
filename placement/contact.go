package placement

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// A host may lose its links to all backend servers while callers and the other hosts still reach
// it. What requests meet then is ambiguous: servers that are slow are silent too, and some that
// ended refuse connections. So it only makes the host suspect that it is cut off, and the host
// finds out by opening connections (see [Pool.ProbeTargets]).
const (
	// silenceTime is how long no server has responded, though requests to several are under
	// way, before the host suspects that it is cut off.
	silenceTime = 500 * time.Millisecond
	// unreachedTime is for how long a server that was not reached counts.
	unreachedTime = 2 * time.Second
	// minSuspectServers is how many servers must be silent or unreachable, or all if there are
	// fewer.
	minSuspectServers = 3
)

// contact is what a host knows of its links to the backend servers as a whole.
type contact struct {
	isCutOff bool
	// sentSince holds the servers to which requests were sent since a server last responded,
	// up to minSuspectServers of them, and firstSentAt when the first was sent.
	sentSince   []*server
	firstSentAt time.Time
	// unreached holds when each server was last not reached.
	unreached map[*server]time.Time
}

// recordSent records that a request goes to a server.
func (c *contact) recordSent(s *server, now time.Time) {
	if len(c.sentSince) == 0 {
		c.firstSentAt = now
	}
	if len(c.sentSince) < minSuspectServers && !slices.Contains(c.sentSince, s) {
		c.sentSince = append(c.sentSince, s)
	}
}

// recordHeard records that a server responded, whatever it said.
func (c *contact) recordHeard(s *server) {
	c.sentSince = c.sentSince[:0]
	delete(c.unreached, s)
}

// recordUnreached records that a server could not be reached or broke the connection.
func (c *contact) recordUnreached(s *server, now time.Time) {
	if c.unreached == nil {
		c.unreached = make(map[*server]time.Time)
	}
	c.unreached[s] = now
}

// recordContact records what the outcome of a request says of the links.
func (p *Pool) recordContact(s *server, outcome Outcome, now time.Time) {
	switch outcome.(type) {
	case Responded, Refused, InvalidResponse, Misdirected:
		p.contact.recordHeard(s)
	case NoResponse:
		p.contact.recordUnreached(s, now)
	case DeadlineExceeded, Inconclusive:
	}
}

// SuspectsCutOff reports whether this host may have lost its links to all backend servers: several
// servers are silent or were not reached.
func (p *Pool) SuspectsCutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	enough := min(minSuspectServers, len(p.servers))
	if enough == 0 {
		return false
	}
	c := &p.contact
	for s, at := range c.unreached {
		if now.Sub(at) > unreachedTime || p.servers[s.Name] != s {
			delete(c.unreached, s)
		}
	}
	isSilent := len(c.sentSince) >= enough && now.Sub(c.firstSentAt) > silenceTime
	return isSilent || len(c.unreached) >= enough
}

// SetCutOff sets whether this host has lost its links to all backend servers, and reports whether
// that is a change. When the links are back, what requests met meanwhile no longer counts against
// the servers.
func (p *Pool) SetCutOff(isCutOff bool) (isChange bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.contact
	if isChange = isCutOff != c.isCutOff; !isChange {
		return false
	}
	c.isCutOff = isCutOff
	if !isCutOff {
		now := p.now()
		c.sentSince, c.unreached = nil, nil
		for _, s := range p.servers {
			s.consecutiveFailures, s.ejectedUntil = 0, time.Time{}
		}
		for _, svc := range p.services {
			p.dispatch(svc, now)
		}
	}
	return true
}

// IsCutOff returns what SetCutOff last set.
func (p *Pool) IsCutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contact.isCutOff
}

// ProbeTargets returns the addresses of servers by which a host in the zone finds out whether it
// reaches any: a random one of its zone, of the rest of its region, and of the other regions. What
// cuts a host off from other zones or regions leaves it the nearer ones.
func (p *Pool) ProbeTargets(zone string) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	const distances = 3
	var chosen [distances]*server
	var counts [distances]int
	for _, s := range p.servers {
		if !s.isUsable() {
			continue
		}
		distance := 2
		switch {
		case s.Zone == zone:
			distance = 0
		case s.Region == p.Region:
			distance = 1
		}
		counts[distance]++
		if rand.IntN(counts[distance]) == 0 {
			chosen[distance] = s
		}
	}
	var targets []netip.AddrPort
	for _, s := range chosen {
		if s != nil {
			targets = append(targets, s.Address)
		}
	}
	return targets
}

// MaxNeighbors is how many servers [Pool.Neighbors] returns at most. A request that crashes servers may have
// crashed some of them.
const MaxNeighbors = 3

// Neighbors returns the addresses of some random other servers near the one with the given address: of
// its zone if there are any, else of its region, else of the other regions.
func (p *Pool) Neighbors(address netip.AddrPort) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var zone, region string
	for _, s := range p.servers {
		if s.Address == address {
			zone, region = s.Zone, s.Region
		}
	}
	const distances = 3
	var byDistance [distances][]netip.AddrPort
	for _, s := range p.servers {
		distance := 2
		switch {
		case s.Address == address || !s.isUsable():
			continue
		case s.Zone == zone:
			distance = 0
		case s.Region == region:
			distance = 1
		}
		byDistance[distance] = append(byDistance[distance], s.Address)
	}
	for _, near := range byDistance {
		if len(near) > 0 {
			rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
			return near[:min(len(near), MaxNeighbors)]
		}
	}
	return nil
}
