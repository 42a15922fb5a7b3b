package backend

import "time"

// Release ends a reservation and takes its outcome as evidence. Ending it again
// does nothing.
func (p *Pool) Release(r *Reservation, outcome Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	now := p.now()
	s := r.server
	s.running--
	if s.running < 0 {
		p.report(NegativeRunning{
			Server: r.Server,
		})
	}
	p.release(r.Service, r.Region)
	g := p.groups[place{r.Service, r.Region}]
	if g == nil {
		return
	}
	g.running--
	if s.gone {
		return
	}
	p.learn(g, s, outcome, now)
}

// learn takes the outcome as evidence on the server and its region.
func (p *Pool) learn(g *group, s *server, outcome Outcome, now time.Time) {
	switch o := outcome.(type) {
	case Responded:
		s.failures = 0
		s.ejections = 0
		g.succeed()
	case Rejected:
		g.succeed()
		if o.Draining {
			s.probedLeaving = true
			s.updateLeaving(now)
		}
	case Failed:
		s.failures++
		g.fail(s, now)
		p.eject(g, s, now)
	case Inconclusive:
	}
}

// eject takes the server out for a while if it failed often enough and the
// ejected stay a minority of the region.
func (p *Pool) eject(g *group, s *server, now time.Time) {
	if s.failures < ejectFailures || s.state(now) == Ejected {
		return
	}
	if 2*(g.ejected(now)+1) >= len(g.servers) {
		return
	}
	s.failures = 0
	s.ejections++
	s.ejectedUntil = now.Add(min(BaseEjectionTime*time.Duration(s.ejections), MaxEjectionTime))
	s.since = s.ejectedUntil
	p.checkEjected(g, s, now)
}

// checkEjected asserts that the ejected are a minority.
func (p *Pool) checkEjected(g *group, s *server, now time.Time) {
	ejected := g.ejected(now)
	if 2*ejected < len(g.servers) {
		return
	}
	p.report(MostEjected{
		Service: s.machine.Service,
		Region:  s.machine.Region,
		Ejected: ejected,
		Servers: len(g.servers),
	})
}
