package queue

import "time"

// Violation is a broken invariant of the queue. There must be none.
type Violation interface{ violation() }

// LateGrant says that a request was granted after its deadline.
type LateGrant struct {
	Team     string
	Lateness time.Duration
}

// TeamQueueOverLimit says that more requests of a team wait than may.
type TeamQueueOverLimit struct {
	Team   string
	Queued int
	Limit  int
}

// UnfairGrant says that a team was served before one that had used less for
// its weight.
type UnfairGrant struct {
	Team       string
	PassedOver string
}

func (LateGrant) violation()          {}
func (TeamQueueOverLimit) violation() {}
func (UnfairGrant) violation()        {}
