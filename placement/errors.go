package placement

import (
	"fmt"
	"time"
)

// NoServerError reports that a service has no backend server that accepts requests
// and that the request is allowed to use.
type NoServerError struct {
	Service string
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("service %q has no backend server for the request", e.Service)
}

// BusyError reports that none of the backend servers for the request's affinity key
// has room before the queue deadline, or that all servers are paused.
type BusyError struct {
	Service string
	// QueueTime is how long the request was queued on this host; zero if it was
	// rejected at once.
	QueueTime time.Duration
	// RetryAfter is the time after which the request is expected to be admitted, with jitter. If the
	// request was queued, it is at least QueueTime.
	RetryAfter time.Duration
	// IsReturn is true if the request counted as one that returned when it was told to.
	IsReturn bool
	// IsPaused is true if all servers for the request asked for a pause, whose end is not sooner.
	IsPaused bool
}

func (e *BusyError) Error() string {
	if e.IsPaused {
		return fmt.Sprintf("all backend servers of service %q asked for a pause; it ends in %s", e.Service, e.RetryAfter)
	}
	return fmt.Sprintf("backend servers of service %q are full; waited %s, room is expected in %s", e.Service, e.QueueTime, e.RetryAfter)
}

// CancelledError reports that the request's context ended while the request was queued,
// for example because the caller closed its connection or cancelled the request.
type CancelledError struct {
	Cause error
}

func (e *CancelledError) Error() string {
	return "the request was cancelled while it was queued: " + e.Cause.Error()
}

func (e *CancelledError) Unwrap() error { return e.Cause }
