package entry

import (
	"fmt"
	"time"
)

// StartingError reports that this host is starting and has no table yet.
type StartingError struct{}

func (*StartingError) Error() string {
	return "this entry host is starting and has no table yet"
}

// NoRouteError reports a request whose path matches no route of the table.
type NoRouteError struct {
	Path string
}

func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route for path %q", e.Path)
}

// KeysUnconfirmedError reports that this host may not know of keys that were withdrawn
// recently, so that it accepts no key. Another host may serve the request.
type KeysUnconfirmedError struct {
	// Age is the time since this host's copy of the API keys was last confirmed to be
	// complete.
	Age time.Duration
	// Cause says why the copy is not confirmed; it may be nil.
	Cause error
}

func (e *KeysUnconfirmedError) Error() string {
	return fmt.Sprintf("this entry host's copy of the API keys was last confirmed to be complete %v ago; use another entry host", e.Age.Round(time.Millisecond))
}

func (e *KeysUnconfirmedError) Unwrap() error { return e.Cause }

// UnknownTeamError reports an API key whose team is not in the table.
type UnknownTeamError struct {
	Team string
}

func (e *UnknownTeamError) Error() string {
	return fmt.Sprintf("team %q is not in the table of this entry host", e.Team)
}

// RateLimitError reports a request that exceeds its team's rate and burst.
type RateLimitError struct {
	Team string
	// RetryAfter is the time until a request of the team may be accepted; zero if not known.
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("team %q exceeds its rate", e.Team)
}

// RateUnconfirmedError reports that this host cannot confirm that its share of the team's
// rate has not been given to another host. Another host may serve the request.
type RateUnconfirmedError struct {
	Team string
	// RetryAfter is the time until a request of the team may be accepted; zero if not known.
	RetryAfter time.Duration
}

func (e *RateUnconfirmedError) Error() string {
	return fmt.Sprintf("this entry host cannot confirm its share of the rate of team %q; use another entry host", e.Team)
}

// BodyError reports a request whose body could not be read.
type BodyError struct {
	Cause error
}

func (e *BodyError) Error() string {
	return fmt.Sprintf("the request's body could not be read: %v", e.Cause)
}

func (e *BodyError) Unwrap() error { return e.Cause }
