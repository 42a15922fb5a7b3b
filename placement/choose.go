package placement

import (
	"time"
)

// candidates returns the servers that the request may be sent to now, in order of
// preference: the highest ranked servers for its affinity key. A cold server for which
// this host has no token is skipped in favour of the next in the ranking. If every
// eligible server is ejected, ejected servers are used rather than none. A request
// without an affinity key gets the least loaded server only.
func (p *Pool) candidates(svc *serviceState, request *Request, now time.Time) []*server {
	servers := p.eligible(svc, request)
	if len(servers) == 0 {
		return nil
	}
	healthy := filter(servers, func(s *server) bool { return s.isHealthy(now) })
	if len(healthy) > 0 {
		servers = healthy
	}
	servers = p.filterByRegion(servers, request)
	if request.AffinityKey == "" {
		return leastLoaded(servers, now)
	}
	var chosen []*server
	limit := p.candidateLimit(servers, now)
	for _, r := range rankServers(request.hashKey(), servers) {
		if len(chosen) == limit {
			break
		}
		if r.server.isCold(now) && !p.hasColdToken(r.server, now) {
			continue
		}
		chosen = append(chosen, r.server)
	}
	return chosen
}

// singleServerUtilization is the mean utilization of the servers above which each
// affinity key uses one server only.
const singleServerUtilization = 0.6

// candidateLimit returns how many of the servers an affinity key may use: one if
// the servers are highly utilized, else the configured number.
//
// The caches of all servers may be empty at once: at the start of a day, after a restart
// of all servers, or after any fault in which they lose their caches. The servers then
// fill up with requests whose keys are not cached. If a request overflowed to the second
// server of its key, the key would not be cached there either, and the request would
// occupy a slot for three times as long. With one server for each key, the keys are
// cached soonest.
func (p *Pool) candidateLimit(servers []*server, now time.Time) int {
	load, slots := 0.0, 0.0
	for _, s := range servers {
		load += s.meanLoadAt(now)
		slots += float64(s.Slots)
	}
	if load > singleServerUtilization*slots {
		return 1
	}
	return p.serversPerKey()
}

// eligible returns the service's servers that accept requests and that the request
// may be sent to, whether healthy or not.
func (p *Pool) eligible(svc *serviceState, request *Request) []*server {
	return filter(svc.servers, func(s *server) bool { return s.isUsable() && request.allows(s) })
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

// isKeyLocal reports whether the request's affinity key is served in this region.
// Requests without a key always are.
func (p *Pool) isKeyLocal(request *Request) bool {
	share, isSet := p.localShares[request.Route]
	if !isSet || request.AffinityKey == "" {
		return true
	}
	return HashFraction("home\x00"+request.hashKey()) < share
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

// leastLoaded returns the server with the lowest load relative to its slots, as a
// list of one.
func leastLoaded(servers []*server, now time.Time) []*server {
	best := servers[0]
	for _, s := range servers[1:] {
		if s.load(now)/float64(s.Slots) < best.load(now)/float64(best.Slots) {
			best = s
		}
	}
	return []*server{
		best,
	}
}

// reserveServer selects the first candidate with a free slot, or else the least loaded
// one whose queue has room, and counts a request on it. It returns nil if none has room.
// It also returns nil, without trying the other candidates, if the selected server is
// cold and this host has no token for it.
func (p *Pool) reserveServer(candidates []*server, now time.Time) *server {
	var best *server
	for _, s := range candidates {
		room := float64(s.Slots+p.serverQueueLimit()) - s.load(now)
		if room < 1 {
			continue
		}
		if s.load(now) < float64(s.Slots) {
			best = s
			break
		}
		if best == nil || s.load(now) < best.load(now) {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	if best.isCold(now) && !p.takeColdToken(best, now) {
		return nil
	}
	best.inFlight++
	return best
}
