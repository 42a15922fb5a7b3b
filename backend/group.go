package backend

import (
	"cmp"
	"slices"
	"time"
)

// group is the servers of one service in one region.
type group struct {
	servers []*server
	// homes are the servers with slots that are at home on this host.
	homes   []*server
	running int
	// failures counts failed requests since the last answered one.
	failures int
	// failed has the servers that these failures came from.
	failed map[string]bool
	// lostSince is when the region was lost; zero if it is not.
	lostSince time.Time
	// answered has the servers whose probes were answered since the loss.
	answered map[string]bool
}

// sort orders the servers by name, so that a seeded run repeats.
func (g *group) sort() {
	slices.SortFunc(g.servers, func(a, b *server) int {
		return cmp.Compare(a.machine.Name, b.machine.Name)
	})
}

// setHomes deals the slots of the servers, in order, to the hosts in turn.
func (g *group) setHomes(host, hosts int) {
	g.homes = nil
	next := 0
	for _, s := range g.servers {
		s.home = 0
		for range s.machine.Slots {
			if hosts > 0 && next%hosts == host {
				s.home++
			}
			next++
		}
		if s.home > 0 {
			g.homes = append(g.homes, s)
		}
	}
}

// accepting counts the servers that are not leaving.
func (g *group) accepting() int {
	count := 0
	for _, s := range g.servers {
		if s.leavingSince.IsZero() {
			count++
		}
	}
	return count
}

// ejected counts the servers that are ejected at the time.
func (g *group) ejected(now time.Time) int {
	count := 0
	for _, s := range g.servers {
		if s.state(now) == Ejected {
			count++
		}
	}
	return count
}

// fail notes a failed request and reports whether the region is now lost.
func (g *group) fail(s *server, now time.Time) {
	if g.failed == nil {
		g.failed = make(map[string]bool)
	}
	g.failures++
	g.failed[s.machine.Name] = true
	enough := min(lossServers, g.accepting())
	if g.failures < lossFailures || len(g.failed) < enough || !g.lostSince.IsZero() {
		return
	}
	g.lostSince = now
	g.answered = make(map[string]bool)
}

// succeed notes an answered request, which ends a loss.
func (g *group) succeed() {
	g.failures = 0
	clear(g.failed)
	g.lostSince = time.Time{}
}

// probed notes an answered probe. A loss ends when most servers answer again
// and the least time of a loss is over.
func (g *group) probed(s *server, now time.Time) {
	if g.lostSince.IsZero() {
		return
	}
	g.answered[s.machine.Name] = true
	if now.Sub(g.lostSince) < MinRegionLostTime || 2*len(g.answered) <= g.accepting() {
		return
	}
	g.succeed()
}
