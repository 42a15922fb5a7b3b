package backend

import "time"

// Reserve reserves a slot on a backend server of the service in the region. Each
// reservation must be passed to [Pool.Release] once. The errors are
// [NoServerError], [RegionLostError] and [NoFreeSlotError]; after each of them the
// request was not run.
func (p *Pool) Reserve(service, region string) (*Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	g := p.groups[serviceRegion{service, region}]
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
	s := p.pickServer(g, now)
	if s == nil && g.countAccepting() == 0 {
		return nil, &NoServerError{
			Service: service,
			Region:  region,
		}
	}
	if s == nil || !p.acquireSlot(service, region) {
		return nil, &NoFreeSlotError{
			Service: service,
			Region:  region,
			Running: g.running,
		}
	}
	return p.newReservation(g, s, now), nil
}

// pickServer returns a server on which a slot assigned to this host is free. If
// there is none, it returns the least loaded server of a random sample, else any
// server that can take a request, else nil.
func (p *Pool) pickServer(g *group, now time.Time) *server {
	if s := p.findServer(g.serversWithAssignedSlots, func(s *server) bool { return s.running < s.assignedSlots && s.canTakeRequest(now) }); s != nil {
		return s
	}
	if len(g.servers) == 0 {
		return nil
	}
	var best *server
	for range sampleSize {
		s := g.servers[p.intN(len(g.servers))]
		if s.canTakeRequest(now) && (best == nil || s.load(now) < best.load(now)) {
			best = s
		}
	}
	if best != nil {
		return best
	}
	return p.findServer(g.servers, func(s *server) bool { return s.canTakeRequest(now) })
}

// findServer returns the first server that matches, starting at a random one, or nil.
func (p *Pool) findServer(servers []*server, matches func(*server) bool) *server {
	if len(servers) == 0 {
		return nil
	}
	start := p.intN(len(servers))
	for i := range servers {
		s := servers[(start+i)%len(servers)]
		if matches(s) {
			return s
		}
	}
	return nil
}

func (p *Pool) acquireSlot(service, region string) bool {
	return p.SlotLimiter == nil || p.SlotLimiter.Acquire(service, region)
}

func (p *Pool) releaseSlot(service, region string) {
	if p.SlotLimiter != nil {
		p.SlotLimiter.Release(service, region)
	}
}

// newReservation counts the request as running on the server and returns its
// reservation.
func (p *Pool) newReservation(g *group, s *server, now time.Time) *Reservation {
	s.running++
	g.running++
	p.checkReservation(s, now)
	return &Reservation{
		Server:  s.machine.Name,
		Service: s.machine.Service,
		Region:  s.machine.Region,
		Zone:    s.machine.Zone,
		Address: s.machine.Address,
		server:  s,
	}
}

// checkReservation checks the invariants of a reservation, independently of the
// logic that picked the server.
func (p *Pool) checkReservation(s *server, now time.Time) {
	if s.running > s.machine.Slots {
		p.reportViolation(OverSlots{
			Server:  s.machine.Name,
			Running: s.running,
			Slots:   s.machine.Slots,
		})
	}
	if s.drainingSince.IsZero() {
		return
	}
	if drainingFor := now.Sub(s.drainingSince); drainingFor > DrainGracePeriod {
		p.reportViolation(WorkWhileLeaving{
			Server: s.machine.Name,
			After:  drainingFor,
		})
	}
}
