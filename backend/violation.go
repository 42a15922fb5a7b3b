package backend

import "time"

// Violation is a broken invariant of the pool. There must be none.
type Violation interface{ violation() }

// OverSlots says that a server got more requests than its slots from this
// host alone.
type OverSlots struct {
	Server  string
	Running int
	Slots   int
}

// WorkWhileLeaving says that a leaving server got new work too late.
type WorkWhileLeaving struct {
	Server string
	// After is the time since this host knew of it.
	After time.Duration
}

// MostEjected says that at least half of a region's servers are ejected.
type MostEjected struct {
	Service string
	Region  string
	Ejected int
	Servers int
}

// NegativeRunning says that more requests ended than began.
type NegativeRunning struct {
	Server string
}

func (OverSlots) violation()        {}
func (WorkWhileLeaving) violation() {}
func (MostEjected) violation()      {}
func (NegativeRunning) violation()  {}
