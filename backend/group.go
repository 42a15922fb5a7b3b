package backend

import (
	"cmp"
	"slices"
	"time"
)

// group holds the servers of one service in one region.
type group struct {
	servers []*server
	// serversWithAssignedSlots holds the servers with slots that are assigned to
	// this host.
	serversWithAssignedSlots []*server
	// running counts the requests that this host runs in the group.
	running int
	// consecutiveFailures counts the failed requests since the last success.
	consecutiveFailures int
	// failedServers holds the names of the servers on which these requests
	// failed.
	failedServers map[string]bool
	// lostSince is when the region was lost to the service; zero if it is not
	// lost.
	lostSince time.Time
	// respondedServers holds the names of the servers that have responded to
	// probes since lostSince.
	respondedServers map[string]bool
}

// sortByName sorts the servers by name, so that runs with the same random seed make
// the same choices.
func (g *group) sortByName() {
	slices.SortFunc(g.servers, func(a, b *server) int {
		return cmp.Compare(a.machine.Name, b.machine.Name)
	})
}

// assignSlots assigns the slots of the servers to the entry hosts in turn. The
// arguments are the index of this host and the number of hosts.
func (g *group) assignSlots(hostIndex, hostCount int) {
	g.serversWithAssignedSlots = nil
	next := 0
	for _, s := range g.servers {
		s.assignedSlots = 0
		for range s.machine.Slots {
			if hostCount > 0 && next%hostCount == hostIndex {
				s.assignedSlots++
			}
			next++
		}
		if s.assignedSlots > 0 {
			g.serversWithAssignedSlots = append(g.serversWithAssignedSlots, s)
		}
	}
}

// countAccepting returns the number of servers that are not draining.
func (g *group) countAccepting() int {
	count := 0
	for _, s := range g.servers {
		if s.drainingSince.IsZero() {
			count++
		}
	}
	return count
}

// countEjected returns the number of servers that are ejected at the time.
func (g *group) countEjected(now time.Time) int {
	count := 0
	for _, s := range g.servers {
		if s.state(now) == Ejected {
			count++
		}
	}
	return count
}

// recordFailure counts a failed request. The region is lost to the service after
// minLossFailures failures in a row, on at least minLossServers servers, or on
// all servers that are not draining if there are fewer.
func (g *group) recordFailure(s *server, now time.Time) {
	if g.failedServers == nil {
		g.failedServers = make(map[string]bool)
	}
	g.consecutiveFailures++
	g.failedServers[s.machine.Name] = true
	requiredServers := min(minLossServers, g.countAccepting())
	if g.consecutiveFailures < minLossFailures || len(g.failedServers) < requiredServers || !g.lostSince.IsZero() {
		return
	}
	g.lostSince = now
	g.respondedServers = make(map[string]bool)
}

// recordSuccess resets the failures; the region is no longer lost.
func (g *group) recordSuccess() {
	g.consecutiveFailures = 0
	clear(g.failedServers)
	g.lostSince = time.Time{}
}

// recordProbeResponse counts a probe response of a server. The region is no
// longer lost once most of the servers that are not draining have responded and
// MinRegionLostTime has passed.
func (g *group) recordProbeResponse(s *server, now time.Time) {
	if g.lostSince.IsZero() {
		return
	}
	g.respondedServers[s.machine.Name] = true
	if now.Sub(g.lostSince) < MinRegionLostTime || 2*len(g.respondedServers) <= g.countAccepting() {
		return
	}
	g.recordSuccess()
}
