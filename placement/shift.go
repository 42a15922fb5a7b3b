package placement

import "time"

// shiftWindow is the time in which the region of a region's requests may change by the largest shift.
const shiftWindow = 2 * time.Second

// planShiftFraction is the fraction of the largest shift for changes of the plan. A quarter is for requests
// that run in another region than planned. The rest is a margin, for hosts whose reports differ and for
// chance.
const planShiftFraction = 0.5

// ShareChangePerSecond returns the largest change per second that the plan may make of the fraction of
// a region's requests that run in other regions. The largest shift is the fraction of the region's requests
// that may change their region from one 2 s window to the next; zero if there is no bound.
func ShareChangePerSecond(maxShift float64) float64 {
	if maxShift == 0 {
		return MaxShareChangePerSecond
	}
	return min(MaxShareChangePerSecond, maxShift*planShiftFraction/shiftWindow.Seconds())
}
