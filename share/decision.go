package share

import "time"

// Grant names what a [Limiter.Acquire] granted, for [Limiter.ReturnGrant] and
// [Limiter.Release].
type Grant struct {
	Limit string
	// Count is in requests.
	Count float64
	// Time is when the grant was made.
	Time time.Time
	// generation tells whether the tokens may still be given back.
	generation uint64
}

// Decision is the answer of [Limiter.Acquire]: [Granted], [Refused] or [UnknownLimit].
type Decision interface{ decision() }

// Granted says that the request may go on.
type Granted struct {
	Grant Grant
}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// Exhausted means that the host has no tokens or slots left.
	Exhausted Reason = "exhausted"
	// Unconfirmed means that the host does not know whether its epoch is still
	// the newest, so that another host may hold its part.
	Unconfirmed Reason = "unconfirmed"
)

// Refused says that the request must not go on at this host.
type Refused struct {
	Reason Reason
	// RetryAfter is when the request may pass at this host, as far as it knows.
	RetryAfter time.Duration
}

// UnknownLimit says that there is no limit of this name.
type UnknownLimit struct{}

func (Granted) decision()      {}
func (Refused) decision()      {}
func (UnknownLimit) decision() {}
