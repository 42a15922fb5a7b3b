package backend

import "time"

// Choose reserves a slot on a backend server of the service in the region.
// Each reservation must be given to Done once. The errors are
// [NoServerError], [RegionLostError] and [NoFreeSlotError]; with each of them the
// request was not run.
func (p *Pool) Reserve(service, region string) (*Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	g := p.groups[place{service, region}]
	if g == nil {
		return nil, &NoServerError{
			Service: service,
			Region:  region,
		}
	}
	if !g.lostSince.IsZero() {
		return nil, &RegionLostError{
			Service: service,
			Region:  region,
		}
	}
	s := p.pick(g, now)
	if s == nil && g.accepting() == 0 {
		return nil, &NoServerError{
			Service: service,
			Region:  region,
		}
	}
	if s == nil || !p.acquire(service, region) {
		return nil, &NoFreeSlotError{
			Service: service,
			Region:  region,
			Running: g.running,
		}
	}
	return p.reserve(g, s, now), nil
}

// pick returns a server with a free slot that is at home on this host, or else
// the least loaded server of a random sample, or else any open server, or nil.
func (p *Pool) pick(g *group, now time.Time) *server {
	if s := p.first(g.homes, func(s *server) bool { return s.running < s.home && s.open(now) }); s != nil {
		return s
	}
	if len(g.servers) == 0 {
		return nil
	}
	var best *server
	for range sampleSize {
		s := g.servers[p.intN(len(g.servers))]
		if s.open(now) && (best == nil || s.load(now) < best.load(now)) {
			best = s
		}
	}
	if best != nil {
		return best
	}
	return p.first(g.servers, func(s *server) bool { return s.open(now) })
}

// first returns the first server that fits, from a random one on, or nil.
func (p *Pool) first(servers []*server, fits func(*server) bool) *server {
	if len(servers) == 0 {
		return nil
	}
	start := p.intN(len(servers))
	for i := range servers {
		s := servers[(start+i)%len(servers)]
		if fits(s) {
			return s
		}
	}
	return nil
}

func (p *Pool) acquire(service, region string) bool {
	return p.SlotLimiter == nil || p.SlotLimiter.Acquire(service, region)
}

func (p *Pool) release(service, region string) {
	if p.SlotLimiter != nil {
		p.SlotLimiter.Release(service, region)
	}
}

// reserve counts the request and checks the invariants of a choice.
func (p *Pool) reserve(g *group, s *server, now time.Time) *Reservation {
	s.running++
	g.running++
	p.checkChoice(s, now)
	return &Reservation{
		Server:  s.machine.Name,
		Service: s.machine.Service,
		Region:  s.machine.Region,
		Zone:    s.machine.Zone,
		Address: s.machine.Address,
		server:  s,
	}
}

// checkChoice asserts what must hold of each choice, apart from the logic that
// made it.
func (p *Pool) checkChoice(s *server, now time.Time) {
	if s.running > s.machine.Slots {
		p.report(OverSlots{
			Server:  s.machine.Name,
			Running: s.running,
			Slots:   s.machine.Slots,
		})
	}
	if s.leavingSince.IsZero() {
		return
	}
	if after := now.Sub(s.leavingSince); after > DrainGracePeriod {
		p.report(WorkWhileLeaving{
			Server: s.machine.Name,
			After:  after,
		})
	}
}
