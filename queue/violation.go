package queue

import "time"

// Violation is a violated invariant of the queue; any is a bug in this package.
type Violation interface{ violation() }

// LateGrant reports that a request was granted after its deadline.
type LateGrant struct {
	Team     string
	Lateness time.Duration
}

// TeamQueueOverLimit reports that more requests of a team are queued than the limit
// allows.
type TeamQueueOverLimit struct {
	Team   string
	Queued int
	Limit  int
}

// UnfairGrant reports that a team got a grant although another waiting team,
// PassedOver, had used less in proportion to its weight.
type UnfairGrant struct {
	Team       string
	PassedOver string
}

func (LateGrant) violation()          {}
func (TeamQueueOverLimit) violation() {}
func (UnfairGrant) violation()        {}
