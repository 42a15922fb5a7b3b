package backend

import "time"

// ServerStatus is the state of a server and its use by this host.
type ServerStatus struct {
	Server  string
	Service string
	Region  string
	State   State
	// Running is how many requests this host runs on the server.
	Running int
	// Slots is how many requests this host may run on the server now.
	Slots int
	// ProbeAge is the age of the last probe; zero if there was none.
	ProbeAge time.Duration
}

// SlotUsage is the use of the slots of a service in a region, as this host sees it.
type SlotUsage struct {
	Service string
	Region  string
	// Running is the number of requests of the service that this host runs in the
	// region; Slots is the number of usable slots of all the service's backend
	// servers in the region that accept new requests.
	Running int
	Slots   int
	// RegionLost reports that the region is lost to the service: requests to all
	// its servers there fail.
	RegionLost bool
}

// Servers returns the status of each listed server, in no particular order.
func (p *Pool) Servers() []ServerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	statuses := make([]ServerStatus, 0, len(p.servers))
	for _, s := range p.servers {
		statuses = append(statuses, s.status(now))
	}
	return statuses
}

func (s *server) status(now time.Time) ServerStatus {
	status := ServerStatus{
		Server:  s.machine.Name,
		Service: s.machine.Service,
		Region:  s.machine.Region,
		State:   s.state(now),
		Running: s.running,
		Slots:   s.usableSlots(now),
	}
	if !s.probe.SentAt.IsZero() {
		status.ProbeAge = now.Sub(s.probe.SentAt)
	}
	return status
}

// SlotUsage returns the use of the slots of the service in the region.
func (p *Pool) SlotUsage(service, region string) SlotUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	usage := SlotUsage{
		Service: service,
		Region:  region,
	}
	g := p.groups[serviceRegion{service, region}]
	if g == nil {
		return usage
	}
	usage.Running = g.running
	usage.RegionLost = !g.lostSince.IsZero()
	for _, s := range g.servers {
		if state := s.state(now); state == Live || state == SlowStart {
			usage.Slots += s.usableSlots(now)
		}
	}
	return usage
}

// ViolationCount returns the number of violated invariants so far.
func (p *Pool) ViolationCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.violationCount
}
