package steer

import "time"

// hold watches a step in force.
type hold struct {
	since time.Time
	// tried and denied count the step's moves.
	tried  int
	denied int
}

// restart begins a new step.
func (h *hold) restart(now time.Time) {
	*h = hold{
		since: now,
	}
}

// count notes a move that was tried.
func (h *hold) count(denied bool) {
	h.tried++
	if denied {
		h.denied++
	}
}

// due reports whether the step has been in force for Hold.
func (h *hold) due(now time.Time) bool {
	return now.Sub(h.since) >= StepHoldTime
}

// granted returns the part of the step's moves that were granted; all of them
// if only a few were denied.
func (h *hold) granted() float64 {
	if float64(h.denied) <= MaxDeniedShare*float64(h.tried) {
		return 1
	}
	return max(0, 1-float64(h.denied)/float64(h.tried))
}
