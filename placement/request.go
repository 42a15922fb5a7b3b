package placement

import (
	"slices"
	"time"

	"trefoilline.example/trefoilline/routing"
)

// Request holds the properties of a request that determine its backend server and its
// position in the queue.
type Request struct {
	Service string
	Route   string
	// AffinityKey names the object that the request is about. Requests with the same
	// key and route go to the same servers. It is empty if the request may go to any
	// server.
	AffinityKey string
	// AllowedRegions are lists of regions, for example the route's and the team's. The
	// region of the server must be in each of these lists, except that an empty list
	// allows all regions.
	AllowedRegions [][]string
	// Team is the team of the request. Queued requests of the same priority are ordered so that teams
	// share the slots of a service by their weights. Requests without a team count as one team.
	Team string
	// TeamWeight is the team's share of the slots relative to those of other teams. If it is zero, the
	// team has the mean weight of the others.
	TeamWeight float64
	// Priority orders queued requests; zero is the most urgent.
	Priority int
	// QueueDeadline is the time until which the request may be queued. A request that isn't expected
	// to get a reservation by then is rejected at once.
	QueueDeadline time.Time
	// Target is the time by which a response is in time. A queued request can be in time until its
	// slot time before Target, but at least until QueueDeadline, and may be queued until then.
	Target time.Time
	// LateDeadline is the time by which the caller wants a late response; zero if it wants none. A
	// queued request that can't be in time any more stays queued, behind those that can, until its slot
	// time before LateDeadline.
	LateDeadline time.Time
	// ExcludedServers are the names of the servers that the request was already sent
	// to.
	ExcludedServers []string

	// isReturn is true if the request takes the place of one that was told to return by now.
	isReturn bool
}

// allows reports whether the request may be sent to the server.
func (r *Request) allows(s *server) bool {
	return r.allowsRegion(s.Region) && !slices.Contains(r.ExcludedServers, s.Name)
}

// allowsRegion reports whether the request may run in the region.
func (r *Request) allowsRegion(region string) bool {
	for _, regions := range r.AllowedRegions {
		if !routing.AllowsRegion(regions, region) {
			return false
		}
	}
	return true
}

// rank returns the rank at which the request is queued.
func (r *Request) rank() queueRank {
	return queueRank{
		priority: r.Priority,
	}
}

// hashKey returns the text that is hashed to find the servers of the affinity key.
func (r *Request) hashKey() string {
	return r.Route + "\x00" + r.AffinityKey
}
