package backend

// RecordProbe takes a probe. A probe older than the last one, or of a server that
// is not listed, is ignored. A failed probe changes no state: the server keeps
// what was decided.
func (p *Pool) RecordProbe(probe Probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[probe.Server]
	if s == nil || probe.Failed || probe.SentAt.Before(s.probe.SentAt) {
		return
	}
	now := p.now()
	if now.Sub(probe.SentAt) > MaxProbeAge {
		return
	}
	s.probe = probe
	s.probedLeaving = probe.Draining
	s.updateLeaving(now)
	g := p.groups[place{s.machine.Service, s.machine.Region}]
	g.probed(s, now)
}
