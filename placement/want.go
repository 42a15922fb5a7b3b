package placement

import (
	"slices"
	"time"

	"trefoilline.example/trefoilline/routing"
)

// Want is what a request needs of a backend server.
type Want struct {
	Service string
	// Route is the kind of request.
	Route string
	// Object names what the request is about; empty if nothing is known of it.
	Object string
	// Regions are lists of regions that must each allow the server's; none in a
	// list means all.
	Regions [][]string
	// Rank orders requests that wait; zero is the most urgent.
	Rank int
	// GiveUp is until when waiting is of use.
	GiveUp time.Time
	// Avoid names the servers that the request has met.
	Avoid []string
}

// allows tells whether the request may go to the server.
func (w *Want) allows(s *server) bool {
	for _, regions := range w.Regions {
		if !routing.Allows(regions, s.Region) {
			return false
		}
	}
	return !slices.Contains(w.Avoid, s.Name)
}

// object is what the request's places are found by.
func (w *Want) object() string {
	return w.Route + "\x00" + w.Object
}
