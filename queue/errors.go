package queue

import (
	"fmt"
	"time"
)

// FullError reports that too many requests of the team wait already.
type TeamQueueFullError struct {
	Team string
	// Queued is how many wait.
	Queued int
}

func (e *TeamQueueFullError) Error() string {
	return fmt.Sprintf("queue of team %q is full, %d requests wait", e.Team, e.Queued)
}

// DeadlineError reports that the request cannot be answered by its deadline.
type DeadlineError struct {
	Team string
	// ExpectedTime is the expected time to the answer.
	ExpectedTime time.Duration
	// TimeLeft is the time to the deadline.
	TimeLeft time.Duration
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("request of team %q needs about %v and has %v left", e.Team, e.ExpectedTime, e.TimeLeft)
}

// CanceledError reports that the caller gave up while the request waited.
type CanceledError struct {
	Team  string
	Cause error
}

func (e *CanceledError) Error() string {
	return fmt.Sprintf("request of team %q was given up while it waited: %v", e.Team, e.Cause)
}

func (e *CanceledError) Unwrap() error { return e.Cause }
