package steer

import "time"

// Limiter grants tokens of limits that all entry hosts share. Each host holds
// a part of every limit. An implementation must be safe for concurrent use
// and must not block.
type Limiter interface {
	// Take takes count tokens of the named limit, all or none.
	Take(name string, count float64) TakeResult
}

// TakeResult is the result of [Limiter.Take]: [Granted] or [Rejected].
type TakeResult interface{ takeResult() }

// Granted says that the tokens were taken.
type Granted struct{}

// Rejected says that no token was taken.
type Rejected struct {
	// RetryAfter is the time until tokens may be free; zero if not known.
	RetryAfter time.Duration
}

func (Granted) takeResult()  {}
func (Rejected) takeResult() {}

// ShiftLimitName returns the name of the limit on requests that a change of
// weights or the loss of a region moves from one region to another.
func ShiftLimitName(from, to string) string {
	return "shift/" + from + "/" + to
}

// LinkLimitName returns the name of the limit on requests from the entry
// hosts of one region to the backend servers of another.
func LinkLimitName(from, to string) string {
	return "link/" + from + "/" + to
}
