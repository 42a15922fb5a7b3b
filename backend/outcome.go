package backend

// Outcome is how a request to a server ended, as evidence on the server.
type Outcome interface{ outcome() }

// Answered says that a whole answer came.
type Answered struct{}

// Shed says that the server refused the request without running it.
type Shed struct {
	// Leaving says that the server refused because it leaves.
	Leaving bool
}

// Failed says that the server was not reached, broke the connection or did
// not answer in time.
type Failed struct{}

// Abandoned says that the caller gave up; it tells nothing of the server.
type Abandoned struct{}

func (Answered) outcome()  {}
func (Shed) outcome()      {}
func (Failed) outcome()    {}
func (Abandoned) outcome() {}
