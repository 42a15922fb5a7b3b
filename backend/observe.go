package backend

// RecordProbe records the result of a probe. It ignores probes older than the last one
// of the server or than [MaxProbeAge], and probes of servers that are not listed. A
// failed probe changes nothing: the server keeps its state.
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
	s.reportedDraining = probe.Draining
	s.updateDraining(now)
	g := p.groups[serviceRegion{s.machine.Service, s.machine.Region}]
	g.recordProbeResponse(s, now)
}
