package header

import "time"

// Dialect names the headers between an entry host and backend servers, where
// they are not this package's own.
type Dialect struct {
	// Request carries the request's name, which backend servers echo.
	Request string
	// Deadline carries the time left for the request.
	Deadline string
	// FormatDeadline writes the time left.
	FormatDeadline func(left time.Duration) string
	// NotRun is set in the answer of a backend server that did not run the
	// request.
	NotRun string
	// Target names the backend server that the request is meant for. Another one
	// at its address refuses the request.
	Target string
	// Team carries the name of the caller's team.
	Team string
	// Credential carries the caller's key; backend servers never get it.
	Credential string
	// Proof is the header that every whole answer of a backend server bears.
	Proof string
	// Load tells how busy the backend server is, if it does.
	Load string
	// Instance names the backend server that answers, where it says so.
	Instance string
	// ColdLeft tells in an answer to a probe how long the server stays cold.
	ColdLeft string
}

// Own is the dialect of the product's own interface.
var Own = Dialect{
	Request:        Request,
	Deadline:       Deadline,
	FormatDeadline: FormatDeadline,
	NotRun:         NotRun,
	Credential:     Key,
}
