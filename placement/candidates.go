package placement

import (
	"time"
)

// candidates returns the servers that the request may be sent to now, in order of
// preference: the highest ranked servers for its affinity key. A server for which this
// host has no token, because it is cold or names a limit, is skipped in favour of the next in
// the ranking. If every
// eligible server is ejected, ejected servers are used rather than none. A request
// without an affinity key gets the least loaded server only.
//
// The result is valid until the next call.
func (p *Pool) candidates(svc *serviceState, request *Request, now time.Time) []*server {
	p.spilling = nil
	if p.maxShift > 0 {
		return p.boundedCandidates(svc, request, now)
	}
	return p.unboundedCandidates(svc, request, now)
}

// unboundedCandidates returns the candidates without a bound on the requests that change their
// region.
func (p *Pool) unboundedCandidates(svc *serviceState, request *Request, now time.Time) []*server {
	if request.AffinityKey == "" {
		return p.keylessCandidates(svc, request, now)
	}
	if chosen, isComplete := p.rankedCandidates(svc, request, now); isComplete {
		return chosen
	}
	return p.searchCandidates(svc, request, now)
}

// rankedCandidates returns the candidates if they are among the servers that the ranking of
// the request's affinity key keeps. It reports false if they may not be.
func (p *Pool) rankedCandidates(svc *serviceState, request *Request, now time.Time) ([]*server, bool) {
	ranking := p.ranking(svc, request)
	isLocal := p.isHomeLocal(request.Route, ranking.homeFraction)
	ranked := ranking.local
	if !isLocal {
		ranked = svc.remoteRanking(ranking)
	}
	limit := p.candidateLimit(svc, isLocal, now)
	hasHealthy := false
	p.chosen = p.chosen[:0]
	for _, r := range ranked {
		s := r.server
		if s.state(now) != accepting || !request.allows(s) {
			continue
		}
		hasHealthy = true
		if !p.hasTokens(s, now) {
			continue
		}
		p.chosen = append(p.chosen, s)
		if len(p.chosen) == limit {
			return p.chosen, true
		}
	}
	holdsAllServers := len(ranked) < maxRanked
	return p.chosen, holdsAllServers && hasHealthy
}

// searchCandidates returns the candidates among all servers of the service.
func (p *Pool) searchCandidates(svc *serviceState, request *Request, now time.Time) []*server {
	servers := p.healthyOrAll(p.eligible(svc, request, now), now)
	if len(servers) == 0 {
		return nil
	}
	servers = p.filterByRegion(servers, request)
	isLocal := servers[0].Region == p.Region
	limit := p.candidateLimit(svc, isLocal, now)
	ranked := rankServers(request.hashKey(), servers)
	if !isLocal {
		svc.rankByDestination(ranked)
	}
	p.chosen = p.chosen[:0]
	for _, r := range ranked {
		if len(p.chosen) == limit {
			break
		}
		if !p.hasTokens(r.server, now) {
			continue
		}
		p.chosen = append(p.chosen, r.server)
	}
	return p.chosen
}

// hasTokens reports whether this host may send a request to the server now, as far as the rate
// goes that a cold server accepts and the limit that the server names.
func (p *Pool) hasTokens(s *server, now time.Time) bool {
	return (!s.isCold(now) || p.hasColdToken(s, now)) && p.hasLimitToken(s, now)
}

// takeTokens takes the tokens for a request to the server. It reports false if this host lacks
// one of them.
func (p *Pool) takeTokens(s *server, now time.Time) bool {
	if !p.hasLimitToken(s, now) || s.isCold(now) && !p.takeColdToken(s, now) {
		return false
	}
	s.takeLimitToken(now)
	return true
}

// keylessCandidates returns the least loaded server, as a list of one, for a request without
// an affinity key. Servers for which this host has no
// token are left out.
func (p *Pool) keylessCandidates(svc *serviceState, request *Request, now time.Time) []*server {
	servers := p.healthyOrAll(p.eligible(svc, request, now), now)
	if len(servers) == 0 {
		return nil
	}
	p.chosen = p.chosen[:0]
	p.chooseLeastLoaded(p.filterByRegion(servers, request), now)
	return p.chosen
}

// chooseLeastLoaded chooses the least loaded server for which this host has tokens.
func (p *Pool) chooseLeastLoaded(servers []*server, now time.Time) {
	for _, s := range servers {
		if !p.hasTokens(s, now) {
			continue
		}
		switch {
		case len(p.chosen) == 0:
			p.chosen = append(p.chosen, s)
		case s.load(now)/float64(s.Slots) < p.chosen[0].load(now)/float64(p.chosen[0].Slots):
			p.chosen[0] = s
		}
	}
}

// eligible returns the service's servers that the request may be sent to, whether ejected or not.
func (p *Pool) eligible(svc *serviceState, request *Request, now time.Time) []*server {
	return filter(svc.servers, func(s *server) bool { return s.state(now) <= ejected && request.allows(s) })
}

// healthyOrAll returns the servers that are not ejected, or all of them if there is none.
func (p *Pool) healthyOrAll(servers []*server, now time.Time) []*server {
	healthy := filter(servers, func(s *server) bool { return s.isHealthy(now) })
	if len(healthy) > 0 {
		return healthy
	}
	return servers
}

// filterByRegion returns the servers of this region if the request is to be served
// locally, else those of the other regions. If one of the two sets is empty, it
// returns the other.
func (p *Pool) filterByRegion(servers []*server, request *Request) []*server {
	local := filter(servers, func(s *server) bool { return s.Region == p.Region })
	remote := filter(servers, func(s *server) bool { return s.Region != p.Region })
	if len(local) == 0 || len(remote) > 0 && !p.isKeyLocal(request) {
		return remote
	}
	return local
}

// homePrefix precedes the text that is hashed to find out whether an affinity key is served
// in this region.
const homePrefix = "home\x00"

// isKeyLocal reports whether the request's affinity key is served in this region.
// Requests without a key always are.
func (p *Pool) isKeyLocal(request *Request) bool {
	if request.AffinityKey == "" {
		return true
	}
	return p.isHomeLocal(request.Route, HashFraction(homePrefix+request.hashKey()))
}

// isHomeLocal reports whether this region serves the keys of a route that hash to the given
// fraction.
func (p *Pool) isHomeLocal(route string, fraction float64) bool {
	share, isSet := p.localShares[route]
	return !isSet || fraction < share
}

func filter(servers []*server, include func(*server) bool) []*server {
	var included []*server
	for _, s := range servers {
		if include(s) {
			included = append(included, s)
		}
	}
	return included
}

// reserveServer selects the first candidate with a free slot, or else the least loaded
// one whose queue has room, and counts a request on it. It returns nil if none has room.
func (p *Pool) reserveServer(candidates []*server, now time.Time) *server {
	var best *server
	bestLoad := 0.0
	for _, s := range candidates {
		load := s.load(now)
		if float64(s.Slots+p.serverQueueLimit())-load < 1 {
			continue
		}
		if load < float64(s.Slots) {
			best = s
			break
		}
		if best == nil || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	if best == nil {
		return nil
	}
	if !p.takeTokens(best, now) {
		return nil
	}
	p.recordSpillover(best, now)
	best.inFlight++
	p.contact.recordSent(best, now)
	return best
}
