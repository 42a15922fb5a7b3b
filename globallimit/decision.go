package globallimit

import "time"

// Grant identifies what one [Limiter.Acquire] granted. Pass it to
// [Limiter.ReturnGrant] or [Limiter.Release].
type Grant struct {
	Limit string
	// Count is in requests.
	Count float64
	// Time is when the grant was made.
	Time time.Time
	// generation is compared with the bucket's to tell whether the tokens may
	// still be returned.
	generation uint64
}

// Decision is the result of [Limiter.Acquire]: [Granted], [Rejected] or
// [UnknownLimit].
type Decision interface{ decision() }

// Granted means that the request may proceed.
type Granted struct {
	Grant Grant
}

// Reason tells why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// Exhausted means that the host has no tokens or slots left.
	Exhausted Reason = "exhausted"
	// Unconfirmed means that the host can't confirm that its epoch is still the
	// newest, so that another host may own its share.
	Unconfirmed Reason = "unconfirmed"
)

// Refused means that the request must not proceed on this host.
type Rejected struct {
	Reason Reason
	// RetryAfter is this host's estimate of when it can grant the request. It
	// is a fixed [EpochPollInterval] for slots, and while the host has no
	// usable share.
	RetryAfter time.Duration
}

// UnknownLimit means that there is no limit with this name.
type UnknownLimit struct{}

func (Granted) decision()      {}
func (Rejected) decision()     {}
func (UnknownLimit) decision() {}
