package placement

import (
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// serverState is what keeps a server from getting requests of this host. Of several states the
// strictest holds, and none ends another. The order is from the mildest to the strictest.
type serverState int

const (
	// accepting servers get requests. If they are cold or name a limit, each request needs a token
	// of each of the two as well.
	accepting serverState = iota
	// ejected servers have failed. They get requests only if the request may go to no other one.
	// The state ends after a time, or when links that had failed are back.
	ejected
	// paused servers asked this host for a pause, and get nothing until its end.
	paused
	// evacuated servers are in a zone that operators have emptied, until they take it back.
	evacuated
	// leaving servers said in a response that they leave. The state lasts until the server starts
	// again, whatever the store and other hosts say.
	leaving
	// draining servers are not ready in the store's list. Those that are not listed are unknown.
	draining
)

// state returns the strictest state of the server.
func (s *server) state(now time.Time) serverState {
	switch {
	case s.State != objectstore.Live:
		return draining
	case s.isLeaving:
		return leaving
	case s.evacuated:
		return evacuated
	case now.Before(s.pausedUntil):
		return paused
	case now.Before(s.ejectedUntil):
		return ejected
	}
	return accepting
}

// isUsable reports whether the server accepts requests now or, if it is ejected or paused, soon.
func (s *server) isUsable() bool {
	return s.State == objectstore.Live && !s.evacuated && !s.isLeaving
}
