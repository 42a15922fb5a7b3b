package backend

import "time"

// Violation is a violated invariant of the pool; any is a bug in this package. The
// daemon logs the names of its type and fields.
type Violation interface{ violation() }

// OverSlots reports that this host alone runs more requests on a server than the server
// has slots.
type OverSlots struct {
	Server  string
	Running int
	Slots   int
}

// WorkWhileLeaving reports that a draining server got a new request after the
// [DrainGracePeriod].
type WorkWhileLeaving struct {
	Server string
	// After is the time since this host learned that the server is draining.
	After time.Duration
}

// MostEjected reports that at least half of the servers of a service in a region are
// ejected.
type MostEjected struct {
	Service string
	Region  string
	Ejected int
	Servers int
}

// NegativeRunning reports that more requests ended on a server than began.
type NegativeRunning struct {
	Server string
}

func (OverSlots) violation()        {}
func (WorkWhileLeaving) violation() {}
func (MostEjected) violation()      {}
func (NegativeRunning) violation()  {}
