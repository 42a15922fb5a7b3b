package placement

import (
	"math"
	"time"

	"trefoilline.example/trefoilline/meter"
	"trefoilline.example/trefoilline/objectstore"
)

// server is what this host believes of one backend server.
type server struct {
	objectstore.Machine
	// evacuated tells that its zone is to get nothing.
	evacuated bool
	// running is how many requests of this host it has.
	running int
	// others is how many requests of other hosts it had at the time reported.
	others   float64
	reported time.Time
	// busy is the recent mean of the load that the server told.
	busy float64
	// failures counts tries in a row that it did not answer.
	failures int
	// ejected is until when it gets nothing because it failed.
	ejected time.Time
	// ill is the recent part of its tries that failed, from 0 to 1.
	ill float64
	// coldUntil is until when it is cold.
	coldUntil time.Time
	// cold is what it may be sent meanwhile.
	cold meter.TokenBucket
}

// othersHalfLife is how fast the report of other hosts' requests loses its
// meaning.
const othersHalfLife = 600 * time.Millisecond

// load estimates how many requests the server has.
func (s *server) load(now time.Time) float64 {
	age := now.Sub(s.reported)
	if s.reported.IsZero() || age > 8*othersHalfLife {
		return float64(s.running)
	}
	return float64(s.running) + s.others*decay(age, othersHalfLife)
}

// busyWindow is over how long the mean of a server's load is taken.
const busyWindow = time.Second

// tell takes a load that the server told into the mean.
func (s *server) tell(load float64, now time.Time) {
	s.busy = s.busyAt(now)
	weight := 1.0
	if !s.reported.IsZero() {
		weight = 1 - math.Exp(-now.Sub(s.reported).Seconds()/busyWindow.Seconds())
	}
	s.busy += weight * (load - s.busy)
}

// busyAt is the recent mean of the server's load. What was told fades in favour of
// what this host has there.
func (s *server) busyAt(now time.Time) float64 {
	return float64(s.running) + (s.busy-float64(s.running))*decay(now.Sub(s.reported), 2*busyWindow)
}

// isUsable tells whether the server may get requests at all.
func (s *server) isUsable() bool {
	return s.State == objectstore.Live && !s.evacuated
}

// isWell tells whether the server is expected to answer.
func (s *server) isWell(now time.Time) bool {
	return !now.Before(s.ejected)
}

// isCold tells whether the server takes only a few requests.
func (s *server) isCold(now time.Time) bool {
	return now.Before(s.coldUntil)
}

// decay returns what is left of one after the age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
