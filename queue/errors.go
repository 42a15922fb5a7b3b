package queue

import (
	"fmt"
	"time"
)

// FullError reports that too many requests of the team wait already.
type FullError struct {
	Team string
	// Waiting is how many wait.
	Waiting int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("queue of team %q is full, %d requests wait", e.Team, e.Waiting)
}

// DeadlineError reports that the request cannot be answered by its deadline.
type DeadlineError struct {
	Team string
	// Wait is the expected time to the answer.
	Wait time.Duration
	// Left is the time to the deadline.
	Left time.Duration
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("request of team %q needs about %v and has %v left", e.Team, e.Wait, e.Left)
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
