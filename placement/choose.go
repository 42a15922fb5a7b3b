package placement

import (
	"time"
)

// candidates returns the places of a request, the best first: servers that may
// serve it and are expected to answer. It returns none if there is no server at
// all.
func (p *Pool) candidates(g *group, w *Request, now time.Time) []*server {
	usable := p.usable(g, w)
	if len(usable) == 0 {
		return nil
	}
	well := keep(usable, func(s *server) bool { return s.isWell(now) })
	if len(well) > 0 {
		usable = well
	}
	usable = p.inPlace(usable, w)
	if w.AffinityKey == "" {
		return leastLoaded(usable, now)
	}
	var chosen []*server
	places := p.placesAmong(usable, now)
	for _, r := range rank(w.object(), usable) {
		if len(chosen) == places {
			break
		}
		if r.server.isCold(now) && !p.mayWarm(r.server, now) {
			continue
		}
		chosen = append(chosen, r.server)
	}
	return chosen
}

// full is the mean load of servers relative to their slots from which each object
// keeps to one place.
const full = 0.6

// placesAmong is how many places an object has among the servers. While they are
// full, mostly with work on cold objects, a request that moves on to its second
// place finds it cold too, and takes a slot there for three times as long: then
// each object keeps to one place, which warms up soonest.
//
// It answers the start of a day, a restart of all, and any trouble in which the
// servers lose what they remember.
func (p *Pool) placesAmong(servers []*server, now time.Time) int {
	load, slots := 0.0, 0.0
	for _, s := range servers {
		load += s.busyAt(now)
		slots += float64(s.Slots)
	}
	if load > full*slots {
		return 1
	}
	return p.places()
}

// usable returns the servers that the request may go to.
func (p *Pool) usable(g *group, w *Request) []*server {
	return keep(g.servers, func(s *server) bool { return s.isUsable() && w.allows(s) })
}

// inPlace returns the servers of the request's region: this one for most objects,
// the others for the part that has no room here.
func (p *Pool) inPlace(usable []*server, w *Request) []*server {
	home := keep(usable, func(s *server) bool { return s.Region == p.Region })
	away := keep(usable, func(s *server) bool { return s.Region != p.Region })
	if len(home) == 0 || len(away) > 0 && !p.staysHome(w) {
		return away
	}
	return home
}

// staysHome tells whether the request's object has its places in this region.
func (p *Pool) staysHome(w *Request) bool {
	share, isSet := p.homes[w.Route]
	if !isSet || w.AffinityKey == "" {
		return true
	}
	return HashFraction("home\x00"+w.object()) < share
}

func keep(servers []*server, isKept func(*server) bool) []*server {
	var kept []*server
	for _, s := range servers {
		if isKept(s) {
			kept = append(kept, s)
		}
	}
	return kept
}

// leastLoaded returns the server with the least part of its slots in use.
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

// choose takes a place for the request if one has room.
func (p *Pool) choose(candidates []*server, now time.Time) *server {
	var best *server
	for _, s := range candidates {
		room := float64(s.Slots+p.excess()) - s.load(now)
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
	if best.isCold(now) && !p.warm(best, now) {
		return nil
	}
	best.running++
	return best
}
