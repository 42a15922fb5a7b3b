package backend

import "time"

// Probe is what a server's health endpoint said. It may lag or mislead.
type Probe struct {
	Server string
	// SentAt is when the probe was sent; a probe that took long is old.
	SentAt time.Time
	// Failed marks a probe without an answer; the fields below are unset.
	Failed bool
	// Draining says that the server takes no new work.
	Draining bool
	// Running is how many requests the server runs, for all hosts.
	Running int
	// SlotLimiter is how many requests the server runs at once; zero if not told.
	Slots int
}
