package share

import "time"

// Grant names what a [Holder.Take] granted, for [Holder.GiveBack] and
// [Holder.Release].
type Grant struct {
	Limit string
	// Count is in requests.
	Count float64
	// Time is when the grant was made.
	Time time.Time
	// generation tells whether the tokens may still be given back.
	generation uint64
}

// Decision is the answer of [Holder.Take]: [Granted], [Refused] or [Unknown].
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
	// Retry is when the request may pass at this host, as far as it knows.
	Retry time.Duration
}

// Unknown says that there is no limit of this name.
type Unknown struct{}

func (Granted) decision() {}
func (Refused) decision() {}
func (Unknown) decision() {}
