package steer

import "time"

// Limiter are limits over all entry hosts together, of which this host holds a
// part. It must be safe for concurrent use and must not block.
type Limiter interface {
	// Take takes tokens of the named limit.
	Take(name string, count float64) TakeResult
}

// TakeResult is the answer to a Take: [Granted] or [Denied].
type TakeResult interface{ taken() }

// Granted says that the tokens are the caller's.
type Granted struct{}

// Denied says that nothing was taken.
type Denied struct {
	// RetryAfter is when tokens may be free; zero if not known.
	RetryAfter time.Duration
}

func (Granted) taken() {}
func (Denied) taken()  {}

// ShiftLimitName is the name of the limit on requests that a change of weights or a
// loss moves between two regions.
func ShiftLimitName(from, to string) string {
	return "shift/" + from + "/" + to
}

// LinkLimitName is the name of the limit on requests from the entry hosts of a
// region to the backend servers of another.
func LinkLimitName(from, to string) string {
	return "link/" + from + "/" + to
}
