/*
Package elapsed measures how much time has passed on a machine that may have
been paused.

A monotonic clock may stand still while a virtual machine is suspended, and a
wall clock may be set back. [Between] takes the longer of the two, so that a
bound on age errs towards "too old".

# Usage

	if elapsed.Between(confirmed, time.Now()) > bound {
		return refuse()
	}
*/
package elapsed

import "time"

// Between returns the time from one reading of the clock to a later one, by
// the monotonic or the wall clock, whichever moved further.
func Between(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Timeline turns readings of a clock into one position that never goes back:
// each step is the longer of what the monotonic and the wall clock say. It
// starts at zero with its first reading and isn't safe for concurrent use.
type Accumulator struct {
	last   time.Time
	passed time.Duration
}

// At moves the timeline to a reading and returns the position.
func (t *Accumulator) Update(now time.Time) time.Duration {
	if !t.last.IsZero() {
		t.passed += max(0, Between(t.last, now))
	}
	t.last = now
	return t.passed
}
