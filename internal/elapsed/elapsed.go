/*
Package elapsed measures how much time has elapsed on a machine that may have been
suspended. Entry hosts use it for the age of leases and of the state that they
received from each other.

A monotonic clock may stand still while a virtual machine is suspended, and a
wall clock may be set back. [Between] takes the larger difference of the two, so that the
age of something is overestimated rather than underestimated.

# Usage

	if elapsed.Between(confirmedAt, time.Now()) > maxAge {
		return errTooOld
	}
*/
package elapsed

import "time"

// Between returns the time from one reading of the clock to a later one, by the monotonic
// or the wall clock, whichever shows the longer time.
func Between(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Accumulator adds up the time that passes between the readings of a clock. For each step it
// takes the longer of the times by the monotonic and the wall clock, so that the sum never
// decreases. It starts at zero with its first reading, and is not safe for concurrent use.
type Accumulator struct {
	last  time.Time
	total time.Duration
}

// Update adds the time since the last reading, and returns the time since the first one.
func (a *Accumulator) Update(now time.Time) time.Duration {
	if !a.last.IsZero() {
		a.total += max(0, Between(a.last, now))
	}
	a.last = now
	return a.total
}
