package placement

import (
	"slices"
	"time"

	"trefoilline.example/trefoilline/routing"
)

// Request is what a request needs of a backend server.
type Request struct {
	Service string
	// Route is the kind of request.
	Route string
	// AffinityKey names what the request is about; empty if nothing is known of it.
	AffinityKey string
	// AllowedRegions are lists of regions that must each allow the server's; none in a
	// list means all.
	AllowedRegions [][]string
	// Priority orders requests that wait; zero is the most urgent.
	Priority int
	// WaitDeadline is until when waiting is of use.
	WaitDeadline time.Time
	// ExcludedServers names the servers that the request has met.
	ExcludedServers []string
}

// allows tells whether the request may go to the server.
func (w *Request) allows(s *server) bool {
	for _, regions := range w.AllowedRegions {
		if !routing.AllowsRegion(regions, s.Region) {
			return false
		}
	}
	return !slices.Contains(w.ExcludedServers, s.Name)
}

// object is what the request's places are found by.
func (w *Request) object() string {
	return w.Route + "\x00" + w.AffinityKey
}
