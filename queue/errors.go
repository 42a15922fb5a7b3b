package queue

import (
	"fmt"
	"time"
)

// TeamQueueFullError reports that the queue of the team is full.
type TeamQueueFullError struct {
	Team string
	// Queued is the number of queued requests of the team.
	Queued int
}

func (e *TeamQueueFullError) Error() string {
	return fmt.Sprintf("queue of team %q is full: %d requests queued", e.Team, e.Queued)
}

// DeadlineError reports that the request cannot be answered by its deadline.
// Both durations are zero, also in the text, if the timer of the deadline ended
// the wait. TimeLeft may be negative.
type DeadlineError struct {
	Team string
	// ExpectedTime is the expected time until the response.
	ExpectedTime time.Duration
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("request of team %q needs about %v but its deadline is in %v", e.Team, e.ExpectedTime, e.TimeLeft)
}

// CanceledError reports that the request's context ended while it was queued.
type CanceledError struct {
	Team  string
	Cause error
}

func (e *CanceledError) Error() string {
	return fmt.Sprintf("request of team %q was canceled while queued: %v", e.Team, e.Cause)
}

func (e *CanceledError) Unwrap() error { return e.Cause }
