package backend

import "time"

// ServerStatus is what this host knows of a server.
type ServerStatus struct {
	Server  string
	Service string
	Region  string
	State   State
	// Running is how many requests this host runs on the server.
	Running int
	// SlotLimiter is how many it may run there now.
	Slots int
	// ProbeAge is the age of the last probe; zero if there was none.
	ProbeAge time.Duration
}

// SlotUsage is the free room of a service in a region, as this host sees it.
type SlotUsage struct {
	Service string
	Region  string
	// Running and Slots count the requests that this host runs in the region
	// and the slots of all servers that take new work.
	Running int
	Slots   int
	// RegionLost says that requests to all servers fail.
	RegionLost bool
}

// Servers returns what is known of each listed server, in no order.
func (p *Pool) Servers() []ServerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	views := make([]ServerStatus, 0, len(p.servers))
	for _, s := range p.servers {
		views = append(views, s.view(now))
	}
	return views
}

func (s *server) view(now time.Time) ServerStatus {
	v := ServerStatus{
		Server:  s.machine.Name,
		Service: s.machine.Service,
		Region:  s.machine.Region,
		State:   s.state(now),
		Running: s.running,
		Slots:   s.slots(now),
	}
	if !s.probe.SentAt.IsZero() {
		v.ProbeAge = now.Sub(s.probe.SentAt)
	}
	return v
}

// SlotUsage returns the room of the service in the region.
func (p *Pool) SlotUsage(service, region string) SlotUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	h := SlotUsage{
		Service: service,
		Region:  region,
	}
	g := p.groups[place{service, region}]
	if g == nil {
		return h
	}
	h.Running = g.running
	h.RegionLost = !g.lostSince.IsZero()
	for _, s := range g.servers {
		if state := s.state(now); state == Live || state == SlowStart {
			h.Slots += s.slots(now)
		}
	}
	return h
}

// ViolationCount returns how many invariants were broken so far.
func (p *Pool) ViolationCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.violations
}
