package backend

import "time"

// Probe is the result of a request to a server's health endpoint. It can be
// outdated or wrong. Running and Slots are not used to choose a server.
type Probe struct {
	Server string
	// SentAt is when the probe was sent, so that a slow response counts as old.
	SentAt time.Time
	// Failed reports that no valid response came; the fields below are unset.
	Failed bool
	// Draining reports that the server accepts no new requests.
	Draining bool
	// Running is how many requests the server runs, from all entry hosts.
	Running int
	// Slots is how many requests the server runs at once; zero if not reported.
	Slots int
}
