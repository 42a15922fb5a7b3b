package queue

import "time"

// Violation is a broken invariant of the queue. There must be none.
type Violation interface{ violation() }

// LateGrant says that a request was granted after its deadline.
type LateGrant struct {
	Team string
	By   time.Duration
}

// OverBound says that more requests of a team wait than may.
type OverBound struct {
	Team    string
	Waiting int
	Bound   int
}

// UnfairGrant says that a team was served before one that had used less for
// its weight.
type UnfairGrant struct {
	Team   string
	Before string
}

func (LateGrant) violation()   {}
func (OverBound) violation()   {}
func (UnfairGrant) violation() {}
