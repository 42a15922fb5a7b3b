package placement

import (
	"fmt"
	"time"
)

// NoServerError reports that a service has no backend server that the request
// may go to.
type NoServerError struct {
	Service string
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("service %q has no backend server for the request", e.Service)
}

// BusyError reports that the places of a request have no room in time.
type BusyError struct {
	Service string
	// Waited is how long the request waited here.
	Waited time.Duration
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("service %q has no room; waited %s, room is expected in %s", e.Service, e.Waited, e.RetryAfter)
}

// CancelledError reports that the caller left, or its time ended, while the request
// waited.
type CancelledError struct {
	Cause error
}

func (e *CancelledError) Error() string {
	return "the request ended while it waited: " + e.Cause.Error()
}

func (e *CancelledError) Unwrap() error { return e.Cause }
