package backend

import "time"

// Release frees the reservation's slot and records the request's outcome as evidence
// of the server's health. Releasing a reservation again does nothing.
func (p *Pool) Release(r *Reservation, outcome Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	now := p.now()
	s := r.server
	s.running--
	if s.running < 0 {
		p.reportViolation(NegativeRunning{
			Server: r.Server,
		})
	}
	p.releaseSlot(r.Service, r.Region)
	g := p.groups[serviceRegion{r.Service, r.Region}]
	if g == nil {
		return
	}
	g.running--
	if s.removed {
		return
	}
	p.recordOutcome(g, s, outcome, now)
}

// recordOutcome updates the health of the server and its region.
func (p *Pool) recordOutcome(g *group, s *server, outcome Outcome, now time.Time) {
	switch o := outcome.(type) {
	case Responded:
		s.consecutiveFailures = 0
		s.ejections = 0
		g.recordSuccess()
	case Rejected:
		g.recordSuccess()
		if o.Draining {
			s.reportedDraining = true
			s.updateDraining(now)
		}
	case Failed:
		s.consecutiveFailures++
		g.recordFailure(s, now)
		p.ejectIfFailing(g, s, now)
	case Inconclusive:
	}
}

// ejectIfFailing ejects the server for a time if enough requests in a row failed, and if
// the ejected servers stay a minority of the group.
func (p *Pool) ejectIfFailing(g *group, s *server, now time.Time) {
	if s.consecutiveFailures < minEjectionFailures || s.state(now) == Ejected {
		return
	}
	if 2*(g.countEjected(now)+1) >= len(g.servers) {
		return
	}
	s.consecutiveFailures = 0
	s.ejections++
	s.ejectedUntil = now.Add(min(BaseEjectionTime*time.Duration(s.ejections), MaxEjectionTime))
	s.slowStartBegin = s.ejectedUntil
	p.checkEjectedMinority(g, s, now)
}

// checkEjectedMinority checks that the ejected servers are a minority of the group.
func (p *Pool) checkEjectedMinority(g *group, s *server, now time.Time) {
	ejected := g.countEjected(now)
	if 2*ejected < len(g.servers) {
		return
	}
	p.reportViolation(MostEjected{
		Service: s.machine.Service,
		Region:  s.machine.Region,
		Ejected: ejected,
		Servers: len(g.servers),
	})
}
