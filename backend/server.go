package backend

import (
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// State tells whether a server may get new requests.
type State string

// The states of a server.
const (
	// Live: the server may use all its slots.
	Live State = "live"
	// SlowStart: the server may use a growing part of its slots.
	SlowStart State = "warming"
	// Ejected: the server gets no requests for a time, because requests failed.
	Ejected State = "ejected"
	// Draining: the server is draining or no longer listed, and gets no new requests.
	Draining State = "leaving"
)

// server is a backend server and what this host knows of it.
type server struct {
	machine objectstore.Machine
	// slowStartBegin is when the slow start begins; zero if the server needs
	// none. While the server is ejected, it is the end of the ejection.
	slowStartBegin time.Time
	// drainingSince is when this host learned that the server is draining; zero if it
	// is not.
	drainingSince time.Time
	// ejectedUntil is when the ejection ends; zero if there is none.
	ejectedUntil        time.Time
	ejections           int
	consecutiveFailures int
	// running counts the requests that this host runs on the server.
	running int
	// assignedSlots is how many of the server's slots are assigned to this host.
	assignedSlots int
	probe         Probe
	// listedDraining reports that the machine list has the server as draining;
	// reportedDraining, that the server itself last said so.
	listedDraining   bool
	reportedDraining bool
	// removed reports that the server is no longer listed or has a new address.
	removed bool
}

// state returns the server's state at the time.
func (s *server) state(now time.Time) State {
	if !s.drainingSince.IsZero() || s.removed {
		return Draining
	}
	if now.Before(s.ejectedUntil) {
		return Ejected
	}
	if s.slowStartFraction(now) < 1 {
		return SlowStart
	}
	return Live
}

// slowStartFraction returns the fraction of its slots, from 0 to 1, that the
// server may use during its slow start.
func (s *server) slowStartFraction(now time.Time) float64 {
	if s.slowStartBegin.IsZero() {
		return 1
	}
	fraction := float64(now.Sub(s.slowStartBegin)) / float64(SlowStartTime)
	return min(max(fraction, 0), 1)
}

// usableSlots returns how many requests this host may run on the server now.
func (s *server) usableSlots(now time.Time) int {
	fraction := s.slowStartFraction(now)
	if fraction >= 1 {
		return s.machine.Slots
	}
	return max(1, int(fraction*float64(s.machine.Slots)))
}

// canTakeRequest reports whether the server can take one more request from this host.
func (s *server) canTakeRequest(now time.Time) bool {
	state := s.state(now)
	if state != Live && state != SlowStart {
		return false
	}
	return s.running < s.usableSlots(now)
}

// load returns the ratio of the requests that this host runs on the server to
// its usable slots. Load reported by servers is not used: by the time a report
// arrives, most of the requests that it counts have ended, and hosts that follow
// the same report send their requests to the same server.
func (s *server) load(now time.Time) float64 {
	return float64(s.running) / float64(s.usableSlots(now))
}

// updateDraining sets or clears drainingSince by the machine list and by what the server
// reported.
func (s *server) updateDraining(now time.Time) {
	if !s.listedDraining && !s.reportedDraining {
		s.drainingSince = time.Time{}
		return
	}
	if s.drainingSince.IsZero() {
		s.drainingSince = now
	}
}
