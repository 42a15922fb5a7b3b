/*
Package elapsed measures how much time has elapsed on a machine that may have been
paused. Entry hosts use it for the age of leases and of what they know about each other.

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
func (s *Accumulator) Update(now time.Time) time.Duration {
	if !s.last.IsZero() {
		s.total += max(0, Between(s.last, now))
	}
	s.last = now
	return s.total
}
