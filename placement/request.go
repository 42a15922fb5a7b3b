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
	// Priority orders queued requests; zero is the most urgent.
	Priority int
	// QueueDeadline is the time until which the request may be queued.
	QueueDeadline time.Time
	// ExcludedServers are the names of the servers that the request was already sent
	// to.
	ExcludedServers []string
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

// hashKey returns the text that is hashed to find the servers of the affinity key.
func (r *Request) hashKey() string {
	return r.Route + "\x00" + r.AffinityKey
}
