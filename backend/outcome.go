package backend

// Outcome is how a request to a server ended, as evidence of the server's health.
type Outcome interface{ outcome() }

// Responded reports that a complete response came.
type Responded struct{}

// Rejected reports that the server rejected the request without running it.
type Rejected struct {
	// Draining reports that the server rejected the request because it is draining.
	Draining bool
}

// Failed reports that the server could not be reached, broke the connection or did
// not respond in time.
type Failed struct{}

// Inconclusive reports that the caller gave up, which says nothing about the server's
// health.
type Inconclusive struct{}

func (Responded) outcome()    {}
func (Rejected) outcome()     {}
func (Failed) outcome()       {}
func (Inconclusive) outcome() {}
