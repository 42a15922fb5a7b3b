package intake

import (
	"fmt"
	"time"

	"trefoilline.example/trefoilline/header"
)

// StartingError reports that this host does not know yet what it needs: the
// configuration, and the other hosts with which it shares the teams' rates.
type StartingError struct{}

func (*StartingError) Error() string { return "this host is starting" }

// DrainingError reports that this host stops too soon for the request.
type DrainingError struct{}

func (*DrainingError) Error() string { return "this host is about to stop" }

// NoRouteError reports a request for which there is no route.
type NoRouteError struct {
	Host string
	Path string
}

func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route for host %q and path %q", e.Host, e.Path)
}

// UnknownKeyError reports a request without a key that is good now. It does not
// tell the key.
type UnknownKeyError struct{}

func (*UnknownKeyError) Error() string { return "the request has no key of a team" }

// RateLimitError reports a request beyond its team's rate.
type RateLimitError struct {
	Team string
	// RetryAfter is how long it takes until one more may pass.
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("team %q is above its rate for %s", e.Team, e.RetryAfter)
}

// BodyError reports a request whose body could not be read.
type BodyError struct {
	Cause error
}

func (e *BodyError) Error() string { return "read the request's body: " + e.Cause.Error() }

func (e *BodyError) Unwrap() error { return e.Cause }

// CrashingRequestError reports a request that backend servers died of.
type CrashingRequestError struct{}

func (*CrashingRequestError) Error() string { return "backend servers died of the request" }

// NotRunError reports that a backend server did not run the request.
type NotRunError struct {
	Server string
	Reason header.Reason
	// Cause is the error behind it, nil if the server refused.
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

// MissingSealError reports a success that does not bear the proof of a backend
// server.
type MissingSealError struct{}

func (*MissingSealError) Error() string { return "the answer does not bear the backend server's proof" }
