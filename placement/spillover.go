package placement

import (
	"slices"
	"time"

	"trefoilline.example/trefoilline/meter"
)

// spilloverShiftFraction is the fraction of the largest shift for requests that run in another region
// than planned.
const spilloverShiftFraction = 0.25

// SetMaxShift sets the largest fraction of a region's requests that may change the region they run
// in from one 2 s window to the next; zero if there is no bound.
//
// With a bound, a request runs in the region that the plan gives its affinity key. It runs
// elsewhere if that region has no servers or none of them can be reached, or by an allowance
// that is a fraction of the requests of this host. Since each host keeps to its own allowance, so do
// all hosts of the region together.
func (p *Pool) SetMaxShift(fraction float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxShift = fraction
}

// spillover is the allowance of a service's requests to run in another region than planned. Half of
// the allowance is earned with each request that gets a server, and the other half is what may be
// saved, so that their sum holds for any window.
type spillover struct {
	requests meter.Rate
	tokens   float64
	// total counts the requests that ran in another region than planned.
	total int
}

// recordRequest adds what a request that got a server earns.
func (s *spillover) recordRequest(maxShift float64, now time.Time) {
	s.requests.TimeConstant = shiftWindow
	s.requests.Add(now)
	s.tokens = min(s.tokens+maxShift*spilloverShiftFraction/2, s.limit(maxShift, now))
}

// limit returns the largest number of tokens that may be saved.
func (s *spillover) limit(maxShift float64, now time.Time) float64 {
	return maxShift * spilloverShiftFraction / 2 * s.requests.PerSecond(now) * shiftWindow.Seconds()
}

// allows reports whether a request with the given hash fraction may run elsewhere. Of a host that
// has saved less than one token, that fraction of keys may, and the host is in debt afterwards.
// Hosts with few requests together so keep to the sum of their allowances, although none of them has
// a whole token.
func (s *spillover) allows(hashFraction, maxShift float64, now time.Time) bool {
	s.tokens = min(s.tokens, s.limit(maxShift, now))
	return s.tokens > hashFraction
}

// take records that a request runs elsewhere.
func (s *spillover) take() {
	s.tokens--
	s.total++
}

// recordSpillover records that a request got a server, in another region than planned if the last
// candidates were so.
func (p *Pool) recordSpillover(chosen *server, now time.Time) {
	if p.maxShift == 0 {
		return
	}
	svc := p.service(chosen.Service)
	svc.spillover.recordRequest(p.maxShift, now)
	if p.spilling == svc {
		svc.spillover.take()
	}
}

// SpilledRequests returns how many requests ran in another region than planned, by service.
func (p *Pool) SpilledRequests() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	totals := make(map[string]int)
	for name, svc := range p.services {
		if svc.spillover.total > 0 {
			totals[name] = svc.spillover.total
		}
	}
	return totals
}

// spilloverPrefix precedes the text that is hashed to find out which keys may run elsewhere first.
const spilloverPrefix = "spillover\x00"

// boundedCandidates returns the candidates of the region that the request is to run in. If none of
// its servers takes the request now, the others are candidates if the allowance permits it, if the
// region has failed, or if all servers of all regions are ejected.
func (p *Pool) boundedCandidates(svc *serviceState, request *Request, now time.Time) []*server {
	ranked := p.plannedRanking(svc, request)
	region, isPlanned := plannedRegion(ranked, request, now)
	if !isPlanned {
		return p.unboundedCandidates(svc, request, now)
	}
	if chosen := p.regionCandidates(svc, request, ranked, region, now); len(chosen) > 0 {
		return chosen
	}
	isAllowed := svc.spillover.allows(HashFraction(spilloverPrefix+request.hashKey()), p.maxShift, now)
	if !isAllowed && p.hasHealthy(svc, request, now) {
		p.chosen = p.chosen[:0]
		return p.chosen
	}
	chosen := p.unboundedCandidates(svc, request, now)
	if len(chosen) > 0 && chosen[0].Region != region {
		p.spilling = svc
	}
	return chosen
}

