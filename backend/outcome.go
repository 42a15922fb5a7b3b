package backend

// Outcome is how a request to a server ended, as evidence on the server.
type Outcome interface{ outcome() }

// Responded says that a whole answer came.
type Responded struct{}

// Rejected says that the server refused the request without running it.
type Rejected struct {
	// Draining says that the server refused because it leaves.
	Draining bool
}

// Failed says that the server was not reached, broke the connection or did
// not answer in time.
type Failed struct{}

// Inconclusive says that the caller gave up; it tells nothing of the server.
type Inconclusive struct{}

func (Responded) outcome()    {}
func (Rejected) outcome()     {}
func (Failed) outcome()       {}
func (Inconclusive) outcome() {}
