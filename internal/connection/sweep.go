package connection

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
)

const (
	// sweepInterval is the time between two checks of all connections. Limits of time are exceeded by as much.
	sweepInterval = 250 * time.Millisecond
	// reportInterval is the time between two log lines about closed connections.
	reportInterval = 10 * time.Second
	// EvictedFraction is the part of the limit that is closed at once, one in so many, since each choice looks at all
	// connections.
	EvictedFraction = 32
	// maxCountedCallers is how many caller addresses are counted for a log line.
	maxCountedCallers = 64
	// fullPause is how long new connections are refused at once after none could be closed for one, since each attempt looks
	// at all connections.
	fullPause = 10 * time.Millisecond
)

// closures counts the connections that were closed because of the limits. It is guarded by Server.closuresMu.
type closures struct {
	counts   [reasonCount]int
	byCaller map[netip.Addr]int
}

// sweep checks all connections at intervals until the channel is closed.
func (s *Server) sweep(done <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	reportedAt := time.Now()
	for {
		select {
		case <-done:
			s.report()
			return
		case now := <-ticker.C:
			s.enforce(now)
			if now.Sub(reportedAt) >= reportInterval {
				reportedAt = now
				s.report()
			}
		}
	}
}

// enforce closes the connections that are slower than the limits allow, and those above the number that they allow.
func (s *Server) enforce(now time.Time) {
	limits := s.Limits()
	s.headerBytes.Store(int64(limits.MaxHeaderBytes))
	for _, c := range s.findSlow(now, limits) {
		if c.evict() {
			s.count(headerTooSlow, c.usage.caller)
		}
	}
	s.makeRoom(now, 0)
	s.lossesLogged.Store(0)
}

// findSlow returns the connections whose headers take too long, and ends those that are idle for too long.
func (s *Server) findSlow(now time.Time, limits Limits) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var slow []*conn
	for c := range s.conns {
		c.update(now)
		age := now.Sub(c.usage.progressAt)
		switch {
		case c.usage.phase == InHeader && limits.HeaderTimeout > 0 && age > limits.HeaderTimeout:
			slow = append(slow, c)
		case c.usage.phase == Idle && limits.IdleTimeout > 0 && age > limits.IdleTimeout:
			c.endIfSilent()
		}
	}
	if s.Metrics != nil {
		s.Metrics.SetGauge("connections/"+s.Name+"/open", int64(len(s.conns)))
	}
	return slow
}

// makeRoom closes connections so that as many new ones as stated may be open, and reports whether they may.
func (s *Server) makeRoom(now time.Time, added int) bool {
	limit := s.Limits().MaxConnections
	s.mu.Lock()
	open := len(s.conns)
	if limit <= 0 || open+added <= limit {
		s.mu.Unlock()
		return true
	}
	if now.Before(s.fullUntil) {
		s.mu.Unlock()
		return false
	}
	conns, candidates := s.candidates(now)
	s.mu.Unlock()
	excess := open + added - limit
	closedCount := 0
	for _, i := range SelectEvicted(now, candidates, max(excess, limit/EvictedFraction)) {
		if conns[i].evict() {
			closedCount++
			s.count(reason(candidates[i].Phase), candidates[i].Caller)
		}
	}
	if closedCount < excess {
		s.mu.Lock()
		s.fullUntil = now.Add(fullPause)
		s.mu.Unlock()
		return false
	}
	return true
}

// candidates returns all connections. The server's lock must be held.
func (s *Server) candidates(now time.Time) ([]*conn, []Candidate) {
	conns := make([]*conn, 0, len(s.conns))
	candidates := make([]Candidate, 0, len(s.conns))
	for c := range s.conns {
		c.update(now)
		p := c.usage.phase
		if (p == Closing || p == Idle) && c.unsentBytes() > 0 {
			// The caller is still reading its last answer.
			p = Serving
		}
		conns = append(conns, c)
		candidates = append(candidates, Candidate{
			Caller:     c.usage.caller,
			Phase:      p,
			ProgressAt: c.usage.progressAt,
		})
	}
	return conns, candidates
}

// count counts a connection that was closed because of the limits.
func (s *Server) count(why reason, caller netip.Addr) {
	if s.Metrics != nil {
		s.Metrics.IncrementCounter("connections/" + s.Name + "/" + reasonNames[why])
	}
	s.closuresMu.Lock()
	defer s.closuresMu.Unlock()
	s.closures.counts[why]++
	if s.closures.byCaller == nil {
		s.closures.byCaller = make(map[netip.Addr]int)
	}
	if _, isKnown := s.closures.byCaller[caller]; isKnown || len(s.closures.byCaller) < maxCountedCallers {
		s.closures.byCaller[caller]++
	}
}

// report logs the connections that were closed since the last report, if there were any.
func (s *Server) report() {
	s.closuresMu.Lock()
	c := s.closures
	s.closures = closures{}
	s.closuresMu.Unlock()
	if c.byCaller == nil {
		return
	}
	reasons := make(map[string]int)
	for why, n := range c.counts {
		if n > 0 {
			reasons[reasonNames[why]] = n
		}
	}
	var most netip.Addr
	for caller, n := range c.byCaller {
		if n > c.byCaller[most] {
			most = caller
		}
	}
	s.mu.Lock()
	open := len(s.conns)
	s.mu.Unlock()
	s.Log.Write(observe.ConnectionsLimited, zap.String("listener", s.Name), zap.Int("open", open),
		zap.Int("limit", s.Limits().MaxConnections), zap.Any("reasons", reasons),
		zap.String("caller", most.String()), zap.Int("of-caller", c.byCaller[most]))
}
