package bufferproxy

import (
	"fmt"
	"time"

	"trefoilline.example/trefoilline/header"
)

// StartingError reports that this host is starting: it does not yet have the
// configuration, or does not yet know its share of each team's rate, which it computes
// from the other hosts' reports.
type StartingError struct{}

func (*StartingError) Error() string { return "this host is still starting" }

// DrainingError reports that this host is about to stop, so that the request might not
// end in time.
type DrainingError struct{}

func (*DrainingError) Error() string { return "this host is about to stop" }

// NoRouteError reports a request that matches no route.
type NoRouteError struct {
	Host string
	Path string
}

func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route for host %q and path %q", e.Host, e.Path)
}

// UnknownKeyError reports a request whose API key is missing or does not belong to a
// team. It does not contain the key, so that the key does not get into logs.
type UnknownKeyError struct{}

func (*UnknownKeyError) Error() string { return "the API key is missing or belongs to no team" }

// KeyInTargetError reports a request whose path or query has the API key of its team, which no backend server may get. It does
// not contain the key, so that the key does not get into logs.
type KeyInTargetError struct{}

func (*KeyInTargetError) Error() string { return "the path or the query has the API key" }

// RateLimitError reports a request that exceeds its team's rate.
type RateLimitError struct {
	Team string
	// RetryAfter is the time until the team may send another request.
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("team %q exceeds its rate; retry after %s", e.Team, e.RetryAfter)
}

// BodyError reports a request whose body could not be read.
type BodyError struct {
	Cause error
}

func (e *BodyError) Error() string { return "read the request's body: " + e.Cause.Error() }

func (e *BodyError) Unwrap() error { return e.Cause }

// MemoryError reports a request for whose body this host has no memory.
type MemoryError struct {
	// Cause is a [memorybudget.RefusedError], a [memorybudget.EvictedError], or the end of the request's context.
	Cause error
}

func (e *MemoryError) Error() string { return "the request's body: " + e.Cause.Error() }

func (e *MemoryError) Unwrap() error { return e.Cause }

// UploadsStalledError reports an upload that gets no slot on a backend server, since others of the same caller and team have stalled and occupy
// slots that other requests need.
type UploadsStalledError struct{}

func (*UploadsStalledError) Error() string {
	return "uploads of the same caller and team have stalled, and slots on backend servers are short"
}

// CrashingRequestError reports a request that is rejected because it has crashed
// backend servers.
type CrashingRequestError struct{}

func (*CrashingRequestError) Error() string { return "the request has crashed backend servers" }

// NotRunError reports that a backend server did not run the request.
type NotRunError struct {
	Server string
	Reason header.Reason
	// Cause is the error that kept the request from the server; nil if the server
	// itself refused the request.
	Cause error
}

func (e *NotRunError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("backend server %s did not run the request (%s): %v", e.Server, e.Reason, e.Cause)
	}
	return fmt.Sprintf("backend server %s refused the request: %s", e.Server, e.Reason)
}

func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that a backend server may have run the request.
type UnknownOutcomeError struct {
	Server string
	Reason header.Reason
	Cause  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("backend server %s may have run the request (%s): %v", e.Server, e.Reason, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// MissingCompleteMarkerError reports a response with a 2xx status that lacks the header
// [header.Dialect.CompleteMarker].
type MissingCompleteMarkerError struct{}

func (*MissingCompleteMarkerError) Error() string { return "the response is not marked as complete" }

// ConnectionClosedError reports that the connection of a request was closed before a backend server was sought for it.
type ConnectionClosedError struct{}

func (*ConnectionClosedError) Error() string { return "the caller's connection was closed" }
