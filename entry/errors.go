package entry

import (
	"fmt"
	"time"
)

// StartingError reports that the host has not loaded a table yet.
type StartingError struct{}

func (*StartingError) Error() string {
	return "this entry host has no table yet"
}

// NoRouteError reports a path that no route of the table holds.
type NoRouteError struct {
	Path string
}

func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route for path %q", e.Path)
}

// KeysUnconfirmedError reports that the host does not know whether keys were
// withdrawn lately.
type KeysUnconfirmedError struct {
	// Age is the time since the view of the keys was confirmed.
	Age time.Duration
	// Cause is the error of the view; it may be nil.
	Cause error
}

func (e *KeysUnconfirmedError) Error() string {
	return fmt.Sprintf("keys were last confirmed %v ago; use another entry host", e.Age.Round(time.Millisecond))
}

func (e *KeysUnconfirmedError) Unwrap() error { return e.Cause }

// UnknownTeamError reports a key whose team is not in the table.
type UnknownTeamError struct {
	Team string
}

func (e *UnknownTeamError) Error() string {
	return fmt.Sprintf("team %q is not in the table", e.Team)
}

// OverRateError reports that the team has used its rate and burst.
type RateLimitError struct {
	Team string
	// RetryAfter is when a request may pass; zero if not known.
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("team %q is above its rate", e.Team)
}

// RateUnconfirmedError reports that the host does not know whether its part of
// the team's rate is still its own. Another host may serve the request.
type RateUnconfirmedError struct {
	Team string
	// RetryAfter is when a request may pass; zero if not known.
	RetryAfter time.Duration
}

func (e *RateUnconfirmedError) Error() string {
	return fmt.Sprintf("this entry host cannot tell its part of the rate of team %q; use another entry host", e.Team)
}

// BodyError reports a request whose body could not be read.
type BodyError struct {
	Cause error
}

func (e *BodyError) Error() string {
	return fmt.Sprintf("the body of the request could not be read: %v", e.Cause)
}

func (e *BodyError) Unwrap() error { return e.Cause }
