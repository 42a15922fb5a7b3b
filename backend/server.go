package backend

import (
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// State says whether a server may get new work.
type State string

// The states of a server.
const (
	Live      State = "live"
	SlowStart State = "warming"
	Ejected   State = "ejected"
	Draining  State = "leaving"
)

// server is a backend server and what this host knows of it.
type server struct {
	machine objectstore.Machine
	// since is when the server began to warm; zero if it is warm.
	since time.Time
	// leavingSince is when this host learned that the server leaves.
	leavingSince time.Time
	// ejectedUntil is when the ejection ends; zero if there is none.
	ejectedUntil time.Time
	ejections    int
	failures     int
	running      int
	// home is how many of its slots are at home on this host.
	home          int
	probe         Probe
	listedLeaving bool
	probedLeaving bool
	gone          bool
}

// state returns the server's state at the time.
func (s *server) state(now time.Time) State {
	if !s.leavingSince.IsZero() || s.gone {
		return Draining
	}
	if now.Before(s.ejectedUntil) {
		return Ejected
	}
	if s.warmth(now) < 1 {
		return SlowStart
	}
	return Live
}

// warmth returns the part of its slots that the server may get, up to 1.
func (s *server) warmth(now time.Time) float64 {
	if s.since.IsZero() {
		return 1
	}
	part := float64(now.Sub(s.since)) / float64(SlowStartTime)
	return min(max(part, 0), 1)
}

// slots returns how many requests this host may run on the server now.
func (s *server) slots(now time.Time) int {
	warm := s.warmth(now)
	if warm >= 1 {
		return s.machine.Slots
	}
	return max(1, int(warm*float64(s.machine.Slots)))
}

// open reports whether the server takes one more request from this host.
func (s *server) open(now time.Time) bool {
	state := s.state(now)
	if state != Live && state != SlowStart {
		return false
	}
	return s.running < s.slots(now)
}

// load returns the requests that run from this host as a part of the slots.
// Reported load has no part in it: it is older than most requests last, and
// hosts that follow the same report meet on the same server.
func (s *server) load(now time.Time) float64 {
	return float64(s.running) / float64(s.slots(now))
}

// updateLeaving keeps the time since which the server is known to leave.
func (s *server) updateLeaving(now time.Time) {
	if !s.listedLeaving && !s.probedLeaving {
		s.leavingSince = time.Time{}
		return
	}
	if s.leavingSince.IsZero() {
		s.leavingSince = now
	}
}