// hasHealthy reports whether the request may be sent to a server in any region that is not ejected.
func (p *Pool) hasHealthy(svc *serviceState, request *Request, now time.Time) bool {
	return slices.ContainsFunc(svc.servers, func(s *server) bool {
		return s.state(now) == accepting && request.allows(s)
	})
}

// plannedRanking returns the servers that the plan gives a request, the highest ranked first; without
// an affinity key, those of this region in any order.
func (p *Pool) plannedRanking(svc *serviceState, request *Request) []scoredServer {
	if request.AffinityKey == "" {
		return unranked(svc.servers, p.Region)
	}
	ranking := p.ranking(svc, request)
	if p.isHomeLocal(request.Route, ranking.homeFraction) {
		return ranking.local
	}
	return svc.remoteRanking(ranking)
}

// plannedRegion returns the region that the request is to run in: that of the highest ranked server,
// whether it takes the request now or not. It reports false if there is none, or if no
// server of the region can be reached.
func plannedRegion(ranked []scoredServer, request *Request, now time.Time) (string, bool) {
	region := ""
	for _, r := range ranked {
		s := r.server
		if !s.isUsable() || !request.allowsRegion(s.Region) || region != "" && s.Region != region {
			continue
		}
		if s.isReachable(now) {
			return s.Region, true
		}
		region = s.Region
	}
	return "", false
}

// unranked returns the servers of a region in any order.
func unranked(servers []*server, region string) []scoredServer {
	var own []scoredServer
	for _, s := range servers {
		if s.Region == region {
			own = append(own, scoredServer{server: s})
		}
	}
	return own
}

// isReachable reports whether the server can be reached as far as is known: it is not ejected, or it
// is for what its responses say.
func (s *server) isReachable(now time.Time) bool {
	return s.isHealthy(now) || s.consecutiveFailures == 0 && now.Sub(s.heardAt) <= unreachedTime
}

// regionCandidates returns the candidates among the servers of a region that take the request now.
func (p *Pool) regionCandidates(svc *serviceState, request *Request, ranked []scoredServer, region string, now time.Time) []*server {
	if request.AffinityKey == "" {
		p.chosen = p.chosen[:0]
		p.chooseLeastLoaded(filter(svc.servers, func(s *server) bool {
			return s.Region == region && s.state(now) == accepting && request.allows(s)
		}), now)
		return p.chosen
	}
	limit := p.candidateLimit(svc, region == p.Region, now)
	if p.chooseInRegion(ranked, request, region, limit, now) || len(ranked) < maxRanked {
		return p.chosen
	}
	// The ranking that is kept does not hold all servers of the region.
	p.chooseInRegion(rankServers(request.hashKey(), svc.servers), request, region, limit, now)
	return p.chosen
}

// chooseInRegion chooses the highest ranked servers of a region that take the request, and reports
// whether there are as many as wanted.
func (p *Pool) chooseInRegion(ranked []scoredServer, request *Request, region string, limit int, now time.Time) bool {
	p.chosen = p.chosen[:0]
	for _, r := range ranked {
		s := r.server
		if s.Region != region || s.state(now) != accepting || !request.allows(s) || !p.hasTokens(s, now) {
			continue
		}
		p.chosen = append(p.chosen, s)
		if len(p.chosen) == limit {
			return true
		}
	}
	return false
}

// timeUntilAccepting returns the time until a server of the region that the request is to run in is
// no longer ejected or paused, and otherwise the given wait, for servers that lack tokens.
func (p *Pool) timeUntilAccepting(svc *serviceState, request *Request, otherwise time.Duration, now time.Time) time.Duration {
	region, isPlanned := plannedRegion(p.plannedRanking(svc, request), request, now)
	if p.maxShift == 0 || !isPlanned {
		return otherwise
	}
	var first time.Time
	for _, s := range svc.servers {
		if s.Region != region || !s.isUsable() || !request.allows(s) {
			continue
		}
		until := later(s.ejectedUntil, s.pausedUntil)
		if !until.After(now) {
			return otherwise
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return otherwise
	}
	return first.Sub(now)
}
