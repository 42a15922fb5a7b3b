package steer

import "time"

// deniedFew is how many denied moves never keep a step from settling.
const deniedFew = 2

// hold watches whether a step holds: in force for Hold with nearly none of its
// moves denied.
type hold struct {
	since  time.Time
	tried  int
	denied int
	// failed says that the last try to settle ended with too many denied.
	failed bool
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

// settled reports whether the step held. If too many moves were denied, the
// wait begins anew.
func (h *hold) settled(now time.Time) bool {
	if !h.due(now) {
		return false
	}
	if float64(h.denied) <= deniedFew+DeniedPart*float64(h.tried) {
		return true
	}
	h.restart(now)
	h.failed = true
	return false
}

// due reports whether the step has been in force for Hold.
func (h *hold) due(now time.Time) bool {
	return now.Sub(h.since) >= Hold
}
